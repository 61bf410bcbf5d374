//! Learning how fast a service's engines are.

use std::time::Duration;

use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::engine::{Pace, Speed};
use poplarvale_lib::relay::fleet::endpoints_needed;

/// Seconds that an engine takes to the first event: 20 ms and 50 tokens a millisecond at
/// speed 1.
fn truth(tokens: f64, speed: f64) -> f64 {
    (0.02 + tokens / 50_000.0) / speed
}

/// Prompts as they come, from a question to a long history.
fn prompts() -> impl Iterator<Item = f64> {
    let lengths = [300.0, 9000.0, 1500.0, 17_000.0, 600.0, 4000.0];
    lengths.into_iter().cycle()
}

fn learn(pace: &mut Pace, engines: &mut [(Speed, f64)], answers: usize) {
    let count = engines.len();
    for (at, tokens) in (0..answers).zip(prompts()) {
        let (speed, real) = &mut engines[at % count];
        let took = Duration::from_secs_f64(truth(tokens, *real));
        speed.learn(pace, tokens, 0.0, took);
        pace.learn_step(Duration::from_secs_f64(0.006 / *real));
    }
}

/// A service runs on engines that are four times slower, or quicker, than those known
/// before. By a fixed figure callers are sent to engines that cannot answer in time, or
/// refused while there is room; and a quarter of the engines needed are ordered.
#[test]
fn predictions_and_orders_follow_engines_of_any_speed() {
    for real in [0.25, 0.5, 2.0, 4.0] {
        let mut pace = Pace::default();
        let mut engines = vec![(Speed::default(), real); 7];
        // Four seconds of one daemon's requests.
        learn(&mut pace, &mut engines, 80);
        for tokens in [600.0, 4000.0, 17_000.0] {
            let told = engines[0].0.first(&pace.line(), tokens, 0.0).as_secs_f64();
            let error = told / truth(tokens, real);
            assert!((0.7..1.4).contains(&error), "{error} of {tokens} at {real}");
        }
        let work = Work {
            read: 400_000.0,
            write: 10_000.0,
        };
        let usual = endpoints_needed(work, 48, &Pace::default());
        let ratio = endpoints_needed(work, 48, &pace) / usual * real;
        assert!(
            (0.75..1.35).contains(&ratio),
            "{ratio} at {real}: {} and {}",
            pace.read(),
            pace.step()
        );
    }
}

/// One engine in seven is broken and answers after ten times as long. The others must
/// not look slow for it, or callers would be refused while there is room.
#[test]
fn a_broken_engine_does_not_make_its_service_look_slow() {
    let mut pace = Pace::default();
    let mut engines = vec![(Speed::default(), 1.0); 7];
    engines[3].1 = 0.1;
    learn(&mut pace, &mut engines, 300);
    let told = engines[0].0.first(&pace.line(), 4000.0, 0.0).as_secs_f64();
    assert!(told <= truth(4000.0, 1.0) * 1.5, "{told}");
    let slow = engines[3].0.first(&pace.line(), 4000.0, 0.0).as_secs_f64();
    assert!(slow >= truth(4000.0, 0.1) * 0.5, "{slow}");
}

/// A wave of reclaims leaves too few engines for ten seconds, and all prompts take four
/// times as long as they need. An order for four times the engines would come when the
/// wave is over, and be paid for until the need is seen to have fallen.
#[test]
fn an_overload_hardly_raises_the_need() {
    let mut pace = Pace::default();
    let mut engines = vec![(Speed::default(), 1.0); 7];
    learn(&mut pace, &mut engines, 200);
    let work = Work {
        read: 400_000.0,
        write: 10_000.0,
    };
    let before = endpoints_needed(work, 48, &pace);
    for engine in &mut engines {
        engine.1 = 0.25;
    }
    learn(&mut pace, &mut engines, 100);
    let during = endpoints_needed(work, 48, &pace);
    assert!(during <= before * 1.7, "{before} {during}");
}
