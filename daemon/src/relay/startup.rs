//! The start of this daemon: which steps it has taken, and the requests that wait for it.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use compact_str::{CompactString, ToCompactString as _};
use poplarvale_lib::protos::relay::Checkpoint;
use poplarvale_lib::relay::settings::RelaySettings;
use poplarvale_lib::relay::startup::{Fleet, Heard, Startup, View};
use tokio::sync::Notify;

use super::catalog::timeline::Source;
use super::peers::{merge_roster, update_roles};
use super::state::State;

/// Most requests that wait for the configuration.
const MAX_HELD: usize = 64;
/// Most bytes of their bodies.
const MAX_HELD_BYTES: usize = 4 * 1024 * 1024;
/// Bytes by which the capacity of links is counted in messages.
const KILOBYTE: f64 = 1000.0;
/// How long a daemon that reads the store does not ask others for the same.
const READ_PATIENCE: Duration = Duration::from_millis(150);

/// The start of this daemon.
#[derive(Debug)]
pub(crate) struct Start {
    decision: RefCell<Startup>,
    /// Until when others are not asked, as the store is being read.
    reading_until: Cell<Option<Instant>>,
    /// Where the configuration and the registry came from.
    config_from: RefCell<CompactString>,
    registry_from: RefCell<CompactString>,
    is_ready: Cell<bool>,
    /// Whether the registry came from the store.
    has_read: Cell<bool>,
    has_answered: Cell<bool>,
    /// Requests that wait, and the bytes of their bodies.
    held: Cell<(usize, usize)>,
    /// Notified when the daemon is ready.
    ready: Notify,
}

impl Start {
    /// The start of a daemon at this address.
    pub(super) fn new(settings: &RelaySettings, address: Ipv4Addr, now: Instant) -> Self {
        Self {
            decision: RefCell::new(Startup::new(now, settings.capacity, address)),
            reading_until: Cell::new(None),
            config_from: RefCell::default(),
            registry_from: RefCell::default(),
            is_ready: Cell::new(false),
            has_read: Cell::new(false),
            has_answered: Cell::new(false),
            held: Cell::new((0, 0)),
            ready: Notify::new(),
        }
    }

    /// Whether the configuration and the registry are known.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Whether this daemon is about to get all from the store, so that others are not asked.
    pub(crate) fn is_reading(&self, now: Instant) -> bool {
        !self.is_ready.get() && self.reading_until.get().is_some_and(|until| now < until)
    }

    /// Whether this daemon repeats its digests sooner: a watcher that started at the same moment may
    /// not have received the first one.
    pub(crate) fn asks(&self, now: Instant) -> bool {
        !self.is_ready.get() && self.decision.borrow().hold_until(now).is_some()
    }

    /// Records that the store is being read.
    pub(crate) fn begin_read(&self, now: Instant) {
        let is_independent = self.decision.borrow().is_independent();
        let until = is_independent.then(|| now + READ_PATIENCE);
        self.reading_until.set(until);
    }

    /// Waits until the configuration and the registry are known.
    async fn until_ready(&self) {
        while !self.is_ready.get() {
            self.ready.notified().await;
        }
    }

    /// Waits until they are known without a read of the store.
    pub(crate) async fn until_received(&self) {
        self.until_ready().await;
        if self.has_read.get() {
            std::future::pending::<()>().await;
        }
    }

    /// Records that the store did not answer.
    pub(crate) fn record_failure(&self) {
        self.reading_until.set(None);
        self.decision.borrow_mut().record_failure();
    }
}

/// Decides by the checkpoint of the last fleet who reads the store.
pub(crate) fn decide(state: &State, saved: &Checkpoint) {
    let now = Instant::now();
    let (own_zone, has_source) = {
        let peers = state.peers.borrow();
        (peers.own_location().zone, peers.hears_source(now))
    };
    let roster = saved.roster.clone().unwrap_or_default();
    let watchers = roster.candidates.iter();
    let watchers = watchers.filter(|row| row.zone == own_zone && row.watcher);
    let slowest = watchers.map(|row| row.link).min().unwrap_or_default();
    let fleet = Fleet {
        daemons: saved.daemons,
        zones: state.settings.zones.len() as u32,
        endpoints: saved.endpoints,
        entries: saved.entries,
        watcher_link: f64::from(slowest) * KILOBYTE,
    };
    let mut decision = state.start.decision.borrow_mut();
    decision.decide(fleet);
    log::info!(
        daemons = fleet.daemons, endpoints = fleet.endpoints, entries = fleet.entries,
        watcher_kb = slowest, has_source;
        "start: {decision}."
    );
    drop(decision);
    if !has_source {
        merge_roster(&mut state.peers.borrow_mut(), &roster, now);
        update_roles(state, now);
        state.digest_due.notify_one();
    }
}

/// From when on this daemon reads the store itself; `None` if it gets all from others.
pub(crate) fn read_from(state: &State, now: Instant) -> Option<Instant> {
    let peers = state.peers.borrow();
    let heard = if peers.rows().is_empty() {
        Heard::Alone
    } else if peers.hears_source(now) {
        Heard::Source
    } else if peers.followed(now).is_some() {
        Heard::Watcher
    } else {
        Heard::Nothing
    };
    let view = View {
        heard,
        is_watcher: peers.is_watcher(),
    };
    state.start.decision.borrow().read_from(view)
}

/// Records where the configuration came from.
pub(crate) fn record_config(state: &State, from: Source<'_>) {
    if !state.start.is_ready.get() {
        *state.start.config_from.borrow_mut() = from.to_compact_string();
        check_ready(state);
    }
}

/// Records where the registry came from.
pub(crate) fn record_registry(state: &State, from: Source<'_>) {
    if !state.start.is_ready.get() {
        state.start.has_read.set(matches!(from, Source::Store));
        *state.start.registry_from.borrow_mut() = from.to_compact_string();
        check_ready(state);
    }
}

/// Ends the start once both are known.
fn check_ready(state: &State) {
    if !state.listed.get() || state.catalog.borrow().is_none() {
        return;
    }
    state.start.is_ready.set(true);
    let took = state.started.elapsed();
    log::info!(
        held = state.start.held.get().0;
        "start: ready after {} ms; configuration from {}, endpoints from {}.",
        took.as_millis(),
        state.start.config_from.borrow(),
        state.start.registry_from.borrow()
    );
    state.measure(|metrics| metrics.record_start("ready", took));
    state.start.ready.notify_waiters();
}

/// Records that an endpoint's answer to a caller began.
pub(crate) fn record_answer(state: &State) {
    if !state.start.has_answered.replace(true) {
        let took = state.started.elapsed();
        log::info!("start: first answer after {} ms.", took.as_millis());
        state.measure(|metrics| metrics.record_start("answer", took));
    }
}

/// Lets a request with a body of so many bytes wait until the daemon is ready, if that is expected soon
/// and few others wait.
pub(crate) async fn hold(state: &State, bytes: usize) {
    let start = &state.start;
    let now = Instant::now();
    let until = start.decision.borrow().hold_until(now);
    let (count, sum) = start.held.get();
    let has_room = count < MAX_HELD && sum + bytes <= MAX_HELD_BYTES;
    let Some(until) = until.filter(|_| has_room && !start.is_ready.get()) else {
        return;
    };
    let _held = Held::new(start, bytes);
    tokio::select! {
        () = start.until_ready() => {}
        () = tokio::time::sleep_until(until.into()) => {}
        () = state.until_closing() => {}
    }
}

/// A request that waits, until it is dropped.
struct Held<'s> {
    start: &'s Start,
    bytes: usize,
}

impl<'s> Held<'s> {
    fn new(start: &'s Start, bytes: usize) -> Self {
        let (count, sum) = start.held.get();
        start.held.set((count + 1, sum + bytes));
        Self { start, bytes }
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let (count, sum) = self.start.held.get();
        self.start.held.set((count - 1, sum - self.bytes));
    }
}
