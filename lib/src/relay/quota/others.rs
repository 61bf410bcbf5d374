//! What is known of each other daemon, by its own words.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::steps::{StepId, Steps};
use crate::{Incarnation, ZoneHash};

/// What a daemon tells of one team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Use {
    /// Hash of the team's name.
    pub team: u32,
    /// Units within the window.
    pub units: f64,
    /// Units since the daemon's start, modulo 2^32.
    pub total: u32,
    /// Units a second, lately.
    pub rate: f64,
    /// Units a second that callers asked for, let in or not.
    pub asked: f64,
}

/// What another daemon told.
#[derive(Clone, Debug)]
pub struct Told {
    /// Its name.
    pub name: CompactString,
    /// Its zone.
    pub zone: ZoneHash,
    /// Its incarnation; another one counts from zero.
    pub incarnation: Incarnation,
    /// When it told.
    pub heard: Instant,
    /// When it started.
    pub started: Instant,
    /// Its uses, sorted by team.
    pub uses: Vec<Use>,
}

/// What is known of one team at another daemon.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) team: u32,
    pub(super) total: u32,
    pub(super) rate: f64,
    pub(super) asked: f64,
    pub(super) steps: Steps,
}

/// What is known of another daemon.
#[derive(Clone, Debug)]
pub(super) struct Other {
    pub(super) name: CompactString,
    pub(super) zone: ZoneHash,
    pub(super) incarnation: Incarnation,
    pub(super) heard: Instant,
    /// After how long without a word it counts as silent.
    pub(super) silent: Duration,
    pub(super) started: Instant,
    /// Sorted by team.
    pub(super) teams: Vec<Known>,
}

impl Other {
    /// What is known of a team there.
    pub(super) fn team(&self, team: u32) -> Option<&Known> {
        let at = self.teams.binary_search_by_key(&team, |known| known.team);
        at.ok().map(|at| &self.teams[at])
    }

    pub(super) fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) > self.silent
    }

    /// Takes a word in; what is new was let in between the steps `first` and `last`.
    pub(super) fn hear(&mut self, told: &Told, first: StepId, last: StepId) {
        if self.incarnation != told.incarnation {
            // Another incarnation counts from zero; what the last one told stands.
            self.incarnation = told.incarnation;
            for known in &mut self.teams {
                known.total = 0;
            }
        }
        for known in &mut self.teams {
            known.rate = 0.0;
            known.asked = 0.0;
        }
        for row in &told.uses {
            let found = self
                .teams
                .binary_search_by_key(&row.team, |known| known.team);
            let at = found.unwrap_or_else(|at| {
                let known = Known {
                    team: row.team,
                    // Of a team that was not told before, the whole window is new.
                    total: row.total.wrapping_sub(row.units as u32),
                    rate: 0.0,
                    asked: 0.0,
                    steps: Steps::default(),
                };
                self.teams.insert(at, known);
                at
            });
            let known = &mut self.teams[at];
            // Refunds make the total fall by a little.
            let new = row.total.wrapping_sub(known.total).cast_signed();
            known.steps.spread(first, last, f64::from(new));
            known.total = row.total;
            known.rate = row.rate;
            known.asked = row.asked;
        }
        self.heard = told.heard;
        self.started = told.started;
    }
}
