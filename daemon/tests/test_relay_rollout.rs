//! Version moves that operators order through the platform's store.

use std::time::{Duration, Instant};

use poplarvale_standin::{Endpoint, ask, plain, request};

use crate::relay_site::{Site, until};

const ORDER: &str = "op/rollout/app";
const STATUS: &str = "status/rollout/app";

fn entry(endpoint: &Endpoint, version: &str) -> String {
    let entry = endpoint.entry("app", "ready");
    entry.replace("\"v1\"", &format!("\"{version}\""))
}

fn state(site: &Site) -> String {
    let status = site.store.get(STATUS).unwrap_or_default();
    String::from_utf8_lossy(&status).into_owned()
}

/// Starts a new version's endpoint and orders a move to it, then sends requests for
/// as long as the move lasts. Gives how many were sent.
async fn play(site: &Site, new: &Endpoint, seconds: u64) -> usize {
    site.store.put("servers/i-2", entry(new, "v2").as_bytes());
    let order = format!(r#"{{"service":"app","target":"v2","durationS":{seconds}}}"#);
    site.store.put(ORDER, order.as_bytes());
    let ordered = Instant::now();
    let mut sent = 0;
    while ordered.elapsed() < Duration::from_secs(seconds) {
        let text = request("GET", "/safe/a", &format!("r{sent}"), "");
        let answer = ask(site.address(), &text).await;
        assert!(answer.expect("an answer").status < 600);
        sent += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    sent
}

/// A version as good as the old one gets all requests before the time is over, and
/// operators read that the move is completed.
#[actix_web::test]
async fn a_good_version_takes_over_and_is_told_as_completed() {
    let old = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "old")]).await;
    let new = Endpoint::start("i-2", |seen| vec![plain(seen, 200, "new")]).await;
    let site = Site::start(&[&old]).await;
    play(&site, &new, 5).await;
    until(Duration::from_secs(2), async || {
        state(&site).contains("completed")
    })
    .await;
    let before = old.seen().len();
    for number in 0..10 {
        let text = request("GET", "/safe/a", &format!("late{number}"), "");
        ask(site.address(), &text).await.expect("an answer");
    }
    assert_eq!(old.seen().len(), before);
}

/// A version fails every request. It gets a few, callers get the old version's
/// answers, and operators read that the move was rolled back.
#[actix_web::test]
async fn a_bad_version_is_told_as_rolled_back_and_gets_nothing_more() {
    let old = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "old")]).await;
    let new = Endpoint::start("i-2", |seen| vec![plain(seen, 500, "broken")]).await;
    let site = Site::start(&[&old]).await;
    let sent = play(&site, &new, 5).await;
    until(Duration::from_secs(2), async || {
        state(&site).contains("rolled_back")
    })
    .await;
    assert!(
        new.seen().len() <= sent / 10,
        "{} of {sent}",
        new.seen().len()
    );
    let before = new.seen().len();
    for number in 0..10 {
        let text = request("GET", "/safe/a", &format!("late{number}"), "");
        ask(site.address(), &text).await.expect("an answer");
    }
    assert_eq!(new.seen().len(), before);
}

/// Another writer leaves rows that are no orders. The service goes on as it was.
#[actix_web::test]
async fn rows_that_are_no_orders_change_nothing() {
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
    assert_eq!(answer.expect("an answer").status, 200);
}
