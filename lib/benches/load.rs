//! Compares the adaptive load policies with the plain ones on the same traces in the same
//! run. It prints tables instead of using a benchmark harness, since the results are
//! outcomes in virtual time; only the cost of ticks and claims is measured on the clock.
//!
//! With `write` as argument it regenerates the committed traces.

#[path = "../tests/traces/driver.rs"]
mod driver;
#[path = "../tests/traces/fleet.rs"]
mod fleet;
#[path = "../tests/traces/generate.rs"]
mod generate;

use std::time::{Duration, Instant};

use driver::{Arrival, Ended, Scene, goodput, of, quantile, share};
use fleet::Fleet;
use poplarvale_lib::load::share_table::ShareTable;
use poplarvale_lib::load::shares::{Amounts, MAX_TRANSIT, ShareRow};
use poplarvale_lib::load::{Choice, Policy};
use poplarvale_lib::{Command, CustomerId, Input, Outcome, World};
use testutils::fake_endpoints::{Behaviour, Slow};

/// Endpoints that process 2,000 units per second, at most 200 per request.
fn endpoints(count: usize) -> Vec<(String, Behaviour)> {
    let name = |n| (format!("e{n}"), Behaviour::healthy(2_000.0, 200.0));
    (0..count).map(name).collect()
}

fn scene(policy: Policy, origin: Instant) -> Scene {
    Scene {
        endpoints: endpoints(2),
        policy,
        priorities: Vec::new(),
        max_retries: 0,
        daemons: 1,
        running: 64,
        requests: 1e6,
        origin,
    }
}

/// Requests that ended before the last arrival. Counting those that finish in the idle
/// time after it would overstate the throughput of the endpoints.
fn within(ended: &[Ended], seconds: f64) -> Vec<Ended> {
    let at = |e: &&Ended| e.arrival.at as f64 / 1e3 + e.after.as_secs_f64();
    ended.iter().filter(|e| at(e) <= seconds).cloned().collect()
}

fn row(name: &str, ended: &[Ended], seconds: f64) {
    print!(
        "  {name:<12} in time {:5.1}%  goodput {:6.0}/s",
        100.0 * share(ended, Ended::good),
        goodput(&within(ended, seconds)) / seconds
    );
    for class in ["tag", "chat", "plan"] {
        let some = of(ended, class);
        if some.is_empty() {
            continue;
        }
        print!(
            "  {class} {:5.1}% {:5.2}/{:5.2}/{:5.2}",
            100.0 * share(&some, Ended::good),
            quantile(&some, 0.5),
            quantile(&some, 0.95),
            quantile(&some, 0.99)
        );
    }
    let attempts: u32 = ended.iter().map(|e| e.attempts).sum();
    let failed = |e: &Ended| e.code().is_some();
    let at_once = |e: &Ended| failed(e) && e.after < Duration::from_millis(50);
    println!(
        "  attempts {:.2}  failed at once {:4.1}% later {:4.1}%",
        f64::from(attempts) / ended.len() as f64,
        100.0 * share(ended, at_once),
        100.0 * share(ended, |e| failed(e) && !at_once(e))
    );
}

/// The plain policy, single adaptive decisions and all of them together.
fn policies() -> Vec<(&'static str, Policy)> {
    let plain = Policy::plain();
    let admission = Policy {
        admission: Choice::Adaptive,
        ..plain
    };
    let queue = Policy {
        queue: Choice::Adaptive,
        ..admission
    };
    let limits = Policy {
        concurrency: Choice::Adaptive,
        ..admission
    };
    let retry = Policy {
        retry: Choice::Adaptive,
        ..plain
    };
    let ejection = Policy {
        ejection: Choice::Adaptive,
        ..plain
    };
    vec![
        ("plain", plain),
        ("+admission", admission),
        ("+queue", queue),
        ("+limits", limits),
        ("+retry", retry),
        ("+ejection", ejection),
        ("all", Policy::default()),
    ]
}

fn compare(title: &str, trace: &[Arrival], seconds: f64, change: impl Fn(&mut Scene)) {
    println!("{title} ({} arrivals)", trace.len());
    let origin = Instant::now();
    for (name, policy) in policies() {
        let mut scene = scene(policy, origin);
        change(&mut scene);
        row(name, &driver::replay(&scene, trace), seconds);
    }
}

fn saturation() {
    for load in [1.0, 2.0, 5.0] {
        let trace = generate::trace(&generate::mixed(load, 120.0), 21);
        compare(&format!("saturation {load}x"), &trace, 120.0, |_| {});
    }
}

/// The same load spread over more and more daemons, which notice each other's requests
/// only by the speed of the endpoints.
fn daemons() {
    for (count, places) in [(8, 10), (8, 2), (40, 2)] {
        for load in [1.0, 2.0, 5.0] {
            let streams = generate::mixed(load * places as f64 / 2.0, 60.0);
            let trace = generate::trace(&streams, 29);
            println!(
                "{count} daemons before {places} endpoints, load {load}x ({} arrivals)",
                trace.len()
            );
            for (name, policy) in [("plain", Policy::plain()), ("all", Policy::default())] {
                let mut scene = scene(policy, Instant::now());
                scene.daemons = count;
                scene.endpoints = endpoints(places);
                row(name, &driver::replay(&scene, &trace), 60.0);
            }
        }
    }
}

/// Callers that retry up to three times at the time given in the rejection.
fn retries() {
    let traces = [
        ("burst", generate::burst(), 22),
        ("saturation 2x", generate::mixed(2.0, 60.0), 28),
    ];
    for (title, streams, seed) in traces {
        let trace = generate::trace(&streams, seed);
        println!("{title}, callers retry when told ({} callers)", trace.len());
        for (name, policy) in [("plain", Policy::plain()), ("all", Policy::default())] {
            let mut scene = scene(policy, Instant::now());
            scene.max_retries = 3;
            let ended = driver::replay(&scene, &trace);
            let last: Vec<Ended> = ended.iter().filter(|e| !e.retried).cloned().collect();
            println!(
                "  {name:<6} finally answered in time {:5.1}%, arrivals per caller {:.2}",
                100.0 * share(&last, Ended::good),
                ended.len() as f64 / trace.len() as f64
            );
        }
    }
}

/// Outcomes per customer, side by side.
fn fairness(title: &str, trace: &[Arrival], customers: &[&str], change: impl Fn(&mut Scene)) {
    println!("{title} ({} arrivals)", trace.len());
    let origin = Instant::now();
    for (name, policy) in policies() {
        let mut scene = scene(policy, origin);
        change(&mut scene);
        let ended = driver::replay(&scene, trace);
        print!("  {name:<12}");
        for customer in customers {
            let some = of(&ended, customer);
            print!(
                "  {customer} in time {:5.1}% p50 {:5.2} p95 {:5.2}",
                100.0 * share(&some, Ended::good),
                quantile(&some, 0.5),
                quantile(&some, 0.95)
            );
        }
        println!();
    }
}

/// One of four endpoints runs at a tenth of its speed from the 10th to the 30th second.
fn slow(scene: &mut Scene) {
    scene.endpoints = endpoints(4);
    scene.endpoints[0].1.slow = Some(Slow {
        from: scene.origin + Duration::from_secs(10),
        until: scene.origin + Duration::from_secs(30),
        factor: 0.1,
    });
}

/// Some of four endpoints fail a share of their requests.
fn failing(scene: &mut Scene, count: usize, share: f64) {
    scene.endpoints = endpoints(4);
    for (_, behaviour) in &mut scene.endpoints[..count] {
        behaviour.failure_rate = share;
    }
}

/// Cost of updating claims, up to the size of a large fleet.
fn claims() {
    println!("updating the claims of 20 active customers, microseconds (median of 200)");
    for daemons in [8, 40, 400] {
        let origin = Instant::now();
        let mut table = ShareTable::default();
        let customers: Vec<CustomerId> = (0..20).map(|n| format!("c{n}").into()).collect();
        table.set_expected(daemons);
        for incarnation in 1..daemons as u64 {
            for customer in &customers {
                let row = ShareRow {
                    customer: customer.clone(),
                    incarnation,
                    demand: LIMIT.times(0.01),
                    claim: LIMIT.times(0.5 / daemons as f64),
                };
                table.apply_row(origin, row);
            }
        }
        let mut times: Vec<f64> = (0..200)
            .map(|_| {
                let begin = Instant::now();
                for customer in &customers {
                    table.record_request(origin, customer, 100.0);
                    table.update_claim(origin, customer, LIMIT, 1.0);
                }
                begin.elapsed().as_secs_f64() * 1e6
            })
            .collect();
        times.sort_by(f64::total_cmp);
        println!("  {daemons:>3} daemons {:6.0}", times[times.len() / 2]);
    }
}

/// Number of endpoints of the daemon whose tick is measured.
const ENDPOINTS: usize = 230;
const LIMIT: Amounts = Amounts {
    requests: 100.0,
    tokens: 10_000.0,
    running: 40.0,
};

/// Eight daemons share a limit of 100 requests per second. Prints how much of a skewed demand
/// of 80 requests per second fits into their shares, compared with an even split.
fn shares() {
    println!("shares of 100 requests/s among 8 daemons, 80/s demanded");
    for hot in [8, 4, 2, 1] {
        let mut fleet = Fleet::new(8, LIMIT, MAX_TRANSIT, 31);
        let ask = |at: usize| if at < hot { 80.0 / hot as f64 } else { 0.0 };
        let asks: Vec<f64> = (0..8).map(ask).collect();
        for _ in 0..120 {
            fleet.round(&asks);
        }
        let given: f64 = (0..8)
            .map(|at| asks[at].min(fleet.share(at).requests))
            .sum();
        let even: f64 = asks.iter().map(|ask| ask.min(100.0 / 8.0)).sum();
        println!("  at {hot} daemons: even split {even:4.0}/s, shares by demand {given:4.0}/s");
    }
    let mut fleet = Fleet::new(8, LIMIT, MAX_TRANSIT, 32);
    let mut asks = [0.0; 8];
    asks[0] = 80.0;
    for _ in 0..120 {
        fleet.round(&asks);
    }
    asks.swap(0, 1);
    let begin = fleet.now;
    while fleet.share(1).requests < 60.0 {
        fleet.round(&asks);
    }
    let elapsed = (fleet.now - begin).as_secs_f64();
    println!("  demand moves to another daemon: 60/s there after {elapsed:.1} s");
}

/// Usage above the limit, while connected and while some daemons are partitioned for a minute,
/// compared with the whole plan at each daemon.
fn overshoot() {
    println!("peak use of 8 daemons as a multiple of the limit (whole plan at each: 8.00)");
    for cut in [0, 1, 2, 3, 4] {
        let mut most = [0.0_f64; 3];
        let mut held = 0.0_f64;
        for seed in 0..20 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut fleet = Fleet::new(8, LIMIT, MAX_TRANSIT, seed);
            let sides: Vec<usize> = (0..8).map(|at| usize::from(at < cut)).collect();
            for (phase, most) in most.iter_mut().enumerate() {
                let asks: Vec<f64> = (0..8).map(|_| 40.0 * rng.f64()).collect();
                match phase {
                    0 => {}
                    1 => {
                        held = held.max((0..cut).map(|at| fleet.share(at).requests).sum());
                        fleet.cut(&sides);
                    }
                    _ => fleet.cut(&[0; 8]),
                }
                for _ in 0..240 {
                    fleet.round(&asks);
                    *most = most.max(fleet.sum(None).requests / 100.0);
                }
            }
        }
        let bound = 1.0 + held / 100.0;
        let [before, during, after] = most;
        println!(
            "  {cut} partitioned: before {before:.2}, during {during:.2} (bound {bound:.2}), \
             after {after:.2}"
        );
    }
}

/// A world with endpoints at their limit and waiting requests of 50 customers.
fn full(policy: Policy, origin: Instant, waiting: usize) -> (World, Vec<(u128, u128)>) {
    let scene = Scene {
        endpoints: endpoints(ENDPOINTS),
        running: 4,
        ..scene(policy, origin)
    };
    let customers: Vec<String> = (0..50).map(|n| format!("c{n}")).collect();
    let mut world = driver::world(&scene, &customers);
    let inputs = (0..waiting + ENDPOINTS * 4).map(|n| arrival(origin, n));
    let commands = world.tick(origin, inputs.collect());
    let mut sent = Vec::new();
    for command in commands {
        if let Command::Send(send) = command {
            sent.push((send.attempt, send.request));
        }
    }
    (world, sent)
}

fn arrival(origin: Instant, number: usize) -> Input {
    let arrival = Arrival {
        at: 0,
        customer: format!("c{}", number % 50),
        class: "chat".into(),
        prompt: 300,
        answer: 200,
        takes: 500,
        within: 60_000 + (number % 977) as u64,
        repeatable: true,
    };
    Input::Arrived(driver::order(origin, number, &arrival))
}

/// Median time of a tick, in microseconds.
fn tick(world: &mut World, now: Instant, inputs: impl Iterator<Item = Vec<Input>>) -> f64 {
    let mut times: Vec<f64> = inputs
        .map(|inputs| {
            let begin = Instant::now();
            world.tick(now, inputs);
            begin.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Cost of a tick with endpoints at their limit and waiting requests.
fn cost() {
    println!("a tick with {ENDPOINTS} full endpoints, microseconds (median of 200)");
    for waiting in [100, 5_000] {
        for (name, policy) in [("plain", Policy::plain()), ("all", Policy::default())] {
            let origin = Instant::now();
            let (mut world, sent) = full(policy, origin, waiting);
            let now = origin + Duration::from_secs(1);
            let idle = tick(&mut world, now, (0..200).map(|_| Vec::new()));
            let arrivals = (0..200).map(|n| vec![arrival(origin, 100_000 + n)]);
            let arrive = tick(&mut world, now, arrivals);
            let ends = sent.iter().take(200).map(|(attempt, request)| {
                vec![Input::Ended {
                    attempt: *attempt,
                    request: *request,
                    outcome: Outcome::Complete { status: 200 },
                }]
            });
            let end = tick(&mut world, now, ends);
            println!(
                "  {waiting:>5} waiting, {name:<6} nothing {idle:7.0}, one arrival {arrive:7.0}, \
                 one end {end:7.0}"
            );
        }
    }
}

fn write() {
    for (name, trace) in generate::committed() {
        let line = |a| serde_json::to_string(a).expect("an arrival serializes to JSON") + "\n";
        let text: String = trace.iter().map(line).collect();
        let path = format!("{}/tests/traces/{name}.jsonl", env!("CARGO_MANIFEST_DIR"));
        std::fs::write(path, text).expect("the directory of traces exists");
    }
}

fn main() {
    if std::env::args().any(|arg| arg == "write") {
        write();
        return;
    }
    println!("p50/p95/p99 in seconds, of those answered in time");
    saturation();
    let burst = generate::trace(&generate::burst(), 22);
    compare("burst", &burst, 30.0, |_| {});
    let long = generate::trace(&generate::long(), 23);
    compare("long requests among short ones", &long, 40.0, |_| {});
    let mixed = generate::trace(&generate::mixed(1.4, 40.0), 25);
    compare("one of four endpoints slow", &mixed, 40.0, slow);
    let mixed = generate::trace(&generate::mixed(1.4, 40.0), 27);
    compare(
        "two of four endpoints fail most requests",
        &mixed,
        40.0,
        |scene| {
            failing(scene, 2, 0.8);
        },
    );
    compare(
        "all endpoints fail half of the requests",
        &mixed,
        40.0,
        |scene| {
            failing(scene, 4, 0.5);
        },
    );
    let mixed = generate::trace(&generate::mixed(1.5, 60.0), 28);
    compare(
        "endpoints fail above 14 concurrent requests",
        &mixed,
        60.0,
        |scene| {
            for (_, behaviour) in &mut scene.endpoints {
                behaviour.max_jobs = Some(14);
            }
        },
    );
    daemons();
    retries();
    cost();
    claims();
    shares();
    overshoot();
    let flood = generate::trace(&generate::flood(), 24);
    fairness("flood", &flood, &["flood", "quiet"], |_| {});
    let mixed = generate::trace(&generate::mixed(2.0, 60.0), 26);
    let ranked = |scene: &mut Scene| {
        scene.priorities = vec![("desk", 2), ("guests", 1), ("planners", 0)];
    };
    let customers = ["desk", "guests", "planners"];
    fairness("priorities at 2x", &mixed, &customers, ranked);
}
