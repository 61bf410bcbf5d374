//! Several daemons of one zone, of which a few watch the store and send the others a feed of the
//! changes.

use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use poplarvale_standin::{Endpoint, Fault, Proxy, ask, config, plain, request};
use poplarvaled::Relay;

use crate::relay_site::{DAEMONS, ROUTES, Zone, free_port, store_with, until};

/// Daemons of a zone that watch the store.
const WATCHERS: usize = 2;
/// How long after its entry was removed an endpoint may still get requests.
const LEAVE_TIME: Duration = Duration::from_secs(2);
/// Time between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);

impl Zone {
    /// The daemon on the highest address; it is no watcher.
    fn last(&self) -> &(Proxy, Relay) {
        &self.daemons[self.daemons.len() - 1]
    }

    /// Sends requests to the last daemon for a while; returns the statuses other than 200.
    async fn send_requests(&self, span: Duration) -> Vec<u16> {
        let end = Instant::now() + span;
        let mut bad = Vec::new();
        while Instant::now() < end {
            let text = request("GET", "/safe/a", "r1", "");
            let answer = ask(self.last().1.callers(), &text).await;
            let status = answer.map_or(0, |answer| answer.status);
            if status != 200 {
                bad.push(status);
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
        bad
    }

    /// Registers the new endpoint as `i-2` and removes the old one.
    fn replace(&self, old: &str, new: &Endpoint) {
        let entry = new.entry("app", "ready");
        self.store.put("servers/i-2", entry.as_bytes());
        self.store.remove(&format!("servers/{old}"));
    }
}

async fn endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, |seen| vec![plain(seen, 200, "done")]).await
}

/// If each of hundreds of daemons watched the store, that would be most of all calls to it, which
/// are paid for, and each daemon would read every heartbeat of every endpoint. Daemons that get the
/// change feed must make no calls.
#[actix_web::test]
async fn daemons_that_get_the_change_feed_make_no_store_calls() {
    /// Seconds for which calls are counted.
    const SPAN_S: u32 = 4;
    /// Calls per second of a daemon that watches a store without changes: a watch is held for a
    /// second and followed by a pause.
    const CALL_RATE: f64 = 1.0;
    let one = endpoint("i-1").await;
    let zone = Zone::start(11, store_with(&[&one]).await).await;
    let before = zone.store.calls();
    tokio::time::sleep(Duration::from_secs(SPAN_S.into())).await;
    let calls = f64::from(zone.store.calls() - before) / f64::from(SPAN_S);
    assert!(
        calls <= WATCHERS as f64 * CALL_RATE,
        "{calls} calls per second"
    );
    assert!(calls > 0.0, "no daemon watches the store");
}

/// All daemons start at once, as after a power loss, and no daemon holds the duties. If each of
/// them tried to take the duties until it knew the holder, the store would get several times the
/// calls that the start needs.
#[actix_web::test]
async fn daemons_that_start_together_do_not_all_claim_the_duties() {
    /// Calls of a daemon that reads everything and starts to watch.
    const START_CALLS: u32 = 5;
    /// Calls of the daemon that takes the duties, within a second.
    const HOLDER_CALLS: u32 = 12;
    let one = endpoint("i-1").await;
    let zone = Zone::start_with(15, store_with(&[&one]).await, &["usage"]).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = zone.store.calls();
    assert!(
        calls <= u32::from(DAEMONS) * START_CALLS + HOLDER_CALLS,
        "{calls} calls"
    );
    assert!(zone.store.get("poplarvale/leader").is_some());
}

/// Replaces the only endpoint of a zone right after the daemons with the indexes `partitioned` lost
/// their connection to the store. The last daemon must go on serving and send nothing to the
/// removed endpoint.
async fn replace_after_partition(number: usize, partitioned: Range<usize>, delay: Duration) {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let zone = Zone::start(number, store_with(&[&one]).await).await;
    tokio::time::sleep(delay).await;
    for (proxy, _) in &zone.daemons[partitioned] {
        proxy.set(Fault::Blocked);
    }
    zone.replace("i-1", &other);
    tokio::time::sleep(LEAVE_TIME).await;
    let before = one.seen().len();
    let bad = zone.send_requests(Duration::from_secs(1)).await;
    assert_eq!(bad, Vec::<u16>::new());
    assert_eq!(one.seen().len(), before, "requests to the removed endpoint");
}

/// A daemon is partitioned from the store, and an endpoint is replaced. It must use the change feed
/// of its zone: otherwise it fails callers though a new endpoint is ready, or sends requests to the
/// removed one.
#[actix_web::test]
async fn a_daemon_partitioned_from_the_store_uses_the_change_feed() {
    let last = usize::from(DAEMONS) - 1;
    replace_after_partition(12, last..last + 1, Duration::ZERO).await;
}

/// Both watchers of a zone are partitioned from the store at once, and an endpoint is replaced
/// right then. The other daemons must notice that the change feed stopped and read the store
/// themselves, whatever the watchers were doing.
#[actix_web::test]
async fn the_loss_of_all_watchers_is_noticed_in_time() {
    let zones = (0..6).map(|step| {
        let delay = Duration::from_millis(250) * step;
        replace_after_partition(40 + step as usize, 0..WATCHERS, delay)
    });
    futures::future::join_all(zones).await;
}

/// Operators change the configuration, which is not part of the change feed: the daemons get it from
/// their watchers. It must be in force within the two seconds that operators rely on.
#[actix_web::test]
async fn a_new_configuration_reaches_daemons_that_get_the_change_feed() {
    let one = endpoint("i-1").await;
    let zone = Zone::start(14, store_with(&[&one]).await).await;
    zone.store
        .put("op/config", config(9, &ROUTES[1..], 0).as_bytes());
    tokio::time::sleep(LEAVE_TIME).await;
    let bad = zone.send_requests(Duration::from_millis(200)).await;
    assert!(
        !bad.is_empty() && bad.iter().all(|status| *status == 404),
        "{bad:?}"
    );
}

/// The first configuration is written while the daemons start. Some have read the operators' keys
/// before, and the watchers read them anew with the registry: the others must learn from them that
/// there is a configuration now, or they are not ready until the next one.
#[actix_web::test]
async fn a_configuration_written_during_the_start_reaches_all_daemons() {
    let zones = [0, 200, 400, 600].map(|delay_ms| async move {
        let one = endpoint("i-1").await;
        let store = store_with(&[&one]).await;
        store.remove("op/config");
        let store = Rc::new(store);
        let writer = Rc::clone(&store);
        let write = async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            writer.put("op/config", config(1, &ROUTES, 0).as_bytes());
        };
        // Returns as soon as all daemons are ready.
        let number = 30 + delay_ms as usize / 200;
        let start = Zone::start_at(number, free_port(number), store.address, &[]);
        futures::join!(start, write);
    });
    futures::future::join_all(zones).await;
}

/// The duty holder stops being a watcher and keeps the duties, though it no longer learns what
/// callers request of the other daemons: it orders endpoints for a small part of them.
#[actix_web::test]
async fn a_duty_holder_that_is_no_watcher_gives_up_the_duties() {
    /// Time for the other daemons to become watchers and acquire the duties, and for them to return
    /// the duties.
    const HANDOVER_TIME: Duration = Duration::from_secs(12);
    let number = 16;
    let store = store_with(&[]).await;
    let zone = Zone::start_with(number, store, &["usage"]).await;
    let names: Vec<String> = (1..=DAEMONS)
        .map(|host| format!("front-127.0.{number}.{host}"))
        .collect();
    let (watchers, others) = names.split_at(WATCHERS);
    until(HANDOVER_TIME, async || holder_is_of(&zone, watchers)).await;
    for (proxy, _) in &zone.daemons[..WATCHERS] {
        proxy.set(Fault::Blocked);
    }
    until(HANDOVER_TIME, async || holder_is_of(&zone, others)).await;
    for (proxy, _) in &zone.daemons[..WATCHERS] {
        proxy.set(Fault::None);
    }
    until(HANDOVER_TIME, async || holder_is_of(&zone, watchers)).await;
}

/// Whether one of these daemons holds the duties, as the store tells.
fn holder_is_of(zone: &Zone, names: &[String]) -> bool {
    let value = zone.store.get("poplarvale/leader").unwrap_or_default();
    let value = String::from_utf8_lossy(&value).into_owned();
    let holder = value.split(' ').next().unwrap_or_default();
    names.iter().any(|name| name == holder)
}
