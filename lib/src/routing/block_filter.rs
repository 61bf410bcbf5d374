//! Index over a sorted list of blocks that rules out most absent blocks and
//! narrows the search for the others.
//!
//! A decision looks up blocks at every endpoint that few of them have. The
//! entries of one endpoint take 48 KB, so searching all endpoints would read
//! megabytes; the filters take a twentieth of that and fit into the processor's
//! cache. Block ids are hashes, so their upper bits are evenly distributed.

use std::ops::Range;

/// Size in bits: eight per block of a full model, so that one absent block in
/// nine is searched for in vain.
const FILTER_BITS: usize = 16 * 1024;
/// Bits per word.
const WORD_BITS: usize = 64;

/// One bit for each value of a block's upper bits.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct BlockFilter {
    words: Vec<u64>,
    /// For each word, the number of blocks that belong to earlier words.
    starts: Vec<u16>,
}

impl BlockFilter {
    /// Range of the sorted list in which to search for a block; none if it is
    /// absent.
    pub(crate) fn range(&self, block: u64) -> Option<Range<usize>> {
        let (word, bit) = bit_position(block);
        if self.words.get(word)? & bit == 0 {
            return None;
        }
        Some(usize::from(self.starts[word])..usize::from(self.starts[word + 1]))
    }

    /// Replaces the contents by these blocks, which must be sorted.
    pub(crate) fn rebuild(&mut self, blocks: impl Iterator<Item = u64>) {
        self.words.clear();
        self.words.resize(FILTER_BITS / WORD_BITS, 0);
        self.starts.clear();
        self.starts.resize(FILTER_BITS / WORD_BITS + 1, 0);
        for block in blocks {
            let (word, bit) = bit_position(block);
            self.words[word] |= bit;
            self.starts[word + 1] += 1;
        }
        for at in 1..self.starts.len() {
            self.starts[at] += self.starts[at - 1];
        }
    }
}

fn bit_position(block: u64) -> (usize, u64) {
    let at = (block >> (u64::BITS - FILTER_BITS.ilog2())) as usize;
    (at / WORD_BITS, 1 << (at % WORD_BITS))
}
