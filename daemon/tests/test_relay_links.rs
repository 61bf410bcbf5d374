//! Daemons whose links to endpoints fail in one way or another, while the other daemons are served by
//! the same endpoints.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use poplarvale_standin::{
    Endpoint, Proxy, SeenRequest, Step, Store, announcing, ask, plain, request,
};
use poplarvaled::Relay;
use serde_json::{Value, json};

use crate::relay_site::{free_port, start_daemon_with, store_with};
use crate::test_relay_cut_off::{CONTACT_TIME, MIN_SHARE, WINDOW, respond, send_all, served_share};

const ENDPOINTS: usize = 4;
/// Smallest share of requests that are answered at the daemon whose links do not fail.
const MIN_OTHER: f64 = 0.9;
/// Time after which a daemon reads its registry itself, and in which it reads a change.
const START_TIME: Duration = Duration::from_secs(2);
const READ_TIME: Duration = Duration::from_secs(3);
/// Time that a daemon has to use links again that do not fail any more.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// How a link fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Symptom {
    /// It does not.
    None,
    /// Connections are refused.
    Refused,
    /// Connections are reset after a request was sent.
    Reset,
    /// Nothing is received.
    Silent,
    /// Each request is answered with an error.
    Error,
    /// What is received is no answer.
    Garbage,
}

const SYMPTOMS: [Symptom; 5] = [
    Symptom::Refused,
    Symptom::Reset,
    Symptom::Silent,
    Symptom::Error,
    Symptom::Garbage,
];

/// The link of a daemon to an endpoint. The endpoint at its end shares the id with the one that the
/// other daemons are served by.
struct Link {
    symptom: Rc<Cell<Symptom>>,
    endpoint: Endpoint,
    proxy: Proxy,
}

impl Link {
    async fn start(id: &str) -> Self {
        let symptom = Rc::new(Cell::new(Symptom::None));
        let current = Rc::clone(&symptom);
        let endpoint = Endpoint::start(id, move |seen| answer(seen, current.get())).await;
        let proxy = Proxy::start(endpoint.address).await;
        Self {
            symptom,
            endpoint,
            proxy,
        }
    }

    fn set(&self, symptom: Symptom) {
        self.symptom.set(symptom);
        self.proxy.set_refusing(symptom == Symptom::Refused);
    }

    /// Adds its end to the registry that the daemon reads.
    fn register(&self, store: &Store) {
        let entry = self.endpoint.entry("app", "ready");
        let (own, proxy) = (self.endpoint.address, self.proxy.address);
        let entry = entry.replace(&own.to_string(), &proxy.to_string());
        store.put(&format!("servers/{}", self.endpoint.id), entry.as_bytes());
    }
}

fn answer(seen: &SeenRequest, symptom: Symptom) -> Vec<Step> {
    match symptom {
        Symptom::None => respond(seen),
        Symptom::Refused | Symptom::Reset => vec![Step::Reset],
        Symptom::Silent => vec![Step::Wait(Duration::from_mins(1))],
        Symptom::Error => vec![plain(seen, 500, "failed")],
        Symptom::Garbage => vec![Step::Send("\u{1}no answer\r\n\r\n".into())],
    }
}

/// Two daemons: one has links of its own to the endpoints, the other one reaches them directly.
struct Pair {
    endpoints: Vec<Endpoint>,
    links: Vec<Link>,
    /// Registries of the daemon with links and of the other one.
    stores: [Store; 2],
    linked: Relay,
    other: Relay,
}

/// Shares of the requests that were answered at the first attempt.
#[derive(Debug)]
struct Shares {
    linked: f64,
    other: f64,
    /// At the daemon with links after the end of the fault.
    after: f64,
}

impl Shares {
    /// Whether callers are answered as elsewhere, where nothing fails, and again at the end of the fault.
    fn are_good(&self) -> bool {
        self.other >= MIN_OTHER && self.linked >= self.other * MIN_SHARE && self.after >= MIN_SHARE
    }

    fn check(&self) {
        assert!(self.are_good(), "{self:?}");
    }
}

impl Pair {
    /// Starts both daemons at addresses `127.0.NUMBER.1` and `.2`.
    async fn start(number: usize) -> Self {
        Self::start_with(number, respond, |_| {}).await
    }

    /// Starts both daemons with changed settings, the other one at endpoints that respond like this.
    async fn start_with(
        number: usize,
        script: impl Fn(&SeenRequest) -> Vec<Step> + Copy + 'static,
        change: impl Fn(&mut Value),
    ) -> Self {
        let ids = (0..ENDPOINTS).map(|id| format!("i-{id}"));
        let ids: Vec<String> = ids.collect();
        let endpoints = join_all(ids.iter().map(|id| Endpoint::start(id, script))).await;
        let links = join_all(ids.iter().map(|id| Link::start(id))).await;
        let refs: Vec<&Endpoint> = endpoints.iter().collect();
        let stores = [store_with(&[]).await, store_with(&refs).await];
        let port = free_port(number);
        let (linked, other) = tokio::join!(
            start_daemon_with(number, 1, port, stores[0].address, &change),
            start_daemon_with(number, 2, port, stores[1].address, &change),
        );
        let pair = Self {
            endpoints,
            links,
            stores,
            linked,
            other,
        };
        // A daemon that starts may take the registry of the other one. Later each reads its own.
        tokio::time::sleep(START_TIME).await;
        for (link, endpoint) in pair.links.iter().zip(&pair.endpoints) {
            link.register(&pair.stores[0]);
            let entry = endpoint.entry("app", "ready");
            let key = format!("servers/{}", endpoint.id);
            pair.stores[1].put(&key, entry.as_bytes());
        }
        tokio::time::sleep(READ_TIME).await;
        pair
    }

    fn fail(&self, links: usize, symptom: Symptom) {
        for link in &self.links[..links] {
            link.set(symptom);
        }
    }

    /// Has the first so many links fail, and measures who is answered from a while later on and after
    /// the end of the fault. `meanwhile` is done when the fault has begun.
    async fn shares(
        &self,
        links: usize,
        symptom: Symptom,
        meanwhile: impl AsyncFnOnce(),
    ) -> Shares {
        let second = Duration::from_secs(1);
        tokio::join!(
            send_all(&self.linked, "before", second),
            send_all(&self.other, "before-other", second),
        );
        self.fail(links, symptom);
        let early = async || {
            tokio::join!(
                send_all(&self.linked, "early", CONTACT_TIME),
                send_all(&self.other, "early-other", CONTACT_TIME),
            )
        };
        tokio::join!(early(), meanwhile());
        let (linked, other) = tokio::join!(
            send_all(&self.linked, "linked", WINDOW),
            send_all(&self.other, "other", WINDOW),
        );
        self.fail(links, Symptom::None);
        tokio::time::sleep(RETURN_TIME).await;
        let after = send_all(&self.linked, "after", second).await;
        Shares {
            linked: served_share(&linked),
            other: served_share(&other),
            after: served_share(&after),
        }
    }
}

/// Measures each symptom with so many failing links, on addresses from `number` on, and checks the
/// shares.
async fn check_symptoms(number: usize, links: usize) {
    let shares = SYMPTOMS
        .iter()
        .zip(number..)
        .map(|(symptom, number)| async move {
            let pair = Pair::start(number).await;
            (symptom, pair.shares(links, *symptom, async || {}).await)
        });
    let shares = join_all(shares).await;
    println!("{links} of {ENDPOINTS} links: {shares:?}");
    assert!(shares.iter().all(|row| row.1.are_good()), "{shares:?}");
}

/// Guards against a daemon that takes the failure of its own links for one of the endpoints, and
/// rejects its callers though the other daemons are served.
#[actix_web::test]
async fn callers_of_a_daemon_whose_links_all_fail_are_answered_as_elsewhere() {
    check_symptoms(140, ENDPOINTS).await;
}

/// Guards against a daemon that goes on offering requests to all endpoints because one link works.
#[actix_web::test]
async fn callers_of_a_daemon_most_of_whose_links_fail_are_answered_as_elsewhere() {
    check_symptoms(145, ENDPOINTS - 1).await;
}

/// Guards against a daemon that needs retries to have requests answered elsewhere.
#[actix_web::test]
async fn callers_of_a_daemon_whose_links_fail_are_answered_without_retries() {
    let pair = Pair::start_with(150, respond, |file| {
        file["bounds"]["retryBudgetRatio"] = json!(0.0);
        file["bounds"]["retrySlack"] = json!(0);
    });
    let pair = pair.await;
    let shares = pair.shares(ENDPOINTS, Symptom::Reset, async || {}).await;
    shares.check();
}

/// Guards against a daemon that takes endpoints which crash behind failing links for proof that
/// all daemons fare alike.
#[actix_web::test]
async fn callers_of_a_daemon_whose_links_fail_are_answered_beside_crashes() {
    let pair = Pair::start(151).await;
    let crash = async || {
        tokio::time::sleep(Duration::from_millis(500)).await;
        pair.endpoints[0].crash();
        pair.links[0].endpoint.crash();
    };
    let shares = pair.shares(ENDPOINTS, Symptom::Reset, crash).await;
    shares.check();
}

/// Guards against a daemon that does not use endpoints which join while its links to the others
/// fail, and against one that takes them for proof that it reaches the others.
#[actix_web::test]
async fn endpoints_that_join_behind_working_links_are_used() {
    let pair = Pair::start(152).await;
    let joined = Endpoint::start("i-joined", respond).await;
    let link = Link::start("i-joined").await;
    let join = async || {
        tokio::time::sleep(Duration::from_millis(500)).await;
        link.register(&pair.stores[0]);
        pair.stores[1].put("servers/i-joined", joined.entry("app", "ready").as_bytes());
    };
    let shares = pair.shares(ENDPOINTS, Symptom::Refused, join).await;
    shares.check();
    let seen = link.endpoint.seen();
    let used = seen.iter().any(|seen| seen.id().starts_with("linked-"));
    assert!(used, "the daemon uses it");
}

/// Guards against forwarding that exceeds the rate limits of endpoints, or ignores them.
#[actix_web::test]
async fn callers_of_a_daemon_whose_links_fail_are_answered_within_limits() {
    let limited = |seen: &SeenRequest| match seen.target().as_str() {
        "/safe/a" => vec![announcing(seen, "Server-Limit: 20\r\n", "done")],
        _ => respond(seen),
    };
    let pair = Pair::start_with(153, limited, |_| {}).await;
    let shares = pair.shares(ENDPOINTS, Symptom::Error, async || {}).await;
    shares.check();
}

/// Guards against a request that runs at an endpoint behind a failing link, and then as often as its
/// route allows at those of the daemon that it is forwarded to.
#[actix_web::test]
async fn forwarded_requests_run_no_more_often_than_their_route_allows() {
    /// Runs that the route allows.
    const MOST_RUNS: usize = 2;
    let failing = |seen: &SeenRequest| match seen.target().as_str() {
        "/safe/failing" => vec![plain(seen, 500, "failed")],
        _ => respond(seen),
    };
    let pair = Pair::start_with(154, failing, |_| {}).await;
    send_all(&pair.other, "before", Duration::from_secs(1)).await;
    pair.fail(ENDPOINTS, Symptom::Error);
    let send_failing = async || {
        for number in 0..60 {
            let text = request("GET", "/safe/failing", &format!("failing-{number}"), "");
            let answer = ask(pair.linked.callers(), &text).await;
            assert!(answer.is_ok());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let time = Duration::from_secs(6);
    tokio::join!(
        send_failing(),
        send_all(&pair.linked, "linked", time),
        send_all(&pair.other, "other", time),
    );
    let links = pair.links.iter().map(|link| &link.endpoint);
    let seen = links.chain(&pair.endpoints).flat_map(Endpoint::seen);
    let mut ids: Vec<String> = seen.map(|seen| seen.id()).collect();
    ids.sort_unstable();
    let most = ids
        .chunk_by(|one, other| one == other)
        .max_by_key(|runs| runs.len());
    let most = most.expect("requests ran");
    assert!(
        most.len() <= MOST_RUNS,
        "{} ran {} times",
        most[0],
        most.len()
    );
}
