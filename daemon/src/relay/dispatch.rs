//! Sends a request to endpoints until one answers or none may be asked any more.

use std::rc::Rc;
use std::time::{Duration, Instant as Std};

use bytes::Bytes;
use poplarvale_lib::http1::Response;
use poplarvale_lib::relay::admit::Limits;
use poplarvale_lib::relay::quota;
use poplarvale_lib::relay::selection::{Choice, Criteria, SelectError, choose};
use poplarvale_lib::{Code, EndpointId};
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;

use super::attempt::{Ended, Job, attempt};
use super::crash::quarantine_left;
use super::exchange::FAILED;
use super::serve::{After, Refusal, SOON, after, answer, refuse};
use super::state::State;
use super::stream::{Passed, Patience};

/// Most endpoints that a request reaches, those that did not run it included.
const MOST_SENDS: u32 = 3;
/// Least silence after which a request is moved; a slow tail of plain answers lasts
/// about 200 ms.
const LEAST_SILENCE: Duration = Duration::from_millis(350);
/// Least time that an endpoint must have for an answer to be worth asking for.
const LEAST: Duration = Duration::from_millis(5);

/// What happened to a request so far.
#[derive(Debug)]
struct Course {
    passed: Passed,
    keep: bool,
    /// Endpoints that it was at.
    avoid: Vec<EndpointId>,
    /// Sendings that ran, or may have.
    runs: u32,
    /// Sendings that reached an endpoint.
    sends: u32,
    /// Whether a repeat was already taken for the next sending.
    reserved: bool,
    /// Whether an outcome is not known.
    unknown: bool,
    /// Why it is not sent on.
    stopped: Option<SelectError>,
    /// A failure of an endpoint, to be passed on if nothing better comes.
    failure: Option<(Response, Bytes)>,
}

/// Serves a request that was let in.
pub(crate) async fn dispatch(
    state: &Rc<State>,
    job: &Job<'_>,
    write: &mut WriteHalf<'_>,
    keep: bool,
) -> After {
    let now = Std::now();
    state
        .budget
        .borrow_mut()
        .record_request(&job.service.name, now);
    let mut course = Course {
        passed: Passed::nothing(job.head.resume, keep),
        keep,
        avoid: Vec::new(),
        runs: 0,
        sends: 0,
        reserved: false,
        unknown: false,
        stopped: None,
        failure: None,
    };
    while let Some(choice) = course.next(state, job) {
        let ended = course.send(state, job, &choice, write).await;
        if let Some(after) = course.take(state, job, &choice, ended, write).await {
            return after;
        }
    }
    course.finish(state, job, write).await
}

impl Course {
    /// Where to send next; `None` if nowhere.
    fn next(&mut self, state: &State, job: &Job<'_>) -> Option<Choice> {
        if Instant::now() + LEAST >= job.deadline || self.stopped.is_some() {
            return None;
        }
        if quarantine_left(state, &job.content).is_some() {
            self.stopped = Some(SelectError::None);
            return None;
        }
        match pick(state, job, &self.avoid) {
            Ok(choice) => {
                let granted = std::mem::take(&mut self.reserved) || self.sends == 0;
                if granted || (self.sends < MOST_SENDS && may_repeat(state, job)) {
                    return Some(choice);
                }
                self.stopped = Some(SelectError::Full);
            }
            Err(why) => self.stopped = Some(why),
        }
        None
    }

    async fn send(
        &mut self,
        state: &Rc<State>,
        job: &Job<'_>,
        choice: &Choice,
        write: &mut WriteHalf<'_>,
    ) -> Ended {
        self.avoid.push(choice.id.clone());
        let more = job.route.retry_policy.allows_retry()
            && self.runs + 1 < job.route.attempts
            && self.sends + 1 < MOST_SENDS;
        let (avoid, reserved) = (&self.avoid, &mut self.reserved);
        let mut moves = || {
            *reserved = more && pick(state, job, avoid).is_ok() && may_repeat(state, job);
            *reserved
        };
        let patience = patience(job, choice.wait, &mut moves);
        attempt(state, job, choice, &mut self.passed, write, patience).await
    }

    /// Takes in how a sending ended; `Some` if the request is done.
    async fn take(
        &mut self,
        state: &State,
        job: &Job<'_>,
        choice: &Choice,
        ended: Ended,
        write: &mut WriteHalf<'_>,
    ) -> Option<After> {
        if !matches!(ended, Ended::NotSent) {
            self.sends += 1;
        }
        let repeats = job.route.retry_policy.allows_retry();
        match ended {
            Ended::Streamed => {
                told(state, job, &choice.id, 200, self.sends);
                Some(after(self.keep))
            }
            Ended::CallerGone => Some(After::Close),
            Ended::NotSent | Ended::NotRun => None,
            Ended::Whole(head, body) => {
                self.runs += 1;
                let again = head.status >= FAILED && repeats && !self.passed.begun;
                if again && self.runs < job.route.attempts {
                    self.failure = Some((head, body));
                    return None;
                }
                if self.passed.begun {
                    return Some(self.cut(state, job));
                }
                told(state, job, &choice.id, head.status, self.sends);
                Some(answer(write, &head, &body, self.keep).await)
            }
            Ended::Broken(_) => {
                self.runs += 1;
                self.unknown = true;
                if !repeats || self.runs >= job.route.attempts {
                    self.stopped = Some(SelectError::None);
                }
                None
            }
        }
    }

    /// Answers a request that goes nowhere any more.
    async fn finish(self, state: &State, job: &Job<'_>, write: &mut WriteHalf<'_>) -> After {
        if self.passed.begun {
            return self.cut(state, job);
        }
        if let Some((head, body)) = self.failure {
            told(state, job, "", head.status, self.sends);
            return answer(write, &head, &body, self.keep).await;
        }
        let late = Instant::now() + LEAST >= job.deadline;
        let refused = match (self.unknown, self.stopped) {
            (true, _) if late => Refusal::unknown(Code::Overdue),
            (true, _) => Refusal::unknown(Code::Broken),
            (false, Some(SelectError::Busy(again))) => Refusal::later(Code::Full, again),
            (false, Some(SelectError::Full)) => Refusal::later(Code::Full, SOON),
            (false, _) => Refusal::later(Code::NoEndpoint, SOON),
        };
        if let Some(team) = job.team
            && !self.unknown
        {
            // What did not run is not charged.
            let units = quota::units(team, job.head);
            state.quota.borrow_mut().refund(team, units);
        }
        refuse(state, write, job.head, refused, self.keep).await
    }

    /// Ends a stream of which the caller has a part: only a broken connection tells
    /// that it is not all.
    fn cut(&self, state: &State, job: &Job<'_>) -> After {
        log::info!(
            request = job.head.id.as_str(), last_event = self.passed.events.last(),
            sends = self.sends;
            "serve: cut off in the middle of a stream."
        );
        let code = Code::Broken.number();
        state.measure(|metrics| metrics.record_request(&job.route.name, code, Duration::ZERO));
        After::Close
    }
}

/// Whether the request may be sent once more.
fn may_repeat(state: &State, job: &Job<'_>) -> bool {
    let now = Std::now();
    // Those that were only heard of count too: after a start of all, each would else take
    // most of what they share for itself.
    let daemons = state.peers.borrow().rows().len() + 1;
    let mut budget = state.budget.borrow_mut();
    budget.try_retry(&job.service.name, daemons, now)
}

/// What a request may wait for. One that an endpoint has begun is sent on in any case:
/// refused, all that was done for it would be lost.
fn limits(job: &Job<'_>, avoid: &[EndpointId]) -> Option<Limits> {
    if !avoid.is_empty() || job.head.resume.is_some() {
        return None;
    }
    let left = job.deadline.saturating_duration_since(Instant::now());
    let shortest = job.service.target?;
    Some(Limits::new(shortest, job.rank, left))
}

/// An endpoint for the request, other than those it was at.
fn pick(state: &State, job: &Job<'_>, avoid: &[EndpointId]) -> Result<Choice, SelectError> {
    let table = state.endpoints.borrow();
    let wanted = Criteria {
        service: job.service,
        prompt: job.head.prompt.as_ref(),
        target: job.route.target,
        zone: &state.settings.zone,
        avoid,
        versions: &job.versions,
        limits: limits(job, avoid),
        seed: fastrand::u64(..),
        now: Std::now(),
    };
    let chosen = choose(&table, &wanted);
    match job.versions.fallback() {
        Some(versions) if chosen.is_err() => choose(
            &table,
            &Criteria {
                versions: &versions,
                ..wanted
            },
        ),
        _ => chosen,
    }
}

/// How long an endpoint may be silent before the request is moved, if it can be.
fn patience<'m>(job: &Job<'_>, wait: Duration, moves: &'m mut dyn FnMut() -> bool) -> Patience<'m> {
    let first = (wait * 3).max(job.route.target * 3 / 2).max(LEAST_SILENCE);
    Patience {
        first: Instant::now() + first,
        pause: job.route.pause_target.unwrap_or(job.route.target) * 3,
        deadline: job.deadline,
        moves,
    }
}

/// Tells how a request was answered: always if it failed or was late, a few a
/// second otherwise.
fn told(state: &State, job: &Job<'_>, endpoint: &str, status: u16, sends: u32) {
    let took = job.arrived.elapsed();
    state.measure(|metrics| metrics.record_request(&job.route.name, 0, took));
    let late = !job.route.retry_policy.is_stream() && took > job.route.target;
    if status < FAILED && !late && !state.sampler.allows(Std::now()) {
        return;
    }
    log::info!(
        request = job.head.id.as_str(), route = job.route.name.as_str(), endpoint,
        team = job.team.map_or("", |team| team.name.as_str()), status, sends,
        took_ms = took.as_millis() as u64, catalog = job.version;
        "serve: answered."
    );
}
