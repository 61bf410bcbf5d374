//! How daemons get the registry from the watchers of their zone: feeds, pages and snapshots.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::change_feed::{
    ChangeFeed, FeedAction, Pull, RegistryChange, StoreProgress,
};
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::revision_in;

use crate::test_relay_endpoint_table::listing;

/// Time between two feeds.
const PERIOD: Duration = Duration::from_millis(250);
/// Longest feed or page; at some forty bytes each, a tenth of the largest datagram.
const MOST_CHANGES: usize = 200;

fn put(id: &str) -> RegistryChange {
    RegistryChange::Put(listing(id))
}

fn removed(id: &str) -> RegistryChange {
    RegistryChange::Removed(id.into())
}

/// `count` entries that were written at the revisions from 1 on.
fn entries(count: u64) -> Vec<(u64, Listing)> {
    let entry = |revision| (revision, listing(&format!("i-{revision:04}")));
    (1..=count).map(entry).collect()
}

/// A watcher that read `count` entries as of revision `count`.
fn watcher(count: u64, now: Instant) -> StoreProgress {
    let mut watcher = StoreProgress::default();
    watcher.record_snapshot(count, entries(count), now);
    watcher
}

fn complete(feed: ChangeFeed) -> ChangeFeed {
    ChangeFeed {
        evacuated: Some(Vec::new()),
        ..feed
    }
}

fn feed(watcher: &StoreProgress, now: Instant) -> ChangeFeed {
    complete(watcher.feed(now).expect("the store answered recently"))
}

fn page(watcher: &StoreProgress, pull: Pull, now: Instant) -> ChangeFeed {
    let page = watcher.page(pull, now);
    complete(page.expect("the store answered recently"))
}

/// Pulls until nothing is missing; returns the last action and the number of pages.
fn pull_all(
    watcher: &StoreProgress,
    other: &mut StoreProgress,
    now: Instant,
) -> (FeedAction, usize) {
    let mut pages = 0;
    loop {
        let next = page(watcher, other.pull(), now);
        assert!(next.changes.len() <= MOST_CHANGES);
        pages += 1;
        match other.merge(&next, now) {
            FeedAction::Pull => assert!(pages < 100, "the pages do not end"),
            action => return (action, pages),
        }
    }
}

/// A watcher, and a daemon that knows the same.
fn pair(now: Instant) -> (StoreProgress, StoreProgress) {
    let watcher = watcher(10, now);
    let mut other = StoreProgress::default();
    let (action, _) = pull_all(&watcher, &mut other, now);
    assert!(matches!(action, FeedAction::Replace(listings) if listings.len() == 10));
    (watcher, other)
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
    watcher.record_change(14, removed("b"), now);
    watcher.record_watch(15, now);
    let next = feed(&watcher, now);
    let both = FeedAction::Apply(vec![put("a"), removed("b")]);
    assert_eq!(other.merge(&next, now), both);
    assert_eq!(other.merge(&next, now), FeedAction::Apply(vec![]));
    assert_eq!(other.merge(&lost, now), FeedAction::Apply(vec![]));
    assert_eq!(other.revision(), Some(15));
}

/// Endpoints rewrite their entries all the time, which changes nothing but the store's revision.
/// Daemons that know all changes must not pull because of it, each of them after each watch.
#[test]
fn heartbeats_make_nobody_pull() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    for revision in 11..40 {
        watcher.record_watch(revision * 100, now + PERIOD * revision as u32);
        let at = now + PERIOD * revision as u32;
        let action = other.merge(&feed(&watcher, at), at);
        assert_eq!(action, FeedAction::Apply(vec![]));
        assert!(other.is_fresh(at));
    }
}

/// A watcher goes on sending feeds, but the store no longer answers it. Its feeds are based on
/// an old answer, however many it sends, and a daemon that relies on them must know that.
#[test]
fn feeds_without_a_recent_answer_of_the_store_do_not_suffice() {
    let now = Instant::now();
    let (watcher, mut other) = pair(now);
    let mut at = now;
    while let Some(next) = watcher.feed(at) {
        other.merge(&complete(next), at);
        assert!(other.is_fresh(at));
        at += PERIOD;
        assert!(
            at < now + Duration::from_secs(3),
            "the watcher sends feeds without end"
        );
    }
    assert!(!other.is_fresh(now + Duration::from_secs(2)));
    assert_eq!(watcher.page(Pull::default(), at), None);
}

/// All feeds of some seconds are lost. If the next one were applied, an endpoint that left
/// meanwhile would get requests without end; the daemon pulls what it misses instead.
#[test]
fn a_daemon_that_missed_feeds_pulls_the_changes() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    watcher.record_change(12, removed("i-0003"), now);
    watcher.record_watch(12, now);
    let late = now + Duration::from_secs(10);
    watcher.record_change(20, put("a"), late);
    watcher.record_watch(20, late);
    assert_eq!(other.merge(&feed(&watcher, late), late), FeedAction::Pull);
    assert_eq!(other.revision(), Some(10));
    let (action, pages) = pull_all(&watcher, &mut other, late);
    let missed = FeedAction::Apply(vec![removed("i-0003"), put("a")]);
    assert_eq!((action, pages), (missed, 1));
    assert_eq!(other.revision(), Some(20));
}

/// Thousands of endpoints leave at once, as when a deployment is made smaller. No feed or page may
/// be too long for a datagram, and no daemon may read the registry itself because of it.
#[test]
fn a_burst_of_changes_arrives_in_pages() {
    let now = Instant::now();
    let mut watcher = watcher(3000, now);
    let mut other = StoreProgress::default();
    let (action, pages) = pull_all(&watcher, &mut other, now);
    assert!(matches!(action, FeedAction::Replace(listings) if listings.len() == 3000));
    assert!(pages <= 16, "{pages}");
    for number in 1..=2700 {
        watcher.record_change(3000 + number, removed(&format!("i-{number:04}")), now);
    }
    watcher.record_watch(5700, now);
    let next = feed(&watcher, now);
    assert!(next.changes.len() <= MOST_CHANGES);
    assert_eq!(other.merge(&next, now), FeedAction::Pull);
    let mut left = 0;
    while other.revision() < Some(5700) {
        match other.merge(&page(&watcher, other.pull(), now), now) {
            FeedAction::Apply(changes) => left += changes.len(),
            action => panic!("{action:?}"),
        }
    }
    assert_eq!(left, 2700);
}

/// Endpoints join and leave while a daemon that has just started pulls the registry page by page.
/// It must end with just those that are there.
#[test]
fn changes_between_two_pages_are_not_lost() {
    let now = Instant::now();
    let mut watcher = watcher(1000, now);
    let mut other = StoreProgress::default();
    let first = page(&watcher, other.pull(), now);
    assert_eq!(other.merge(&first, now), FeedAction::Pull);
    watcher.record_change(1001, removed("i-0001"), now);
    watcher.record_change(1002, removed("i-0900"), now);
    watcher.record_change(1003, put("new"), now);
    watcher.record_watch(1003, now);
    // The first page comes once more.
    other.merge(&first, now);
    let (action, _) = pull_all(&watcher, &mut other, now);
    let FeedAction::Replace(listings) = action else {
        panic!("{action:?}");
    };
    let has = |id: &str| listings.iter().any(|row| row.id == id);
    assert_eq!(listings.len(), 999);
    assert!(has("new") && !has("i-0001") && !has("i-0900"));
}

/// Operators change the configuration. It is too long for a feed, so every daemon reads it from
/// the store, once. What else the watcher learns must not make them read it again: a thousand
/// daemons would read it each time.
#[test]
fn a_configuration_change_is_read_once_by_every_daemon() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    watcher.record_config_read(10);
    other.merge(&feed(&watcher, now), now);
    other.record_config_read(10);
    assert!(!other.needs_config());
    watcher.record_config_change(12);
    watcher.record_watch(12, now);
    watcher.record_config_read(12);
    other.merge(&feed(&watcher, now), now);
    assert!(other.needs_config());
    other.record_config_read(12);
    assert!(!other.needs_config());
    for revision in 13..30 {
        watcher.record_change(revision, put("a"), now);
        watcher.record_watch(revision, now);
        watcher.record_config_read(revision);
        other.merge(&feed(&watcher, now), now);
        assert!(!other.needs_config(), "at revision {revision}");
    }
}

/// One daemon applied a change wrongly, or received a false report that an endpoint leaves. Each
/// change is applied only once, so the daemon pulls everything when its checksum differs.
#[test]
fn a_daemon_with_a_lasting_checksum_mismatch_pulls_everything() {
    let now = Instant::now();
    let (watcher, mut other) = pair(now);
    let right = ChangeFeed {
        checksum: 1,
        ..feed(&watcher, now)
    };
    assert!(other.compare(&right, 2));
    assert!(other.compare(&right, 1));
    let same = (0..100).take_while(|_| other.compare(&right, 2)).count();
    assert!(same < 20, "the checksum differs for {same} feeds");
    assert_eq!(other.revision(), None);
    assert_eq!(other.merge(&right, now), FeedAction::Pull);
    let (action, _) = pull_all(&watcher, &mut other, now);
    assert!(matches!(action, FeedAction::Replace(listings) if listings.len() == 10));
}

/// The store compacts its history, and a watcher reads the whole registry again. The others must
/// get what changed, not the whole registry as well: in a large fleet that would be a thousand
/// copies of it.
#[test]
fn a_watcher_that_reads_everything_again_sends_only_what_changed() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    let mut listings = entries(10);
    listings.remove(4);
    listings.push((15, listing("new")));
    watcher.record_snapshot(20, listings, now);
    assert_eq!(
        other.merge(&feed(&watcher, now), now),
        FeedAction::Apply(vec![put("new"), removed("i-0005")])
    );
    assert_eq!(other.revision(), Some(20));
}

/// A watcher has not noticed yet that the store came back from an older copy; its feeds are of
/// the former era of the store. Once it has, the others replace all that they know.
#[test]
fn feeds_of_a_former_era_are_ignored() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    other.record_snapshot(revision_in(1, 3), entries(3), now);
    watcher.record_change(12, put("a"), now);
    watcher.record_watch(13, now);
    assert_eq!(other.merge(&feed(&watcher, now), now), FeedAction::Ignore);
    assert_eq!(other.revision(), Some(revision_in(1, 3)));
    let mut restored = StoreProgress::default();
    restored.record_snapshot(revision_in(2, 1), entries(1), now);
    assert_eq!(other.merge(&feed(&restored, now), now), FeedAction::Pull);
    let (action, _) = pull_all(&restored, &mut other, now);
    assert!(matches!(action, FeedAction::Replace(listings) if listings.len() == 1));
}

/// A daemon becomes a watcher when the former ones end. It goes on from what it was fed, and sends
/// the others what they miss.
#[test]
fn a_daemon_that_was_fed_can_feed_others() {
    let now = Instant::now();
    let (mut watcher, mut next) = pair(now);
    let mut behind = next.clone();
    watcher.record_change(12, removed("i-0002"), now);
    watcher.record_watch(12, now);
    next.merge(&feed(&watcher, now), now);
    next.record_change(13, put("a"), now);
    next.record_watch(13, now);
    let (action, _) = pull_all(&next, &mut behind, now);
    assert_eq!(action, FeedAction::Apply(vec![removed("i-0002"), put("a")]));
    let mut new = StoreProgress::default();
    let (action, _) = pull_all(&next, &mut new, now);
    assert!(matches!(action, FeedAction::Replace(listings) if listings.len() == 10));
}

/// A daemon that was fed by a watcher becomes one itself while it lacks a change of the operators. Its
/// watches return only later changes, so it must not take them for all.
#[test]
fn a_watch_does_not_hide_a_change_that_was_missed_before() {
    let mut progress = StoreProgress::default();
    assert!(!progress.has_config_until(10));
    progress.record_config_read(5);
    progress.record_config_change(4);
    assert!(progress.has_config_until(10));
    progress.record_config_change(8);
    assert!(progress.needs_config());
    assert!(!progress.has_config_until(10));
    progress.record_config_read(8);
    assert!(progress.has_config_until(10));
    // A change that the next watch returns is not missed.
    progress.record_config_read(10);
    progress.record_config_change(12);
    assert!(progress.needs_config());
    assert!(progress.has_config_until(10));
}

/// Guards against a daemon that watches from a revision up to which it lacks changes that are in no watch.
#[test]
fn a_daemon_that_lacks_pages_does_not_watch() {
    let now = Instant::now();
    let (mut watcher, mut other) = pair(now);
    assert!(other.watch_from().is_some());
    for count in 0..500 {
        watcher.record_change(100 + count, put(&format!("n-{count}")), now);
    }
    watcher.record_watch(600, now);
    let first = page(&watcher, other.pull(), now);
    assert!(first.revision < first.newest);
    other.merge(&first, now);
    assert_eq!(other.watch_from(), None);
    while other.revision() < watcher.revision() {
        let next = page(&watcher, other.pull(), now);
        other.merge(&next, now);
    }
    assert_eq!(other.watch_from(), Some(600));
}

/// Guards against a daemon that takes a change for missed which the next watch returns, as another daemon told of it
/// before.
#[test]
fn a_change_that_the_next_watch_returns_is_not_missed() {
    let now = Instant::now();
    let (watcher, mut other) = pair(now);
    let known = other.revision().expect("the registry was read");
    other.record_config_read(known - 1);
    other.merge(&feed(&watcher, now), now);
    assert!(other.has_config_until(known));
    other.record_config_change(known + 2);
    assert!(other.needs_config());
    assert!(other.has_config_until(known));
}
