//! Estimates of how long work takes at endpoints that announce their pace.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::engine::{EngineSpeed, ServiceSpeed};
use poplarvale_lib::relay::load_reports::Reporter;
use poplarvale_lib::relay::pace::{EndpointPace, Pace, PaceTrust};
use poplarvale_lib::relay::quota::name_hash;

use crate::relay_engines::engines;

fn pace(percent: u32) -> Pace {
    Pace::from_percent(percent).expect("a pace that can be true")
}

fn hash(seed: u64, of: u64) -> f64 {
    (xxhash_rust::xxh3::xxh3_64_with_seed(&of.to_le_bytes(), seed) >> 11) as f64
        / (1_u64 << 53) as f64
}

/// How the machines of a replay behave.
#[derive(Clone, Copy, Debug)]
enum Machines {
    /// Each has a speed of its own.
    Different,
    /// Their pace is drawn anew ten times a second.
    Flipping,
    /// Each is slow for three seconds now and then.
    SlowForSeconds,
    /// All are alike, and what they announce has no meaning.
    Lying,
    /// One announces to be very fast and is slow; the others are alike and say so.
    OneLies,
}

const ENGINES: usize = 96;
const DAEMONS: u64 = 24;

impl Machines {
    /// Real pace of an engine at a time, and the one that it announces.
    fn at(self, seed: u64, engine: usize, seconds: f64) -> (f64, u32) {
        let draw = |period: f64| {
            let slot = (seconds / period) as u64;
            hash(seed, engine as u64 * 1_000_003 + slot)
        };
        let real = match self {
            Self::Different => [0.7, 0.7, 1.7][engine % 3],
            Self::Flipping => [0.6, 1.8][usize::from(draw(0.1) < 0.3)],
            Self::SlowForSeconds => [0.8, 2.5][usize::from(draw(3.0) < 0.25)],
            Self::Lying => 1.0,
            Self::OneLies => [1.0, 2.0][usize::from(engine == 0)],
        };
        let announced = match self {
            Self::Lying => 50.0 + 350.0 * draw(0.7),
            Self::OneLies if engine == 0 => 20.0,
            _ => real * 100.0,
        };
        (real, announced as u32)
    }
}

/// Mean time to the first event of requests that some daemons place one by one, each at the better
/// of two random engines, by what it expects.
fn replay(machines: Machines, seed: u64, uses_pace: bool) -> f64 {
    let start = Instant::now();
    let mut paces = vec![vec![EndpointPace::default(); ENGINES]; DAEMONS as usize];
    let mut speeds = vec![vec![EngineSpeed::default(); ENGINES]; DAEMONS as usize];
    let mut services = vec![ServiceSpeed::default(); DAEMONS as usize];
    let (mut sum, mut count) = (0.0, 0.0);
    for request in 0..12_000_u64 {
        let seconds = request as f64 / 200.0;
        let now = start + Duration::from_secs_f64(seconds);
        let at = (request % DAEMONS) as usize;
        let pick = |n: u64| (hash(seed, request * 7 + n + 1_000_000_007) * ENGINES as f64) as usize;
        let tokens = 300.0 + 12_000.0 * hash(seed, request * 7 + 5);
        let expect = |engine: usize| {
            let usual = speeds[at][engine].time_to_first(&services[at].line(), tokens, 0.0);
            let expected = paces[at][engine].expected(usual, now);
            let slowdown = services[at].slowdown(expected);
            (usual.mul_f64(slowdown), expected)
        };
        let (one, other) = (pick(1), pick(2));
        let engine = if expect(other).0 < expect(one).0 {
            other
        } else {
            one
        };
        let (_, expected) = expect(engine);
        // The pace changes while the request runs.
        let mut left = 0.02 + tokens / 68_000.0;
        let mut took = 0.0;
        while left > 0.0 {
            let (real, _) = machines.at(seed, engine, seconds + took);
            let step = left.min(0.02 / real);
            left -= step;
            took += step * real;
        }
        let took = took * (0.8 + 0.4 * hash(seed, request * 7 + 6));
        let time = Duration::from_secs_f64(took);
        speeds[at][engine].learn_paced(&mut services[at], tokens, 0.0, time, expected);
        if uses_pace {
            let (_, announced) = machines.at(seed, engine, seconds + took);
            let heard = pace(announced);
            let later = now + time;
            paces[at][engine].hear(heard, later);
            // The others are told at once what a watcher would tell them within a second.
            for (_, row) in paces.iter_mut().enumerate().filter(|(row, _)| *row != at) {
                row[engine].merge_mean(heard, later);
            }
        }
        // The first seconds are those in which all is learned.
        if seconds > 5.0 {
            sum += took;
            count += 1.0;
        }
    }
    sum / count
}

fn gain(machines: Machines) -> f64 {
    let seeds = [11, 12, 13, 14];
    let mean = |uses_pace| {
        let all = seeds.map(|seed| replay(machines, seed, uses_pace));
        all.iter().sum::<f64>() / seeds.len() as f64
    };
    mean(true) / mean(false)
}

/// Prompts go to slow machines although what these announce shows it.
#[test]
fn requests_avoid_machines_that_are_slow_for_long() {
    let different = gain(Machines::Different);
    assert!(different < 0.99, "{different}");
    let seconds = gain(Machines::SlowForSeconds);
    assert!(seconds < 0.95, "{seconds}");
}

/// A pace that has changed before a request begins, or that is not true, makes choices worse.
#[test]
fn paces_that_predict_nothing_do_no_harm() {
    for machines in [Machines::Flipping, Machines::Lying, Machines::OneLies] {
        let gain = gain(machines);
        assert!(gain <= 1.01, "{machines:?}: {gain}");
    }
}

/// A figure out of all bounds keeps requests away from an endpoint, or draws them all to it.
#[test]
fn impossible_paces_are_none() {
    for percent in [0, 1, 9, 4001, u32::MAX] {
        assert_eq!(Pace::from_percent(percent), None, "{percent}");
    }
    for percent in [10, 100, 4000] {
        assert_eq!(pace(percent).percent(), percent);
    }
}

/// An endpoint that announces nothing is chosen as if there were no paces.
#[test]
fn without_figures_all_endpoints_are_as_usual() {
    let (now, mut trust) = (Instant::now(), PaceTrust::default());
    let expected = EndpointPace::default().expected(Duration::from_millis(300), now);
    assert!((expected - 1.0).abs() < 1e-12, "{expected}");
    for ratio in [0.5, 3.0, 1.0, 7.0] {
        trust.learn(expected, ratio);
    }
    assert!((trust.slowdown(expected) - 1.0).abs() < 1e-12);
}

/// One figure of a moment ago counts for short work more than for long, and soon for none.
#[test]
fn the_latest_figure_loses_its_effect() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut row = EndpointPace::default();
    for second in 0..20 {
        row.hear(pace(100), at(second * 500));
    }
    row.hear(pace(400), at(10_000));
    let expected = |work, millis| row.expected(Duration::from_millis(work), at(millis));
    let (short, long) = (expected(20, 10_010), expected(2000, 10_010));
    assert!(short > 3.0 && long < 2.0, "{short} {long}");
    let later = expected(20, 11_500);
    assert!(later < 1.6, "{later}");
}

/// A slow endpoint that gets no requests any more is avoided for ever.
#[test]
fn an_endpoint_of_which_nothing_is_heard_counts_as_usual_again() {
    let start = Instant::now();
    let mut row = EndpointPace::default();
    row.hear(pace(400), start);
    let soon = row.expected(Duration::from_millis(100), start + Duration::from_secs(1));
    let later = row.expected(Duration::from_millis(100), start + Duration::from_mins(1));
    assert!(soon > 2.0 && later < 1.01, "{soon} {later}");
    assert_eq!(row.fleet_mean(start + Duration::from_mins(1)), None);
}

/// What a watcher tells comes back to it and is told again as new.
#[test]
fn a_zone_tells_only_what_its_daemons_heard() {
    let now = Instant::now();
    let mut table = engines(2, 4);
    let (zone, fleet) = (Reporter::Zone(7), Reporter::Fleet);
    let daemon = Reporter::Daemon(1, "front-1".into());
    let (first, second) = (name_hash("e0"), name_hash("e1"));
    table.merge_paces(&zone, &[(first, pace(300)), (77, pace(300))], now);
    table.merge_paces(&fleet, &[(first, pace(300))], now);
    table.merge_paces(&daemon, &[(second, pace(200))], now);
    let row = |endpoint| *table.pace(endpoint).expect("a known endpoint");
    assert_eq!(row(first).zone_mean(now), None);
    assert_eq!(row(first).fleet_mean(now), Some(pace(300)));
    assert_eq!(row(second).zone_mean(now), Some(pace(200)));
    assert_eq!(table.pace(77), None);
}

/// The learned factor of an engine and its pace both have its slowness, which then counts twice.
#[test]
fn the_factor_of_an_engine_has_only_what_its_pace_does_not_explain() {
    let mut service = ServiceSpeed::default();
    let mut engines = [(EngineSpeed::default(), 0.7), (EngineSpeed::default(), 1.7)];
    for round in 0..400_u32 {
        let (speed, real) = &mut engines[round as usize % 2];
        let tokens = f64::from(500 + round * 97 % 9000);
        let took = Duration::from_secs_f64((0.02 + tokens / 68_000.0) * *real);
        speed.learn_paced(&mut service, tokens, 0.0, took, *real);
    }
    for (speed, real) in engines {
        let usual = speed.time_to_first(&service.line(), 5000.0, 0.0);
        let predicted = usual.as_secs_f64() * service.slowdown(real);
        let ratio = predicted / ((0.02 + 5000.0 / 68_000.0) * real);
        assert!((0.9..1.1).contains(&ratio), "{ratio} at {real}");
        let factor = speed.factor();
        assert!((0.85..1.2).contains(&factor), "{factor} at {real}");
    }
}
