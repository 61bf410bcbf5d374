//! At most one run per idempotency key, through crashes, outages and partitions.
//!
//! A caller that received no answer retries its booking through whichever daemon
//! the load balancer picks. If the retry ran too, a family would be charged twice;
//! if the caller were answered "not run" although the request ran, it would book
//! again under a new key with the same effect. Two kinds of key prevent this. A key
//! that the caller supplies is claimed in the platform's key-value service before
//! the single dispatch, and a daemon that finds the key there never dispatches the
//! request. A key that a daemon issued needs no service: only the incarnation that
//! issued it, or the one that received its key space in a hand-over, may dispatch
//! it, once, from its own memory.
//!
//! Correctness rests on create-if-absent writes and on incarnations that are never
//! reused; no clock, lease or timeout decides whether a request may run. An outcome
//! that cannot be determined is reported as unknown. Rows of supplied keys are kept
//! for at least a day ([`MIN_RETENTION`]); a key must not be reused later than that.

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

/// Minimum time for which rows of supplied keys are kept.
pub const MIN_RETENTION: Duration = Duration::from_hours(24);

/// Id of a claim: its key in the key-value service, or the text of an issued key.
pub type ClaimId = CompactString;
/// Digest of a request's customer, route and body.
pub type Digest = u128;
/// Number of a claim within its incarnation; the two together are unique.
pub type Sequence = u64;

/// A request that may run at most once.
#[proc_macros::row]
#[derive(Eq)]
pub struct KeyedRequest {
    /// Request id.
    pub id: RequestId,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Idempotency key.
    pub key: Key,
    /// Digest of customer, route and body.
    pub digest: Digest,
    /// Time by which it must be answered.
    pub deadline: Instant,
    /// Whether another daemon forwarded it; a forwarded request is not forwarded again.
    pub forwarded: bool,
}

/// An answer that is kept for retries.
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
    /// The endpoint answered in full.
    Answered(Answer),
    /// No byte of it was sent to an endpoint.
    Unsent,
    /// It may have run.
    Unknown,
}

/// A live daemon and the key spaces that it holds besides its own.
#[proc_macros::setting]
#[derive(Eq)]
pub struct Peer {
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Incarnations whose key spaces were handed over to it.
    pub holds: Vec<Incarnation>,
}

/// Question to the holder of a claim: what became of it.
#[proc_macros::setting]
#[derive(Eq)]
pub struct Question {
    /// Claim that the question is about.
    pub id: ClaimId,
    /// Sequence of that claim.
    pub sequence: Sequence,
}

/// Reply of a claim's holder.
#[proc_macros::setting]
#[derive(Eq)]
pub enum Reply {
    /// The request with this id runs or is about to be dispatched.
    Running(RequestId),
    /// The request ended with this answer.
    Answered(Answer),
    /// The request did not run and the holder will never dispatch it.
    Released,
    /// The request may have run.
    Unknown,
}

/// Event that a claimer handles.
#[derive(Debug)]
pub enum Input {
    /// A request arrived.
    Begin(KeyedRequest),
    /// A caller disconnected before its request was dispatched.
    CallerLeft(RequestId),
    /// A dispatched request ended.
    Ended(Permit, RunResult),
    /// A write completed or failed.
    Written {
        /// Number of the write.
        number: u64,
        /// Result of the write.
        result: Result<Written, Failure>,
    },
    /// Result of a lease request.
    Leased(Result<Lease, Failure>),
    /// A holder replied, or the question failed.
    Replied {
        /// Question that was asked.
        question: Question,
        /// Reply; none if the question failed.
        reply: Option<Reply>,
    },
    /// The live daemons, without this one.
    Peers(Vec<Peer>),
    /// This daemon will be reclaimed: it starts no further requests.
    Freeze,
}

/// Action that a claimer requests.
#[derive(Debug)]
pub enum Command {
    /// Dispatch a request; the permit is returned with the result.
    Dispatch(Permit),
    /// Send the caller a kept answer.
    Answer {
        /// Request.
        request: RequestId,
        /// Kept answer.
        answer: Answer,
    },
    /// Reject a request.
    Reject(Rejection),
    /// Forward a request to another daemon.
    Forward {
        /// Request.
        request: RequestId,
        /// Daemon that receives it.
        to: Incarnation,
    },
    /// Ask the holder of a claim what became of it.
    Question {
        /// Holder of the claim.
        to: Incarnation,
        /// Question to send.
        question: Question,
    },
    /// Write to the key-value service; one write at a time.
    Write {
        /// Number that distinguishes a late result from that of a later write.
        number: u64,
        /// Write to send.
        write: Write,
    },
    /// Request a lease of this duration for rows.
    Lease(Duration),
}

/// A rejected request.
#[proc_macros::row]
#[derive(Eq)]
pub struct Rejection {
    /// Request.
    pub request: RequestId,
    /// Reason for the rejection.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// Time from which a retry can succeed.
    pub retry_at: Option<Instant>,
    /// Request that runs under the same key.
    pub running: Option<RequestId>,
}
