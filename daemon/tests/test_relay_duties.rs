//! Calls of the duty holder that are delayed on their way.

use std::io::{ErrorKind, Read as _};
use std::net::TcpListener;
use std::time::Duration;

use poplarvale_platform::read_settings;
use poplarvale_standin::{Cloud, Endpoint, Store, ask, config, plain, request, settings};
use poplarvaled::Relay;
use serde_json::Value;

use crate::relay_site::{ROUTES, Site, until};

/// Runs of the team `club` that were reported so far.
fn reported(cloud: &Cloud) -> u64 {
    let counts = |body: &[u8]| {
        let report: Value = serde_json::from_slice(body).expect("a report is JSON");
        report["counts"]["club"].as_u64().unwrap_or(0)
    };
    cloud.seen().iter().map(|call| counts(&call.body)).sum()
}

/// Endpoints answer streams with errors before they begin to run them. A team is charged for what
/// ran and nothing else.
#[actix_web::test]
async fn usage_does_not_count_streams_that_failed_before_they_began() {
    let endpoint = Endpoint::start("i-1", |seen| match seen.target().as_str() {
        "/stream/error" => vec![plain(seen, 500, "failed")],
        _ => vec![plain(seen, 200, "done")],
    })
    .await;
    let site = Site::start(&[&endpoint]).await;
    for path in ["/stream/error", "/stream/error", "/safe/a"] {
        let answer = ask(site.address(), &request("GET", path, "r1", "")).await;
        assert!(answer.is_ok());
    }
    until(Duration::from_secs(8), async || reported(&site.cloud) >= 1).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(reported(&site.cloud), 1, "only the plain request ran");
}

/// A partition delays a call of the duty holder until it times out. If the call still arrived when
/// the partition heals, the platform would carry out the order of a former duty holder after that
/// of its successor. So the daemon resets the connection, which discards the delayed bytes.
#[actix_web::test]
async fn a_call_that_times_out_resets_its_connection() {
    let store = Store::start().await;
    store.put("op/config", config(1, &ROUTES, 0).as_bytes());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let cloud = listener.local_addr().expect("the listener is bound");
    let received = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the duty holder connects");
        std::thread::sleep(Duration::from_millis(1500));
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).map_err(|error| error.kind())
    });
    let settings = read_settings(&settings(store.address, cloud)).expect("valid settings");
    let relay = Relay::start(settings).await.expect("the daemon starts");
    while !received.is_finished() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let end = received.join().expect("the thread did not panic");
    assert_eq!(end.map(|_| ()), Err(ErrorKind::ConnectionReset));
    drop(relay);
}
