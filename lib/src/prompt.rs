//! Prompt properties used for routing: the length in tokens and a hash chain over
//! blocks.
//!
//! Model engines cache prompts by prefix. The hash of each block includes the hash of the
//! previous block, so two prompts share exactly as many leading hashes as leading blocks,
//! and the cache of an endpoint can be described by hashes alone.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a block in bytes; at about four bytes per token this is 64 tokens, a few
/// pages of a typical engine's cache.
pub const BLOCK_BYTES: usize = 256;
/// Average number of bytes per token in European languages.
const TOKEN_BYTES: usize = 4;

/// Hash chain over the complete blocks of a prompt; a partial last block is left out.
pub fn blocks(prompt: &[u8]) -> Vec<u64> {
    let mut chain = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            chain
        })
        .collect()
}

/// Number of tokens of a prompt, estimated from its length in bytes.
pub fn tokens(prompt: &[u8]) -> u32 {
    prompt.len().div_ceil(TOKEN_BYTES).min(u32::MAX as usize) as u32
}
