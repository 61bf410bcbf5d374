//! Streams of events that break off, are joined and must stay in order.

use poplarvale_lib::relay::sse::{Events, SseError};
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// An engine crashes in the middle of an event, and the stream goes on at another
/// engine. If the half event were kept, the first event of the second run would be
/// glued to it and the caller would read a piece that no engine wrote.
#[test]
fn half_an_event_of_one_run_never_meets_the_next_run() {
    let mut events = Events::after(None);
    events.push(event(0).as_bytes()).expect("in order");
    let torn = events.push(b"id: 1\ndata: pie").expect("nothing whole yet");
    assert!(torn.is_empty());
    events.restart();
    let joined = events.push(event(1).as_bytes()).expect("in order");
    assert_eq!(joined, event(1).as_bytes());
    assert_eq!(events.last(), Some(1));
}

/// A second run may begin one event too early or too late. The caller would see a
/// piece twice or miss one.
#[test]
fn an_event_out_of_order_is_not_passed_on() {
    let mut events = Events::after(Some(4));
    let twice = events.push(event(4).as_bytes());
    assert_eq!(twice, Err(SseError::Order { last: 4, found: 4 }));
    let mut events = Events::after(Some(4));
    let missing = events.push(event(6).as_bytes());
    assert_eq!(missing, Err(SseError::Order { last: 4, found: 6 }));
}

proptest! {
    /// Bytes arrive cut at any place. What comes out is the same events, each whole.
    #[test]
    fn events_come_out_whole_however_they_are_cut(count in 1_u64..12, cuts in prop::collection::vec(1_usize..20, 1..40)) {
        let text: String = (0..count).map(event).collect();
        let mut events = Events::after(None);
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            let whole = events.push(now).expect("in order");
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            out.extend_from_slice(&whole);
            rest = later;
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert!(!events.is_torn());
    }
}
