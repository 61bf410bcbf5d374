//! Simulates generated version moves and counts how they end.
//!
//! Eight daemons send requests to ten old and ten new endpoints and exchange
//! evidence with a delay. Latencies grow with the load of an endpoint. The moves lead to good
//! versions and to versions with faults of every kind, with two mixes of routes
//! and three loads. For comparison, the same moves are simulated with a fixed ramp that rolls
//! a version back when its failures exceed a single threshold.

mod cases;
mod controllers;
mod policy;
mod ramp;
mod report;
mod simulation;

use std::thread;
use std::time::{Duration, Instant};

use poplarvale_lib::moves::Time;
use poplarvale_lib::moves::evidence::{Row, Sample, VersionSide};

use crate::cases::{BOOKING, Case, cases};
use crate::controllers::Controllers;
use crate::policy::{Policy as _, Score};
use crate::ramp::Ramp;
use crate::report::{by_kind, misses, report};
use crate::simulation::simulate;

pub(crate) const DAEMONS: usize = 8;
pub(crate) const ENDPOINTS: u32 = 10;
/// Step of the virtual time.
pub(crate) const STEP: Duration = Duration::from_millis(50);
/// Wall-clock time at the start of a move, in milliseconds.
pub(crate) const WALL_START_MS: u64 = 1_000_000_000;
/// Time that each move is given, in milliseconds.
pub(crate) const TERM_MS: u64 = 600_000;
/// Delay of an evidence row between daemons, in steps.
pub(crate) const GOSSIP_STEPS: usize = 40;
/// Delay of a verdict between daemons, in steps.
pub(crate) const PUSH_STEPS: usize = 4;
/// Delay from a write to the store until each daemon has read it, in steps.
pub(crate) const STORE_STEPS: usize = 10;
pub(crate) const THREADS: usize = 3;
/// Moves of each kind, mix and load.
pub(crate) const REPEATS: u64 = 4;

/// Simulates all cases with both policies.
fn simulate_all(cases: &[Case]) -> Vec<(Score, Score)> {
    let start = Instant::now();
    let mut scores = vec![(Score::default(), Score::default()); cases.len()];
    let pairs: Vec<_> = cases.iter().zip(scores.iter_mut()).collect();
    let mut batches: Vec<Vec<_>> = (0..THREADS).map(|_| Vec::new()).collect();
    for (at, pair) in pairs.into_iter().enumerate() {
        batches[at % THREADS].push(pair);
    }
    thread::scope(|scope| {
        for batch in batches {
            scope.spawn(move || {
                for (case, score) in batch {
                    let controllers = Controllers::new(*case, start);
                    *score = (
                        simulate(case, controllers, start),
                        simulate(case, Ramp::new(case.scale()), start),
                    );
                }
            });
        }
    });
    scores
}

/// Measures the time of a controller's ticks with new evidence.
fn time_ticks() {
    const TICKS: u32 = 20_000;
    const SAMPLES: u32 = 8;
    let start = Instant::now();
    let mut controllers = Controllers::new(cases(0)[0], start);
    let mut score = Score::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut spent = Duration::ZERO;
    for step in 0..TICKS {
        let ms = u64::from(step) * 50 % TERM_MS;
        let time = Time {
            now: start + STEP * step,
            wall: WALL_START_MS + ms,
        };
        for n in 0..SAMPLES {
            controllers.daemons[0].record(&Sample {
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
        controllers.tick(time, &mut score);
        spent += before.elapsed();
    }
    let each = spent / TICKS / DAEMONS as u32;
    println!(
        "a tick of a controller: {each:?}, mean of {DAEMONS}; one counts {SAMPLES} requests on {} \
         routes a tick, the others get its rows each second",
        BOOKING.len()
    );
    println!("a row in memory: {} bytes", size_of::<Row>());
}

fn main() {
    // A number after `--` is the seed, which generates other moves than the default.
    let seed = std::env::args().find_map(|arg| arg.parse().ok());
    let cases = cases(seed.unwrap_or(0));
    let scores = simulate_all(&cases);
    let (controllers, ramp): (Vec<Score>, Vec<Score>) = scores.iter().cloned().unzip();
    println!(
        "{} moves, {DAEMONS} daemons, {ENDPOINTS} endpoints, {} s each",
        cases.len(),
        TERM_MS / 1000
    );
    report("sequential test", &cases, &controllers);
    report("fixed ramp, one threshold", &cases, &ramp);
    by_kind(&cases, &scores);
    misses(&cases, &controllers);
    let rows: u64 = controllers.iter().map(|s| s.rows).sum();
    let bytes: u64 = controllers.iter().map(|s| s.row_bytes).sum();
    let max_bytes = controllers.iter().map(|s| s.max_bytes).max().unwrap_or(0);
    time_ticks();
    println!(
        "evidence rows: {} bytes on average, {max_bytes} at most",
        bytes / rows.max(1)
    );
}
