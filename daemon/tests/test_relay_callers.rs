//! What callers send that must not be forwarded, or not as it is.

use poplarvale_standin::{Endpoint, FORGED, ask, config, plain, request, without_id};

use crate::relay_site::{ROUTES, Site, until};

async fn site() -> (Endpoint, Site) {
    let endpoint = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "done")]).await;
    let site = Site::start(&[&endpoint]).await;
    (endpoint, site)
}

/// A caller hides a second request behind two framings of the first. Nothing of it
/// may reach an endpoint.
#[actix_web::test]
async fn a_smuggled_request_reaches_no_endpoint() {
    let (endpoint, site) = site().await;
    let hidden = request("POST", "/once/b", "hidden", "Content-Length: 0\r\n");
    let both = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
    let text = request("POST", "/once/a", "r1", both) + "0\r\n\r\n" + &hidden;
    let answer = ask(site.address(), &text).await.expect("an answer");
    assert_eq!(answer.status, 400);
    assert!(!answer.head.keep_alive);
    assert!(endpoint.seen().is_empty());
}

/// A caller sends fields that only the system may set. The endpoint must get ours
/// and never the key.
#[actix_web::test]
async fn fields_of_the_system_are_ours() {
    let (endpoint, site) = site().await;
    let forged = format!("{FORGED}X-Own: kept\r\n");
    let answer = ask(
        site.address(),
        &request("GET", "/safe/a?q=1", "r1", &forged),
    )
    .await;
    assert_eq!(answer.expect("an answer").status, 200);
    let seen = &endpoint.seen()[0];
    assert_eq!(seen.target(), "/safe/a?q=1");
    assert_eq!(seen.team(), "club");
    assert_eq!(seen.target_id(), "i-1");
    assert_eq!(seen.id(), "r1");
    assert_eq!(seen.field("X-Own"), "kept");
    assert!(!seen.has_secret());
    let left: u64 = seen.left().parse().expect("a number");
    assert!((2000..=3000).contains(&left));
}

/// Wrong key, no key, no route, no id, too much: each has its own answer, and
/// nothing reaches an endpoint.
#[actix_web::test]
async fn bad_requests_are_refused_by_number() {
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

/// A team uses up what it may. The refusal says when to come back, and the request
/// did not run.
#[actix_web::test]
async fn a_team_beyond_its_allowance_is_told_when_to_come_back() {
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
    let refused = ask(site.address(), &text).await.expect("an answer");
    assert_eq!(refused.status, 429);
    assert!(refused.head.fields.text("retry-after").is_some());
    assert_eq!(endpoint.seen().len(), before);
}

/// A daemon that knows no configuration yet says so; an unknown key is not an
/// unknown key then.
#[actix_web::test]
async fn a_daemon_without_a_configuration_refuses_for_a_while() {
    let store = poplarvale_standin::Store::start().await;
    let cloud = poplarvale_standin::Cloud::start().await;
    let text = poplarvale_standin::settings(store.address, cloud.address);
    let settings = poplarvale_platform::read_settings(&text).expect("they are good");
    let relay = poplarvaled::Relay::start(settings)
        .await
        .expect("it listens");
    let answer = ask(relay.callers(), &request("GET", "/safe/a", "r1", "")).await;
    assert_eq!(answer.expect("an answer").status, 503);
    assert!(!crate::relay_site::is_ready(relay.ready()).await);
}
