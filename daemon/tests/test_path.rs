//! End to end: requests from callers through a daemon to endpoints, each in its own process.

use awc::http::StatusCode;
use serde_json::json;
use testutils::words::answer;

use crate::site::{KEY, READER, Site, chat, events, prompt};

#[actix_web::test]
async fn a_streamed_chat_is_complete() {
    let site = Site::start();
    let got = site
        .post(KEY, "/v1/chat/completions", &chat("waves?", 40, true))
        .await;
    assert_eq!(got.status, StatusCode::OK);
    let (text, ids, done) = events(&got.body);
    assert_eq!(text, answer(&prompt("waves?"), 40));
    assert_eq!(ids.len(), 40);
    assert!(done);
}

#[actix_web::test]
async fn completions_can_be_buffered() {
    let site = Site::start();
    let got = site
        .post(KEY, "/v1/chat/completions", &chat("waves?", 7, false))
        .await;
    let message = &got.json()["choices"][0]["message"];
    assert_eq!(message["content"], answer(&prompt("waves?"), 7));

    let body = json!({"model": "surf-lm", "max_tokens": 5, "prompt": "boards"});
    let got = site.post(KEY, "/v1/completions", &body).await;
    assert_eq!(got.json()["choices"][0]["text"], answer("\"boards\"", 5));
    assert_eq!(got.json()["usage"]["completion_tokens"], 5);
}

#[actix_web::test]
async fn a_booking_runs_once_and_its_response_is_forwarded() {
    let site = Site::start();
    let got = site
        .post(KEY, "/services/bookings/bookings", &json!({"id": "b-1"}))
        .await;
    assert_eq!(got.status, StatusCode::CREATED);
    assert_eq!(got.json(), json!({"booking": "b-1", "ran": 1}));
    assert_eq!(site.ran("b-1").await, 1);
    let got = site.get(KEY, "/services/bookings/bookings/b-1", None).await;
    assert_eq!(got.json(), json!({"id": "b-1", "ran": 1}));
}

#[actix_web::test]
async fn many_callers_each_get_their_own_answer() {
    let site = Site::start();
    let requests = (0..60).map(|n| {
        let site = &site;
        async move {
            let text = format!("caller {n}");
            let got = site
                .post(KEY, "/v1/chat/completions", &chat(&text, 10, n % 2 == 0))
                .await;
            let body = if n % 2 == 0 {
                events(&got.body).0
            } else {
                let content = &got.json()["choices"][0]["message"]["content"];
                content.as_str().unwrap_or_default().to_owned()
            };
            assert_eq!(body, answer(&prompt(&text), 10));
        }
    });
    futures::future::join_all(requests).await;
}

#[actix_web::test]
async fn an_answer_can_be_fetched_again_and_resumed() {
    let site = Site::start();
    let got = site
        .post(KEY, "/v1/chat/completions", &chat("again", 12, true))
        .await;
    let id = got.header("x-request-id").to_owned();
    let path = format!("/v1/requests/{id}");
    let again = site.get(KEY, &path, None).await;
    assert_eq!(events(&again.body).0, answer(&prompt("again"), 12));

    let rest = site.get(KEY, &path, Some(&format!("{id}-8"))).await;
    let (text, ids, done) = events(&rest.body);
    let full = answer(&prompt("again"), 12);
    assert!(done && full.ends_with(&text));
    assert_eq!(
        ids,
        [format!("{id}-9"), format!("{id}-10"), format!("{id}-11")]
    );
}

#[actix_web::test]
async fn the_answer_of_another_customer_cannot_be_fetched() {
    let site = Site::start();
    let got = site
        .post(KEY, "/v1/chat/completions", &chat("mine", 3, true))
        .await;
    let path = format!("/v1/requests/{}", got.header("x-request-id"));
    let other = site.get(READER, &path, None).await;
    assert_eq!((other.status, other.code()), (StatusCode::NOT_FOUND, 1004));
}

#[actix_web::test]
async fn services_outside_the_plan_are_rejected() {
    let site = Site::start();
    let booking = json!({"id": "b-2"});
    let got = site
        .post(READER, "/services/bookings/bookings", &booking)
        .await;
    assert_eq!((got.status, got.code()), (StatusCode::FORBIDDEN, 2001));
    assert_eq!(got.json()["ran"], "no");
    let got = site
        .post("nobody", "/services/bookings/bookings", &booking)
        .await;
    assert_eq!((got.status, got.code()), (StatusCode::UNAUTHORIZED, 1002));
    assert_eq!(site.ran("b-2").await, 0);
}

#[actix_web::test]
async fn unknown_paths_models_and_bodies_get_numbered_errors() {
    let site = Site::start();
    let got = site.post(KEY, "/nowhere", &json!({})).await;
    assert_eq!((got.status, got.code()), (StatusCode::NOT_FOUND, 1003));
    let got = site.post(KEY, "/services/bookings/other", &json!({})).await;
    assert_eq!(got.code(), 1003);
    let body = json!({"model": "other", "messages": []});
    assert_eq!(
        site.post(KEY, "/v1/chat/completions", &body).await.code(),
        1003
    );
    let body = json!({"model": "surf-lm"});
    assert_eq!(
        site.post(KEY, "/v1/chat/completions", &body).await.code(),
        1001
    );
    let body = json!({"model": 7, "messages": []});
    assert_eq!(
        site.post(KEY, "/v1/chat/completions", &body).await.code(),
        1001
    );
}
