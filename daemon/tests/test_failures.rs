//! Responses to callers while endpoints fail.

use awc::http::StatusCode;
use serde_json::json;
use testutils::words::answer;

use crate::site::{KEY, Site, chat, events, prompt};

/// An engine dies or its connection breaks while it streams. The answer would stop in the middle or
/// start again from its beginning; the caller must receive every word once, from whichever engine.
#[actix_web::test]
async fn a_broken_stream_continues_at_another_engine() {
    let site = Site::start();
    site.fault(0, &json!({"break_after": 5})).await;
    for n in 0..6 {
        let text = format!("long {n}");
        let got = site
            .post(KEY, "/v1/chat/completions", &chat(&text, 30, true))
            .await;
        let (words, ids, done) = events(&got.body);
        assert_eq!(words, answer(&prompt(&text), 30));
        assert_eq!(ids.len(), 30);
        assert!(done);
    }
}

/// An engine sends events of one stream on another. The caller would read words of another answer.
#[actix_web::test]
async fn events_of_another_attempt_never_reach_the_caller() {
    let site = Site::start();
    site.fault(0, &json!({"swapped": 1000})).await;
    for n in 0..6 {
        let text = format!("own {n}");
        let got = site
            .post(KEY, "/v1/chat/completions", &chat(&text, 10, true))
            .await;
        assert_eq!(events(&got.body).0, answer(&prompt(&text), 10));
    }
}

/// An engine sends an event twice, as after an internal retry. The caller would read a word twice.
#[actix_web::test]
async fn duplicate_events_reach_the_caller_once() {
    let site = Site::start();
    site.fault(0, &json!({"doubled": 1000})).await;
    site.fault(1, &json!({"doubled": 1000})).await;
    let got = site
        .post(KEY, "/v1/chat/completions", &chat("once", 10, true))
        .await;
    assert_eq!(events(&got.body).0, answer(&prompt("once"), 10));
}

/// A host is lost: its engine's process is killed and nothing listens there any more. Callers would
/// get errors for half of their requests.
#[actix_web::test]
async fn a_killed_engine_costs_no_answer() {
    let mut site = Site::start();
    site.engines[0].kill();
    for n in 0..8 {
        let text = format!("guest {n}");
        let got = site
            .post(KEY, "/v1/chat/completions", &chat(&text, 5, true))
            .await;
        assert_eq!(got.status, StatusCode::OK);
        assert_eq!(events(&got.body).0, answer(&prompt(&text), 5));
    }
}

/// The booking application runs a booking and its response is lost. A retry would charge the
/// customer twice, so the request is not retried and the caller learns that the outcome is unknown.
#[actix_web::test]
async fn a_booking_whose_response_is_lost_is_not_retried() {
    let site = Site::start();
    site.plain_fault(&json!({"mute": 1})).await;
    let booking = json!({"id": "lost"});
    let got = site
        .post(KEY, "/services/bookings/bookings", &booking)
        .await;
    assert_eq!(got.json()["ran"], "unknown");
    assert_eq!(site.ran("lost").await, 1);
}

/// The booking application's host is gone before the booking is sent. The caller must learn that it
/// did not run, so that it may retry at once.
#[actix_web::test]
async fn a_booking_that_was_never_sent_is_reported_as_not_run() {
    let mut site = Site::start();
    site.plain.kill();
    let got = site
        .post(KEY, "/services/bookings/bookings", &json!({"id": "none"}))
        .await;
    assert_eq!(got.json()["ran"], "no");
}

/// The booking application dies while it sends a response. The caller would take the first half for
/// the complete response and see no error.
#[actix_web::test]
async fn a_truncated_response_is_not_forwarded_as_complete() {
    let site = Site::start();
    site.plain_fault(&json!({"cut": true})).await;
    let got = site
        .post(KEY, "/services/bookings/bookings", &json!({"id": "half"}))
        .await;
    assert_eq!(
        (got.status, got.code()),
        (StatusCode::BAD_GATEWAY, 3002),
        "{}",
        got.body
    );
    assert_eq!(got.json()["ran"], "unknown");
    assert_eq!(site.ran("half").await, 1);
    let got = site
        .get(KEY, "/services/bookings/bookings/half", None)
        .await;
    assert_ne!(got.status, StatusCode::OK, "{}", got.body);
}
