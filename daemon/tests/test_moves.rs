//! Version moves over several daemons that run as separate processes.

use std::collections::BTreeSet;

use serde_json::{Value, json};
use testutils::process::{Process, beside};

use crate::site::{DAEMON, Daemon, Got, KEY, PAUSE, Site, TOKEN, chat, client, read};

/// Concurrent requests, so that evidence accumulates quickly.
const CALLERS: usize = 8;

/// A site whose second engine runs a new version.
async fn site() -> Site {
    let engine = Process::start(&beside(DAEMON, "engine"), &["--version", "v2"]);
    Site::fleet_with(&[false, false], &[], |settings, engines| {
        engines.push(engine);
        let new = engines.len() - 1;
        let address = engines[new].address("listening");
        let endpoint = json!({
            "id": "engine-new", "zone": "hanko", "address": address, "version": "v2",
        });
        settings["services"][0]["version"] = json!("v1");
        let endpoints = &mut settings["services"][0]["endpoints"];
        endpoints.as_array_mut().expect("a list").push(endpoint);
    })
    .await
}

async fn start(daemon: &Daemon, within_s: u64, id: u128) -> Got {
    let ask = json!({
        "id": format!("{id:032x}"), "service": "surf-lm", "to": "v2", "within_s": within_s,
    });
    let request = client()
        .post(format!("http://{}/moves", daemon.operators))
        .insert_header(("authorization", format!("Bearer {TOKEN}")));
    read(request.send_json(&ask).await.expect("it answers")).await
}

async fn state(daemon: &Daemon) -> Value {
    daemon.operate(TOKEN, "/moves/surf-lm").await.json()
}

/// Sends requests to all daemons until the move has ended on each. Returns the number of answers
/// and how many of them failed.
async fn request_until_ended(site: &Site) -> (usize, usize) {
    let (mut all, mut failed) = (0, 0);
    loop {
        let requests = (0..CALLERS).map(|n| {
            let daemon = &site.daemons[n % site.daemons.len()];
            let body = chat(&format!("caller {n}"), 4, false);
            async move { daemon.post(KEY, "/v1/chat/completions", &body).await }
        });
        let got = futures::future::join_all(requests).await;
        all += got.len();
        failed += got.iter().filter(|got| got.status != 200).count();
        let mut states = BTreeSet::new();
        for daemon in &site.daemons {
            states.insert(state(daemon).await["ended"].as_bool());
        }
        if states.iter().all(|ended| *ended == Some(true)) {
            return (all, failed);
        }
    }
}

/// A new version fails every request from its start. Without a move that watches the errors, all
/// endpoints would be replaced before anybody notices them.
#[actix_web::test]
async fn a_version_that_fails_is_rolled_back_on_all_daemons() {
    let site = site().await;
    site.fault(2, &json!({"status": 500})).await;
    let started = start(&site.daemons[0], 120, 1).await;
    assert_eq!(started.status, 200, "{}", started.body);
    let (all, failed) = request_until_ended(&site).await;
    for daemon in &site.daemons {
        assert_eq!(state(daemon).await["state"], "taken_back");
    }
    // Requests that fail at the new version are retried at the old one.
    assert_eq!(failed, 0, "of {all}");
    // After the verdict the new version gets no more requests.
    let before = site.counts(2).await["attempts"].clone();
    for n in 0..20 {
        let got = site
            .post(
                KEY,
                "/v1/chat/completions",
                &chat(&format!("{n}"), 2, false),
            )
            .await;
        assert_eq!(got.status, 200);
    }
    assert_eq!(site.counts(2).await["attempts"], before);
}

/// A new version is started beside the old one, hours before an operator starts a move. It must not
/// get callers' requests until then.
#[actix_web::test]
async fn a_new_version_gets_no_requests_before_a_move() {
    let site = site().await;
    for n in 0..30 {
        let daemon = &site.daemons[n % 2];
        let got = daemon
            .post(
                KEY,
                "/v1/chat/completions",
                &chat(&format!("{n}"), 2, false),
            )
            .await;
        assert_eq!(got.status, 200);
    }
    assert_eq!(site.counts(2).await["attempts"], 0);
}

/// Two operators start a move of the same service at once, and one cancels. Only one move may
/// exist, and its end must be reported correctly.
#[actix_web::test]
async fn of_two_concurrent_moves_one_is_rejected_and_a_cancel_ends_the_other() {
    let site = site().await;
    let both = futures::future::join(
        start(&site.daemons[0], 120, 1),
        start(&site.daemons[1], 120, 2),
    );
    let (one, two) = both.await;
    let mut statuses = [one.status.as_u16(), two.status.as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{} {}", one.body, two.body);
    let cancel = client()
        .delete(format!(
            "http://{}/moves/surf-lm",
            site.daemons[1].operators
        ))
        .insert_header(("authorization", format!("Bearer {TOKEN}")));
    let cancelled = read(cancel.send().await.expect("it answers")).await;
    assert_eq!(cancelled.json()["state"], "cancelled", "{}", cancelled.body);
    while state(&site.daemons[0]).await["state"] != "cancelled" {
        actix_web::rt::time::sleep(PAUSE).await;
    }
}

/// A good version reaches the full share by the deadline of the move, and no request fails.
#[actix_web::test]
async fn a_move_to_a_good_version_completes_in_time() {
    let site = site().await;
    let started = start(&site.daemons[0], 60, 1).await;
    assert_eq!(started.status, 200, "{}", started.body);
    let (all, failed) = request_until_ended(&site).await;
    for daemon in &site.daemons {
        let state = state(daemon).await;
        assert_eq!(state["state"], "done", "{state}");
    }
    assert_eq!(failed, 0, "of {all}");
}

#[actix_web::test]
async fn impossible_moves_are_rejected_with_the_reason() {
    let site = site().await;
    let short = start(&site.daemons[0], 5, 1).await;
    assert_eq!(
        (short.status.as_u16(), short.code()),
        (422, 4006),
        "{}",
        short.body
    );
    let none = site.operate(TOKEN, "/moves/surf-lm").await;
    assert_eq!((none.status.as_u16(), none.code()), (404, 4005));
    let embedded = Site::start();
    let out = start(&embedded.daemons[0], 120, 1).await;
    assert_eq!(out.code(), 4004, "{}", out.body);
}
