//! Idempotency keys on virtual time: a request runs at most once, and one that was
//! answered "not run" did not run.

use std::time::Duration;

use poplarvale_lib::claims::{CLAIM_TIMEOUT, Key, Question, Rejection};
use poplarvale_lib::{Code, Ran, RequestId};
use proptest::prelude::*;
use testutils::platform::bookings::{Bookings, FaultSwitches};
use testutils::platform::data::Faults;

const SECOND: Duration = Duration::from_secs(1);
const MOMENT: Duration = Duration::from_millis(50);

fn supplied(text: &str) -> Key {
    Key::parse(text).unwrap()
}

fn rejection(bookings: &Bookings, request: RequestId) -> &Rejection {
    let mut rejections = bookings.rejections.iter();
    rejections.find(|r| r.request == request).unwrap()
}

fn answered(bookings: &Bookings, request: RequestId) -> &[u8] {
    let mut answers = bookings.answers.iter();
    &answers.find(|a| a.0 == request).unwrap().1.body
}

#[test]
fn a_booking_is_dispatched_and_its_retry_gets_the_answer() {
    let mut bookings = Bookings::new(3, 1);
    let key = supplied("board-7");
    let first = bookings.book(0, "a", &key, 1);
    bookings.run(SECOND);
    let at_holder = bookings.book(0, "a", &key, 1);
    let elsewhere = bookings.book(1, "a", &key, 1);
    bookings.run(SECOND);
    assert_eq!(bookings.ran, [first]);
    let body = first.to_string().into_bytes();
    assert_eq!(answered(&bookings, at_holder), body);
    assert_eq!(answered(&bookings, elsewhere), body);
}

#[test]
fn equal_keys_of_different_customers_are_independent() {
    let mut bookings = Bookings::new(3, 1);
    let key = supplied("board-7");
    let first = bookings.book(0, "a", &key, 1);
    let second = bookings.book(1, "b", &key, 1);
    bookings.run(SECOND);
    assert_eq!(bookings.ran, [first, second]);
}

/// A guest taps "confirm" twice and the load balancer sends the two requests to two
/// daemons at the same time. If both dispatched, the family would be charged twice.
#[test]
fn the_same_key_through_two_daemons_runs_once() {
    let mut bookings = Bookings::new(3, 1);
    let key = supplied("board-7");
    let first = bookings.book(0, "a", &key, 1);
    let second = bookings.book(1, "a", &key, 1);
    bookings.run(MOMENT);
    assert_eq!(bookings.ran.len(), 1);
    let other = if bookings.ran[0] == first {
        second
    } else {
        first
    };
    let rejected = rejection(&bookings, other);
    assert_eq!(rejected.code, Code::KeyRunning);
    assert_eq!(rejected.running, Some(bookings.ran[0]));
}

/// A program uses one key for two bookings. If the second request got the answer of
/// the first, the program would believe that the second booking was made.
#[test]
fn another_body_under_the_same_key_is_rejected() {
    let mut bookings = Bookings::new(3, 1);
    let key = supplied("board-7");
    bookings.book(0, "a", &key, 1);
    bookings.run(SECOND);
    for daemon in 0..2 {
        let other = bookings.book(daemon, "a", &key, 2);
        bookings.run(SECOND);
        assert_eq!(rejection(&bookings, other).code, Code::KeyReused);
    }
    assert_eq!(bookings.ran.len(), 1);
}

/// The daemon crashes while the booking runs at the endpoint. Its outcome cannot be
/// determined; a retry must neither run nor be answered "not run".
#[test]
fn the_key_of_a_dead_holder_is_unknown() {
    let mut bookings = Bookings::new(3, 1);
    let key = supplied("board-7");
    bookings.book(0, "a", &key, 1);
    bookings.run(MOMENT);
    bookings.crash(0);
    bookings.update_peers(1);
    let retry = bookings.book(1, "a", &key, 1);
    bookings.run(SECOND);
    let rejected = rejection(&bookings, retry);
    assert_eq!(
        (rejected.code, rejected.ran),
        (Code::KeyUnknown, Ran::Unknown)
    );
    assert_eq!(bookings.ran.len(), 1);
}

/// The key-value service is down. Guests are soon answered that nothing was booked and
/// when to retry, and the same key works through any daemon once the service is
/// available again.
#[test]
fn an_outage_is_reported_soon_and_the_key_works_after_it() {
    let mut bookings = Bookings::new(3, 1);
    bookings.faults.down = true;
    let key = supplied("board-7");
    let first = bookings.book(0, "a", &key, 1);
    bookings.run(CLAIM_TIMEOUT + MOMENT);
    let rejected = rejection(&bookings, first).clone();
    assert_eq!((rejected.code, rejected.ran), (Code::NoClaim, Ran::No));
    assert!(rejected.retry_at.unwrap() > bookings.now);
    bookings.faults.down = false;
    let second = bookings.book(1, "a", &key, 1);
    bookings.run(SECOND);
    assert_eq!(bookings.ran, [second]);
}

/// The write of a claim takes effect, its response is lost, and the caller is answered
/// "not run". The row would lock the key for a day; its holder knows that it never
/// dispatched the request and releases the claim to the daemon that asks.
#[test]
fn an_abandoned_claim_is_released_to_another_daemon() {
    let mut bookings = Bookings::new(3, 1);
    let key = supplied("board-7");
    bookings.book(0, "b", &supplied("warms-up"), 1);
    bookings.run(SECOND);
    bookings.store.faults.lose = 1_000;
    let first = bookings.book(0, "a", &key, 1);
    bookings.run(CLAIM_TIMEOUT + MOMENT);
    assert_eq!(rejection(&bookings, first).ran, Ran::No);
    bookings.store.faults.lose = 0;
    let second = bookings.book(1, "a", &key, 1);
    bookings.run(SECOND);
    assert_eq!(bookings.ran_of(&key), [second]);
}

/// The write of a claim takes effect and only its response is lost. If the daemon took
/// the row for another daemon's, the guest would be answered "unknown".
#[test]
fn a_lost_write_response_is_resolved_and_the_booking_runs() {
    let mut bookings = Bookings::new(3, 1);
    bookings.store.faults.lose = 1;
    let first = bookings.book(0, "a", &supplied("board-7"), 1);
    bookings.run(SECOND);
    assert_eq!(bookings.ran, [first]);
}

#[test]
fn an_issued_key_works_while_the_service_is_down() {
    let mut bookings = Bookings::new(3, 1);
    bookings.faults.down = true;
    let key = bookings.issue(0, "a").unwrap();
    let first = bookings.book(1, "a", &key, 1);
    bookings.run(SECOND);
    let retry = bookings.book(2, "a", &key, 1);
    bookings.run(SECOND);
    assert_eq!(bookings.ran, [first]);
    assert_eq!(answered(&bookings, retry), first.to_string().into_bytes());
}

/// One customer guesses the key of another. With it the customer could read the answer
/// or use the key up.
#[test]
fn an_issued_key_works_for_its_customer_only() {
    let mut bookings = Bookings::new(3, 1);
    let key = bookings.issue(0, "a").unwrap();
    let stolen = bookings.book(0, "b", &key, 1);
    bookings.run(SECOND);
    assert_eq!(rejection(&bookings, stolen).code, Code::BadKey);
    let first = bookings.book(0, "a", &key, 1);
    bookings.run(SECOND);
    assert_eq!(bookings.ran, [first]);
}

/// The host of a daemon is reclaimed with notice. Keys that the daemon issued still
/// work at its successor, and the results of bookings under them are still known.
#[test]
fn issued_keys_survive_an_announced_reclaim() {
    let mut bookings = Bookings::new(3, 1);
    let used = bookings.issue(0, "a").unwrap();
    let unused = bookings.issue(0, "a").unwrap();
    let first = bookings.book(0, "a", &used, 1);
    bookings.run(SECOND);
    bookings.freeze(0);
    bookings.run(MOMENT);
    assert!(bookings.issue(0, "a").is_none());
    bookings.hand_over(0, 1);
    bookings.run(MOMENT);
    bookings.crash(0);
    bookings.update_peers(2);
    let retry = bookings.book(2, "a", &used, 1);
    let second = bookings.book(2, "a", &unused, 1);
    bookings.run(SECOND);
    assert_eq!(answered(&bookings, retry), first.to_string().into_bytes());
    assert_eq!(bookings.ran, [first, second]);
}

/// A daemon crashes without notice. Whether a key that it issued was used can no longer
/// be determined.
#[test]
fn issued_keys_of_a_crashed_daemon_are_unknown() {
    let mut bookings = Bookings::new(3, 1);
    let key = bookings.issue(0, "a").unwrap();
    bookings.crash(0);
    bookings.update_peers(1);
    let late = bookings.book(1, "a", &key, 1);
    bookings.run(SECOND);
    let rejected = rejection(&bookings, late);
    assert_eq!(
        (rejected.code, rejected.ran),
        (Code::KeyUnknown, Ran::Unknown)
    );
}

#[test]
fn keys_round_trip_through_their_text() {
    let mut bookings = Bookings::new(1, 1);
    let key = bookings.issue(0, "a").unwrap();
    assert_eq!(Key::parse(&key.text()), Some(key));
    for malformed in ["", "with space", "pk-1-2-3", &"x".repeat(129)] {
        assert_eq!(Key::parse(malformed), None, "{malformed}");
    }
}

/// A question names a claim that the holder has forgotten. The reply "released" would
/// let its request run again.
#[test]
fn a_forgotten_claim_is_unknown() {
    let mut claimer = poplarvale_lib::claims::Claimer::new(7, 1);
    let question = Question {
        id: "poplarvale/claims/a/board-7".into(),
        sequence: 3,
    };
    let reply = claimer.reply(&question);
    assert_eq!(reply, poplarvale_lib::claims::Reply::Unknown);
}

#[derive(Clone, Debug)]
enum Event {
    Book { daemon: usize, key: usize, body: u8 },
    Issue(usize),
    Leave(usize),
    Crash(usize),
    Freeze(usize),
    HandOver(usize, usize),
    Look(usize),
    SetFaults(bool, bool, bool, bool),
    Slow(u64),
    Run(u64),
}

const DAEMONS: usize = 3;

fn event() -> impl Strategy<Value = Event> {
    let daemon = 0..DAEMONS;
    let body = prop_oneof![9 => Just(1_u8), 1 => Just(2)];
    prop_oneof![
        10 => (daemon.clone(), 0..4_usize, body)
            .prop_map(|(daemon, key, body)| Event::Book { daemon, key, body }),
        2 => daemon.clone().prop_map(Event::Issue),
        1 => daemon.clone().prop_map(Event::Leave),
        1 => daemon.clone().prop_map(Event::Crash),
        1 => daemon.clone().prop_map(Event::Freeze),
        1 => (daemon.clone(), daemon.clone()).prop_map(|(a, b)| Event::HandOver(a, b)),
        3 => daemon.prop_map(Event::Look),
        3 => any::<(bool, bool, bool, bool)>()
            .prop_map(|(a, b, c, d)| Event::SetFaults(a && b, b, c, d)),
        1 => prop_oneof![Just(0), Just(700), Just(5_000_u64)].prop_map(Event::Slow),
        8 => prop_oneof![1..200_u64, 200..4_000_u64].prop_map(Event::Run),
    ]
}

fn apply(bookings: &mut Bookings, keys: &mut Vec<Key>, event: &Event) {
    match *event {
        Event::Book { daemon, key, body } => {
            // The latest keys are used most, whether supplied or issued.
            let key = keys[keys.len() - 1 - key % keys.len()].clone();
            bookings.book(daemon, "a", &key, body.into());
        }
        Event::Issue(daemon) => keys.extend(bookings.issue(daemon, "a")),
        Event::Leave(daemon) => {
            if let Some(last) = bookings.sent.last() {
                bookings.leave(daemon, last.request);
            }
        }
        Event::Crash(daemon) => bookings.crash(daemon),
        Event::Freeze(daemon) => bookings.freeze(daemon),
        Event::HandOver(from, to) if from != to => bookings.hand_over(from, to),
        Event::HandOver(..) => {}
        Event::Look(daemon) => bookings.update_peers(daemon),
        Event::SetFaults(down, lossy, late, broken) => {
            bookings.faults = FaultSwitches {
                down,
                lossy,
                late,
                broken,
            };
        }
        Event::Slow(ms) => bookings.store.faults.slow_ms = ms,
        Event::Run(ms) => bookings.run(Duration::from_millis(ms)),
    }
}

proptest! {
    #![proptest_config(testutils::fixed(512))]

    /// Retries arrive through all daemons while daemons crash, are reclaimed and hand
    /// over their keys, the service is down, loses responses and applies writes late,
    /// messages arrive seconds late or twice, and endpoints fail during a booking. No key
    /// runs twice, no request that was answered "not run" ran, and every kept answer is
    /// that of the run.
    #[test]
    fn a_key_runs_at_most_once_and_not_run_is_true(
        events in prop::collection::vec(event(), 1..60),
        seed: u64,
    ) {
        let mut bookings = Bookings::new(DAEMONS, seed);
        let mut keys = vec![supplied("one"), supplied("two")];
        for event in &events {
            apply(&mut bookings, &mut keys, event);
        }
        bookings.faults = FaultSwitches::default();
        bookings.store.faults = Faults::default();
        bookings.run(Duration::from_secs(8));
        for key in &keys {
            let ran = bookings.ran_of(key);
            prop_assert!(ran.len() <= 1, "{:?} ran as {:?}", key, ran);
        }
        for rejection in &bookings.rejections {
            let ran = bookings.ran.contains(&rejection.request);
            prop_assert!(!(ran && rejection.ran == Ran::No), "{:?}", rejection);
        }
        for (request, answer) in &bookings.answers {
            let sent = bookings.sent.iter().find(|s| s.request == *request).unwrap();
            let ran = bookings.ran_of(&sent.key);
            prop_assert_eq!(&answer.body, &ran[0].to_string().into_bytes());
        }
    }
}
