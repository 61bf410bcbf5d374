//! Who follows the store, and what the others are told of it.
//!
//! Load: hundreds of daemons before hundreds of endpoints, each of which writes its entry
//! anew every second. If all daemons followed the store themselves, they would make more
//! calls than all else together, and each would read every beat of every endpoint. So a
//! few watchers in each zone follow it and tell the others of their zone which entries
//! changed. Changes are ordered by the store's revision, so words of several watchers,
//! lost ones and repeated ones do no harm.
//!
//! What is told replaces an own look for a short while only. A daemon that hears no
//! watcher with a fresh answer of the store, that missed a word, or that hears of a
//! configuration it has not read, looks for itself at once. While the store is away or
//! turns watchers off, all daemons therefore follow it by themselves, and what holds for
//! outages holds for each of them.

use std::time::{Duration, Instant};

use super::listing::Listing;
use crate::{EndpointId, Revision, era_of};

/// How old a watcher's answer of the store may be for the others to go by it: a pause
/// between two watches, a watch that waits for news, and the way.
const STALE: Duration = Duration::from_millis(1900);
/// How long changes are told. A daemon that missed all words for so long looks for itself.
const KEPT: Duration = Duration::from_secs(4);
/// Most changes that are told, so that a word stays well below the largest datagram. A
/// daemon that knows none of the older ones looks for itself.
const MOST: usize = 200;
/// Words in a row with another check sum after which everything is read anew. A doubt
/// that ends or a word of another daemon may come a little sooner or later here.
const DIFFER: u32 = 8;

/// Change of an entry of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// Written.
    Put(Listing),
    /// Removed.
    Gone(EndpointId),
}

/// What a watcher tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// The changes after this revision are told.
    pub after: Revision,
    /// All that happened up to this revision is known.
    pub revision: Revision,
    /// Age of the answer that told it.
    pub age: Duration,
    /// Revision of the newest change that everyone has to read in the store.
    pub orders: Revision,
    /// Changes of the registry, in the order of their revisions.
    pub entries: Vec<(Revision, Entry)>,
    /// Check sum of the endpoints that are in use after them.
    pub check: u32,
}

/// What a daemon does about news.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// Takes these changes in.
    Take(Vec<Entry>),
    /// Looks for itself: it missed something, or has to read it in the store.
    Look,
    /// Nothing: it has not read the store yet, or the news is too old or of a former era.
    Nothing,
}

/// A change that was seen here.
#[derive(Clone, Debug)]
struct Seen {
    revision: Revision,
    at: Instant,
    entry: Entry,
}

/// What one daemon knows of the store.
#[derive(Clone, Debug, Default)]
pub struct Follow {
    /// All that happened up to this revision is known; `None` before the store was read.
    revision: Option<Revision>,
    /// When the store's last own answer came.
    answered: Option<Instant>,
    /// Until when it is enough to be told.
    told: Option<Instant>,
    /// Revision of the newest change that everyone has to read in the store.
    orders: Revision,
    /// Changes seen here lately, in the order of their revisions.
    seen: Vec<Seen>,
    /// All changes after this revision are among them.
    after: Revision,
    /// Whether this daemon is looking for itself.
    looking: bool,
    /// Words in a row by which the endpoints in use are not the same.
    differing: u32,
}

impl Follow {
    /// Revision up to which all is known; `None` before the store was read.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Notes that this daemon begins to look for itself; gives the revision to go on from.
    pub fn begin(&mut self) -> Option<Revision> {
        self.looking = true;
        self.revision
    }

    /// Notes that it has looked, with or without success.
    pub fn end(&mut self) {
        self.looking = false;
    }

    /// Notes that everything was read, as of a revision.
    pub fn read(&mut self, revision: Revision, now: Instant) {
        self.revision = Some(revision);
        self.answered = Some(now);
        self.seen.clear();
        self.after = revision;
    }

    /// Notes a change of the registry that a watch told.
    pub fn saw(&mut self, revision: Revision, entry: Entry, now: Instant) {
        if self.seen.len() >= MOST {
            self.forget(1);
        }
        self.seen.push(Seen {
            revision,
            at: now,
            entry,
        });
    }

    /// Forgets the oldest changes; they are not told any more.
    fn forget(&mut self, count: usize) {
        if let Some(last) = self.seen.drain(..count).next_back() {
            self.after = self.after.max(last.revision);
        }
    }

    /// Notes a change that everyone has to read in the store.
    pub fn saw_order(&mut self, revision: Revision) {
        self.orders = self.orders.max(revision);
    }

    /// Notes that a watch told all changes up to a revision.
    pub fn watched(&mut self, revision: Revision, now: Instant) {
        self.revision = Some(revision);
        self.answered = Some(now);
        let over = |seen: &Seen| now.saturating_duration_since(seen.at) > KEPT;
        let old = self.seen.iter().take_while(|seen| over(seen)).count();
        self.forget(old);
    }

    /// Notes that what was known may have gaps: everything is to be read anew.
    pub fn lost(&mut self) {
        self.revision = None;
        self.told = None;
    }

    /// What a watcher tells with the check sum of its endpoints; `None` if the store has
    /// not answered it lately.
    pub fn tell(&self, check: u32, now: Instant) -> Option<News> {
        let age = now.saturating_duration_since(self.answered?);
        if age >= STALE {
            return None;
        }
        let seen = self.seen.iter();
        Some(News {
            after: self.after,
            revision: self.revision?,
            age,
            orders: self.orders,
            entries: seen.map(|row| (row.revision, row.entry.clone())).collect(),
            check,
        })
    }

    /// Takes news in; another word has to come within `silent`.
    ///
    /// An own look that is under way is not mixed with news: what it brings may be older,
    /// and an entry that was removed and written again would be removed once more.
    pub fn hear(&mut self, news: News, silent: Duration, now: Instant) -> Heard {
        let Some(mine) = self.revision.filter(|_| !self.looking) else {
            return Heard::Nothing;
        };
        let Some(left) = STALE.checked_sub(news.age) else {
            return Heard::Nothing;
        };
        if era_of(news.revision) < era_of(mine) {
            return Heard::Nothing;
        }
        if news.revision > mine && (news.after > mine || news.orders > mine) {
            self.told = None;
            return Heard::Look;
        }
        let until = now + left.min(silent);
        self.told = Some(self.told.map_or(until, |told| told.max(until)));
        if news.revision <= mine {
            return Heard::Take(Vec::new());
        }
        self.revision = Some(news.revision);
        // What it saw itself before is no longer all that happened since.
        self.seen.clear();
        self.after = news.revision;
        let fresh = news.entries.into_iter().filter(|row| row.0 > mine);
        Heard::Take(fresh.map(|row| row.1).collect())
    }

    /// Compares check sums after news was taken in; `false` if everything is to be read
    /// anew. Changes are told once, so whatever goes wrong with one would last otherwise.
    pub fn compare(&mut self, told: u32, mine: u32) -> bool {
        self.differing = if told == mine { 0 } else { self.differing + 1 };
        if self.differing < DIFFER {
            return true;
        }
        self.differing = 0;
        self.lost();
        false
    }

    /// Until when it is enough to be told; `None` if it is not.
    pub fn told(&self, now: Instant) -> Option<Instant> {
        self.told.filter(|until| now < *until)
    }
}
