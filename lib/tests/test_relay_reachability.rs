//! Which services a daemon reaches.

use std::time::{Duration, Instant};

use poplarvale_lib::ServiceId;
use poplarvale_lib::relay::reachability::{ReachChange, Reachability};

fn service(name: &str) -> ServiceId {
    name.into()
}

/// Failures of single endpoints alone must not have requests forwarded.
#[test]
fn failures_alone_do_not_cut_a_daemon_off() {
    let now = Instant::now();
    let mut reach = Reachability::default();
    for _ in 0..100 {
        reach.record_failure(&service("app"), now);
    }
    assert!(!reach.is_cut_off("app"));
    assert_eq!(reach.next_check(), Some((&service("app"), now)));
    let change = reach.record_check(&service("app"), Some(true), now);
    assert_eq!(change, ReachChange::None);
    assert_eq!(reach.next_check(), None);
}

/// A service without any registered endpoint is not cut off from this daemon alone.
#[test]
fn a_service_without_endpoints_is_not_cut_off() {
    let now = Instant::now();
    let mut reach = Reachability::default();
    reach.record_failure(&service("app"), now);
    reach.record_check(&service("app"), None, now);
    assert!(!reach.is_cut_off("app"));
    assert_eq!(reach.next_check(), None);
}

/// A daemon that is cut off must notice the end of the partition without any request.
#[test]
fn a_service_that_is_cut_off_is_checked_until_it_is_reached() {
    let mut now = Instant::now();
    let mut reach = Reachability::default();
    reach.record_failure(&service("app"), now);
    let change = reach.record_check(&service("app"), Some(false), now);
    assert_eq!(change, ReachChange::Lost);
    assert!(reach.is_cut_off("app"));
    assert!(!reach.is_cut_off("other"));
    for _ in 0..5 {
        let (checked, due) = reach.next_check().expect("a check is due");
        assert_eq!(checked, "app");
        assert!(due > now && due <= now + Duration::from_secs(1));
        now = due;
        let change = reach.record_check(&service("app"), Some(false), now);
        assert_eq!(change, ReachChange::None);
    }
    let lasted = Duration::from_secs(9);
    let change = reach.record_check(&service("app"), Some(true), now + lasted);
    assert!(matches!(change, ReachChange::Regained(time) if time >= lasted));
    assert!(!reach.is_cut_off("app"));
    assert_eq!(reach.next_check(), None);
}

/// Crashing endpoints must not have a daemon check the others again and again.
#[test]
fn failures_after_a_check_wait_for_the_next_one() {
    let now = Instant::now();
    let mut reach = Reachability::default();
    reach.record_failure(&service("app"), now);
    reach.record_check(&service("app"), Some(true), now);
    reach.record_failure(&service("app"), now + Duration::from_millis(1));
    let (_, due) = reach.next_check().expect("a check is due");
    assert!(due >= now + Duration::from_millis(300));
}

/// Something accepts connections in place of the endpoints and swallows all data. Guards against a
/// daemon that takes that for endpoints that it reaches, and against one that never tries again.
#[test]
fn accepted_connections_show_nothing_while_all_attempts_are_silent() {
    let mut now = Instant::now();
    let mut reach = Reachability::default();
    let app = service("app");
    for _ in 0..10 {
        reach.record_silence(&app, now);
        reach.record_answer("app", now);
    }
    reach.record_check(&app, Some(true), now);
    assert!(!reach.is_cut_off("app"), "endpoints answer in between");
    for _ in 0..10 {
        reach.record_silence(&app, now);
    }
    assert!(!reach.take_trial("app", now), "it counts as reached");
    let change = reach.record_check(&app, Some(true), now);
    assert_eq!(change, ReachChange::Lost);
    assert!(!reach.take_trial("app", now));
    now += Duration::from_secs(1);
    assert!(reach.take_trial("app", now));
    assert!(!reach.take_trial("app", now), "one trial at a time");
    assert!(reach.is_cut_off("app"));
    reach.record_answer("app", now);
    assert_eq!(reach.next_check(), Some((&app, now)));
    let change = reach.record_check(&app, Some(true), now);
    assert!(matches!(change, ReachChange::Regained(_)));
    assert!(!reach.take_trial("app", now + Duration::from_secs(9)));
}
