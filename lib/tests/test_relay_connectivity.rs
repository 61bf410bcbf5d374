//! What daemons learn from one another about the availability of the store.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::connectivity::{Connectivity, ReachableSpan};
use poplarvale_lib::relay::endpoint_table::{EndpointTable, REREGISTER_GRACE};

use crate::test_relay_endpoint_table::{listing, usable};

/// An outage after which registry entries have expired.
const LONG: Duration = Duration::from_secs(5);
/// When the first daemon gets an answer again in an outage of that length.
const FIRST: Duration = Duration::from_secs(4);
/// Time for which a daemon may wait for an answer without sign of an outage.
const CALM: Duration = Duration::from_millis(700);

/// A daemon that had its last answer at `start` and the next one at `back`, and then reads that
/// the entry of endpoint `a` is missing and that of `b` exists.
fn reconnected(start: Instant, back: Instant) -> (Connectivity, EndpointTable) {
    let mut connectivity = Connectivity::new(start);
    connectivity.record_answer(start);
    connectivity.record_failure(start, start + LONG / 2);
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    table.put(listing("b"));
    table.registry_back(back);
    table.replace(vec![listing("b")], back);
    connectivity.record_answer(back);
    (connectivity, table)
}

/// One daemon is partitioned from the store, and an endpoint leaves meanwhile. Another daemon was
/// connected all the time and advertises that: the entry did not expire in an outage, so the
/// endpoint gets no more requests.
#[test]
fn an_entry_missing_after_a_partition_of_one_daemon_is_a_leaving_endpoint() {
    let start = Instant::now();
    let back = start + LONG;
    let (connectivity, mut table) = reconnected(start, back);
    assert!(usable(&table, "a", back));
    let other = ReachableSpan {
        since: start,
        last_answer: start + FIRST,
    };
    let since = connectivity
        .available_since(other)
        .expect("the store answered the other daemon meanwhile");
    assert_eq!(table.registry_healthy_since(since, back), vec!["a"]);
    assert!(!usable(&table, "a", back));
    assert!(usable(&table, "b", back));
}

/// The store is down for all daemons, and one of them is reconnected a second before the others.
/// Entries of running endpoints are missing at first. The endpoints stay in use, but not for
/// longer than their entries take to come back after the first daemon got an answer.
#[test]
fn after_an_outage_the_grace_time_counts_from_the_first_reconnected_daemon() {
    let start = Instant::now();
    let back = start + LONG;
    let first = start + FIRST;
    let (connectivity, mut table) = reconnected(start, back);
    let other = ReachableSpan {
        since: first,
        last_answer: back,
    };
    let since = connectivity
        .available_since(other)
        .expect("the store answered the other daemon first");
    assert!(table.registry_healthy_since(since, back).is_empty());
    assert!(usable(&table, "a", back));
    let end = first + REREGISTER_GRACE;
    assert_eq!(table.expire(end), vec!["a"]);
    assert!(!usable(&table, "a", end));
}

/// The store stops answering all daemons. Another daemon waits for an answer, has not noticed the
/// outage yet and advertises that the store is available. If this were relied on, every endpoint
/// whose entry expired would be dropped, and callers rejected although all endpoints run.
#[test]
fn a_daemon_that_has_not_noticed_an_outage_is_ignored() {
    let begin = Instant::now();
    let start = begin + LONG;
    let (connectivity, _) = reconnected(start, start + LONG);
    let unaware = ReachableSpan {
        since: begin,
        last_answer: start + CALM,
    };
    assert_eq!(connectivity.available_since(unaware), None);
}

/// A daemon without connection to the store has no new list of entries to check, and one that
/// was never disconnected has no missing entries to decide on.
#[test]
fn only_a_reconnected_daemon_relies_on_others() {
    let start = Instant::now();
    let late = start + LONG;
    let other = ReachableSpan {
        since: start,
        last_answer: late,
    };
    let mut connectivity = Connectivity::new(start);
    connectivity.record_answer(start);
    assert_eq!(connectivity.available_since(other), None);
    connectivity.record_failure(start, late);
    assert_eq!(connectivity.available_since(other), None);
    assert_eq!(connectivity.span(), None);
    connectivity.record_answer(late);
    assert_eq!(connectivity.available_since(other), Some(start));
}

/// A watch waits long for changes and is then cut off, and the next call is answered. The time of
/// waiting is no outage: entries that are missing then belong to endpoints that left.
#[test]
fn a_cut_watch_after_a_long_wait_is_no_outage() {
    let start = Instant::now();
    let began = start + LONG;
    let mut connectivity = Connectivity::new(start);
    connectivity.record_answer(start);
    connectivity.record_failure(began, began + CALM);
    assert!(connectivity.is_reachable());
    connectivity.record_failure(began + CALM, began + CALM * 3);
    assert!(!connectivity.is_reachable());
    connectivity.record_answer(began + LONG);
    assert!(connectivity.is_reachable());
}

/// Guards against an outage that a daemon takes for over by what the store answered another one before it.
#[test]
fn an_answer_from_before_an_outage_does_not_end_it() {
    let start = Instant::now();
    let mut connectivity = Connectivity::new(start);
    connectivity.record_answer(start);
    connectivity.record_failure(start + CALM, start + LONG);
    assert!(!connectivity.is_reachable());
    connectivity.record_answer(start + CALM);
    assert!(!connectivity.is_reachable());
    connectivity.record_answer(start + LONG);
    assert!(connectivity.is_reachable());
}
