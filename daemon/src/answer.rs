//! The answer to a request, as far as it has come.
//!
//! Pieces are kept from the first on, so that a caller can come back for them,
//! and so that a stream that breaks off is continued after the last piece that
//! arrived. Only the attempt that is current may add pieces, each at its own
//! offset: a late, doubled or swapped event can neither reach another caller nor
//! make a token appear twice.

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
    /// Headers that are passed on.
    pub headers: Vec<(CompactString, Bytes)>,
}

/// Why a piece was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PieceError {
    /// It comes from an attempt that is no longer current.
    #[error("the piece belongs to another attempt")]
    Stale,
    /// Pieces before it are missing.
    #[error("pieces before this one are missing")]
    Gap,
    /// The answer grew over its limit.
    #[error("the answer is larger than allowed")]
    Large,
}

/// What a reader finds.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Head, if it came.
    pub head: Option<Head>,
    /// Pieces from the asked one on.
    pub pieces: Vec<Bytes>,
    /// How the request ended, if it did.
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

/// An answer that grows.
#[derive(Debug)]
pub struct Answer {
    /// Request it belongs to.
    pub id: RequestId,
    /// Customer it belongs to.
    pub customer: CustomerId,
    most: usize,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Answer {
    /// An empty answer of at most `most` bytes.
    pub fn new(id: RequestId, customer: CustomerId, most: usize) -> Self {
        Self {
            id,
            customer,
            most,
            state: Mutex::default(),
            changed: watch::Sender::new(()),
        }
    }

    /// Makes an attempt the one that may add pieces.
    pub fn begin(&self, attempt: AttemptId) {
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

    /// Adds the piece at an offset; one that is there already is passed over.
    /// Returns the number of pieces.
    ///
    /// # Errors
    /// If the attempt is not current, pieces are missing or the answer is full.
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
        if state.bytes + piece.len() > self.most {
            return Err(PieceError::Large);
        }
        state.bytes += piece.len();
        state.pieces.push(piece);
        drop(state);
        self.changed.send_replace(());
        Ok(count + 1)
    }

    /// Ends the answer; the first ending stays.
    pub fn end(&self, ending: Ending) {
        self.lock().ending.get_or_insert(ending);
        self.changed.send_replace(());
    }

    /// What is there from piece `from` on.
    pub fn view(&self, from: usize) -> View {
        let state = self.lock();
        View {
            head: state.head.clone(),
            pieces: state.pieces.get(from..).unwrap_or_default().to_vec(),
            ending: state.ending.clone(),
        }
    }

    /// Number of pieces that are there.
    pub fn count(&self) -> u32 {
        self.lock().pieces.len() as u32
    }

    /// Waits until there is a piece after `from` or the ending.
    pub async fn grown(&self, from: usize) -> View {
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
    pub async fn ended(&self) -> View {
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

    /// Callers that read at this moment.
    pub fn readers(&self) -> u32 {
        self.lock().readers
    }

    pub(crate) fn add_reader(&self) {
        self.lock().readers += 1;
    }

    pub(crate) fn drop_reader(&self) -> u32 {
        let mut state = self.lock();
        state.readers = state.readers.saturating_sub(1);
        state.readers
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
