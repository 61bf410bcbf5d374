//! The answer to a request, with the pieces received so far.
//!
//! All pieces are kept, so that a caller can fetch them again and an interrupted stream continues
//! after the last piece received. Only the current attempt may add pieces, each at its own offset:
//! a late, duplicate or misdirected event can neither reach another caller nor make a token appear
//! twice.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use compact_str::CompactString;
use poplarvale_lib::{AttemptId, CustomerId, Ending, RequestId};
use tokio::sync::watch;

/// Status and headers of a plain service's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers that are forwarded.
    pub headers: Vec<(CompactString, Bytes)>,
}

/// Why a piece was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PieceError {
    /// It comes from an attempt that is no longer current.
    #[error("the piece belongs to another attempt")]
    Stale,
    /// Pieces before it are missing.
    #[error("pieces before this one are missing")]
    Gap,
    /// The answer would exceed its size limit.
    #[error("the answer is larger than allowed")]
    Large,
}

/// Snapshot of an answer for a reader.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Head, if it was received.
    pub head: Option<Head>,
    /// Pieces from the requested one on.
    pub pieces: Vec<Bytes>,
    /// How the request ended, if it has.
    pub ending: Option<Ending>,
}

#[derive(Debug, Default)]
struct State {
    attempt: AttemptId,
    head: Option<Head>,
    pieces: Vec<Bytes>,
    bytes: usize,
    ending: Option<Ending>,
    readers: u32,
}

/// An answer to which pieces are added.
#[derive(Debug)]
pub struct Answer {
    /// Request it belongs to.
    pub id: RequestId,
    /// Customer it belongs to.
    pub customer: CustomerId,
    max_bytes: usize,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Answer {
    /// An empty answer of at most `max_bytes` bytes.
    pub fn new(id: RequestId, customer: CustomerId, max_bytes: usize) -> Self {
        Self {
            id,
            customer,
            max_bytes,
            state: Mutex::default(),
            changed: watch::Sender::new(()),
        }
    }

    /// Makes an attempt the current one, which alone may add pieces.
    pub fn set_attempt(&self, attempt: AttemptId) {
        self.lock().attempt = attempt;
    }

    /// Sets the head of a plain service's answer.
    ///
    /// # Errors
    /// If the attempt is no longer current.
    pub fn set_head(&self, attempt: AttemptId, head: Head) -> Result<(), PieceError> {
        let mut state = self.lock();
        if state.attempt != attempt || state.ending.is_some() {
            return Err(PieceError::Stale);
        }
        state.head = Some(head);
        Ok(())
    }

    /// Adds a piece at an offset, unless it is already present; returns the number of pieces.
    ///
    /// # Errors
    /// If the attempt is not current, earlier pieces are missing or the size limit is exceeded.
    pub fn push(&self, attempt: AttemptId, at: u32, piece: Bytes) -> Result<u32, PieceError> {
        let mut state = self.lock();
        if state.attempt != attempt || state.ending.is_some() {
            return Err(PieceError::Stale);
        }
        let count = state.pieces.len() as u32;
        if at < count {
            return Ok(count);
        }
        if at > count {
            return Err(PieceError::Gap);
        }
        if state.bytes + piece.len() > self.max_bytes {
            return Err(PieceError::Large);
        }
        state.bytes += piece.len();
        state.pieces.push(piece);
        drop(state);
        self.changed.send_replace(());
        Ok(count + 1)
    }

    /// Ends the answer. A later ending does not replace an earlier one.
    pub fn end(&self, ending: Ending) {
        self.lock().ending.get_or_insert(ending);
        self.changed.send_replace(());
    }

    /// Snapshot with the pieces from `from` on.
    pub fn view(&self, from: usize) -> View {
        let state = self.lock();
        View {
            head: state.head.clone(),
            pieces: state.pieces.get(from..).unwrap_or_default().to_vec(),
            ending: state.ending.clone(),
        }
    }

    /// Number of pieces received.
    pub fn count(&self) -> u32 {
        self.lock().pieces.len() as u32
    }

    /// Waits until piece `from` or the ending is present.
    pub async fn wait_pieces(&self, from: usize) -> View {
        let mut changes = self.changed.subscribe();
        loop {
            let view = self.view(from);
            if !view.pieces.is_empty() || view.ending.is_some() {
                return view;
            }
            // The sender lives as long as `self`, so this cannot fail.
            let _ = changes.changed().await;
        }
    }

    /// Waits until the request has ended.
    pub async fn wait_end(&self) -> View {
        let mut changes = self.changed.subscribe();
        loop {
            let view = self.view(0);
            if view.ending.is_some() {
                return view;
            }
            // As above: the sender lives as long as `self`.
            let _ = changes.changed().await;
        }
    }

    /// Whether the request has ended.
    pub fn is_ended(&self) -> bool {
        self.lock().ending.is_some()
    }

    /// Number of callers that currently read the answer.
    pub fn readers(&self) -> u32 {
        self.lock().readers
    }

    pub(crate) fn add_reader(&self) {
        self.lock().readers += 1;
    }

    pub(crate) fn remove_reader(&self) -> u32 {
        let mut state = self.lock();
        state.readers = state.readers.saturating_sub(1);
        state.readers
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
