//! The platform's store silent, refusing, forgetful or full of foreign rows, and
//! the duties that need it.

use std::time::Duration;

use futures::future::join_all;
use poplarvale_lib::protos::relay::Checkpoint;
use poplarvale_standin::{Endpoint, Mode, Store, ask, config, plain, request};
use prost::Message as _;
use tokio::time::Instant;

use crate::relay_site::{ROUTES, Site, until};

const SOON: Duration = Duration::from_secs(6);

async fn endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, |seen| vec![plain(seen, 200, "done")]).await
}

async fn status(site: &Site, path: &str) -> u16 {
    let answer = ask(site.address(), &request("GET", path, "r1", "")).await;
    answer.map_or(0, |answer| answer.status)
}

/// The store swallows a watch and comes back on new connections only. An endpoint
/// that leaves then must be noticed within the time that it still serves.
#[actix_web::test]
async fn a_store_that_was_silent_is_noticed_when_it_is_back() {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let site = Site::start(&[&one, &other]).await;
    site.store.set(Mode::Silent);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_eq!(status(&site, "/safe/a").await, 200);
    site.store.set(Mode::Well);
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.store
        .put("servers/i-1", one.entry("app", "draining").as_bytes());
    tokio::time::sleep(Duration::from_millis(1900)).await;
    let before = one.seen().len();
    for _ in 0..20 {
        assert_eq!(status(&site, "/safe/a").await, 200);
    }
    assert_eq!(one.seen().len(), before);
}

/// The store swallows calls for some seconds, at any moment of a daemon's tries to reach
/// it. When it is back, a configuration that it accepts must be in force two seconds
/// later; operators see one daemon answer by the old one for longer.
#[actix_web::test]
async fn a_store_that_was_silent_for_long_is_heard_two_seconds_after_its_return() {
    const SILENT: [u64; 12] = [
        3000, 3300, 3600, 3900, 4200, 4500, 4800, 5100, 5400, 5700, 6000, 6300,
    ];
    let late = join_all(SILENT.map(|silent| async move {
        let one = endpoint("i-1").await;
        let site = Site::without_duties(&[&one]).await;
        site.store.set(Mode::Silent);
        tokio::time::sleep(Duration::from_millis(silent)).await;
        site.store.set(Mode::Well);
        let fewer = &ROUTES[1..];
        site.store.put("op/config", config(2, fewer, 0).as_bytes());
        tokio::time::sleep(Duration::from_secs(2)).await;
        status(&site, "/safe/a").await != 404
    }));
    assert_eq!(late.await, vec![false; SILENT.len()], "old after each");
}

/// The store forgets its history while an endpoint leaves. The daemon reads
/// everything anew and does not miss it.
#[actix_web::test]
async fn forgotten_history_hides_no_endpoint_that_left() {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let site = Site::start(&[&one, &other]).await;
    site.store.remove("servers/i-1");
    site.store.compact();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = one.seen().len();
    for _ in 0..10 {
        assert_eq!(status(&site, "/safe/a").await, 200);
    }
    assert_eq!(one.seen().len(), before);
}

/// The store is well but tells watches nothing of its changes for a while; then its
/// history is gone. An endpoint leaves in that time. A watch that waits for news is
/// silent by its nature; taken for an outage of the store, the silence keeps the
/// endpoint in use for more than two seconds after its entry was removed.
#[actix_web::test]
async fn a_silent_watch_is_no_outage() {
    /// From the last news of a watch until the history is gone.
    const SILENT: [u64; 4] = [1515, 1535, 1555, 1575];
    let after = join_all(SILENT.map(|silent| async move {
        let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
        let site = Site::without_duties(&[&one, &other]).await;
        let watched = site.store.calls();
        until(SOON, async || site.store.calls() > watched).await;
        site.store.put("servers/foreign", b"{}");
        let news = Instant::now();
        tokio::time::sleep(Duration::from_millis(900)).await;
        site.store.set_quiet(true);
        site.store.remove("servers/i-1");
        let left = Instant::now();
        tokio::time::sleep_until(news + Duration::from_millis(silent)).await;
        site.store.compact();
        site.store.set_quiet(false);
        tokio::time::sleep_until(left + Duration::from_secs(2)).await;
        let before = one.seen().len();
        for _ in 0..20 {
            assert_eq!(status(&site, "/safe/a").await, 200);
        }
        one.seen().len() - before
    }));
    assert_eq!(after.await, vec![0; SILENT.len()], "requests after each");
}

/// Another writer leaves rows under the registry's keys. They name no endpoint, and
/// the others hold.
#[actix_web::test]
async fn foreign_rows_name_no_endpoint() {
    let one = endpoint("i-1").await;
    let site = Site::start(&[&one]).await;
    site.store.put("servers/i-2", b"{\"service\":\"app\"}");
    site.store.put("servers/i-3", b"\xff\xfe");
    let state = one.entry("app", "asleep");
    site.store.put("servers/i-4", state.as_bytes());
    site.store.put_raw("servers/i-5", "not base64!");
    site.store.put("op/config", b"{}");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for _ in 0..5 {
        assert_eq!(status(&site, "/safe/a").await, 200);
    }
}

/// An older configuration appears again. Callers must not see it come back.
#[actix_web::test]
async fn an_older_configuration_never_comes_back() {
    let one = endpoint("i-1").await;
    let site = Site::start(&[&one]).await;
    let fewer = &ROUTES[1..];
    site.store.put("op/config", config(3, fewer, 0).as_bytes());
    until(SOON, async || status(&site, "/safe/a").await == 404).await;
    site.store
        .put("op/config", config(2, &ROUTES, 0).as_bytes());
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(status(&site, "/safe/a").await, 404);
}

/// A window's usage is reported once, with the same bytes each time, though the
/// platform refuses it at first.
#[actix_web::test]
async fn a_window_has_one_report_only() {
    let one = endpoint("i-1").await;
    let site = Site::start(&[&one]).await;
    site.cloud.set(503);
    for _ in 0..5 {
        status(&site, "/safe/a").await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    site.cloud.set(200);
    until(Duration::from_secs(10), async || {
        let seen = site.cloud.seen();
        seen.iter()
            .any(|call| String::from_utf8_lossy(&call.body).contains("\"club\":5"))
    })
    .await;
    let calls: Vec<String> = site
        .cloud
        .seen()
        .iter()
        .map(|call| String::from_utf8_lossy(&call.body).into_owned())
        .collect();
    let window = |call: &String| call.split(',').next().map(str::to_owned);
    for call in &calls {
        let same: Vec<&String> = calls
            .iter()
            .filter(|other| window(other) == window(call))
            .collect();
        assert!(same.iter().all(|other| *other == call), "{same:?}");
    }
}

/// The store does what it is told and loses its answers. The daemon reads back what
/// lies there and goes on from it, and no window gets two counts.
#[actix_web::test]
async fn lost_answers_make_no_second_count() {
    let one = endpoint("i-1").await;
    let site = Site::start(&[&one]).await;
    until(SOON, async || site.store.get("poplarvale/usage").is_some()).await;
    site.store.set(Mode::Lost);
    status(&site, "/safe/a").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.store.set(Mode::Well);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let bodies: Vec<String> = site
        .cloud
        .seen()
        .iter()
        .map(|call| String::from_utf8_lossy(&call.body).into_owned())
        .collect();
    let mut windows: Vec<&str> = bodies
        .iter()
        .filter_map(|body| body.split(',').next())
        .collect();
    let all = windows.len();
    assert!(all > 2);
    windows.sort_unstable();
    windows.dedup();
    let mut distinct = bodies.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), windows.len());
}

/// The store is away for longer than the lease of the holder of the duties, and leases
/// stand still meanwhile. The holder goes on with the lease that it has as soon as the
/// store is back; given up, its key would keep all others from the duties until it ends.
#[actix_web::test]
async fn a_lease_that_stood_still_is_kept() {
    let one = endpoint("i-1").await;
    let site = Site::start(&[&one]).await;
    until(SOON, async || site.store.get("poplarvale/usage").is_some()).await;
    let leader = site.store.get("poplarvale/leader");
    site.store.set(Mode::Paused);
    tokio::time::sleep(Duration::from_millis(1600)).await;
    site.store.set(Mode::Well);
    let before = site.cloud.seen().len();
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_eq!(site.store.get("poplarvale/leader"), leader);
    assert!(site.cloud.seen().len() > before, "nothing is reported");
}

/// All daemons are killed at once while a usage window runs, and with them goes what
/// they had counted. The next holder of the duties reports the window from the
/// checkpoint; without it customers are charged for a part of their requests only.
#[actix_web::test]
async fn usage_is_reported_after_all_daemons_were_killed() {
    const ASKED: u32 = 7;
    let one = endpoint("i-1").await;
    let first = Site::start(&[&one]).await;
    until(SOON, async || {
        first.store.get("poplarvale/leader").is_some()
    })
    .await;
    for _ in 0..ASKED {
        assert_eq!(status(&first, "/safe/a").await, 200);
    }
    let saved = || first.store.get("poplarvale/checkpoint");
    let counted = || saved().is_some_and(|value| counts(&value) == ASKED);
    until(SOON, async || counted()).await;
    // A daemon of this process cannot be killed without the test. Another one starts
    // on a store of its own, with what lay in the first.
    let store = Store::start().await;
    for key in ["op/config", "servers/i-1", "poplarvale/checkpoint"] {
        let value = first.store.get(key).expect("it was written");
        store.put(key, &value);
    }
    let next = Site::with_grace(store, 3).await;
    let told = async || {
        let seen = next.cloud.seen();
        let bodies = seen.iter().map(|call| String::from_utf8_lossy(&call.body));
        let mut bodies: Vec<String> = bodies.map(Into::into).collect();
        bodies.sort();
        bodies.dedup();
        bodies.iter().map(|body| runs(body)).sum::<u32>() == ASKED
    };
    until(Duration::from_secs(12), told).await;
}

/// Runs of the team `club` in a report.
fn runs(body: &str) -> u32 {
    let after = body.split("\"club\":").nth(1);
    let digits = after.map(|text| text.trim_end_matches('}'));
    digits.map_or(0, |digits| digits.parse().expect("a number"))
}

/// Runs that a checkpoint holds.
fn counts(value: &[u8]) -> u32 {
    let read = Checkpoint::decode(value).expect("it is one of ours");
    let windows = read.counters.iter().flat_map(|row| &row.windows);
    windows.flat_map(|window| &window.runs).sum()
}
