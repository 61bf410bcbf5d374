//! Decisions under load, tested by replay of the committed traces.

use std::time::{Duration, Instant};

use crate::driver::{self, Arrival, Ended, Scene, goodput, read, share};
use crate::generate;
use poplarvale_lib::Code;
use poplarvale_lib::load::{Choice, Policy};
use testutils::fake_endpoints::{Behaviour, Slow};

fn committed(name: &str) -> Vec<Arrival> {
    let text = match name {
        "burst" => include_str!("traces/burst.jsonl"),
        "flood" => include_str!("traces/flood.jsonl"),
        "slow" => include_str!("traces/slow.jsonl"),
        "long" => include_str!("traces/long.jsonl"),
        "saturation-1" => include_str!("traces/saturation-1.jsonl"),
        "saturation-2" => include_str!("traces/saturation-2.jsonl"),
        "saturation-5" => include_str!("traces/saturation-5.jsonl"),
        _ => panic!("no such trace"),
    };
    read(text)
}

fn scene(policy: Policy) -> Scene {
    let healthy = |n| (format!("e{n}"), Behaviour::healthy(2_000.0, 200.0));
    Scene {
        endpoints: (0..2).map(healthy).collect(),
        policy,
        priorities: Vec::new(),
        max_retries: 0,
        daemons: 1,
        running: 64,
        requests: 1e6,
        origin: Instant::now(),
    }
}

fn play(name: &str, policy: Policy) -> Vec<Ended> {
    driver::replay(&scene(policy), &committed(name))
}

#[test]
fn committed_traces_come_from_their_seeds() {
    for (name, trace) in generate::committed() {
        assert_eq!(committed(name), trace, "{name}");
    }
}

/// Far more requests arrive than the endpoints can do. If none is rejected, each
/// one starts late and hardly any is answered in time: callers wait and then get
/// an error.
#[test]
fn goodput_does_not_fall_as_load_grows() {
    let once = goodput(&play("saturation-1", Policy::default()));
    for name in ["saturation-2", "saturation-5"] {
        let adaptive = goodput(&play(name, Policy::default()));
        let plain = goodput(&play(name, Policy::plain()));
        assert!(adaptive >= 0.9 * once, "{name}: {adaptive} against {once}");
        assert!(adaptive > 1.5 * plain, "{name}: {adaptive} against {plain}");
    }
}

/// A request that cannot be done in time must be rejected on arrival. Otherwise
/// its caller waits for the whole deadline, gets its answer only then, and does
/// not know when to retry.
#[test]
fn late_requests_are_rejected_at_once_with_a_retry_time() {
    let admission = Policy {
        admission: Choice::Adaptive,
        ..Policy::plain()
    };
    for policy in [admission, Policy::default()] {
        let ended = play("saturation-5", policy);
        let late = |e: &&Ended| e.code() == Some(Code::TooLate);
        let late: Vec<&Ended> = ended.iter().filter(late).collect();
        assert!(late.len() > ended.len() / 4, "{} are late", late.len());
        let at_once = late.iter().filter(|e| e.after.as_millis() < 50).count();
        assert!(
            at_once * 10 >= late.len() * 9,
            "{at_once} of {}",
            late.len()
        );
        for e in late {
            let poplarvale_lib::Ending::Failed { retry_at, .. } = e.ending else {
                panic!("a rejection is a failure");
            };
            assert!(retry_at.is_some());
        }
    }
}

/// More work is admitted than fits when load grows faster than forecast. A
/// request that was never sent to an endpoint must be reported as not run, and a
/// request that was sent must not be.
#[test]
fn only_what_never_left_is_called_not_run() {
    for name in ["burst", "saturation-5"] {
        for policy in [Policy::plain(), Policy::default()] {
            let ended = play(name, policy);
            let wrong = share(&ended, |e| e.not_run() && e.attempts > 0);
            assert!(wrong == 0.0, "{name}: {wrong}");
        }
    }
}

/// One customer sends twenty-five times what another does, and more than the
/// endpoints can do. In order of arrival, nine in ten of the quiet customer's
/// requests time out too, through no fault of its own.
#[test]
fn a_quiet_customer_beside_a_flood_is_served() {
    let adaptive = driver::of(&play("flood", Policy::default()), "quiet");
    let plain = driver::of(&play("flood", Policy::plain()), "quiet");
    assert!(share(&adaptive, Ended::good) >= 0.85, "{adaptive:?}");
    assert!(share(&plain, Ended::good) <= 0.5);
}

/// Long requests fill the endpoints and short ones arrive among them. If the
/// short ones wait behind them, their answers come after the caller has left.
#[test]
fn short_work_among_long_is_on_time() {
    let ended = play("long", Policy::default());
    let tags = driver::of(&ended, "tag");
    assert!(share(&tags, Ended::good) >= 0.95);
    assert!(share(&driver::of(&ended, "plan"), Ended::good) >= 0.8);
}

/// A burst of five seconds asks for several times what the endpoints can do.
/// Served in order of arrival, every request behind the burst is late, also those
/// for other work.
#[test]
fn a_burst_leaves_other_work_on_time() {
    let adaptive = play("burst", Policy::default());
    let plain = play("burst", Policy::plain());
    let tags = |ended: &[Ended]| share(&driver::of(ended, "tag"), Ended::good);
    assert!(tags(&adaptive) >= 0.85, "{}", tags(&adaptive));
    assert!(tags(&adaptive) > tags(&plain));
    assert!(goodput(&adaptive) > goodput(&plain));
}

fn four(policy: Policy) -> Scene {
    let healthy = |n| (format!("e{n}"), Behaviour::healthy(1_000.0, 200.0));
    Scene {
        endpoints: (0..4).map(healthy).collect(),
        ..scene(policy)
    }
}

/// One endpoint of four becomes ten times slower, as one whose host throttles
/// does. It reports no errors, so only its slowness shows; a quarter of the
/// callers wait until their deadline for as long as it gets requests.
#[test]
fn a_slow_endpoint_is_kept_from_work_and_comes_back() {
    let late = |policy| {
        let mut scene = four(policy);
        scene.endpoints[0].1.slow = Some(Slow {
            from: scene.origin + Duration::from_secs(10),
            until: scene.origin + Duration::from_secs(25),
            factor: 0.1,
        });
        let ended = driver::replay(&scene, &committed("slow"));
        1.0 - share(&ended, Ended::good)
    };
    let adaptive = late(Policy::default());
    let plain = late(Policy::plain());
    assert!(adaptive < 0.6 * plain, "{adaptive} against {plain}");
}

/// Two endpoints of four fail most of their requests. They are idle sooner than
/// the others, so least-loaded choice sends them ever more.
#[test]
fn failing_endpoints_are_ejected() {
    let good = |policy| {
        let mut scene = four(policy);
        for (_, behaviour) in &mut scene.endpoints[..2] {
            behaviour.failure_rate = 0.8;
        }
        let ended = driver::replay(&scene, &committed("slow"));
        (share(&ended, Ended::good), ended)
    };
    let (adaptive, ended) = good(Policy::default());
    let (plain, _) = good(Policy::plain());
    assert!(adaptive > plain, "{adaptive} against {plain}");
    let attempts: u32 = ended.iter().map(|e| e.attempts).sum();
    assert!(
        f64::from(attempts) <= 1.2 * ended.len() as f64,
        "{attempts}"
    );
}

/// Every endpoint refuses connections. Callers must be told at once that nothing
/// ran; waiting for the deadline would not bring an endpoint back.
#[test]
fn requests_fail_at_once_when_all_endpoints_refuse_connections() {
    let mut scene = four(Policy::default());
    for (_, behaviour) in &mut scene.endpoints {
        behaviour.refusal_rate = 1.0;
    }
    let ended = driver::replay(&scene, &committed("slow"));
    assert!(share(&ended, Ended::not_run) >= 1.0);
    let at_once = share(&ended, |e| e.after < Duration::from_millis(100));
    assert!(at_once >= 0.9, "{at_once}");
}

/// Endpoints fail all requests past fourteen at the same time, as when memory for
/// the cache runs out, and nothing in their latency shows it. With a fixed limit,
/// and with retries on top, most callers get an error.
#[test]
fn endpoints_that_fail_when_overloaded_get_a_lower_limit() {
    let good = |policy| {
        let mut scene = scene(policy);
        for (_, behaviour) in &mut scene.endpoints {
            behaviour.max_jobs = Some(14);
        }
        share(
            &driver::replay(&scene, &committed("saturation-2")),
            Ended::good,
        )
    };
    let adaptive = good(Policy::default());
    let plain = good(Policy::plain());
    assert!(
        adaptive > 0.4 && adaptive > 2.0 * plain,
        "{adaptive} against {plain}"
    );
}

/// Four daemons send to the same endpoints and none knows of the others'
/// requests. Each has a short queue, so each would admit everything, and all of
/// it is late.
#[test]
fn daemons_that_share_endpoints_reject_overload_without_queues() {
    let play = |load, policy| {
        let mut scene = scene(policy);
        scene.daemons = 4;
        let trace = generate::trace(&generate::short(load, 60.0), 18);
        goodput(&driver::replay(&scene, &trace))
    };
    let once = play(1.0, Policy::default());
    let adaptive = play(5.0, Policy::default());
    let plain = play(5.0, Policy::plain());
    assert!(adaptive > 4.0 * plain, "{adaptive} against {plain}");
    assert!(adaptive >= 0.8 * once, "{adaptive} against {once}");
}

/// Load falls to a third of what the endpoints can do after twenty seconds of
/// five times as much. Measurements made under overload must not outlast it:
/// callers would be rejected while endpoints are idle.
#[test]
fn rejections_end_soon_after_overload() {
    let mut streams = generate::short(5.0, 20.0);
    let after = generate::short(0.3, 20.0).into_iter();
    streams.extend(after.map(|stream| generate::Stream {
        span: (22.0, 60.0),
        ..stream
    }));
    let trace = generate::trace(&streams, 19);
    for daemons in [1, 8] {
        let mut scene = scene(Policy::default());
        scene.daemons = daemons;
        let ended = driver::replay(&scene, &trace);
        let late = |from| {
            let late = ended.iter().filter(|e| e.arrival.at >= from && !e.good());
            late.count()
        };
        // Requests sent under overload end by 28 s, and count for 2 s more.
        let soon = late(22_000) - late(30_000);
        assert!(soon <= 12, "{daemons} daemons: {soon} in eight seconds");
        assert_eq!(late(30_000), 0, "{daemons} daemons");
    }
}

/// Rejected callers retry at the time they are told. If they were told only how
/// late they were, all of a burst would retry together and be rejected again.
#[test]
fn rejected_callers_that_retry_when_told_are_served() {
    let mut scene = scene(Policy::default());
    scene.max_retries = 3;
    let ended = driver::replay(&scene, &committed("burst"));
    let last: Vec<Ended> = ended.iter().filter(|e| !e.retried).cloned().collect();
    let good = share(&last, Ended::good);
    assert!(good >= 0.9, "{good}");
    let arrivals = ended.len() as f64 / last.len() as f64;
    assert!(arrivals <= 1.8, "{arrivals} arrivals a caller");
}
