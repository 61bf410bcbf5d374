//! The endpoint table while the registry changes, is unavailable and returns.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::endpoint_table::{
    Changed, EndpointState, EndpointTable, REREGISTER_GRACE,
};
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::load_reports::{Load, Reporter};
use poplarvale_lib::relay::quota::name_hash;

pub(crate) fn listing(id: &str) -> Listing {
    Listing {
        id: id.into(),
        service: "pool".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hanko".into(),
        version: "v1".into(),
        slots: 8,
        leaving: false,
        spot: false,
        born: Some(1),
        count: 1,
        cold: None,
    }
}

pub(crate) fn usable(table: &EndpointTable, id: &str, now: Instant) -> bool {
    table.get(id).is_some_and(|row| row.is_usable(now))
}

/// An endpoint's entry is marked as leaving. A request that is sent to it later may be cut off
/// when its process ends.
#[test]
fn a_leaving_endpoint_gets_nothing_from_that_instant() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    assert!(usable(&table, "a", now));
    let left = Listing {
        leaving: true,
        ..listing("a")
    };
    assert_eq!(table.put(left), Changed::Left);
    assert!(!usable(&table, "a", now));
}

/// The registry was unavailable for so long that the entries of running endpoints expired, and
/// the first list after its return is empty. If the endpoints were dropped at once, every
/// caller would be rejected though all endpoints run.
#[test]
fn entries_missing_right_after_an_outage_stay_in_use_for_a_while() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    table.put(listing("b"));
    table.registry_back(now);
    table.replace(Vec::new(), now);
    assert!(usable(&table, "a", now));
    let later = now + REREGISTER_GRACE / 2;
    table.put(listing("a"));
    table.expire(later);
    assert!(usable(&table, "b", later));
    let end = now + REREGISTER_GRACE;
    assert_eq!(table.expire(end), vec!["b"]);
    assert!(usable(&table, "a", end));
    assert!(!usable(&table, "b", end));
}

/// An endpoint's entry is still missing when its grace is over. The endpoint must get nothing
/// from that moment on, not only after the next cleanup of the table: that may be half a second
/// later, when an endpoint that left no longer serves.
#[test]
fn a_doubtful_endpoint_gets_nothing_once_its_grace_is_over() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    table.registry_back(now);
    table.replace(Vec::new(), now);
    assert!(usable(&table, "a", now));
    assert!(!usable(&table, "a", now + REREGISTER_GRACE));
}

/// An entry is removed while the registry is available, without having been marked as leaving
/// before. The endpoint has left.
#[test]
fn an_endpoint_leaves_when_its_entry_is_removed_from_an_available_registry() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    table.registry_back(now);
    let later = now + REREGISTER_GRACE + Duration::from_millis(1);
    assert_eq!(table.entry_removed("a", later), Changed::Left);
    assert!(!usable(&table, "a", later));
}

/// An endpoint crashes and starts again under the same id. Failures of its former incarnation
/// must not count for the new one.
#[test]
fn a_restart_under_the_same_id_resets_what_was_learned() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    let row = table.get_mut("a").expect("the endpoint is in the table");
    for _ in 0..8 {
        row.breaker.record_failure(now);
    }
    assert!(!usable(&table, "a", now));
    let restarted = Listing {
        born: Some(2),
        ..listing("a")
    };
    assert_eq!(table.put(restarted), Changed::Joined);
    assert!(usable(&table, "a", now));
}

/// Another daemon sees an endpoint leave before this daemon reads the registry.
#[test]
fn an_endpoint_that_another_daemon_saw_leave_gets_nothing() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    table.put(listing("b"));
    assert_eq!(table.mark_leaving(&[name_hash("a")]), vec!["a"]);
    assert!(!usable(&table, "a", now));
    assert_eq!(
        table.get("b").map(|row| row.state),
        Some(EndpointState::Ready)
    );
}

/// A write of an endpoint gets no answer, so the endpoint writes again, and then writes that it
/// is leaving. The store applies the first write seconds later, so that the entry reads as
/// ready again. If it were applied here, the endpoint would get requests until it ends, and
/// these would be cut off.
#[test]
fn an_older_entry_that_comes_late_makes_no_endpoint_ready_again() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    let entry = |count, leaving| Listing {
        leaving,
        count,
        ..listing("a")
    };
    table.put(entry(5, false));
    table.put(entry(7, true));
    assert_eq!(table.put(entry(6, false)), Changed::Nothing);
    assert!(!usable(&table, "a", now));
    table.expire(now);
    assert_eq!(table.put(entry(6, false)), Changed::Nothing);
    assert!(!usable(&table, "a", now));
    table.put(entry(8, false));
    assert!(usable(&table, "a", now));
}

/// An endpoint is restarted under the same id and leaves, and a late entry of its former
/// incarnation reads as ready.
#[test]
fn a_late_entry_of_a_former_incarnation_is_ignored() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    let entry = |born, count, leaving| Listing {
        born: Some(born),
        count,
        leaving,
        ..listing("a")
    };
    table.put(entry(1, 40, false));
    table.put(entry(2, 1, false));
    table.put(entry(2, 2, true));
    assert_eq!(table.put(entry(1, 41, false)), Changed::Nothing);
    assert!(!usable(&table, "a", now));
}

fn load(id: &str, requests: u32) -> (u32, Load) {
    let tokens = f64::from(requests) * 10.0;
    (name_hash(id), Load { requests, tokens })
}

/// Watchers report the load of their whole zone, and its daemons report their own load less
/// often. If the load counted twice, an endpoint that has room would seem full.
#[test]
fn load_of_a_zone_counts_once() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    let daemon = |name: &str| Reporter::Daemon(7, name.into());
    let busy = |table: &EndpointTable| table.get("a").map(|row| row.remote_load.requests);
    table.apply_report(daemon("d1"), vec![load("a", 2)], now);
    table.apply_report(daemon("d2"), vec![load("a", 3)], now);
    assert_eq!(busy(&table), Some(5));
    assert_eq!(table.zone_load(7), [load("a", 5)]);
    table.apply_report(Reporter::Zone(7), vec![load("a", 6)], now);
    assert_eq!(busy(&table), Some(6));
    table.apply_report(daemon("d1"), vec![load("a", 2)], now);
    assert_eq!(busy(&table), Some(6));
    table.apply_report(Reporter::Zone(7), vec![load("a", 4)], now);
    assert_eq!(busy(&table), Some(4));
    // The watchers of that zone are lost, so the reports of its daemons count again.
    let later = now + Duration::from_secs(3);
    table.apply_report(daemon("d2"), vec![load("a", 1)], later);
    assert_eq!(busy(&table), Some(1));
}

/// An endpoint joins after other daemons have begun to send to it. Their load must not be
/// missing, nor be subtracted later without having been added.
#[test]
fn load_reported_before_an_endpoint_joined_counts() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    let reporter = Reporter::Daemon(7, "d1".into());
    table.apply_report(reporter.clone(), vec![load("a", 3)], now);
    table.put(listing("a"));
    let remote = |table: &EndpointTable| table.get("a").map(|row| row.remote_load);
    assert_eq!(remote(&table), Some(load("a", 3).1));
    table.apply_report(reporter, vec![], now);
    assert_eq!(remote(&table), Some(Load::default()));
}

/// An endpoint announced in an answer that it leaves, and the registry shows it as ready for longer:
/// its last write waits for the store. A later entry of the same incarnation must not bring it
/// back, one of the next incarnation must.
#[test]
fn no_entry_of_an_incarnation_that_announced_its_departure_is_believed() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    assert!(table.record_departure("a", now));
    assert!(!table.record_departure("a", now));
    let rewritten = Listing {
        count: 9,
        ..listing("a")
    };
    assert!(!table.is_change(&rewritten));
    table.put(rewritten.clone());
    assert!(!usable(&table, "a", now));
    let later = now + Duration::from_mins(1);
    table.expire(later);
    assert_eq!(table.put(rewritten.clone()), Changed::Nothing);
    assert_eq!(table.replace(vec![rewritten], later), []);
    assert!(!usable(&table, "a", later));
    let restarted = Listing {
        born: Some(2),
        ..listing("a")
    };
    assert!(table.is_change(&restarted));
    assert_eq!(table.put(restarted), Changed::Joined);
    assert!(usable(&table, "a", later));
}

/// Another daemon got the answer, and reports it before this one knows the endpoint, or again after
/// the endpoint has started anew under its id.
#[test]
fn a_departure_that_another_daemon_reports_holds_for_that_incarnation() {
    let now = Instant::now();
    let (mut witness, mut table) = (EndpointTable::default(), EndpointTable::default());
    witness.put(listing("a"));
    witness.record_departure("a", now);
    let reported = witness.report_departures(false, now);
    assert_eq!(reported.len(), 1);
    assert!(table.merge_departures(&reported, now).is_empty());
    assert_eq!(table.put(listing("a")), Changed::Nothing);
    assert!(table.report_departures(false, now).is_empty());
    assert_eq!(table.report_departures(true, now), reported);
    let restarted = Listing {
        born: Some(2),
        ..listing("a")
    };
    table.put(restarted);
    assert!(table.merge_departures(&reported, now).is_empty());
    assert!(usable(&table, "a", now));
}

/// An endpoint asked for a rest, and its registry entry expires and comes back meanwhile. The rest
/// must still hold, but not for the next incarnation.
#[test]
fn a_rest_outlives_the_row_of_its_endpoint() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    table.record_rest("a", Duration::from_secs(3), now);
    table.record_rest("a", Duration::from_secs(1), now);
    table.entry_removed("a", now);
    table.expire(now);
    assert!(table.get("a").is_none());
    let rewritten = Listing {
        count: 2,
        ..listing("a")
    };
    table.put(rewritten);
    let check = |table: &EndpointTable, after: u64| {
        let row = table.get("a").expect("it is registered");
        row.check_rate(now + Duration::from_millis(after))
    };
    assert_eq!(check(&table, 2000), Err(Duration::from_secs(1)));
    assert_eq!(check(&table, 3000), Ok(()));
    let restarted = Listing {
        born: Some(2),
        ..listing("a")
    };
    table.put(restarted);
    assert_eq!(check(&table, 0), Ok(()));
}
