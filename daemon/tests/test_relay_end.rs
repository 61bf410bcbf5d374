//! A daemon that is told to end.

use std::time::Duration;

use poplarvale_standin::{Endpoint, Step, ask, event, plain, request, stream};

use crate::relay_site::{Site, is_ready};

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
