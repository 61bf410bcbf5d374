//! Which claims share the next write, and when it goes out.
//!
//! It answers many bookings at once: one write for each would take the whole
//! rate of the key-value service, and claims would fail for all. One write is
//! under way at a time, and what comes meanwhile shares the next. Ends have time,
//! as nobody waits for them, and mostly ride along with a claim. Each daemon
//! keeps to its part of [`WRITE_RATE`], with a few to spare for a moment in which
//! it has more than its part; one claim alone is written at once.

use std::time::{Duration, Instant};

use super::{ClaimId, Sequence};
use crate::store::MAX_PUTS;

/// Writes a second of all daemons together; the service handles several hundred
/// and also takes edits, moves and leases.
pub const WRITE_RATE: f64 = 300.0;
/// Writes that a daemon has to spare at most.
const MAX_BURST: f64 = 8.0;
/// Time that an end waits for a claim to ride along with. Should the holder
/// crash in it, repeats of the key are told "unknown" in place of the answer.
const RESULT_DELAY: Duration = Duration::from_millis(500);
/// Pause after a write that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which an answer is no longer waited for; the client of the service
/// gives up earlier.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// A claim that a write was made for.
#[proc_macros::row]
#[derive(Eq)]
pub(crate) struct Item {
    pub id: ClaimId,
    /// Tells an answer for this claim from one for a later claim of the same key.
    pub sequence: Sequence,
}

/// Claims that wait for a write, and the write under way.
#[derive(Debug)]
pub(crate) struct Batch {
    queue: Vec<(ClaimId, Instant)>,
    in_flight: Vec<Item>,
    /// Number of the latest write.
    number: u64,
    deadline: Option<Instant>,
    paused_until: Option<Instant>,
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

    /// Queues a claim, which a caller waits for.
    pub fn push(&mut self, now: Instant, id: ClaimId) {
        self.queue.push((id, now));
    }

    /// Queues an end.
    pub fn push_result(&mut self, now: Instant, id: ClaimId) {
        self.queue.push((id, now + RESULT_DELAY));
    }

    /// Whether anything waits that is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.queue.iter().any(|(_, due)| *due <= now)
    }

    /// The claims for a write that may go out now.
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

    /// Notes that a write goes out, and numbers it.
    pub fn record_sent(&mut self, now: Instant, items: Vec<Item>) -> u64 {
        self.tokens -= 1.0;
        self.in_flight = items;
        self.deadline = Some(now + WRITE_TIMEOUT);
        self.number += 1;
        self.number
    }

    /// Ends the write under way; empty if the number is of an earlier one, whose
    /// late end would make claims look written that are not.
    pub fn complete(&mut self, number: u64) -> Vec<Item> {
        if number != self.number {
            return Vec::new();
        }
        self.deadline = None;
        std::mem::take(&mut self.in_flight)
    }

    /// Number of the write under way, if it was not answered in time.
    pub fn timed_out(&self, now: Instant) -> Option<u64> {
        self.deadline.filter(|until| *until <= now)?;
        Some(self.number)
    }

    /// Waits before the next write, as one failed.
    pub fn back_off(&mut self, now: Instant) {
        self.paused_until = Some(now + RETRY_DELAY);
    }

    fn refill(&mut self, now: Instant, daemons: usize) {
        let since = self.refilled_at.replace(now).unwrap_or(now);
        let rate = WRITE_RATE / daemons.max(1) as f64;
        let refill = now.duration_since(since).as_secs_f64() * rate;
        self.tokens = (self.tokens + refill).min(MAX_BURST);
    }
}
