//! Long bodies of many requests at once.

use std::time::Duration;

use futures::future::join_all;
use poplarvale_standin::{Endpoint, Step, ask, config, plain, request};

use crate::relay_site::ROUTES;
use crate::test_relay_log::LoggedDaemon;

/// Longest body that the configuration allows.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Callers of an ordinary time, and of a burst.
const USUAL: usize = 16;
const BURST: usize = 60;
/// Memory of the host, in kilobytes.
const MEMORY_KB: u64 = 260 * 1024;
/// How long an endpoint runs a request.
const RUN_TIME: Duration = Duration::from_secs(1);

/// Sends requests with such bodies at once; returns the statuses, 0 for none.
async fn send(
    daemon: &LoggedDaemon,
    count: usize,
    name: &str,
    fields: &str,
    body: &str,
) -> Vec<u16> {
    let callers = daemon.callers();
    let sent = (0..count).map(|number| async move {
        let text = request("POST", "/once/a", &format!("{name}{number}"), fields) + body;
        ask(callers, &text).await.map_or(0, |answer| answer.status)
    });
    join_all(sent).await
}

/// Guards against bodies that are bounded one by one and exceed the memory of the host together, so that
/// all requests in progress are lost.
#[actix_web::test]
async fn long_bodies_of_a_burst_are_rejected_before_the_memory_is_used_up() {
    let endpoints = join_all(["i-1", "i-2"].map(|id| {
        Endpoint::start(id, |seen| {
            vec![Step::Wait(RUN_TIME), plain(seen, 200, "done")]
        })
    }));
    let endpoints = endpoints.await;
    let configuration = config(1, &ROUTES, 0).replace("65536", &BODY_BYTES.to_string());
    let endpoints: Vec<&Endpoint> = endpoints.iter().collect();
    let daemon = LoggedDaemon::start_with(&endpoints, &configuration).await;
    let text = "x".repeat(BODY_BYTES);
    let length = format!("Content-Length: {BODY_BYTES}\r\n");
    let usual = send(&daemon, USUAL, "usual", &length, &text).await;
    assert_eq!(usual, vec![200; USUAL]);
    let burst = send(&daemon, BURST, "burst", &length, &text).await;
    let served = burst.iter().filter(|status| **status == 200).count();
    let rejected = burst.iter().filter(|status| **status == 503).count();
    assert_eq!(served + rejected, BURST, "{burst:?}");
    assert!(served >= USUAL, "{burst:?}");
    let chunks = format!("{BODY_BYTES:x}\r\n{text}\r\n0\r\n\r\n");
    let chunked = send(
        &daemon,
        BURST,
        "chunked",
        "Transfer-Encoding: chunked\r\n",
        &chunks,
    )
    .await;
    assert!(
        chunked.iter().all(|status| [200, 503].contains(status)),
        "{chunked:?}"
    );
    assert!(chunked.contains(&200), "{chunked:?}");
    let peak = daemon.peak_memory_kb();
    println!("{peak} kB, {served} of {BURST} served");
    assert!(peak < MEMORY_KB, "{peak} kB");
    let short = send(&daemon, USUAL, "short", "Content-Length: 2\r\n", "{}").await;
    assert_eq!(short, vec![200; USUAL]);
    daemon.end().await;
}
