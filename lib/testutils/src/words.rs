//! Answers that are a function of the prompt.
//!
//! The model engine's stand-in answers each prompt with words that depend on the
//! prompt alone. A test computes the expected answer, and so detects a
//! word that is missing, duplicated or from another caller's answer.

use xxhash_rust::xxh3::xxh3_64;

const WORDS: [&str; 16] = [
    "tide", "swell", "board", "reef", "wind", "shore", "cloud", "star", "lamp", "hill", "sensor",
    "night", "field", "roof", "river", "stone",
];

/// Word at the position `at` of the answer to a prompt.
pub fn word(prompt: &str, at: u32) -> String {
    let seed = xxh3_64(prompt.as_bytes());
    let hash = xxh3_64(&[seed.to_le_bytes(), u64::from(at).to_le_bytes()].concat());
    format!("{}-{at} ", WORDS[hash as usize % WORDS.len()])
}

/// The whole answer to a prompt, of `count` words.
pub fn answer(prompt: &str, count: u32) -> String {
    (0..count).map(|at| word(prompt, at)).collect()
}
