//! The list of hosts, and what callers get when the list announces that hosts are leaving.

use std::time::{Duration, Instant};

use awc::http::StatusCode;
use futures::StreamExt as _;
use poplarvale_lib::Input;
use poplarvale_lib::protos::platform::{ListedHost, ListedHosts};
use poplarvaled::platform::hosts::{DEFAULT_NOTICE, GONE_ANSWERS, HostList, MASS_GONE_ANSWERS};
use serde_json::{Value, json};
use testutils::process::Process;
use testutils::words::answer;

use crate::site::{Daemon, KEY, PAUSE, Site, TOKEN, chat, client, events, prompt, read};

const CHAT: &str = "/v1/chat/completions";

fn host(id: &str) -> ListedHost {
    ListedHost {
        id: id.into(),
        zone: "hanko".into(),
        address: "127.0.0.1:9".into(),
        service: "surf-lm".into(),
        version: "v1".into(),
        ..ListedHost::default()
    }
}

fn hosts(ids: &[&str]) -> ListedHosts {
    ListedHosts {
        hosts: ids.iter().map(|id| host(id)).collect(),
    }
}

fn gone(inputs: &[Input]) -> Vec<&str> {
    let gone = inputs.iter().filter_map(|input| match input {
        Input::Gone(id) => Some(id.as_str()),
        _ => None,
    });
    gone.collect()
}

#[test]
fn an_endpoint_is_reported_once_and_again_when_it_changes() {
    let now = Instant::now();
    let mut list = HostList::new(Vec::new());
    assert_eq!(list.apply(now, &hosts(&["a", "b"])).len(), 2);
    assert!(list.apply(now, &hosts(&["a", "b"])).is_empty());
    let mut moved = hosts(&["a", "b"]);
    moved.hosts[1].version = "v2".into();
    let inputs = list.apply(now, &moved);
    assert!(
        matches!(inputs.as_slice(), [Input::Endpoint(known)] if known.version == "v2"),
        "{inputs:?}"
    );
}

/// The list lags: a host is missing from one answer and back in the next. If it were removed at
/// once, its streams would be recomputed on other hosts.
#[test]
fn an_endpoint_is_gone_only_after_several_answers_without_it() {
    let now = Instant::now();
    let mut list = HostList::new(Vec::new());
    list.apply(now, &hosts(&["a", "b", "c"]));
    for _ in 1..GONE_ANSWERS {
        assert!(list.apply(now, &hosts(&["a", "b"])).is_empty());
    }
    assert!(list.apply(now, &hosts(&["a", "b", "c"])).is_empty());
    for _ in 1..GONE_ANSWERS {
        assert!(list.apply(now, &hosts(&["a", "b"])).is_empty());
    }
    assert_eq!(gone(&list.apply(now, &hosts(&["a", "b"]))), ["c"]);
}

/// The list's server restarts and lists no host for a while. If the daemons applied that as soon as
/// the absence of one host, they would reject all requests although every endpoint is up.
#[test]
fn a_list_that_has_lost_most_hosts_is_ignored_for_longer() {
    let now = Instant::now();
    let mut list = HostList::new(Vec::new());
    list.apply(now, &hosts(&["a", "b", "c"]));
    for _ in 1..MASS_GONE_ANSWERS {
        assert!(list.apply(now, &hosts(&[])).is_empty());
    }
    let inputs = list.apply(now, &hosts(&[]));
    assert_eq!(gone(&inputs), ["a", "b", "c"]);
}

/// The same notice is in every answer until the host is gone. If its end were computed anew from
/// each answer, it would never come.
#[test]
fn a_notice_is_reported_once_and_again_only_if_its_end_comes_earlier() {
    let now = Instant::now();
    let mut list = HostList::new(vec!["a".into()]);
    let mut answer = hosts(&["a"]);
    answer.hosts[0].leaving = true;
    let until = |inputs: Vec<Input>| match inputs.as_slice() {
        [] => None,
        [Input::Leaving { until, .. }] => Some(*until),
        other => panic!("{other:?}"),
    };
    assert_eq!(until(list.apply(now, &answer)), Some(now + DEFAULT_NOTICE));
    let later = now + Duration::from_secs(1);
    assert_eq!(until(list.apply(later, &answer)), None);
    answer.hosts[0].left_ms = Some(2_000);
    let earlier = later + Duration::from_secs(2);
    assert_eq!(until(list.apply(later, &answer)), Some(earlier));
    answer.hosts[0].left_ms = Some(u64::MAX);
    assert_eq!(until(list.apply(later, &answer)), None);
}

/// Endpoints of the settings exist even if the platform's list doesn't contain them or its server
/// doesn't know their address.
#[test]
fn endpoints_of_the_settings_stay() {
    let now = Instant::now();
    let mut list = HostList::new(vec!["a".into()]);
    assert!(list.apply(now, &hosts(&["a"])).is_empty());
    for _ in 0..=MASS_GONE_ANSWERS {
        assert!(list.apply(now, &hosts(&[])).is_empty());
    }
}

#[test]
fn hosts_without_a_service_or_an_address_are_skipped() {
    let mut answer = hosts(&["a", "b", ""]);
    answer.hosts[0].service = String::new();
    answer.hosts[1].address = "somewhere".into();
    let mut list = HostList::new(Vec::new());
    assert!(list.apply(Instant::now(), &answer).is_empty());
}

/// A daemon's row for an endpoint. Null if the daemon doesn't know the endpoint.
async fn row(daemon: &Daemon, endpoint: &str) -> Value {
    let rows = daemon.operate(TOKEN, "/dump/endpoints").await.json();
    rows[endpoint].clone()
}

/// Waits until a stream of a daemon runs, and returns the index of its engine.
async fn engine_of(daemon: &Daemon) -> usize {
    loop {
        for engine in 0..2 {
            let row = row(daemon, &format!("engine-{engine}")).await;
            if row["running"] == 1 {
                return engine;
            }
        }
    }
}

/// Waits until all daemons know that an endpoint is leaving.
async fn wait_for_notice(site: &Site, endpoint: &str) {
    for daemon in &site.daemons {
        while row(daemon, endpoint).await["leaving_ms"].is_null() {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Announces in the list that a host is leaving.
async fn announce(site: &Site, mut host: Value, left: Duration) {
    host["leaving"] = json!(true);
    host["left_ms"] = json!(left.as_millis() as u64);
    site.list(&json!({"put": [host]})).await;
}

/// Hosts are added at any time. A daemon must use a host that only the list contains, and stop
/// using it when the list no longer contains it.
#[actix_web::test]
async fn a_listed_host_is_used_until_it_is_removed() {
    let without_endpoints = |settings: &mut Value, _: &mut Vec<Process>| {
        settings["services"][0]["endpoints"] = json!([]);
    };
    let site = Site::fleet_with(&[true], &[], without_endpoints).await;
    assert!(row(&site, "engine-0").await.is_null());
    let put = json!({"put": [site.listed(0), site.listed(1)]});
    site.list(&put).await;
    while row(&site, "engine-1").await.is_null() {
        tokio::time::sleep(PAUSE).await;
    }
    let got = site.post(KEY, CHAT, &chat("found", 4, false)).await;
    assert_eq!(got.status, StatusCode::OK, "{}", got.body);
    site.list(&json!({"gone": ["engine-0"]})).await;
    while !row(&site, "engine-0").await.is_null() {
        tokio::time::sleep(PAUSE).await;
    }
    assert!(!row(&site, "engine-1").await.is_null());
}

/// The list's server dies. The daemon must not mistake that for hosts that are gone.
#[actix_web::test]
async fn an_unreachable_list_changes_nothing() {
    let without_endpoints = |settings: &mut Value, _: &mut Vec<Process>| {
        settings["services"][0]["endpoints"] = json!([]);
    };
    let mut site = Site::fleet_with(&[true], &[], without_endpoints).await;
    site.list(&json!({"put": [site.listed(0)]})).await;
    while row(&site, "engine-0").await.is_null() {
        tokio::time::sleep(PAUSE).await;
    }
    site.hosts.as_mut().expect("it has one").kill();
    let got = site.post(KEY, CHAT, &chat("kept", 4, false)).await;
    assert_eq!(got.status, StatusCode::OK, "{}", got.body);
    assert!(!row(&site, "engine-0").await.is_null());
}

/// A host is reclaimed, and only one daemon polls the list. Without a notice from it the other
/// daemon would keep sending streams to the host until they all break at once.
#[actix_web::test]
async fn a_notice_to_one_daemon_stops_new_work_from_all() {
    let site = Site::fleet_with(&[true, false], &[], |_, _| ()).await;
    site.fault(0, &json!({"slow_ms": 20})).await;
    site.fault(1, &json!({"slow_ms": 20})).await;
    let other = &site.daemons[1];
    let stream = client()
        .post(format!("http://{}{CHAT}", other.callers))
        .insert_header(("authorization", format!("Bearer {KEY}")))
        .send_json(&chat("carried", 100, true));
    let stream = stream.await.expect("it answers");
    let from = engine_of(other).await;
    announce(&site, site.listed(from), Duration::from_millis(1_500)).await;
    wait_for_notice(&site, &format!("engine-{from}")).await;
    let before = site.counts(from).await["attempts"].clone();
    for n in 0..4 {
        for daemon in &site.daemons {
            let text = format!("new {n}");
            let got = daemon.post(KEY, CHAT, &chat(&text, 2, false)).await;
            assert_eq!(got.status, StatusCode::OK, "{}", got.body);
        }
    }
    assert_eq!(site.counts(from).await["attempts"], before);
    let got = read(stream).await;
    let (text, ids, done) = events(&got.body);
    assert_eq!(text, answer(&prompt("carried"), 100));
    assert!(done && ids.len() == 100);
    // The stream has moved: the other engine sent tokens of it besides those of the short answers.
    let tokens = site.counts(1 - from).await["tokens"].as_u64();
    assert!(tokens.is_some_and(|tokens| tokens > 16), "{tokens:?}");
}

/// A host of the booking application is reclaimed while a booking runs there. The running booking
/// must be answered, and the next one must be rejected as not run instead of being lost on the way.
#[actix_web::test]
async fn a_booking_accepted_before_the_notice_is_answered() {
    let site = Site::fleet_with(&[true, false], &[], |_, _| ()).await;
    site.plain_fault(&json!({"slow_ms": 1_000})).await;
    let other = &site.daemons[1];
    let first = json!({"id": "before"});
    let booked = other.post(KEY, "/services/bookings/bookings", &first);
    let announced = async {
        while site.ran("before").await == 0 {
            tokio::time::sleep(PAUSE).await;
        }
        announce(&site, site.listed_plain(), Duration::from_secs(5)).await;
        wait_for_notice(&site, "booking-1").await;
        let late = json!({"id": "after"});
        other.post(KEY, "/services/bookings/bookings", &late).await
    };
    let (booked, late) = futures::future::join(booked, announced).await;
    assert_eq!(booked.status, StatusCode::CREATED, "{}", booked.body);
    assert_eq!(site.ran("before").await, 1);
    assert_eq!(late.json()["ran"], "no", "{}", late.body);
    assert_eq!(site.ran("after").await, 0);
}

/// Waits until a daemon knows that both engines can export their KV cache.
async fn knows_exports(daemon: &Daemon) {
    for engine in 0..2 {
        let id = format!("engine-{engine}");
        while row(daemon, &id).await["load"]["export"] != 1e6 {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// The host of a stream with a long prompt is reclaimed. Recomputing the prompt would delay every
/// other stream of the next engine; if the KV cache moves with the stream, nothing is recomputed.
#[actix_web::test]
async fn a_stream_moves_with_its_cache() {
    let args = ["--export", "1000000"];
    let site = Site::fleet_with(&[true], &args, |_, _| ()).await;
    site.fault(0, &json!({"slow_ms": 20})).await;
    site.fault(1, &json!({"slow_ms": 20})).await;
    knows_exports(&site).await;
    let history = "a long history of lessons ".repeat(800);
    let blocks = prompt(&history).len() / 256;
    let stream = client()
        .post(format!("http://{}{CHAT}", site.callers))
        .insert_header(("authorization", format!("Bearer {KEY}")))
        .send_json(&chat(&history, 200, true));
    let mut stream = stream.await.expect("it answers");
    let first = stream
        .next()
        .await
        .expect("a chunk")
        .expect("it is no error");
    let from = engine_of(&site).await;
    announce(&site, site.listed(from), Duration::from_secs(3)).await;
    let mut body = String::from_utf8_lossy(&first).into_owned();
    body += &read(stream).await.body;
    let (text, ids, done) = events(&body);
    assert_eq!(text, answer(&prompt(&history), 200));
    assert!(done && ids.len() == 200);
    let counts = site.counts(1 - from).await;
    assert_eq!(counts["attempts"], 1, "{counts}");
    assert_eq!(counts["cached"], blocks, "{counts}");
    assert_eq!(counts["computed"], 0, "{counts}");
    assert_eq!(site.counts(from).await["cancelled"], 1);
}

/// The new engine fails to import the KV cache. The stream must continue anyway, and its prompt is
/// recomputed.
#[actix_web::test]
async fn a_stream_whose_cache_cannot_move_goes_on() {
    let args = ["--export", "1000000", "--no-import"];
    let site = Site::fleet_with(&[true], &args, |_, _| ()).await;
    site.fault(0, &json!({"slow_ms": 20})).await;
    site.fault(1, &json!({"slow_ms": 20})).await;
    knows_exports(&site).await;
    let history = "a long history of lessons ".repeat(800);
    let stream = client()
        .post(format!("http://{}{CHAT}", site.callers))
        .insert_header(("authorization", format!("Bearer {KEY}")))
        .send_json(&chat(&history, 200, true));
    let mut stream = stream.await.expect("it answers");
    let first = stream
        .next()
        .await
        .expect("a chunk")
        .expect("it is no error");
    let from = engine_of(&site).await;
    announce(&site, site.listed(from), Duration::from_secs(3)).await;
    let mut body = String::from_utf8_lossy(&first).into_owned();
    body += &read(stream).await.body;
    let (text, ids, done) = events(&body);
    assert_eq!(text, answer(&prompt(&history), 200));
    assert!(done && ids.len() == 200);
    let counts = site.counts(1 - from).await;
    assert_ne!(counts["computed"], 0, "{counts}");
}
