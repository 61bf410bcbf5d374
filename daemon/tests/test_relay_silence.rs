//! Endpoints that are silent for a while and go on, and what becomes of their requests meanwhile.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{
    Answer, Endpoint, SeenRequest, Step, ask, config, event, plain, rejection, rejection_with,
    request, stream,
};

use crate::relay_site::{ROUTES, Site};

/// A pause after which the daemon looks for another endpoint, and before its callers leave.
const PAUSE: Duration = Duration::from_millis(1200);
/// Shortest time for which callers wait for the next event of a stream, and for a daemon to start.
const CALLER_PATIENCE: Duration = Duration::from_millis(2800);
/// Number of endpoints in a test.
const ENDPOINTS: usize = 3;

fn end() -> Step {
    Step::Send("0\r\n\r\n".into())
}

/// Whether a request is a stream that goes on after its first event.
fn is_continued(seen: &SeenRequest) -> bool {
    !seen.last_event().is_empty()
}

/// Starts endpoints that share one script, which gets the number of requests that arrived before.
async fn endpoints(script: impl Fn(usize, &SeenRequest) -> Vec<Step> + 'static) -> Vec<Endpoint> {
    let script = Rc::new(script);
    let arrived = Rc::new(Cell::new(0));
    let started = (0..ENDPOINTS).map(|number| {
        let (script, arrived) = (Rc::clone(&script), Rc::clone(&arrived));
        async move {
            Endpoint::start(&format!("i-{number}"), move |seen| {
                script(arrived.replace(arrived.get() + 1), seen)
            })
            .await
        }
    });
    join_all(started).await
}

/// Sends one request to a daemon before these endpoints.
async fn ask_one(endpoints: &[Endpoint], path: &str) -> Answer {
    let refs: Vec<&Endpoint> = endpoints.iter().collect();
    let site = Site::start(&refs).await;
    let answer = ask(site.address(), &request("GET", path, "r1", "")).await;
    answer.expect("an answer")
}

/// Asserts that a stream of three events arrived as a whole.
fn assert_whole(answer: &Answer) {
    let lines = answer.body.lines().filter(|line| line.starts_with("data"));
    let pieces: Vec<&str> = lines.collect();
    assert_eq!(pieces, ["data: piece 0", "data: piece 1", "data: piece 2"]);
    assert!(answer.complete, "the stream has no end");
}

/// The first endpoint sends an event, pauses and goes on; the others respond like this.
async fn pause_before(others: fn(&SeenRequest) -> Vec<Step>) -> Answer {
    let started = endpoints(move |_, seen| {
        if is_continued(seen) {
            return others(seen);
        }
        let pause = Step::Wait(PAUSE);
        vec![stream(seen), event(0), pause, event(1), event(2), end()]
    });
    ask_one(&started.await, "/resume/a").await
}

/// A paused stream is given up although the endpoints that are to continue it have no room.
#[actix_web::test]
async fn a_paused_stream_ends_whole_though_the_others_reject_it() {
    assert_whole(&pause_before(|seen| vec![rejection(seen)]).await);
}

/// A paused stream is given up although the endpoints that are to continue it break off.
#[actix_web::test]
async fn a_paused_stream_ends_whole_though_the_others_break_off() {
    assert_whole(&pause_before(|seen| vec![stream(seen), Step::Close]).await);
}

/// A paused stream is given up although the endpoints that are to continue it fail.
#[actix_web::test]
async fn a_paused_stream_ends_whole_though_the_others_fail() {
    assert_whole(&pause_before(|seen| vec![plain(seen, 500, "failed")]).await);
}

/// A paused stream is given up although the endpoints that are to continue it are silent too.
#[actix_web::test]
async fn a_paused_stream_ends_whole_though_the_others_are_silent() {
    assert_whole(&pause_before(|_| vec![Step::Wait(Duration::from_mins(1))]).await);
}

/// The run that paused is not stopped once another endpoint continues its stream.
#[actix_web::test]
async fn a_paused_run_is_stopped_once_another_continues_it() {
    let started = endpoints(|_, seen| {
        if is_continued(seen) {
            let work = Step::Wait(Duration::from_millis(300));
            return vec![stream(seen), event(1), work, event(2), end()];
        }
        let pause = Step::Wait(Duration::from_secs(2));
        vec![stream(seen), event(0), pause, event(1), event(2), end()]
    });
    let started = started.await;
    assert_whole(&ask_one(&started, "/resume/a").await);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let finished: u32 = started.iter().map(Endpoint::finished).sum();
    assert_eq!(finished, 1, "both runs went on to their ends");
}

/// A stream that waited in the queue of a silent endpoint has no attempt left when the endpoint
/// that runs it breaks off.
#[actix_web::test]
async fn waiting_at_a_silent_endpoint_uses_up_no_run() {
    let started = endpoints(|before, seen| match before {
        0 => vec![Step::Wait(Duration::from_mins(1))],
        1 => vec![stream(seen), event(0), Step::Close],
        _ => vec![stream(seen), event(1), event(2), end()],
    });
    assert_whole(&ask_one(&started.await, "/resume/a").await);
}

/// An idempotent request is given up at a slow endpoint although the others have no room.
#[actix_web::test]
async fn a_slow_answer_arrives_though_the_others_reject_the_request() {
    let started = endpoints(|before, seen| match before {
        0 => vec![Step::Wait(PAUSE), plain(seen, 200, "done")],
        _ => vec![rejection(seen)],
    });
    let answer = ask_one(&started.await, "/safe/a").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
}

/// A new configuration, also one without the route, ends a stream that is under way.
#[actix_web::test]
async fn a_new_configuration_ends_no_stream() {
    let one = Endpoint::start("i-1", |seen| {
        let pause = Step::Wait(PAUSE);
        vec![stream(seen), event(0), pause, event(1), event(2), end()]
    })
    .await;
    let site = Site::start(&[&one]).await;
    let text = request("GET", "/stream/a", "r1", "");
    let change = async {
        tokio::time::sleep(PAUSE / 4).await;
        site.store
            .put("op/config", config(2, &ROUTES[..2], 0).as_bytes());
    };
    let (answer, ()) = tokio::join!(ask(site.address(), &text), change);
    assert_whole(&answer.expect("an answer"));
    let later = ask(site.address(), &request("GET", "/stream/a", "r2", "")).await;
    assert_eq!(later.expect("an answer").status, 404);
}

/// A stream whose endpoint broke off is closed although the others have room a moment later.
#[actix_web::test]
async fn a_stream_that_broke_off_is_continued_once_there_is_room() {
    let started = endpoints(|_, seen| {
        if seen.target().starts_with("/safe/") {
            return vec![rejection_with(seen, "Retry-After: 0.8\r\n")];
        }
        if is_continued(seen) {
            return vec![stream(seen), event(1), event(2), end()];
        }
        vec![stream(seen), event(0), Step::Wait(PAUSE / 4), Step::Close]
    });
    let started = started.await;
    let refs: Vec<&Endpoint> = started.iter().collect();
    let site = Site::start(&refs).await;
    let text = request("GET", "/resume/a", "r1", "");
    // All endpoints reject it and ask for a rest while the stream runs.
    let rejected = async {
        tokio::time::sleep(PAUSE / 12).await;
        ask(site.address(), &request("GET", "/safe/a", "r2", "")).await
    };
    let (answer, rejected) = tokio::join!(ask(site.address(), &text), rejected);
    assert_eq!(rejected.expect("an answer").status, 503);
    assert_whole(&answer.expect("an answer"));
}

/// A stream that nobody can continue is held until its deadline, although its caller has left.
#[actix_web::test]
async fn a_stream_that_nobody_can_continue_is_closed_in_time() {
    let started = endpoints(|before, seen| match before {
        0 => vec![stream(seen), event(0), Step::Close],
        _ => vec![rejection_with(seen, "Retry-After: 9\r\n")],
    });
    let start = Instant::now();
    let answer = ask_one(&started.await, "/resume/a").await;
    assert!(!answer.complete, "nobody continued it");
    assert!(start.elapsed() < CALLER_PATIENCE, "{:?}", start.elapsed());
}
