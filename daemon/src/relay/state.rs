//! State that the tasks of a relaying daemon share.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use poplarvale_lib::relay::answer_times::AnswerTimes;
use poplarvale_lib::relay::budget::Budget;
use poplarvale_lib::relay::catalog::Catalog;
use poplarvale_lib::relay::change_feed::StoreProgress;
use poplarvale_lib::relay::clock::Clock;
use poplarvale_lib::relay::connectivity::Connectivity;
use poplarvale_lib::relay::crash::Crashes;
use poplarvale_lib::relay::demand::Demand;
use poplarvale_lib::relay::endpoint_table::EndpointTable;
use poplarvale_lib::relay::fair_share::FairShares;
use poplarvale_lib::relay::links::Links;
use poplarvale_lib::relay::membership::{Location, Peers};
use poplarvale_lib::relay::quota::{Quota, name_hash};
use poplarvale_lib::relay::reachability::Reachability;
use poplarvale_lib::relay::rollout::Rollouts;
use poplarvale_lib::relay::sent_uses::SentUses;
use poplarvale_lib::relay::settings::RelaySettings;
use poplarvale_lib::relay::shutdown::Phase;
use poplarvale_lib::relay::usage::{Usage, WindowId};
use poplarvale_lib::{CustomerId, Incarnation, Revision};
use tokio::sync::Notify;

use super::catalog::CatalogState;
use super::crash::CrashCheck;
use super::era::Eras;
use super::held::HeldBytes;
use super::logging::Sampler;
use super::metrics::Metrics;
use super::progress::Progress;
use super::startup::Start;
use super::upstream::Upstreams;

const MEGABYTE: u64 = 1024 * 1024;
/// Longest time between two parts of an answer that is arriving.
const RECEIVING_TIME: Duration = Duration::from_millis(300);

/// State of one daemon. All tasks run on one thread, and none holds a borrow across an `await`.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: RelaySettings,
    /// Configuration in use; `None` until the first one was read.
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    /// Transfers of the configuration between daemons.
    pub(crate) config: CatalogState,
    /// Notified when another daemon announces a newer configuration, or that it has one.
    pub(crate) config_due: Notify,
    /// Whether this daemon reads the configuration from the store, as no other one has it.
    pub(crate) reads_config: Cell<bool>,
    /// Whether the keys that daemons write were read since the start or, by a watcher, since it became one.
    pub(crate) read_own: Cell<bool>,
    pub(crate) endpoints: RefCell<EndpointTable>,
    pub(crate) quota: RefCell<Quota>,
    /// Shares of short engines that teams may use.
    pub(crate) fair_shares: RefCell<FairShares>,
    pub(crate) budget: RefCell<Budget>,
    pub(crate) crashes: RefCell<Crashes>,
    /// Endpoints whose process may have ended, until a new connection shows whether it has.
    pub(crate) crash_checks: RefCell<Vec<CrashCheck>>,
    /// Number of requests that wait while it is in doubt whether they are quarantined.
    pub(crate) in_doubt: Cell<usize>,
    /// Notified when a request is quarantined.
    pub(crate) quarantined: Notify,
    pub(crate) demand: RefCell<Demand>,
    /// How long requests have taken lately.
    pub(crate) answer_times: RefCell<AnswerTimes>,
    pub(crate) rollouts: RefCell<Rollouts>,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) clock: RefCell<Clock>,
    pub(crate) peers: RefCell<Peers>,
    /// How far this daemon knows the changes in the store.
    pub(crate) store_progress: RefCell<StoreProgress>,
    /// Notified when this daemon may have to read the store itself.
    pub(crate) read_store: Notify,
    /// Whether a watcher has to read everything again, as it may have missed changes.
    pub(crate) reads_all: Cell<bool>,
    /// Whether the next digest goes to all daemons of the zone, with what this daemon read of the
    /// registry though it is no watcher.
    pub(crate) feeds_zone: Cell<bool>,
    /// What this daemon reported of itself lately.
    pub(crate) sent_uses: RefCell<SentUses>,
    /// Address of the duty holder and its fencing token, as digests report it.
    pub(crate) holder: Cell<Option<(Ipv4Addr, Revision)>>,
    pub(crate) eras: Rc<Eras>,
    /// Daemon that holds the duties according to the store; `None` if none does.
    pub(crate) duty_holder: RefCell<Option<CompactString>>,
    /// Random number of this process, chosen at its start.
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Instant,
    pub(crate) start: Start,
    /// Whether the list of endpoints was read from the store at least once.
    pub(crate) listed: Cell<bool>,
    pub(crate) upstreams: Upstreams,
    /// Bytes that are held of responses, over all attempts.
    pub(crate) held: Rc<HeldBytes>,
    /// Bytes that are held of the store's replies.
    pub(crate) replies: Rc<HeldBytes>,
    /// Bytes that are held of the bodies of requests.
    pub(crate) bodies: Rc<HeldBytes>,
    pub(crate) reach: RefCell<Reachability>,
    pub(crate) links: RefCell<Links>,
    /// Notified when a check whether a service is reached may be due.
    pub(crate) check_due: Notify,
    pub(crate) connectivity: Cell<Connectivity>,
    /// When the store last answered this daemon itself; its start before that.
    answered: Cell<Instant>,
    /// When a part of a response of the store last arrived.
    pub(crate) receiving: Cell<Option<Instant>>,
    /// The same of what this daemon reads for its zone: the configuration and the registry.
    pub(crate) reading: Cell<Option<Instant>>,
    /// When another daemon of the zone last told that the store is sending it an answer.
    pub(crate) peer_receiving: Cell<Option<Instant>>,
    pub(crate) metrics: Option<Metrics>,
    /// Which successful requests are logged.
    pub(crate) sampler: Sampler,
    /// Which paces are logged that endpoints announced and that are ignored.
    pub(crate) pace_sampler: Sampler,
    /// Requests that were admitted or forwarded and have no whole answer yet, sorted by number.
    pub(crate) in_progress: RefCell<Vec<(u64, Rc<Progress>)>>,
    /// Number of requests in progress, each from its first byte on.
    pub(crate) active: Cell<usize>,
    phase: Cell<Phase>,
    /// Hashes of endpoints that left and that the next digest reports as leaving.
    pub(crate) left_endpoints: RefCell<Vec<u32>>,
    /// Notified when the other daemons are to get a digest at once.
    pub(crate) digest_due: Notify,
    /// Notified when the last request in progress has ended.
    pub(crate) idle: Notify,
    /// Notified when `phase` changes.
    phase_changes: Notify,
    /// Whether the settings file was seen to differ from the settings read at the start.
    pub(crate) settings_changed: Cell<bool>,
    last_number: Cell<u64>,
    last_digest: Cell<u64>,
}

impl State {
    pub(crate) fn new(settings: RelaySettings) -> Rc<Self> {
        let started = Instant::now();
        let incarnation = fastrand::u64(..);
        let own_address = v4(&settings.peers.ip()).unwrap_or(Ipv4Addr::LOCALHOST);
        let seeds: Vec<Ipv4Addr> = settings.seeds.iter().filter_map(v4).collect();
        let location = Location {
            zone: name_hash(&settings.zone),
            memory_mb: u32::try_from(settings.memory / MEGABYTE).unwrap_or(u32::MAX),
        };
        let quota = Quota::new(
            settings.bounds.quota_window,
            settings.bounds.quota_tolerance,
            started,
        );
        let exposure = settings.bounds.exposure;
        let bodies = HeldBytes::of_requests(settings.memory);
        let rollouts = Rollouts::new(exposure.share).with_slack(exposure.units, Self::wall_ms());
        Rc::new(Self {
            catalog: RefCell::new(None),
            config: CatalogState::default(),
            config_due: Notify::new(),
            reads_config: Cell::new(false),
            read_own: Cell::new(false),
            endpoints: RefCell::default(),
            quota: RefCell::new(quota.with_phase(fastrand::f64())),
            fair_shares: RefCell::default(),
            budget: RefCell::new(Budget::new(
                settings.bounds.retry_ratio,
                settings.bounds.retry_slack,
                settings.bounds.retry_window,
            )),
            crashes: RefCell::default(),
            crash_checks: RefCell::default(),
            in_doubt: Cell::new(0),
            quarantined: Notify::new(),
            demand: RefCell::default(),
            answer_times: RefCell::default(),
            rollouts: RefCell::new(rollouts),
            usage: RefCell::new(Usage::new(settings.name.clone(), incarnation)),
            clock: RefCell::new(Clock::new(started)),
            peers: RefCell::new(Peers::new(own_address, location, &seeds, started)),
            store_progress: RefCell::default(),
            read_store: Notify::new(),
            reads_all: Cell::new(false),
            feeds_zone: Cell::new(false),
            sent_uses: RefCell::default(),
            holder: Cell::new(None),
            eras: Rc::default(),
            duty_holder: RefCell::new(None),
            incarnation,
            started,
            start: Start::new(&settings, own_address, started),
            settings,
            listed: Cell::new(false),
            upstreams: Upstreams::default(),
            held: HeldBytes::of_responses(),
            replies: HeldBytes::of_replies(),
            bodies,
            reach: RefCell::default(),
            links: RefCell::default(),
            check_due: Notify::new(),
            connectivity: Cell::new(Connectivity::new(started)),
            answered: Cell::new(started),
            receiving: Cell::new(None),
            reading: Cell::new(None),
            peer_receiving: Cell::new(None),
            metrics: Metrics::new(),
            sampler: Sampler::new(started),
            pace_sampler: Sampler::new(started),
            in_progress: RefCell::default(),
            active: Cell::new(0),
            phase: Cell::new(Phase::Serving),
            left_endpoints: RefCell::default(),
            digest_due: Notify::new(),
            idle: Notify::new(),
            phase_changes: Notify::new(),
            settings_changed: Cell::new(false),
            last_number: Cell::new(0),
            last_digest: Cell::new(0),
        })
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Enters the next phase and notifies all connections.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_changes.notify_waiters();
    }

    /// Waits until the daemon enters another phase.
    pub(crate) async fn phase_changed(&self) {
        self.phase_changes.notified().await;
    }

    /// Waits until the daemon starts no request any more.
    pub(crate) async fn until_closing(&self) {
        while !self.phase().is_closing() {
            self.phase_changed().await;
        }
    }

    /// Waits until the daemon closes and waits no longer for answers of endpoints.
    pub(crate) async fn until_last_answer(&self) {
        self.until_closing().await;
        if let Phase::Closing(closing) = self.phase() {
            tokio::time::sleep_until(closing.answer_until.into()).await;
        }
    }

    /// Records that the store answered a call.
    pub(crate) fn store_answered(&self, now: Instant) {
        self.answered.set(now);
        self.record_fed(now);
    }

    /// Records that the store answered another daemon, which fed this one.
    pub(crate) fn record_fed(&self, answered: Instant) {
        let mut connectivity = self.connectivity.get();
        connectivity.record_answer(answered);
        self.connectivity.set(connectivity);
    }

    /// When the store last answered this daemon itself, or sent a part of an answer. A watcher on a slow
    /// link must not be passed over while it receives a long one.
    pub(crate) fn store_heard(&self) -> Instant {
        let answered = self.answered.get();
        self.receiving.get().map_or(answered, |at| at.max(answered))
    }

    /// Whether the store sent a part of what this daemon reads for its zone a moment ago.
    pub(crate) fn is_receiving(&self, now: Instant) -> bool {
        let at = self.reading.get();
        at.is_some_and(|at| now.saturating_duration_since(at) < RECEIVING_TIME)
    }

    /// Records that the store did not answer a call that was started at `began`.
    pub(crate) fn store_failed(&self, began: Instant) {
        let mut connectivity = self.connectivity.get();
        let fed = connectivity.last_answer();
        // What others were answered tells nothing of the time after their last answer.
        let from = if fed > self.answered.get() {
            fed.min(began)
        } else {
            began
        };
        connectivity.record_failure(from, Instant::now());
        self.connectivity.set(connectivity);
    }

    /// Adds the seed addresses of these settings to the peers.
    pub(crate) fn add_seeds(&self, settings: &RelaySettings) {
        let now = Instant::now();
        let mut peers = self.peers.borrow_mut();
        for seed in settings.seeds.iter().filter_map(v4) {
            peers.add_seed(seed, now);
        }
    }

    /// Whether the load balancer should send callers to this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get().is_serving() && self.listed.get() && self.catalog.borrow().is_some()
    }

    /// Unix time in milliseconds by this host's own clock, which may jump.
    pub(crate) fn wall_ms() -> u64 {
        // A clock before 1970 is treated like one that jumped: the clocks of the others correct it.
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }

    /// Unix time in milliseconds, by the clock that all daemons agree on.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.clock.borrow().now(Self::wall_ms(), Instant::now())
    }

    /// Number of the usage window that contains a moment of the monotonic clock.
    pub(crate) fn usage_window(&self, at: Instant) -> WindowId {
        let ago = at.elapsed().as_millis() as u64;
        let length = self.settings.bounds.usage_window.as_millis().max(1) as u64;
        self.unix_ms().saturating_sub(ago) / length
    }

    /// Counts a request of a team that an endpoint began to run at `began`, for its usage report.
    pub(crate) fn count_run(&self, team: Option<&CustomerId>, began: Instant) {
        if let Some(team) = team {
            let window = self.usage_window(began);
            self.usage.borrow_mut().count(window, team);
        }
    }

    /// Updates the metrics, if they are kept.
    pub(crate) fn measure(&self, count: impl FnOnce(&Metrics)) {
        if let Some(metrics) = &self.metrics {
            count(metrics);
        }
    }

    /// Sequence number of the next digest.
    pub(crate) fn next_digest(&self) -> u64 {
        self.last_digest.set(self.last_digest.get() + 1);
        self.last_digest.get()
    }

    /// Number for a request, unique within this process.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }
}

fn v4(ip: &IpAddr) -> Option<Ipv4Addr> {
    match ip {
        IpAddr::V4(ip) => Some(*ip),
        IpAddr::V6(_) => None,
    }
}

/// Guard that counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct ActiveRequest(Rc<State>);

impl ActiveRequest {
    pub(crate) fn new(state: &Rc<State>) -> Self {
        state.active.set(state.active.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let left = self.0.active.get() - 1;
        self.0.active.set(left);
        if left == 0 {
            self.0.idle.notify_one();
        }
    }
}
