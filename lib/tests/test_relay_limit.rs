//! Rate limits that endpoints announce, kept by many daemons without coordination.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use poplarvale_lib::relay::limit::{AnnouncedLimit, Limit, Source};
use poplarvale_lib::relay::sharers::Sharers;
use proptest::prelude::*;

const ENDPOINT: u32 = 77;
const STEP: Duration = Duration::from_millis(10);
/// Span over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which all daemons know the limit.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Time for which the daemons run.
const RUN_TIME: Duration = Duration::from_secs(24);

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0000 + number as u32)
}

/// Sharers as one daemon knows them: all daemons but those for which `misses` holds.
fn sharers(number: usize, daemons: usize, misses: impl Fn(usize) -> bool) -> Sharers {
    let others = (0..daemons).filter(|other| *other != number && !misses(*other));
    Sharers {
        is_isolated: false,
        me: address(number),
        others: others.map(address).collect(),
    }
}

fn announce(rate: f64, at: Instant) -> AnnouncedLimit {
    AnnouncedLimit {
        rate: Some(rate),
        at,
    }
}

fn first(announced: AnnouncedLimit, sharers: &Sharers) -> Limit {
    Limit::merge(None, ENDPOINT, announced, Source::Direct, sharers).expect("nothing was known")
}

/// Runs daemons that all have more requests than they may send; returns the times of those that
/// they send.
fn flood(daemons: &mut [Limit], start: Instant) -> Vec<Instant> {
    let mut sent = Vec::new();
    let mut now = start;
    while now < start + RUN_TIME {
        for limit in daemons.iter_mut() {
            while limit.check(now).is_ok() {
                limit.take(now);
                sent.push(now);
            }
        }
        now += STEP;
    }
    sent
}

/// Most requests within a window, among those after all daemons know the limit.
fn most_in_window(sent: &[Instant], start: Instant) -> usize {
    let late: Vec<Instant> = sent
        .iter()
        .copied()
        .filter(|at| *at >= start + KNOWN_AFTER)
        .collect();
    let within = |first: &Instant| {
        late.iter()
            .filter(|at| *at >= first && **at < *first + WINDOW)
            .count()
    };
    late.iter().map(within).max().unwrap_or(0)
}

fn max_in_window(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64() * 1.5 + 5.0
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever the limit and the number of daemons, no window has more than one and a half
    /// times the limit and a few requests, and most of the limit is used.
    #[test]
    fn any_number_of_daemons_keeps_any_limit(daemons in 1_usize..400, rate in 0.0_f64..40.0) {
        let start = Instant::now();
        let mut limits: Vec<Limit> = (0..daemons)
            .map(|number| first(announce(rate, start), &sharers(number, daemons, |_| false)))
            .collect();
        let sent = flood(&mut limits, start);
        let most = most_in_window(&sent, start) as f64;
        prop_assert!(most <= max_in_window(rate), "{most} of {} with {rate}", max_in_window(rate));
        let used = sent.len() as f64 / RUN_TIME.as_secs_f64();
        prop_assert!(used >= rate * 0.75 - 0.2, "{used} used of {rate}");
    }

    /// Daemons that do not receive from some of the others choose a few more sharers.
    #[test]
    fn daemons_that_miss_a_few_others_keep_the_limit(daemons in 2_usize..400, rate in 0.2_f64..20.0, lost in 0_usize..20) {
        let start = Instant::now();
        let misses = |number: usize, other: usize| (number * 31 + other * 17) % 20 == lost;
        let mut limits: Vec<Limit> = (0..daemons)
            .map(|number| first(announce(rate, start), &sharers(number, daemons, |other| misses(number, other))))
            .collect();
        let sent = flood(&mut limits, start);
        let most = most_in_window(&sent, start) as f64;
        prop_assert!(most <= max_in_window(rate), "{most} of {} with {rate}", max_in_window(rate));
    }
}

/// An announcement that was delayed must not restore a limit that the endpoint has lifted
/// since.
#[test]
fn the_newest_announcement_of_a_limit_wins() {
    let start = Instant::now();
    let single = sharers(0, 1, |_| false);
    let limit = first(announce(1.0, start), &single);
    let later = AnnouncedLimit {
        rate: None,
        at: start + STEP,
    };
    let limit =
        Limit::merge(Some(&limit), ENDPOINT, later, Source::Zone, &single).expect("it is newer");
    assert_eq!(limit.rate(), None);
    assert!(limit.check(start + STEP).is_ok());
    let late = announce(1.0, start);
    assert_eq!(
        Limit::merge(Some(&limit), ENDPOINT, late, Source::Direct, &single),
        None
    );
}

/// Announcements are passed on only towards daemons that are further from the endpoint. If all
/// daemons passed them on, an old one would go round for ever, newer at each hop by the delay.
#[test]
fn announcements_are_not_passed_back() {
    let start = Instant::now();
    let single = sharers(0, 1, |_| false);
    let own = first(announce(1.0, start), &single);
    let known = Some(announce(1.0, start));
    assert_eq!(own.report(Source::Direct, start + RUN_TIME), known);
    let received = |source| Limit::merge(None, ENDPOINT, announce(1.0, start), source, &single);
    let of_zone = received(Source::Zone).expect("nothing was known");
    assert_eq!(of_zone.report(Source::Direct, start), None);
    assert_eq!(of_zone.report(Source::Zone, start), known);
    let of_fleet = received(Source::Fleet).expect("nothing was known");
    assert_eq!(of_fleet.report(Source::Zone, start), None);
    assert_eq!(of_fleet.report(Source::Fleet, start), known);
}

/// A daemon has sent nothing for a long time when an endpoint starts to announce a limit, and
/// must not have accumulated tokens in that time.
#[test]
fn a_new_limit_starts_without_tokens() {
    let start = Instant::now();
    let single = sharers(0, 1, |_| false);
    let limit = first(announce(1.0, start), &single);
    let over = AnnouncedLimit {
        rate: None,
        at: start + RUN_TIME,
    };
    let limit =
        Limit::merge(Some(&limit), ENDPOINT, over, Source::Direct, &single).expect("it is newer");
    let again = announce(1.0, start + RUN_TIME * 2);
    let limit =
        Limit::merge(Some(&limit), ENDPOINT, again, Source::Direct, &single).expect("it is newer");
    assert!(limit.check(start + RUN_TIME * 2).is_err());
}

/// An endpoint that takes nothing still gets a request now and then. Otherwise the end of its
/// overload would never be noticed.
#[test]
fn an_endpoint_that_takes_nothing_is_tried_again() {
    let start = Instant::now();
    let mut limits: Vec<Limit> = (0..7)
        .map(|number| first(announce(0.0, start), &sharers(number, 7, |_| false)))
        .collect();
    let sent = flood(&mut limits, start).len();
    assert!((1..=6).contains(&sent), "{sent}");
}

/// A daemon without a share of a limit gets one when those that have one are gone.
#[test]
fn sharers_that_are_gone_are_replaced() {
    let start = Instant::now();
    let mut limits: Vec<Limit> = (0..50)
        .map(|number| first(announce(1.0, start), &sharers(number, 50, |_| false)))
        .collect();
    let shares =
        |limit: &Limit| limit.check(start).expect_err("there are no tokens yet") < Duration::MAX;
    let gone: Vec<usize> = (0..50).filter(|number| shares(&limits[*number])).collect();
    assert!((1..=5).contains(&gone.len()));
    for (number, limit) in limits.iter_mut().enumerate() {
        limit.update_share(
            ENDPOINT,
            &sharers(number, 50, |other| gone.contains(&other)),
            start,
        );
    }
    let next = (0..50).filter(|number| !gone.contains(number) && shares(&limits[*number]));
    assert_eq!(next.count(), gone.len());
}

/// Daemons restart one after the other, and others share the limit in their place. These must
/// not have accumulated tokens while they had no share.
#[test]
fn a_new_sharer_starts_without_tokens() {
    let start = Instant::now();
    let mut limits: Vec<Limit> = (0..50)
        .map(|number| first(announce(1.0, start), &sharers(number, 50, |_| false)))
        .collect();
    let later = start + RUN_TIME;
    let without: Vec<usize> = (0..50)
        .filter(|number| limits[*number].check(later).is_err())
        .collect();
    assert!(without.len() >= 45);
    for number in without {
        limits[number].update_share(ENDPOINT, &sharers(number, 1, |_| false), later);
        assert!(limits[number].check(later).is_err(), "{number}");
        assert!(limits[number].check(later + WINDOW).is_ok(), "{number}");
    }
}

/// Each answer announces the limit again, which must not discard a daemon's accumulated tokens.
#[test]
fn a_limit_that_is_announced_again_keeps_its_tokens() {
    let start = Instant::now();
    let single = sharers(0, 1, |_| false);
    let mut limit = first(announce(1.0, start), &single);
    let (mut now, mut sent) = (start, 0);
    while now < start + RUN_TIME {
        now += STEP;
        limit = Limit::merge(
            Some(&limit),
            ENDPOINT,
            announce(1.0, now),
            Source::Direct,
            &single,
        )
        .expect("it is newer");
        if limit.check(now).is_ok() {
            limit.take(now);
            sent += 1;
        }
    }
    assert!((22..=25).contains(&sent), "{sent}");
}
