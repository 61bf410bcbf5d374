//! Which daemons watch the store, and how the others get its changes from them.
//!
//! Load: hundreds of daemons and hundreds of endpoints, each of which rewrites its registry
//! entry every second. If every daemon watched the store itself, the watches would be more
//! calls than all others together, and each daemon would read every heartbeat of every
//! endpoint. So a few watchers in each zone watch the store and send the daemons of their
//! zone a feed of the entries that changed. Changes are ordered by the store's revision, so
//! feeds that come from several watchers, are lost or are duplicated do no harm.
//!
//! A feed replaces an own read of the store only for a short time. A daemon that receives no
//! feed based on a recent answer of the store, that missed changes, or that learns of a
//! configuration which it has not read, reads the store itself at once. While the store is
//! down or rejects watches, all daemons therefore read it independently, and each of them
//! follows the same rules for outages.

use std::time::{Duration, Instant};

use super::listing::Listing;
use crate::{EndpointId, Revision, ZoneId, era_of};

/// Greatest age of a watcher's answer from the store at which its feed is used: a pause
/// between two watches, a watch that waits for changes, and the transmission.
const MAX_AGE: Duration = Duration::from_millis(1900);
/// How long a change stays in the feed. A daemon that missed all feeds for that long reads
/// the store itself.
const RETENTION: Duration = Duration::from_secs(4);
/// Most changes in a feed, so that it stays well below the largest datagram. A daemon that
/// missed older ones reads the store itself.
const MAX_CHANGES: usize = 200;
/// Feeds in a row with a different checksum after which everything is read again. The end of
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

/// Changes that a watcher sends to the daemons of its zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeFeed {
    /// The feed has all changes after this revision.
    pub after: Revision,
    /// The feed has all changes up to this revision.
    pub revision: Revision,
    /// Age of the store's answer with that revision.
    pub age: Duration,
    /// Revision of the newest change that every daemon has to read from the store itself.
    pub config_revision: Revision,
    /// Changes of the registry, in the order of their revisions.
    pub changes: Vec<(Revision, RegistryChange)>,
    /// Checksum of the ready endpoints after these changes.
    pub checksum: u32,
    /// All evacuated zones as of `revision`; `None` if the watcher does not know of any order
    /// to evacuate, as its build does not read them.
    pub evacuated: Option<Vec<ZoneId>>,
}

/// What a daemon does with a feed.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedAction {
    /// Applies these changes, and replaces the evacuated zones if the feed has newer ones.
    Apply(Vec<RegistryChange>, Option<Vec<ZoneId>>),
    /// Reads the store itself: it missed changes, or has to read one from the store.
    Read,
    /// Ignores it: this daemon is reading the store or has not read it yet, or the feed is
    /// too old, of a former era or without the evacuated zones.
    Ignore,
}

/// A change that this daemon read from the store.
#[derive(Clone, Debug)]
struct SeenChange {
    revision: Revision,
    at: Instant,
    change: RegistryChange,
}

/// How far one daemon knows the changes of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreProgress {
    /// All changes up to this revision are known; `None` before the store was read.
    revision: Option<Revision>,
    /// When the store last answered this daemon itself.
    answered_at: Option<Instant>,
    /// Until when the feeds suffice and the store need not be read.
    fed_until: Option<Instant>,
    /// Revision of the newest change that every daemon has to read from the store itself.
    config_revision: Revision,
    /// Recent changes read by this daemon, in the order of their revisions.
    recent: Vec<SeenChange>,
    /// `recent` has all changes after this revision.
    recent_after: Revision,
    /// Whether this daemon is reading the store itself.
    is_reading: bool,
    /// Feeds in a row with a different checksum of the ready endpoints.
    mismatches: u32,
}

impl StoreProgress {
    /// Revision up to which all changes are known; `None` before the store was read.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Records that this daemon starts to read the store; returns the revision to continue
    /// from.
    pub fn begin_read(&mut self) -> Option<Revision> {
        self.is_reading = true;
        self.revision
    }

    /// Records that the read ended, successful or not.
    pub fn end_read(&mut self) {
        self.is_reading = false;
    }

    /// Records that the whole content of the store was read, as of a revision.
    pub fn record_snapshot(&mut self, revision: Revision, now: Instant) {
        self.revision = Some(revision);
        self.answered_at = Some(now);
        self.recent.clear();
        self.recent_after = revision;
    }

    /// Records a change of the registry that a watch returned.
    pub fn record_change(&mut self, revision: Revision, change: RegistryChange, now: Instant) {
        if self.recent.len() >= MAX_CHANGES {
            self.drop_oldest(1);
        }
        self.recent.push(SeenChange {
            revision,
            at: now,
            change,
        });
    }

    /// Drops the oldest changes from the feed.
    fn drop_oldest(&mut self, count: usize) {
        if let Some(last) = self.recent.drain(..count).next_back() {
            self.recent_after = self.recent_after.max(last.revision);
        }
    }

    /// Records a change that every daemon has to read from the store itself.
    pub fn record_config_change(&mut self, revision: Revision) {
        self.config_revision = self.config_revision.max(revision);
    }

    /// Records that a watch returned all changes up to a revision.
    pub fn record_watch(&mut self, revision: Revision, now: Instant) {
        self.revision = Some(revision);
        self.answered_at = Some(now);
        let is_old = |seen: &SeenChange| now.saturating_duration_since(seen.at) > RETENTION;
        let old = self.recent.iter().take_while(|seen| is_old(seen)).count();
        self.drop_oldest(old);
    }

    /// Records that changes may have been missed: everything has to be read again.
    pub fn invalidate(&mut self) {
        self.revision = None;
        self.fed_until = None;
    }

    /// The feed that a watcher sends, with the checksum of its endpoints and the evacuated zones;
    /// `None` if the store has not answered it recently.
    pub fn feed(&self, checksum: u32, evacuated: &[ZoneId], now: Instant) -> Option<ChangeFeed> {
        let age = now.saturating_duration_since(self.answered_at?);
        if age >= MAX_AGE {
            return None;
        }
        let recent = self.recent.iter();
        Some(ChangeFeed {
            after: self.recent_after,
            revision: self.revision?,
            age,
            config_revision: self.config_revision,
            changes: recent
                .map(|row| (row.revision, row.change.clone()))
                .collect(),
            checksum,
            evacuated: Some(evacuated.to_vec()),
        })
    }

    /// Merges a feed; without another one within `timeout` the store has to be read.
    ///
    /// A feed is not merged while this daemon is reading the store itself: the result of the
    /// read may be older, and an entry that was removed and written again would be removed
    /// once more.
    pub fn merge(&mut self, feed: ChangeFeed, timeout: Duration, now: Instant) -> FeedAction {
        let Some(known) = self.revision.filter(|_| !self.is_reading) else {
            return FeedAction::Ignore;
        };
        let Some(left) = MAX_AGE.checked_sub(feed.age) else {
            return FeedAction::Ignore;
        };
        if era_of(feed.revision) < era_of(known) || feed.evacuated.is_none() {
            return FeedAction::Ignore;
        }
        if feed.revision > known && (feed.after > known || feed.config_revision > known) {
            self.fed_until = None;
            return FeedAction::Read;
        }
        let until = now + left.min(timeout);
        self.fed_until = Some(self.fed_until.map_or(until, |fed| fed.max(until)));
        if feed.revision <= known {
            return FeedAction::Apply(Vec::new(), None);
        }
        self.revision = Some(feed.revision);
        // The changes that this daemon read itself are no longer all since `recent_after`.
        self.recent.clear();
        self.recent_after = feed.revision;
        let fresh = feed.changes.into_iter().filter(|row| row.0 > known);
        FeedAction::Apply(fresh.map(|row| row.1).collect(), feed.evacuated)
    }

    /// Compares the checksum of a feed with the own one after the feed was merged; `false` if
    /// everything has to be read again. Each change is applied only once, so an error in one
    /// would otherwise last.
    pub fn compare(&mut self, received: u32, own: u32) -> bool {
        self.mismatches = if received == own {
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

    /// Until when the feeds suffice and the store need not be read; `None` if they do not.
    pub fn fed_until(&self, now: Instant) -> Option<Instant> {
        self.fed_until.filter(|until| now < *until)
    }
}
