//! Version moves that operators order through the platform's store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{Endpoint, SeenRequest, Step, ask, plain, request};

use crate::relay_site::{DAEMONS, Site, Zone, store_with, until};

/// Store key of the order for a version move.
const ORDER: &str = "op/rollout/app";
/// Store key of the state of the version move.
const STATUS: &str = "status/rollout/app";

/// Registry entry of an endpoint that runs a version.
fn entry(endpoint: &Endpoint, version: &str) -> String {
    let entry = endpoint.entry("app", "ready");
    entry.replace("\"v1\"", &format!("\"{version}\""))
}

/// Endpoints of each version, in tests with several.
const ENDPOINTS: usize = 4;
/// Share of the requests that all endpoints fail during an outage, and the new version's own.
const OUTAGE_SHARE: f64 = 0.4;
const OWN_SHARE: f64 = 0.5;
/// Duration of a move, and of the outage at its begin.
const MOVE_TIME: Duration = Duration::from_secs(14);
const OUTAGE_TIME: Duration = Duration::from_secs(6);
/// Time in which no daemon sends requests to a bad version any more, after its fiftieth failure.
const ROLL_BACK_TIME: Duration = Duration::from_secs(5);

/// Daemons with endpoints of two versions, all of which fail requests during an outage.
struct Outage {
    zone: Zone,
    olds: Vec<Endpoint>,
    news: Vec<Endpoint>,
    /// Whether the outage is on.
    is_on: Rc<Cell<bool>>,
}

impl Outage {
    /// Starts daemons in a zone of this number; the new version fails a share of its requests.
    async fn start(number: usize, own_share: f64) -> Self {
        let is_on = Rc::new(Cell::new(true));
        let start = |name: &'static str, share: f64| {
            let endpoints = (0..ENDPOINTS).map(|number| {
                let is_on = Rc::clone(&is_on);
                let script = move |seen: &SeenRequest| -> Vec<Step> {
                    let fails_anyway = is_on.get() && fastrand::f64() < OUTAGE_SHARE;
                    let fails = fails_anyway || fastrand::f64() < share;
                    vec![plain(seen, if fails { 500 } else { 200 }, name)]
                };
                let id = format!("i-{name}-{number}");
                async move { Endpoint::start(&id, script).await }
            });
            join_all(endpoints)
        };
        let (olds, news) = (start("old", 0.0).await, start("new", own_share).await);
        let all: Vec<&Endpoint> = olds.iter().collect();
        let store = store_with(&all).await;
        for endpoint in &news {
            let key = format!("servers/{}", endpoint.id);
            store.put(&key, entry(endpoint, "v2").as_bytes());
        }
        let zone = Zone::start_with(number, store, &["usage"]).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        Self {
            zone,
            olds,
            news,
            is_on,
        }
    }

    /// Orders the move and sends a request through each daemon in turn. Returns the requests that
    /// reached the new version later than it may still get any.
    async fn run(&self) -> usize {
        let seconds = MOVE_TIME.as_secs();
        let order = format!(r#"{{"service":"app","target":"v2","durationS":{seconds}}}"#);
        self.zone.store.put(ORDER, order.as_bytes());
        let ordered = Instant::now();
        let (mut bad, mut late, mut sent) = (0, 0, 0);
        let mut limit = None;
        while ordered.elapsed() < MOVE_TIME {
            self.is_on.set(ordered.elapsed() < OUTAGE_TIME);
            let (_, relay) = &self.zone.daemons[sent % usize::from(DAEMONS)];
            let before = self.moved();
            let text = request("POST", "/once/a", &format!("r{sent}"), "");
            let answer = ask(relay.callers(), &text).await.expect("a response");
            let moved = self.moved() - before;
            bad += usize::from(moved > 0 && answer.status == 500);
            if bad == 50 && limit.is_none() {
                limit = Some(Instant::now() + ROLL_BACK_TIME);
            }
            if limit.is_some_and(|limit| Instant::now() > limit) {
                late += moved;
            }
            sent += 1;
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
        late
    }

    /// Requests that the new version got.
    fn moved(&self) -> usize {
        self.news.iter().map(|endpoint| endpoint.seen().len()).sum()
    }

    fn state(&self) -> String {
        let status = self.zone.store.get(STATUS).unwrap_or_default();
        String::from_utf8_lossy(&status).into_owned()
    }
}

/// State of the version move as operators read it.
fn state(site: &Site) -> String {
    let status = site.store.get(STATUS).unwrap_or_default();
    String::from_utf8_lossy(&status).into_owned()
}

/// Registers an endpoint of a new version and orders a move to it, then sends requests for as long
/// as the move may last. Returns how many were sent.
async fn run_move(site: &Site, new: &Endpoint, seconds: u64) -> usize {
    site.store.put("servers/i-2", entry(new, "v2").as_bytes());
    let order = format!(r#"{{"service":"app","target":"v2","durationS":{seconds}}}"#);
    site.store.put(ORDER, order.as_bytes());
    let ordered = Instant::now();
    let mut sent = 0;
    while ordered.elapsed() < Duration::from_secs(seconds) {
        let text = request("GET", "/safe/a", &format!("r{sent}"), "");
        let answer = ask(site.address(), &text).await;
        assert!(answer.expect("a response").status < 600);
        sent += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    sent
}

/// A version that serves as well as the old one must receive all requests before the ordered
/// duration ends, and operators must read that the move is completed.
#[actix_web::test]
async fn a_move_to_a_good_version_completes_and_is_reported() {
    let old = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "old")]).await;
    let new = Endpoint::start("i-2", |seen| vec![plain(seen, 200, "new")]).await;
    let site = Site::start(&[&old]).await;
    run_move(&site, &new, 5).await;
    until(Duration::from_secs(2), async || {
        state(&site).contains("completed")
    })
    .await;
    let before = old.seen().len();
    for number in 0..10 {
        let text = request("GET", "/safe/a", &format!("late{number}"), "");
        ask(site.address(), &text).await.expect("a response");
    }
    assert_eq!(old.seen().len(), before);
}

/// A new version fails every request. It may receive only a few, callers get responses of the old
/// version, and operators read that the move was rolled back.
#[actix_web::test]
async fn a_move_to_a_failing_version_is_rolled_back_and_reported() {
    let old = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "old")]).await;
    let new = Endpoint::start("i-2", |seen| vec![plain(seen, 500, "broken")]).await;
    let site = Site::start(&[&old]).await;
    let sent = run_move(&site, &new, 5).await;
    until(Duration::from_secs(2), async || {
        state(&site).contains("rolled_back")
    })
    .await;
    assert!(
        new.seen().len() <= sent / 10,
        "the failing version received {} of {sent} requests",
        new.seen().len()
    );
    let before = new.seen().len();
    for number in 0..10 {
        let text = request("GET", "/safe/a", &format!("late{number}"), "");
        ask(site.address(), &text).await.expect("a response");
    }
    assert_eq!(new.seen().len(), before);
}

/// Another writer puts invalid orders and states into the store. They must be ignored, and requests
/// are served as before.
#[actix_web::test]
async fn invalid_orders_and_states_are_ignored() {
    let old = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "old")]).await;
    let site = Site::start(&[&old]).await;
    for row in [
        "{}",
        "\u{1}",
        r#"{"service":"app","target":"v2","durationS":-1}"#,
    ] {
        site.store.put(ORDER, row.as_bytes());
    }
    site.store
        .put(STATUS, br#"{"state":"asleep","target":"v2"}"#);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    let answer = ask(site.address(), &request("GET", "/safe/a", "r1", "")).await;
    assert_eq!(answer.expect("a response").status, 200);
}

/// Endpoints of both versions fail as many requests as a bad version does by itself. That must not
/// hide the version for the rest of the move.
#[actix_web::test]
async fn a_failing_version_is_rolled_back_beside_an_outage() {
    let site = Outage::start(61, OWN_SHARE).await;
    let late = site.run().await;
    assert!(site.state().contains("rolled_back"), "{}", site.state());
    assert_eq!(late, 0, "requests after the roll-back was due");
    let olds: usize = site.olds.iter().map(|row| row.seen().len()).sum();
    let most = (olds + site.moved()) / 10 + 50;
    assert!(site.moved() <= most, "{} of at most {most}", site.moved());
}

/// An outage of both versions must not get a good one rolled back.
#[actix_web::test]
async fn a_good_version_is_not_rolled_back_for_an_outage() {
    let site = Outage::start(62, 0.0).await;
    site.run().await;
    until(Duration::from_secs(5), async || {
        site.state().contains("completed")
    })
    .await;
}
