//! What each other daemon used, as it reported in its digests.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::steps::{StepId, Steps};
use crate::{Incarnation, ZoneHash};

/// What a daemon reports of one team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamUse {
    /// Hash of the team's name.
    pub team: u32,
    /// Units admitted within the window.
    pub units: f64,
    /// Units admitted since the daemon's start, modulo 2^32.
    pub total: u32,
    /// Units a second admitted lately.
    pub rate: f64,
    /// Units a second that callers request, admitted or not.
    pub demand: f64,
}

/// What another daemon reports in one digest.
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
    /// When the daemon started.
    pub started: Instant,
    /// What teams used there, sorted by team.
    pub uses: Vec<TeamUse>,
}

/// What one team used at another daemon.
#[derive(Clone, Debug)]
pub(super) struct PeerTeam {
    pub(super) team: u32,
    pub(super) total: u32,
    pub(super) rate: f64,
    pub(super) demand: f64,
    pub(super) steps: Steps,
}

/// Another daemon with all that it reported within the window.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) name: CompactString,
    pub(super) zone: ZoneHash,
    pub(super) incarnation: Incarnation,
    /// When its last report was received.
    pub(super) received: Instant,
    /// Time without a report after which it counts as unresponsive.
    pub(super) report_timeout: Duration,
    pub(super) started: Instant,
    /// Sorted by team.
    pub(super) teams: Vec<PeerTeam>,
}

impl Peer {
    /// What a team used at this daemon.
    pub(super) fn team(&self, team: u32) -> Option<&PeerTeam> {
        let at = self.teams.binary_search_by_key(&team, |row| row.team);
        at.ok().map(|at| &self.teams[at])
    }

    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) > self.report_timeout
    }

    /// Merges a report; what is new in it was admitted between the steps `first` and
    /// `last`.
    pub(super) fn merge(&mut self, report: &PeerReport, first: StepId, last: StepId) {
        if self.incarnation != report.incarnation {
            // A new incarnation counts from zero; what the old one reported is kept.
            self.incarnation = report.incarnation;
            for team in &mut self.teams {
                team.total = 0;
            }
        }
        for team in &mut self.teams {
            team.rate = 0.0;
            team.demand = 0.0;
        }
        for row in &report.uses {
            let found = self.teams.binary_search_by_key(&row.team, |team| team.team);
            let at = found.unwrap_or_else(|at| {
                let team = PeerTeam {
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
            // Refunds can lower the total a little.
            let new = row.total.wrapping_sub(team.total).cast_signed();
            team.steps.spread(first, last, f64::from(new));
            team.total = row.total;
            team.rate = row.rate;
            team.demand = row.demand;
        }
        self.received = report.received;
        self.started = report.started;
    }
}
