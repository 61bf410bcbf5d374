//! A daemon that is told to end.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use poplarvale_lib::protos::relay::Digest;
use poplarvale_standin::{
    Cloud, Endpoint, Step, Store, ask, config, event, plain, request, settings, stream,
};
use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::relay_site::{ROUTES, Site, is_ready, store_with};

/// A daemon is told to end in the middle of a stream. The caller gets all of it,
/// the balancer hears that it is not ready, and who still comes is served.
#[actix_web::test]
async fn an_ending_daemon_cuts_nothing_off() {
    let slow = Endpoint::start("i-1", |seen| {
        if seen.target().starts_with("/safe/") {
            return vec![plain(seen, 200, "done")];
        }
        let pause = Step::Wait(Duration::from_millis(600));
        vec![
            stream(seen),
            event(0),
            pause,
            event(1),
            Step::Send("0\r\n\r\n".into()),
        ]
    })
    .await;
    let site = Site::start(&[&slow]).await;
    let text = request("GET", "/stream/a", "r1", "");
    let asked = ask(site.address(), &text);
    let told = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.relay.stop().await;
    };
    let later = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert!(!is_ready(site.relay.ready()).await);
        let answer = ask(site.address(), &request("GET", "/safe/a", "r2", "")).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(!answer.head.keep_alive);
    };
    let (answer, (), ()) = tokio::join!(asked, told, later);
    let answer = answer.expect("an answer");
    assert!(answer.whole);
    assert!(answer.body.contains("piece 1"));
}

/// A daemon is told to end while a long stream keeps it alive, and so many others of
/// its zone are ending too that the balancer still sends callers to it. A stream
/// begun then would be cut off at the end; told at once that it did not run, the
/// caller goes elsewhere.
#[actix_web::test]
async fn a_request_that_comes_late_to_an_ending_daemon_is_refused_at_once() {
    let long = Endpoint::start("i-1", |seen| {
        let pause = Step::Wait(Duration::from_millis(2600));
        let end = Step::Send("0\r\n\r\n".into());
        vec![
            stream(seen),
            event(0),
            pause.clone(),
            event(1),
            pause,
            event(2),
            end,
        ]
    })
    .await;
    let store = Store::start().await;
    let long_routes = config(1, &ROUTES, 0).replace("3000", "8000");
    store.put("op/config", long_routes.as_bytes());
    store.put("servers/i-1", long.entry("app", "ready").as_bytes());
    let site = Site::with_grace(store, 8).await;
    let text = request("GET", "/stream/a", "r1", "").replace(": 3000", ": 8000");
    let first = ask(site.address(), &text);
    let told = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.relay.stop().await;
    };
    let late = async {
        tokio::time::sleep(Duration::from_millis(3600)).await;
        let text = request("GET", "/stream/a", "r2", "").replace(": 3000", ": 8000");
        let answer = ask(site.address(), &text).await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.body.contains("\"ran\":\"no\""));
        assert!(answer.head.fields.text("retry-after").is_some());
    };
    let (first, (), ()) = tokio::join!(first, told, late);
    assert!(first.expect("an answer").whole);
    assert_eq!(long.seen().len(), 1);
}

/// A daemon serves until its end, and what it counted last was told to nobody: it tells
/// the others four times a second, and all its usage windows once a second only. The team
/// was charged for less than it used.
#[actix_web::test]
async fn an_ending_daemon_tells_all_that_it_counted() {
    let other = UdpSocket::bind("127.0.3.2:0").await.expect("a free port");
    let port = other.local_addr().expect("it is bound").port();
    let one = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "done")]).await;
    let (store, cloud) = (store_with(&[&one]).await, Cloud::start().await);
    let text = settings(store.address, cloud.address)
        .replace("\"ip\":\"127.0.0.1\"", "\"ip\":\"127.0.3.1\"")
        .replace("\"windowS\":1", "\"windowS\":600")
        .replace("[0,0]", &format!("[{port},{port}]"))
        .replace("\"seeds\":[]", "\"seeds\":[\"127.0.3.2:1\"]");
    let site = Site::with_settings(store, cloud, &text).await;
    let ended = Cell::new(false);
    let stop = async {
        site.relay.stop().await;
        ended.set(true);
    };
    let served = async {
        let mut served = 0;
        while !ended.get() {
            let text = request("GET", "/safe/a", "r1", "").replace(": 3000", ": 100");
            let answer = ask(site.address(), &text).await;
            served += u32::from(answer.is_ok_and(|answer| answer.status == 200));
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        served
    };
    let ((), served) = tokio::join!(stop, served);
    assert!(served > 0);
    assert_eq!(counted(&other).await, served);
}

/// Runs in all usage windows, as another daemon knows them from the digests that came.
async fn counted(socket: &UdpSocket) -> u32 {
    const SILENT: Duration = Duration::from_millis(100);
    let mut bytes = vec![0; 64 * 1024];
    let mut known = BTreeMap::new();
    while let Ok(came) = timeout(SILENT, socket.recv(&mut bytes)).await {
        let len = came.expect("the socket is well");
        let digest = Digest::decode(&bytes[..len]).expect("it is a digest");
        for window in digest.windows {
            let runs = window.counts.iter().map(|count| count.runs);
            known.insert(window.number, runs.sum::<u32>());
        }
    }
    known.values().sum()
}
