//! How daemons that do not read the registry of endpoints get it from those that do.
//!
//! Load: a thousand daemons and thousands of endpoints, each of which rewrites its registry entry
//! every few seconds. If every daemon read the registry itself, the store would send it a thousand
//! times after each start, outage or loss of its history, and every heartbeat of every endpoint a
//! thousand times. So only the watchers of each zone read it, and keep the last change of each
//! endpoint by the store's revision. A watcher sends the daemons of its zone a feed of the latest
//! changes. A daemon that misses changes, or knows nothing yet, pulls them from its watcher page by
//! page, in the order of their revisions. Feeds that come from several watchers, are lost or are
//! duplicated do no harm.
//!
//! The configuration is too long for a feed and changes rarely: a feed tells that there is a new one,
//! and the daemon gets what it misses of it from one that has it. A daemon that hears no watcher
//! ranks as one itself and reads the store.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::listing::Listing;
use crate::{EndpointId, Revision, ZoneId, era_of};

/// Greatest age of a watcher's answer from the store at which its feed is used: a pause
/// between two watches, a watch that waits for changes, and the transmission.
const MAX_AGE: Duration = Duration::from_millis(1900);
/// How long a removal is kept. A daemon that missed all feeds for that long gets everything anew.
const TOMBSTONE_TIME: Duration = Duration::from_mins(1);
/// How long a change is repeated in feeds, for daemons that miss one.
const REPEAT_TIME: Duration = Duration::from_secs(1);
/// Most changes that feeds repeat; daemons that miss more of them pull.
const MAX_REPEATED: usize = 40;
/// Most changes in a page, about eight kilobytes of them.
const MAX_PAGE: usize = 200;
/// Feeds in a row with a different checksum after which everything is pulled again. The end of
/// an endpoint's grace time, or another daemon's digest, may take effect here a little earlier
/// or later than at the watcher, so single differences are normal.
const MAX_MISMATCHES: u32 = 8;

/// Change of an entry of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryChange {
    /// The entry was written.
    Put(Listing),
    /// The entry was removed.
    Removed(EndpointId),
}

impl RegistryChange {
    fn id(&self) -> &EndpointId {
        match self {
            Self::Put(listing) => &listing.id,
            Self::Removed(id) => id,
        }
    }

    /// Whether an entry of the same endpoint differs in more than the number of its writes.
    fn is_outdated_by(&self, listing: &Listing) -> bool {
        let Self::Put(known) = self else { return true };
        let rewritten = Listing {
            count: listing.count,
            cold: listing.cold,
            ..known.clone()
        };
        rewritten != *listing
    }
}

/// Changes of the registry that a watcher sends, as a feed or as a page that was pulled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeFeed {
    /// All changes after this revision are contained.
    pub after: Revision,
    /// All changes up to this revision are contained.
    pub revision: Revision,
    /// Revision up to which the watcher knows all changes.
    pub newest: Revision,
    /// Whether this is a part of the whole registry, which replaces what the receiver knows.
    pub is_snapshot: bool,
    /// Age of the store's answer with the newest revision.
    pub age: Duration,
    /// Revision of the newest change of the operators.
    pub config_revision: Revision,
    /// Changes of the registry, in the order of their revisions.
    pub changes: Vec<(Revision, RegistryChange)>,
    /// Checksum of the ready endpoints after the newest revision.
    pub checksum: u32,
    /// For how long endpoints whose entries are missing stay in use.
    pub grace: Duration,
    /// All evacuated zones as of the newest revision; `None` if the watcher does not know of any
    /// order to evacuate, as its build does not read them.
    pub evacuated: Option<Vec<ZoneId>>,
}

/// What a daemon knows of the registry, as it asks a watcher for more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pull {
    /// All changes up to this revision are known; 0 if nothing is.
    pub revision: Revision,
    /// Whether this is a part of a snapshot that is not complete yet.
    pub is_partial: bool,
}

/// What a daemon does with a feed.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedAction {
    /// Applies these changes.
    Apply(Vec<RegistryChange>),
    /// Replaces the whole registry.
    Replace(Vec<Listing>),
    /// Pulls what it misses from the sender.
    Pull,
    /// Ignores it: the feed is too old, of a former era or without the evacuated zones.
    Ignore,
}

/// Last change of an endpoint.
#[derive(Clone, Debug)]
struct LogEntry {
    revision: Revision,
    at: Instant,
    change: RegistryChange,
}

/// A snapshot of which not all pages have arrived.
#[derive(Clone, Debug, Default)]
struct Snapshot {
    revision: Revision,
    changes: Vec<(Revision, RegistryChange)>,
}

impl Snapshot {
    /// The last entry of each endpoint that has one.
    fn into_listings(mut self) -> Vec<(Revision, Listing)> {
        let newest_first = |row: &(Revision, RegistryChange)| (row.1.id().clone(), Reverse(row.0));
        self.changes.sort_by_cached_key(newest_first);
        self.changes.dedup_by(|row, kept| row.1.id() == kept.1.id());
        let listings = self.changes.into_iter().filter_map(|row| match row.1 {
            RegistryChange::Put(listing) => Some((row.0, listing)),
            RegistryChange::Removed(_) => None,
        });
        listings.collect()
    }
}

/// How far one daemon knows the changes of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreProgress {
    /// All changes of the registry up to this revision are known; `None` before it was read.
    revision: Option<Revision>,
    /// When the store last answered this daemon or, if later, the watcher that it is fed by.
    answered_at: Option<Instant>,
    /// Whether the last pages that were merged lack changes that their sender knew.
    is_behind: bool,
    /// Revision of the newest change of the operators that this daemon was told of.
    config_revision: Revision,
    /// Revision of the newest of them up to [`revision`](Self::revision).
    config_known: Revision,
    /// Revision up to which all of them are in force here.
    config_read: Option<Revision>,
    /// Last change of each endpoint, in the order of their revisions.
    log: Vec<LogEntry>,
    /// Removals up to this revision may be missing from the log.
    log_after: Revision,
    /// Pages of a snapshot that arrived so far.
    snapshot: Option<Snapshot>,
    /// Feeds in a row with a different checksum of the ready endpoints.
    mismatches: u32,
}

impl StoreProgress {
    /// Revision up to which all changes are known; `None` before the registry was read.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// When the store last answered this daemon or, if later, the one that it is fed by; `None`
    /// before the registry was read.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at
    }

    /// Revision after which a watch returns all that this daemon lacks; `None` if there is none, as
    /// the registry was not read, or some pages of it were not received.
    pub fn watch_from(&self) -> Option<Revision> {
        self.revision.filter(|_| !self.is_behind)
    }

    /// Records that the whole registry was read, as of a revision.
    pub fn record_snapshot(
        &mut self,
        revision: Revision,
        listings: Vec<(Revision, Listing)>,
        now: Instant,
    ) {
        let same_era = |known| era_of(known) == era_of(revision);
        if self.revision.is_some_and(same_era) {
            let mut listed: Vec<&EndpointId> = listings.iter().map(|row| &row.1.id).collect();
            listed.sort_unstable();
            let gone = self.log.iter().filter_map(|row| match &row.change {
                RegistryChange::Put(known) => Some(&known.id),
                RegistryChange::Removed(_) => None,
            });
            let gone = gone.filter(|id| listed.binary_search(id).is_err());
            let gone: Vec<EndpointId> = gone.cloned().collect();
            let mut known: Vec<&RegistryChange> = self.log.iter().map(|row| &row.change).collect();
            known.sort_unstable_by(|a, b| a.id().cmp(b.id()));
            let is_news = |listing: &Listing| {
                let at = known.binary_search_by(|change| change.id().cmp(&listing.id));
                at.map_or(true, |at| known[at].is_outdated_by(listing))
            };
            let news: Vec<_> = listings.iter().filter(|row| is_news(&row.1)).collect();
            let news: Vec<(Revision, Listing)> = news.into_iter().cloned().collect();
            for id in gone {
                self.record_change(revision, RegistryChange::Removed(id), now);
            }
            for (changed, listing) in news {
                self.record_change(changed, RegistryChange::Put(listing), now);
            }
        } else {
            let entry = |(revision, listing)| LogEntry {
                revision,
                at: now,
                change: RegistryChange::Put(listing),
            };
            self.log = listings.into_iter().map(entry).collect();
            self.log.sort_by_key(|row| row.revision);
            self.log_after = revision;
        }
        self.revision = Some(revision);
        self.answered_at = Some(now);
        self.is_behind = false;
        self.snapshot = None;
    }

    /// Records a change of the registry.
    pub fn record_change(&mut self, revision: Revision, change: RegistryChange, now: Instant) {
        self.log.retain(|row| row.change.id() != change.id());
        let at = self.log.partition_point(|row| row.revision <= revision);
        let at_revision = LogEntry {
            revision,
            at: now,
            change,
        };
        self.log.insert(at, at_revision);
    }

    /// Records a change that every daemon has to learn of.
    pub fn record_config_change(&mut self, revision: Revision) {
        self.config_revision = self.config_revision.max(revision);
        if self.revision.is_some_and(|known| revision <= known) {
            self.config_known = self.config_known.max(revision);
        }
    }

    /// Records that all changes of the operators up to a revision are in force here.
    pub fn record_config_read(&mut self, revision: Revision) {
        self.config_read = self.config_read.max(Some(revision));
    }

    /// Revision of the newest change that every daemon has to learn of.
    pub fn config_revision(&self) -> Revision {
        self.config_revision
    }

    /// Revision up to which all such changes are in force here; `None` before they were read.
    pub fn config_read(&self) -> Option<Revision> {
        self.config_read
    }

    /// Whether all changes of the operators up to a revision are in force here, as far as this daemon
    /// knows the changes up to then.
    pub fn has_config_until(&self, revision: Revision) -> bool {
        // One that was told of by a daemon that knows later changes does not count.
        let newest = if self.config_revision <= revision {
            self.config_revision
        } else {
            self.config_known
        };
        self.config_read
            .is_some_and(|read| read >= revision || (newest <= revision && read >= newest))
    }

    /// Records that all changes up to the revision `until` are known, where `newest` is the newest change
    /// of the operators. If that comes later, there may be any up to then.
    fn record_config_known(&mut self, newest: Revision, until: Revision) {
        self.config_known = self.config_known.max(newest.min(until));
    }

    /// Whether this daemon lacks a change of the operators.
    pub fn needs_config(&self) -> bool {
        self.config_read
            .is_none_or(|known| known < self.config_revision)
    }

    /// Records that a watch returned all changes up to a revision.
    pub fn record_watch(&mut self, revision: Revision, now: Instant) {
        self.revision = Some(self.revision.map_or(revision, |known| known.max(revision)));
        self.answered_at = Some(now);
        self.record_config_known(self.config_revision, revision);
        let is_old = |row: &LogEntry| {
            let is_removal = matches!(row.change, RegistryChange::Removed(_));
            is_removal && now.saturating_duration_since(row.at) > TOMBSTONE_TIME
        };
        let old = self.log.iter().filter(|row| is_old(row));
        if let Some(last) = old.map(|row| row.revision).max() {
            self.log_after = self.log_after.max(last);
            self.log.retain(|row| !is_old(row));
        }
    }

    /// Records that changes may have been missed: everything has to be read again.
    pub fn invalidate(&mut self) {
        self.revision = None;
        self.snapshot = None;
    }

    /// Age of the store's answer that this daemon's knowledge is based on; `None` if there is none
    /// or it is too old for feeds.
    fn fresh_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.answered_at?);
        (age < MAX_AGE).then_some(age)
    }

    /// Whether this daemon knows what the store held a moment ago.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.revision.is_some() && self.fresh_age(now).is_some()
    }

    /// The feed that a watcher sends, without checksum, grace and evacuated zones; `None` if the
    /// store has not answered it recently.
    pub fn feed(&self, now: Instant) -> Option<ChangeFeed> {
        let is_repeated = |row: &&LogEntry| now.saturating_duration_since(row.at) <= REPEAT_TIME;
        let count = self.log.iter().rev().take(MAX_REPEATED);
        let count = count.take_while(is_repeated).count();
        let (before, repeated) = self.log.split_at(self.log.len() - count);
        let newest = self.revision?;
        let last = before.last().map_or(0, |row| row.revision);
        let after = last.max(self.log_after);
        self.message(Pull::default(), after, newest, repeated, now)
    }

    /// The next page for a daemon that pulls; `None` if the store has not answered recently.
    pub fn page(&self, pull: Pull, now: Instant) -> Option<ChangeFeed> {
        let newest = self.revision?;
        let is_known = era_of(pull.revision) == era_of(newest) && pull.revision >= self.log_after;
        let is_snapshot = pull.is_partial || !is_known;
        let is_continued = pull.is_partial && era_of(pull.revision) == era_of(newest);
        let after = if is_known || is_continued {
            pull.revision
        } else {
            0
        };
        let from = self.log.partition_point(|row| row.revision <= after);
        let mut page = &self.log[from..];
        let mut revision = newest.max(after);
        if page.len() > MAX_PAGE {
            // Changes of one revision stay together.
            let last = page[MAX_PAGE - 1].revision;
            let end = page.partition_point(|row| row.revision <= last);
            if end < page.len() {
                revision = last;
                page = &page[..end];
            }
        }
        let pull = Pull {
            revision: after,
            is_partial: is_snapshot,
        };
        self.message(pull, after, revision, page, now)
    }

    fn message(
        &self,
        pull: Pull,
        after: Revision,
        revision: Revision,
        rows: &[LogEntry],
        now: Instant,
    ) -> Option<ChangeFeed> {
        Some(ChangeFeed {
            after,
            revision,
            newest: self.revision?,
            is_snapshot: pull.is_partial,
            age: self.fresh_age(now)?,
            config_revision: self.config_revision,
            changes: rows
                .iter()
                .map(|row| (row.revision, row.change.clone()))
                .collect(),
            ..ChangeFeed::default()
        })
    }

    /// What this daemon knows, to pull more.
    pub fn pull(&self) -> Pull {
        match (&self.snapshot, self.revision) {
            (Some(snapshot), _) => Pull {
                revision: snapshot.revision,
                is_partial: true,
            },
            (None, Some(revision)) => Pull {
                revision,
                is_partial: false,
            },
            (None, None) => Pull {
                revision: 0,
                is_partial: true,
            },
        }
    }

    /// Merges a feed or a page. It is applied only if it has all changes since the known ones.
    pub fn merge(&mut self, feed: &ChangeFeed, now: Instant) -> FeedAction {
        let known_era = self.revision.map(era_of);
        let is_former = known_era.is_some_and(|known| era_of(feed.newest) < known);
        if feed.age >= MAX_AGE || is_former || feed.evacuated.is_none() {
            return FeedAction::Ignore;
        }
        self.config_revision = self.config_revision.max(feed.config_revision);
        let before = self.revision;
        let action = if feed.is_snapshot {
            self.merge_snapshot(feed, now)
        } else {
            self.merge_changes(feed, now)
        };
        if self.revision.is_some_and(|known| known >= feed.newest) {
            let answered = now.checked_sub(feed.age);
            self.answered_at = self.answered_at.max(answered);
            self.is_behind = false;
            self.record_config_known(feed.config_revision, feed.newest);
        } else if self.revision != before {
            self.is_behind = true;
        }
        action
    }

    fn merge_changes(&mut self, feed: &ChangeFeed, now: Instant) -> FeedAction {
        let Some(known) = self.revision.filter(|_| self.snapshot.is_none()) else {
            return FeedAction::Pull;
        };
        if feed.revision <= known {
            return FeedAction::Apply(Vec::new());
        }
        if feed.after > known || era_of(feed.revision) != era_of(known) {
            return FeedAction::Pull;
        }
        let fresh = feed.changes.iter().filter(|row| row.0 > known);
        let fresh: Vec<_> = fresh.cloned().collect();
        for (revision, change) in &fresh {
            self.record_change(*revision, change.clone(), now);
        }
        self.revision = Some(feed.revision);
        FeedAction::Apply(fresh.into_iter().map(|row| row.1).collect())
    }

    fn merge_snapshot(&mut self, feed: &ChangeFeed, now: Instant) -> FeedAction {
        let is_continued = self
            .snapshot
            .as_ref()
            .is_some_and(|row| row.revision == feed.after && feed.after > 0);
        let is_known = self.revision.is_some_and(|known| feed.revision <= known);
        if feed.after > 0 && !is_continued || is_known {
            return FeedAction::Ignore;
        }
        let mut snapshot = self.snapshot.take().unwrap_or_default();
        if !is_continued {
            snapshot.changes.clear();
        }
        snapshot.changes.extend(feed.changes.iter().cloned());
        snapshot.revision = feed.revision;
        if feed.revision < feed.newest {
            self.snapshot = Some(snapshot);
            return FeedAction::Pull;
        }
        let listings = snapshot.into_listings();
        let entries = listings.iter().map(|row| row.1.clone()).collect();
        self.revision = None;
        self.record_snapshot(feed.revision, listings, now);
        FeedAction::Replace(entries)
    }

    /// The evacuated zones that a merged feed tells; `None` if this daemon knows of newer changes or
    /// misses some. A feed that comes late would undo what was ordered since.
    pub fn evacuated<'f>(&self, feed: &'f ChangeFeed) -> Option<&'f [ZoneId]> {
        let is_newest = self.revision == Some(feed.newest);
        feed.evacuated.as_deref().filter(|_| is_newest)
    }

    /// Compares the checksum of a feed with the own one after the feed was merged; `false` if
    /// everything has to be pulled again. Each change is applied only once, so an error in one
    /// would otherwise last.
    pub fn compare(&mut self, feed: &ChangeFeed, own: u32) -> bool {
        if self.revision != Some(feed.newest) {
            return true;
        }
        self.mismatches = if feed.checksum == own {
            0
        } else {
            self.mismatches + 1
        };
        if self.mismatches < MAX_MISMATCHES {
            return true;
        }
        self.mismatches = 0;
        self.invalidate();
        false
    }
}
