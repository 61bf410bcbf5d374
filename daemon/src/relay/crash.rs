//! Detects which endpoints crashed under a request, and saves the requests that crash endpoints
//! to the store.
//!
//! A refused connection of a request that was sent nowhere yet may show such a crash as well, of an
//! endpoint that ran nothing from here.
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
    CRASH_TTL, Crash, CrashUpdate, Fall, Fingerprint, IncarnationHash, QUARANTINE_CRASHES,
    fingerprint, incarnation_hash, part_fingerprint, trial_delay,
};
use poplarvale_lib::relay::endpoint_table::EndpointState;
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
/// Interval at which a request waits while it is in doubt whether it is quarantined.
const DOUBT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that a request waits so, and most requests that do. Each holds its body.
const MAX_DOUBT: Duration = Duration::from_millis(1500);
const MAX_IN_DOUBT: usize = 64;
/// Shortest time after which a request that may be tried is to come back.
const TRIAL_RETRY: Duration = Duration::from_secs(1);
/// Most endpoints that are checked at once for a crash because they refused a connection.
const MAX_REFUSAL_CHECKS: usize = 4;
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
    /// It is tried, as it may not be what crashed the endpoints.
    Trial,
    /// It may come back after this time.
    Quarantined(Duration),
}

/// A request that waits while it is in doubt whether it is quarantined; counted until it is dropped.
#[derive(Debug)]
struct DoubtGuard<'s>(&'s State);

impl<'s> DoubtGuard<'s> {
    /// Counts a further one; `None` if as many wait as may.
    fn new(state: &'s State) -> Option<Self> {
        let waiting = state.in_doubt.get();
        if waiting >= MAX_IN_DOUBT {
            return None;
        }
        state.in_doubt.set(waiting + 1);
        Some(Self(state))
    }
}

impl Drop for DoubtGuard<'_> {
    fn drop(&mut self) {
        self.0.in_doubt.set(self.0.in_doubt.get() - 1);
    }
}

/// Whether a request may be sent to an endpoint. Waits a moment while that is in doubt.
pub(crate) async fn clearance(
    state: &State,
    fingerprint: &LazyFingerprint<'_>,
    deadline: Instant,
) -> Clearance {
    if is_in_doubt(state, fingerprint)
        && let Some(_guard) = DoubtGuard::new(state)
    {
        let end = deadline.min(Instant::now() + MAX_DOUBT);
        while is_in_doubt(state, fingerprint)
            && state.phase().is_serving()
            && Instant::now() + DOUBT_INTERVAL < end
        {
            tokio::time::sleep(DOUBT_INTERVAL).await;
        }
    }
    decide(state, fingerprint)
}

/// Whether requests that run elsewhere may still show that a quarantined one is sound.
pub(crate) fn is_in_doubt(state: &State, fingerprint: &LazyFingerprint<'_>) -> bool {
    let crashes = state.crashes.borrow();
    !crashes.is_empty()
        && crashes
            .settles(&fingerprint.suspects(), Instant::now())
            .is_some()
}

fn decide(state: &State, fingerprint: &LazyFingerprint<'_>) -> Clearance {
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
    let delay = own_trial_delay(state, now);
    if crashes.take_trial(&suspects, delay, now) {
        state.digest_due.notify_one();
        return Clearance::Trial;
    }
    let next = crashes.next_trial(&suspects, delay, now);
    let wait = next.map_or(left, |next| next.saturating_duration_since(now));
    Clearance::Quarantined(left.min(wait.max(TRIAL_RETRY)))
}

/// Time by which this daemon tries a request later than the first one.
fn own_trial_delay(state: &State, now: Instant) -> Duration {
    let peers = state.peers.borrow();
    let all = peers.rows().len() + 1;
    let daemons = state.quota.borrow().fleet_size().unwrap_or(0).max(all);
    trial_delay(peers.own_address(), &peers.recent_addresses(now), daemons)
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

/// Checks whether an endpoint that refused a connection has crashed, unless that is known.
pub(crate) fn check_refusal(state: &Rc<State>, endpoint: &Listing) {
    let incarnation = incarnation_hash(endpoint);
    let mut crash_checks = state.crash_checks.borrow_mut();
    let is_checked = crash_checks
        .iter()
        .any(|row| row.incarnation == incarnation);
    let is_known = state.crashes.borrow().has_crashed(incarnation);
    let is_leaving = {
        let table = state.endpoints.borrow();
        let row = table.get(&endpoint.id);
        row.is_none_or(|row| row.state == EndpointState::Leaving)
    };
    if is_checked || is_known || is_leaving || crash_checks.len() >= MAX_REFUSAL_CHECKS {
        return;
    }
    crash_checks.push(CrashCheck {
        incarnation,
        requests: 0,
        suspects: Vec::new(),
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
            state.digest_due.notify_one();
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
        CrashUpdate::Released => {
            log::info!(
                content:% = format_args!("{fingerprint:016x}");
                "crash: request or part of prompts no longer quarantined, other endpoints crashed at the same moment (source: {source})."
            );
        }
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
            let (crashes, moments) = state
                .crashes
                .borrow()
                .evidence(fingerprint)
                .map_or((0, 0), |row| (row.0, row.1));
            log::warn!(
                content:% = format_args!("{fingerprint:016x}"), crashes, moments;
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

/// Merges the crash of an endpoint that another daemon reports.
pub(crate) fn merge_fall(state: &State, name: &str, fall: digest::Fall) {
    let fall = Fall {
        incarnation: fall.life,
        age: Duration::from_millis(fall.age_ms.into()),
    };
    let released = state.crashes.borrow_mut().merge_fall(fall, Instant::now());
    for fingerprint in released {
        publish(state, fingerprint, CrashUpdate::Released, name);
    }
}

/// Crash of an endpoint as it stands in digests.
pub(crate) fn encode_fall(fall: Fall) -> digest::Fall {
    digest::Fall {
        life: fall.incarnation,
        age_ms: millis(fall.age),
    }
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
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
        state.quarantined.notify_one();
    }
}

/// Restores a quarantined request from its entry in the store.
pub(crate) fn restore(state: &State, value: &[u8]) {
    let saved = match digest::Crash::decode(value) {
        Ok(saved) => saved,
        Err(error) => {
            log::warn!("crash: an entry of the store is invalid and ignored, {error}.");
            return;
        }
    };
    let since = saved
        .saved_ms
        .map_or(0, |at| State::wall_ms().saturating_sub(at));
    let since = Duration::from_millis(since).min(CRASH_TTL);
    let mut crash = from_digest(saved);
    if crash.ages.is_empty() {
        crash.ages = vec![Duration::ZERO; crash.incarnations.len()];
    }
    for age in crash.ages.iter_mut().chain(&mut crash.tried) {
        *age += since;
    }
    let update = state.crashes.borrow_mut().restore(&crash, Instant::now());
    if update == CrashUpdate::Quarantined {
        publish(state, crash.fingerprint, update, "the store");
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
    state.quarantined.notify_one();
    state.digest_due.notify_one();
}

/// Crashes under a request as they stand in digests and in the store.
pub(crate) fn to_digest(crash: Crash) -> digest::Crash {
    digest::Crash {
        content: crash.fingerprint,
        lives: crash.incarnations,
        left_ms: millis(crash.left),
        ages_ms: crash.ages.into_iter().map(millis).collect(),
        tried_ms: crash.tried.map(millis),
        saved_ms: None,
    }
}

fn from_digest(report: digest::Crash) -> Crash {
    let age = |ms: u32| Duration::from_millis(ms.into());
    Crash {
        fingerprint: report.content,
        incarnations: report.lives,
        ages: report.ages_ms.into_iter().map(age).collect(),
        tried: report.tried_ms.map(age),
        left: age(report.left_ms),
    }
}

/// Saves quarantined requests to the store, and removes those that were served since, until the
/// process ends. Daemons that are partitioned from the others, or that start after all were killed,
/// read them there.
pub(crate) async fn save_quarantined(state: Rc<State>) {
    let mut store = Client::of_store(&state);
    loop {
        let settled = state.crashes.borrow().next_settled(Instant::now());
        match settled {
            Some(at) => tokio::select! {
                () = state.quarantined.notified() => {}
                () = tokio::time::sleep_until(at.into()) => {}
            },
            None => state.quarantined.notified().await,
        }
        let cleared = state.crashes.borrow_mut().take_cleared();
        for fingerprint in cleared {
            remove(&mut store, fingerprint).await;
        }
        let unsaved = state.crashes.borrow_mut().take_unsaved(Instant::now());
        for crash in unsaved {
            save(&mut store, crash).await;
        }
    }
}

/// Removes a request that was served from the store. It expires there in any case.
async fn remove(store: &mut Client, fingerprint: Fingerprint) {
    match write_removal(store, fingerprint).await {
        Ok(()) => log::info!("crash: request {fingerprint:016x} removed from the store."),
        Err(error) => {
            log::info!("crash: request {fingerprint:016x} not removed from the store, {error}.");
        }
    }
}

async fn write_removal(store: &mut Client, fingerprint: Fingerprint) -> Result<(), WriteError> {
    let call = txn(&Txn {
        expect: Vec::new(),
        puts: Vec::new(),
        removes: vec![format_compact!("{CRASH_PREFIX}{fingerprint:016x}")],
    })?;
    read_txn(&store.call(&call, CALL_TIMEOUT).await?)?;
    Ok(())
}

/// Saves a quarantined request, with retries.
async fn save(store: &mut Client, crash: Crash) {
    let fingerprint = crash.fingerprint;
    let value = digest::Crash {
        saved_ms: Some(State::wall_ms()),
        ..to_digest(crash)
    };
    let value = value.encode_to_vec();
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
