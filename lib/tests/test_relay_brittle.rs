//! Limits of the requests in progress at brittle endpoints.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::brittle::{ConcurrencyLimit, step};

/// With more daemons a limit must rise more slowly, or their rejections add up.
#[test]
fn all_daemons_together_cause_few_rejections() {
    for (tolerated, daemons) in [(1, 7), (10, 7), (20, 82), (40, 195)] {
        let rises_per_s = daemons as f64 / step(tolerated, daemons).as_secs_f64();
        assert!(
            rises_per_s <= f64::from(tolerated).max(daemons as f64 / 10.0),
            "{daemons} daemons raise their limits {rises_per_s} times a second"
        );
    }
}

/// An endpoint that tolerates no rejection at all must still get requests.
#[test]
fn an_endpoint_that_tolerates_no_rejection_gets_requests() {
    let now = Instant::now();
    let limit = ConcurrencyLimit::new(8, 100, now);
    assert!(limit.allows(0, step(0, 100), now));
    assert!(!limit.allows(1, step(0, 100), now));
}

/// A limit that fell to nothing must rise again without an answer of the endpoint.
#[test]
fn a_limit_rises_without_rejections() {
    let now = Instant::now();
    let rise = Duration::from_millis(500);
    let mut limit = ConcurrencyLimit::new(8, 2, now);
    assert!(limit.allows(3, rise, now));
    limit.record_rejection(0, now);
    assert!(!limit.allows(0, rise, now));
    assert!(limit.allows(0, rise, now + rise));
    assert!(!limit.allows(1, rise, now + rise));
    assert!(limit.allows(9, rise, now + rise * 10));
}
