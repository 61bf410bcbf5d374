//! Retry-after times of rejected requests.
//!
//! Answers the second burst that rejected callers make. If each is told only by
//! how much it was late, all callers of a burst retry at the same time and most
//! are rejected again; it would show as several arrivals for each answer. So the
//! work of rejected requests is kept as a backlog of its own, which drains as
//! fast as the endpoints work, and each caller is told to retry when the backlog
//! ahead of it is drained.

use std::time::{Duration, Instant};

use crate::ids::ServiceId;
use crate::table::Row;

/// Shortest delay before a retry: a shorter one would only repeat the same load
/// while the queue is as long as it was.
const MIN_DELAY: Duration = Duration::from_millis(250);
/// Longest delay before a retry: load further ahead cannot be predicted.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// A time to retry after about `wait`. `jitter` in 0 to 1 spreads callers that
/// were rejected at the same moment and would otherwise form the same burst
/// again.
pub fn with_jitter(now: Instant, wait: Duration, jitter: f64) -> Instant {
    let wait = wait.clamp(MIN_DELAY, MAX_DELAY);
    now + wait + wait.mul_f64(jitter.clamp(0.0, 1.0) / 4.0)
}

/// Work of the rejected requests of a service that are expected to be retried.
#[proc_macros::row]
pub struct RetryBacklog {
    service: ServiceId,
    work: f64,
    updated: Instant,
}

impl RetryBacklog {
    /// Creates an empty backlog.
    pub fn new(service: ServiceId, now: Instant) -> Self {
        Self {
            service,
            work: 0.0,
            updated: now,
        }
    }

    /// When to retry a request of `work` units that would have been late by
    /// `excess`, at a `rate` in units per second. `jitter` in 0 to 1 spreads
    /// requests of the same moment.
    pub fn schedule(
        &mut self,
        now: Instant,
        excess: Duration,
        work: f64,
        rate: f64,
        jitter: f64,
    ) -> Instant {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let rate = rate.max(f64::MIN_POSITIVE);
        let max_work = MAX_DELAY.as_secs_f64() * rate;
        self.work = (self.work - elapsed * rate).max(0.0);
        let queue = Duration::from_secs_f64((self.work / rate).min(MAX_DELAY.as_secs_f64()));
        self.work = (self.work + work).min(max_work);
        self.updated = now;
        with_jitter(now, excess + queue, jitter)
    }
}

impl Row for RetryBacklog {
    type Id = ServiceId;
    fn id(&self) -> &ServiceId {
        &self.service
    }
}
