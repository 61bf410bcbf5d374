//! Usage reports: the counts of each window are finalized in the store and then sent.

use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use poplarvale_lib::protos::relay::UsageRecord;
use poplarvale_lib::relay::era_start::{EraStart, Resume, SETTLE_TIME};
use poplarvale_lib::relay::usage::{Counts, Report, WindowId};
use poplarvale_platform::{Txn, get, read_item, usage_call};
use prost::Message as _;

use super::{CALL_TIMEOUT, Holder, call_timeout, write};
use crate::relay::client::{Client, WriteError};
use crate::relay::state::State;

/// Key of the last usage report.
pub(super) const USAGE_KEY: &str = "poplarvale/usage";
/// Pause after a report that was not accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Decodes a usage record; an invalid one is treated as missing.
pub(super) fn read_record(value: Bytes) -> Option<UsageRecord> {
    match UsageRecord::decode(value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!("duty: the record of the last report is invalid and ignored, {error}.");
            None
        }
    }
}

/// Reports the usage of the next window that is due.
pub(super) async fn report_usage(
    state: &State,
    store: &mut Client,
    cloud: &mut Client,
    holder: &mut Holder,
) {
    let now = Instant::now();
    if holder.retry_at.is_some_and(|retry| now < retry) {
        return;
    }
    if holder.unsent.is_none() {
        let length = state.settings.bounds.usage_window.as_millis() as u64;
        let unix_now = state.unix_ms();
        holder.next_window = holder.next_window.max(first_in_time(state));
        if (holder.next_window + 1) * length + SETTLE_TIME.as_millis() as u64 > unix_now {
            return;
        }
        if let Err(error) = finalize_window(state, store, holder).await {
            log::info!(
                "duty: counts of window {} not finalized, {error}; trying again.",
                holder.next_window
            );
            holder.retry_at = Some(Instant::now() + RETRY_PAUSE);
            return;
        }
    }
    let Some((window, counts)) = holder.unsent.clone() else {
        return;
    };
    if !holder.lease.may_act(Instant::now()) {
        return;
    }
    match send_usage(cloud, holder, window, &counts).await {
        Ok(200) => {
            log::info!("duty: usage of window {window} reported, {counts}.");
            holder.unsent = None;
        }
        Ok(status) => {
            log::info!(
                "duty: usage of window {window} not accepted (status {status}); trying again."
            );
            holder.retry_at = Some(Instant::now() + RETRY_PAUSE);
        }
        Err(error) => {
            log::info!("duty: usage report of window {window} failed, {error}; trying again.");
            holder.retry_at = Some(Instant::now() + RETRY_PAUSE);
        }
    }
}

/// First window whose deadline for a report has not passed.
fn first_in_time(state: &State) -> WindowId {
    let length = state.settings.bounds.usage_window.as_millis().max(1) as u64;
    let deadline = state.settings.bounds.report_deadline.as_millis() as u64;
    let oldest_end = state.unix_ms().saturating_sub(deadline);
    oldest_end.div_ceil(length).saturating_sub(1)
}

/// Where this daemon goes on as the new duty holder in an era, after the last known report. If other
/// daemons ran before, windows that were not due before the era are reported although their counts
/// may be lost.
pub(super) fn resume(
    state: &State,
    start: &EraStart,
    last: Option<&Report>,
    ran_before: bool,
) -> WindowId {
    let length = state.settings.bounds.usage_window;
    let counted = state.usage.borrow().since(0).map(|row| row.1).min();
    let own = state.usage_window(state.started);
    let certain = ran_before.then(|| start.first_certain(length));
    let first = [counted, certain].into_iter().flatten().fold(own, u64::min);
    let Resume { next, omitted } = start.resume(last, first, length);
    let missed = omitted.start.max(first_in_time(state))..omitted.end;
    if !missed.is_empty() {
        log::warn!(
            "duty: the usage of windows {} to {} is not reported; a report of them may have been \
             sent before the store was restored from an older copy.",
            missed.start,
            missed.end - 1
        );
        let count = missed.end - missed.start;
        state.measure(|metrics| metrics.record_omitted_windows(count));
    }
    next
}

/// Writes the final counts of the next window to the store. Any daemon that reports the window
/// sends exactly these bytes: two different counts for one window would charge customers wrongly.
async fn finalize_window(
    state: &State,
    store: &mut Client,
    holder: &mut Holder,
) -> Result<(), WriteError> {
    let window = holder.next_window;
    let counts = counts_text(&state.usage.borrow().total(window))?;
    let record = UsageRecord {
        number: window,
        counts: counts.to_string(),
        era: holder.era,
    };
    let written = Txn {
        expect: vec![(USAGE_KEY.into(), holder.usage_revision)],
        puts: vec![(USAGE_KEY.into(), record.encode_to_vec().into(), 0)],
        removes: Vec::new(),
    };
    let written = match write(store, holder, written).await {
        Ok(written) => written,
        Err(WriteError::Call(error)) => {
            // The write may have been applied, or may still be. The read below, or that of the
            // next attempt, then finds the record, and reporting continues from it.
            log::info!("duty: no response to the record of window {window}, {error}; reading it.");
            None
        }
        Err(error) => return Err(error),
    };
    if let Some(revision) = written {
        record_finalized(state, &record);
        holder.usage_revision = revision;
        holder.next_window = window + 1;
        holder.unsent = Some((window, counts));
        return Ok(());
    }
    let reply = store.call(&get(USAGE_KEY), CALL_TIMEOUT).await?;
    if reply.era != holder.era {
        return Err(WriteError::Restored);
    }
    if let Some(item) = read_item(&reply)? {
        holder.usage_revision = item.revision;
        if let Some(record) = read_record(item.value)
            && record.number >= window
        {
            record_finalized(state, &record);
            holder.next_window = record.number + 1;
            holder.unsent = Some((record.number, record.counts.into()));
            return Ok(());
        }
    }
    Err(WriteError::Conflict)
}

/// Remembers a report that was written to the store, in case the store comes back from an
/// older copy.
fn record_finalized(state: &State, record: &UsageRecord) {
    let report = Report {
        window: record.number,
        counts: CompactString::from(&record.counts),
        era: record.era,
    };
    state.usage.borrow_mut().finalize(report, Instant::now());
}

/// The last finalized report: the record in the store, one that the former duty holder told of, or a
/// newer one that is known to have been there.
pub(super) fn last_report(
    state: &State,
    record: Option<UsageRecord>,
    start: &EraStart,
) -> Option<Report> {
    let mut usage = state.usage.borrow_mut();
    if let Some(told) = start.settled.as_ref().and_then(|row| row.report.clone()) {
        usage.merge_finalized(told);
    }
    if let Some(record) = record {
        let report = Report {
            window: record.number,
            counts: record.counts.into(),
            era: record.era,
        };
        if !usage.merge_finalized(report.clone()) && usage.finalized() != Some(&report) {
            log::info!(
                "duty: the record in the store is of window {}; going on from a newer known one.",
                report.window
            );
        }
    }
    usage.finalized().cloned()
}

/// Counts as a JSON object of runs by team.
fn counts_text(counts: &Counts) -> Result<CompactString, serde_json::Error> {
    let map: std::collections::BTreeMap<&str, u32> = counts
        .iter()
        .map(|(team, runs)| (team.as_str(), *runs))
        .collect();
    serde_json::to_string(&map).map(CompactString::from)
}

/// Sends a usage report and returns the response status.
async fn send_usage(
    cloud: &mut Client,
    holder: &Holder,
    window: WindowId,
    counts: &str,
) -> Result<u16, WriteError> {
    let call = usage_call(&holder.duty, window, counts)?;
    Ok(cloud.call(&call, call_timeout(holder)).await?.status)
}
