//! Graceful shutdown of a daemon.

use awc::http::StatusCode;
use futures::StreamExt as _;
use serde_json::json;
use testutils::words::answer;

use crate::site::{KEY, Site, chat, client, events, prompt};

/// A daemon receives SIGTERM while callers read their answers. Streams in progress must end
/// normally, and new requests be rejected so that they go to another daemon.
#[actix_web::test]
async fn no_answer_in_progress_is_cut_off() {
    let mut site = Site::start();
    site.fault(0, &json!({"slow_ms": 20})).await;
    site.fault(1, &json!({"slow_ms": 20})).await;
    let request = client()
        .post(format!("http://{}/v1/chat/completions", site.callers))
        .insert_header(("authorization", format!("Bearer {KEY}")));
    let mut stream = request
        .send_json(&chat("slow", 40, true))
        .await
        .expect("it answers");
    let first = stream
        .next()
        .await
        .expect("a first chunk")
        .expect("it is no error");
    site.daemons[0].process.signal("TERM");

    // The daemon has received the signal once its readiness probe fails.
    let ready = format!("http://{}/ready", site.operators);
    while client()
        .get(&ready)
        .send()
        .await
        .is_ok_and(|r| r.status() == StatusCode::OK)
    {}
    let rejected = site
        .post(KEY, "/v1/chat/completions", &chat("new", 1, false))
        .await;
    assert_eq!(rejected.code(), 2007);
    assert_eq!(rejected.json()["ran"], "no");

    let mut body = String::from_utf8_lossy(&first).into_owned();
    while let Some(part) = stream.next().await {
        body += &String::from_utf8_lossy(&part.expect("the stream is not cut off"));
    }
    let (text, _, done) = events(&body);
    assert_eq!(text, answer(&prompt("slow"), 40));
    assert!(done);
    drop(stream);
    assert!(site.daemons[0].process.wait().success());
}
