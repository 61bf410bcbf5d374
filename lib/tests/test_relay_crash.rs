//! Quarantine of requests that crash endpoints, over several daemons.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::crash::{
    CRASH_TTL, CrashUpdate, Crashes, QUARANTINE_CRASHES, fingerprint,
};
use proptest::prelude::*;

const FATAL: u64 = 7;
const OTHER: u64 = 8;
/// Time between two digests.
const PERIOD: Duration = Duration::from_millis(250);

/// Sends one daemon's digest to another.
fn digest(from: &Crashes, to: &mut Crashes, whole: bool, now: Instant) {
    for crash in from.report(whole, false, now) {
        to.merge(&crash, now);
    }
    for fingerprint in from.report_cleared(now) {
        to.merge_cleared(fingerprint);
    }
}

/// Each daemon sees a request crash fewer endpoints than a quarantine needs.
#[test]
fn crashes_seen_by_different_daemons_count_together() {
    let now = Instant::now();
    let mut daemons = vec![Crashes::default(); QUARANTINE_CRASHES];
    for (incarnation, daemon) in (1..).zip(&mut daemons) {
        daemon.record(FATAL, incarnation, now);
    }
    let (last, others) = daemons.split_last_mut().expect("there are several daemons");
    for other in others.iter() {
        digest(other, last, false, now);
    }
    assert_eq!(last.quarantine_left(FATAL, now), Some(CRASH_TTL));
    assert_eq!(last.quarantine_left(OTHER, now), None);
    digest(last, &mut others[0], false, now);
    assert!(others[0].quarantine_left(FATAL, now).is_some());
}

/// One crash breaks off several attempts of a request, and each daemon reports it again and
/// again.
#[test]
fn one_crash_counts_once() {
    let now = Instant::now();
    let (mut one, mut other) = (Crashes::default(), Crashes::default());
    for _ in 0..QUARANTINE_CRASHES {
        one.record(FATAL, 1, now);
        other.record(FATAL, 1, now);
        digest(&one, &mut other, true, now);
    }
    assert_eq!(other.quarantine_left(FATAL, now), None);
}

/// A popular request was running on three endpoints when they crashed for another reason. It is
/// served elsewhere and must not be rejected.
#[test]
fn a_request_that_is_served_is_cleared_everywhere() {
    let now = Instant::now();
    let (mut one, mut other) = (Crashes::default(), Crashes::default());
    for incarnation in 0..QUARANTINE_CRASHES as u32 {
        one.record(FATAL, incarnation, now);
    }
    digest(&one, &mut other, false, now);
    assert!(other.quarantine_left(FATAL, now).is_some());
    assert!(other.clear(FATAL, now));
    // A digest that was in transit does not bring it back.
    digest(&one, &mut other, false, now);
    digest(&other, &mut one, false, now);
    assert_eq!(one.quarantine_left(FATAL, now), None);
    assert_eq!(other.quarantine_left(FATAL, now), None);
}

/// Daemons report a quarantined request for as long as they know it. That must not extend its
/// quarantine.
#[test]
fn a_quarantine_ends_although_daemons_report_it() {
    let start = Instant::now();
    let (mut one, mut other) = (Crashes::default(), Crashes::default());
    for incarnation in 0..QUARANTINE_CRASHES as u32 {
        one.record(FATAL, incarnation, start);
    }
    let mut now = start;
    while now < start + CRASH_TTL + PERIOD {
        now += PERIOD;
        digest(&one, &mut other, true, now);
        digest(&other, &mut one, true, now);
        one.expire(now);
        other.expire(now);
    }
    assert!(one.is_empty() && other.is_empty());
}

/// Requests that are no two alike crash endpoints by one part of their prompts, among parts that
/// sound requests have too.
#[test]
fn a_part_that_different_requests_share_is_quarantined() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crashes.record_served(&[OTHER], now);
    for incarnation in 0..QUARANTINE_CRASHES as u32 {
        let whole = 100 + u64::from(incarnation);
        crashes.record_crash(&[OTHER, FATAL, whole], incarnation, now);
    }
    assert!(crashes.quarantine_left(FATAL, now).is_some());
    assert_eq!(crashes.quarantine_left(OTHER, now), None);
}

/// Requests that were sent before the quarantine go on crashing endpoints. These crashes do not count
/// against the requests beside them.
#[test]
fn crashes_by_a_quarantined_part_do_not_count_against_others() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for incarnation in 0..QUARANTINE_CRASHES as u32 {
        crashes.record_crash(&[FATAL], incarnation, now);
    }
    for incarnation in 10..20 {
        crashes.record_crash(&[FATAL, OTHER], incarnation, now);
    }
    assert_eq!(crashes.quarantine_left(OTHER, now), None);
}

/// One daemon serves requests with a part that another one only sees break off beside others.
#[test]
fn a_part_that_another_daemon_serves_is_cleared() {
    let now = Instant::now();
    let (mut one, mut other) = (Crashes::default(), Crashes::default());
    for incarnation in 0..QUARANTINE_CRASHES as u32 {
        one.record_crash(&[OTHER], incarnation, now);
    }
    other.record_served(&[OTHER], now);
    digest(&one, &mut other, false, now);
    assert_eq!(other.quarantine_left(OTHER, now), None);
    digest(&other, &mut one, false, now);
    assert_eq!(one.quarantine_left(OTHER, now), None);
}

/// The first crashes leave the fatal part and one that sound requests share, too. Sound requests are
/// tried and clear theirs, deadly ones are not tried.
#[test]
fn a_request_is_tried_if_something_else_explains_the_crashes() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for incarnation in 0..QUARANTINE_CRASHES as u32 {
        crashes.record_crash(&[FATAL, OTHER], incarnation, now);
    }
    assert!(!crashes.take_trial(&[FATAL, OTHER], Duration::ZERO, now));
    assert!(!crashes.take_trial(&[OTHER], PERIOD, now));
    assert!(crashes.take_trial(&[OTHER], PERIOD, now + PERIOD));
    assert!(
        !crashes.take_trial(&[OTHER], PERIOD, now + PERIOD),
        "one trial at a time"
    );
    crashes.record_served(&[OTHER], now + PERIOD);
    assert_eq!(crashes.quarantine_left(OTHER, now + PERIOD), None);
    assert!(!crashes.may_try(&[FATAL], now + PERIOD));
}

/// A trial that crashes its endpoint leaves no other explanation, so nothing more is tried.
#[test]
fn a_trial_that_crashes_is_the_last_one() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for incarnation in 0..QUARANTINE_CRASHES as u32 {
        crashes.record_crash(&[FATAL, OTHER], incarnation, now);
    }
    assert!(crashes.take_trial(&[FATAL], Duration::ZERO, now));
    crashes.record_crash(&[FATAL], 99, now);
    assert!(!crashes.may_try(&[FATAL], now));
    assert!(crashes.may_try(&[OTHER], now));
}

/// A daemon learns from the others that a part which sound requests share was in one crash more than
/// it has seen itself. Guards against sound requests that are never tried, as nothing else seems to
/// explain the crashes.
#[test]
fn a_shared_part_that_is_reported_first_hides_no_other_explanation() {
    const SHARED: u64 = 9;
    for seen in QUARANTINE_CRASHES as u32 - 1..=QUARANTINE_CRASHES as u32 {
        let now = Instant::now();
        let (mut one, mut other) = (Crashes::default(), Crashes::default());
        for incarnation in 0..seen {
            one.record_crash(&[SHARED, FATAL], incarnation, now);
        }
        for incarnation in 0..=QUARANTINE_CRASHES as u32 {
            other.record_crash(&[SHARED], incarnation, now);
        }
        digest(&other, &mut one, false, now);
        for incarnation in seen..=QUARANTINE_CRASHES as u32 {
            one.record_crash(&[SHARED, FATAL], incarnation, now);
        }
        assert!(one.quarantine_left(SHARED, now).is_some());
        assert!(one.quarantine_left(FATAL, now).is_some());
        assert!(one.may_try(&[SHARED, OTHER], now), "{seen} crashes seen");
    }
}

/// Many requests crash endpoints at the same moment, and daemons learn of the crashes in different
/// orders. Guards against sound requests that are never tried, as two parts seem to have been in
/// different crashes.
#[test]
fn many_crashes_at_once_leave_the_same_explanation_to_all_daemons() {
    const SHARED: u64 = 9;
    const CRASHED: u32 = 9;
    let now = Instant::now();
    let (mut one, mut other) = (Crashes::default(), Crashes::default());
    for incarnation in 0..CRASHED {
        other.record_crash(&[SHARED], incarnation, now);
    }
    digest(&other, &mut one, false, now);
    for incarnation in (0..CRASHED).rev() {
        one.record(SHARED, incarnation, now);
        one.record(FATAL, incarnation, now);
    }
    assert!(one.may_try(&[SHARED, OTHER], now));
}

/// A wave of crashes makes many requests suspected at once. They must not displace the record
/// of the quarantined one, nor fill the digests.
#[test]
fn a_wave_of_suspects_displaces_no_quarantine() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for incarnation in 0..QUARANTINE_CRASHES as u32 {
        crashes.record(FATAL, incarnation, now);
    }
    for fingerprint in 1000..20_000 {
        crashes.record(fingerprint, 99, now + PERIOD);
    }
    assert!(crashes.quarantine_left(FATAL, now + PERIOD).is_some());
    let report = crashes.report(false, false, now + PERIOD);
    assert_eq!(report[0].fingerprint, FATAL);
    assert!(report.len() < 100);
}

/// A report without incarnations, or whose time is over, suspects no request.
#[test]
fn empty_reports_change_nothing() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crashes.record(OTHER, 1, now);
    let mut crash = crashes.report(false, false, now).remove(0);
    let mut other = Crashes::default();
    crash.left = Duration::ZERO;
    assert_eq!(other.merge(&crash, now), CrashUpdate::Unchanged);
    crash.left = CRASH_TTL;
    crash.incarnations.clear();
    assert_eq!(other.merge(&crash, now), CrashUpdate::Unchanged);
    assert!(other.is_empty());
}

/// Requests whose parts are equal when joined are different.
#[test]
fn fingerprints_distinguish_requests() {
    let fingerprints = [
        fingerprint("club", "a.example", b"GET", b"/a", b""),
        fingerprint("club", "a.example", b"GET", b"/", b"a"),
        fingerprint("clu", "ba.example", b"GET", b"/a", b""),
        fingerprint("club", "a.example", b"POST", b"/a", b""),
    ];
    for (at, one) in fingerprints.iter().enumerate() {
        assert!(!fingerprints[at + 1..].contains(one));
    }
}

proptest! {
    /// Whichever digests are lost, late or repeated: once each daemon has received one from
    /// each other, all quarantine the same requests, and just those under which enough
    /// endpoints crashed.
    #[test]
    fn daemons_agree_after_lost_and_repeated_digests(
        crashed in prop::collection::vec((0_usize..4, 0_u64..5, 0_u32..8), 0..30),
        digests in prop::collection::vec((0_usize..4, 0_usize..4), 0..30),
    ) {
        let now = Instant::now();
        let mut daemons = vec![Crashes::default(); 4];
        for (at, (daemon, fingerprint, incarnation)) in crashed.iter().enumerate() {
            daemons[*daemon].record(*fingerprint, *incarnation, now);
            if let Some((from, to)) = digests.get(at) {
                let from = daemons[*from].clone();
                digest(&from, &mut daemons[*to], true, now);
            }
        }
        for _ in 0..2 {
            for (from, to) in (0..4).flat_map(|from| (0..4).map(move |to| (from, to))) {
                let from = daemons[from].clone();
                digest(&from, &mut daemons[to], true, now);
            }
        }
        for fingerprint in 0..5 {
            let mut incarnations: Vec<u32> = crashed.iter().filter(|crash| crash.1 == fingerprint).map(|crash| crash.2).collect();
            incarnations.sort_unstable();
            incarnations.dedup();
            for daemon in &daemons {
                prop_assert_eq!(daemon.quarantine_left(fingerprint, now).is_some(), incarnations.len() >= QUARANTINE_CRASHES);
            }
        }
    }
}
