//! Requests that crash the endpoints that run them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{
    Answer, Cloud, Endpoint, Seen, Step, ask, event, plain, request, settings, stream,
};

use crate::relay_site::{DAEMONS, Site, Zone, store_with, until};

/// Endpoints that one request may end.
const ENOUGH: usize = 3;
/// Time in which all daemons know of it.
const SPREAD: Duration = Duration::from_secs(1);
/// Path of the request that crashes endpoints.
const FATAL: &str = "/stream/fatal";

/// When the request reached an endpoint.
type Arrivals = Rc<RefCell<Vec<Instant>>>;

/// Endpoints that crash a moment after they have begun the fatal request.
async fn endpoints(count: u32, arrivals: &Arrivals) -> Vec<Endpoint> {
    let start = |number: u32| {
        let arrivals = Rc::clone(arrivals);
        let script = move |seen: &Seen| {
            if seen.target() != FATAL {
                return vec![plain(seen, 200, "done")];
            }
            arrivals.borrow_mut().push(Instant::now());
            let ran = Step::Wait(Duration::from_millis(30));
            vec![stream(seen), event(0), ran, Step::Crash]
        };
        async move { Endpoint::start(&format!("i-{number:02}"), script).await }
    };
    join_all((0..count).map(start)).await
}

/// Whether a request was refused because endpoints end under it.
fn is_quarantined(answer: &Answer) -> bool {
    answer.status == 503 && answer.body.contains("2011") && answer.body.contains("\"no\"")
}

/// A request that crashes whatever runs it is asked through one daemon after the other and
/// ends one endpoint after the other.
#[actix_web::test]
async fn a_request_that_crashes_endpoints_stops_reaching_them() {
    let arrivals = Arrivals::default();
    let endpoints = endpoints(14, &arrivals).await;
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let zone = Zone::start(21, store_with(&all).await).await;
    let begin = Instant::now();
    for number in 0..30 {
        let (_, relay) = &zone.daemons[number % usize::from(DAEMONS)];
        let text = request("GET", FATAL, &format!("r{number}"), "");
        let answer = ask(relay.callers(), &text).await;
        assert!(
            answer.is_err() || answer.is_ok_and(|answer| !answer.whole || answer.status != 200)
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(begin.elapsed() > SPREAD * 2);
    let arrivals = arrivals.borrow();
    assert!(arrivals.len() >= ENOUGH, "it was tried");
    let known = arrivals[ENOUGH - 1] + SPREAD;
    let late = arrivals.iter().filter(|at| **at > known).count();
    let crashed = endpoints.iter().filter(|row| row.has_crashed()).count();
    assert_eq!(
        late, 0,
        "sent on after {ENOUGH} had ended; {crashed} ended in all"
    );
}

/// All daemons are killed, or one is cut off from the others: what they found out about a
/// request is not lost with them.
#[actix_web::test]
async fn a_daemon_that_hears_no_other_knows_requests_that_crash_endpoints() {
    let arrivals = Arrivals::default();
    let endpoints = endpoints(5, &arrivals).await;
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let zone = Zone::start(22, store_with(&all).await).await;
    for number in 0..ENOUGH {
        let text = request("GET", FATAL, &format!("r{number}"), "");
        // The endpoint breaks it off.
        let _broken = ask(zone.daemons[number].1.callers(), &text).await;
        tokio::time::sleep(SPREAD / 2).await;
    }
    let cloud = Cloud::start().await;
    let text = settings(zone.store.address, cloud.address);
    let alone = Site::with_settings(zone.store, cloud, &text).await;
    let (before, text) = (arrivals.borrow().len(), request("GET", FATAL, "r9", ""));
    let answer = ask(alone.address(), &text).await.expect("an answer");
    assert!(is_quarantined(&answer), "{answer:?}");
    assert_eq!(arrivals.borrow().len(), before);
}

/// Endpoints that live on break a request off again and again, as faulty links do; holding
/// it back would refuse callers whom another try would serve.
#[actix_web::test]
async fn a_request_that_breaks_off_at_living_endpoints_is_sent_on() {
    let script = |_: &Seen| vec![Step::Close];
    let one = Endpoint::start("i-1", script).await;
    let other = Endpoint::start("i-2", script).await;
    let site = Site::start(&[&one, &other]).await;
    for number in 0..8 {
        let text = request("POST", "/once/a", &format!("r{number}"), "");
        let answer = ask(site.address(), &text).await.expect("an answer");
        assert!(!is_quarantined(&answer), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Streams break off with their endpoint because another request crashes it. One that had
/// run for long is not held responsible, however often that happens to it.
#[actix_web::test]
async fn a_stream_that_had_run_for_long_is_not_suspected() {
    let endings = usize::from(DAEMONS);
    let script = |seen: &Seen| {
        let long = Step::Wait(Duration::from_millis(1300));
        vec![stream(seen), event(0), long, Step::Crash]
    };
    let start = |number| async move { Endpoint::start(&format!("i-{number}"), script).await };
    let endpoints = join_all((0..endings).map(start)).await;
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let site = Site::start(&all).await;
    for number in 0..endings {
        let text = request("GET", "/stream/a", &format!("r{number}"), "");
        let begun = ask(site.address(), &text).await;
        assert!(begun.is_ok_and(|answer| answer.status == 200), "{number}");
    }
    until(SPREAD, async || endpoints.iter().all(Endpoint::has_crashed)).await;
}
