//! Duties: work that one daemon at a time does for all.
//!
//! The duty holder reports usage, orders endpoints, writes the states of version moves and saves
//! checkpoints. It is the daemon that created the leader's key in the store, under a lease that it
//! renews. Its writes to the store require that the key still has the revision at which it was
//! created, and its calls to the cloud service carry this revision as a fencing token, so that both
//! reject the calls of a former holder. Writes also require the record of the store's era, which
//! [`era_record`] describes.
//!
//! Only watchers learn what callers request of all daemons, so a holder that stops being a watcher
//! orders nothing any more and gives up the duties.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use poplarvale_lib::relay::duty::DutyLease;
use poplarvale_lib::relay::era_start::Settled;
use poplarvale_lib::relay::fleet::{Orders, Plan};
use poplarvale_lib::relay::rollout::Status;
use poplarvale_lib::relay::usage::WindowId;
use poplarvale_lib::{Era, Revision, ServiceId, era_of};
use poplarvale_platform::{
    Duty, Item, STATUS_PREFIX, Txn, get, grant_lease, read_item, read_lease, read_txn, renew_lease,
    status_value, txn,
};
use prost::Message as _;

use self::era_record::{era_key, record_era};
use self::orders::order_endpoints;
use self::usage_report::{USAGE_KEY, last_report, read_record, report_usage, resume};
use super::checkpoint::{self, CHECKPOINT_KEY, CHECKPOINT_PERIOD};
use super::client::{Client, WriteError};
use super::state::State;

pub(crate) mod era_record;
mod orders;
mod usage_report;

/// Prefix of the store keys that only daemons write.
pub(crate) const OWN_PREFIX: &str = "poplarvale/";
/// Key that the duty holder creates.
pub(crate) const LEADER_KEY: &str = "poplarvale/leader";
/// How often the duty holder checks what is due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long no duty holder must be known before the first daemon by address tries to acquire the
/// duties.
const TAKEOVER_DELAY: Duration = Duration::from_millis(100);
/// How much longer each next daemon by address waits, so that they do not all try at once.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// How long a daemon waits after its start, unless it is the first by address, and after an
/// attempt that another daemon won. All daemons know the duty holder by then; with attempts until
/// it is known, hundreds of daemons would make thousands of calls.
const ACQUIRE_BACKOFF: Duration = Duration::from_millis(1500);
/// How long a new duty holder waits before it reports usage. By then all daemons have learned of it
/// through two watchers, and have sent it their counts.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Timeout of a call; well below what must be left of the lease for a call to be sent.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Acquires and performs the duties whenever no daemon holds them, until the process ends.
pub(crate) async fn serve_duties(state: Rc<State>) {
    let mut store = Client::of_store(&state);
    let mut cloud = state.settings.cloud.map(Client::new);
    loop {
        tokio::time::sleep(acquire_delay(&state)).await;
        if !has_duties(&state) {
            continue;
        }
        record_era(&state, &mut store).await;
        if !is_vacant(&state) {
            continue;
        }
        match acquire(&state, &mut store).await {
            Ok(Some(lease)) => {
                log::info!(
                    "duty: lease acquired with fencing token {}.",
                    lease.fencing_token
                );
                let own_address = state.peers.borrow().own_address();
                state.holder.set(Some((own_address, lease.fencing_token)));
                state.digest_due.notify_one();
                perform_duties(&state, &mut store, cloud.as_mut(), lease).await;
                log::info!("duty: this daemon is no longer the duty holder.");
            }
            Ok(None) => tokio::time::sleep(ACQUIRE_BACKOFF).await,
            Err(error) => log::info!("duty: acquiring the lease failed, {error}; trying again."),
        }
    }
}

/// Whether there is anything to do for a duty holder.
fn has_duties(state: &State) -> bool {
    let cloud = state.settings.cloud.is_some() && (state.settings.reports || state.settings.orders);
    cloud || !state.rollouts.borrow().is_empty()
}

/// Whether this daemon may try to acquire the duties.
fn is_vacant(state: &State) -> bool {
    let is_free = state.duty_holder.borrow().is_none();
    // After the store came back from an older copy, the former duty holder does not know yet
    // that its lease is gone.
    let is_over = !state
        .eras
        .old_lease_valid(state.settings.bounds.lease, Instant::now());
    // The others do not watch the key of the leader.
    let is_watcher = state.peers.borrow().is_watcher();
    state.listed.get() && state.phase().is_serving() && is_watcher && is_free && is_over
}

/// Delay before an attempt to acquire the duties, longer for daemons of a higher rank by
/// address. Right after the start, peers that are only known by address count too.
fn acquire_delay(state: &State) -> Duration {
    let peers = state.peers.borrow();
    let delay = |rank: usize| TAKEOVER_DELAY + RANK_DELAY * rank as u32;
    let left = ACQUIRE_BACKOFF.saturating_sub(state.started.elapsed());
    if left.is_zero() {
        return delay(peers.recent_rank(Instant::now()));
    }
    match peers.known_rank() {
        0 => TAKEOVER_DELAY,
        rank => left + delay(rank),
    }
}

/// Creates the leader's key under a new lease; `None` if another daemon holds the key. A restore
/// meanwhile is an error, as the former holder may still rely on its lease.
async fn acquire(state: &State, store: &mut Client) -> Result<Option<DutyLease>, WriteError> {
    let recorded = era_record::read_or_write(state, store).await?;
    if !is_vacant(state) {
        return Ok(None);
    }
    let era = recorded.start.era;
    let since = Instant::now();
    let ttl = state.settings.bounds.lease;
    let id = read_lease(&store.call(&grant_lease(ttl), CALL_TIMEOUT).await?)?;
    let value = format_compact!("{} {}", state.settings.name, id);
    let call = txn(&Txn {
        expect: vec![(LEADER_KEY.into(), 0), (era_key(era), recorded.revision)],
        puts: vec![(LEADER_KEY.into(), Bytes::from(value.to_string()), id)],
        removes: Vec::new(),
    })?;
    let created = store.call(&call, CALL_TIMEOUT).await;
    let token = match created {
        Ok(reply) => read_txn(&reply)?,
        // The key may have been created although the response was lost: its value shows
        // whether it is this daemon's.
        Err(error) => {
            log::info!(
                "duty: no response to the creation of the leader's key, {error}; reading it."
            );
            let reply = store.call(&get(LEADER_KEY), CALL_TIMEOUT).await?;
            let item = read_item(&reply)?;
            item.filter(|item| item.value == value.as_bytes())
                .map(|item| item.revision)
        }
    };
    match token {
        Some(token) if era_of(token) != era => Err(WriteError::Restored),
        token => Ok(token.map(|token| DutyLease::new(id, token, ttl, since))),
    }
}

/// State of the duty holder.
#[derive(Debug)]
struct Holder {
    lease: DutyLease,
    /// Era of the store in which the duties were acquired, and the revision of its record.
    era: Era,
    era_revision: Revision,
    /// Name and fencing token that are sent with calls to the cloud service.
    duty: Duty,
    /// Store revision of the usage record; 0 if there is none.
    usage_revision: u64,
    /// Next usage window to report.
    next_window: WindowId,
    /// Report that is written to the store and may not have been accepted yet.
    unsent: Option<(WindowId, CompactString)>,
    /// When a failed report may be retried.
    retry_at: Option<Instant>,
    orders: Orders,
    /// What the orders of each service followed from when it was last logged.
    plans: Vec<(ServiceId, Plan)>,
    /// From when on it may give up the duties. A holder that gave them up earlier could act again
    /// within the lease time, after another one has acted.
    release_after: Instant,
    /// When the next checkpoint is due.
    next_save: Instant,
}

/// Performs the duties until the lease or the daemon ends, or the store changes its era.
async fn perform_duties(
    state: &State,
    store: &mut Client,
    cloud: Option<&mut Client>,
    lease: DutyLease,
) {
    let Some(mut holder) = load_holder(state, store, lease).await else {
        return;
    };
    hold(state, store, cloud, &mut holder).await;
    if state.eras.newest() != holder.era {
        let now = Instant::now();
        let settled = Settled {
            next: holder.next_window,
            report: state.usage.borrow().finalized().cloned(),
        };
        state.eras.settle(now + holder.lease.left(now), settled);
    }
}

/// Does what is due as long as this daemon holds the duties.
async fn hold(
    state: &State,
    store: &mut Client,
    mut cloud: Option<&mut Client>,
    holder: &mut Holder,
) {
    loop {
        let now = Instant::now();
        // Renews also a lease that has expired by this daemon's clock: it may still exist in
        // the store, where leases can stop running while the store is unavailable. No other
        // daemon can hold the duties then, and waiting for the lease to expire left them
        // undone for three seconds after each outage.
        if holder.lease.needs_renewal(now) && !renew(store, holder).await {
            return;
        }
        if state.eras.newest() != holder.era {
            log::info!("duty: the store came back from an older copy; giving up the duties.");
            return;
        }
        if !state.phase().is_serving() {
            release(store, holder).await;
            return;
        }
        let is_watcher = state.peers.borrow().is_watcher();
        if !is_watcher && now >= holder.release_after {
            log::info!("duty: this daemon is no watcher any more; giving up the duties.");
            release(store, holder).await;
            return;
        }
        write_statuses(state, store, holder).await;
        if now >= holder.next_save {
            save_checkpoint(state, store, holder).await;
        }
        if let Some(cloud) = cloud.as_deref_mut() {
            if state.settings.reports {
                report_usage(state, store, cloud, holder).await;
            }
            if state.settings.orders && is_watcher {
                order_endpoints(state, cloud, holder).await;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Begins to perform the duties; `None` if the lease expires first or the store changes its era.
async fn load_holder(state: &State, store: &mut Client, lease: DutyLease) -> Option<Holder> {
    while !lease.is_expired(Instant::now()) {
        match read_holder(state, store, lease).await {
            Ok(holder) => return Some(holder),
            Err(error @ (WriteError::Restored | WriteError::Conflict)) => {
                log::info!("duty: giving up the duties, {error}.");
                return None;
            }
            Err(error) => {
                log::info!(
                    "duty: records of the former duty holder not read, {error}; trying again."
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
    None
}

/// Records that the era has a duty holder, and reads the usage record and the checkpoint of the former
/// one. Late writes of a former era fail from then on.
async fn read_holder(
    state: &State,
    store: &mut Client,
    lease: DutyLease,
) -> Result<Holder, WriteError> {
    let recorded = era_record::read_or_write(state, store).await?;
    if recorded.start.era != era_of(lease.fencing_token) {
        return Err(WriteError::Restored);
    }
    let start = recorded.start.clone();
    let era_revision = era_record::open(store, recorded, lease.fencing_token).await?;
    let (record, saved) = read_saved(store, start.era).await?;
    let (usage_revision, record) = match record {
        Some(item) => (item.revision, read_record(item.value)),
        None => (0, None),
    };
    let last = last_report(state, record, &start);
    let mut orders = Orders::new(state.demand.borrow().first_request());
    let saved = saved.and_then(|item| checkpoint::decode(&item.value));
    if let Some(saved) = &saved {
        checkpoint::restore_usage(state, saved);
        checkpoint::restore_needs(state, &mut orders, saved);
    }
    let next_window = resume(state, &start, last.as_ref(), saved.is_some());
    Ok(Holder {
        lease,
        era: start.era,
        era_revision,
        duty: Duty {
            holder: state.settings.name.clone(),
            fence: lease.fencing_token,
        },
        usage_revision,
        next_window,
        unsent: last.map(|last| (last.window, last.counts)),
        retry_at: Some(Instant::now() + REPORT_DELAY),
        orders,
        plans: Vec::new(),
        release_after: Instant::now() + state.settings.bounds.lease,
        next_save: Instant::now(),
    })
}

/// Reads the last usage record and the last checkpoint in an era.
async fn read_saved(
    store: &mut Client,
    era: Era,
) -> Result<(Option<Item>, Option<Item>), WriteError> {
    let record = store.call(&get(USAGE_KEY), CALL_TIMEOUT).await?;
    let saved = store.call(&get(CHECKPOINT_KEY), CALL_TIMEOUT).await?;
    if record.era != era || saved.era != era {
        return Err(WriteError::Restored);
    }
    Ok((read_item(&record)?, read_item(&saved)?))
}

/// Writes to the store if this daemon is still the duty holder and the store still is in its era;
/// returns the revision, `None` if a condition failed.
async fn write(
    store: &mut Client,
    holder: &Holder,
    mut writes: Txn,
) -> Result<Option<Revision>, WriteError> {
    let guards = [
        (LEADER_KEY.into(), holder.duty.fence),
        (era_key(holder.era), holder.era_revision),
    ];
    writes.expect.extend(guards);
    let reply = store.call(&txn(&writes)?, CALL_TIMEOUT).await?;
    if reply.era != holder.era {
        return Err(WriteError::Restored);
    }
    Ok(read_txn(&reply)?)
}

/// Renews the lease; `false` if it no longer exists. Other failures are retried.
async fn renew(store: &mut Client, holder: &mut Holder) -> bool {
    let since = Instant::now();
    match store
        .call(&renew_lease(holder.lease.id), CALL_TIMEOUT)
        .await
    {
        // A lease of this id in another era is another daemon's.
        Ok(reply) if reply.era != holder.era => true,
        Ok(reply) if reply.status == 200 => {
            holder.lease.renewed(since);
            true
        }
        Ok(reply) if reply.status == 404 => {
            log::info!("duty: the lease has expired in the store; giving up the duties.");
            false
        }
        Ok(reply) => {
            log::info!(
                "duty: lease not renewed (status {}); trying again.",
                reply.status
            );
            true
        }
        Err(error) => {
            log::info!("duty: lease not renewed, {error}; trying again.");
            true
        }
    }
}

/// Removes the leader's key, so that another daemon can take over at once.
async fn release(store: &mut Client, holder: &Holder) {
    let removed = Txn {
        removes: vec![LEADER_KEY.into()],
        ..Txn::default()
    };
    if let Err(error) = write(store, holder, removed).await {
        log::info!("duty: leader's key not removed, {error}; it stays until its lease expires.");
    }
}

/// Writes a checkpoint if this daemon is still the duty holder. A failed write is not
/// retried: the next checkpoint replaces it.
async fn save_checkpoint(state: &State, store: &mut Client, holder: &mut Holder) {
    let now = Instant::now();
    holder.next_save = now + CHECKPOINT_PERIOD;
    if state.catalog.borrow().is_none() || !holder.lease.may_act(now) {
        return;
    }
    let unsent = holder.unsent.as_ref().map(|row| row.0);
    let first = unsent.unwrap_or(holder.next_window);
    let value = checkpoint::build(state, &holder.orders, first);
    let saved = Txn {
        puts: vec![(CHECKPOINT_KEY.into(), value.encode_to_vec().into(), 0)],
        ..Txn::default()
    };
    match write(store, holder, saved).await {
        Ok(Some(_)) => {}
        Ok(None) => log::info!("checkpoint: not written, another daemon is the duty holder."),
        Err(error) => log::info!("checkpoint: not written, {error}; the next one replaces it."),
    }
}

/// Writes the states of version moves that differ from those in the store.
async fn write_statuses(state: &State, store: &mut Client, holder: &Holder) {
    let endpoints = |service: &str, target: &str| {
        let table = state.endpoints.borrow();
        table.version_endpoints(service, target)
    };
    let due = state
        .rollouts
        .borrow_mut()
        .due_statuses(state.unix_ms(), endpoints);
    for status in due {
        if !holder.lease.may_act(Instant::now()) {
            return;
        }
        let (service, outcome) = (&status.service, status.outcome);
        match write_status(store, holder, &status).await {
            Ok(Some(revision)) => {
                let mut rollouts = state.rollouts.borrow_mut();
                let totals = rollouts.totals(service);
                log::info!(
                    old = totals.old.requests, old_failed = totals.old.failures,
                    old_slow = totals.old.slow, new = totals.new.requests,
                    new_failed = totals.new.failures, new_slow = totals.new.slow;
                    "rollout: status of {service} written as {outcome:?}."
                );
                rollouts.apply_status(service, &status.target, outcome, revision);
            }
            Ok(None) => log::info!(
                "rollout: status of {service} not written, another daemon is the duty holder."
            ),
            Err(error) => {
                log::info!("rollout: status of {service} not written, {error}; trying again.");
            }
        }
    }
}

/// Writes the state of a version move and returns the revision; `None` if another daemon is
/// the duty holder.
async fn write_status(
    store: &mut Client,
    holder: &Holder,
    status: &Status,
) -> Result<Option<Revision>, WriteError> {
    let value = status_value(&status.target, status.outcome)?;
    let key = format_compact!("{STATUS_PREFIX}{}", status.service);
    let written = Txn {
        puts: vec![(key, value, 0)],
        ..Txn::default()
    };
    write(store, holder, written).await
}

/// Timeout of a call to the cloud service, which must end before the lease does.
fn call_timeout(holder: &Holder) -> Duration {
    CALL_TIMEOUT.min(holder.lease.left(Instant::now()))
}
