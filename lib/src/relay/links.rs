//! Whether this daemon's attempts at a service are answered as often as those of the others.
//!
//! What separates a host from endpoints may refuse connections, accept and reset them, swallow data,
//! answer with errors or send bytes that are no answer. Each looks like a failure of the endpoints.
//! What tells them apart is that other daemons get sound answers from the same service at the same
//! time. So each daemon reports how many of its latest attempts were answered, by service, and
//! compares its own share with that of all others. If it is far smaller, the daemon's links to the
//! service are impaired, whatever the symptom. If all fare alike, the endpoints are at fault, and no
//! daemon would be better off with the others' requests.
//!
//! Links to some endpoints may still work. While they are impaired, an endpoint is used if it has
//! answered this daemon since the fault began, and other requests are forwarded. Now and then a request
//! is tried at one of the other endpoints. Each sound answer adds an endpoint and admits the next trial
//! at once; after a few in a row all endpoints are used again.

use std::time::{Duration, Instant};

use super::load_reports::Reporter;
use super::quota::name_hash;
use crate::{ServiceId, ZoneHash};

/// Span of the results that are compared.
const SPAN: Duration = Duration::from_secs(3);
/// Most results of a service that are kept.
const MAX_RESULTS: usize = 64;
/// How long a report counts.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Fewest own attempts, and attempts elsewhere, that are compared.
const MIN_ATTEMPTS: u32 = 4;
const MIN_ELSEWHERE: u32 = 8;
/// Part of the share elsewhere below which the own share is far smaller.
const FAR_SMALLER: f64 = 0.5;
/// Largest probability with which chance alone may have so few attempts answered. Results are compared
/// after each failed attempt, at each daemon and for each service, so it is far below one in a hundred.
const MAX_CHANCE: f64 = 2e-4;
/// Largest share of answered attempts that is expected. Where hardly any attempt fails elsewhere, a
/// single endpoint that has just failed would otherwise explain nothing.
const MAX_EXPECTED_SHARE: f64 = 0.9;
/// Pause between two trials, doubled by each that fails, up to the longest.
const TRIAL_PAUSE: Duration = Duration::from_millis(250);
const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(2);
/// Sound trials in a row after which all links are used again.
const SOUND_TRIALS: u32 = 4;
/// Time without a request that may be repeated after which any request may be a trial.
const SPARE_TIME: Duration = Duration::from_secs(8);

/// Results of attempts at a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Results {
    /// Attempts that have ended.
    pub attempts: u32,
    /// Those that got a sound answer.
    pub answered: u32,
}

impl Results {
    fn add(&mut self, other: Self) {
        self.attempts += other.attempts;
        self.answered += other.answered;
    }

    fn share(self) -> f64 {
        f64::from(self.answered) / f64::from(self.attempts.max(1))
    }

    /// Whether far fewer of these attempts were answered than elsewhere, by more than chance.
    fn are_far_worse(self, elsewhere: Self) -> bool {
        if self.attempts < MIN_ATTEMPTS || elsewhere.attempts < MIN_ELSEWHERE {
            return false;
        }
        let share = elsewhere.share().min(MAX_EXPECTED_SHARE);
        let is_smaller = self.share() <= share * FAR_SMALLER;
        is_smaller && self.chance(share) <= MAX_CHANCE
    }

    /// Probability that no more of these attempts are answered if each is with the probability `share`.
    fn chance(self, share: f64) -> f64 {
        let lost = 1.0 - share;
        let mut term = lost.powf(f64::from(self.attempts));
        let mut sum = term;
        for answered in 0..self.answered {
            let left = f64::from(self.attempts - answered);
            term *= left / f64::from(answered + 1) * share / lost;
            sum += term;
        }
        sum
    }
}

/// Results by hash of the service's name, sorted.
pub type ServiceResults = Vec<(u32, Results)>;

/// One attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    ended: Instant,
    answered: bool,
}

/// A fault of the links to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Impairment {
    /// Endpoints that answered a request which was sent since then are reached.
    since: Instant,
    /// When the next request may be tried at other endpoints.
    trial_at: Instant,
    /// Trials that failed or were sound in a row.
    failed: u32,
    sound: u32,
}

/// Own attempts at a service.
#[derive(Clone, Debug)]
struct Row {
    service: ServiceId,
    /// Hash of its name.
    hash: u32,
    attempts: Vec<Attempt>,
    impairment: Option<Impairment>,
}

impl Row {
    fn results(&self, now: Instant) -> Results {
        let attempts = self.attempts.iter();
        let recent = attempts.filter(|row| now.saturating_duration_since(row.ended) <= SPAN);
        recent.fold(Results::default(), |sum, row| Results {
            attempts: sum.attempts + 1,
            answered: sum.answered + u32::from(row.answered),
        })
    }

    /// When the first of the latest failures was.
    fn failing_since(&self, now: Instant) -> Instant {
        let failures = self.attempts.iter().filter(|row| !row.answered);
        let recent = failures.filter(|row| now.saturating_duration_since(row.ended) <= SPAN);
        recent.map(|row| row.ended).min().unwrap_or(now)
    }
}

/// Last report of another daemon or of a group.
#[derive(Clone, Debug)]
struct Report {
    reporter: Reporter,
    received: Instant,
    services: ServiceResults,
}

/// Effect of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// The links to the service are impaired from now on, by these own results and those elsewhere.
    Impaired(Results, Results),
    /// All links are used again, after this time.
    Restored(Duration),
    /// Nothing changed.
    None,
}

/// How the links of this daemon fare, by service.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Sorted by service.
    rows: Vec<Row>,
    /// Sorted by reporter.
    reports: Vec<Report>,
}

impl Links {
    /// Records how an attempt at an endpoint ended. `is_known` tells whether the endpoint had answered
    /// this daemon since the links are impaired; if not, the attempt was a trial.
    pub fn record(
        &mut self,
        service: &ServiceId,
        answered: bool,
        is_known: bool,
        now: Instant,
    ) -> LinkChange {
        let elsewhere = self.elsewhere(service, now);
        let row = self.row_mut(service);
        if row.attempts.len() >= MAX_RESULTS {
            row.attempts.remove(0);
        }
        row.attempts.push(Attempt {
            ended: now,
            answered,
        });
        let own = row.results(now);
        let Some(impairment) = &mut row.impairment else {
            if answered || !own.are_far_worse(elsewhere) {
                return LinkChange::None;
            }
            let since = row.failing_since(now);
            row.impair(since, now);
            return LinkChange::Impaired(own, elsewhere);
        };
        if is_known {
            return LinkChange::None;
        }
        if !answered {
            impairment.sound = 0;
            impairment.failed += 1;
            let pause = TRIAL_PAUSE * 2_u32.saturating_pow(impairment.failed.min(8));
            impairment.trial_at = now + pause.min(MAX_TRIAL_PAUSE);
            return LinkChange::None;
        }
        impairment.failed = 0;
        impairment.sound += 1;
        impairment.trial_at = now;
        if impairment.sound < SOUND_TRIALS {
            return LinkChange::None;
        }
        let lasted = now.saturating_duration_since(impairment.since);
        // The failures before are explained.
        row.attempts.clear();
        row.impairment = None;
        LinkChange::Restored(lasted)
    }

    /// Records that no endpoint of a service accepts connections any more: its links are impaired.
    pub fn record_lost(&mut self, service: &ServiceId, now: Instant) {
        let row = self.row_mut(service);
        if row.impairment.is_none() {
            row.impair(now, now);
        }
    }

    /// Since when the links to a service are impaired; `None` if they are not.
    pub fn impaired_since(&self, service: &str) -> Option<Instant> {
        let row = &self.rows[self.find(service).ok()?];
        row.impairment.map(|row| row.since)
    }

    /// Services to which the links are impaired.
    pub fn impaired(&self) -> impl Iterator<Item = &ServiceId> {
        let rows = self.rows.iter().filter(|row| row.impairment.is_some());
        rows.map(|row| &row.service)
    }

    /// Whether a request is tried at an endpoint that has not answered since the links are impaired; at
    /// most one in a while. Requests that may not be repeated are spared as long as there are others.
    pub fn take_trial(&mut self, service: &str, is_repeatable: bool, now: Instant) -> bool {
        let Ok(at) = self.find(service) else {
            return false;
        };
        let Some(row) = &mut self.rows[at].impairment else {
            return false;
        };
        let spare = if is_repeatable {
            Duration::ZERO
        } else {
            SPARE_TIME
        };
        let is_due = now >= row.trial_at + spare;
        if is_due {
            row.trial_at = now + TRIAL_PAUSE;
        }
        is_due
    }

    /// Replaces the results that a daemon or a group reported. The report of the fleet covers all
    /// others.
    pub fn merge(&mut self, reporter: Reporter, services: ServiceResults, now: Instant) {
        let is_fleet = reporter == Reporter::Fleet;
        self.reports.retain(|row| {
            row.reporter != reporter && (row.reporter == Reporter::Fleet) == is_fleet
        });
        let found = self
            .reports
            .binary_search_by(|row| row.reporter.cmp(&reporter));
        let (Ok(at) | Err(at)) = found;
        let report = Report {
            reporter,
            received: now,
            services,
        };
        self.reports.insert(at, report);
    }

    /// Drops outdated results, and faults of links that are no longer worse than those elsewhere.
    /// Returns the services whose links are used again.
    pub fn expire(&mut self, now: Instant) -> Vec<ServiceId> {
        self.reports
            .retain(|row| now.saturating_duration_since(row.received) <= REPORT_TTL);
        let mut restored = Vec::new();
        for at in 0..self.rows.len() {
            let elsewhere = self.elsewhere(&self.rows[at].service, now);
            let row = &mut self.rows[at];
            row.attempts
                .retain(|row| now.saturating_duration_since(row.ended) <= SPAN);
            let is_old = |row: &Impairment| now.saturating_duration_since(row.since) > SPAN;
            let has_failed = elsewhere.attempts >= MIN_ELSEWHERE && elsewhere.answered == 0;
            if has_failed && row.impairment.as_ref().is_some_and(is_old) {
                row.impairment = None;
                restored.push(row.service.clone());
            }
        }
        restored
    }

    /// Latest results of this daemon.
    pub fn own_results(&self, now: Instant) -> ServiceResults {
        let rows = self.rows.iter().map(|row| (row.hash, row.results(now)));
        sum(rows)
    }

    /// Latest results of all daemons of a zone, this one included.
    pub fn zone_results(&self, zone: ZoneHash, now: Instant) -> ServiceResults {
        let reports = self.reports.iter();
        let local = reports.filter(|row| row.reporter.is_daemon_of(zone));
        let others = local.flat_map(|row| row.services.iter().copied());
        sum(others.chain(self.own_results(now)))
    }

    /// Latest results of all daemons.
    pub fn fleet_results(&self, now: Instant) -> ServiceResults {
        let others = self.reports.iter();
        let others = others.flat_map(|row| row.services.iter().copied());
        sum(others.chain(self.own_results(now)))
    }

    /// Latest results of a service at all other daemons.
    fn elsewhere(&self, service: &str, now: Instant) -> Results {
        let hash = name_hash(service);
        let mut sum = Results::default();
        for report in &self.reports {
            let is_current = now.saturating_duration_since(report.received) <= REPORT_TTL;
            let found = report.services.binary_search_by_key(&hash, |row| row.0);
            if let (true, Ok(at)) = (is_current, found) {
                sum.add(report.services[at].1);
            }
        }
        sum
    }

    fn row_mut(&mut self, service: &ServiceId) -> &mut Row {
        let at = self.find(service).unwrap_or_else(|at| {
            let row = Row {
                service: service.clone(),
                hash: name_hash(service),
                attempts: Vec::new(),
                impairment: None,
            };
            self.rows.insert(at, row);
            at
        });
        &mut self.rows[at]
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.service.as_str().cmp(service))
    }
}

impl Row {
    fn impair(&mut self, since: Instant, now: Instant) {
        self.impairment = Some(Impairment {
            since,
            trial_at: now + TRIAL_PAUSE,
            failed: 0,
            sound: 0,
        });
    }
}

/// Sums results by service, sorted.
fn sum(results: impl Iterator<Item = (u32, Results)>) -> ServiceResults {
    let mut all: ServiceResults = results.collect();
    all.sort_by_key(|row| row.0);
    all.dedup_by(|row, kept| {
        let same = row.0 == kept.0;
        if same {
            kept.1.add(row.1);
        }
        same
    });
    all.retain(|row| row.1.attempts > 0);
    all
}

/// What another daemon reports of the whole fleet, without what it has of this one: `seen` are the last
/// results of this daemon that it got. Both are sorted by service.
pub fn without_own(mut sum: ServiceResults, seen: &[(u32, Results)]) -> ServiceResults {
    for (service, own) in seen {
        if let Ok(at) = sum.binary_search_by_key(service, |row| row.0) {
            let row = &mut sum[at].1;
            row.attempts = row.attempts.saturating_sub(own.attempts);
            row.answered = row.answered.saturating_sub(own.answered).min(row.attempts);
        }
    }
    sum
}
