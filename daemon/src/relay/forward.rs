//! Forwards requests to other daemons: while this one reaches no endpoint of their service, and when
//! it has used its shares of the rates of endpoints that have room.
//!
//! The other daemon handles a forwarded request like one of its own callers: it checks the API key,
//! counts the request against the team's allowance and chooses the endpoint. It never forwards the
//! request again. If it does not reach the service either, has no room or is shutting down, the next
//! daemon is tried.

use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant as Std};

use poplarvale_lib::relay::attempts::AttemptEnd;
use poplarvale_lib::relay::handling::handling;
use poplarvale_lib::relay::quota::name_hash;
use poplarvale_lib::{NotSent, ZoneHash, ZoneId};
use poplarvale_platform::{Announced, Onward, onward_head};
use tokio::time::Instant;

use super::attempt::{Begun, Job};
use super::buffered_stream::BufferedStream;
use super::exchange::{EndpointResponse, ExchangeError, OK, Outgoing, exchange, read_body};
use super::state::State;
use super::stream::{Forwarded, OpenStream};

/// Status with which a daemon does not take a request that no endpoint got.
const MISDIRECTED: u16 = 421;
/// Most daemons that a request is forwarded to, one after the other.
pub(crate) const MAX_DAEMONS: usize = 3;
/// How many times longer a daemon may be silent than an endpoint before another one is asked: it
/// asks another endpoint itself if its endpoint is silent.
const PATIENCE: u32 = 3;
/// Shortest silence of a daemon after which another one is asked.
const MIN_PATIENCE: Duration = Duration::from_secs(1);

/// A stream that another daemon forwards.
#[derive(Debug)]
pub(crate) struct DaemonStream {
    pub(crate) stream: OpenStream,
    daemon: Ipv4Addr,
}

impl DaemonStream {
    /// Keeps the connection of a stream that was received as a whole.
    pub(crate) fn complete(self, state: &State, job: &Job<'_>) {
        let OpenStream { conn, response, .. } = self.stream;
        log_done(state, job, self.daemon);
        keep_connection(state, self.daemon, conn, &response);
    }

    /// Records that the stream broke off, or was given up.
    pub(crate) fn fail(&self, state: &State, job: &Job<'_>, error: ExchangeError) {
        log_failed(state, job, &self.daemon, "failed", &error);
    }
}

/// Chooses a daemon at random, of those for which `may` holds and that the request may be sent to.
/// If one has not taken it before, the whole zone may not reach the service, so those of other zones go
/// first.
pub(crate) fn choose(
    state: &State,
    job: &Job<'_>,
    is_first: bool,
    may: impl Fn(Ipv4Addr) -> bool,
) -> Option<Ipv4Addr> {
    let regions = &state.settings.regions;
    let own = regions.iter().find(|row| row.0 == state.settings.zone);
    let own = own.map(|row| &row.1);
    let homes = job.homes.as_deref();
    let is_allowed = |zone: &ZoneId, region| {
        Some(region) == own || homes.is_none_or(|homes| homes.binary_search(zone).is_ok())
    };
    let zones = regions
        .iter()
        .filter(|(zone, region)| is_allowed(zone, region));
    let zones: Vec<ZoneHash> = zones.map(|(zone, _)| name_hash(zone)).collect();
    let own = name_hash(&state.settings.zone);
    let others: Vec<ZoneHash> = zones.iter().copied().filter(|zone| *zone != own).collect();
    let peers = state.peers.borrow();
    let service = name_hash(&job.service.name);
    let choose = |zones: &[ZoneHash]| {
        let random = |count| fastrand::usize(..count);
        peers.forwarder(service, zones, &may, Std::now(), random)
    };
    if is_first {
        return choose(&zones);
    }
    choose(&others).or_else(|| choose(&zones))
}

/// Sends a request to a daemon and waits until that has begun to answer. `granted` is how often the
/// daemon may have it run.
pub(crate) async fn begin(
    state: &Rc<State>,
    job: &Job<'_>,
    (daemon, granted): (Ipv4Addr, u32),
    at: Forwarded,
) -> Result<Begun<DaemonStream>, AttemptEnd> {
    let not_taken = |end, why: &dyn Display| {
        log_failed(state, job, &daemon, "not taken", why);
        Err(end)
    };
    let address = peer_address(state, daemon);
    let mut conn = match state.upstreams.get(address, &job.used).await {
        Ok((conn, _)) => conn,
        Err(error) => {
            let end = AttemptEnd::NotConnected(NotSent::unconnected());
            return not_taken(end, &error);
        }
    };
    let head = onward_head(
        job.request,
        &Onward {
            time_left: job.deadline.saturating_duration_since(Instant::now()),
            resume: at.resume(),
            runs_left: granted,
            handling: handling(job.route, job.team),
            body_len: job.body.len(),
        },
    );
    let request = Outgoing::new(head, job.body);
    let response = match exchange(
        state,
        &mut conn,
        &request,
        (&job.head.id, job.deadline.into_std()),
    )
    .await
    {
        Ok(response) => response,
        Err(error @ ExchangeError::NotSent(_)) => return not_taken(error.end(), &error),
        Err(error) => return failed(state, job, daemon, error),
    };
    if let Some(proof) = response.meta.not_run {
        let end = if response.head.status == MISDIRECTED {
            AttemptEnd::NotTaken(proof)
        } else {
            AttemptEnd::NotRun(proof)
        };
        let why = record_not_taken(state, job, daemon, &response);
        if read_body(&mut conn, &response, &job.head.id, state.held.begin())
            .await
            .is_ok()
        {
            keep_connection(state, daemon, conn, &response);
        }
        return not_taken(end, &why);
    }
    if job.route.retry_policy.is_stream() && response.head.status == OK && response.meta.sealed {
        return match OpenStream::open(conn, response, (&job.head.id, at.last), state.held.begin())
            .await
        {
            Ok(stream) => Ok(Begun::Stream(Box::new(DaemonStream { stream, daemon }))),
            Err(error) => failed(state, job, daemon, error),
        };
    }
    let is_unproven = response.is_promise() && !response.is_intact;
    if is_unproven && !job.route.retry_policy.allows_retry() {
        return failed(state, job, daemon, ExchangeError::Unproven);
    }
    match read_body(&mut conn, &response, &job.head.id, state.held.begin()).await {
        Ok(body) => {
            log_done(state, job, daemon);
            keep_connection(state, daemon, conn, &response);
            Ok(Begun::Complete(response.head, body))
        }
        Err(error) => failed(state, job, daemon, error),
    }
}

/// Records that a daemon did not take a request, and returns why: its configuration differs, it has no
/// room for as long as it says, or it does not reach the service.
fn record_not_taken(
    state: &State,
    job: &Job<'_>,
    daemon: Ipv4Addr,
    response: &EndpointResponse,
) -> &'static str {
    let service = name_hash(&job.service.name);
    let now = Std::now();
    let mut peers = state.peers.borrow_mut();
    match response.meta.rest {
        Announced::Value(rest) if rest.is_zero() => "its configuration differs",
        Announced::Value(rest) => {
            peers.record_full(daemon, service, now + rest, now);
            "it has no room"
        }
        Announced::Absent | Announced::Invalid => {
            peers.record_cut_off(daemon, service, now);
            "it ends or does not reach the service"
        }
    }
}

fn peer_address(state: &State, daemon: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(daemon.into(), state.settings.peers.port())
}

/// Logs an attempt that failed after something was sent.
fn failed<T>(
    state: &State,
    job: &Job<'_>,
    daemon: Ipv4Addr,
    error: ExchangeError,
) -> Result<T, AttemptEnd> {
    log_failed(state, job, &daemon, "failed", &error);
    Err(error.end())
}

/// Keeps a connection to a daemon if its exchange ended cleanly.
fn keep_connection(
    state: &State,
    daemon: Ipv4Addr,
    conn: BufferedStream,
    response: &EndpointResponse,
) {
    if response.is_reusable(&conn) {
        let catalog = state.catalog.borrow();
        let limits = catalog.as_ref().map(|catalog| catalog.limits);
        let idle = limits.map(|limits| limits.idle_timeout.as_secs());
        state.upstreams.put(peer_address(state, daemon), conn, idle);
    }
}

/// Time without a response after which another daemon is asked.
pub(crate) fn patience(job: &Job<'_>) -> Duration {
    (job.route.target * PATIENCE).max(MIN_PATIENCE)
}

/// Pause of a stream after which another daemon is asked.
pub(crate) fn pause(job: &Job<'_>) -> Duration {
    let pause = job.route.pause_target.unwrap_or(job.route.target);
    (pause * PATIENCE * 2).max(MIN_PATIENCE)
}

/// Records that a daemon was silent until its request was given up.
pub(crate) fn record_silent(state: &State, job: &Job<'_>, daemon: &str) {
    log_failed(state, job, &daemon, "failed", &ExchangeError::TimedOut);
}

/// Logs a request that another daemon answered, a few a second.
fn log_done(state: &State, job: &Job<'_>, daemon: Ipv4Addr) {
    state.measure(|metrics| metrics.record_forwarded("answered"));
    if state.sampler.allows(Std::now()) {
        log::info!(
            request = job.head.id.as_str(), route = job.route.name.as_str(), catalog = job.version,
            took_ms = job.arrived.elapsed().as_millis() as u64;
            "forward: answered by the daemon at {daemon}."
        );
    }
}

fn log_failed(
    state: &State,
    job: &Job<'_>,
    daemon: &dyn Display,
    outcome: &'static str,
    why: &dyn Display,
) {
    state.measure(|metrics| metrics.record_forwarded(outcome));
    log::info!(
        request = job.head.id.as_str(), catalog = job.version,
        after_ms = job.arrived.elapsed().as_millis() as u64;
        "forward: {outcome} by the daemon at {daemon}, {why}."
    );
}
