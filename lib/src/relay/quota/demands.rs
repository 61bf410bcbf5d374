//! Demand by kind of request, at this daemon and at all others.
//!
//! A daemon reports it for teams of which it hears that they ask for more than their rate, or that
//! ask it alone for more than an even share. Sums have it only for teams that ask for more than
//! their rate at all daemons, and for few of them, so that they stay short: most teams are within
//! their rate at any time. In a fleet of hundreds a single request is more than an even share, and a
//! daemon's own report has the teams that it served lately, up to the same number.

use std::time::Instant;

use super::division::{Demands, TeamDemands};
use super::{LocalUse, Quota, name_hash};
use crate::relay::catalog::Team;
use crate::relay::load_reports::Reporter;

/// Part of a team's rate from which on its demand is reported by kind. Less than all of it, so that
/// it is known when the team comes to ask for more than its rate.
const SHORT_SHARE: f64 = 0.8;
/// Most teams in a report.
const MAX_TEAMS: usize = 32;

impl Quota {
    /// Sets the teams, of which some have a rate.
    pub fn set_teams(&mut self, teams: &[Team]) {
        let rate = |team: &Team| Some((name_hash(&team.name), team.rate?));
        self.rates = teams.iter().filter_map(rate).collect();
        self.rates.sort_by_key(|row| row.0);
    }

    /// Demand by kind at this daemon, to be reported.
    pub fn own_demands(&self, now: Instant) -> TeamDemands {
        let daemons = (self.daemons() + 1) as f64;
        let row = |local: &LocalUse| {
            let own = self.mean_rate(&local.demand, now);
            let hash = name_hash(&local.team);
            let rate = self.rate(hash).filter(|_| own > 0.0)?;
            let total = own + self.sum_groups(hash, |row| row.demand, now);
            let is_reported = total > rate * SHORT_SHARE || own * daemons > rate;
            is_reported.then(|| (total / rate, (hash, self.local_demands(local, now))))
        };
        shortest(self.local.iter().filter_map(row).collect())
    }

    /// Merges the demand by kind of a report, after the report itself. Rows are sorted by team.
    pub fn merge_demands(&mut self, reporter: &Reporter, demands: TeamDemands) {
        let group = match reporter {
            Reporter::Daemon(_, name) => self.peers.iter_mut().find(|row| row.name == *name),
            Reporter::Zone(zone) => self.zones.iter_mut().find(|row| row.zone == *zone),
            Reporter::Fleet => self.fleet.as_mut(),
        };
        if let Some(group) = group {
            group.demands = demands;
        }
    }

    /// Demand by kind at this daemon and the groups, of teams that ask for more than their rate.
    pub(super) fn sum_demands(&self, groups: &[&super::Group], now: Instant) -> TeamDemands {
        let mut sums: TeamDemands = Vec::new();
        let mut add = |team: u32, demands: &Demands| {
            let at = sums.binary_search_by_key(&team, |row| row.0);
            let at = at.unwrap_or_else(|at| {
                sums.insert(at, (team, Demands::default()));
                at
            });
            sums[at].1.merge(demands);
        };
        for local in &self.local {
            add(name_hash(&local.team), &self.local_demands(local, now));
        }
        let responsive = groups.iter().filter(|group| !group.is_unresponsive(now));
        for (team, demands) in responsive.flat_map(|group| &group.demands) {
            add(*team, demands);
        }
        let local = self.team_uses(now);
        let short = |(team, demands): (u32, Demands)| {
            let own = local.binary_search_by_key(&team, |row| row.team);
            let own = own.map_or(0.0, |at| local[at].demand);
            let total = own + self.sum_groups(team, |row| row.demand, now);
            let ratio = total / self.rate(team)?;
            (ratio > SHORT_SHARE && demands.sum() > 0.0).then_some((ratio, (team, demands)))
        };
        shortest(sums.into_iter().filter_map(short).collect())
    }

    /// Demand by kind for a team, as far as it is known, at this daemon and all that are responsive.
    pub(super) fn known_demands(&self, team: &str, now: Instant) -> Demands {
        let local = self.find(team).ok().map(|at| &self.local[at]);
        let mut demands = local.map_or_else(Demands::default, |row| self.local_demands(row, now));
        let hash = name_hash(team);
        let responsive = self.groups().filter(|group| !group.is_unresponsive(now));
        for row in responsive.filter_map(|group| group.demands(hash)) {
            demands.merge(row);
        }
        demands
    }

    /// Demand by kind for a team that other daemons reported last, responsive or not.
    pub(super) fn last_demands(&self, team: u32) -> Demands {
        let mut demands = Demands::default();
        for row in self.groups().filter_map(|group| group.demands(team)) {
            demands.merge(row);
        }
        demands
    }

    fn local_demands(&self, local: &LocalUse, now: Instant) -> Demands {
        let mut demands = Demands::default();
        for row in &local.kinds {
            demands.add(row.kind, self.mean_rate(&row.demand, now));
        }
        demands
    }

    fn rate(&self, team: u32) -> Option<f64> {
        let at = self.rates.binary_search_by_key(&team, |row| row.0);
        at.ok().map(|at| self.rates[at].1)
    }
}

/// Those teams whose demand exceeds their rate most, as far as there is room, sorted by team.
fn shortest(mut rows: Vec<(f64, (u32, Demands))>) -> TeamDemands {
    rows.sort_by(|a, b| b.0.total_cmp(&a.0));
    rows.truncate(MAX_TEAMS);
    let mut demands: TeamDemands = rows.into_iter().map(|row| row.1).collect();
    demands.sort_by_key(|row| row.0);
    demands
}
