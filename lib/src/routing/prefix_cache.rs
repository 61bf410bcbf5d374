//! Model of which prompt blocks an endpoint holds in its prefix cache.
//!
//! A block is identified by a hash over itself and all blocks before it, so equal
//! ids mean equal prefixes. Prompts that this daemon sends are added to the model
//! at once; cache events from the engine correct it later. Without the model, the
//! next turn of a conversation goes to an endpoint that must prefill the whole
//! history again. With a model that is trusted for too long, requests queue at
//! endpoints that no longer have their prefix cached.
//!
//! Events arrive late and with gaps. A missing event may have removed any block,
//! so a gap marks all entries of the endpoint as unconfirmed. Unconfirmed blocks
//! weigh slightly less than confirmed ones ([`CachedPrefix::weighted_blocks`]),
//! so that of two endpoints with the same prompt the confirmed one is chosen.
//! Missing events may still arrive: each entry keeps the sequence number of the
//! last event that named it, so an older event never undoes a newer one, and once
//! the gap is closed the entries are confirmed again. Blocks whose `added` event
//! was lost are inferred from the blocks added after them, see
//! [`PrefixCache::prefix`].

use std::cmp::Reverse;

use crate::ids::EndpointId;
use crate::routing::block_filter::BlockFilter;

/// Weight of an unconfirmed block. A lost event names only a few of two thousand
/// blocks, so being unconfirmed should only decide between otherwise equal
/// endpoints. Tokens computed with one event in five lost, relative to an exact
/// model, mean over 24 replayed traces: 1.26 at 0.99, 1.27 at 0.9 and 1.37 at
/// 0.5.
const UNCONFIRMED_WEIGHT: f64 = 0.99;
/// Tokens per block.
pub const BLOCK_TOKENS: u32 = 64;
/// Maximum number of blocks modelled per endpoint: 128 Ki tokens, of which a
/// prompt of maximum length takes an eighth. At 24 bytes per block, 230 endpoints
/// take 12 MB.
pub const MAX_BLOCKS: usize = 2048;
/// Maximum number of missing events tracked. With more, the gap can no longer be
/// closed, and an entry from before it is confirmed only by a later prompt or event
/// that names its block.
const MAX_MISSING: usize = 256;
/// Share of the entries kept when the model is full, in eighths. Evicting one
/// entry at a time would search for the oldest with every prompt sent.
const KEPT_EIGHTHS: usize = 7;

/// Blocks that an endpoint added to its prefix cache or removed from it.
#[proc_macros::row]
pub struct CacheEvent {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of the engine process; a new one starts with an empty cache.
    pub epoch: u64,
    /// Sequence number, one higher than that of the previous event.
    pub sequence: u64,
    /// Blocks that are now cached.
    pub added: Vec<u64>,
    /// Blocks that are no longer cached.
    pub removed: Vec<u64>,
}

#[proc_macros::row]
#[derive(Copy)]
struct Entry {
    block: u64,
    /// Sequence number of the last event that named the block; 0 for a prompt
    /// sent by this daemon.
    sequence: u64,
    /// Value of `uses` when it was last used.
    used: u32,
    /// Index in the prompt of the last use; of one prompt, later blocks are
    /// evicted first.
    depth: u16,
    unconfirmed: bool,
}

/// Length of the cached prefix of a prompt, in blocks.
#[proc_macros::row]
#[derive(Copy, Default)]
pub struct CachedPrefix {
    /// Blocks that are cached.
    pub confirmed: usize,
    /// Blocks after those that were cached before events were missed.
    pub unconfirmed: usize,
}

impl CachedPrefix {
    /// Blocks of the prefix, with the unconfirmed ones weighted down.
    pub fn weighted_blocks(&self) -> f64 {
        self.confirmed as f64 + self.unconfirmed as f64 * UNCONFIRMED_WEIGHT
    }
}

/// Modelled prefix cache of one endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrefixCache {
    entries: Vec<Entry>,
    filter: BlockFilter,
    epoch: Option<u64>,
    next_sequence: u64,
    /// Sequence numbers of the missing events, in ascending order.
    missing: Vec<u64>,
    /// Blocks removed while events were missing, each with the sequence number of
    /// the removing event: a missing event that added the block earlier must not
    /// restore it.
    removed: Vec<(u64, u64)>,
    /// Whether more than [`MAX_MISSING`] events were missing at once in this epoch.
    gap_forgotten: bool,
    /// Number of insertions so far, as the time of last use of the entries.
    uses: u32,
}

impl PrefixCache {
    /// Length of the cached prefix of a prompt.
    ///
    /// A confirmed block implies that all blocks before it are cached, whether
    /// the model has them or not: an engine can use a block only together with
    /// those before it, and therefore evicts the last blocks of a prompt first.
    /// If a lost event had to be received for each of them, later turns of a
    /// conversation would seem not to be cached at the endpoint that computed
    /// them, and another endpoint would prefill their whole history again.
    /// Unconfirmed blocks imply nothing.
    pub fn prefix(&self, blocks: &[u64]) -> CachedPrefix {
        let last = blocks.iter().rposition(|&block| self.is_confirmed(block));
        let confirmed = last.map_or(0, |last| last + 1);
        let rest = blocks[confirmed..].iter();
        let unconfirmed = rest.take_while(|&&block| self.position(block).is_some());
        CachedPrefix {
            confirmed,
            unconfirmed: unconfirmed.count(),
        }
    }

    fn is_confirmed(&self, block: u64) -> bool {
        let at = self.position(block);
        at.is_some_and(|at| !self.entries[at].unconfirmed)
    }

    /// Estimate of the cached prefix of a prompt, in blocks: the largest power of
    /// two at which the model has the block. Takes a few lookups instead of one
    /// per block.
    pub fn estimate(&self, blocks: &[u64]) -> usize {
        let (mut have, mut lack) = (0, blocks.len().checked_ilog2().map_or(0, |log| log + 1));
        while have < lack {
            let middle = u32::midpoint(have, lack);
            if self.position(blocks[(1 << middle) - 1]).is_some() {
                have = middle + 1;
            } else {
                lack = middle;
            }
        }
        if have == 0 { 0 } else { 1 << (have - 1) }
    }

    /// Number of blocks in the model.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the model has no blocks.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a prompt was sent to the endpoint, which will cache it.
    pub fn record_prompt(&mut self, blocks: &[u64]) {
        // A prompt beyond the limit would evict its own prefix.
        let blocks = &blocks[..blocks.len().min(MAX_BLOCKS / 2)];
        self.insert(blocks, 0, false);
        self.rebuild_filter();
    }

    /// Applies a cache event.
    pub fn apply(&mut self, event: &CacheEvent) {
        if self.epoch != Some(event.epoch) {
            self.reset(event);
        }
        let late = event.sequence < self.next_sequence;
        if late && !self.close_gap(event.sequence) {
            return;
        }
        if !late {
            self.record_gap(event.sequence);
            self.next_sequence = event.sequence + 1;
        }
        self.remove(&event.removed, event.sequence);
        // A block added by a late event may have been removed by an event that is
        // still missing, so it is confirmed only after all have arrived.
        let stays = |block: &&u64| !self.removed_after(**block, event.sequence);
        let added: Vec<u64> = event.added.iter().filter(stays).copied().collect();
        self.insert(&added, event.sequence, late);
        self.confirm_entries();
        self.rebuild_filter();
    }

    /// Whether an event later than `sequence` removed the block.
    fn removed_after(&self, block: u64, sequence: u64) -> bool {
        let after = self.removed.partition_point(|&r| r <= (block, sequence));
        self.removed.get(after).is_some_and(|r| r.0 == block)
    }

    /// Starts over for a new engine process, whose cache is empty. The first
    /// process that an event names is the one that received the prompts sent so
    /// far, so their blocks are kept.
    fn reset(&mut self, event: &CacheEvent) {
        if self.epoch.is_some() {
            self.entries.clear();
        }
        self.epoch = Some(event.epoch);
        self.next_sequence = event.sequence;
        self.missing.clear();
        self.removed.clear();
        self.gap_forgotten = false;
    }

    /// Removes a late event from the missing ones; false if it was applied
    /// before.
    fn close_gap(&mut self, sequence: u64) -> bool {
        match self.missing.binary_search(&sequence) {
            Ok(at) => {
                self.missing.remove(at);
                true
            }
            Err(_) => false,
        }
    }

    /// Records the events between the last one and this one as missing.
    fn record_gap(&mut self, sequence: u64) {
        if sequence == self.next_sequence {
            return;
        }
        for entry in &mut self.entries {
            entry.unconfirmed = true;
        }
        let gap = (sequence - self.next_sequence) as usize;
        if self.missing.len() + gap > MAX_MISSING {
            self.missing.clear();
            self.removed.clear();
            self.gap_forgotten = true;
        } else {
            self.missing.extend(self.next_sequence..sequence);
        }
    }

    /// Marks all entries as confirmed once every missing event has arrived.
    fn confirm_entries(&mut self) {
        if !self.missing.is_empty() {
            return;
        }
        self.removed.clear();
        if !self.gap_forgotten {
            for entry in &mut self.entries {
                entry.unconfirmed = false;
            }
        }
    }

    fn rebuild_filter(&mut self) {
        self.filter
            .rebuild(self.entries.iter().map(|entry| entry.block));
    }

    fn remove(&mut self, blocks: &[u64], sequence: u64) {
        if !self.missing.is_empty() {
            let removed = blocks.iter().map(|&block| (block, sequence));
            self.removed.extend(removed);
            self.removed.sort_unstable();
        }
        let mut gone: Vec<u64> = blocks.to_vec();
        gone.sort_unstable();
        self.entries
            .retain(|entry| entry.sequence > sequence || gone.binary_search(&entry.block).is_err());
    }

    fn insert(&mut self, blocks: &[u64], sequence: u64, unconfirmed: bool) {
        self.uses = self.uses.saturating_add(1);
        let used = self.uses;
        let old = self.entries.len();
        for (depth, &block) in blocks.iter().enumerate() {
            let depth = depth.min(usize::from(u16::MAX)) as u16;
            match self.entries[..old].binary_search_by_key(&block, |entry| entry.block) {
                Ok(at) => {
                    let entry = &mut self.entries[at];
                    (entry.used, entry.depth) = (used, depth);
                    refresh(entry, sequence, unconfirmed);
                }
                Err(_) => self.entries.push(Entry {
                    block,
                    sequence,
                    used,
                    depth,
                    unconfirmed,
                }),
            }
        }
        // Two sorted runs, which the stable sort merges in one pass.
        self.entries[old..].sort_unstable_by_key(|entry| entry.block);
        self.entries.sort_by_key(|entry| entry.block);
        self.entries.dedup_by_key(|entry| entry.block);
        self.evict();
    }

    /// Evicts the least recently used entries when the model is full.
    fn evict(&mut self) {
        if self.entries.len() <= MAX_BLOCKS {
            return;
        }
        let stay = MAX_BLOCKS * KEPT_EIGHTHS / 8;
        let mut uses: Vec<_> = self.entries.iter().map(Entry::eviction_key).collect();
        let cut = uses.len() - stay;
        let (_, &mut least, _) = uses.select_nth_unstable(cut);
        self.entries.retain(|entry| entry.eviction_key() >= least);
    }

    fn position(&self, block: u64) -> Option<usize> {
        let range = self.filter.range(block)?;
        let from = range.start;
        let near = &self.entries[range];
        Some(
            from + near
                .binary_search_by_key(&block, |entry| entry.block)
                .ok()?,
        )
    }
}

impl Entry {
    /// The entry with the lowest key is evicted first.
    fn eviction_key(&self) -> (u32, Reverse<u16>) {
        (self.used, Reverse(self.depth))
    }
}

fn refresh(entry: &mut Entry, sequence: u64, unconfirmed: bool) {
    if sequence >= entry.sequence || sequence == 0 {
        entry.sequence = entry.sequence.max(sequence);
        entry.unconfirmed &= unconfirmed;
    }
}
