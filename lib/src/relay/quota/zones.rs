//! What is known of other zones as a whole, by their watchers' summaries.

use std::time::{Duration, Instant};

use crate::ZoneHash;

/// What a team does at all daemons of one zone together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneUse {
    /// Hash of the team's name.
    pub team: u32,
    /// Units a second, lately.
    pub rate: f64,
    /// Units a second that callers asked for, let in or not.
    pub asked: f64,
}

/// What the daemons of a zone do together, as one of its watchers tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneSummary {
    /// Daemons of the zone that the watcher does not hear any more.
    pub silent: u32,
    /// Sorted by team.
    pub uses: Vec<ZoneUse>,
}

/// What is known of another zone as a whole.
#[derive(Clone, Debug)]
pub(super) struct Zone {
    pub(super) id: ZoneHash,
    pub(super) heard: Instant,
    /// After how long without a word the zone counts as silent.
    pub(super) silent: Duration,
    pub(super) summary: ZoneSummary,
}

impl ZoneSummary {
    pub(super) fn of(&self, team: u32) -> Option<&ZoneUse> {
        let at = self.uses.binary_search_by_key(&team, |row| row.team);
        at.ok().map(|at| &self.uses[at])
    }
}

impl Zone {
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) > self.silent
    }
}
