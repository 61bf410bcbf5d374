//! Several daemons of one zone, of which a few follow the store for all.

use std::ops::Range;
use std::time::{Duration, Instant};

use poplarvale_standin::{Endpoint, Fault, Proxy, ask, config, plain, request};
use poplarvaled::Relay;

use crate::relay_site::{DAEMONS, ROUTES, Zone, store_with};

const WATCHERS: usize = 2;
/// How long after the store's word an endpoint that left may still get requests.
const LEAVING: Duration = Duration::from_secs(2);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(10);

impl Zone {
    fn last(&self) -> &(Proxy, Relay) {
        &self.daemons[self.daemons.len() - 1]
    }

    /// Asks the last daemon for a while; gives the statuses other than 200.
    async fn ask_last(&self, span: Duration) -> Vec<u16> {
        let end = Instant::now() + span;
        let mut bad = Vec::new();
        while Instant::now() < end {
            let text = request("GET", "/safe/a", "r1", "");
            let answer = ask(self.last().1.callers(), &text).await;
            let status = answer.map_or(0, |answer| answer.status);
            if status != 200 {
                bad.push(status);
            }
            tokio::time::sleep(PAUSE).await;
        }
        bad
    }

    /// Puts one endpoint in place of another.
    fn replace(&self, old: &str, new: &Endpoint) {
        let entry = new.entry("app", "ready");
        self.store.put("servers/i-2", entry.as_bytes());
        self.store.remove(&format!("servers/{old}"));
    }
}

async fn endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, |seen| vec![plain(seen, 200, "done")]).await
}

/// Hundreds of daemons that each follow the store make most of all calls to it, which are
/// paid for, and each reads every beat of every endpoint. Those that are told make none.
#[actix_web::test]
async fn daemons_that_are_told_make_no_calls() {
    const SPAN: u32 = 4;
    /// Calls a second of a daemon that follows a store without news: a watch is held for
    /// a second and followed by a pause.
    const EACH: f64 = 1.0;
    let one = endpoint("i-1").await;
    let zone = Zone::start(11, store_with(&[&one]).await).await;
    let before = zone.store.calls();
    tokio::time::sleep(Duration::from_secs(SPAN.into())).await;
    let calls = f64::from(zone.store.calls() - before) / f64::from(SPAN);
    assert!(calls <= WATCHERS as f64 * EACH, "{calls} calls a second");
    assert!(calls > 0.0, "nobody follows the store");
}

/// All daemons start at once, as after a loss of power, and nobody holds the duties. If
/// each of them tried to take them up until it knew who has them, the store would get
/// several times the calls that the start needs.
#[actix_web::test]
async fn daemons_that_start_together_do_not_all_claim_the_duties() {
    /// Calls of a daemon that reads everything and begins to follow.
    const START: u32 = 5;
    /// Calls of the one that takes the duties up, within a second.
    const HOLDER: u32 = 12;
    let one = endpoint("i-1").await;
    let zone = Zone::start_with(15, store_with(&[&one]).await, &["usage"]).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = zone.store.calls();
    assert!(
        calls <= u32::from(DAEMONS) * START + HOLDER,
        "{calls} calls"
    );
    assert!(zone.store.get("poplarvale/leader").is_some());
}

/// Replaces the only endpoint of a zone right after the daemons at `cut` lost their way to
/// the store; the last daemon must serve on and send nothing to the endpoint that left.
async fn replace_after_cut(number: usize, cut: Range<usize>) {
    let (one, other) = (endpoint("i-1").await, endpoint("i-2").await);
    let zone = Zone::start(number, store_with(&[&one]).await).await;
    for (proxy, _) in &zone.daemons[cut] {
        proxy.set(Fault::Silent);
    }
    zone.replace("i-1", &other);
    tokio::time::sleep(LEAVING).await;
    let before = one.seen().len();
    let bad = zone.ask_last(Duration::from_secs(1)).await;
    assert_eq!(bad, Vec::<u16>::new());
    assert_eq!(one.seen().len(), before, "requests to what has left");
}

/// A daemon has lost its way to the store, and an endpoint is replaced. It must not fail
/// callers for want of what its neighbours know, nor send to what has left.
#[actix_web::test]
async fn a_daemon_without_the_store_goes_by_what_it_is_told() {
    let last = usize::from(DAEMONS) - 1;
    replace_after_cut(12, last..last + 1).await;
}

/// Both watchers of a zone lose their way to the store at once, and endpoints are replaced
/// right then. The others notice that they are told nothing new and look for themselves.
#[actix_web::test]
async fn the_loss_of_all_watchers_is_noticed_in_time() {
    replace_after_cut(13, 0..WATCHERS).await;
}

/// The operators change the configuration, which is not told but read by everybody. It
/// must be in force within the two seconds that operators count on.
#[actix_web::test]
async fn a_new_configuration_reaches_those_that_are_told() {
    let one = endpoint("i-1").await;
    let zone = Zone::start(14, store_with(&[&one]).await).await;
    zone.store
        .put("op/config", config(9, &ROUTES[1..], 0).as_bytes());
    tokio::time::sleep(LEAVING).await;
    let bad = zone.ask_last(Duration::from_millis(200)).await;
    assert!(
        !bad.is_empty() && bad.iter().all(|status| *status == 404),
        "{bad:?}"
    );
}
