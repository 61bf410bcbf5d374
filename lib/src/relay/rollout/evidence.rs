//! Compares what the daemons observed of a service's old and new version, and decides when the
//! new one is bad.
//!
//! Both versions are compared on the same route in the same period. So a service that always
//! fails one request in seven does not get its new version rejected for that, and the good
//! answers of other routes do not hide a fault on one route. Each daemon's counts only grow and
//! are changed by that daemon alone, so digests that arrive twice or late do no harm.

use std::time::Duration;

use compact_str::CompactString;

/// Requests at the old version from which on its measured share of failures is used as the
/// baseline.
const BASELINE_REQUESTS: u32 = 20;
/// Least share of failures assumed for the old version: one in fifty, so that two failures by
/// chance do not get the new version rejected.
const MIN_BASELINE: f64 = 0.02;
/// Log-likelihood ratio of the observed share of failures to the baseline above which the new
/// version is bad; chance exceeds it once in a hundred thousand checks.
const BAD_RATIO: f64 = 11.5;
/// Number of time slots of a move that are counted separately. In one sum, the good answers
/// from before would hide a version that fails late.
pub const SLOTS: u32 = 12;
/// Number of latest slots that a digest contains; the other daemons received older ones long
/// ago.
const REPORTED_SLOTS: u32 = 4;
/// Factor by which the new version's mean time must exceed the old one's to be slow. Bad
/// versions are several times slower; cold caches make a good one up to twice as slow at first.
const SLOW_FACTOR: f64 = 2.5;
/// Successful requests that each version needs before their mean times are compared.
const MIN_TIMED: u32 = 10;
/// Least difference of the mean times that counts as slow, in seconds.
const MIN_DIFFERENCE_S: f64 = 0.02;

/// Result of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Whether the request was answered correctly.
    pub good: bool,
    /// Time of the whole answer, or time per event for a stream.
    pub took: Duration,
}

/// Counts of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VersionCounts {
    /// All requests.
    pub requests: u32,
    /// Failed requests.
    pub failures: u32,
    /// Sum of the times of the successful ones, in seconds.
    pub time_s: f64,
}

/// Counts of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Comparison {
    /// Versions before the move.
    pub old: VersionCounts,
    /// Version that the move was ordered for.
    pub new: VersionCounts,
}

/// Key by which requests are counted: the hash of a route's name and the time slot of the move.
pub type Key = (u32, u32);

/// Counts that another daemon reported.
#[derive(Clone, Debug, Default)]
struct PeerCounts {
    name: CompactString,
    /// Sorted by key.
    counts: Vec<(Key, Comparison)>,
}

/// Counts of this daemon and of the others.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Sorted by key.
    own: Vec<(Key, Comparison)>,
    /// Sorted by name.
    others: Vec<PeerCounts>,
}

impl Observations {
    /// Counts a request of this daemon.
    pub fn record(&mut self, key: Key, new: bool, sample: Sample) {
        let comparison = entry(&mut self.own, key);
        let counts = if new {
            &mut comparison.new
        } else {
            &mut comparison.old
        };
        counts.requests += 1;
        if sample.good {
            counts.time_s += sample.took.as_secs_f64();
        } else {
            counts.failures += 1;
        }
    }

    /// Merges another daemon's counts. Those that its report does not contain any more stay.
    pub fn merge(&mut self, name: &str, counts: &[(Key, Comparison)]) {
        let found = self
            .others
            .binary_search_by(|row| row.name.as_str().cmp(name));
        let at = found.unwrap_or_else(|at| {
            let peer = PeerCounts {
                name: name.into(),
                counts: Vec::new(),
            };
            self.others.insert(at, peer);
            at
        });
        for (key, counts) in counts {
            *entry(&mut self.others[at].counts, *key) = *counts;
        }
    }

    /// This daemon's counts of the latest slots, for its digest.
    pub fn report(&self) -> Vec<(Key, Comparison)> {
        let last = self.own.iter().map(|row| row.0.1).max().unwrap_or(0);
        let recent = |row: &&(Key, Comparison)| row.0.1 + REPORTED_SLOTS > last;
        self.own.iter().filter(recent).copied().collect()
    }

    /// Counts of all daemons over the whole move and all routes.
    pub fn totals(&self) -> Comparison {
        let others = self.others.iter().flat_map(|peer| &peer.counts);
        let rows = self.own.iter().chain(others);
        Comparison {
            old: sum(rows.clone().map(|row| row.1.old)),
            new: sum(rows.map(|row| row.1.new)),
        }
    }

    /// Whether the new version is bad on any route, in any span from the start of a slot until
    /// now.
    pub fn is_bad(&self) -> bool {
        let others = self.others.iter().flat_map(|peer| &peer.counts);
        let mut rows: Vec<(Key, Comparison)> = self.own.iter().chain(others).copied().collect();
        rows.sort_by_key(|row| row.0);
        let mut routes = rows.chunk_by(|one, next| one.0.0 == next.0.0);
        routes.any(is_bad)
    }
}

fn entry(rows: &mut Vec<(Key, Comparison)>, key: Key) -> &mut Comparison {
    let found = rows.binary_search_by_key(&key, |row| row.0);
    let at = found.unwrap_or_else(|at| {
        rows.insert(at, (key, Comparison::default()));
        at
    });
    &mut rows[at].1
}

/// Whether the new version is bad on one route, by its rows in the order of time.
fn is_bad(rows: &[(Key, Comparison)]) -> bool {
    let old = sum(rows.iter().map(|row| row.1.old));
    let mut new = VersionCounts::default();
    let mut slots = rows.chunk_by(|one, next| one.0 == next.0).rev();
    slots.any(|slot| {
        new.add(&sum(slot.iter().map(|row| row.1.new)));
        new.fails_more(&old) || new.is_slow(&old)
    })
}

fn sum(counts: impl Iterator<Item = VersionCounts>) -> VersionCounts {
    let mut total = VersionCounts::default();
    for one in counts {
        total.add(&one);
    }
    total
}

impl VersionCounts {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.time_s += other.time_s;
    }

    /// Whether it fails more often than the old version, beyond chance.
    fn fails_more(&self, old: &Self) -> bool {
        let is_measured = old.requests >= BASELINE_REQUESTS;
        let baseline = if is_measured {
            old.failure_share()
        } else {
            MIN_BASELINE
        };
        let baseline = baseline.clamp(MIN_BASELINE, 1.0 - MIN_BASELINE);
        let observed = self.failure_share();
        observed > baseline && f64::from(self.requests) * divergence(observed, baseline) > BAD_RATIO
    }

    /// Whether its answers take several times as long as the old version's.
    fn is_slow(&self, old: &Self) -> bool {
        let (Some(old), Some(new)) = (old.mean(), self.mean()) else {
            return false;
        };
        new > old * SLOW_FACTOR && new - old > MIN_DIFFERENCE_S
    }

    fn failure_share(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.requests.max(1))
    }

    /// Mean time of the successful requests, in seconds; `None` if they are too few.
    fn mean(&self) -> Option<f64> {
        let good = self.requests.saturating_sub(self.failures);
        (good >= MIN_TIMED).then(|| self.time_s / f64::from(good))
    }
}

/// Log-likelihood ratio per request of an observed share of failures to the baseline.
fn divergence(observed: f64, baseline: f64) -> f64 {
    let term = |observed: f64, baseline: f64| {
        if observed > 0.0 {
            observed * (observed / baseline).ln()
        } else {
            0.0
        }
    };
    term(observed, baseline) + term(1.0 - observed, 1.0 - baseline)
}
