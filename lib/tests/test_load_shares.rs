//! Shares of a customer's limits across daemons, over generated demands and
//! partitions.

use std::time::{Duration, Instant};

use poplarvale_lib::load::Policy;
use poplarvale_lib::load::shares::{Amounts, BASE_FRACTION, MAX_TRANSIT};
use poplarvale_lib::{Command, Input, Outcome};
use proptest::prelude::*;
use testutils::fake_endpoints::Behaviour;

use crate::driver::{Arrival, Scene, order, world};
use crate::fleet::Fleet;

const LIMIT: Amounts = Amounts {
    requests: 100.0,
    tokens: 10_000.0,
    running: 40.0,
};

fn exceeds(sum: Amounts, times: f64) -> bool {
    let limit = LIMIT.times(times + 1e-9);
    sum.requests > limit.requests || sum.tokens > limit.tokens || sum.running > limit.running
}

proptest! {
    #![proptest_config(testutils::fixed(48))]

    /// Demand moves between daemons while rows are delayed but not lost. If two
    /// daemons raised their shares by the same free part of the limit, the
    /// customer would use more than its plan, and others would pay for it with
    /// their latency.
    #[test]
    fn shares_never_sum_above_the_limit_among_connected_daemons(
        count in 1usize..9,
        delay in 0.0f64..1.0,
        phases in prop::collection::vec(
            (prop::collection::vec(0.0f64..60.0, 8), 1usize..40),
            1..8,
        ),
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(count, LIMIT, MAX_TRANSIT.mul_f64(delay), seed);
        for (asks, rounds) in phases {
            for _ in 0..rounds {
                fleet.round(&asks[..count]);
                let sum = fleet.sum(None);
                prop_assert!(!exceeds(sum, 1.0), "{sum:?}");
            }
        }
    }

    /// Availability zones are partitioned. Each side continues with what it has;
    /// the side with most daemons takes over what the others had, so use may
    /// exceed the plan by the shares of the daemons cut off, and by no more.
    #[test]
    fn overshoot_in_a_cut_is_at_most_the_shares_of_those_cut_off(
        sides in prop::collection::vec(0usize..3, 8),
        before in prop::collection::vec(0.0f64..60.0, 8),
        after in prop::collection::vec(0.0f64..60.0, 8),
        rounds in 1usize..120,
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(8, LIMIT, MAX_TRANSIT, seed);
        for _ in 0..60 {
            fleet.round(&before);
        }
        fleet.cut(&sides);
        let count = |side| sides.iter().filter(|s| **s == side).count();
        let most = (0..3).max_by_key(|side| count(*side)).expect("three sides");
        for round in 0..rounds {
            fleet.round(&after);
            for side in 0..3 {
                let sum = fleet.sum(Some(side));
                prop_assert!(!exceeds(sum, 1.0), "side {side}: {sum:?}");
            }
            let all = fleet.sum(None);
            let cut_off = (0..3).filter(|s| *s != most).map(|side| fleet.sum(Some(side)));
            let cut_off = cut_off.fold(Amounts::default(), |a, b| a.zip(b, |a, b| a + b));
            let bound = LIMIT.zip(cut_off, |a, b| a + b + 1e-6);
            let over = bound.zip(all, |bound, all| bound - all);
            prop_assert!(over.requests >= 0.0, "round {round}: {all:?} over {bound:?}");
            prop_assert!(over.tokens >= 0.0 && over.running >= 0.0);
            if count(most) * 2 <= 8 {
                prop_assert!(!exceeds(all, 1.0), "no side has most: {all:?}");
            }
        }
    }
}

proptest! {
    #![proptest_config(testutils::fixed(48))]

    /// Daemons die, announced and unannounced, and others start that know no
    /// peer. A daemon that treated claims it has not received as free would give
    /// out what others give out; use may exceed the plan by the base shares of
    /// the daemons that joined and are not on the list of hosts yet, and by no
    /// more.
    #[test]
    fn overshoot_of_joins_is_at_most_their_base_shares(
        changes in prop::collection::vec((0u8..5, any::<usize>(), 1usize..60), 1..12),
        asks in prop::collection::vec(0.0f64..60.0, 24),
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(6, LIMIT, MAX_TRANSIT, seed);
        let mut joined = 0.0;
        for (change, which, rounds) in changes {
            let alive: Vec<usize> = fleet.alive().collect();
            match change {
                0 | 1 if alive.len() > 2 => fleet.stop(alive[which % alive.len()], change == 0),
                2 | 3 => {
                    fleet.start();
                    joined += 1.0;
                }
                _ => {
                    fleet.list();
                    joined = 0.0;
                }
            }
            for _ in 0..rounds {
                fleet.round(&asks);
                let count = fleet.alive().count() as f64;
                let known = (count - joined).max(1.0);
                let times = 1.0 + BASE_FRACTION * joined / known;
                let sum = fleet.sum(None);
                prop_assert!(!exceeds(sum, times), "{sum:?} over {times}");
            }
        }
    }
}

/// All of a customer's requests arrive at one daemon of eight. With equal parts,
/// seven eighths of what the customer pays for would be rejected.
#[test]
fn shares_follow_demand() {
    let mut fleet = Fleet::new(8, LIMIT, Duration::from_secs(1), 3);
    let mut asks = [0.0; 8];
    asks[2] = 50.0;
    for _ in 0..60 {
        fleet.round(&asks);
    }
    assert!(fleet.share(2).requests >= 80.0, "{:?}", fleet.share(2));
    asks = [0.0; 8];
    asks[5] = 50.0;
    for _ in 0..120 {
        fleet.round(&asks);
    }
    assert!(fleet.share(5).requests >= 70.0, "{:?}", fleet.share(5));
    assert!(fleet.share(2).requests <= 20.0, "{:?}", fleet.share(2));
}

/// One daemon is cut off from all others. It continues to serve its callers
/// within the share it had; a larger share would give out what the others give
/// out too.
#[test]
fn a_daemon_cut_off_keeps_its_last_share() {
    let mut fleet = Fleet::new(4, LIMIT, Duration::from_secs(1), 4);
    for _ in 0..60 {
        fleet.round(&[20.0; 4]);
    }
    let before = fleet.share(0).requests;
    fleet.cut(&[1, 0, 0, 0]);
    for _ in 0..400 {
        fleet.round(&[80.0, 20.0, 20.0, 20.0]);
        let share = fleet.share(0).requests;
        assert!(share <= before + 2.0, "{share} after {before}");
    }
    assert!(fleet.share(0).requests >= 0.8 * before);
    assert!(
        fleet.sum(Some(0)).requests >= 90.0,
        "the others took its share over"
    );
}

/// One customer's requests arrive at two daemons, four times what its plan allows
/// at each. Together they must not admit more than the plan, and not much less.
#[test]
fn two_daemons_together_enforce_one_plan() {
    let origin = Instant::now();
    let scene = Scene {
        endpoints: vec![("e0".into(), Behaviour::healthy(1e6, 1e6))],
        policy: Policy::default(),
        priorities: Vec::new(),
        max_retries: 0,
        daemons: 1,
        running: 64,
        requests: 20.0,
        origin,
    };
    let customers = ["c".to_owned()];
    let mut worlds = [world(&scene, &customers), world(&scene, &customers)];
    worlds[1].setup.incarnation += 1;
    let mut counts = Vec::new();
    let mut number = 0;
    for step in 0..1_000 {
        let now = origin + Duration::from_millis(50 * step);
        let rows: Vec<_> = worlds.iter().map(poplarvale_lib::World::shares).collect();
        let mut count = 0;
        for at in 0..2 {
            let other = worlds[1 - at].setup.incarnation;
            let mut inputs = vec![Input::PeerSeen(other)];
            inputs.extend(rows[1 - at].iter().cloned().map(Input::Share));
            for _ in 0..4 {
                number += 1;
                let mut order = order(origin, number, &arrival());
                order.arrived = now;
                order.deadline = now + Duration::from_secs(5);
                inputs.push(Input::Arrived(order));
            }
            let commands = worlds[at].tick(now, inputs);
            let ends = complete_attempts(&commands);
            count += ends.len();
            worlds[at].tick(now, ends);
        }
        counts.push(count);
    }
    let total: usize = counts[400..].iter().sum();
    assert!((540..=602).contains(&total), "{total} of 600");
    let all: usize = counts.iter().sum();
    assert!(all <= 1_000 + 42, "{all} of 1000");
}

fn arrival() -> Arrival {
    Arrival {
        at: 0,
        customer: "c".into(),
        class: "any".into(),
        prompt: 1,
        answer: 0,
        takes: 1,
        within: 1,
        repeatable: true,
    }
}

/// Ends each attempt with a complete answer.
fn complete_attempts(commands: &[Command]) -> Vec<Input> {
    let mut ends = Vec::new();
    for command in commands {
        if let Command::Send(send) = command {
            ends.push(Input::Ended {
                attempt: send.attempt,
                request: send.request,
                outcome: Outcome::Complete { status: 200 },
            });
        }
    }
    ends
}
