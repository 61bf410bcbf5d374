//! Allowances over hundreds of daemons, whose digests reach one another late.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::catalog::{Team, Unit};
use poplarvale_lib::relay::quota::{PeerReport, Quota, Spent, TeamUse, Tolerance};

const WINDOW: Duration = Duration::from_secs(8);
const DAEMONS: usize = 195;
const ZONES: usize = 6;
/// Time between two digests of one daemon to those of other zones.
const FAR_PERIOD: Duration = Duration::from_millis(1560);
/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(4);
const TOLERANCE: Tolerance = Tolerance {
    share: 0.1,
    units: 140_000.0,
};

fn team(rate: f64) -> Team {
    Team {
        name: "club".into(),
        rate: Some(rate),
        burst: rate,
        unit: Unit::Tokens(200.0),
        ..Team::default()
    }
}

/// Report of a daemon that started at `start`.
fn report(from: usize, now: Instant, start: Instant, uses: Vec<TeamUse>) -> PeerReport {
    PeerReport {
        name: format!("d{from:03}").into(),
        zone: (from % ZONES) as u32,
        incarnation: 1,
        received: now,
        started: start,
        uses,
    }
}

/// Time between two digests within a zone, and between two summaries of a zone.
const NEAR_PERIOD: Duration = Duration::from_millis(264);
/// Number of daemons that are isolated from all others, some of each zone.
const ISOLATED: usize = 60;

/// Daemons that exchange digests as on a real platform: full ones within the zone, rare
/// ones to other zones, and summaries of each zone by two of its daemons.
struct Fleet {
    start: Instant,
    /// Last start of the daemons.
    restarted: Instant,
    quotas: Vec<Quota>,
    random: fastrand::Rng,
    rounds: u32,
    /// When the isolation of some daemons begins and ends.
    isolation: Option<(Instant, Instant)>,
    /// Times and units of admitted requests.
    admitted: Vec<(Instant, f64)>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let start = Instant::now();
        let mut random = fastrand::Rng::with_seed(seed);
        let mut quota = |_| Quota::new(WINDOW, TOLERANCE, start).with_phase(random.f64());
        Self {
            start,
            restarted: start,
            quotas: (0..DAEMONS).map(&mut quota).collect(),
            random,
            rounds: 0,
            isolation: None,
            admitted: Vec::new(),
        }
    }

    /// Exchanges the digests that are due in this time step.
    fn exchange(&mut self, now: Instant) {
        let (near, far) = ((NEAR_PERIOD.as_micros() / STEP.as_micros()) as u32, 6);
        let isolated = self
            .isolation
            .is_some_and(|(from, to)| now >= from && now < to);
        let first = if isolated { ISOLATED } else { 0 };
        for from in first..DAEMONS {
            let turn = self.rounds + from as u32 * 7;
            if !turn.is_multiple_of(near) {
                continue;
            }
            let zone = from % ZONES;
            let reaches_all = (turn / near).is_multiple_of(far);
            let uses = self.quotas[from].team_uses(now);
            let summary = self.quotas[from].zone_summary(zone as u32, now);
            for to in (first..DAEMONS).filter(|to| *to != from) {
                let is_near = to % ZONES == zone;
                if is_near || reaches_all {
                    let report_timeout = if is_near {
                        NEAR_PERIOD
                    } else {
                        NEAR_PERIOD * far
                    } * 4;
                    let report = PeerReport {
                        incarnation: u64::from(self.restarted != self.start),
                        ..report(from, now, self.restarted, uses.clone())
                    };
                    self.quotas[to].merge_report(&report, report_timeout);
                }
                // The two watchers of a zone are daemons that are never isolated here.
                if !is_near && (DAEMONS - 2 * ZONES..).contains(&from) {
                    self.quotas[to].merge_zone(zone as u32, summary.clone(), NEAR_PERIOD * 4, now);
                }
            }
        }
        self.rounds += 1;
    }

    /// Requests `rate` units a second in long prompts through all daemons for a `span`;
    /// returns the number of requests and how many of them were rejected.
    fn send(&mut self, team: &Team, rate: f64, span: Duration) -> (u32, u32) {
        const MEAN: f64 = 12_000.0;
        let (mut all, mut rejected) = (0, 0);
        let end = self.rounds + (span.as_micros() / STEP.as_micros()) as u32;
        while self.rounds < end {
            let now = self.start + STEP * self.rounds;
            self.exchange(now);
            let mut expected = rate / MEAN * STEP.as_secs_f64();
            while self.random.f64() < expected {
                expected -= 1.0;
                let factor = -self.random.f64().max(1e-3).ln();
                let units = 2000.0 + (MEAN - 2000.0) * factor;
                let at = self.random.usize(..DAEMONS);
                all += 1;
                if self.quotas[at].admit(team, units, now).is_ok() {
                    self.admitted.push((now, units));
                } else {
                    rejected += 1;
                }
            }
        }
        (all, rejected)
    }

    /// Kills all daemons and starts them again a second later, with the checkpoint `saved`
    /// that one of them wrote earlier.
    fn restart(&mut self, saved: &[Spent]) {
        self.rounds += (1.0 / STEP.as_secs_f64()) as u32;
        self.restarted = self.start + STEP * self.rounds;
        for quota in &mut self.quotas {
            *quota = Quota::new(WINDOW, TOLERANCE, self.restarted).with_phase(self.random.f64());
            quota.restore(saved.to_vec(), DAEMONS as u32, self.restarted);
        }
    }

    /// Most units admitted in a window, as a share of the allowance with its tolerance.
    fn most(&self, team: &Team) -> f64 {
        let rate = team.rate.unwrap_or_default();
        let allowed = rate * WINDOW.as_secs_f64() + team.burst;
        let allowed = allowed * (1.0 + TOLERANCE.share) + TOLERANCE.units;
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

/// A team that uses 195 daemons begins to send six times its usual load. What all daemons
/// admit before their digests show the flood must not exceed what the team bought.
#[test]
fn a_flood_over_hundreds_of_daemons_stays_within_the_allowance() {
    let team = team(746_631.0);
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        fleet.send(&team, 0.55 * 746_631.0, WINDOW);
        let (all, rejected) = fleet.send(&team, 0.55 * 746_631.0, WINDOW);
        assert!(rejected * 100 < all, "{rejected} of {all}, seed {seed}");
        fleet.admitted.clear();
        fleet.send(&team, 3.3 * 746_631.0, WINDOW * 2);
        let most = fleet.most(&team);
        assert!(most <= 1.0, "{most} of what is allowed, seed {seed}");
        assert!(most >= 0.7, "{most} of what is allowed, seed {seed}");
    }
}

/// All of 195 daemons are killed in the middle of a flood and start again a second later
/// with a checkpoint that is half a second old. Most digests arrive only after a while, and
/// no daemon may take the few peers that it hears from for the whole fleet.
#[test]
fn a_flood_across_a_restart_of_hundreds_of_daemons_stays_within_the_allowance() {
    let team = team(746_631.0);
    for (seed, known) in [(1, 500), (2, 2500), (3, 6500)] {
        let mut fleet = Fleet::new(seed);
        fleet.send(&team, 0.55 * 746_631.0, WINDOW * 2);
        fleet.send(&team, 3.3 * 746_631.0, Duration::from_millis(known));
        let now = fleet.start + STEP * fleet.rounds;
        let saved = fleet.quotas[DAEMONS - 1].checkpoint(now);
        fleet.send(&team, 3.3 * 746_631.0, Duration::from_millis(530));
        fleet.restart(&saved);
        fleet.send(&team, 3.3 * 746_631.0, WINDOW * 2);
        let most = fleet.most(&team);
        assert!(most <= 1.0, "{most} of what is allowed, seed {seed}");
    }
}

/// A third of 195 daemons is isolated, each from all others, in the middle of a flood. They
/// and the rest receive no digests of one another any more, and together they must stay
/// within the allowance.
#[test]
fn a_partition_in_a_flood_over_hundreds_of_daemons_stays_within_the_allowance() {
    let team = team(746_631.0);
    let mut fleet = Fleet::new(5);
    fleet.send(&team, 0.55 * 746_631.0, WINDOW * 2);
    let now = fleet.start + WINDOW * 2;
    fleet.isolation = Some((now + WINDOW / 16, now + WINDOW));
    fleet.send(&team, 3.3 * 746_631.0, WINDOW * 2);
    let most = fleet.most(&team);
    assert!(most <= 1.0, "{most} of what is allowed");
}

/// A team requests half of its allowance in long prompts, through 195 daemons that exchange
/// digests every 1.6 s. Fewer than one request in a hundred may be rejected: the team bought
/// that much.
#[test]
fn a_calm_team_is_admitted_by_hundreds_of_daemons() {
    let start = Instant::now();
    let team = team(746_631.0);
    let mut quotas: Vec<Quota> = (0..DAEMONS)
        .map(|_| Quota::new(WINDOW, TOLERANCE, start))
        .collect();
    let mut random = fastrand::Rng::with_seed(11);
    let (mut all, mut rejected) = (0, 0);
    let mut next = 0;
    for round in 0..5000_u32 {
        let now = start + STEP * round;
        while FAR_PERIOD.mul_f64(next as f64 / DAEMONS as f64) <= STEP * round {
            let from = next % DAEMONS;
            let uses = quotas[from].team_uses(now);
            for to in (0..DAEMONS).filter(|to| *to != from) {
                quotas[to].merge_report(&report(from, now, start, uses.clone()), FAR_PERIOD * 4);
            }
            next += 1;
        }
        // 34 requests a second of 12,000 units in the mean: 0.55 of the rate.
        if random.f64() < 34.0 * STEP.as_secs_f64() {
            let units = 2000.0 + 10_000.0 * -random.f64().max(1e-3).ln();
            let result = quotas[random.usize(..DAEMONS)].admit(&team, units, now);
            if now >= start + WINDOW {
                all += 1;
                rejected += u32::from(result.is_err());
            }
        }
    }
    assert!(rejected * 100 < all, "{rejected} of {all}");
}
