//! Load reports: how many requests other daemons and zones have in progress at each endpoint.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::endpoint_table::Endpoint;
use crate::ZoneHash;

/// How long a load report of another daemon or zone counts.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(2);

/// Load that one or several daemons put on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens of those requests that wait for prefill.
    pub tokens: f64,
}

/// Sender of a load report: another daemon, or a watcher for its whole zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reporter {
    /// A daemon, and its zone.
    Daemon(ZoneHash, CompactString),
    /// A zone.
    Zone(ZoneHash),
}

/// Last load report of another daemon or zone.
#[derive(Clone, Debug, PartialEq)]
struct LoadReport {
    reporter: Reporter,
    received: Instant,
    /// Load by hash of the endpoint's id, sorted.
    loads: Vec<(u32, Load)>,
}

impl LoadReport {
    fn is_daemon_of(&self, zone: ZoneHash) -> bool {
        matches!(&self.reporter, Reporter::Daemon(at, _) if *at == zone)
    }
}

/// Current load reports, sorted by reporter.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LoadReports {
    rows: Vec<LoadReport>,
}

impl LoadReports {
    /// Applies a report to the loads of the endpoints: load by hash of the endpoint's id. The
    /// report of a zone replaces those of its daemons for as long as it is current.
    pub(crate) fn apply(
        &mut self,
        endpoints: &mut [Endpoint],
        reporter: Reporter,
        mut loads: Vec<(u32, Load)>,
        now: Instant,
    ) {
        loads.sort_by_key(|(endpoint, _)| *endpoint);
        let is_old = |report: &LoadReport| now.duration_since(report.received) > LOAD_REPORT_TTL;
        self.drop_where(endpoints, is_old);
        match &reporter {
            Reporter::Zone(zone) => self.drop_where(endpoints, |report| report.is_daemon_of(*zone)),
            Reporter::Daemon(zone, _) if self.find(&Reporter::Zone(*zone)).is_ok() => return,
            Reporter::Daemon(..) => {}
        }
        self.drop_where(endpoints, |report| report.reporter == reporter);
        add(endpoints, &loads, 1);
        let report = LoadReport {
            reporter,
            received: now,
            loads,
        };
        let at = self.find(&report.reporter).unwrap_or_else(|at| at);
        self.rows.insert(at, report);
    }

    /// Load of this daemon and all others of its zone together, by hash of the endpoint's id,
    /// sorted.
    pub(crate) fn zone_load(&self, endpoints: &[Endpoint], zone: ZoneHash) -> Vec<(u32, Load)> {
        let local = endpoints.iter().map(|row| (row.hash, row.local_load()));
        let peers = self.rows.iter().filter(|report| report.is_daemon_of(zone));
        let peers = peers.flat_map(|report| report.loads.iter().copied());
        let mut all: Vec<(u32, Load)> = local.chain(peers).collect();
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

    fn drop_where(&mut self, endpoints: &mut [Endpoint], is_over: impl Fn(&LoadReport) -> bool) {
        for report in self.rows.iter().filter(|report| is_over(report)) {
            add(endpoints, &report.loads, -1);
        }
        self.rows.retain(|report| !is_over(report));
    }
}

/// Adds reported loads to the endpoints, or subtracts them with a `sign` of -1.
///
/// Computing the sum over the reports of all daemons again, at each digest of each of them,
/// would take longer with each daemon.
fn add(endpoints: &mut [Endpoint], loads: &[(u32, Load)], sign: i32) {
    for row in endpoints {
        if let Ok(at) = loads.binary_search_by_key(&row.hash, |load| load.0) {
            let (total, load) = (&mut row.remote_load, loads[at].1);
            let requests = load.requests.cast_signed() * sign;
            total.requests = total.requests.saturating_add_signed(requests);
            total.tokens += load.tokens * f64::from(sign);
        }
    }
}
