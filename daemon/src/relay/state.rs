//! What the tasks of a relaying daemon share.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use poplarvale_lib::relay::budget::Budget;
use poplarvale_lib::relay::catalog::Catalog;
use poplarvale_lib::relay::change_feed::StoreProgress;
use poplarvale_lib::relay::clock::Clock;
use poplarvale_lib::relay::connectivity::Connectivity;
use poplarvale_lib::relay::crash::Crashes;
use poplarvale_lib::relay::demand::Demand;
use poplarvale_lib::relay::digest::{Location, Peers};
use poplarvale_lib::relay::endpoint_table::EndpointTable;
use poplarvale_lib::relay::quota::{Quota, name_hash};
use poplarvale_lib::relay::rollout::Rollouts;
use poplarvale_lib::relay::settings::RelaySettings;
use poplarvale_lib::relay::shutdown::Phase;
use poplarvale_lib::relay::usage::{Usage, WindowId};
use poplarvale_lib::{CustomerId, Incarnation};
use tokio::sync::Notify;

use super::crash::CrashCheck;
use super::era::Eras;
use super::logging::Sampler;
use super::metrics::Metrics;
use super::upstream::Upstreams;

const MEGABYTE: u64 = 1024 * 1024;

/// Shared state; all tasks run on one thread and none holds a borrow across a wait.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: RelaySettings,
    /// Configuration in force; `None` until the first one was read.
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) endpoints: RefCell<EndpointTable>,
    pub(crate) quota: RefCell<Quota>,
    pub(crate) budget: RefCell<Budget>,
    pub(crate) crashes: RefCell<Crashes>,
    /// Endpoints that may have ended, until that is known.
    pub(crate) suspicions: RefCell<Vec<CrashCheck>>,
    /// Told when a request is quarantined.
    pub(crate) quarantined: Notify,
    pub(crate) demand: RefCell<Demand>,
    pub(crate) rollouts: RefCell<Rollouts>,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) clock: RefCell<Clock>,
    pub(crate) peers: RefCell<Peers>,
    /// How the store is followed.
    pub(crate) follow: RefCell<StoreProgress>,
    /// Told when this daemon has to look into the store itself.
    pub(crate) look: Notify,
    pub(crate) eras: Rc<Eras>,
    /// Who holds the duties, as far as the store told.
    pub(crate) leader: RefCell<Option<CompactString>>,
    /// Drawn at the start.
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Instant,
    /// Whether the list of endpoints was read at least once.
    pub(crate) listed: Cell<bool>,
    pub(crate) upstreams: Upstreams,
    pub(crate) contact: Cell<Connectivity>,
    pub(crate) metrics: Option<Metrics>,
    /// Which requests that went well are told.
    pub(crate) sampler: Sampler,
    /// Requests in progress, from their first byte.
    pub(crate) active: Cell<usize>,
    life: Cell<Phase>,
    /// Endpoints that were seen to leave and that the others are still to be told.
    pub(crate) left: RefCell<Vec<u32>>,
    /// Told when there is something to be told at once.
    pub(crate) news: Notify,
    /// Told when no request is in progress any more.
    pub(crate) idle: Notify,
    /// Told when `life` changes.
    turned: Notify,
    /// Whether the settings were seen to differ from those of the start.
    pub(crate) differs: Cell<bool>,
    numbers: Cell<u64>,
    digests: Cell<u64>,
}

impl State {
    pub(crate) fn new(settings: RelaySettings) -> Rc<Self> {
        let started = Instant::now();
        let incarnation = fastrand::u64(..);
        let me = v4(&settings.peers.ip()).unwrap_or(Ipv4Addr::LOCALHOST);
        let seeds: Vec<Ipv4Addr> = settings.seeds.iter().filter_map(v4).collect();
        let place = Location {
            zone: name_hash(&settings.zone),
            memory_mb: u32::try_from(settings.memory / MEGABYTE).unwrap_or(u32::MAX),
        };
        let quota = Quota::new(
            settings.bounds.quota_window,
            settings.bounds.quota_tolerance,
            started,
        );
        Rc::new(Self {
            catalog: RefCell::new(None),
            endpoints: RefCell::default(),
            quota: RefCell::new(quota.with_phase(fastrand::f64())),
            budget: RefCell::new(Budget::new(
                settings.bounds.retry_ratio,
                settings.bounds.retry_slack,
                settings.bounds.retry_window,
            )),
            crashes: RefCell::default(),
            suspicions: RefCell::default(),
            quarantined: Notify::new(),
            demand: RefCell::default(),
            rollouts: RefCell::new(Rollouts::new(settings.bounds.exposure)),
            usage: RefCell::new(Usage::new(settings.name.clone(), incarnation)),
            clock: RefCell::new(Clock::new(started)),
            peers: RefCell::new(Peers::new(me, place, &seeds, started)),
            follow: RefCell::default(),
            look: Notify::new(),
            eras: Rc::default(),
            leader: RefCell::new(None),
            incarnation,
            started,
            settings,
            listed: Cell::new(false),
            upstreams: Upstreams::default(),
            contact: Cell::new(Connectivity::new(started)),
            metrics: Metrics::new(),
            sampler: Sampler::new(started),
            active: Cell::new(0),
            life: Cell::new(Phase::Serving),
            left: RefCell::default(),
            news: Notify::new(),
            idle: Notify::new(),
            turned: Notify::new(),
            differs: Cell::new(false),
            numbers: Cell::new(0),
            digests: Cell::new(0),
        })
    }

    pub(crate) fn life(&self) -> Phase {
        self.life.get()
    }

    /// Goes on to the next phase of life and tells all connections.
    pub(crate) fn turn(&self, life: Phase) {
        self.life.set(life);
        self.turned.notify_waiters();
    }

    /// Ends when the daemon goes on to another phase of life.
    pub(crate) async fn turned(&self) {
        self.turned.notified().await;
    }

    /// Ends when the daemon begins nothing more.
    pub(crate) async fn closing(&self) {
        while !self.life().is_closing() {
            self.turned().await;
        }
    }

    /// Notes that the store answered.
    pub(crate) fn store_answered(&self, now: Instant) {
        let mut contact = self.contact.get();
        contact.record_answer(now);
        self.contact.set(contact);
    }

    /// Notes that the store did not answer a call which began at a moment.
    pub(crate) fn store_failed(&self, began: Instant) {
        let mut contact = self.contact.get();
        contact.record_failure(began, Instant::now());
        self.contact.set(contact);
    }

    /// Learns the hosts of other daemons that the settings name.
    pub(crate) fn learn(&self, settings: &RelaySettings) {
        let now = Instant::now();
        let mut peers = self.peers.borrow_mut();
        for seed in settings.seeds.iter().filter_map(v4) {
            peers.add(seed, now);
        }
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.life.get().is_serving() && self.listed.get() && self.catalog.borrow().is_some()
    }

    /// Unix milliseconds by this host's own clock, which may jump.
    pub(crate) fn wall() -> u64 {
        // A clock before 1970 is as wrong as one that jumped; the others correct it.
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }

    /// Unix milliseconds by the clocks of all daemons.
    pub(crate) fn true_ms(&self) -> u64 {
        self.clock.borrow().now(Self::wall(), Instant::now())
    }

    /// Usage window at a moment of the steady clock.
    pub(crate) fn window_at(&self, at: Instant) -> WindowId {
        let ago = at.elapsed().as_millis() as u64;
        let length = self.settings.bounds.usage_window.as_millis().max(1) as u64;
        self.true_ms().saturating_sub(ago) / length
    }

    /// Counts a run of a team's request that began at a moment.
    pub(crate) fn count_run(&self, team: Option<&CustomerId>, began: Instant) {
        if let Some(team) = team {
            let window = self.window_at(began);
            self.usage.borrow_mut().count(window, team);
        }
    }

    /// Counts something, if metrics are kept.
    pub(crate) fn measure(&self, count: impl FnOnce(&Metrics)) {
        if let Some(metrics) = &self.metrics {
            count(metrics);
        }
    }

    /// Number of the next digest.
    pub(crate) fn next_digest(&self) -> u64 {
        self.digests.set(self.digests.get() + 1);
        self.digests.get()
    }

    /// A number for a request that no other of this process has.
    pub(crate) fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }
}

fn v4(ip: &IpAddr) -> Option<Ipv4Addr> {
    match ip {
        IpAddr::V4(ip) => Some(*ip),
        IpAddr::V6(_) => None,
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct Active(Rc<State>);

impl Active {
    pub(crate) fn new(state: &Rc<State>) -> Self {
        state.active.set(state.active.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        let left = self.0.active.get() - 1;
        self.0.active.set(left);
        if left == 0 {
            self.0.idle.notify_one();
        }
    }
}
