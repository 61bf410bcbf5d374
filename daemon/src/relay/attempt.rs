//! One sending of a request to one endpoint.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant as Std};

use bytes::Bytes;
use poplarvale_lib::EndpointId;
use poplarvale_lib::http1::{Request, Response};
use poplarvale_lib::relay::catalog::{CatalogVersion, Route, Service, Team};
use poplarvale_lib::relay::crash::SAFE_AFTER;
use poplarvale_lib::relay::endpoint_table::{Endpoint, EndpointState};
use poplarvale_lib::relay::limit::AnnouncedLimit;
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::request::RequestHead;
use poplarvale_lib::relay::rollout::Versions;
use poplarvale_lib::relay::rollout::evidence::Sample;
use poplarvale_lib::relay::selection::{self, Choice, Criteria};
use poplarvale_platform::{NamedLimit, Outbound, request_head};
use tokio::net::tcp::WriteHalf;
use tokio::time::{Instant, timeout_at};

use super::crash::{LazyFingerprint, check_crash, clear};
use super::exchange::{Answer, FAILED, Fault, exchange, whole_body};
use super::state::State;
use super::stream::{Passed, Patience, StreamEnd, pass_on};
use super::wire::Wire;

/// Longest answer that is not a stream, in bytes; it is held whole, so that one
/// that breaks off can still be asked for elsewhere.
const MOST_ANSWER: usize = 4 * 1024 * 1024;
/// How long an endpoint that said it is full gets nothing; its queue empties by a
/// request every few milliseconds.
const FULL: Duration = Duration::from_millis(60);
/// Status of an answer whose body is a stream.
const OK: u16 = 200;

/// A request that is being served.
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
    /// Version of the configuration that it is served by.
    pub(crate) version: CatalogVersion,
    /// Versions of the service that it may go to.
    pub(crate) versions: Versions,
    pub(crate) content: LazyFingerprint<'r>,
}

/// How a sending ended.
#[derive(Debug)]
pub(crate) enum Ended {
    /// A whole answer that is not a stream.
    Whole(Response, Bytes),
    /// The stream is out to its end.
    Streamed,
    /// The endpoint states that it did not run the request.
    NotRun,
    /// Nothing left for the endpoint.
    NotSent,
    /// It may have run.
    Broken(Fault),
    /// The caller takes nothing more.
    CallerGone,
}

/// Keeps a request booked at an endpoint until it is dropped, however the task
/// that carries it ends.
#[derive(Debug)]
struct Booked {
    state: Rc<State>,
    endpoint: EndpointId,
    number: u64,
}

impl Drop for Booked {
    fn drop(&mut self) {
        if let Some(row) = self.state.endpoints.borrow_mut().get_mut(&self.endpoint) {
            row.remove_request(self.number);
            row.evidence.record_inconclusive();
        }
    }
}

impl Booked {
    fn note(&self, change: impl FnOnce(&mut Endpoint)) {
        if let Some(row) = self.state.endpoints.borrow_mut().get_mut(&self.endpoint) {
            change(row);
        }
    }
}

/// Sends a request to the chosen endpoint and brings its answer.
pub(crate) async fn attempt(
    state: &Rc<State>,
    job: &Job<'_>,
    choice: &Choice,
    passed: &mut Passed,
    write: &mut WriteHalf<'_>,
    mut patience: Patience<'_>,
) -> Ended {
    let booked = book(state, job, choice);
    let Some((endpoint, mut wire, kept)) = connect(state, job, choice).await else {
        return Ended::NotSent;
    };
    let address = endpoint.address;
    tell_doubt(state, job, choice);
    let bytes = head_and_body(job, choice, passed);
    let team = job.team.map(|team| &team.name);
    let sent_at = Std::now();
    let sent = exchange(&mut wire, &bytes, &job.head.id);
    let answer = match patience.wait(true, sent).await {
        Some(Ok(answer)) => answer,
        Some(Err(Fault::NotSent)) => return Ended::NotSent,
        silent_or_broken => {
            let fault = silent_or_broken.and_then(Result::err);
            let fault = fault.unwrap_or(Fault::Silent);
            failed(&booked, job, &endpoint, fault, kept, None);
            let ended = Ended::Broken(fault);
            compare(state, job, choice, &ended, sent_at.elapsed());
            return ended;
        }
    };
    note_limit(state, &endpoint, &answer, sent_at);
    if answer.said.not_run {
        booked.note(|row| row.full_until = Some(Std::now() + FULL));
        state.measure(|metrics| metrics.record_attempt("not run"));
        log::info!(
            request = job.head.id.as_str(), endpoint = choice.id.as_str(),
            status = answer.head.status; "send: not run there."
        );
        finish(state, address, wire, &answer).await;
        return Ended::NotRun;
    }
    let is_stream = job.route.retry_policy.is_stream() && answer.head.status == OK;
    let mut first = None;
    passed.events.drop_partial();
    let events = passed.events.count();
    let ended = if is_stream && answer.said.sealed {
        let number = booked.number;
        let began = || {
            if first.is_none() {
                let now = Std::now();
                first = Some(now);
                let mut table = state.endpoints.borrow_mut();
                table.record_first_event(&choice.id, number, now);
                state.measure(|metrics| metrics.record_first_event(job.arrived.elapsed()));
                state.count_run(team, now);
            }
        };
        match pass_on(&mut wire, &answer, passed, write, &mut patience, began).await {
            StreamEnd::Whole => {
                let events = passed.events.count().saturating_sub(events + 1) as u32;
                let tokens = events
                    * job
                        .service
                        .engine
                        .as_ref()
                        .map_or(0, |row| row.event_tokens);
                let mut table = state.endpoints.borrow_mut();
                table.record_stream(&choice.id, number, tokens, Std::now());
                Ended::Streamed
            }
            StreamEnd::CallerGone => return Ended::CallerGone,
            StreamEnd::Broken => Ended::Broken(Fault::Broken),
        }
    } else {
        whole(&mut wire, &answer, &mut patience).await
    };
    if !is_stream {
        state.count_run(team, sent_at);
    }
    let events = passed.events.count().saturating_sub(events).max(1);
    let took = sent_at.elapsed() / u32::try_from(events).unwrap_or(u32::MAX);
    compare(state, job, choice, &ended, took);
    if !matches!(ended, Ended::Broken(_)) && !state.crashes.borrow().is_empty() {
        clear(state, job.content.get());
    }
    match &ended {
        Ended::Broken(fault) => failed(&booked, job, &endpoint, *fault, kept, first),
        Ended::Whole(head, _) if head.status >= FAILED => {
            booked.note(|row| {
                row.evidence.record_failure(Std::now());
            });
            keep(state, address, wire, &answer);
        }
        _ => {
            state.measure(|metrics| metrics.record_attempt("answered"));
            booked.note(|row| row.evidence.record_success());
            keep(state, address, wire, &answer);
        }
    }
    ended
}

/// Takes in which limit an answer to a request that was sent at `sent` names.
fn note_limit(state: &State, endpoint: &Listing, answer: &Answer, sent: Std) {
    let now = Std::now();
    let rate = match answer.said.limit {
        NamedLimit::Rate(rate) => Some(rate),
        // Answers overtake one another, and only those of requests that ran tell of no need.
        NamedLimit::Unnamed if answer.said.sealed && is_after_limit(state, endpoint, sent) => None,
        NamedLimit::Unnamed => return,
        NamedLimit::Unreadable => {
            log::warn!("limit: what endpoint {} names is no rate.", endpoint.id);
            return;
        }
    };
    let said = AnnouncedLimit { rate, at: now };
    if state
        .endpoints
        .borrow_mut()
        .record_limit(&endpoint.id, said)
    {
        log::info!(now:? = rate; "limit: endpoint {} names another.", endpoint.id);
        state.news.notify_one();
    }
}

/// Whether a moment is after the last word of an endpoint's limit.
fn is_after_limit(state: &State, endpoint: &Listing, sent: Std) -> bool {
    let table = state.endpoints.borrow();
    let limit = table.get(&endpoint.id).and_then(|row| row.limit.as_ref());
    limit.is_some_and(|limit| sent > limit.announced_at())
}

/// A connection to the chosen endpoint, and whether it was used before; `None` if
/// there is none to be had.
async fn connect(
    state: &Rc<State>,
    job: &Job<'_>,
    choice: &Choice,
) -> Option<(Listing, Wire, bool)> {
    let endpoint = state.endpoints.borrow().get(&choice.id)?.listing.clone();
    match state.upstreams.get(endpoint.address).await {
        Ok((wire, kept)) => Some((endpoint, wire, kept)),
        Err(error) => {
            let mut table = state.endpoints.borrow_mut();
            let row = table.get_mut(&choice.id);
            let out = row.is_some_and(|row| row.evidence.record_connect_failure(Std::now()));
            state.measure(|metrics| metrics.record_attempt("not connected"));
            log::info!(
                request = job.head.id.as_str(), endpoint = choice.id.as_str(), left_out = out;
                "send: not connected, {error}."
            );
            None
        }
    }
}

/// Whether an endpoint may have ended because of a request that broke off there; `first` is
/// when the first event of its stream came.
fn may_have_ended(state: &State, endpoint: &Listing, fault: Fault, first: Option<Std>) -> bool {
    let is_settled = first.is_some_and(|first| first.elapsed() >= SAFE_AFTER);
    let table = state.endpoints.borrow();
    let row = table.get(&endpoint.id);
    // One that leaves ends in any case.
    let is_leaving = row.is_none_or(|row| row.state == EndpointState::Leaving);
    fault == Fault::Broken && !is_settled && !is_leaving
}

/// Tells that a request goes to an endpoint whose entry is missing: if it fails or the
/// endpoint had left, this line is the reason why it was sent there.
fn tell_doubt(state: &State, job: &Job<'_>, choice: &Choice) {
    let table = state.endpoints.borrow();
    let standing = table.get(&choice.id).map(|row| row.state);
    if let Some(EndpointState::Doubtful(until)) = standing {
        let left = until.saturating_duration_since(Std::now());
        log::info!(
            request = job.head.id.as_str(), endpoint = choice.id.as_str(),
            until_ms = left.as_millis() as u64;
            "send: goes to an endpoint whose entry is missing."
        );
    }
}

fn book(state: &Rc<State>, job: &Job<'_>, choice: &Choice) -> Booked {
    let number = state.number();
    let wanted = Criteria {
        service: job.service,
        prompt: job.head.prompt.as_ref(),
        target: job.route.target,
        zone: &state.settings.zone,
        avoid: &[],
        versions: &Versions::Any,
        limits: None,
        seed: 0,
        now: Std::now(),
    };
    selection::book(&mut state.endpoints.borrow_mut(), &wanted, choice, number);
    Booked {
        state: Rc::clone(state),
        endpoint: choice.id.clone(),
        number,
    }
}

fn head_and_body(job: &Job<'_>, choice: &Choice, passed: &Passed) -> Bytes {
    let left = job.deadline.saturating_duration_since(Instant::now());
    let mut bytes = request_head(
        job.request,
        &Outbound {
            endpoint: &choice.id,
            team: job.team.map(|team| team.name.as_str()),
            left,
            rank: job.head.prompt.is_some().then_some(job.rank),
            resume: passed.begun.then(|| passed.events.last()).flatten(),
            body: job.body.len(),
        },
    );
    bytes.extend_from_slice(job.body);
    bytes.freeze()
}

async fn whole(wire: &mut Wire, answer: &Answer, patience: &mut Patience<'_>) -> Ended {
    let body = whole_body(wire, &answer.head, MOST_ANSWER);
    match patience.wait(true, body).await {
        Some(Ok(body)) if answer.head.status >= 300 || answer.said.sealed => {
            Ended::Whole(answer.head.clone(), body)
        }
        Some(Ok(_)) => Ended::Broken(Fault::Wrong),
        Some(Err(_)) => Ended::Broken(Fault::Broken),
        None => Ended::Broken(Fault::Silent),
    }
}

/// Counts how a request went for the move of its service to another version.
fn compare(state: &State, job: &Job<'_>, choice: &Choice, ended: &Ended, took: Duration) {
    let good = match ended {
        Ended::Whole(head, _) => head.status < FAILED,
        Ended::Streamed => true,
        Ended::Broken(_) => false,
        Ended::NotRun | Ended::NotSent | Ended::CallerGone => return,
    };
    let table = state.endpoints.borrow();
    let Some(row) = table.get(&choice.id) else {
        return;
    };
    let version = &row.listing.version;
    let (service, route) = (&job.service.name, &job.route.name);
    let sample = Sample { good, took };
    let mut rollouts = state.rollouts.borrow_mut();
    if rollouts.record(service, route, version, sample, state.true_ms()) {
        log::warn!(
            request = job.head.id.as_str(), route = route.as_str(), good,
            took_ms = took.as_millis() as u64;
            "rollout: {service} goes back from version {version}."
        );
        state.news.notify_one();
    }
}

/// Notes a failed sending; `first` is when the first event of its stream came.
fn failed(
    booked: &Booked,
    job: &Job<'_>,
    endpoint: &Listing,
    fault: Fault,
    kept: bool,
    first: Option<Std>,
) {
    let state = &booked.state;
    let mut out = false;
    booked.note(|row| out = row.evidence.record_failure(Std::now()));
    state.measure(|metrics| metrics.record_attempt("failed"));
    log::info!(
        request = job.head.id.as_str(), endpoint = endpoint.id.as_str(), kept, left_out = out,
        after_ms = job.arrived.elapsed().as_millis() as u64,
        content:% = format_args!("{:016x}", job.content.get()),
        ran_ms = first.map(|first| first.elapsed().as_millis() as u64);
        "send: failed, {fault}."
    );
    if may_have_ended(state, endpoint, fault, first) {
        check_crash(state, endpoint, job.content.get());
    }
}

/// Reads a refusal's body, so that its connection can be used again.
async fn finish(state: &Rc<State>, address: SocketAddr, mut wire: Wire, answer: &Answer) {
    let limit = Instant::now() + FULL;
    let body = whole_body(&mut wire, &answer.head, MOST_ANSWER);
    if let Ok(Ok(_)) = timeout_at(limit, body).await {
        keep(state, address, wire, answer);
    }
}

fn keep(state: &Rc<State>, address: SocketAddr, wire: Wire, answer: &Answer) {
    if answer.head.keep_alive && answer.sent && wire.buffer.is_empty() {
        state.upstreams.put(address, wire, answer.said.idle);
    }
}
