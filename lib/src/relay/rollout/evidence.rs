//! Compares what the daemons observed of a service's old and new version, and decides when the
//! new one is bad.
//!
//! Much of what fails during a move has nothing to do with the version: links break, endpoints
//! crash, the whole platform has an outage. Both versions meet these alike, but only at the same
//! time. So answers are counted by route, by period of the move and by endpoint, and the failures of
//! one route in one period are compared with each other alone: if the versions are equally good,
//! the new one meets them in proportion to its requests. The surplus is added up over periods and
//! routes. In a sum over the whole move, an outage would hide a bad version for the rest of it,
//! and would count against a good one that got more of the requests then.
//!
//! Single endpoints fail by themselves. As long as the version has several, it must also have done
//! worse without the few at which it did worst. A request counts in the period in which it was sent:
//! failures end sooner than good answers, so among the first answers of a period they are too many.
//!
//! Each daemon's counts only grow and are changed by that daemon alone, so digests that arrive twice
//! or late do no harm.

use std::time::Duration;

use compact_str::CompactString;

use super::UnixMs;

/// Log-likelihood ratio of the observed failures to those of an equally good version above which the
/// new one is bad; chance exceeds it once in eight thousand looks.
const BAD_RATIO: f64 = 9.0;
/// The same without the endpoints at which the version did worst.
const OTHERS_RATIO: f64 = 4.5;
/// The same above which the version does not get all requests.
const DOUBT_RATIO: f64 = 3.0;
/// The same for a suspicion, which costs little if it is wrong.
const SUSPICION_RATIO: f64 = 8.0;
/// Least share of its requests that a bad version fails beyond its part of all failures.
const MIN_SURPLUS: f64 = 0.04;
/// Expected variance of the failures from which on their distribution is taken as normal.
const NORMAL_VARIANCE: f64 = 5.0;
/// The version's worst endpoints, one of this many, are not counted.
const LEFT_OUT: usize = 3;
/// The same for the mean time, which a single slow endpoint changes most.
const LEFT_OUT_SLOW: usize = 2;
/// Endpoints at which it must have been observed before, if it has so many.
const MIN_ENDPOINTS: usize = 6;
/// Requests at the old version in a slot from which on they count for its baseline.
const BASELINE_REQUESTS: u32 = 10;
/// The usual time is that in the old version's best slots, one of this many, so that slow ones do not
/// lengthen it.
const BEST_SLOTS: usize = 3;
/// The usual share of failures is the least that a slot shows, with so many standard errors added.
const STANDARD_ERRORS: f64 = 1.5;
/// Least share of failures assumed for the old version, so that a failure by chance raises no
/// suspicion.
const MIN_BASELINE: f64 = 0.02;
/// Number of latest slots in which failures raise a suspicion.
const RECENT_SLOTS: u32 = 2;
/// Number of latest slots that are kept.
const KEPT_SLOTS: u32 = 48;
/// Levels of the share that the new version gets; each has periods of its own.
pub const LEVELS: u32 = 4;
/// How long digests contain counts after their last change.
const REPORT_MS: UnixMs = 5000;
/// Factor by which the new version's mean time must exceed the old one's to be slow. Bad
/// versions are several times slower; cold caches make a good one up to twice as slow at first.
const SLOW_FACTOR: f64 = 2.5;
/// Factor by which a single answer exceeds the old version's mean time to be slow.
const SLOW_ANSWER_FACTOR: f64 = 2.5;
/// Successful requests that each version needs before their mean times are compared.
const MIN_TIMED: u32 = 10;
/// The same for a suspicion.
const MIN_TIMED_RECENTLY: u32 = 5;
/// Least difference of two times that counts as slow, in seconds.
const MIN_DIFFERENCE_S: f64 = 0.02;

/// Result of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Whether the request was answered correctly.
    pub good: bool,
    /// Time of the whole answer, or time per event for a stream.
    pub took: Duration,
    /// When it was sent to the endpoint.
    pub sent: UnixMs,
}

/// Counts of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VersionCounts {
    /// All requests.
    pub requests: u32,
    /// Failed requests.
    pub failures: u32,
    /// Successful ones that took several times as long as usual.
    pub slow: u32,
    /// Sum of the times of the successful ones, in seconds.
    pub time_s: f64,
}

/// Counts of both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Comparison {
    /// Versions before the move.
    pub old: VersionCounts,
    /// Version that the move was ordered for.
    pub new: VersionCounts,
}

/// What requests are counted by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Hash of the route's name.
    pub route: u32,
    /// Period of the move: the number of its time slot times [`LEVELS`], plus the level of the share.
    pub period: u32,
    /// Hash of an endpoint of the new version; 0 for all endpoints of the old one.
    pub endpoint: u32,
}

/// State of a version by the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nothing speaks against it.
    None,
    /// It did worse lately than the old version usually does, which may be an outage of both.
    Suspected,
    /// It does worse than the old version at the same time.
    Bad,
}

/// Counts of this daemon.
#[derive(Clone, Copy, Debug)]
struct OwnCounts {
    key: Key,
    counts: Comparison,
    changed: UnixMs,
}

/// Counts that another daemon reported.
#[derive(Clone, Debug, Default)]
struct PeerCounts {
    name: CompactString,
    /// Sorted by key.
    counts: Vec<(Key, Comparison)>,
}

/// What the old version usually does on a route.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    failures: f64,
    slow: f64,
    /// Mean time of the good answers, in seconds; `None` if it is not known.
    mean: Option<f64>,
}

/// Counts of this daemon and of the others.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Sorted by key.
    own: Vec<OwnCounts>,
    /// Sorted by name.
    others: Vec<PeerCounts>,
    /// Sums of all daemons, sorted by key.
    sums: Vec<(Key, Comparison)>,
    /// What the old version usually does, by route, as of the last look; sorted.
    baselines: Vec<(u32, Baseline)>,
    last_slot: u32,
}

impl Observations {
    /// Counts a request of this daemon. The key's endpoint is 0 at the old version.
    pub fn record(&mut self, key: Key, sample: Sample, now: UnixMs) {
        let mut counts = VersionCounts {
            requests: 1,
            ..VersionCounts::default()
        };
        if sample.good {
            counts.time_s = sample.took.as_secs_f64();
            counts.slow = u32::from(self.is_slow_answer(key.route, counts.time_s));
        } else {
            counts.failures = 1;
        }
        let found = self.own.binary_search_by_key(&key, |row| row.key);
        let at = found.unwrap_or_else(|at| {
            let counts = Comparison::default();
            let row = OwnCounts {
                key,
                counts,
                changed: now,
            };
            self.own.insert(at, row);
            at
        });
        let before = self.own[at].counts;
        let mut after = before;
        after.side_mut(key).add(&counts);
        (self.own[at].counts, self.own[at].changed) = (after, now);
        self.add_change(key, &before, &after);
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
        for (key, after) in counts {
            let before = std::mem::replace(entry(&mut self.others[at].counts, *key), *after);
            self.add_change(*key, &before, after);
        }
    }

    /// Applies a change of one daemon's counts to the sums.
    fn add_change(&mut self, key: Key, before: &Comparison, after: &Comparison) {
        let sums = entry(&mut self.sums, key);
        sums.old.replace(&before.old, &after.old);
        sums.new.replace(&before.new, &after.new);
        let slot = key.slot();
        if slot > self.last_slot {
            self.last_slot = slot;
            let is_kept = |key: &Key| key.slot() + KEPT_SLOTS > slot;
            self.own.retain(|row| is_kept(&row.key));
            self.sums.retain(|row| is_kept(&row.0));
            for peer in &mut self.others {
                peer.counts.retain(|row| is_kept(&row.0));
            }
        }
    }

    /// This daemon's counts that changed lately, for its digest.
    pub fn report(&self, now: UnixMs) -> Vec<(Key, Comparison)> {
        let rows = self.own.iter();
        let rows = rows.filter(|row| now < row.changed + REPORT_MS);
        rows.map(|row| (row.key, row.counts)).collect()
    }

    /// Counts of all daemons over all routes.
    pub fn totals(&self) -> Comparison {
        let mut totals = Comparison::default();
        for (_, row) in &self.sums {
            totals.old.add(&row.old);
            totals.new.add(&row.new);
        }
        totals
    }

    /// What the evidence says of the new version, which has this many endpoints.
    pub fn finding(&mut self, endpoints: u32) -> Finding {
        let strata = self.strata();
        let routes = || strata.chunk_by(|one, next| one.route == next.route);
        let baselines = routes().filter_map(|rows| Some((rows.first()?.route, baseline(rows))));
        let baselines: Vec<(u32, Baseline)> = baselines.collect();
        let finding = if is_bad(&strata, endpoints) {
            Finding::Bad
        } else if routes()
            .zip(&baselines)
            .any(|(rows, (_, baseline))| is_suspected(rows, baseline, self.last_slot))
        {
            Finding::Suspected
        } else {
            Finding::None
        };
        self.baselines = baselines;
        finding
    }

    /// Whether the new version did worse than the old one, though too little for a verdict: there is
    /// not enough evidence, or most of it is of few endpoints.
    pub fn is_doubtful(&self) -> bool {
        let strata = self.strata();
        let routes = strata.chunk_by(|one, next| one.route == next.route);
        routes.chain([strata.as_slice()]).any(|scope| {
            let mut tally = Tally::default();
            for row in scope {
                tally.add(&row.old, &row.new);
            }
            Measure::ALL
                .iter()
                .any(|measure| tally.is_worse(*measure, DOUBT_RATIO))
        })
    }

    /// The sums by route and period, in this order.
    fn strata(&self) -> Vec<Stratum<'_>> {
        let groups = self
            .sums
            .chunk_by(|one, next| (one.0.route, one.0.period) == (next.0.route, next.0.period));
        let strata = groups.filter_map(|rows| {
            let key = rows.first()?.0;
            let (mut old, mut new) = (VersionCounts::default(), VersionCounts::default());
            for (_, row) in rows {
                old.add(&row.old);
                new.add(&row.new);
            }
            Some(Stratum {
                route: key.route,
                slot: key.slot(),
                old,
                new,
                rows,
            })
        });
        strata.collect()
    }

    fn is_slow_answer(&self, route: u32, time_s: f64) -> bool {
        let found = self.baselines.binary_search_by_key(&route, |row| row.0);
        let usual = found.ok().and_then(|at| self.baselines[at].1.mean);
        usual.is_some_and(|usual| {
            time_s > usual * SLOW_ANSWER_FACTOR && time_s - usual > MIN_DIFFERENCE_S
        })
    }
}

/// What the old version does on a route in its best slots.
fn baseline(route: &[Stratum<'_>]) -> Baseline {
    let slots = route.chunk_by(|one, next| one.slot == next.slot);
    let slots = slots.map(|rows| {
        let mut old = VersionCounts::default();
        for row in rows {
            old.add(&row.old);
        }
        old
    });
    let slots: Vec<VersionCounts> = slots
        .filter(|old| old.requests >= BASELINE_REQUESTS)
        .collect();
    let least = |count: fn(&VersionCounts) -> u32| {
        let bounds = slots.iter().map(|old| old.upper_share(count(old)));
        bounds.reduce(f64::min).unwrap_or_default()
    };
    let mut means: Vec<f64> = slots.iter().filter_map(|old| old.mean(MIN_TIMED)).collect();
    means.sort_by(f64::total_cmp);
    Baseline {
        failures: least(|old| old.failures),
        slow: least(|old| old.slow),
        mean: means.get(means.len() / BEST_SLOTS).copied(),
    }
}

/// Whether the new version did worse on a route lately than the old one usually does.
fn is_suspected(route: &[Stratum<'_>], usual: &Baseline, last_slot: u32) -> bool {
    (1..=RECENT_SLOTS).any(|slots| {
        let mut new = VersionCounts::default();
        for row in route.iter().filter(|row| row.slot + slots > last_slot) {
            new.add(&row.new);
        }
        let mean = new.mean(MIN_TIMED_RECENTLY);
        let times = usual.mean.zip(mean);
        let is_slow = times.is_some_and(|(usual, mean)| {
            mean > usual * SLOW_FACTOR && mean - usual > MIN_DIFFERENCE_S
        });
        is_slow || new.exceeds(new.failures, usual.failures) || new.exceeds(new.slow, usual.slow)
    })
}

impl Key {
    fn slot(&self) -> u32 {
        self.period / LEVELS
    }
}

impl Comparison {
    fn side_mut(&mut self, key: Key) -> &mut VersionCounts {
        if key.endpoint == 0 {
            &mut self.old
        } else {
            &mut self.new
        }
    }
}

/// Finds or adds the value of a key in a vector that is sorted by key.
fn entry<K: Copy + Ord, V: Default>(rows: &mut Vec<(K, V)>, key: K) -> &mut V {
    let found = rows.binary_search_by_key(&key, |row| row.0);
    let at = found.unwrap_or_else(|at| {
        rows.insert(at, (key, V::default()));
        at
    });
    &mut rows[at].1
}

/// Counts of one route in one period.
#[derive(Clone, Copy, Debug)]
struct Stratum<'o> {
    route: u32,
    slot: u32,
    old: VersionCounts,
    new: VersionCounts,
    /// The counts by endpoint.
    rows: &'o [(Key, Comparison)],
}

impl Stratum<'_> {
    /// Counts of the new version without some of its endpoints.
    fn new_without(&self, left_out: &[u32]) -> VersionCounts {
        let mut new = VersionCounts::default();
        let rows = self.rows.iter();
        for (_, row) in rows.filter(|row| !left_out.contains(&row.0.endpoint)) {
            new.add(&row.new);
        }
        new
    }
}

/// What is compared of both versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Measure {
    Failures,
    SlowAnswers,
    MeanTime,
}

impl Measure {
    const ALL: [Self; 3] = [Self::Failures, Self::SlowAnswers, Self::MeanTime];

    /// How much worse the new version did in a stratum than the old one, for one endpoint's counts.
    fn surplus(self, old: &VersionCounts, new: &VersionCounts) -> f64 {
        let expected =
            |of_old: f64, olds: u32, news: u32| of_old / f64::from(olds.max(1)) * f64::from(news);
        match self {
            Self::Failures => {
                f64::from(new.failures) - expected(old.failures.into(), old.requests, new.requests)
            }
            Self::SlowAnswers => {
                f64::from(new.slow) - expected(old.slow.into(), old.requests, new.requests)
            }
            Self::MeanTime => new.time_s - expected(old.time_s, old.good(), new.good()),
        }
    }
}

/// Whether the new version is bad on any route or over all of them, in any span from the start of a
/// slot until now.
fn is_bad(strata: &[Stratum<'_>], endpoints: u32) -> bool {
    let routes = strata.chunk_by(|one, next| one.route == next.route);
    let mut scopes: Vec<&[Stratum<'_>]> = routes.collect();
    if scopes.len() > 1 {
        scopes.push(strata);
    }
    scopes.into_iter().any(|scope| {
        let mut latest: Vec<&Stratum<'_>> = scope.iter().collect();
        latest.sort_by_key(|row| std::cmp::Reverse(row.slot));
        is_bad_in_any_span(&latest, endpoints)
    })
}

/// Whether the new version is bad in any span from the start of a slot, by strata from the latest
/// to the earliest.
fn is_bad_in_any_span(latest: &[&Stratum<'_>], endpoints: u32) -> bool {
    let mut tally = Tally::default();
    let mut end = 0;
    let mut slots = latest.chunk_by(|one, next| one.slot == next.slot);
    slots.any(|slot| {
        end += slot.len();
        for row in slot {
            tally.add(&row.old, &row.new);
        }
        Measure::ALL.iter().any(|measure| {
            tally.is_worse(*measure, BAD_RATIO)
                && (endpoints == 1 || others_are_worse(&latest[..end], *measure, endpoints))
        })
    })
}

/// Whether the new version did worse in a span also without the endpoints at which it did worst.
fn others_are_worse(span: &[&Stratum<'_>], measure: Measure, endpoints: u32) -> bool {
    let mut surpluses: Vec<(u32, f64)> = Vec::new();
    for stratum in span.iter().filter(|row| row.old.requests > 0) {
        for (key, row) in stratum.rows.iter().filter(|row| row.0.endpoint != 0) {
            *entry(&mut surpluses, key.endpoint) += measure.surplus(&stratum.old, &row.new);
        }
    }
    if surpluses.len() < MIN_ENDPOINTS.min(endpoints as usize) {
        return false;
    }
    surpluses.sort_by(|one, other| other.1.total_cmp(&one.1));
    let one_of = match measure {
        Measure::MeanTime => LEFT_OUT_SLOW,
        Measure::Failures | Measure::SlowAnswers => LEFT_OUT,
    };
    // As many of its endpoints may be weak, whether all were observed or not.
    let all = surpluses.len().max(endpoints as usize);
    let worst = surpluses.iter().take(all.div_ceil(one_of));
    let left_out: Vec<u32> = worst.map(|row| row.0).collect();
    let mut tally = Tally::default();
    for stratum in span {
        tally.add(&stratum.old, &stratum.new_without(&left_out));
    }
    tally.is_worse(measure, OTHERS_RATIO)
}

/// Failures of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct FailureTally {
    /// Those of the new version, and of both.
    observed: u32,
    all: u32,
    /// Those that an equally good version would have, and their variance.
    expected: f64,
    variance: f64,
}

impl FailureTally {
    fn add(&mut self, (old, olds): (u32, u32), (new, news): (u32, u32)) {
        let (olds, news, failed) = (f64::from(olds), f64::from(news), f64::from(old + new));
        let total = olds + news;
        self.observed += new;
        self.all += old + new;
        self.expected += failed * news / total;
        self.variance += olds * news * failed * (total - failed) / (total * total * (total - 1.0));
    }

    /// Whether the new version got more of the failures than its part of the requests explains.
    fn is_worse(&self, requests: u32, least: f64) -> bool {
        let observed = f64::from(self.observed);
        let surplus = observed - self.expected;
        if surplus < MIN_SURPLUS * f64::from(requests) {
            return false;
        }
        let all = f64::from(self.all.max(1));
        let rare = all * divergence(observed / all, self.expected / all);
        let normal = if self.variance >= NORMAL_VARIANCE {
            surplus * surplus / (2.0 * self.variance)
        } else {
            0.0
        };
        surplus > 0.0 && rare.max(normal) > least
    }
}

/// Comparison of both versions over some strata, each with requests at both.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u32,
    failures: FailureTally,
    slow: FailureTally,
    /// Good answers of both versions.
    olds: u32,
    news: u32,
    /// Sums of the mean times, weighted by the inverse of the variance of their difference.
    weight: f64,
    old_s: f64,
    new_s: f64,
}

impl Tally {
    fn add(&mut self, old: &VersionCounts, new: &VersionCounts) {
        if old.requests == 0 || new.requests == 0 {
            return;
        }
        self.requests += new.requests;
        let rest = (old.requests, new.requests);
        self.failures
            .add((old.failures, rest.0), (new.failures, rest.1));
        self.slow.add((old.slow, rest.0), (new.slow, rest.1));
        if let (Some(old_mean), Some(new_mean)) = (old.mean(1), new.mean(1)) {
            let (old, new) = (old.good(), new.good());
            let weight = f64::from(old) * f64::from(new) / f64::from(old + new);
            (self.olds, self.news) = (self.olds + old, self.news + new);
            self.weight += weight;
            self.old_s += weight * old_mean;
            self.new_s += weight * new_mean;
        }
    }

    /// Whether the new version did worse, with at least this log-likelihood ratio.
    fn is_worse(&self, measure: Measure, least: f64) -> bool {
        match measure {
            Measure::Failures => self.failures.is_worse(self.requests, least),
            Measure::SlowAnswers => self.slow.is_worse(self.requests, least),
            Measure::MeanTime => {
                self.olds.min(self.news) >= MIN_TIMED
                    && self.new_s > self.old_s * SLOW_FACTOR
                    && self.new_s - self.old_s > MIN_DIFFERENCE_S * self.weight
            }
        }
    }
}

impl VersionCounts {
    fn add(&mut self, other: &Self) {
        self.replace(&Self::default(), other);
    }

    /// Replaces a part of the sum by another one.
    fn replace(&mut self, before: &Self, after: &Self) {
        // Counts of a daemon that was restarted are smaller than before.
        let replaced = |sum: u32, before, after| sum.saturating_add(after).saturating_sub(before);
        self.requests = replaced(self.requests, before.requests, after.requests);
        self.failures = replaced(self.failures, before.failures, after.failures);
        self.slow = replaced(self.slow, before.slow, after.slow);
        self.time_s = (self.time_s + after.time_s - before.time_s).max(0.0);
    }

    /// Upper bound of the share of the requests of which some were counted.
    fn upper_share(&self, counted: u32) -> f64 {
        let requests = f64::from(self.requests) + 1.0;
        let share = (f64::from(counted) + 0.5) / requests;
        share + STANDARD_ERRORS * (share * (1.0 - share).max(0.0) / requests).sqrt()
    }

    /// Whether more requests are counted than a baseline explains, enough for a suspicion.
    fn exceeds(&self, counted: u32, baseline: f64) -> bool {
        let baseline = baseline.clamp(MIN_BASELINE, 1.0 - MIN_BASELINE);
        let observed = f64::from(counted) / f64::from(self.requests.max(1));
        let ratio = f64::from(self.requests) * divergence(observed, baseline);
        observed > baseline && ratio > SUSPICION_RATIO
    }

    fn good(&self) -> u32 {
        self.requests.saturating_sub(self.failures)
    }

    /// Mean time of the successful requests, in seconds; `None` if they are fewer than `least`.
    fn mean(&self, least: u32) -> Option<f64> {
        let good = self.good();
        (good >= least.max(1)).then(|| self.time_s / f64::from(good))
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
