//! The calls that one daemon at a time makes: usage reports and orders.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use poplarvale_lib::protos::relay::UsageRecord;
use poplarvale_lib::relay::duty::DutyLease;
use poplarvale_lib::relay::fleet::{DesiredCount, Orders};
use poplarvale_lib::relay::rollout::Status;
use poplarvale_lib::relay::usage::{Counts, Report, WindowId};
use poplarvale_lib::{Era, era_of};
use poplarvale_platform::{
    Duty, Item, Order, STATUS_PREFIX, Txn, get, grant_lease, order_call, read_item, read_lease,
    read_txn, renew_lease, status_value, txn, usage_call,
};
use prost::Message as _;

use super::checkpoint::{self, CHECKPOINT, DIGESTS};
use super::client::{Client, WriteError};
use super::state::State;

/// Beginning of the keys that are the daemons' own.
pub(crate) const OWN: &str = "poplarvale/";
/// Key that the holder of the duties makes.
pub(crate) const LEADER: &str = "poplarvale/leader";
/// Key of the last usage report.
const USAGE: &str = "poplarvale/usage";
/// How often the holder looks at its duties.
const LOOK: Duration = Duration::from_millis(250);
/// How long the holder of the duties may be unknown before another daemon tries,
/// and how much longer each next one by address waits, so that they do not all try.
const VACANT: Duration = Duration::from_millis(100);
const TURN: Duration = Duration::from_millis(150);
/// How long a daemon waits after its start, if it is not the first by address, and after
/// a try that another one was ahead of. Who holds the duties is known everywhere by then;
/// trying on until it is known, hundreds of daemons would make thousands of calls.
const BEHIND: Duration = Duration::from_millis(1500);
/// Longest time for one call; well below what must be left of the lease.
const CALL: Duration = Duration::from_millis(900);
/// How long after a window's end its usage is reported: first events that were on
/// their way and the other daemons' digests must have come.
const SETTLE: Duration = Duration::from_secs(2);
/// Pause after a report that was not accepted.
const RETRY: Duration = Duration::from_millis(600);

/// Takes the duties up whenever nobody holds them.
pub(crate) async fn serve_duties(state: Rc<State>) {
    let mut store = Client::of_store(&state);
    let mut cloud = state.settings.cloud.map(Client::new);
    loop {
        tokio::time::sleep(wait(&state)).await;
        if !has_duty(&state) || !is_vacant(&state) {
            continue;
        }
        match acquire(&state, &mut store).await {
            Ok(Some(held)) => {
                log::info!("duty: held with fence {}.", held.fencing_token);
                hold(&state, &mut store, cloud.as_mut(), held).await;
                log::info!("duty: no longer held.");
            }
            Ok(None) => tokio::time::sleep(BEHIND).await,
            Err(error) => log::info!("duty: not acquired, {error}."),
        }
    }
}

fn has_duty(state: &State) -> bool {
    let cloud = state.settings.cloud.is_some() && (state.settings.reports || state.settings.orders);
    cloud || !state.rollouts.borrow().is_empty()
}

fn is_vacant(state: &State) -> bool {
    let is_free = state.duty_holder.borrow().is_none();
    // Who held the duties before a return of the store does not know yet that it is over.
    let is_over = !state
        .eras
        .may_outlast(state.settings.bounds.lease, Instant::now());
    state.listed.get() && state.phase().is_serving() && is_free && is_over
}

/// Waits longer the further back this daemon stands among the others. Right after the
/// start those count that were only heard of.
fn wait(state: &State) -> Duration {
    let peers = state.peers.borrow();
    let turn = |place: usize| VACANT + TURN * place as u32;
    let left = BEHIND.saturating_sub(state.started.elapsed());
    if left.is_zero() {
        return turn(peers.recent_rank(Instant::now()));
    }
    match peers.known_rank() {
        0 => VACANT,
        place => left + turn(place),
    }
}

/// Makes the leader's key; `None` if another daemon did.
async fn acquire(state: &State, store: &mut Client) -> Result<Option<DutyLease>, WriteError> {
    let since = Instant::now();
    let life = state.settings.bounds.lease;
    let lease = read_lease(&store.call(&grant_lease(life), CALL).await?)?;
    let name = format_compact!("{} {}", state.settings.name, lease);
    let call = txn(&Txn {
        expect: vec![(LEADER.into(), 0)],
        puts: vec![(LEADER.into(), Bytes::from(name.to_string()), lease)],
        removes: Vec::new(),
    })?;
    let made = store.call(&call, CALL).await;
    let fence = match made {
        Ok(reply) => read_txn(&reply)?,
        // The answer may be lost though the key was made: what it holds tells.
        Err(error) => {
            log::info!("duty: no answer to the claim, {error}.");
            let reply = store.call(&get(LEADER), CALL).await?;
            let item = read_item(&reply)?;
            item.filter(|item| item.value == name.as_bytes())
                .map(|item| item.revision)
        }
    };
    Ok(fence.map(|fence| DutyLease::new(lease, fence, life, since)))
}

/// What the holder remembers.
#[derive(Debug)]
struct Holder {
    held: DutyLease,
    /// Era of the store in which the duties were taken up.
    era: Era,
    duty: Duty,
    /// Revision of the usage record; 0 if there is none.
    revision: u64,
    /// Next window to report.
    next: WindowId,
    /// Report that lies in the store and may not have been accepted yet.
    unsent: Option<(WindowId, CompactString)>,
    retry: Option<Instant>,
    orders: Orders,
    /// When the next checkpoint is due.
    save: Instant,
}

/// Does the duties until the lease ends or the daemon does.
async fn hold(state: &State, store: &mut Client, mut cloud: Option<&mut Client>, held: DutyLease) {
    let Some(mut holder) = begin(state, store, held).await else {
        return;
    };
    loop {
        let now = Instant::now();
        // A lease that is over by this daemon's reckoning may go on in the store, as
        // leases can stand still while it is away. Nobody else holds the duties then, and
        // waiting for its end left them undone for three seconds after each outage.
        if holder.held.needs_renewal(now) && !renew(store, &mut holder).await {
            return;
        }
        if state.eras.newest() != holder.era {
            log::info!("duty: the store came back without what was written for it.");
            return;
        }
        if !state.phase().is_serving() {
            give_up(store, &holder).await;
            return;
        }
        announce(state, store, &holder).await;
        if now >= holder.save {
            save(state, store, &mut holder).await;
        }
        if let Some(cloud) = cloud.as_deref_mut() {
            if state.settings.reports {
                report(state, store, cloud, &mut holder).await;
            }
            if state.settings.orders {
                order(state, cloud, &mut holder).await;
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Reads what the holder before left.
async fn begin(state: &State, store: &mut Client, held: DutyLease) -> Option<Holder> {
    let duty = Duty {
        holder: state.settings.name.clone(),
        fence: held.fencing_token,
    };
    loop {
        if held.is_expired(Instant::now()) {
            return None;
        }
        let (record, saved) = match left_behind(store).await {
            Ok(read) => read,
            Err(error) => {
                log::info!("duty: what the last holder left is not read, {error}.");
                tokio::time::sleep(LOOK).await;
                continue;
            }
        };
        let (revision, record) = match record {
            Some(item) => (item.revision, read_record(item.value)),
            None => (0, None),
        };
        let last = last_report(state, record);
        let mut orders = Orders::new(state.demand.borrow().first_request());
        let saved = saved.and_then(|item| checkpoint::read(&item.value));
        if let Some(saved) = &saved {
            checkpoint::restore_usage(state, saved);
            checkpoint::restore_needs(&mut orders, saved);
        }
        let counted = state.usage.borrow().since(0).map(|row| row.1).min();
        let first = state.usage_window(state.started);
        let first = counted.map_or(first, |counted| first.min(counted));
        let next = last.as_ref().map_or(first, |last| last.window + 1);
        return Some(Holder {
            held,
            era: era_of(held.fencing_token),
            duty,
            revision,
            next,
            unsent: last.map(|last| (last.window, last.counts)),
            retry: None,
            orders,
            save: Instant::now(),
        });
    }
}

/// The last usage record and the last checkpoint.
async fn left_behind(store: &mut Client) -> Result<(Option<Item>, Option<Item>), WriteError> {
    let record = read_item(&store.call(&get(USAGE), CALL).await?)?;
    let saved = read_item(&store.call(&get(CHECKPOINT), CALL).await?)?;
    Ok((record, saved))
}

/// Reads a usage record; one that cannot be read is as good as none.
fn read_record(value: Bytes) -> Option<UsageRecord> {
    match UsageRecord::decode(value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!("duty: the record of the last report is not read, {error}.");
            None
        }
    }
}

/// Renews the lease; `false` if it has ended.
async fn renew(store: &mut Client, holder: &mut Holder) -> bool {
    let since = Instant::now();
    match store.call(&renew_lease(holder.held.id), CALL).await {
        Ok(reply) if reply.status == 200 => {
            holder.held.renewed(since);
            true
        }
        Ok(reply) if reply.status == 404 => {
            log::info!("duty: the lease has ended.");
            false
        }
        Ok(reply) => {
            log::info!("duty: lease not renewed (status {}).", reply.status);
            true
        }
        Err(error) => {
            log::info!("duty: lease not renewed, {error}.");
            true
        }
    }
}

/// Removes the leader's key, so that another daemon takes over at once.
async fn give_up(store: &mut Client, holder: &Holder) {
    let removed = txn(&Txn {
        expect: vec![(LEADER.into(), holder.duty.fence)],
        puts: Vec::new(),
        removes: vec![LEADER.into()],
    });
    match removed {
        Ok(call) => {
            if let Err(error) = store.call(&call, CALL).await {
                log::info!("duty: the leader's key stays until its lease ends, {error}.");
            }
        }
        Err(error) => log::warn!("duty: giving up could not be written, {error}."),
    }
}

/// Writes a checkpoint, if this daemon still holds the duty. One that fails is made
/// good by the next.
async fn save(state: &State, store: &mut Client, holder: &mut Holder) {
    let now = Instant::now();
    holder.save = now + state.peers.borrow().local_period() * DIGESTS;
    if state.catalog.borrow().is_none() || !holder.held.may_act(now) {
        return;
    }
    let unsent = holder.unsent.as_ref().map(|row| row.0);
    let first = unsent.unwrap_or(holder.next);
    let value = checkpoint::checkpoint(state, &holder.orders, first);
    match write_checkpoint(store, holder, value.encode_to_vec().into()).await {
        Ok(Some(_)) => {}
        Ok(None) => log::info!("checkpoint: not written, the duty is another's."),
        Err(error) => log::info!("checkpoint: not written, {error}."),
    }
}

async fn write_checkpoint(
    store: &mut Client,
    holder: &Holder,
    value: Bytes,
) -> Result<Option<u64>, WriteError> {
    let call = txn(&Txn {
        expect: vec![(LEADER.into(), holder.duty.fence)],
        puts: vec![(CHECKPOINT.into(), value, 0)],
        removes: Vec::new(),
    })?;
    Ok(read_txn(&store.call(&call, CALL).await?)?)
}

/// Writes how version moves stand where the store holds something else.
async fn announce(state: &State, store: &mut Client, holder: &Holder) {
    let busy = |service: &str, target: &str| {
        let table = state.endpoints.borrow();
        table.count_other_versions(service, target).1
    };
    let due = state
        .rollouts
        .borrow_mut()
        .due_statuses(state.unix_ms(), busy);
    for status in due {
        if !holder.held.may_act(Instant::now()) {
            return;
        }
        let (service, outcome) = (&status.service, status.outcome);
        match write_status(store, holder, &status).await {
            Ok(Some(revision)) => {
                log::info!("rollout: {service} told as {outcome:?}.");
                let mut rollouts = state.rollouts.borrow_mut();
                rollouts.apply_status(service, &status.target, outcome, revision);
            }
            Ok(None) => log::info!("rollout: {service} not told, the duty is another's."),
            Err(error) => log::info!("rollout: {service} not told, {error}."),
        }
    }
}

/// Writes a move's state, if this daemon still holds the duty; gives the revision.
async fn write_status(
    store: &mut Client,
    holder: &Holder,
    status: &Status,
) -> Result<Option<u64>, WriteError> {
    let value = status_value(&status.target, status.outcome)?;
    let key = format_compact!("{STATUS_PREFIX}{}", status.service);
    let call = txn(&Txn {
        expect: vec![(LEADER.into(), holder.duty.fence)],
        puts: vec![(key, value, 0)],
        removes: Vec::new(),
    })?;
    Ok(read_txn(&store.call(&call, CALL).await?)?)
}

/// Reports the windows that are due.
async fn report(state: &State, store: &mut Client, cloud: &mut Client, holder: &mut Holder) {
    let now = Instant::now();
    if holder.retry.is_some_and(|retry| now < retry) {
        return;
    }
    if holder.unsent.is_none() {
        let length = state.settings.bounds.usage_window.as_millis() as u64;
        let true_now = state.unix_ms();
        let late = state.settings.bounds.report_deadline.as_millis() as u64;
        // Windows that would come too late are passed over.
        while (holder.next + 1) * length + late < true_now {
            holder.next += 1;
        }
        if (holder.next + 1) * length + SETTLE.as_millis() as u64 > true_now {
            return;
        }
        if let Err(error) = fix(state, store, holder).await {
            log::info!("duty: window {} not fixed, {error}.", holder.next);
            holder.retry = Some(Instant::now() + RETRY);
            return;
        }
    }
    let Some((window, counts)) = holder.unsent.clone() else {
        return;
    };
    if !holder.held.may_act(Instant::now()) {
        return;
    }
    match send(cloud, holder, window, &counts).await {
        Ok(200) => {
            log::info!("duty: usage of window {window} reported, {counts}.");
            holder.unsent = None;
        }
        Ok(status) => {
            log::info!("duty: usage of window {window} not taken (status {status}).");
            holder.retry = Some(Instant::now() + RETRY);
        }
        Err(error) => {
            log::info!("duty: usage of window {window} not sent, {error}.");
            holder.retry = Some(Instant::now() + RETRY);
        }
    }
}

/// Writes a window's counts to the store. Whoever reports the window sends these
/// bytes: two different counts for one window would charge customers wrongly.
async fn fix(state: &State, store: &mut Client, holder: &mut Holder) -> Result<(), WriteError> {
    let window = holder.next;
    let counts = counts_text(&state.usage.borrow().total(window))?;
    let record = UsageRecord {
        number: window,
        counts: counts.to_string(),
    };
    let call = txn(&Txn {
        expect: vec![
            (USAGE.into(), holder.revision),
            (LEADER.into(), holder.duty.fence),
        ],
        puts: vec![(USAGE.into(), record.encode_to_vec().into(), 0)],
        removes: Vec::new(),
    })?;
    let fixed = match store.call(&call, CALL).await {
        Ok(reply) => read_txn(&reply)?,
        Err(error) => {
            // The write may have happened, or may happen still. The next try reads
            // what lies there and goes on from that.
            log::info!("duty: no answer to the record of window {window}, {error}.");
            None
        }
    };
    if let Some(revision) = fixed {
        note_fixed(state, window, &counts);
        holder.revision = revision;
        holder.next = window + 1;
        holder.unsent = Some((window, counts));
        return Ok(());
    }
    let reply = store.call(&get(USAGE), CALL).await?;
    if let Some(item) = read_item(&reply)? {
        holder.revision = item.revision;
        if let Some(record) = read_record(item.value)
            && record.number >= window
        {
            let counts = CompactString::from(record.counts);
            note_fixed(state, record.number, &counts);
            holder.next = record.number + 1;
            holder.unsent = Some((record.number, counts));
            return Ok(());
        }
    }
    Err(WriteError::Conflict)
}

/// Notes a report that lies in the store, for when that comes back from an older copy.
fn note_fixed(state: &State, window: WindowId, counts: &CompactString) {
    let report = Report {
        window,
        counts: counts.clone(),
    };
    state.usage.borrow_mut().finalize(report, Instant::now());
}

/// The last report: the record in the store, or what is known to have lain there.
fn last_report(state: &State, record: Option<UsageRecord>) -> Option<Report> {
    let mut usage = state.usage.borrow_mut();
    if let Some(record) = record {
        let report = Report {
            window: record.number,
            counts: record.counts.into(),
        };
        if !usage.merge_finalized(report.clone()) && usage.finalized() != Some(&report) {
            log::info!(
                "duty: the record of the last report is of window {}, a newer one is known.",
                report.window
            );
        }
    }
    usage.finalized().cloned()
}

fn counts_text(counts: &Counts) -> Result<CompactString, serde_json::Error> {
    let map: std::collections::BTreeMap<&str, u32> = counts
        .iter()
        .map(|(team, runs)| (team.as_str(), *runs))
        .collect();
    serde_json::to_string(&map).map(CompactString::from)
}

async fn send(
    cloud: &mut Client,
    holder: &Holder,
    window: WindowId,
    counts: &str,
) -> Result<u16, WriteError> {
    let call = usage_call(&holder.duty, window, counts)?;
    Ok(cloud.call(&call, limit(holder)).await?.status)
}

fn limit(holder: &Holder) -> Duration {
    CALL.min(holder.held.left(Instant::now()))
}

/// Orders the endpoints that are wanted.
async fn order(state: &State, cloud: &mut Client, holder: &mut Holder) {
    let Some(catalog) = state.catalog.borrow().clone() else {
        return;
    };
    for service in &catalog.services {
        let boot = service.scaling.as_ref().map(|scaling| scaling.boot_time);
        let now = Instant::now();
        let work = state.demand.borrow().total(&service.name, now);
        let zones = &state.settings.zones;
        let orders = &mut holder.orders;
        let wishes = orders.desired_counts(&state.endpoints.borrow(), service, zones, work, now);
        for wish in wishes {
            let now = Instant::now();
            if !holder.held.may_act(now) {
                return;
            }
            if holder.orders.is_due(&wish, now) {
                let accepted = place(cloud, holder, &wish).await;
                let boot = boot.unwrap_or_default();
                holder.orders.record(&wish, accepted, boot, Instant::now());
            }
        }
    }
}

async fn place(cloud: &mut Client, holder: &Holder, wish: &DesiredCount) -> bool {
    let order = Order {
        service: wish.service.clone(),
        zone: wish.zone.clone(),
        desired: wish.count,
        spot: wish.spot,
    };
    let kind = if wish.spot {
        "reclaimable"
    } else {
        "on demand"
    };
    let call = match order_call(&holder.duty, &order) {
        Ok(call) => call,
        Err(error) => {
            log::warn!("duty: an order could not be written, {error}.");
            return false;
        }
    };
    let answered = cloud.call(&call, limit(holder)).await;
    let (count, zone) = (wish.count, &wish.zone);
    match answered {
        Ok(reply) => {
            log::info!(
                "duty: {count} {kind} in {zone} ordered (status {}).",
                reply.status
            );
            reply.status == 200
        }
        Err(error) => {
            log::info!("duty: {count} {kind} in {zone} not ordered, {error}.");
            false
        }
    }
}
