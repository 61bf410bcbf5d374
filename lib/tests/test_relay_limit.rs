//! Limits that endpoints name, kept by many daemons without talk.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use poplarvale_lib::relay::limit::{Limit, Said, Sharers};
use proptest::prelude::*;

const ENDPOINT: u32 = 77;
const STEP: Duration = Duration::from_millis(10);
/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which all daemons know the limit, and time that they are watched.
const KNOWN: Duration = Duration::from_secs(3);
const LONG: Duration = Duration::from_secs(24);

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0000 + number as u32)
}

/// What a daemon knows of the others: all but those that `misses` names.
fn sharers(number: usize, daemons: usize, misses: impl Fn(usize) -> bool) -> Sharers {
    let others = (0..daemons).filter(|other| *other != number && !misses(*other));
    Sharers {
        me: address(number),
        others: others.map(address).collect(),
    }
}

fn named(rate: f64, heard: Instant) -> Said {
    Said {
        rate: Some(rate),
        heard,
    }
}

fn first(said: Said, sharers: &Sharers) -> Limit {
    Limit::hear(None, ENDPOINT, said, true, sharers).expect("nothing was known")
}

/// Daemons that all have more than they may send; gives the times of what they send.
fn flood(daemons: &mut [Limit], start: Instant) -> Vec<Instant> {
    let mut sent = Vec::new();
    let mut now = start;
    while now < start + LONG {
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

/// Most within a window, of what came after all daemons know.
fn most(sent: &[Instant], start: Instant) -> usize {
    let late: Vec<Instant> = sent
        .iter()
        .copied()
        .filter(|at| *at >= start + KNOWN)
        .collect();
    let within = |first: &Instant| {
        late.iter()
            .filter(|at| *at >= first && **at < *first + WINDOW)
            .count()
    };
    late.iter().map(within).max().unwrap_or(0)
}

fn allowed(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64() * 1.5 + 5.0
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever the limit and the number of daemons, no window has more than one and a half
    /// times the limit and a few, and most of the limit is used.
    #[test]
    fn any_number_of_daemons_keeps_any_limit(daemons in 1_usize..400, rate in 0.0_f64..40.0) {
        let start = Instant::now();
        let mut limits: Vec<Limit> = (0..daemons)
            .map(|number| first(named(rate, start), &sharers(number, daemons, |_| false)))
            .collect();
        let sent = flood(&mut limits, start);
        let most = most(&sent, start) as f64;
        prop_assert!(most <= allowed(rate), "{most} of {} with {rate}", allowed(rate));
        let used = sent.len() as f64 / LONG.as_secs_f64();
        prop_assert!(used >= rate * 0.75 - 0.2, "{used} used of {rate}");
    }

    /// Daemons that do not hear some of the others choose a few sharers more.
    #[test]
    fn daemons_that_miss_a_few_others_keep_the_limit(daemons in 2_usize..400, rate in 0.2_f64..20.0, lost in 0_usize..20) {
        let start = Instant::now();
        let misses = |number: usize, other: usize| (number * 31 + other * 17) % 20 == lost;
        let mut limits: Vec<Limit> = (0..daemons)
            .map(|number| first(named(rate, start), &sharers(number, daemons, |other| misses(number, other))))
            .collect();
        let sent = flood(&mut limits, start);
        let most = most(&sent, start) as f64;
        prop_assert!(most <= allowed(rate), "{most} of {} with {rate}", allowed(rate));
    }
}

/// A word that was long on its way must not bring back what an endpoint has taken back since.
#[test]
fn the_newest_word_of_a_limit_holds() {
    let start = Instant::now();
    let alone = sharers(0, 1, |_| false);
    let limit = first(named(1.0, start), &alone);
    let later = Said {
        rate: None,
        heard: start + STEP,
    };
    let limit = Limit::hear(Some(&limit), ENDPOINT, later, false, &alone).expect("it is newer");
    assert_eq!(limit.rate(), None);
    assert!(limit.check(start + STEP).is_ok());
    let late = named(1.0, start);
    assert_eq!(
        Limit::hear(Some(&limit), ENDPOINT, late, true, &alone),
        None
    );
}

/// A daemon tells on only what an endpoint said to itself; told on by all, an old word would
/// never end.
#[test]
fn what_was_told_is_not_told_on() {
    let start = Instant::now();
    let alone = sharers(0, 1, |_| false);
    let own = first(named(1.0, start), &alone);
    assert_eq!(own.tell(start + LONG), Some(named(1.0, start)));
    let told = Limit::hear(None, ENDPOINT, named(1.0, start), false, &alone);
    assert_eq!(told.expect("nothing was known").tell(start), None);
}

/// A daemon has sent nothing for long when an endpoint begins to name a limit, and has not
/// gathered anything meanwhile.
#[test]
fn nothing_is_in_hand_when_a_limit_begins() {
    let start = Instant::now();
    let alone = sharers(0, 1, |_| false);
    let limit = first(named(1.0, start), &alone);
    let over = Said {
        rate: None,
        heard: start + LONG,
    };
    let limit = Limit::hear(Some(&limit), ENDPOINT, over, true, &alone).expect("newer");
    let again = named(1.0, start + LONG * 2);
    let limit = Limit::hear(Some(&limit), ENDPOINT, again, true, &alone).expect("newer");
    assert!(limit.check(start + LONG * 2).is_err());
}

/// An endpoint that takes nothing is asked now and then, or its end of need is never heard.
#[test]
fn an_endpoint_that_takes_nothing_is_tried_again() {
    let start = Instant::now();
    let mut limits: Vec<Limit> = (0..7)
        .map(|number| first(named(0.0, start), &sharers(number, 7, |_| false)))
        .collect();
    let sent = flood(&mut limits, start).len();
    assert!((1..=6).contains(&sent), "{sent}");
}

/// A daemon that shares nothing of a limit does so when those that do are gone.
#[test]
fn sharers_that_are_gone_are_replaced() {
    let start = Instant::now();
    let mut limits: Vec<Limit> = (0..50)
        .map(|number| first(named(1.0, start), &sharers(number, 50, |_| false)))
        .collect();
    let shares =
        |limit: &Limit| limit.check(start).expect_err("nothing is in hand") < Duration::MAX;
    let gone: Vec<usize> = (0..50).filter(|number| shares(&limits[*number])).collect();
    assert!((1..=5).contains(&gone.len()));
    for (number, limit) in limits.iter_mut().enumerate() {
        limit.divide(
            ENDPOINT,
            &sharers(number, 50, |other| gone.contains(&other)),
            start,
        );
    }
    let next = (0..50).filter(|number| !gone.contains(number) && shares(&limits[*number]));
    assert_eq!(next.count(), gone.len());
}

/// Daemons restart one after the other, and others share the limit in their place: these have
/// not gathered anything while they had no share.
#[test]
fn a_new_sharer_has_nothing_in_hand() {
    let start = Instant::now();
    let mut limits: Vec<Limit> = (0..50)
        .map(|number| first(named(1.0, start), &sharers(number, 50, |_| false)))
        .collect();
    let later = start + LONG;
    let without: Vec<usize> = (0..50)
        .filter(|number| limits[*number].check(later).is_err())
        .collect();
    assert!(without.len() >= 45);
    for number in without {
        limits[number].divide(ENDPOINT, &sharers(number, 1, |_| false), later);
        assert!(limits[number].check(later).is_err(), "{number}");
        assert!(limits[number].check(later + WINDOW).is_ok(), "{number}");
    }
}

/// Each answer names the limit again; what a daemon has gathered meanwhile is not lost by it.
#[test]
fn a_limit_that_is_named_again_is_still_used() {
    let start = Instant::now();
    let alone = sharers(0, 1, |_| false);
    let mut limit = first(named(1.0, start), &alone);
    let (mut now, mut sent) = (start, 0);
    while now < start + LONG {
        now += STEP;
        limit = Limit::hear(Some(&limit), ENDPOINT, named(1.0, now), true, &alone).expect("newer");
        if limit.check(now).is_ok() {
            limit.take(now);
            sent += 1;
        }
    }
    assert!((22..=25).contains(&sent), "{sent}");
}
