//! One attempt: sends a request to one endpoint and reads its response, or the begin of its stream.
//!
//! Every result counts for the endpoint's circuit breaker and for a running rollout of its service.
//! If the connection breaks, the endpoint may have crashed because of the request, so it is
//! checked.

use std::fmt::{self, Display, Formatter};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant as Std};

use bytes::Bytes;
use poplarvale_lib::http1::{Request, Response};
use poplarvale_lib::relay::attempts::AttemptEnd;
use poplarvale_lib::relay::catalog::{CatalogVersion, Route, Service, Team};
use poplarvale_lib::relay::crash::SAFE_AFTER;
use poplarvale_lib::relay::endpoint_table::EndpointState;
use poplarvale_lib::relay::limit::AnnouncedLimit;
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::pace::Pace;
use poplarvale_lib::relay::request::{Origin, Prompt, RequestHead};
use poplarvale_lib::relay::rollout::evidence::Sample;
use poplarvale_lib::relay::rollout::{MoveChange, Versions};
use poplarvale_lib::relay::selection::{self, Choice, Criteria};
use poplarvale_lib::{EndpointId, NotSent, ZoneId};
use poplarvale_platform::{Announced, Availability, Outbound, request_head};
use tokio::time::{Instant, timeout_at};

use super::buffered_stream::{BufferedStream, ConnectionId};
use super::crash::{LazyFingerprint, check_crash, check_refusal, clear, record_served};
use super::exchange::{
    EndpointResponse, ExchangeError, OK, Outgoing, SERVER_ERROR, UNAVAILABLE, exchange, read_body,
};
use super::metrics::Metrics;
use super::reach;
use super::silence;
use super::startup;
use super::state::State;
use super::stream::{Forwarded, OpenStream};
use super::upstream::UsedConnections;

/// How long an endpoint that reported itself full gets no request; its queue shrinks by a request
/// every few milliseconds.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// An admitted request that is being served.
#[derive(Debug)]
pub(crate) struct Job<'r> {
    pub(crate) request: &'r Request,
    pub(crate) body: &'r Bytes,
    pub(crate) head: &'r RequestHead,
    pub(crate) route: &'r Route,
    pub(crate) team: Option<&'r Team>,
    pub(crate) service: &'r Service,
    pub(crate) rank: u8,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Version of the configuration that was in use when it was admitted.
    pub(crate) version: CatalogVersion,
    /// Versions of the service that it may be sent to.
    pub(crate) versions: Versions,
    /// Sorted zones that it may be sent to; `None` for all.
    pub(crate) homes: Option<Vec<ZoneId>>,
    pub(crate) fingerprint: LazyFingerprint<'r>,
    /// Whether it is sent once although something in it is quarantined.
    pub(crate) is_trial: bool,
    pub(crate) origin: Origin,
    /// How often it may run at endpoints.
    pub(crate) max_runs: u32,
    /// Whether it may be forwarded to another daemon.
    pub(crate) may_forward: bool,
    /// Whether it is sent to an endpoint first though its service is not reached, to see whether it is
    /// again.
    pub(crate) tries_reach: bool,
    /// Share of the longest queue at an engine that it may join, from 0 to 1.
    pub(crate) queue_share: f64,
    /// Connections on which it was sent.
    pub(crate) used: UsedConnections,
}

/// An answer that has begun; `S` is its stream and what is recorded of that.
#[derive(Debug)]
pub(crate) enum Begun<S> {
    /// A complete response that is not a stream.
    Complete(Response, Bytes),
    /// A stream of which the first event was received.
    Stream(Box<S>),
}

/// Counts a request as in flight at an endpoint until the guard is dropped, however the task that
/// serves it ends.
#[derive(Debug)]
struct RequestGuard {
    state: Rc<State>,
    endpoint: EndpointId,
    number: u64,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(row) = self.state.endpoints.borrow_mut().get_mut(&self.endpoint) {
            row.remove_request(self.number);
            row.breaker.record_inconclusive();
        }
    }
}

/// Sends a request to the chosen endpoint and waits until that has begun to answer. If the future
/// is dropped before, the connection is reset, and the endpoint drops the request.
pub(crate) async fn begin(
    state: &Rc<State>,
    job: &Job<'_>,
    choice: &Choice,
    at: Forwarded,
) -> Result<Begun<EndpointStream>, AttemptEnd> {
    let guard = add_in_flight(state, job, choice);
    let Some((endpoint, mut conn, reused)) = connect(state, job, choice).await else {
        return Err(AttemptEnd::NotConnected(NotSent::unconnected()));
    };
    log_doubtful(state, job, choice);
    let bytes = encode_request(job, choice, at);
    let sent = Sent {
        address: endpoint.address,
        connection: conn.number,
        reused,
        at: Std::now(),
        guard,
    };
    let response = match exchange(
        state,
        &mut conn,
        &bytes,
        (&job.head.id, job.deadline.into_std()),
    )
    .await
    {
        Ok(response) => response,
        Err(error @ ExchangeError::NotSent(_)) => return Err(error.end()),
        Err(error) => return sent.fail(state, job, error),
    };
    reach::record_answer(state, &job.service.name);
    silence::record_heard(state, &choice.id);
    record_limit(state, &endpoint, &response, sent.at);
    record_brittle(state, &endpoint, &response, sent.at);
    record_leaving(state, &endpoint, &response);
    record_rest(state, &endpoint, &response);
    record_pace(state, &endpoint, &response);
    if let Some(proof) = response.meta.not_run {
        record_not_run(state, job, choice, &sent, &response);
        drain_rejection(state, job, sent.address, conn, &response).await;
        return Err(AttemptEnd::NotRun(proof));
    }
    if job.route.retry_policy.is_stream() && response.head.status == OK && response.meta.sealed {
        return match OpenStream::open(conn, response, (&job.head.id, at.last), state.held.begin())
            .await
        {
            Ok(stream) => Ok(Begun::Stream(Box::new(sent.stream(state, job, stream)))),
            Err(error) => sent.fail(state, job, error),
        };
    }
    let body = read_response(state, job, &mut conn, &response).await;
    // A stream begins to run with its first event; an error in its place is no run.
    if !job.route.retry_policy.is_stream() {
        state.count_run(job.team.map(|team| &team.name), sent.at);
    }
    match body {
        Ok(body) => {
            let is_good = response.head.status < SERVER_ERROR;
            record_sample(state, job, &choice.id, is_good, Timing::whole(sent.at));
            record_answered(state, job, &choice.id, sent.at, is_good);
            keep_connection(state, sent.address, conn, &response);
            Ok(Begun::Complete(response.head, body))
        }
        Err(error) => sent.fail(state, job, error),
    }
}

/// A request that is sent to an endpoint.
#[derive(Debug)]
struct Sent {
    address: SocketAddr,
    connection: ConnectionId,
    /// Whether its connection was used before.
    reused: bool,
    at: Std,
    guard: RequestGuard,
}

impl Sent {
    /// Records that the attempt failed before the first event or the end of the response.
    fn fail<T>(
        &self,
        state: &Rc<State>,
        job: &Job<'_>,
        error: ExchangeError,
    ) -> Result<T, AttemptEnd> {
        let endpoint = &self.guard.endpoint;
        let target = (endpoint, self.at);
        record_failed(state, job, target, error, Some(self.reused), None);
        record_sample(state, job, endpoint, false, Timing::whole(self.at));
        Err(error.end())
    }

    /// Records the first event of a stream.
    fn stream(self, state: &State, job: &Job<'_>, stream: OpenStream) -> EndpointStream {
        let now = Std::now();
        let mut table = state.endpoints.borrow_mut();
        table.record_first_event(&self.guard.endpoint, self.guard.number, now);
        startup::record_answer(state);
        state.measure(|metrics| metrics.record_first_event(job.arrived.elapsed()));
        state.count_run(job.team.map(|team| &team.name), now);
        EndpointStream {
            stream,
            sent: self,
            first_event: now,
            is_safe: false,
        }
    }
}

/// A stream of an endpoint that has begun.
#[derive(Debug)]
pub(crate) struct EndpointStream {
    pub(crate) stream: OpenStream,
    sent: Sent,
    first_event: Std,
    /// Whether it has run for [`SAFE_AFTER`], and that was recorded.
    is_safe: bool,
}

impl EndpointStream {
    /// Records that more of it was received. Once it has run for [`SAFE_AFTER`], its endpoint does not
    /// crash from it.
    pub(crate) fn record_received(&mut self, state: &State, job: &Job<'_>) {
        silence::record_heard(state, &self.sent.guard.endpoint);
        if !self.is_safe && self.first_event.elapsed() >= SAFE_AFTER {
            self.is_safe = true;
            clear(state, &job.fingerprint);
            record_served(state, &job.fingerprint);
        }
    }

    /// Records that the whole stream was received, and keeps its connection.
    pub(crate) fn complete(self, state: &Rc<State>, job: &Job<'_>) {
        let events = self.stream.count().saturating_sub(1) as u32;
        let engine = job.service.engine.as_ref();
        let tokens = events * engine.map_or(0, |row| row.event_tokens);
        let RequestGuard {
            endpoint, number, ..
        } = &self.sent.guard;
        let mut table = state.endpoints.borrow_mut();
        table.record_stream(endpoint, *number, tokens, Std::now());
        drop(table);
        record_sample(state, job, endpoint, true, self.timing());
        record_answered(state, job, endpoint, self.sent.at, true);
        let OpenStream { conn, response, .. } = self.stream;
        keep_connection(state, self.sent.address, conn, &response);
    }

    /// Records that the stream broke off, or was given up.
    pub(crate) fn fail(&self, state: &Rc<State>, job: &Job<'_>, error: ExchangeError) {
        let endpoint = &self.sent.guard.endpoint;
        let (reused, first_event) = (Some(self.sent.reused), Some(self.first_event));
        if self.first_event.elapsed() >= SAFE_AFTER {
            record_served(state, &job.fingerprint);
        }
        record_sample(state, job, endpoint, false, self.timing());
        let target = (endpoint, self.sent.at);
        record_failed(state, job, target, error, reused, first_event);
    }

    /// When it was sent, and the time per event.
    fn timing(&self) -> Timing {
        let events = u32::try_from(self.stream.count().max(1)).unwrap_or(u32::MAX);
        Timing {
            sent: self.sent.at,
            took: self.sent.at.elapsed() / events,
        }
    }
}

/// Records that an endpoint was silent until its request was given up.
pub(crate) fn record_silent(state: &Rc<State>, job: &Job<'_>, endpoint: &EndpointId) {
    let target = (endpoint, job.arrived.into_std());
    record_failed(state, job, target, ExchangeError::TimedOut, None, None);
    record_sample(
        state,
        job,
        endpoint,
        false,
        Timing::whole(job.arrived.into_std()),
    );
}

/// Records that an endpoint answered; `is_good` if that was no error.
fn record_answered(state: &State, job: &Job<'_>, endpoint: &EndpointId, sent: Std, is_good: bool) {
    reach::record_result(state, &job.service.name, endpoint, sent, is_good);
    clear(state, &job.fingerprint);
    if is_good {
        record_served(state, &job.fingerprint);
        state.measure(|metrics| metrics.record_attempt("answered"));
    }
    let mut table = state.endpoints.borrow_mut();
    if let Some(row) = table.get_mut(endpoint) {
        if is_good {
            row.breaker.record_success();
        } else {
            row.breaker.record_failure(Std::now());
        }
    }
}

/// Records the rate limit that an endpoint announced in its response to a request that was sent
/// at `sent_at`.
fn record_limit(state: &State, endpoint: &Listing, response: &EndpointResponse, sent_at: Std) {
    let now = Std::now();
    let rate = match response.meta.limit {
        Announced::Value(rate) => Some(rate),
        // Responses overtake one another, and only one to a request that ran shows that the
        // endpoint needs no limit any more.
        Announced::Absent if response.meta.sealed && is_after_limit(state, endpoint, sent_at) => {
            None
        }
        Announced::Absent => return,
        Announced::Invalid => {
            log::warn!(
                "limit: the limit that endpoint {} announced is not a valid rate and is ignored.",
                endpoint.id
            );
            return;
        }
    };
    let limit = AnnouncedLimit { rate, at: now };
    if state
        .endpoints
        .borrow_mut()
        .record_limit(&endpoint.id, limit)
    {
        log::info!(now:? = rate; "limit: endpoint {} announced another limit.", endpoint.id);
        state.digest_due.notify_one();
    }
}

/// Records that an endpoint announced in a response that it leaves.
fn record_leaving(state: &State, endpoint: &Listing, response: &EndpointResponse) {
    if response.meta.availability == Availability::Staying {
        return;
    }
    let now = Std::now();
    if state
        .endpoints
        .borrow_mut()
        .record_departure(&endpoint.id, now)
    {
        log::info!(
            store_heard_ms = state.connectivity.get().since_answer(now).as_millis() as u64;
            "board: endpoint {} announces in an answer that it leaves.", endpoint.id
        );
        state.digest_due.notify_one();
    }
}

/// Records that an endpoint rejected a request and asked for a rest.
fn record_rest(state: &State, endpoint: &Listing, response: &EndpointResponse) {
    if response.head.status != UNAVAILABLE && response.meta.not_run.is_none() {
        return;
    }
    match response.meta.rest {
        Announced::Absent => {}
        Announced::Value(rest) => {
            let mut table = state.endpoints.borrow_mut();
            table.record_rest(&endpoint.id, rest, Std::now());
        }
        Announced::Invalid => log::warn!(
            "limit: the rest that endpoint {} asked for is not a valid time and is ignored.",
            endpoint.id
        ),
    }
}

/// Records how long work takes at an endpoint, as it announced in a response.
fn record_pace(state: &State, endpoint: &Listing, response: &EndpointResponse) {
    let now = Std::now();
    let announced = match response.meta.pace {
        Announced::Absent => return,
        Announced::Value(percent) => Pace::from_percent(percent),
        Announced::Invalid => None,
    };
    if let Some(pace) = announced {
        let mut table = state.endpoints.borrow_mut();
        table.record_pace(&endpoint.id, pace, now);
        return;
    }
    state.measure(Metrics::record_ignored_pace);
    if state.pace_sampler.allows(now) {
        log::warn!(
            announced:? = response.meta.pace;
            "pace: what endpoint {} announced cannot be true and is ignored.", endpoint.id
        );
    }
}

/// Records that an endpoint did not run a request.
fn record_not_run(
    state: &State,
    job: &Job<'_>,
    choice: &Choice,
    sent: &Sent,
    response: &EndpointResponse,
) {
    let now = Std::now();
    let status = response.head.status;
    let mut table = state.endpoints.borrow_mut();
    if let Some(row) = table.get_mut(&choice.id) {
        row.full_until = Some(now + FULL_PAUSE);
    }
    if status == UNAVAILABLE {
        table.record_rejection(&choice.id, now);
    }
    drop(table);
    state.measure(|metrics| metrics.record_attempt("not run"));
    reach::record_result(state, &job.service.name, &choice.id, sent.at, false);
    let rest = response.meta.rest.value();
    log::info!(
        request = job.head.id.as_str(), endpoint = choice.id.as_str(), status,
        rest_ms = rest.map(|rest| rest.as_millis() as u64), kept = sent.reused,
        address:% = sent.address, connection = sent.connection, skipped = response.skipped;
        "send: the endpoint did not run the request."
    );
}

/// Records whether an endpoint announced that it is brittle, in its response to a request that was
/// sent at `sent_at`.
fn record_brittle(state: &State, endpoint: &Listing, response: &EndpointResponse, sent_at: Std) {
    let tolerated = match response.meta.brittle {
        Announced::Value(tolerated) => Some(tolerated),
        // Only answers of the endpoint itself show that it is not brittle any more.
        Announced::Absent if response.meta.sealed => None,
        Announced::Absent => return,
        Announced::Invalid => {
            log::warn!(
                "limit: the rejections that endpoint {} tolerates are not a number; ignored.",
                endpoint.id
            );
            return;
        }
    };
    let mut table = state.endpoints.borrow_mut();
    if table.record_brittle(&endpoint.id, tolerated, sent_at, Std::now()) {
        log::info!(
            tolerated:? = tolerated;
            "limit: endpoint {} announced how many rejections its service tolerates.", endpoint.id
        );
    }
}

/// Whether a request was sent after the endpoint last announced its limit.
fn is_after_limit(state: &State, endpoint: &Listing, sent_at: Std) -> bool {
    let table = state.endpoints.borrow();
    let limit = table.get(&endpoint.id).and_then(|row| row.limit.as_ref());
    limit.is_some_and(|limit| sent_at > limit.announced_at())
}

/// Gets a connection to the chosen endpoint, and whether it was used before; `None` if none could
/// be made.
async fn connect(
    state: &Rc<State>,
    job: &Job<'_>,
    choice: &Choice,
) -> Option<(Listing, BufferedStream, bool)> {
    let endpoint = state.endpoints.borrow().get(&choice.id)?.listing.clone();
    match state.upstreams.get(endpoint.address, &job.used).await {
        Ok((conn, reused)) => {
            if !reused {
                state.measure(|metrics| metrics.record_connect("made"));
            }
            Some((endpoint, conn, reused))
        }
        Err(error) => {
            state.measure(|metrics| metrics.record_connect(connect_outcome(&error)));
            let mut table = state.endpoints.borrow_mut();
            let row = table.get_mut(&choice.id);
            let opened = row.is_some_and(|row| row.breaker.record_connect_failure(Std::now()));
            drop(table);
            if error.kind() == ErrorKind::ConnectionRefused {
                check_refusal(state, &endpoint);
            }
            state.measure(|metrics| metrics.record_attempt("not connected"));
            reach::record_failure(state, &job.service.name);
            reach::record_result(state, &job.service.name, &choice.id, Std::now(), false);
            log::info!(
                request = job.head.id.as_str(), endpoint = choice.id.as_str(), left_out = opened;
                "send: could not connect to the endpoint, {error}; another one may be tried."
            );
            None
        }
    }
}

/// Why a connection was not made, as the metrics count it.
fn connect_outcome(error: &io::Error) -> &'static str {
    match error.kind() {
        ErrorKind::ConnectionRefused => "refused",
        ErrorKind::TimedOut => "timed out",
        _ => "failed",
    }
}

/// The endpoint if it may have crashed because of a request whose attempt failed there.
/// `first_event` is when the first event of its stream was received.
fn crash_suspect(
    state: &State,
    endpoint: &EndpointId,
    error: ExchangeError,
    first_event: Option<Std>,
) -> Option<Listing> {
    let is_safe = first_event.is_some_and(|at| at.elapsed() >= SAFE_AFTER);
    if error != ExchangeError::Broken || is_safe {
        return None;
    }
    let table = state.endpoints.borrow();
    // The process of a leaving endpoint ends in any case.
    let row = table
        .get(endpoint)
        .filter(|row| row.state != EndpointState::Leaving);
    row.map(|row| row.listing.clone())
}

/// Logs that a request is sent to an endpoint whose registry entry is missing. If the request
/// fails or the endpoint had left, this line explains why it was sent there.
fn log_doubtful(state: &State, job: &Job<'_>, choice: &Choice) {
    let table = state.endpoints.borrow();
    let endpoint_state = table.get(&choice.id).map(|row| row.state);
    if let Some(EndpointState::Doubtful(until)) = endpoint_state {
        let left = until.saturating_duration_since(Std::now());
        log::info!(
            request = job.head.id.as_str(), endpoint = choice.id.as_str(),
            until_ms = left.as_millis() as u64;
            "send: the registry entry of the endpoint is missing; the request is sent there anyway."
        );
    }
}

/// Counts a request as in flight at the chosen endpoint.
fn add_in_flight(state: &Rc<State>, job: &Job<'_>, choice: &Choice) -> RequestGuard {
    let number = state.next_number();
    let criteria = Criteria {
        service: job.service,
        prompt: job.head.prompt.as_ref(),
        target: job.route.target,
        zone: &state.settings.zone,
        avoid: &[],
        versions: &Versions::Any,
        homes: None,
        limits: None,
        sound_since: None,
        seed: 0,
        now: Std::now(),
    };
    selection::book(&mut state.endpoints.borrow_mut(), &criteria, choice, number);
    RequestGuard {
        state: Rc::clone(state),
        endpoint: choice.id.clone(),
        number,
    }
}

/// Head and body of the request as they are sent to the endpoint.
fn encode_request(job: &Job<'_>, choice: &Choice, at: Forwarded) -> Outgoing {
    let left = job.deadline.saturating_duration_since(Instant::now());
    let head = request_head(
        job.request,
        &Outbound {
            endpoint: &choice.id,
            team: job.team.map(|team| team.name.as_str()),
            time_left: left,
            rank: job.head.prompt.is_some().then_some(job.rank),
            resume: at.resume(),
            body_len: job.body.len(),
        },
    );
    Outgoing::new(head, job.body)
}

/// Reads the body of a response that is not a stream and does not state that the request was not run.
async fn read_response(
    state: &State,
    job: &Job<'_>,
    conn: &mut BufferedStream,
    response: &EndpointResponse,
) -> Result<Bytes, ExchangeError> {
    let body = read_body(conn, response, &job.head.id, state.held.begin()).await?;
    if !job.route.retry_policy.allows_retry() && response.is_promise() {
        return Err(ExchangeError::Unproven);
    }
    if response.head.status >= 300 || response.meta.sealed {
        Ok(body)
    } else {
        Err(ExchangeError::Invalid)
    }
}

/// When a request was sent to an endpoint, and how long its answer took.
#[derive(Clone, Copy, Debug)]
struct Timing {
    sent: Std,
    took: Duration,
}

impl Timing {
    /// Of an answer that has just ended.
    fn whole(sent: Std) -> Self {
        Self {
            sent,
            took: sent.elapsed(),
        }
    }
}

/// Records the result of an attempt for a rollout of the service, which compares the versions.
fn record_sample(state: &State, job: &Job<'_>, endpoint: &EndpointId, good: bool, timing: Timing) {
    let table = state.endpoints.borrow();
    let Some(row) = table.get(endpoint) else {
        return;
    };
    let version = &row.listing.version;
    let (service, route) = (&job.service.name, &job.route.name);
    let now = state.unix_ms();
    let sample = Sample {
        good,
        took: timing.took,
        sent: now.saturating_sub(timing.sent.elapsed().as_millis() as u64),
    };
    let mut rollouts = state.rollouts.borrow_mut();
    let change = rollouts.record(service, route, (endpoint, version), sample, now);
    if change == MoveChange::None {
        return;
    }
    let totals = rollouts.totals(service);
    let what = if change == MoveChange::Ended {
        "rolled back and gets no further requests"
    } else {
        "suspected and gets the share of a trial"
    };
    log::warn!(
        request = job.head.id.as_str(), route = route.as_str(), good,
        took_ms = sample.took.as_millis() as u64,
        old = totals.old.requests, old_failed = totals.old.failures, old_slow = totals.old.slow,
        new = totals.new.requests, new_failed = totals.new.failures, new_slow = totals.new.slow;
        "rollout: version {version} of {service} is {what}."
    );
    state.digest_due.notify_one();
}

/// Ids of the parts that a prompt may share with others, for a log line.
struct SharedParts<'r>(Option<&'r Prompt>);

impl Display for SharedParts<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let parts = self.0.map_or(&[][..], Prompt::shared_parts);
        for (at, (id, _)) in parts.iter().enumerate() {
            let comma = if at == 0 { "" } else { "," };
            write!(f, "{comma}{id:x}")?;
        }
        Ok(())
    }
}

/// Records a failed attempt at an endpoint, and when it was sent. `reused` is whether its connection was used before, if that is known,
/// `first_event` when the first event of its stream was received.
fn record_failed(
    state: &Rc<State>,
    job: &Job<'_>,
    (endpoint, sent): (&EndpointId, Std),
    error: ExchangeError,
    reused: Option<bool>,
    first_event: Option<Std>,
) {
    let mut table = state.endpoints.borrow_mut();
    let row = table.get_mut(endpoint);
    let opened = row.is_some_and(|row| row.breaker.record_failure(Std::now()));
    drop(table);
    state.measure(|metrics| metrics.record_attempt("failed"));
    reach::record_failure(state, &job.service.name);
    reach::record_result(state, &job.service.name, endpoint, sent, false);
    log::info!(
        request = job.head.id.as_str(), endpoint = endpoint.as_str(), kept = reused,
        left_out = opened, after_ms = job.arrived.elapsed().as_millis() as u64,
        content:% = format_args!("{:016x}", job.fingerprint.get()),
        ran_ms = first_event.map(|at| at.elapsed().as_millis() as u64),
        parts:% = SharedParts(job.head.prompt.as_ref());
        "send: failed, {error}."
    );
    if let Some(suspect) = crash_suspect(state, endpoint, error, first_event) {
        check_crash(state, &suspect, &job.fingerprint);
    }
}

/// Reads the body of a rejection, so that its connection can be reused.
async fn drain_rejection(
    state: &Rc<State>,
    job: &Job<'_>,
    address: SocketAddr,
    mut conn: BufferedStream,
    response: &EndpointResponse,
) {
    let until = Instant::now() + FULL_PAUSE;
    let body = read_body(&mut conn, response, &job.head.id, state.held.begin());
    if let Ok(Ok(_)) = timeout_at(until, body).await {
        keep_connection(state, address, conn, response);
    }
}

/// Keeps a connection for later requests if its exchange ended cleanly.
fn keep_connection(
    state: &Rc<State>,
    address: SocketAddr,
    conn: BufferedStream,
    response: &EndpointResponse,
) {
    if response.is_reusable(&conn) {
        state.upstreams.put(address, conn, response.meta.idle);
    }
}
