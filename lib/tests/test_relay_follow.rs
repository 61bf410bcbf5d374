//! What daemons are told of the store, and when they look for themselves.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::digest::{Peers, Place, Turns, WATCHERS};
use poplarvale_lib::relay::follow::{Entry, Follow, Heard, News};
use poplarvale_lib::revision_in;

use crate::test_relay_endpoint_table::listing;

const SILENT: Duration = Duration::from_secs(1);
const BEAT: Duration = Duration::from_millis(250);

fn put(id: &str) -> Entry {
    Entry::Put(listing(id))
}

/// A watcher and a daemon that is told, which both read the store at revision 10.
fn pair(now: Instant) -> (Follow, Follow) {
    let mut watcher = Follow::default();
    watcher.read(10, now);
    (watcher.clone(), watcher)
}

fn told(watcher: &Follow, now: Instant) -> News {
    watcher.tell(0, now).expect("the store answers")
}

/// A word of a watcher is lost. The next one tells the changes again, once.
#[test]
fn a_change_is_told_until_it_is_heard_and_taken_once() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    watcher.saw(12, put("a"), now);
    watcher.watched(13, now);
    let lost = told(&watcher, now);
    watcher.saw(14, Entry::Gone("a".into()), now);
    watcher.watched(15, now);
    let news = told(&watcher, now);
    let both = Heard::Take(vec![put("a"), Entry::Gone("a".into())]);
    assert_eq!(other.hear(news.clone(), SILENT, now), both);
    assert_eq!(other.hear(news, SILENT, now), Heard::Take(vec![]));
    assert_eq!(other.hear(lost, SILENT, now), Heard::Take(vec![]));
    assert_eq!(other.revision(), Some(15));
}

/// A watcher is killed or paused: it tells nothing any more, and an endpoint may leave
/// meanwhile. The others look for themselves before that becomes too late.
#[test]
fn a_daemon_that_hears_no_watcher_looks_for_itself() {
    let now = Instant::now();
    let (watcher, mut other) = pair(now);
    other.hear(told(&watcher, now), SILENT, now);
    assert!(other.told(now + BEAT).is_some());
    assert!(other.told(now + SILENT).is_none());
}

/// A watcher goes on telling, but the store does not answer it any more. What it says is
/// old, however often it says it.
#[test]
fn a_watcher_without_answers_of_the_store_is_not_believed() {
    let now = Instant::now();
    let (watcher, mut other) = pair(now);
    let mut at = now;
    while let Some(news) = watcher.tell(0, at) {
        other.hear(news, SILENT, at);
        at += BEAT;
        assert!(at < now + Duration::from_secs(3), "it is told for ever");
    }
    assert!(other.told(now + Duration::from_secs(2)).is_none());
}

/// All words of some seconds are lost, or a watcher has just begun: changes are missing
/// between what is known and what is told. Taken as it is, an endpoint that left would
/// get requests for ever.
#[test]
fn a_gap_in_the_news_is_not_passed_over() {
    let now = Instant::now();
    let (_, mut other) = pair(now);
    let mut late = Follow::default();
    late.read(20, now);
    assert_eq!(other.hear(told(&late, now), SILENT, now), Heard::Look);
    assert!(other.told(now).is_none());
    assert_eq!(other.revision(), Some(10));
}

/// Hundreds of endpoints change at once. A word that named them all would be too long for a
/// datagram; who missed some of it looks for itself.
#[test]
fn a_burst_of_changes_does_not_make_a_word_too_long() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    for revision in 11..=1000 {
        watcher.saw(revision, put(&format!("i-{revision}")), now);
    }
    watcher.watched(1000, now);
    let news = told(&watcher, now);
    assert!(news.entries.len() <= 250, "{}", news.entries.len());
    assert_eq!(other.hear(news, SILENT, now), Heard::Look);
}

/// The operators change the configuration. It is too long to be told, so everybody reads
/// it, and goes by no word until that is done.
#[test]
fn a_change_by_operators_makes_everybody_look() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    watcher.saw_order(12);
    watcher.watched(12, now);
    let news = told(&watcher, now);
    assert_eq!(other.hear(news.clone(), SILENT, now), Heard::Look);
    other.begin();
    assert_eq!(other.hear(news.clone(), SILENT, now), Heard::Nothing);
    other.watched(12, now);
    other.end();
    assert_eq!(other.hear(news, SILENT, now), Heard::Take(vec![]));
    assert!(other.told(now).is_some());
}

/// A change went wrong at one daemon, say by a false word that an endpoint leaves. It is
/// told only once, so the daemon reads everything when it sees that it differs.
#[test]
fn a_daemon_that_differs_for_long_reads_everything() {
    let now = Instant::now();
    let (_, mut other) = pair(now);
    assert!(other.compare(1, 2));
    assert!(other.compare(1, 1));
    let right = (0..100).take_while(|_| other.compare(1, 2)).count();
    assert!(right < 20, "it differs for {right} words");
    assert_eq!(other.revision(), None);
}

/// The store is away for everybody, or turns the watchers off. No daemon goes by what was
/// known before the outage.
#[test]
fn nothing_is_taken_before_the_store_was_read() {
    let now = Instant::now();
    let (watcher, mut other) = pair(now);
    other.lost();
    assert_eq!(other.hear(told(&watcher, now), SILENT, now), Heard::Nothing);
    assert!(other.told(now).is_none());
}

/// Daemons of one zone rank themselves without talk. Each zone has as many watchers as it
/// should, on the largest hosts, and others follow when these fall silent.
#[test]
fn the_largest_hosts_of_a_zone_watch() {
    let now = Instant::now();
    let address = |at: u8| std::net::Ipv4Addr::new(10, 0, 0, at);
    let place = |at: u8| Place {
        zone: u32::from(at % 2),
        memory: if at >= 8 { 512 } else { 160 },
    };
    let mut daemons: Vec<Peers> = (0..12)
        .map(|at| Peers::new(address(at), place(at), &[], now))
        .collect();
    for (at, peers) in daemons.iter_mut().enumerate() {
        for other in (0..12).filter(|other| usize::from(*other) != at) {
            let name = format!("d{other}").into();
            peers.hear(address(other), &name, 1, 1, now);
            peers.tell(address(other), place(other), None);
        }
    }
    let watch = |at: usize, now: Instant| daemons[at].is_watcher(now);
    let all: Vec<usize> = (0..12).filter(|at| watch(*at, now)).collect();
    assert_eq!(all, [8, 9, 10, 11]);
    assert_eq!(all.len(), 2 * WATCHERS);
    assert!(watch(0, now + SILENT * 2));
}

/// Daemons start at moments of their own, and urgent words come in between. However that
/// falls out, each zone must get the whole digests by which daemons find one another and
/// usage is counted: in a run where it did not, zones stayed apart for a whole day.
#[test]
fn other_zones_get_whole_digests_whatever_the_rounds() {
    let start = Instant::now();
    for rounds in 1..=12 {
        for urgent in 0..=12 {
            let mut turns = Turns::new(start);
            let later = start + Duration::from_secs(10);
            let turns: Vec<_> = (0..100)
                .map(|turn| turns.next(rounds, turn == urgent, later))
                .collect();
            let near = turns.iter().filter(|turn| turn.near).count();
            let far = turns.iter().filter(|turn| turn.far == Some(true)).count();
            assert!(near >= 24, "{near} with {rounds} rounds");
            assert!(
                far >= 100 / (rounds as usize * 4),
                "{far} with {rounds} rounds"
            );
        }
    }
}

/// All daemons start at once and know the same few seeds only. They find one another with
/// the first words of these, not seconds later.
#[test]
fn the_first_digests_are_whole() {
    let start = Instant::now();
    let turn = Turns::new(start).next(1, false, start);
    assert!(turn.near);
    assert_eq!(turn.far, Some(true));
}

/// A watcher has not seen yet that the store came back from an older copy; what it tells is
/// of a history that is over.
#[test]
fn news_of_a_former_era_counts_for_nothing() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    other.read(revision_in(1, 3), now);
    watcher.saw(12, put("a"), now);
    watcher.watched(13, now);
    assert_eq!(other.hear(told(&watcher, now), SILENT, now), Heard::Nothing);
    assert!(other.told(now).is_none());
    watcher.read(revision_in(1, 4), now);
    assert_eq!(other.hear(told(&watcher, now), SILENT, now), Heard::Look);
}
