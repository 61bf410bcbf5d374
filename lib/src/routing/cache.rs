//! Which prompt blocks an endpoint has in its prefix cache.
//!
//! A block is named by a hash over itself and all blocks before it, so equal
//! names mean equal prefixes. Own sendings fill the view at once; cache events
//! correct it later. Without the view a conversation's next turn goes to an
//! endpoint that must compute the whole history again; with a view that is
//! believed too long, work queues up where nothing is cached any more.
//!
//! Events come late and with gaps. A gap means that some block may have been
//! removed unheard, so after one the endpoint's entries are doubtful: they count
//! a little less than sure ones ([`Prefix::worth`]), and of two endpoints with the
//! same prompt the sure one is taken. The events that were missing may still come;
//! each entry keeps the number of the event that spoke of it last, so an older
//! event never undoes a newer one, and once the gap is closed the entries are sure
//! again. What was added unheard shows by the blocks added after it, see
//! [`Cache::prefix`].

use std::cmp::Reverse;

use crate::ids::EndpointId;
use crate::routing::filter::Filter;

/// What a doubtful block counts for. A lost event names a few of two thousand
/// blocks, so doubt decides only between endpoints that are equal otherwise. Tokens
/// computed with one event in five lost, over those of an exact view, mean of 24
/// replayed traces: 1.26 at 0.99, 1.27 at 0.9 and 1.37 at 0.5.
const DOUBT: f64 = 0.99;
/// Tokens in a block.
pub const BLOCK: u32 = 64;
/// Most blocks kept of one endpoint: 128 Ki tokens, of which a prompt of the
/// longest kind takes an eighth. At 24 bytes each, 230 endpoints take
/// 12 MB.
pub const MOST_BLOCKS: usize = 2048;
/// Most missing events remembered; with more the gap can only grow old.
const MOST_MISSING: usize = 256;
/// Share of the entries that stays when the view is full, in eighths. Dropping
/// one at a time would search for the oldest at every sending.
const STAY: usize = 7;

/// Blocks that an endpoint took into its cache or dropped.
#[proc_macros::row]
pub struct CacheEvent {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Life of the engine process; another one begins with an empty cache.
    pub epoch: u64,
    /// Number of the event, one higher than the one before.
    pub sequence: u64,
    /// Blocks that are now cached.
    pub added: Vec<u64>,
    /// Blocks that no longer are.
    pub removed: Vec<u64>,
}

#[proc_macros::row]
#[derive(Copy)]
struct Entry {
    block: u64,
    /// Event that spoke of it last; 0 for an own sending.
    sequence: u64,
    /// Order of last use.
    used: u32,
    /// Place in the prompt of last use; earlier blocks go later.
    depth: u16,
    doubtful: bool,
}

/// How much of a prompt is cached, in blocks from its beginning.
#[proc_macros::row]
#[derive(Copy, Default)]
pub struct Prefix {
    /// Blocks that are there.
    pub sure: usize,
    /// Blocks after those that were there before events were missed.
    pub doubtful: usize,
}

impl Prefix {
    /// Blocks that it counts for.
    pub fn worth(&self) -> f64 {
        self.sure as f64 + self.doubtful as f64 * DOUBT
    }
}

/// Cached blocks of one endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cache {
    entries: Vec<Entry>,
    filter: Filter,
    epoch: Option<u64>,
    next: u64,
    missing: Vec<u64>,
    /// Blocks removed while events were missing, and by which event: a missing one
    /// that added them before must not bring them back.
    removed: Vec<(u64, u64)>,
    lost: bool,
    uses: u32,
}

impl Cache {
    /// How much of a prompt is cached.
    ///
    /// A sure block vouches for all blocks before it, whether they are in view
    /// or not: an engine can use a block only with what comes before it, and so
    /// drops the last ones of a prompt first. If a lost event had to be heard for
    /// each of them, later turns of a conversation would seem not to be cached
    /// where they were computed, and their whole history would be computed again
    /// elsewhere. Doubtful ones vouch for nothing.
    pub fn prefix(&self, blocks: &[u64]) -> Prefix {
        let last = blocks.iter().rposition(|&block| self.is_sure(block));
        let sure = last.map_or(0, |last| last + 1);
        let rest = blocks[sure..].iter();
        let doubtful = rest.take_while(|&&block| self.position(block).is_some());
        Prefix {
            sure,
            doubtful: doubtful.count(),
        }
    }

    fn is_sure(&self, block: u64) -> bool {
        let at = self.position(block);
        at.is_some_and(|at| !self.entries[at].doubtful)
    }

    /// About how much of a prompt is cached, in blocks: the deepest power of two
    /// that is there. A few searches, against one for each block.
    pub fn about(&self, blocks: &[u64]) -> usize {
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

    /// Number of blocks in view.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no block is in view.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Notes that a prompt was sent there: it will be cached.
    pub fn sent(&mut self, blocks: &[u64]) {
        // A prompt beyond the bound would push its own beginning out.
        let blocks = &blocks[..blocks.len().min(MOST_BLOCKS / 2)];
        self.put(blocks, 0, false);
        self.index();
    }

    /// Applies an event.
    pub fn apply(&mut self, event: &CacheEvent) {
        if self.epoch != Some(event.epoch) {
            self.begin(event);
        }
        let late = event.sequence < self.next;
        if late && !self.fill(event.sequence) {
            return;
        }
        if !late {
            self.skip(event.sequence);
            self.next = event.sequence + 1;
        }
        self.remove(&event.removed, event.sequence);
        // Whether a block that comes with a late event was removed since is not
        // known, unless all that was missing has come.
        let stays = |block: &&u64| !self.removed_after(**block, event.sequence);
        let added: Vec<u64> = event.added.iter().filter(stays).copied().collect();
        self.put(&added, event.sequence, late);
        self.settle();
        self.index();
    }

    /// Whether a later event than this one removed a block.
    fn removed_after(&self, block: u64, sequence: u64) -> bool {
        let after = self.removed.partition_point(|&r| r <= (block, sequence));
        self.removed.get(after).is_some_and(|r| r.0 == block)
    }

    /// A new engine process begins with an empty cache. The first one heard is
    /// the one that own sendings went to, so they stay.
    fn begin(&mut self, event: &CacheEvent) {
        if self.epoch.is_some() {
            self.entries.clear();
        }
        self.epoch = Some(event.epoch);
        self.next = event.sequence;
        self.missing.clear();
        self.removed.clear();
        self.lost = false;
    }

    /// Takes a late event off the missing ones; false for one that was applied.
    fn fill(&mut self, sequence: u64) -> bool {
        match self.missing.binary_search(&sequence) {
            Ok(at) => {
                self.missing.remove(at);
                true
            }
            Err(_) => false,
        }
    }

    /// Notes the events between the last and this one as missing.
    fn skip(&mut self, sequence: u64) {
        if sequence == self.next {
            return;
        }
        for entry in &mut self.entries {
            entry.doubtful = true;
        }
        let gap = (sequence - self.next) as usize;
        if self.missing.len() + gap > MOST_MISSING {
            self.missing.clear();
            self.removed.clear();
            self.lost = true;
        } else {
            self.missing.extend(self.next..sequence);
        }
    }

    /// Makes the entries sure again once every missing event has come.
    fn settle(&mut self) {
        if !self.missing.is_empty() {
            return;
        }
        self.removed.clear();
        if !self.lost {
            for entry in &mut self.entries {
                entry.doubtful = false;
            }
        }
    }

    fn index(&mut self) {
        self.filter
            .fill(self.entries.iter().map(|entry| entry.block));
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

    fn put(&mut self, blocks: &[u64], sequence: u64, doubtful: bool) {
        self.uses = self.uses.saturating_add(1);
        let used = self.uses;
        let old = self.entries.len();
        for (depth, &block) in blocks.iter().enumerate() {
            let depth = depth.min(usize::from(u16::MAX)) as u16;
            match self.entries[..old].binary_search_by_key(&block, |entry| entry.block) {
                Ok(at) => {
                    let entry = &mut self.entries[at];
                    (entry.used, entry.depth) = (used, depth);
                    renew(entry, sequence, doubtful);
                }
                Err(_) => self.entries.push(Entry {
                    block,
                    sequence,
                    used,
                    depth,
                    doubtful,
                }),
            }
        }
        // Two sorted runs, which the stable sort merges in one pass.
        self.entries[old..].sort_unstable_by_key(|entry| entry.block);
        self.entries.sort_by_key(|entry| entry.block);
        self.entries.dedup_by_key(|entry| entry.block);
        self.shrink();
    }

    /// Drops the entries that were not used for longest.
    fn shrink(&mut self) {
        if self.entries.len() <= MOST_BLOCKS {
            return;
        }
        let stay = MOST_BLOCKS * STAY / 8;
        let mut uses: Vec<_> = self.entries.iter().map(Entry::order).collect();
        let cut = uses.len() - stay;
        let (_, &mut least, _) = uses.select_nth_unstable(cut);
        self.entries.retain(|entry| entry.order() >= least);
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
    /// The least is dropped first.
    fn order(&self) -> (u32, Reverse<u16>) {
        (self.used, Reverse(self.depth))
    }
}

fn renew(entry: &mut Entry, sequence: u64, doubtful: bool) {
    if sequence >= entry.sequence || sequence == 0 {
        entry.sequence = entry.sequence.max(sequence);
        entry.doubtful &= doubtful;
    }
}
