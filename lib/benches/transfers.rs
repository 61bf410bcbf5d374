//! How long a configuration takes to reach all daemons, on virtual time.
//!
//! A model of transfers, not of the daemons' code: each link is shared evenly by the transfers over it,
//! a daemon serves four others at a time and refers the rest to one that it has served, watchers
//! get the configuration from the first watcher that has it, and members from the watchers of their
//! zone. Looking for a source and following a reference each take up to 50 ms, as in the daemons.
//!
//! `cargo bench -p poplarvale-lib --bench transfers`

use fastrand::Rng;

/// Length of a step, in seconds.
const STEP_S: f64 = 0.001;
/// Most transfers that a daemon serves at the same time.
const SLOTS: usize = 4;
/// Longest time until a daemon looks for a source again, in seconds.
const SEARCH_S: f64 = 0.05;
/// Time in which daemons that start find out who watches, in seconds.
const DISCOVERY_S: f64 = 0.4;
/// Bits in a byte of a link's speed, and in a megabit.
const BITS: f64 = 8.0;
const MEGABIT: f64 = 1_000_000.0;

/// A deployment: daemons, zones, and the links of watchers and of all others, in Mbit/s.
struct Fleet {
    daemons: usize,
    zones: usize,
    watcher_link: f64,
    member_link: f64,
}

/// Routes, and the bytes of the value in the store as sent, of a snapshot and of an update.
struct Sizes {
    routes: u32,
    store: f64,
    snapshot: f64,
    update: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// Waits until a moment to look for a source.
    Searching(f64),
    /// Gets so many more bytes from a daemon, or from the store.
    Receiving(f64, Option<usize>),
    Done(f64),
}

/// Times in seconds at which each daemon has the configuration.
fn spread(fleet: &Fleet, sizes: &Sizes, is_start: bool, random: &mut Rng) -> Vec<f64> {
    let link = |at: usize| {
        let link = if at < fleet.zones * 2 {
            fleet.watcher_link
        } else {
            fleet.member_link
        };
        link * MEGABIT / BITS
    };
    let size = if is_start {
        sizes.snapshot
    } else {
        sizes.update
    };
    let mut phases: Vec<Phase> = (0..fleet.daemons)
        .map(|at| match at {
            // All watchers read the store at a start, else the first one is ahead of the others.
            _ if at < fleet.zones * 2 && (is_start || at == 0) => {
                Phase::Receiving(sizes.store, None)
            }
            _ => Phase::Searching(random.f64() * SEARCH_S),
        })
        .collect();
    let mut now = if is_start { DISCOVERY_S } else { 0.0 };
    let is_watcher = |at: usize| at < fleet.zones * 2;
    let is_done = |phase: &Phase| matches!(phase, Phase::Done(_));
    while !phases.iter().all(is_done) {
        now += STEP_S;
        let mut active = vec![0_usize; fleet.daemons];
        for phase in &phases {
            if let Phase::Receiving(_, Some(source)) = phase {
                active[*source] += 1;
            }
        }
        for at in 0..fleet.daemons {
            match phases[at] {
                Phase::Searching(until) if now >= until => {
                    let sources: Vec<usize> = (0..fleet.daemons)
                        .filter(|source| is_done(&phases[*source]))
                        .filter(|source| is_watcher(at) || source % fleet.zones == at % fleet.zones)
                        .collect();
                    let watchers = sources.iter().copied().filter(|source| is_watcher(*source));
                    let watchers: Vec<usize> = watchers.collect();
                    let from = if watchers.is_empty() {
                        &sources
                    } else {
                        &watchers
                    };
                    let free = |source: &usize| active[*source] < SLOTS;
                    // A busy daemon names one that it has served.
                    let chosen = from.iter().copied().find(free);
                    let chosen = chosen.or_else(|| {
                        let named = random.choice(&sources).copied();
                        named.filter(free)
                    });
                    phases[at] = match chosen {
                        Some(source) => {
                            active[source] += 1;
                            Phase::Receiving(size, Some(source))
                        }
                        None => Phase::Searching(now + random.f64() * SEARCH_S),
                    };
                }
                Phase::Receiving(left, source) => {
                    let up =
                        source.map_or(f64::INFINITY, |source| link(source) / active[source] as f64);
                    let left = left - up.min(link(at)) * STEP_S;
                    phases[at] = if left <= 0.0 {
                        Phase::Done(now)
                    } else {
                        Phase::Receiving(left, source)
                    };
                }
                Phase::Searching(_) | Phase::Done(_) => {}
            }
        }
    }
    let time = |phase: &Phase| match phase {
        Phase::Done(at) => *at,
        Phase::Searching(_) | Phase::Receiving(..) => f64::INFINITY,
    };
    phases.iter().map(time).collect()
}

fn main() {
    let fleets = [(82, 4), (399, 6), (986, 6)];
    // As `test_relay_config` measures them; the store sends values in base64.
    let sizes = [
        (1000, 220e3, 9.8e3),
        (4000, 880e3, 38.8e3),
        (16_000, 3526e3, 154.5e3),
    ];
    let links = [(200.0, 10.0), (20.0, 20.0), (10.0, 10.0)];
    println!("daemons | links | routes | one route | 1,400 routes | start of all: last, after");
    for (daemons, zones) in fleets {
        for (watcher_link, member_link) in links {
            let fleet = Fleet {
                daemons,
                zones,
                watcher_link,
                member_link,
            };
            for (routes, value, snapshot) in sizes {
                let sizes = |update| Sizes {
                    routes,
                    store: value * 4.0 / 3.0,
                    snapshot,
                    update,
                };
                let mut random = Rng::with_seed(u64::from(routes));
                let mut last = |update: f64, is_start| {
                    let times = spread(&fleet, &sizes(update), is_start, &mut random);
                    times.into_iter().fold(0.0, f64::max)
                };
                println!(
                    "{daemons} | {watcher_link}, {member_link} | {} | {:.2} s | {:.2} s | {:.2} s",
                    sizes(0.0).routes,
                    last(148.0, false),
                    last(19.3e3, false),
                    last(0.0, true),
                );
            }
        }
    }
}
