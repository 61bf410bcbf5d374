//! How daemons learn of a configuration that is large compared to their links.

use std::net::SocketAddr;
use std::time::Duration;

use poplarvale_lib::protos::relay::ConfigRequest;
use poplarvale_standin::{Endpoint, Fault, Proxy, ask, config, plain, request, with_routes};
use poplarvaled::Relay;
use prost::Message as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::relay_site::{DAEMONS, ROUTES, Zone, free_port, start_daemon, store_with, until};

/// Routes of a configuration of about a megabyte, 1.3 megabytes as the store sends it.
const ROUTE_COUNT: u32 = 4300;
/// Daemons of a zone that watch the store.
const WATCHERS: usize = 2;
/// Bytes a second of a link of 10 Mbit/s.
const SLOW_LINK: u32 = 1_250_000;
/// Time after its acknowledgement within which a configuration must be in force.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time within which a daemon that starts must be ready.
const START_TIME: Duration = Duration::from_secs(3);

fn large_config(version: u64, count: u32) -> String {
    with_routes(&config(version, &ROUTES, 0), count)
}

async fn endpoint() -> Endpoint {
    Endpoint::start("i-1", |seen| vec![plain(seen, 200, "done")]).await
}

/// Whether a daemon serves the last of `count` added routes.
async fn serves(daemon: SocketAddr, count: u32) -> bool {
    let path = format!("/grown-{}/a", count - 1);
    let answer = ask(daemon, &request("GET", &path, "r1", "")).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

async fn until_all_serve(daemons: &[(Proxy, Relay)], count: u32) {
    until(APPLY_TIME, async || {
        for (_, relay) in daemons {
            if !serves(relay.callers(), count).await {
                return false;
            }
        }
        true
    })
    .await;
}

/// Zone whose daemons from index `first_slow` on reach the store through slow links.
async fn slow_zone(number: usize, one: &Endpoint, first_slow: usize) -> Zone {
    let zone = Zone::start(number, store_with(&[one]).await).await;
    for (proxy, _) in &zone.daemons[first_slow..] {
        proxy.set(Fault::Throttled(SLOW_LINK));
    }
    zone
}

/// A configuration takes longer over a slow link than one call to the store may take. Daemons on
/// such links must not stay on the former version.
#[actix_web::test]
async fn a_large_configuration_is_in_force_behind_slow_links() {
    let one = endpoint().await;
    let zone = slow_zone(21, &one, WATCHERS).await;
    let text = large_config(2, ROUTE_COUNT);
    zone.store.put("op/config", text.as_bytes());
    until_all_serve(&zone.daemons, ROUTE_COUNT).await;
}

/// The watchers of a zone may be on slow links too. Then their own reads must not be given up as
/// long as they make progress.
#[actix_web::test]
async fn a_large_configuration_is_in_force_where_all_links_are_slow() {
    let one = endpoint().await;
    let zone = slow_zone(22, &one, 0).await;
    let text = large_config(2, ROUTE_COUNT);
    zone.store.put("op/config", text.as_bytes());
    until_all_serve(&zone.daemons, ROUTE_COUNT).await;
}

/// A daemon that starts on a slow link must not read the whole configuration from the store, which
/// takes it longer than a call may last.
#[actix_web::test]
async fn a_daemon_starts_on_a_slow_link_under_a_large_configuration() {
    let one = endpoint().await;
    let zone = slow_zone(23, &one, WATCHERS).await;
    let text = large_config(2, ROUTE_COUNT);
    zone.store.put("op/config", text.as_bytes());
    until(APPLY_TIME, async || {
        serves(zone.daemons[0].1.callers(), ROUTE_COUNT).await
    })
    .await;
    let proxy = Proxy::start(zone.store.address).await;
    proxy.set(Fault::Throttled(SLOW_LINK));
    let port = zone.port;
    let started = start_daemon(23, DAEMONS + 1, port, proxy.address, &[]);
    let relay = tokio::time::timeout(START_TIME, started).await;
    let relay = relay.expect("the daemon is ready in time");
    assert!(serves(relay.callers(), ROUTE_COUNT).await);
}

/// The store's link has to carry a large configuration to the watchers of each zone only. If each
/// of hundreds of daemons read it, the last ones would get it many seconds too late.
#[actix_web::test]
async fn a_large_configuration_is_in_force_where_the_link_of_the_store_carries_few_reads() {
    /// Bytes a second that the store sends to all daemons together.
    const STORE_LINK: u32 = 2_000_000;
    let one = endpoint().await;
    let store = store_with(&[&one]).await;
    let link = Proxy::start(store.address).await;
    let port = free_port(24);
    let daemons = Zone::start_at(24, port, link.address, &[]).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    link.set(Fault::Throttled(STORE_LINK));
    let text = large_config(2, ROUTE_COUNT);
    store.put("op/config", text.as_bytes());
    until_all_serve(&daemons, ROUTE_COUNT).await;
}

/// A change of the configuration must not cost the store a call by each daemon.
#[actix_web::test]
async fn daemons_that_get_the_change_feed_read_no_configuration() {
    let one = endpoint().await;
    let zone = Zone::start(25, store_with(&[&one]).await).await;
    for (proxy, _) in &zone.daemons[WATCHERS..] {
        proxy.set(Fault::Blocked);
    }
    let text = large_config(2, 1);
    zone.store.put("op/config", text.as_bytes());
    until_all_serve(&zone.daemons, 1).await;
}

/// Asks the first daemon of a zone for the configuration as another daemon does; returns the bytes
/// of the answer.
async fn transfer_len(zone: &Zone, number: usize, revision: u64) -> usize {
    let body = ConfigRequest {
        revision,
        ..ConfigRequest::default()
    };
    let body = body.encode_to_vec();
    let mut request = format!(
        "POST config HTTP/1.1\r\nHost: daemon\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    request.extend_from_slice(&body);
    let address = format!("127.0.{number}.1:{}", zone.port);
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(&request).await.expect("it is sent");
    let mut bytes = vec![0; 16 * 1024];
    let mut len = 0;
    while let Ok(Ok(part)) = timeout(Duration::from_millis(500), stream.read(&mut bytes)).await {
        len += part;
        if part == 0 {
            break;
        }
    }
    len
}

/// Revision of the configuration in the store, as daemons know it.
fn revision(zone: &Zone) -> u64 {
    poplarvale_lib::revision_in(1, zone.store.revision())
}

/// Daemons may spend 20 KB a second. One changed route must not cost a part of the whole
/// configuration, and a start a small part of what the store would send.
#[actix_web::test]
async fn the_cost_of_a_changed_route_does_not_grow_with_the_configuration() {
    /// Bytes that one changed route may cost a daemon.
    const MAX_UPDATE: usize = 1000;
    /// Part of the value in the store that a daemon without a configuration may be sent.
    const MAX_SNAPSHOT: f64 = 0.1;
    for (number, count) in [(26, 1000), (27, 4000), (28, 16_000)] {
        let one = endpoint().await;
        let zone = Zone::start(number, store_with(&[&one]).await).await;
        let text = large_config(2, count);
        zone.store.put("op/config", text.as_bytes());
        until_all_serve(&zone.daemons, count).await;
        let before = revision(&zone);
        let snapshot = transfer_len(&zone, number, 0).await;
        let text = large_config(3, count + 1);
        zone.store.put("op/config", text.as_bytes());
        until_all_serve(&zone.daemons, count + 1).await;
        let update = transfer_len(&zone, number, before).await;
        println!(
            "{count} routes: {} bytes in the store, {snapshot} for a start, {update} for one route",
            text.len()
        );
        assert!(update <= MAX_UPDATE, "{update} bytes");
        assert!(
            (snapshot as f64) < text.len() as f64 * MAX_SNAPSHOT,
            "{snapshot} bytes"
        );
    }
}
