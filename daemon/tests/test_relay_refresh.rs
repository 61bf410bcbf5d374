//! Zones that lose many of their daemons at once. The daemons are processes of their own.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_lib::relay::refresh::MAX_FED_AGE;
use poplarvale_standin::{Cloud, Endpoint, Store, ask, config, plain, request, settings};
use testutils::folder::Folder;

use crate::relay_site::{ROUTES, is_ready, store_with, until};
use crate::soak::{Daemon, daemon, free_ports};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time until all daemons know each other.
const SETTLING: Duration = Duration::from_secs(4);
/// Time between two writes of an entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// How long an endpoint may get requests after its entry says that it leaves, and a former
/// configuration may be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// How long requests are sent after that.
const WATCHED_TIME: Duration = Duration::from_secs(3);
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Whether the entry of the endpoint that leaves is removed, or says so first.
const REMOVED: bool = true;

/// A zone whose daemons rank by address, and two endpoints.
struct Zone {
    store: Rc<Store>,
    endpoints: [Rc<Endpoint>; 2],
    daemons: Vec<Daemon>,
    _cloud: Cloud,
    _folder: Folder,
}

impl Zone {
    async fn start(count: usize) -> Self {
        let respond = |seen: &_| vec![plain(seen, 200, "done")];
        let endpoints = [
            Rc::new(Endpoint::start("i-1", respond).await),
            Rc::new(Endpoint::start("i-2", respond).await),
        ];
        let store = Rc::new(store_with(&[&endpoints[0], &endpoints[1]]).await);
        let (cloud, folder) = (Cloud::start().await, Folder::new());
        let text = settings(store.address, cloud.address).replace("[\"usage\"]", "[]");
        let ports = free_ports();
        let daemons = (0..count).map(|number| daemon(&folder, number, &text, ports));
        let zone = Self {
            store,
            endpoints,
            daemons: daemons.collect(),
            _cloud: cloud,
            _folder: folder,
        };
        for daemon in &zone.daemons {
            until(READY_TIMEOUT, async || is_ready(daemon.ready).await).await;
        }
        let (store, stays) = (Rc::clone(&zone.store), Rc::clone(&zone.endpoints[1]));
        actix_web::rt::spawn(async move {
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                store.put("servers/i-2", stays.entry("app", "ready").as_bytes());
            }
        });
        tokio::time::sleep(SETTLING).await;
        zone
    }

    /// The first endpoint leaves, and a configuration comes without the route `/once/`.
    fn change(&self, is_removed: bool) {
        if is_removed {
            self.store.remove("servers/i-1");
        } else {
            let entry = self.endpoints[0].entry("app", "draining");
            self.store.put("servers/i-1", entry.as_bytes());
        }
        let routes = [ROUTES[0], ROUTES[2], ROUTES[3]];
        self.store
            .put("op/config", config(2, &routes, 0).as_bytes());
    }

    /// Sends requests to the daemons that are left, and checks that all know of the change in time.
    async fn check(&self, lost: usize) {
        tokio::time::sleep(APPLY_TIME).await;
        let before = self.endpoints[0].seen().len();
        let callers = self.daemons[lost..].iter();
        let statuses = join_all(callers.map(|daemon| ask_both(daemon.callers))).await;
        assert_eq!(
            self.endpoints[0].seen().len(),
            before,
            "requests to the endpoint that left"
        );
        let wrong = statuses.into_iter().flatten();
        let wrong: Vec<(u16, u16)> = wrong.filter(|pair| *pair != (200, 404)).collect();
        assert_eq!(wrong, Vec::new(), "statuses of /safe/ and /once/");
    }
}

/// Sends requests of a route that stays and of one that was dropped for a while; returns the statuses.
async fn ask_both(daemon: SocketAddr) -> Vec<(u16, u16)> {
    let end = Instant::now() + WATCHED_TIME;
    let mut statuses = Vec::new();
    while Instant::now() < end {
        let status = async |method, path| {
            let answer = ask(daemon, &request(method, path, "r1", "")).await;
            answer.map_or(0, |answer| answer.status)
        };
        statuses.push((
            status("GET", "/safe/a").await,
            status("POST", "/once/a").await,
        ));
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
    statuses
}

/// Kills the first daemons of a zone at the moment of the change.
async fn lose(count: usize, lost: usize, is_removed: bool) {
    let mut zone = Zone::start(count).await;
    for daemon in &mut zone.daemons[..lost] {
        daemon.process.kill();
    }
    zone.change(is_removed);
    zone.check(lost).await;
}

/// Guards against requests to an endpoint that left, sent by the survivors of a zone that lost the daemons which were
/// next in turn to watch the store.
#[actix_web::test]
async fn survivors_know_of_changes_after_the_first_daemons_of_a_zone_are_killed() {
    lose(8, 6, !REMOVED).await;
}

/// Guards against the same where one daemon of the zone is left and the entry is removed.
#[actix_web::test]
async fn the_last_daemon_of_a_zone_knows_of_changes() {
    lose(8, 7, REMOVED).await;
}

/// Guards against the same where the first daemons are paused and run again later.
#[actix_web::test]
async fn survivors_know_of_changes_while_the_first_daemons_of_a_zone_are_paused() {
    const PAUSED: usize = 9;
    let zone = Zone::start(12).await;
    for daemon in &zone.daemons[..PAUSED] {
        daemon.process.signal("STOP");
    }
    zone.change(!REMOVED);
    zone.check(PAUSED).await;
    for daemon in &zone.daemons[..PAUSED] {
        daemon.process.signal("CONT");
    }
}

/// Guards against calls of all survivors of a large zone at the same moment, and again and again.
#[actix_web::test]
async fn survivors_of_a_large_zone_read_the_store_once_at_most() {
    const LOST: usize = 30;
    const LEFT: usize = 10;
    let mut zone = Zone::start(LOST + LEFT).await;
    for daemon in &mut zone.daemons[..LOST] {
        daemon.process.kill();
    }
    let before = zone.store.calls();
    zone.change(!REMOVED);
    tokio::time::sleep(MAX_FED_AGE).await;
    let calls = zone.store.calls() - before;
    assert!(calls as usize <= LEFT, "{calls} calls of {LEFT} daemons");
    zone.check(LOST).await;
}
