//! How long work takes at endpoints, by the pace that they announce with their answers.
//!
//! Load: the engines of one service run on machines of different speed. They share these machines
//! with others, so their speed also changes several times a second. A daemon of a large fleet
//! sends a request to an engine only every few seconds, too rarely to learn its speed from the
//! answers. Long prompts then go to engines that take more than twice as long as others, and
//! streams pause there whenever another prompt is prefilled beside them.
//!
//! The mean of what all daemons hear of an endpoint tells its usual pace. The latest figure counts
//! the less the older it is and the longer the work will last, as the pace changes meanwhile.
//!
//! Figures may be wrong, or change too fast to predict anything. So the estimate by which each
//! request was placed is compared with the time that it then took, and estimates of a service
//! count only as far as they were right. Nothing is learned before, or of services that
//! announce no pace: their endpoints are chosen as if all were alike.

use std::time::{Duration, Instant};

/// Percentages that can be true: an endpoint that is ten times as fast as usual, and one that
/// takes forty times as long. Beyond, no request should wait for one anyway.
const MIN_PERCENT: u32 = 10;
const MAX_PERCENT: u32 = 4000;
/// Percentages around 100 that make no difference worth telling other daemons.
const USUAL_PERCENT: std::ops::RangeInclusive<u32> = 95..=105;
/// Time in which the weight of a figure in the mean falls to half: long enough that it evens out
/// changes of some hundred milliseconds, short enough to follow a pace that lasts for seconds.
const MEMORY: Duration = Duration::from_secs(4);
/// Weight of the assumption that an endpoint works as usual, in figures. It is regained when
/// nothing is heard for long, so that an endpoint that was slow is tried again.
const PRIOR_WEIGHT: f64 = 0.2;
/// Time in which the latest figure loses its effect, to a fraction of 1/e: figures change several
/// times a second.
const FRESH_S: f64 = 0.3;
/// Factor by which the weight of an observation decays with each further one.
const DECAY: f64 = 0.99;
/// Sum of the squared deviations of the estimates, as logarithms, at which they count half of what
/// they seem to predict: some ten requests at endpoints of which one takes twice as long as
/// the other.
const PRIOR_SQUARES: f64 = 1.0;
/// Largest ratio of a time to its prediction that counts: single requests wait for other reasons.
const MAX_RATIO: f64 = 8.0;

/// How long work takes at an endpoint at some moment, relative to what is usual.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// A pace in percent; 100 is usual. `None` if it can't be true.
    pub fn from_percent(percent: u32) -> Option<Self> {
        (MIN_PERCENT..=MAX_PERCENT)
            .contains(&percent)
            .then(|| Self(f64::from(percent) / 100.0))
    }

    /// The pace in percent.
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).round() as u32
    }

    /// Whether other daemons need not be told.
    pub fn is_usual(self) -> bool {
        USUAL_PERCENT.contains(&self.percent())
    }
}

/// A mean in which figures count less as they age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Mean {
    sum: f64,
    weight: f64,
    /// Moment for which the sums hold.
    at: Option<Instant>,
}

impl Mean {
    /// Sum and weight at a moment.
    fn sums(&self, now: Instant) -> (f64, f64) {
        let Some(at) = self.at else { return (0.0, 0.0) };
        let age = now.saturating_duration_since(at);
        let left = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp2();
        (self.sum * left, self.weight * left)
    }

    fn add(&mut self, pace: Pace, now: Instant) {
        let (sum, weight) = self.sums(now);
        *self = Self {
            sum: sum + pace.0,
            weight: weight + 1.0,
            at: Some(now),
        };
    }
}

/// What is known of the pace of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointPace {
    /// Latest figure that this daemon heard.
    last: Option<(Pace, Instant)>,
    /// Figures that this daemon heard, and those that daemons report to it that it watches.
    observed: Mean,
    /// Means that watchers tell.
    told: Mean,
}

impl EndpointPace {
    /// Records what the endpoint announced to this daemon.
    pub fn hear(&mut self, pace: Pace, now: Instant) {
        self.last = Some((pace, now));
        self.observed.add(pace, now);
    }

    /// Records what it announced to another daemon of this zone.
    pub fn merge_heard(&mut self, pace: Pace, now: Instant) {
        self.observed.add(pace, now);
    }

    /// Records the mean that a watcher tells of other daemons.
    pub fn merge_mean(&mut self, pace: Pace, now: Instant) {
        self.told.add(pace, now);
    }

    /// The latest figure that this daemon heard, if that was since a moment.
    pub fn heard_since(&self, since: Instant) -> Option<Pace> {
        let (pace, at) = self.last?;
        (at >= since).then_some(pace)
    }

    /// Mean of what the daemons of this zone heard; `None` if they heard little of late.
    pub fn zone_mean(&self, now: Instant) -> Option<Pace> {
        mean(self.observed.sums(now), PRIOR_WEIGHT)
    }

    /// Mean of what all daemons heard; `None` if they heard little of late.
    pub fn fleet_mean(&self, now: Instant) -> Option<Pace> {
        mean(self.sums(now), PRIOR_WEIGHT)
    }

    fn sums(&self, now: Instant) -> (f64, f64) {
        let (observed, told) = (self.observed.sums(now), self.told.sums(now));
        (observed.0 + told.0, observed.1 + told.1)
    }

    /// How long work will take that lasts for `work` at the usual pace, relative to that.
    pub fn expected(&self, work: Duration, now: Instant) -> f64 {
        let (sum, weight) = self.sums(now);
        let usual = (sum + PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
        let Some((last, at)) = self.last else {
            return usual;
        };
        let age = now.saturating_duration_since(at).as_secs_f64() / FRESH_S;
        let work = (work.as_secs_f64() * usual / FRESH_S).max(f64::EPSILON);
        let share = (-age).exp() * -(-work).exp_m1() / work;
        usual + (last.0 - usual) * share
    }
}

fn mean((sum, weight): (f64, f64), least: f64) -> Option<Pace> {
    (weight > least).then(|| Pace(sum / weight))
}

/// How far the paces that a service's endpoints announce predict how long requests take there: a
/// line fitted to the logarithms of both, with decaying weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceTrust {
    /// Sum of the weights, followed by the weighted sums of x, y, x * x and x * y.
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl PaceTrust {
    /// Learns from a request that was placed by this estimate and took `ratio` times as long as
    /// predicted without it.
    pub fn learn(&mut self, expected: f64, ratio: f64) {
        let x = expected.max(f64::MIN_POSITIVE).ln();
        let y = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= DECAY;
        }
        self.weight += 1.0;
        self.x += x;
        self.y += y;
        self.xx += x * x;
        self.xy += x * y;
    }

    /// Exponent of the estimates: 0 if they predict nothing, 1 if times follow them.
    pub fn exponent(&self) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        let squares = (self.xx - self.x * self.x / self.weight).max(0.0);
        let products = self.xy - self.x * self.y / self.weight;
        (products / (squares + PRIOR_SQUARES)).clamp(0.0, 1.0)
    }

    /// Factor by which a request takes longer at an endpoint of which this is expected.
    pub fn slowdown(&self, expected: f64) -> f64 {
        expected.powf(self.exponent())
    }
}
