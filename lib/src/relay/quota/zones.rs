//! Summed rates of other zones, as their watchers report them.

use std::time::{Duration, Instant};

use crate::ZoneHash;

/// Rates of a team, summed over all daemons of one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamRates {
    /// Hash of the team's name.
    pub team: u32,
    /// Units a second admitted lately.
    pub rate: f64,
    /// Units a second that callers request, admitted or not.
    pub demand: f64,
}

/// Rates of all teams in a zone, as one of its watchers reports them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneSummary {
    /// Number of the zone's daemons that are unresponsive to the watcher.
    pub unresponsive: u32,
    /// Sorted by team.
    pub teams: Vec<TeamRates>,
}

/// Last summary of another zone.
#[derive(Clone, Debug)]
pub(super) struct Zone {
    pub(super) id: ZoneHash,
    /// When the summary was received.
    pub(super) received: Instant,
    /// Time without a summary after which the zone counts as unresponsive.
    pub(super) report_timeout: Duration,
    pub(super) summary: ZoneSummary,
}

impl ZoneSummary {
    /// Rates of a team, if the summary has them.
    pub(super) fn of(&self, team: u32) -> Option<&TeamRates> {
        let at = self.teams.binary_search_by_key(&team, |row| row.team);
        at.ok().map(|at| &self.teams[at])
    }
}

impl Zone {
    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) > self.report_timeout
    }
}
