//! Requests of callers that must not be forwarded, or not unchanged.

use poplarvale_standin::{Endpoint, FORGED_FIELDS, ask, config, plain, request, without_id};

use crate::relay_site::{ROUTES, Site, until};

async fn site() -> (Endpoint, Site) {
    let endpoint = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "done")]).await;
    let site = Site::start(&[&endpoint]).await;
    (endpoint, site)
}

/// Request smuggling: a caller gives a request two different framings, so that a second request
/// could hide in its body. No part of it may reach an endpoint.
#[actix_web::test]
async fn a_smuggled_request_reaches_no_endpoint() {
    let (endpoint, site) = site().await;
    let hidden = request("POST", "/once/b", "hidden", "Content-Length: 0\r\n");
    let two_framings = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
    let text = request("POST", "/once/a", "r1", two_framings) + "0\r\n\r\n" + &hidden;
    let answer = ask(site.address(), &text).await.expect("an answer");
    assert_eq!(answer.status, 400);
    assert!(!answer.head.keep_alive);
    assert!(endpoint.seen().is_empty());
}

/// A caller sends header fields that only the system may set. The endpoint must get those that the
/// daemon sets, and never the key of the caller.
#[actix_web::test]
async fn callers_cannot_set_fields_of_the_system() {
    let (endpoint, site) = site().await;
    let forged = format!("{FORGED_FIELDS}X-Own: kept\r\n");
    let answer = ask(
        site.address(),
        &request("GET", "/safe/a?q=1", "r1", &forged),
    )
    .await;
    assert_eq!(answer.expect("an answer").status, 200);
    let seen = &endpoint.seen()[0];
    assert_eq!(seen.target(), "/safe/a?q=1");
    assert_eq!(seen.team(), "club");
    assert_eq!(seen.target_endpoint(), "i-1");
    assert_eq!(seen.id(), "r1");
    assert_eq!(seen.field("X-Own"), "kept");
    assert!(!seen.has_forbidden_field());
    let left: u64 = seen.deadline_ms().parse().expect("a number");
    assert!((2000..=3000).contains(&left));
}

/// Requests with a wrong key, without a route or an id, or with a body or head that is too long:
/// each is rejected with its own code, and none reaches an endpoint.
#[actix_web::test]
async fn bad_requests_are_rejected_with_their_code() {
    let (endpoint, site) = site().await;
    let good = request("GET", "/safe/a", "r1", "");
    let cases = [
        (good.replace("Bearer k1", "Bearer k2"), 401, "1002"),
        (good.replace("/safe/", "/none/"), 404, "1003"),
        (good.replace("site.example", "other.example"), 404, "1003"),
        (without_id(&good), 400, "1001"),
        (
            request("POST", "/once/a", "r1", "Content-Length: 70000\r\n"),
            413,
            "1005",
        ),
        (
            request(
                "GET",
                "/safe/a",
                "r1",
                &format!("X: {}\r\n", "y".repeat(5000)),
            ),
            431,
            "1008",
        ),
    ];
    for (text, status, code) in cases {
        let answer = ask(site.address(), &text).await.expect("an answer");
        assert_eq!(answer.status, status, "{text}");
        assert!(answer.body.contains(code), "{}", answer.body);
        assert!(answer.body.contains("\"ran\":\"no\""));
    }
    assert!(endpoint.seen().is_empty());
}

/// A team uses up its allowance. The rejection must tell it when to retry, and the request must
/// not run.
#[actix_web::test]
async fn a_team_over_its_allowance_is_told_when_to_retry() {
    let (endpoint, site) = site().await;
    site.store
        .put("op/config", config(2, &ROUTES, 4).as_bytes());
    let text = request("GET", "/safe/a", "r1", "");
    until(std::time::Duration::from_secs(5), async || {
        ask(site.address(), &text)
            .await
            .is_ok_and(|answer| answer.status == 429)
    })
    .await;
    let before = endpoint.seen().len();
    let rejected = ask(site.address(), &text).await.expect("an answer");
    assert_eq!(rejected.status, 429);
    assert!(rejected.head.fields.text("retry-after").is_some());
    assert_eq!(endpoint.seen().len(), before);
}

/// A daemon that has not read a configuration yet knows no keys. It must reject requests until
/// then as retryable, and not because of an unknown key.
#[actix_web::test]
async fn a_daemon_without_a_configuration_rejects_requests_as_retryable() {
    let store = poplarvale_standin::Store::start().await;
    let cloud = poplarvale_standin::Cloud::start().await;
    let text = poplarvale_standin::settings(store.address, cloud.address);
    let settings = poplarvale_platform::read_settings(&text).expect("valid settings");
    let relay = poplarvaled::Relay::start(settings)
        .await
        .expect("the daemon starts");
    let answer = ask(relay.callers(), &request("GET", "/safe/a", "r1", "")).await;
    assert_eq!(answer.expect("an answer").status, 503);
    assert!(!crate::relay_site::is_ready(relay.ready()).await);
}
