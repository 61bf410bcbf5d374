//! At most one run per idempotency key, through crashes, outages and partitions.
//!
//! A caller that got no answer sends its booking again, through whichever daemon
//! the balancer picks. Were it run again, a family would be charged twice; were
//! the caller told "not run" although it ran, it would book anew with the same
//! effect. Two kinds of key prevent this. A caller's own key is claimed in the
//! platform's key-value service before the single dispatch, and whoever finds
//! the key there never dispatches it. A key that a daemon issued needs no
//! service: only the incarnation that issued it, or the one it handed its keys
//! over to, may dispatch it, once, from its own memory.
//!
//! The argument rests on create-if-absent and on incarnations that are never
//! used again; no clock, lease or timeout decides whether a request may run.
//! What can't be known is told as unknown. Rows of callers' keys stay for a day
//! at least ([`MIN_RETENTION`]); a key must not be reused later than that.

mod batch;
mod claim;
mod claimer;
mod issued;
mod key;
mod row;

use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::code::{Code, Ran};
use crate::ids::{CustomerId, Incarnation, RequestId};
use crate::store::{Failure, Lease, Write, Written};

pub use batch::WRITE_RATE;
pub use claim::Permit;
pub use claimer::{CLAIM_TIMEOUT, Claimer};
pub use issued::{HandOver, MAX_USED_KEYS, UsedKey};
pub use key::{Key, MAX_KEY_BYTES};
pub use row::MAX_STORED_BODY;

/// Time for which rows of callers' keys stay at least.
pub const MIN_RETENTION: Duration = Duration::from_hours(24);

/// What names a claim: the key in the service, or an issued key's text.
pub type ClaimId = CompactString;
/// Digest of a request's customer, route and body.
pub type Digest = u128;
/// Count of claims of one incarnation; with it, a nonce.
pub type Sequence = u64;

/// A request that may run at most once.
#[proc_macros::row]
#[derive(Eq)]
pub struct KeyedRequest {
    /// Its id.
    pub id: RequestId,
    /// Customer.
    pub customer: CustomerId,
    /// Its key.
    pub key: Key,
    /// Digest of customer, route and body.
    pub digest: Digest,
    /// When it must be answered.
    pub deadline: Instant,
    /// Whether another daemon forwarded it; such a one is not forwarded again.
    pub forwarded: bool,
}

/// An answer that is kept for repeats.
#[proc_macros::setting]
#[derive(Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: CompactString,
    /// Body.
    pub body: Vec<u8>,
}

/// How a dispatched request ended.
#[proc_macros::row]
#[derive(Eq)]
pub enum RunResult {
    /// Answered in full.
    Answered(Answer),
    /// No byte of it left for an endpoint.
    Unsent,
    /// It may have run.
    Unknown,
}

/// A live daemon, and whose issued keys it holds besides its own.
#[proc_macros::setting]
#[derive(Eq)]
pub struct Peer {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Incarnations whose keys were handed over to it.
    pub holds: Vec<Incarnation>,
}

/// Question to the holder of a claim.
#[proc_macros::setting]
#[derive(Eq)]
pub struct Question {
    /// The claim.
    pub id: ClaimId,
    /// Its sequence.
    pub sequence: Sequence,
}

/// The holder's reply.
#[proc_macros::setting]
#[derive(Eq)]
pub enum Reply {
    /// It runs, or is about to.
    Running(RequestId),
    /// It ended with this answer.
    Answered(Answer),
    /// It did not run and the holder will never run it.
    Released,
    /// It may have run.
    Unknown,
}

/// What a claimer is told.
#[derive(Debug)]
pub enum Input {
    /// A request came.
    Begin(KeyedRequest),
    /// A caller went away before its request was dispatched.
    CallerLeft(RequestId),
    /// A dispatched request ended.
    Ended(Permit, RunResult),
    /// A write ended.
    Written {
        /// Its number.
        number: u64,
        /// How it ended.
        result: Result<Written, Failure>,
    },
    /// The lease was granted or not.
    Leased(Result<Lease, Failure>),
    /// A holder replied, or did not.
    Replied {
        /// What it was asked.
        question: Question,
        /// Its reply.
        reply: Option<Reply>,
    },
    /// The daemons that live, without oneself.
    Peers(Vec<Peer>),
    /// This daemon will be reclaimed: begins nothing more.
    Freeze,
}

/// What a claimer asks for.
#[derive(Debug)]
pub enum Command {
    /// Dispatch a request; the permit comes back with its end.
    Dispatch(Permit),
    /// Give the caller an answer that was kept.
    Answer {
        /// Request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Reject a request.
    Reject(Rejection),
    /// Let another daemon do a request.
    Forward {
        /// Request.
        request: RequestId,
        /// The daemon.
        to: Incarnation,
    },
    /// Ask a holder.
    Question {
        /// The holder.
        to: Incarnation,
        /// The question.
        question: Question,
    },
    /// Write; one at a time.
    Write {
        /// Its number, by which a late end is told from that of a later write.
        number: u64,
        /// The write.
        write: Write,
    },
    /// Take a lease for rows.
    Lease(Duration),
}

/// A refused request.
#[proc_macros::row]
#[derive(Eq)]
pub struct Rejection {
    /// Request.
    pub request: RequestId,
    /// Why.
    pub code: Code,
    /// Whether it ran.
    pub ran: Ran,
    /// When coming back helps.
    pub retry_at: Option<Instant>,
    /// Request that has the key.
    pub running: Option<RequestId>,
}
