//! Learning the speed of a service's engines.

use std::time::Duration;

use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::engine::{EngineSpeed, ServiceSpeed};
use poplarvale_lib::relay::fleet::endpoints_needed;

/// Seconds that an engine really takes to the first event: 20 ms and 50 tokens a millisecond
/// at speed 1.
fn real_time(tokens: f64, speed: f64) -> f64 {
    (0.02 + tokens / 50_000.0) / speed
}

/// Prompt lengths in tokens, from a question to a long history.
fn prompt_lengths() -> impl Iterator<Item = f64> {
    let lengths = [300.0, 9000.0, 1500.0, 17_000.0, 600.0, 4000.0];
    lengths.into_iter().cycle()
}

/// Learns from `answers` requests, which go to the engines in turn.
fn learn(service: &mut ServiceSpeed, engines: &mut [(EngineSpeed, f64)], answers: usize) {
    let count = engines.len();
    for (at, tokens) in (0..answers).zip(prompt_lengths()) {
        let (speed, real) = &mut engines[at % count];
        let took = Duration::from_secs_f64(real_time(tokens, *real));
        speed.learn(service, tokens, 0.0, took);
        service.learn_step(Duration::from_secs_f64(0.006 / *real));
    }
}

/// A service runs on engines that are four times slower, or faster, than the default. With a
/// fixed speed, requests are sent to engines that cannot answer in time, or rejected while there
/// is capacity; and only a quarter of the engines needed are ordered.
#[test]
fn predictions_and_orders_follow_engines_of_any_speed() {
    for real in [0.25, 0.5, 2.0, 4.0] {
        let mut service = ServiceSpeed::default();
        let mut engines = vec![(EngineSpeed::default(), real); 7];
        // Four seconds of one daemon's requests.
        learn(&mut service, &mut engines, 80);
        for tokens in [600.0, 4000.0, 17_000.0] {
            let predicted = engines[0]
                .0
                .time_to_first(&service.line(), tokens, 0.0)
                .as_secs_f64();
            let error = predicted / real_time(tokens, real);
            assert!((0.7..1.4).contains(&error), "{error} of {tokens} at {real}");
        }
        let work = Work {
            read: 400_000.0,
            write: 10_000.0,
        };
        let default = endpoints_needed(work, 48, &ServiceSpeed::default());
        let ratio = endpoints_needed(work, 48, &service) / default * real;
        assert!(
            (0.75..1.35).contains(&ratio),
            "{ratio} at {real}: {} and {}",
            service.prefill_s(),
            service.step_s()
        );
    }
}

/// One engine in seven is broken and takes ten times as long. The others must not look slow
/// because of it, or requests would be rejected while there is capacity.
#[test]
fn a_broken_engine_does_not_make_its_service_look_slow() {
    let mut service = ServiceSpeed::default();
    let mut engines = vec![(EngineSpeed::default(), 1.0); 7];
    engines[3].1 = 0.1;
    learn(&mut service, &mut engines, 300);
    let predicted = engines[0]
        .0
        .time_to_first(&service.line(), 4000.0, 0.0)
        .as_secs_f64();
    assert!(predicted <= real_time(4000.0, 1.0) * 1.5, "{predicted}");
    let slow = engines[3]
        .0
        .time_to_first(&service.line(), 4000.0, 0.0)
        .as_secs_f64();
    assert!(slow >= real_time(4000.0, 0.1) * 0.5, "{slow}");
}

/// A wave of reclaims leaves too few engines for ten seconds, and all prompts take four times as
/// long as without load. If four times as many engines were ordered, they would arrive when the
/// wave is over, and be paid for until the lower need is recognized.
#[test]
fn an_overload_hardly_raises_the_number_of_engines_needed() {
    let mut service = ServiceSpeed::default();
    let mut engines = vec![(EngineSpeed::default(), 1.0); 7];
    learn(&mut service, &mut engines, 200);
    let work = Work {
        read: 400_000.0,
        write: 10_000.0,
    };
    let before = endpoints_needed(work, 48, &service);
    for engine in &mut engines {
        engine.1 = 0.25;
    }
    learn(&mut service, &mut engines, 100);
    let during = endpoints_needed(work, 48, &service);
    assert!(during <= before * 1.7, "{before} {during}");
}
