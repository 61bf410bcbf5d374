//! Division of short engines among teams, by the use that daemons report.

use std::time::{Duration, Instant};

use poplarvale_lib::ServiceId;
use poplarvale_lib::relay::admit::Limits;
use poplarvale_lib::relay::catalog::{Team, Unit};
use poplarvale_lib::relay::fair_share::{FairShares, TeamLoad};
use poplarvale_lib::relay::max_min::{Claim, divide};
use poplarvale_lib::relay::quota::{Quota, Tolerance, name_hash};

const TARGET: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(8);
/// Rank of all requests.
const RANK: u8 = 4;
/// Allowance of each team, in units a second.
const ALLOWANCE: f64 = 18_000.0;
/// What a team requests on an ordinary day, in units a second.
const USUAL: f64 = 10_000.0;
/// What a flooding team requests.
const FLOOD: f64 = 80_000.0;
/// Units of one request.
const UNITS: f64 = 200.0;
const TEAMS: usize = 5;

fn engines() -> ServiceId {
    "engines".into()
}

fn load(team: u32, demand: f64, rate: f64) -> TeamLoad {
    TeamLoad {
        team,
        allowance: ALLOWANCE,
        demand,
        rate,
    }
}

/// Shares of the teams after one division.
fn shares(loads: &[TeamLoad]) -> Vec<f64> {
    let now = Instant::now();
    let mut shares = FairShares::default();
    shares.record_busy(&engines(), now);
    shares.update(loads, now);
    let share = |load: &TeamLoad| shares.share(load.team, &engines(), now);
    loads.iter().map(share).collect()
}

/// Guards against a demand that is left unserved while another one gets more than it uses.
#[test]
fn what_one_claim_leaves_goes_to_the_others() {
    let claim = |weight, demand| Claim { weight, demand };
    let claims = [claim(1.0, 2.0), claim(1.0, 20.0), claim(2.0, 20.0)];
    let parts = divide(&claims, 17.0);
    assert_eq!(parts, [2.0, 5.0, 10.0]);
}

/// Guards against limits for anybody while there is room for all.
#[test]
fn all_queues_are_open_while_engines_suffice() {
    let shares = shares(&[load(1, 10_000.0, 10_000.0), load(2, 80_000.0, 18_000.0)]);
    assert_eq!(shares, [1.0, 1.0]);
}

/// Guards against teams within their part that are rejected as often as the one that floods.
#[test]
fn only_teams_over_their_part_are_limited_while_engines_are_short() {
    let shares = shares(&[
        load(1, 6_000.0, 5_000.0),
        load(2, 7_500.0, 7_000.0),
        load(3, 90_000.0, 10_000.0),
    ]);
    assert_eq!(shares[..2], [1.0, 1.0]);
    assert!(shares[2] < 1.0);
}

/// Guards against shorter queues for everybody where no team floods.
#[test]
fn nobody_is_limited_while_all_request_too_much_alike() {
    let shares = shares(&[
        load(1, 12_000.0, 7_000.0),
        load(2, 13_000.0, 6_000.0),
        load(3, 12_500.0, 6_500.0),
    ]);
    assert_eq!(shares, [1.0, 1.0, 1.0]);
}

/// Guards against rejections at engines that have room, as demand and use are measured over different
/// spans.
#[test]
fn nobody_is_limited_where_no_queue_was_too_long() {
    let now = Instant::now();
    let mut shares = FairShares::default();
    shares.record_busy(&"others".into(), now);
    shares.update(
        &[load(1, 90_000.0, 8_000.0), load(2, 6_000.0, 5_000.0)],
        now,
    );
    assert!(shares.share(1, &engines(), now) >= 1.0);
    assert!(shares.share(1, &"others".into(), now) < 1.0);
}

/// Guards against a limit that outlasts the flood.
#[test]
fn a_limit_ends_after_the_shortage() {
    let start = Instant::now();
    let mut shares = FairShares::default();
    shares.update(
        &[load(1, 90_000.0, 8_000.0), load(2, 6_000.0, 5_000.0)],
        start,
    );
    shares.record_busy(&engines(), start);
    assert!(shares.share(1, &engines(), start) < 1.0);
    let lasting = start + Duration::from_secs(2);
    assert!(shares.share(1, &engines(), lasting) < 1.0);
    let later = start + Duration::from_secs(4);
    shares.update(
        &[load(1, 8_000.0, 8_000.0), load(2, 6_000.0, 6_000.0)],
        later,
    );
    shares.record_busy(&engines(), later);
    assert!(shares.share(1, &engines(), later) >= 1.0);
}

/// Guards against a team that is shut out by figures that cannot be true.
#[test]
fn absurd_loads_limit_nobody() {
    let absurd = [
        load(1, f64::NAN, 10.0),
        load(2, -5.0, 10.0),
        TeamLoad {
            allowance: 0.0,
            ..load(3, 10.0, 0.0)
        },
        TeamLoad {
            allowance: f64::NAN,
            ..load(4, 10.0, 0.0)
        },
    ];
    let mut loads = absurd.to_vec();
    loads.push(load(5, 6_000.0, 5_000.0));
    loads.push(load(6, 90_000.0, 8_000.0));
    let shares = shares(&loads);
    assert_eq!(shares[..5], [1.0; 5]);
    assert!(shares[5] < 1.0, "the others are divided all the same");
}

/// A request of each team in turn, at one engine, through the limiter and the limits of queues.
struct Replay {
    teams: Vec<Team>,
    quota: Quota,
    shares: FairShares,
    /// Whether engines are divided among the teams.
    divides: bool,
    /// Units in the queue.
    queue: f64,
    requested: [u32; TEAMS],
    served: [u32; TEAMS],
}

impl Replay {
    fn new(divides: bool, now: Instant) -> Self {
        let team = |at: usize| Team {
            name: format!("team-{at}").into(),
            rate: Some(ALLOWANCE),
            burst: ALLOWANCE,
            unit: Unit::Tokens(UNITS),
            ..Team::default()
        };
        let tolerance = Tolerance {
            share: 0.1,
            units: 0.0,
        };
        Self {
            teams: (0..TEAMS).map(team).collect(),
            quota: Quota::new(Duration::from_secs(8), tolerance, now),
            shares: FairShares::default(),
            divides,
            queue: 0.0,
            requested: [0; TEAMS],
            served: [0; TEAMS],
        }
    }

    fn request(&mut self, at: usize, capacity: f64, now: Instant) {
        let team = &self.teams[at];
        self.requested[at] += 1;
        if self.quota.admit(team, UNITS, now).is_err() {
            return;
        }
        if self.divides && self.shares.is_due(now) {
            self.shares
                .update(&self.quota.team_loads(&self.teams, now), now);
        }
        let share = self.shares.share(name_hash(&team.name), &engines(), now);
        let limits = Limits::new(TARGET, RANK, DEADLINE).with_share(share);
        let wait = Duration::from_secs_f64(self.queue / capacity);
        if limits.check(wait, wait).is_ok() {
            self.queue += UNITS;
            self.served[at] += 1;
        } else {
            if share >= 1.0 {
                self.shares.record_busy(&engines(), now);
            }
            self.quota.refund(team, UNITS);
        }
    }
}

/// Shares of requests served by team, where the first team requests `first` units a second and
/// `capacity` units a second are served after four seconds with room for all.
fn replay(first: f64, capacity: f64, divides: bool) -> [f64; TEAMS] {
    const STEP: Duration = Duration::from_millis(1);
    const CALM_STEPS: u32 = 4_000;
    const STEPS: u32 = 16_000;
    let start = Instant::now();
    let mut replay = Replay::new(divides, start);
    let mut due = [0.0; TEAMS];
    let mut random = fastrand::Rng::with_seed(7);
    for step in 0..STEPS {
        let is_calm = step < CALM_STEPS;
        if step == CALM_STEPS {
            (replay.requested, replay.served) = ([0; TEAMS], [0; TEAMS]);
        }
        let now = start + STEP * step;
        let capacity = if is_calm { 200_000.0 } else { capacity };
        replay.queue = (replay.queue - capacity * STEP.as_secs_f64()).max(0.0);
        let mut order: Vec<usize> = (0..TEAMS).collect();
        random.shuffle(&mut order);
        for at in order {
            let rate = if at == 0 && !is_calm { first } else { USUAL };
            due[at] += rate * STEP.as_secs_f64() / UNITS;
            while due[at] >= 1.0 {
                due[at] -= 1.0;
                replay.request(at, capacity, now);
            }
        }
    }
    std::array::from_fn(|at| f64::from(replay.served[at]) / f64::from(replay.requested[at].max(1)))
}

/// Guards against a flood of one team that costs the others what they had without it, while
/// engines are short.
#[test]
fn a_flood_of_one_team_costs_the_others_nothing() {
    for capacity in [50_000.0, 46_000.0, 40_000.0] {
        let without = replay(USUAL, capacity, true);
        let with = replay(FLOOD, capacity, true);
        for at in 1..TEAMS {
            assert!(
                with[at] >= 0.95 * without[at],
                "team {at} at {capacity}: {with:?}, without the flood {without:?}"
            );
        }
    }
}

/// Guards against a division that turns away the team that floods though there is room.
#[test]
fn a_flooding_team_gets_what_the_others_leave() {
    let with = replay(FLOOD, 50_000.0, true);
    assert!(with[0] * FLOOD >= 0.7 * USUAL, "{with:?}");
}

/// Shows that queues ranked by kind alone let the flood in: the division is what protects others.
#[test]
fn without_a_division_the_others_lose() {
    let without = replay(USUAL, 46_000.0, false);
    let with = replay(FLOOD, 46_000.0, false);
    let kept = (1..TEAMS).map(|at| with[at] / without[at]);
    assert!(
        kept.fold(1.0, f64::min) < 0.95,
        "{with:?}, without the flood {without:?}"
    );
}
