//! Evacuated zones: operators ask for them in the store.

use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{
    Cloud, Endpoint, Fault, Route, Step, Store, ask, config, event, plain, request, settings,
    stream,
};
use serde_json::{Value, json};

use crate::relay_site::{ROUTES, Site, Zone, store_with, until};

/// Time after which no request reaches an evacuated zone.
const EVACUATION_TIME: Duration = Duration::from_secs(2);
/// Key that orders the evacuation of the zone `hanko`.
const HANKO: &str = "op/evacuate/hanko";

async fn endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, |seen| vec![plain(seen, 200, "done")]).await
}

/// A store with an endpoint in the zone `hanko` and one in `espoo`.
async fn two_zones(hanko: &Endpoint, espoo: &Endpoint) -> Store {
    let store = store_with(&[hanko]).await;
    let entry = espoo.entry_in("espoo", "app", "ready");
    store.put(&format!("servers/{}", espoo.id), entry.as_bytes());
    store
}

/// Sends requests to all daemons for a time span; returns the statuses other than 200.
async fn ask_all(zone: &Zone, span: Duration) -> Vec<u16> {
    let end = Instant::now() + span;
    let callers = zone.daemons.iter().map(|(_, relay)| async {
        let mut bad = Vec::new();
        while Instant::now() < end {
            let answer = ask(relay.callers(), &request("GET", "/safe/a", "r1", "")).await;
            let status = answer.map_or(0, |answer| answer.status);
            if status != 200 {
                bad.push(status);
            }
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
        bad
    });
    join_all(callers).await.into_iter().flatten().collect()
}

/// Operators evacuate a zone: no daemon may send anything to its endpoints two seconds later, until
/// the zone is restored. Daemons that get the change feed make no store call for it.
#[actix_web::test]
async fn no_daemon_sends_requests_to_an_evacuated_zone() {
    /// Calls of a watcher in the time of the evacuation, and the tolerance of the count.
    const CALLS: u32 = 2 * 6;
    let (hanko, espoo) = (endpoint("i-1").await, endpoint("i-2").await);
    let zone = Zone::start(35, two_zones(&hanko, &espoo).await).await;
    ask_all(&zone, Duration::from_millis(300)).await;
    assert!(!hanko.seen().is_empty(), "its endpoint is in use");
    let calls = zone.store.calls();
    zone.store.put(HANKO, b"{}");
    tokio::time::sleep(EVACUATION_TIME).await;
    let before = hanko.seen().len();
    assert_eq!(
        ask_all(&zone, Duration::from_secs(1)).await,
        Vec::<u16>::new()
    );
    assert_eq!(hanko.seen().len(), before, "requests to the evacuated zone");
    let calls = zone.store.calls() - calls;
    assert!(calls <= CALLS, "{calls} calls to the store");
    zone.store.remove(HANKO);
    until(EVACUATION_TIME, async || {
        ask_all(&zone, Duration::from_millis(50)).await;
        hanko.seen().len() > before
    })
    .await;
}

/// A daemon is partitioned from the store, and a zone is evacuated. It must hear of it from the
/// daemons of its zone.
#[actix_web::test]
async fn a_daemon_partitioned_from_the_store_hears_of_an_evacuation() {
    let (hanko, espoo) = (endpoint("i-1").await, endpoint("i-2").await);
    let zone = Zone::start(36, two_zones(&hanko, &espoo).await).await;
    let (proxy, _) = &zone.daemons[zone.daemons.len() - 1];
    proxy.set(Fault::Blocked);
    zone.store.put(HANKO, b"{}");
    tokio::time::sleep(EVACUATION_TIME).await;
    let before = hanko.seen().len();
    assert_eq!(
        ask_all(&zone, Duration::from_secs(1)).await,
        Vec::<u16>::new()
    );
    assert_eq!(hanko.seen().len(), before, "requests to the evacuated zone");
}

/// A stream runs in a zone that is evacuated. It must reach its end: evacuation only keeps new
/// requests away.
#[actix_web::test]
async fn a_stream_in_an_evacuated_zone_runs_to_its_end() {
    let script = |seen: &poplarvale_standin::SeenRequest| {
        let mut steps = vec![stream(seen), event(0)];
        steps.push(Step::Wait(Duration::from_millis(1500)));
        steps.extend([event(1), Step::Send("0\r\n\r\n".into())]);
        steps
    };
    let hanko = Endpoint::start("i-1", script).await;
    let site = Site::start(&[&hanko]).await;
    let text = request("GET", "/stream/a", "r1", "");
    let (answer, ()) = futures::future::join(ask(site.address(), &text), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.store.put(HANKO, b"{}");
    })
    .await;
    let answer = answer.expect("an answer");
    assert!(
        answer.complete && answer.body.contains("piece 1"),
        "{answer:?}"
    );
}

/// All zones with endpoints are evacuated. Callers hear at once that nothing ran, and when to come
/// back.
#[actix_web::test]
async fn callers_hear_at_once_that_all_zones_are_evacuated() {
    let hanko = endpoint("i-1").await;
    let site = Site::start(&[&hanko]).await;
    site.store.put(HANKO, b"{}");
    tokio::time::sleep(EVACUATION_TIME).await;
    let started = Instant::now();
    let answer = ask(site.address(), &request("GET", "/safe/a", "r1", "")).await;
    let answer = answer.expect("an answer");
    assert!(started.elapsed() < Duration::from_millis(200));
    assert_eq!(answer.status, 503);
    assert!(
        answer.body.contains("2013") && answer.body.contains("\"no\""),
        "{answer:?}"
    );
    assert!(answer.head.fields.text("Retry-After").is_some());
}

/// Orders that cannot be read: the zone of an order whose value is no JSON, or not even text, is
/// evacuated; a key without a zone and a zone that nobody knows change nothing.
#[actix_web::test]
async fn unreadable_orders_are_obeyed_and_unknown_zones_ignored() {
    let (hanko, espoo) = (endpoint("i-1").await, endpoint("i-2").await);
    let site = Site::without_duties_on(two_zones(&hanko, &espoo).await).await;
    site.store.put("op/evacuate/", b"{}");
    site.store.put("op/evacuate/hnako", b"{}");
    site.store.put_raw(HANKO, "%%%");
    tokio::time::sleep(EVACUATION_TIME).await;
    let before = hanko.seen().len();
    for number in 0..20 {
        let text = request("GET", "/safe/a", &format!("r{number}"), "");
        let answer = ask(site.address(), &text).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(hanko.seen().len(), before, "requests to the evacuated zone");
}

/// The order is withdrawn while the history of the store is lost, or the store comes back from a
/// copy without it. A daemon must not believe what it read before.
#[actix_web::test]
async fn an_order_that_is_missing_from_the_store_holds_no_longer() {
    for restored in [false, true] {
        let hanko = endpoint("i-1").await;
        let site = Site::start(&[&hanko]).await;
        site.store.save();
        site.store.put(HANKO, b"{}");
        let is_served = async || {
            let answer = ask(site.address(), &request("GET", "/safe/a", "r1", "")).await;
            answer.is_ok_and(|answer| answer.status == 200)
        };
        until(EVACUATION_TIME, async || !is_served().await).await;
        if restored {
            site.store.restore();
        } else {
            site.store.set_watches_paused(true);
            site.store.remove(HANKO);
            site.store.compact();
            site.store.set_watches_paused(false);
        }
        until(EVACUATION_TIME * 2, is_served).await;
    }
}

/// A daemon starts while a zone is evacuated. It must know of that before its first request.
#[actix_web::test]
async fn a_daemon_that_starts_during_an_evacuation_knows_of_it() {
    let (hanko, espoo) = (endpoint("i-1").await, endpoint("i-2").await);
    let store = two_zones(&hanko, &espoo).await;
    store.put(HANKO, b"{}");
    let site = Site::without_duties_on(store).await;
    for number in 0..20 {
        let text = request("GET", "/safe/a", &format!("r{number}"), "");
        let answer = ask(site.address(), &text).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(hanko.seen().len(), 0);
}

/// A configuration whose route `/safe/` has these homes, and its team those.
fn homes_config(route: &[&str], team: &[&str]) -> String {
    let routes: &[Route] = &ROUTES;
    let text = config(2, routes, 0);
    let mut config: Value = serde_json::from_str(&text).expect("the configuration is JSON");
    config["routes"][0]["allowedRegions"] = json!(route);
    config["tenants"][0]["allowedRegions"] = json!(team);
    config.to_string()
}

/// Teams and routes whose data must stay in a region, with endpoints in three. A request that
/// leaves its homes breaks a contract; one without an endpoint in its homes is rejected at once.
#[actix_web::test]
async fn requests_with_homes_stay_there() {
    let zones = ["hanko", "narva", "visby"];
    let endpoints = join_all(zones.map(endpoint)).await;
    for (route, team, home) in [
        (&["ee"][..], &[][..], Some("narva")),
        (&[], &["se"], Some("visby")),
        (&["ee", "se"], &["fi", "se"], Some("visby")),
        (&["ee"], &["se"], None),
        (&["lv"], &[], None),
    ] {
        let store = Store::start().await;
        store.put("op/config", homes_config(route, team).as_bytes());
        for (endpoint, zone) in endpoints.iter().zip(zones) {
            let entry = endpoint.entry_in(zone, "app", "ready");
            store.put(&format!("servers/{}", endpoint.id), entry.as_bytes());
        }
        let cloud = Cloud::start().await;
        let text = settings(store.address, cloud.address);
        let mut file: Value = serde_json::from_str(&text).expect("the settings are JSON");
        file["zones"] = json!({"hanko": "fi", "narva": "ee", "visby": "se"});
        let site = Site::with_settings(store, cloud, &file.to_string()).await;
        let before: Vec<usize> = endpoints.iter().map(|row| row.seen().len()).collect();
        for number in 0..10 {
            let text = request("GET", "/safe/a", &format!("r{number}"), "");
            let answer = ask(site.address(), &text).await.expect("an answer");
            let is_rejected = answer.status == 503 && answer.body.contains("2012");
            assert_eq!(is_rejected, home.is_none(), "{answer:?}");
        }
        for (at, endpoint) in endpoints.iter().enumerate() {
            let got = endpoint.seen().len() - before[at];
            let expected = if home == Some(zones[at]) { 10 } else { 0 };
            assert_eq!(got, expected, "{} with {route:?} and {team:?}", zones[at]);
        }
    }
}
