//! Random faults over a fleet of daemons; see [`crate::soak`].
//!
//! More seeds are played with a range in the environment, one after the other:
//! `POPLARVALE_SOAK=100..150 cargo test -p poplarvaled --test runner soak`.

use std::time::Duration;

use crate::soak::{play, seeds};

/// Seeds that showed a fault once, with its cause, and one that never did.
const KEPT: [u64; 1] = [1];
/// How long faults go on in a short run.
const SHORT: Duration = Duration::from_secs(4);
const SEEDS: &str = "POPLARVALE_SOAK";

/// Daemons are killed, paused and told to end, connections to the store and the
/// endpoints fall silent, break or lose answers, and the configuration changes, all
/// at once. Callers get their own whole answers, nothing that must run once runs
/// twice, and what is said not to have run has not. Afterwards everything is served
/// again, and daemons that are stopped in turn cut nothing off.
#[actix_web::test]
async fn promises_hold_under_random_faults() {
    let mut broken = Vec::new();
    for seed in seeds(SEEDS, &KEPT) {
        let report = play(seed, SHORT).await;
        println!(
            "seed {seed}: {} answered, {} refused, {} failed, {:?}",
            report.answered, report.refused, report.failed, report.broken
        );
        if !report.broken.is_empty() {
            broken.push((seed, report.broken));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}
