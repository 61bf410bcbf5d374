//! Watches the configuration and the registry of endpoints in the store.
//!
//! The watchers of a zone always watch both themselves; the other daemons do so only while they
//! receive no sufficient change feed from a watcher. The store answers a watch as soon as
//! something changes, and each call is paid for, so the next watch starts after a pause and
//! returns all changes since the last one in a single answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use poplarvale_lib::relay::catalog::{Catalog, Service};
use poplarvale_lib::relay::change_feed::{ChangeFeed, FeedAction, RegistryChange};
use poplarvale_lib::relay::digest::WATCHERS;
use poplarvale_lib::relay::endpoint_table::Changed;
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::quota::name_hash;
use poplarvale_lib::relay::rollout::Order;
use poplarvale_lib::relay::slow_start::SlowStart;
use poplarvale_lib::{EndpointId, era_of};
use poplarvale_platform::{
    CONFIG_KEY, Change, EVACUATION_PREFIX, Item, OPERATOR_PREFIX, REGISTRY_PREFIX, ROLLOUT_PREFIX,
    Reply, STATUS_PREFIX, StoreError, range, read_config, read_listing, read_range, read_rollout,
    read_status, read_watch, watch,
};

use super::checkpoint::{self, CHECKPOINT_KEY};
use super::client::{CallError, Client};
use super::crash::{self, CRASH_PREFIX};
use super::duties::{LEADER_KEY, OWN_PREFIX};
use super::evacuation;
use super::state::State;

/// How long the store may hold a watch open. A connection on which the store stopped answering
/// stays unanswered after the store's return, so this bounds how long a daemon does not know
/// that endpoints left.
const WATCH_TIME: Duration = Duration::from_secs(1);
/// How much longer than [`WATCH_TIME`] an answer may take, for the network and a slow store.
const WATCH_SLACK: Duration = Duration::from_millis(600);
/// Timeout for reading one page of a list. A call that an unresponsive store does not answer
/// delays the next attempt by this time. Together with [`MAX_RETRY_DELAY`] this bounds how late
/// a daemon notices the store's return: operators and leaving endpoints rely on two seconds. A
/// slow store takes up to half a second.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause between two watches where there are few daemons. An endpoint that leaves must get no
/// new request two seconds later. A shorter pause would cost more: entries are rewritten about
/// every second, so that a watch returns soon, and each watch is paid for.
const WATCH_PAUSE: Duration = Duration::from_millis(600);
/// Added to the pause for each other daemon, up to [`MAX_PAUSE`]. The daemon that is first to see
/// an endpoint leave sends that to the others at once, so together they watch often enough.
const PAUSE_PER_PEER: Duration = Duration::from_millis(12);
const MAX_PAUSE: Duration = Duration::from_millis(1300);
/// Delay after a failed call, doubled after each further failure up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Prefix of all watched keys; empty, as all keys are watched.
const WATCH_PREFIX: &str = "";

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Store(#[from] StoreError),
}

/// Watches the store, or waits while the change feed of a watcher suffices, until the process
/// ends.
pub(crate) async fn watch_store(state: Rc<State>) {
    let mut client = Client::of_store(&state);
    let mut delay = RETRY_DELAY;
    let mut failing = false;
    loop {
        let began = Instant::now();
        let revision = state.store_progress.borrow_mut().begin_read();
        let result = match revision {
            None => read_all(&state, &mut client).await,
            Some(after) => watch_once(&state, &mut client, after).await,
        };
        state.store_progress.borrow_mut().end_read();
        match result {
            Ok(()) => {
                let now = Instant::now();
                if failing {
                    let outage = state.connectivity.get().since_answer(now);
                    log::info!("store: available again after {outage:?}.");
                    failing = false;
                }
                state.store_answered(now);
                state.measure(|metrics| metrics.record_call("store", "done"));
                delay = RETRY_DELAY;
                wait_until_due(&state, now + watch_pause(&state)).await;
            }
            Err(error) => {
                state.measure(|metrics| metrics.record_call("store", "failed"));
                if !failing {
                    log::warn!("store: call failed, {error}; retrying.");
                    failing = true;
                }
                if matches!(error, WatchError::Store(StoreError::Compacted)) {
                    log::info!("store: its history was compacted; reading everything again.");
                    state.store_progress.borrow_mut().invalidate();
                    continue;
                }
                if matches!(error, WatchError::Store(StoreError::Restored)) {
                    log::info!("store: restored from an older copy; reading everything again.");
                    state.store_progress.borrow_mut().invalidate();
                    state.crashes.borrow_mut().mark_unsaved();
                    state.quarantined.notify_one();
                    continue;
                }
                // After an outage the whole list is read again, as a removal may have been missed.
                state.store_failed(began);
                if !state.connectivity.get().is_reachable() {
                    state.store_progress.borrow_mut().invalidate();
                }
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Pause until the next watch of a daemon that watches the store itself.
fn watch_pause(state: &State) -> Duration {
    let peers = state.peers.borrow();
    let mut others = peers.rows().len();
    if peers.is_watcher(Instant::now()) {
        others = others.min(WATCHERS * state.settings.zones.len());
    }
    (WATCH_PAUSE + PAUSE_PER_PEER * others as u32).min(MAX_PAUSE)
}

/// Waits until this daemon has to read the store itself: at `due`, or later if it receives
/// sufficient change feeds meanwhile.
async fn wait_until_due(state: &State, due: Instant) {
    loop {
        let now = Instant::now();
        let fed = state.store_progress.borrow().fed_until(now);
        let fed = fed.filter(|_| !state.peers.borrow().is_watcher(now));
        let until = fed.map_or(due, |fed| fed.max(due));
        if now >= until {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => {}
            () = state.read_store.notified() => return,
        }
    }
}

/// Reads the configuration, the version moves, the keys of the daemons and the whole registry.
async fn read_all(state: &State, client: &mut Client) -> Result<(), WatchError> {
    let (items, revision) = list(client, OPERATOR_PREFIX).await?;
    for item in &items {
        apply_config_item(state, item);
    }
    evacuation::replace(state, evacuation::zones_of(&items));
    let moves = !state.rollouts.borrow().is_empty();
    if moves {
        let (items, _) = list(client, STATUS_PREFIX).await?;
        for item in &items {
            apply_status(state, item);
        }
    }
    let (items, _) = list(client, OWN_PREFIX).await?;
    set_duty_holder(state, items.iter().find(|item| item.key == LEADER_KEY));
    for item in items
        .iter()
        .filter(|item| item.key.starts_with(CRASH_PREFIX))
    {
        crash::restore(state, &item.value);
    }
    if !state.listed.get() {
        let saved = items.iter().find(|item| item.key == CHECKPOINT_KEY);
        let saved = saved.and_then(|item| checkpoint::decode(&item.value));
        if let Some(saved) = saved {
            checkpoint::restore_quota(state, &saved);
        }
    }
    let (items, _) = list(client, REGISTRY_PREFIX).await?;
    if era_of(revision) != state.eras.newest() {
        return Err(StoreError::Restored.into());
    }
    let now = Instant::now();
    let restored = state.eras.record_read(era_of(revision));
    let listings = items.iter().filter_map(read_entry).collect();
    let changes = {
        let mut table = state.endpoints.borrow_mut();
        let contact = state.connectivity.get();
        if state.listed.get() && !contact.is_reachable() {
            table.registry_back(now);
        } else if state.listed.get() && restored {
            // An older copy lacks entries of running endpoints too. The store was restored some
            // time after its last answer in the former era. If the grace started at its first
            // answer in the new one, an endpoint that left since would stay in use for too long.
            table.registry_back(contact.last_answer());
        }
        table.replace(listings, now)
    };
    for (id, change) in changes {
        announce(state, &id, change);
    }
    state.listed.set(true);
    state
        .store_progress
        .borrow_mut()
        .record_snapshot(revision, now);
    Ok(())
}

/// Reads all pages of a list; returns its items and the revision of the first page.
async fn list(client: &mut Client, prefix: &str) -> Result<(Vec<Item>, u64), WatchError> {
    let mut all: Vec<Item> = Vec::new();
    let mut first = None;
    loop {
        let after = all.last().map(|item| item.key.clone()).unwrap_or_default();
        let reply = client
            .call(&range(prefix, &after, false), READ_TIMEOUT)
            .await?;
        let (items, more, revision) = read_range(&reply)?;
        let first = *first.get_or_insert(revision);
        let empty = items.is_empty();
        all.extend(items);
        if !more || empty {
            return Ok((all, first));
        }
    }
}

/// Waits for the changes after a revision once and applies them.
async fn watch_once(state: &State, client: &mut Client, after: u64) -> Result<(), WatchError> {
    let call = watch(WATCH_PREFIX, after, WATCH_TIME);
    let reply: Reply = client.call(&call, WATCH_TIME + WATCH_SLACK).await?;
    let watched = read_watch(&reply, after)?;
    for change in &watched.changes {
        apply_change(state, change);
    }
    let mut progress = state.store_progress.borrow_mut();
    progress.record_watch(watched.revision, Instant::now());
    Ok(())
}

/// Applies a change of any watched key.
fn apply_change(state: &State, change: &Change) {
    match change {
        Change::Put(item) if item.key.starts_with(EVACUATION_PREFIX) => {
            if let Some(zone) = evacuation::zone_of(&item.key) {
                evacuation::begin(state, zone);
            }
        }
        Change::Removed(key, _) if key.starts_with(EVACUATION_PREFIX) => {
            if let Some(zone) = evacuation::zone_of(key) {
                evacuation::end(state, &zone);
            }
        }
        Change::Put(item) if item.key.starts_with(OPERATOR_PREFIX) => {
            state
                .store_progress
                .borrow_mut()
                .record_config_change(item.revision);
            apply_config_item(state, item);
        }
        Change::Put(item) if item.key.starts_with(STATUS_PREFIX) => {
            state
                .store_progress
                .borrow_mut()
                .record_config_change(item.revision);
            apply_status(state, item);
        }
        Change::Put(item) if item.key.starts_with(REGISTRY_PREFIX) => {
            if let Some(listing) = read_entry(item) {
                let change = RegistryChange::Put(listing);
                apply_watched(state, item.revision, change);
            }
        }
        Change::Put(item) if item.key == LEADER_KEY => {
            state
                .store_progress
                .borrow_mut()
                .record_config_change(item.revision);
            set_duty_holder(state, Some(item));
        }
        Change::Removed(key, revision) if key == LEADER_KEY => {
            state
                .store_progress
                .borrow_mut()
                .record_config_change(*revision);
            set_duty_holder(state, None);
        }
        Change::Removed(key, revision) => {
            if let Some(id) = key.strip_prefix(REGISTRY_PREFIX) {
                apply_watched(state, *revision, RegistryChange::Removed(id.into()));
            }
        }
        Change::Put(item) if item.key.starts_with(CRASH_PREFIX) => {
            crash::restore(state, &item.value);
        }
        Change::Put(_) => {}
    }
}

/// Applies a registry change that this daemon read from the store itself, and records it for the
/// change feed.
fn apply_watched(state: &State, revision: u64, change: RegistryChange) {
    let now = Instant::now();
    let is_change = match &change {
        RegistryChange::Put(listing) => state.endpoints.borrow().is_change(listing),
        RegistryChange::Removed(_) => true,
    };
    if is_change {
        let mut progress = state.store_progress.borrow_mut();
        progress.record_change(revision, change.clone(), now);
    }
    let (id, effect) = apply(state, change, now);
    announce(state, &id, effect);
}

/// Applies a registry change to the endpoint table.
fn apply(state: &State, change: RegistryChange, now: Instant) -> (EndpointId, Changed) {
    let mut table = state.endpoints.borrow_mut();
    match change {
        RegistryChange::Put(listing) => (listing.id.clone(), table.put(listing)),
        RegistryChange::Removed(id) => {
            let effect = table.entry_removed(&id, now);
            (id, effect)
        }
    }
}

/// Applies the change feed of a watcher of this zone.
pub(crate) fn apply_feed(state: &State, feed: ChangeFeed, now: Instant) {
    if state.peers.borrow().is_watcher(now) {
        return;
    }
    let (answered, checksum) = (now.checked_sub(feed.age), feed.checksum);
    let timeout = state.peers.borrow().local_timeout();
    let action = state.store_progress.borrow_mut().merge(feed, timeout, now);
    let (changes, evacuated) = match action {
        FeedAction::Apply(changes, evacuated) => (changes, evacuated),
        FeedAction::Read => return state.read_store.notify_one(),
        FeedAction::Ignore => return,
    };
    if let Some(answered) = answered {
        state.store_answered(answered);
    }
    if let Some(zones) = evacuated {
        evacuation::replace(state, zones);
    }
    for change in changes {
        let (id, effect) = apply(state, change, now);
        log_change(state, &id, effect);
    }
    let own = state.endpoints.borrow().checksum();
    if !state.store_progress.borrow_mut().compare(checksum, own) {
        log::warn!("store: endpoints differ from the change feed; reading everything again.");
        state.read_store.notify_one();
    }
}

/// Applies a value that operators wrote: the configuration or the order of a version move.
fn apply_config_item(state: &State, item: &Item) {
    if item.key == CONFIG_KEY {
        apply_config(state, item);
    } else if item.key.starts_with(ROLLOUT_PREFIX) {
        apply_rollout(state, item);
    }
}

/// Adds the order of a version move.
fn apply_rollout(state: &State, item: &Item) {
    let (service, target, limit) = match read_rollout(&item.value) {
        Ok(order) => order,
        Err(error) => {
            log::warn!(
                "rollout: ignored the order of revision {}, {error}.",
                item.revision
            );
            return;
        }
    };
    let now = state.unix_ms();
    let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    let finish = now.saturating_add(limit_ms);
    let order = Order {
        service,
        target,
        revision: item.revision,
    };
    let (service, target) = (order.service.clone(), order.target.clone());
    if state.rollouts.borrow_mut().add_order(order, now, finish) {
        log::info!("rollout: {service} is to move to version {target} within {limit:?}.");
    }
}

/// Applies the stored state of a version move.
fn apply_status(state: &State, item: &Item) {
    let Some(service) = item.key.strip_prefix(STATUS_PREFIX) else {
        return;
    };
    match read_status(&item.value) {
        Ok((target, outcome)) => {
            let mut rollouts = state.rollouts.borrow_mut();
            rollouts.apply_status(service, &target, outcome, item.revision);
        }
        Err(error) => log::warn!("rollout: ignored the stored state of {service}, {error}."),
    }
}

/// Records which daemon holds the duties.
fn set_duty_holder(state: &State, item: Option<&Item>) {
    let name = item.map(|item| String::from_utf8_lossy(&item.value).into());
    *state.duty_holder.borrow_mut() = name;
}

/// Logs a change; if an endpoint leaves, has that sent to the other daemons at once.
fn announce(state: &State, id: &str, change: Changed) {
    log_change(state, id, change);
    if change == Changed::Left {
        state.left_endpoints.borrow_mut().push(name_hash(id));
        state.digest_due.notify_one();
    }
}

fn log_change(state: &State, id: &str, change: Changed) {
    match change {
        Changed::Joined => log::info!("board: endpoint {id} joined."),
        Changed::Left => log::info!("board: endpoint {id} leaves."),
        Changed::Doubted(until) => {
            let left = until.saturating_duration_since(Instant::now());
            log::info!(
                until_ms = left.as_millis() as u64, in_touch = connected_peers(state);
                "board: endpoint {id} has no entry after an outage and stays in use for now."
            );
        }
        Changed::Nothing => {}
    }
}

/// How many of the daemons that sent a digest recently report that they can reach the store.
fn connected_peers(state: &State) -> usize {
    let peers = state.peers.borrow();
    let rows = peers.recent(Instant::now());
    rows.filter(|row| row.store.is_some()).count()
}

/// Puts a newer configuration into force; an older one is ignored.
fn apply_config(state: &State, item: &Item) {
    let catalog = match read_config(&item.value) {
        Ok(catalog) => catalog,
        Err(error) => {
            log::warn!(
                "config: ignored the configuration of revision {}, {error}.",
                item.revision
            );
            return;
        }
    };
    let mut current = state.catalog.borrow_mut();
    if current
        .as_ref()
        .is_none_or(|current| current.version < catalog.version)
    {
        log::info!("config: version {} in force.", catalog.version);
        set_slow_starts(state, &catalog);
        *current = Some(Rc::new(catalog));
    }
}

/// Sets the slow starts of the services whose endpoints are cold after their start.
fn set_slow_starts(state: &State, catalog: &Catalog) {
    let tolerance = state.settings.bounds.cold_tolerance;
    let slow_start = |service: &Service| {
        let cold = service.cold?;
        let limit = SlowStart::new(cold.time, cold.rate, tolerance);
        Some((service.name.clone(), limit))
    };
    let slow_starts = catalog.services.iter().filter_map(slow_start).collect();
    state.endpoints.borrow_mut().set_slow_starts(slow_starts);
}

/// The endpoint of a registry item; `None` if the item cannot be read.
fn read_entry(item: &Item) -> Option<Listing> {
    let id = item.key.strip_prefix(REGISTRY_PREFIX)?;
    match read_listing(id, &item.value, Instant::now()) {
        Ok(listing) => Some(listing),
        Err(error) => {
            log::debug!("board: ignored the registry entry {id}, {error}.");
            None
        }
    }
}
