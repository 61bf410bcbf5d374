//! Load reports: how many requests other daemons have in progress at each endpoint, one by one or
//! as the sum of a zone or of the fleet.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::ZoneHash;

/// How long a load report counts.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(2);

/// Load that one or several daemons put on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens of those requests that wait for prefill.
    pub tokens: f64,
}

/// Daemons whose load a report covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reporter {
    /// A daemon, and its zone.
    Daemon(ZoneHash, CompactString),
    /// All daemons of a zone.
    Zone(ZoneHash),
    /// All other daemons.
    Fleet,
}

/// Last load report of a daemon or a group of them.
#[derive(Clone, Debug, PartialEq)]
struct LoadReport {
    reporter: Reporter,
    received: Instant,
    /// Load by hash of the endpoint's id, sorted.
    loads: Vec<(u32, Load)>,
}

impl Reporter {
    /// Whether it is a single daemon of a zone.
    pub(crate) fn is_daemon_of(&self, zone: ZoneHash) -> bool {
        matches!(self, Self::Daemon(at, _) if *at == zone)
    }
}

/// Current load reports, sorted by reporter.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LoadReports {
    rows: Vec<LoadReport>,
}

impl LoadReports {
    /// Applies a report: load by hash of the endpoint's id. A report of a group replaces those of
    /// the daemons in it for as long as it is current. Returns by how much the sum of all reports
    /// changes, by endpoint: requests, then tokens.
    ///
    /// Computing the sums anew, at each digest of each daemon, would take longer with each daemon.
    pub(crate) fn apply(
        &mut self,
        reporter: Reporter,
        mut loads: Vec<(u32, Load)>,
        now: Instant,
    ) -> Vec<(u32, i32, f64)> {
        loads.sort_by_key(|(endpoint, _)| *endpoint);
        let mut changes = Vec::new();
        let is_old = |report: &LoadReport| now.duration_since(report.received) > LOAD_REPORT_TTL;
        self.drop_where(&mut changes, is_old);
        match &reporter {
            Reporter::Fleet => self.drop_where(&mut changes, |_| true),
            Reporter::Zone(zone) => self.drop_where(&mut changes, |report| {
                report.reporter == Reporter::Fleet || report.reporter.is_daemon_of(*zone)
            }),
            Reporter::Daemon(zone, _) if self.find(&Reporter::Zone(*zone)).is_ok() => {
                return changes;
            }
            Reporter::Daemon(..) => {
                self.drop_where(&mut changes, |report| report.reporter == Reporter::Fleet);
            }
        }
        self.drop_where(&mut changes, |report| report.reporter == reporter);
        add(&mut changes, &loads, 1);
        let report = LoadReport {
            reporter,
            received: now,
            loads,
        };
        let at = self.find(&report.reporter).unwrap_or_else(|at| at);
        self.rows.insert(at, report);
        changes
    }

    /// Load by the reports of single daemons of a zone, or by all reports if no zone is given.
    pub(crate) fn loads(&self, zone: Option<ZoneHash>) -> impl Iterator<Item = (u32, Load)> {
        let rows = self.rows.iter();
        let rows =
            rows.filter(move |report| zone.is_none_or(|zone| report.reporter.is_daemon_of(zone)));
        rows.flat_map(|report| report.loads.iter().copied())
    }

    /// Sum of all reports on one endpoint.
    pub(crate) fn total(&self, endpoint: u32) -> Load {
        let mut total = Load::default();
        for report in &self.rows {
            if let Ok(at) = report.loads.binary_search_by_key(&endpoint, |row| row.0) {
                total.requests += report.loads[at].1.requests;
                total.tokens += report.loads[at].1.tokens;
            }
        }
        total
    }

    fn find(&self, reporter: &Reporter) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|report| report.reporter.cmp(reporter))
    }

    fn drop_where(
        &mut self,
        changes: &mut Vec<(u32, i32, f64)>,
        is_over: impl Fn(&LoadReport) -> bool,
    ) {
        for report in self.rows.iter().filter(|report| is_over(report)) {
            add(changes, &report.loads, -1);
        }
        self.rows.retain(|report| !is_over(report));
    }
}

/// Adds reported loads to the changes, or subtracts them with a `sign` of -1.
fn add(changes: &mut Vec<(u32, i32, f64)>, loads: &[(u32, Load)], sign: i32) {
    changes.extend(loads.iter().map(|(endpoint, load)| {
        let requests = load.requests.cast_signed() * sign;
        (*endpoint, requests, load.tokens * f64::from(sign))
    }));
}

/// Sums loads by endpoint; the result is sorted and has no endpoint without requests.
pub(crate) fn sum_loads(loads: impl Iterator<Item = (u32, Load)>) -> Vec<(u32, Load)> {
    let mut all: Vec<(u32, Load)> = loads.collect();
    all.sort_by_key(|row| row.0);
    all.dedup_by(|row, kept| {
        let same = row.0 == kept.0;
        if same {
            kept.1.requests += row.1.requests;
            kept.1.tokens += row.1.tokens;
        }
        same
    });
    all.retain(|row| row.1.requests > 0);
    all
}

/// What another daemon reports of the whole fleet, without what it has of this one: `seen` is the
/// last load of this daemon that it got. Both are sorted by endpoint.
pub fn without_own(mut sum: Vec<(u32, Load)>, seen: &[(u32, Load)]) -> Vec<(u32, Load)> {
    for (endpoint, own) in seen {
        if let Ok(at) = sum.binary_search_by_key(endpoint, |row| row.0) {
            let load = &mut sum[at].1;
            load.requests = load.requests.saturating_sub(own.requests);
            load.tokens = (load.tokens - own.tokens).max(0.0);
        }
    }
    sum
}
