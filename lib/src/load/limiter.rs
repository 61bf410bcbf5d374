//! Adaptive concurrency limit of an endpoint or a service.
//!
//! Answers a slow endpoint, and any load past the point where an engine's batch
//! is full. With a fixed limit too much work is inside the endpoints, where it
//! cannot be reordered: a short request waits behind long ones whatever its
//! priority, and a slow endpoint collects the most. It would show as answers that
//! take longer at the endpoints while no queue is seen in this daemon.
//!
//! The limiter compares the time per unit of work with the lowest that it has
//! seen. The ratio is the gradient: the limit grows while it is near one, and
//! shrinks when latency has risen past [`TOLERANCE`]. Requests of other daemons
//! at the same endpoint raise the latency too, so daemons share an endpoint
//! without exchanging messages.
//!
//! An endpoint may also fail the requests past some number, with no sign of it in
//! its latency. So failures shrink the limit, but only if they are more frequent
//! while the endpoint is full than otherwise: requests that fail for another
//! reason would shrink every limit to the minimum.

/// Latency relative to the lowest that still counts as normal. Batches slow down
/// a little before they are full; a lower value would give throughput away, a
/// higher one lets work pile up inside the endpoint.
pub const TOLERANCE: f64 = 1.3;
/// Least requests at the same time. One keeps the endpoint measured; a higher
/// minimum, times some hundred daemons, would overload an endpoint by itself.
pub const FLOOR: u32 = 1;
/// Initial limit of an endpoint, in requests. A batching engine runs this many at
/// the same time without loss, and the limit doubles within a few windows.
const START: f64 = 16.0;
/// Initial limit of a service, in requests: small, as each of hundreds of daemons
/// may send this many before it receives an answer.
const OPENING: f64 = 8.0;
/// Least completions in a window; fewer show the variance of single requests.
const WINDOW: u32 = 8;
/// Lowest gradient of a window, so that one stall does not shrink the limit
/// further.
const LEAST_GRADIENT: f64 = 0.5;
/// Share of the way that the limit moves to a window's result.
const SMOOTHING: f64 = 0.3;
/// Share of the way that the baseline latency moves up to the measured one while
/// the endpoint has little to do: so a version that is slower by nature becomes
/// the norm, but saturation, in which latency is high too, never does.
const DRIFT: f64 = 0.1;
/// Weight of the latest outcome in the share of failures: about the last fifty
/// count.
const GAIN: f64 = 0.02;
/// Outcomes of each kind before they are compared.
const ENOUGH: u32 = 10;
/// The limit is too high if failures while full are more frequent than otherwise
/// by this factor.
const WORSE: f64 = 2.0;
/// Share of failures that is tolerated, so that a single one has no effect.
const CHANCE: f64 = 0.05;
/// Factor on the limit for each failure that shows it to be too high.
const BACKOFF: f64 = 0.9;
/// Fixed cost of each request beside its tokens, in units of work.
const OVERHEAD: f64 = 8.0;

/// Concurrency limit of one endpoint or service.
#[proc_macros::row]
pub struct Limiter {
    limit: f64,
    ceiling: u32,
    best: Option<f64>,
    count: u32,
    took: f64,
    work: f64,
    beside: f64,
    full: Failures,
    other: Failures,
    opening: bool,
}

/// Share of failures among the recent requests.
#[proc_macros::row]
#[derive(Copy, Default)]
struct Failures {
    share: f64,
    count: u32,
}

impl Failures {
    fn add(&mut self, failed: bool) {
        self.count = self.count.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.count));
        self.share += gain * (f64::from(u8::from(failed)) - self.share);
    }
}

impl Limiter {
    /// Creates the limiter of an endpoint, with nothing measured.
    pub fn new(ceiling: u32) -> Self {
        Self {
            limit: START.min(f64::from(ceiling)),
            ceiling,
            best: None,
            count: 0,
            took: 0.0,
            work: 0.0,
            beside: 0.0,
            opening: false,
            full: Failures::default(),
            other: Failures::default(),
        }
    }

    /// Creates the limiter of a service with any number of endpoints: the limit
    /// grows with each answer until latency rises for the first time.
    pub fn opening(ceiling: u32) -> Self {
        Self {
            opening: true,
            limit: OPENING.min(f64::from(ceiling)),
            ..Self::new(ceiling)
        }
    }

    /// Whether latency has not yet risen for the first time.
    pub fn is_opening(&self) -> bool {
        self.opening
    }

    /// Requests that may run at the same time.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(FLOOR, self.ceiling.max(FLOOR))
    }

    /// Seconds per unit of work that still count as normal.
    pub fn normal(&self) -> f64 {
        self.best.unwrap_or(0.0) * TOLERANCE
    }

    /// Units of work per second that the endpoint should do at its limit, if the
    /// limit is right; zero if nothing was measured.
    pub fn promise(&self) -> f64 {
        let normal = self.normal();
        if normal > 0.0 {
            f64::from(self.limit()) / normal
        } else {
            0.0
        }
    }

    /// Records a completed request: its seconds from start to end, its units of
    /// work, and the mean concurrency meanwhile.
    pub fn complete(&mut self, took: f64, work: f64, beside: f64) {
        self.count += 1;
        self.took += took;
        self.work += work + OVERHEAD;
        self.beside += beside * took;
        if self.opening && beside * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0).min(f64::from(self.ceiling));
        }
        if self.count >= WINDOW.max(self.limit() / 2) {
            self.turn();
        }
    }

    /// Records whether a request succeeded, and how many ran then.
    pub fn judge(&mut self, whole: bool, running: u32) {
        let full = f64::from(running) * 2.0 > self.limit;
        let failures = if full {
            &mut self.full
        } else {
            &mut self.other
        };
        failures.add(!whole);
        let compared = self.other.count >= ENOUGH;
        let usual = if compared { self.other.share } else { 0.0 };
        let enough = self.full.count >= ENOUGH;
        let crowded = enough && self.full.share > WORSE * usual + CHANCE;
        if !whole && full && crowded {
            // An endpoint that was full from the start has no outcomes to compare
            // with yet; half of the initial limit is low enough to get some.
            let least = if compared {
                f64::from(FLOOR)
            } else {
                START / 2.0
            };
            let lower = (self.limit * BACKOFF).max(least);
            self.limit = self.limit.min(lower);
        }
    }

    fn turn(&mut self) {
        let latency = self.took / self.work;
        let beside = self.beside / self.took.max(f64::MIN_POSITIVE);
        self.count = 0;
        self.took = 0.0;
        self.work = 0.0;
        self.beside = 0.0;
        let best = self.learn(latency, beside);
        let full = beside * 2.0 >= self.limit;
        let gradient = (TOLERANCE * best / latency).clamp(LEAST_GRADIENT, 1.0);
        // The square root lets the limit grow, in larger steps where more
        // requests run. An endpoint that is not used up to its limit shows
        // nothing about it.
        let room = if full { self.limit.sqrt() } else { 0.0 };
        let aim = self.limit * gradient + room;
        self.opening &= gradient >= 1.0;
        if self.opening {
            return;
        }
        let next = self.limit + SMOOTHING * (aim - self.limit);
        self.limit = next.clamp(f64::from(FLOOR), f64::from(self.ceiling.max(FLOOR)));
    }

    fn learn(&mut self, latency: f64, beside: f64) -> f64 {
        let old = self.best.unwrap_or(latency);
        let idle = beside * 2.0 < self.limit || self.limit() <= FLOOR;
        let drift = if idle { DRIFT } else { 0.0 };
        let best = latency.min(old + drift * (latency - old));
        self.best = Some(best);
        best
    }
}
