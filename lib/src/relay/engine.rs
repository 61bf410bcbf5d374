//! How fast the model engines of a service are, learned from what they answer.
//!
//! Load: engines of any speed, behind prompts that differ a hundredfold in length. An
//! engine reads prompts in chunks between the tokens of the requests that run, so
//! counting requests tells little, and a fixed speed is wrong on the next service:
//! where engines were four times slower than a fixed figure said, too few were ordered
//! and callers were sent to engines that could not answer in time.
//!
//! For predictions a straight line is fitted for each service, with weights that fade:
//! the time to the first event over the prompt tokens to be read. Each engine has a
//! factor on it, so one that turns slow is seen as slow within a few answers and does
//! not make its service look slow.
//!
//! How many engines the work needs is reckoned from quantiles of what requests saw
//! that waited for nobody. The line would not do: it rises while engines are
//! overloaded, as after a wave of reclaims, and far more would be ordered for it than
//! the work needs.

use std::time::Duration;

/// Prompt tokens that an engine is taken to read in a millisecond before anything was
/// observed: the order of size of common engines.
const READ_RATE: f64 = 50.0;
/// Milliseconds to the first event beside the reading, before anything was observed.
const FIRST: f64 = 20.0;
/// Milliseconds of an output token, before anything was observed.
const STEP: f64 = 6.0;
/// Observations that these figures count as. With few, a service that is four times
/// slower is known after a second of traffic.
const PRIOR: f64 = 4.0;
/// Spread of what the prior observations are taken to have been at.
const PRIOR_TOKENS: f64 = 4000.0;
/// Part of its weight that an observation keeps with each further one; about the last
/// hundred count.
const KEPT: f64 = 0.99;
/// Factor beyond the prediction at which an observation is cut: single requests wait
/// for a broken engine or a partition, and would bend the line for all.
const CUT: f64 = 2.0;
/// Least slope and least prediction, as shares of the mean observation: noise must not
/// make longer prompts look quicker, or short ones take no time.
const LEAST: f64 = 0.05;
/// Spread of the prompts, beside their mean square, below which no slope can be told.
const ALIKE: f64 = 1e-6;
/// Prompt tokens from which on the reading outweighs all else until the first event.
const LONG: f64 = 1000.0;
/// Quantiles that the need is reckoned from: of the reading nearly the quickest, as
/// all else that an engine does meanwhile makes it longer; of output tokens, which
/// always share their engine with prompts, the lower quarter.
const READ_SHARE: f64 = 0.1;
const STEP_SHARE: f64 = 0.25;
/// Observations that a quantile is taken of, one to three seconds of a daemon's.
const BATCH: usize = 24;
/// Part of the way up that a quantile goes for each batch, so that an overload of ten
/// seconds raises it by about a quarter of what was seen.
const RISE: f64 = 0.06;
/// Weight of a new observation of one engine's factor; one in five makes a lasting
/// change known within ten answers and a single odd one harmless.
const LEARN: f64 = 0.2;
/// Bounds of an engine's factor.
const SLOWEST: f64 = 40.0;
const FASTEST: f64 = 0.5;
/// Share of the way back to its service's speed that an engine's factor goes each
/// second, so that one that nobody asks any more is tried again.
const FADE: f64 = 0.02;

/// Milliseconds to the first event by prompt tokens to be read: a straight line through
/// faded observations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Line {
    /// Before anything was observed.
    pub fn usual() -> Self {
        let mut line = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for at in [0.0, PRIOR_TOKENS * 2.0] {
            line.add(at, FIRST + at / READ_RATE, PRIOR / 2.0);
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
            *sum *= KEPT;
        }
        self.add(x, y.clamp(expected / CUT, expected * CUT), 1.0);
    }

    fn slope(&self) -> f64 {
        let spread = self.xx * self.weight - self.x * self.x;
        if spread <= self.xx * self.weight * ALIKE {
            return 1.0 / READ_RATE;
        }
        let slope = (self.xy * self.weight - self.x * self.y) / spread;
        slope.max(self.y / self.x.max(1.0) * LEAST)
    }

    fn at(&self, x: f64) -> f64 {
        let slope = self.slope();
        let base = (self.y - slope * self.x) / self.weight;
        (base + slope * x).max(self.y / self.weight * LEAST)
    }
}

/// A quantile of what was observed lately. It falls at once and rises slowly: what is
/// observed under an overload is longer than what engines need, and the engines that are
/// ordered for it come when the overload is over.
#[derive(Clone, Debug, PartialEq)]
struct Quantile {
    /// Share of the observations that lie below.
    share: f64,
    value: f64,
    /// Whether the value was observed.
    known: bool,
    /// Observations since the value was last looked at.
    fresh: Vec<f64>,
}

impl Quantile {
    fn new(share: f64, usual: f64) -> Self {
        Self {
            share,
            value: usual,
            known: false,
            fresh: Vec::new(),
        }
    }

    fn learn(&mut self, seen: f64) {
        self.fresh.push(seen);
        if self.fresh.len() < BATCH {
            return;
        }
        self.fresh.sort_by(f64::total_cmp);
        let now = self.fresh[(BATCH as f64 * self.share) as usize];
        self.fresh.clear();
        if self.known && now > self.value {
            self.value += (now - self.value) * RISE;
        } else {
            self.value = now;
        }
        self.known = true;
    }

    fn value(&self) -> f64 {
        self.value
    }
}

/// Speed of the engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// Milliseconds to the first event, by prompt tokens to be read.
    first: Line,
    /// Milliseconds of a prompt token.
    read: Quantile,
    /// Milliseconds of an output token.
    step: Quantile,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            first: Line::usual(),
            read: Quantile::new(READ_SHARE, 1.0 / READ_RATE),
            step: Quantile::new(STEP_SHARE, STEP),
        }
    }
}

impl Pace {
    /// Time to the first event.
    pub fn line(&self) -> Line {
        self.first
    }

    /// Seconds that an engine works for a prompt token that it reads.
    pub fn read(&self) -> f64 {
        self.read.value() / 1000.0
    }

    /// Seconds that an output token takes.
    pub fn step(&self) -> f64 {
        self.step.value() / 1000.0
    }

    /// Learns from a stream's pace: a token took this long.
    pub fn learn_step(&mut self, token: Duration) {
        self.step.learn(token.as_secs_f64() * 1000.0);
    }

    fn learn_first(&mut self, own: f64, ahead: f64, millis: f64) {
        self.first.learn(own + ahead, millis);
        if own >= LONG && ahead <= 0.0 {
            self.read.learn(millis / own);
        }
    }
}

/// Learned speed of one engine beside its service's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Measured time over the service's, smoothed.
    factor: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl Speed {
    /// Predicted time until the first event of a request with `own` tokens to read,
    /// behind `ahead` tokens of others.
    pub fn first(&self, line: &Line, own: f64, ahead: f64) -> Duration {
        Duration::from_secs_f64(self.factor * line.at(own + ahead) / 1000.0)
    }

    /// Learns, together with its service, from a first event that came after `took`.
    pub fn learn(&mut self, pace: &mut Pace, own: f64, ahead: f64, took: Duration) {
        let millis = took.as_secs_f64() * 1000.0;
        let seen = millis / pace.first.at(own + ahead);
        let factor = self.factor + LEARN * (seen - self.factor);
        self.factor = factor.clamp(FASTEST, SLOWEST);
        pace.learn_first(own, ahead, millis);
    }

    /// Learned factor; 1 for an engine like the others of its service.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Lets an unfavourable factor fade, so that an engine that nobody asks any
    /// more is tried again.
    pub fn fade(&mut self) {
        self.factor += (1.0 - self.factor) * FADE;
    }
}
