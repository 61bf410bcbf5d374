//! Phases of a daemon's shutdown, from serving to the end of its process.
//!
//! A daemon that is told to shut down still gets new callers for a while and has requests in
//! progress. It shuts down in this order:
//!
//! - [`Draining`]: it reports that it is not ready, so that the load balancer sends no new
//!   callers, and serves those that still come if the answer will be complete in time. It rejects
//!   others at once as not run, so that they go to another daemon.
//! - [`Closing`]: nothing is in progress any more, or the time is up. It starts no request: it
//!   rejects those that it reads as not run, closes its connections cleanly, and accepts only
//!   connections that were already waiting. Otherwise a request that came between the last check
//!   for requests in progress and the end of the process would be sent to an endpoint and dropped
//!   with the process. Requests that are still in progress and have no answer by then are answered
//!   that it is not known whether they ran.
//! - After that only the last log lines are written.
//!
//! If the grace period is too short for all of it, draining is shortened first and closing
//! keeps its time: a caller whose request is rejected as not run can go elsewhere, one whose
//! answer is cut off cannot.

use std::time::{Duration, Instant};

/// Least time of draining: the load balancer needs two readiness checks, a second apart, to
/// stop sending new callers.
const MIN_DRAIN: Duration = Duration::from_millis(2800);
/// How long after the signal an idle connection stays open; a request that arrives on it
/// meanwhile is served.
const IDLE_OPEN: Duration = Duration::from_millis(2500);
/// Time reserved for closing and the last log lines before the process would be killed.
const CLOSE_RESERVE: Duration = Duration::from_millis(700);
/// How long closing still accepts connections that wait to be accepted.
const ACCEPT_TIME: Duration = Duration::from_millis(50);
/// How long closing reads an idle connection, and draining a new one: a request may be on its
/// way.
const LATE_READ: Duration = Duration::from_millis(100);
/// How long closing waits for the answers of endpoints to requests in progress.
const LATE_ANSWER: Duration = Duration::from_millis(200);
/// Longest time of closing.
const MAX_CLOSE: Duration = Duration::from_millis(350);

/// The daemon was told to shut down. All moments follow from the signal and the grace period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    /// From when on it closes as soon as nothing is in progress.
    pub earliest_close: Instant,
    /// When connections that were already idle are closed.
    pub idle_close: Instant,
    /// When it closes, whatever is in progress.
    pub latest_close: Instant,
}

/// The daemon starts no request any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closing {
    /// Until when connections are accepted.
    pub accept_until: Instant,
    /// Until when idle connections are read.
    pub read_until: Instant,
    /// Until when answers of endpoints are waited for.
    pub answer_until: Instant,
    /// Until when answers and rejections may be sent.
    pub write_until: Instant,
}

/// What a daemon does with callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves them.
    Serving,
    /// It was told to shut down and serves those that still come.
    Draining(Draining),
    /// It rejects those that still come.
    Closing(Closing),
}

impl Draining {
    /// Starts draining at the signal; the process is killed after the grace period.
    pub fn begin(now: Instant, grace: Duration) -> Self {
        let last = now + grace.saturating_sub(CLOSE_RESERVE);
        Self {
            earliest_close: last.min(now + MIN_DRAIN),
            idle_close: last.min(now + IDLE_OPEN),
            latest_close: last,
        }
    }

    /// Whether a new request is served, that ends by its deadline at the latest and is expected to
    /// end at `expected`: if that is before the daemon closes. After the load balancer has stopped
    /// sending new callers, only the deadline counts. When most daemons of a zone shut down
    /// together, the balancer goes on sending, and a stream that starts late would be cut off.
    pub fn serves(&self, deadline: Instant, expected: Instant, now: Instant) -> bool {
        let end = if now <= self.earliest_close {
            deadline.min(expected)
        } else {
            deadline
        };
        end <= self.latest_close
    }

    /// Whether to close now, with this number of requests in progress.
    pub fn may_close(&self, active: usize, now: Instant) -> bool {
        now >= self.latest_close || (active == 0 && now >= self.earliest_close)
    }

    /// Starts closing: no request is started from now on.
    pub fn close(self, now: Instant) -> Closing {
        Closing {
            accept_until: now + ACCEPT_TIME,
            read_until: now + LATE_READ,
            answer_until: now + LATE_ANSWER,
            write_until: now + MAX_CLOSE,
        }
    }
}

impl Phase {
    /// Whether it was not told to shut down.
    pub fn is_serving(self) -> bool {
        self == Self::Serving
    }

    /// Whether it starts no request any more.
    pub fn is_closing(self) -> bool {
        matches!(self, Self::Closing(_))
    }

    /// Whether a new request with a deadline is served that is expected to end at `expected`.
    pub fn serves(self, deadline: Instant, expected: Instant, now: Instant) -> bool {
        match self {
            Self::Serving => true,
            Self::Draining(draining) => draining.serves(deadline, expected, now),
            Self::Closing(_) => false,
        }
    }

    /// When a connection that has been idle since a moment, and may be for `limit`, is closed.
    pub fn idle_deadline(self, since: Instant, limit: Duration) -> Instant {
        let usual = since + limit;
        match self {
            Self::Serving => usual,
            Self::Draining(draining) => usual.min(draining.idle_close.max(since + LATE_READ)),
            Self::Closing(closing) => usual.min(closing.read_until),
        }
    }

    /// When reading a request ends at the latest.
    pub fn read_deadline(self, usual: Instant) -> Instant {
        match self {
            Self::Serving | Self::Draining(_) => usual,
            Self::Closing(closing) => usual.min(closing.read_until),
        }
    }
}
