//! Retention of finished answers.
//!
//! Requests finish in another order than the table of jobs has, so finding the expired answers
//! would mean a scan of the whole table in every tick. The cost of that scan grows with the request
//! rate and the retention time. This queue holds the finished answers in the order in which they
//! finished instead, so an expiry run looks only at its front.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use poplarvale_lib::RequestId;

/// Time between two expiry runs, each of which scans the jobs once.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Finished answers in the order in which they finished.
#[derive(Debug)]
pub(super) struct Retention {
    finished: VecDeque<(Instant, RequestId)>,
    next_sweep: Instant,
}

impl Retention {
    pub(super) fn new() -> Self {
        Self {
            finished: VecDeque::new(),
            next_sweep: Instant::now(),
        }
    }

    /// Records a finished answer and the time until which it is kept.
    pub(super) fn record(&mut self, until: Instant, request: RequestId) {
        self.finished.push_back((until, request));
    }

    /// Whether an expiry run is due.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.next_sweep <= now
    }

    /// Removes the answers whose retention time has passed and the oldest ones above `max` answers,
    /// and returns their ids sorted.
    pub(super) fn expire(&mut self, now: Instant, max: usize) -> Vec<RequestId> {
        self.next_sweep = now + SWEEP_INTERVAL;
        let excess = self.finished.len().saturating_sub(max);
        let old = self.finished.iter().take_while(|(until, _)| *until <= now);
        let count = old.count().max(excess);
        let mut expired: Vec<RequestId> = self.finished.drain(..count).map(|(_, id)| id).collect();
        expired.sort_unstable();
        expired
    }
}
