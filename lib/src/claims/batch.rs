//! Batches claims into writes and limits the rate of writes.
//!
//! Answers many simultaneous bookings: one write for each would use up the whole
//! rate of the key-value service, and claims would fail for all. One write is in
//! flight at a time, and claims that arrive meanwhile share the next one. Results
//! can wait, as no caller waits for them, and mostly share a write with a claim.
//! Each daemon stays within its share of [`WRITE_RATE`] by a token bucket, whose
//! few spare tokens cover a moment in which it needs more than its share; a single
//! claim is written at once.

use std::time::{Duration, Instant};

use super::{ClaimId, Sequence};
use crate::store::MAX_PUTS;

/// Writes per second of all daemons together; the service handles several hundred
/// and also serves edits, version moves and leases.
pub const WRITE_RATE: f64 = 300.0;
/// Maximum number of unused writes that a daemon can accumulate.
const MAX_BURST: f64 = 8.0;
/// Time for which a result waits for a claim to share a write with. If the holder
/// crashes meanwhile, retries of the key get "unknown" instead of the answer.
const RESULT_DELAY: Duration = Duration::from_millis(500);
/// Delay before the next write after one failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a write in flight counts as failed; the timeout of the client of
/// the service is shorter.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// A claim that is part of a write.
#[proc_macros::row]
#[derive(Eq)]
pub(crate) struct Item {
    pub id: ClaimId,
    /// Distinguishes a result for this claim from one for a later claim of the same key.
    pub sequence: Sequence,
}

/// Claims that wait for a write, and the write in flight.
#[derive(Debug)]
pub(crate) struct Batch {
    /// Claims with the time from which each is due.
    queue: Vec<(ClaimId, Instant)>,
    in_flight: Vec<Item>,
    /// Number of the latest write.
    number: u64,
    /// When the write in flight times out; none if there is no such write.
    deadline: Option<Instant>,
    paused_until: Option<Instant>,
    /// Writes that may be sent now.
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl Batch {
    pub fn new() -> Self {
        Self {
            queue: Vec::new(),
            in_flight: Vec::new(),
            number: 0,
            deadline: None,
            paused_until: None,
            tokens: MAX_BURST,
            refilled_at: None,
        }
    }

    /// Queues a claim; it is due at once, as a caller waits for it.
    pub fn push(&mut self, now: Instant, id: ClaimId) {
        self.queue.push((id, now));
    }

    /// Queues the result of a claim; it is due after [`RESULT_DELAY`].
    pub fn push_result(&mut self, now: Instant, id: ClaimId) {
        self.queue.push((id, now + RESULT_DELAY));
    }

    /// Whether any queued claim is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.queue.iter().any(|(_, due)| *due <= now)
    }

    /// Dequeues the claims of the next write; empty if none may be sent now.
    pub fn take(&mut self, now: Instant, daemons: usize) -> Vec<ClaimId> {
        self.refill(now, daemons);
        let paused = self.paused_until.is_some_and(|until| now < until);
        if self.deadline.is_some() || paused || self.tokens < 1.0 || !self.is_due(now) {
            return Vec::new();
        }
        let count = self.queue.len().min(MAX_PUTS);
        let mut ids: Vec<_> = self.queue.drain(..count).map(|(id, _)| id).collect();
        ids.sort();
        ids.dedup();
        ids
    }

    /// Records that a write is sent and returns its number.
    pub fn record_sent(&mut self, now: Instant, items: Vec<Item>) -> u64 {
        self.tokens -= 1.0;
        self.in_flight = items;
        self.deadline = Some(now + WRITE_TIMEOUT);
        self.number += 1;
        self.number
    }

    /// Completes the write in flight and returns its claims; empty if the number is
    /// that of an earlier write, whose late result would make unwritten claims look
    /// written.
    pub fn complete(&mut self, number: u64) -> Vec<Item> {
        if number != self.number {
            return Vec::new();
        }
        self.deadline = None;
        std::mem::take(&mut self.in_flight)
    }

    /// Number of the write in flight, if it has timed out.
    pub fn timed_out(&self, now: Instant) -> Option<u64> {
        self.deadline.filter(|until| *until <= now)?;
        Some(self.number)
    }

    /// Delays the next write after a failure.
    pub fn back_off(&mut self, now: Instant) {
        self.paused_until = Some(now + RETRY_DELAY);
    }

    fn refill(&mut self, now: Instant, daemons: usize) {
        let since = self.refilled_at.replace(now).unwrap_or(now);
        let rate = WRITE_RATE / daemons.max(1) as f64;
        let added = now.duration_since(since).as_secs_f64() * rate;
        self.tokens = (self.tokens + added).min(MAX_BURST);
    }
}
