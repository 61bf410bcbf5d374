//! A store that comes back from an older copy.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use poplarvale_lib::protos::relay::{Digest, digest};
use poplarvale_standin::{Cloud, Endpoint, Seen, Step, ask, config, plain, request, settings};
use prost::Message as _;
use serde_json::{Value, json};

use crate::relay_site::{ROUTES, Site, Zone, store_with, until};

const SOON: Duration = Duration::from_secs(10);
/// How long after the store's word an endpoint that left may still get requests.
const LEAVING: Duration = Duration::from_secs(2);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(10);

async fn endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, |seen| vec![plain(seen, 200, "done")]).await
}

/// Asks a daemon for a while; gives the statuses other than 200.
async fn ask_for(address: std::net::SocketAddr, span: Duration) -> Vec<u16> {
    let end = Instant::now() + span;
    let mut bad = Vec::new();
    while Instant::now() < end {
        let answer = ask(address, &request("GET", "/safe/a", "r1", "")).await;
        bad.extend(answer.map_or(Some(0), |answer| Some(answer.status)));
        tokio::time::sleep(PAUSE).await;
    }
    bad.retain(|status| *status != 200);
    bad
}

fn fences(cloud: &Cloud) -> Vec<u64> {
    cloud.seen().iter().filter_map(Seen::fence).collect()
}

/// Revisions are given out again, and the token by which the platform tells holders of the
/// duties apart falls, or is used twice.
#[actix_web::test]
async fn fences_rise_across_the_return_of_an_older_copy() {
    let one = endpoint("i-1").await;
    let store = store_with(&[&one]).await;
    store.save();
    for number in 0..100 {
        store.put(&format!("op/note-{number}"), b"{}");
    }
    let site = Site::with_grace(store, 3).await;
    until(SOON, async || site.cloud.seen().len() >= 2).await;
    let before = fences(&site.cloud);
    site.store.come_back();
    until(SOON, async || fences(&site.cloud).len() >= before.len() + 3).await;
    let all = fences(&site.cloud);
    assert!(all.is_sorted(), "{all:?}");
    assert!(all[before.len() - 1] < all[all.len() - 1], "{all:?}");
}

/// A holder of the duties goes on by a lease that went with the copy, beside the next one.
#[actix_web::test]
async fn a_holder_of_a_lease_that_is_gone_acts_no_more() {
    let one = endpoint("i-1").await;
    let store = store_with(&[&one]).await;
    store.save();
    let zone = Zone::start_with(25, store, &["usage"]).await;
    let leader = || zone.store.get("poplarvale/leader");
    until(SOON, async || leader().is_some()).await;
    zone.store.come_back();
    let lost = Instant::now();
    until(SOON, async || leader().is_some()).await;
    // The lease of the former holder lasts a second by its own reckoning.
    assert!(
        lost.elapsed() >= Duration::from_millis(900),
        "{:?}",
        lost.elapsed()
    );
}

/// A window was reported, and the record of it went with the copy; what came in late since
/// must not change the second report.
#[actix_web::test]
async fn a_window_reported_before_the_return_keeps_its_count() {
    let one = endpoint("i-1").await;
    let store = store_with(&[&one]).await;
    store.save();
    let cloud = Cloud::start().await;
    let free = UdpSocket::bind("127.0.26.1:0").expect("a free port");
    let peers = free.local_addr().expect("it is bound");
    drop(free);
    let text = settings(store.address, cloud.address);
    let mut file: Value = serde_json::from_str(&text).expect("it is JSON");
    file["ip"] = json!(peers.ip());
    file["internalPorts"] = json!([peers.port(), peers.port()]);
    let site = Site::with_settings(store, cloud, &file.to_string()).await;
    until(SOON, async || site.cloud.seen().len() >= 2).await;
    site.store.come_back();
    let late = Digest {
        name: "front-late".into(),
        incarnation: 1,
        sequence: 1,
        windows: site.cloud.seen().iter().map(late_window).collect(),
        ..Digest::default()
    };
    let socket = UdpSocket::bind("127.0.26.2:0").expect("a free port");
    socket
        .send_to(&late.encode_to_vec(), peers)
        .expect("it is sent");
    let before = site.cloud.seen().len();
    until(SOON, async || site.cloud.seen().len() >= before + 3).await;
    let mut reports: Vec<(u64, String)> = site.cloud.seen().iter().map(report).collect();
    reports.sort();
    reports.dedup();
    let windows = reports.iter().map(|report| report.0);
    let twice = windows
        .clone()
        .zip(windows.skip(1))
        .filter(|pair| pair.0 == pair.1);
    assert_eq!(twice.count(), 0, "{reports:?}");
}

/// Window and counts of a usage report.
fn report(call: &Seen) -> (u64, String) {
    let body: Value = serde_json::from_slice(&call.body).expect("it is JSON");
    let window = body["windowSeq"].as_u64().expect("a number");
    (window, body["counts"].to_string())
}

/// Runs that another daemon counted in the window of a report.
fn late_window(call: &Seen) -> digest::Window {
    let runs = digest::Count {
        team: "club".into(),
        runs: 7,
    };
    digest::Window {
        number: report(call).0,
        counts: vec![runs],
    }
}

/// The store is away for less than the pause between two watches, and by the next one its
/// revisions have caught up: the watch goes on as if nothing had happened.
#[actix_web::test]
async fn what_changed_while_revisions_caught_up_is_not_missed() {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let store = store_with(&[&one]).await;
    store.save();
    for number in 0..20 {
        store.put(&format!("op/note-{number}"), b"{}");
    }
    let site = Site::without_duties_on(store).await;
    let reached = site.store.revision();
    // Watches are answered at once after a change; the pause follows.
    site.store.put("op/note-0", b"{}");
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.store.come_back();
    site.store
        .put("servers/i-2", other.entry("app", "ready").as_bytes());
    site.store.remove("servers/i-1");
    while site.store.revision() <= reached + 5 {
        site.store.put("op/note-1", b"{}");
    }
    tokio::time::sleep(LEAVING).await;
    let before = one.seen().len();
    assert_eq!(
        ask_for(site.address(), Duration::from_secs(1)).await,
        Vec::<u16>::new()
    );
    assert_eq!(one.seen().len(), before, "requests to what has left");
    assert!(!other.seen().is_empty());
}

/// The watchers of a zone see the return. The others compare what they are told by the old
/// revisions, and would take nothing in for as long as these are higher.
#[actix_web::test]
async fn daemons_that_are_told_follow_into_the_new_era() {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let store = store_with(&[&one]).await;
    store.save();
    for number in 0..300 {
        store.put(&format!("op/note-{number}"), b"{}");
    }
    let zone = Zone::start(27, store).await;
    zone.store.come_back();
    tokio::time::sleep(Duration::from_millis(300)).await;
    zone.store
        .put("servers/i-2", other.entry("app", "ready").as_bytes());
    zone.store.remove("servers/i-1");
    zone.store
        .put("op/config", config(9, &ROUTES, 0).as_bytes());
    tokio::time::sleep(LEAVING).await;
    let before = one.seen().len();
    let last = &zone.daemons[zone.daemons.len() - 1].1;
    assert_eq!(
        ask_for(last.callers(), Duration::from_secs(1)).await,
        Vec::<u16>::new()
    );
    assert_eq!(one.seen().len(), before, "requests to what has left");
}

/// The copy is older than the removal of an endpoint, and names it as ready until what
/// happened is written again.
#[actix_web::test]
async fn an_older_copy_brings_no_endpoint_back_that_left() {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let store = store_with(&[&one, &other]).await;
    let site = Site::without_duties_on(store).await;
    site.store.save();
    site.store.remove("servers/i-1");
    tokio::time::sleep(LEAVING).await;
    let before = one.seen().len();
    site.store.come_back();
    assert_eq!(ask_for(site.address(), LEAVING).await, Vec::<u16>::new());
    assert_eq!(one.seen().len(), before, "requests to what has left");
}

/// What was found out of a request that crashes endpoints goes with the copy; daemons that
/// start later must learn of it all the same.
#[actix_web::test]
async fn quarantined_requests_are_kept_again_after_the_return() {
    let start = |id| {
        Endpoint::start(id, |seen| match seen.target().as_str() {
            "/stream/fatal" => vec![Step::Crash],
            _ => vec![plain(seen, 200, "done")],
        })
    };
    let (one, two, three) = (start("i-1").await, start("i-2").await, start("i-3").await);
    let store = store_with(&[&one, &two, &three]).await;
    store.save();
    let site = Site::without_duties_on(store).await;
    let kept = || site.store.keys("poplarvale/crashes/").len();
    for number in 0..3 {
        let text = request("GET", "/stream/fatal", &format!("r{number}"), "");
        // The endpoint breaks it off.
        let _broken = ask(site.address(), &text).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    until(SOON, async || kept() == 1).await;
    site.store.come_back();
    assert_eq!(kept(), 0);
    until(SOON, async || kept() == 1).await;
}
