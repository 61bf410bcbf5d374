//! The lease that decides which daemon makes the calls that only one daemon may make.
//!
//! The duty holder is the daemon that created the leader's key in the store, under a lease. It
//! may be paused right after it checked its lease; another daemon takes over when the lease
//! expires, and the first must not act after that. So the lease counts from before the call
//! that created or renewed it, and no call is sent unless enough of the lease is left for a
//! whole call.

use std::time::{Duration, Instant};

/// Share of the lease that must be left for a call to be sent.
const MIN_LEFT_SHARE: f64 = 0.4;
/// Share of the lease after which it is renewed.
const RENEW_SHARE: f64 = 0.3;

/// Lease of the duty holder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DutyLease {
    /// Id of the lease in the store.
    pub id: u64,
    /// Fencing token: the revision at which the leader's key was created; it keeps former
    /// holders from writing.
    pub fencing_token: u64,
    ttl: Duration,
    since: Instant,
}

impl DutyLease {
    /// Creates a lease with time to live `ttl` that was requested at `since`.
    pub fn new(id: u64, fencing_token: u64, ttl: Duration, since: Instant) -> Self {
        Self {
            id,
            fencing_token,
            ttl,
            since,
        }
    }

    /// Whether a call may be sent now.
    pub fn may_act(&self, now: Instant) -> bool {
        self.left(now) >= self.ttl.mul_f64(MIN_LEFT_SHARE)
    }

    /// Whether to renew the lease now.
    pub fn needs_renewal(&self, now: Instant) -> bool {
        now.duration_since(self.since) >= self.ttl.mul_f64(RENEW_SHARE)
    }

    /// Whether the lease has expired, as far as this daemon can tell.
    pub fn is_expired(&self, now: Instant) -> bool {
        self.left(now).is_zero()
    }

    /// Longest time that a call sent now may take.
    pub fn left(&self, now: Instant) -> Duration {
        self.ttl.saturating_sub(now.duration_since(self.since))
    }

    /// Records a renewal that was requested at `since`.
    pub fn renewed(&mut self, since: Instant) {
        self.since = since;
    }
}
