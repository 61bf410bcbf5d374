//! Several daemons with one key-value service, each in its own process.

use awc::http::StatusCode;
use futures::StreamExt as _;
use serde_json::{Value, json};
use testutils::words::answer;

use crate::site::{KEY, PAUSE, READER, Site, TOKEN, chat, client, events, prompt};

/// Lists in which the first plan allows another number of running requests.
fn edited(lists: &Value, running: u32) -> Value {
    let mut lists = lists.clone();
    lists["lists"]["plans"][0]["running"] = json!(running);
    lists
}

#[actix_web::test]
async fn an_edit_at_one_daemon_is_in_force_on_all() {
    let site = Site::fleet(3).await;
    let lists = site.operate(TOKEN, "/lists").await.json();
    let put = site.daemons[1].put_lists(&edited(&lists, 7)).await;
    assert_eq!(put.status, StatusCode::OK, "{}", put.body);
    let revision = put.json()["revision"].as_u64().expect("a revision");
    for daemon in &site.daemons {
        daemon.wait_revision(revision).await;
        let lists = daemon.operate(TOKEN, "/lists").await.json();
        assert_eq!(lists["lists"]["plans"][0]["running"], 7);
    }
    // The spread of the revision, as reported to operators.
    let path = format!("/lists/spread/{revision}");
    let mut spread = site.operate(TOKEN, &path).await.json();
    while spread["reached"] != 3 {
        tokio::time::sleep(PAUSE).await;
        spread = site.operate(TOKEN, &path).await.json();
    }
    assert_eq!(spread["live"], 3);
}

/// Two operators edit the same lists at two daemons. If both edits were accepted, the second would
/// silently undo the first.
#[actix_web::test]
async fn of_two_edits_of_one_revision_one_is_rejected_with_the_difference() {
    let site = Site::fleet(2).await;
    let lists = site.operate(TOKEN, "/lists").await.json();
    let (one, two) = (edited(&lists, 7), edited(&lists, 8));
    let both = futures::future::join(
        site.daemons[0].put_lists(&one),
        site.daemons[1].put_lists(&two),
    );
    let (one, two) = both.await;
    let mut statuses = [one.status.as_u16(), two.status.as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let rejected = if one.status == 409 { one } else { two };
    assert_eq!(rejected.code(), 4003);
    assert!(
        rejected.body.contains("plans changed: all"),
        "{}",
        rejected.body
    );
}

/// The service stores an edit and its response is lost. The operator would be told that the edit
/// failed, and would make it a second time.
#[actix_web::test]
async fn an_edit_whose_response_is_lost_is_reported_as_accepted() {
    let site = Site::fleet(2).await;
    let lists = site.operate(TOKEN, "/lists").await.json();
    site.store_fault(&json!({"lose": 1})).await;
    let put = site.put_lists(&edited(&lists, 9)).await;
    assert_eq!(put.status, StatusCode::OK, "{}", put.body);
    let revision = put.json()["revision"].as_u64().expect("a revision");
    site.daemons[1].wait_revision(revision).await;
}

/// The key-value service is down for hours and a host is replaced meanwhile. The daemons must
/// continue with the last lists, the new one must get them from a peer, and an edit must be
/// rejected with the reason instead of being accepted and lost.
#[actix_web::test]
async fn daemons_serve_and_start_while_the_store_is_down() {
    let mut site = Site::fleet(2).await;
    let revision = site.revision().await;
    site.store_fault(&json!({"down": true})).await;
    site.add_joined();
    site.daemons[2].wait_revision(revision).await;
    for daemon in &site.daemons {
        let got = daemon
            .post(KEY, "/v1/chat/completions", &chat("out", 4, false))
            .await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.body);
    }
    let lists = site.operate(TOKEN, "/lists").await.json();
    let put = site.put_lists(&edited(&lists, 9)).await;
    assert_eq!((put.status.as_u16(), put.code()), (503, 4004));
}

/// A new daemon starts while neither the service nor another daemon answers. If it admitted
/// requests, no plan would apply to them.
#[actix_web::test]
async fn a_daemon_without_lists_serves_nobody() {
    let mut site = Site::fleet(1).await;
    site.store_fault(&json!({"down": true})).await;
    site.daemons[0].process.kill();
    site.daemons.clear();
    site.add_joined();
    let got = site
        .post(KEY, "/v1/chat/completions", &chat("early", 1, false))
        .await;
    assert_eq!((got.status.as_u16(), got.code()), (503, 2008));
    let ready = format!("http://{}/ready", site.operators);
    let ready = client().get(ready).send().await.expect("it answers");
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
    site.store_fault(&json!({})).await;
    site.wait_revision(1).await;
}

/// A daemon is frozen while the lists change, as on a virtual machine that is migrated. When it
/// resumes it must soon replace the old plans, and must not spread them again.
#[actix_web::test]
async fn a_frozen_daemon_catches_up() {
    let site = Site::fleet(3).await;
    site.daemons[2].process.signal("STOP");
    let lists = site.operate(TOKEN, "/lists").await.json();
    let put = site.put_lists(&edited(&lists, 5)).await;
    let revision = put.json()["revision"].as_u64().expect("a revision");
    site.daemons[1].wait_revision(revision).await;
    site.daemons[2].process.signal("CONT");
    site.daemons[2].wait_revision(revision).await;
    assert_eq!(site.daemons[0].revision().await, revision);
}

/// The load balancer sends a caller that lost its connection to another daemon. The caller must get
/// the rest of its answer there; another customer must not.
#[actix_web::test]
async fn an_answer_is_resumed_through_another_daemon() {
    let site = Site::fleet(2).await;
    let got = site
        .post(KEY, "/v1/chat/completions", &chat("move", 12, true))
        .await;
    let id = got.header("x-request-id").to_owned();
    let path = format!("/v1/requests/{id}");
    let other = &site.daemons[1];
    let mut rest = other.get(KEY, &path, Some(&format!("{id}-8"))).await;
    while rest.status != 200 {
        // The other daemon does not know the first one's address yet.
        tokio::time::sleep(PAUSE).await;
        rest = other.get(KEY, &path, Some(&format!("{id}-8"))).await;
    }
    let (text, ids, done) = events(&rest.body);
    assert!(done && ids.len() == 3);
    let full = answer(&prompt("move"), 12);
    assert!(full.ends_with(text.as_str()), "{text:?} of {full:?}");
    assert_eq!(other.get(READER, &path, None).await.code(), 1004);
}

/// A daemon's process dies while a caller reads its stream. The caller's connection must break
/// without an end marker, and the streams of other daemons must complete.
#[actix_web::test]
async fn a_killed_daemon_breaks_only_its_own_streams() {
    let mut site = Site::fleet(2).await;
    site.fault(0, &json!({"slow_ms": 20})).await;
    site.fault(1, &json!({"slow_ms": 20})).await;
    let ask = |daemon: usize, text: &str| {
        client()
            .post(format!(
                "http://{}/v1/chat/completions",
                site.daemons[daemon].callers
            ))
            .insert_header(("authorization", format!("Bearer {KEY}")))
            .send_json(&chat(text, 30, true))
    };
    let mut lost = ask(0, "lost").await.expect("it answers");
    let kept = ask(1, "kept").await.expect("it answers");
    lost.next().await.expect("a chunk").expect("it is no error");
    site.daemons[0].process.kill();
    let mut body = Vec::new();
    while let Some(Ok(part)) = lost.next().await {
        body.extend_from_slice(&part);
    }
    let (_, _, done) = events(&String::from_utf8_lossy(&body));
    assert!(!done, "the broken stream has an end marker");
    let kept = crate::site::read(kept).await;
    assert_eq!(events(&kept.body).0, answer(&prompt("kept"), 30));
}
