//! Bounds the memory that responses take which are not forwarded yet, over all attempts.
//!
//! A response that is not a stream is held as a whole, and of a stream the event that is not complete
//! yet. One response may be long, but if many endpoints sent without end, the sum of what each may
//! send would exceed the memory of the host. As the sum grows, long responses end first.

use std::cell::Cell;
use std::rc::Rc;

/// Longest response that is held. It is buffered completely, so that the request can still be retried
/// at another endpoint if the response breaks off.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of all responses above which only short ones may grow.
const LONG_BYTES: usize = 6 * 1024 * 1024;
/// Longest of the short ones; most responses have less than a kilobyte.
const MAX_SHORT_BYTES: usize = 64 * 1024;
/// Most bytes of all responses. Buffers grow by doubling, so they may take twice as much.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// A response is longer than there is memory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response is longer than allowed")]
pub(crate) struct TooLong;

/// Bytes that are held of all responses.
#[derive(Debug, Default)]
pub(crate) struct HeldBytes(Cell<usize>);

impl HeldBytes {
    /// Begins a response of which nothing is held yet.
    pub(crate) fn begin(self: &Rc<Self>) -> Held {
        Held {
            all: Rc::clone(self),
            bytes: 0,
        }
    }
}

/// Bytes that are held of one response, until it is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    all: Rc<HeldBytes>,
    bytes: usize,
}

impl Held {
    /// Sets how many bytes of the response are held.
    ///
    /// # Errors
    /// If they are more than allowed.
    pub(crate) fn set(&mut self, bytes: usize) -> Result<(), TooLong> {
        let all = self.all.0.get() - self.bytes + bytes;
        let is_growing = bytes > self.bytes;
        let is_long = bytes > MAX_RESPONSE_BYTES || (bytes > MAX_SHORT_BYTES && all > LONG_BYTES);
        if is_growing && (is_long || all > MAX_BYTES) {
            return Err(TooLong);
        }
        self.all.0.set(all);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.0.set(self.all.0.get() - self.bytes);
    }
}
