//! Starts of daemons after a loss of power of a whole zone.

use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_platform::read_settings;
use poplarvale_standin::{Cloud, Endpoint, Mode, Store, ask, plain, request, settings};
use poplarvaled::Relay;
use serde_json::{Value, json};

use crate::relay_site::{DAEMONS, free_port, is_ready, start_daemon_with, store_with, until};

/// Time within which the duty holder has written a checkpoint.
const CHECKPOINT_TIME: Duration = Duration::from_secs(5);
/// How long a daemon that knew no other one waited before it read the store.
const FORMER_DELAY: Duration = Duration::from_millis(400);
/// Number of the zone's network.
const NUMBER: usize = 61;

/// Starts all daemons of a zone; returns how long each took to be ready.
async fn start_all(number: usize, port: u16, store: &Store) -> Vec<(Relay, Duration)> {
    let store = store.address;
    let daemons = (1..=DAEMONS).map(|host| async move {
        let began = Instant::now();
        let relay = start_daemon_with(number, host, port, store, |file: &mut Value| {
            file["cloud"]["duties"] = json!(["usage"]);
            file["platform"]["readsPerS"] = json!(6000);
            file["limits"]["linkMbps"] = json!(200);
        });
        (relay.await, began.elapsed())
    });
    join_all(daemons).await
}

/// A zone loses its power, and other hosts take the place of its daemons. Each waited for others to have the
/// configuration and rejected every caller meanwhile.
#[actix_web::test]
async fn daemons_that_start_together_do_not_wait_for_each_other() {
    let one = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "done")]).await;
    let store = store_with(&[&one]).await;
    let former = start_all(NUMBER, free_port(NUMBER), &store).await;
    let is_saved = async || store.get("poplarvale/checkpoint").is_some();
    until(CHECKPOINT_TIME, is_saved).await;
    // Checkpoints are written twice a second; a later one lists all daemons.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let port = free_port(NUMBER + 1);
    let mut started = start_all(NUMBER + 1, port, &store).await;
    started.sort_by_key(|row| row.1);
    let median = started[started.len() / 2].1;
    assert!(median < FORMER_DELAY, "{median:?}");
    for (relay, _) in &started {
        let answer = ask(relay.callers(), &request("GET", "/safe/a", "r1", "")).await;
        assert!(answer.is_ok_and(|answer| answer.status == 200));
    }
    drop(former);
}

/// The store is away when a daemon starts. It must not seem ready, and its requests must be rejected.
#[actix_web::test]
async fn a_daemon_that_starts_while_the_store_is_away_is_not_ready() {
    let store = store_with(&[]).await;
    store.set(Mode::Rejecting);
    let text = settings(store.address, Cloud::start().await.address);
    let settings = read_settings(&text).expect("valid settings");
    let relay = Relay::start(settings).await.expect("the daemon starts");
    let answer = ask(relay.callers(), &request("GET", "/safe/a", "r1", "")).await;
    assert!(answer.is_ok_and(|answer| answer.status == 503));
    assert!(!is_ready(relay.ready()).await);
    store.set(Mode::Healthy);
    until(CHECKPOINT_TIME, async || is_ready(relay.ready()).await).await;
}
