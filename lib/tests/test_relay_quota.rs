//! Allowances over hundreds of daemons, which hear one another late.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::catalog::{Team, Unit};
use poplarvale_lib::relay::quota::{Quota, Spent, Told, Tolerance, Use};

const WINDOW: Duration = Duration::from_secs(8);
const DAEMONS: usize = 195;
const ZONES: usize = 6;
/// Time between two digests of one daemon to those of other zones.
const FAR: Duration = Duration::from_millis(1560);
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

fn told(from: usize, now: Instant, start: Instant, uses: Vec<Use>) -> Told {
    Told {
        name: format!("d{from:03}").into(),
        zone: (from % ZONES) as u32,
        incarnation: 1,
        heard: now,
        started: start,
        uses,
    }
}

/// Time between two digests within a zone, and between words on a zone as a whole.
const NEAR: Duration = Duration::from_millis(264);
/// Daemons that are cut off, each by itself: some of each zone.
const CUT: usize = 60;

/// Daemons that tell one another as they do on a platform: whole digests within the
/// zone, seldom ones beyond it, and words of two daemons on their zone as a whole.
struct Fleet {
    start: Instant,
    /// When the daemons started last.
    life: Instant,
    quotas: Vec<Quota>,
    random: fastrand::Rng,
    rounds: u32,
    /// While some daemons are cut off.
    cut: Option<(Instant, Instant)>,
    /// When requests were let in, and their units.
    through: Vec<(Instant, f64)>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let start = Instant::now();
        let mut random = fastrand::Rng::with_seed(seed);
        let mut quota = |_| Quota::new(WINDOW, TOLERANCE, start).with_phase(random.f64());
        Self {
            start,
            life: start,
            quotas: (0..DAEMONS).map(&mut quota).collect(),
            random,
            rounds: 0,
            cut: None,
            through: Vec::new(),
        }
    }

    /// Tells what is due at a step of time.
    fn tell(&mut self, now: Instant) {
        let (near, far) = ((NEAR.as_micros() / STEP.as_micros()) as u32, 6);
        let cut = self.cut.is_some_and(|(from, to)| now >= from && now < to);
        let first = if cut { CUT } else { 0 };
        for from in first..DAEMONS {
            let turn = self.rounds + from as u32 * 7;
            if !turn.is_multiple_of(near) {
                continue;
            }
            let zone = from % ZONES;
            let all = (turn / near).is_multiple_of(far);
            let uses = self.quotas[from].tell(now);
            let word = self.quotas[from].tell_zone(zone as u32, now);
            for to in (first..DAEMONS).filter(|to| *to != from) {
                let is_near = to % ZONES == zone;
                if is_near || all {
                    let silent = if is_near { NEAR } else { NEAR * far } * 4;
                    let told = Told {
                        incarnation: u64::from(self.life != self.start),
                        ..told(from, now, self.life, uses.clone())
                    };
                    self.quotas[to].hear(&told, silent);
                }
                // The two watchers of a zone are daemons that are never cut off here.
                if !is_near && (DAEMONS - 2 * ZONES..).contains(&from) {
                    self.quotas[to].hear_zone(zone as u32, word.clone(), NEAR * 4, now);
                }
            }
        }
        self.rounds += 1;
    }

    /// Asks for `rate` units a second in long prompts, through all daemons, for a while;
    /// gives how many requests there were and how many were refused.
    fn ask(&mut self, team: &Team, rate: f64, span: Duration) -> (u32, u32) {
        const MEAN: f64 = 12_000.0;
        let (mut all, mut refused) = (0, 0);
        let end = self.rounds + (span.as_micros() / STEP.as_micros()) as u32;
        while self.rounds < end {
            let now = self.start + STEP * self.rounds;
            self.tell(now);
            let mut expected = rate / MEAN * STEP.as_secs_f64();
            while self.random.f64() < expected {
                expected -= 1.0;
                let drawn = -self.random.f64().max(1e-3).ln();
                let units = 2000.0 + (MEAN - 2000.0) * drawn;
                let at = self.random.usize(..DAEMONS);
                all += 1;
                if self.quotas[at].take(team, units, now).is_ok() {
                    self.through.push((now, units));
                } else {
                    refused += 1;
                }
            }
        }
        (all, refused)
    }

    /// Kills all daemons and starts them a second later on a checkpoint that one of them
    /// wrote before what was `unsaved`.
    fn restart(&mut self, saved: &[Spent]) {
        self.rounds += (1.0 / STEP.as_secs_f64()) as u32;
        self.life = self.start + STEP * self.rounds;
        for quota in &mut self.quotas {
            *quota = Quota::new(WINDOW, TOLERANCE, self.life).with_phase(self.random.f64());
            quota.restore(saved.to_vec(), DAEMONS as u32, self.life);
        }
    }

    /// Most units in a window, as a share of what the users' bound allows.
    fn most(&self, team: &Team) -> f64 {
        let rate = team.rate.unwrap_or_default();
        let allowed = rate * WINDOW.as_secs_f64() + team.burst;
        let allowed = allowed * (1.0 + TOLERANCE.share) + TOLERANCE.units;
        let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
        for (at, units) in &self.through {
            sum += units;
            while self.through[first].0 + WINDOW <= *at {
                sum -= self.through[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most / allowed
    }
}

/// A team that is let in by 195 daemons begins to send six times its usual. What all let
/// in before they know must not exceed what it bought.
#[test]
fn a_flood_over_hundreds_of_daemons_stays_within_the_allowance() {
    let team = team(746_631.0);
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        fleet.ask(&team, 0.55 * 746_631.0, WINDOW);
        let (all, refused) = fleet.ask(&team, 0.55 * 746_631.0, WINDOW);
        assert!(refused * 100 < all, "{refused} of {all}, seed {seed}");
        fleet.through.clear();
        fleet.ask(&team, 3.3 * 746_631.0, WINDOW * 2);
        let most = fleet.most(&team);
        assert!(most <= 1.0, "{most} of what is allowed, seed {seed}");
        assert!(most >= 0.7, "{most} of what is allowed, seed {seed}");
    }
}

/// All of 195 daemons are killed in the middle of a flood, and start a second later on a
/// checkpoint that is half a second old. Most of them hear one another only after a while,
/// and each must not take the few that it hears for all there are.
#[test]
fn a_flood_across_a_restart_of_hundreds_of_daemons_stays_within_the_allowance() {
    let team = team(746_631.0);
    for (seed, known) in [(1, 500), (2, 2500), (3, 6500)] {
        let mut fleet = Fleet::new(seed);
        fleet.ask(&team, 0.55 * 746_631.0, WINDOW * 2);
        fleet.ask(&team, 3.3 * 746_631.0, Duration::from_millis(known));
        let now = fleet.start + STEP * fleet.rounds;
        let saved = fleet.quotas[DAEMONS - 1].checkpoint(now);
        fleet.ask(&team, 3.3 * 746_631.0, Duration::from_millis(530));
        fleet.restart(&saved);
        fleet.ask(&team, 3.3 * 746_631.0, WINDOW * 2);
        let most = fleet.most(&team);
        assert!(most <= 1.0, "{most} of what is allowed, seed {seed}");
    }
}

/// A third of 195 daemons is cut off, each by itself, in the middle of a flood. They and
/// the rest do not hear of one another any more, and stay within the allowance together.
#[test]
fn a_cut_in_a_flood_over_hundreds_of_daemons_stays_within_the_allowance() {
    let team = team(746_631.0);
    let mut fleet = Fleet::new(5);
    fleet.ask(&team, 0.55 * 746_631.0, WINDOW * 2);
    let now = fleet.start + WINDOW * 2;
    fleet.cut = Some((now + WINDOW / 16, now + WINDOW));
    fleet.ask(&team, 3.3 * 746_631.0, WINDOW * 2);
    let most = fleet.most(&team);
    assert!(most <= 1.0, "{most} of what is allowed");
}

/// A team asks for half of its allowance in long prompts, through 195 daemons that tell
/// one another every 1.6 s. None of them may refuse it: its customers bought that much.
#[test]
fn a_calm_team_is_let_in_by_hundreds_of_daemons() {
    let start = Instant::now();
    let team = team(746_631.0);
    let mut quotas: Vec<Quota> = (0..DAEMONS)
        .map(|_| Quota::new(WINDOW, TOLERANCE, start))
        .collect();
    let mut random = fastrand::Rng::with_seed(11);
    let (mut all, mut refused) = (0, 0);
    let mut next = 0;
    for round in 0..5000_u32 {
        let now = start + STEP * round;
        while FAR.mul_f64(next as f64 / DAEMONS as f64) <= STEP * round {
            let from = next % DAEMONS;
            let uses = quotas[from].tell(now);
            for to in (0..DAEMONS).filter(|to| *to != from) {
                quotas[to].hear(&told(from, now, start, uses.clone()), FAR * 4);
            }
            next += 1;
        }
        // 34 requests a second of 12,000 units in the mean: 0.55 of the rate.
        if random.f64() < 34.0 * STEP.as_secs_f64() {
            let units = 2000.0 + 10_000.0 * -random.f64().max(1e-3).ln();
            let taken = quotas[random.usize(..DAEMONS)].take(&team, units, now);
            if now >= start + WINDOW {
                all += 1;
                refused += u32::from(taken.is_err());
            }
        }
    }
    assert!(refused * 100 < all, "{refused} of {all}");
}
