//! The table of endpoints while the registry changes, is away and comes back.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::board::{Board, Changed, Others, RETURN, Standing, Teller};
use poplarvale_lib::relay::listing::Listing;
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
    }
}

pub(crate) fn usable(board: &Board, id: &str, now: Instant) -> bool {
    board.get(id).is_some_and(|row| row.is_usable(now))
}

/// An endpoint says that it leaves. What is sent to it later may be cut off when it
/// ends.
#[test]
fn a_leaving_endpoint_gets_nothing_from_that_instant() {
    let now = Instant::now();
    let mut board = Board::default();
    board.put(listing("a"));
    assert!(usable(&board, "a", now));
    let left = Listing {
        leaving: true,
        ..listing("a")
    };
    assert_eq!(board.put(left), Changed::Left);
    assert!(!usable(&board, "a", now));
}

/// The registry was away so long that the entries of living endpoints lapsed, and
/// the first list after its return is empty. If they were dropped at once, every
/// caller would be refused though all endpoints live.
#[test]
fn entries_missing_right_after_an_outage_stay_in_use_for_a_while() {
    let now = Instant::now();
    let mut board = Board::default();
    board.put(listing("a"));
    board.put(listing("b"));
    board.registry_back(now);
    board.replace(Vec::new(), now);
    assert!(usable(&board, "a", now));
    let later = now + RETURN / 2;
    board.put(listing("a"));
    board.expire(later);
    assert!(usable(&board, "b", later));
    let end = now + RETURN;
    assert_eq!(board.expire(end), vec!["b"]);
    assert!(usable(&board, "a", end));
    assert!(!usable(&board, "b", end));
}

/// An endpoint's entry is still missing when its time is over. It must get nothing from
/// that moment on, not only from the next time that the table is cleaned: half a second
/// later is past the time that a leaving endpoint goes on serving.
#[test]
fn doubt_is_over_at_its_moment() {
    let now = Instant::now();
    let mut board = Board::default();
    board.put(listing("a"));
    board.registry_back(now);
    board.replace(Vec::new(), now);
    assert!(usable(&board, "a", now));
    assert!(!usable(&board, "a", now + RETURN));
}

/// An entry is removed while the registry is well: the endpoint leaves without
/// saying so first.
#[test]
fn an_entry_that_is_removed_in_calm_times_is_a_leaving_endpoint() {
    let now = Instant::now();
    let mut board = Board::default();
    board.put(listing("a"));
    board.registry_back(now);
    let later = now + RETURN + Duration::from_millis(1);
    assert_eq!(board.gone("a", later), Changed::Left);
    assert!(!usable(&board, "a", later));
}

/// An endpoint crashes and starts again under the id that it had. What was learned
/// of its first life must not be taken for its second.
#[test]
fn another_life_under_the_same_id_begins_anew() {
    let now = Instant::now();
    let mut board = Board::default();
    board.put(listing("a"));
    let row = board.get_mut("a").expect("it is there");
    for _ in 0..8 {
        row.evidence.bad(now);
    }
    assert!(!usable(&board, "a", now));
    let born = Listing {
        born: Some(2),
        ..listing("a")
    };
    assert_eq!(board.put(born), Changed::Joined);
    assert!(usable(&board, "a", now));
}

/// Another daemon sees an endpoint leave before this one looks at the registry.
#[test]
fn an_endpoint_that_another_daemon_saw_leave_gets_nothing() {
    let now = Instant::now();
    let mut board = Board::default();
    board.put(listing("a"));
    board.put(listing("b"));
    assert_eq!(board.heard_left(&[name_hash("a")]), vec!["a"]);
    assert!(!usable(&board, "a", now));
    assert_eq!(
        board.get("b").map(|row| row.standing),
        Some(Standing::Ready)
    );
}

/// An endpoint's write gets no answer, so it writes on, and says that it leaves. The
/// store carries the first write out seconds later, and the entry reads as ready again.
/// Taken at its word, the endpoint gets requests until it ends, which then break off.
#[test]
fn an_older_entry_that_comes_late_makes_no_endpoint_ready_again() {
    let now = Instant::now();
    let mut board = Board::default();
    let entry = |count, leaving| Listing {
        leaving,
        count,
        ..listing("a")
    };
    board.put(entry(5, false));
    board.put(entry(7, true));
    assert_eq!(board.put(entry(6, false)), Changed::Nothing);
    assert!(!usable(&board, "a", now));
    board.expire(now);
    assert_eq!(board.put(entry(6, false)), Changed::Nothing);
    assert!(!usable(&board, "a", now));
    board.put(entry(8, false));
    assert!(usable(&board, "a", now));
}

/// An endpoint is restarted under its id and leaves, and a late entry of the life before
/// says that it is ready.
#[test]
fn a_late_entry_of_a_former_life_is_not_taken() {
    let now = Instant::now();
    let mut board = Board::default();
    let entry = |born, count, leaving| Listing {
        born: Some(born),
        count,
        leaving,
        ..listing("a")
    };
    board.put(entry(1, 40, false));
    board.put(entry(2, 1, false));
    board.put(entry(2, 2, true));
    assert_eq!(board.put(entry(1, 41, false)), Changed::Nothing);
    assert!(!usable(&board, "a", now));
}

fn load(id: &str, requests: u32) -> (u32, Others) {
    let tokens = f64::from(requests) * 10.0;
    (name_hash(id), Others { requests, tokens })
}

/// Watchers tell what their zone has in progress as a whole, and its daemons tell theirs
/// more seldom. Counted twice, an endpoint would seem full that has room.
#[test]
fn what_a_zone_has_in_progress_counts_once() {
    let now = Instant::now();
    let mut board = Board::default();
    board.put(listing("a"));
    let daemon = |name: &str| Teller::Daemon(7, name.into());
    let busy = |board: &Board| board.get("a").map(|row| row.others.requests);
    board.hear(daemon("d1"), vec![load("a", 2)], now);
    board.hear(daemon("d2"), vec![load("a", 3)], now);
    assert_eq!(busy(&board), Some(5));
    assert_eq!(board.tell_zone(7), [load("a", 5)]);
    board.hear(Teller::Zone(7), vec![load("a", 6)], now);
    assert_eq!(busy(&board), Some(6));
    board.hear(daemon("d1"), vec![load("a", 2)], now);
    assert_eq!(busy(&board), Some(6));
    board.hear(Teller::Zone(7), vec![load("a", 4)], now);
    assert_eq!(busy(&board), Some(4));
    // The watchers of that zone are lost; its daemons stand for themselves again.
    let later = now + Duration::from_secs(3);
    board.hear(daemon("d2"), vec![load("a", 1)], later);
    assert_eq!(busy(&board), Some(1));
}

/// An endpoint joins after others have begun to send to it. Its load must not be missing,
/// nor be taken off later without having been added.
#[test]
fn what_was_told_before_an_endpoint_joined_counts() {
    let now = Instant::now();
    let mut board = Board::default();
    let teller = Teller::Daemon(7, "d1".into());
    board.hear(teller.clone(), vec![load("a", 3)], now);
    board.put(listing("a"));
    let others = |board: &Board| board.get("a").map(|row| row.others);
    assert_eq!(others(&board), Some(load("a", 3).1));
    board.hear(teller, vec![], now);
    assert_eq!(others(&board), Some(Others::default()));
}
