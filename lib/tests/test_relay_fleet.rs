//! Orders of endpoints while traffic swings and zones are reclaimed.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::catalog::{Engine, Scaling, Service};
use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::endpoint_table::{Endpoint, EndpointTable};
use poplarvale_lib::relay::engine::ServiceSpeed;
use poplarvale_lib::relay::fleet::{DesiredCount, Orders, endpoints_needed};
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::rollout::{Outcome, Progress};

const ZONES: [&str; 4] = ["espoo", "hanko", "kotka", "porkkala"];

fn service() -> Service {
    let price = |zone: &str, price| (zone.into(), price);
    Service {
        name: "pool".into(),
        health: "/health".into(),
        connections: None,
        engine: Some(Engine {
            slots: 64,
            kv_tokens: 600_000,
            event_tokens: 5,
        }),
        scaling: Some(Scaling {
            min: 1,
            max: 6,
            boot_time: Duration::from_secs(4),
            reclaimable_price: Some(0.18),
            zones: vec![
                price("espoo", 1.25),
                price("hanko", 1.0),
                price("kotka", 0.9),
                price("porkkala", 0.8),
            ],
        }),
        target: None,
        cold: None,
    }
}

fn table(on_demand: u32, reclaimable: u32) -> EndpointTable {
    let mut table = EndpointTable::default();
    for (zone, at) in ZONES.iter().zip(0_u32..) {
        for number in 0..on_demand + reclaimable {
            table.put(Listing {
                id: format!("{zone}-{number}").into(),
                service: "pool".into(),
                address: format!("10.0.{at}.{number}:1").parse().expect("an address"),
                zone: (*zone).into(),
                version: "v1".into(),
                slots: 64,
                leaving: false,
                spot: number >= on_demand,
                born: None,
                count: 1,
                cold: None,
            });
        }
    }
    table
}

/// The on-demand endpoints that the operators set up run, and no requests come yet. If all of
/// them were kept beside as many reclaimable ones, the same capacity would be paid for twice.
#[test]
fn some_on_demand_endpoints_are_given_up_for_reclaimable_ones_before_the_first_request() {
    let mut orders = Orders::default();
    let start = Instant::now();
    let none = Work::default();
    let at = |seconds| start + Duration::from_secs(seconds);
    run(&mut orders, &table(1, 0), none, start, 1);
    // The list is still being read, so nothing is given up.
    let counts = run(&mut orders, &table(3, 3), none, at(1), 1);
    assert!(counts.is_empty(), "{counts:?}");
    let counts = run(&mut orders, &table(3, 3), none, at(5), 1);
    assert_eq!(total(&counts, false), 8);
    assert!(counts.iter().all(|desired| !desired.spot));
    // Requests come, and the need is not known yet, so nothing more is given up.
    let counts = run(&mut orders, &table(2, 3), work(), at(6), 1);
    assert!(counts.is_empty(), "{counts:?}");
}

/// Operators run many times the endpoints that their teams could keep busy, as in a fleet of
/// thousands. If as many reclaimable ones were ordered before the first request, they would pay
/// for twice that, and thousands of endpoints would start and leave again.
#[test]
fn no_more_endpoints_are_ordered_than_teams_could_keep_busy() {
    let mut orders = Orders::default();
    orders.set_allowed(Some(work().read / 2.0));
    let start = Instant::now();
    let none = Work::default();
    let counts = run(&mut orders, &table(3, 0), none, start, 1);
    let reclaimable = total(&counts, true);
    assert!((2..=6).contains(&reclaimable), "{counts:?}");
    // They serve: the operators' endpoints beyond what the teams could use are given up.
    let later = start + Duration::from_secs(5);
    let counts = run(&mut orders, &table(3, 2), none, later, 1);
    assert!(total(&counts, false) <= 4, "{counts:?}");
    // Without a limit for every team nothing tells what they could use.
    let mut orders = Orders::default();
    let counts = run(&mut orders, &table(3, 0), none, start, 1);
    assert_eq!(total(&counts, true), 12);
}

/// The duty holder is killed in the middle of the day, and the next one does not know the need
/// yet. Reclaimable endpoints that it gave up would be missing for seconds.
#[test]
fn a_new_holder_gives_no_endpoint_up_before_it_knows_the_need() {
    let mut orders = Orders::default();
    let counts = run(&mut orders, &table(1, 3), work(), Instant::now(), 1);
    assert!(counts.is_empty(), "{counts:?}");
}

/// Work that keeps four engines fully busy.
fn work() -> Work {
    let one = endpoints_needed(
        Work {
            read: 10_000.0,
            write: 0.0,
        },
        64,
        &ServiceSpeed::default(),
    );
    Work {
        read: 10_000.0 * 4.0 / one,
        write: 0.0,
    }
}

fn run(
    orders: &mut Orders,
    table: &EndpointTable,
    work: Work,
    from: Instant,
    seconds: u64,
) -> Vec<DesiredCount> {
    let zones = ZONES.map(Into::into);
    let mut counts = Vec::new();
    for step in 0..seconds * 4 {
        let now = from + Duration::from_millis(step * 250);
        counts = orders.desired_counts(table, &service(), &zones, work, None, now);
    }
    counts
}

fn total(counts: &[DesiredCount], spot: bool) -> u32 {
    let kind = counts.iter().filter(|desired| desired.spot == spot);
    kind.map(|desired| desired.count).sum()
}

/// No requests come yet. The operators' endpoints stay, and reclaimable ones are ordered, as a
/// wave of reclaims may come right after the start.
#[test]
fn before_the_first_request_only_reclaimable_endpoints_are_ordered() {
    let now = Instant::now();
    let counts = run(
        &mut Orders::default(),
        &table(2, 0),
        Work::default(),
        now,
        1,
    );
    assert!(counts.iter().all(|desired| desired.spot));
    assert_eq!(total(&counts, true), 8);
}

/// All zones are reclaimed one after the other, and no endpoints are available meanwhile.
/// The remaining on-demand endpoints have all the work, so they are not given up.
#[test]
fn on_demand_endpoints_are_kept_while_reclaimable_ones_are_missing() {
    let now = Instant::now();
    let counts = run(&mut Orders::default(), &table(2, 0), work(), now, 20);
    let given_up = counts.iter().filter(|desired| !desired.spot);
    let left: u32 = 8 - given_up
        .map(|desired| 2 - desired.count.min(2))
        .sum::<u32>();
    assert!(left >= 6, "{left} of 8 would be left for the work of 4");
}

/// Every zone has reclaimable endpoints. On-demand ones that the work no longer needs cost five
/// times as much and are given up.
#[test]
fn on_demand_endpoints_are_given_up_once_there_are_reclaimable_ones() {
    let now = Instant::now();
    let counts = run(&mut Orders::default(), &table(2, 2), work(), now, 20);
    let on_demand: Vec<&DesiredCount> = counts.iter().filter(|desired| !desired.spot).collect();
    assert_eq!(on_demand.len(), 4);
    assert!(on_demand.iter().all(|desired| desired.count <= 1));
}

/// Traffic swings by a third. Following each swing would start and drain endpoints
/// all day, each of which starts with an empty cache.
#[test]
fn a_swing_of_the_traffic_changes_no_order() {
    let now = Instant::now();
    let mut orders = Orders::default();
    let table = table(1, 2);
    let before = run(&mut orders, &table, work(), now, 8);
    let lower = Work {
        read: work().read * 0.8,
        write: 0.0,
    };
    let after = run(&mut orders, &table, lower, now + Duration::from_secs(8), 20);
    assert_eq!(before, after);
}

/// Endpoints in each zone during a version move: on-demand ones of the new version, which the
/// platform starts, beside reclaimable ones of the old version.
fn moving_table(new: u32, old: u32) -> EndpointTable {
    let sample = table(1, 0).rows()[0].listing.clone();
    let mut table = table(0, old);
    for (zone, at) in ZONES.iter().zip(0_u32..) {
        for number in 0..new {
            let mut listing = sample.clone();
            listing.id = format!("new-{zone}-{number}").into();
            listing.address = format!("10.1.{at}.{number}:1").parse().expect("an address");
            (listing.zone, listing.version) = ((*zone).into(), "v2".into());
            listing.spot = false;
            table.put(listing);
        }
    }
    table
}

fn progress(outcome: Outcome) -> Progress {
    Progress {
        target: "v2".into(),
        outcome,
        ended: None,
    }
}

/// Orders of a service with a version move, after the need has been known for a while.
fn moving_counts(table: &EndpointTable, moving: Option<&Progress>) -> Vec<DesiredCount> {
    let mut orders = Orders::default();
    let now = Instant::now();
    run(&mut orders, table, work(), now, 20);
    let zones = ZONES.map(Into::into);
    let now = now + Duration::from_secs(20);
    orders.desired_counts(table, &service(), &zones, work(), moving, now)
}

/// Guards against orders that take the endpoints of a new version for a surplus and end them.
#[test]
fn a_move_under_way_lowers_no_order() {
    let table = moving_table(3, 3);
    let is_lower = |row: &DesiredCount| row.count < row.held;
    assert!(moving_counts(&table, None).iter().any(is_lower));
    for outcome in [Outcome::Running, Outcome::RolledBack, Outcome::Completed] {
        let counts = moving_counts(&table, Some(&progress(outcome)));
        assert!(!counts.iter().any(is_lower), "{outcome:?} {counts:?}");
    }
}

/// Guards against a wave of reclaims during a move in which nothing takes the place of the old
/// version's endpoints, as those of the new one are counted for them.
#[test]
fn endpoints_of_the_old_version_are_replaced_during_a_move() {
    let counts = moving_counts(&moving_table(3, 0), Some(&progress(Outcome::Running)));
    let more = |spot| {
        let rows = counts.iter().filter(|row| row.spot == spot);
        rows.map(|row| row.count - row.held).sum::<u32>()
    };
    assert!(more(false) >= 4, "{counts:?}");
}

/// Guards against the gap after a completed move: the old version's endpoints are stopped at once,
/// and the registry lists them for a while.
#[test]
fn endpoints_are_ordered_as_soon_as_a_move_is_completed() {
    let counts = moving_counts(&moving_table(1, 3), Some(&progress(Outcome::Completed)));
    let reclaimable = counts.iter().filter(|row| row.spot && row.count > row.held);
    assert_eq!(reclaimable.count(), ZONES.len(), "{counts:?}");
}

/// A rejected order is not repeated at once: each call costs money, and the platform limits the
/// rate of calls.
#[test]
fn a_rejected_order_is_retried_after_longer_pauses() {
    let now = Instant::now();
    let mut orders = Orders::default();
    let desired = DesiredCount {
        service: "pool".into(),
        zone: "hanko".into(),
        spot: true,
        count: 2,
        held: 0,
    };
    let boot = Duration::from_secs(4);
    let mut calls = 0;
    for step in 0..400 {
        let at = now + Duration::from_millis(step * 50);
        if orders.is_due(&desired, at) {
            calls += 1;
            orders.record(&desired, false, boot, at);
        }
    }
    assert!(calls <= 7, "{calls} calls in 20 s");
}

/// The reclaimable endpoints of three zones are reclaimed, and no others are available. The
/// remaining ones prefill every prompt prefix again beside the usual work, and callers wait for
/// seconds unless on-demand endpoints are ordered at the notice. These go to the zones that were
/// reclaimed, so that no reclaimable endpoint of another zone is given up for them.
#[test]
fn on_demand_endpoints_replace_reclaimed_ones() {
    let now = Instant::now();
    let mut orders = Orders::default();
    let whole = table(0, 3);
    run(&mut orders, &whole, work(), now, 8);
    let mut left = EndpointTable::default();
    let stay = |row: &&Endpoint| row.listing.zone == "hanko";
    for row in whole.rows().iter().filter(stay) {
        left.put(row.listing.clone());
    }
    let counts = run(&mut orders, &left, work(), now + Duration::from_secs(8), 1);
    // Three endpoints are left, and the work keeps four busy.
    assert!(3 + total(&counts, false) >= 6, "{counts:?}");
    let hanko: Vec<&DesiredCount> = counts
        .iter()
        .filter(|desired| desired.zone == "hanko")
        .collect();
    assert!(
        hanko
            .iter()
            .all(|desired| !desired.spot || desired.count >= 3),
        "{counts:?}"
    );
}

/// The duty holder is killed in the first seconds of the traffic, before the need is known, and
/// a wave of reclaims begins. The next holder has received the rates of all daemons for long
/// enough, and orders without waiting for as long again.
#[test]
fn a_new_holder_orders_at_once_if_it_knows_the_rates() {
    let start = Instant::now();
    let takeover = start + Duration::from_secs(5);
    let on_demand =
        |mut orders: Orders| total(&run(&mut orders, &table(0, 1), work(), takeover, 1), false);
    assert_eq!(
        on_demand(Orders::new(Some(takeover))),
        0,
        "the rate is not known yet"
    );
    assert!(on_demand(Orders::new(Some(start))) >= 2);
}
