//! What of a team's allowance this daemon may grant now.

use std::time::Instant;

use super::division::{Cost, Kind};
use super::{Quota, STEPS, name_hash};
use crate::relay::catalog::{Team, Unit};
use crate::relay::fair_share::TeamLoad;

/// Depth of the bucket beyond the burst, in seconds of its rate: how much of what a team
/// left unused within the window it may use at once. As the bucket starts empty after a
/// restart of all daemons, a flood across the restart gets this, the burst and the rate,
/// which is within what a window allows.
const EXTRA_DEPTH_SECS: f64 = 0.5;
/// Part of the tolerance that deepens the bucket. Prompts are long compared to a second
/// of a team's rate, so without it teams well within their allowance would be rejected by
/// chance. The rest of the tolerance covers what peers admit before they report it.
const DEPTH_TOLERANCE: f64 = 0.4;
/// Part of the tolerance within a window that kinds of requests may use which get all that they ask.
/// They need less than the rate, so that little of it is admitted before it is reported.
const COVERED_TOLERANCE: f64 = 0.7;
/// Share of the allowance that is held back for each second by which reports lag behind, as no
/// daemon knows what the others admit meanwhile.
const RESERVE_PER_SEC: f64 = 0.16;
/// Largest share of the allowance that is held back.
const MAX_RESERVE: f64 = 0.3;
/// Part of an even share that an unresponsive daemon is assumed to use at least. Daemons
/// use about 55 % of the allowance on an ordinary day. Where more than half of the peers are
/// unresponsive, this daemon is probably the one that is partitioned, perhaps with many
/// others that are each isolated, and assumes that they use their whole share.
pub(super) const UNRESPONSIVE_SHARE: f64 = 0.75;

/// What this daemon and its responsive peers may grant of an allowance.
pub(super) struct Allotment {
    /// Units a second.
    pub(super) rate: f64,
    /// Depth of the bucket, in units.
    pub(super) depth: f64,
    /// Most units within a window.
    pub(super) window_max: f64,
    /// The same for the kinds of requests that get all that they ask.
    pub(super) covered_max: f64,
    /// Whether most peers are unresponsive, so that this daemon is probably partitioned.
    pub(super) isolated: bool,
}

/// What the limiter knows of one team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Units left in the bucket; negative after an overdraft.
    pub available: f64,
    /// Depth of the bucket, in units.
    pub depth: f64,
    /// Units a second that this daemon and its responsive peers may grant.
    pub rate: f64,
    /// Units a second that callers request at all daemons.
    pub demand: f64,
    /// Units a second that callers request at this daemon.
    pub own_demand: f64,
    /// Kind of the request.
    pub kind: Kind,
    /// Units a second that the kind gets at all daemons; the rate if it is not divided.
    pub kind_share: f64,
    /// Units a second that callers ask of the kind at all daemons; the demand if the rate is not
    /// divided.
    pub kind_demand: f64,
    /// Whether most peers are unresponsive.
    pub isolated: bool,
    /// Number of known peers.
    pub peers: usize,
    /// Number of those that are unresponsive.
    pub unresponsive: usize,
}

impl Quota {
    /// What the limiter knows of a team, to explain the rejection of a request.
    pub fn standing(&self, team: &Team, cost: Cost, now: Instant) -> Option<Standing> {
        let allotment = self.allotment(team.rate?, team.burst, now);
        let available = if allotment.isolated {
            self.available_isolated(&team.name, &allotment, now)
        } else {
            self.available(&team.name, &allotment, now)
        };
        let turn = self.turn(&team.name, cost, &allotment, available, now);
        Some(Standing {
            available,
            depth: allotment.depth,
            rate: allotment.rate,
            demand: self.total_demand(&team.name, now),
            own_demand: self.local_demand(&team.name, now),
            kind: turn.kind,
            kind_share: turn.rate,
            kind_demand: turn.demand,
            isolated: allotment.isolated,
            peers: self.daemons(),
            unresponsive: self.unresponsive(now),
        })
    }

    /// What teams with an allowance in tokens request and get from all daemons.
    pub fn team_loads(&self, teams: &[Team], now: Instant) -> Vec<TeamLoad> {
        let local = self.all_uses(now);
        let limited = teams
            .iter()
            .filter(|team| matches!(team.unit, Unit::Tokens(_)));
        let limited = limited.filter_map(|team| Some((name_hash(&team.name), team.rate?)));
        let load = |(team, allowance)| {
            let at = local.binary_search_by_key(&team, |row| row.team);
            let (demand, rate) = at.map_or((0.0, 0.0), |at| (local[at].demand, local[at].rate));
            TeamLoad {
                team,
                allowance,
                demand: demand + self.sum_groups(team, |row| row.demand, now),
                rate: rate.max(0.0) + self.sum_groups(team, |row| row.rate, now),
            }
        };
        limited.map(load).collect()
    }

    /// What of an allowance is left to this daemon and its responsive peers.
    pub(super) fn allotment(&self, rate: f64, burst: f64, now: Instant) -> Allotment {
        let unresponsive = self.unresponsive(now);
        let isolated = unresponsive * 2 > self.daemons();
        let each = if isolated { 1.0 } else { UNRESPONSIVE_SHARE };
        let daemons = (self.daemons() + 1) as f64;
        let responsive = 1.0 - unresponsive as f64 * each / daemons;
        let left = self.usable_share() * responsive;
        let whole = rate * self.window.as_secs_f64() + burst;
        let tolerance = whole * self.tolerance.share + self.tolerance.units;
        let tolerated = tolerance * DEPTH_TOLERANCE;
        Allotment {
            rate: rate * left,
            depth: (burst + rate * EXTRA_DEPTH_SECS + tolerated) * left,
            window_max: (whole + tolerated) * left,
            covered_max: (whole + tolerance * COVERED_TOLERANCE) * responsive,
            isolated,
        }
    }

    /// Whether nobody knows what was admitted before this daemon started: it has run for
    /// less than a window, and at its start so had most peers.
    pub(super) fn lacks_history(&self, now: Instant) -> bool {
        let groups = self.groups();
        let older = groups.filter(|group| group.started + self.window <= self.started);
        let older: u32 = older.map(|group| group.coverage.daemons).sum();
        self.first_step(now) < 0 && older as usize * 2 <= self.daemons()
    }

    /// Share of the allowance that is granted; the rest is held back.
    fn usable_share(&self) -> f64 {
        1.0 - (self.longest_lag().as_secs_f64() * RESERVE_PER_SEC).min(MAX_RESERVE)
    }

    /// Units in the fleet's bucket, after all that was admitted within the window.
    pub(super) fn available(&self, team: &str, allotment: &Allotment, now: Instant) -> f64 {
        let (first, last) = (self.first_step(now), self.step(now));
        let mut spent = [0.0; STEPS as usize + 1];
        let restored = self.restored_steps(name_hash(team), now);
        let restored = restored.since(first).iter().copied();
        for (step, units) in self.admitted(name_hash(team), first, now).chain(restored) {
            spent[(step - first) as usize] += units;
        }
        let length = self.window.as_secs_f64() / f64::from(STEPS);
        let elapsed = now.saturating_duration_since(self.step_start(last));
        // The bucket of a daemon that has just started is empty at its start.
        let starts_empty = self.lacks_history(now) && self.restored.is_none();
        let mut level = if starts_empty { 0.0 } else { allotment.depth };
        let steps = (first..=last).zip(spent);
        for (step, units) in steps.filter(|row| !starts_empty || row.0 >= 0) {
            let time = match step {
                // The oldest step lies partly outside of the window.
                step if step == first => 0.0,
                step if step == last => elapsed.as_secs_f64(),
                _ => length,
            };
            level = (level + allotment.rate * time).min(allotment.depth) - units;
        }
        level.min(allotment.window_max - spent.iter().sum::<f64>())
    }

    /// Units that are left of what a window allows to the kinds that get all that they ask, whatever
    /// the bucket holds. The share that is held back for what the others admit meanwhile is kept from
    /// the other kinds only.
    pub(super) fn window_room(&self, team: &str, allotment: &Allotment, now: Instant) -> f64 {
        if allotment.isolated {
            return self.available_isolated(team, allotment, now);
        }
        let (hash, first) = (name_hash(team), self.first_step(now));
        let restored = self.restored_steps(hash, now).sum_since(first);
        let spent: f64 = self.admitted(hash, first, now).map(|row| row.1).sum();
        allotment.covered_max - spent - restored
    }

    /// Units that an isolated daemon may still admit: an even share of what a window
    /// allows, whatever the unresponsive daemons use.
    pub(super) fn available_isolated(
        &self,
        team: &str,
        allotment: &Allotment,
        now: Instant,
    ) -> f64 {
        let age = now.saturating_duration_since(self.started);
        let accrued = allotment.rate * age.as_secs_f64();
        let spent = self.admitted(name_hash(team), self.first_step(now), now);
        allotment.window_max.min(accrued) - spent.map(|row| row.1).sum::<f64>()
    }
}
