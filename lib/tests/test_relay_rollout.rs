//! Version moves on virtual time: several daemons, each with its own requests, that
//! tell one another every quarter of a second.

use std::time::Duration;

use poplarvale_lib::relay::rollout::evidence::Sample;
use poplarvale_lib::relay::rollout::{Order, Outcome, Rollouts, Versions};
use poplarvale_lib::revision_in;

const BEGIN: u64 = 1_000_000;
/// Shortest time that operators give a move.
const LIFE: u64 = 12_000;
const DAEMONS: usize = 9;
/// Old endpoints of the service.
const OLDS: u32 = 9;

/// How a version's requests of a route go at a moment, in milliseconds since the
/// order.
type Behaviour = fn(route: &str, at: u64) -> (f64, u64);

/// What became of a move.
#[derive(Debug, PartialEq)]
struct End {
    requests: u32,
    /// Requests that the new version got while the move was under way.
    moved: u32,
    /// Requests that it got more than a second after its fiftieth failure.
    late: u32,
    outcomes: Vec<Outcome>,
}

fn order() -> Order {
    Order {
        service: "pool".into(),
        target: "v2".into(),
        revision: 7,
    }
}

/// Plays a move: each daemon gets a request of one of two routes every 30 ms.
fn play(seed: u64, cut: bool, new: Behaviour) -> End {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut daemons: Vec<Rollouts> = (0..DAEMONS).map(|_| Rollouts::new(0.1)).collect();
    for daemon in &mut daemons {
        daemon.order(order(), BEGIN, BEGIN + LIFE);
    }
    let mut end = End {
        requests: 0,
        moved: 0,
        late: 0,
        outcomes: Vec::new(),
    };
    let (mut failures, mut fiftieth) = (0, u64::MAX);
    for at in (0..LIFE).step_by(10) {
        let now = BEGIN + at;
        for (number, daemon) in daemons.iter_mut().enumerate() {
            if !(at / 10 + number as u64).is_multiple_of(3) {
                continue;
            }
            end.requests += 1;
            let route = if random.bool() { "booking" } else { "lookup" };
            let versions = daemon.versions("pool", |_| OLDS, now);
            let moves = matches!(&versions, Versions::Only(..));
            // The old version's lookups fail one time in seven by themselves.
            let usual = if route == "lookup" { 0.14 } else { 0.0 };
            let (share, millis) = if moves { new(route, at) } else { (usual, 30) };
            let good = random.f64() >= share;
            if moves {
                end.moved += 1;
                end.late += u32::from(at > fiftieth.saturating_add(1000));
                failures += u32::from(!good);
                if failures == 50 && fiftieth == u64::MAX {
                    fiftieth = at;
                }
            }
            let took = Duration::from_millis(millis).mul_f64(0.7 + 0.6 * random.f64());
            let version = if moves { "v2" } else { "v1" };
            daemon.note("pool", route, version, Sample { good, took }, now);
        }
        if at.is_multiple_of(250) && !cut {
            tell_all(&mut daemons);
        }
        daemons[0].due(now, |_, _| 0);
    }
    tell_all(&mut daemons);
    for daemon in &mut daemons {
        let word = daemon.tell().next();
        end.outcomes.push(word.expect("it has a move").outcome);
    }
    end
}

fn tell_all(daemons: &mut [Rollouts]) {
    for from in 0..daemons.len() {
        let words: Vec<_> = daemons[from].tell().collect();
        for (to, daemon) in daemons.iter_mut().enumerate() {
            if to != from {
                for word in &words {
                    daemon.hear(&format!("d{from}"), word);
                }
            }
        }
    }
}

fn good(route: &str, _at: u64) -> (f64, u64) {
    (if route == "lookup" { 0.14 } else { 0.0 }, 33)
}

/// A version as good as the old one, whose failures on one route are its usual
/// ones. Operators asked for it by a time, and it must be there by then.
#[test]
fn a_good_version_is_completed_in_time() {
    for seed in 0..60 {
        let end = play(seed, false, good);
        assert_eq!(end.outcomes, [Outcome::Completed; DAEMONS], "seed {seed}");
    }
}

fn assert_taken_back(new: Behaviour) {
    for seed in 0..60 {
        let end = play(seed, false, new);
        assert_eq!(end.outcomes, [Outcome::RolledBack; DAEMONS], "seed {seed}");
        let most = end.requests / 10 + 50;
        assert!(
            end.moved <= most,
            "seed {seed}: {} of {}",
            end.moved,
            end.requests
        );
        assert_eq!(end.late, 0, "seed {seed}");
    }
}

/// A version fails two in five from its first request on. Callers notice failed
/// bookings; only a few may meet it.
#[test]
fn a_version_that_fails_is_taken_back() {
    assert_taken_back(|_, _| (0.4, 30));
}

/// A version answers as it should and takes four times as long.
#[test]
fn a_version_that_is_slow_is_taken_back() {
    assert_taken_back(|route, _| (good(route, 0).0, 120));
}

/// A version fails on one route only, which the good answers of the other hide.
#[test]
fn a_version_that_fails_on_one_route_is_taken_back() {
    assert_taken_back(|route, _| (if route == "booking" { 0.35 } else { 0.14 }, 30));
}

/// A version is well while it is tried and fails as soon as it has all requests.
#[test]
fn a_version_that_fails_late_is_taken_back() {
    assert_taken_back(|route, at| {
        let usual = good(route, at).0;
        (if at > LIFE * 6 / 10 { 0.6 } else { usual }, 30)
    });
}

/// Daemons hear nothing of one another. Each keeps to the share by itself, so the
/// bound holds whatever the verdict.
#[test]
fn a_partition_does_not_raise_what_a_tried_version_gets() {
    for seed in 0..20 {
        let end = play(seed, true, |_, at| {
            (if at < LIFE * 6 / 10 { 0.5 } else { 0.9 }, 30)
        });
        assert!(end.moved <= end.requests / 10 + 50, "{end:?}");
    }
}

/// A daemon starts while a move is nearly over and reads the order as if it were
/// new. It would send requests to endpoints that are about to be stopped, or to a
/// version that was found to be bad.
#[test]
fn a_daemon_that_starts_late_follows_the_others() {
    let mut old = Rollouts::new(0.1);
    old.order(order(), BEGIN, BEGIN + LIFE);
    let now = BEGIN + LIFE * 7 / 10;
    let mut fresh = Rollouts::new(0.1);
    fresh.order(order(), now, now + LIFE);
    let word = old.tell().next().expect("it has a move");
    fresh.hear("d0", &word);
    assert_eq!(
        fresh.versions("pool", |_| OLDS, now),
        Versions::Only("v2".into(), None)
    );
    for _ in 0..10 {
        let sample = Sample {
            good: false,
            took: Duration::ZERO,
        };
        old.note("pool", "booking", "v2", sample, now);
    }
    let word = old.tell().next().expect("it has a move");
    assert!(fresh.hear("d0", &word));
    assert_eq!(
        fresh.versions("pool", |_| OLDS, now),
        Versions::Not("v2".into())
    );
}

/// The store still holds the state of the move before when operators order the same
/// version again. It must not end the new move.
#[test]
fn the_state_of_an_older_move_ends_no_new_one() {
    let mut rollouts = Rollouts::new(0.1);
    rollouts.order(order(), BEGIN, BEGIN + LIFE);
    rollouts.status("pool", "v2", Outcome::RolledBack, 6);
    assert_eq!(
        rollouts.tell().next().map(|word| word.outcome),
        Some(Outcome::Running)
    );
    rollouts.status("pool", "v2", Outcome::RolledBack, 8);
    assert_eq!(
        rollouts.versions("pool", |_| OLDS, BEGIN),
        Versions::Not("v2".into())
    );
}

/// The last daemon to see a fault tells it after the move was written as completed. The
/// old endpoints are stopped by then; going back would leave callers with none.
#[test]
fn a_completed_move_is_not_taken_back() {
    let mut late = Rollouts::new(0.1);
    late.order(order(), BEGIN, BEGIN + LIFE);
    for _ in 0..10 {
        let sample = Sample {
            good: false,
            took: Duration::ZERO,
        };
        late.note("pool", "booking", "v2", sample, BEGIN + LIFE / 2);
    }
    let word = late.tell().next().expect("it has a move");
    assert_eq!(word.outcome, Outcome::RolledBack);
    let mut other = Rollouts::new(0.1);
    other.order(order(), BEGIN, BEGIN + LIFE);
    other.status("pool", "v2", Outcome::Completed, 8);
    assert!(!other.hear("d1", &word));
    late.status("pool", "v2", Outcome::Completed, 8);
    for daemon in [&mut other, &mut late] {
        let versions = daemon.versions("pool", |_| OLDS, BEGIN + LIFE);
        assert_eq!(versions, Versions::Only("v2".into(), None));
        assert!(daemon.due(BEGIN + LIFE, |_, _| 0).is_empty());
    }
}

/// The store comes back from an older copy and gives revisions out again: an order that is
/// read once more is no new move, and what became of it is written again.
#[test]
fn a_move_that_is_read_again_in_a_new_era_is_the_same() {
    let mut rollouts = Rollouts::new(0.1);
    rollouts.order(order(), BEGIN, BEGIN + LIFE);
    rollouts.status("pool", "v2", Outcome::RolledBack, 8);
    let again = Order {
        revision: revision_in(1, 5),
        ..order()
    };
    assert!(!rollouts.order(again, BEGIN + LIFE / 2, BEGIN + LIFE * 2));
    let now = BEGIN + LIFE / 2;
    assert_eq!(
        rollouts.versions("pool", |_| OLDS, now),
        Versions::Not("v2".into())
    );
    let due = rollouts.due(now, |_, _| 0);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].outcome, Outcome::RolledBack);
    let other = Order {
        target: "v3".into(),
        revision: revision_in(1, 9),
        ..order()
    };
    assert!(rollouts.order(other, now, now + LIFE));
}
