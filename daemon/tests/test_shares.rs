//! The share of its plan that a customer gets when it sends requests to several daemons.

use awc::http::StatusCode;
use serde_json::json;

use crate::site::{Daemon, FEW, PAUSE, Site, chat, client};

/// Number of concurrent requests that the customer's plan allows.
const RUNNING: usize = 10;

/// Number of concurrent requests that one daemon admits once it has claimed what the other leaves:
/// the plan, less the other's even part of a fifth, less one for rounding.
const CLAIMED: usize = 8;

/// Starts a stream. None if it was rejected.
async fn start(daemon: &Daemon, text: &str) -> Option<impl Sized + use<>> {
    let response = client()
        .post(format!("http://{}/v1/chat/completions", daemon.callers))
        .insert_header(("authorization", format!("Bearer {FEW}")))
        .send_json(&chat(text, 400, true));
    let got = response.await.expect("it answers");
    (got.status() == StatusCode::OK).then_some(got)
}

/// A customer sends its requests to one daemon, then to another. If each daemon granted the whole
/// plan, the customer would get twice the plan that it pays for, at the cost of all others. If each
/// granted only an even part, requests would be rejected while half of the plan is unused.
#[actix_web::test]
async fn two_daemons_together_admit_what_the_plan_allows() {
    let site = Site::fleet(2).await;
    site.fault(0, &json!({"slow_ms": 200})).await;
    site.fault(1, &json!({"slow_ms": 200})).await;
    let mut streams = Vec::new();
    while streams.len() < CLAIMED {
        streams.extend(start(&site.daemons[0], &format!("one {}", streams.len())).await);
        assert!(streams.len() <= RUNNING, "more than the plan allows");
        tokio::time::sleep(PAUSE).await;
    }
    let first = streams.len();
    for n in 0..2 * RUNNING {
        streams.extend(start(&site.daemons[1], &format!("two {n}")).await);
        assert!(streams.len() <= RUNNING, "more than the plan allows");
    }
    assert!(streams.len() > first, "the other daemon admits nothing");
}
