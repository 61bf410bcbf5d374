//! Requests that another daemon serves: by whose configuration, and how often they run.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use poplarvale_standin::{
    Answer, Caller, Cloud, Endpoint, Fault, Proxy, SeenRequest, Step, Store, ask, config, plain,
    request, settings, with_routes,
};
use serde_json::{Value, json};
use testutils::folder::Folder;

use crate::relay_site::{ROUTES, free_port, is_ready, start_daemon, store_with, until};
use crate::soak::{Daemon, daemon, free_ports};

/// Time until daemons know each other, or that one does not reach the endpoints.
const SETTLING: Duration = Duration::from_secs(1);
/// Time until a running daemon has a configuration in force.
const APPLY_TIME: Duration = Duration::from_millis(500);
/// Time until a process that gets SIGSTOP stands still.
const STOP_TIME: Duration = Duration::from_millis(50);
const SOON: Duration = Duration::from_secs(5);
/// Requests of each kind that arrive while a daemon is behind.
const REPEATS: usize = 8;
/// Further routes of a configuration.
const ROUTE_COUNT: u32 = 4300;
/// Path of requests whose endpoints are silent.
const SILENT: &str = "/safe/silent";

fn respond(seen: &SeenRequest) -> Vec<Step> {
    if seen.target() == SILENT {
        return vec![Step::Wait(Duration::from_mins(1))];
    }
    vec![plain(seen, 200, "done")]
}

/// A store whose entries lead through proxies, and those proxies.
async fn proxied_store(endpoints: &[&Endpoint]) -> (Store, Vec<Proxy>) {
    let store = store_with(endpoints).await;
    let proxies = join_all(endpoints.iter().map(|row| Proxy::start(row.address))).await;
    for (endpoint, proxy) in endpoints.iter().zip(&proxies) {
        let entry = endpoint.entry("app", "ready");
        let entry = entry.replace(&endpoint.address.to_string(), &proxy.address.to_string());
        store.put(&format!("servers/{}", endpoint.id), entry.as_bytes());
    }
    (store, proxies)
}

fn cut(proxies: &[Proxy]) {
    for proxy in proxies {
        proxy.set(Fault::Reset);
        proxy.set_refusing(true);
    }
}

/// Sends requests to a daemon until it forwards them.
async fn until_forwarding(daemon: SocketAddr) {
    tokio::time::sleep(SETTLING).await;
    until(SOON, async || {
        let answer = ask(daemon, &request("GET", "/safe/a", "early", "")).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

/// Configuration 2: one route and one key are new, and one route leads to another service. Many further
/// routes make a daemon take a while to get it.
fn second_config() -> String {
    let text = config(2, &ROUTES, 0);
    let mut config: Value = serde_json::from_str(&text).expect("the configuration is JSON");
    let mut added = config["routes"][0].clone();
    added["name"] = json!("/new/");
    added["pathPrefix"] = json!("/new/");
    let routes = config["routes"].as_array_mut().expect("the routes");
    routes.push(added);
    routes[1]["service"] = json!("other");
    let mut service = config["services"][0].clone();
    service["name"] = json!("other");
    let services = config["services"].as_array_mut().expect("the services");
    services.push(service);
    config["tenants"][0]["apiKeys"] = json!(["k1", "k2"]);
    with_routes(&config.to_string(), ROUTE_COUNT)
}

/// Two daemons, each a process with a store of its own. The first does not reach the endpoints.
struct Pair {
    stores: [Store; 2],
    daemons: [Daemon; 2],
    endpoints: [Endpoint; 2],
    _cloud: Cloud,
    _folder: Folder,
}

impl Pair {
    async fn start() -> Self {
        let folder = Folder::new();
        let endpoints = [
            Endpoint::start("i-1", respond).await,
            Endpoint::start("i-2", respond).await,
        ];
        let (behind, proxies) = proxied_store(&[&endpoints[0], &endpoints[1]]).await;
        let direct = store_with(&[&endpoints[0]]).await;
        let other = endpoints[1].entry("other", "ready");
        direct.put("servers/i-2", other.as_bytes());
        let other = other.replace(
            &endpoints[1].address.to_string(),
            &proxies[1].address.to_string(),
        );
        behind.put("servers/i-2", other.as_bytes());
        let cloud = Cloud::start().await;
        let ports = free_ports();
        let start = |number: usize, store: &Store| {
            let text = settings(store.address, cloud.address);
            daemon(&folder, number, &text.replace("[\"usage\"]", "[]"), ports)
        };
        let pair = Self {
            daemons: [start(0, &behind), start(1, &direct)],
            stores: [behind, direct],
            endpoints,
            _cloud: cloud,
            _folder: folder,
        };
        for daemon in &pair.daemons {
            until(SOON, async || is_ready(daemon.ready).await).await;
        }
        tokio::time::sleep(SETTLING).await;
        cut(&proxies);
        until_forwarding(pair.daemons[0].callers).await;
        pair
    }

    /// Writes the second configuration while the other daemon is stopped, and sends these requests to the
    /// first one before the other goes on.
    async fn ask_while_the_other_is_behind(&self, requests: &[String]) -> Vec<Answer> {
        self.daemons[1].process.signal("STOP");
        for store in &self.stores {
            store.put("op/config", second_config().as_bytes());
        }
        tokio::time::sleep(APPLY_TIME).await;
        let address = self.daemons[0].callers;
        let answers = join_all(requests.iter().map(|text| ask(address, text)));
        let resume = async {
            tokio::time::sleep(APPLY_TIME).await;
            self.daemons[1].process.signal("CONT");
        };
        let (answers, ()) = futures::join!(answers, resume);
        let answers = answers.into_iter();
        answers.map(|answer| answer.expect("an answer")).collect()
    }
}

/// Guards against a daemon that was stopped, or is cut off from the store, and handles a forwarded request
/// by a configuration older than that of the daemon that got it from its caller.
#[actix_web::test]
async fn a_forwarded_request_is_not_handled_by_an_older_configuration() {
    let pair = Pair::start().await;
    let requests: Vec<String> = (0..REPEATS)
        .flat_map(|number| {
            [
                request("GET", "/new/a", &format!("added-{number}"), ""),
                request("GET", "/safe/a", &format!("key-{number}"), "").replace("k1", "k2"),
                request("POST", "/once/a", &format!("moved-{number}"), ""),
            ]
        })
        .collect();
    let answers = pair.ask_while_the_other_is_behind(&requests).await;
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    let is_rejected = statuses.iter().any(|status| matches!(status, 401 | 404));
    assert!(!is_rejected, "{statuses:?}");
    let seen = pair.endpoints[0].seen();
    let is_former = seen.iter().any(|seen| seen.id().starts_with("moved-"));
    assert!(!is_former, "the former service ran a request of the route");
}

/// Guards against a daemon that goes on after it was stopped and sends requests to endpoints whose callers
/// have left meanwhile.
#[actix_web::test]
async fn a_daemon_that_was_stopped_sends_no_request_whose_caller_has_left() {
    let pair = Pair::start().await;
    let daemon = &pair.daemons[1];
    daemon.process.signal("STOP");
    // A signal takes effect a moment after it was sent.
    tokio::time::sleep(STOP_TIME).await;
    for number in 0..8 {
        let caller = Caller::connect(daemon.callers).await;
        let mut caller = caller.expect("a connection");
        let text = request("POST", "/once/a", &format!("left-{number}"), "");
        caller.send(&text).await.expect("it is sent");
    }
    tokio::time::sleep(APPLY_TIME).await;
    daemon.process.signal("CONT");
    tokio::time::sleep(SETTLING).await;
    let seen = pair.endpoints[0].seen();
    let sent = seen.iter().filter(|seen| seen.id().starts_with("left-"));
    let sent: Vec<String> = sent.map(SeenRequest::id).collect();
    assert!(sent.is_empty(), "{sent:?}");
}

/// Guards against daemons that are asked one after the other and each run the request as often as its
/// route allows.
#[actix_web::test]
async fn a_request_handed_to_two_daemons_runs_no_more_often_than_its_route_allows() {
    let ids = ["i-1", "i-2", "i-3", "i-4"];
    let endpoints = join_all(ids.map(|id| Endpoint::start(id, respond))).await;
    let refs: Vec<&Endpoint> = endpoints.iter().collect();
    let (behind, proxies) = proxied_store(&refs).await;
    let direct = store_with(&refs).await;
    let port = free_port(98);
    let (first, _second, _third) = tokio::join!(
        start_daemon(98, 1, port, behind.address, &[]),
        start_daemon(98, 2, port, direct.address, &[]),
        start_daemon(98, 3, port, direct.address, &[]),
    );
    tokio::time::sleep(SETTLING).await;
    cut(&proxies);
    until_forwarding(first.callers()).await;
    let answer = ask(first.callers(), &request("GET", SILENT, "r1", "")).await;
    assert_eq!(answer.expect("an answer").status, 504);
    let reached = endpoints.iter().filter(|row| {
        let seen = row.seen();
        seen.iter().any(|seen| seen.id() == "r1")
    });
    let allowed = ROUTES[0].attempts as usize;
    let reached = reached.count();
    assert!(reached <= allowed, "{reached} endpoints, {allowed} allowed");
}
