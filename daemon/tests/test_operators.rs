//! Requests at the operators' port.

use awc::http::StatusCode;
use serde_json::json;

use crate::site::{KEY, Site, TOKEN, chat, client, read};

/// An unauthorized client reaches the operators' port without the token. It could read the
/// customers or replace the lists.
#[actix_web::test]
async fn requests_without_the_token_are_rejected() {
    let site = Site::start();
    for path in [
        "/status",
        "/lists",
        "/dump",
        "/dump/customers",
        "/metrics",
        "/nowhere",
    ] {
        for token in ["", "wrong", "operator", "operators2"] {
            let got = site.operate(token, path).await;
            assert_eq!(
                (got.status, got.code()),
                (StatusCode::UNAUTHORIZED, 4001),
                "{path}"
            );
        }
    }
    let url = format!("http://{}/lists", site.operators);
    let got = read(client().put(url).send_body("{}").await.expect("it answers")).await;
    assert_eq!(got.code(), 4001);
}

#[actix_web::test]
async fn tables_are_dumped_by_name_and_id() {
    let site = Site::start();
    let tables = site.operate(TOKEN, "/dump").await.json();
    for table in tables.as_array().expect("a list of names") {
        let path = format!("/dump/{}", table.as_str().unwrap_or_default());
        assert_eq!(
            site.operate(TOKEN, &path).await.status,
            StatusCode::OK,
            "{path}"
        );
    }
    let row = site.operate(TOKEN, "/dump/endpoints/engine-0").await.json();
    assert_eq!(row["service"], "surf-lm");
    assert_eq!(site.operate(TOKEN, "/dump/nothing").await.code(), 4007);
    assert_eq!(
        site.operate(TOKEN, "/dump/endpoints/none").await.code(),
        4007
    );
}

#[actix_web::test]
async fn metrics_count_requests_and_attempts() {
    let site = Site::start();
    let got = site
        .post(KEY, "/v1/chat/completions", &chat("count", 2, false))
        .await;
    assert_eq!(got.status, StatusCode::OK);
    let page = site.operate(TOKEN, "/metrics").await.body;
    let line = |name: &str| {
        page.lines()
            .any(|line| line.starts_with(name) && line.ends_with(" 1"))
    };
    assert!(line("poplarvale_requests_total{"), "{page}");
    assert!(line("poplarvale_sendings_total"), "{page}");
    assert!(page.contains("poplarvale_waiting 0"), "{page}");
}

#[actix_web::test]
async fn an_edit_is_accepted_once_and_errors_are_named() {
    let site = Site::start();
    let mut lists = site.operate(TOKEN, "/lists").await.json();
    lists["lists"]["plans"][0]["running"] = json!(7);
    assert_eq!(site.put_lists(&lists).await.json(), json!({"revision": 2}));
    assert_eq!(
        site.operate(TOKEN, "/lists").await.json()["lists"]["plans"][0]["running"],
        7
    );

    let stale = site.put_lists(&lists).await;
    assert_eq!((stale.status, stale.code()), (StatusCode::CONFLICT, 4003));

    lists["revision"] = json!(2);
    lists["lists"]["customers"][0]["plan"] = json!("missing");
    let wrong = site.put_lists(&lists).await;
    assert_eq!(wrong.code(), 4002);
    assert!(wrong.body.contains("customers[0].plan"), "{}", wrong.body);
    assert_eq!(site.operate(TOKEN, "/lists").await.json()["revision"], 2);
}
