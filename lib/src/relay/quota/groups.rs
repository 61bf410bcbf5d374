//! What other daemons used, one by one or as the sum of a zone or of the fleet.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::division::{Demands, TeamDemands};
use super::steps::{StepId, Steps};
use crate::{Incarnation, ZoneHash};

/// Digest periods without a report after which a group counts as unresponsive.
const TIMEOUT_PERIODS: u32 = 4;

/// What a team used at a group of daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamUse {
    /// Hash of the team's name.
    pub team: u32,
    /// Units admitted within the window.
    pub units: f64,
    /// Units admitted since the reporting daemon began to count, modulo 2^32.
    pub total: u32,
    /// Units a second admitted lately.
    pub rate: f64,
    /// Units a second that callers request, admitted or not.
    pub demand: f64,
}

/// The daemons that a report covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Number of daemons.
    pub daemons: u32,
    /// Number of those that are unresponsive to the reporting daemon.
    pub unresponsive: u32,
    /// Mean age of what is reported of the others.
    pub age: Duration,
}

impl Default for Coverage {
    /// The reporting daemon alone.
    fn default() -> Self {
        Self {
            daemons: 1,
            unresponsive: 0,
            age: Duration::ZERO,
        }
    }
}

/// What another daemon reports in one digest, of itself or of a group.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// The daemon's name.
    pub name: CompactString,
    /// Its zone.
    pub zone: ZoneHash,
    /// Its incarnation; a new one counts from zero.
    pub incarnation: Incarnation,
    /// When the report was received.
    pub received: Instant,
    /// When the daemon started; for a group, the median of its daemons.
    pub started: Instant,
    /// Daemons that it covers.
    pub coverage: Coverage,
    /// What teams used there, sorted by team.
    pub uses: Vec<TeamUse>,
}

/// What one team used at a group.
#[derive(Clone, Debug)]
pub(super) struct GroupTeam {
    pub(super) team: u32,
    pub(super) total: u32,
    pub(super) rate: f64,
    pub(super) demand: f64,
    pub(super) steps: Steps,
}

/// Which units of a report are new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Counting {
    /// Those that the last report did not have.
    Units,
    /// Of known teams only what the rate brings in this time, as another daemon reported them until
    /// then.
    Since(Duration),
    /// Of all teams only that, as the rest is part of the history that this daemon already has.
    AllSince(Duration),
}

/// Another daemon or a group of daemons, with all that was reported within the window.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) name: CompactString,
    pub(super) zone: ZoneHash,
    pub(super) incarnation: Incarnation,
    /// When its last report was received.
    pub(super) received: Instant,
    /// Time without a report after which it counts as unresponsive.
    pub(super) report_timeout: Duration,
    pub(super) started: Instant,
    pub(super) coverage: Coverage,
    /// Sorted by team.
    pub(super) teams: Vec<GroupTeam>,
    /// Demand by kind of the teams for which the last report has it, sorted by team.
    pub(super) demands: TeamDemands,
}

impl Group {
    /// A group before its first report: all that the report has of the window is new.
    pub(super) fn new(report: &PeerReport, report_timeout: Duration) -> Self {
        Self {
            name: report.name.clone(),
            zone: report.zone,
            incarnation: report.incarnation,
            received: report.started,
            report_timeout,
            started: report.started,
            coverage: report.coverage,
            teams: Vec::new(),
            demands: Vec::new(),
        }
    }

    /// Demand by kind of a team, if the last report has it.
    pub(super) fn demands(&self, team: u32) -> Option<&Demands> {
        let at = self.demands.binary_search_by_key(&team, |row| row.0);
        at.ok().map(|at| &self.demands[at].1)
    }

    /// What a team used at this group.
    pub(super) fn team(&self, team: u32) -> Option<&GroupTeam> {
        let at = self.teams.binary_search_by_key(&team, |row| row.team);
        at.ok().map(|at| &self.teams[at])
    }

    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) > self.report_timeout
    }

    /// Number of its daemons that are unresponsive: all, if no report comes.
    pub(super) fn unresponsive(&self, now: Instant) -> u32 {
        if self.is_unresponsive(now) {
            self.coverage.daemons
        } else {
            self.coverage.unresponsive.min(self.coverage.daemons)
        }
    }

    /// Age of what is known of it.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received) + self.coverage.age
    }

    /// Longest age of what is known of it while it is responsive and nothing is lost.
    pub(super) fn lag(&self) -> Duration {
        self.report_timeout / TIMEOUT_PERIODS + self.coverage.age
    }

    /// Whether another daemon reports than before.
    pub(super) fn is_other_reporter(&self, report: &PeerReport) -> bool {
        self.name != report.name || self.incarnation != report.incarnation
    }

    /// Merges a report; what is new in it was admitted between the steps `first` and `last`.
    /// Returns the new units by team.
    pub(super) fn merge(
        &mut self,
        report: &PeerReport,
        first: StepId,
        last: StepId,
        counting: Counting,
    ) -> Vec<(u32, f64)> {
        for team in &mut self.teams {
            team.rate = 0.0;
            team.demand = 0.0;
        }
        self.demands.clear();
        let mut added = Vec::new();
        for row in &report.uses {
            let found = self.teams.binary_search_by_key(&row.team, |team| team.team);
            let is_known = found.is_ok();
            let at = found.unwrap_or_else(|at| {
                let team = GroupTeam {
                    team: row.team,
                    // The team was not reported before: all its units in the window are new.
                    total: row.total.wrapping_sub(row.units as u32),
                    rate: 0.0,
                    demand: 0.0,
                    steps: Steps::default(),
                };
                self.teams.insert(at, team);
                at
            });
            let team = &mut self.teams[at];
            let estimate = |gap: Duration| (row.rate * gap.as_secs_f64()).min(row.units);
            let new = match counting {
                Counting::Since(gap) if is_known => estimate(gap),
                Counting::AllSince(gap) => estimate(gap),
                // Refunds can lower the total a little.
                Counting::Units | Counting::Since(_) => {
                    f64::from(row.total.wrapping_sub(team.total).cast_signed())
                }
            };
            team.steps.spread(first, last, new);
            added.push((row.team, new));
            team.total = row.total;
            team.rate = row.rate;
            team.demand = row.demand;
        }
        self.name.clone_from(&report.name);
        self.incarnation = report.incarnation;
        self.received = report.received;
        self.started = report.started;
        self.coverage = report.coverage;
        added
    }

    /// Counts from zero on: a new incarnation of the daemon reports.
    pub(super) fn restart(&mut self) {
        for team in &mut self.teams {
            team.total = 0;
        }
    }
}
