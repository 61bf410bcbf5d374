//! The phases of a daemon's end and their bounds.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::life::{Leaving, Life};
use proptest::prelude::*;

const GRACE: Duration = Duration::from_secs(8);
const SECOND: Duration = Duration::from_secs(1);

/// A daemon is told to end with nothing in progress. The balancer still sends callers
/// for two seconds; one that closed at once would turn them away.
#[test]
fn an_idle_daemon_waits_for_the_balancer_before_it_closes() {
    let now = Instant::now();
    let leaving = Leaving::begin(now, GRACE);
    assert!(!leaving.may_close(0, now + SECOND * 2));
    assert!(leaving.may_close(0, now + SECOND * 3));
    assert!(!leaving.may_close(1, now + SECOND * 3));
    assert!(leaving.may_close(1, now + GRACE));
}

/// A stream comes late to a daemon that ends, and would be cut off at its end. A short
/// request that will be over is served.
#[test]
fn what_would_be_cut_off_is_not_taken_late() {
    let now = Instant::now();
    let life = Life::Leaving(Leaving::begin(now, GRACE));
    let (early, late) = (now + SECOND, now + SECOND * 4);
    assert!(life.takes(now + GRACE * 2, early));
    assert!(!life.takes(now + GRACE * 2, late));
    assert!(life.takes(late + SECOND, late));
}

/// A connection is accepted by a daemon that has long been told to end, and its request
/// arrives a moment later. Closed at once as idle, the caller would not be heard.
#[test]
fn a_new_connection_is_read_for_a_moment() {
    let now = Instant::now();
    let leaving = Leaving::begin(now, GRACE);
    let late = now + SECOND * 4;
    let life = Life::Leaving(leaving);
    assert!(life.idle_end(late, SECOND) > late);
    assert_eq!(life.idle_end(now, SECOND * 10), leaving.idle);
    let closing = Life::Closing(leaving.close(late));
    assert!(closing.idle_end(late, SECOND) > late);
    assert!(!closing.takes(late, late));
}

proptest! {
    /// Whatever the grace, the daemon is gone before it would be killed, and every
    /// request that it takes late is over before it closes.
    #[test]
    fn the_end_comes_before_the_kill(grace_ms in 700u64..20_000, at_ms in 0u64..20_000, life_ms in 0u64..20_000) {
        let now = Instant::now();
        let grace = Duration::from_millis(grace_ms);
        let leaving = Leaving::begin(now, grace);
        prop_assert!(leaving.quiet <= leaving.last && leaving.idle <= leaving.last);
        let closing = leaving.close(leaving.last);
        prop_assert!(closing.accept <= closing.cross && closing.cross <= closing.last);
        prop_assert!(closing.last < now + grace);
        let at = now + Duration::from_millis(at_ms);
        let deadline = at + Duration::from_millis(life_ms);
        if at > leaving.quiet && leaving.takes(deadline, at) {
            prop_assert!(deadline <= leaving.last);
        }
    }
}
