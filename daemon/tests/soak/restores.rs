//! The store comes back from older copies, several times in a row.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use poplarvale_standin::Mode;

use super::Soak;

/// Longest age of a copy.
const MAX_AGE_MS: u64 = 10_000;
/// Longest time for which the store is away before it comes back.
const MAX_AWAY_MS: u64 = 1200;
/// Longest time until operators and endpoints write again what was lost.
const MAX_REWRITE_MS: u64 = 500;

/// Restores the store from older copies for a time.
pub(super) async fn inject(soak: Rc<Soak>, mut random: Rng, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        pause(&mut random, 300, 2500).await;
        for _ in 0..random.u32(1..3) {
            restore(&soak, &mut random).await;
        }
    }
}

async fn restore(soak: &Soak, random: &mut Rng) {
    let modes = [
        Mode::Healthy,
        Mode::Rejecting,
        Mode::Paused,
        Mode::LosesReplies,
    ];
    soak.store.set(modes[random.usize(..modes.len())]);
    pause(random, 0, MAX_AWAY_MS).await;
    let age = Duration::from_millis(random.u64(1000..=MAX_AGE_MS));
    soak.store.restore_copy(age);
    soak.store.set(Mode::Healthy);
    pause(random, 0, MAX_REWRITE_MS).await;
    soak.store.write_again();
}

async fn pause(random: &mut Rng, least_ms: u64, most_ms: u64) {
    let pause = Duration::from_millis(random.u64(least_ms..=most_ms));
    tokio::time::sleep(pause).await;
}
