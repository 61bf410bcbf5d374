//! Finds out which endpoints ended under a request, and keeps those that crash endpoints in
//! the store.
//!
//! A broken connection does not tell that its endpoint has ended: links are reset, and
//! faulty endpoints break off. One that ended takes no new connection.

use std::cell::OnceCell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use poplarvale_lib::http1::Request;
use poplarvale_lib::protos::relay::digest;
use poplarvale_lib::relay::crash::{
    CRASH_TTL, Crash, CrashUpdate, Fingerprint, IncarnationHash, QUARANTINE_CRASHES, fingerprint,
    incarnation_hash,
};
use poplarvale_lib::relay::listing::Listing;
use poplarvale_platform::{Txn, grant_lease, read_lease, read_txn, txn};
use prost::Message as _;

use super::client::{Client, WriteError};
use super::metrics::Metrics;
use super::state::State;
use super::upstream;

/// Beginning of the keys of quarantined requests.
pub(crate) const CRASHES: &str = "poplarvale/crashes/";
/// Ends under a request from which on the other daemons are told at once.
const URGENT: usize = QUARANTINE_CRASHES - 1;
/// Longest time for one call of the store.
const CALL: Duration = Duration::from_millis(900);
/// Pause after a request could not be kept.
const RETRY: Duration = Duration::from_millis(600);
/// Tries to keep one; the other daemons that saw it try too.
const TRIES: u32 = 20;

/// What a request asks for, hashed when that is first needed.
#[derive(Debug)]
pub(crate) struct Content<'r> {
    team: &'r str,
    host: &'r str,
    request: &'r Request,
    body: &'r [u8],
    hash: OnceCell<Fingerprint>,
}

impl<'r> Content<'r> {
    pub(crate) fn new(team: &'r str, host: &'r str, request: &'r Request, body: &'r [u8]) -> Self {
        Self {
            team,
            host,
            request,
            body,
            hash: OnceCell::new(),
        }
    }

    pub(crate) fn hash(&self) -> Fingerprint {
        let (method, target) = (&self.request.method, &self.request.target);
        *self
            .hash
            .get_or_init(|| fingerprint(self.team, self.host, method, target, self.body))
    }
}

/// How long a request must not be sent because endpoints ended under it; `None` if it may be.
pub(crate) fn quarantined(state: &State, content: &Content<'_>) -> Option<Duration> {
    let crashes = state.crashes.borrow();
    if crashes.is_empty() {
        return None;
    }
    crashes.quarantine_left(content.hash(), Instant::now())
}

/// An endpoint that is being looked at, and the requests that broke off there.
#[derive(Debug)]
pub(crate) struct Suspicion {
    life: IncarnationHash,
    contents: Vec<Fingerprint>,
}

/// Looks whether an endpoint ended under a request that broke off there.
pub(crate) fn suspect(state: &Rc<State>, endpoint: &Listing, content: Fingerprint) {
    let life = incarnation_hash(endpoint);
    let mut suspicions = state.suspicions.borrow_mut();
    if let Some(row) = suspicions.iter_mut().find(|row| row.life == life) {
        row.contents.push(content);
        return;
    }
    suspicions.push(Suspicion {
        life,
        contents: vec![content],
    });
    actix_web::rt::spawn(look(Rc::clone(state), endpoint.clone(), life));
}

/// Connects to an endpoint, and notes its end if it refuses.
async fn look(state: Rc<State>, endpoint: Listing, life: IncarnationHash) {
    let connected = upstream::connect(endpoint.address).await;
    let contents = take(&state, life);
    match connected {
        Ok(wire) => state.upstreams.put(endpoint.address, wire, None),
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            log::info!(
                requests = contents.len();
                "crash: endpoint {} ended while it ran requests.", endpoint.id
            );
            for content in contents {
                let noted = state
                    .crashes
                    .borrow_mut()
                    .record(content, life, Instant::now());
                take_noted(&state, content, noted, &endpoint.id);
            }
        }
        Err(error) => log::info!(
            "crash: whether endpoint {} has ended is not known, {error}.",
            endpoint.id
        ),
    }
}

/// Requests that broke off at an endpoint whose fate is known now.
fn take(state: &State, life: IncarnationHash) -> Vec<Fingerprint> {
    let mut suspicions = state.suspicions.borrow_mut();
    let at = suspicions.iter().position(|row| row.life == life);
    at.map_or_else(Vec::new, |at| suspicions.swap_remove(at).contents)
}

/// Tells what was noted of a request, and has it told to the other daemons and kept.
fn take_noted(state: &State, content: Fingerprint, noted: CrashUpdate, source: &str) {
    match noted {
        CrashUpdate::Unchanged => return,
        CrashUpdate::Suspected(lives) => {
            log::info!(
                content:% = format_args!("{content:016x}"), lives;
                "crash: request suspected, {source} tells."
            );
            if lives < URGENT {
                return;
            }
        }
        CrashUpdate::Quarantined => {
            log::warn!(
                content:% = format_args!("{content:016x}");
                "crash: request quarantined, {source} tells."
            );
            state.measure(Metrics::quarantined);
            state.quarantined.notify_one();
        }
    }
    state.digest_due.notify_one();
}

/// Takes in what another daemon tells of a request.
pub(crate) fn hear(state: &State, name: &str, told: digest::Crash) {
    let crash = read(told);
    let noted = state.crashes.borrow_mut().merge(&crash, Instant::now());
    if noted == CrashUpdate::Quarantined {
        take_noted(state, crash.fingerprint, noted, name);
    }
}

/// Takes in that another daemon has seen a request served.
pub(crate) fn hear_cleared(state: &State, name: &str, content: Fingerprint) {
    if state.crashes.borrow_mut().merge_cleared(content) {
        log::info!(
            content:% = format_args!("{content:016x}");
            "crash: request cleared, {name} tells."
        );
    }
}

/// Takes in a request that the store keeps as quarantined.
pub(crate) fn restore(state: &State, value: &[u8]) {
    match digest::Crash::decode(value) {
        Ok(told) => hear(state, "the store", told),
        Err(error) => log::warn!("crash: an entry of the store is not read, {error}."),
    }
}

/// Notes that an endpoint served a request.
pub(crate) fn clear(state: &State, content: Fingerprint) {
    if state.crashes.borrow_mut().clear(content, Instant::now()) {
        log::info!(
            content:% = format_args!("{content:016x}");
            "crash: request cleared, it was served."
        );
        state.digest_due.notify_one();
    }
}

pub(crate) fn tell(crash: Crash) -> digest::Crash {
    digest::Crash {
        content: crash.fingerprint,
        lives: crash.incarnations,
        left_ms: u32::try_from(crash.left.as_millis()).unwrap_or(u32::MAX),
    }
}

fn read(told: digest::Crash) -> Crash {
    Crash {
        fingerprint: told.content,
        incarnations: told.lives,
        left: Duration::from_millis(told.left_ms.into()),
    }
}

/// Keeps quarantined requests in the store, until the process ends. Daemons that are cut off
/// from the others, or start when all were killed, learn of them there.
pub(crate) async fn keep_quarantined(state: Rc<State>) {
    let mut store = Client::of_store(&state);
    loop {
        state.quarantined.notified().await;
        let unsaved = state.crashes.borrow_mut().take_unsaved(Instant::now());
        for crash in unsaved {
            keep(&mut store, crash).await;
        }
    }
}

async fn keep(store: &mut Client, crash: Crash) {
    let content = crash.fingerprint;
    let value = tell(crash).encode_to_vec();
    for _ in 0..TRIES {
        match write(store, content, &value).await {
            Ok(()) => return,
            Err(error) => log::info!("crash: request not kept in the store, {error}."),
        }
        tokio::time::sleep(RETRY).await;
    }
    log::warn!("crash: request {content:016x} is not kept in the store, every try failed.");
}

/// Makes the key of a request, which goes with its lease. One that is there already holds
/// the same.
async fn write(store: &mut Client, content: Fingerprint, value: &[u8]) -> Result<(), WriteError> {
    let lease = read_lease(&store.call(&grant_lease(CRASH_TTL), CALL).await?)?;
    let key = format_compact!("{CRASHES}{content:016x}");
    let call = txn(&Txn {
        expect: vec![(key.clone(), 0)],
        puts: vec![(key, value.to_vec().into(), lease)],
        removes: Vec::new(),
    })?;
    read_txn(&store.call(&call, CALL).await?)?;
    Ok(())
}
