//! Follows the configuration and the list of endpoints in the store.
//!
//! Watchers follow both themselves; the other daemons do so only while no watcher tells
//! them enough. The store answers at once when something changes, and calls cost, so
//! after an answer the next watch waits a little and then gets all that came meanwhile
//! in one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use poplarvale_lib::relay::change_feed::{ChangeFeed, FeedAction, RegistryChange};
use poplarvale_lib::relay::digest::WATCHERS;
use poplarvale_lib::relay::endpoint_table::Changed;
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::quota::name_hash;
use poplarvale_lib::relay::rollout::Order;
use poplarvale_lib::{EndpointId, era_of};
use poplarvale_platform::{
    CONFIG_KEY, Change, Item, OPERATOR_PREFIX, REGISTRY_PREFIX, ROLLOUT_PREFIX, Reply,
    STATUS_PREFIX, StoreError, range, read_config, read_listing, read_range, read_rollout,
    read_status, read_watch, watch,
};

use super::checkpoint::{self, CHECKPOINT};
use super::client::{CallError, Client};
use super::crash::{self, CRASHES};
use super::duties::{LEADER, OWN};
use super::state::State;

/// How long the store may hold a watch open. A connection to a store that went
/// silent stays silent after its return, so this bounds how long a daemon does not
/// know that endpoints left.
const WAIT: Duration = Duration::from_secs(1);
/// How much longer than that an answer may take: its way and a slow store.
const SLACK: Duration = Duration::from_millis(600);
/// How long a page of a list may take to be read. A call that a silent store swallowed
/// holds the next try up for this long, and with [`MOST_RETRY`] it bounds how late a
/// daemon hears of the store's return: operators and leaving endpoints count on two
/// seconds. A slow store takes up to half a second.
const READ: Duration = Duration::from_millis(900);
/// Pause between watches of few daemons. An endpoint that leaves must get nothing
/// new two seconds later; entries are renewed every second or so, and each watch is
/// paid for.
const PAUSE: Duration = Duration::from_millis(600);
/// Longer pause for each other daemon, up to the most: whoever sees first that an
/// endpoint leaves tells the others at once, so together they look often enough.
const PAUSE_EACH: Duration = Duration::from_millis(12);
const MOST_PAUSE: Duration = Duration::from_millis(1300);
/// Pause after a failed call, doubled after each further one up to the most.
const RETRY: Duration = Duration::from_millis(150);
const MOST_RETRY: Duration = Duration::from_millis(700);
/// Beginning of all keys that are followed.
const FOLLOWED: &str = "";

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Store(#[from] StoreError),
}

/// Follows the store until the process ends.
pub(crate) async fn follow(state: Rc<State>) {
    let mut client = Client::of_store(&state);
    let mut retry = RETRY;
    let mut failing = false;
    loop {
        let began = Instant::now();
        let revision = state.store_progress.borrow_mut().begin_read();
        let step = match revision {
            None => read_all(&state, &mut client).await,
            Some(after) => watch_once(&state, &mut client, after).await,
        };
        state.store_progress.borrow_mut().end_read();
        match step {
            Ok(()) => {
                let now = Instant::now();
                if failing {
                    let silence = state.connectivity.get().since_answer(now);
                    log::info!("store: back after {silence:?}.");
                    failing = false;
                }
                state.store_answered(now);
                state.measure(|metrics| metrics.called("store", "done"));
                retry = RETRY;
                until_due(&state, now + pause(&state)).await;
            }
            Err(error) => {
                state.measure(|metrics| metrics.called("store", "failed"));
                if !failing {
                    log::warn!("store: away, {error}.");
                    failing = true;
                }
                if matches!(error, WatchError::Store(StoreError::Compacted)) {
                    log::info!("store: its history is gone, everything is read anew.");
                    state.store_progress.borrow_mut().invalidate();
                    continue;
                }
                if matches!(error, WatchError::Store(StoreError::Restored)) {
                    log::info!("store: it came back from an older copy, everything is read anew.");
                    state.store_progress.borrow_mut().invalidate();
                    state.crashes.borrow_mut().mark_unsaved();
                    state.quarantined.notify_one();
                    continue;
                }
                // After an outage the whole list is read: a removal may have been missed.
                state.store_failed(began);
                if !state.connectivity.get().is_reachable() {
                    state.store_progress.borrow_mut().invalidate();
                }
                tokio::time::sleep(retry).await;
                retry = (retry * 2).min(MOST_RETRY);
            }
        }
    }
}

/// Time until a daemon that follows the store looks again.
fn pause(state: &State) -> Duration {
    let peers = state.peers.borrow();
    let mut others = peers.rows().len();
    if peers.is_watcher(Instant::now()) {
        others = others.min(WATCHERS * state.settings.zones.len());
    }
    (PAUSE + PAUSE_EACH * others as u32).min(MOST_PAUSE)
}

/// Waits until this daemon has to look for itself: at the moment `due`, or later if it
/// is told enough meanwhile.
async fn until_due(state: &State, due: Instant) {
    loop {
        let now = Instant::now();
        let told = state.store_progress.borrow().fed_until(now);
        let told = told.filter(|_| !state.peers.borrow().is_watcher(now));
        let until = told.map_or(due, |told| told.max(due));
        if now >= until {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => {}
            () = state.read_store.notified() => return,
        }
    }
}

/// Reads the configuration and the whole list.
async fn read_all(state: &State, client: &mut Client) -> Result<(), WatchError> {
    let (items, revision) = list(client, OPERATOR_PREFIX).await?;
    for item in &items {
        take_order(state, item);
    }
    let moves = !state.rollouts.borrow().is_empty();
    if moves {
        let (items, _) = list(client, STATUS_PREFIX).await?;
        for item in &items {
            take_status(state, item);
        }
    }
    let (items, _) = list(client, OWN).await?;
    take_leader(state, items.iter().find(|item| item.key == LEADER));
    for item in items.iter().filter(|item| item.key.starts_with(CRASHES)) {
        crash::restore(state, &item.value);
    }
    if !state.listed.get() {
        let saved = items.iter().find(|item| item.key == CHECKPOINT);
        let saved = saved.and_then(|item| checkpoint::read(&item.value));
        if let Some(saved) = saved {
            checkpoint::restore_quota(state, &saved);
        }
    }
    let (items, _) = list(client, REGISTRY_PREFIX).await?;
    if era_of(revision) != state.eras.newest() {
        return Err(StoreError::Restored.into());
    }
    let now = Instant::now();
    let returned = state.eras.read_in(era_of(revision));
    let listings = items.iter().filter_map(listing).collect();
    let changes = {
        let mut table = state.endpoints.borrow_mut();
        let contact = state.connectivity.get();
        if state.listed.get() && !contact.is_reachable() {
            table.registry_back(now);
        } else if state.listed.get() && returned {
            // Entries of living endpoints are missing in an older copy too. It came back
            // after the last answer; reckoned from its first, one that left since would
            // stay in use for too long.
            table.registry_back(contact.last_answer());
        }
        table.replace(listings, now)
    };
    for (id, change) in changes {
        tell(state, &id, change);
    }
    state.listed.set(true);
    state
        .store_progress
        .borrow_mut()
        .record_snapshot(revision, now);
    Ok(())
}

/// Reads all pages of a list, with the revision of the first.
async fn list(client: &mut Client, prefix: &str) -> Result<(Vec<Item>, u64), WatchError> {
    let mut all: Vec<Item> = Vec::new();
    let mut first = None;
    loop {
        let after = all.last().map(|item| item.key.clone()).unwrap_or_default();
        let reply = client.call(&range(prefix, &after, false), READ).await?;
        let (items, more, revision) = read_range(&reply)?;
        let first = *first.get_or_insert(revision);
        let empty = items.is_empty();
        all.extend(items);
        if !more || empty {
            return Ok((all, first));
        }
    }
}

async fn watch_once(state: &State, client: &mut Client, after: u64) -> Result<(), WatchError> {
    let call = watch(FOLLOWED, after, WAIT);
    let reply: Reply = client.call(&call, WAIT + SLACK).await?;
    let watched = read_watch(&reply, after)?;
    for change in &watched.changes {
        take_change(state, change);
    }
    let mut follow = state.store_progress.borrow_mut();
    follow.record_watch(watched.revision, Instant::now());
    Ok(())
}

fn take_change(state: &State, change: &Change) {
    match change {
        Change::Put(item) if item.key.starts_with(OPERATOR_PREFIX) => {
            state
                .store_progress
                .borrow_mut()
                .record_config_change(item.revision);
            take_order(state, item);
        }
        Change::Put(item) if item.key.starts_with(STATUS_PREFIX) => {
            state
                .store_progress
                .borrow_mut()
                .record_config_change(item.revision);
            take_status(state, item);
        }
        Change::Put(item) if item.key.starts_with(REGISTRY_PREFIX) => {
            if let Some(listing) = listing(item) {
                let entry = RegistryChange::Put(listing);
                take_entry(state, item.revision, entry);
            }
        }
        Change::Put(item) if item.key == LEADER => {
            state
                .store_progress
                .borrow_mut()
                .record_config_change(item.revision);
            take_leader(state, Some(item));
        }
        Change::Removed(key, revision) if key == LEADER => {
            state
                .store_progress
                .borrow_mut()
                .record_config_change(*revision);
            take_leader(state, None);
        }
        Change::Removed(key, revision) => {
            if let Some(id) = key.strip_prefix(REGISTRY_PREFIX) {
                take_entry(state, *revision, RegistryChange::Removed(id.into()));
            }
        }
        Change::Put(item) if item.key.starts_with(CRASHES) => crash::restore(state, &item.value),
        Change::Put(_) => {}
    }
}

/// Takes a change of the registry in that this daemon saw itself, to be told on.
fn take_entry(state: &State, revision: u64, entry: RegistryChange) {
    let now = Instant::now();
    let is_news = match &entry {
        RegistryChange::Put(listing) => state.endpoints.borrow().is_change(listing),
        RegistryChange::Removed(_) => true,
    };
    if is_news {
        let mut follow = state.store_progress.borrow_mut();
        follow.record_change(revision, entry.clone(), now);
    }
    let (id, change) = apply(state, entry, now);
    tell(state, &id, change);
}

fn apply(state: &State, entry: RegistryChange, now: Instant) -> (EndpointId, Changed) {
    let mut table = state.endpoints.borrow_mut();
    match entry {
        RegistryChange::Put(listing) => (listing.id.clone(), table.put(listing)),
        RegistryChange::Removed(id) => {
            let change = table.entry_removed(&id, now);
            (id, change)
        }
    }
}

/// Takes in what a watcher of this zone tells.
pub(crate) fn take_news(state: &State, news: ChangeFeed, now: Instant) {
    if state.peers.borrow().is_watcher(now) {
        return;
    }
    let (answered, check) = (now.checked_sub(news.age), news.checksum);
    let silent = state.peers.borrow().local_timeout();
    let heard = state.store_progress.borrow_mut().merge(news, silent, now);
    let entries = match heard {
        FeedAction::Apply(entries) => entries,
        FeedAction::Read => return state.read_store.notify_one(),
        FeedAction::Ignore => return,
    };
    if let Some(answered) = answered {
        state.store_answered(answered);
    }
    for entry in entries {
        let (id, change) = apply(state, entry, now);
        log_change(state, &id, change);
    }
    let mine = state.endpoints.borrow().checksum();
    if !state.store_progress.borrow_mut().compare(check, mine) {
        log::warn!("store: what is told differs, everything is read anew.");
        state.read_store.notify_one();
    }
}

/// Takes in what operators wrote: the configuration or a version move.
fn take_order(state: &State, item: &Item) {
    if item.key == CONFIG_KEY {
        take_config(state, item);
    } else if item.key.starts_with(ROLLOUT_PREFIX) {
        take_rollout(state, item);
    }
}

fn take_rollout(state: &State, item: &Item) {
    let (service, target, life) = match read_rollout(&item.value) {
        Ok(order) => order,
        Err(error) => {
            log::warn!("rollout: revision {} skipped, {error}.", item.revision);
            return;
        }
    };
    let now = state.unix_ms();
    let life_ms = u64::try_from(life.as_millis()).unwrap_or(u64::MAX);
    let finish = now.saturating_add(life_ms);
    let order = Order {
        service,
        target,
        revision: item.revision,
    };
    let (service, target) = (order.service.clone(), order.target.clone());
    if state.rollouts.borrow_mut().add_order(order, now, finish) {
        log::info!("rollout: {service} is to go to version {target} within {life:?}.");
    }
}

fn take_status(state: &State, item: &Item) {
    let Some(service) = item.key.strip_prefix(STATUS_PREFIX) else {
        return;
    };
    match read_status(&item.value) {
        Ok((target, outcome)) => {
            let mut rollouts = state.rollouts.borrow_mut();
            rollouts.apply_status(service, &target, outcome, item.revision);
        }
        Err(error) => log::warn!("rollout: state of {service} skipped, {error}."),
    }
}

/// Notes who holds the duties.
fn take_leader(state: &State, item: Option<&Item>) {
    let name = item.map(|item| String::from_utf8_lossy(&item.value).into());
    *state.duty_holder.borrow_mut() = name;
}

/// Tells the other daemons of an endpoint that leaves.
fn tell(state: &State, id: &str, change: Changed) {
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
                until_ms = left.as_millis() as u64, in_touch = in_touch(state);
                "board: endpoint {id} is missing after an outage and stays in use."
            );
        }
        Changed::Nothing => {}
    }
}

/// How many of the daemons heard lately say that the store answers them.
fn in_touch(state: &State) -> usize {
    let peers = state.peers.borrow();
    let rows = peers.recent(Instant::now());
    rows.filter(|row| row.store.is_some()).count()
}

/// Brings a newer configuration into force; an older one is never taken.
fn take_config(state: &State, item: &Item) {
    let catalog = match read_config(&item.value) {
        Ok(catalog) => catalog,
        Err(error) => {
            log::warn!("config: revision {} skipped, {error}.", item.revision);
            return;
        }
    };
    let mut held = state.catalog.borrow_mut();
    if held
        .as_ref()
        .is_none_or(|held| held.version < catalog.version)
    {
        log::info!("config: version {} in force.", catalog.version);
        *held = Some(Rc::new(catalog));
    }
}

fn listing(item: &Item) -> Option<Listing> {
    let id = item.key.strip_prefix(REGISTRY_PREFIX)?;
    match read_listing(id, &item.value) {
        Ok(listing) => Some(listing),
        Err(error) => {
            log::debug!("board: entry {id} skipped, {error}.");
            None
        }
    }
}
