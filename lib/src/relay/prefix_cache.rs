//! Estimate of which prompt prefixes an engine holds in its KV cache.
//!
//! Requests of one session share a prefix of their prompts. An engine that has prefilled it
//! before prefills only the rest, so sending the request there saves half the time of a long
//! prompt. The estimate is filled from the requests that were sent to the engine; the least
//! recently used parts are dropped, as the engine evicts them.

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::request::Prompt;

/// Hash of a prompt's prefix: all parts up to and including one.
pub type PrefixHash = u64;

/// Share of an engine's KV cache that is assumed to hold prefixes which no running request
/// uses; the rest holds running requests.
const PREFIX_SHARE: f64 = 0.7;

/// Last part of a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    prefix: PrefixHash,
    /// Tokens of this part alone.
    tokens: u32,
    last_used: Instant,
}

/// Prefixes that one engine probably holds, sorted by hash.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrefixCache {
    entries: Vec<Entry>,
    tokens: u64,
}

/// Hashes of the prefixes that a prompt may share with others, shortest first, each with the
/// tokens of its last part. The prompt's last part is the request's own and never shared.
pub fn prefix_hashes(prompt: &Prompt) -> Vec<(PrefixHash, u32)> {
    let shared = prompt.parts.len().saturating_sub(1);
    let mut prefix = 0;
    let mut extend = |(id, tokens): &(u64, u32)| {
        prefix = xxh3_64_with_seed(&id.to_le_bytes(), prefix);
        (prefix, *tokens)
    };
    prompt.parts[..shared].iter().map(&mut extend).collect()
}

impl PrefixCache {
    /// Tokens of a prompt's cached prefix, which need no prefill.
    pub fn cached_tokens(&self, prefixes: &[(PrefixHash, u32)]) -> u32 {
        prefixes
            .iter()
            .take_while(|(prefix, _)| self.find(*prefix).is_ok())
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Records that the engine uses these prefixes now. `capacity` is the size of its KV cache
    /// in tokens.
    pub fn record(&mut self, prefixes: &[(PrefixHash, u32)], capacity: u64, now: Instant) {
        for (prefix, tokens) in prefixes {
            match self.find(*prefix) {
                Ok(at) => self.entries[at].last_used = now,
                Err(at) => {
                    let entry = Entry {
                        prefix: *prefix,
                        tokens: *tokens,
                        last_used: now,
                    };
                    self.entries.insert(at, entry);
                    self.tokens += u64::from(*tokens);
                }
            }
        }
        let most = (capacity as f64 * PREFIX_SHARE) as u64;
        while self.tokens > most && self.evict_oldest() {}
    }

    fn find(&self, prefix: PrefixHash) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&prefix, |entry| entry.prefix)
    }

    fn evict_oldest(&mut self) -> bool {
        let oldest = (0..self.entries.len()).min_by_key(|at| self.entries[*at].last_used);
        let Some(at) = oldest else {
            return false;
        };
        let entry = self.entries.remove(at);
        self.tokens -= u64::from(entry.tokens);
        true
    }
}
