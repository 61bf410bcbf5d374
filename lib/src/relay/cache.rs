//! What parts of prompts an engine probably holds in its KV cache.
//!
//! Requests of one session share the beginning of their prompts. An engine that
//! read it before reads only the rest, so half of a long prompt's time is saved
//! by sending it there. The view is filled by what was sent there; the least
//! recently used parts are forgotten as the engine forgets them.

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::request::Prompt;

/// Hash of a prompt's beginning: all parts up to one.
pub type Chain = u64;

/// Share of an engine's memory that is taken to hold parts nobody works on; the
/// rest holds running requests.
const KEPT: f64 = 0.7;

/// One beginning of prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    chain: Chain,
    tokens: u32,
    used: Instant,
}

/// Beginnings of prompts that one engine holds, sorted by hash.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cache {
    entries: Vec<Entry>,
    tokens: u64,
}

/// Hashes of the beginnings that a prompt shares, with each part's tokens. The
/// last part is the request's own and never shared.
pub fn chains(prompt: &Prompt) -> Vec<(Chain, u32)> {
    let shared = prompt.parts.len().saturating_sub(1);
    let mut chain = 0;
    let mut link = |(id, tokens): &(u64, u32)| {
        chain = xxh3_64_with_seed(&id.to_le_bytes(), chain);
        (chain, *tokens)
    };
    prompt.parts[..shared].iter().map(&mut link).collect()
}

impl Cache {
    /// Tokens of a prompt's beginning that need not be read again.
    pub fn held(&self, chains: &[(Chain, u32)]) -> u32 {
        chains
            .iter()
            .take_while(|(chain, _)| self.find(*chain).is_ok())
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Notes that an engine reads these beginnings now.
    pub fn note(&mut self, chains: &[(Chain, u32)], capacity: u64, now: Instant) {
        for (chain, tokens) in chains {
            match self.find(*chain) {
                Ok(at) => self.entries[at].used = now,
                Err(at) => {
                    let entry = Entry {
                        chain: *chain,
                        tokens: *tokens,
                        used: now,
                    };
                    self.entries.insert(at, entry);
                    self.tokens += u64::from(*tokens);
                }
            }
        }
        let most = (capacity as f64 * KEPT) as u64;
        while self.tokens > most && self.drop_oldest() {}
    }

    fn find(&self, chain: Chain) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&chain, |entry| entry.chain)
    }

    fn drop_oldest(&mut self) -> bool {
        let oldest = (0..self.entries.len()).min_by_key(|at| self.entries[*at].used);
        let Some(at) = oldest else {
            return false;
        };
        let entry = self.entries.remove(at);
        self.tokens -= u64::from(entry.tokens);
        true
    }
}
