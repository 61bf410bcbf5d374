//! Whole events of a stream, and their order.
//!
//! An endpoint that dies may stop in the middle of an event, and a stream may go
//! on at another endpoint. If half an event reached the caller, the next run
//! could not be joined to it; if an event were missing or came twice, the caller
//! would read a text that no engine wrote. So only whole events leave this
//! module, each with the id that follows the one before it.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes; engines send a few hundred.
const MOST_EVENT: usize = 256 * 1024;

/// Why a stream cannot be read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// An event's id does not follow the one before it.
    #[error("event {found} came after event {last}")]
    Order {
        /// Last event passed on.
        last: u64,
        /// Id that came.
        found: u64,
    },
    /// An event without an id that can be read.
    #[error("an event has no id")]
    NoId,
    /// An event is longer than allowed.
    #[error("an event is longer than allowed")]
    TooLarge,
}

/// Splits a stream into whole events.
#[derive(Clone, Debug, Default)]
pub struct Events {
    held: BytesMut,
    last: Option<u64>,
    count: u64,
}

impl Events {
    /// Begins after an event; `None` for a stream from its beginning.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            held: BytesMut::new(),
            last,
            count: 0,
        }
    }

    /// Id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// How many whole events came.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether a part of an event is held back.
    pub fn is_torn(&self) -> bool {
        !self.held.is_empty()
    }

    /// Begins another run of the same stream: half an event of the run before is
    /// dropped, as the new run sends that event whole.
    pub fn restart(&mut self) {
        self.held.clear();
    }

    /// Takes bytes in and gives the whole events that they complete.
    ///
    /// # Errors
    /// If an event is out of order; nothing of it or after it may be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, SseError> {
        self.held.extend_from_slice(bytes);
        let mut whole = 0;
        while let Some(len) = event_len(&self.held[whole..]) {
            self.check(whole, len)?;
            whole += len;
        }
        if self.held.len() - whole > MOST_EVENT {
            return Err(SseError::TooLarge);
        }
        Ok(self.held.split_to(whole).freeze())
    }

    fn check(&mut self, from: usize, len: usize) -> Result<(), SseError> {
        let found = event_id(&self.held[from..from + len]).ok_or(SseError::NoId)?;
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

/// Length of the first event, with the empty line that ends it.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(2).position(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (end, crlf) {
        (Some(end), Some(crlf)) if crlf < end => Some(crlf + 4),
        (Some(end), _) => Some(end + 2),
        (None, crlf) => crlf.map(|crlf| crlf + 4),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
