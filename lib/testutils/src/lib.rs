//! Test utilities shared by all packages.
//!
//! Stand-ins for the platform's services and the endpoints, which also run as separate
//! programs, and settings that make property tests give the same result in every run.

pub mod engine;
pub mod fake_endpoints;
mod fake_engines;
pub mod folder;
pub mod plain;
pub mod platform;
pub mod process;
pub mod proofs;
mod replay;
pub mod retry_bound;
pub mod serve;
pub mod words;
pub use fake_engines::{Change, Engine, Job, Speed, Step};
pub use replay::{Arrival, Outcomes, Reclaim, Scene, conversations, replay};

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Seed of every property test, so that each run tests the same cases.
pub const SEED: u64 = 0x706f_706c_6172;

/// Property test settings with the fixed seed and this number of cases.
pub fn fixed(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    }
}
