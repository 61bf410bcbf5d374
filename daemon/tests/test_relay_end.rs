//! A daemon that is told to end.

use std::time::Duration;

use poplarvale_standin::{Endpoint, Step, Store, ask, config, event, plain, request, stream};

use crate::relay_site::{ROUTES, Site, is_ready};

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
        assert!(!answer.head.keep);
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
