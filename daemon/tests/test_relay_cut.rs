//! A daemon that is cut off from the store, the others or endpoints, and is back again.

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
/// How long after its end a cut may still show: an endpoint that left must get
/// nothing two seconds after a daemon can know.
const LEAVING: Duration = Duration::from_secs(2);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// Two daemons, of which one can be cut off from the store and the other daemon.
struct Pair {
    store: Store,
    to_store: Proxy,
    link: Link,
    cut: Relay,
    _other: Relay,
}

impl Pair {
    /// Starts both on addresses that no other pair of the same number has.
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
            cut: daemon(one, to_store.address, other).await,
            _other: daemon(other, store.address, one).await,
            store,
            to_store,
            link,
        }
    }

    fn set_cut(&self, cut: bool) {
        let fault = if cut { Fault::Silent } else { Fault::None };
        self.to_store.set(fault);
        self.link.set_cut(cut);
    }

    async fn status(&self) -> u16 {
        let text = request("GET", "/safe/a", "r1", "");
        let answer = ask(self.cut.callers(), &text).await;
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
    let site = read_settings(&file.to_string()).expect("they are good");
    let relay = Relay::start(site).await.expect("it listens");
    until(SOON, async || is_ready(relay.ready()).await).await;
    relay
}

async fn endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, |seen| vec![plain(seen, 200, "done")]).await
}

/// A zone is cut off from the store and from the other daemons, and an endpoint
/// leaves meanwhile: its entry is removed while the store is well. When the cut is
/// over, the daemons of that zone find the entry missing and go on sending requests
/// to the endpoint. Callers notice nothing as long as it lives; when it ends, what it
/// has of them breaks off.
///
/// A daemon that gets no answer cannot tell an outage of the store from a cut of its
/// own. It took each for an outage, in which entries of living endpoints lapse, and
/// kept missing ones in use for 1.8 s from the moment at which it was back.
///
/// Seen in logs of three daemons that were back 1.2 to 1.4 s after a cut: each wrote
/// "endpoint is doubtful" of endpoints that had left, and "did not come back" only 3.3
/// to 3.6 s after the store had acknowledged that one of them leaves. The store had
/// answered the six other daemons all the while.
#[actix_web::test]
async fn an_endpoint_that_left_during_a_cut_gets_nothing_after_it() {
    const CUTS: [u64; 6] = [2000, 2300, 2600, 2900, 3200, 3500];
    let after = join_all((1..).zip(CUTS).map(|(number, lasts)| async move {
        let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
        let pair = Pair::start(number, store_with(&[&one, &other]).await).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        pair.set_cut(true);
        tokio::time::sleep(Duration::from_millis(lasts / 2)).await;
        pair.store.remove("servers/i-1");
        tokio::time::sleep(Duration::from_millis(lasts / 2)).await;
        pair.set_cut(false);
        tokio::time::sleep(LEAVING).await;
        let before = one.seen().len();
        let end = Instant::now() + Duration::from_secs(1);
        while Instant::now() < end {
            assert_eq!(pair.status().await, 200);
            tokio::time::sleep(PAUSE).await;
        }
        one.seen().len() - before
    }));
    assert_eq!(after.await, vec![0; CUTS.len()], "requests after each cut");
}

/// An endpoint behind a cut, of which no answer comes: tells how the connection of the
/// first request ends there, once the cut is over.
fn silent_endpoint() -> (SocketAddr, JoinHandle<Option<ErrorKind>>) {
    /// Longer than a daemon waits before it gives a sending up.
    const CUT: Duration = Duration::from_millis(1500);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let end = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a daemon connects");
        std::thread::sleep(CUT);
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
    end.join().expect("it ran to its end")
}

/// A site with a silent endpoint only, and how the first request's connection ends there.
async fn silent_site() -> (Site, JoinHandle<Option<ErrorKind>>) {
    let (address, end) = silent_endpoint();
    let other = endpoint("i-1").await;
    let entry = other.entry("app", "ready");
    let entry = entry.replace(&other.address.to_string(), &address.to_string());
    let store = store_with(&[]).await;
    store.put("servers/i-1", entry.as_bytes());
    (Site::with_grace(store, 3).await, end)
}

/// A zone is cut off while a request is on its way to an endpoint there. The daemon gives
/// it up after a while, sends it elsewhere and the caller has its answer. When the cut is
/// over, the first sending must not arrive any more: it reached an endpoint that had left
/// 2.1 to 2.6 s before, five seconds after the caller's answer, as the system goes on
/// delivering what a closed connection still holds.
#[actix_web::test]
async fn a_sending_that_is_given_up_is_taken_back() {
    let (site, end) = silent_site().await;
    let text = request("GET", "/safe/a", "r1", "").replace(": 3000", ": 600");
    let answer = ask(site.address(), &text).await.expect("an answer");
    assert_eq!(answer.status, 504);
    assert_eq!(ended(end).await, Some(ErrorKind::ConnectionReset));
}

/// The caller leaves while its request is held up on the way to an endpoint. Work that
/// nobody waits for must not begin there when the cut is over.
#[actix_web::test]
async fn a_sending_whose_caller_left_is_taken_back() {
    let (site, end) = silent_site().await;
    let text = request("POST", "/once/a", "r1", "Content-Length: 0\r\n");
    let asked = ask(site.address(), &text);
    let left = tokio::time::timeout(Duration::from_millis(300), asked).await;
    assert!(left.is_err(), "no answer comes");
    assert_eq!(ended(end).await, Some(ErrorKind::ConnectionReset));
}
