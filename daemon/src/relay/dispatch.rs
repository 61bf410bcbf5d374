//! Sends an admitted request to endpoints until one responds or no further attempt is allowed.
//!
//! A request that no endpoint ran may be sent to another one whatever its route. One that ran, or
//! may have, is retried only if its route allows that. Once the request has reached an endpoint,
//! every further attempt is taken from the retry budget of its service.

use std::rc::Rc;
use std::time::{Duration, Instant as Std};

use bytes::Bytes;
use poplarvale_lib::http1::Response;
use poplarvale_lib::relay::admit::Limits;
use poplarvale_lib::relay::attempts::{AttemptEnd, Stop, Via};
use poplarvale_lib::relay::endpoint_table::EndpointState;
use poplarvale_lib::relay::quota;
use poplarvale_lib::relay::selection::{Choice, Criteria, SelectError, choose};
use poplarvale_lib::{Code, EndpointId, ServiceId};
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;

use super::attempt::{AttemptOutcome, Job, attempt};
use super::crash::quarantine_left;
use super::exchange::{ExchangeError, SERVER_ERROR};
use super::forward::{Forwarding, forward};
use super::progress::{Loss, Tracker};
use super::reach;
use super::serve::{Connection, RETRY_SOON, Rejection, connection, forward_response, reject};
use super::state::State;
use super::stream::{Forwarded, StallTimeout};

/// Maximum number of endpoints that a request is sent to, including those that did not run it.
const MAX_ENDPOINTS: u32 = 3;
/// Minimum time without a response after which a request is moved to another endpoint. The
/// slowest of normal plain responses take about 200 ms.
const MIN_STALL_TIME: Duration = Duration::from_millis(350);
/// Time after which a caller may retry while all zones with endpoints are evacuated. Operators
/// take a zone back seconds later at the earliest.
const EVACUATION_RETRY: Duration = Duration::from_secs(2);
/// Time left until the deadline below which an attempt is not worth making.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Progress of a request over its attempts.
#[derive(Debug)]
struct Progress {
    tracker: Tracker,
    forwarded: Forwarded,
    /// Endpoints of earlier attempts.
    avoid: Vec<EndpointId>,
    /// Number of attempts that ran the request, or may have.
    runs: u32,
    /// Number of attempts that sent the request to an endpoint.
    reached: u32,
    /// Whether a retry is already taken from the budget for the next attempt.
    reserved: bool,
    /// Whether an attempt failed after which the request may have run.
    unknown: bool,
    /// Whether its units were returned to its team.
    refunded: bool,
    /// Why no further attempt is made; `None` while one may be.
    stopped: Option<SelectError>,
    /// Error response of an endpoint; it is forwarded if no later attempt responds.
    failure: Option<(Response, Bytes)>,
}

/// Serves a request that was admitted.
pub(crate) async fn dispatch(
    state: &Rc<State>,
    job: &Job<'_>,
    write: &mut WriteHalf<'_>,
    keep: bool,
) -> Connection {
    let now = Std::now();
    state
        .budget
        .borrow_mut()
        .record_request(&job.service.name, now);
    let times = (job.arrived.into_std(), job.deadline.into_std());
    let mut progress = Progress {
        tracker: Tracker::new(state, job.head, job.route, times),
        forwarded: Forwarded::new(job.head.resume, keep),
        avoid: Vec::new(),
        runs: 0,
        reached: 0,
        reserved: false,
        unknown: false,
        refunded: false,
        stopped: None,
        failure: None,
    };
    while let Some(choice) = progress.next_endpoint(state, job) {
        let outcome = progress.send(state, job, &choice, write).await;
        if let Some(connection) = progress.apply(state, job, &choice, outcome, write).await {
            return connection;
        }
    }
    progress.finish(state, job, write).await
}

impl Progress {
    /// Chooses the endpoint of the next attempt; `None` if there is to be none.
    fn next_endpoint(&mut self, state: &State, job: &Job<'_>) -> Option<Choice> {
        if self.may_forward(state, job) {
            return None;
        }
        if Instant::now() + MIN_TIME_LEFT >= job.deadline {
            self.record_stop(Stop::Deadline);
            return None;
        }
        if self.stopped.is_some() {
            return None;
        }
        if quarantine_left(state, &job.fingerprint).is_some() {
            self.record_stop(Stop::Quarantined);
            self.stopped = Some(SelectError::None);
            return None;
        }
        match pick(state, job, &self.avoid) {
            Ok(choice) => {
                let granted = std::mem::take(&mut self.reserved) || self.reached == 0;
                if granted || (self.reached < MAX_ENDPOINTS && try_retry(state, &job.service.name))
                {
                    return Some(choice);
                }
                self.record_stop(if self.reached < MAX_ENDPOINTS {
                    Stop::Budget
                } else {
                    Stop::Endpoints
                });
                self.stopped = Some(SelectError::Full);
            }
            Err(why) => {
                self.record_stop(Stop::Select(why));
                self.stopped = Some(why);
            }
        }
        None
    }

    fn record_stop(&self, stop: Stop) {
        self.tracker.progress().record_stop(stop);
    }

    /// Makes an attempt at the chosen endpoint.
    async fn send(
        &mut self,
        state: &Rc<State>,
        job: &Job<'_>,
        choice: &Choice,
        write: &mut WriteHalf<'_>,
    ) -> AttemptOutcome {
        self.avoid.push(choice.id.clone());
        let progress = self.tracker.progress();
        let row = progress.update(|row| row.begin(&choice.id, Via::Endpoint, Std::now()));
        let may_continue = job.route.retry_policy.allows_retry()
            && self.runs + 1 < job.route.attempts
            && self.reached + 1 < MAX_ENDPOINTS;
        let (avoid, reserved) = (&self.avoid, &mut self.reserved);
        let mut try_move = || {
            reach::record_failure(state, &job.service.name);
            let may_move = can_forward(state, job) || pick(state, job, avoid).is_ok();
            *reserved = may_continue && may_move && try_retry(state, &job.service.name);
            *reserved
        };
        let stall = stall_timeout(job, choice.wait, &mut try_move);
        let events = self.forwarded.events.count();
        let outcome = attempt(state, job, choice, &mut self.forwarded, write, stall).await;
        let events = self.forwarded.events.count() - events;
        progress.record_event(self.forwarded.events.last());
        progress.update(|rows| {
            rows.record_events(row, events);
            if let Some(end) = attempt_end(&outcome) {
                rows.end(row, end, Std::now());
            }
        });
        outcome
    }

    /// Applies the outcome of an attempt; `Some` if the request is done.
    async fn apply(
        &mut self,
        state: &State,
        job: &Job<'_>,
        choice: &Choice,
        outcome: AttemptOutcome,
        write: &mut WriteHalf<'_>,
    ) -> Option<Connection> {
        if !matches!(outcome, AttemptOutcome::NotSent) {
            self.reached += 1;
        }
        let retryable = job.route.retry_policy.allows_retry();
        match outcome {
            AttemptOutcome::Streamed => {
                self.tracker.end();
                log_response(state, job, &choice.id, 200, self.reached);
                Some(connection(self.forwarded.keep))
            }
            AttemptOutcome::CallerGone(loss) => {
                self.tracker.lose(loss);
                Some(Connection::Close)
            }
            AttemptOutcome::NotSent | AttemptOutcome::NotRun => None,
            AttemptOutcome::Complete(head, body) => {
                self.runs += 1;
                let retries = head.status >= SERVER_ERROR && retryable && !self.forwarded.head_sent;
                if retries && self.runs < job.route.attempts {
                    self.failure = Some((head, body));
                    return None;
                }
                if self.forwarded.head_sent {
                    return Some(self.cut_off(state, job));
                }
                self.tracker.end();
                log_response(state, job, &choice.id, head.status, self.reached);
                Some(forward_response(write, &head, &body, self.forwarded.keep).await)
            }
            AttemptOutcome::Failed(_) => {
                self.runs += 1;
                self.unknown = true;
                if !retryable || self.runs >= job.route.attempts {
                    self.record_stop(if retryable {
                        Stop::Runs
                    } else {
                        Stop::NotRepeatable
                    });
                    self.stopped = Some(SelectError::None);
                }
                None
            }
        }
    }

    /// Whether the request is to be forwarded to another daemon instead of a further attempt.
    fn may_forward(&self, state: &State, job: &Job<'_>) -> bool {
        can_forward(state, job) && (!self.unknown || job.route.retry_policy.allows_retry())
    }

    /// Forwards the request to another daemon, if that is possible and useful; `None` if it is not,
    /// or if no daemon took the request.
    async fn forward(
        &mut self,
        state: &Rc<State>,
        job: &Job<'_>,
        write: &mut WriteHalf<'_>,
    ) -> Option<Connection> {
        let is_late = Instant::now() + MIN_TIME_LEFT >= job.deadline;
        if is_late || self.failure.is_some() || !self.may_forward(state, job) {
            return None;
        }
        let is_first = self.reached == 0 && !self.forwarded.head_sent;
        if !is_first && !std::mem::take(&mut self.reserved) && !try_retry(state, &job.service.name)
        {
            return None;
        }
        if !self.unknown {
            // The other daemon counts the request against the rate of the team.
            self.refund(state, job);
        }
        let forwarding = Forwarding {
            request: job.request,
            body: job.body,
            head: job.head,
            route: job.route,
            service: &job.service.name,
            homes: job.homes.as_deref(),
            arrived: job.arrived,
            deadline: job.deadline,
        };
        forward(
            state,
            &forwarding,
            &self.tracker,
            &mut self.forwarded,
            write,
        )
        .await
    }

    /// Returns the units of a request that did not run to its team.
    fn refund(&mut self, state: &State, job: &Job<'_>) {
        if let Some(team) = job.team
            && !std::mem::replace(&mut self.refunded, true)
        {
            let units = quota::units(team, job.head);
            state.quota.borrow_mut().refund(team, units);
        }
    }

    /// Ends a request of which no further attempt is made.
    async fn finish(
        mut self,
        state: &Rc<State>,
        job: &Job<'_>,
        write: &mut WriteHalf<'_>,
    ) -> Connection {
        if let Some(connection) = self.forward(state, job, write).await {
            return connection;
        }
        if self.forwarded.head_sent {
            return self.cut_off(state, job);
        }
        self.tracker.end();
        if let Some((head, body)) = self.failure {
            log_response(state, job, "", head.status, self.reached);
            return forward_response(write, &head, &body, self.forwarded.keep).await;
        }
        if self.stopped == Some(SelectError::None) {
            log_unusable(state, job);
        }
        let late = Instant::now() + MIN_TIME_LEFT >= job.deadline;
        let rejection = match (self.unknown, self.stopped) {
            (true, _) if late => Rejection::unknown_outcome(Code::Overdue),
            (true, _) => Rejection::unknown_outcome(Code::Broken),
            (false, Some(SelectError::Busy(wait))) => Rejection::retry_later(Code::Full, wait),
            (false, Some(SelectError::Full)) => Rejection::retry_later(Code::Full, RETRY_SOON),
            (false, Some(SelectError::NoHome)) => Rejection::retry_later(Code::NoHome, RETRY_SOON),
            (false, Some(SelectError::Evacuated)) => {
                Rejection::retry_later(Code::Evacuated, EVACUATION_RETRY)
            }
            (false, _) => Rejection::retry_later(Code::NoEndpoint, RETRY_SOON),
        };
        if !self.unknown {
            // A request that did not run does not count against the rate of its team.
            self.refund(state, job);
        }
        reject(state, write, job.head, rejection, self.forwarded.keep).await
    }

    /// Ends a stream of which the caller has received a part. Only closing the connection before
    /// the end of the body shows the caller that the stream is incomplete.
    fn cut_off(&self, state: &State, job: &Job<'_>) -> Connection {
        self.tracker.lose(Loss::CutOff);
        let code = Code::Broken.number();
        state.measure(|metrics| metrics.record_request(&job.route.name, code, Duration::ZERO));
        Connection::Close
    }
}

/// How an attempt ended; `None` if the caller ended it.
fn attempt_end(outcome: &AttemptOutcome) -> Option<AttemptEnd> {
    Some(match outcome {
        AttemptOutcome::Streamed => AttemptEnd::Answered,
        AttemptOutcome::Complete(head, _) if head.status >= SERVER_ERROR => AttemptEnd::Error,
        AttemptOutcome::Complete(..) => AttemptEnd::Answered,
        AttemptOutcome::NotRun => AttemptEnd::NotRun,
        AttemptOutcome::NotSent => AttemptEnd::NotConnected,
        AttemptOutcome::Failed(ExchangeError::TimedOut) => AttemptEnd::TimedOut,
        AttemptOutcome::Failed(ExchangeError::Invalid) => AttemptEnd::Invalid,
        AttemptOutcome::Failed(_) => AttemptEnd::Broken,
        AttemptOutcome::CallerGone(_) => return None,
    })
}

/// Whether a request may be forwarded now, as this daemon does not reach its service.
fn can_forward(state: &State, job: &Job<'_>) -> bool {
    job.may_forward && state.reach.borrow().is_cut_off(&job.service.name)
}

/// Takes a retry of a request from the budget of its service; `false` if none is left.
pub(crate) fn try_retry(state: &State, service: &ServiceId) -> bool {
    let now = Std::now();
    // Peers that are known only through other daemons count too. Otherwise, after a start of all
    // daemons, each would take most of the shared budget for itself.
    let daemons = state.peers.borrow().rows().len() + 1;
    let mut budget = state.budget.borrow_mut();
    budget.try_retry(service, daemons, now)
}

/// How long a request may wait at an engine; `None` if its service has no target, or if an endpoint
/// has begun it: if it were rejected then, all work done for it would be lost.
fn limits(job: &Job<'_>, avoid: &[EndpointId]) -> Option<Limits> {
    if !avoid.is_empty() || job.head.resume.is_some() {
        return None;
    }
    let left = job.deadline.saturating_duration_since(Instant::now());
    let shortest = job.service.target?;
    Some(Limits::new(shortest, job.rank, left))
}

/// Chooses an endpoint for the request, other than those of its earlier attempts. If none of the
/// chosen versions can take it, the fallback versions are tried.
fn pick(state: &State, job: &Job<'_>, avoid: &[EndpointId]) -> Result<Choice, SelectError> {
    let table = state.endpoints.borrow();
    let criteria = Criteria {
        service: job.service,
        prompt: job.head.prompt.as_ref(),
        target: job.route.target,
        zone: &state.settings.zone,
        avoid,
        versions: &job.versions,
        homes: job.homes.as_deref(),
        limits: limits(job, avoid),
        seed: fastrand::u64(..),
        now: Std::now(),
    };
    let chosen = choose(&table, &criteria);
    match job.versions.fallback() {
        Some(versions) if chosen.is_err() => choose(
            &table,
            &Criteria {
                versions: &versions,
                ..criteria
            },
        ),
        _ => chosen,
    }
}

/// How long an endpoint may send nothing before the request is moved, if it can be.
fn stall_timeout<'m>(
    job: &Job<'_>,
    wait: Duration,
    try_move: &'m mut dyn FnMut() -> bool,
) -> StallTimeout<'m> {
    let first_event = (wait * 3).max(job.route.target * 3 / 2).max(MIN_STALL_TIME);
    StallTimeout {
        first_event: Instant::now() + first_event,
        pause: job.route.pause_target.unwrap_or(job.route.target) * 3,
        deadline: job.deadline,
        try_move,
    }
}

/// Logs why no endpoint of a service may be used, a few times a second: whether it has none, they
/// leave, or they are left out because they failed.
fn log_unusable(state: &State, job: &Job<'_>) {
    let now = Std::now();
    if !state.sampler.allows(now) {
        return;
    }
    let table = state.endpoints.borrow();
    let service = &job.service.name;
    let rows = table
        .rows()
        .iter()
        .filter(|row| row.listing.service == *service);
    let (mut known, mut leaving, mut left_out) = (0, 0, 0);
    for row in rows {
        known += 1;
        leaving += u32::from(row.state == EndpointState::Leaving);
        left_out += u32::from(row.breaker.is_open());
    }
    log::info!(
        request = job.head.id.as_str(), known, leaving, left_out;
        "send: no endpoint of {service} may be used."
    );
}

/// Logs how a request ended: always if it failed or was late, a few a second otherwise.
fn log_response(state: &State, job: &Job<'_>, endpoint: &str, status: u16, reached: u32) {
    let took = job.arrived.elapsed();
    state.measure(|metrics| metrics.record_request(&job.route.name, 0, took));
    let late = !job.route.retry_policy.is_stream() && took > job.route.target;
    if status < SERVER_ERROR && !late && !state.sampler.allows(Std::now()) {
        return;
    }
    log::info!(
        request = job.head.id.as_str(), route = job.route.name.as_str(), endpoint,
        team = job.team.map_or("", |team| team.name.as_str()), status, sends = reached,
        took_ms = took.as_millis() as u64, catalog = job.version;
        "serve: answered."
    );
}
