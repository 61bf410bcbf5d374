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
pub const MIN_LIMIT: u32 = 1;
/// Initial limit of an endpoint, in requests. A batching engine runs this many at
/// the same time without loss, and the limit doubles within a few windows.
const INITIAL_LIMIT: f64 = 16.0;
/// Initial limit of a service, in requests: small, as each of hundreds of daemons
/// may send this many before it receives an answer.
const SERVICE_INITIAL_LIMIT: f64 = 8.0;
/// Least completions in a window; fewer show the variance of single requests.
const MIN_WINDOW: u32 = 8;
/// Lowest gradient of a window, so that one stall does not shrink the limit
/// further.
const MIN_GRADIENT: f64 = 0.5;
/// Share of the way that the limit moves to a window's result.
const SMOOTHING: f64 = 0.3;
/// Share of the way that the baseline latency moves up to the measured one while
/// the endpoint has little to do: so a version that is slower by nature becomes
/// the norm, but saturation, in which latency is high too, never does.
const BASELINE_DRIFT: f64 = 0.1;
/// Weight of the latest outcome in the share of failures: about the last fifty
/// count.
const FAILURE_GAIN: f64 = 0.02;
/// Outcomes of each kind before they are compared.
const MIN_OUTCOMES: u32 = 10;
/// The limit is too high if failures while full are more frequent than otherwise
/// by this factor.
const FAILURE_FACTOR: f64 = 2.0;
/// Share of failures that is tolerated, so that a single one has no effect.
const FAILURE_ALLOWANCE: f64 = 0.05;
/// Factor on the limit for each failure that shows it to be too high.
const BACKOFF: f64 = 0.9;
/// Fixed cost of each request beside its tokens, in units of work.
const REQUEST_OVERHEAD: f64 = 8.0;

/// Concurrency limit of one endpoint or service.
#[proc_macros::row]
pub struct Limiter {
    limit: f64,
    ceiling: u32,
    /// Lowest seconds per unit of work.
    baseline: Option<f64>,
    /// Completions in the current window.
    count: u32,
    /// Sum of their times in seconds.
    elapsed: f64,
    /// Sum of their units of work.
    work: f64,
    /// Sum of the mean concurrency of each, weighted by its time.
    concurrency: f64,
    /// Outcomes while more than half of the limit was in use.
    full: Failures,
    /// All other outcomes.
    other: Failures,
    slow_start: bool,
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
        let gain = FAILURE_GAIN.max(1.0 / f64::from(self.count));
        self.share += gain * (f64::from(u8::from(failed)) - self.share);
    }
}

impl Limiter {
    /// Creates the limiter of an endpoint, with nothing measured.
    pub fn new(ceiling: u32) -> Self {
        Self {
            limit: INITIAL_LIMIT.min(f64::from(ceiling)),
            ceiling,
            baseline: None,
            count: 0,
            elapsed: 0.0,
            work: 0.0,
            concurrency: 0.0,
            slow_start: false,
            full: Failures::default(),
            other: Failures::default(),
        }
    }

    /// Creates the limiter of a service with any number of endpoints: the limit
    /// grows with each answer until latency rises for the first time.
    pub fn slow_start(ceiling: u32) -> Self {
        Self {
            slow_start: true,
            limit: SERVICE_INITIAL_LIMIT.min(f64::from(ceiling)),
            ..Self::new(ceiling)
        }
    }

    /// Whether latency has not yet risen for the first time.
    pub fn in_slow_start(&self) -> bool {
        self.slow_start
    }

    /// Requests that may run at the same time.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(MIN_LIMIT, self.ceiling.max(MIN_LIMIT))
    }

    /// Seconds per unit of work that still count as normal.
    pub fn normal_unit_time(&self) -> f64 {
        self.baseline.unwrap_or(0.0) * TOLERANCE
    }

    /// Units of work per second that the endpoint should do at its limit, if the
    /// limit is right; zero if nothing was measured.
    pub fn expected_rate(&self) -> f64 {
        let normal_unit_time = self.normal_unit_time();
        if normal_unit_time > 0.0 {
            f64::from(self.limit()) / normal_unit_time
        } else {
            0.0
        }
    }

    /// Records a completed request: its seconds from start to end, its units of
    /// work, and the mean concurrency meanwhile.
    pub fn record(&mut self, elapsed: f64, work: f64, concurrency: f64) {
        self.count += 1;
        self.elapsed += elapsed;
        self.work += work + REQUEST_OVERHEAD;
        self.concurrency += concurrency * elapsed;
        if self.slow_start && concurrency * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0).min(f64::from(self.ceiling));
        }
        if self.count >= MIN_WINDOW.max(self.limit() / 2) {
            self.update_limit();
        }
    }

    /// Records whether a request succeeded, and how many ran then.
    pub fn record_outcome(&mut self, succeeded: bool, running: u32) {
        let full = f64::from(running) * 2.0 > self.limit;
        let failures = if full {
            &mut self.full
        } else {
            &mut self.other
        };
        failures.add(!succeeded);
        let compared = self.other.count >= MIN_OUTCOMES;
        let typical = if compared { self.other.share } else { 0.0 };
        let enough = self.full.count >= MIN_OUTCOMES;
        let overloaded = enough && self.full.share > FAILURE_FACTOR * typical + FAILURE_ALLOWANCE;
        if !succeeded && full && overloaded {
            // An endpoint that was full from the start has no outcomes to compare
            // with yet; half of the initial limit is low enough to get some.
            let least = if compared {
                f64::from(MIN_LIMIT)
            } else {
                INITIAL_LIMIT / 2.0
            };
            let lower = (self.limit * BACKOFF).max(least);
            self.limit = self.limit.min(lower);
        }
    }

    fn update_limit(&mut self) {
        let latency = self.elapsed / self.work;
        let concurrency = self.concurrency / self.elapsed.max(f64::MIN_POSITIVE);
        self.count = 0;
        self.elapsed = 0.0;
        self.work = 0.0;
        self.concurrency = 0.0;
        let baseline = self.update_baseline(latency, concurrency);
        let full = concurrency * 2.0 >= self.limit;
        let gradient = (TOLERANCE * baseline / latency).clamp(MIN_GRADIENT, 1.0);
        // The square root lets the limit grow, in larger steps where more
        // requests run. An endpoint that is not used up to its limit shows
        // nothing about it.
        let room = if full { self.limit.sqrt() } else { 0.0 };
        let target = self.limit * gradient + room;
        self.slow_start &= gradient >= 1.0;
        if self.slow_start {
            return;
        }
        let next = self.limit + SMOOTHING * (target - self.limit);
        self.limit = next.clamp(f64::from(MIN_LIMIT), f64::from(self.ceiling.max(MIN_LIMIT)));
    }

    fn update_baseline(&mut self, latency: f64, concurrency: f64) -> f64 {
        let old = self.baseline.unwrap_or(latency);
        let idle = concurrency * 2.0 < self.limit || self.limit() <= MIN_LIMIT;
        let drift = if idle { BASELINE_DRIFT } else { 0.0 };
        let baseline = latency.min(old + drift * (latency - old));
        self.baseline = Some(baseline);
        baseline
    }
}
