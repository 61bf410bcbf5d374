//! Updates of the configuration that daemons send each other.

use bytes::Bytes;
use poplarvale_lib::relay::catalog::{Catalog, RetryPolicy, Route, Service, Team};
use poplarvale_lib::relay::catalog_log::{CatalogLog, Known};
use poplarvale_lib::relay::catalog_update::{Assembly, CatalogPart, UpdateError, parts};
use proptest::prelude::*;
use std::time::Duration;

fn route(number: u32, rank: u8) -> Route {
    Route {
        name: format!("r-{number}").into(),
        host: format!("host-{}.example", number % 3).into(),
        prefix: format!("/p{number}/").into(),
        retry_policy: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(3),
        target: Duration::from_millis(100 + u64::from(rank)),
        pause_target: None,
        rank,
        backends: Vec::new(),
        attempts: 2,
        public: false,
        regions: Vec::new(),
    }
}

fn catalog(version: u64, routes: Vec<Route>, teams: u32) -> Catalog {
    let team = |number: u32| Team {
        name: format!("team-{number}").into(),
        ..Team::default()
    };
    let mut catalog = Catalog {
        version,
        revision: version * 10,
        routes,
        services: vec![Service {
            name: "app".into(),
            ..Service::default()
        }],
        teams: (0..teams).map(team).collect(),
        ..Catalog::default()
    };
    catalog.sort();
    catalog
}

/// Adds all parts in turn; returns the configuration that results.
fn assemble(parts: Vec<CatalogPart>, current: Option<&Catalog>) -> Result<Catalog, UpdateError> {
    let mut assembly = Assembly::default();
    for part in parts {
        if let Some(catalog) = assembly.add(part, current)? {
            return Ok(catalog);
        }
    }
    Err(UpdateError::MissingParts)
}

fn segment(parts: u32, len: usize) -> Vec<Bytes> {
    (0..parts)
        .map(|part| Bytes::from(vec![part as u8; len]))
        .collect()
}

proptest! {
    #![proptest_config(testutils::fixed(128))]

    /// A daemon that gets an update must end up with the very configuration that a watcher read.
    /// Otherwise callers get other answers at it for as long as it runs.
    #[test]
    fn an_update_makes_the_new_configuration(
        old in prop::collection::vec((0_u32..1500, 0_u8..2), 0..40),
        new in prop::collection::vec((0_u32..1500, 0_u8..2), 0..40),
        common in 0_u32..1400,
        teams in (0_u32..3, 0_u32..3),
    ) {
        let with = |rows: &[(u32, u8)], version, teams| {
            let mut routes: Vec<Route> = (0..common).map(|number| route(number, 9)).collect();
            for (number, rank) in rows {
                routes.retain(|row| row.name != format!("r-{number}"));
                routes.push(route(*number, *rank));
            }
            catalog(version, routes, teams)
        };
        let old = with(&old, 1, teams.0);
        let new = with(&new, 2, teams.1);
        prop_assert_eq!(&assemble(parts(Some(&old), &new), Some(&old)).unwrap(), &new);
        prop_assert_eq!(&assemble(parts(None, &new), Some(&old)).unwrap(), &new);
    }
}

/// One route is added to thousands. If a daemon got more than that, its link would be full while a
/// caller waits for the route.
#[test]
fn an_update_holds_only_what_changed() {
    let routes = |count| (0..count).map(|number| route(number, 0)).collect();
    let (old, new) = (catalog(1, routes(4000), 2), catalog(2, routes(4001), 2));
    let update = parts(Some(&old), &new);
    assert_eq!(update.len(), 1);
    assert_eq!(update[0].routes.len(), 1);
    assert_eq!(update[0].header, None);
    assert!(
        parts(None, &new)
            .iter()
            .all(|part| part.routes.len() <= 512)
    );
}

/// Both a watch and another daemon bring a new configuration. An update of the former one must not
/// be applied to it.
#[test]
fn an_update_of_another_configuration_is_refused() {
    let routes = |count| (0..count).map(|number| route(number, 0)).collect();
    let old = catalog(1, routes(2), 0);
    let new = catalog(2, routes(3), 0);
    let newest = catalog(3, routes(9), 0);
    let update = parts(Some(&old), &new);
    assert_eq!(assemble(update, Some(&newest)), Err(UpdateError::OtherBase));
}

/// A connection breaks in the middle of a snapshot. The transfer goes on after the parts that have
/// arrived, at another daemon too.
#[test]
fn a_snapshot_is_continued_where_it_broke_off() {
    let routes: Vec<Route> = (0..2000).map(|number| route(number, 0)).collect();
    let new = catalog(2, routes, 2);
    let all = parts(None, &new);
    let mut assembly = Assembly::default();
    for part in &all[..2] {
        assert_eq!(assembly.add(part.clone(), None), Ok(None));
    }
    let (snapshot, arrived) = assembly.snapshot();
    assert_eq!((snapshot, arrived), (new.revision, 2));
    let mut log = CatalogLog::default();
    log.set_snapshot(new.revision, segment(all.len() as u32, 10));
    let known = Known {
        revision: 0,
        snapshot,
        parts: arrived,
    };
    assert_eq!(log.since(known), Some(segment(4, 10)[2..].to_vec()));
    let mut rest = all.into_iter().skip(arrived as usize);
    let last = rest.try_fold(None, |_, part| assembly.add(part, None));
    assert_eq!(last, Ok(Some(new)));
}

/// A part of another update arrives between those of one. The parts must not be mixed.
#[test]
fn parts_of_two_updates_are_not_mixed() {
    let routes = |count| (0..count).map(|number| route(number, 0)).collect();
    let one = parts(None, &catalog(1, routes(1200), 0));
    let other = parts(None, &catalog(2, routes(1200), 0));
    let mut assembly = Assembly::default();
    assert_eq!(assembly.add(one[0].clone(), None), Ok(None));
    assert_eq!(
        assembly.add(other[1].clone(), None),
        Err(UpdateError::MissingParts)
    );
    assert_eq!(assembly.snapshot(), (0, 0));
}

/// Daemons that miss one change, several changes or all must get just these.
#[test]
fn a_daemon_gets_the_updates_that_it_lacks() {
    let mut log = CatalogLog::default();
    log.push(0, 10, segment(3, 100));
    log.push(10, 20, segment(1, 5));
    log.push(20, 30, segment(2, 7));
    let known = |revision| Known {
        revision,
        ..Known::default()
    };
    assert_eq!(log.since(known(30)), Some(Vec::new()));
    assert_eq!(log.since(known(40)), Some(Vec::new()));
    assert_eq!(log.since(known(20)), Some(segment(2, 7)));
    let two = [segment(1, 5), segment(2, 7)].concat();
    assert_eq!(log.since(known(10)), Some(two.clone()));
    let all = [segment(3, 100), two].concat();
    assert_eq!(log.since(known(0)), Some(all.clone()));
    assert_eq!(log.since(known(15)), Some(all));
}

/// Updates that are longer than the snapshot before them, and those of a configuration that is not in
/// the log, need a new snapshot.
#[test]
fn a_snapshot_that_costs_more_than_a_new_one_is_dropped() {
    let mut log = CatalogLog::default();
    log.push(0, 10, segment(1, 10));
    log.push(10, 20, segment(1, 11));
    assert_eq!(log.since(Known::default()), None);
    log.set_snapshot(20, segment(1, 20));
    assert_eq!(log.since(Known::default()), Some(segment(1, 20)));
    log.push(20, 30, segment(1, 5));
    let all = [segment(1, 20), segment(1, 5)].concat();
    assert_eq!(log.since(Known::default()), Some(all));
    log.push(77, 80, segment(1, 5));
    assert_eq!(log.since(Known::default()), None);
    let known = Known {
        revision: 77,
        ..Known::default()
    };
    assert_eq!(log.since(known), Some(segment(1, 5)));
}
