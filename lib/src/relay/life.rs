//! The life of a daemon, from serving to the end of its process.
//!
//! A daemon that is told to end is still sent callers for a while, and has some in
//! progress. It ends in order:
//!
//! - [`Leaving`]: it is not ready any more, so that the balancer sends nobody new, and
//!   serves whoever still comes, if the answer will be out in time.
//! - [`Closing`]: nothing is in progress, or the time is up. It begins nothing more: what
//!   it reads is refused as not run, connections are closed in order, and none is
//!   accepted. A request that came between the last look at what is in progress and the
//!   end of the process would else be sent to an endpoint and dropped with the process.
//! - After that only the last log lines are written.
//!
//! Where the grace is too short for all of it, leaving gives way first: closing has its
//! time, since a true refusal lets a caller go elsewhere, and a cut answer does not.

use std::time::{Duration, Instant};

/// Least time of leaving: the balancer needs two questions, a second apart, to send
/// nobody new.
const LEAVE: Duration = Duration::from_millis(2800);
/// How long after the signal an idle connection stays open; a caller that sends
/// something meanwhile is served.
const IDLE: Duration = Duration::from_millis(2500);
/// Time kept for closing and the last log lines before the process would be killed.
const SPARE: Duration = Duration::from_millis(700);
/// How long connections that wait to be accepted are taken while closing.
const ACCEPT: Duration = Duration::from_millis(50);
/// How long an idle connection is read while closing, and a new one while leaving: a
/// request may be on its way.
const CROSS: Duration = Duration::from_millis(100);
/// Longest time of closing.
const CLOSE: Duration = Duration::from_millis(350);

/// Told to end; all moments follow from the signal's and the grace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// From when on it closes as soon as nothing is in progress.
    pub quiet: Instant,
    /// When connections that were idle before are closed.
    pub idle: Instant,
    /// When it closes, whatever is in progress.
    pub last: Instant,
}

/// Begins nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closing {
    /// Until when connections are accepted.
    pub accept: Instant,
    /// Until when idle connections are read.
    pub cross: Instant,
    /// Until when answers and refusals may go out.
    pub last: Instant,
}

/// What a daemon does with callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It serves.
    Serving,
    /// It was told to end and serves who still comes.
    Leaving(Leaving),
    /// It refuses who still comes.
    Closing(Closing),
}

impl Leaving {
    /// Begins at the signal; the process is killed a grace later.
    pub fn begin(now: Instant, grace: Duration) -> Self {
        let last = now + grace.saturating_sub(SPARE);
        Self {
            quiet: last.min(now + LEAVE),
            idle: last.min(now + IDLE),
            last,
        }
    }

    /// Whether a new request is served: until the balancer sends nobody, and after that
    /// if it is over before the daemon closes. When most daemons of a zone end together
    /// the balancer goes on sending, and a stream begun late would be cut off.
    pub fn takes(&self, deadline: Instant, now: Instant) -> bool {
        now <= self.quiet || deadline <= self.last
    }

    /// Whether to close now, with so many requests in progress.
    pub fn may_close(&self, active: usize, now: Instant) -> bool {
        now >= self.last || (active == 0 && now >= self.quiet)
    }

    /// Begins nothing more from now on.
    pub fn close(self, now: Instant) -> Closing {
        Closing {
            accept: now + ACCEPT,
            cross: now + CROSS,
            last: now + CLOSE,
        }
    }
}

impl Life {
    /// Whether it was not told to end.
    pub fn is_serving(self) -> bool {
        self == Self::Serving
    }

    /// Whether it begins nothing more.
    pub fn is_closing(self) -> bool {
        matches!(self, Self::Closing(_))
    }

    /// Whether a new request with a deadline is served.
    pub fn takes(self, deadline: Instant, now: Instant) -> bool {
        match self {
            Self::Serving => true,
            Self::Leaving(leaving) => leaving.takes(deadline, now),
            Self::Closing(_) => false,
        }
    }

    /// When a connection is closed that has been idle since a moment, and may be for
    /// some time.
    pub fn idle_end(self, since: Instant, limit: Duration) -> Instant {
        let usual = since + limit;
        match self {
            Self::Serving => usual,
            Self::Leaving(leaving) => usual.min(leaving.idle.max(since + CROSS)),
            Self::Closing(closing) => usual.min(closing.cross),
        }
    }

    /// When reading a request ends at the latest.
    pub fn read_end(self, usual: Instant) -> Instant {
        match self {
            Self::Serving | Self::Leaving(_) => usual,
            Self::Closing(closing) => usual.min(closing.cross),
        }
    }
}
