//! Streams of events that are interrupted, resumed at another endpoint and must stay in order.

use poplarvale_lib::relay::sse::{Events, SseError};
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// An engine crashes in the middle of an event, and the stream is resumed at another engine. If
/// the partial event were kept, the first event of the second engine would be appended to it,
/// and the caller would read a piece that no engine wrote.
#[test]
fn a_partial_event_is_dropped_before_the_stream_is_resumed() {
    let mut events = Events::after(None);
    events.push(event(0).as_bytes()).expect("in order");
    let partial = events
        .push(b"id: 1\ndata: pie")
        .expect("no complete event yet");
    assert!(partial.is_empty());
    let mut resumed = Events::after(events.last());
    let rest = resumed.push(event(1).as_bytes()).expect("in order");
    assert_eq!(rest, event(1).as_bytes());
    assert_eq!(resumed.last(), Some(1));
}

/// A resumed stream may start one event too early or too late. The caller would see a piece
/// twice or miss one.
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
    /// The bytes arrive split at arbitrary positions. The same events come out, each complete.
    #[test]
    fn events_are_complete_however_the_bytes_are_split(count in 1_u64..12, cuts in prop::collection::vec(1_usize..20, 1..40)) {
        let text: String = (0..count).map(event).collect();
        let mut events = Events::after(None);
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            let complete = events.push(now).expect("in order");
            prop_assert!(complete.is_empty() || complete.ends_with(b"\n\n"));
            out.extend_from_slice(&complete);
            rest = later;
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert!(!events.has_partial());
    }
}
