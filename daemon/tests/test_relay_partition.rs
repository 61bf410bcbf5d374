//! Network partitions between a daemon and the store, the other daemons or endpoints, and their
//! end.

use std::io::{ErrorKind, Read as _};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_platform::read_settings;
use poplarvale_standin::{
    Cloud, Endpoint, Fault, Link, Proxy, Store, ask, plain, request, settings,
};
use poplarvaled::Relay;
use serde_json::{Value, json};

use crate::relay_site::{Site, is_ready, store_with, until};

const SOON: Duration = Duration::from_secs(5);
/// Time after the end of a partition in which an endpoint that left may still get requests: it
/// must get none from two seconds on after the daemon can know that it left.
const LEAVE_TIME: Duration = Duration::from_secs(2);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// Two daemons, of which one can be partitioned from the store and from the other daemon.
struct Pair {
    store: Store,
    to_store: Proxy,
    link: Link,
    partitioned: Relay,
    _other: Relay,
}

impl Pair {
    /// Starts both daemons, on addresses that only the pair of this number has.
    async fn start(number: usize, store: Store) -> Self {
        let at = |host: u8| {
            let ip = format!("127.0.{number}.{host}");
            let free = UdpSocket::bind((ip.as_str(), 0)).expect("a free port");
            free.local_addr().expect("it is bound")
        };
        let (one, other) = (at(1), at(2));
        let to_store = Proxy::start(store.address).await;
        let link = Link::start(one, other).await;
        Self {
            partitioned: daemon(one, to_store.address, other).await,
            _other: daemon(other, store.address, one).await,
            store,
            to_store,
            link,
        }
    }

    fn set_partition(&self, on: bool) {
        let fault = if on { Fault::Blocked } else { Fault::None };
        self.to_store.set(fault);
        self.link.set_partitioned(on);
    }

    /// Sends a request to the daemon that can be partitioned. Returns the status, 0 for none.
    async fn status(&self) -> u16 {
        let text = request("GET", "/safe/a", "r1", "");
        let answer = ask(self.partitioned.callers(), &text).await;
        answer.map_or(0, |answer| answer.status)
    }
}

async fn daemon(me: SocketAddr, store: SocketAddr, seed: SocketAddr) -> Relay {
    let cloud = Cloud::start().await;
    let text = settings(store, cloud.address);
    let mut file: Value = serde_json::from_str(&text).expect("it is JSON");
    file["node"] = json!(format!("front-{}", me.ip()));
    file["ip"] = json!(me.ip());
    file["internalPorts"] = json!([me.port(), me.port()]);
    file["seeds"] = json!([seed]);
    let settings = read_settings(&file.to_string()).expect("valid settings");
    let relay = Relay::start(settings).await.expect("the daemon starts");
    until(SOON, async || is_ready(relay.ready()).await).await;
    relay
}

async fn endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, |seen| vec![plain(seen, 200, "done")]).await
}

/// A zone is partitioned from the store and from the other daemons, and meanwhile an endpoint
/// leaves: its entry is removed while the store is available. After the partition, the daemons of
/// that zone find the entry missing but go on sending requests to the endpoint. Callers notice
/// nothing until the process of the endpoint ends, and then their requests break off.
///
/// A daemon without answers cannot distinguish an outage of the store from its own partition. If it
/// takes every case for an outage, in which the entries of live endpoints expire, it keeps
/// endpoints without an entry in use for 1.8 s after it can reach the store again. Three daemons
/// that could reach it 1.2 to 1.4 s after a partition still used endpoints that had left, and
/// stopped only 3.3 to 3.6 s after the store had acknowledged that one of them left. The store had
/// answered the six other daemons throughout.
#[actix_web::test]
async fn an_endpoint_that_left_during_a_partition_gets_nothing_after_it() {
    const PARTITIONS_MS: [u64; 6] = [2000, 2300, 2600, 2900, 3200, 3500];
    let after = join_all(
        (1..)
            .zip(PARTITIONS_MS)
            .map(|(number, length_ms)| async move {
                let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
                let pair = Pair::start(number, store_with(&[&one, &other]).await).await;
                tokio::time::sleep(Duration::from_secs(1)).await;
                pair.set_partition(true);
                tokio::time::sleep(Duration::from_millis(length_ms / 2)).await;
                pair.store.remove("servers/i-1");
                tokio::time::sleep(Duration::from_millis(length_ms / 2)).await;
                pair.set_partition(false);
                tokio::time::sleep(LEAVE_TIME).await;
                let before = one.seen().len();
                let end = Instant::now() + Duration::from_secs(1);
                while Instant::now() < end {
                    assert_eq!(pair.status().await, 200);
                    tokio::time::sleep(PAUSE).await;
                }
                one.seen().len() - before
            }),
    );
    assert_eq!(
        after.await,
        vec![0; PARTITIONS_MS.len()],
        "requests after each partition"
    );
}

/// An endpoint behind a partition, which sends no response. Returns its address, and how the
/// connection of its first request ends once the partition is over.
fn partitioned_endpoint() -> (SocketAddr, JoinHandle<Option<ErrorKind>>) {
    /// Length of the partition; longer than a daemon waits before it abandons an attempt.
    const PARTITION: Duration = Duration::from_millis(1500);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let end = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a daemon connects");
        std::thread::sleep(PARTITION);
        let mut bytes = Vec::new();
        stream
            .read_to_end(&mut bytes)
            .err()
            .map(|error| error.kind())
    });
    (address, end)
}

async fn ended(end: JoinHandle<Option<ErrorKind>>) -> Option<ErrorKind> {
    until(SOON, async || end.is_finished()).await;
    end.join().expect("the thread ends without a panic")
}

/// A site whose only endpoint is partitioned, and how the connection of its first request ends.
async fn partitioned_site() -> (Site, JoinHandle<Option<ErrorKind>>) {
    let (address, end) = partitioned_endpoint();
    let other = endpoint("i-1").await;
    let entry = other.entry("app", "ready");
    let entry = entry.replace(&other.address.to_string(), &address.to_string());
    let store = store_with(&[]).await;
    store.put("servers/i-1", entry.as_bytes());
    (Site::with_grace(store, 3).await, end)
}

/// A partition begins while a request is on its way to an endpoint. The daemon abandons the
/// attempt, sends the request to another endpoint, and the caller gets its response. The first
/// attempt must not arrive after the partition: the operating system goes on delivering the data of
/// a closed connection, so such a request reached an endpoint that had left 2.1 to 2.6 s before,
/// five seconds after the caller had its response. So the daemon must reset the connection.
#[actix_web::test]
async fn an_abandoned_attempt_is_reset() {
    let (site, end) = partitioned_site().await;
    let text = request("GET", "/safe/a", "r1", "").replace(": 3000", ": 600");
    let answer = ask(site.address(), &text).await.expect("an answer");
    assert_eq!(answer.status, 504);
    assert_eq!(ended(end).await, Some(ErrorKind::ConnectionReset));
}

/// The caller disconnects while a partition delays its request on the way to an endpoint. The
/// endpoint must not start on a request that nobody waits for once the partition is over.
#[actix_web::test]
async fn an_attempt_whose_caller_left_is_reset() {
    let (site, end) = partitioned_site().await;
    let text = request("POST", "/once/a", "r1", "Content-Length: 0\r\n");
    let asking = ask(site.address(), &text);
    let answer = tokio::time::timeout(Duration::from_millis(300), asking).await;
    assert!(answer.is_err(), "no response comes");
    assert_eq!(ended(end).await, Some(ErrorKind::ConnectionReset));
}
