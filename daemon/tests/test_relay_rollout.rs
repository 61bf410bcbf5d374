//! Version moves that operators order through the platform's store.

use std::time::{Duration, Instant};

use poplarvale_standin::{Endpoint, ask, plain, request};

use crate::relay_site::{Site, until};

/// Store key of the order for a version move.
const ORDER: &str = "op/rollout/app";
/// Store key of the state of the version move.
const STATUS: &str = "status/rollout/app";

/// Registry entry of an endpoint that runs a version.
fn entry(endpoint: &Endpoint, version: &str) -> String {
    let entry = endpoint.entry("app", "ready");
    entry.replace("\"v1\"", &format!("\"{version}\""))
}

/// State of the version move as operators read it.
fn state(site: &Site) -> String {
    let status = site.store.get(STATUS).unwrap_or_default();
    String::from_utf8_lossy(&status).into_owned()
}

/// Registers an endpoint of a new version and orders a move to it, then sends requests for as long
/// as the move may last. Returns how many were sent.
async fn run_move(site: &Site, new: &Endpoint, seconds: u64) -> usize {
    site.store.put("servers/i-2", entry(new, "v2").as_bytes());
    let order = format!(r#"{{"service":"app","target":"v2","durationS":{seconds}}}"#);
    site.store.put(ORDER, order.as_bytes());
    let ordered = Instant::now();
    let mut sent = 0;
    while ordered.elapsed() < Duration::from_secs(seconds) {
        let text = request("GET", "/safe/a", &format!("r{sent}"), "");
        let answer = ask(site.address(), &text).await;
        assert!(answer.expect("a response").status < 600);
        sent += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    sent
}

/// A version that serves as well as the old one must receive all requests before the ordered
/// duration ends, and operators must read that the move is completed.
#[actix_web::test]
async fn a_move_to_a_good_version_completes_and_is_reported() {
    let old = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "old")]).await;
    let new = Endpoint::start("i-2", |seen| vec![plain(seen, 200, "new")]).await;
    let site = Site::start(&[&old]).await;
    run_move(&site, &new, 5).await;
    until(Duration::from_secs(2), async || {
        state(&site).contains("completed")
    })
    .await;
    let before = old.seen().len();
    for number in 0..10 {
        let text = request("GET", "/safe/a", &format!("late{number}"), "");
        ask(site.address(), &text).await.expect("a response");
    }
    assert_eq!(old.seen().len(), before);
}

/// A new version fails every request. It may receive only a few, callers get responses of the old
/// version, and operators read that the move was rolled back.
#[actix_web::test]
async fn a_move_to_a_failing_version_is_rolled_back_and_reported() {
    let old = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "old")]).await;
    let new = Endpoint::start("i-2", |seen| vec![plain(seen, 500, "broken")]).await;
    let site = Site::start(&[&old]).await;
    let sent = run_move(&site, &new, 5).await;
    until(Duration::from_secs(2), async || {
        state(&site).contains("rolled_back")
    })
    .await;
    assert!(
        new.seen().len() <= sent / 10,
        "the failing version received {} of {sent} requests",
        new.seen().len()
    );
    let before = new.seen().len();
    for number in 0..10 {
        let text = request("GET", "/safe/a", &format!("late{number}"), "");
        ask(site.address(), &text).await.expect("a response");
    }
    assert_eq!(new.seen().len(), before);
}

/// Another writer puts invalid orders and states into the store. They must be ignored, and requests
/// are served as before.
#[actix_web::test]
async fn invalid_orders_and_states_are_ignored() {
    let old = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "old")]).await;
    let site = Site::start(&[&old]).await;
    for row in [
        "{}",
        "\u{1}",
        r#"{"service":"app","target":"v2","durationS":-1}"#,
    ] {
        site.store.put(ORDER, row.as_bytes());
    }
    site.store
        .put(STATUS, br#"{"state":"asleep","target":"v2"}"#);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    let answer = ask(site.address(), &request("GET", "/safe/a", "r1", "")).await;
    assert_eq!(answer.expect("a response").status, 200);
}
