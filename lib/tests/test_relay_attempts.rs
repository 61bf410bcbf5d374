//! How often one request may be sent, and what its attempts tell.

use std::time::{Duration, Instant};

use poplarvale_lib::NotSent;
use poplarvale_lib::relay::attempts::{AttemptEnd, Attempts, MAX_ENDPOINTS, Stop, Via};
use proptest::prelude::*;
use testutils::proofs::not_run;

const ENDS: usize = 9;

fn ends() -> [AttemptEnd; ENDS] {
    [
        AttemptEnd::Answered,
        AttemptEnd::NotConnected(NotSent::unconnected()),
        AttemptEnd::NotRun(not_run()),
        AttemptEnd::Error,
        AttemptEnd::Broken,
        AttemptEnd::Invalid,
        AttemptEnd::TimedOut,
        AttemptEnd::TakenOver,
        AttemptEnd::Withdrawn,
    ]
}

/// Attempts of a stream that may be resumed.
fn resumable(max_runs: u32, now: Instant) -> Attempts {
    Attempts::new(max_runs, true, true, now)
}

/// A request that must not run twice is sent to a second endpoint while the first may run it.
#[test]
fn a_non_idempotent_request_is_not_sent_again_while_it_may_run() {
    let now = Instant::now();
    let mut attempts = Attempts::new(2, false, false, now);
    let first = attempts.begin("i-1", Via::Endpoint, now);
    assert_eq!(attempts.check_next(Via::Endpoint), Err(Stop::NotRepeatable));
    assert_eq!(attempts.check_next(Via::Daemon), Err(Stop::NotRepeatable));
    attempts.end(first, AttemptEnd::NotRun(not_run()), now);
    assert_eq!(attempts.check_next(Via::Endpoint), Ok(()));
    let second = attempts.begin("i-2", Via::Endpoint, now);
    attempts.end(second, AttemptEnd::Broken, now);
    assert_eq!(attempts.check_next(Via::Endpoint), Err(Stop::NotRepeatable));
    assert!(attempts.is_unknown());
}

/// A stream that only waited at an endpoint has no attempt left after the next one failed.
#[test]
fn waiting_for_the_first_event_is_no_run() {
    let now = Instant::now();
    let mut attempts = resumable(2, now);
    let silent = attempts.begin("i-1", Via::Endpoint, now);
    let next = attempts.begin("i-2", Via::Endpoint, now);
    assert_eq!(attempts.check_next(Via::Endpoint), Err(Stop::Runs));
    attempts.end(silent, AttemptEnd::TakenOver, now);
    attempts.record_events(next, 3);
    attempts.end(next, AttemptEnd::Broken, now);
    assert_eq!(attempts.check_next(Via::Endpoint), Ok(()));
}

/// A stream that had begun at an endpoint counts as a run there when another one takes over.
#[test]
fn a_run_that_was_taken_over_counts() {
    let now = Instant::now();
    let mut attempts = resumable(2, now);
    let first = attempts.begin("i-1", Via::Endpoint, now);
    attempts.record_events(first, 1);
    attempts.end(first, AttemptEnd::TakenOver, now);
    assert_eq!(attempts.check_next(Via::Endpoint), Ok(()));
    attempts.begin("i-2", Via::Endpoint, now);
    assert_eq!(attempts.check_next(Via::Endpoint), Err(Stop::Runs));
}

/// Guards against two daemons that each run a request as often as its route allows.
#[test]
fn daemons_are_granted_no_more_runs_than_the_route_allows() {
    let now = Instant::now();
    for (max_runs, first_grant, second_grant) in [(1, 1, None), (2, 1, Some(1)), (3, 2, Some(1))] {
        let mut attempts = Attempts::new(max_runs, true, false, now);
        let first = attempts.begin("10.0.0.7", Via::Daemon, now);
        assert_eq!(attempts.granted(first), first_grant);
        attempts.end(first, AttemptEnd::Broken, now);
        assert_eq!(
            attempts.check_next(Via::Daemon).is_ok(),
            second_grant.is_some()
        );
        if let Some(granted) = second_grant {
            let second = attempts.begin("10.0.0.8", Via::Daemon, now);
            assert_eq!(attempts.granted(second), granted);
            assert_eq!(attempts.check_next(Via::Daemon), Err(Stop::Runs));
            assert_eq!(attempts.check_next(Via::Endpoint), Err(Stop::Runs));
        }
    }
}

/// Guards against a first attempt here that costs nothing, after a daemon has tried endpoints.
#[test]
fn a_rejection_by_a_daemon_counts_as_sent() {
    let now = Instant::now();
    let mut attempts = Attempts::new(2, true, false, now);
    let first = attempts.begin("10.0.0.7", Via::Daemon, now);
    attempts.end(first, AttemptEnd::NotRun(not_run()), now);
    assert_eq!(attempts.sent(), 1);
    let second = attempts.begin("10.0.0.8", Via::Daemon, now);
    attempts.end(second, AttemptEnd::NotTaken(not_run()), now);
    assert_eq!(attempts.sent(), 1);
}

/// The attempts of a lost answer do not tell how each ended.
#[test]
fn the_attempts_are_told_in_one_line() {
    let now = Instant::now();
    let after = |ms| now + Duration::from_millis(ms);
    let mut attempts = resumable(2, now);
    let first = attempts.begin("i-1", Via::Endpoint, after(2));
    attempts.record_events(first, 7);
    let second = attempts.begin("10.0.0.7", Via::Daemon, after(1500));
    attempts.end(second, AttemptEnd::NotRun(not_run()), after(1502));
    assert_eq!(
        attempts.to_string(),
        "i-1 at 2: in progress after 7 events; 10.0.0.7 at 1500 to 1502: not run"
    );
}

proptest! {
    /// Whatever ends the attempts, a request is sent to a bounded number of endpoints, and runs no
    /// more often than its route allows.
    #[test]
    fn sends_and_runs_are_bounded(
        max_runs in 1_u32..4,
        repeatable: bool,
        stream: bool,
        steps in prop::collection::vec((0..ENDS, any::<bool>(), any::<bool>()), 1..12),
    ) {
        let now = Instant::now();
        let mut attempts = Attempts::new(max_runs, repeatable, stream, now);
        let mut runs = 0;
        for (number, (end, has_events, stays_open)) in steps.into_iter().enumerate() {
            if attempts.check_next(Via::Endpoint).is_err() {
                break;
            }
            let at = attempts.begin(&format!("i-{number}"), Via::Endpoint, now);
            let has_run = !matches!(ends()[end], AttemptEnd::NotConnected(_) | AttemptEnd::NotRun(_));
            let has_events = has_events && has_run;
            attempts.record_events(at, u64::from(has_events));
            if !stays_open {
                attempts.end(at, ends()[end], now);
            }
            runs += u32::from(has_events);
        }
        prop_assert!(attempts.sent() <= MAX_ENDPOINTS);
        let allowed = if repeatable { max_runs } else { 1 };
        prop_assert!(runs <= allowed);
    }

    /// Whatever ends the attempts at endpoints and daemons, the runs that they were granted and may have
    /// used are no more than the route allows.
    #[test]
    fn granted_runs_are_bounded(
        max_runs in 1_u32..5,
        steps in prop::collection::vec((0..ENDS, any::<bool>(), any::<bool>()), 1..12),
    ) {
        let now = Instant::now();
        let mut attempts = Attempts::new(max_runs, true, false, now);
        let mut granted = 0;
        for (number, (end, is_daemon, stays_open)) in steps.into_iter().enumerate() {
            let via = if is_daemon { Via::Daemon } else { Via::Endpoint };
            if attempts.check_next(via).is_err() {
                continue;
            }
            let at = attempts.begin(&format!("t-{number}"), via, now);
            if !stays_open {
                attempts.end(at, ends()[end], now);
            }
            let is_unused = matches!(ends()[end], AttemptEnd::NotConnected(_) | AttemptEnd::NotRun(_));
            if stays_open || !is_unused {
                granted += attempts.granted(at);
            }
        }
        prop_assert!(granted <= max_runs);
    }
}
