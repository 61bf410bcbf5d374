//! Quarantine of requests, and of parts of prompts, that crash the endpoints that run them.
//!
//! A request whose content crashes every endpoint that starts it is retried again and again
//! under new ids and through any daemon. Each crash also breaks the other requests of that
//! endpoint and leaves fewer endpoints for the retries. One daemon observes only a part of the
//! crashes, and each daemon sees many requests break off at the same time.
//!
//! So requests are identified by a fingerprint of their content. A daemon that observes an
//! endpoint crash while it ran a request records which incarnation of which endpoint that was,
//! and the daemons exchange these records. The incarnations form a set, so lost, late or
//! repeated digests do no harm. Once [`QUARANTINE_CRASHES`] different incarnations have crashed
//! under a request, it is quarantined: no daemon sends it any more.
//!
//! Requests that are no two alike may crash endpoints by a part of the prompt that they share. So the
//! parts that other requests may share are recorded beside the whole request, each by a fingerprint
//! of its own. A team may name any part in its requests, so a part counts for its team only.
//!
//! A part that was served lately is no suspect: sound requests of the same team share most of the
//! parts of those that crash endpoints. Once a suspect has been seen in enough crashes, further ones
//! do not count against those beside it.
//!
//! The first crashes may leave several suspects: all deadly requests have the part that crashes
//! endpoints and one that sound requests have too. A request is tried if each of its quarantined
//! suspects has an alternative, another suspect with the same crashes that the request does not
//! have. If it is served, its suspects are cleared; if it crashes the endpoint, no alternative
//! explains that crash, and nothing more is tried.
//!
//! Two rules protect requests that merely ran on a crashing endpoint. A request that had run
//! for [`SAFE_AFTER`] did not cause the crash, and one that is served anywhere is cleared
//! everywhere.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{Xxh3Default, xxh3_64_with_seed};

use super::listing::Listing;

/// Hash of what a request asks for, the same for each attempt by any caller, or of a part of the
/// prompts of a team.
pub type Fingerprint = u64;
/// Hash of one incarnation of an endpoint.
pub type IncarnationHash = u32;

/// Number of endpoint incarnations that crash under a request before it is quarantined. Two can
/// crash under the same request by chance when many endpoints crash together.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time after its first event from which on a request is not blamed for a crash.
pub const SAFE_AFTER: Duration = Duration::from_secs(1);
/// How long a request stays quarantined, and how long a crash counts against it.
pub const CRASH_TTL: Duration = Duration::from_mins(10);
/// How long a part is no suspect after it was served; in a quiet second a shared part is served
/// several times.
const SERVED_TTL: Duration = Duration::from_secs(3);
/// Most parts whose last answer is remembered.
const MAX_SERVED: usize = 4096;
/// Crashes under a suspect from which on a further one does not count against those beside it that
/// have fewer than [`RIVAL_CRASHES`]. With fewer, the one that is quarantined first may be the wrong
/// one.
const SETTLED_CRASHES: usize = QUARANTINE_CRASHES + 1;
/// Crashes from which on a suspect may explain those of one that other daemons reported sooner.
const RIVAL_CRASHES: usize = QUARANTINE_CRASHES - 1;
/// Most crashes of a suspect that are told apart.
const MAX_CRASHES: usize = 12;
/// Time between two trials of a request with a quarantined part at one daemon.
const TRIAL_INTERVAL: Duration = Duration::from_secs(3);
/// How long digests contain a change; short network partitions end sooner.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Most requests that are tracked, so that a wave of crashes uses little memory.
const MAX_TRACKED: usize = 1024;
/// Most requests in one digest, at twenty bytes each for a few crashes.
const MAX_REPORTED: usize = 48;

/// Fingerprint of a request: the hash of its team, host, method, target and body.
///
/// Each attempt of a caller has its own id, so the id does not show that a request is a retry.
/// Other header fields may differ between attempts.
pub fn fingerprint(
    team: &str,
    host: &str,
    method: &[u8],
    target: &[u8],
    body: &[u8],
) -> Fingerprint {
    let mut hash = Xxh3Default::new();
    for part in [team.as_bytes(), host.as_bytes(), method, target, body] {
        // The length distinguishes parts that are equal when joined.
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// Fingerprint of a part of a team's prompts.
pub fn part_fingerprint(team: &str, part: u64) -> Fingerprint {
    xxh3_64_with_seed(team.as_bytes(), part)
}

/// Hash of the endpoint incarnation that a registry entry belongs to. An endpoint may start
/// again under the same id.
pub fn incarnation_hash(listing: &Listing) -> IncarnationHash {
    let born = listing.born.unwrap_or_default();
    xxh3_64_with_seed(listing.id.as_bytes(), born) as IncarnationHash
}

/// Crashes under one request, as daemons exchange them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint incarnations that crashed under it.
    pub incarnations: Vec<IncarnationHash>,
    /// How long the crashes still count.
    pub left: Duration,
}

/// What a crash or a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashUpdate {
    /// Nothing.
    Unchanged,
    /// This many endpoints have crashed under the request, which is still served.
    Suspected(usize),
    /// The request is quarantined from now on.
    Quarantined,
}

/// Request under which endpoints crashed.
#[derive(Clone, Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    /// Incarnations that crashed under it, sorted, at most [`MAX_CRASHES`].
    incarnations: Vec<IncarnationHash>,
    /// Whether this daemon itself observed one of the crashes.
    is_local: bool,
    /// When the request is forgotten.
    expires: Instant,
    /// Until when digests contain the last change.
    report_until: Instant,
    /// Whether it was handed out to be written to the store.
    is_saved: bool,
    /// When this daemon may try a request that has it.
    trial_at: Option<Instant>,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        self.incarnations.len() >= QUARANTINE_CRASHES
    }

    fn crash(&self, now: Instant) -> Crash {
        Crash {
            fingerprint: self.fingerprint,
            incarnations: self.incarnations.clone(),
            left: self.expires.saturating_duration_since(now),
        }
    }
}

/// Requests under which endpoints crashed, sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    rows: Vec<Suspect>,
    /// Requests that were suspected and then served, and until when digests contain that;
    /// sorted.
    cleared: Vec<(Fingerprint, Instant)>,
    /// Parts that this daemon has seen served, and until when they are no suspects; sorted.
    served: Vec<(Fingerprint, Instant)>,
}

impl Crashes {
    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Requests that are quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        let rows = self.rows.iter().filter(|row| row.is_quarantined());
        rows.map(|row| row.fingerprint)
    }

    /// Whether an endpoint incarnation is known to have crashed under some request.
    pub fn has_crashed(&self, incarnation: IncarnationHash) -> bool {
        let mut rows = self.rows.iter();
        rows.any(|row| row.incarnations.binary_search(&incarnation).is_ok())
    }

    /// How long a request is still quarantined; `None` if it may be sent.
    pub fn quarantine_left(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let at = self.find(fingerprint).ok()?;
        let row = &self.rows[at];
        let left = row.expires.saturating_duration_since(now);
        (row.is_quarantined() && !left.is_zero()).then_some(left)
    }

    /// Whether a request with these suspects, of which some are quarantined, may be tried now. The
    /// first trial comes after the given delay, which differs between daemons so that one learns from
    /// another.
    pub fn take_trial(&mut self, suspects: &[Fingerprint], delay: Duration, now: Instant) -> bool {
        if !self.may_try(suspects, now) {
            return false;
        }
        let mut is_due = true;
        for suspect in suspects {
            let Ok(at) = self.find(*suspect) else {
                continue;
            };
            let trial_at = self.rows[at].trial_at.get_or_insert(now + delay);
            is_due &= now >= *trial_at;
        }
        if is_due {
            for suspect in suspects {
                if let Ok(at) = self.find(*suspect) {
                    self.rows[at].trial_at = Some(now + TRIAL_INTERVAL + delay);
                }
            }
        }
        is_due
    }

    /// Whether each quarantined suspect of a request has an alternative that the request does not
    /// have.
    pub fn may_try(&self, suspects: &[Fingerprint], now: Instant) -> bool {
        let quarantined = || self.rows.iter().filter(|row| row.is_quarantined());
        let has_alternative = |suspect: &Suspect| {
            let others = quarantined().filter(|row| !suspects.contains(&row.fingerprint));
            let mut others = others.filter(|row| now < row.expires);
            others.any(|row| {
                let mut crashes = suspect.incarnations.iter();
                crashes.all(|crash| row.incarnations.binary_search(crash).is_ok())
            })
        };
        quarantined()
            .filter(|row| suspects.contains(&row.fingerprint))
            .all(has_alternative)
    }

    /// Records that an endpoint incarnation crashed while it ran a request from this daemon.
    pub fn record(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: IncarnationHash,
        now: Instant,
    ) -> CrashUpdate {
        let crash = Crash {
            fingerprint,
            incarnations: vec![incarnation],
            left: CRASH_TTL,
        };
        self.apply(&crash, true, now)
    }

    /// Records that an endpoint incarnation crashed while it ran requests from this daemon.
    /// `suspects` are these requests and the shared parts of their prompts. Returns what changed.
    pub fn record_crash(
        &mut self,
        suspects: &[Fingerprint],
        incarnation: IncarnationHash,
        now: Instant,
    ) -> Vec<(Fingerprint, CrashUpdate)> {
        let crashes = |row: &Fingerprint| {
            let found = self.find(*row);
            found.map_or(0, |at| self.rows[at].incarnations.len())
        };
        let is_settled = suspects.iter().any(|row| crashes(row) >= SETTLED_CRASHES);
        let least = if is_settled { RIVAL_CRASHES } else { 0 };
        let suspects = suspects.iter().filter(|row| crashes(row) >= least);
        let suspects = suspects.copied();
        let suspects: Vec<Fingerprint> = suspects
            .filter(|row| !self.was_served_lately(*row, now))
            .collect();
        let updates = suspects.into_iter().map(|fingerprint| {
            let update = self.record(fingerprint, incarnation, now);
            (fingerprint, update)
        });
        updates.collect()
    }

    /// Records that an endpoint served a request with these shared parts. Returns the parts that
    /// were suspected.
    pub fn record_served(&mut self, parts: &[Fingerprint], now: Instant) -> Vec<Fingerprint> {
        for part in parts {
            match self.find_served(*part) {
                Ok(at) => self.served[at].1 = now + SERVED_TTL,
                Err(_) => self.insert_served(*part, now),
            }
        }
        let parts = parts.iter().copied();
        parts.filter(|part| self.clear(*part, now)).collect()
    }

    /// Adds a part that was served. If there are too many, the one that was served first is dropped.
    fn insert_served(&mut self, part: Fingerprint, now: Instant) {
        if self.served.len() >= MAX_SERVED {
            let rows = self.served.iter().enumerate();
            let oldest = rows.min_by_key(|(_, row)| row.1).map(|(at, _)| at);
            if let Some(at) = oldest {
                self.served.remove(at);
            }
        }
        let at = self.find_served(part).unwrap_or_else(|at| at);
        self.served.insert(at, (part, now + SERVED_TTL));
    }

    /// Whether a part was served so lately that it is no suspect.
    fn was_served_lately(&self, part: Fingerprint, now: Instant) -> bool {
        let found = self.find_served(part);
        found.is_ok_and(|at| now < self.served[at].1)
    }

    /// Merges a report of another daemon or of the store.
    pub fn merge(&mut self, crash: &Crash, now: Instant) -> CrashUpdate {
        if self.find_cleared(crash.fingerprint).is_ok() {
            return CrashUpdate::Unchanged;
        }
        if self.was_served_lately(crash.fingerprint, now) {
            // The other daemon has not seen it served.
            self.report_as_cleared(crash.fingerprint, now);
            return CrashUpdate::Unchanged;
        }
        self.apply(crash, false, now)
    }

    fn apply(&mut self, crash: &Crash, is_local: bool, now: Instant) -> CrashUpdate {
        let left = crash.left.min(CRASH_TTL);
        if crash.incarnations.is_empty() || left.is_zero() {
            return CrashUpdate::Unchanged;
        }
        let at = match self.find(crash.fingerprint) {
            Ok(at) => at,
            Err(_) => self.insert(crash.fingerprint, now),
        };
        let row = &mut self.rows[at];
        row.is_local |= is_local;
        let (before, was_quarantined) = (row.incarnations.len(), row.is_quarantined());
        for incarnation in &crash.incarnations {
            if let Err(at) = row.incarnations.binary_search(incarnation)
                && row.incarnations.len() < MAX_CRASHES
            {
                row.incarnations.insert(at, *incarnation);
            }
        }
        if row.incarnations.len() == before {
            return CrashUpdate::Unchanged;
        }
        row.expires = row.expires.max(now + left);
        row.report_until = now + REPORT_TIME;
        match row.incarnations.len() {
            _ if was_quarantined => CrashUpdate::Unchanged,
            QUARANTINE_CRASHES.. => CrashUpdate::Quarantined,
            incarnations => CrashUpdate::Suspected(incarnations),
        }
    }

    /// Adds a row without incarnations. If there are too many rows, the one with the fewest
    /// crashes is dropped, and of several the one that expires first.
    fn insert(&mut self, fingerprint: Fingerprint, now: Instant) -> usize {
        if self.rows.len() >= MAX_TRACKED {
            let least = |row: &&Suspect| (row.incarnations.len(), row.expires);
            let least = self
                .rows
                .iter()
                .min_by_key(least)
                .map(|row| row.fingerprint);
            self.rows.retain(|row| Some(row.fingerprint) != least);
        }
        let row = Suspect {
            fingerprint,
            incarnations: Vec::new(),
            is_local: false,
            expires: now,
            report_until: now,
            is_saved: false,
            trial_at: None,
        };
        let at = self.find(fingerprint).unwrap_or_else(|at| at);
        self.rows.insert(at, row);
        at
    }

    /// Records that an endpoint served a request; returns whether the request was suspected.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let was_suspected = self.remove(fingerprint);
        if was_suspected {
            self.report_as_cleared(fingerprint, now);
        }
        was_suspected
    }

    fn report_as_cleared(&mut self, fingerprint: Fingerprint, now: Instant) {
        match self.find_cleared(fingerprint) {
            Ok(at) => self.cleared[at].1 = now + REPORT_TIME,
            Err(at) => self.cleared.insert(at, (fingerprint, now + REPORT_TIME)),
        }
    }

    /// Applies that another daemon has seen a request served; returns whether it was suspected
    /// here.
    pub fn merge_cleared(&mut self, fingerprint: Fingerprint) -> bool {
        self.remove(fingerprint)
    }

    fn remove(&mut self, fingerprint: Fingerprint) -> bool {
        let found = self.find(fingerprint);
        if let Ok(at) = found {
            self.rows.remove(at);
        }
        found.is_ok()
    }

    /// Crashes for this daemon's digest: the latest changes, and in a full digest also all
    /// quarantined requests, which come first.
    ///
    /// Only daemons that observed a crash themselves report a suspected request, and watchers,
    /// which relay what others observed. If all passed it on, hundreds of daemons would report
    /// each wave of crashes.
    pub fn report(&self, full: bool, relays: bool, now: Instant) -> Vec<Crash> {
        let is_reported = |row: &&Suspect| {
            let is_reporter = relays || row.is_local || row.is_quarantined();
            let is_new = now < row.report_until && is_reporter;
            is_new || (full && row.is_quarantined())
        };
        let mut rows: Vec<&Suspect> = self.rows.iter().filter(is_reported).collect();
        rows.sort_by_key(|row| Reverse((row.incarnations.len(), row.report_until)));
        rows.truncate(MAX_REPORTED);
        rows.into_iter().map(|row| row.crash(now)).collect()
    }

    /// Requests that were served, for this daemon's digest.
    pub fn report_cleared(&self, now: Instant) -> Vec<Fingerprint> {
        let rows = self.cleared.iter().filter(|row| now < row.1);
        rows.take(MAX_REPORTED).map(|row| row.0).collect()
    }

    /// Quarantined requests that this daemon observed crashing an endpoint and has not yet
    /// handed out to be written to the store.
    pub fn take_unsaved(&mut self, now: Instant) -> Vec<Crash> {
        let is_due = |row: &&mut Suspect| row.is_local && row.is_quarantined() && !row.is_saved;
        let rows = self.rows.iter_mut().filter(is_due);
        rows.map(|row| {
            row.is_saved = true;
            row.crash(now)
        })
        .collect()
    }

    /// Marks all requests as not written to the store, since the store may have lost them.
    pub fn mark_unsaved(&mut self) {
        for row in &mut self.rows {
            row.is_saved = false;
        }
    }

    /// Forgets the requests whose time is over.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now < row.expires);
        self.cleared.retain(|row| now < row.1);
        self.served.retain(|row| now < row.1);
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&fingerprint, |row| row.fingerprint)
    }

    fn find_served(&self, part: Fingerprint) -> Result<usize, usize> {
        self.served.binary_search_by_key(&part, |row| row.0)
    }

    fn find_cleared(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.cleared.binary_search_by_key(&fingerprint, |row| row.0)
    }
}
