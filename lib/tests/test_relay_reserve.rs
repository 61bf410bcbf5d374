//! Endpoints held beside those that the work needs, after losses and before any.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::catalog::{Engine, Scaling, Service};
use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::endpoint_table::EndpointTable;
use poplarvale_lib::relay::engine::ServiceSpeed;
use poplarvale_lib::relay::fleet::{DesiredCount, Orders, Plan, endpoints_needed};
use poplarvale_lib::relay::listing::Listing;

const ZONES: [&str; 4] = ["espoo", "hanko", "kotka", "porkkala"];
const BOOT: Duration = Duration::from_secs(4);
/// Endpoints that the usual work keeps busy.
const NEED: f64 = 40.0;
/// On-demand and reclaimable endpoints of each zone, as for the usual work.
const WHOLE: [(u32, u32); 4] = [(2, 20); 4];

fn service() -> Service {
    Service {
        name: "pool".into(),
        health: "/health".into(),
        connections: None,
        engine: Some(Engine {
            slots: 12,
            kv_tokens: 400_000,
            event_tokens: 5,
        }),
        scaling: Some(Scaling {
            min: 1,
            max: 56,
            boot_time: BOOT,
            reclaimable_price: Some(0.18),
            zones: Vec::new(),
        }),
        target: None,
        cold: None,
    }
}

fn table(zones: [(u32, u32); 4]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for ((zone, (on_demand, reclaimable)), at) in ZONES.iter().zip(zones).zip(0_u32..) {
        for number in 0..on_demand + reclaimable {
            table.put(Listing {
                id: format!("{zone}-{number}").into(),
                service: "pool".into(),
                address: format!("10.0.{at}.{number}:1").parse().expect("an address"),
                zone: (*zone).into(),
                version: "v1".into(),
                slots: 12,
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

/// Work that keeps so many endpoints busy.
fn work(need: f64) -> Work {
    let one = Work {
        read: 10_000.0,
        write: 0.0,
    };
    Work {
        read: 10_000.0 * need / endpoints_needed(one, 12, &ServiceSpeed::default()),
        write: 0.0,
    }
}

/// Orders of one holder, and the time that has passed.
struct Holder {
    orders: Orders,
    now: Instant,
}

impl Holder {
    fn new() -> Self {
        Self {
            orders: Orders::default(),
            now: Instant::now(),
        }
    }

    /// Holds these endpoints before work of this need for some seconds; all orders are accepted.
    fn pass(&mut self, zones: [(u32, u32); 4], need: f64, seconds: u64) -> Vec<DesiredCount> {
        let table = table(zones);
        let mut counts = Vec::new();
        for _ in 0..seconds * 4 {
            let zones = ZONES.map(Into::into);
            counts =
                self.orders
                    .desired_counts(&table, &service(), &zones, work(need), None, self.now);
            for desired in &counts {
                self.orders.record(desired, true, BOOT, self.now);
            }
            self.now += Duration::from_millis(250);
        }
        counts
    }

    fn plan(&self) -> Plan {
        let plan = self.orders.plan(&service(), ZONES.len());
        plan.expect("the need is known")
    }
}

/// Endpoints wanted that are left when this share of the reclaimable ones and that of all is lost.
fn left(plan: Plan, reclaimed: f64, crashed: f64) -> f64 {
    let reclaimable = f64::from(plan.reclaimable) * (1.0 - reclaimed);
    (reclaimable + f64::from(plan.on_demand)) * (1.0 - crashed)
}

/// Guards against a first wave, of two zones together, that finds too few endpoints.
#[test]
fn what_a_first_wave_leaves_carries_the_need() {
    let mut holder = Holder::new();
    holder.pass(WHOLE, NEED, 20);
    assert!(left(holder.plan(), 0.5, 0.0) >= NEED, "{:?}", holder.plan());
}

/// Guards against callers that are rejected while one zone is reclaimed, and on-demand endpoints that
/// are ordered though the other zones carry the work.
#[test]
fn a_wave_in_one_zone_is_borne_without_other_endpoints() {
    let mut holder = Holder::new();
    holder.pass(WHOLE, NEED, 20);
    let mut zones = WHOLE;
    zones[1].1 = 0;
    let counts = holder.pass(zones, NEED, 1);
    assert!(counts.iter().all(|row| row.spot), "{counts:?}");
    let plan = holder.plan();
    assert!(left(plan, 0.25, 0.0) >= NEED, "{plan:?}");
}

/// Guards against a second wave of three zones together that finds what the first one found.
#[test]
fn waves_that_follow_each_other_raise_the_reserve() {
    let mut holder = Holder::new();
    holder.pass(WHOLE, NEED, 20);
    let before = holder.plan();
    let mut zones = WHOLE;
    for zone in 0..3 {
        zones[zone].1 = 0;
        holder.pass(zones, NEED, 1);
    }
    assert_eq!(holder.plan().reserve.zones, 3);
    // All reclaimable endpoints have come back, and the next wave takes as many zones.
    holder.pass(WHOLE, NEED, 10);
    let after = holder.plan();
    assert!(left(before, 0.75, 0.0) < NEED, "{before:?}");
    assert!(left(after, 0.75, 0.0) >= NEED, "{after:?}");
}

/// Guards against zones that are lost later than replacements take being taken for one loss.
#[test]
fn losses_that_are_replaced_in_between_do_not_add_up() {
    let mut holder = Holder::new();
    holder.pass(WHOLE, NEED, 20);
    let mut zones = WHOLE;
    for zone in 0..4 {
        zones[zone].1 = 0;
        holder.pass(zones, NEED, 5);
    }
    assert_eq!(holder.plan().reserve.zones, 2);
}

/// Guards against a reserve that stays raised for the day, or falls below what the next first wave needs.
#[test]
fn a_quiet_hour_leaves_the_reserve_for_a_first_wave() {
    let mut holder = Holder::new();
    holder.pass(WHOLE, NEED, 20);
    let before = holder.plan();
    holder.pass([(2, 0); 4], NEED, 1);
    assert!(holder.plan().reserve != before.reserve);
    holder.pass(WHOLE, NEED, 2);
    holder.now += Duration::from_hours(1);
    holder.pass(WHOLE, NEED, 20);
    assert_eq!(holder.plan().reserve, before.reserve);
}

/// Guards against too few endpoints while no reclaimable ones are to be had: one more zone may be lost.
#[test]
fn without_reclaimable_endpoints_on_demand_ones_bear_the_loss_of_a_zone() {
    let mut holder = Holder::new();
    holder.pass(WHOLE, NEED, 20);
    holder.pass([(2, 0); 4], NEED, 1);
    let on_demand = f64::from(holder.plan().on_demand);
    assert!(on_demand * 0.75 >= NEED, "{:?}", holder.plan());
}

/// Guards against endpoints that a burst needed being held on demand for the rest of a wave, and against
/// giving them up while the burst may go on.
#[test]
fn on_demand_endpoints_follow_the_need_of_the_last_seconds() {
    let mut holder = Holder::new();
    holder.pass(WHOLE, NEED, 20);
    holder.pass([(14, 0); 4], NEED, 2);
    holder.pass([(14, 0); 4], NEED / 2.0, 6);
    assert!(f64::from(holder.plan().on_demand) * 0.75 >= NEED);
    holder.pass([(14, 0); 4], NEED / 2.0, 4);
    let on_demand = f64::from(holder.plan().on_demand);
    assert!(on_demand * 0.75 >= NEED / 2.0, "{:?}", holder.plan());
    assert!(on_demand <= NEED, "{:?}", holder.plan());
}

/// Guards against a crash of a third of the endpoints that leaves too few, or goes unseen.
#[test]
fn a_crash_of_a_third_leaves_what_the_work_needs() {
    let mut holder = Holder::new();
    holder.pass(WHOLE, NEED, 20);
    holder.pass([(1, 14); 4], NEED, 1);
    let plan = holder.plan();
    assert!((0.25..0.4).contains(&plan.reserve.crash), "{plan:?}");
    assert!(left(plan, 0.0, 1.0 / 3.0) >= NEED, "{plan:?}");
}

/// Guards against endpoints that were given up being taken for lost ones.
#[test]
fn endpoints_that_were_given_up_are_no_loss() {
    let mut holder = Holder::new();
    holder.pass([(2, 40); 4], NEED, 20);
    let before = holder.plan().reserve;
    holder.pass([(2, 15); 4], NEED / 2.0, 20);
    assert_eq!(holder.plan().reserve, before);
}

/// Guards against a new holder that gives endpoints up, or orders for engines of the usual speed.
#[test]
fn a_new_holder_goes_on_with_the_need_and_the_speed() {
    let mut holder = Holder::new();
    holder.pass(WHOLE, NEED, 20);
    let mut next = Holder::new();
    let needs: Vec<_> = holder.orders.needs().collect();
    for (service, need) in needs {
        next.orders.restore(service.clone(), need, next.now);
    }
    let counts = next.pass(WHOLE, 1.0, 1);
    assert!(counts.iter().all(|row| row.count >= row.held), "{counts:?}");
    assert_eq!(next.plan().reclaimable, holder.plan().reclaimable);

    let mut table = EndpointTable::default();
    table.restore_speed(&"pool".into(), 0.000_005, 0.001);
    let speed = table.service_speed("pool");
    let need = endpoints_needed(work(NEED), 12, speed);
    assert!((need - NEED / 4.0).abs() < 0.1, "{need}");
    // What it observed itself, and figures that are none, change nothing.
    for bad in [0.0, -1.0, f64::NAN, f64::INFINITY, 0.000_02] {
        table.restore_speed(&"pool".into(), bad, bad);
    }
    assert_eq!(
        table.service_speed("pool").observed(),
        Some((0.000_005, 0.001))
    );
}
