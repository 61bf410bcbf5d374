//! Slow start: cold endpoints get requests at a limited rate from all daemons together.
//!
//! An endpoint that has just started, or lost its caches, takes few requests a second until it
//! is warm, and crashes at a rate well above that. Hundreds of daemons see an idle endpoint at
//! the same moment, and some of them may not hear one another. So, like a limit that an
//! endpoint announces, the rate is shared by a few daemons chosen by rendezvous hashing, and
//! the others send nothing until the endpoint is warm, but may forward requests to the sharers.
//! What bounds the sum:
//!
//! - *One set of sharers*: each sharer has an empty bucket at first, which holds one token at
//!   most and fills at a fixed part of the rate. In any second a sharer sends at most two
//!   requests where this part is below two a second.
//! - *Daemons that disagree*: a sharer's part does not grow when there are fewer others, so the
//!   sum grows only with the number of daemons that consider themselves sharers. The number
//!   of sharers is half of what the bound allows.
//! - *Partitions*: the sharers are chosen among all daemons that are still known, also those
//!   that were not heard from lately. Both sides of a partition therefore choose the same ones
//!   until they forget each other. Parts of daemons that are gone stay unused.
//! - *Start of daemons*: a daemon that has heard from nobody, though its settings name others,
//!   shares no rate. At the start of all, the first token arrives after a daemon has had the time
//!   to discover the others; daemons that start in isolation send nothing until they hear from one.
//! - *An endpoint that becomes cold during its traffic* gets its usual share of the requests
//!   until its entry in the registry tells; from then on the bucket starts empty.
//!
//! All daemons learn of the same moment at which the endpoint is warm. If all of them used it
//! from that moment, an endpoint without load would get a request from each of them at once.
//! So each daemon waits for a further time, between zero and [`RAMP_TIME`], that a hash
//! of its address and the endpoint gives.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use super::listing::ColdTime;
use super::quota::Tolerance;
use super::sharers::{Sharers, rank};
use super::token_bucket::TokenBucket;

/// Time over which the daemons start to use an endpoint that is warm again.
pub const RAMP_TIME: Duration = Duration::from_secs(1);
/// Difference of two statements about the same cold time: entries reach a daemon by different
/// ways, with different delays.
const STATEMENT_JITTER: Duration = Duration::from_millis(600);
/// Requests that a sharer may send at once.
const BURST: f64 = 1.0;

/// What all daemons together may send to a cold endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// How long an endpoint is cold after its start.
    pub time: Duration,
    /// Requests a second that a cold endpoint takes.
    pub rate: f64,
    /// Most requests in any one second.
    pub bound: f64,
}

impl SlowStart {
    /// Slow start of a service whose endpoints are cold for `time` and take `rate` requests a
    /// second meanwhile, with the tolerance within which that must be kept.
    pub fn new(time: Duration, rate: f64, tolerance: Tolerance) -> Self {
        Self {
            time,
            rate,
            bound: rate * (1.0 + tolerance.share) + tolerance.units,
        }
    }

    /// Number of daemons that share the rate, and requests a second of each of them.
    fn shares(&self) -> (usize, f64) {
        let spare = (self.bound - self.rate).max(0.0) / (2.0 * BURST);
        let count = (spare as usize).max(1);
        (count, self.rate.max(0.0) / count as f64)
    }
}

/// Slow start of one cold endpoint, as one daemon takes part in it.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdEndpoint {
    /// When the endpoint is warm, as far as this daemon knows.
    warm_at: Instant,
    /// How much later this daemon sends to it without limit.
    ramp: Duration,
    /// Whether this daemon is one of the sharers.
    is_sharer: bool,
    bucket: TokenBucket,
}

impl ColdEndpoint {
    /// The endpoint with this hash, which states to be cold.
    pub fn new(endpoint: u32, cold: ColdTime, limit: &SlowStart, daemons: &Sharers) -> Self {
        let (count, share) = limit.shares();
        Self {
            warm_at: cold.until,
            ramp: ramp(endpoint, daemons.me),
            is_sharer: daemons.is_sharer(endpoint, count),
            bucket: TokenBucket::empty(share, BURST, cold.read),
        }
    }

    /// Merges a further statement of the endpoint. It extends the slow start if the endpoint
    /// became cold again.
    pub fn merge(&mut self, cold: ColdTime) {
        self.warm_at = if self.covers(cold) {
            // A statement may be delayed on its way, so that the earliest end is the exact one.
            self.warm_at.min(cold.until)
        } else {
            cold.until
        };
    }

    /// Whether a statement is about the cold time that is known, rather than a later one.
    pub fn covers(&self, cold: ColdTime) -> bool {
        cold.until <= self.warm_at + STATEMENT_JITTER
    }

    /// Updates whether this daemon is a sharer, after the daemons changed.
    pub fn update_sharers(&mut self, endpoint: u32, limit: &SlowStart, daemons: &Sharers) {
        self.is_sharer = daemons.is_sharer(endpoint, limit.shares().0);
    }

    /// The other daemons that share the rate of the endpoint.
    pub(crate) fn other_sharers(
        endpoint: u32,
        limit: &SlowStart,
        daemons: &Sharers,
    ) -> Vec<Ipv4Addr> {
        daemons.other_sharers(endpoint, limit.shares().0)
    }

    /// When the endpoint is warm.
    pub fn warm_at(&self) -> Instant {
        self.warm_at
    }

    /// Whether this daemon's slow start of the endpoint is over.
    pub fn is_over(&self, now: Instant) -> bool {
        now >= self.warm_at + self.ramp
    }

    /// Whether this daemon may send a request now.
    ///
    /// # Errors
    /// Returns the time until it may.
    pub fn check(&self, now: Instant) -> Result<(), Duration> {
        if self.is_over(now) {
            return Ok(());
        }
        let until_warm = (self.warm_at + self.ramp).saturating_duration_since(now);
        if !self.is_sharer {
            return Err(until_warm);
        }
        match self.bucket.wait(now) {
            Duration::ZERO => Ok(()),
            wait => Err(wait.min(until_warm)),
        }
    }

    /// Takes a token for a request that is sent.
    pub fn take(&mut self, now: Instant) {
        self.bucket.take(now);
    }
}

/// How long after an endpoint is warm a daemon begins to use it without limit.
fn ramp(endpoint: u32, daemon: Ipv4Addr) -> Duration {
    let fraction = rank(endpoint, daemon) as f64 / u64::MAX as f64;
    RAMP_TIME.mul_f64(fraction)
}
