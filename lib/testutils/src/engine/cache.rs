//! Prefix cache of limited size with least-recently-used eviction, and its change events.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Most recent events kept for readers that fall behind.
const MAX_EVENTS: usize = 1024;

/// A change of the cache.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Event {
    /// Sequence number of the event; a gap means that events were lost.
    pub seq: u64,
    /// Whether the block was added; otherwise it was evicted.
    pub added: bool,
    /// Hash of the block and all blocks before it.
    pub block: u64,
}

/// Cached blocks, the least recently used first.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    blocks: VecDeque<u64>,
    events: VecDeque<Event>,
    seq: u64,
    size: usize,
}

impl Cache {
    pub(crate) fn new(size: usize) -> Self {
        Self {
            size,
            ..Self::default()
        }
    }

    /// Number of leading blocks of a prompt that are cached.
    pub(crate) fn hit(&self, prefix_hashes: &[u64]) -> usize {
        prefix_hashes
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count()
    }

    /// Adds the blocks of a prompt and evicts what no longer fits. `missing` is the number of
    /// events still to be lost by the fault order.
    pub(crate) fn insert(&mut self, prefix_hashes: &[u64], missing: &mut u32) {
        for block in prefix_hashes {
            if let Some(at) = self.blocks.iter().position(|b| b == block) {
                self.blocks.remove(at);
            } else {
                self.publish(true, *block, missing);
            }
            self.blocks.push_back(*block);
        }
        while self.blocks.len() > self.size {
            if let Some(dropped) = self.blocks.pop_front() {
                self.publish(false, dropped, missing);
            }
        }
    }

    pub(crate) fn events(&self, after: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|event| event.seq > after)
            .cloned()
            .collect()
    }

    fn publish(&mut self, added: bool, block: u64, missing: &mut u32) {
        self.seq += 1;
        if *missing > 0 {
            *missing -= 1;
            return;
        }
        self.events.push_back(Event {
            seq: self.seq,
            added,
            block,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
