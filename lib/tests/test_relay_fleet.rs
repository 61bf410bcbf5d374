//! Orders of endpoints under traffic that swings and zones that are reclaimed.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::endpoint_table::{EndpointTable, Endpoint};
use poplarvale_lib::relay::catalog::{Engine, Scaling, Service};
use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::engine::Pace;
use poplarvale_lib::relay::fleet::{Orders, DesiredCount, endpoints_needed};
use poplarvale_lib::relay::listing::Listing;

const ZONES: [&str; 4] = ["espoo", "hanko", "kotka", "porkkala"];

fn service() -> Service {
    let price = |zone: &str, price| (zone.into(), price);
    Service {
        name: "pool".into(),
        connections: None,
        engine: Some(Engine {
            slots: 64,
            tokens: 600_000,
            stride: 5,
        }),
        scaling: Some(Scaling {
            least: 1,
            most: 6,
            boot: Duration::from_secs(4),
            spot: Some(0.18),
            zones: vec![
                price("espoo", 1.25),
                price("hanko", 1.0),
                price("kotka", 0.9),
                price("porkkala", 0.8),
            ],
        }),
        target: None,
    }
}

fn table(dear: u32, cheap: u32) -> EndpointTable {
    let mut table = EndpointTable::default();
    for (zone, at) in ZONES.iter().zip(0_u32..) {
        for number in 0..dear + cheap {
            table.put(Listing {
                id: format!("{zone}-{number}").into(),
                service: "pool".into(),
                address: format!("10.0.{at}.{number}:1").parse().expect("an address"),
                zone: (*zone).into(),
                version: "v1".into(),
                slots: 64,
                leaving: false,
                spot: number >= dear,
                born: None,
                count: 1,
            });
        }
    }
    table
}

/// The endpoints of the day's begin stand and nobody asks anything yet. Keeping all of
/// the dear ones beside as many cheap ones would pay twice for the same places.
#[test]
fn some_dear_endpoints_make_room_for_cheap_ones_before_the_first_request() {
    let mut orders = Orders::default();
    let start = Instant::now();
    let none = Work::default();
    let at = |seconds| start + Duration::from_secs(seconds);
    run(&mut orders, &table(1, 0), none, start, 1);
    // The list is still being filled: nothing is given up.
    let wishes = run(&mut orders, &table(3, 3), none, at(1), 1);
    assert!(wishes.is_empty(), "{wishes:?}");
    let wishes = run(&mut orders, &table(3, 3), none, at(5), 1);
    assert_eq!(total(&wishes, false), 8);
    assert!(wishes.iter().all(|wish| !wish.spot));
    // Callers come, and their need is not known yet: nothing more is given up.
    let wishes = run(&mut orders, &table(2, 3), work(), at(6), 1);
    assert!(wishes.is_empty(), "{wishes:?}");
}

/// The daemon that ordered is killed in the middle of the day, and the next one knows
/// no need yet. Cheap endpoints that it gave up would be missing for seconds.
#[test]
fn a_new_holder_gives_no_endpoint_up_before_it_knows_the_need() {
    let mut orders = Orders::default();
    let wishes = run(&mut orders, &table(1, 3), work(), Instant::now(), 1);
    assert!(wishes.is_empty(), "{wishes:?}");
}

/// Work that keeps four engines fully busy.
fn work() -> Work {
    let one = endpoints_needed(
        Work {
            read: 10_000.0,
            write: 0.0,
        },
        64,
        &Pace::default(),
    );
    Work {
        read: 10_000.0 * 4.0 / one,
        write: 0.0,
    }
}

fn run(orders: &mut Orders, table: &EndpointTable, work: Work, from: Instant, seconds: u64) -> Vec<DesiredCount> {
    let zones = ZONES.map(Into::into);
    let mut wishes = Vec::new();
    for step in 0..seconds * 4 {
        let now = from + Duration::from_millis(step * 250);
        wishes = orders.desired_counts(table, &service(), &zones, work, now);
    }
    wishes
}

fn total(wishes: &[DesiredCount], spot: bool) -> u32 {
    let kind = wishes.iter().filter(|wish| wish.spot == spot);
    kind.map(|wish| wish.count).sum()
}

/// Nothing is asked yet. What the operators have stays, and cheap endpoints are
/// ordered, as a wave of reclaims may come right after the start.
#[test]
fn before_the_first_request_only_cheap_endpoints_are_ordered() {
    let now = Instant::now();
    let wishes = run(
        &mut Orders::default(),
        &table(2, 0),
        Work::default(),
        now,
        1,
    );
    assert!(wishes.iter().all(|wish| wish.spot));
    assert_eq!(total(&wishes, true), 8);
}

/// All zones are reclaimed one after the other, and nothing is to be had meanwhile.
/// The dear endpoints that stand must carry the work alone, so they are not given up.
#[test]
fn dear_endpoints_are_kept_while_cheap_ones_are_missing() {
    let now = Instant::now();
    let wishes = run(&mut Orders::default(), &table(2, 0), work(), now, 20);
    let given_up = wishes.iter().filter(|wish| !wish.spot);
    let left: u32 = 8 - given_up.map(|wish| 2 - wish.count.min(2)).sum::<u32>();
    assert!(left >= 6, "{left} of 8 would be left for the work of 4");
}

/// Cheap endpoints stand in every zone. The dear ones that the work does not need
/// any more cost five times as much and go.
#[test]
fn dear_endpoints_go_once_the_cheap_ones_stand() {
    let now = Instant::now();
    let wishes = run(&mut Orders::default(), &table(2, 2), work(), now, 20);
    let dear: Vec<&DesiredCount> = wishes.iter().filter(|wish| !wish.spot).collect();
    assert_eq!(dear.len(), 4);
    assert!(dear.iter().all(|wish| wish.count <= 1));
}

/// Traffic swings by a third. Following each swing would start and drain endpoints
/// all day, each of which begins with an empty cache.
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

/// A refused order is not repeated at once: each call is paid for, and the platform
/// limits them.
#[test]
fn a_refused_order_waits_longer_each_time() {
    let now = Instant::now();
    let mut orders = Orders::default();
    let wish = DesiredCount {
        service: "pool".into(),
        zone: "hanko".into(),
        spot: true,
        count: 2,
    };
    let boot = Duration::from_secs(4);
    let mut calls = 0;
    for step in 0..400 {
        let at = now + Duration::from_millis(step * 50);
        if orders.is_due(&wish, at) {
            calls += 1;
            orders.record(&wish, false, boot, at);
        }
    }
    assert!(calls <= 7, "{calls} calls in 20 s");
}

/// The cheap endpoints of three zones are reclaimed, and no others are to be had. What
/// is left reads every prompt's beginning anew beside the usual work, and callers wait
/// for seconds unless dear ones are ordered at the notice. They go where the cheap ones
/// were, so that none of those that stand elsewhere makes room for them.
#[test]
fn dear_endpoints_replace_those_that_are_reclaimed() {
    let now = Instant::now();
    let mut orders = Orders::default();
    let whole = table(0, 3);
    run(&mut orders, &whole, work(), now, 8);
    let mut left = EndpointTable::default();
    let stay = |row: &&Endpoint| row.listing.zone == "hanko";
    for row in whole.rows().iter().filter(stay) {
        left.put(row.listing.clone());
    }
    let wishes = run(&mut orders, &left, work(), now + Duration::from_secs(8), 1);
    // Three stand, and the work keeps four busy.
    assert!(3 + total(&wishes, false) >= 6, "{wishes:?}");
    let hanko: Vec<&DesiredCount> = wishes.iter().filter(|wish| wish.zone == "hanko").collect();
    assert!(
        hanko.iter().all(|wish| !wish.spot || wish.count >= 3),
        "{wishes:?}"
    );
}

/// The daemon that orders is killed in the first seconds of the traffic, before the need
/// was known, and a wave of reclaims begins. The next holder has heard the rates of all
/// daemons for long enough, and orders without waiting for as long again.
#[test]
fn a_new_holder_orders_at_once_what_is_asked_for_long() {
    let start = Instant::now();
    let taken = start + Duration::from_secs(5);
    let dear = |mut orders: Orders| total(&run(&mut orders, &table(0, 1), work(), taken, 1), false);
    assert_eq!(
        dear(Orders::new(Some(taken))),
        0,
        "the rate is not whole yet"
    );
    assert!(dear(Orders::new(Some(start))) >= 2);
}
