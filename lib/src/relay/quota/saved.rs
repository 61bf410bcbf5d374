//! What was let in before a daemon started, as a checkpoint in the store holds it.

use std::time::Instant;

use super::steps::Steps;
use super::{Quota, STEPS, name_hash};

/// Seconds that a team is taken to have gone on at its last rate after a checkpoint was
/// written: its period and the time that digests take to reach the writer.
const UNSAVED: f64 = 1.0;

/// What all daemons let a team use lately, as a checkpoint holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Spent {
    /// Hash of the team's name.
    pub team: u32,
    /// Units by step of the window, the newest step last.
    pub steps: Vec<u32>,
    /// Units a second, lately.
    pub rate: f64,
}

/// What was let in before this daemon started, by a checkpoint.
#[derive(Clone, Debug)]
pub(super) struct Before {
    /// Daemons that there were.
    pub(super) daemons: u32,
    /// Sorted by team.
    pub(super) teams: Vec<(u32, Steps)>,
}

impl Quota {
    /// What all daemons let in within the window, for a checkpoint; sorted by team.
    pub fn checkpoint(&self, now: Instant) -> Vec<Spent> {
        let first = self.first_step(now);
        let told = self.others.iter().flat_map(|other| &other.teams);
        let mut teams: Vec<u32> = told.map(|known| known.team).collect();
        teams.extend(self.used.iter().map(|used| name_hash(&used.team)));
        teams.sort_unstable();
        teams.dedup();
        let row = |team: u32| {
            let mut steps = vec![0.0; STEPS as usize + 1];
            for (step, units) in self.spent(team, first, now) {
                steps[(step - first) as usize] += units;
            }
            for (step, units) in self.before(team, now).since(first) {
                steps[(step - first) as usize] += units;
            }
            Spent {
                team,
                steps: steps.into_iter().map(|units| units as u32).collect(),
                rate: self.rate_of_all(team, now),
            }
        };
        let rows = teams.into_iter().map(row);
        rows.filter(|row| row.steps.iter().any(|units| *units > 0))
            .collect()
    }

    /// Begins with what `daemons` let in until the checkpoint. It counts as let in up
    /// to this moment: how long ago it was written is not known for certain, and later
    /// is the side on which a team gets less.
    pub fn restore(&mut self, spent: Vec<Spent>, daemons: u32, now: Instant) {
        let last = self.step(now);
        let team = |row: Spent| {
            let mut steps = Steps::default();
            for (back, units) in (0..).zip(row.steps.into_iter().rev()) {
                steps.add(last - back, f64::from(units));
            }
            steps.add(last, row.rate * UNSAVED);
            (row.team, steps)
        };
        let mut teams: Vec<(u32, Steps)> = spent.into_iter().map(team).collect();
        teams.sort_by_key(|row| row.0);
        self.before = Some(Before { daemons, teams });
    }

    /// What was let in before this daemon started, by a checkpoint; nothing if the
    /// others run since long before and tell it themselves.
    pub(super) fn before(&self, team: u32, now: Instant) -> Steps {
        let Some(before) = &self.before else {
            return Steps::default();
        };
        if !self.others.is_empty() && !self.is_fresh(now) {
            return Steps::default();
        }
        let at = before.teams.binary_search_by_key(&team, |row| row.0);
        at.map_or_else(|_| Steps::default(), |at| before.teams[at].1.clone())
    }
}
