//! Outlier ejection: keeps requests from endpoints that fail or are slow, and
//! readmits them.
//!
//! Answers a slow or failing endpoint. Least-loaded choice alone sends it more
//! work: an endpoint that fails requests at once is always the least loaded, and
//! one that hangs holds a request of each caller until its deadline. It would
//! show as a steady share of errors or timeouts, as large as one endpoint's part
//! of the load. Such an endpoint is ejected, for a longer time each time, and
//! then gets one request at a time until one succeeds.
//!
//! If many endpoints look bad at once, the cause is more likely common to them
//! (overload, bad input, this daemon's own network), and ejecting them all would
//! turn a partial outage into a full one. So at least half of a service's
//! endpoints stay in use.

use std::time::{Duration, Instant};

/// Consecutive failures that eject: one or two happen by chance.
const CONSECUTIVE_FAILURES: u32 = 3;
/// Share of failures among the recent requests that ejects, consecutive or not.
const MAX_FAILURE_RATIO: f64 = 0.5;
/// Weight of the latest outcome in that share: about the last ten count.
const FAILURE_GAIN: f64 = 0.1;
/// An endpoint is an outlier if its share of failures is above the other
/// endpoints' times this factor. When all fail alike, ejecting half of them only
/// adds load to the rest.
const OUTLIER_FACTOR: f64 = 2.0;
/// An endpoint is slow if it takes longer than the others by this factor. Batches
/// of different size make a difference up to the limiter's tolerance; more than
/// twice that has no legitimate cause.
pub const SLOW_FACTOR: f64 = 3.0;
/// Duration of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Longest ejection: an endpoint that has recovered is back within this time.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time in use after which earlier ejections are forgotten.
const RESET_AFTER: Duration = Duration::from_mins(1);

/// Whether an endpoint gets requests.
#[proc_macros::kind]
pub enum State {
    /// Gets requests.
    #[serde(rename = "open")]
    Healthy,
    /// Gets none until the ejection is over.
    #[serde(rename = "resting")]
    Ejected,
    /// Gets one request at a time until one succeeds.
    Probing,
}

/// Ejection state of one endpoint.
#[proc_macros::row]
pub struct Ejection {
    state: State,
    consecutive: u32,
    failure_ratio: f64,
    ejections: u32,
    until: Instant,
}

impl Ejection {
    /// State of an endpoint of which nothing is known.
    pub fn new(now: Instant) -> Self {
        Self {
            state: State::Healthy,
            consecutive: 0,
            failure_ratio: 0.0,
            ejections: 0,
            until: now,
        }
    }

    /// Whether it gets requests.
    pub fn state(&self) -> State {
        self.state
    }

    /// End of the ejection; none if it is not ejected.
    pub fn until(&self) -> Option<Instant> {
        (self.state == State::Ejected).then_some(self.until)
    }

    /// Counts a success; `slow` if it took too long. Returns whether this is a
    /// reason to eject the endpoint.
    pub fn record_success(&mut self, now: Instant, slow: bool) -> bool {
        self.consecutive = 0;
        self.failure_ratio -= FAILURE_GAIN * self.failure_ratio;
        if self.state != State::Probing {
            return false;
        }
        if !slow {
            self.state = State::Healthy;
            self.until = now;
        }
        slow
    }

    /// Counts a failure. Returns whether this is a reason to eject the endpoint.
    pub fn record_failure(&mut self) -> bool {
        self.consecutive += 1;
        self.failure_ratio += FAILURE_GAIN * (1.0 - self.failure_ratio);
        let bad =
            self.consecutive >= CONSECUTIVE_FAILURES || self.failure_ratio >= MAX_FAILURE_RATIO;
        match self.state {
            State::Healthy => bad,
            State::Probing => true,
            State::Ejected => false,
        }
    }

    /// Share of failures among the recent requests.
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Whether it fails more than the other endpoints do, given the share that is
    /// typical of them.
    pub fn is_outlier(&self, typical: f64) -> bool {
        self.failure_ratio > OUTLIER_FACTOR * typical
    }

    /// Ejects the endpoint.
    pub fn eject(&mut self, now: Instant) {
        let reset = self.state == State::Healthy && now >= self.until + RESET_AFTER;
        if reset {
            self.ejections = 0;
        }
        let duration = FIRST_EJECTION
            .saturating_mul(1 << self.ejections.min(8))
            .min(MAX_EJECTION);
        self.state = State::Ejected;
        self.until = now + duration;
        self.ejections += 1;
        self.consecutive = 0;
        self.failure_ratio = 0.0;
    }

    /// Begins to probe the endpoint when its ejection is over; returns whether it
    /// did so now.
    pub fn start_probe(&mut self, now: Instant) -> bool {
        let expired = self.state == State::Ejected && self.until <= now;
        if expired {
            self.state = State::Probing;
        }
        expired
    }
}

/// Whether one more of `total` endpoints may be ejected when `ejected` are.
pub fn may_eject(ejected: usize, total: usize) -> bool {
    (ejected + 1) * 2 <= total
}
