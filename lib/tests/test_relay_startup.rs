//! Starts of whole fleets: who reads the store, how much, and when each daemon has what it needs.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use poplarvale_lib::relay::startup::{Capacity, Fleet, Heard, Startup, View};

/// Links of a small and of a large host, in bytes a second.
const SMALL_LINK: f64 = 1_250_000.0;
const LARGE_LINK: f64 = 25_000_000.0;
/// Reads a second that the store answers.
const READS: f64 = 6000.0;
/// When a daemon has read the checkpoint.
const CHECKPOINT_TIME: Duration = Duration::from_millis(10);
/// When a daemon reads the store that waits until it knows the others.
const DISCOVERY_DELAY: Duration = Duration::from_millis(400);

const UNFED: View = View {
    heard: Heard::Nothing,
    is_watcher: false,
};
/// A daemon whose watchers started with it and have nothing yet.
const MEMBER: View = View {
    heard: Heard::Watcher,
    is_watcher: false,
};
const WATCHER: View = View {
    heard: Heard::Nothing,
    is_watcher: true,
};

fn fleet(daemons: u32, zones: u32, endpoints: u32, watcher_link: f64) -> Fleet {
    Fleet {
        daemons,
        zones,
        endpoints,
        entries: 100,
        watcher_link,
    }
}

fn startup(number: u32, fleet: Fleet, started: Instant) -> Startup {
    let capacity = Capacity {
        reads: READS,
        link: SMALL_LINK,
    };
    let address = Ipv4Addr::from(0x0a01_0000 + number);
    let mut startup = Startup::new(started, capacity, address);
    startup.decide(fleet);
    startup
}

/// How long after its start a daemon reads the store; `None` if it does not.
fn delay(startup: &Startup, view: View, started: Instant) -> Option<Duration> {
    let from = startup.read_from(view)?;
    Some(from.duration_since(started))
}

/// What a start of all daemons at the same moment came to.
struct Start {
    /// Calls that read the configuration or the registry.
    calls: u32,
    /// Most bytes over one link but the store's.
    link_bytes: f64,
    /// Bytes over the link of the store.
    store_bytes: f64,
    /// When the last daemon had all.
    ready: Duration,
}

/// Replays a start of all daemons, two watchers in each zone, whose store answers in order.
fn replay(fleet: Fleet) -> Start {
    let started = Instant::now();
    let members = f64::from(fleet.daemons) / f64::from(fleet.zones);
    let zone_bytes = fleet.store_bytes() + (members / 2.0) * fleet.peer_bytes();
    let mut all = Start {
        calls: 0,
        link_bytes: zone_bytes,
        store_bytes: 0.0,
        ready: Duration::ZERO,
    };
    let each = f64::from(fleet.calls()).max(fleet.store_bytes() / 16_384.0) / READS;
    let mut store_free = CHECKPOINT_TIME;
    let mut read = |from: Duration, link: f64| {
        all.calls += fleet.calls();
        all.store_bytes += fleet.store_bytes();
        store_free = store_free.max(from) + Duration::from_secs_f64(each);
        store_free + Duration::from_secs_f64(fleet.store_bytes() / link)
    };
    let watchers = fleet.daemons.min(2 * fleet.zones);
    let mut known = Duration::ZERO;
    for number in 0..watchers {
        let from = delay(&startup(number, fleet, started), WATCHER, started);
        known = known.max(read(from.expect("a watcher reads"), fleet.watcher_link));
    }
    let handed = Duration::from_secs_f64((zone_bytes - fleet.store_bytes()) / fleet.watcher_link);
    let mut ready = known;
    for number in watchers..fleet.daemons {
        let startup = startup(number, fleet, started);
        let own = Duration::from_secs_f64(fleet.peer_bytes() / SMALL_LINK);
        let received = known + handed + own;
        let from = delay(&startup, MEMBER, started);
        let direct = from.filter(|from| *from < received);
        ready = ready.max(match direct {
            Some(from) => read(from, SMALL_LINK).min(received.max(from)),
            None => received,
        });
    }
    all.ready = ready;
    all
}

/// Calls by which all daemons read everything.
fn calls_if_each_reads(fleet: Fleet) -> u32 {
    fleet.daemons * fleet.calls()
}

/// All daemons of a small fleet start together. If each waited for watchers that nobody knows,
/// every caller would be rejected for half a second.
#[test]
fn a_fleet_of_82_daemons_has_all_within_a_tenth_of_a_second() {
    let fleet = fleet(82, 4, 250, LARGE_LINK);
    let start = replay(fleet);
    assert!(
        start.ready <= Duration::from_millis(100),
        "{:?}",
        start.ready
    );
    assert!(
        start.calls <= calls_if_each_reads(fleet) / 4,
        "{} calls",
        start.calls
    );
}

/// The same where no host has a fast link: handing everything on takes longer than reading the store.
#[test]
fn where_the_watchers_links_are_slow_each_daemon_reads_the_store() {
    let fleet = fleet(66, 4, 250, SMALL_LINK);
    let started = Instant::now();
    let from = delay(&startup(9, fleet, started), UNFED, started);
    assert_eq!(from, Some(Duration::ZERO));
    let start = replay(fleet);
    assert!(
        start.ready <= Duration::from_millis(400),
        "{:?}",
        start.ready
    );
    assert!(
        start.calls <= calls_if_each_reads(fleet),
        "{} calls",
        start.calls
    );
}

/// Hundreds of daemons read the registry of thousands of endpoints at once, and the store answers none
/// of them in time.
#[test]
fn the_daemons_of_a_large_fleet_leave_the_store_to_the_watchers() {
    for (fleet, limit) in [
        (fleet(300, 6, 900, LARGE_LINK), Duration::from_secs(2)),
        (fleet(300, 6, 3000, LARGE_LINK), Duration::from_secs(2)),
        (fleet(1000, 19, 3000, LARGE_LINK), Duration::from_secs(2)),
    ] {
        let start = replay(fleet);
        assert!(start.ready <= limit, "{fleet:?}: {:?}", start.ready);
        assert!(start.calls <= 2 * fleet.zones * fleet.calls());
        let each_reads = f64::from(fleet.daemons) * fleet.store_bytes();
        assert!(start.store_bytes <= each_reads / 10.0);
        assert!(start.link_bytes <= each_reads / 10.0);
    }
}

/// A daemon without others, and one that starts beside others that run, must not wait longer than if they knew nothing.
#[test]
fn a_daemon_that_starts_alone_reads_no_later_than_before() {
    let started = Instant::now();
    for link in [SMALL_LINK, LARGE_LINK] {
        for size in [1, 66, 300, 1000] {
            let startup = startup(5, fleet(size, 4, 250, link), started);
            let alone = View {
                heard: Heard::Alone,
                is_watcher: true,
            };
            assert_eq!(delay(&startup, alone, started), Some(Duration::ZERO));
            let received = View {
                heard: Heard::Source,
                is_watcher: true,
            };
            let from = delay(&startup, received, started).expect("a watcher reads");
            assert!(from <= DISCOVERY_DELAY, "{from:?}");
        }
    }
}

/// The watchers of a zone are gone after a loss of power. The others must not wait for them for ever,
/// nor all read the store at once.
#[test]
fn daemons_of_a_large_fleet_without_watchers_read_one_after_the_other() {
    let started = Instant::now();
    let fleet = fleet(1000, 19, 3000, LARGE_LINK);
    let from = |number| delay(&startup(number, fleet, started), UNFED, started);
    let mut times: Vec<Duration> = (0..1000).filter_map(from).collect();
    assert_eq!(times.len(), 1000);
    times.sort_unstable();
    assert!(times[0] >= DISCOVERY_DELAY);
    let busiest = times
        .windows(100)
        .map(|row| row[99].saturating_sub(row[0]))
        .min();
    assert!(busiest.is_some_and(|span| span >= Duration::from_millis(250)));
    assert_eq!(delay(&startup(7, fleet, started), MEMBER, started), None);
}

/// The store answers only some daemons. One that it rejects must not repeat its reads at once, but rely on
/// those that it answers.
#[test]
fn a_daemon_that_the_store_rejects_relies_on_the_others() {
    let started = Instant::now();
    let mut startup = startup(5, fleet(66, 4, 250, SMALL_LINK), started);
    startup.record_failure();
    let from = delay(&startup, UNFED, started);
    assert!(from.is_some_and(|from| from >= DISCOVERY_DELAY));
    assert_eq!(delay(&startup, MEMBER, started), None);
    assert_eq!(startup.hold_until(started), None, "no request waits");
}

/// Nothing is known of the fleet, as there is no checkpoint: daemons must not all read at once.
#[test]
fn without_a_checkpoint_only_the_watchers_read() {
    let started = Instant::now();
    let capacity = Capacity {
        reads: READS,
        link: SMALL_LINK,
    };
    let startup = Startup::new(started, capacity, Ipv4Addr::LOCALHOST);
    assert_eq!(delay(&startup, UNFED, started), None);
    assert_eq!(delay(&startup, WATCHER, started), Some(DISCOVERY_DELAY));
}

/// A configuration of many thousand routes takes seconds over a slow link. If each daemon read it from the
/// store, the last would wait for all before it.
#[test]
fn a_long_configuration_is_read_by_the_watchers_only() {
    let started = Instant::now();
    let long = Fleet {
        entries: 16_000,
        ..fleet(66, 4, 250, SMALL_LINK)
    };
    let from = delay(&startup(9, long, started), UNFED, started);
    assert!(from.is_none_or(|from| from >= DISCOVERY_DELAY), "{from:?}");
}

/// Rates that the settings do not state must not let all daemons read at once.
#[test]
fn an_unknown_capacity_leaves_the_store_to_the_watchers() {
    let started = Instant::now();
    let mut startup = Startup::new(started, Capacity::default(), Ipv4Addr::LOCALHOST);
    startup.decide(fleet(66, 4, 250, 0.0));
    let from = delay(&startup, UNFED, started);
    assert!(from.is_some_and(|from| from >= DISCOVERY_DELAY), "{from:?}");
}

/// A request that arrives right after the start waits a little; one that cannot be served soon is
/// rejected at once.
#[test]
fn requests_wait_only_while_the_start_may_still_succeed() {
    let started = Instant::now();
    let startup = startup(5, fleet(66, 4, 250, LARGE_LINK), started);
    let held = startup.hold_until(started).expect("the request waits");
    assert!(held.duration_since(started) <= Duration::from_millis(100));
    assert_eq!(
        startup.hold_until(started + Duration::from_millis(250)),
        None
    );
}

/// Guards against a daemon that ends at its start as a checkpoint of an older build lacks the sizes.
#[test]
fn a_checkpoint_without_sizes_is_like_none() {
    let now = Instant::now();
    let capacities = [
        Capacity {
            reads: READS,
            link: SMALL_LINK,
        },
        Capacity {
            reads: 0.0,
            link: 0.0,
        },
    ];
    for capacity in capacities {
        for daemons in [0, 66, 1_000] {
            let mut startup = Startup::new(now, capacity, Ipv4Addr::LOCALHOST);
            startup.decide(Fleet {
                daemons,
                zones: 4,
                endpoints: 0,
                entries: 0,
                watcher_link: 0.0,
            });
            assert_eq!(delay(&startup, UNFED, now), None, "{daemons} daemons");
            assert!(delay(&startup, WATCHER, now).is_some());
        }
    }
}
