//! What was admitted before a daemon started, from a checkpoint in the store.

use std::time::Instant;

use super::steps::Steps;
use super::{Quota, STEPS, name_hash};

/// Seconds for which a team is assumed to have continued at its last rate after a
/// checkpoint was written: the checkpoint period and the time that digests take to reach
/// the writer.
const UNSAVED_SECS: f64 = 1.0;

/// What all daemons admitted for a team within the window, as a checkpoint holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Spent {
    /// Hash of the team's name.
    pub team: u32,
    /// Units by step of the window, the newest step last.
    pub steps: Vec<u32>,
    /// Units a second admitted lately.
    pub rate: f64,
}

/// What was admitted before this daemon started, from a checkpoint.
#[derive(Clone, Debug)]
pub(super) struct Restored {
    /// Number of daemons at the time of the checkpoint.
    pub(super) daemons: u32,
    /// Sorted by team.
    pub(super) teams: Vec<(u32, Steps)>,
}

impl Quota {
    /// What all daemons admitted within the window, for a checkpoint; sorted by team.
    pub fn checkpoint(&self, now: Instant) -> Vec<Spent> {
        let first = self.first_step(now);
        let groups = self.groups().chain(&self.history);
        let reported = groups.flat_map(|group| &group.teams);
        let mut teams: Vec<u32> = reported.map(|row| row.team).collect();
        teams.extend(self.local.iter().map(|local| name_hash(&local.team)));
        teams.sort_unstable();
        teams.dedup();
        let row = |team: u32| {
            let mut steps = vec![0.0; STEPS as usize + 1];
            for (step, units) in self.admitted(team, first, now) {
                steps[(step - first) as usize] += units;
            }
            for (step, units) in self.restored_steps(team, now).since(first) {
                steps[(step - first) as usize] += units;
            }
            Spent {
                team,
                steps: steps.into_iter().map(|units| units as u32).collect(),
                rate: self.total_rate(team, now),
            }
        };
        let rows = teams.into_iter().map(row);
        rows.filter(|row| row.steps.iter().any(|units| *units > 0))
            .collect()
    }

    /// Restores what `daemons` admitted until the checkpoint. It counts as admitted up to
    /// `now`: how long ago the checkpoint was written is not known for certain, and a
    /// later time is the safe side, on which a team gets less.
    pub fn restore(&mut self, spent: Vec<Spent>, daemons: u32, now: Instant) {
        let last = self.step(now);
        let team = |row: Spent| {
            let mut steps = Steps::default();
            for (back, units) in (0..).zip(row.steps.into_iter().rev()) {
                steps.add(last - back, f64::from(units));
            }
            steps.add(last, row.rate * UNSAVED_SECS);
            (row.team, steps)
        };
        let mut teams: Vec<(u32, Steps)> = spent.into_iter().map(team).collect();
        teams.sort_by_key(|row| row.0);
        self.restored = Some(Restored { daemons, teams });
    }

    /// What was admitted before this daemon started, from the checkpoint; nothing if the
    /// peers have been running for long enough to report it themselves.
    pub(super) fn restored_steps(&self, team: u32, now: Instant) -> Steps {
        let Some(restored) = &self.restored else {
            return Steps::default();
        };
        if self.daemons() > 0 && !self.lacks_history(now) {
            return Steps::default();
        }
        let at = restored.teams.binary_search_by_key(&team, |row| row.0);
        at.map_or_else(|_| Steps::default(), |at| restored.teams[at].1.clone())
    }
}
