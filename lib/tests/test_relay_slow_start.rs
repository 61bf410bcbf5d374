//! Slow start of cold endpoints, kept by many daemons without coordination.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use poplarvale_lib::relay::endpoint_table::EndpointTable;
use poplarvale_lib::relay::listing::{ColdTime, Listing};
use poplarvale_lib::relay::quota::Tolerance;
use poplarvale_lib::relay::sharers::Sharers;
use poplarvale_lib::relay::slow_start::{ColdEndpoint, RAMP_TIME, SlowStart};
use proptest::prelude::*;

use crate::test_relay_endpoint_table::listing;

const ENDPOINT: u32 = 77;
const STEP: Duration = Duration::from_millis(5);
/// Span in which the bound holds.
const WINDOW: Duration = Duration::from_secs(1);
const COLD_TIME: Duration = Duration::from_secs(3);
/// How far the rate may be exceeded.
const TOLERANCE: Tolerance = Tolerance {
    share: 0.5,
    units: 5.0,
};

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0000 + number as u32)
}

/// Daemons as one of them knows them: all but those for which `misses` holds.
fn known(number: usize, daemons: usize, misses: impl Fn(usize) -> bool) -> Sharers {
    let others = (0..daemons).filter(|other| *other != number && !misses(*other));
    Sharers {
        me: address(number),
        others: others.map(address).collect(),
        is_isolated: false,
    }
}

fn cold_from(now: Instant) -> ColdTime {
    ColdTime::after(COLD_TIME, now).expect("the time is not zero")
}

fn bound(rate: f64) -> f64 {
    rate * (1.0 + TOLERANCE.share) + TOLERANCE.units
}

/// Runs daemons that send whenever they may, until the endpoint is warm; returns when they sent.
fn flood(daemons: &mut [ColdEndpoint], start: Instant) -> Vec<Instant> {
    let mut sent = Vec::new();
    let mut now = start;
    while now < start + COLD_TIME {
        for cold in daemons.iter_mut() {
            while cold.check(now).is_ok() {
                cold.take(now);
                sent.push(now);
            }
        }
        now += STEP;
    }
    sent
}

fn most_in_window(sent: &[Instant]) -> usize {
    let within = |first: &Instant| {
        let rows = sent.iter();
        rows.filter(|at| *at >= first && **at < *first + WINDOW)
            .count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

fn cold_endpoints(sharers: &[Sharers], rate: f64, start: Instant) -> Vec<ColdEndpoint> {
    let limit = SlowStart::new(COLD_TIME, rate, TOLERANCE);
    let cold = cold_from(start);
    let rows = sharers.iter();
    rows.map(|sharers| ColdEndpoint::new(ENDPOINT, cold, &limit, sharers))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Hundreds of daemons see an idle cold endpoint at once. Together they must not send more
    /// than it bears, or it crashes.
    #[test]
    fn any_number_of_daemons_keeps_the_rate_of_a_cold_endpoint(daemons in 1_usize..400, rate in 0.5_f64..40.0) {
        let start = Instant::now();
        let sharers: Vec<Sharers> = (0..daemons).map(|number| known(number, daemons, |_| false)).collect();
        let sent = flood(&mut cold_endpoints(&sharers, rate, start), start);
        let most = most_in_window(&sent) as f64;
        prop_assert!(most <= bound(rate), "{most} of {}", bound(rate));
    }

    /// Each daemon misses a few others, as while many of them restart. The daemons disagree on who
    /// shares the rate, and the sum of what they send must stay in the bound.
    #[test]
    fn daemons_that_disagree_on_the_sharers_keep_the_rate(daemons in 8_usize..400, rate in 1.0_f64..40.0, lost in 0_usize..20) {
        let start = Instant::now();
        let misses = |number: usize, other: usize| (number * 31 + other * 17) % 20 == lost;
        let sharers: Vec<Sharers> = (0..daemons)
            .map(|number| known(number, daemons, |other| misses(number, other)))
            .collect();
        let sent = flood(&mut cold_endpoints(&sharers, rate, start), start);
        let most = most_in_window(&sent) as f64;
        prop_assert!(most <= bound(rate), "{most} of {}", bound(rate));
    }
}

/// All daemons restart at once while an endpoint is cold, and know only the seeds of their
/// settings. None may send before it has had the time to discover the others.
#[test]
fn daemons_that_know_nobody_yet_send_nothing_to_a_cold_endpoint() {
    /// Time in which daemons that start together discover one another.
    const DISCOVERY_TIME: Duration = Duration::from_millis(500);
    let start = Instant::now();
    let sharers: Vec<Sharers> = (0..82)
        .map(|number| known(number, 82, |other| other > 2))
        .collect();
    let limit = SlowStart::new(COLD_TIME, 6.9, TOLERANCE);
    let mut daemons = cold_endpoints(&sharers, 6.9, start);
    let early = |cold: &ColdEndpoint| cold.check(start + DISCOVERY_TIME).is_ok();
    assert_eq!(daemons.iter().filter(|cold| early(cold)).count(), 0);
    for (number, cold) in daemons.iter_mut().enumerate() {
        cold.update_sharers(ENDPOINT, &limit, &known(number, 82, |_| false));
    }
    let most = most_in_window(&flood(&mut daemons, start));
    assert!(most as f64 <= bound(6.9), "{most} of {}", bound(6.9));
}

/// A third of the daemons restart while each is cut off from all others, and know only the seeds of
/// their settings. Whom they do not know of shares the rate too, and the sum must stay in the bound.
fn restart_in_isolation(daemons: usize) {
    let isolated = daemons * 29 / 82;
    let start = Instant::now();
    let sharers: Vec<Sharers> = (0..daemons)
        .map(|number| {
            let is_isolated = number < isolated;
            let known = known(number, daemons, |other| is_isolated && other < daemons - 3);
            Sharers {
                is_isolated,
                ..known
            }
        })
        .collect();
    let sent = flood(&mut cold_endpoints(&sharers, 6.9, start), start);
    let most = most_in_window(&sent);
    assert!(most as f64 <= bound(6.9), "{most} of {}", bound(6.9));
}

#[test]
fn daemons_that_restart_in_isolation_keep_the_rate_of_a_cold_endpoint() {
    restart_in_isolation(82);
}

#[test]
fn a_thousand_daemons_that_restart_in_isolation_keep_the_rate_of_a_cold_endpoint() {
    restart_in_isolation(986);
}

/// A deployment of one daemon, whose settings name no other, is not isolated: nobody else would
/// send anything to its cold endpoints.
#[test]
fn a_daemon_without_others_uses_its_cold_endpoints() {
    let start = Instant::now();
    let mut daemons = cold_endpoints(&[known(0, 1, |_| false)], 6.9, start);
    assert!(!flood(&mut daemons, start).is_empty());
}

/// All daemons know the same moment at which an endpoint is warm. If each sent it a request then,
/// an endpoint without load would be overloaded at once.
#[test]
fn daemons_do_not_all_use_an_endpoint_from_the_moment_at_which_it_is_warm() {
    const DAEMONS: usize = 200;
    let start = Instant::now();
    let sharers: Vec<Sharers> = (0..DAEMONS)
        .map(|number| known(number, DAEMONS, |_| false))
        .collect();
    let daemons = cold_endpoints(&sharers, 6.9, start);
    let free = |after: Duration| {
        let at = start + COLD_TIME + after;
        daemons.iter().filter(|cold| cold.is_over(at)).count()
    };
    let half = free(RAMP_TIME / 2);
    assert!(free(RAMP_TIME / 10) < DAEMONS / 5);
    assert!((DAEMONS / 3..DAEMONS * 2 / 3).contains(&half), "{half}");
    assert_eq!(free(RAMP_TIME), DAEMONS);
}

/// A table whose service `pool` has a slow start, as one of two daemons knows it.
fn table(other: Option<Ipv4Addr>) -> EndpointTable {
    let mut table = EndpointTable::default();
    let limit = SlowStart::new(COLD_TIME, 1.0, TOLERANCE);
    table.set_slow_starts(vec![("pool".into(), limit)]);
    table.set_daemons(Sharers {
        me: address(0),
        others: other.into_iter().collect(),
        is_isolated: false,
    });
    table
}

fn cold_listing(id: &str, cold: Option<ColdTime>) -> Listing {
    Listing {
        cold,
        ..listing(id)
    }
}

fn may_send(table: &EndpointTable, id: &str, now: Instant) -> bool {
    table.get(id).is_some_and(|row| row.check_rate(now).is_ok())
}

/// An endpoint becomes cold during its traffic, without a restart; its entry tells. The requests
/// of all daemons would crash it.
#[test]
fn an_endpoint_that_says_to_be_cold_again_starts_slowly() {
    let start = Instant::now();
    let mut table = table(None);
    table.put(cold_listing("a", None));
    assert!(may_send(&table, "a", start));
    let cold = cold_listing("a", Some(cold_from(start)));
    assert!(table.is_change(&cold), "the others must be told");
    table.put(cold.clone());
    assert!(!table.is_change(&cold), "the same statement again");
    assert!(!may_send(&table, "a", start));
    let warm = start + COLD_TIME + RAMP_TIME;
    assert!(may_send(&table, "a", warm));
}

/// The entries of a cold endpoint reach a daemon twice, one of them late. The late one must not
/// prolong the slow start, nor start it again.
#[test]
fn a_delayed_statement_does_not_prolong_the_slow_start() {
    let start = Instant::now();
    let mut table = table(None);
    table.put(cold_listing("a", Some(cold_from(start))));
    table.put(cold_listing(
        "a",
        Some(cold_from(start + Duration::from_millis(400))),
    ));
    assert!(may_send(&table, "a", start + COLD_TIME + RAMP_TIME));
}

/// The store returns every endpoint's entry with each list. A service without a cold rate has no
/// slow start, whatever its entries say.
#[test]
fn endpoints_of_a_service_without_a_cold_rate_serve_at_once() {
    let start = Instant::now();
    let mut table = EndpointTable::default();
    table.put(cold_listing("a", Some(cold_from(start))));
    assert!(may_send(&table, "a", start));
    table.set_slow_starts(vec![(
        "pool".into(),
        SlowStart::new(COLD_TIME, 1.0, TOLERANCE),
    )]);
    assert!(!may_send(&table, "a", start), "the rate is known later");
}
