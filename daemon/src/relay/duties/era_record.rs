//! The store's records of the beginnings of its eras.
//!
//! One record lies under the number of each era that was seen. It is what a process that has just
//! started can tell a restore by, and it keeps late writes away: all writes of a duty holder require
//! the record of its era, and whoever acquires the duties in the next era removes it before it reads
//! what its predecessors wrote. A write that was sent before a restore and is executed after that
//! fails, although the store assigns the revisions that it requires again.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use poplarvale_lib::protos::relay::{EraRecord, UsageRecord};
use poplarvale_lib::relay::era_start::{EraStart, Settled};
use poplarvale_lib::relay::usage::Report;
use poplarvale_lib::{Era, Revision, era_of};
use poplarvale_platform::{Item, Txn, range, read_range, read_txn, txn};
use prost::Message as _;

use super::{CALL_TIMEOUT, LEADER_KEY, OWN_PREFIX};
use crate::relay::client::{Client, WriteError};
use crate::relay::state::State;

/// Part of the keys of these records after [`OWN_PREFIX`]; the era follows.
const ERA_PART: &str = "eras/";
/// Most records of former eras that are removed at once.
const MAX_REMOVED: usize = 16;

/// The record of the newest era as it was read.
#[derive(Debug)]
pub(super) struct Recorded {
    pub(super) start: EraStart,
    pub(super) revision: Revision,
    /// Keys of the records of former eras.
    former: Vec<CompactString>,
}

/// Key of the record of an era.
pub(super) fn era_key(era: Era) -> CompactString {
    format_compact!("{OWN_PREFIX}{ERA_PART}{era}")
}

/// Whether a key is that of such a record.
pub(crate) fn is_key(key: &str) -> bool {
    let part = key.strip_prefix(OWN_PREFIX);
    part.is_some_and(|part| part.starts_with(ERA_PART))
}

/// Records what an item of the store tells of the beginning of an era, if it is such a record.
pub(crate) fn record_item(state: &State, item: &Item) {
    if let Some(start) = read_start(item) {
        state.eras.record_start(item.revision, start);
    }
}

/// Records in the store that the newest era was seen, and what this daemon reported before it as the
/// last duty holder, unless the store has both.
pub(super) async fn record_era(state: &State, store: &mut Client) {
    if !is_due(state) {
        return;
    }
    match read_or_write(state, store).await {
        Ok(recorded) => state.eras.record_start(recorded.revision, recorded.start),
        Err(error) => log::info!("store: the era was not recorded, {error}; trying again."),
    }
}

/// Whether the store may lack what this daemon knows of the beginning of the era.
fn is_due(state: &State) -> bool {
    let is_untold = |start: &EraStart| !start.is_open && start.settled.is_none();
    let start = state.eras.start();
    let is_watcher = state.peers.borrow().is_watcher();
    is_watcher && start.is_none_or(|start| is_untold(&start) && state.eras.settled().is_some())
}

/// Reads the record of the newest era; writes it first if it is missing or lacks what this daemon
/// knows.
pub(super) async fn read_or_write(
    state: &State,
    store: &mut Client,
) -> Result<Recorded, WriteError> {
    let prefix = format_compact!("{OWN_PREFIX}{ERA_PART}");
    let reply = store.call(&range(&prefix, "", false), CALL_TIMEOUT).await?;
    let (items, _, _) = read_range(&reply)?;
    let key = era_key(reply.era);
    let (own, former): (Vec<Item>, Vec<Item>) = items.into_iter().partition(|item| item.key == key);
    let former = former.into_iter().map(|item| item.key);
    let former: Vec<_> = former.take(MAX_REMOVED).collect();
    let stored = own.first().and_then(|item| {
        let start = read_start(item)?;
        Some((item.revision, start))
    });
    let known = state.eras.settled();
    let (revision, mut start) = match stored {
        Some((revision, start)) if start.is_open || start.settled.is_some() || known.is_none() => {
            return Ok(Recorded {
                start,
                revision,
                former,
            });
        }
        Some(stored) => stored,
        // An unreadable record is replaced.
        None => {
            let revision = own.first().map_or(0, |item| item.revision);
            (revision, seen_now(state, reply.era))
        }
    };
    start.settled = known;
    let written = Txn {
        expect: vec![(key.clone(), revision)],
        puts: vec![(key, encode(&start), 0)],
        removes: Vec::new(),
    };
    let revision = execute(store, start.era, &written).await?;
    Ok(Recorded {
        start,
        revision,
        former,
    })
}

/// Removes the records of former eras, and records that a daemon has acquired the duties in this one,
/// with this fencing token; returns the revision of the record.
pub(super) async fn open(
    store: &mut Client,
    recorded: Recorded,
    fence: Revision,
) -> Result<Revision, WriteError> {
    let Recorded {
        mut start,
        mut revision,
        former,
    } = recorded;
    let key = era_key(start.era);
    let guards = |revision| vec![(LEADER_KEY.into(), fence), (key.clone(), revision)];
    // A transaction may raise the revision more than once, so each writes one key whose revision
    // is needed.
    if !former.is_empty() {
        let removed = Txn {
            expect: guards(revision),
            puts: Vec::new(),
            removes: former,
        };
        execute(store, start.era, &removed).await?;
    }
    if !start.is_open {
        start.is_open = true;
        let opened = Txn {
            expect: guards(revision),
            puts: vec![(key.clone(), encode(&start), 0)],
            removes: Vec::new(),
        };
        revision = execute(store, start.era, &opened).await?;
    }
    Ok(revision)
}

/// Executes a transaction in an era; returns the new revision.
async fn execute(store: &mut Client, era: Era, writes: &Txn) -> Result<Revision, WriteError> {
    let reply = store.call(&txn(writes)?, CALL_TIMEOUT).await?;
    match read_txn(&reply)? {
        Some(_) if reply.era != era => Err(WriteError::Restored),
        Some(revision) => Ok(revision),
        None => Err(WriteError::Conflict),
    }
}

/// The beginning of an era as far as this daemon has seen it.
fn seen_now(state: &State, era: Era) -> EraStart {
    let ago = state
        .eras
        .seen()
        .map(|seen| seen.elapsed().as_millis() as u64);
    EraStart {
        era,
        seen_ms: state.unix_ms().saturating_sub(ago.unwrap_or_default()),
        is_open: false,
        settled: None,
    }
}

fn encode(start: &EraStart) -> Bytes {
    let settled = start.settled.as_ref();
    let last = settled.and_then(|settled| settled.report.as_ref());
    let record = EraRecord {
        seen_ms: start.seen_ms,
        open: start.is_open,
        next_window: settled.map(|settled| settled.next),
        last: last.map(|report| UsageRecord {
            number: report.window,
            counts: report.counts.to_string(),
            era: report.era,
        }),
    };
    record.encode_to_vec().into()
}

/// Decodes the record of the era in which it was read; `None` if the item is another one. An invalid
/// record counts as missing.
fn read_start(item: &Item) -> Option<EraStart> {
    let era = era_of(item.revision);
    if item.key != era_key(era) {
        return None;
    }
    match EraRecord::decode(item.value.clone()) {
        Ok(record) => {
            let last = record.last.map(|last| Report {
                window: last.number,
                counts: last.counts.into(),
                era: last.era,
            });
            Some(EraStart {
                era,
                seen_ms: record.seen_ms,
                is_open: record.open,
                settled: record
                    .next_window
                    .map(|next| Settled { next, report: last }),
            })
        }
        Err(error) => {
            log::warn!("store: the record of era {era} is invalid and ignored, {error}.");
            None
        }
    }
}
