//! Allowances of teams at real daemons: what a flood of long prompts leaves to short requests, and
//! configurations with absurd rates.

use std::time::Duration;

use futures::future::join_all;
use poplarvale_standin::{Endpoint, ask, config, long_prompt, plain, request, with_routes};
use poplarvaled::Relay;

use crate::relay_site::{ROUTES, Site, Zone, store_with, until};

/// Time until all daemons know of a flood by kind of request.
const SPREAD_TIME: Duration = Duration::from_millis(1500);
/// Allowance in tokens a second, and its burst.
const RATE: u64 = 10_000;
async fn endpoint() -> Endpoint {
    Endpoint::start("i-1", |seen| vec![plain(seen, 200, "done")]).await
}

/// Sends `rate` requests a second to a daemon; returns how many there were and how many were
/// rejected.
async fn send(relay: &Relay, fields: &str, rate: f64, span: Duration) -> (usize, usize) {
    let callers = (0..(rate * span.as_secs_f64()) as usize).map(|number| async move {
        tokio::time::sleep(Duration::from_secs_f64(number as f64 / rate)).await;
        let text = request("GET", "/safe/a", &format!("r{number}"), fields);
        let answer = ask(relay.callers(), &text).await;
        usize::from(answer.is_ok_and(|answer| answer.status == 429))
    });
    let rejected = join_all(callers).await;
    (rejected.len(), rejected.into_iter().sum())
}

/// Long prompts flood at one daemon, and all short requests come to another one, which knows of the
/// flood only what daemons report to each other. The short ones must be served.
#[actix_web::test]
async fn short_requests_are_served_while_long_ones_flood_elsewhere() {
    let one = endpoint().await;
    let zone = Zone::start(48, store_with(&[&one]).await).await;
    let text = config(2, &ROUTES, RATE).replace(
        "\"name\":\"club\"",
        "\"name\":\"club\",\"unit\":\"tokens\",\"plainTokens\":100",
    );
    zone.store.put("op/config", text.as_bytes());
    tokio::time::sleep(Duration::from_secs(3)).await;
    let [flooded, other] = [&zone.daemons[3].1, &zone.daemons[4].1];
    let letter = long_prompt(9000, 100);
    let flood = send(flooded, &letter, 8.0, SPREAD_TIME * 4);
    let payments = async {
        send(other, "", 20.0, SPREAD_TIME).await;
        send(other, "", 20.0, SPREAD_TIME * 2).await
    };
    let (letters, payments) = futures::join!(flood, payments);
    assert!(letters.1 * 2 > letters.0, "{letters:?} letters rejected");
    assert_eq!(payments.1, 0, "{payments:?} payments rejected");
    let status = other.status().expect("the daemon serves its status");
    let page = ask(status, "GET /metrics HTTP/1.1\r\nHost: d\r\n\r\n").await;
    let page = page.expect("a page").body;
    let row = |line: &&str| {
        ["relay_units", "\"1-short\"", "\"admitted\"", "\"club\""]
            .iter()
            .all(|part| line.contains(part))
    };
    assert!(page.lines().any(|line| row(&line)), "{page}");
}

/// An operator's edit has a rate below 0. The configuration before it must stay in force, and a sound
/// edit after it must take effect.
#[actix_web::test]
async fn a_rate_below_zero_leaves_the_former_configuration_in_force() {
    let one = endpoint().await;
    let site = Site::without_duties(&[&one]).await;
    let status = async |path: &str| {
        let answer = ask(site.address(), &request("GET", path, "r1", "")).await;
        answer.map_or(0, |answer| answer.status)
    };
    let edit = |version: u64| with_routes(&config(version, &ROUTES, 5), 1);
    let absurd = edit(2).replace("\"ratePerS\":5", "\"ratePerS\":-5");
    site.store.put("op/config", absurd.as_bytes());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(status("/safe/a").await, 200);
    assert_eq!(status("/grown-0/a").await, 404);
    site.store.put("op/config", edit(3).as_bytes());
    let limit = Duration::from_secs(3);
    until(limit, async || status("/grown-0/a").await == 200).await;
}
