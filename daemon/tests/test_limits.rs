//! Limits on callers' requests.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;

use awc::http::StatusCode;
use serde_json::json;

use crate::site::{KEY, PAUSE, SLOW, Site, chat};

/// A caller sends a body far larger than any prompt. Read completely, it would take the memory that
/// other requests need.
#[actix_web::test]
async fn a_body_over_the_limit_is_rejected() {
    let site = Site::with(json!({"limits": {"body_bytes": 2048}}));
    let long = "x".repeat(4096);
    let got = site
        .post(KEY, "/v1/chat/completions", &chat(&long, 1, false))
        .await;
    assert_eq!(
        (got.status, got.code()),
        (StatusCode::PAYLOAD_TOO_LARGE, 1005)
    );
}

/// A caller starts a body and never completes it. Its connection would stay occupied for ever, and
/// some hundreds of such connections would lock out all other callers.
#[test]
fn an_incomplete_body_times_out() {
    let site = Site::with(json!({"limits": {"body_ms": 200}}));
    let mut stream = TcpStream::connect(site.callers).expect("the daemon listens");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let mut answer = [0; 16];
    stream.read_exact(&mut answer).expect("a response arrives");
    assert!(
        answer.starts_with(b"HTTP/1.1 408"),
        "{:?}",
        String::from_utf8_lossy(&answer)
    );
}

/// A plain service responds with more than the daemon may buffer for one request. The caller must
/// get an error with its own code.
#[actix_web::test]
async fn a_response_over_the_limit_is_an_error() {
    let site = Site::with(json!({"limits": {"answer_bytes": 1024}}));
    let long = format!("/services/bookings/bookings/{}", "b".repeat(2000));
    let got = site.get(KEY, &long, None).await;
    assert_eq!((got.status, got.code()), (StatusCode::BAD_GATEWAY, 3004));
}

/// A caller makes thousands of short requests a second. Each answer is kept for a minute so that it
/// can be fetched again, and together they would fill the memory.
#[actix_web::test]
async fn the_number_of_kept_answers_is_limited() {
    let site = Site::with(json!({"limits": {"kept": 3}}));
    let mut ids = Vec::new();
    for n in 0..8 {
        let body = chat(&format!("ask {n}"), 1, true);
        let got = site.post(KEY, "/v1/chat/completions", &body).await;
        ids.push(got.header("x-request-id").to_owned());
    }
    let path = |id: &String| format!("/v1/requests/{id}");
    while site.get(KEY, &path(&ids[4]), None).await.status != StatusCode::NOT_FOUND {
        tokio::time::sleep(PAUSE).await;
    }
    for id in &ids[5..] {
        assert_eq!(site.get(KEY, &path(id), None).await.status, StatusCode::OK);
    }
}

/// A plan's requests per second are used up. A rejected caller must learn it at once, with the time
/// after which a retry can succeed.
#[actix_web::test]
async fn a_customer_over_its_rate_learns_when_to_retry() {
    let site = Site::start();
    let path = "/services/bookings/bookings/none";
    assert_eq!(
        site.get(SLOW, path, None).await.status,
        StatusCode::NOT_FOUND
    );
    let got = site.get(SLOW, path, None).await;
    assert_eq!(
        (got.status, got.code()),
        (StatusCode::TOO_MANY_REQUESTS, 2002)
    );
    assert_eq!(got.json()["ran"], "no");
    assert!(
        got.header("retry-after")
            .parse::<u64>()
            .is_ok_and(|wait| (40..=50).contains(&wait))
    );
}
