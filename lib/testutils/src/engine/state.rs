//! State of an engine: speed, current order, counts and the queue of waiting streams.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use super::cache::Cache;
use super::faults::Faults;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Time to prefill a prompt block that is not cached, in microseconds.
    pub block_us: u64,
    /// Time per token of an answer, in microseconds.
    pub token_us: u64,
    /// Concurrent streams at most; others wait, ordered by priority.
    pub slots: usize,
    /// Capacity of the prefix cache in blocks.
    pub cache: usize,
    /// KV cache tokens exported per second.
    pub export: u32,
    /// Whether it accepts KV cache imports.
    pub import: bool,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            block_us: 2_000,
            token_us: 2_000,
            slots: 16,
            cache: 4_096,
            export: 0,
            import: true,
        }
    }
}

/// An order to load a version or to change role.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(default)]
pub struct Order {
    /// Fencing token; engines that check it reject orders with a smaller one.
    pub fence: u64,
    /// Version to load.
    pub version: String,
    /// Role to take.
    pub role: String,
}

/// Counters of an engine since its start, and its current load.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Counts {
    /// Attempts started.
    pub attempts: u64,
    /// Attempts that ended early: cancelled, broken off by a fault or left by the caller.
    pub cancelled: u64,
    /// Prompt blocks prefilled.
    pub computed: u64,
    /// Prompt blocks found in the cache.
    pub cached: u64,
    /// Tokens sent.
    pub tokens: u64,
    /// Running streams.
    pub running: usize,
    /// Waiting streams.
    pub waiting: usize,
    /// Prompt tokens still to be prefilled.
    pub pending: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) cache: Cache,
    pub(crate) faults: Faults,
    pub(crate) counts: Counts,
    pub(crate) order: Order,
    /// Waiting streams, sorted by priority, then by order of arrival.
    pub(crate) queue: Vec<(std::cmp::Reverse<u8>, u64)>,
    pub(crate) cancelled: Vec<String>,
    /// Counts in the current load report.
    pub(crate) reported: Counts,
    /// When the next load report is taken.
    pub(crate) report_due: std::time::Instant,
    /// When the reported counts were taken.
    pub(crate) measured: std::time::Instant,
    /// Random number chosen at the start, by which a caller detects a restart.
    pub(crate) epoch: u64,
    arrivals: u64,
}

/// A model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub(crate) speed: EngineSpeed,
    pub(crate) checks_fence: bool,
    pub(crate) state: Arc<Mutex<State>>,
}

impl Engine {
    /// Creates an idle engine; `checks_fence` says whether it checks fencing tokens.
    pub fn new(speed: EngineSpeed, version: &str, checks_fence: bool) -> Self {
        let order = Order {
            version: version.to_owned(),
            ..Order::default()
        };
        let state = State {
            cache: Cache::new(speed.cache),
            faults: Faults::default(),
            counts: Counts::default(),
            order,
            queue: Vec::new(),
            cancelled: Vec::new(),
            reported: Counts::default(),
            report_due: std::time::Instant::now(),
            measured: std::time::Instant::now(),
            epoch: fastrand::u64(1..),
            arrivals: 0,
        };
        Self {
            speed,
            checks_fence,
            state: Arc::new(Mutex::new(state)),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a stream with this many prompt tokens; returns its ticket: priority and number of
    /// arrival.
    pub(crate) fn enqueue(&self, priority: u8, tokens: u64) -> (std::cmp::Reverse<u8>, u64) {
        let mut state = self.lock();
        state.arrivals += 1;
        let ticket = (std::cmp::Reverse(priority), state.arrivals);
        let at = state.queue.partition_point(|other| *other < ticket);
        state.queue.insert(at, ticket);
        state.counts.waiting += 1;
        state.counts.pending += tokens;
        ticket
    }

    /// Takes a slot if one is free and this ticket is the first in the queue.
    pub(crate) fn try_start(&self, ticket: (std::cmp::Reverse<u8>, u64)) -> bool {
        let mut state = self.lock();
        let free = state.counts.running < self.speed.slots;
        if !free || state.queue.first() != Some(&ticket) {
            return false;
        }
        state.queue.remove(0);
        state.counts.waiting -= 1;
        state.counts.running += 1;
        true
    }

    /// Removes a stream that has not started from the queue.
    pub(crate) fn dequeue(&self, ticket: (std::cmp::Reverse<u8>, u64)) {
        let mut state = self.lock();
        if let Ok(at) = state.queue.binary_search(&ticket) {
            state.queue.remove(at);
            state.counts.waiting -= 1;
        }
    }
}
