//! Division of a scarce allowance among a team's kinds of requests, over daemons that report to each
//! other through the watchers of their zones.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::catalog::{Team, Unit};
use poplarvale_lib::relay::load_reports::Reporter;
use poplarvale_lib::relay::quota::division::{
    Demands, Division, KINDS, Kind, TeamDemands, without_own,
};
use poplarvale_lib::relay::quota::{Cost, Coverage, PeerReport, Quota, Sum, TeamUse, Tolerance};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(8);
const PERIOD: Duration = Duration::from_millis(264);
const STEP: Duration = Duration::from_millis(4);
const ZONES: usize = 6;
const TOLERANCE: Tolerance = Tolerance {
    share: 0.1,
    units: 140_000.0,
};
/// Time until all daemons know of a flood: until the demand of the last two seconds is above the rate,
/// and for a report of it to a watcher, to the other zones and to their daemons.
const WARM_UP: Duration = Duration::from_millis(264 * 4);

/// Requests of one kind: what each costs, and units a second as a share of the rate.
type Mix = [(Cost, f64); 4];

const PAYMENTS: usize = 0;
const CHATS: usize = 1;
const LETTERS: usize = 3;

/// Payments, chats, summaries and letters of a team that uses `total` of its rate.
fn mix(total: f64) -> Mix {
    let row = |units, rank, share: f64| (Cost { units, rank }, total * share);
    [
        row(200.0, 2, 0.02),
        row(900.0, 0, 0.07),
        row(2400.0, 1, 0.27),
        row(12_000.0, 2, 0.64),
    ]
}

fn team(rate: f64) -> Team {
    Team {
        name: "club".into(),
        rate: Some(rate),
        burst: rate,
        unit: Unit::Tokens(200.0),
        ..Team::default()
    }
}

/// Daemons that exchange digests: their own to the watchers of their zone, sums of zones among the
/// watchers, and the sum of all from a watcher to the daemons of its zone.
struct Fleet {
    team: Team,
    start: Instant,
    quotas: Vec<Quota>,
    /// Incarnation and start of each daemon.
    lives: Vec<(u64, Instant)>,
    /// What each daemon reported last.
    sent: Vec<(Vec<TeamUse>, TeamDemands)>,
    /// Whether reports have the demand by kind.
    by_kind: bool,
    /// The first daemons, each isolated from all others.
    isolated: usize,
    random: fastrand::Rng,
    round: u32,
    admitted: Vec<(Instant, f64)>,
}

impl Fleet {
    fn new(daemons: usize, rate: f64, seed: u64) -> Self {
        let start = Instant::now();
        let team = team(rate);
        let mut random = fastrand::Rng::with_seed(seed);
        let quota = |at: usize| {
            let mut quota = Quota::new(WINDOW, TOLERANCE, start).with_phase(random.f64());
            quota.set_teams(std::slice::from_ref(&team));
            quota.set_watcher(daemons - at <= 2 * ZONES, start);
            quota
        };
        Self {
            quotas: (0..daemons).map(quota).collect(),
            team,
            start,
            lives: vec![(1, start); daemons],
            sent: vec![Default::default(); daemons],
            by_kind: true,
            isolated: 0,
            random,
            round: 0,
            admitted: Vec::new(),
        }
    }

    fn watchers(&self, zone: usize) -> impl Iterator<Item = usize> {
        let all = self.quotas.len();
        (all.saturating_sub(2 * ZONES)..all).filter(move |at| at % ZONES == zone)
    }

    fn report(&self, from: usize, now: Instant, uses: Vec<TeamUse>) -> PeerReport {
        PeerReport {
            name: format!("d{from:03}").into(),
            zone: (from % ZONES) as u32,
            incarnation: self.lives[from].0,
            received: now,
            started: self.lives[from].1,
            coverage: Coverage::default(),
            uses,
        }
    }

    fn demands(&self, demands: &TeamDemands) -> TeamDemands {
        if self.by_kind {
            demands.clone()
        } else {
            Vec::new()
        }
    }

    fn exchange(&mut self, now: Instant) {
        let every = (PERIOD.as_micros() / STEP.as_micros()) as u32;
        for from in self.isolated..self.quotas.len() {
            if !(self.round + from as u32 * 7).is_multiple_of(every) {
                continue;
            }
            let quota = &self.quotas[from];
            self.sent[from] = (quota.all_uses(now), quota.own_demands(now));
            let own = self.report(from, now, quota.team_uses(now));
            let demands = self.demands(&self.sent[from].1);
            let zone = from % ZONES;
            let watchers: Vec<usize> = self.watchers(zone).collect();
            for to in watchers.iter().filter(|to| **to != from) {
                let reporter = Reporter::Daemon(zone as u32, own.name.clone());
                self.quotas[*to].merge_report(&own, PERIOD * 4);
                self.quotas[*to].merge_demands(&reporter, demands.clone());
            }
            if watchers.contains(&from) {
                self.send_sums(from, &watchers, now);
            }
        }
        self.round += 1;
    }

    fn sum_report(&self, from: usize, sum: Sum, now: Instant) -> (PeerReport, TeamDemands) {
        let report = PeerReport {
            coverage: sum.coverage,
            ..self.report(from, now, sum.uses)
        };
        (report, self.demands(&sum.demands))
    }

    fn send_sums(&mut self, from: usize, watchers: &[usize], now: Instant) {
        let zone = from % ZONES;
        let sum = self.quotas[from].zone_sum(zone as u32, now);
        let (report, demands) = self.sum_report(from, sum, now);
        for to in (0..ZONES).filter(|other| *other != zone) {
            for to in self.watchers(to).collect::<Vec<_>>() {
                self.quotas[to].merge_zone(&report, PERIOD * 4);
                self.quotas[to].merge_demands(&Reporter::Zone(zone as u32), demands.clone());
            }
        }
        let sum = self.quotas[from].fleet_sum(now);
        let (report, demands) = self.sum_report(from, sum, now);
        let daemons = (self.isolated..self.quotas.len().saturating_sub(2 * ZONES))
            .filter(|to| to % ZONES == zone);
        for to in daemons.filter(|to| watchers[to / ZONES % watchers.len()] == from) {
            let (uses, own) = &self.sent[to];
            let mut others = report.clone();
            others.uses = Quota::without_own(others.uses, uses);
            others.coverage.daemons -= 1;
            let demands = without_own(demands.clone(), own);
            self.quotas[to].merge_fleet(&others, PERIOD * 4);
            self.quotas[to].merge_demands(&Reporter::Fleet, demands);
        }
    }

    /// Sends a mix for a `span` through the daemons that `pick` names; returns for each kind how many
    /// requests there were and how many of them were rejected.
    fn send(
        &mut self,
        mix: &Mix,
        span: Duration,
        pick: fn(&mut fastrand::Rng, usize) -> usize,
    ) -> [(u32, u32); 4] {
        let rate = self.team.rate.unwrap_or_default();
        let mut counts = [(0, 0); 4];
        let end = self.round + (span.as_micros() / STEP.as_micros()) as u32;
        while self.round < end {
            let now = self.start + STEP * self.round;
            self.exchange(now);
            for ((cost, share), count) in mix.iter().zip(&mut counts) {
                let mut expected = rate * share / cost.units * STEP.as_secs_f64();
                while self.random.f64() < expected {
                    expected -= 1.0;
                    let at = pick(&mut self.random, self.quotas.len());
                    count.0 += 1;
                    match self.quotas[at].admit(&self.team, *cost, now) {
                        Ok(()) => self.admitted.push((now, cost.units)),
                        Err(_) => count.1 += 1,
                    }
                }
            }
        }
        counts
    }

    /// Most units admitted in a window, as a share of the allowance with its tolerance.
    fn most(&self) -> f64 {
        let rate = self.team.rate.unwrap_or_default();
        let allowed =
            rate * (WINDOW.as_secs_f64() + 1.0) * (1.0 + TOLERANCE.share) + TOLERANCE.units;
        let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
        for (at, units) in &self.admitted {
            sum += units;
            while self.admitted[first].0 + WINDOW <= *at {
                sum -= self.admitted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most / allowed
    }
}

fn even(random: &mut fastrand::Rng, daemons: usize) -> usize {
    random.usize(..daemons)
}

/// Four of five requests come through a tenth of the daemons.
fn skewed(random: &mut fastrand::Rng, daemons: usize) -> usize {
    if random.f64() < 0.8 {
        random.usize(..daemons.div_ceil(10))
    } else {
        random.usize(..daemons)
    }
}

/// Part of the requests that was rejected.
fn rejected((all, rejected): (u32, u32)) -> f64 {
    f64::from(rejected) / f64::from(all.max(1))
}

/// Daemons, rates of the team, and seeds.
const FLEETS: [(usize, f64, u64); 5] = [
    (1, 746_631.0, 1),
    (66, 746_631.0, 2),
    (66, 240_000.0, 3),
    (66, 746_631.0, 4),
    (1000, 64_800.0, 5),
];

/// A team sends seven times its usual load, most of it in long prompts. If all were rejected alike,
/// most of its payments and chats would fail, which need a third of its rate.
#[test]
fn short_requests_of_a_flooding_team_are_served() {
    for (daemons, rate, seed) in FLEETS {
        let mut fleet = Fleet::new(daemons, rate, seed);
        fleet.send(&mix(0.55), WINDOW * 2, even);
        fleet.send(&mix(4.1), WARM_UP, even);
        let counts = fleet.send(&mix(4.1), WINDOW * 2, even);
        let seen = format!("{counts:?}, {daemons} daemons, seed {seed}");
        assert_eq!(counts[PAYMENTS].1, 0, "{seen}");
        assert_eq!(counts[CHATS].1, 0, "{seen}");
        assert!(rejected(counts[LETTERS]) < 0.97, "{seen}");
        let most = fleet.most();
        assert!(
            (0.7..=1.0).contains(&most),
            "{most} of what is allowed, {seen}"
        );
    }
}

/// Only the letters of a team flood. What the other kinds ask is within the team's rate, and none of
/// it may be lost to the letters.
#[test]
fn a_kind_that_floods_takes_nothing_from_the_others() {
    for (daemons, rate, seed) in FLEETS {
        let mut fleet = Fleet::new(daemons, rate, seed);
        fleet.send(&mix(0.55), WINDOW * 2, even);
        let mut flood = mix(0.55);
        flood[LETTERS].1 *= 12.0;
        fleet.send(&flood, WARM_UP, even);
        let counts = fleet.send(&flood, WINDOW * 2, even);
        let seen = format!("{counts:?}, {daemons} daemons, seed {seed}");
        assert!(counts[..LETTERS].iter().all(|row| row.1 == 0), "{seen}");
        let most = fleet.most();
        assert!(
            (0.7..=1.0).contains(&most),
            "{most} of what is allowed, {seen}"
        );
    }
}

/// Most connections of a flooding team end at a tenth of the daemons. Its short requests must find
/// the same room there as at the others.
#[test]
fn short_requests_are_served_where_connections_are_skewed() {
    for (daemons, rate, seed) in FLEETS {
        let mut fleet = Fleet::new(daemons, rate, seed);
        fleet.send(&mix(0.55), WINDOW * 2, skewed);
        fleet.send(&mix(4.1), WARM_UP, skewed);
        let counts = fleet.send(&mix(4.1), WINDOW * 2, skewed);
        let seen = format!("{counts:?}, {daemons} daemons, seed {seed}");
        assert_eq!(counts[PAYMENTS].1 + counts[CHATS].1, 0, "{seen}");
        let most = fleet.most();
        assert!(
            (0.7..=1.0).contains(&most),
            "{most} of what is allowed, {seen}"
        );
    }
}

/// Half of the daemons are isolated, each from all others, while a team floods. Each keeps to an even
/// part of the window, and some have spent theirs before; from then on they have to prefer short
/// requests by what they see themselves.
#[test]
fn isolated_daemons_divide_by_what_they_see() {
    for (daemons, rate, seed) in [(66, 746_631.0, 1), (66, 240_000.0, 2), (1000, 64_800.0, 3)] {
        let mut fleet = Fleet::new(daemons, rate, seed);
        fleet.send(&mix(0.55), WINDOW * 2, even);
        fleet.send(&mix(4.1), WARM_UP, even);
        fleet.send(&mix(4.1), WINDOW, even);
        fleet.isolated = daemons / 2;
        fleet.send(&mix(4.1), WINDOW, even);
        let counts = fleet.send(&mix(4.1), WINDOW, even);
        let seen = format!("{counts:?}, {daemons} daemons, seed {seed}");
        assert!(rejected(counts[PAYMENTS]) < 0.1, "{seen}");
        assert!(
            rejected(counts[PAYMENTS]) < rejected(counts[LETTERS]) / 5.0,
            "{seen}"
        );
        fleet.isolated = 0;
        fleet.send(&mix(4.1), WINDOW, even);
        let most = fleet.most();
        assert!(most <= 1.0, "{most} of what is allowed, {seen}");
    }
}

/// Guards against a team that gets more than its allowance when half of the daemons are isolated as soon
/// as its flood is known.
#[test]
fn a_flood_stays_in_the_allowance_if_half_are_isolated_at_its_begin() {
    for (daemons, rate, seed) in [(66, 746_631.0, 1), (66, 240_000.0, 2), (1000, 64_800.0, 3)] {
        let mut fleet = Fleet::new(daemons, rate, seed);
        fleet.send(&mix(0.55), WINDOW * 2, even);
        fleet.send(&mix(4.1), WARM_UP, even);
        fleet.isolated = daemons / 2;
        fleet.send(&mix(4.1), WINDOW * 2, even);
        let most = fleet.most();
        assert!(most <= 1.0, "{most} of what is allowed, {daemons} daemons");
    }
}

/// Daemons of an earlier version report no demand by kind. The sum must stay within the allowance,
/// and as much of it be used, as if all requests were of one kind.
#[test]
fn without_reports_by_kind_all_requests_are_treated_alike() {
    let mut fleet = Fleet::new(66, 746_631.0, 1);
    fleet.by_kind = false;
    fleet.send(&mix(0.55), WINDOW * 2, even);
    fleet.send(&mix(4.1), WARM_UP, even);
    fleet.send(&mix(4.1), WINDOW * 2, even);
    let most = fleet.most();
    assert!((0.7..=1.0).contains(&most), "{most} of what is allowed");
}

/// A third of the daemons is killed and starts again in the middle of a flood. They must serve short
/// requests as soon as they hear the others, though they have seen none of the demand themselves.
#[test]
fn daemons_that_start_in_a_flood_divide_by_the_first_report() {
    let mut fleet = Fleet::new(66, 746_631.0, 1);
    fleet.send(&mix(0.55), WINDOW * 2, even);
    fleet.send(&mix(4.1), WINDOW, even);
    let now = fleet.start + STEP * fleet.round;
    for at in 0..22 {
        fleet.quotas[at] = Quota::new(WINDOW, TOLERANCE, now);
        fleet.quotas[at].set_teams(std::slice::from_ref(&fleet.team));
        fleet.lives[at] = (2, now);
    }
    fleet.send(&mix(4.1), WARM_UP, even);
    let counts = fleet.send(&mix(4.1), WINDOW, even);
    assert_eq!(counts[PAYMENTS].1 + counts[CHATS].1, 0, "{counts:?}");
    let most = fleet.most();
    assert!(most <= 1.0, "{most} of what is allowed, {counts:?}");
}

/// Reports stay short when many teams flood at once, and are empty when none does.
#[test]
fn reports_by_kind_are_bounded() {
    let start = Instant::now();
    let teams: Vec<Team> = (0..333)
        .map(|at| Team {
            name: format!("team{at}").into(),
            ..team(64_800.0)
        })
        .collect();
    let mut quota = Quota::new(WINDOW, TOLERANCE, start);
    quota.set_watcher(true, start);
    quota.set_teams(&teams);
    let length =
        |demands: &TeamDemands| -> usize { demands.iter().map(|row| row.1.to_row().len()).sum() };
    let now = start + WINDOW;
    for team in &teams {
        let _ = quota.admit(team, 20_000.0, now);
    }
    assert!(quota.fleet_sum(now).demands.is_empty());
    for team in &teams {
        for rank in 0..4 {
            let _ = quota.admit(
                team,
                Cost {
                    units: 900_000.0,
                    rank,
                },
                now,
            );
        }
    }
    let sum = quota.fleet_sum(now).demands;
    assert!(
        sum.len() <= 32 && length(&sum) <= 32 * KINDS,
        "{}",
        sum.len()
    );
    assert!(quota.own_demands(now).len() <= 32);
}

fn demands(rows: &[(u8, f64, f64)]) -> Demands {
    let mut demands = Demands::default();
    for (rank, units, demand) in rows {
        let cost = Cost {
            units: *units,
            rank: *rank,
        };
        demands.add(Kind::of(cost), *demand);
    }
    demands
}

/// Ranks of routes may be missing, which makes them the most urgent, or beyond those that are told
/// apart; rates and demands may be absurd. None of it may stop requests or lift the limit.
#[test]
fn absurd_values_neither_starve_nor_lift_the_limit() {
    let two = demands(&[(0, 200.0, 50.0), (2, 20_000.0, 950.0)]);
    for rate in [0.0, -1.0, f64::NAN, f64::NEG_INFINITY] {
        assert_eq!(Division::new(rate, 1000.0, &two), None, "{rate}");
    }
    for demand in [f64::NAN, f64::INFINITY, 0.0, -5.0] {
        assert_eq!(Division::new(100.0, demand, &two), None, "{demand}");
    }
    let last = Kind::of(Cost {
        units: 1.0,
        rank: 2,
    });
    assert_eq!(
        Kind::of(Cost {
            units: 1.0,
            rank: 255
        }),
        last
    );
    let start = Instant::now();
    for rate in [f64::MIN_POSITIVE, f64::MAX] {
        let mut quota = Quota::new(WINDOW, TOLERANCE, start);
        let team = team(rate);
        quota.set_teams(std::slice::from_ref(&team));
        for round in 0..100 {
            let now = start + WINDOW + STEP * round;
            let _ = quota.admit(
                &team,
                Cost {
                    units: 200.0,
                    rank: 0,
                },
                now,
            );
            let _ = quota.admit(
                &team,
                Cost {
                    units: 90_000.0,
                    rank: 200,
                },
                now,
            );
        }
    }
}

/// A row of a later version may have more kinds, one of an earlier version has none.
#[test]
fn rows_of_other_versions_are_decoded() {
    let known = demands(&[(1, 200.0, 50.0), (2, 20_000.0, 950.0)]);
    assert_eq!(Demands::from_row(&known.to_row()), known);
    let mut longer = known.to_row();
    longer.push(77);
    assert_eq!(Demands::from_row(&longer), known);
    assert_eq!(Demands::from_row(&[]), Demands::default());
    assert!(Demands::default().to_row().is_empty());
}

proptest! {
    #![proptest_config(testutils::fixed(256))]

    /// Whatever the kinds ask, the whole rate is given out and no more, each kind gets its fair share
    /// or all that it asks, and no kind gets more for its weight than one that lacks some.
    #[test]
    fn a_division_is_weighted_max_min(row in prop::collection::vec(0_u32..100_000, KINDS), part in 0.01_f64..0.99) {
        let known = Demands::from_row(&row);
        let demand = known.sum();
        let rate = demand * part;
        let Some(division) = Division::new(rate, demand, &known) else {
            prop_assert!(row.iter().filter(|units| **units > 0).count() < 2);
            return Ok(());
        };
        let weights = [4.0, 2.0, 1.0];
        let kinds = (0..3_u8).flat_map(|rank| [200.0, 2000.0, 20_000.0].map(|units| Cost { units, rank }));
        let rows: Vec<(f64, f64, f64)> = kinds
            .map(|cost| (cost, Kind::of(cost)))
            .map(|(cost, kind)| (weights[usize::from(cost.rank)], known.of(kind), division.share(kind)))
            .filter(|row| row.1 > 0.0)
            .collect();
        let sum: f64 = rows.iter().map(|row| row.2).sum();
        prop_assert!((sum - rate).abs() <= rate * 1e-9, "{sum} of {rate}");
        let all: f64 = rows.iter().map(|row| row.0).sum();
        for (weight, demand, share) in &rows {
            let fair = (rate * weight / all).min(*demand);
            prop_assert!(*share >= fair * (1.0 - 1e-9) && *share <= demand * (1.0 + 1e-9));
            let lacks = *share < demand * (1.0 - 1e-9);
            let most = rows.iter().map(|row| row.2 / row.0).fold(0.0, f64::max);
            prop_assert!(!lacks || share / weight >= most * (1.0 - 1e-9));
        }
    }
}
