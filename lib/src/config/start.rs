//! How a daemon gets its first lists.
//!
//! If a daemon served on the first lists it received, it could bring an old
//! plan back into force: the peer that sent them may itself be partitioned. So
//! it asks the service and some peers, waits a moment for all answers, and
//! starts with the highest revision. If the service answers, nothing higher
//! exists and it need not wait for the others.

use std::time::{Duration, Instant};

use crate::ids::{Incarnation, Revision};
use crate::lists::Accepted;

/// Time in which all that were asked have to answer.
const START_TIMEOUT: Duration = Duration::from_secs(1);

/// A start that is in progress.
#[derive(Debug)]
pub(crate) struct Start {
    /// When it stops waiting; `None` before the first queries.
    pub deadline: Option<Instant>,
    /// Peers that have not answered yet.
    pub pending: Vec<Incarnation>,
    /// Highest lists so far.
    pub best: Accepted,
    /// Revision of the head at the service.
    pub head: Option<Revision>,
}

/// Next step of a start.
#[derive(Debug, PartialEq)]
pub(crate) enum Next {
    /// Query the service and peers.
    Query,
    /// Wait.
    Wait,
    /// Read the lists from the service.
    Read,
    /// Finish with the highest lists.
    Finish,
}

impl Start {
    /// A start without any queries yet.
    pub fn new() -> Self {
        Self {
            deadline: None,
            pending: Vec::new(),
            best: Accepted::default(),
            head: None,
        }
    }

    /// A start whose earlier queries failed and that has to query again.
    pub fn restarted(now: Instant) -> Self {
        Self {
            deadline: Some(now),
            ..Self::new()
        }
    }

    /// Records that some peers were queried.
    pub fn record_queries(&mut self, now: Instant, peers: Vec<Incarnation>) {
        self.deadline = Some(now + START_TIMEOUT);
        self.pending = peers;
    }

    /// Takes lists if they are the highest so far.
    pub fn offer(&mut self, accepted: Accepted) {
        if accepted.revision > self.best.revision {
            self.best = accepted;
        }
    }

    /// The next step.
    pub fn next(&self, now: Instant) -> Next {
        let Some(deadline) = self.deadline else {
            return Next::Query;
        };
        let over = now >= deadline;
        match self.head {
            Some(head) if self.best.revision >= head => Next::Finish,
            Some(_) if over || self.pending.is_empty() => Next::Read,
            None if over && self.best.revision > 0 => Next::Finish,
            None if over => Next::Query,
            _ => Next::Wait,
        }
    }
}
