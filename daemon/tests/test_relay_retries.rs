//! Retries of a fleet of daemons, counted where they arrive. Daemons and endpoints are processes of their
//! own, so that they can be stopped by signals.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use poplarvale_standin::{Cloud, Route, Store, ask, config, request, settings};
use serde_json::json;
use testutils::folder::Folder;
use testutils::process::{Process, beside};
use testutils::retry_bound::{Ms, RetryBound, Worst};

use crate::relay_site::{is_ready, until};
use crate::site::DAEMON;
use crate::soak::{Daemon, daemon, free_ports};

const DAEMONS: usize = 6;
const ENDPOINTS: usize = 6;
/// Requests a second of all callers together.
const RATE: f64 = 118.0;
const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 54.0,
    window: 10_000,
};
const SAFE: Route = Route {
    prefix: "/safe/",
    kind: "safe",
    resumable: false,
    attempts: 3,
};
/// Time until the daemons know each other, and until what was sent has arrived.
const SETTLING: Duration = Duration::from_secs(3);
const SOON: Duration = Duration::from_secs(10);

fn unix_ms() -> Ms {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("the clock is after 1970").as_millis() as Ms
}

/// Daemons and endpoints of one service, and callers who send requests all the time.
struct Fleet {
    daemons: RefCell<Vec<Daemon>>,
    endpoints: Vec<Process>,
    sent: RefCell<Vec<Ms>>,
    statuses: RefCell<Vec<u16>>,
    stopped: Cell<bool>,
    store: Store,
    _cloud: Cloud,
    _folder: Folder,
}

impl Fleet {
    async fn start() -> Rc<Self> {
        let folder = Folder::new();
        let store = Store::start().await;
        let cloud = Cloud::start().await;
        store.put("op/config", config(1, &[SAFE], 0).as_bytes());
        let program = beside(DAEMON, "endpoint");
        let start = |number| Process::start(&program, &[&format!("i-{number}")]);
        let endpoints: Vec<Process> = (0..ENDPOINTS).map(start).collect();
        for (number, endpoint) in endpoints.iter().enumerate() {
            let address = endpoint.address("listening");
            let entry = json!({
                "service": "app", "address": address, "zone": "hanko", "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1,
            });
            store.put(&format!("servers/i-{number}"), entry.to_string().as_bytes());
        }
        let text = settings(store.address, cloud.address);
        let text = text.replace("\"retrySlack\":40", "\"retrySlack\":54");
        let ports = free_ports();
        let daemons = (0..DAEMONS).map(|number| daemon(&folder, number, &text, ports));
        let fleet = Rc::new(Self {
            daemons: RefCell::new(daemons.collect()),
            endpoints,
            sent: RefCell::default(),
            statuses: RefCell::default(),
            stopped: Cell::new(false),
            store,
            _cloud: cloud,
            _folder: folder,
        });
        for address in fleet.addresses(|daemon| daemon.ready) {
            until(SOON, async || is_ready(address).await).await;
        }
        tokio::time::sleep(SETTLING).await;
        actix_web::rt::spawn(Rc::clone(&fleet).send());
        fleet
    }

    fn addresses(&self, of: impl Fn(&Daemon) -> SocketAddr) -> Vec<SocketAddr> {
        self.daemons.borrow().iter().map(of).collect()
    }

    /// Sends requests to the daemons in turn, each on a connection of its own.
    async fn send(self: Rc<Self>) {
        let callers = self.addresses(|daemon| daemon.callers);
        let start = Instant::now();
        for (number, address) in callers.iter().copied().cycle().enumerate() {
            let due = start + Duration::from_secs_f64(number as f64 / RATE);
            tokio::time::sleep_until(due.into()).await;
            if self.stopped.get() {
                return;
            }
            self.sent.borrow_mut().push(unix_ms());
            let fleet = Rc::clone(&self);
            actix_web::rt::spawn(async move {
                let text = request("GET", "/safe/a", &format!("r{number}"), "");
                let status = ask(address, &text).await.map_or(0, |answer| answer.status);
                fleet.statuses.borrow_mut().push(status);
            });
        }
    }

    fn signal(&self, endpoints: std::ops::Range<usize>, name: &str) {
        for endpoint in &self.endpoints[endpoints] {
            endpoint.signal(name);
        }
    }

    async fn set_rejections(&self, percent: u32) {
        for endpoint in &self.endpoints {
            let text = request("GET", &format!("/reject/{percent}"), "set", "");
            let answer = ask(endpoint.address("listening"), &text).await;
            assert_eq!(answer.expect("the endpoint answers").status, 200);
        }
    }

    fn kill_all(&self) {
        for daemon in self.daemons.borrow_mut().iter_mut() {
            daemon.process.kill();
            daemon.restart();
        }
    }

    /// Ends the requests, and finds the worst window.
    async fn worst(&self) -> Worst {
        self.stopped.set(true);
        tokio::time::sleep(SETTLING).await;
        let mut arrivals = Vec::new();
        for endpoint in &self.endpoints {
            let text = request("GET", "/arrivals", "read", "");
            let answer = ask(endpoint.address("listening"), &text).await;
            let answer = answer.expect("the endpoint answers");
            arrivals.extend(answer.body.lines().map(|line| {
                let (at, id) = line.split_once(' ').expect("a time and an id");
                (at.parse().expect("a time"), id.to_owned())
            }));
        }
        let worst = BOUND.worst(&self.sent.borrow(), &arrivals);
        let statuses = self.statuses.borrow();
        let served = statuses.iter().filter(|status| **status == 200).count();
        println!(
            "{} sent, {served} answered with 200, {} arrivals, worst window {worst:?}, {:.2}",
            self.sent.borrow().len(),
            arrivals.len(),
            worst.share()
        );
        worst
    }
}

async fn seconds(count: u64) {
    tokio::time::sleep(Duration::from_secs(count)).await;
}

/// Guards against first attempts and retries of several windows that wait in the sockets of stopped
/// endpoints, while all daemons restart, and arrive together.
#[actix_web::test]
async fn retries_to_stopped_endpoints_stay_in_the_budget_when_daemons_restart() {
    let fleet = Fleet::start().await;
    seconds(10).await;
    fleet.signal(0..ENDPOINTS, "STOP");
    for _ in 0..8 {
        seconds(5).await;
        fleet.kill_all();
    }
    fleet.signal(0..ENDPOINTS, "CONT");
    seconds(10).await;
    let worst = fleet.worst().await;
    assert!(worst.share() <= 1.0, "{worst:?}");
}

/// Guards against trials of stopped endpoints that wait in their sockets and arrive together.
#[actix_web::test]
async fn trials_of_endpoints_that_stay_stopped_stay_in_the_retry_budget() {
    let fleet = Fleet::start().await;
    seconds(10).await;
    fleet.signal(0..ENDPOINTS / 2, "STOP");
    seconds(70).await;
    fleet.signal(0..ENDPOINTS / 2, "CONT");
    seconds(10).await;
    let worst = fleet.worst().await;
    assert!(worst.share() <= 1.0, "{worst:?}");
}

/// Guards against daemons that take their part of the fixed number again with each start, while there is
/// no checkpoint.
#[actix_web::test]
async fn retries_stay_in_the_budget_when_daemons_restart_without_a_checkpoint() {
    let fleet = Fleet::start().await;
    seconds(8).await;
    fleet.set_rejections(80).await;
    seconds(8).await;
    for _ in 0..6 {
        fleet.store.remove("poplarvale/checkpoint");
        fleet.kill_all();
        seconds(2).await;
    }
    fleet.set_rejections(0).await;
    seconds(4).await;
    let worst = fleet.worst().await;
    assert!(worst.share() <= 1.0, "{worst:?}");
}
