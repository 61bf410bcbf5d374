//! Feeds of registry changes among daemons, when a daemon reads the store itself, the choice of
//! watchers, and the schedule of digests.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::change_feed::{ChangeFeed, FeedAction, RegistryChange, StoreProgress};
use poplarvale_lib::relay::digest::{Location, Peers, Schedule, WATCHERS};
use poplarvale_lib::revision_in;

use crate::test_relay_endpoint_table::listing;

/// Time without a feed after which a daemon reads the store itself.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two feeds.
const PERIOD: Duration = Duration::from_millis(250);

fn put(id: &str) -> RegistryChange {
    RegistryChange::Put(listing(id))
}

/// A watcher and a daemon that receives its feeds; both read the store at revision 10.
fn pair(now: Instant) -> (StoreProgress, StoreProgress) {
    let mut watcher = StoreProgress::default();
    watcher.record_snapshot(10, now);
    (watcher.clone(), watcher)
}

fn feed(watcher: &StoreProgress, now: Instant) -> ChangeFeed {
    watcher
        .feed(0, &[], now)
        .expect("the store answered recently")
}

/// A feed of a watcher is lost. The next one has the same changes again, and they are applied
/// only once.
#[test]
fn a_change_is_sent_until_received_and_applied_once() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    watcher.record_change(12, put("a"), now);
    watcher.record_watch(13, now);
    let lost = feed(&watcher, now);
    watcher.record_change(14, RegistryChange::Removed("a".into()), now);
    watcher.record_watch(15, now);
    let next = feed(&watcher, now);
    let both = FeedAction::Apply(
        vec![put("a"), RegistryChange::Removed("a".into())],
        Some(vec![]),
    );
    assert_eq!(other.merge(next.clone(), TIMEOUT, now), both);
    assert_eq!(
        other.merge(next, TIMEOUT, now),
        FeedAction::Apply(vec![], None)
    );
    assert_eq!(
        other.merge(lost, TIMEOUT, now),
        FeedAction::Apply(vec![], None)
    );
    assert_eq!(other.revision(), Some(15));
}

/// A watcher is killed or paused and sends no more feeds, and an endpoint may leave meanwhile.
/// The others read the store themselves before they send requests to it for long.
#[test]
fn a_daemon_without_feeds_reads_the_store() {
    let now = Instant::now();
    let (watcher, mut other) = pair(now);
    other.merge(feed(&watcher, now), TIMEOUT, now);
    assert!(other.fed_until(now + PERIOD).is_some());
    assert!(other.fed_until(now + TIMEOUT).is_none());
}

/// A watcher goes on sending feeds, but the store no longer answers it. Its feeds are based on
/// an old answer, however many it sends.
#[test]
fn feeds_without_a_recent_answer_of_the_store_do_not_suffice() {
    let now = Instant::now();
    let (watcher, mut other) = pair(now);
    let mut at = now;
    while let Some(next) = watcher.feed(0, &[], at) {
        other.merge(next, TIMEOUT, at);
        at += PERIOD;
        assert!(
            at < now + Duration::from_secs(3),
            "the watcher sends feeds without end"
        );
    }
    assert!(other.fed_until(now + Duration::from_secs(2)).is_none());
}

/// All feeds of some seconds are lost, or a watcher has just started: changes between the known
/// revision and the feed are missing. If the feed were applied, an endpoint that left would get
/// requests without end.
#[test]
fn a_gap_before_a_feed_makes_a_daemon_read_the_store() {
    let now = Instant::now();
    let (_, mut other) = pair(now);
    let mut late = StoreProgress::default();
    late.record_snapshot(20, now);
    assert_eq!(
        other.merge(feed(&late, now), TIMEOUT, now),
        FeedAction::Read
    );
    assert!(other.fed_until(now).is_none());
    assert_eq!(other.revision(), Some(10));
}

/// Hundreds of endpoints change at once. A feed with all changes would be too long for a
/// datagram; a daemon that missed some of them reads the store itself.
#[test]
fn a_burst_of_changes_does_not_make_a_feed_too_long() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    for revision in 11..=1000 {
        watcher.record_change(revision, put(&format!("i-{revision}")), now);
    }
    watcher.record_watch(1000, now);
    let next = feed(&watcher, now);
    assert!(next.changes.len() <= 250, "{}", next.changes.len());
    assert_eq!(other.merge(next, TIMEOUT, now), FeedAction::Read);
}

/// Operators change the configuration. It is too long for a feed, so every daemon reads it from
/// the store, and ignores feeds until that is done.
#[test]
fn a_configuration_change_makes_every_daemon_read_the_store() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    watcher.record_config_change(12);
    watcher.record_watch(12, now);
    let next = feed(&watcher, now);
    assert_eq!(other.merge(next.clone(), TIMEOUT, now), FeedAction::Read);
    other.begin_read();
    assert_eq!(other.merge(next.clone(), TIMEOUT, now), FeedAction::Ignore);
    other.record_watch(12, now);
    other.end_read();
    assert_eq!(
        other.merge(next, TIMEOUT, now),
        FeedAction::Apply(vec![], None)
    );
    assert!(other.fed_until(now).is_some());
}

/// One daemon applied a change wrongly, or received a false report that an endpoint leaves. Each
/// change is applied only once, so the daemon reads everything when its checksum differs.
#[test]
fn a_daemon_with_a_lasting_checksum_mismatch_reads_everything() {
    let now = Instant::now();
    let (_, mut other) = pair(now);
    assert!(other.compare(1, 2));
    assert!(other.compare(1, 1));
    let right = (0..100).take_while(|_| other.compare(1, 2)).count();
    assert!(right < 20, "the checksum differs for {right} feeds");
    assert_eq!(other.revision(), None);
}

/// The store is down for all daemons, or rejects watches. No daemon relies on what it knew before
/// the outage.
#[test]
fn no_feed_is_applied_before_the_store_was_read() {
    let now = Instant::now();
    let (watcher, mut other) = pair(now);
    other.invalidate();
    assert_eq!(
        other.merge(feed(&watcher, now), TIMEOUT, now),
        FeedAction::Ignore
    );
    assert!(other.fed_until(now).is_none());
}

/// The daemons of a zone rank themselves without an election. Each zone has exactly
/// [`WATCHERS`] watchers, on the largest hosts, and other daemons take over when these become
/// unresponsive.
#[test]
fn daemons_on_the_largest_hosts_of_a_zone_are_watchers() {
    let now = Instant::now();
    let address = |at: u8| std::net::Ipv4Addr::new(10, 0, 0, at);
    let location = |at: u8| Location {
        zone: u32::from(at % 2),
        memory_mb: if at >= 8 { 512 } else { 160 },
    };
    let mut daemons: Vec<Peers> = (0..12)
        .map(|at| Peers::new(address(at), location(at), &[], now))
        .collect();
    for (at, peers) in daemons.iter_mut().enumerate() {
        for other in (0..12).filter(|other| usize::from(*other) != at) {
            let name = format!("d{other}").into();
            peers.record_digest(address(other), &name, 1, 1, now);
            peers.update(address(other), location(other), None);
        }
    }
    let is_watcher = |at: usize, now: Instant| daemons[at].is_watcher(now);
    let all: Vec<usize> = (0..12).filter(|at| is_watcher(*at, now)).collect();
    assert_eq!(all, [8, 9, 10, 11]);
    assert_eq!(all.len(), 2 * WATCHERS);
    assert!(is_watcher(0, now + TIMEOUT * 2));
}

/// Daemons start at different moments, and urgent digests come in between. In each case the other
/// zones must get full digests, by which daemons discover one another and usage is counted. When
/// the ticks of the other zones never coincided with a full digest, zones stayed separate for a
/// whole day.
#[test]
fn other_zones_get_full_digests_at_any_interval() {
    let start = Instant::now();
    for remote_every in 1..=12 {
        for urgent in 0..=12 {
            let mut schedule = Schedule::new(start);
            let later = start + Duration::from_secs(10);
            let ticks: Vec<_> = (0..100)
                .map(|tick| schedule.next(remote_every, tick == urgent, later))
                .collect();
            let local = ticks.iter().filter(|due| due.local).count();
            let remote = ticks.iter().filter(|due| due.remote == Some(true)).count();
            assert!(local >= 24, "{local} at an interval of {remote_every}");
            assert!(
                remote >= 100 / (remote_every as usize * 4),
                "{remote} at an interval of {remote_every}"
            );
        }
    }
}

/// All daemons start at once and know only the same few seeds. They discover one another through
/// the first digests of these, not seconds later.
#[test]
fn the_first_digests_are_full() {
    let start = Instant::now();
    let due = Schedule::new(start).next(1, false, start);
    assert!(due.local);
    assert_eq!(due.remote, Some(true));
}

/// A watcher has not noticed yet that the store came back from an older copy; its feeds are of
/// the former era of the store.
#[test]
fn feeds_of_a_former_era_are_ignored() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    other.record_snapshot(revision_in(1, 3), now);
    watcher.record_change(12, put("a"), now);
    watcher.record_watch(13, now);
    assert_eq!(
        other.merge(feed(&watcher, now), TIMEOUT, now),
        FeedAction::Ignore
    );
    assert!(other.fed_until(now).is_none());
    watcher.record_snapshot(revision_in(1, 4), now);
    assert_eq!(
        other.merge(feed(&watcher, now), TIMEOUT, now),
        FeedAction::Read
    );
}
