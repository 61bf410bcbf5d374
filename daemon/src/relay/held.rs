//! Bounds the memory that requests and responses take which are not forwarded yet, and the replies of
//! the platform's services, each over all of them.
//!
//! A request's body is held until the request has ended, as it may have to be sent again. A response
//! that is not a stream is held as a whole, and of a stream the event that is not complete yet. One of
//! them may be long, but the sum of what all may have would exceed the memory of the host. As the sum
//! grows, long ones end first.

use std::cell::Cell;
use std::rc::Rc;

/// Longest response that is held. It is buffered completely, so that the request can still be retried
/// at another endpoint if the response breaks off.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Longest of the short ones; most requests and responses have less than a kilobyte.
const MAX_SHORT_BYTES: usize = 64 * 1024;
/// Most bytes of all responses. Buffers grow by doubling, so they may take twice as much.
const MAX_RESPONSES_BYTES: usize = 8 * 1024 * 1024;
/// Most bytes of all replies of the store: one that is a configuration of some ten thousand routes, in
/// base 64.
const MAX_REPLIES_BYTES: usize = 16 * 1024 * 1024;
/// Share of the memory of the host that the bodies of all requests may take.
const REQUESTS_SHARE: f64 = 0.3;
/// Shares of all bytes above which only short responses and requests may grow.
const LONG_RESPONSES_SHARE: f64 = 0.75;
const LONG_REQUESTS_SHARE: f64 = 0.9;
const LONG_REPLIES_SHARE: f64 = 0.9;

/// A request or response is longer than there is memory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no memory for as many bytes")]
pub(crate) struct TooLong;

/// Bytes that are held of all requests, or of all responses.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    sum: Cell<usize>,
    /// Most bytes of one of them.
    one: usize,
    /// Bytes of all of them above which only short ones may grow.
    long: usize,
    /// Most bytes of all of them.
    all: usize,
}

impl HeldBytes {
    /// Creates the bounds for responses.
    pub(crate) fn of_responses() -> Rc<Self> {
        Self::new(
            MAX_RESPONSE_BYTES,
            LONG_RESPONSES_SHARE,
            MAX_RESPONSES_BYTES,
        )
    }

    /// Creates the bounds for the bodies of requests, on a host with so many bytes of memory. How long one
    /// may be is a limit of the configuration.
    pub(crate) fn of_requests(memory: u64) -> Rc<Self> {
        let all = memory as f64 * REQUESTS_SHARE;
        Self::new(usize::MAX, LONG_REQUESTS_SHARE, all as usize)
    }

    /// Creates the bounds for replies of the store.
    pub(crate) fn of_replies() -> Rc<Self> {
        Self::new(usize::MAX, LONG_REPLIES_SHARE, MAX_REPLIES_BYTES)
    }

    /// Creates the bounds for replies of a service that sends short ones only.
    pub(crate) fn of_short_replies() -> Rc<Self> {
        Self::new(MAX_SHORT_BYTES, 1.0, MAX_SHORT_BYTES)
    }

    /// Creates the bound for one answer of at most so many bytes.
    pub(crate) fn of_answer(max_bytes: usize) -> Rc<Self> {
        Self::new(max_bytes, 1.0, max_bytes)
    }

    fn new(one: usize, long_share: f64, all: usize) -> Rc<Self> {
        Rc::new(Self {
            sum: Cell::new(0),
            one,
            long: (all as f64 * long_share) as usize,
            all,
        })
    }

    /// Begins a request or response of which nothing is held yet.
    pub(crate) fn begin(self: &Rc<Self>) -> Held {
        Held {
            all: Rc::clone(self),
            bytes: 0,
        }
    }
}

/// Bytes that are held of one request or response, until it is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    all: Rc<HeldBytes>,
    bytes: usize,
}

impl Held {
    /// Sets how many bytes are held.
    ///
    /// # Errors
    /// If they are more than allowed.
    pub(crate) fn set(&mut self, bytes: usize) -> Result<(), TooLong> {
        let all = &self.all;
        let sum = (all.sum.get() - self.bytes).saturating_add(bytes);
        let is_growing = bytes > self.bytes;
        let is_long = bytes > all.one || (bytes > MAX_SHORT_BYTES && sum > all.long);
        if is_growing && (is_long || sum > all.all) {
            return Err(TooLong);
        }
        all.sum.set(sum);
        self.bytes = bytes;
        Ok(())
    }

    /// Sets how many bytes are held if they are more than before.
    ///
    /// # Errors
    /// If they are more than allowed.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), TooLong> {
        if bytes > self.bytes {
            self.set(bytes)
        } else {
            Ok(())
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.sum.set(self.all.sum.get() - self.bytes);
    }
}
