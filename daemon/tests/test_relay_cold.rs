//! Cold endpoints, which crash if all daemons together send them too many requests a second.

use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{Endpoint, Fault, Step, ask, cold_config, plain, request};

use crate::relay_site::{ROUTES, Zone, share_served, shares_evenly_and_at_one, store_with};

/// Requests a second that a cold endpoint takes.
const RATE: f64 = 4.0;
/// Most requests of one second: with the tolerance of the settings.
const BOUND: usize = 11;
const COLD_TIME: Duration = Duration::from_secs(3);
/// Time in which all daemons read a new entry.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Callers of each daemon.
const CALLERS: usize = 3;
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);

async fn endpoint(id: &str) -> Endpoint {
    let work = Step::Wait(Duration::from_millis(20));
    Endpoint::start(id, move |seen| vec![work.clone(), plain(seen, 200, "done")]).await
}

/// A zone whose service has a slow start.
async fn zone(number: usize, endpoints: &[&Endpoint]) -> Zone {
    let store = store_with(endpoints).await;
    let config = cold_config(2, &ROUTES, COLD_TIME.as_secs_f64(), RATE);
    store.put("op/config", config.as_bytes());
    Zone::start(number, store).await
}

fn register(zone: &Zone, endpoint: &Endpoint) {
    let key = format!("servers/{}", endpoint.id);
    let entry = endpoint.entry("app", "ready");
    zone.store.put(&key, entry.as_bytes());
}

/// Sends requests to all daemons for a time span; returns how many were not served.
async fn ask_all(zone: &Zone, span: Duration) -> usize {
    let end = Instant::now() + span;
    let callers = zone
        .daemons
        .iter()
        .cycle()
        .take(zone.daemons.len() * CALLERS);
    let callers = callers.map(|(_, relay)| async {
        let mut failed = 0;
        while Instant::now() < end {
            let answer = ask(relay.callers(), &request("GET", "/safe/a", "r1", "")).await;
            failed += usize::from(!answer.is_ok_and(|answer| answer.status == 200));
            tokio::time::sleep(PAUSE).await;
        }
        failed
    });
    join_all(callers).await.into_iter().sum()
}

/// An endpoint registers while it is cold, and all daemons see it idle at once. It must get some
/// requests, but not so many that it crashes, and its full share when it is warm.
#[actix_web::test]
async fn all_daemons_together_start_a_cold_endpoint_slowly() {
    let (warm, cold) = (endpoint("i-1").await, endpoint("i-2").await);
    let zone = zone(31, &[&warm]).await;
    cold.chill(COLD_TIME, BOUND);
    register(&zone, &cold);
    let failed = ask_all(&zone, COLD_TIME).await;
    assert!(!cold.has_crashed(), "it got too many requests");
    assert_eq!(
        failed, 0,
        "requests failed although a warm endpoint has room"
    );
    assert!(!cold.seen().is_empty(), "it got no request at all");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = cold.seen().len();
    ask_all(&zone, Duration::from_secs(1)).await;
    assert!(cold.seen().len() - before > BOUND * 2, "it is warm by now");
}

/// An endpoint becomes cold in the middle of its traffic, without a restart, and its entry tells.
#[actix_web::test]
async fn an_endpoint_that_becomes_cold_during_its_traffic_starts_slowly() {
    let (warm, cold) = (endpoint("i-1").await, endpoint("i-2").await);
    let zone = zone(32, &[&warm, &cold]).await;
    ask_all(&zone, Duration::from_secs(1)).await;
    assert!(cold.seen().len() > BOUND, "it is in use");
    cold.chill(COLD_TIME, usize::MAX);
    register(&zone, &cold);
    ask_all(&zone, PROPAGATION_TIME).await;
    let before = cold.seen().len();
    ask_all(&zone, Duration::from_millis(900)).await;
    let during = cold.seen().len() - before;
    assert!(during <= BOUND, "{during} of {BOUND}");
}

/// The daemons are partitioned from each other and from the store in the middle of a slow start.
/// Each of them must go on to send no more than its part.
#[actix_web::test]
async fn isolated_daemons_keep_the_slow_start() {
    let (warm, cold) = (endpoint("i-1").await, endpoint("i-2").await);
    let zone = zone(33, &[&warm]).await;
    cold.chill(COLD_TIME, BOUND);
    register(&zone, &cold);
    ask_all(&zone, Duration::from_millis(500)).await;
    for (proxy, _) in &zone.daemons {
        proxy.set(Fault::Blocked);
    }
    ask_all(&zone, Duration::from_millis(2500)).await;
    assert!(!cold.has_crashed(), "it got too many requests");
}

/// Only cold endpoints are left. What they cannot take is rejected at once, with the time at which
/// there will be room.
#[actix_web::test]
async fn callers_beyond_the_rate_of_cold_endpoints_are_rejected_at_once() {
    let cold = endpoint("i-1").await;
    cold.chill(COLD_TIME, BOUND);
    let zone = zone(34, &[&cold]).await;
    // The zone needed some seconds to start.
    cold.chill(COLD_TIME, BOUND);
    register(&zone, &cold);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let started = Instant::now();
    let text = request("GET", "/safe/a", "r1", "");
    let answers = zone.daemons.iter().map(|(_, relay)| async {
        let first = ask(relay.callers(), &text).await;
        [first, ask(relay.callers(), &text).await]
    });
    let answers = join_all(answers).await.into_iter().flatten();
    let answers: Vec<_> = answers.map(|answer| answer.expect("an answer")).collect();
    assert!(started.elapsed() < Duration::from_millis(500));
    let rejected: Vec<_> = answers.iter().filter(|row| row.status == 503).collect();
    assert!(!rejected.is_empty(), "all were sent to the cold endpoint");
    assert!(rejected.iter().all(|row| row.body.contains("\"no\"")
        && row.head.fields.text("Retry-After").is_some()));
}

/// The load balancer hands all new connections of a zone to one daemon while all endpoints are
/// cold. Guards against a daemon that rejects callers because others share the rates.
#[actix_web::test]
async fn a_daemon_that_gets_all_callers_uses_the_rates_of_all_for_cold_endpoints() {
    /// Requests a second of all callers: less than half of what the endpoints take.
    const DEMAND: f64 = 18.0;
    const SPAN: Duration = Duration::from_secs(4);
    let mut cold = Vec::new();
    for number in 1..=12 {
        let endpoint = endpoint(&format!("i-{number}")).await;
        endpoint.chill(Duration::from_secs(30), BOUND);
        cold.push(endpoint);
    }
    let endpoints: Vec<&Endpoint> = cold.iter().collect();
    let zone = zone(38, &endpoints).await;
    let all: Vec<_> = zone.daemons.iter().map(|(_, relay)| relay).collect();
    share_served(&all, DEMAND, PROPAGATION_TIME).await;
    let (evenly, at_one) = shares_evenly_and_at_one(&zone, DEMAND, SPAN).await;
    assert!(
        at_one >= evenly * 0.75,
        "{at_one} served at one daemon, {evenly} evenly"
    );
    assert!(
        cold.iter().all(|endpoint| !endpoint.has_crashed()),
        "they got too many requests"
    );
}
