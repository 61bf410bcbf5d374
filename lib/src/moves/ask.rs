//! Operators' requests: to start a move and to cancel one.
//!
//! Operators race with each other and with the daemons. Every edit is decided on
//! the record as it was read and written only if the store still has that revision;
//! the loser of a race reads again and gets the current state. The response to a
//! write can be lost after it took effect; as each move carries a random id,
//! reading the record back shows whose it is.

use compact_str::{CompactString, format_compact};

use crate::code::Code;
use crate::ids::{ServiceId, VersionId};
use crate::lists::is_id;
use crate::moves::lifecycle::{Move, MoveId, Record, Terms};
use crate::moves::share::Share;
use crate::moves::stages::{Scale, WallMs, min_move_time};

/// Longest time a move may take, in milliseconds; a later finish-by time is more
/// likely a typing error.
const MAX_MOVE_MS: WallMs = 30 * 24 * 3_600_000;

/// An operator's request to move a service to another version.
#[proc_macros::row]
pub struct Ask {
    /// Random id of the move; kept over retries of the write.
    pub id: MoveId,
    /// Service.
    pub service: ServiceId,
    /// Version to go to.
    pub to: VersionId,
    /// When the move must be finished.
    pub finish: WallMs,
}

/// What runs of the service when a move is requested.
#[proc_macros::row]
pub struct Fleet {
    /// Version that gets the requests.
    pub version: VersionId,
    /// Endpoints of that version.
    pub old: u32,
    /// Endpoints of the version to go to.
    pub new: u32,
    /// Recent share of the requests that are idempotent.
    pub idempotent: Share,
}

/// Why an operator's request was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {reason}", code.number())]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Sentence for the operator.
    pub reason: CompactString,
}

impl Refusal {
    fn new(code: Code, reason: CompactString) -> Self {
        Self { code, reason }
    }
}

/// Checks a request against the record in the store.
///
/// Returns the record to write if its revision has not changed since.
///
/// # Errors
/// `BadMove` for what can't be done, `Conflict` while another move runs.
pub fn ask(
    current: Option<&Record>,
    ask: &Ask,
    fleet: &Fleet,
    now: WallMs,
) -> Result<Record, Refusal> {
    if let Some(open) = current.filter(|record| !record.ended()) {
        if open.terms().id == ask.id {
            return Ok(open.clone());
        }
        let reason = format_compact!(
            "a move of {} to {} is under way; cancel it first",
            ask.service,
            open.terms().to
        );
        return Err(Refusal::new(Code::Conflict, reason));
    }
    check(ask, fleet, now)?;
    Ok(Record::Asked(Move::new(Terms {
        id: ask.id,
        service: ask.service.clone(),
        from: fleet.version.clone(),
        to: ask.to.clone(),
        scale: Scale {
            endpoints: fleet.old,
            idempotent: fleet.idempotent,
        },
        finish: ask.finish,
    })))
}

fn check(ask: &Ask, fleet: &Fleet, now: WallMs) -> Result<(), Refusal> {
    let bad = |reason| Err(Refusal::new(Code::BadMove, reason));
    if !is_id(&ask.to) {
        return bad(format_compact!("{:?} is no version id", ask.to));
    }
    if ask.to == fleet.version {
        return bad(format_compact!("{} runs {} already", ask.service, ask.to));
    }
    if fleet.new == 0 {
        return bad(format_compact!("no endpoint runs {}", ask.to));
    }
    let least = min_move_time().as_millis() as WallMs;
    let left = ask.finish.saturating_sub(now);
    if left < least {
        return bad(format_compact!(
            "the finish-by time is {} s away; a move takes {} s at least",
            left / 1000,
            least.div_ceil(1000)
        ));
    }
    if left > MAX_MOVE_MS {
        return bad(format_compact!(
            "the finish-by time is {} days away; 30 are allowed",
            left / (24 * 3_600_000)
        ));
    }
    Ok(())
}

/// Cancels the move in the store.
///
/// # Errors
/// `NoMove` without one or for another id, `Conflict` when it has ended.
pub fn cancel(
    current: Option<&Record>,
    id: MoveId,
    reason: CompactString,
) -> Result<Record, Refusal> {
    let record = current.filter(|record| record.terms().id == id);
    let Some(record) = record else {
        let reason = CompactString::const_new("this move is not on record");
        return Err(Refusal::new(Code::NoMove, reason));
    };
    if let Record::Cancelled(_) = record {
        return Ok(record.clone());
    }
    let ended = || Refusal::new(Code::Conflict, crate::moves::status::text(record));
    record.clone().cancel(reason).ok_or_else(ended)
}
