//! What was seen of a service's old and new version, and when it tells that the new
//! one is bad.
//!
//! Both versions are compared on the same route in the same period, so a service
//! that fails one request in seven by itself does not convict its new version, and
//! a fault on one route is not hidden by the others. Every daemon's counts only
//! grow and have one writer, so a word that comes twice or late does no harm.

use std::time::Duration;

use compact_str::CompactString;

/// Requests at the old version from which on its own share of failures is known.
const KNOWN: u32 = 20;
/// Share of failures that the old version is supposed to have at the least: one in
/// fifty, so that two failures by chance convict nobody.
const USUAL: f64 = 0.02;
/// Log-likelihood ratio of the seen share of failures to the usual one that
/// convicts: chance reaches it once in a hundred thousand looks.
const CONVICTS: f64 = 11.5;
/// Parts of a move's time that are counted by themselves. A version that fails late
/// would otherwise hide behind what it answered well before.
pub const SLOTS: u32 = 12;
/// Parts that are told again; older ones have long been heard.
const RETOLD: u32 = 4;
/// Times by which the new version's mean may be longer. Bad versions are several
/// times slower; cold caches make a good one up to twice as slow at first.
const SLOWER: f64 = 2.5;
/// Requests on both sides before their means are compared, and the least difference
/// that counts.
const TIMED: u32 = 10;
const DIFFERENCE: f64 = 0.02;

/// How one request went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Whether it was answered as it should be.
    pub good: bool,
    /// Time of the whole answer, or for each event of a stream.
    pub took: Duration,
}

/// Counts of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Side {
    /// Requests.
    pub all: u32,
    /// Those that failed.
    pub bad: u32,
    /// Sum of the good ones' times, in seconds.
    pub time: f64,
}

/// Counts of both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sides {
    /// The versions before.
    pub old: Side,
    /// The version of the order.
    pub new: Side,
}

/// What is counted together: a route, by the hash of its name, and a part of the
/// move's time.
pub type Key = (u32, u32);

/// What one other daemon told.
#[derive(Clone, Debug, Default)]
struct Told {
    name: CompactString,
    /// Sorted by key.
    sides: Vec<(Key, Sides)>,
}

/// Counts of this and the other daemons.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Sorted by key.
    mine: Vec<(Key, Sides)>,
    /// Sorted by name.
    others: Vec<Told>,
}

impl Counts {
    /// Counts a request that ran here.
    pub fn note(&mut self, key: Key, new: bool, sample: Sample) {
        let sides = entry(&mut self.mine, key);
        let side = if new { &mut sides.new } else { &mut sides.old };
        side.all += 1;
        if sample.good {
            side.time += sample.took.as_secs_f64();
        } else {
            side.bad += 1;
        }
    }

    /// Takes another daemon's counts in. What it does not tell again stands.
    pub fn hear(&mut self, name: &str, sides: &[(Key, Sides)]) {
        let found = self
            .others
            .binary_search_by(|row| row.name.as_str().cmp(name));
        let at = found.unwrap_or_else(|at| {
            let told = Told {
                name: name.into(),
                sides: Vec::new(),
            };
            self.others.insert(at, told);
            at
        });
        for (key, sides) in sides {
            *entry(&mut self.others[at].sides, *key) = *sides;
        }
    }

    /// This daemon's counts of the last parts of the move.
    pub fn tell(&self) -> Vec<(Key, Sides)> {
        let last = self.mine.iter().map(|row| row.0.1).max().unwrap_or(0);
        let recent = |row: &&(Key, Sides)| row.0.1 + RETOLD > last;
        self.mine.iter().filter(recent).copied().collect()
    }

    /// Whether the new version is bad on any route, in the time up to now from any
    /// part of the move on.
    pub fn is_bad(&self) -> bool {
        let others = self.others.iter().flat_map(|told| &told.sides);
        let mut rows: Vec<(Key, Sides)> = self.mine.iter().chain(others).copied().collect();
        rows.sort_by_key(|row| row.0);
        let mut routes = rows.chunk_by(|one, next| one.0.0 == next.0.0);
        routes.any(is_bad)
    }
}

fn entry(rows: &mut Vec<(Key, Sides)>, key: Key) -> &mut Sides {
    let found = rows.binary_search_by_key(&key, |row| row.0);
    let at = found.unwrap_or_else(|at| {
        rows.insert(at, (key, Sides::default()));
        at
    });
    &mut rows[at].1
}

/// Judges one route by its rows, which are in the order of time.
fn is_bad(rows: &[(Key, Sides)]) -> bool {
    let old = sum(rows.iter().map(|row| row.1.old));
    let mut new = Side::default();
    let mut slots = rows.chunk_by(|one, next| one.0 == next.0).rev();
    slots.any(|slot| {
        new.add(&sum(slot.iter().map(|row| row.1.new)));
        new.fails(&old) || new.is_slow(&old)
    })
}

fn sum(sides: impl Iterator<Item = Side>) -> Side {
    let mut all = Side::default();
    for side in sides {
        all.add(&side);
    }
    all
}

impl Side {
    fn add(&mut self, other: &Self) {
        self.all += other.all;
        self.bad += other.bad;
        self.time += other.time;
    }

    /// Whether it fails more often than the old version, beyond chance.
    fn fails(&self, old: &Self) -> bool {
        let known = old.all >= KNOWN;
        let usual = if known { old.failing() } else { USUAL };
        let usual = usual.clamp(USUAL, 1.0 - USUAL);
        let seen = self.failing();
        seen > usual && f64::from(self.all) * divergence(seen, usual) > CONVICTS
    }

    /// Whether its answers take several times as long.
    fn is_slow(&self, old: &Self) -> bool {
        let (Some(old), Some(new)) = (old.mean(), self.mean()) else {
            return false;
        };
        new > old * SLOWER && new - old > DIFFERENCE
    }

    fn failing(&self) -> f64 {
        f64::from(self.bad) / f64::from(self.all.max(1))
    }

    /// Mean time of the good ones, in seconds; `None` if they are too few.
    fn mean(&self) -> Option<f64> {
        let good = self.all.saturating_sub(self.bad);
        (good >= TIMED).then(|| self.time / f64::from(good))
    }
}

/// Log-likelihood ratio, for each request, of a share of failures that was seen to
/// the usual one.
fn divergence(seen: f64, usual: f64) -> f64 {
    let part = |seen: f64, usual: f64| {
        if seen > 0.0 {
            seen * (seen / usual).ln()
        } else {
            0.0
        }
    };
    part(seen, usual) + part(1.0 - seen, 1.0 - usual)
}
