//! Requests that crash endpoints, as daemons know them together.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::crash::{Crashes, ENOUGH, KEPT, Noted, content};
use proptest::prelude::*;

const FATAL: u64 = 7;
const OTHER: u64 = 8;
/// Time between two digests.
const PERIOD: Duration = Duration::from_millis(250);

/// Passes what one daemon tells on to another.
fn digest(from: &Crashes, to: &mut Crashes, whole: bool, now: Instant) {
    for crash in from.tell(whole, now) {
        to.hear(&crash, now);
    }
    for content in from.tell_cleared(now) {
        to.hear_cleared(content);
    }
}

/// A request ends endpoints through daemons of which none sees enough of it alone.
#[test]
fn ends_seen_by_different_daemons_count_together() {
    let now = Instant::now();
    let mut daemons = vec![Crashes::default(); ENOUGH];
    for (life, daemon) in (1..).zip(&mut daemons) {
        daemon.note(FATAL, life, now);
    }
    let (last, others) = daemons.split_last_mut().expect("there are some");
    for other in others.iter() {
        digest(other, last, false, now);
    }
    assert_eq!(last.held(FATAL, now), Some(KEPT));
    assert_eq!(last.held(OTHER, now), None);
    digest(last, &mut others[0], false, now);
    assert!(others[0].held(FATAL, now).is_some());
}

/// One endpoint's end breaks several sendings of a request, and each daemon tells of it again
/// and again.
#[test]
fn one_end_counts_once() {
    let now = Instant::now();
    let (mut one, mut other) = (Crashes::default(), Crashes::default());
    for _ in 0..ENOUGH {
        one.note(FATAL, 1, now);
        other.note(FATAL, 1, now);
        digest(&one, &mut other, true, now);
    }
    assert_eq!(other.held(FATAL, now), None);
}

/// A popular request was at three endpoints that ended by themselves; it is served elsewhere
/// and must not be refused for it.
#[test]
fn a_request_that_is_served_is_cleared_everywhere() {
    let now = Instant::now();
    let (mut one, mut other) = (Crashes::default(), Crashes::default());
    for life in 0..ENOUGH as u32 {
        one.note(FATAL, life, now);
    }
    digest(&one, &mut other, false, now);
    assert!(other.held(FATAL, now).is_some());
    assert!(other.clear(FATAL, now));
    // A word that was on its way does not bring it back.
    digest(&one, &mut other, false, now);
    digest(&other, &mut one, false, now);
    assert_eq!(one.held(FATAL, now), None);
    assert_eq!(other.held(FATAL, now), None);
}

/// Daemons tell one another of a quarantined request for as long as they know it; it must
/// not outlive its time by that.
#[test]
fn a_quarantine_ends_though_daemons_tell_it_on() {
    let start = Instant::now();
    let (mut one, mut other) = (Crashes::default(), Crashes::default());
    for life in 0..ENOUGH as u32 {
        one.note(FATAL, life, start);
    }
    let mut now = start;
    while now < start + KEPT + PERIOD {
        now += PERIOD;
        digest(&one, &mut other, true, now);
        digest(&other, &mut one, true, now);
        one.expire(now);
        other.expire(now);
    }
    assert!(one.is_empty() && other.is_empty());
}

/// A wave of crashes makes many requests suspicious at once. What is known of the one that
/// is quarantined must not be lost to them, nor fill the digests.
#[test]
fn a_wave_of_suspects_displaces_no_quarantine() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for life in 0..ENOUGH as u32 {
        crashes.note(FATAL, life, now);
    }
    for content in 1000..20_000 {
        crashes.note(content, 99, now + PERIOD);
    }
    assert!(crashes.held(FATAL, now + PERIOD).is_some());
    let told = crashes.tell(false, now + PERIOD);
    assert_eq!(told[0].content, FATAL);
    assert!(told.len() < 100);
}

/// A word without lives, or whose time is over, names no request.
#[test]
fn empty_words_change_nothing() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crashes.note(OTHER, 1, now);
    let mut crash = crashes.tell(false, now).remove(0);
    let mut other = Crashes::default();
    crash.left = Duration::ZERO;
    assert_eq!(other.hear(&crash, now), Noted::Nothing);
    crash.left = KEPT;
    crash.lives.clear();
    assert_eq!(other.hear(&crash, now), Noted::Nothing);
    assert!(other.is_empty());
}

/// Parts that are the same when joined are different requests.
#[test]
fn the_content_tells_requests_apart() {
    let all = [
        content("club", "a.example", b"GET", b"/a", b""),
        content("club", "a.example", b"GET", b"/", b"a"),
        content("clu", "ba.example", b"GET", b"/a", b""),
        content("club", "a.example", b"POST", b"/a", b""),
    ];
    for (at, one) in all.iter().enumerate() {
        assert!(!all[at + 1..].contains(one));
    }
}

proptest! {
    /// Whatever words are lost, late or repeated: once each daemon has heard each other one,
    /// all hold the same requests back, and just those under which enough endpoints ended.
    #[test]
    fn daemons_agree_after_lost_and_repeated_words(
        ends in prop::collection::vec((0_usize..4, 0_u64..5, 0_u32..8), 0..30),
        words in prop::collection::vec((0_usize..4, 0_usize..4), 0..30),
    ) {
        let now = Instant::now();
        let mut daemons = vec![Crashes::default(); 4];
        for (at, (daemon, content, life)) in ends.iter().enumerate() {
            daemons[*daemon].note(*content, *life, now);
            if let Some((from, to)) = words.get(at) {
                let from = daemons[*from].clone();
                digest(&from, &mut daemons[*to], true, now);
            }
        }
        for _ in 0..2 {
            for (from, to) in (0..4).flat_map(|from| (0..4).map(move |to| (from, to))) {
                let from = daemons[from].clone();
                digest(&from, &mut daemons[to], true, now);
            }
        }
        for content in 0..5 {
            let mut lives: Vec<u32> = ends.iter().filter(|end| end.1 == content).map(|end| end.2).collect();
            lives.sort_unstable();
            lives.dedup();
            for daemon in &daemons {
                prop_assert_eq!(daemon.held(content, now).is_some(), lives.len() >= ENOUGH);
            }
        }
    }
}
