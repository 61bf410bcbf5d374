//! Where work goes: replayed traces against the plain policies, and the parts
//! that a decision is made of.

use std::time::{Duration, Instant};

use poplarvale_lib::routing::{Bound, Load, Policy, Report, choices, price, wait};
use proptest::prelude::*;
use testutils::{Arrival, Outcomes, Reclaim, Scene, Speed, conversations, replay};

const SPEED: Speed = Speed {
    prefill: 8_000.0,
    decode: 40.0,
    slots: 32,
    blocks: 2_048,
    export: 20_000.0,
};

const SCENE: Scene = Scene {
    policy: Policy::Cost,
    zones: 3,
    endpoints: 4,
    daemons: 2,
    speed: SPEED,
    every: 0.5,
    lag: 1.0,
    lost: 0.02,
};

fn trace(hot: f64) -> Vec<Arrival> {
    conversations(testutils::SEED, 20.0, 20.0, 6, hot)
}

fn plain(scene: Scene, trace: &[Arrival], reclaims: &[Reclaim]) -> Outcomes {
    let policy = Policy::LeastLoaded;
    replay(&Scene { policy, ..scene }, trace, reclaims)
}

/// Nine of ten requests begin with the same system prompt. Agreement on where a
/// prefix goes would send them all to one endpoint, and guests would wait for
/// their first token while others idle.
#[test]
fn a_hot_prefix_is_spread_and_still_cached() {
    let trace = trace(0.9);
    let out = replay(&SCENE, &trace, &[]);
    let least = plain(SCENE, &trace, &[]);
    assert_eq!(out.whole, trace.len());
    assert!(out.recomputed < 0.6 * least.recomputed, "{out:?}");
    assert!(out.first(0.95) < least.first(0.95));
    assert!(out.imbalance < 3.0, "{}", out.imbalance);
}

/// Prompts are long and answers short, so a token of work takes now more and now
/// less time, with no endpoint full. A daemon that takes this for overload holds
/// guests back before idle endpoints, and each waits seconds for the first word.
#[test]
fn the_first_token_comes_in_time_while_endpoints_have_room() {
    for hot in [0.1, 0.9] {
        let trace = conversations(testutils::SEED, 30.0, 60.0, 6, hot);
        let out = replay(&SCENE, &trace, &[]);
        assert_eq!((out.whole, out.failed), (trace.len(), 0));
        assert!(out.first(0.95) < 1.5, "{hot}: {}", out.first(0.95));
    }
}

/// Reports come three seconds late. Whoever believes them sends everything to
/// the endpoint that was idle then, and guests see waits that come and go.
#[test]
fn late_load_reports_do_not_make_work_swing() {
    let trace = trace(0.1);
    let late = replay(&Scene { lag: 3.0, ..SCENE }, &trace, &[]);
    let prompt = replay(&Scene { lag: 0.0, ..SCENE }, &trace, &[]);
    assert_eq!(late.whole, trace.len());
    assert!(late.first(0.95) < 1.5 * prompt.first(0.95));
    assert!(late.first(0.95) < plain(SCENE, &trace, &[]).first(0.95));
}

/// A whole zone is reclaimed on three seconds of notice, while answers of up to
/// seven seconds run there. A guest would see the answer break off, begin anew
/// or lack a word.
#[test]
fn a_reclaimed_zone_breaks_no_answer() {
    let trace = trace(0.1);
    let wave = [Reclaim {
        at: 10.0,
        notice: 3.0,
        zone: 1,
    }];
    let out = replay(&SCENE, &trace, &wave);
    let least = plain(SCENE, &trace, &wave);
    assert_eq!((out.whole, out.failed, out.torn), (trace.len(), 0, 0));
    assert_eq!((out.broken, out.late), (0, 0));
    assert!(out.carried > 0);
    assert!(least.broken > 0, "the wave meets no running answer");
    assert!(out.recomputed < least.recomputed);
}

/// Engines that can't give their KV cache out are reclaimed too; answers then go
/// on from the tokens delivered.
#[test]
fn a_reclaimed_zone_without_cache_export_breaks_no_answer() {
    let trace = trace(0.1);
    let wave = [Reclaim {
        at: 10.0,
        notice: 3.0,
        zone: 1,
    }];
    let speed = Speed {
        export: 0.0,
        ..SPEED
    };
    let out = replay(&Scene { speed, ..SCENE }, &trace, &wave);
    assert_eq!((out.whole, out.torn), (trace.len(), 0));
    assert_eq!((out.broken, out.late, out.carried), (0, 0, 0));
}

/// A zone vanishes without any notice. Answers break, and must go on elsewhere
/// with each token once.
#[test]
fn a_zone_that_dies_unannounced_tears_no_answer() {
    let trace = trace(0.1);
    let wave = [Reclaim {
        at: 10.0,
        notice: 0.0,
        zone: 2,
    }];
    let out = replay(&SCENE, &trace, &wave);
    assert!(out.broken > 0);
    assert_eq!((out.whole, out.torn), (trace.len(), 0));
}

/// One cache event in five is lost and the others pass each other. A view that
/// goes on to be believed sends turns where nothing is cached any more, and one
/// that is thrown away computes every history again.
#[test]
fn lost_cache_events_cost_little() {
    let trace = trace(0.1);
    let speed = Speed {
        blocks: 400,
        ..SPEED
    };
    let scene = Scene { speed, ..SCENE };
    let lossy = replay(&Scene { lost: 0.2, ..scene }, &trace, &[]);
    let exact = replay(&Scene { lost: 0.0, ..scene }, &trace, &[]);
    assert_eq!(lossy.whole, trace.len());
    let least = plain(scene, &trace, &[]);
    assert!(lossy.recomputed < exact.recomputed + 0.1 * least.recomputed);
    assert!(lossy.recomputed < 0.35 * least.recomputed);
    assert!(lossy.first(0.95) < 0.6 * least.first(0.95));
}

/// The same loss, held against a view that loses nothing: a third more tokens
/// computed again is what was promised at first.
#[test]
fn lost_cache_events_add_less_than_a_third() {
    let trace = trace(0.1);
    let speed = Speed {
        blocks: 400,
        ..SPEED
    };
    let scene = Scene { speed, ..SCENE };
    let lossy = replay(&Scene { lost: 0.2, ..scene }, &trace, &[]);
    let exact = replay(&Scene { lost: 0.0, ..scene }, &trace, &[]);
    assert!(lossy.recomputed < 1.3 * exact.recomputed);
}

/// The same over several traces: one trace's ratio lies up to a seventh off the mean,
/// so the one above alone tells little.
#[test]
fn lost_cache_events_add_less_than_a_third_in_the_mean() {
    let speed = Speed {
        blocks: 400,
        ..SPEED
    };
    let recomputed = |lost: f64, seed: u64| {
        let trace = conversations(seed, 20.0, 20.0, 6, 0.1);
        let scene = Scene {
            speed,
            lost,
            ..SCENE
        };
        replay(&scene, &trace, &[]).recomputed
    };
    let sum = |lost: f64| (0..12).map(|seed| recomputed(lost, seed)).sum::<f64>();
    assert!(sum(0.2) < 1.3 * sum(0.0));
}

/// The own zone has no endpoint left; a guest's request goes to another zone
/// instead of waiting for a replacement.
#[test]
fn a_zone_without_endpoints_uses_the_others() {
    let trace = trace(0.1);
    let wave = [0, 1].map(|zone| Reclaim {
        at: 0.0,
        notice: 0.0,
        zone,
    });
    let light: Vec<Arrival> = trace.into_iter().step_by(3).collect();
    let out = replay(&SCENE, &light, &wave);
    assert_eq!((out.whole, out.failed), (light.len(), 0));
}

fn report(at: Instant, running: u32, pending: f64) -> Report {
    Report {
        running,
        pending,
        prefill: 1_000.0,
        ..Report::supposed("e".into(), at)
    }
}

/// A report measured before this daemon sent ten prompts arrives after them and
/// says that the endpoint is idle. Believed, ten more would follow, and the last
/// guest would wait for all twenty.
#[test]
fn a_report_is_corrected_by_what_was_sent_since() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut load = Load::new("e".into(), start);
    load.report(at(1), report(at(0), 0, 0.0));
    for count in 1..=10 {
        load.sent(at(2), 1_000.0);
        load.count(at(2), count);
    }
    load.report(at(3), report(at(1), 4, 0.0));
    assert!((load.pending(at(3)) - 9_000.0).abs() < 1.0);
    assert_eq!(load.running(10), 14);
    load.count(at(4), 6);
    load.report(at(5), report(at(3), 14, 9_000.0));
    assert!((load.pending(at(5)) - 7_000.0).abs() < 1.0);
    assert_eq!(load.running(6), 10);
}

/// An endpoint that fell silent, is nearly full or has prompts queueing must not
/// be taken for one with room: every daemon would send there at once.
#[test]
fn only_fresh_reports_of_little_load_show_room() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut load = Load::new("e".into(), start);
    assert_eq!(load.room(at(0), 0), 0);
    load.report(at(1), report(at(1), 8, 0.0));
    let room = load.room(at(1), 0);
    assert!(room > 0 && room + 8 < load.last().slots, "{room}");
    assert_eq!(load.room(at(1), 3), room - 3);
    assert_eq!(load.room(at(1), room), 0);
    assert_eq!(load.room(at(11), 0), 0);
    load.report(at(12), report(at(12), 8, 2_000.0));
    assert_eq!(load.room(at(12), 0), 0);
    assert_eq!(load.room(at(14), 0), room);
}

/// An older report overtaken by a newer one must not undo it.
#[test]
fn an_overtaken_report_is_passed_over() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut load = Load::new("e".into(), start);
    load.report(at(5), report(at(4), 3, 500.0));
    load.report(at(6), report(at(2), 60, 90_000.0));
    assert_eq!(load.running(0), 3);
    assert!(load.pending(at(6)) < 500.0);
}

#[test]
fn an_engine_without_free_slots_costs_a_wait() {
    let full = Report {
        slots: 4,
        ..report(Instant::now(), 0, 0.0)
    };
    assert!(wait(&full, 0.0, 4, 300) > wait(&full, 0.0, 3, 300) + 1.0);
    assert!(wait(&full, 2_000.0, 0, 300) >= 2.0);
    assert!((price(2.0, 1.0) - 0.1).abs() < 1e-9);
    assert!(price(0.0, f64::INFINITY).abs() < 1e-9);
}

proptest! {
    #![proptest_config(testutils::fixed(64))]

    #[test]
    fn an_endpoint_that_goes_changes_only_its_own_prefixes(
        key in any::<u64>(),
        mut endpoints in prop::collection::btree_set(any::<u64>(), 4..40),
        gone in any::<prop::sample::Index>(),
    ) {
        let all: Vec<u64> = endpoints.iter().copied().collect();
        let before = choices(key, all.iter().copied()).map(|at| at.map(|at| all[at]));
        let gone = all[gone.index(all.len())];
        endpoints.remove(&gone);
        let rest: Vec<u64> = endpoints.into_iter().collect();
        let after = choices(key, rest.iter().copied()).map(|at| at.map(|at| rest[at]));
        let kept: Vec<_> = before.into_iter().filter(|&c| c != Some(gone)).collect();
        prop_assert_eq!(&after[..kept.len()], kept.as_slice());
    }

    #[test]
    fn some_endpoint_is_always_within_the_bound(
        loads in prop::collection::vec(0..1000_u32, 1..50),
    ) {
        let mut bound = Bound::default();
        for &load in &loads {
            bound.add(load);
        }
        prop_assert!(loads.iter().any(|&load| bound.holds(load)));
    }
}
