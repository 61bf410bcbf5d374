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
const ROW: u32 = 3;
/// Share of failures among the recent requests that ejects, consecutive or not.
const SHARE: f64 = 0.5;
/// Weight of the latest outcome in that share: about the last ten count.
const GAIN: f64 = 0.1;
/// An endpoint is an outlier if its share of failures is above the other
/// endpoints' times this factor. When all fail alike, ejecting half of them only
/// adds load to the rest.
const WORSE: f64 = 2.0;
/// An endpoint is slow if it takes longer than the others by this factor. Batches
/// of different size make a difference up to the limiter's tolerance; more than
/// twice that has no legitimate cause.
pub const SLOW: f64 = 3.0;
/// Duration of the first ejection.
const REST: Duration = Duration::from_secs(2);
/// Longest ejection: an endpoint that has recovered is back within this time.
const LONGEST: Duration = Duration::from_secs(30);
/// Time in use after which earlier ejections are forgotten.
const FORGET: Duration = Duration::from_mins(1);

/// Whether an endpoint gets requests.
#[proc_macros::kind]
pub enum State {
    /// Gets requests.
    Open,
    /// Gets none until the ejection is over.
    Resting,
    /// Gets one request at a time until one succeeds.
    Probing,
}

/// Ejection state of one endpoint.
#[proc_macros::row]
pub struct Ejection {
    state: State,
    row: u32,
    failed: f64,
    rests: u32,
    until: Instant,
}

impl Ejection {
    /// State of an endpoint of which nothing is known.
    pub fn new(now: Instant) -> Self {
        Self {
            state: State::Open,
            row: 0,
            failed: 0.0,
            rests: 0,
            until: now,
        }
    }

    /// Whether it gets requests.
    pub fn state(&self) -> State {
        self.state
    }

    /// End of the ejection; none if it is not ejected.
    pub fn until(&self) -> Option<Instant> {
        (self.state == State::Resting).then_some(self.until)
    }

    /// Counts a success; `slow` if it took too long. Returns whether this is a
    /// reason to eject the endpoint.
    pub fn succeed(&mut self, now: Instant, slow: bool) -> bool {
        self.row = 0;
        self.failed -= GAIN * self.failed;
        if self.state != State::Probing {
            return false;
        }
        if !slow {
            self.state = State::Open;
            self.until = now;
        }
        slow
    }

    /// Counts a failure. Returns whether this is a reason to eject the endpoint.
    pub fn fail(&mut self) -> bool {
        self.row += 1;
        self.failed += GAIN * (1.0 - self.failed);
        let bad = self.row >= ROW || self.failed >= SHARE;
        match self.state {
            State::Open => bad,
            State::Probing => true,
            State::Resting => false,
        }
    }

    /// Share of failures among the recent requests.
    pub fn failed(&self) -> f64 {
        self.failed
    }

    /// Whether it fails more than the other endpoints do, given the share that is
    /// typical of them.
    pub fn worse(&self, usual: f64) -> bool {
        self.failed > WORSE * usual
    }

    /// Ejects the endpoint.
    pub fn eject(&mut self, now: Instant) {
        let forgotten = self.state == State::Open && now >= self.until + FORGET;
        if forgotten {
            self.rests = 0;
        }
        let rest = REST.saturating_mul(1 << self.rests.min(8)).min(LONGEST);
        self.state = State::Resting;
        self.until = now + rest;
        self.rests += 1;
        self.row = 0;
        self.failed = 0.0;
    }

    /// Begins to probe the endpoint when its ejection is over; returns whether it
    /// did so now.
    pub fn wake(&mut self, now: Instant) -> bool {
        let over = self.state == State::Resting && self.until <= now;
        if over {
            self.state = State::Probing;
        }
        over
    }
}

/// Whether one more of `all` endpoints may be ejected when `out` are.
pub fn may_eject(out: usize, all: usize) -> bool {
    (out + 1) * 2 <= all
}
