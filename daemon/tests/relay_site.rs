//! Daemons that run in the process of a test, with stand-ins for their platform.

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_platform::read_settings;
use poplarvale_standin::{
    Cloud, Endpoint, PROBE, Proxy, Route, Store, ask, config, request, settings,
};
use poplarvaled::Relay;
use serde_json::{Value, json};

/// Number of daemons in a [`Zone`].
pub(crate) const DAEMONS: u8 = 6;
/// Longest time until a daemon is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// One route of each kind.
pub(crate) const ROUTES: [Route; 4] = [
    Route {
        prefix: "/safe/",
        kind: "safe",
        resumable: false,
        attempts: 2,
    },
    Route {
        prefix: "/once/",
        kind: "unsafe",
        resumable: false,
        attempts: 2,
    },
    Route {
        prefix: "/resume/",
        kind: "stream",
        resumable: true,
        attempts: 2,
    },
    Route {
        prefix: "/stream/",
        kind: "stream",
        resumable: false,
        attempts: 2,
    },
];

/// A daemon with its store and the stand-in of the platform.
pub(crate) struct Site {
    pub(crate) store: Store,
    pub(crate) cloud: Cloud,
    pub(crate) relay: Relay,
}

impl Site {
    /// Starts a daemon whose registry holds these endpoints of service `app`, and waits until it is
    /// ready.
    pub(crate) async fn start(endpoints: &[&Endpoint]) -> Self {
        Self::with_grace(store_with(endpoints).await, 3).await
    }

    /// Like [`Site::start`], but without duties, so that only the test writes to the store.
    pub(crate) async fn without_duties(endpoints: &[&Endpoint]) -> Self {
        Self::without_duties_on(store_with(endpoints).await).await
    }

    /// Like [`Site::without_duties`], on a given store.
    pub(crate) async fn without_duties_on(store: Store) -> Self {
        let cloud = Cloud::start().await;
        let text = settings(store.address, cloud.address);
        Self::with_settings(store, cloud, &text.replace("[\"usage\"]", "[]")).await
    }

    /// Starts a daemon on a store, with a grace period in seconds from SIGTERM to SIGKILL, and
    /// waits until it is ready.
    pub(crate) async fn with_grace(store: Store, grace: u32) -> Self {
        let cloud = Cloud::start().await;
        let text = settings(store.address, cloud.address);
        let grace = format!("\"graceS\":{grace}");
        Self::with_settings(store, cloud, &text.replace("\"graceS\":3", &grace)).await
    }

    /// Starts a daemon with these settings and waits until it is ready.
    pub(crate) async fn with_settings(store: Store, cloud: Cloud, text: &str) -> Self {
        let settings = read_settings(text).expect("the settings are valid");
        let relay = Relay::start(settings).await;
        let site = Self {
            store,
            cloud,
            relay: relay.expect("the daemon starts"),
        };
        site.until_ready().await;
        site
    }

    async fn until_ready(&self) {
        let ready = self.relay.ready();
        until(Duration::from_secs(5), async || is_ready(ready).await).await;
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.relay.callers()
    }
}

/// Several daemons of one zone. Each reaches the store through a proxy of its own.
pub(crate) struct Zone {
    pub(crate) store: Store,
    pub(crate) daemons: Vec<(Proxy, Relay)>,
    /// Port of the daemons for each other.
    pub(crate) port: u16,
}

impl Zone {
    /// Starts the daemons without duties and waits until all know each other. Those on the lowest
    /// addresses are the watchers.
    pub(crate) async fn start(number: usize, store: Store) -> Self {
        let zone = Self::start_with(number, store, &[]).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        zone
    }

    /// Starts the daemons with these duties on addresses `127.0.NUMBER.1` and up, so that zones
    /// with different numbers do not collide.
    pub(crate) async fn start_with(number: usize, store: Store, duties: &[&str]) -> Self {
        let port = free_port(number);
        let daemons = Self::start_at(number, port, store.address, duties).await;
        Self {
            store,
            daemons,
            port,
        }
    }

    /// Starts the daemons on a store at this address, and waits until they are ready.
    pub(crate) async fn start_at(
        number: usize,
        port: u16,
        store: SocketAddr,
        duties: &[&str],
    ) -> Vec<(Proxy, Relay)> {
        let daemons = (1..=DAEMONS).map(|host| async move {
            let proxy = Proxy::start(store).await;
            let relay = start_daemon(number, host, port, proxy.address, duties).await;
            (proxy, relay)
        });
        join_all(daemons).await
    }
}

/// A port that is free at address `127.0.NUMBER.1` now.
pub(crate) fn free_port(number: usize) -> u16 {
    let free = UdpSocket::bind((format!("127.0.{number}.1"), 0)).expect("a port is free");
    free.local_addr().expect("the socket is bound").port()
}

/// Starts a daemon at address `127.0.NUMBER.HOST`, which knows those at `127.0.NUMBER.1` to `.3` as
/// its seeds, and waits until it is ready.
pub(crate) async fn start_daemon(
    number: usize,
    host: u8,
    port: u16,
    store: SocketAddr,
    duties: &[&str],
) -> Relay {
    start_daemon_with(number, host, port, store, |file| {
        file["cloud"]["duties"] = json!(duties);
    })
    .await
}

/// Like [`start_daemon`], without duties but for what `change` makes of the settings.
pub(crate) async fn start_daemon_with(
    number: usize,
    host: u8,
    port: u16,
    store: SocketAddr,
    change: impl Fn(&mut Value),
) -> Relay {
    let ip = |host: u8| format!("127.0.{number}.{host}");
    let seeds: Vec<String> = (1..=3).map(|host| format!("{}:1", ip(host))).collect();
    let text = settings(store, Cloud::start().await.address);
    let mut file: Value = serde_json::from_str(&text).expect("the settings are JSON");
    file["cloud"]["duties"] = json!([]);
    file["node"] = json!(format!("front-{}", ip(host)));
    file["ip"] = json!(ip(host));
    file["internalPorts"] = json!([port, port]);
    file["seeds"] = json!(seeds);
    change(&mut file);
    let settings = read_settings(&file.to_string()).expect("the settings are valid");
    let relay = Relay::start(settings).await.expect("the daemon starts");
    until(READY_TIMEOUT, async || is_ready(relay.ready()).await).await;
    relay
}

/// Starts a store with a configuration and these endpoints of service `app`.
pub(crate) async fn store_with(endpoints: &[&Endpoint]) -> Store {
    let store = Store::start().await;
    store.put("op/config", config(1, &ROUTES, 0).as_bytes());
    for endpoint in endpoints {
        let key = format!("servers/{}", endpoint.id);
        store.put(&key, endpoint.entry("app", "ready").as_bytes());
    }
    store
}

/// Whether the readiness check at an address succeeds.
pub(crate) async fn is_ready(ready: SocketAddr) -> bool {
    let answer = poplarvale_standin::ask(ready, PROBE).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Waits until a condition holds.
pub(crate) async fn until(limit: Duration, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + limit;
    while !holds().await {
        assert!(
            Instant::now() < end,
            "the condition does not hold after {limit:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends `rate` requests a second for a time span, to these daemons in turn, each on a new
/// connection. Returns the share that was served at the first attempt.
pub(crate) async fn share_served(relays: &[&Relay], rate: f64, span: Duration) -> f64 {
    let count = (span.as_secs_f64() * rate) as usize;
    let relays = relays.iter().cycle().take(count).enumerate();
    let callers = relays.map(|(number, relay)| async move {
        tokio::time::sleep(Duration::from_secs_f64(number as f64 / rate)).await;
        let text = request("GET", "/safe/a", &format!("r{number}"), "");
        let answer = ask(relay.callers(), &text).await;
        usize::from(answer.is_ok_and(|answer| answer.status == 200))
    });
    let served: usize = join_all(callers).await.into_iter().sum();
    served as f64 / count as f64
}

/// Shares of the requests that are served at the first attempt: sent to all daemons of a zone in turn,
/// and from a second later on all to one of them.
pub(crate) async fn shares_evenly_and_at_one(zone: &Zone, rate: f64, span: Duration) -> (f64, f64) {
    let all: Vec<&Relay> = zone.daemons.iter().map(|(_, relay)| relay).collect();
    let evenly = share_served(&all, rate, span).await;
    share_served(&all[..1], rate, Duration::from_secs(1)).await;
    let at_one = share_served(&all[..1], rate, span).await;
    (evenly, at_one)
}
