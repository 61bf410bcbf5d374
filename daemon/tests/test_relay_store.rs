//! Faults of the platform's store as a daemon meets them: calls without an answer, lost answers,
//! compacted history, paused leases and foreign rows; and the duties that depend on the store.

use std::time::Duration;

use futures::future::join_all;
use poplarvale_lib::protos::relay::Checkpoint;
use poplarvale_lib::store::MAX_VALUE_BYTES;
use poplarvale_standin::{Endpoint, Mode, Store, ask, config, plain, request};
use prost::Message as _;
use tokio::time::Instant;

use crate::relay_site::{ROUTES, Site, store_with, until};

const SOON: Duration = Duration::from_secs(6);

async fn endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, |seen| vec![plain(seen, 200, "done")]).await
}

async fn status(site: &Site, path: &str) -> u16 {
    let answer = ask(site.address(), &request("GET", path, "r1", "")).await;
    answer.map_or(0, |answer| answer.status)
}

/// The store stops answering during a watch, and afterwards answers on new connections only. If
/// the daemon waits too long for the old watch, it goes on sending requests to an endpoint that
/// left after the store's return.
#[actix_web::test]
async fn a_leaving_endpoint_is_noticed_after_the_store_was_unresponsive() {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let site = Site::start(&[&one, &other]).await;
    site.store.set(Mode::Unresponsive);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_eq!(status(&site, "/safe/a").await, 200);
    site.store.set(Mode::Healthy);
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

/// The store answers no call for some seconds and returns at any point of a daemon's retries. A
/// configuration that it accepts then must be in force two seconds later. With a too long timeout
/// or retry delay, operators see one daemon use the old configuration for longer.
#[actix_web::test]
async fn a_new_configuration_is_in_force_two_seconds_after_an_outage_of_the_store() {
    /// Durations of the outage, in milliseconds.
    const OUTAGES_MS: [u64; 12] = [
        3000, 3300, 3600, 3900, 4200, 4500, 4800, 5100, 5400, 5700, 6000, 6300,
    ];
    let late = join_all(OUTAGES_MS.map(|outage| async move {
        let one = endpoint("i-1").await;
        let site = Site::without_duties(&[&one]).await;
        site.store.set(Mode::Unresponsive);
        tokio::time::sleep(Duration::from_millis(outage)).await;
        site.store.set(Mode::Healthy);
        let fewer = &ROUTES[1..];
        site.store.put("op/config", config(2, fewer, 0).as_bytes());
        tokio::time::sleep(Duration::from_secs(2)).await;
        status(&site, "/safe/a").await != 404
    }));
    assert_eq!(
        late.await,
        vec![false; OUTAGES_MS.len()],
        "the old configuration, for each outage"
    );
}

/// The store compacts its history while an endpoint leaves. A daemon that does not read everything
/// again misses the removal.
#[actix_web::test]
async fn compacted_history_hides_no_removed_endpoint() {
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

/// The store is available but reports no changes to watches for a while, then compacts its
/// history. An endpoint leaves in that time. A watch that waits for changes gets no answer
/// meanwhile. If that counts as an outage of the store, the endpoint stays in use for more than
/// two seconds after its entry was removed.
#[actix_web::test]
async fn a_watch_without_changes_is_no_outage() {
    /// From the last change that a watch returned until the history is compacted, in
    /// milliseconds.
    const QUIET_MS: [u64; 4] = [1515, 1535, 1555, 1575];
    let after = join_all(QUIET_MS.map(|quiet| async move {
        let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
        let site = Site::without_duties(&[&one, &other]).await;
        let watched = site.store.calls();
        until(SOON, async || site.store.calls() > watched).await;
        site.store.put("servers/foreign", b"{}");
        let changed = Instant::now();
        tokio::time::sleep(Duration::from_millis(900)).await;
        site.store.set_watches_paused(true);
        site.store.remove("servers/i-1");
        let removed = Instant::now();
        tokio::time::sleep_until(changed + Duration::from_millis(quiet)).await;
        site.store.compact();
        site.store.set_watches_paused(false);
        tokio::time::sleep_until(removed + Duration::from_secs(2)).await;
        let before = one.seen().len();
        for _ in 0..20 {
            assert_eq!(status(&site, "/safe/a").await, 200);
        }
        one.seen().len() - before
    }));
    assert_eq!(
        after.await,
        vec![0; QUIET_MS.len()],
        "requests after the removal"
    );
}

/// Another writer puts rows that are no valid entries under the registry's keys. The daemon
/// ignores them and keeps the valid ones.
#[actix_web::test]
async fn foreign_registry_rows_are_ignored() {
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

/// An older configuration is written to the store again. It must not come into force.
#[actix_web::test]
async fn an_older_configuration_is_never_applied() {
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

/// The platform rejects usage reports at first, and a window's report is retried. Each retry must
/// have the same bytes as the first attempt, so that a window never has two different counts.
#[actix_web::test]
async fn each_usage_window_has_one_report_only() {
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

/// The store executes calls, but its answers are lost. The daemon must read back what was stored
/// and continue from it; otherwise a window could be reported with two different counts.
#[actix_web::test]
async fn lost_store_answers_cause_no_second_count() {
    let one = endpoint("i-1").await;
    let site = Site::start(&[&one]).await;
    until(SOON, async || site.store.get("poplarvale/usage").is_some()).await;
    site.store.set(Mode::LosesReplies);
    status(&site, "/safe/a").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.store.set(Mode::Healthy);
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

/// The store is unavailable for longer than the lease of the duty holder, and leases do not
/// expire meanwhile. The holder must continue with its lease as soon as the store is back. If it
/// gave the lease up, its key would keep all others from the duties until the lease expires.
#[actix_web::test]
async fn a_lease_paused_with_the_store_is_kept() {
    let one = endpoint("i-1").await;
    let site = Site::start(&[&one]).await;
    until(SOON, async || site.store.get("poplarvale/usage").is_some()).await;
    let leader = site.store.get("poplarvale/leader");
    site.store.set(Mode::Paused);
    tokio::time::sleep(Duration::from_millis(1600)).await;
    site.store.set(Mode::Healthy);
    let before = site.cloud.seen().len();
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_eq!(site.store.get("poplarvale/leader"), leader);
    assert!(site.cloud.seen().len() > before, "no usage is reported");
}

/// All daemons are killed at once during a usage window, and their counts are lost with them. The
/// next duty holder must report the window from the checkpoint; otherwise customers are charged
/// for only a part of their requests.
#[actix_web::test]
async fn usage_is_reported_after_all_daemons_were_killed() {
    const REQUESTS: u32 = 7;
    let one = endpoint("i-1").await;
    let first = Site::start(&[&one]).await;
    until(SOON, async || {
        first.store.get("poplarvale/leader").is_some()
    })
    .await;
    for _ in 0..REQUESTS {
        assert_eq!(status(&first, "/safe/a").await, 200);
    }
    let saved = || first.store.get("poplarvale/checkpoint");
    let counted = || saved().is_some_and(|value| counts(&value) == REQUESTS);
    until(SOON, async || counted()).await;
    // The first daemon runs in the process of the test and cannot be killed alone. Another one
    // starts instead, on a store of its own with the values of the first store.
    let store = Store::start().await;
    for key in ["op/config", "servers/i-1", "poplarvale/checkpoint"] {
        let value = first.store.get(key).expect("the key was written");
        store.put(key, &value);
    }
    let next = Site::with_grace(store, 3).await;
    let reported = async || {
        let seen = next.cloud.seen();
        let bodies = seen.iter().map(|call| String::from_utf8_lossy(&call.body));
        let mut bodies: Vec<String> = bodies.map(Into::into).collect();
        bodies.sort();
        bodies.dedup();
        bodies.iter().map(|body| runs(body)).sum::<u32>() == REQUESTS
    };
    until(Duration::from_secs(12), reported).await;
}

/// Runs of the team `club` in a report.
fn runs(body: &str) -> u32 {
    let after = body.split("\"club\":").nth(1);
    let digits = after.map(|text| text.trim_end_matches('}'));
    digits.map_or(0, |digits| digits.parse().expect("the count is a number"))
}

/// Sum of all runs in a checkpoint.
fn counts(value: &[u8]) -> u32 {
    let read = Checkpoint::decode(value).expect("the value is a checkpoint");
    let windows = read.counters.iter().flat_map(|row| &row.windows);
    windows.flat_map(|window| &window.runs).sum()
}

/// Guards against a start that never ends because the keys of other writers break the query that asks for
/// the next page, and against memory that grows by what cannot be read.
#[actix_web::test]
async fn entries_of_other_writers_do_not_keep_a_daemon_from_starting() {
    let one = Endpoint::start("z-1", |seen| vec![plain(seen, 200, "done")]).await;
    let store = store_with(&[&one]).await;
    let unreadable = vec![b'x'; MAX_VALUE_BYTES];
    for key in [
        "R&D-lab", "a b", "c#d", "e%26f", "g+h", "i=j", "k?l", "m\u{e9}n",
    ] {
        store.put(&format!("servers/{key}"), &unreadable);
        store.put(&format!("poplarvale/{key}"), &unreadable);
        store.put(&format!("op/{key}"), &unreadable);
        store.put(&format!("status/rollout/{key}"), &unreadable);
    }
    let site = Site::without_duties_on(store).await;
    let answer = ask(site.address(), &request("GET", "/safe/a", "r1", "")).await;
    assert_eq!(answer.map(|answer| answer.status).ok(), Some(200));
}

/// Guards against a list that is read without end because each page brings the same items.
#[actix_web::test]
async fn a_list_whose_pages_bring_nothing_new_ends() {
    let one = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "done")]).await;
    let store = store_with(&[&one]).await;
    store.set(Mode::RepeatsPages);
    let site = Site::without_duties_on(store).await;
    let answer = ask(site.address(), &request("GET", "/safe/a", "r1", "")).await;
    assert_eq!(answer.map(|answer| answer.status).ok(), Some(200));
}
