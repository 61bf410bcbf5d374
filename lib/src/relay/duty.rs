//! Which daemon makes the calls that only one may make.
//!
//! The holder is whoever made the leader's key in the store, under a lease. It may
//! be paused right after it looked at its lease; another one takes over when the
//! lease ends, and the first must not act afterwards. So the lease is taken to run
//! from before the call that made or renewed it, and nothing is sent unless a
//! whole call's time is left on it.

use std::time::{Duration, Instant};

/// Share of the lease that must be left for a call to be sent.
const LEFT: f64 = 0.4;
/// Share of the lease after which it is renewed.
const RENEW: f64 = 0.3;

/// A lease that is held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// The store's number for it.
    pub lease: u64,
    /// Revision at which the leader's key was made; fences former holders off.
    pub fence: u64,
    life: Duration,
    since: Instant,
}

impl Held {
    /// A lease of `life` that was asked for at `since`.
    pub fn new(lease: u64, fence: u64, life: Duration, since: Instant) -> Self {
        Self {
            lease,
            fence,
            life,
            since,
        }
    }

    /// Whether a call may be sent now.
    pub fn may_act(&self, now: Instant) -> bool {
        self.left(now) >= self.life.mul_f64(LEFT)
    }

    /// Whether it is time to renew.
    pub fn is_due(&self, now: Instant) -> bool {
        now.duration_since(self.since) >= self.life.mul_f64(RENEW)
    }

    /// Whether it has ended, as far as this daemon can tell.
    pub fn is_over(&self, now: Instant) -> bool {
        self.left(now).is_zero()
    }

    /// Longest that a call sent now may take.
    pub fn left(&self, now: Instant) -> Duration {
        self.life.saturating_sub(now.duration_since(self.since))
    }

    /// Notes a renewal that was asked for at `since`.
    pub fn renewed(&mut self, since: Instant) {
        self.since = since;
    }
}
