//! Benchmarks a routing decision and a tick, and how both scale with the number of
//! endpoints and of requests in progress.

use std::hint::black_box;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use criterion::{BenchmarkId, Criterion};
use poplarvale_lib::moves::Filter;
use poplarvale_lib::relay;
use poplarvale_lib::relay::endpoint_table::EndpointTable;
use poplarvale_lib::relay::listing::{ColdTime, Listing};
use poplarvale_lib::relay::sharers::Sharers;
use poplarvale_lib::relay::slow_start::SlowStart;
use poplarvale_lib::routing::{CacheEvent, Criteria, Policy, PrefixCache, pick};
use poplarvale_lib::{
    Accepted, Command, Customer, Input, ListedEndpoint, Lists, Order, Outcome, Plan, Send, Service,
    ServiceKind, Setup, Waiting, World,
};

const ENDPOINTS: [usize; 3] = [10, 230, 4_400];
const REQUESTS: [usize; 2] = [100, 5_000];
/// Number of different conversations in the caches.
const CONVERSATIONS: u64 = 2_000;
/// Number of blocks in a prompt: 3,072 tokens.
const BLOCKS: usize = 48;

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(30)
        .configure_from_args();
    decisions(&mut criterion);
    ticks(&mut criterion);
    reclaims(&mut criterion);
    caches(&mut criterion);
    relay(&mut criterion);
    criterion.final_summary();
}

/// One decision of the relay over 140 engines, of which none or a quarter is cold.
fn relay(criterion: &mut Criterion) {
    const ENGINES: u32 = 140;
    let mut group = criterion.benchmark_group("relay decision");
    let service = relay::catalog::Service {
        name: "pool".into(),
        engine: Some(relay::catalog::Engine {
            slots: 12,
            kv_tokens: 400_000,
            event_tokens: 9,
        }),
        ..relay::catalog::Service::default()
    };
    let prompt = relay::request::Prompt {
        input: 12_000,
        output: 400,
        guess: None,
        parts: vec![(1, 500), (2, 4_900), (3, 6_600)],
    };
    for cold in [0, ENGINES / 4] {
        let now = Instant::now();
        let table = engines(ENGINES, cold, now);
        let criteria = relay::selection::Criteria {
            service: &service,
            prompt: Some(&prompt),
            target: Duration::from_secs(1),
            zone: "z0",
            avoid: &[],
            versions: &relay::rollout::Versions::Any,
            homes: None,
            limits: None,
            sound_since: None,
            seed: 1,
            now,
        };
        group.bench_function(format!("{cold} of {ENGINES} cold"), |b| {
            b.iter(|| black_box(relay::selection::choose(&table, &criteria)));
        });
    }
    group.finish();
}

/// A table of engines, of which the first are cold.
fn engines(count: u32, cold: u32, now: Instant) -> EndpointTable {
    let mut table = EndpointTable::default();
    let time = Duration::from_secs(3);
    let tolerance = relay::quota::Tolerance {
        share: 0.5,
        units: 5.0,
    };
    table.set_slow_starts(vec![("pool".into(), SlowStart::new(time, 6.9, tolerance))]);
    table.set_daemons(Sharers {
        is_isolated: false,
        me: [10, 0, 0, 0].into(),
        others: (1..82).map(|host| [10, 0, 0, host].into()).collect(),
    });
    for number in 0..count {
        table.put(Listing {
            id: format_compact!("i-{number:03}"),
            service: "pool".into(),
            address: ([10, 128, 0, number as u8], 8080).into(),
            zone: format_compact!("z{}", number % 4),
            version: "v1".into(),
            slots: 12,
            leaving: false,
            spot: false,
            born: Some(1),
            count: 1,
            cold: ColdTime::after(time, now).filter(|_| number < cold),
        });
    }
    table
}

/// One decision by the cost policy over all endpoints, with filled caches.
fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for endpoints in ENDPOINTS {
        let now = Instant::now();
        let (mut world, _) = filled(now, endpoints, 100, Policy::Cost);
        fill_caches(&mut world, now);
        let waiting: Vec<Waiting> = (0..64)
            .map(|n| Waiting::new(order(n, n as u64, now)))
            .collect();
        let mut rng = fastrand::Rng::with_seed(1);
        let mut at = 0;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            b.iter(|| {
                at = (at + 1) % waiting.len();
                let criteria = Criteria {
                    waiting: &waiting[at],
                    max_running: 10_000,
                    now,
                    filter: &Filter::default(),
                };
                black_box(pick(&world.routing, &world.endpoints, &criteria, &mut rng))
            });
        });
    }
    group.finish();
}

/// One tick in which a request arrives and another ends.
fn ticks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    for policy in [Policy::RoundRobin, Policy::LeastLoaded, Policy::Cost] {
        for endpoints in ENDPOINTS {
            for requests in REQUESTS {
                let id = format!("{policy:?}/{endpoints}/{requests}");
                group.bench_function(id, |b| {
                    let now = Instant::now();
                    let (mut world, mut sent) = filled(now, endpoints, requests, policy);
                    let mut next = requests as u128;
                    b.iter(|| {
                        let done = sent.remove(0);
                        next += 1;
                        let inputs = vec![
                            Input::Ended {
                                attempt: done.attempt,
                                request: done.request,
                                outcome: Outcome::Complete { status: 200 },
                            },
                            Input::Arrived(order(next, next as u64 % CONVERSATIONS, now)),
                        ];
                        sent.extend(sends(world.tick(now, inputs)));
                    });
                });
            }
        }
    }
    group.finish();
}

/// The tick in which a quarter of 230 endpoints receives a notice to leave, and the next
/// one, in which the streams that stay are checked again.
fn reclaims(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("wave");
    for requests in REQUESTS {
        for (name, seconds) in [("all leave", 3), ("all stay", 60)] {
            let start = Instant::now();
            let (mut world, _) = filled(start, 230, requests, Policy::Cost);
            fill_caches(&mut world, start);
            let until = start + Duration::from_secs(seconds);
            let notices = |world: &World| -> Vec<Input> {
                let ids = world.endpoints.iter().step_by(4).map(|e| e.id.clone());
                ids.map(|endpoint| Input::Leaving { endpoint, until })
                    .collect()
            };
            let inputs = notices(&world);
            let begin = Instant::now();
            let moved = sends(world.tick(start, inputs)).count();
            let first = begin.elapsed();
            println!("wave/{name}/{requests}: {moved} streams moved, first tick {first:?}");
            group.bench_function(format!("next tick, {name}/{requests}"), |b| {
                b.iter(|| black_box(world.tick(start, Vec::new())));
            });
        }
    }
    group.finish();
}

/// Cost of updating a full cache view for a sent request and for a cache event.
fn caches(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("cache");
    let mut cache = PrefixCache::default();
    (0..100).for_each(|conversation| cache.record_prompt(&blocks(conversation)));
    let prompts: Vec<Vec<u64>> = (100..1_000).map(blocks).collect();
    let mut at = 0;
    group.bench_function("sent", |b| {
        b.iter(|| {
            at = (at + 1) % prompts.len();
            cache.record_prompt(&prompts[at]);
        });
    });
    let mut sequence = 0;
    group.bench_function("event", |b| {
        b.iter(|| {
            at = (at + 1) % prompts.len();
            sequence += 1;
            let removed = (at + prompts.len() - 40) % prompts.len();
            cache.apply(&CacheEvent {
                endpoint: "e".into(),
                epoch: 1,
                sequence,
                added: prompts[at].clone(),
                removed: prompts[removed][12..].to_vec(),
            });
        });
    });
    group.finish();
}

fn fill_caches(world: &mut World, now: Instant) {
    let ids: Vec<_> = world.endpoints.iter().map(|e| e.id.clone()).collect();
    for (at, id) in ids.iter().enumerate() {
        for turn in 0..60 {
            let blocks = blocks((at as u64 * 7 + turn) % CONVERSATIONS);
            world.routing.record_prompt(now, &blocks, id, 0);
        }
    }
}

fn sends(commands: Vec<Command>) -> impl Iterator<Item = Send> {
    commands.into_iter().filter_map(|command| match command {
        Command::Send(send) => Some(send),
        _ => None,
    })
}

fn filled(now: Instant, endpoints: usize, requests: usize, policy: Policy) -> (World, Vec<Send>) {
    let mut world = World::new(setup(), vec![service()], 1);
    world.routing.policy = policy;
    let mut inputs = vec![Input::Lists(lists())];
    inputs.extend((0..endpoints).map(|at| Input::Endpoint(known(at))));
    inputs.extend(
        (0..requests).map(|at| Input::Arrived(order(at as u128, at as u64 % CONVERSATIONS, now))),
    );
    let sent = sends(world.tick(now, inputs)).collect();
    (world, sent)
}

fn blocks(conversation: u64) -> Vec<u64> {
    let mut common = fastrand::Rng::with_seed(conversation % 8);
    let mut own = fastrand::Rng::with_seed(conversation + 1_000);
    let shared = std::iter::repeat_with(|| common.u64(..)).take(12);
    let rest = std::iter::repeat_with(|| own.u64(..)).take(BLOCKS - 12);
    shared.chain(rest).collect()
}

fn order(id: u128, conversation: u64, now: Instant) -> Order {
    Order {
        id,
        customer: "guests".into(),
        service: "pool".into(),
        route: "small".into(),
        model: Some("small".into()),
        idempotent: true,
        blocks: blocks(conversation),
        prompt: BLOCKS as u32 * 64,
        answer: 150,
        arrived: now,
        deadline: now + Duration::from_mins(5),
    }
}

fn known(at: usize) -> ListedEndpoint {
    ListedEndpoint {
        id: format_compact!("endpoint-{at:05}"),
        service: "pool".into(),
        zone: format_compact!("z{}", at % 4),
        address: ([127, 0, 0, 1], 9000).into(),
        version: "v1".into(),
    }
}

fn setup() -> Setup {
    Setup {
        incarnation: 1,
        zone: "z0".into(),
        region: "r".into(),
        waiting: 100_000,
        running: 10_000,
    }
}

fn service() -> Service {
    Service {
        id: "pool".into(),
        kind: ServiceKind::Model,
        models: vec!["small".into()],
        routes: Vec::new(),
        deadline_ms: 60_000,
        version: None,
        endpoints: Vec::new(),
    }
}

fn lists() -> Accepted {
    let customer = Customer {
        id: "guests".into(),
        plan: "all".into(),
        digests: Vec::new(),
    };
    let plan = Plan {
        id: "all".into(),
        priority: 1,
        requests: 1e9,
        tokens: 1e9,
        running: u32::MAX,
        services: Vec::new(),
        models: vec!["small".into()],
    };
    Accepted {
        revision: 1,
        lists: Lists {
            customers: vec![customer],
            plans: vec![plan],
        },
    }
}
