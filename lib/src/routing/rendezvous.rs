//! Rendezvous hashing: preferred endpoints of a prefix, on which daemons agree
//! without communication.
//!
//! Requests with the same prefix arrive at many daemons: unless these agree, each
//! has the prefix computed on a different endpoint. But a prefix can also be hot,
//! and agreement alone would send all its requests to one endpoint. So each
//! daemon ranks the endpoints by a hash of prefix and endpoint, assumes that the
//! first three probably have the prefix cached, and picks none whose load is
//! beyond the [`LoadBound`]. An endpoint that goes away only affects the prefixes
//! that had it among their three choices.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of preferred endpoints of a prefix: the first choice and its
/// alternatives.
pub const CHOICES: usize = 3;
/// Depths in blocks at which prompts are considered to have the same prefix. A
/// conversation keeps its first blocks, so its next turn has the same key until
/// it reaches the next depth; prompts that share only a system prompt get
/// different keys at the deeper ones.
pub const KEY_DEPTHS: [usize; 4] = [1, 4, 16, 64];
/// Load up to this multiple of the mean is always within the bound.
const BOUND_FACTOR: f64 = 2.0;
/// Streams above the mean that are always within the bound. A tight bound
/// separates conversations from their caches because of load that the cost
/// already covers; this bound is for load that the cost does not cover.
const BOUND_SLACK_STREAMS: f64 = 8.0;

/// Key of a prompt's prefix: its block at the deepest of the [`KEY_DEPTHS`] that
/// it reaches.
pub fn prefix_key(blocks: &[u64]) -> Option<u64> {
    let depth = KEY_DEPTHS
        .into_iter()
        .rev()
        .find(|&depth| depth <= blocks.len())?;
    Some(blocks[depth - 1])
}

/// Weight of an endpoint for a key; the highest weight is the first choice.
pub fn weight(key: u64, endpoint: u64) -> u64 {
    xxh3_64_with_seed(&endpoint.to_le_bytes(), key)
}

/// Positions of the endpoints with the highest weights, best first.
pub fn choices(key: u64, endpoints: impl Iterator<Item = u64>) -> [Option<usize>; CHOICES] {
    let mut best: [Option<(u64, usize)>; CHOICES] = [None; CHOICES];
    for (at, endpoint) in endpoints.enumerate() {
        let mut next = Some((weight(key, endpoint), at));
        for choice in &mut best {
            if next > *choice {
                std::mem::swap(&mut next, choice);
            }
        }
    }
    best.map(|choice| choice.map(|(_, at)| at))
}

/// Bound on the load at which an endpoint still receives requests.
///
/// The mean is taken over the endpoints at the same distance, so at least one of
/// them is always within the bound.
#[proc_macros::row]
#[derive(Copy, Default)]
pub struct LoadBound {
    load: f64,
    count: f64,
}

impl LoadBound {
    /// Includes an endpoint with its running streams.
    pub fn add(&mut self, running: u32) {
        self.load += f64::from(running);
        self.count += 1.0;
    }

    /// Maximum number of running streams at which an endpoint receives another.
    pub fn limit(&self) -> f64 {
        let mean = self.load / self.count.max(1.0);
        (mean * BOUND_FACTOR).max(mean + BOUND_SLACK_STREAMS)
    }

    /// Whether an endpoint with `running` streams may receive another.
    pub fn allows(&self, running: u32) -> bool {
        f64::from(running) <= self.limit()
    }
}
