//! Has a request served by endpoints until one has answered it or no further attempt is allowed.
//!
//! A request that no endpoint ran may be sent to another one whatever its route. One that ran, or
//! may have, is retried only if its route allows that. Once the request has reached an endpoint,
//! every further attempt is taken from the retry budget of its service.
//!
//! Silence of an endpoint ends no attempt: a sound one that is busy, or whose host is paused, goes
//! on. After a while another endpoint is asked in addition, and whichever has an answer first goes
//! on; the other attempt is then ended at once. An endpoint that only seemed to have room rejects
//! the request, or breaks off, and nothing is lost.
//!
//! While this daemon reaches no endpoint of the service, other daemons take their place. They also
//! get requests for which this daemon has used its shares of the rates of endpoints.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant as Std};

use bytes::Bytes;
use compact_str::{ToCompactString as _, format_compact};
use futures::StreamExt as _;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use poplarvale_lib::http1::Response;
use poplarvale_lib::relay::admit::Limits;
use poplarvale_lib::relay::attempts::{AttemptEnd, AttemptIndex, Stop, Via};
use poplarvale_lib::relay::budget::Decision;
use poplarvale_lib::relay::endpoint_table::{EndpointState, EndpointTable};
use poplarvale_lib::relay::request::Origin;
use poplarvale_lib::relay::selection::{
    Choice, Criteria, SelectError, choose, choose_idle, choose_trial, sharers,
};
use poplarvale_lib::{Code, EndpointId};
use tokio::net::tcp::WriteHalf;
use tokio::time::{Instant, timeout_at};

use super::attempt::{self, Begun, EndpointStream, Job};
use super::crash::{is_in_doubt, is_quarantined};
use super::exchange::{ExchangeError, OK, SERVER_ERROR, TOO_MANY_REQUESTS, UNAVAILABLE};
use super::forward::{self, DaemonStream, MAX_DAEMONS};
use super::progress::{Loss, Progress, Tracker};
use super::reach::{self, ServiceReach, service_reach};
use super::serve::{
    Connection, RETRY_SOON, Rejection, connection, forward_response, not_served, record_demand,
    refund, reject,
};
use super::silence;
use super::startup;
use super::state::State;
use super::stream::{Forwarded, OpenStream};

/// Shortest silence of an endpoint after which another one is asked. The slowest of normal plain
/// responses take about 200 ms.
const MIN_PATIENCE: Duration = Duration::from_millis(350);
/// Time after which a caller may retry while all zones with endpoints are evacuated. Operators
/// take a zone back seconds later at the earliest.
const EVACUATION_RETRY: Duration = Duration::from_secs(2);
/// How long a stream that has begun is kept open while nobody can continue it. Its caller would get
/// nothing for the part that it has; callers wait for the next event for two seconds at least.
const RESUME_TIME: Duration = Duration::from_secs(2);
/// Interval at which it is checked whether somebody can.
const RESUME_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time for which a daemon that has no room gets no further forwarded request.
const FORWARD_PAUSE: Duration = Duration::from_millis(250);
/// Time left until the deadline below which an attempt is not worth making.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Whom a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// Endpoints, or other daemons while none is reached.
    Any,
    /// Other daemons only.
    Daemons,
}

/// Which endpoints a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pick {
    /// All that work.
    Any,
    /// Those that have answered this daemon since its links to the service are impaired.
    Sound(Std),
    /// One of which it is not known whether this daemon reaches it.
    Trial,
    /// The one that runs least, as the request may crash it.
    Idle,
}

/// A stream that has begun, and who sends it.
#[derive(Debug)]
enum Source {
    Endpoint(Box<EndpointStream>),
    Daemon(Box<DaemonStream>),
}

impl Source {
    /// Records that more of the stream was received.
    fn record_received(&mut self, state: &State, job: &Job<'_>) {
        if let Self::Endpoint(source) = self {
            source.record_received(state, job);
        }
    }

    fn stream(&mut self) -> &mut OpenStream {
        match self {
            Self::Endpoint(source) => &mut source.stream,
            Self::Daemon(source) => &mut source.stream,
        }
    }

    fn via(&self) -> Via {
        match self {
            Self::Endpoint(_) => Via::Endpoint,
            Self::Daemon(_) => Via::Daemon,
        }
    }
}

/// Answer of the attempt that began to answer first.
#[derive(Debug)]
enum Answer {
    /// A complete response that is not a stream.
    Complete(Response, Bytes),
    Stream(Source),
}

impl<S> Begun<S> {
    /// The answer, whose stream comes from this kind of source.
    fn answer(self, source: impl FnOnce(Box<S>) -> Source) -> Answer {
        match self {
            Self::Complete(head, body) => Answer::Complete(head, body),
            Self::Stream(stream) => Answer::Stream(source(stream)),
        }
    }
}

/// The next attempt, or why there is none.
type Next = Result<(AttemptIndex, Answer), Stop>;
/// An attempt that has not begun to answer.
type Pending<'p> = LocalBoxFuture<'p, (AttemptIndex, Result<Answer, AttemptEnd>)>;

/// How waiting for more of a stream ended.
enum More {
    Received,
    /// The attempt has ended; this is what follows.
    Next(Next),
}

/// How a stream ended for its caller.
enum StreamEnd {
    Complete,
    Lost(Loss),
    /// The attempt has ended; this is what follows.
    Next(Next),
}

/// Serves a request that was admitted.
pub(crate) async fn dispatch(
    state: &Rc<State>,
    job: &Job<'_>,
    write: &mut WriteHalf<'_>,
    keep: bool,
) -> Connection {
    let dispatch = Dispatch::new(state, job, Scope::Any);
    match dispatch.run(write, keep).await {
        Ok(connection) => connection,
        Err(stop) => dispatch.reject(stop, write, keep).await,
    }
}

/// Has other daemons serve a request. Returns `None` if none took it; it has not run then.
pub(crate) async fn dispatch_to_daemons(
    state: &Rc<State>,
    job: &Job<'_>,
    write: &mut WriteHalf<'_>,
    keep: bool,
) -> Option<Connection> {
    let dispatch = Dispatch::new(state, job, Scope::Daemons);
    match dispatch.run(write, keep).await {
        Ok(connection) => Some(connection),
        Err(stop) if dispatch.may_have_run() => Some(dispatch.reject(stop, write, keep).await),
        Err(_) => {
            dispatch.tracker.end();
            None
        }
    }
}

/// A request that is being served.
#[derive(Debug)]
struct Dispatch<'a, 'r> {
    state: &'a Rc<State>,
    job: &'a Job<'r>,
    scope: Scope,
    tracker: Tracker,
    /// Daemons of earlier attempts.
    daemons: RefCell<Vec<Ipv4Addr>>,
    /// Whether a retry was taken from the budget that no endpoint got.
    has_credit: Cell<bool>,
    /// Whether its units were returned to its team.
    refunded: Cell<bool>,
    /// Error response of an endpoint; it is forwarded if no later attempt answers.
    failure: RefCell<Option<(Response, Bytes)>>,
}

impl<'a, 'r> Dispatch<'a, 'r> {
    fn new(state: &'a Rc<State>, job: &'a Job<'r>, scope: Scope) -> Self {
        let times = (job.arrived.into_std(), job.deadline.into_std());
        Self {
            state,
            job,
            scope,
            tracker: Tracker::new(state, job.head, job.route, job.max_runs, times),
            daemons: RefCell::default(),
            has_credit: Cell::new(false),
            refunded: Cell::new(false),
            failure: RefCell::default(),
        }
    }

    fn progress(&self) -> &Progress {
        self.tracker.progress()
    }

    /// Whether the request ran, or may have.
    fn may_have_run(&self) -> bool {
        self.failure.borrow().is_some() || self.progress().attempts().is_unknown()
    }

    /// Serves the request.
    ///
    /// # Errors
    /// Why it has no answer, if nothing was sent to the caller yet.
    async fn run(&self, write: &mut WriteHalf<'_>, keep: bool) -> Result<Connection, Stop> {
        let mut forwarded = Forwarded::new(self.job.head.resume, keep);
        let mut next = self.begin(forwarded).await;
        loop {
            let (row, source) = match next {
                Ok((row, Answer::Complete(head, body))) => {
                    return Ok(self.forward_complete(row, &head, &body, write, keep).await);
                }
                Ok((row, Answer::Stream(source))) => (row, source),
                Err(_) if forwarded.head_sent => return Ok(self.lose(Loss::CutOff)),
                Err(stop) => return Err(stop),
            };
            next = match self
                .forward_stream(row, source, &mut forwarded, write)
                .await
            {
                StreamEnd::Complete => {
                    self.tracker.end();
                    return Ok(connection(keep));
                }
                StreamEnd::Lost(loss) => return Ok(self.lose(loss)),
                StreamEnd::Next(next) => next,
            };
        }
    }

    /// Ends an answer of which the caller lacks a part. Only closing the connection before the end
    /// of the body shows the caller that a stream is incomplete.
    fn lose(&self, loss: Loss) -> Connection {
        self.tracker.lose(loss);
        let route = &self.job.route.name;
        let code = Code::Broken.number();
        self.state
            .measure(|metrics| metrics.record_request(route, code, Duration::ZERO));
        Connection::Close
    }

    /// Sends the request to one target after the other until one has begun to answer. One that is
    /// silent keeps the request until then.
    async fn begin(&self, at: Forwarded) -> Next {
        let deadline = self.job.deadline;
        let resume_until = Instant::now() + RESUME_TIME;
        let mut pending: FuturesUnordered<Pending<'_>> = FuturesUnordered::new();
        let mut rows = Vec::new();
        loop {
            let mut asked = None;
            let patience = match self.next(at) {
                Ok((row, patience, attempt)) => {
                    asked = Some(self.progress().attempts().via(row));
                    rows.push(row);
                    pending.push(attempt);
                    patience
                }
                Err(stop) => {
                    self.progress().record_stop(stop);
                    if pending.is_empty() {
                        // A silent attempt that this one would replace may still go on.
                        let is_only_way = !self.progress().attempts().is_any_pending();
                        let may_wait = at.head_sent && is_only_way && stop.may_pass();
                        let is_in_doubt = stop == Stop::Quarantined
                            && is_in_doubt(self.state, &self.job.fingerprint);
                        let may_wait = may_wait || is_in_doubt;
                        if !may_wait || Instant::now() >= resume_until {
                            return Err(stop);
                        }
                        tokio::time::sleep(RESUME_INTERVAL).await;
                        continue;
                    }
                    self.pause(Via::Endpoint)
                }
            };
            let until = deadline.min(Instant::now() + patience);
            let waited = tokio::select! {
                biased;
                waited = timeout_at(until, pending.next()) => waited,
                () = self.state.until_last_answer() => {
                    self.close(&rows);
                    return Err(Stop::Closing);
                }
            };
            match waited {
                Ok(Some((row, result))) => {
                    rows.retain(|other| *other != row);
                    if let Some(answer) = self.settle(row, result, at) {
                        self.give_up(&rows, AttemptEnd::TakenOver);
                        return Ok((row, answer));
                    }
                }
                Ok(None) => {}
                Err(_) if Instant::now() >= deadline => {
                    self.give_up(&rows, AttemptEnd::TimedOut);
                    self.progress().record_stop(Stop::Deadline);
                    return Err(Stop::Deadline);
                }
                Err(_) if asked == Some(Via::Endpoint) => {
                    reach::record_silence(self.state, &self.job.service.name);
                    if let Some(row) = rows.last() {
                        self.record_silent(*row);
                    }
                }
                Err(_) => reach::record_failure(self.state, &self.job.service.name),
            }
        }
    }

    /// Starts the next attempt. Returns it with the time after which its target counts as silent.
    fn next(&self, at: Forwarded) -> Result<(AttemptIndex, Duration, Pending<'_>), Stop> {
        if Instant::now() + MIN_TIME_LEFT >= self.job.deadline {
            return Err(Stop::Deadline);
        }
        if self.state.phase().is_closing() {
            return Err(Stop::Closing);
        }
        let reach = service_reach(self.state, &self.job.service.name);
        let has_failed = self.failure.borrow().is_some();
        let may_forward = self.job.may_forward && (!has_failed || reach != ServiceReach::All);
        let tries_reach = self.job.tries_reach && {
            let attempts = self.progress().attempts();
            attempts.count(Via::Endpoint) == 0 && attempts.count(Via::Daemon) == 0
        };
        if self.scope == Scope::Daemons {
            return self.next_daemon(at, |_| true);
        }
        match reach {
            _ if tries_reach => {
                let next = self.next_endpoint(at, Pick::Trial);
                let is_none = matches!(next, Err(Stop::Select(_))) && may_forward;
                return if is_none {
                    self.next_daemon(at, |_| true)
                } else {
                    next
                };
            }
            ServiceReach::None if may_forward => return self.next_daemon(at, |_| true),
            ServiceReach::Sound(since) if may_forward => {
                let next = self.next_endpoint(at, Pick::Sound(since));
                if !matches!(next, Err(Stop::Select(_))) {
                    return next;
                }
                let next = self.next_daemon(at, |_| true);
                if !matches!(next, Err(Stop::NoDaemon)) {
                    return next;
                }
            }
            ServiceReach::All | ServiceReach::Sound(_) | ServiceReach::None => {}
        }
        match self.next_endpoint(at, Pick::Any) {
            Err(Stop::Select(SelectError::Shares(wait))) if may_forward => {
                let sharers = pick_sharers(self.state, self.job);
                let next = self.next_daemon(at, |daemon| sharers.contains(&daemon));
                next.map_err(|stop| match stop {
                    Stop::NoDaemon => Stop::Select(SelectError::Shares(wait)),
                    stop => stop,
                })
            }
            next => next,
        }
    }

    fn next_endpoint(
        &self,
        at: Forwarded,
        how: Pick,
    ) -> Result<(AttemptIndex, Duration, Pending<'_>), Stop> {
        let (state, job) = (self.state, self.job);
        let (sent, tried) = {
            let attempts = self.progress().attempts();
            attempts.check_next(Via::Endpoint)?;
            (attempts.sent(), attempts.endpoints())
        };
        let is_tried = job.is_trial && sent == 0;
        if !is_tried && is_quarantined(state, &job.fingerprint) {
            return Err(Stop::Quarantined);
        }
        let how = if is_tried && how == Pick::Any {
            Pick::Idle
        } else {
            how
        };
        let choice = pick(state, job, &tried, how).map_err(Stop::Select)?;
        if sent > 0 && !self.try_retry() {
            return Err(Stop::Budget);
        }
        let row = self.progress().begin(&choice.id, Via::Endpoint);
        let patience = patience(job, choice.wait);
        let attempt = async move {
            let started = attempt::begin(state, job, &choice, at).await;
            (row, started.map(|begun| begun.answer(Source::Endpoint)))
        };
        Ok((row, patience, Box::pin(attempt)))
    }

    /// Starts an attempt at a daemon for which `may` holds.
    fn next_daemon(
        &self,
        at: Forwarded,
        may: impl Fn(Ipv4Addr) -> bool,
    ) -> Result<(AttemptIndex, Duration, Pending<'_>), Stop> {
        let (state, job) = (self.state, self.job);
        let (sent, may_have_run) = {
            let attempts = self.progress().attempts();
            attempts.check_next(Via::Daemon)?;
            if attempts.count(Via::Daemon) >= MAX_DAEMONS {
                return Err(Stop::NoDaemon);
            }
            (attempts.sent(), attempts.may_have_run())
        };
        let may = |daemon| !self.daemons.borrow().contains(&daemon) && may(daemon);
        let is_first = self.daemons.borrow().is_empty();
        let daemon = forward::choose(state, job, is_first, may).ok_or(Stop::NoDaemon)?;
        if sent > 0 && !self.try_retry() {
            return Err(Stop::Budget);
        }
        self.daemons.borrow_mut().push(daemon);
        let row = self
            .progress()
            .begin(&daemon.to_compact_string(), Via::Daemon);
        let granted = self.progress().attempts().granted(row);
        let attempt = async move {
            let started = forward::begin(state, job, (daemon, granted), at).await;
            let is_offered = !matches!(
                started,
                Err(AttemptEnd::NotConnected(_) | AttemptEnd::NotTaken(_))
            );
            if sent > 0 && !is_offered {
                self.has_credit.set(true);
            }
            let is_taken = is_offered && !matches!(started, Err(AttemptEnd::NotRun(_)));
            if is_taken && !may_have_run && self.scope == Scope::Any {
                // The daemon that took it counts it against the allowance of its team, too.
                self.refund();
            }
            if is_taken && self.scope == Scope::Daemons && !is_over_allowance(&started) {
                record_demand(state, job);
            }
            (row, started.map(|begun| begun.answer(Source::Daemon)))
        };
        Ok((row, forward::patience(job), Box::pin(attempt)))
    }

    /// Takes a retry from the budget of the service, unless one was taken for a daemon that has not
    /// taken the request; `false` if none is left.
    fn try_retry(&self) -> bool {
        self.has_credit.take() || try_retry(self.state, self.job)
    }

    /// Records that nothing was received from the endpoint of an attempt until it was given up.
    fn record_unheard(&self, row: AttemptIndex) {
        let attempts = self.progress().attempts();
        let (endpoint, sent) = (EndpointId::from(attempts.target(row)), attempts.began(row));
        drop(attempts);
        if sent.elapsed() >= MIN_PATIENCE {
            silence::record_silence(self.state, &endpoint, sent);
        }
    }

    /// Applies the result of an attempt; `Some` if it is the answer of the request.
    fn settle(
        &self,
        row: AttemptIndex,
        result: Result<Answer, AttemptEnd>,
        at: Forwarded,
    ) -> Option<Answer> {
        let (answer, end) = match result {
            Ok(Answer::Stream(source)) => return Some(Answer::Stream(source)),
            Ok(Answer::Complete(head, body)) => {
                // A rejection by another daemon is its answer for all endpoints that it knows.
                let is_error = head.status >= SERVER_ERROR
                    && (head.status != UNAVAILABLE
                        || self.progress().attempts().via(row) == Via::Endpoint);
                let is_repeatable = self.job.route.retry_policy.allows_retry();
                if at.head_sent {
                    // It is no part of the stream that the caller has begun to receive.
                    (None, AttemptEnd::Error)
                } else if is_error && is_repeatable {
                    self.failure.replace(Some((head, body)));
                    (None, AttemptEnd::Error)
                } else {
                    (Some(Answer::Complete(head, body)), AttemptEnd::Answered)
                }
            }
            Err(end) => (None, end),
        };
        self.progress().end(row, end);
        answer
    }

    /// Records that an endpoint is silent for longer than expected.
    fn record_silent(&self, row: AttemptIndex) {
        let attempts = self.progress().attempts();
        let (endpoint, sent) = (EndpointId::from(attempts.target(row)), attempts.began(row));
        drop(attempts);
        let service = &self.job.service.name;
        reach::record_result(self.state, service, &endpoint, sent, false);
        silence::record_silence(self.state, &endpoint, sent);
    }

    /// Ends those of these attempts that are in progress and have no answer, because another one
    /// has begun to answer, or the deadline has passed.
    fn give_up(&self, rows: &[AttemptIndex], end: AttemptEnd) {
        let ended = self.progress().update(|all| {
            let now = Std::now();
            let rows = rows.iter().copied();
            let ended = rows.filter_map(|row| Some((row, all.end_pending(row, end, now)?)));
            ended.collect::<Vec<_>>()
        });
        for (row, (via, target)) in ended {
            match via {
                Via::Endpoint => {
                    attempt::record_silent(self.state, self.job, &target);
                    self.record_unheard(row);
                }
                Via::Daemon => forward::record_silent(self.state, self.job, &target),
            }
        }
    }

    /// Ends these attempts, which have no answer, as the process ends.
    fn close(&self, rows: &[AttemptIndex]) {
        self.progress().update(|all| {
            for row in rows {
                all.end(*row, AttemptEnd::Closed, Std::now());
            }
        });
        self.progress().record_stop(Stop::Closing);
    }

    /// Forwards a stream to the caller until it ends.
    async fn forward_stream(
        &self,
        row: AttemptIndex,
        mut source: Source,
        forwarded: &mut Forwarded,
        write: &mut WriteHalf<'_>,
    ) -> StreamEnd {
        loop {
            let stream = source.stream();
            let events = stream.take();
            let count = stream.count();
            self.progress().update(|all| all.record_events(row, count));
            if !events.is_empty() || stream.is_done() {
                let sent = forwarded.write(write, stream, &events);
                match timeout_at(self.job.deadline, sent).await {
                    Ok(Ok(())) => self.progress().record_event(forwarded.last),
                    Ok(Err(_)) => return StreamEnd::Lost(Loss::Disconnected),
                    Err(_) => return StreamEnd::Lost(Loss::NotRead),
                }
            }
            if source.stream().is_done() {
                self.complete_stream(row, source);
                return StreamEnd::Complete;
            }
            if let More::Next(next) = self.receive(row, &mut source, *forwarded).await {
                return StreamEnd::Next(next);
            }
            source.record_received(self.state, self.job);
        }
    }

    /// Receives more of a stream. If it is silent for a while, other attempts are made, and it goes
    /// on unless one of them has an answer first.
    async fn receive(&self, row: AttemptIndex, source: &mut Source, at: Forwarded) -> More {
        let source_via = source.via();
        let pause = self.pause(source_via);
        let deadline = self.job.deadline;
        let mut read = Box::pin(source.stream().read());
        let failure = loop {
            let until = deadline.min(Instant::now() + pause);
            match timeout_at(until, &mut read).await {
                Ok(Ok(())) => return self.received(source_via),
                Ok(Err(error)) => break error,
                Err(_) if Instant::now() >= deadline => break ExchangeError::TimedOut,
                Err(_) => {
                    reach::record_failure(self.state, &self.job.service.name);
                    if source_via == Via::Endpoint {
                        self.record_silent(row);
                    }
                }
            }
            let others = self.begin(at);
            tokio::pin!(others);
            let received = tokio::select! {
                biased;
                received = &mut read => received,
                begun = &mut others => {
                    if begun.is_ok() {
                        drop(read);
                        self.fail(row, source, ExchangeError::TimedOut, AttemptEnd::TakenOver);
                        return More::Next(begun);
                    }
                    continue;
                }
            };
            match received {
                Ok(()) => {
                    self.withdraw(row);
                    return self.received(source_via);
                }
                Err(error) => {
                    drop(read);
                    self.fail(row, source, error, error.end());
                    return More::Next(others.await);
                }
            }
        };
        drop(read);
        self.fail(row, source, failure, failure.end());
        More::Next(self.begin(at).await)
    }

    /// Records that more of a stream was received.
    fn received(&self, from: Via) -> More {
        if from == Via::Endpoint {
            reach::record_answer(self.state, &self.job.service.name);
        }
        More::Received
    }

    /// Ends all attempts but this one, which goes on after a silence.
    fn withdraw(&self, row: AttemptIndex) {
        let now = Std::now();
        let end = AttemptEnd::Withdrawn;
        let withdrawn = self.progress().update(|all| all.end_others(row, end, now));
        for target in withdrawn {
            log::info!(
                request = self.job.head.id.as_str(), target = target.as_str();
                "send: withdrawn, as the attempt before goes on."
            );
        }
    }

    /// Records that the attempt at the source of a stream has ended early.
    fn fail(&self, row: AttemptIndex, source: &Source, error: ExchangeError, end: AttemptEnd) {
        self.progress().end(row, end);
        match source {
            Source::Endpoint(source) => source.fail(self.state, self.job, error),
            Source::Daemon(source) => source.fail(self.state, self.job, error),
        }
    }

    fn complete_stream(&self, row: AttemptIndex, source: Source) {
        self.progress().end(row, AttemptEnd::Answered);
        self.record_time();
        match source {
            Source::Endpoint(source) => {
                source.complete(self.state, self.job);
                self.log_response(row, OK);
            }
            Source::Daemon(source) => source.complete(self.state, self.job),
        }
    }

    /// Forwards a response that is not a stream.
    async fn forward_complete(
        &self,
        row: AttemptIndex,
        head: &Response,
        body: &Bytes,
        write: &mut WriteHalf<'_>,
        keep: bool,
    ) -> Connection {
        self.tracker.end();
        self.record_time();
        let via = self.progress().attempts().via(row);
        if via == Via::Endpoint {
            self.log_response(row, head.status);
        }
        forward_response(write, head, body, keep).await
    }

    /// Records how long the request took until it was answered or given up.
    fn record_time(&self) {
        let took = self.job.arrived.elapsed();
        let mut times = self.state.answer_times.borrow_mut();
        times.record(&self.job.route.name, took, Std::now());
    }

    /// How long a stream may be silent before other attempts are made.
    fn pause(&self, via: Via) -> Duration {
        match via {
            Via::Endpoint => {
                let route = self.job.route;
                route.pause_target.unwrap_or(route.target) * 3
            }
            Via::Daemon => forward::pause(self.job),
        }
    }

    /// Returns the units of a request that did not run to its team.
    fn refund(&self) {
        if let Some(team) = self.job.team
            && !self.refunded.replace(true)
        {
            refund(self.state, team, self.job.head, self.job.route);
        }
    }

    /// Answers a request of which nothing was sent to the caller, and of which no further attempt
    /// is made.
    async fn reject(&self, stop: Stop, write: &mut WriteHalf<'_>, keep: bool) -> Connection {
        let (state, job) = (self.state, self.job);
        self.tracker.end();
        let failure = self.failure.take();
        if let Some((head, body)) = failure {
            self.log_failure(head.status);
            return forward_response(write, &head, &body, keep).await;
        }
        if stop == Stop::Select(SelectError::None) {
            log_unusable(state, job);
        }
        if matches!(stop, Stop::Select(SelectError::Busy(_))) {
            record_busy(state, job);
        }
        let is_late = Instant::now() + MIN_TIME_LEFT >= job.deadline;
        let is_unknown = self.progress().attempts().is_unknown();
        let rejection = match (is_unknown, stop) {
            (true, _) if is_late => Rejection::unknown_outcome(Code::Overdue),
            (true, _) => Rejection::unknown_outcome(Code::Broken),
            (false, Stop::Closing) => not_served(job.origin, Code::Draining),
            (false, Stop::Select(SelectError::Busy(wait) | SelectError::Shares(wait))) => {
                self.no_room(wait)
            }
            (false, Stop::Select(SelectError::Full)) => self.no_room(RETRY_SOON),
            (false, Stop::Budget | Stop::Endpoints) => {
                Rejection::retry_later(Code::Full, RETRY_SOON)
            }
            (false, Stop::Select(SelectError::NoHome)) => {
                Rejection::retry_later(Code::NoHome, RETRY_SOON)
            }
            (false, Stop::Select(SelectError::Evacuated)) => {
                Rejection::retry_later(Code::Evacuated, EVACUATION_RETRY)
            }
            (false, _) => Rejection::retry_later(Code::NoEndpoint, RETRY_SOON),
        };
        if is_unknown {
            self.record_time();
            self.log_unanswered(stop);
        } else {
            // A request that did not run does not count against the rate of its team.
            self.refund();
        }
        let known = (job.head, Some(job.route), Some(job.service));
        reject(state, write, known, rejection, keep).await
    }

    /// Rejection of a request that did not run, for want of room until after `wait`. If no endpoint
    /// got it, the daemon that forwarded it may try another one.
    fn no_room(&self, wait: Duration) -> Rejection {
        if self.job.origin == Origin::Daemon && self.progress().attempts().sent() == 0 {
            Rejection::retry_later(Code::NotTaken, wait.max(FORWARD_PAUSE))
        } else {
            Rejection::retry_later(Code::Full, wait)
        }
    }

    /// Logs the attempts of a request that may have run and has no answer.
    fn log_unanswered(&self, stop: Stop) {
        let attempts = self.progress().attempts();
        log::info!(
            request = self.job.head.id.as_str(), attempts:% = attempts,
            left_ms = self.job.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
            "serve: no attempt was answered and {stop}."
        );
    }

    fn log_failure(&self, status: u16) {
        log_response(
            self.state,
            self.job,
            "",
            status,
            self.progress().attempts().sent(),
        );
    }

    fn log_response(&self, row: AttemptIndex, status: u16) {
        let attempts = self.progress().attempts();
        let (endpoint, sends) = (attempts.target(row), attempts.sent());
        log_response(self.state, self.job, endpoint, status, sends);
    }
}

/// Takes a retry of a request from the budget of its service; `false` if none is left.
fn try_retry(state: &State, job: &Job<'_>) -> bool {
    let mut budget = state.budget.borrow_mut();
    let decision = budget.try_retry(&job.service.name, Std::now());
    drop(budget);
    log_retry(state, job, &decision);
    decision.granted
}

/// Logs a retry: always if it was granted, a few a second otherwise.
fn log_retry(state: &State, job: &Job<'_>, decision: &Decision) {
    let outcome = if decision.granted {
        "granted"
    } else {
        "refused"
    };
    let service = &job.service.name;
    state.measure(|metrics| metrics.record_retry(service, outcome));
    if !decision.granted && !state.sampler.allows(Std::now()) {
        return;
    }
    log::info!(
        request = job.head.id.as_str(),
        credits = format_compact!("{:.1}", decision.credits).as_str(),
        fixed = format_compact!("{:.1}", decision.fixed).as_str(),
        daemons = decision.daemons.unwrap_or_default(), up_ms = state.started.elapsed().as_millis() as u64;
        "retry: {outcome} by the budget of {service}."
    );
}

/// How long a request may wait at an engine; `None` if its service has no target, or if an endpoint
/// has begun it: if it were rejected then, all work done for it would be lost.
fn limits(job: &Job<'_>, avoid: &[EndpointId]) -> Option<Limits> {
    if !avoid.is_empty() || job.head.resume.is_some() {
        return None;
    }
    let left = job.deadline.saturating_duration_since(Instant::now());
    let shortest = job.service.target?;
    Some(Limits::new(shortest, job.rank, left).with_share(job.queue_share))
}

/// Chooses an endpoint for the request, other than those of its earlier attempts.
fn pick(
    state: &State,
    job: &Job<'_>,
    avoid: &[EndpointId],
    how: Pick,
) -> Result<Choice, SelectError> {
    match how {
        Pick::Any => select(state, job, avoid, choose),
        Pick::Idle => select(state, job, avoid, choose_idle),
        Pick::Sound(since) => select(state, job, avoid, |table, criteria| {
            let sound_since = Some(since);
            choose(
                table,
                &Criteria {
                    sound_since,
                    ..*criteria
                },
            )
        }),
        Pick::Trial => {
            let since = state.links.borrow().impaired_since(&job.service.name);
            let since = since.unwrap_or_else(Std::now);
            select(state, job, avoid, |table, criteria| {
                choose_trial(table, criteria, since)
            })
        }
    }
}

/// Whether the answer of another daemon rejects a request by the allowance of its team.
fn is_over_allowance<S>(started: &Result<Begun<S>, AttemptEnd>) -> bool {
    matches!(started, Ok(Begun::Complete(head, _)) if head.status == TOO_MANY_REQUESTS)
}

/// Other daemons that may have a share of the rate of an endpoint left for the request.
fn pick_sharers(state: &State, job: &Job<'_>) -> Vec<Ipv4Addr> {
    select(state, job, &[], sharers).unwrap_or_default()
}

/// Selects by the request's criteria. If nothing is found for the chosen versions, the fallback
/// versions are tried.
fn select<T>(
    state: &State,
    job: &Job<'_>,
    avoid: &[EndpointId],
    select: impl Fn(&EndpointTable, &Criteria<'_>) -> Result<T, SelectError>,
) -> Result<T, SelectError> {
    let table = state.endpoints.borrow();
    let rollouts = state.rollouts.borrow();
    let versions = rollouts.still_allowed(&job.service.name, &job.versions);
    drop(rollouts);
    let criteria = Criteria {
        service: job.service,
        prompt: job.head.prompt.as_ref(),
        target: job.route.target,
        zone: &state.settings.zone,
        avoid,
        versions: &versions,
        homes: job.homes.as_deref(),
        limits: limits(job, avoid),
        sound_since: None,
        seed: fastrand::u64(..),
        now: Std::now(),
    };
    let selected = select(&table, &criteria);
    match versions.fallback() {
        Some(versions) if selected.is_err() => select(
            &table,
            &Criteria {
                versions: &versions,
                ..criteria
            },
        ),
        _ => selected,
    }
}

/// How long an endpoint is silent before another one is asked, too.
fn patience(job: &Job<'_>, wait: Duration) -> Duration {
    (wait * 3).max(job.route.target * 3 / 2).max(MIN_PATIENCE)
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

/// Records that a request was rejected for the length of the queues at engines. A team that may join
/// short ones only shows nothing about the length; that is counted and logged, a few lines a second.
fn record_busy(state: &State, job: &Job<'_>) {
    let service = &job.service.name;
    if job.queue_share >= 1.0 {
        let mut shares = state.fair_shares.borrow_mut();
        shares.record_busy(service, Std::now());
        return;
    }
    state.measure(|metrics| metrics.record_over_share(service));
    let now = Std::now();
    let Some(team) = job.team.filter(|_| state.sampler.allows(now)) else {
        return;
    };
    let loads = state
        .quota
        .borrow()
        .team_loads(std::slice::from_ref(team), now);
    for load in loads {
        log::info!(
            request = job.head.id.as_str(), team = team.name.as_str(),
            share = format_compact!("{:.2}", job.queue_share).as_str(),
            demand = load.demand as u64, served = load.rate as u64, allowance = load.allowance as u64;
            "send: the engines of {service} are short, and the team requests more than its share."
        );
    }
}

/// Logs how a request ended: always if it failed or was late, a few a second otherwise.
fn log_response(state: &State, job: &Job<'_>, endpoint: &str, status: u16, sends: usize) {
    let took = job.arrived.elapsed();
    startup::record_answer(state);
    state.measure(|metrics| metrics.record_request(&job.route.name, 0, took));
    let late = !job.route.retry_policy.is_stream() && took > job.route.target;
    if status < SERVER_ERROR && !late && !state.sampler.allows(Std::now()) {
        return;
    }
    log::info!(
        request = job.head.id.as_str(), route = job.route.name.as_str(), endpoint,
        team = job.team.map_or("", |team| team.name.as_str()), status, sends,
        took_ms = took.as_millis() as u64, catalog = job.version;
        "serve: answered."
    );
}
