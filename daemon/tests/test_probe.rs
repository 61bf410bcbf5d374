//! Load and cache events that daemons poll from model engines, and the load that they share.

use awc::http::StatusCode;
use serde_json::{Value, json};

use crate::site::{Daemon, KEY, PAUSE, Site, TOKEN, chat, client};

const CHAT: &str = "/v1/chat/completions";
/// Number of streams that an engine serves concurrently.
const SLOTS: u64 = 16;

/// What a daemon knows of the first engine's load.
async fn load(daemon: &Daemon) -> Value {
    let rows = daemon.operate(TOKEN, "/dump/endpoints").await.json();
    rows["engine-0"]["load"].clone()
}

/// Sends a stream directly to the first engine, without a daemon.
async fn send_directly(site: &Site, body: &Value) -> awc::http::StatusCode {
    let url = format!("http://{}{CHAT}", site.engines[0].address("listening"));
    let got = client().post(url).send_json(body).await;
    got.expect("it answers").status()
}

/// An engine is full with requests that other daemons sent. A daemon that knew only its own
/// requests would consider the engine idle, and callers would wait there while another is free.
#[actix_web::test]
async fn all_daemons_of_a_zone_learn_of_an_engine_that_is_full() {
    let site = Site::fleet(2).await;
    site.fault(0, &json!({"slow_ms": 100})).await;
    let url = format!("http://{}{CHAT}", site.engines[0].address("listening"));
    let mut streams = Vec::new();
    for n in 0..3 * SLOTS {
        let body = chat(&format!("others {n}"), 300, true);
        let stream = client().post(&url).send_json(&body).await;
        streams.push(stream.expect("it answers"));
    }
    for daemon in &site.daemons {
        while load(daemon).await["running"] != SLOTS {
            tokio::time::sleep(PAUSE).await;
        }
    }
    let before = site.counts(0).await["attempts"].clone();
    for n in 0..4 {
        for daemon in &site.daemons {
            let text = format!("own {n}");
            let got = daemon.post(KEY, CHAT, &chat(&text, 2, false)).await;
            assert_eq!(got.status, StatusCode::OK, "{}", got.body);
        }
    }
    assert_eq!(site.counts(0).await["attempts"], before);
    drop(streams);
}

/// A conversation that this daemon has not routed fills an engine's cache. The daemon that polls
/// the engine learns which blocks it has cached, and counts each block once.
#[actix_web::test]
async fn cache_events_reach_the_daemon_that_polls() {
    let site = Site::fleet(2).await;
    let long = "a long history of lessons ".repeat(200);
    let status = send_directly(&site, &chat(&long, 1, true)).await;
    assert_eq!(status, StatusCode::OK);
    let computed = site.counts(0).await["computed"].clone();
    assert_ne!(computed, 0);
    loop {
        let (one, two) = (load(&site.daemons[0]).await, load(&site.daemons[1]).await);
        if one["blocks"] == computed || two["blocks"] == computed {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
}
