//! Requests that crash the endpoints that run them.
//!
//! Load: one request whose content makes every endpoint that begins it end, asked again and
//! again under new ids, through any daemon. Each crash takes the other requests of that
//! endpoint with it and leaves fewer endpoints for those who come back. One daemon sees a
//! part of the crashes only, and each sees many requests break together.
//!
//! So requests are known by their content, and a daemon that sees an endpoint end under one
//! notes which life of which endpoint it was. Daemons tell one another what they noted; the
//! lives are a set, so words that are lost, late or repeated do no harm. Under
//! [`ENOUGH`] different lives a request is quarantined: no daemon sends it on.
//!
//! Requests that were merely beside it are told apart in two ways. One that had run for
//! [`SETTLED`] did not end its endpoint, and one that is served anywhere is cleared
//! everywhere.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{Xxh3Default, xxh3_64_with_seed};

use super::listing::Listing;

/// Hash of what a request asks for, whichever attempt of whichever caller brings it.
pub type ContentHash = u64;
/// Hash of one life of an endpoint.
pub type LifeHash = u32;

/// Endpoints that end under a request before it is quarantined. Two endpoints may end under
/// a request by chance when many end together.
pub const ENOUGH: usize = 3;
/// Time after its first event from which on a request did not end its endpoint.
pub const SETTLED: Duration = Duration::from_secs(1);
/// How long a request stays quarantined, and how long an endpoint's end is held against one.
pub const KEPT: Duration = Duration::from_mins(10);
/// How long a change is told to the other daemons. Short cuts end sooner.
const TOLD: Duration = Duration::from_secs(5);
/// Most requests that are remembered, so that a wave of crashes costs little memory.
const MOST: usize = 1024;
/// Most requests that are told in one digest; twenty bytes each.
const MOST_TOLD: usize = 48;

/// Hash of a request's team, host, method, target and body.
///
/// Each attempt of a caller has an id of its own, so ids do not tell that a request comes
/// again. Other fields may differ between attempts.
pub fn content(team: &str, host: &str, method: &[u8], target: &[u8], body: &[u8]) -> ContentHash {
    let mut hash = Xxh3Default::new();
    for part in [team.as_bytes(), host.as_bytes(), method, target, body] {
        // The length keeps parts apart that are the same when joined.
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// Hash of the life of an endpoint that an entry of the registry belongs to. An endpoint may
/// start again under its id.
pub fn life(listing: &Listing) -> LifeHash {
    let born = listing.born.unwrap_or_default();
    xxh3_64_with_seed(listing.id.as_bytes(), born) as LifeHash
}

/// Endpoints that ended under a request, as daemons tell it to one another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub content: ContentHash,
    /// Lives that ended under it.
    pub lives: Vec<LifeHash>,
    /// How long it is still remembered.
    pub left: Duration,
}

/// What a note or word changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Noted {
    /// Nothing.
    Nothing,
    /// So many endpoints have ended under the request; it is still served.
    Suspected(usize),
    /// It is quarantined from now on.
    Quarantined,
}

/// A request under which endpoints ended.
#[derive(Clone, Debug)]
struct Row {
    content: ContentHash,
    /// Lives that ended under it, sorted, [`ENOUGH`] at most.
    lives: Vec<LifeHash>,
    /// Whether this daemon itself saw one of them end.
    is_own: bool,
    /// Until when it is remembered.
    until: Instant,
    /// Until when the last change is told.
    told: Instant,
    /// Whether it was handed out to be kept in the store.
    is_saved: bool,
}

impl Row {
    fn is_quarantined(&self) -> bool {
        self.lives.len() >= ENOUGH
    }

    fn crash(&self, now: Instant) -> Crash {
        Crash {
            content: self.content,
            lives: self.lives.clone(),
            left: self.until.saturating_duration_since(now),
        }
    }
}

/// Requests under which endpoints ended, sorted by content.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    rows: Vec<Row>,
    /// Requests that were suspected and then served, and until when that is told; sorted.
    cleared: Vec<(ContentHash, Instant)>,
}

impl Crashes {
    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Requests that are quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = ContentHash> {
        let rows = self.rows.iter().filter(|row| row.is_quarantined());
        rows.map(|row| row.content)
    }

    /// How long a request is still quarantined; `None` if it may be sent.
    pub fn held(&self, content: ContentHash, now: Instant) -> Option<Duration> {
        let at = self.find(content).ok()?;
        let row = &self.rows[at];
        let left = row.until.saturating_duration_since(now);
        (row.is_quarantined() && !left.is_zero()).then_some(left)
    }

    /// Notes that a life ended under a request which this daemon had sent there.
    pub fn note(&mut self, content: ContentHash, life: LifeHash, now: Instant) -> Noted {
        let seen = Crash {
            content,
            lives: vec![life],
            left: KEPT,
        };
        self.merge(&seen, true, now)
    }

    /// Takes in what another daemon or the store tells.
    pub fn hear(&mut self, crash: &Crash, now: Instant) -> Noted {
        if self.find_cleared(crash.content).is_ok() {
            return Noted::Nothing;
        }
        self.merge(crash, false, now)
    }

    fn merge(&mut self, crash: &Crash, is_own: bool, now: Instant) -> Noted {
        let left = crash.left.min(KEPT);
        if crash.lives.is_empty() || left.is_zero() {
            return Noted::Nothing;
        }
        let at = match self.find(crash.content) {
            Ok(at) => at,
            Err(_) => self.insert(crash.content, now),
        };
        let row = &mut self.rows[at];
        row.is_own |= is_own;
        let (before, was_quarantined) = (row.lives.len(), row.is_quarantined());
        for life in &crash.lives {
            if let Err(at) = row.lives.binary_search(life)
                && row.lives.len() < ENOUGH
            {
                row.lives.insert(at, *life);
            }
        }
        if row.lives.len() == before {
            return Noted::Nothing;
        }
        row.until = row.until.max(now + left);
        row.told = now + TOLD;
        match row.lives.len() {
            _ if was_quarantined => Noted::Nothing,
            ENOUGH.. => Noted::Quarantined,
            lives => Noted::Suspected(lives),
        }
    }

    /// Adds a row without lives. If there are too many, the one that matters least goes.
    fn insert(&mut self, content: ContentHash, now: Instant) -> usize {
        if self.rows.len() >= MOST {
            let least = |row: &&Row| (row.lives.len(), row.until);
            let least = self.rows.iter().min_by_key(least).map(|row| row.content);
            self.rows.retain(|row| Some(row.content) != least);
        }
        let row = Row {
            content,
            lives: Vec::new(),
            is_own: false,
            until: now,
            told: now,
            is_saved: false,
        };
        let at = self.find(content).unwrap_or_else(|at| at);
        self.rows.insert(at, row);
        at
    }

    /// Notes that a request was served by an endpoint; tells whether it was suspected.
    pub fn clear(&mut self, content: ContentHash, now: Instant) -> bool {
        let was_suspected = self.forget(content);
        if was_suspected {
            match self.find_cleared(content) {
                Ok(at) => self.cleared[at].1 = now + TOLD,
                Err(at) => self.cleared.insert(at, (content, now + TOLD)),
            }
        }
        was_suspected
    }

    /// Takes in that another daemon has seen a request served.
    pub fn hear_cleared(&mut self, content: ContentHash) -> bool {
        self.forget(content)
    }

    fn forget(&mut self, content: ContentHash) -> bool {
        let found = self.find(content);
        if let Ok(at) = found {
            self.rows.remove(at);
        }
        found.is_ok()
    }

    /// What this daemon tells: what changed lately, and in a whole digest also all that are
    /// quarantined, those first.
    ///
    /// Suspects are told by the daemons that saw an end themselves; told on by all, each
    /// wave of crashes would be told by hundreds of daemons.
    pub fn tell(&self, whole: bool, now: Instant) -> Vec<Crash> {
        let is_told = |row: &&Row| {
            let is_new = now < row.told && (row.is_own || row.is_quarantined());
            is_new || (whole && row.is_quarantined())
        };
        let mut rows: Vec<&Row> = self.rows.iter().filter(is_told).collect();
        rows.sort_by_key(|row| Reverse((row.lives.len(), row.told)));
        rows.truncate(MOST_TOLD);
        rows.into_iter().map(|row| row.crash(now)).collect()
    }

    /// Requests of which this daemon tells that they were served.
    pub fn tell_cleared(&self, now: Instant) -> Vec<ContentHash> {
        let rows = self.cleared.iter().filter(|row| now < row.1);
        rows.take(MOST_TOLD).map(|row| row.0).collect()
    }

    /// Requests that are quarantined by what this daemon saw and that it has not handed out
    /// yet to be kept in the store.
    pub fn unsaved(&mut self, now: Instant) -> Vec<Crash> {
        let is_due = |row: &&mut Row| row.is_own && row.is_quarantined() && !row.is_saved;
        let rows = self.rows.iter_mut().filter(is_due);
        rows.map(|row| {
            row.is_saved = true;
            row.crash(now)
        })
        .collect()
    }

    /// Notes that what was kept in the store may be gone.
    pub fn lost_saved(&mut self) {
        for row in &mut self.rows {
            row.is_saved = false;
        }
    }

    /// Forgets those whose time is over.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now < row.until);
        self.cleared.retain(|row| now < row.1);
    }

    fn find(&self, content: ContentHash) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&content, |row| row.content)
    }

    fn find_cleared(&self, content: ContentHash) -> Result<usize, usize> {
        self.cleared.binary_search_by_key(&content, |row| row.0)
    }
}
