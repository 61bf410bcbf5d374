//! Requests with an idempotency key. The booking application counts how often each one ran.

use awc::http::StatusCode;
use serde_json::{Value, json};

use crate::site::{Daemon, Got, KEY, PAUSE, Site, client, read};

const PATH: &str = "/services/bookings/bookings";

/// Books with an idempotency key.
async fn book(daemon: &Daemon, key: &str, booking: &str) -> Got {
    let request = client()
        .post(format!("http://{}{PATH}", daemon.callers))
        .insert_header(("authorization", format!("Bearer {KEY}")))
        .insert_header(("idempotency-key", key));
    let sent = request.send_json(&json!({"id": booking})).await;
    read(sent.expect("the daemon answers")).await
}

/// Gets a key that a daemon issued.
async fn issued(daemon: &Daemon) -> String {
    let got = daemon.post(KEY, "/v1/keys", &json!({})).await;
    assert_eq!(got.status, StatusCode::CREATED, "{}", got.body);
    got.json()["key"].as_str().expect("a key").to_owned()
}

fn outcome(got: &Got) -> (u16, Value) {
    (got.status.as_u16(), got.json()["ran"].clone())
}

/// A guest gets no answer and retries the booking through another daemon. Without a claim on the
/// key, the booking would run twice.
#[actix_web::test]
async fn a_retry_through_another_daemon_gets_the_stored_answer() {
    let site = Site::fleet(2).await;
    let first = book(&site.daemons[0], "k-1", "b-1").await;
    assert_eq!(first.status, StatusCode::CREATED, "{}", first.body);
    let again = book(&site.daemons[1], "k-1", "b-1").await;
    assert_eq!((again.status, &again.body), (first.status, &first.body));
    assert_eq!(again.header("idempotent-replayed"), "true");
    assert_eq!(site.ran("b-1").await, 1);

    let other = book(&site.daemons[0], "k-1", "b-other").await;
    assert_eq!((other.status.as_u16(), other.code()), (422, 1006));
    assert_eq!(site.ran("b-other").await, 0);
}

/// A guest submits the same booking many times at once, and the load balancer distributes the
/// requests over the daemons.
#[actix_web::test]
async fn of_many_concurrent_requests_with_one_key_one_runs() {
    let site = Site::fleet(3).await;
    site.plain_fault(&json!({"slow_ms": 100})).await;
    let requests = (0..24).map(|n| book(&site.daemons[n % 3], "k-2", "b-2"));
    let all = futures::future::join_all(requests).await;
    assert_eq!(site.ran("b-2").await, 1);
    assert!(all.iter().any(|got| got.status == StatusCode::CREATED));
    for got in all.iter().filter(|got| got.status != StatusCode::CREATED) {
        assert_eq!(
            (got.status.as_u16(), got.code()),
            (409, 3006),
            "{}",
            got.body
        );
    }
}

/// The key-value service stores a claim and its response is lost. The daemon must neither report
/// "not run" for a booking that runs, nor run it twice.
#[actix_web::test]
async fn a_claim_whose_store_response_is_lost_runs_once() {
    let site = Site::fleet(1).await;
    site.store_fault(&json!({"lose": 1})).await;
    let got = book(&site.daemons[0], "k-3", "b-3").await;
    assert_eq!(got.status, StatusCode::CREATED, "{}", got.body);
    assert_eq!(site.ran("b-3").await, 1);
}

/// The key-value service is unavailable. A key supplied by the caller can't be claimed, so the
/// request is rejected at once as not run. A key that a daemon issued still works through any
/// daemon, and runs once.
#[actix_web::test]
async fn issued_keys_work_while_the_store_is_unavailable() {
    let site = Site::fleet(2).await;
    let key = issued(&site.daemons[0]).await;
    site.store_fault(&json!({"down": true})).await;
    let rejected = book(&site.daemons[0], "k-4", "b-4").await;
    assert_eq!(outcome(&rejected), (503, json!("no")), "{}", rejected.body);
    assert!(rejected.header("retry-after").parse::<u64>().is_ok());
    assert_eq!(site.ran("b-4").await, 0);

    let mut got = book(&site.daemons[1], &key, "b-5").await;
    while got.code() == 2009 {
        // The second daemon doesn't know the first one's address for callers yet.
        tokio::time::sleep(PAUSE).await;
        got = book(&site.daemons[1], &key, "b-5").await;
    }
    assert_eq!(got.status, StatusCode::CREATED, "{}", got.body);
    for daemon in &site.daemons {
        assert_eq!(book(daemon, &key, "b-5").await.status, StatusCode::CREATED);
    }
    assert_eq!(site.ran("b-5").await, 1);
}

/// The daemon that holds a claim is killed while the booking runs. The outcome is then unknown, and
/// the booking must not be sent a second time.
#[actix_web::test]
async fn a_booking_of_a_killed_daemon_is_reported_as_unknown() {
    let mut site = Site::fleet(2).await;
    site.plain_fault(&json!({"mute": 1})).await;
    let url = format!("http://{}{PATH}", site.daemons[0].callers);
    let lost = actix_web::rt::spawn(async move {
        let request = client()
            .post(url)
            .insert_header(("authorization", format!("Bearer {KEY}")))
            .insert_header(("idempotency-key", "k-6"));
        request.send_json(&json!({"id": "b-6"})).await.is_ok()
    });
    while site.ran("b-6").await == 0 {
        tokio::time::sleep(PAUSE).await;
    }
    site.daemons[0].process.kill();
    assert!(!lost.await.expect("the task ends"));
    let mut got = book(&site.daemons[1], "k-6", "b-6").await;
    while got.code() == 3006 {
        tokio::time::sleep(PAUSE).await;
        got = book(&site.daemons[1], "k-6", "b-6").await;
    }
    assert_eq!((got.code(), outcome(&got)), (3005, (409, json!("unknown"))));
    assert_eq!(site.ran("b-6").await, 1);
}

/// The host of the daemon that issued a key is reclaimed with notice. The key must keep working
/// through the remaining daemons, and still run at most once.
#[actix_web::test]
async fn issued_keys_outlive_a_graceful_shutdown() {
    let mut site = Site::fleet(2).await;
    let (used, unused) = (
        issued(&site.daemons[0]).await,
        issued(&site.daemons[0]).await,
    );
    let first = book(&site.daemons[0], &used, "b-7").await;
    assert_eq!(first.status, StatusCode::CREATED, "{}", first.body);
    site.daemons[0].process.signal("TERM");
    assert!(site.daemons[0].process.wait().success());
    let again = book(&site.daemons[1], &used, "b-7").await;
    assert_eq!((again.status, &again.body), (first.status, &first.body));
    let new = book(&site.daemons[1], &unused, "b-8").await;
    assert_eq!(new.status, StatusCode::CREATED, "{}", new.body);
    assert_eq!((site.ran("b-7").await, site.ran("b-8").await), (1, 1));
}

#[actix_web::test]
async fn a_malformed_key_is_rejected() {
    let site = Site::start();
    let got = book(&site, &"k".repeat(200), "b-9").await;
    assert_eq!((got.status.as_u16(), got.code()), (400, 1009));
    assert_eq!(site.ran("b-9").await, 0);
}
