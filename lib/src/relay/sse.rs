//! Splits a stream of server-sent events into complete events and checks their order.
//!
//! An endpoint that crashes may stop in the middle of an event, and the stream may be resumed
//! at another endpoint. If a partial event reached the caller, the resumed stream could not be
//! joined to it; if an event were missing or duplicated, the caller would read a text that no
//! engine wrote. So this module passes on only complete events, each with the id that follows
//! that of the event before it.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes; events of engines have a few hundred.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Length of the longest end of an event.
const MAX_END: usize = 4;

/// Why a stream cannot be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// The id of an event does not follow that of the event before it.
    #[error("event {found} came after event {last}")]
    Order {
        /// Last event passed on.
        last: u64,
        /// Id of the event that was received.
        found: u64,
    },
    /// An event has no id, or one that is not a number.
    #[error("an event has no id")]
    NoId,
    /// An event is longer than allowed.
    #[error("an event is longer than allowed")]
    TooLarge,
}

/// Splits a stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Bytes of an event that is not complete yet.
    partial: BytesMut,
    /// Number of these that were searched for the end of the event.
    searched: usize,
    last: Option<u64>,
    count: u64,
}

impl Events {
    /// Starts after the event with id `last`, also for the rest of a stream that another endpoint
    /// began; `None` for a stream from its beginning.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            searched: 0,
            last,
            count: 0,
        }
    }

    /// Id of the last complete event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of complete events received.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Bytes that were received of an event that is not complete.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Whether part of an event was received that is not complete.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Adds received bytes and returns the events that they complete.
    ///
    /// # Errors
    /// If an event is out of order, has no id or is too long; neither it nor anything after it
    /// may be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, SseError> {
        self.partial.extend_from_slice(bytes);
        let mut complete = 0;
        // Bytes that were searched before may be the begin of the end of the event.
        let mut from = self.searched.saturating_sub(MAX_END - 1);
        while let Some(len) = event_len(&self.partial[from..]) {
            let end = from + len;
            self.check(complete, end - complete)?;
            complete = end;
            from = end;
        }
        self.searched = self.partial.len() - complete;
        if self.searched > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        Ok(self.partial.split_to(complete).freeze())
    }

    /// Checks that the event at `from` has the id that follows the last one.
    fn check(&mut self, from: usize, len: usize) -> Result<(), SseError> {
        let found = event_id(&self.partial[from..from + len]).ok_or(SseError::NoId)?;
        if let Some(last) = self.last
            && found != last + 1
        {
            return Err(SseError::Order { last, found });
        }
        self.last = Some(found);
        self.count += 1;
        Ok(())
    }
}

/// Length in bytes up to the end of the first event, including the empty line that ends it.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some(crlf + 4),
        (Some(lf), _) => Some(lf + 2),
        (None, crlf) => crlf.map(|crlf| crlf + 4),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
