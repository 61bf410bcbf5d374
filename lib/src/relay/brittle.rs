//! Limits the requests in progress at brittle endpoints, which fail when they have to reject too
//! many requests within a second.
//!
//! Load: more requests than the endpoints of a service have room for, at many daemons whose load
//! reports are a fraction of a second old. Each daemon still sees room and sends, the endpoint
//! rejects the requests of all of them, and ends. Its load then falls on the others, which end too.
//!
//! So each daemon has a limit of its own for its requests in progress at such an endpoint: an even
//! share of the endpoint's slots at first. A rejection lowers the limit to a part of what was in
//! progress. Without one it rises by one request each [`step`], which is as long as it takes all
//! daemons together to cause a part of the rejections that the endpoint tolerates.

use std::time::{Duration, Instant};

/// Share of the tolerated rejections that the rise of all limits together may cause.
const REJECTION_SHARE: f64 = 0.4;
/// Share of the requests in progress to which a rejection lowers the limit.
const DECREASE: f64 = 0.7;
/// Bounds of [`step`].
const MIN_STEP: Duration = Duration::from_millis(100);
const MAX_STEP: Duration = Duration::from_secs(10);

/// Rejections a second that an endpoint tolerates from all daemons together.
pub type RejectionRate = u32;

/// Time in which the limit of one daemon rises by one request, where `daemons` of them share an
/// endpoint.
pub fn step(tolerated: RejectionRate, daemons: usize) -> Duration {
    let rate = (f64::from(tolerated) * REJECTION_SHARE).max(f64::MIN_POSITIVE);
    let seconds = (daemons as f64 / rate).min(MAX_STEP.as_secs_f64());
    Duration::from_secs_f64(seconds).max(MIN_STEP)
}

/// This daemon's limit for its requests in progress at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    /// Limit as of `changed`.
    most: u32,
    changed: Instant,
}

impl ConcurrencyLimit {
    /// An even share of an endpoint's slots.
    pub fn new(slots: u32, daemons: usize, now: Instant) -> Self {
        let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
        Self {
            most: slots.div_ceil(daemons).max(1),
            changed: now,
        }
    }

    /// Whether a further request may be sent while this many are in progress.
    pub fn allows(&self, in_progress: u32, step: Duration, now: Instant) -> bool {
        let steps = now.saturating_duration_since(self.changed).as_millis() / step.as_millis();
        let most = u64::from(self.most).saturating_add(steps as u64);
        u64::from(in_progress) < most
    }

    /// Records that the endpoint rejected a request while this many others were in progress.
    pub fn record_rejection(&mut self, in_progress: u32, now: Instant) {
        self.most = (f64::from(in_progress) * DECREASE) as u32;
        self.changed = now;
    }
}
