//! Plays generated version moves and counts how they end.
//!
//! Eight daemons send requests to ten old and ten new endpoints and exchange
//! evidence with a delay. Latencies grow with the load on an endpoint. Good
//! versions and bad ones of every kind are moved to, with two mixes of routes
//! and three loads. The same moves are played with a fixed ramp that takes a
//! version back when one threshold on its failures is passed.

mod cases;
mod play;
mod policy;
mod ramp;
mod report;
mod watched;

use std::thread;
use std::time::{Duration, Instant};

use poplarvale_lib::moves::Time;
use poplarvale_lib::moves::evidence::{Row, Sample, VersionSide};

use crate::cases::{BOOKING, Case, cases};
use crate::play::play;
use crate::policy::{Policy as _, Score};
use crate::ramp::Ramp;
use crate::report::{by_kind, misses, report};
use crate::watched::Watched;

pub(crate) const DAEMONS: usize = 8;
pub(crate) const ENDPOINTS: u32 = 10;
pub(crate) const STEP: Duration = Duration::from_millis(50);
pub(crate) const WALL: u64 = 1_000_000_000;
/// Time that a move is given.
pub(crate) const TERM_MS: u64 = 600_000;
/// Way of a row from one daemon to another, in steps.
pub(crate) const GOSSIP_STEPS: usize = 40;
/// Way of a verdict, in steps.
pub(crate) const PUSH_STEPS: usize = 4;
/// Way of a write to the store and back to each daemon, in steps.
pub(crate) const STORE_STEPS: usize = 10;
pub(crate) const THREADS: usize = 3;
pub(crate) const REPEATS: u64 = 4;

/// Plays all cases with both policies.
fn play_all(cases: &[Case]) -> Vec<(Score, Score)> {
    let start = Instant::now();
    let mut scores = vec![(Score::default(), Score::default()); cases.len()];
    let pairs: Vec<_> = cases.iter().zip(scores.iter_mut()).collect();
    let mut lots: Vec<Vec<_>> = (0..THREADS).map(|_| Vec::new()).collect();
    for (at, pair) in pairs.into_iter().enumerate() {
        lots[at % THREADS].push(pair);
    }
    thread::scope(|scope| {
        for lot in lots {
            scope.spawn(move || {
                for (case, score) in lot {
                    let watched = Watched::new(*case, start);
                    *score = (
                        play(case, watched, start),
                        play(case, Ramp::new(case.scale()), start),
                    );
                }
            });
        }
    });
    scores
}

/// Time of a controller's looks at new evidence.
fn time_looks() {
    const LOOKS: u32 = 20_000;
    const SAMPLES: u32 = 8;
    let start = Instant::now();
    let mut watched = Watched::new(cases(0)[0], start);
    let mut score = Score::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut spent = Duration::ZERO;
    for step in 0..LOOKS {
        let ms = u64::from(step) * 50 % TERM_MS;
        let time = Time {
            now: start + STEP * step,
            wall: WALL + ms,
        };
        for n in 0..SAMPLES {
            watched.daemons[0].record(&Sample {
                route: BOOKING[n as usize % BOOKING.len()].name.into(),
                idempotent: true,
                which: if n % 2 == 0 {
                    VersionSide::Old
                } else {
                    VersionSide::New
                },
                time: Some(Duration::from_millis(rng.u64(10..40))),
                compared: true,
            });
        }
        let before = Instant::now();
        watched.tick(time, &mut score);
        spent += before.elapsed();
    }
    let each = spent / LOOKS / DAEMONS as u32;
    println!(
        "a tick of a controller: {each:?}, mean of {DAEMONS}; one counts {SAMPLES} requests on {} \
         routes a tick, the others get its rows each second",
        BOOKING.len()
    );
    println!("a row in memory: {} bytes", size_of::<Row>());
}

fn main() {
    // A number after `--` plays other moves than the usual ones.
    let seed = std::env::args().find_map(|arg| arg.parse().ok());
    let cases = cases(seed.unwrap_or(0));
    let scores = play_all(&cases);
    let (watched, ramp): (Vec<Score>, Vec<Score>) = scores.iter().cloned().unzip();
    println!(
        "{} moves, {DAEMONS} daemons, {ENDPOINTS} endpoints, {} s each",
        cases.len(),
        TERM_MS / 1000
    );
    report("sequential test", &cases, &watched);
    report("fixed ramp, one threshold", &cases, &ramp);
    by_kind(&cases, &scores);
    misses(&cases, &watched);
    let rows: u64 = watched.iter().map(|s| s.rows).sum();
    let bytes: u64 = watched.iter().map(|s| s.row_bytes).sum();
    let longest = watched.iter().map(|s| s.longest).max().unwrap_or(0);
    time_looks();
    println!(
        "evidence rows: {} bytes on average, {longest} at most",
        bytes / rows.max(1)
    );
}
