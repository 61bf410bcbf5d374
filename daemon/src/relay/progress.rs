//! Requests in progress, and the log line of each that ends without a whole answer.
//!
//! Every way in which an answer can remain incomplete ends here: a stream that nobody continues, a
//! caller that disconnects or reads nothing, and the end of the process. The line tells the reason,
//! the time that was left, how each attempt ended and why no further one was made.

use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Instant;

use compact_str::{CompactString, ToCompactString as _};
use poplarvale_lib::relay::attempts::{AttemptEnd, AttemptIndex, Attempts, Stop, Via};
use poplarvale_lib::relay::catalog::Route;
use poplarvale_lib::relay::request::RequestHead;

use super::state::State;

/// Why an answer is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// A part of a stream was sent, and no endpoint continues it.
    CutOff,
    /// The caller's connection broke, or it closed it.
    Disconnected,
    /// The caller read nothing more until the deadline.
    NotRead,
    /// The process ends.
    Exit,
}

impl Loss {
    fn word(self) -> &'static str {
        match self {
            Self::CutOff => "cut off",
            Self::Disconnected => "disconnected",
            Self::NotRead => "not read",
            Self::Exit => "exit",
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::CutOff => "no endpoint continues it and the connection is closed",
            Self::Disconnected => "the caller disconnected",
            Self::NotRead => "the caller read nothing more until its deadline",
            Self::Exit => "the process ends",
        }
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Progress {
    request: CompactString,
    route: CompactString,
    deadline: Instant,
    /// Last event that was sent to the caller.
    last_event: Cell<Option<u64>>,
    attempts: RefCell<Attempts>,
    /// Why no further attempt is made, as last found.
    stop: Cell<Option<Stop>>,
}

impl Progress {
    pub(crate) fn attempts(&self) -> Ref<'_, Attempts> {
        self.attempts.borrow()
    }

    /// Adds an attempt that begins now.
    pub(crate) fn begin(&self, target: &str, via: Via) -> AttemptIndex {
        self.update(|attempts| attempts.begin(target, via, Instant::now()))
    }

    /// Records the end of an attempt.
    pub(crate) fn end(&self, at: AttemptIndex, end: AttemptEnd) {
        self.update(|attempts| attempts.end(at, end, Instant::now()));
    }

    /// Changes the attempts.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut Attempts) -> T) -> T {
        change(&mut self.attempts.borrow_mut())
    }

    /// Records why no further attempt is made now.
    pub(crate) fn record_stop(&self, stop: Stop) {
        self.stop.set(Some(stop));
    }

    /// Records the last event that was sent to the caller.
    pub(crate) fn record_event(&self, last: Option<u64>) {
        self.last_event.set(last);
    }

    /// Why no further attempt is made; empty if one may be.
    pub(crate) fn stop_reason(&self) -> CompactString {
        self.stop
            .get()
            .map_or_else(CompactString::default, |stop| stop.to_compact_string())
    }

    fn log_loss(&self, state: &State, loss: Loss) {
        state.measure(|metrics| metrics.record_incomplete(loss.word()));
        let left = self.deadline.saturating_duration_since(Instant::now());
        let attempts = self.attempts.borrow();
        log::info!(
            request = self.request.as_str(), route = self.route.as_str(),
            last_event = self.last_event.get(), left_ms = left.as_millis() as u64,
            sends = attempts.sent(), attempts:% = attempts, stopped = self.stop_reason().as_str();
            "serve: the answer is incomplete, {}.", loss.reason()
        );
    }
}

/// Keeps a request among those in progress until it is dropped. If the answer was not ended by
/// then, the caller disconnected.
#[derive(Debug)]
pub(crate) struct Tracker {
    state: Rc<State>,
    number: u64,
    progress: Rc<Progress>,
    has_ended: Cell<bool>,
}

impl Tracker {
    /// Adds a request of which no attempt was made yet.
    pub(crate) fn new(
        state: &Rc<State>,
        head: &RequestHead,
        route: &Route,
        max_runs: u32,
        (arrived, deadline): (Instant, Instant),
    ) -> Self {
        let policy = route.retry_policy;
        let attempts = Attempts::new(max_runs, policy.allows_retry(), policy.is_stream(), arrived);
        let progress = Rc::new(Progress {
            request: head.id.clone(),
            route: route.name.clone(),
            deadline,
            last_event: Cell::new(None),
            attempts: RefCell::new(attempts),
            stop: Cell::new(None),
        });
        let number = state.next_number();
        let mut rows = state.in_progress.borrow_mut();
        rows.push((number, Rc::clone(&progress)));
        Self {
            state: Rc::clone(state),
            number,
            progress,
            has_ended: Cell::new(false),
        }
    }

    pub(crate) fn progress(&self) -> &Progress {
        &self.progress
    }

    /// The answer has ended, as a whole or with an error response.
    pub(crate) fn end(&self) {
        self.has_ended.set(true);
    }

    /// The answer remains incomplete.
    pub(crate) fn lose(&self, loss: Loss) {
        if !self.has_ended.replace(true) {
            self.progress.log_loss(&self.state, loss);
        }
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        self.lose(Loss::Disconnected);
        let mut rows = self.state.in_progress.borrow_mut();
        // Numbers only grow, so the rows are sorted.
        if let Ok(at) = rows.binary_search_by_key(&self.number, |row| row.0) {
            rows.remove(at);
        }
    }
}

/// Logs the requests whose answers the end of the process leaves incomplete.
pub(crate) fn log_unfinished(state: &State) {
    for (_, progress) in state.in_progress.borrow().iter() {
        progress.log_loss(state, Loss::Exit);
    }
}
