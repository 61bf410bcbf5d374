//! Measures how fast an endpoint does this daemon's work.
//!
//! Every decision about time rests on this rate. Completions per second would not
//! do: while long requests run nothing completes and the endpoint would look
//! dead, and an endpoint that gets little to do would look slow. So the work of
//! each completed request is divided by its share of the endpoint's time: with
//! `n` requests running, one second gives each `1/n` second. Work over shared
//! time is the endpoint's rate, whatever the concurrency.
//!
//! An engine that batches does less in all while it has little to do. Samples
//! from such times would make the endpoint look weak when a burst comes, so they
//! are kept apart from those of busy times, and the higher of both rates counts.

use std::time::Instant;

/// Least weight of a completed request in the estimate. One twentieth follows a
/// change of speed within some tens of requests and smooths the variance of
/// single requests.
const GAIN: f64 = 0.05;
/// Completions after which the estimate is used.
const ENOUGH: u32 = 4;
/// Completions after which an endpoint may be called slow.
const SURE: u32 = 16;

/// Measured rate of an endpoint or a service.
#[proc_macros::row]
pub struct Meter {
    running: u32,
    turned: Instant,
    shared: f64,
    busy: Means,
    idle: Means,
    alone: Means,
}

/// Means of work and time; their ratio is a rate in which a long request counts
/// as much as many short ones.
#[proc_macros::row]
#[derive(Copy, Default)]
struct Means {
    work: f64,
    time: f64,
    count: u32,
}

impl Means {
    fn add(&mut self, work: f64, time: f64) {
        self.count = self.count.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.count));
        self.work += gain * (work - self.work);
        self.time += gain * (time - self.time);
    }

    fn rate(&self) -> Option<f64> {
        (self.count >= ENOUGH && self.time > 0.0).then(|| self.work / self.time)
    }
}

/// State of a meter when a request was sent.
#[proc_macros::row]
#[derive(Copy)]
pub struct Mark {
    shared: f64,
    at: Instant,
}

impl Mark {
    /// Seconds since the request was sent.
    pub fn age(&self, now: Instant) -> f64 {
        now.saturating_duration_since(self.at).as_secs_f64()
    }
}

/// Measurement of one completed request.
#[proc_macros::row]
#[derive(Copy)]
pub struct Sample {
    /// Seconds from sending to end.
    pub took: f64,
    /// Mean number of requests that ran there meanwhile.
    pub beside: f64,
    /// Seconds per unit of work.
    pub pace: f64,
}

impl Meter {
    /// Creates a meter with nothing measured.
    pub fn new(now: Instant) -> Self {
        Self {
            running: 0,
            turned: now,
            shared: 0.0,
            busy: Means::default(),
            idle: Means::default(),
            alone: Means::default(),
        }
    }

    /// Sets how many requests run from now on.
    pub fn turn(&mut self, now: Instant, running: u32) {
        self.shared = self.shared_at(now);
        self.turned = now;
        self.running = running;
    }

    fn shared_at(&self, now: Instant) -> f64 {
        if self.running == 0 {
            return self.shared;
        }
        let passed = now.saturating_duration_since(self.turned).as_secs_f64();
        self.shared + passed / f64::from(self.running)
    }

    /// Mark of a request that is sent now.
    pub fn mark(&self, now: Instant) -> Mark {
        Mark {
            shared: self.shared_at(now),
            at: now,
        }
    }

    /// Records a completed request. The endpoint counts as busy if the
    /// concurrency was at least half of its `limit`.
    pub fn complete(&mut self, now: Instant, mark: Mark, work: f64, limit: u32) -> Option<Sample> {
        let shared = self.shared_at(now) - mark.shared;
        let took = now.saturating_duration_since(mark.at).as_secs_f64();
        if shared <= 0.0 || took <= 0.0 {
            return None;
        }
        let beside = took / shared;
        self.alone.add(work, took);
        if beside * 2.0 >= f64::from(limit) {
            self.busy.add(work, shared);
        } else {
            self.idle.add(work, shared);
        }
        let pace = took / work;
        Some(Sample { took, beside, pace })
    }

    /// Units of work per second, all requests together; none before there are
    /// enough samples. `promise` is what the endpoint should do at its limit,
    /// which counts until busy times have shown its rate.
    pub fn rate(&self, promise: f64) -> Option<f64> {
        let idle = self.idle.rate();
        let busy = self.busy.rate();
        let busy = busy.or_else(|| idle.map(|_| promise));
        busy.into_iter().chain(idle).reduce(f64::max)
    }

    /// Discards the time per unit, after an ejection in which the endpoint may
    /// have recovered.
    pub fn forget_pace(&mut self) {
        self.alone = Means::default();
    }

    /// The time per unit once there are enough samples to call an endpoint slow
    /// by it: answers end before their maximum length, so the time of a few
    /// requests differs widely for the same work.
    pub fn sure_pace(&self) -> Option<f64> {
        self.pace().filter(|_| self.alone.count >= SURE)
    }

    /// Recent seconds per unit of work of a single request.
    pub fn pace(&self) -> Option<f64> {
        self.alone.rate().map(|rate| 1.0 / rate)
    }
}
