//! A store that is restored from an older copy: values written after the copy are lost, leases
//! included, and revisions are assigned again.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use poplarvale_lib::protos::relay::{Digest, digest};
use poplarvale_standin::{
    Cloud, Endpoint, SeenRequest, Step, ask, config, plain, request, settings,
};
use prost::Message as _;
use serde_json::{Value, json};

use crate::relay_site::{ROUTES, Site, Zone, store_with, until};
use crate::reports::window_and_counts;

const SOON: Duration = Duration::from_secs(10);
/// How long after its entry was removed an endpoint may still get requests.
const LEAVE_TIME: Duration = Duration::from_secs(2);
/// Time between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);

async fn endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, |seen| vec![plain(seen, 200, "done")]).await
}

/// Sends requests to a daemon for a while; returns the statuses other than 200.
async fn send_requests(address: std::net::SocketAddr, span: Duration) -> Vec<u16> {
    let end = Instant::now() + span;
    let mut bad = Vec::new();
    while Instant::now() < end {
        let answer = ask(address, &request("GET", "/safe/a", "r1", "")).await;
        bad.extend(answer.map_or(Some(0), |answer| Some(answer.status)));
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
    bad.retain(|status| *status != 200);
    bad
}

/// Fencing tokens of all reports, in the order of their arrival.
fn fencing_tokens(cloud: &Cloud) -> Vec<u64> {
    cloud
        .seen()
        .iter()
        .filter_map(SeenRequest::fencing_token)
        .collect()
}

/// After a restore the store assigns the same revisions again. A fencing token that comes from the
/// revision alone would fall or be used twice, and the platform could not tell a former duty
/// holder from the current one.
#[actix_web::test]
async fn fencing_tokens_rise_across_a_restore() {
    let one = endpoint("i-1").await;
    let store = store_with(&[&one]).await;
    store.save();
    for number in 0..100 {
        store.put(&format!("op/note-{number}"), b"{}");
    }
    let site = Site::with_grace(store, 3).await;
    until(SOON, async || site.cloud.seen().len() >= 2).await;
    let before = fencing_tokens(&site.cloud);
    site.store.restore();
    until(SOON, async || {
        fencing_tokens(&site.cloud).len() >= before.len() + 3
    })
    .await;
    let all = fencing_tokens(&site.cloud);
    assert!(all.is_sorted(), "{all:?}");
    assert!(all[before.len() - 1] < all[all.len() - 1], "{all:?}");
}

/// The lease of the duty holder is lost with the restore, but the holder still relies on it. If
/// another daemon took the duties at once, both would act at the same time.
#[actix_web::test]
async fn duties_are_not_taken_before_a_lost_lease_expires() {
    let one = endpoint("i-1").await;
    let store = store_with(&[&one]).await;
    store.save();
    let zone = Zone::start_with(25, store, &["usage"]).await;
    let leader = || zone.store.get("poplarvale/leader");
    until(SOON, async || leader().is_some()).await;
    zone.store.restore();
    let lost = Instant::now();
    until(SOON, async || leader().is_some()).await;
    // By the clock of the former holder its lease lasts one second.
    assert!(
        lost.elapsed() >= Duration::from_millis(900),
        "{:?}",
        lost.elapsed()
    );
}

/// Guards against a daemon that starts after a restore, does not know of it, and takes the duties while
/// the former holder still relies on its lease.
#[actix_web::test]
async fn a_daemon_that_starts_after_a_restore_waits_for_the_lost_lease() {
    let one = endpoint("i-1").await;
    let store = store_with(&[&one]).await;
    store.save();
    let site = Site::with_grace(store, 3).await;
    let leader = || site.store.get("poplarvale/leader");
    until(SOON, async || leader().is_some()).await;
    site.store.restore();
    let lost = Instant::now();
    let cloud = Cloud::start().await;
    let text = settings(site.store.address, cloud.address).replace("hanko-1", "hanko-2");
    let _other = Site::with_settings(site.store.clone(), cloud, &text).await;
    until(SOON, async || leader().is_some()).await;
    assert!(
        lost.elapsed() >= Duration::from_millis(900),
        "{:?}",
        lost.elapsed()
    );
}

/// A window was reported, and the record of the report is lost with the restore. Counts that
/// another daemon sends late must not change the report of that window when it is sent again.
#[actix_web::test]
async fn a_window_reported_before_a_restore_keeps_its_count() {
    let one = endpoint("i-1").await;
    let store = store_with(&[&one]).await;
    store.save();
    let cloud = Cloud::start().await;
    let free = UdpSocket::bind("127.0.26.1:0").expect("a port is free");
    let peers = free.local_addr().expect("the socket is bound");
    drop(free);
    let text = settings(store.address, cloud.address);
    let mut file: Value = serde_json::from_str(&text).expect("the text is JSON");
    file["ip"] = json!(peers.ip());
    file["internalPorts"] = json!([peers.port(), peers.port()]);
    let site = Site::with_settings(store, cloud, &file.to_string()).await;
    until(SOON, async || site.cloud.seen().len() >= 2).await;
    site.store.restore();
    let late = Digest {
        name: "front-late".into(),
        incarnation: 1,
        sequence: 1,
        windows: site.cloud.seen().iter().map(late_window).collect(),
        ..Digest::default()
    };
    let socket = UdpSocket::bind("127.0.26.2:0").expect("a port is free");
    socket
        .send_to(&late.encode_to_vec(), peers)
        .expect("the digest is sent");
    let before = site.cloud.seen().len();
    until(SOON, async || site.cloud.seen().len() >= before + 3).await;
    let mut reports: Vec<(u64, String)> = site.cloud.seen().iter().map(window_and_counts).collect();
    reports.sort();
    reports.dedup();
    let windows = reports.iter().map(|report| report.0);
    let twice = windows
        .clone()
        .zip(windows.skip(1))
        .filter(|pair| pair.0 == pair.1);
    assert_eq!(twice.count(), 0, "{reports:?}");
}

/// Runs that another daemon counted in the window of a report.
fn late_window(call: &SeenRequest) -> digest::Window {
    let runs = digest::Count {
        team: "club".into(),
        runs: 7,
    };
    digest::Window {
        number: window_and_counts(call).0,
        counts: vec![runs],
    }
}

/// The store is restored between two watches, and its revisions have caught up before the next
/// one. A daemon that compares revisions without their era would continue the watch and miss the
/// changes in between.
#[actix_web::test]
async fn changes_before_revisions_catch_up_are_not_missed() {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let store = store_with(&[&one]).await;
    store.save();
    for number in 0..20 {
        store.put(&format!("op/note-{number}"), b"{}");
    }
    let site = Site::without_duties_on(store).await;
    let reached = site.store.revision();
    // A watch is answered right after a change; then the daemon pauses before the next one.
    site.store.put("op/note-0", b"{}");
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.store.restore();
    site.store
        .put("servers/i-2", other.entry("app", "ready").as_bytes());
    site.store.remove("servers/i-1");
    while site.store.revision() <= reached + 5 {
        site.store.put("op/note-1", b"{}");
    }
    tokio::time::sleep(LEAVE_TIME).await;
    let before = one.seen().len();
    assert_eq!(
        send_requests(site.address(), Duration::from_secs(1)).await,
        Vec::<u16>::new()
    );
    assert_eq!(one.seen().len(), before, "requests to the removed endpoint");
    assert!(!other.seen().is_empty());
}

/// The watchers of a zone notice the restore. The other daemons get the change feed only. If they
/// compared its revisions with those of the former era, they would ignore all changes for as long
/// as the old revisions are higher.
#[actix_web::test]
async fn daemons_that_rely_on_the_change_feed_follow_into_a_new_era() {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let store = store_with(&[&one]).await;
    store.save();
    for number in 0..300 {
        store.put(&format!("op/note-{number}"), b"{}");
    }
    let zone = Zone::start(27, store).await;
    zone.store.restore();
    tokio::time::sleep(Duration::from_millis(300)).await;
    zone.store
        .put("servers/i-2", other.entry("app", "ready").as_bytes());
    zone.store.remove("servers/i-1");
    zone.store
        .put("op/config", config(9, &ROUTES, 0).as_bytes());
    tokio::time::sleep(LEAVE_TIME).await;
    let before = one.seen().len();
    let last = &zone.daemons[zone.daemons.len() - 1].1;
    assert_eq!(
        send_requests(last.callers(), Duration::from_secs(1)).await,
        Vec::<u16>::new()
    );
    assert_eq!(one.seen().len(), before, "requests to the removed endpoint");
}

/// The copy is older than the removal of an endpoint and lists it as ready until the removal is
/// written again. The endpoint must get no requests meanwhile.
#[actix_web::test]
async fn an_older_copy_brings_no_removed_endpoint_back() {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let store = store_with(&[&one, &other]).await;
    let site = Site::without_duties_on(store).await;
    site.store.save();
    site.store.remove("servers/i-1");
    tokio::time::sleep(LEAVE_TIME).await;
    let before = one.seen().len();
    site.store.restore();
    assert_eq!(
        send_requests(site.address(), LEAVE_TIME).await,
        Vec::<u16>::new()
    );
    assert_eq!(one.seen().len(), before, "requests to the removed endpoint");
}

/// The record of a quarantined request, one that crashes endpoints, is lost with the restore. It
/// must be saved again, so that daemons that start later know it.
#[actix_web::test]
async fn quarantined_requests_are_saved_again_after_a_restore() {
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
    let saved = || site.store.keys("poplarvale/crashes/").len();
    for number in 0..3 {
        let text = request("GET", "/stream/fatal", &format!("r{number}"), "");
        // The endpoint crashes during the request.
        let _broken = ask(site.address(), &text).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    until(SOON, async || saved() == 1).await;
    site.store.restore();
    assert_eq!(saved(), 0);
    until(SOON, async || saved() == 1).await;
}
