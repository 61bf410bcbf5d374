//! What daemons know of the store from one another.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::contact::{Contact, Span};
use poplarvale_lib::relay::endpoint_table::{EndpointTable, REREGISTER_GRACE};

use crate::test_relay_endpoint_table::{listing, usable};

/// Longer than entries outlast an outage.
const LONG: Duration = Duration::from_secs(5);
/// When the first daemon is answered again in an outage of that length.
const FIRST: Duration = Duration::from_secs(4);
/// Last answer of another daemon that waits for the next.
const CALM: Duration = Duration::from_millis(700);

/// A daemon that had its last answer at `start`, no other one until `back`, and reads
/// then that endpoint `a` is missing and `b` is there.
fn back_after(start: Instant, back: Instant) -> (Contact, EndpointTable) {
    let mut contact = Contact::new(start);
    contact.answered(start);
    contact.failed(start, start + LONG / 2);
    let mut table = EndpointTable::default();
    table.put(listing("a"));
    table.put(listing("b"));
    table.registry_back(back);
    table.replace(vec![listing("b")], back);
    contact.answered(back);
    (contact, table)
}

/// A daemon alone is cut off from the store, and an endpoint leaves meanwhile. Another
/// daemon had the store all the while and says so: the entry did not lapse in an
/// outage, and the endpoint gets nothing more.
#[test]
fn an_entry_missing_after_a_cut_of_one_daemon_is_a_leaving_endpoint() {
    let start = Instant::now();
    let back = start + LONG;
    let (contact, mut table) = back_after(start, back);
    assert!(usable(&table, "a", back));
    let other = Span {
        since: start,
        heard: start + FIRST,
    };
    let since = contact
        .well_since(other)
        .expect("it was answered meanwhile");
    assert_eq!(table.registry_healthy_since(since, back), vec!["a"]);
    assert!(!usable(&table, "a", back));
    assert!(usable(&table, "b", back));
}

/// The store is away for all, and one daemon is back with it a second before the
/// others. Entries of living endpoints are missing at first. They stay in use, but not
/// for longer than such entries take to come back after the first daemon was answered.
#[test]
fn after_an_outage_doubt_ends_with_that_of_the_first_daemon() {
    let start = Instant::now();
    let back = start + LONG;
    let first = start + FIRST;
    let (contact, mut table) = back_after(start, back);
    let other = Span {
        since: first,
        heard: back,
    };
    let since = contact.well_since(other).expect("it was answered first");
    assert!(table.registry_healthy_since(since, back).is_empty());
    assert!(usable(&table, "a", back));
    let end = first + REREGISTER_GRACE;
    assert_eq!(table.expire(end), vec!["a"]);
    assert!(!usable(&table, "a", end));
}

/// The store falls silent for all. Another daemon waits for an answer and has not
/// noticed yet when it tells that the store is well. Believed, its word would drop every
/// endpoint whose entry lapsed, and callers would be refused though all of them live.
#[test]
fn a_daemon_that_has_not_noticed_an_outage_is_not_believed() {
    let begin = Instant::now();
    let start = begin + LONG;
    let (contact, _) = back_after(start, start + LONG);
    let unaware = Span {
        since: begin,
        heard: start + CALM,
    };
    assert_eq!(contact.well_since(unaware), None);
}

/// A daemon that is without the store itself has no list to doubt, and one that never
/// lost it has no doubt to end.
#[test]
fn only_a_daemon_that_is_back_asks_the_others() {
    let start = Instant::now();
    let late = start + LONG;
    let other = Span {
        since: start,
        heard: late,
    };
    let mut contact = Contact::new(start);
    contact.answered(start);
    assert_eq!(contact.well_since(other), None);
    contact.failed(start, late);
    assert_eq!(contact.well_since(other), None);
    assert_eq!(contact.span(), None);
    contact.answered(late);
    assert_eq!(contact.well_since(other), Some(start));
}

/// A watch waits long for news and is then cut, and the next call is answered. The time
/// of waiting is no outage: entries that are missing then belong to endpoints that left.
#[test]
fn a_cut_watch_after_a_long_wait_is_no_outage() {
    let start = Instant::now();
    let began = start + LONG;
    let mut contact = Contact::new(start);
    contact.answered(start);
    contact.failed(began, began + CALM);
    assert!(contact.is_unbroken());
    contact.failed(began + CALM, began + CALM * 3);
    assert!(!contact.is_unbroken());
    contact.answered(began + LONG);
    assert!(contact.is_unbroken());
}
