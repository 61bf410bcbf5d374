//! Evacuated zones: what gets requests, what is ordered, and how daemons learn of it.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::catalog::{Engine, Scaling, Service};
use poplarvale_lib::relay::change_feed::{ChangeFeed, FeedAction, StoreProgress};
use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::endpoint_table::EndpointTable;
use poplarvale_lib::relay::fleet::{DesiredCount, Orders};
use poplarvale_lib::relay::homes::home_zones;
use poplarvale_lib::relay::listing::{ColdTime, Listing};
use poplarvale_lib::relay::quota::Tolerance;
use poplarvale_lib::relay::rollout::Versions;
use poplarvale_lib::relay::selection::{Choice, Criteria, SelectError, choose};
use poplarvale_lib::relay::slow_start::SlowStart;
use poplarvale_lib::{RegionId, ZoneId, revision_in};

use crate::test_relay_endpoint_table::listing;

const COLD_TIME: Duration = Duration::from_secs(3);

fn service() -> Service {
    Service {
        name: "pool".into(),
        engine: Some(Engine {
            slots: 8,
            kv_tokens: 100_000,
            event_tokens: 5,
        }),
        scaling: Some(Scaling {
            min: 1,
            max: 20,
            boot_time: Duration::from_secs(4),
            reclaimable_price: Some(0.2),
            zones: Vec::new(),
        }),
        ..Service::default()
    }
}

fn zones(names: &[&str]) -> Vec<ZoneId> {
    names.iter().map(|name| ZoneId::from(*name)).collect()
}

/// An endpoint in each of these zones, with the zone's name as its id.
fn table(names: &[&str]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for name in names {
        table.put(Listing {
            zone: (*name).into(),
            ..listing(name)
        });
    }
    table
}

fn choose_among(
    table: &EndpointTable,
    homes: Option<&[ZoneId]>,
    now: Instant,
) -> Result<Choice, SelectError> {
    let service = service();
    let criteria = Criteria {
        service: &service,
        prompt: None,
        target: Duration::from_secs(1),
        zone: "hanko",
        avoid: &[],
        versions: &Versions::Any,
        homes,
        limits: None,
        sound_since: None,
        seed: 1,
        now,
    };
    choose(table, &criteria)
}

/// Operators evacuate a zone before its power is cut. A request that is still sent there is lost.
#[test]
fn an_evacuated_zone_gets_no_request_until_it_is_restored() {
    let now = Instant::now();
    let mut table = table(&["espoo", "hanko"]);
    let changes = table.set_evacuated(zones(&["hanko"]), now);
    assert_eq!(changes.begun, zones(&["hanko"]));
    let choice = choose_among(&table, None, now).expect("the other zone has an endpoint");
    assert_eq!(choice.id, "espoo");
    let late = Listing {
        zone: "hanko".into(),
        ..listing("hanko-2")
    };
    table.put(late);
    let choice = choose_among(&table, None, now).expect("the other zone has an endpoint");
    assert_eq!(
        choice.id, "espoo",
        "an endpoint registered in the evacuated zone"
    );
    let changes = table.set_evacuated(Vec::new(), now);
    assert_eq!(changes.ended, zones(&["hanko"]));
    let choice = choose_among(&table, None, now).expect("all zones have an endpoint");
    assert!(choice.id.starts_with("hanko"), "{choice:?}");
}

/// Two evacuations overlap, and the end of the first must not end the second.
#[test]
fn overlapping_evacuations_end_independently() {
    let now = Instant::now();
    let mut table = table(&["espoo", "hanko", "kotka"]);
    table.set_evacuated(zones(&["hanko", "espoo", "hanko"]), now);
    assert_eq!(table.evacuated(), zones(&["espoo", "hanko"]));
    table.set_evacuated(zones(&["espoo"]), now);
    let choice = choose_among(&table, Some(&zones(&["espoo", "kotka"])), now);
    assert_eq!(choice.map(|choice| choice.id), Ok("kotka".into()));
}

/// All zones are evacuated. Callers must hear at once that nothing may be sent, rather than wait
/// for an endpoint.
#[test]
fn with_all_zones_evacuated_requests_are_rejected_as_such() {
    let now = Instant::now();
    let mut table = table(&["espoo", "hanko"]);
    table.set_evacuated(zones(&["espoo", "hanko"]), now);
    assert_eq!(choose_among(&table, None, now), Err(SelectError::Evacuated));
}

/// A zone that no endpoint runs in is evacuated, or a name is misspelled: the others serve on.
#[test]
fn the_evacuation_of_an_unknown_zone_changes_nothing() {
    let now = Instant::now();
    let mut table = table(&["espoo"]);
    table.set_evacuated(zones(&["hnako"]), now);
    assert!(choose_among(&table, None, now).is_ok());
}

/// Endpoints lose their caches while their zone is evacuated, and their entries tell so only after
/// the zone is restored. The traffic that returns at once would crash them.
#[test]
fn endpoints_of_a_restored_zone_are_taken_to_be_cold() {
    let now = Instant::now();
    let mut table = table(&["hanko"]);
    let limit = SlowStart::new(
        COLD_TIME,
        1.0,
        Tolerance {
            share: 0.5,
            units: 5.0,
        },
    );
    table.set_slow_starts(vec![("pool".into(), limit)]);
    table.set_evacuated(zones(&["hanko"]), now);
    table.set_evacuated(Vec::new(), now);
    let check = |at| table.get("hanko").map(|row| row.check_rate(at).is_ok());
    assert_eq!(check(now), Some(false));
    assert_eq!(check(now + COLD_TIME * 2), Some(true));
}

fn ordered_zones(counts: &[DesiredCount], held: impl Fn(&str) -> u32) -> Vec<ZoneId> {
    let raised = counts.iter().filter(|row| row.count > held(&row.zone));
    raised.map(|row| row.zone.clone()).collect()
}

/// Half of the endpoints are in a zone that is evacuated. Others must be ordered in the other
/// zone before callers notice, none in the evacuated one, and what runs there must stay.
#[test]
fn endpoints_are_ordered_outside_of_the_evacuated_zone() {
    const HELD: u32 = 6;
    let start = Instant::now();
    let mut table = EndpointTable::default();
    for zone in ["espoo", "hanko"] {
        for number in 0..HELD {
            table.put(Listing {
                zone: zone.into(),
                spot: true,
                ..listing(&format!("{zone}-{number}"))
            });
        }
    }
    let (service, all) = (service(), zones(&["espoo", "hanko"]));
    let mut orders = Orders::new(Some(start));
    let work = Work {
        read: 200_000.0,
        write: 2_000.0,
    };
    let now = start + Duration::from_secs(10);
    orders.restore(service.name.clone(), 4.0, start);
    table.set_evacuated(zones(&["hanko"]), now);
    let counts = orders.desired_counts(&table, &service, &all, work, None, now);
    let raised = ordered_zones(&counts, |_| HELD);
    assert!(raised.contains(&"espoo".into()), "{counts:?}");
    assert!(counts.iter().all(|row| row.zone != "hanko"), "{counts:?}");
}

/// While the endpoints of a restored zone are cold, they take a fraction of the traffic. If those
/// that replaced them were given up at once, callers would be rejected.
#[test]
fn nothing_is_given_up_while_its_replacement_is_cold() {
    let start = Instant::now();
    let mut table = EndpointTable::default();
    let tolerance = Tolerance {
        share: 0.5,
        units: 5.0,
    };
    let limit = SlowStart::new(COLD_TIME, 1.0, tolerance);
    table.set_slow_starts(vec![("pool".into(), limit)]);
    for number in 0..12 {
        table.put(Listing {
            spot: true,
            cold: ColdTime::after(COLD_TIME, start).filter(|_| number < 6),
            ..listing(&format!("e{number}"))
        });
    }
    let (service, all) = (service(), zones(&["hanko"]));
    let mut orders = Orders::new(Some(start));
    orders.restore(service.name.clone(), 1.0, start);
    let work = Work {
        read: 10_000.0,
        write: 100.0,
    };
    let counts =
        |orders: &mut Orders, at| orders.desired_counts(&table, &service, &all, work, None, at);
    let fewer = |rows: &[DesiredCount]| rows.iter().any(|row| row.spot && row.count < 12);
    assert!(!fewer(&counts(&mut orders, start)));
    assert!(fewer(&counts(&mut orders, start + COLD_TIME)));
}

fn feed(watcher: &StoreProgress, zones: &[ZoneId], now: Instant) -> ChangeFeed {
    ChangeFeed {
        evacuated: Some(zones.to_vec()),
        ..watcher.feed(now).expect("a recent answer")
    }
}

/// A daemon gets the change feed of a watcher. It must learn of the beginning and of the end of an
/// evacuation by it, without a call to the store.
#[test]
fn the_change_feed_carries_the_evacuated_zones() {
    let now = Instant::now();
    let mut watcher = StoreProgress::default();
    watcher.record_snapshot(10, Vec::new(), now);
    let mut other = watcher.clone();
    watcher.record_watch(11, now);
    let hanko = zones(&["hanko"]);
    let begun = feed(&watcher, &hanko, now);
    assert_eq!(other.merge(&begun, now), FeedAction::Apply(vec![]));
    assert_eq!(other.evacuated(&begun), Some(hanko.as_slice()));
    watcher.record_watch(12, now);
    let ended = feed(&watcher, &[], now);
    assert_eq!(other.merge(&ended, now), FeedAction::Apply(vec![]));
    assert_eq!(other.evacuated(&ended), Some([].as_slice()));
    assert_eq!(other.merge(&begun, now), FeedAction::Apply(vec![]));
    assert_eq!(other.evacuated(&begun), None, "a delayed feed");
}

/// The watchers of a zone run an older build, which does not know of evacuations. A daemon that
/// relied on their feeds would go on sending requests to an evacuated zone.
#[test]
fn the_feed_of_a_watcher_that_knows_no_evacuations_does_not_suffice() {
    let now = Instant::now();
    let mut watcher = StoreProgress::default();
    watcher.record_snapshot(10, Vec::new(), now);
    let mut other = watcher.clone();
    watcher.record_watch(11, now);
    let mut feed = feed(&watcher, &[], now);
    feed.evacuated = None;
    assert_eq!(other.merge(&feed, now), FeedAction::Ignore);
    assert_eq!(other.revision(), Some(10));
    assert!(!other.is_fresh(now + Duration::from_secs(2)));
}

/// The store comes back from an older copy, in which a zone is still evacuated or not yet. A feed
/// of the former era must not undo what the new one holds.
#[test]
fn a_feed_of_a_former_era_does_not_change_the_evacuated_zones() {
    let now = Instant::now();
    let mut watcher = StoreProgress::default();
    watcher.record_snapshot(revision_in(1, 20), Vec::new(), now);
    let mut other = StoreProgress::default();
    other.record_snapshot(revision_in(2, 15), Vec::new(), now);
    let feed = feed(&watcher, &zones(&["hanko"]), now);
    assert_eq!(other.merge(&feed, now), FeedAction::Ignore);
    assert_eq!(other.evacuated(&feed), None);
}

/// Zones of three regions.
fn regions() -> Vec<(ZoneId, RegionId)> {
    [
        ("espoo", "fi"),
        ("hanko", "fi"),
        ("narva", "ee"),
        ("visby", "se"),
    ]
    .map(|(zone, region)| (zone.into(), region.into()))
    .to_vec()
}

/// A team's data must not leave its country: no endpoint elsewhere may get it, however idle.
#[test]
fn requests_with_homes_reach_endpoints_of_these_regions_only() {
    let now = Instant::now();
    let table = table(&["espoo", "narva", "visby"]);
    let chosen = |route: &[&str], team: &[&str]| {
        let homes = home_zones(&regions(), &zones(route), &zones(team));
        choose_among(&table, homes.as_deref(), now).map(|choice| choice.id)
    };
    assert_eq!(chosen(&["ee"], &[]), Ok("narva".into()));
    assert_eq!(chosen(&[], &["se"]), Ok("visby".into()));
    assert_eq!(
        chosen(&["ee", "se"], &["fi", "se"]),
        Ok("visby".into()),
        "both bind"
    );
    assert_eq!(chosen(&["ee"], &["se"]), Err(SelectError::NoHome));
    assert_eq!(chosen(&["lv"], &[]), Err(SelectError::NoHome));
    assert!(chosen(&[], &[]).is_ok());
}

/// An endpoint registers in a zone whose region nobody knows. It must not get requests with homes.
#[test]
fn an_endpoint_in_an_unknown_zone_is_no_home() {
    let now = Instant::now();
    let table = table(&["riga"]);
    let homes = home_zones(&regions(), &zones(&["fi"]), &[]);
    let chosen = choose_among(&table, homes.as_deref(), now);
    assert_eq!(chosen, Err(SelectError::NoHome));
}
