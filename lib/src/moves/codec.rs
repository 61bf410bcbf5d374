//! Conversion of move records between the types of the life cycle and the stored
//! form.

use compact_str::CompactString;

use crate::ids::{from_hex, hex};
use crate::moves::lifecycle::{
    Asked, Cancelled, Done, Move, Record, RolledBack, Staged, Terms, Watching,
};
use crate::moves::share::FULL_SHARE;
use crate::moves::stages::{LAST_STAGE, Scale};
use crate::protos::moves::{VersionMove, version_move::State};

/// Why a stored record is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The id is not 32 hexadecimal digits.
    #[error("the move's id is {0:?}, not 32 hexadecimal digits")]
    Id(CompactString),
    /// The state is not known to this daemon.
    #[error("the move's state is {0}, which is not known")]
    State(i32),
    /// The stage is not known to this daemon.
    #[error("the move's stage is {0}; the last one is {LAST_STAGE}")]
    Stage(u32),
}

impl Record {
    /// Converts to the stored form.
    pub fn to_stored(&self) -> VersionMove {
        let terms = self.terms();
        let (state, reason) = match self {
            Self::Asked(_) => (State::Asked, ""),
            Self::Staged(_) => (State::Staged, ""),
            Self::Watching(_) => (State::Watching, ""),
            Self::Done(_) => (State::Done, ""),
            Self::RolledBack(m) => (State::TakenBack, m.state.reason.as_str()),
            Self::Cancelled(m) => (State::Cancelled, m.state.reason.as_str()),
        };
        let due = match self {
            Self::Done(m) => Some(m.state.at),
            other => other.due(),
        };
        VersionMove {
            id: hex(terms.id).into(),
            service: terms.service.to_string(),
            from: terms.from.to_string(),
            to: terms.to.to_string(),
            endpoints: terms.scale.endpoints,
            repeatable: terms.scale.idempotent,
            finish_ms: terms.finish,
            state: state.into(),
            stage: self.stage().unwrap_or_default().into(),
            due_ms: due.unwrap_or_default(),
            fence: self.fence(),
            reason: reason.into(),
        }
    }

    /// Reads the stored form.
    ///
    /// # Errors
    /// Names the field that a newer or broken writer left unreadable.
    pub fn from_stored(stored: &VersionMove) -> Result<Self, RecordError> {
        let terms = Terms {
            id: from_hex(&stored.id).ok_or_else(|| RecordError::Id(stored.id.as_str().into()))?,
            service: stored.service.as_str().into(),
            from: stored.from.as_str().into(),
            to: stored.to.as_str().into(),
            scale: Scale {
                endpoints: stored.endpoints,
                idempotent: stored.repeatable.min(FULL_SHARE),
            },
            finish: stored.finish_ms,
        };
        let base = Move {
            terms,
            fence: stored.fence,
            state: Asked,
        };
        let due = stored.due_ms;
        let reason = CompactString::from(stored.reason.as_str());
        match stored.state() {
            State::Asked => Ok(Self::Asked(base)),
            State::Staged => {
                let stage = u8::try_from(stored.stage)
                    .ok()
                    .filter(|stage| *stage < LAST_STAGE)
                    .ok_or(RecordError::Stage(stored.stage))?;
                Ok(Self::Staged(in_state(base, Staged { stage, due })))
            }
            State::Watching => Ok(Self::Watching(in_state(base, Watching { due }))),
            State::Done => Ok(Self::Done(in_state(base, Done { at: due }))),
            State::TakenBack => Ok(Self::RolledBack(in_state(base, RolledBack { reason }))),
            State::Cancelled => Ok(Self::Cancelled(in_state(base, Cancelled { reason }))),
            State::None => Err(RecordError::State(stored.state)),
        }
    }
}

fn in_state<S>(base: Move<Asked>, state: S) -> Move<S> {
    Move {
        terms: base.terms,
        fence: base.fence,
        state,
    }
}
