//! Reads the configuration and the registry of endpoints from the store.
//!
//! Only the watchers of a zone do so, and send what they read to the others: the registry as a feed of
//! changes, the configuration on request. The store answers a watch as soon as
//! something changes, and each call is paid for, so the next watch starts after a pause and
//! returns all changes since the last one in a single answer. Another daemon reads the changes itself
//! when [`refresh`] tells, and feeds them to its zone.
//!
//! [`refresh`]: poplarvale_lib::relay::refresh

use std::fmt::{self, Display, Formatter};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use poplarvale_lib::relay::change_feed::{ChangeFeed, FeedAction, RegistryChange};
use poplarvale_lib::relay::endpoint_table::Changed;
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::membership::WATCHERS;
use poplarvale_lib::relay::quota::name_hash;
use poplarvale_lib::relay::refresh::Refresh;
use poplarvale_lib::relay::rollout::Order;
use poplarvale_lib::{EndpointId, Revision, era_of};
use poplarvale_platform::{
    CONFIG_KEY, Change, EVACUATION_PREFIX, Item, OPERATOR_PREFIX, REGISTRY_PREFIX, ROLLOUT_PREFIX,
    Reply, STATUS_PREFIX, StoreError, range, read_listing, read_range, read_rollout, read_status,
    read_watch, watch,
};

use super::catalog::adopt_item;
use super::catalog::timeline::{self, Source};
use super::checkpoint::{self, CHECKPOINT_KEY};
use super::client::{CallError, Client};
use super::crash::{self, CRASH_PREFIX};
use super::duties::{LEADER_KEY, OWN_PREFIX, era_record};
use super::evacuation;
use super::startup;
use super::state::State;

/// How long the store may hold a watch open at most. A connection on which the store stopped answering
/// stays unanswered after the store's return, so this bounds how long a daemon does not know
/// that endpoints left.
const MAX_WATCH_TIME: Duration = Duration::from_millis(800);
/// How long it may do so at least.
const MIN_WATCH_TIME: Duration = Duration::from_millis(100);
/// How much longer than a watch may be held its answer may take, for the network and a slow store.
const WATCH_SLACK: Duration = Duration::from_millis(600);
/// Time between two answers of the store to a watcher if nothing changes. With the time until the next
/// digest it is shorter than [`MAX_FED_AGE`], so that fed daemons need not read the store.
///
/// [`MAX_FED_AGE`]: poplarvale_lib::relay::refresh::MAX_FED_AGE
const ANSWER_INTERVAL: Duration = Duration::from_millis(1100);
/// Timeout until the first byte of a page of a list. A call that an unresponsive store does not
/// answer delays the next attempt by this time. Together with [`MAX_RETRY_DELAY`] this bounds how late
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
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Delay after a failed call, doubled after each further failure up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Longest time until a daemon checks again whether it has to read anything; it is notified before
/// that if so.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How long a daemon that has just started and knows of others waits before it reads the registry:
/// by then it knows whether others rank before it, and gets the registry from them.
const DISCOVERY_TIME: Duration = Duration::from_millis(400);
/// Most changes at once that are logged one by one.
const MAX_LOGGED: usize = 16;
/// Prefix of all watched keys; empty, as all keys are watched.
const WATCH_PREFIX: &str = "";

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Store(#[from] StoreError),
}

/// What a daemon reads next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    /// The keys that daemons write.
    Own,
    /// The operators' keys.
    Config,
    /// The operators' keys and the whole registry.
    All,
    /// The changes after a revision, as they come.
    Watch(Revision),
    /// The changes after a revision up to now, as no watcher feeds them.
    Refresh(Revision),
    /// Nothing until this moment.
    Wait(Instant),
}

impl Display for Task {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Own => "reading the daemons' keys",
            Self::Config => "reading the operators' keys",
            Self::All => "reading all keys",
            Self::Watch(_) => "watching for changes",
            Self::Refresh(_) => "reading the changes",
            Self::Wait(_) => "waiting",
        })
    }
}

/// Reads what is due until the process ends.
pub(crate) async fn watch_store(state: Rc<State>) {
    let mut client = Client::of_reader(&state);
    let mut delay = RETRY_DELAY;
    let mut failing = false;
    let mut next_watch = Instant::now();
    let mut refresh = Refresh::new(state.peers.borrow().own_address());
    loop {
        let began = Instant::now();
        let task = next_task(&state, next_watch, &refresh, began);
        let was_ready = state.start.is_ready();
        if task == Task::All {
            state.start.begin_read(began);
        }
        let result = match task {
            Task::Own => read_own(&state, &mut client).await,
            Task::Config => {
                // If it fails, other daemons are asked again before the next attempt.
                state.reads_config.set(false);
                read_operators(&state, &mut client).await
            }
            Task::All if state.start.is_ready() => read_all(&state, &mut client).await,
            Task::All => {
                tokio::select! {
                    biased;
                    result = read_all(&state, &mut client) => result,
                    // Another daemon was faster.
                    () = state.start.until_received() => continue,
                }
            }
            Task::Watch(after) => watch_once(&state, &mut client, after, watch_time(&state)).await,
            Task::Refresh(after) => {
                // Nothing is known of a connection that was not used for long.
                client = Client::of_reader(&state);
                read_changes(&state, &mut client, after).await
            }
            Task::Wait(until) => {
                tokio::select! {
                    () = tokio::time::sleep_until(until.into()) => {}
                    () = state.read_store.notified() => {}
                }
                continue;
            }
        };
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
                next_watch = now + watch_pause(&state);
                refresh.record_answer();
                if was_ready && matches!(task, Task::Refresh(_) | Task::All) {
                    feed_zone(&state);
                }
            }
            Err(error) => {
                state.measure(|metrics| metrics.record_call("store", "failed"));
                if !failing {
                    log::warn!("store: {task} failed, {error}; retrying.");
                    failing = true;
                }
                if matches!(error, WatchError::Store(StoreError::Compacted)) {
                    log::info!("store: its history was compacted; reading everything again.");
                    state.reads_all.set(true);
                    continue;
                }
                if matches!(error, WatchError::Store(StoreError::Restored)) {
                    log::info!("store: restored from an older copy; reading everything again.");
                    state.reads_all.set(true);
                    note_restore(&state);
                    continue;
                }
                // After an outage the whole list is read again, as a removal may have been missed.
                state.store_failed(began);
                state.start.record_failure();
                if !state.connectivity.get().is_reachable() {
                    state.reads_all.set(true);
                }
                refresh.record_failure(Instant::now(), fastrand::f64());
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// What this daemon has to read next, where a watcher's next watch is due at `next_watch`.
fn next_task(state: &State, next_watch: Instant, refresh: &Refresh, now: Instant) -> Task {
    if !state.read_own.get() {
        return Task::Own;
    }
    if state.reads_config.get() {
        return Task::Config;
    }
    let progress = state.store_progress.borrow();
    let lacks_any = !state.listed.get() || progress.config_read().is_none();
    if lacks_any && let Some(from) = startup::read_from(state, now) {
        return match state.listed.get() {
            _ if now < from => Task::Wait(from),
            true => Task::Config,
            false => Task::All,
        };
    }
    let peers = state.peers.borrow();
    if !peers.is_watcher() {
        let Some(answered) = progress.answered_at() else {
            return Task::Wait(now + MAX_WAIT);
        };
        let due = refresh.due(answered, state.peer_receiving.get());
        return match progress.watch_from() {
            _ if now < due => Task::Wait(due),
            Some(after) if !state.reads_all.get() => Task::Refresh(after),
            Some(_) | None => Task::All,
        };
    }
    // A daemon that has just started does not know yet which daemons rank before it.
    let discovered = state.started + DISCOVERY_TIME;
    if !peers.rows().is_empty() && now < discovered {
        return Task::Wait(discovered);
    }
    let lacks_config = |known| !progress.has_config_until(known);
    let (local, remote) = peers.config_sources(progress.config_revision(), now);
    match progress.watch_from() {
        // A watch goes on from the registry's revision and does not return earlier changes.
        Some(known) if lacks_config(known) && local.is_empty() && remote.is_empty() => Task::Config,
        Some(_) if now < next_watch => Task::Wait(next_watch),
        Some(after) if !state.reads_all.get() => Task::Watch(after),
        Some(_) | None => Task::All,
    }
}

/// Has written again what may have been lost when the store came back from an older copy.
fn note_restore(state: &State) {
    state.crashes.borrow_mut().mark_unsaved();
    state.quarantined.notify_one();
}

/// Has the daemons of this zone fed what this daemon read though it is no watcher.
fn feed_zone(state: &State) {
    if !state.peers.borrow().is_watcher() {
        log::info!(
            "store: no watcher feeds this daemon; it has read the store and feeds its zone."
        );
        state.feeds_zone.set(true);
        state.digest_due.notify_one();
    }
}

/// How long the store may hold the next watch open.
fn watch_time(state: &State) -> Duration {
    let time = ANSWER_INTERVAL.saturating_sub(watch_pause(state));
    time.clamp(MIN_WATCH_TIME, MAX_WATCH_TIME)
}

/// Pause until the next watch of a daemon that watches the store itself.
fn watch_pause(state: &State) -> Duration {
    let peers = state.peers.borrow();
    let others = peers
        .rows()
        .len()
        .min(WATCHERS * state.settings.zones.len());
    (WATCH_PAUSE + PAUSE_PER_PEER * others as u32).min(MAX_PAUSE)
}

/// Reads the configuration, the orders of version moves and evacuations, and their states.
async fn read_operators(state: &State, client: &mut Client) -> Result<(), WatchError> {
    timeline::asked(state, Source::Store);
    let listed = list(client, OPERATOR_PREFIX, |item| {
        Some(read_operator_item(item))
    })
    .await;
    let (items, revision) = listed.inspect_err(|error| {
        timeline::failed(state, Source::Store, error);
    })?;
    let bytes = items.iter().map(|item| item.value.len()).sum();
    timeline::received(state, Source::Store, bytes);
    for item in &items {
        apply_config_item(state, item);
    }
    evacuation::replace(state, evacuation::zones_of(&items));
    let moves = !state.rollouts.borrow().is_empty();
    if moves {
        list(client, STATUS_PREFIX, |item| {
            apply_status(state, &item);
            None::<Item>
        })
        .await?;
    }
    let mut progress = state.store_progress.borrow_mut();
    // Daemons that lack the newest of these learn of it from this one's digests.
    if let Some(newest) = items.iter().map(|item| item.revision).max() {
        progress.record_config_change(newest);
    }
    progress.record_config_read(revision);
    drop(progress);
    state.digest_due.notify_one();
    Ok(())
}

/// An item of the operators; its value is dropped if this daemon does not read it.
fn read_operator_item(item: Item) -> Item {
    let prefixes = [ROLLOUT_PREFIX, EVACUATION_PREFIX];
    if item.key == CONFIG_KEY || prefixes.iter().any(|prefix| item.key.starts_with(prefix)) {
        return item;
    }
    Item {
        value: Bytes::new(),
        ..item
    }
}

/// Whether a key is one of those that daemons write and watchers read.
fn is_own(key: &str) -> bool {
    [LEADER_KEY, CHECKPOINT_KEY].contains(&key)
        || key.starts_with(CRASH_PREFIX)
        || era_record::is_key(key)
}

/// Reads the keys that daemons write.
async fn read_own(state: &State, client: &mut Client) -> Result<(), WatchError> {
    let (items, _) = list(client, OWN_PREFIX, |item| is_own(&item.key).then_some(item)).await?;
    set_duty_holder(state, items.iter().find(|item| item.key == LEADER_KEY));
    for item in &items {
        era_record::record_item(state, item);
    }
    for item in items
        .iter()
        .filter(|item| item.key.starts_with(CRASH_PREFIX))
    {
        crash::restore(state, &item.value);
    }
    if !state.listed.get() {
        let saved = items.iter().find(|item| item.key == CHECKPOINT_KEY);
        let saved = saved.and_then(|item| checkpoint::decode(&item.value));
        checkpoint::restore_retries(state, saved.as_ref());
        if let Some(saved) = saved {
            startup::decide(state, &saved);
            checkpoint::restore_quota(state, &saved);
            checkpoint::restore_silent(state, &saved);
        }
    }
    state.read_own.set(true);
    Ok(())
}

/// Reads everything: the configuration, the keys of the daemons and the whole registry.
async fn read_all(state: &State, client: &mut Client) -> Result<(), WatchError> {
    let read = |item: Item| Some((item.revision, read_entry(&item)?));
    let (entries, revision) = list(client, REGISTRY_PREFIX, read).await?;
    // After the registry, as the next watch goes on from the registry's revision.
    read_operators(state, client).await?;
    if era_of(revision) != state.eras.newest() {
        return Err(StoreError::Restored.into());
    }
    let now = Instant::now();
    state.reads_all.set(false);
    let known = state.store_progress.borrow().revision();
    if known.is_some_and(|known| known > revision) {
        // A feed brought something newer meanwhile.
        return read_own_again(state, client).await;
    }
    let restored = state.eras.record_read(era_of(revision));
    let listings = entries.iter().map(|row| row.1.clone()).collect();
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
    record_snapshot(state, revision, entries, now);
    state.listed.set(true);
    startup::record_registry(state, Source::Store);
    announce(state, &changes);
    read_own_again(state, client).await
}

/// Records the whole registry as of a revision.
fn record_snapshot(
    state: &State,
    revision: Revision,
    entries: Vec<(Revision, Listing)>,
    now: Instant,
) {
    let mut progress = state.store_progress.borrow_mut();
    progress.record_snapshot(revision, entries, now);
}

/// Reads the keys that daemons write again, as of the registry's revision, if this daemon goes on with
/// watches.
async fn read_own_again(state: &State, client: &mut Client) -> Result<(), WatchError> {
    if !state.peers.borrow().is_watcher() {
        return Ok(());
    }
    let result = read_own(state, client).await;
    if result.is_err() {
        state.reads_all.set(true);
    }
    result
}

/// Reads all pages of a list; returns what `read` makes of its items and the revision of the first
/// page. Items that cannot be read are not kept, as other writers may write any number of them.
async fn list<T>(
    client: &mut Client,
    prefix: &str,
    read: impl Fn(Item) -> Option<T>,
) -> Result<(Vec<T>, Revision), WatchError> {
    let mut all = Vec::new();
    let mut first = None;
    let mut after = CompactString::default();
    loop {
        let reply = client
            .call(&range(prefix, &after, false), READ_TIMEOUT)
            .await?;
        let (items, more, revision) = read_range(&reply)?;
        let first = *first.get_or_insert(revision);
        let Some(last) = items.last().map(|item| item.key.clone()) else {
            return Ok((all, first));
        };
        if last <= after {
            log::warn!(
                "store: a page of {prefix} after {after:?} brings nothing new; the list ends there."
            );
            return Ok((all, first));
        }
        all.extend(items.into_iter().filter_map(&read));
        if !more {
            return Ok((all, first));
        }
        after = last;
    }
}

/// Waits for the changes after a revision once, for so long, and applies them.
async fn watch_once(
    state: &State,
    client: &mut Client,
    after: Revision,
    time: Duration,
) -> Result<(), WatchError> {
    let is_complete = state.store_progress.borrow().has_config_until(after);
    let call = watch(WATCH_PREFIX, after, time);
    let reply: Reply = client.call(&call, time + WATCH_SLACK).await?;
    let watched = read_watch(&reply, after)?;
    let known = state.store_progress.borrow().revision();
    let mut effects = Vec::new();
    let is_operators = |change: &Change| change.key().starts_with(OPERATOR_PREFIX);
    if watched.changes.iter().any(is_operators) {
        state.digest_due.notify_one();
    }
    for change in &watched.changes {
        // Feeds may have brought newer changes of the registry meanwhile.
        let is_known = known.is_some_and(|known| change.revision() <= known);
        if !is_known || !change.key().starts_with(REGISTRY_PREFIX) {
            effects.extend(apply_change(state, change));
        }
    }
    let mut progress = state.store_progress.borrow_mut();
    progress.record_watch(watched.revision, Instant::now());
    if is_complete {
        progress.record_config_read(watched.revision);
    }
    drop(progress);
    announce(state, &effects);
    Ok(())
}

/// Reads the changes after a revision, and the operators' keys if this daemon lacks any before it.
async fn read_changes(
    state: &State,
    client: &mut Client,
    after: Revision,
) -> Result<(), WatchError> {
    watch_once(state, client, after, Duration::ZERO).await?;
    if state.store_progress.borrow().needs_config() {
        read_operators(state, client).await?;
    }
    Ok(())
}

/// Applies a change of any watched key; returns its effect on an endpoint, if it is one of the
/// registry.
fn apply_change(state: &State, change: &Change) -> Option<(EndpointId, Changed)> {
    let note_config = |revision| {
        let mut progress = state.store_progress.borrow_mut();
        progress.record_config_change(revision);
    };
    match change {
        Change::Put(item) if item.key.starts_with(REGISTRY_PREFIX) => {
            let change = RegistryChange::Put(read_entry(item)?);
            return Some(apply_watched(state, item.revision, change));
        }
        Change::Removed(key, revision) if key.starts_with(REGISTRY_PREFIX) => {
            let id = key.strip_prefix(REGISTRY_PREFIX)?;
            let change = RegistryChange::Removed(id.into());
            return Some(apply_watched(state, *revision, change));
        }
        Change::Put(item) if item.key.starts_with(EVACUATION_PREFIX) => {
            evacuation::begin(state, evacuation::zone_of(&item.key)?);
        }
        Change::Removed(key, _) if key.starts_with(EVACUATION_PREFIX) => {
            evacuation::end(state, &evacuation::zone_of(key)?);
        }
        Change::Put(item) if item.key.starts_with(OPERATOR_PREFIX) => {
            note_config(item.revision);
            apply_config_item(state, item);
        }
        Change::Put(item) if item.key.starts_with(STATUS_PREFIX) => {
            note_config(item.revision);
            apply_status(state, item);
        }
        Change::Put(item) if item.key == LEADER_KEY => set_duty_holder(state, Some(item)),
        Change::Removed(key, _) if key == LEADER_KEY => set_duty_holder(state, None),
        Change::Put(item) if item.key.starts_with(CRASH_PREFIX) => {
            crash::restore(state, &item.value);
        }
        Change::Put(item) => era_record::record_item(state, item),
        Change::Removed(..) => {}
    }
    None
}

/// Applies a registry change that this daemon read from the store itself, and records it for the
/// change feed.
fn apply_watched(
    state: &State,
    revision: Revision,
    change: RegistryChange,
) -> (EndpointId, Changed) {
    let now = Instant::now();
    let is_change = match &change {
        RegistryChange::Put(listing) => state.endpoints.borrow().is_change(listing),
        RegistryChange::Removed(_) => true,
    };
    if is_change {
        let mut progress = state.store_progress.borrow_mut();
        progress.record_change(revision, change.clone(), now);
    }
    apply(state, change, now)
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

/// Applies a feed or a page of a watcher; returns whether this daemon has to pull what it misses.
pub(crate) fn apply_feed(state: &State, from: &str, feed: &ChangeFeed, now: Instant) -> bool {
    let era = era_of(feed.newest);
    if era > state.eras.newest() {
        state.eras.record(Ok(Some(era)));
        note_restore(state);
    }
    let action = state.store_progress.borrow_mut().merge(feed, now);
    if state.store_progress.borrow().needs_config() {
        state.config_due.notify_one();
    }
    let effects = match action {
        FeedAction::Ignore => return false,
        FeedAction::Pull => return !state.start.is_reading(now),
        FeedAction::Apply(changes) => {
            if !feed.grace.is_zero() && !changes.is_empty() {
                state.endpoints.borrow_mut().set_grace(now + feed.grace);
            }
            let effects = changes.into_iter().map(|change| apply(state, change, now));
            effects.collect()
        }
        FeedAction::Replace(listings) => {
            let mut table = state.endpoints.borrow_mut();
            if !feed.grace.is_zero() {
                table.set_grace(now + feed.grace);
            }
            state.listed.set(true);
            let effects = table.replace(listings, now);
            startup::record_registry(state, Source::Daemon(&from));
            effects
        }
    };
    log_changes(state, &effects);
    let evacuated = state
        .store_progress
        .borrow()
        .evacuated(feed)
        .map(<[_]>::to_vec);
    if let Some(zones) = evacuated {
        evacuation::replace(state, zones);
        if let Some(answered) = now.checked_sub(feed.age) {
            state.record_fed(answered);
        }
        let is_back = state.connectivity.get().is_reachable();
        if is_back && !state.peers.borrow().is_watcher() {
            // Whoever sent the feed has read everything again.
            state.reads_all.set(false);
        }
    }
    let own = state.endpoints.borrow().checksum();
    if !state.store_progress.borrow_mut().compare(feed, own) {
        log::warn!("store: endpoints differ from the change feed; pulling all of them again.");
    }
    false
}

/// Applies a value that operators wrote: the configuration or the order of a version move.
fn apply_config_item(state: &State, item: &Item) {
    if item.key == CONFIG_KEY {
        adopt_item(state, item);
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
    let is_fresh = state.eras.is_after_opening(item.revision);
    let mut rollouts = state.rollouts.borrow_mut();
    let is_new = if is_fresh {
        rollouts.add_fresh_order(order, now, finish)
    } else {
        rollouts.add_order(order, now, finish)
    };
    if is_new {
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

/// Logs changes that this daemon read itself, and has those endpoints that leave reported to the
/// other daemons at once.
fn announce(state: &State, changes: &[(EndpointId, Changed)]) {
    log_changes(state, changes);
    let left = changes.iter().filter(|row| row.1 == Changed::Left);
    let left: Vec<u32> = left.map(|row| name_hash(&row.0)).collect();
    let is_urgent = changes.iter().any(|row| row.1 != Changed::Nothing);
    state.left_endpoints.borrow_mut().extend(left);
    if is_urgent {
        state.digest_due.notify_one();
    }
}

/// Logs changes of endpoints. A watcher logs a few at once one by one; the others, which only repeat
/// what their watcher knows, log those of endpoints that they have requests at. Of the rest there
/// is one line: thousands of endpoints may join or leave at once, at each of a thousand daemons.
pub(crate) fn log_changes(state: &State, changes: &[(EndpointId, Changed)]) {
    let logs_all = changes.len() <= MAX_LOGGED && state.peers.borrow().is_watcher();
    let is_busy = |id: &EndpointId| {
        let table = state.endpoints.borrow();
        table.get(id).is_some_and(|row| !row.in_flight.is_empty())
    };
    let (single, rest): (Vec<_>, Vec<_>) =
        changes.iter().partition(|(id, _)| logs_all || is_busy(id));
    for (id, change) in single {
        log_change(state, id, *change);
    }
    let count = |is_counted: fn(&Changed) -> bool| {
        let rows = rest.iter().filter(|row| is_counted(&row.1));
        rows.count()
    };
    let joined = count(|change| *change == Changed::Joined);
    let left = count(|change| *change == Changed::Left);
    let doubted = count(|change| matches!(change, Changed::Doubted(_)));
    if joined + left + doubted > 0 {
        log::info!(joined, left, doubted; "board: endpoints changed.");
    }
}

fn log_change(state: &State, id: &str, change: Changed) {
    match change {
        Changed::Joined | Changed::Left => {
            let table = state.endpoints.borrow();
            let listing = table.get(id).map(|row| &row.listing);
            let did = if change == Changed::Joined {
                "joined"
            } else {
                "leaves"
            };
            log::info!(
                version = listing.map_or("", |row| row.version.as_str()),
                zone = listing.map_or("", |row| row.zone.as_str()),
                spot = listing.is_some_and(|row| row.spot);
                "board: endpoint {id} {did}."
            );
        }
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
