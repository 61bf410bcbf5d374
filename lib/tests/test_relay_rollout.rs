//! Version moves on virtual time: several daemons with requests of their own, which exchange
//! digests every quarter of a second.

use std::time::Duration;

use poplarvale_lib::relay::endpoint_table::VersionEndpoints;
use poplarvale_lib::relay::rollout::evidence::Sample;
use poplarvale_lib::relay::rollout::{MoveChange, MoveReport, Order, Outcome, Rollouts, Versions};
use poplarvale_lib::{EndpointId, revision_in};

use crate::rollout_fleet::endpoints;

const BEGIN_MS: u64 = 1_000_000;
/// Shortest time that operators allow for a move, in milliseconds.
const DURATION_MS: u64 = 12_000;
const DAEMONS: usize = 9;

/// Behaviour of a version on a route, a number of milliseconds after the order: the share of
/// requests that fail, and the time of an answer in milliseconds.
type Behaviour = fn(route: &str, at: u64) -> (f64, u64);

/// Result of a simulated move.
#[derive(Debug, PartialEq)]
struct MoveResult {
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

/// Simulates a move: each daemon gets a request of one of two routes every 30 ms.
fn simulate(seed: u64, is_partitioned: bool, new: Behaviour) -> MoveResult {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut daemons: Vec<Rollouts> = (0..DAEMONS).map(|_| Rollouts::new(0.1)).collect();
    for daemon in &mut daemons {
        daemon.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
    }
    let mut result = MoveResult {
        requests: 0,
        moved: 0,
        late: 0,
        outcomes: Vec::new(),
    };
    let (mut failures, mut fiftieth) = (0, u64::MAX);
    for at in (0..DURATION_MS).step_by(10) {
        let now = BEGIN_MS + at;
        for (number, daemon) in daemons.iter_mut().enumerate() {
            if !(at / 10 + number as u64).is_multiple_of(3) {
                continue;
            }
            result.requests += 1;
            let route = if random.bool() { "booking" } else { "lookup" };
            let versions = daemon.choose_versions("pool", |_| endpoints(), now);
            let is_new = matches!(&versions, Versions::Only(..));
            // One in seven lookups of the old version always fails.
            let baseline = if route == "lookup" { 0.14 } else { 0.0 };
            let (share, millis) = if is_new {
                new(route, at)
            } else {
                (baseline, 30)
            };
            let good = random.f64() >= share;
            if is_new {
                result.moved += 1;
                result.late += u32::from(at > fiftieth.saturating_add(1000));
                failures += u32::from(!good);
                if failures == 50 && fiftieth == u64::MAX {
                    fiftieth = at;
                }
            }
            let took = Duration::from_millis(millis).mul_f64(0.7 + 0.6 * random.f64());
            let version = if is_new { "v2" } else { "v1" };
            let endpoint = match versions {
                Versions::Only(_, Some(trial)) => trial.first + random.u32(..trial.count),
                _ => random.u32(..endpoints().new),
            };
            let sample = Sample {
                good,
                took,
                sent: now,
            };
            let endpoint = endpoint % endpoints().new;
            let place = (&endpoint_id(version, endpoint), &version.into());
            daemon.record("pool", route, place, sample, now);
        }
        if at.is_multiple_of(250) && !is_partitioned {
            exchange_digests(&mut daemons, now);
        }
        daemons[0].due_statuses(now, |_, _| endpoints());
    }
    exchange_digests(&mut daemons, BEGIN_MS + DURATION_MS);
    for daemon in &mut daemons {
        let report = daemon.reports(BEGIN_MS).next();
        result
            .outcomes
            .push(report.expect("a move was ordered").outcome);
    }
    result
}

fn endpoint_id(version: &str, number: u32) -> EndpointId {
    format!("i-{version}-{number}").into()
}

/// Records good answers at several endpoints of the old version, and good ones or failures of the new
/// one.
fn record_answers(rollouts: &mut Rollouts, now: u64, new_good: bool) {
    for number in 0..80 {
        for (version, good) in [("v2", new_good), ("v1", true)] {
            let sample = Sample {
                good,
                took: Duration::ZERO,
                sent: now,
            };
            let place = (&endpoint_id(version, number % 4), &version.into());
            let at = now + 10 * u64::from(number);
            rollouts.record("pool", "booking", place, sample, at);
        }
    }
}

fn exchange_digests(daemons: &mut [Rollouts], now: u64) {
    for from in 0..daemons.len() {
        let reports: Vec<_> = daemons[from].reports(now).collect();
        for (to, daemon) in daemons.iter_mut().enumerate() {
            if to != from {
                for report in &reports {
                    daemon.merge(&format!("d{from}"), report, now);
                }
            }
        }
    }
}

fn good(route: &str, _at: u64) -> (f64, u64) {
    (if route == "lookup" { 0.14 } else { 0.0 }, 33)
}

/// A good version whose failures on one route are those of the old one. Operators ordered the
/// move for a given time, and it must be complete by then.
#[test]
fn a_good_version_is_completed_in_time() {
    for seed in 0..60 {
        let result = simulate(seed, false, good);
        assert_eq!(
            result.outcomes,
            [Outcome::Completed; DAEMONS],
            "seed {seed}"
        );
    }
}

fn assert_rolled_back(new: Behaviour) {
    for seed in 0..60 {
        let result = simulate(seed, false, new);
        assert_eq!(
            result.outcomes,
            [Outcome::RolledBack; DAEMONS],
            "seed {seed}"
        );
        let most = result.requests / 10 + 50;
        assert!(
            result.moved <= most,
            "seed {seed}: {} of {}",
            result.moved,
            result.requests
        );
        assert_eq!(result.late, 0, "seed {seed}");
    }
}

/// A version fails two requests in five from its first one on. Callers notice failed bookings,
/// so only a few may reach it.
#[test]
fn a_version_that_fails_is_rolled_back() {
    assert_rolled_back(|_, _| (0.4, 30));
}

/// A version answers correctly but takes four times as long.
#[test]
fn a_version_that_is_slow_is_rolled_back() {
    assert_rolled_back(|route, _| (good(route, 0).0, 120));
}

/// A version fails on one route only, and the good answers of the other route hide that.
#[test]
fn a_version_that_fails_on_one_route_is_rolled_back() {
    assert_rolled_back(|route, _| (if route == "booking" { 0.35 } else { 0.14 }, 30));
}

/// A version works during the trial and fails as soon as it has all requests.
#[test]
fn a_version_that_fails_late_is_rolled_back() {
    assert_rolled_back(|route, at| {
        let baseline = good(route, at).0;
        (
            if at > DURATION_MS * 6 / 10 {
                0.6
            } else {
                baseline
            },
            30,
        )
    });
}

/// The daemons receive nothing from each other. Each keeps to the share independently, so the
/// bound holds whatever the verdict.
#[test]
fn a_partition_does_not_raise_the_share_of_a_version_on_trial() {
    for seed in 0..20 {
        let result = simulate(seed, true, |_, at| {
            (if at < DURATION_MS * 6 / 10 { 0.5 } else { 0.9 }, 30)
        });
        assert!(result.moved <= result.requests / 10 + 50, "{result:?}");
    }
}

/// A daemon starts when a move is nearly complete and takes the order for a new one. It would
/// send requests to endpoints that are about to be stopped, or to a version that was found to
/// be bad.
#[test]
fn a_daemon_that_starts_late_adopts_the_move_of_the_others() {
    let mut old = Rollouts::new(0.1);
    old.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
    let now = BEGIN_MS + DURATION_MS * 7 / 10;
    record_answers(&mut old, BEGIN_MS + DURATION_MS / 2, true);
    let mut fresh = Rollouts::new(0.1);
    fresh.add_order(order(), now, now + DURATION_MS);
    let report = old.reports(BEGIN_MS).next().expect("a move was ordered");
    fresh.merge("d0", &report, now);
    assert_eq!(
        fresh.choose_versions("pool", |_| endpoints(), now),
        Versions::Only("v2".into(), None)
    );
    record_answers(&mut old, now, false);
    let report = old.reports(now).next().expect("a move was ordered");
    assert_eq!(fresh.merge("d0", &report, now), MoveChange::Ended);
    assert_eq!(
        fresh.choose_versions("pool", |_| endpoints(), now),
        Versions::Not("v2".into())
    );
}

/// The store still holds the state of the previous move when operators order the same version
/// again. It must not end the new move.
#[test]
fn the_state_of_an_older_move_does_not_end_a_new_one() {
    let mut rollouts = Rollouts::new(0.1);
    rollouts.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
    rollouts.apply_status("pool", "v2", Outcome::RolledBack, 6);
    assert_eq!(
        rollouts
            .reports(BEGIN_MS)
            .next()
            .map(|report| report.outcome),
        Some(Outcome::Running)
    );
    rollouts.apply_status("pool", "v2", Outcome::RolledBack, 8);
    assert_eq!(
        rollouts.choose_versions("pool", |_| endpoints(), BEGIN_MS),
        Versions::Not("v2".into())
    );
}

/// The last daemon to see a fault reports it after the store has the move as completed. The old
/// endpoints have been stopped by then, so rolling back would leave callers with none.
#[test]
fn a_completed_move_is_not_rolled_back() {
    let mut late = Rollouts::new(0.1);
    late.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
    record_answers(&mut late, BEGIN_MS + DURATION_MS / 2, false);
    let report = late.reports(BEGIN_MS).next().expect("a move was ordered");
    assert_eq!(report.outcome, Outcome::RolledBack);
    let mut other = Rollouts::new(0.1);
    other.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
    other.apply_status("pool", "v2", Outcome::Completed, 8);
    let now = BEGIN_MS + DURATION_MS / 2;
    assert_eq!(other.merge("d1", &report, now), MoveChange::None);
    late.apply_status("pool", "v2", Outcome::Completed, 8);
    for daemon in [&mut other, &mut late] {
        let versions = daemon.choose_versions("pool", |_| endpoints(), BEGIN_MS + DURATION_MS);
        assert_eq!(versions, Versions::Only("v2".into(), None));
        assert!(
            daemon
                .due_statuses(BEGIN_MS + DURATION_MS, |_, _| endpoints())
                .is_empty()
        );
    }
}

/// Guards against a version of which next to nothing was seen that gets all requests and is completed
/// as its time is up.
#[test]
fn a_version_that_was_hardly_observed_is_neither_used_for_all_requests_nor_completed() {
    let mut rollouts = Rollouts::new(0.1);
    rollouts.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
    let sample = Sample {
        good: true,
        took: Duration::ZERO,
        sent: BEGIN_MS + DURATION_MS / 4,
    };
    let place = (&endpoint_id("v2", 0), &"v2".into());
    rollouts.record("pool", "booking", place, sample, sample.sent);
    let mut moved = 0;
    for at in (0..=DURATION_MS + 20_000).step_by(10) {
        let now = BEGIN_MS + at;
        let versions = rollouts.choose_versions("pool", |_| endpoints(), now);
        let is_moved = matches!(versions, Versions::Only(..));
        moved += u64::from(is_moved && at <= DURATION_MS);
        let due = rollouts.due_statuses(now, |_, _| endpoints());
        assert!(due.iter().all(|due| due.outcome != Outcome::Completed));
    }
    assert!(moved <= DURATION_MS / 100 + 50, "{moved}");
    let report = rollouts
        .reports(BEGIN_MS)
        .next()
        .expect("a move was ordered");
    assert_eq!(report.outcome, Outcome::RolledBack);
}

/// Guards against daemons that learn from another one that a version was tried enough, but not that
/// it did badly, and send it all requests.
#[test]
fn doubts_of_one_daemon_keep_the_version_on_trial_at_all() {
    let now = BEGIN_MS + DURATION_MS * 7 / 10;
    let mut one = Rollouts::new(0.1);
    one.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
    record_answers(&mut one, now - 1000, true);
    let mut report = one.reports(now).next().expect("a move was ordered");
    report.comparisons.clear();
    for (doubted, is_full) in [(0, true), (now + 500, false)] {
        report.doubted = doubted;
        let mut other = Rollouts::new(0.1);
        other.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
        other.merge("one", &report, now);
        let versions = other.choose_versions("pool", |_| endpoints(), now);
        assert_eq!(versions == Versions::Only("v2".into(), None), is_full);
    }
}

/// Guards against a version that is completed with too few endpoints for all requests, when the old
/// ones are about to be stopped.
#[test]
fn a_version_without_enough_endpoints_is_not_completed() {
    let few = VersionEndpoints {
        new: 1,
        old: 9,
        old_requests: 0,
    };
    for (both, completed) in [(few, false), (endpoints(), true)] {
        let mut rollouts = Rollouts::new(0.1);
        rollouts.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
        record_answers(&mut rollouts, BEGIN_MS + DURATION_MS / 2, true);
        let due = rollouts.due_statuses(BEGIN_MS + DURATION_MS, |_, _| both);
        let is_completed = due.iter().any(|due| due.outcome == Outcome::Completed);
        assert_eq!(is_completed, completed);
    }
}

/// Guards against a roll-back that leaves callers without an endpoint, as the old version's are gone.
#[test]
fn a_move_that_cannot_be_judged_is_not_rolled_back_without_old_endpoints() {
    for old in [0, 1] {
        let mut rollouts = Rollouts::new(0.1);
        rollouts.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
        let both = VersionEndpoints { old, ..endpoints() };
        let due = rollouts.due_statuses(BEGIN_MS + DURATION_MS + 20_000, |_, _| both);
        let is_rolled_back = due.iter().any(|due| due.outcome == Outcome::RolledBack);
        assert_eq!(is_rolled_back, old > 0);
    }
}

/// Guards against moves of services with few requests that no share of them can judge, and against
/// a restart that grants the requests beyond the share again.
#[test]
fn the_first_requests_of_a_move_go_beyond_its_share_once() {
    for (started, most) in [(0, 35), (BEGIN_MS - 1000, 0)] {
        let mut rollouts = Rollouts::new(0.001).with_slack(50.0, started);
        rollouts.record_fleet(Some(1));
        rollouts.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
        let chosen = (0..400).filter(|step| {
            let now = BEGIN_MS + DURATION_MS / 10 + step * 10;
            let versions = rollouts.choose_versions("pool", |_| endpoints(), now);
            matches!(versions, Versions::Only(..))
        });
        assert_eq!(chosen.count(), most);
    }
}

/// The store comes back from an older copy and assigns revisions anew. An order that is read
/// again is not a new move, and its state is written again.
#[test]
fn an_order_that_is_read_again_in_a_new_era_is_not_a_new_move() {
    let mut rollouts = Rollouts::new(0.1);
    rollouts.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
    rollouts.apply_status("pool", "v2", Outcome::RolledBack, 8);
    let again = Order {
        revision: revision_in(1, 5),
        ..order()
    };
    assert!(!rollouts.add_order(
        again,
        BEGIN_MS + DURATION_MS / 2,
        BEGIN_MS + DURATION_MS * 2
    ));
    let now = BEGIN_MS + DURATION_MS / 2;
    assert_eq!(
        rollouts.choose_versions("pool", |_| endpoints(), now),
        Versions::Not("v2".into())
    );
    let due = rollouts.due_statuses(now, |_, _| endpoints());
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].outcome, Outcome::RolledBack);
    let other = Order {
        target: "v3".into(),
        revision: revision_in(1, 9),
        ..order()
    };
    assert!(rollouts.add_order(other, now, now + DURATION_MS));
}

/// An order of the former move's target that was written after the store had been restored.
fn fresh_order() -> Order {
    Order {
        revision: revision_in(1, 50),
        ..order()
    }
}

/// Guards against an order for a version that was rolled back before a restore, written again by
/// operators after it, that is answered with the state of the former move.
#[test]
fn an_order_that_is_written_after_a_restore_is_a_new_move() {
    let mut rollouts = Rollouts::new(0.1);
    rollouts.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
    rollouts.apply_status("pool", "v2", Outcome::Completed, 8);
    let now = BEGIN_MS + DURATION_MS * 3;
    assert!(rollouts.add_fresh_order(fresh_order(), now, now + DURATION_MS));
    let report = rollouts.reports(now).next().expect("a move was ordered");
    assert_eq!((report.outcome, report.begin), (Outcome::Running, now));
}

/// Guards against a daemon that takes a new order for one from before a restore, and has the others end
/// the move with the former one's state.
#[test]
fn a_daemon_that_takes_a_new_order_for_a_former_one_is_corrected() {
    let now = BEGIN_MS + DURATION_MS * 3;
    let mut mistaken = Rollouts::new(0.1);
    mistaken.add_order(order(), BEGIN_MS, BEGIN_MS + DURATION_MS);
    mistaken.apply_status("pool", "v2", Outcome::Completed, 8);
    mistaken.add_order(fresh_order(), now, now + DURATION_MS);
    let mut other = Rollouts::new(0.1);
    other.add_fresh_order(fresh_order(), now, now + DURATION_MS);
    let wrong = mistaken.reports(now).next().expect("a move was ordered");
    other.merge("mistaken", &wrong, now);
    let right = other.reports(now).next().expect("a move was ordered");
    assert_eq!(right.outcome, Outcome::Running);
    mistaken.merge("other", &right, now);
    let corrected = mistaken.reports(now).next().expect("a move was ordered");
    assert_eq!(corrected.outcome, Outcome::Running);
}

/// A daemon that gets the moves from another one must know what the store holds: a completed move
/// whose old endpoints have stopped is never taken back, and an earlier state does not replace it.
#[test]
fn a_state_that_the_store_holds_is_learned_from_other_daemons() {
    let mut one = Rollouts::new(0.1);
    one.add_order(order(), 0, 10_000);
    let running = one.reports(BEGIN_MS).next().expect("a move was ordered");
    one.apply_status(
        &order().service,
        &order().target,
        Outcome::Completed,
        u64::MAX,
    );
    let completed = one.reports(BEGIN_MS).next().expect("a move was ordered");
    let mut other = Rollouts::new(0.1);
    other.merge("one", &completed, 0);
    let earlier = MoveReport {
        stored: Some(Outcome::Running),
        ..running
    };
    other.merge("one", &earlier, 0);
    let report = other
        .reports(BEGIN_MS)
        .next()
        .expect("the move was reported");
    assert_eq!(report.outcome, Outcome::Completed);
    assert_eq!(report.stored, Some(Outcome::Completed));
}
