//! Detects which endpoints crashed under a request, and saves the requests that crash endpoints
//! to the store.
//!
//! A broken connection does not prove that its endpoint crashed: links are reset, and faulty
//! endpoints close connections early. So the daemon connects to the endpoint again: one that
//! crashed refuses the connection, while other endpoints accept one.

use std::cell::OnceCell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use poplarvale_lib::http1::Request;
use poplarvale_lib::protos::relay::digest;
use poplarvale_lib::relay::crash::{
    CRASH_TTL, Crash, CrashUpdate, Fingerprint, IncarnationHash, QUARANTINE_CRASHES, fingerprint,
    incarnation_hash, part_fingerprint,
};
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::request::{Prompt, RequestHead};
use poplarvale_platform::{Txn, grant_lease, read_lease, read_txn, txn};
use prost::Message as _;

use super::client::{Client, WriteError};
use super::metrics::Metrics;
use super::reach;
use super::state::State;
use super::upstream;

/// Prefix of the store keys of quarantined requests.
pub(crate) const CRASH_PREFIX: &str = "poplarvale/crashes/";
/// Number of crashes under a request from which on the other daemons get a digest at once.
const URGENT_CRASHES: usize = QUARANTINE_CRASHES - 1;
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time until the first trial of a request with a quarantined part.
const MAX_TRIAL_DELAY: Duration = Duration::from_millis(1500);
/// When a request that may be tried is to come back.
const TRIAL_RETRY: Duration = Duration::from_secs(1);
/// Pause after a request could not be saved.
const RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Maximum number of attempts to save a request; the other daemons that observed a crash
/// under it try too.
const MAX_TRIES: u32 = 20;

/// Fingerprint of a request, computed when it is first needed, and those of the shared parts of its
/// prompt.
#[derive(Debug)]
pub(crate) struct LazyFingerprint<'r> {
    team: &'r str,
    head: &'r RequestHead,
    request: &'r Request,
    body: &'r [u8],
    value: OnceCell<Fingerprint>,
}

impl<'r> LazyFingerprint<'r> {
    pub(crate) fn new(
        team: &'r str,
        head: &'r RequestHead,
        request: &'r Request,
        body: &'r [u8],
    ) -> Self {
        Self {
            team,
            head,
            request,
            body,
            value: OnceCell::new(),
        }
    }

    /// Fingerprints of the parts of the prompt that other requests may share.
    fn parts(&self) -> Vec<Fingerprint> {
        let parts = self.head.prompt.as_ref().map(Prompt::shared_parts);
        let parts = parts.unwrap_or_default().iter();
        parts
            .map(|(id, _)| part_fingerprint(self.team, *id))
            .collect()
    }

    /// What may have crashed an endpoint: the request, and the shared parts of its prompt.
    fn suspects(&self) -> Vec<Fingerprint> {
        let mut suspects = self.parts();
        suspects.push(self.get());
        suspects
    }

    pub(crate) fn get(&self) -> Fingerprint {
        let (method, target) = (&self.request.method, &self.request.target);
        *self
            .value
            .get_or_init(|| fingerprint(self.team, &self.head.host, method, target, self.body))
    }
}

/// Whether a request may be sent, as far as crashes of endpoints are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Clearance {
    /// Nothing quarantined is in it.
    Clear,
    /// It is tried, as something that is not in it explains the crashes as well.
    Trial,
    /// It may come back after this time.
    Quarantined(Duration),
}

/// Whether a request may be sent to an endpoint.
pub(crate) fn clearance(state: &State, fingerprint: &LazyFingerprint<'_>) -> Clearance {
    let mut crashes = state.crashes.borrow_mut();
    if crashes.is_empty() {
        return Clearance::Clear;
    }
    let now = Instant::now();
    let suspects = fingerprint.suspects();
    let left = suspects
        .iter()
        .filter_map(|row| crashes.quarantine_left(*row, now));
    let Some(left) = left.max() else {
        return Clearance::Clear;
    };
    // Only a part may be quarantined for what it merely ran beside again and again.
    let is_whole = crashes.quarantine_left(fingerprint.get(), now).is_some();
    if is_whole || !crashes.may_try(&suspects, now) {
        return Clearance::Quarantined(left);
    }
    let delay = MAX_TRIAL_DELAY.mul_f64(fastrand::f64());
    if crashes.take_trial(&suspects, delay, now) {
        Clearance::Trial
    } else {
        Clearance::Quarantined(left.min(TRIAL_RETRY))
    }
}

/// Whether something in a request is quarantined.
pub(crate) fn is_quarantined(state: &State, fingerprint: &LazyFingerprint<'_>) -> bool {
    let crashes = state.crashes.borrow();
    let now = Instant::now();
    let is_known = |row: &Fingerprint| crashes.quarantine_left(*row, now).is_some();
    !crashes.is_empty() && fingerprint.suspects().iter().any(is_known)
}

/// Endpoint that is being checked for a crash, the number of requests that broke off there, and what
/// of them may have crashed it.
#[derive(Debug)]
pub(crate) struct CrashCheck {
    incarnation: IncarnationHash,
    requests: usize,
    /// Sorted.
    suspects: Vec<Fingerprint>,
}

/// Checks whether an endpoint crashed under a request that broke off there.
pub(crate) fn check_crash(
    state: &Rc<State>,
    endpoint: &Listing,
    fingerprint: &LazyFingerprint<'_>,
) {
    let incarnation = incarnation_hash(endpoint);
    let mut suspects = fingerprint.suspects();
    let mut crash_checks = state.crash_checks.borrow_mut();
    if let Some(row) = crash_checks
        .iter_mut()
        .find(|row| row.incarnation == incarnation)
    {
        row.requests += 1;
        row.suspects.append(&mut suspects);
        row.suspects.sort_unstable();
        row.suspects.dedup();
        return;
    }
    suspects.sort_unstable();
    crash_checks.push(CrashCheck {
        incarnation,
        requests: 1,
        suspects,
    });
    actix_web::rt::spawn(probe(Rc::clone(state), endpoint.clone(), incarnation));
}

/// Connects to an endpoint, and records a crash if it refuses the connection while others accept
/// one.
async fn probe(state: Rc<State>, endpoint: Listing, incarnation: IncarnationHash) {
    let connected = upstream::connect(endpoint.address).await;
    let is_refused = connected
        .as_ref()
        .is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused);
    // Behind a partition of this host all endpoints refuse connections, as crashed ones do.
    let is_own_fault = is_refused && !reach::reaches_others(&state, &endpoint.id).await;
    let (requests, suspects) = take_check(&state, incarnation);
    match connected {
        Ok(conn) => state.upstreams.put(endpoint.address, conn, None),
        Err(_) if is_own_fault => log::info!(
            requests;
            "crash: endpoint {} refuses connections as others do, no crash is recorded.",
            endpoint.id
        ),
        Err(_) if is_refused => {
            log::info!(
                requests, suspects = suspects.len();
                "crash: endpoint {} crashed while it ran requests.", endpoint.id
            );
            let mut crashes = state.crashes.borrow_mut();
            let updates = crashes.record_crash(&suspects, incarnation, Instant::now());
            drop(crashes);
            for (fingerprint, update) in updates {
                publish(&state, fingerprint, update, &endpoint.id);
            }
        }
        Err(error) => log::info!(
            "crash: check of endpoint {} failed, no crash is recorded, {error}.",
            endpoint.id
        ),
    }
}

/// Ends the check of an endpoint and returns how many requests broke off there, and what of them may
/// have crashed it.
fn take_check(state: &State, incarnation: IncarnationHash) -> (usize, Vec<Fingerprint>) {
    let mut crash_checks = state.crash_checks.borrow_mut();
    let at = crash_checks
        .iter()
        .position(|row| row.incarnation == incarnation);
    at.map_or_else(Default::default, |at| {
        let check = crash_checks.swap_remove(at);
        (check.requests, check.suspects)
    })
}

/// Logs a change of a request's crashes. From [`URGENT_CRASHES`] on it is sent to the other daemons
/// at once, and a quarantined request is also saved to the store.
fn publish(state: &State, fingerprint: Fingerprint, update: CrashUpdate, source: &str) {
    match update {
        CrashUpdate::Unchanged => return,
        CrashUpdate::Suspected(crashes) => {
            log::info!(
                content:% = format_args!("{fingerprint:016x}"), lives = crashes;
                "crash: request or part of prompts suspected of crashing endpoints (source: {source})."
            );
            if crashes < URGENT_CRASHES {
                return;
            }
        }
        CrashUpdate::Quarantined => {
            log::warn!(
                content:% = format_args!("{fingerprint:016x}");
                "crash: request or part of prompts quarantined and no longer served (source: {source})."
            );
            state.measure(Metrics::record_quarantine);
            state.quarantined.notify_one();
        }
    }
    state.digest_due.notify_one();
}

/// Merges the crashes under a request that another daemon or the store reports.
pub(crate) fn merge(state: &State, name: &str, report: digest::Crash) {
    let crash = from_digest(report);
    let update = state.crashes.borrow_mut().merge(&crash, Instant::now());
    if update == CrashUpdate::Quarantined {
        publish(state, crash.fingerprint, update, name);
    }
}

/// Clears a request that another daemon reports as served; a daemon that `relays` reports that too.
pub(crate) fn merge_cleared(state: &State, name: &str, fingerprint: Fingerprint, relays: bool) {
    let mut crashes = state.crashes.borrow_mut();
    let was_suspected = if relays {
        crashes.clear(fingerprint, Instant::now())
    } else {
        crashes.merge_cleared(fingerprint)
    };
    if was_suspected {
        log::info!(
            content:% = format_args!("{fingerprint:016x}");
            "crash: request or part of prompts cleared (source: {name})."
        );
    }
}

/// Restores a quarantined request from its entry in the store.
pub(crate) fn restore(state: &State, value: &[u8]) {
    match digest::Crash::decode(value) {
        Ok(saved) => merge(state, "the store", saved),
        Err(error) => log::warn!("crash: an entry of the store is invalid and ignored, {error}."),
    }
}

/// Clears a request that an endpoint answered.
pub(crate) fn clear(state: &State, fingerprint: &LazyFingerprint<'_>) {
    let mut crashes = state.crashes.borrow_mut();
    if crashes.is_empty() {
        return;
    }
    let fingerprint = fingerprint.get();
    if crashes.clear(fingerprint, Instant::now()) {
        log_cleared(state, fingerprint);
    }
}

/// Records that an endpoint served the parts of a prompt, which clears them.
pub(crate) fn record_served(state: &State, fingerprint: &LazyFingerprint<'_>) {
    let parts = fingerprint.parts();
    if parts.is_empty() {
        return;
    }
    let cleared = state
        .crashes
        .borrow_mut()
        .record_served(&parts, Instant::now());
    for part in cleared {
        log_cleared(state, part);
    }
}

fn log_cleared(state: &State, fingerprint: Fingerprint) {
    log::info!(
        content:% = format_args!("{fingerprint:016x}");
        "crash: request or part of prompts cleared, an endpoint served it."
    );
    state.digest_due.notify_one();
}

/// Crashes under a request as they stand in digests and in the store.
pub(crate) fn to_digest(crash: Crash) -> digest::Crash {
    digest::Crash {
        content: crash.fingerprint,
        lives: crash.incarnations,
        left_ms: u32::try_from(crash.left.as_millis()).unwrap_or(u32::MAX),
    }
}

fn from_digest(report: digest::Crash) -> Crash {
    Crash {
        fingerprint: report.content,
        incarnations: report.lives,
        left: Duration::from_millis(report.left_ms.into()),
    }
}

/// Saves quarantined requests to the store until the process ends. Daemons that are partitioned
/// from the others, or that start after all were killed, read them there.
pub(crate) async fn save_quarantined(state: Rc<State>) {
    let mut store = Client::of_store(&state);
    loop {
        state.quarantined.notified().await;
        let unsaved = state.crashes.borrow_mut().take_unsaved(Instant::now());
        for crash in unsaved {
            save(&mut store, crash).await;
        }
    }
}

/// Saves a quarantined request, with retries.
async fn save(store: &mut Client, crash: Crash) {
    let fingerprint = crash.fingerprint;
    let value = to_digest(crash).encode_to_vec();
    for _ in 0..MAX_TRIES {
        match write(store, fingerprint, &value).await {
            Ok(()) => return,
            Err(error) => {
                log::info!("crash: request not saved to the store, {error}; trying again.");
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    log::warn!("crash: request {fingerprint:016x} not saved to the store, all attempts failed.");
}

/// Creates the key of a request under a lease, with which it expires. A key that exists already
/// holds the same request, so that is no error.
async fn write(
    store: &mut Client,
    fingerprint: Fingerprint,
    value: &[u8],
) -> Result<(), WriteError> {
    let lease = read_lease(&store.call(&grant_lease(CRASH_TTL), CALL_TIMEOUT).await?)?;
    let key = format_compact!("{CRASH_PREFIX}{fingerprint:016x}");
    let call = txn(&Txn {
        expect: vec![(key.clone(), 0)],
        puts: vec![(key, value.to_vec().into(), lease)],
        removes: Vec::new(),
    })?;
    read_txn(&store.call(&call, CALL_TIMEOUT).await?)?;
    Ok(())
}
