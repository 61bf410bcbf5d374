//! Endpoints that fail in the middle of things, and what the caller gets.

use std::time::Duration;

use poplarvale_standin::{Endpoint, Step, ask, event, plain, refusal, request, stream};

use crate::relay_site::Site;

fn end() -> Step {
    Step::Send("0\r\n\r\n".into())
}

/// An engine is slow for a moment in the middle of a stream, and there is no other
/// engine to go on at. Ending the stream for its silence would cut off an answer
/// that was on its way.
#[actix_web::test]
async fn a_pause_ends_no_stream_that_cannot_go_on_elsewhere() {
    let slow = Endpoint::start("i-1", |seen| {
        let pause = Step::Wait(Duration::from_millis(900));
        vec![stream(seen), event(0), pause, event(1), end()]
    })
    .await;
    let site = Site::start(&[&slow]).await;
    let answer = ask(site.address(), &request("GET", "/resume/a", "r1", "")).await;
    let answer = answer.expect("an answer");
    assert!(answer.whole);
    assert!(answer.body.contains("piece 1"));
    assert_eq!(slow.seen().len(), 1);
}

/// An engine falls silent in the middle of a stream that may go on elsewhere. The
/// caller gets the rest from another engine, each event once.
#[actix_web::test]
async fn a_silent_stream_goes_on_at_another_engine() {
    let script = |seen: &poplarvale_standin::Seen| {
        if seen.after() == "0" {
            return vec![stream(seen), event(1), event(2), end()];
        }
        let torn = Step::Send("8\r\nid: 1\nda\r\n".into());
        vec![
            stream(seen),
            event(0),
            torn,
            Step::Wait(Duration::from_mins(1)),
        ]
    };
    let one = Endpoint::start("i-1", script).await;
    let other = Endpoint::start("i-2", script).await;
    let site = Site::start(&[&one, &other]).await;
    let answer = ask(site.address(), &request("GET", "/resume/a", "r1", "")).await;
    let answer = answer.expect("an answer");
    assert!(answer.whole);
    let pieces: Vec<&str> = answer
        .body
        .lines()
        .filter(|line| line.starts_with("data"))
        .collect();
    assert_eq!(pieces, ["data: piece 0", "data: piece 1", "data: piece 2"]);
}

/// A booking was sent, and the connection broke before an answer. Sent once more it
/// could be booked twice; "not run" would be a lie.
#[actix_web::test]
async fn a_request_that_must_run_once_is_not_sent_again() {
    let script = |_: &poplarvale_standin::Seen| vec![Step::Close];
    let one = Endpoint::start("i-1", script).await;
    let other = Endpoint::start("i-2", script).await;
    let site = Site::start(&[&one, &other]).await;
    let answer = ask(site.address(), &request("POST", "/once/a", "r1", "")).await;
    assert_eq!(answer.expect("an answer").status, 502);
    assert_eq!(one.seen().len() + other.seen().len(), 1);
}

/// An endpoint is full and says that it did not run the request. Another one runs
/// it, also where it may run only once.
#[actix_web::test]
async fn a_request_that_was_not_run_goes_elsewhere() {
    let full = Endpoint::start("i-1", |seen| vec![refusal(seen)]).await;
    let free = Endpoint::start("i-2", |seen| vec![plain(seen, 200, "done")]).await;
    let site = Site::start(&[&full, &free]).await;
    for number in 0..8 {
        let id = format!("r{number}");
        let answer = ask(site.address(), &request("POST", "/once/a", &id, "")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    assert_eq!(free.finished(), 8);
}

/// An endpoint sends a second answer to an earlier request late, just where the
/// answer to the next request is due. The next caller must not get it.
#[actix_web::test]
async fn a_late_second_answer_reaches_nobody() {
    let twice = Endpoint::start("i-1", |seen| {
        let late = Step::Wait(Duration::from_millis(40));
        if seen.id() == "r1" {
            return vec![plain(seen, 200, "first")];
        }
        let Step::Send(own) = plain(seen, 200, "second") else {
            return Vec::new();
        };
        let stray = own.replace("r2", "r1").replace("second", "sprawl");
        vec![Step::Send(stray), late, Step::Send(own)]
    })
    .await;
    let site = Site::start(&[&twice]).await;
    let first = ask(site.address(), &request("GET", "/safe/a", "r1", "")).await;
    assert_eq!(first.expect("an answer").body, "first");
    let second = ask(site.address(), &request("GET", "/safe/a", "r2", "")).await;
    assert_eq!(second.expect("an answer").body, "second");
}

/// An answer breaks off. One that may be repeated is asked for elsewhere; the
/// caller never gets half of it as if it were all.
#[actix_web::test]
async fn half_an_answer_is_never_passed_on() {
    let script = |seen: &poplarvale_standin::Seen| {
        let Step::Send(text) = plain(seen, 200, "0123456789") else {
            return Vec::new();
        };
        let half = text[..text.len() - 4].to_owned();
        vec![Step::Send(half), Step::Close]
    };
    let torn = Endpoint::start("i-1", script).await;
    let whole = Endpoint::start("i-2", |seen| vec![plain(seen, 200, "whole")]).await;
    let site = Site::start(&[&torn, &whole]).await;
    for number in 0..6 {
        let id = format!("r{number}");
        let answer = ask(site.address(), &request("GET", "/safe/a", &id, "")).await;
        assert_eq!(answer.expect("an answer").body, "whole");
    }
    let answer = ask(site.address(), &request("POST", "/once/a", "r9", "")).await;
    let answer = answer.expect("an answer");
    assert!(answer.status == 502 || answer.body == "whole");
}

/// A caller leaves before its answer comes. The engine must not go on working for
/// nobody.
#[actix_web::test]
async fn work_stops_when_the_caller_leaves() {
    let slow = Endpoint::start("i-1", |seen| {
        vec![Step::Wait(Duration::from_secs(2)), plain(seen, 200, "late")]
    })
    .await;
    let site = Site::start(&[&slow]).await;
    let text = request("GET", "/safe/a", "r1", "");
    let asked = tokio::time::timeout(Duration::from_millis(200), ask(site.address(), &text)).await;
    assert!(asked.is_err());
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_eq!(slow.seen().len(), 1);
    assert_eq!(slow.finished(), 0);
}

/// The route's time is over while the endpoint works. The caller hears so at once,
/// and not that the request did not run.
#[actix_web::test]
async fn a_request_past_its_time_is_answered_then() {
    let slow = Endpoint::start("i-1", |_| vec![Step::Wait(Duration::from_mins(1))]).await;
    let site = Site::start(&[&slow]).await;
    let start = std::time::Instant::now();
    let answer = ask(site.address(), &request("POST", "/once/a", "r1", "")).await;
    assert_eq!(answer.expect("an answer").status, 504);
    assert!(start.elapsed() < Duration::from_millis(3400));
}
