//! Forwards requests to other daemons while this one reaches no endpoint of their service.
//!
//! The other daemon handles a forwarded request like one of its own callers: it checks the API key,
//! counts the request against the team's allowance and chooses the endpoint. It never forwards the
//! request again. If it does not reach the service either, or is shutting down, the next daemon is
//! tried.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant as Std};

use bytes::Bytes;
use compact_str::ToCompactString as _;
use poplarvale_lib::http1::Request;
use poplarvale_lib::relay::attempts::{AttemptEnd, Stop, Via};
use poplarvale_lib::relay::catalog::Route;
use poplarvale_lib::relay::quota::name_hash;
use poplarvale_lib::relay::request::RequestHead;
use poplarvale_lib::{Code, ServiceId, ZoneHash, ZoneId};
use poplarvale_platform::{Onward, onward_head};
use tokio::net::tcp::WriteHalf;
use tokio::time::{Instant, timeout_at};

use super::attempt::MAX_RESPONSE_BYTES;
use super::buffered_stream::BufferedStream;
use super::dispatch::try_retry;
use super::exchange::{EndpointResponse, ExchangeError, OK, exchange, read_body};
use super::progress::{Loss, Tracker};
use super::serve::{Connection, Rejection, connection, forward_response, reject};
use super::state::State;
use super::stream::{Forwarded, StallTimeout, StreamEnd, forward_stream};

/// Most daemons that a request is forwarded to, one after the other.
const MAX_DAEMONS: usize = 3;
/// How many times longer a daemon may be silent than an endpoint before the request is moved: it
/// moves the request itself if its endpoint is silent.
const PATIENCE: u32 = 3;
/// Shortest time without a response after which a request is moved to another daemon.
const MIN_STALL_TIME: Duration = Duration::from_secs(1);

/// A request that is forwarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forwarding<'r> {
    pub(crate) request: &'r Request,
    pub(crate) body: &'r Bytes,
    pub(crate) head: &'r RequestHead,
    pub(crate) route: &'r Route,
    pub(crate) service: &'r ServiceId,
    /// Sorted zones that it may be sent to; `None` for all.
    pub(crate) homes: Option<&'r [ZoneId]>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// How forwarding to one daemon ended.
enum Outcome {
    /// The caller was answered.
    Done(Connection),
    /// The caller accepts no more data.
    CallerGone(Loss),
    /// The daemon did not take the request.
    NotTaken(&'static str),
    /// The connection broke or stalled; the request may have run.
    Failed(ExchangeError),
}

/// Forwards a request to other daemons until one answers it. Returns `None` if none took it; it
/// has not run then, apart from attempts before.
pub(crate) async fn forward(
    state: &Rc<State>,
    job: &Forwarding<'_>,
    tracker: &Tracker,
    forwarded: &mut Forwarded,
    write: &mut WriteHalf<'_>,
) -> Option<Connection> {
    let progress = tracker.progress();
    let mut avoid = Vec::new();
    let mut failed = None;
    while avoid.len() < MAX_DAEMONS && Instant::now() < job.deadline {
        let Some(daemon) = choose(state, job, &avoid) else {
            progress.record_stop(Stop::NoDaemon);
            break;
        };
        avoid.push(daemon);
        let name = daemon.to_compact_string();
        let row = progress.update(|rows| rows.begin(&name, Via::Daemon, Std::now()));
        let outcome = send(state, job, daemon, forwarded, write).await;
        progress.record_event(forwarded.events.last());
        if let Some(end) = attempt_end(&outcome) {
            progress.update(|rows| rows.end(row, end, Std::now()));
        }
        match outcome {
            Outcome::CallerGone(loss) => {
                tracker.lose(loss);
                return Some(Connection::Close);
            }
            Outcome::Done(connection) => {
                tracker.end();
                log_done(state, job, daemon, avoid.len());
                return Some(connection);
            }
            Outcome::NotTaken(why) => log_failed(state, job, daemon, "not taken", &why),
            Outcome::Failed(error) => {
                log_failed(state, job, daemon, "failed", &error);
                // The other daemon may have used all attempts of the route, so there is one retry.
                let is_last = failed.replace(error).is_some();
                let may_retry = job.route.retry_policy.allows_retry() && !is_last;
                if !may_retry {
                    progress.record_stop(Stop::Runs);
                    break;
                }
                if !try_retry(state, job.service) {
                    progress.record_stop(Stop::Budget);
                    break;
                }
            }
        }
    }
    let error = failed?;
    if forwarded.head_sent {
        tracker.lose(Loss::CutOff);
        return Some(Connection::Close);
    }
    tracker.end();
    let code = match error {
        ExchangeError::TimedOut => Code::Overdue,
        ExchangeError::NotSent | ExchangeError::Broken | ExchangeError::Invalid => Code::Broken,
    };
    let rejection = Rejection::unknown_outcome(code);
    Some(reject(state, write, job.head, rejection, forwarded.keep).await)
}

/// How an attempt at a daemon ended; `None` if the caller ended it.
fn attempt_end(outcome: &Outcome) -> Option<AttemptEnd> {
    Some(match outcome {
        Outcome::Done(_) => AttemptEnd::Answered,
        Outcome::CallerGone(_) => return None,
        Outcome::NotTaken(_) => AttemptEnd::NotRun,
        Outcome::Failed(ExchangeError::TimedOut) => AttemptEnd::TimedOut,
        Outcome::Failed(ExchangeError::Invalid) => AttemptEnd::Invalid,
        Outcome::Failed(_) => AttemptEnd::Broken,
    })
}

/// Chooses a daemon at random: of this zone, or else of the others that the request may be sent to.
fn choose(state: &State, job: &Forwarding<'_>, avoid: &[Ipv4Addr]) -> Option<Ipv4Addr> {
    let regions = &state.settings.regions;
    let own = regions.iter().find(|row| row.0 == state.settings.zone);
    let own = own.map(|row| &row.1);
    let is_allowed = |zone: &ZoneId, region| {
        Some(region) == own
            || job
                .homes
                .is_none_or(|homes| homes.binary_search(zone).is_ok())
    };
    let zones = regions
        .iter()
        .filter(|(zone, region)| is_allowed(zone, region));
    let zones: Vec<ZoneHash> = zones.map(|(zone, _)| name_hash(zone)).collect();
    let peers = state.peers.borrow();
    let service = name_hash(job.service);
    peers.forwarder(service, &zones, avoid, Std::now(), |count| {
        fastrand::usize(..count)
    })
}

/// Sends a request to a daemon and passes its answer on.
async fn send(
    state: &Rc<State>,
    job: &Forwarding<'_>,
    daemon: Ipv4Addr,
    forwarded: &mut Forwarded,
    write: &mut WriteHalf<'_>,
) -> Outcome {
    let address = SocketAddr::new(daemon.into(), state.settings.peers.port());
    let Ok((mut conn, _)) = state.upstreams.get(address).await else {
        return Outcome::NotTaken("it accepted no connection");
    };
    let mut bytes = onward_head(
        job.request,
        &Onward {
            time_left: job.deadline.saturating_duration_since(Instant::now()),
            resume: forwarded
                .head_sent
                .then(|| forwarded.events.last())
                .flatten(),
            body_len: job.body.len(),
        },
    );
    bytes.extend_from_slice(job.body);
    let may_move = job.route.retry_policy.allows_retry();
    let mut try_move = || may_move;
    let mut stall = stall_timeout(job, &mut try_move);
    let bytes = bytes.freeze();
    let exchanged = exchange(&mut conn, &bytes, &job.head.id);
    let response = match stall.wait(true, exchanged).await {
        Some(Ok(response)) => response,
        Some(Err(ExchangeError::NotSent)) => return Outcome::NotTaken("its connection was closed"),
        Some(Err(error)) => return Outcome::Failed(error),
        None => return Outcome::Failed(ExchangeError::TimedOut),
    };
    if response.meta.not_run {
        state
            .peers
            .borrow_mut()
            .record_cut_off(daemon, name_hash(job.service), Std::now());
        return Outcome::NotTaken("it cannot serve it either");
    }
    let outcome = pass_on(&mut conn, &response, job, forwarded, write, &mut stall).await;
    if matches!(outcome, Outcome::Done(_)) && response.is_reusable(&conn) {
        let catalog = state.catalog.borrow();
        let idle = catalog
            .as_ref()
            .map(|row| row.limits.idle_timeout.as_secs());
        state.upstreams.put(address, conn, idle);
    }
    outcome
}

/// Passes the answer of a daemon on to the caller.
async fn pass_on(
    conn: &mut BufferedStream,
    response: &EndpointResponse,
    job: &Forwarding<'_>,
    forwarded: &mut Forwarded,
    write: &mut WriteHalf<'_>,
    stall: &mut StallTimeout<'_>,
) -> Outcome {
    let is_stream = job.route.retry_policy.is_stream() && response.head.status == OK;
    forwarded.events.drop_partial();
    if is_stream && response.meta.sealed {
        return match forward_stream(conn, response, forwarded, write, stall, || {}).await {
            StreamEnd::Complete => Outcome::Done(connection(forwarded.keep)),
            StreamEnd::CallerGone(loss) => Outcome::CallerGone(loss),
            StreamEnd::Broken => Outcome::Failed(ExchangeError::Broken),
        };
    }
    if forwarded.head_sent {
        return Outcome::NotTaken("it did not resume the stream");
    }
    let body = read_body(conn, &response.head, MAX_RESPONSE_BYTES);
    match timeout_at(job.deadline, body).await {
        Ok(Ok(body)) => {
            Outcome::Done(forward_response(write, &response.head, &body, forwarded.keep).await)
        }
        Ok(Err(_)) => Outcome::Failed(ExchangeError::Broken),
        Err(_) => Outcome::Failed(ExchangeError::TimedOut),
    }
}

fn stall_timeout<'m>(
    job: &Forwarding<'_>,
    try_move: &'m mut dyn FnMut() -> bool,
) -> StallTimeout<'m> {
    let target = job.route.target;
    let pause = job.route.pause_target.unwrap_or(target);
    StallTimeout {
        first_event: Instant::now() + (target * PATIENCE).max(MIN_STALL_TIME),
        pause: (pause * PATIENCE * 2).max(MIN_STALL_TIME),
        deadline: job.deadline,
        try_move,
    }
}

/// Logs a request that another daemon answered, a few a second.
fn log_done(state: &State, job: &Forwarding<'_>, daemon: Ipv4Addr, sends: usize) {
    state.measure(|metrics| metrics.record_forwarded("answered"));
    if state.sampler.allows(Std::now()) {
        log::info!(
            request = job.head.id.as_str(), route = job.route.name.as_str(), sends,
            took_ms = job.arrived.elapsed().as_millis() as u64;
            "forward: answered by the daemon at {daemon}."
        );
    }
}

fn log_failed(
    state: &State,
    job: &Forwarding<'_>,
    daemon: Ipv4Addr,
    outcome: &'static str,
    why: &dyn std::fmt::Display,
) {
    state.measure(|metrics| metrics.record_forwarded(outcome));
    log::info!(
        request = job.head.id.as_str(), after_ms = job.arrived.elapsed().as_millis() as u64;
        "forward: {outcome} by the daemon at {daemon}, {why}."
    );
}
