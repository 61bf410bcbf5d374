//! Division of a team's allowance among its kinds of requests.
//!
//! A team that asks for several times its rate asks for it in requests of very different sizes.
//! If all were rejected alike, its payments of a few hundred units would fail as often as the
//! prompts of ten thousand that use up the rate, though they need a tenth of it. And if a long
//! prompt that overdraws a share blocked what comes next, a short request would wait for it.
//!
//! So the rate is divided by weighted max-min fairness. A kind of requests that asks for less than
//! its fair share gets all that it asks; what it leaves goes to the others, in proportion to their
//! weights; and no kind is starved. A kind is the rank of a request's route and the size of the
//! request: all daemons know both, so that they divide alike without an agreement, and there are
//! few enough kinds to report the demand for each.
//!
//! The division decides which requests are admitted. How many units are admitted is decided by the
//! limiter: what a kind with a small demand uses is missing in what the others get.

use crate::relay::max_min::{self, Claim};

/// Number of ranks of a route. Those of less urgent routes count as the last.
pub const RANKS: u8 = 3;
/// Number of sizes of a request.
const SIZES: usize = 3;
/// Number of kinds of requests of a team.
pub const KINDS: usize = RANKS as usize * SIZES;
/// Most units of a request of each size but the last: payments and look-ups, prompts of a
/// conversation, whole documents.
const SIZE_LIMITS: [f64; SIZES - 1] = [1000.0, 8000.0];
/// Weight of a kind by its rank.
const WEIGHTS: [f64; RANKS as usize] = [4.0, 2.0, 1.0];
/// Names of the kinds, by rank and size.
const NAMES: [&str; KINDS] = [
    "0-short", "0-medium", "0-long", "1-short", "1-medium", "1-long", "2-short", "2-medium",
    "2-long",
];
/// Least part of a team's demand whose kinds are known for its rate to be divided.
const MIN_KNOWN: f64 = 0.5;

/// What a request counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Units.
    pub units: f64,
    /// Rank of its route; 0 is the most urgent.
    pub rank: u8,
}

impl From<f64> for Cost {
    /// A request of a route of the most urgent rank.
    fn from(units: f64) -> Self {
        Self { units, rank: 0 }
    }
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind(u8);

impl Kind {
    /// Kind of a request.
    pub fn of(cost: Cost) -> Self {
        let size = SIZE_LIMITS.iter().filter(|limit| cost.units > **limit);
        Self(cost.rank.min(RANKS - 1) * SIZES as u8 + size.count() as u8)
    }

    /// Rank and size, for logs and metrics.
    pub fn name(self) -> &'static str {
        NAMES[self.index()]
    }

    fn index(self) -> usize {
        usize::from(self.0)
    }

    fn weight(index: usize) -> f64 {
        WEIGHTS[index / SIZES]
    }
}

/// Units a second by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demands([f64; KINDS]);

/// Demands by hash of the team's name, sorted by it.
pub type TeamDemands = Vec<(u32, Demands)>;

impl Demands {
    /// Decodes the form in which digests have them. Those of unknown kinds are ignored.
    pub fn from_row(row: &[u32]) -> Self {
        let mut demands = Self::default();
        for (to, units) in demands.0.iter_mut().zip(row) {
            *to = f64::from(*units);
        }
        demands
    }

    /// The form in which digests have them; empty if there are none.
    pub fn to_row(self) -> Vec<u32> {
        let mut row: Vec<u32> = self.0.iter().map(|units| units.ceil() as u32).collect();
        row.truncate(
            row.iter()
                .rposition(|units| *units > 0)
                .map_or(0, |at| at + 1),
        );
        row
    }

    /// Adds units a second of a kind.
    pub fn add(&mut self, kind: Kind, units: f64) {
        self.0[kind.index()] += units;
    }

    /// Units a second of a kind.
    pub fn of(&self, kind: Kind) -> f64 {
        self.0[kind.index()]
    }

    /// Units a second of all kinds.
    pub fn sum(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Adds those of other daemons.
    pub(super) fn merge(&mut self, other: &Self) {
        for (to, units) in self.0.iter_mut().zip(other.0) {
            *to += units;
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self(self.0.map(|units| units * factor))
    }

    fn less(&self, other: &Self) -> Self {
        let mut left = *self;
        for (to, units) in left.0.iter_mut().zip(other.0) {
            *to = (*to - units).max(0.0);
        }
        left
    }
}

/// What another daemon reports of the whole fleet, without what it has of this one: `own` is what
/// it got last of this daemon. Both are sorted by team.
pub fn without_own(sum: TeamDemands, own: &TeamDemands) -> TeamDemands {
    let rest = |(team, demands): (u32, Demands)| match own.binary_search_by_key(&team, |row| row.0)
    {
        Ok(at) => (team, demands.less(&own[at].1)),
        Err(_) => (team, demands),
    };
    sum.into_iter().map(rest).collect()
}

/// A rate, divided among the kinds that ask for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    demands: Demands,
    shares: Demands,
}

impl Division {
    /// Divides `rate` units a second by what is `known` of a `demand` in all. The part whose kinds
    /// are not known is taken to be like the rest. `None` if the demand is within the rate, if too
    /// little is known, or if there is only one kind.
    pub fn new(rate: f64, demand: f64, known: &Demands) -> Option<Self> {
        let sum = known.sum();
        let is_short = demand > rate && rate > 0.0 && demand.is_finite();
        let kinds = known.0.iter().filter(|units| **units > 0.0).count();
        if !is_short || kinds < 2 || sum < demand * MIN_KNOWN {
            return None;
        }
        let demands = known.scaled(demand / sum);
        let shares = divide(rate, &demands);
        Some(Self { demands, shares })
    }

    /// Units a second that callers ask of a kind.
    pub fn demand(&self, kind: Kind) -> f64 {
        self.demands.of(kind)
    }

    /// Units a second that a kind gets.
    pub fn share(&self, kind: Kind) -> f64 {
        self.shares.of(kind)
    }

    /// Part of the requests of a kind that is admitted.
    pub fn fraction(&self, kind: Kind) -> f64 {
        let demand = self.demand(kind);
        if demand > 0.0 {
            (self.share(kind) / demand).min(1.0)
        } else {
            1.0
        }
    }

    /// Whether a kind gets all that it asks.
    pub fn is_covered(&self, kind: Kind) -> bool {
        self.demand(kind) <= self.share(kind)
    }

    /// Units a second of all kinds that get what they ask.
    pub fn covered(&self) -> f64 {
        let rows = self.demands.0.iter().zip(self.shares.0);
        let covered = rows.filter(|(demand, share)| **demand <= *share);
        covered.map(|row| *row.0).sum()
    }
}

fn divide(rate: f64, demands: &Demands) -> Demands {
    let claim = |at: usize| Claim {
        weight: Kind::weight(at),
        demand: demands.0[at],
    };
    let claims: [Claim; KINDS] = std::array::from_fn(claim);
    let mut shares = Demands::default();
    for (share, part) in shares.0.iter_mut().zip(max_min::divide(&claims, rate)) {
        *share = part;
    }
    shares
}
