//! Life cycle of a claim, as types.
//!
//! The one way to a [`Permit`] leads out of [`Claiming`] or from an unused issued
//! key, and the one way back leads through its end. A claim that was released
//! has no method that dispatches it, so a promise to another daemon can't be
//! broken by a later change of the code.

use std::time::Instant;

use super::row::{ClaimRow, Stage};
use super::{Answer, ClaimId, Digest, KeyedRequest, Reply, RunResult, Sequence};
use crate::ids::{Incarnation, RequestId, Revision};
use crate::table::Row;

/// The right to dispatch a request once; can't be copied.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    id: ClaimId,
    sequence: Sequence,
    request: RequestId,
}

impl Permit {
    /// Request that may be dispatched.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Claim that it belongs to.
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

/// Its row is being created, or put in place of a released one.
#[proc_macros::row]
pub(crate) struct Claiming {
    /// When the caller is told that it was not run.
    pub deadline: Instant,
    /// Revision of a row whose holder released it.
    pub replaces: Option<Revision>,
    /// Sequence of an own claim of the key that was released. Its row may still
    /// stand, when the daemon that asked died before it replaced it.
    pub released: Option<Sequence>,
}

/// It was dispatched.
#[proc_macros::row]
pub(crate) struct Running {
    /// Revision of its row; 0 if it has none.
    pub revision: Revision,
}

/// It ended; the row may not tell so yet.
#[proc_macros::row]
pub(crate) struct Ended {
    /// Answer; none if it may have run without one.
    pub answer: Option<Answer>,
    /// Revision of the row that has to be changed; 0 if none has to.
    pub revision: Revision,
    /// When it may be forgotten, once the row records the result.
    pub forget_at: Instant,
}

/// It was not dispatched; whether its row stands is not known.
#[proc_macros::row]
pub(crate) struct Abandoned {
    /// When it may be forgotten.
    pub forget_at: Instant,
}

/// It was not dispatched and never will be, as another daemon was promised.
#[proc_macros::row]
pub(crate) struct Released {
    /// When it may be forgotten.
    pub forget_at: Instant,
}

/// Another daemon has the row and is being asked.
#[proc_macros::row]
pub(crate) struct Asking {
    /// When the holder is considered gone, unless it replies.
    pub reply_by: Instant,
    /// Revision of its row.
    pub revision: Revision,
    /// Sequence of its row.
    pub holder_sequence: Sequence,
    /// When the caller is told that it was not run.
    pub deadline: Instant,
}

/// A claim in whichever state it is.
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
    fn enter<T>(self, state: T) -> Claim<T> {
        Claim {
            id: self.id,
            sequence: self.sequence,
            digest: self.digest,
            request: self.request,
            state,
        }
    }

    /// Whether a row is this claim's own.
    pub fn is_own_row(&self, me: Incarnation, row: &ClaimRow) -> bool {
        row.holder == me && row.sequence == self.sequence
    }

    /// The row that stands for it.
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
    /// A claim for a request.
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

    /// Whether a row is that of an own claim that was released.
    pub fn is_released_row(&self, me: Incarnation, row: &ClaimRow) -> bool {
        row.holder == me && self.state.released == Some(row.sequence)
    }

    /// Its row stands.
    pub fn into_running(self, revision: Revision) -> (Claim<Running>, Permit) {
        with_permit(self.enter(Running { revision }))
    }

    /// Nobody waits for it any more.
    pub fn abandon(self, forget_at: Instant) -> Claim<Abandoned> {
        self.enter(Abandoned { forget_at })
    }

    /// Another daemon has the row.
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
    /// An issued key that nobody used; it needs no row.
    pub fn for_issued(id: ClaimId, request: &KeyedRequest, sequence: Sequence) -> (Self, Permit) {
        with_permit(Self {
            id,
            sequence,
            digest: request.digest,
            request: request.id,
            state: Running { revision: 0 },
        })
    }

    /// Takes its end.
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
    /// Claims it for another request with the same key. The sequence stays, so
    /// that a row which came late shows as its own.
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

    /// Gives it up for good.
    pub fn release(self) -> Claim<Released> {
        let forget_at = self.state.forget_at;
        self.enter(Released { forget_at })
    }
}

impl Claim<Released> {
    /// A new claim of the key, with a sequence of its own.
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
    /// The holder released its row; it may be replaced at that revision.
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
    /// How its row shall tell it.
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

    /// What another daemon is told of it; an abandoned one is to be released.
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

fn with_permit(claim: Claim<Running>) -> (Claim<Running>, Permit) {
    let permit = Permit {
        id: claim.id.clone(),
        sequence: claim.sequence,
        request: claim.request,
    };
    (claim, permit)
}
