//! Learns the speed of a service's model engines from their responses.
//!
//! Load: engines of any speed, and prompts whose lengths differ by a factor of a hundred. An
//! engine prefills prompts in chunks between the output tokens of the running requests, so the
//! number of requests is a poor measure of load, and a fixed speed is wrong for the next
//! service: where engines were four times slower than a fixed figure, too few were ordered,
//! and requests were sent to engines that could not answer in time.
//!
//! For predictions, a straight line is fitted per service with exponentially decaying weights:
//! the time to the first event over the prompt tokens to prefill. Each engine has a factor
//! relative to that line, so an engine that turns slow is recognized within a few responses
//! and does not make its service look slow.
//!
//! Where engines announce their pace, the line is that of an engine that works as usual, and the
//! factor what the pace does not explain.
//!
//! The number of engines that the work needs is computed from quantiles over the requests that
//! waited for no other. The line is unsuitable for this: it rises while engines are overloaded,
//! as after a wave of reclaims, and far more engines would be ordered than the work needs.

use std::time::Duration;

use super::pace::PaceTrust;

/// Prompt tokens that an engine prefills in a millisecond, assumed before anything was
/// observed: the order of magnitude of common engines.
const DEFAULT_TOKENS_PER_MS: f64 = 50.0;
/// Milliseconds to the first event besides the prefill, assumed before anything was observed.
const DEFAULT_FIRST_MS: f64 = 20.0;
/// Milliseconds per output token, assumed before anything was observed.
const DEFAULT_STEP_MS: f64 = 6.0;
/// Number of observations that these defaults count as. As it is small, a service that is
/// four times slower is recognized after a second of traffic.
const PRIOR_WEIGHT: f64 = 4.0;
/// Mean number of prompt tokens of the prior observations: half of them are at zero, half at
/// twice this number.
const PRIOR_TOKENS: f64 = 4000.0;
/// Factor by which the weight of an observation decays with each further one; about the last
/// hundred count.
const DECAY: f64 = 0.99;
/// Factor relative to the prediction to which an observation is clamped: single requests wait
/// for a broken engine or a partition, and would distort the line of the whole service.
const OUTLIER_FACTOR: f64 = 2.0;
/// Lower bounds of the slope and of the prediction, as fractions of those of the mean
/// observation: noise must not make longer prompts look faster, or short ones take no time.
const MIN_FRACTION: f64 = 0.05;
/// Variance of the prompt lengths relative to their mean square, below which no slope can be
/// determined.
const MIN_VARIANCE: f64 = 1e-6;
/// Prompt tokens from which on the prefill dominates the time to the first event.
const LONG_PROMPT_TOKENS: f64 = 1000.0;
/// Quantiles from which the number of engines is computed: for the prefill nearly the fastest,
/// as everything else that an engine does meanwhile makes it longer; for output tokens, which
/// always share their engine with prompts, the lower quartile.
const PREFILL_QUANTILE: f64 = 0.1;
const STEP_QUANTILE: f64 = 0.25;
/// Observations from which a quantile is taken; a daemon makes them in one to three seconds.
const BATCH: usize = 24;
/// Fraction of the difference by which a quantile rises per batch, so that an overload of ten
/// seconds raises it by about a quarter of the observed increase.
const RISE: f64 = 0.06;
/// Weight of a new observation of an engine's factor; with one fifth a lasting change is
/// recognized within ten responses, and a single outlier is harmless.
const FACTOR_WEIGHT: f64 = 0.2;
/// Bounds of an engine's factor.
const MAX_FACTOR: f64 = 40.0;
const MIN_FACTOR: f64 = 0.5;
/// Fraction by which an engine's factor returns to 1 at each call of [`EngineSpeed::recover`], so
/// that an engine that gets no requests any more is tried again.
const RECOVERY: f64 = 0.02;

/// Milliseconds to the first event over the prompt tokens to prefill: a straight line fitted
/// to observations with decaying weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyLine {
    /// Sum of the weights, followed by the weighted sums of x, y, x * x and x * y.
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LatencyLine {
    /// The line before anything was observed.
    pub fn prior() -> Self {
        let mut line = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for at in [0.0, PRIOR_TOKENS * 2.0] {
            line.add(
                at,
                DEFAULT_FIRST_MS + at / DEFAULT_TOKENS_PER_MS,
                PRIOR_WEIGHT / 2.0,
            );
        }
        line
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn learn(&mut self, x: f64, y: f64) {
        let expected = self.at(x);
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= DECAY;
        }
        self.add(
            x,
            y.clamp(expected / OUTLIER_FACTOR, expected * OUTLIER_FACTOR),
            1.0,
        );
    }

    fn slope(&self) -> f64 {
        let variance = self.xx * self.weight - self.x * self.x;
        if variance <= self.xx * self.weight * MIN_VARIANCE {
            return 1.0 / DEFAULT_TOKENS_PER_MS;
        }
        let slope = (self.xy * self.weight - self.x * self.y) / variance;
        slope.max(self.y / self.x.max(1.0) * MIN_FRACTION)
    }

    fn at(&self, x: f64) -> f64 {
        let slope = self.slope();
        let base = (self.y - slope * self.x) / self.weight;
        (base + slope * x).max(self.y / self.weight * MIN_FRACTION)
    }
}

/// A quantile of recent observations. It falls at once and rises slowly: times observed during
/// an overload are longer than the engines need, and engines that are ordered because of them
/// arrive when the overload is over.
#[derive(Clone, Debug, PartialEq)]
struct Quantile {
    /// Fraction of the observations that lie below.
    fraction: f64,
    value: f64,
    /// Whether the value is from observations rather than the default.
    is_observed: bool,
    /// Observations since the value was last updated.
    batch: Vec<f64>,
}

impl Quantile {
    fn new(fraction: f64, default: f64) -> Self {
        Self {
            fraction,
            value: default,
            is_observed: false,
            batch: Vec::new(),
        }
    }

    fn learn(&mut self, observed: f64) {
        self.batch.push(observed);
        if self.batch.len() < BATCH {
            return;
        }
        self.batch.sort_by(f64::total_cmp);
        let now = self.batch[(BATCH as f64 * self.fraction) as usize];
        self.batch.clear();
        if self.is_observed && now > self.value {
            self.value += (now - self.value) * RISE;
        } else {
            self.value = now;
        }
        self.is_observed = true;
    }

    fn value(&self) -> f64 {
        self.value
    }

    /// Takes a value that another daemon observed, unless there is an own one.
    fn restore(&mut self, value: f64) {
        if !self.is_observed && value.is_finite() && value > 0.0 {
            (self.value, self.is_observed) = (value, true);
        }
    }
}

/// Learned speed of the engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpeed {
    /// Milliseconds to the first event, over the prompt tokens to prefill.
    first: LatencyLine,
    /// Milliseconds per prompt token.
    prefill: Quantile,
    /// Milliseconds per output token.
    step: Quantile,
    /// How far the paces count that its engines announce.
    paces: PaceTrust,
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        Self {
            first: LatencyLine::prior(),
            prefill: Quantile::new(PREFILL_QUANTILE, 1.0 / DEFAULT_TOKENS_PER_MS),
            step: Quantile::new(STEP_QUANTILE, DEFAULT_STEP_MS),
            paces: PaceTrust::default(),
        }
    }
}

impl ServiceSpeed {
    /// Time to the first event over the prompt tokens to prefill.
    pub fn line(&self) -> LatencyLine {
        self.first
    }

    /// Seconds of prefill per prompt token.
    pub fn prefill_s(&self) -> f64 {
        self.prefill.value() / 1000.0
    }

    /// Seconds per output token.
    pub fn step_s(&self) -> f64 {
        self.step.value() / 1000.0
    }

    /// Factor by which a request takes longer at an engine of which this pace is expected.
    pub fn slowdown(&self, pace: f64) -> f64 {
        self.paces.slowdown(pace)
    }

    /// Seconds of prefill per prompt token and seconds per output token; `None` until both were
    /// observed.
    pub fn observed(&self) -> Option<(f64, f64)> {
        let is_observed = self.prefill.is_observed && self.step.is_observed;
        is_observed.then(|| (self.prefill_s(), self.step_s()))
    }

    /// Takes both from a daemon that observed them. What was observed here, and values that are not
    /// above zero, change nothing.
    pub(crate) fn restore(&mut self, prefill_s: f64, step_s: f64) {
        self.prefill.restore(prefill_s * 1000.0);
        self.step.restore(step_s * 1000.0);
    }

    /// Learns from the time per output token of a stream.
    pub fn learn_step(&mut self, token: Duration) {
        self.step.learn(token.as_secs_f64() * 1000.0);
    }

    /// Learns from the time to a first event, which counts as `usual` milliseconds if the engine had
    /// worked as usual.
    fn learn_first(&mut self, prefill: f64, ahead: f64, millis: f64, usual: f64) {
        self.first.learn(prefill + ahead, usual);
        if prefill >= LONG_PROMPT_TOKENS && ahead <= 0.0 {
            self.prefill.learn(millis / prefill);
        }
    }
}

/// Learned speed of one engine relative to its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Smoothed ratio of the observed time to the one predicted for the service.
    factor: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl EngineSpeed {
    /// Predicted time to the first event of a request with `prefill` tokens to prefill, which
    /// waits for `ahead` tokens of other requests.
    pub fn time_to_first(&self, line: &LatencyLine, prefill: f64, ahead: f64) -> Duration {
        Duration::from_secs_f64(self.factor * line.at(prefill + ahead) / 1000.0)
    }

    /// Learns the speed of this engine and of its service from a first event that came after
    /// `took`.
    pub fn learn(&mut self, service: &mut ServiceSpeed, prefill: f64, ahead: f64, took: Duration) {
        self.learn_paced(service, prefill, ahead, took, 1.0);
    }

    /// The same of a request that was placed by this estimate of the engine's pace. The factor has
    /// only what the pace does not explain, so that neither counts twice.
    pub fn learn_paced(
        &mut self,
        service: &mut ServiceSpeed,
        prefill: f64,
        ahead: f64,
        took: Duration,
        pace: f64,
    ) {
        let millis = took.as_secs_f64() * 1000.0;
        let usual = millis / service.slowdown(pace);
        let expected = service.first.at(prefill + ahead);
        let ratio = usual / expected;
        if prefill >= LONG_PROMPT_TOKENS {
            // Short prompts mostly take what no machine's pace changes.
            service.paces.learn(pace, millis / expected);
        }
        let factor = self.factor + FACTOR_WEIGHT * (ratio - self.factor);
        self.factor = factor.clamp(MIN_FACTOR, MAX_FACTOR);
        service.learn_first(prefill, ahead, millis, usual);
    }

    /// Ratio of this engine's time to that of its service; above 1 if it is slower.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Moves the factor a little towards 1, so that an engine that gets no requests any more is
    /// tried again. Called at each expiry of the endpoint table.
    pub fn recover(&mut self) {
        self.factor += (1.0 - self.factor) * RECOVERY;
    }
}
