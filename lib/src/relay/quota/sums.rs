//! Sums over a zone and over the fleet, as watchers report them.
//!
//! The watchers of a zone hear each of its daemons, and the watchers of the other zones as sums.
//! They keep totals that only grow with what they learn, so that whoever follows their reports
//! counts nothing twice and misses nothing when a daemon ends. A daemon whose watcher changes
//! keeps what it has counted and goes on from the totals of the new one. What was admitted between
//! the last report of the one and the first of the other is estimated from the rate.
//!
//! A daemon that becomes a watcher knows the fleet from the sums of the former one. That stays as
//! its history, and what daemons report to it first is part of it, but for what they admitted since.

use std::time::{Duration, Instant};

use super::division::TeamDemands;
use super::groups::{Counting, Coverage, Group, PeerReport, TeamUse};
use super::{Quota, name_hash};
use crate::ZoneHash;

/// How long after it became a watcher a daemon takes first reports to be part of its history.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Units by team that only grow, modulo 2^32; sorted by team.
#[derive(Clone, Debug, Default)]
pub(super) struct Totals(Vec<(u32, u32)>);

impl Totals {
    pub(super) fn add(&mut self, team: u32, units: f64) {
        let at = self.0.binary_search_by_key(&team, |row| row.0);
        let at = at.unwrap_or_else(|at| {
            self.0.insert(at, (team, 0));
            at
        });
        self.0[at].1 = self.0[at].1.wrapping_add_signed(units as i32);
    }

    fn get(&self, team: u32) -> u32 {
        let at = self.0.binary_search_by_key(&team, |row| row.0);
        at.map_or(0, |at| self.0[at].1)
    }
}

/// Sum over a group of daemons, to be reported.
#[derive(Clone, Debug, PartialEq)]
pub struct Sum {
    /// Daemons that it covers.
    pub coverage: Coverage,
    /// Median of how long they have run.
    pub uptime: Duration,
    /// What teams used there, sorted by team.
    pub uses: Vec<TeamUse>,
    /// Demand by kind of teams that ask for more than their rate, sorted by team.
    pub demands: TeamDemands,
}

impl Quota {
    /// Sets whether this daemon is a watcher, which counts what single daemons and zones report.
    pub fn set_watcher(&mut self, is_watcher: bool, now: Instant) {
        if is_watcher == self.is_watcher {
            return;
        }
        self.is_watcher = is_watcher;
        if is_watcher && let Some(fleet) = self.fleet.take() {
            self.handover_until = Some(now + HANDOVER_TIME);
            self.history = Some(fleet);
        }
    }

    /// Merges what a daemon of this zone reports of itself. Without another one for
    /// `report_timeout` the daemon counts as unresponsive.
    pub fn merge_report(&mut self, report: &PeerReport, report_timeout: Duration) {
        let at = self
            .peers
            .binary_search_by(|row| row.name.cmp(&report.name));
        let is_new = at.is_err();
        let at = at.unwrap_or_else(|at| {
            self.peers.insert(at, Group::new(report, report_timeout));
            at
        });
        if self.peers[at].is_other_reporter(report) {
            self.peers[at].restart();
        }
        let counting = self.first_counting(is_new, report.received);
        let (first, last) = self.new_steps(self.peers[at].received, report.received);
        let added = self.peers[at].merge(report, first, last, counting);
        self.peers[at].report_timeout = report_timeout;
        for (team, units) in added {
            self.zone_totals.add(team, units);
            self.fleet_totals.add(team, units);
        }
    }

    /// Merges the sum of another zone, reported by one of its watchers. Without another one for
    /// `report_timeout` the zone counts as unresponsive.
    pub fn merge_zone(&mut self, report: &PeerReport, report_timeout: Duration) {
        let at = self
            .zones
            .binary_search_by_key(&report.zone, |row| row.zone);
        let is_new = at.is_err();
        let at = at.unwrap_or_else(|at| {
            self.zones.insert(at, Group::new(report, report_timeout));
            at
        });
        let Some(counting) = self.sum_counting(&self.zones[at], is_new, report) else {
            return;
        };
        let (first, last) = self.new_steps(self.zones[at].received, report.received);
        let added = self.zones[at].merge(report, first, last, counting);
        self.zones[at].report_timeout = report_timeout;
        for (team, units) in added {
            self.fleet_totals.add(team, units);
        }
    }

    /// Merges the sum of all other daemons, reported by a watcher of this zone. It replaces
    /// whatever single daemons and zones reported.
    pub fn merge_fleet(&mut self, report: &PeerReport, report_timeout: Duration) {
        if self.is_watcher {
            return;
        }
        self.peers.clear();
        self.zones.clear();
        self.history = None;
        let is_new = self.fleet.is_none();
        let mut fleet = self
            .fleet
            .take()
            .unwrap_or_else(|| Group::new(report, report_timeout));
        let (first, last) = self.new_steps(fleet.received, report.received);
        let counting = if is_new || !fleet.is_other_reporter(report) {
            Counting::Units
        } else {
            Counting::Since(report.received.saturating_duration_since(fleet.received))
        };
        fleet.merge(report, first, last, counting);
        fleet.report_timeout = report_timeout;
        self.fleet = Some(fleet);
    }

    /// How a sum of a zone is counted; `None` if it is not used, as the other watcher of the zone
    /// reports.
    fn sum_counting(&self, zone: &Group, is_new: bool, report: &PeerReport) -> Option<Counting> {
        if is_new {
            return Some(self.first_counting(true, report.received));
        }
        if !zone.is_other_reporter(report) {
            return Some(Counting::Units);
        }
        let gap = report.received.saturating_duration_since(zone.received);
        zone.is_unresponsive(report.received)
            .then_some(Counting::Since(gap))
    }

    fn first_counting(&self, is_new: bool, now: Instant) -> Counting {
        let in_handover = self.handover_until.is_some_and(|until| now < until);
        match &self.history {
            Some(history) if is_new && in_handover => {
                Counting::AllSince(now.saturating_duration_since(history.received))
            }
            _ => Counting::Units,
        }
    }

    /// Sum over this daemon and all of its zone that it hears.
    pub fn zone_sum(&self, zone: ZoneHash, now: Instant) -> Sum {
        let groups: Vec<&Group> = self.peers.iter().filter(|row| row.zone == zone).collect();
        self.sum(&groups, &self.zone_totals, now)
    }

    /// Sum over this daemon and all others.
    pub fn fleet_sum(&self, now: Instant) -> Sum {
        let groups: Vec<&Group> = self.groups().collect();
        self.sum(&groups, &self.fleet_totals, now)
    }

    fn sum(&self, groups: &[&Group], totals: &Totals, now: Instant) -> Sum {
        let first = self.first_step(now);
        let mut uses = self.team_uses(now);
        for row in &mut uses {
            row.total = totals.get(row.team);
        }
        for group in groups {
            let is_responsive = !group.is_unresponsive(now);
            for row in &group.teams {
                let units = row.steps.sum_since(first);
                let (rate, demand) = if is_responsive {
                    (row.rate, row.demand)
                } else {
                    (0.0, 0.0)
                };
                if units <= 0.0 && demand <= 0.0 {
                    continue;
                }
                let at = uses.binary_search_by_key(&row.team, |known| known.team);
                let at = at.unwrap_or_else(|at| {
                    let empty = TeamUse {
                        team: row.team,
                        units: 0.0,
                        total: totals.get(row.team),
                        rate: 0.0,
                        demand: 0.0,
                    };
                    uses.insert(at, empty);
                    at
                });
                uses[at].units += units;
                uses[at].rate += rate;
                uses[at].demand += demand;
            }
        }
        let daemons: u32 = groups.iter().map(|row| row.coverage.daemons).sum();
        let unresponsive = groups.iter().map(|row| row.unresponsive(now)).sum();
        Sum {
            coverage: Coverage {
                daemons: daemons + 1,
                unresponsive,
                age: mean_age(groups, now),
            },
            uptime: self.median_uptime(groups, now),
            uses,
            demands: self.sum_demands(groups, now),
        }
    }

    fn median_uptime(&self, groups: &[&Group], now: Instant) -> Duration {
        let uptime = |row: &&Group| {
            let uptime = now.saturating_duration_since(row.started);
            (uptime, row.coverage.daemons)
        };
        let mut uptimes: Vec<(Duration, u32)> = groups.iter().map(uptime).collect();
        uptimes.push((now.saturating_duration_since(self.started), 1));
        uptimes.sort_unstable();
        let half = uptimes.iter().map(|row| row.1).sum::<u32>() / 2;
        let mut counted = 0;
        let median = uptimes.iter().find(|row| {
            counted += row.1;
            counted > half
        });
        median.map_or(Duration::ZERO, |row| row.0)
    }

    /// What another daemon reports of the whole fleet, without what it has of this one: `seen` is
    /// the last use of this daemon that it got.
    pub fn without_own(sum: Vec<TeamUse>, seen: &[TeamUse]) -> Vec<TeamUse> {
        let mut others = sum;
        for own in seen {
            if let Ok(at) = others.binary_search_by_key(&own.team, |row| row.team) {
                let row = &mut others[at];
                row.units = (row.units - own.units).max(0.0);
                row.total = row.total.wrapping_sub(own.total);
                row.rate = (row.rate - own.rate).max(0.0);
                row.demand = (row.demand - own.demand).max(0.0);
            }
        }
        others
    }

    /// Counts units that this daemon admitted or, if negative, returned.
    pub(super) fn add_to_totals(&mut self, team: &str, units: f64) {
        let team = name_hash(team);
        self.zone_totals.add(team, units);
        self.fleet_totals.add(team, units);
    }
}

/// Mean age of what is known of responsive groups, weighted by their daemons.
fn mean_age(groups: &[&Group], now: Instant) -> Duration {
    let responsive = groups.iter().filter(|row| !row.is_unresponsive(now));
    let rows = responsive.map(|row| (row.age(now), row.coverage.daemons));
    let (sum, count) = rows.fold((Duration::ZERO, 0), |all, row| {
        (all.0 + row.0 * row.1, all.1 + row.1)
    });
    if count > 0 {
        sum / count
    } else {
        Duration::ZERO
    }
}
