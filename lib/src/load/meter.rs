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
const MIN_GAIN: f64 = 0.05;
/// Completions after which the estimate is used.
const MIN_SAMPLES: u32 = 4;
/// Completions after which an endpoint may be called slow.
const RELIABLE_SAMPLES: u32 = 16;

/// Measured rate of an endpoint or a service.
#[proc_macros::row]
pub struct Meter {
    running: u32,
    updated: Instant,
    /// Time that one running request would have had so far, in seconds.
    shared_time: f64,
    /// Work and shared time of requests that completed in busy times.
    busy: Means,
    /// Work and shared time of all other completed requests.
    idle: Means,
    /// Work and elapsed time of all completed requests.
    single: Means,
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
        let gain = MIN_GAIN.max(1.0 / f64::from(self.count));
        self.work += gain * (work - self.work);
        self.time += gain * (time - self.time);
    }

    fn rate(&self) -> Option<f64> {
        (self.count >= MIN_SAMPLES && self.time > 0.0).then(|| self.work / self.time)
    }
}

/// State of a meter when a request was sent.
#[proc_macros::row]
#[derive(Copy)]
pub struct Mark {
    shared_time: f64,
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
    pub elapsed: f64,
    /// Mean number of requests that ran there meanwhile.
    pub concurrency: f64,
    /// Seconds per unit of work.
    pub unit_time: f64,
}

impl Meter {
    /// Creates a meter with nothing measured.
    pub fn new(now: Instant) -> Self {
        Self {
            running: 0,
            updated: now,
            shared_time: 0.0,
            busy: Means::default(),
            idle: Means::default(),
            single: Means::default(),
        }
    }

    /// Sets how many requests run from now on.
    pub fn set_running(&mut self, now: Instant, running: u32) {
        self.shared_time = self.shared_time_at(now);
        self.updated = now;
        self.running = running;
    }

    fn shared_time_at(&self, now: Instant) -> f64 {
        if self.running == 0 {
            return self.shared_time;
        }
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.shared_time + elapsed / f64::from(self.running)
    }

    /// Mark of a request that is sent now.
    pub fn mark(&self, now: Instant) -> Mark {
        Mark {
            shared_time: self.shared_time_at(now),
            at: now,
        }
    }

    /// Records a completed request. The endpoint counts as busy if the
    /// concurrency was at least half of its `limit`.
    pub fn record(&mut self, now: Instant, mark: Mark, work: f64, limit: u32) -> Option<Sample> {
        let shared_time = self.shared_time_at(now) - mark.shared_time;
        let elapsed = now.saturating_duration_since(mark.at).as_secs_f64();
        if shared_time <= 0.0 || elapsed <= 0.0 {
            return None;
        }
        let concurrency = elapsed / shared_time;
        self.single.add(work, elapsed);
        if concurrency * 2.0 >= f64::from(limit) {
            self.busy.add(work, shared_time);
        } else {
            self.idle.add(work, shared_time);
        }
        let unit_time = elapsed / work;
        Some(Sample {
            elapsed,
            concurrency,
            unit_time,
        })
    }

    /// Units of work per second, all requests together; none before there are
    /// enough samples. `expected` is what the endpoint should do at its limit,
    /// which counts until busy times have shown its rate.
    pub fn rate(&self, expected: f64) -> Option<f64> {
        let idle = self.idle.rate();
        let busy = self.busy.rate();
        let busy = busy.or_else(|| idle.map(|_| expected));
        busy.into_iter().chain(idle).reduce(f64::max)
    }

    /// Discards the time per unit, after an ejection in which the endpoint may
    /// have recovered.
    pub fn reset_unit_time(&mut self) {
        self.single = Means::default();
    }

    /// The time per unit once there are enough samples to call an endpoint slow
    /// by it: answers end before their maximum length, so the time of a few
    /// requests differs widely for the same work.
    pub fn reliable_unit_time(&self) -> Option<f64> {
        self.unit_time()
            .filter(|_| self.single.count >= RELIABLE_SAMPLES)
    }

    /// Recent seconds per unit of work of a single request.
    pub fn unit_time(&self) -> Option<f64> {
        self.single.rate().map(|rate| 1.0 / rate)
    }
}
