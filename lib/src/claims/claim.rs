//! States of a claim, as types.
//!
//! A [`Permit`] can only be obtained from [`Claiming`] or from an unused issued key,
//! and it is only given back with the result of the request. A released claim has no
//! method that dispatches it, so a later change of the code cannot break the promise
//! to another daemon that the request never runs.

use std::time::Instant;

use super::row::{ClaimRow, Stage};
use super::{Answer, ClaimId, Digest, KeyedRequest, Reply, RunResult, Sequence};
use crate::ids::{Incarnation, RequestId, Revision};
use crate::table::Row;

/// Permission to dispatch a request once; cannot be copied.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    id: ClaimId,
    sequence: Sequence,
    request: RequestId,
}

impl Permit {
    /// Id of the request that may be dispatched.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Id of the claim.
    pub fn id(&self) -> &ClaimId {
        &self.id
    }

    /// Sequence of the claim.
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }
}

/// A claim in one of its states.
#[proc_macros::row]
pub(crate) struct Claim<S> {
    pub id: ClaimId,
    pub sequence: Sequence,
    pub digest: Digest,
    pub request: RequestId,
    pub state: S,
}

/// Its row is being created, or is replacing a released one.
#[proc_macros::row]
pub(crate) struct Claiming {
    /// When the claim is abandoned and the caller is answered "not run".
    pub deadline: Instant,
    /// Revision of the released row that this claim replaces.
    pub replaces: Option<Revision>,
    /// Sequence of an earlier claim of the key by this daemon, which was released. Its
    /// row may still exist if the daemon that asked for it died before replacing it.
    pub released: Option<Sequence>,
}

/// Its request was dispatched.
#[proc_macros::row]
pub(crate) struct Running {
    /// Revision of its row; 0 if it has no row.
    pub revision: Revision,
}

/// Its request ended; the row may not record the result yet.
#[proc_macros::row]
pub(crate) struct Ended {
    /// Answer; none if the request may have run without one.
    pub answer: Option<Answer>,
    /// Revision of the row that has to be updated; 0 if none has to be.
    pub revision: Revision,
    /// When it may be forgotten, once the row records the result.
    pub forget_at: Instant,
}

/// Its request was not dispatched; whether its row exists is unknown.
#[proc_macros::row]
pub(crate) struct Abandoned {
    /// When it may be forgotten.
    pub forget_at: Instant,
}

/// Its request was not dispatched and never will be; another daemon was promised so.
#[proc_macros::row]
pub(crate) struct Released {
    /// When it may be forgotten.
    pub forget_at: Instant,
}

/// Another daemon holds the row and is being asked about it.
#[proc_macros::row]
pub(crate) struct Asking {
    /// When the holder is considered gone, unless it replies.
    pub reply_by: Instant,
    /// Revision of the holder's row.
    pub revision: Revision,
    /// Sequence of the holder's row.
    pub holder_sequence: Sequence,
    /// Deadline of the claim if the holder releases its row.
    pub deadline: Instant,
}

/// A claim in any of its states.
#[proc_macros::row]
pub(crate) enum AnyClaim {
    Claiming(Claim<Claiming>),
    Running(Claim<Running>),
    Ended(Claim<Ended>),
    Abandoned(Claim<Abandoned>),
    Released(Claim<Released>),
    Asking(Claim<Asking>),
}

impl<S> Claim<S> {
    /// The same claim in another state.
    fn enter<T>(self, state: T) -> Claim<T> {
        Claim {
            id: self.id,
            sequence: self.sequence,
            digest: self.digest,
            request: self.request,
            state,
        }
    }

    /// Whether a row belongs to this claim.
    pub fn is_own_row(&self, me: Incarnation, row: &ClaimRow) -> bool {
        row.holder == me && row.sequence == self.sequence
    }

    /// The row of this claim at a stage.
    pub fn row(&self, me: Incarnation, stage: Stage) -> ClaimRow {
        ClaimRow {
            holder: me,
            sequence: self.sequence,
            digest: self.digest,
            request: self.request,
            stage,
        }
    }
}

impl Claim<Claiming> {
    /// A new claim for a request.
    pub fn new(id: ClaimId, request: &KeyedRequest, sequence: Sequence, deadline: Instant) -> Self {
        Self {
            id,
            sequence,
            digest: request.digest,
            request: request.id,
            state: Claiming {
                deadline,
                replaces: None,
                released: None,
            },
        }
    }

    /// Whether a row belongs to an earlier claim by this daemon that was released.
    pub fn is_released_row(&self, me: Incarnation, row: &ClaimRow) -> bool {
        row.holder == me && self.state.released == Some(row.sequence)
    }

    /// Its row was written: the request may be dispatched.
    pub fn into_running(self, revision: Revision) -> (Claim<Running>, Permit) {
        with_permit(self.enter(Running { revision }))
    }

    /// Abandons the claim, as no caller waits for it any longer.
    pub fn abandon(self, forget_at: Instant) -> Claim<Abandoned> {
        self.enter(Abandoned { forget_at })
    }

    /// Another daemon holds the row and is asked about it.
    pub fn ask_holder(
        self,
        reply_by: Instant,
        revision: Revision,
        holder_sequence: Sequence,
    ) -> Claim<Asking> {
        let deadline = self.state.deadline;
        self.enter(Asking {
            reply_by,
            revision,
            holder_sequence,
            deadline,
        })
    }
}

impl Claim<Running> {
    /// Claim of an unused issued key; it needs no row.
    pub fn for_issued(id: ClaimId, request: &KeyedRequest, sequence: Sequence) -> (Self, Permit) {
        with_permit(Self {
            id,
            sequence,
            digest: request.digest,
            request: request.id,
            state: Running { revision: 0 },
        })
    }

    /// Records the result of its request.
    pub fn finish(self, result: RunResult, forget_at: Instant) -> AnyClaim {
        let revision = self.state.revision;
        let answer = match result {
            RunResult::Unsent => return AnyClaim::Abandoned(self.enter(Abandoned { forget_at })),
            RunResult::Answered(answer) => Some(answer),
            RunResult::Unknown => None,
        };
        AnyClaim::Ended(self.enter(Ended {
            answer,
            revision,
            forget_at,
        }))
    }
}

impl Claim<Abandoned> {
    /// Claims the key again for another request. The sequence stays the same, so that
    /// a row that was written late is recognized as this claim's own.
    pub fn retry(self, request: &KeyedRequest, deadline: Instant) -> Claim<Claiming> {
        Claim {
            request: request.id,
            ..self.enter(Claiming {
                deadline,
                replaces: None,
                released: None,
            })
        }
    }

    /// Releases the claim: its request is never dispatched.
    pub fn release(self) -> Claim<Released> {
        let forget_at = self.state.forget_at;
        self.enter(Released { forget_at })
    }
}

impl Claim<Released> {
    /// A new claim of the key, with a new sequence.
    pub fn claim_anew(
        self,
        request: &KeyedRequest,
        sequence: Sequence,
        deadline: Instant,
    ) -> Claim<Claiming> {
        let mut claim = Claim::new(self.id, request, sequence, deadline);
        claim.state.released = Some(self.sequence);
        claim
    }
}

impl Claim<Asking> {
    /// The holder released its row, which may now be replaced at that revision.
    pub fn replace_row(self) -> Claim<Claiming> {
        let replaces = Some(self.state.revision);
        let deadline = self.state.deadline;
        self.enter(Claiming {
            deadline,
            replaces,
            released: None,
        })
    }
}

impl Claim<Ended> {
    /// Stage that its row has to record.
    pub fn stage(&self) -> Stage {
        let answer = self.state.answer.clone();
        answer.map_or(Stage::Unknown, Stage::Answered)
    }
}

impl AnyClaim {
    pub fn digest(&self) -> Digest {
        match self {
            Self::Claiming(c) => c.digest,
            Self::Running(c) => c.digest,
            Self::Ended(c) => c.digest,
            Self::Abandoned(c) => c.digest,
            Self::Released(c) => c.digest,
            Self::Asking(c) => c.digest,
        }
    }

    pub fn sequence(&self) -> Sequence {
        match self {
            Self::Claiming(c) => c.sequence,
            Self::Running(c) => c.sequence,
            Self::Ended(c) => c.sequence,
            Self::Abandoned(c) => c.sequence,
            Self::Released(c) => c.sequence,
            Self::Asking(c) => c.sequence,
        }
    }

    /// Reply to another daemon; an abandoned claim must be released with it.
    pub fn reply(&self) -> Reply {
        match self {
            Self::Claiming(c) => Reply::Running(c.request),
            Self::Running(c) => Reply::Running(c.request),
            Self::Asking(c) => Reply::Running(c.request),
            Self::Ended(c) => c
                .state
                .answer
                .clone()
                .map_or(Reply::Unknown, Reply::Answered),
            Self::Abandoned(_) | Self::Released(_) => Reply::Released,
        }
    }
}

impl Row for AnyClaim {
    type Id = ClaimId;
    fn id(&self) -> &ClaimId {
        match self {
            Self::Claiming(c) => &c.id,
            Self::Running(c) => &c.id,
            Self::Ended(c) => &c.id,
            Self::Abandoned(c) => &c.id,
            Self::Released(c) => &c.id,
            Self::Asking(c) => &c.id,
        }
    }
}

/// A claim whose request may be dispatched, with its permit.
fn with_permit(claim: Claim<Running>) -> (Claim<Running>, Permit) {
    let permit = Permit {
        id: claim.id.clone(),
        sequence: claim.sequence,
        request: claim.request,
    };
    (claim, permit)
}
