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
//! Many endpoints may crash within a moment from one cause that is in no request, and a part that
//! many requests share ran on several of them. So the daemons also exchange which endpoints crashed
//! whatever they ran. If several that did not run a suspect crash in the same moment, that moment
//! counts as one crash under it. Without this, such a moment quarantines sound parts everywhere.
//!
//! Crashes of one moment alone leave doubt for a while, in which requests wait: those that run
//! with the suspect elsewhere show whether they are served.
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
//! A suspect without an alternative is tried, too, later, and the later the more crashes count
//! against it. One trial is made at a time. Daemons have ranks for it, by a hash, and the lower ones
//! come first; the records tell of the last trial.
//!
//! Two rules protect requests that merely ran on a crashing endpoint. A request that had run
//! for [`SAFE_AFTER`] did not cause the crash, and one that is served anywhere is cleared
//! everywhere.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{Xxh3Default, xxh3_64, xxh3_64_with_seed};

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
/// Most crashes of a suspect that are told apart. Further ones of the same moment would seem to be
/// crashes of endpoints that did not run it.
const MAX_CRASHES: usize = 40;
/// Time within which crashes may be of one cause that is in no request.
const MOMENT: Duration = Duration::from_millis(400);
/// Crashes without a suspect in a moment that show such a cause: so many, and one for this many with
/// the suspect.
const COMMON_CRASHES: usize = 2;
const COMMON_RATIO: usize = 8;
/// Most crashes that are remembered whatever the endpoints ran.
const MAX_FALLS: usize = 512;
/// How long digests contain such a crash, and most of them in one digest, at ten bytes each.
const FALL_REPORT_TIME: Duration = Duration::from_secs(3);
const MAX_REPORTED_FALLS: usize = 48;
/// Time between two trials of a request with a quarantined part at one daemon.
const TRIAL_INTERVAL: Duration = Duration::from_secs(3);
/// Time between any two trials: the first one's endpoint has crashed by then, and all know it.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// Time after the last crash until a suspect without an alternative is tried, and its factor for each
/// further crash that counts: each makes a sound suspect less likely.
const LONE_TRIAL: Duration = Duration::from_secs(15);
const LONE_FACTOR: u32 = 4;
/// Time by which the trial of a daemon of twice the rank comes later; digests take a part of it.
const TRIAL_STEP: Duration = Duration::from_secs(1);
/// How long digests contain a change; short network partitions end sooner.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Most requests that are tracked, so that a wave of crashes uses little memory.
const MAX_TRACKED: usize = 1024;
/// Most requests in one digest, at twenty bytes each and seven for each crash.
const MAX_REPORTED: usize = 48;
/// Most crashes under these requests in one digest.
const MAX_REPORTED_CRASHES: usize = 160;

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

/// Time by which a daemon waits longer than the first one to try a request. Its rank is that of its
/// hash among the daemons that it knows. A daemon of a large fleet knows few of all `daemons`, so its
/// rank is also what the hash amounts to among as many.
pub fn trial_delay(me: Ipv4Addr, known: &[Ipv4Addr], daemons: usize) -> Duration {
    let hash = |daemon: Ipv4Addr| xxh3_64(&daemon.octets());
    let own = hash(me);
    let before = known.iter().filter(|row| hash(**row) < own).count();
    let share = own as f64 / u64::MAX as f64;
    let rank = if known.len() + 1 < daemons {
        before.max((share * daemons as f64) as usize)
    } else {
        before
    };
    TRIAL_STEP.mul_f64((rank as f64 + 1.0).log2())
}

/// Crashes under one request, as daemons exchange them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint incarnations that crashed under it.
    pub incarnations: Vec<IncarnationHash>,
    /// How long ago each of them crashed; those that are missing crashed just now.
    pub ages: Vec<Duration>,
    /// How long ago it was last tried; `None` if it was not.
    pub tried: Option<Duration>,
    /// How long the crashes still count.
    pub left: Duration,
}

/// Crash of an endpoint, whatever it ran, as daemons exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fall {
    /// Incarnation that crashed.
    pub incarnation: IncarnationHash,
    /// How long ago that was.
    pub age: Duration,
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
    /// The request is no longer quarantined, as other endpoints crashed at the same moment.
    Released,
}

/// Crash of an endpoint, whatever it ran.
#[derive(Clone, Copy, Debug)]
struct SeenFall {
    incarnation: IncarnationHash,
    at: Instant,
    /// Whether this daemon itself observed it.
    is_local: bool,
    /// Until when digests contain it.
    report_until: Instant,
}

/// Request that was suspected and then served.
#[derive(Clone, Copy, Debug)]
struct Cleared {
    fingerprint: Fingerprint,
    /// Crashes before this moment do not count against it.
    at: Instant,
    /// Until when digests contain it.
    report_until: Instant,
}

/// What the crashes under a suspect amount to.
#[derive(Clone, Debug, Default)]
struct Weight {
    /// Crashes that count.
    crashes: usize,
    /// Moments in which they were.
    moments: usize,
    /// Incarnations that did not crash in a moment with others, sorted.
    alone: Vec<IncarnationHash>,
}

/// Request under which endpoints crashed.
#[derive(Clone, Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    /// Incarnations that crashed under it and when, sorted, at most [`MAX_CRASHES`].
    crashes: Vec<(IncarnationHash, Instant)>,
    weight: Weight,
    /// Whether this daemon itself observed one of the crashes.
    is_local: bool,
    /// When the request is forgotten.
    expires: Instant,
    /// Until when digests contain the last change.
    report_until: Instant,
    /// Whether it was handed out to be written to the store.
    is_saved: bool,
    /// Whether the store has it.
    is_stored: bool,
    /// When this daemon may try a request that has it.
    trial_at: Option<Instant>,
    /// When any daemon last tried one.
    tried: Option<Instant>,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        self.weight.crashes >= QUARANTINE_CRASHES
    }

    /// Whether this daemon is to write it to the store.
    fn is_due(&self) -> bool {
        self.is_local && self.is_quarantined() && !self.is_saved
    }

    fn has(&self, incarnation: IncarnationHash) -> bool {
        self.find(incarnation).is_ok()
    }

    fn find(&self, incarnation: IncarnationHash) -> Result<usize, usize> {
        self.crashes.binary_search_by_key(&incarnation, |row| row.0)
    }

    fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|row| row.1).max()
    }

    /// Until when requests that run elsewhere may show that it is sound.
    fn settles(&self) -> Option<Instant> {
        let last = self.last_crash()?;
        Some(if self.weight.moments == 1 {
            last + SAFE_AFTER
        } else {
            last
        })
    }

    /// When it may be tried first by any daemon though nothing else explains the crashes.
    fn lone_trial(&self) -> Option<Instant> {
        let further = match self.weight.moments {
            1 => 0,
            _ => self.weight.crashes.saturating_sub(QUARANTINE_CRASHES),
        };
        let factor = LONE_FACTOR.saturating_pow(further as u32);
        let wait = LONE_TRIAL.saturating_mul(factor).min(CRASH_TTL);
        Some(self.last_crash().max(self.tried)? + wait)
    }

    /// Adds a crash; returns whether it is new. If there are too many, one of the moment with the most
    /// of them is dropped.
    fn add(&mut self, incarnation: IncarnationHash, at: Instant) -> bool {
        match self.find(incarnation) {
            Ok(found) => {
                self.crashes[found].1 = self.crashes[found].1.min(at);
                return false;
            }
            Err(found) => self.crashes.insert(found, (incarnation, at)),
        }
        if self.crashes.len() > MAX_CRASHES {
            let near = |at: Instant| {
                let others = self.crashes.iter();
                let others = others.filter(|row| distance(row.1, at) <= MOMENT);
                others.count()
            };
            let densest = self.crashes.iter().enumerate();
            let densest = densest.max_by_key(|(_, row)| (near(row.1), row.0));
            if let Some(densest) = densest.map(|(found, _)| found) {
                self.crashes.remove(densest);
            }
        }
        self.has(incarnation)
    }

    /// Determines what the crashes amount to, beside those of all endpoints.
    fn weigh(&mut self, falls: &[SeenFall]) {
        let mut rows = self.crashes.clone();
        rows.sort_by_key(|row| row.1);
        let mut weight = Weight::default();
        let mut rest = rows.as_slice();
        while let Some((_, begin)) = rest.first() {
            let end = *begin + MOMENT;
            let with = rest.partition_point(|row| row.1 <= end);
            let (moment, later) = rest.split_at(with);
            let is_near = |fall: &&SeenFall| fall.at <= end && fall.at + MOMENT / 2 >= *begin;
            let without = falls.iter().filter(is_near);
            let without = without.filter(|fall| !self.has(fall.incarnation)).count();
            weight.moments += 1;
            if without >= COMMON_CRASHES && without * COMMON_RATIO >= with {
                weight.crashes += 1;
            } else {
                weight.crashes += with;
                weight.alone.extend(moment.iter().map(|row| row.0));
            }
            rest = later;
        }
        weight.alone.sort_unstable();
        self.weight = weight;
    }

    /// The crashes as they are reported, of which the latest `most`.
    fn crash(&self, most: usize, now: Instant) -> Crash {
        let mut rows = self.crashes.clone();
        if most < rows.len() {
            rows.sort_by_key(|row| Reverse(row.1));
            rows.truncate(most);
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        Crash {
            fingerprint: self.fingerprint,
            incarnations: rows.iter().map(|row| row.0).collect(),
            ages: rows.iter().map(|row| age(row.1)).collect(),
            tried: self.tried.map(age),
            left: self.expires.saturating_duration_since(now),
        }
    }
}

fn distance(one: Instant, other: Instant) -> Duration {
    one.max(other).duration_since(one.min(other))
}

/// The moment that was this long ago.
fn moment(age: Duration, now: Instant) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}

/// Requests under which endpoints crashed, sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    rows: Vec<Suspect>,
    /// Requests that were suspected and then served, sorted.
    cleared: Vec<Cleared>,
    /// Crashes of all endpoints, sorted by incarnation.
    falls: Vec<SeenFall>,
    /// Requests that are to be removed from the store.
    outdated: Vec<Fingerprint>,
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

    /// Whether an endpoint incarnation is known to have crashed.
    pub fn has_crashed(&self, incarnation: IncarnationHash) -> bool {
        let mut rows = self.rows.iter();
        self.find_fall(incarnation).is_ok() || rows.any(|row| row.has(incarnation))
    }

    /// Crashes that count against a request, the moments in which they were, and when it may be
    /// tried; `None` if it is not suspected.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<(usize, usize, Option<Instant>)> {
        let row = &self.rows[self.find(fingerprint).ok()?];
        Some((row.weight.crashes, row.weight.moments, row.lone_trial()))
    }

    /// Until when it is in doubt whether any of these suspects stays quarantined; `None` if none is
    /// quarantined, or one is for certain.
    pub fn settles(&self, suspects: &[Fingerprint], now: Instant) -> Option<Instant> {
        let rows = suspects.iter().filter_map(|row| self.find(*row).ok());
        let rows = rows.map(|at| &self.rows[at]);
        let rows = rows.filter(|row| row.is_quarantined() && now < row.expires);
        let settled = rows.map(Suspect::settles).min().flatten();
        settled.filter(|at| now < *at)
    }

    /// When the next request that is to be saved is quarantined for certain.
    pub fn next_settled(&self, now: Instant) -> Option<Instant> {
        let rows = self.rows.iter().filter(|row| row.is_due());
        let times = rows.filter_map(Suspect::settles);
        times.filter(|at| now < *at).min()
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
        let has_alternative = self.may_try(suspects, now);
        let due = self.next_trial(suspects, delay, now);
        let is_due = due.is_some_and(|due| now >= due);
        for suspect in suspects {
            let Ok(at) = self.find(*suspect) else {
                continue;
            };
            let row = &mut self.rows[at];
            if !row.is_quarantined() {
                continue;
            }
            if is_due {
                row.tried = Some(now);
                row.trial_at = Some(now + TRIAL_INTERVAL + delay);
                row.report_until = now + REPORT_TIME;
            } else if has_alternative {
                row.trial_at.get_or_insert(now + delay);
            }
        }
        is_due
    }

    /// When this daemon may try a request with these suspects; `None` if none of them is quarantined.
    pub fn next_trial(
        &self,
        suspects: &[Fingerprint],
        delay: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let has_alternative = self.may_try(suspects, now);
        let rows = suspects.iter().filter_map(|row| self.find(*row).ok());
        let rows = rows.map(|at| &self.rows[at]);
        let due = rows.filter(|row| row.is_quarantined()).map(|row| {
            if has_alternative {
                return row.trial_at.unwrap_or(now + delay);
            }
            row.lone_trial().map_or(row.expires, |at| at + delay)
        });
        let due = due.max()?;
        // Trials of different suspects would crash endpoints under each other.
        let last = self.rows.iter().filter_map(|row| row.tried).max();
        Some(last.map_or(due, |last| due.max(last + TRIAL_PAUSE)))
    }

    /// Whether each quarantined suspect of a request has an alternative that the request does not
    /// have.
    pub fn may_try(&self, suspects: &[Fingerprint], now: Instant) -> bool {
        let quarantined = || self.rows.iter().filter(|row| row.is_quarantined());
        let has_alternative = |suspect: &Suspect| {
            let others = quarantined().filter(|row| !suspects.contains(&row.fingerprint));
            let mut others = others.filter(|row| now < row.expires);
            others.any(|row| {
                let mut crashes = suspect.weight.alone.iter();
                crashes.all(|crash| row.has(*crash))
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
            ..Crash::default()
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
        let row = |row: &Fingerprint| self.find(*row).ok().map(|at| &self.rows[at]);
        let crashes = |suspect| row(suspect).map_or(0, |row| row.crashes.len());
        let counted = |suspect| row(suspect).map_or(0, |row| row.weight.crashes);
        let is_settled = suspects.iter().any(|row| counted(row) >= SETTLED_CRASHES);
        let least = if is_settled { RIVAL_CRASHES } else { 0 };
        let suspects = suspects.iter().filter(|row| crashes(row) >= least);
        let suspects = suspects.copied();
        let suspects: Vec<Fingerprint> = suspects
            .filter(|row| !self.was_served_lately(*row, now))
            .collect();
        self.insert_fall(incarnation, now, true, now);
        let updates = suspects.into_iter().map(|fingerprint| {
            let update = self.record(fingerprint, incarnation, now);
            (fingerprint, update)
        });
        let mut updates: Vec<_> = updates.collect();
        let released = self.weigh_all(now).into_iter();
        updates.extend(released.map(|row| (row, CrashUpdate::Released)));
        updates
    }

    /// Merges the crash of an endpoint that another daemon reports. Returns the requests that are no
    /// longer quarantined.
    pub fn merge_fall(&mut self, fall: Fall, now: Instant) -> Vec<Fingerprint> {
        let at = moment(fall.age, now);
        if self.insert_fall(fall.incarnation, at, false, now) {
            self.weigh_all(at)
        } else {
            Vec::new()
        }
    }

    /// Crashes of endpoints for this daemon's digest: the latest that it saw itself, or all of the
    /// latest if it relays what others saw.
    pub fn report_falls(&self, relays: bool, now: Instant) -> Vec<Fall> {
        let rows = self.falls.iter();
        let rows = rows.filter(|row| now < row.report_until && (relays || row.is_local));
        let mut rows: Vec<&SeenFall> = rows.collect();
        rows.sort_by_key(|row| Reverse(row.at));
        let rows = rows.into_iter().take(MAX_REPORTED_FALLS);
        let fall = |row: &SeenFall| Fall {
            incarnation: row.incarnation,
            age: now.saturating_duration_since(row.at),
        };
        rows.map(fall).collect()
    }

    /// Adds the crash of an endpoint; returns whether it is new. If there are too many, the oldest is
    /// dropped.
    fn insert_fall(
        &mut self,
        incarnation: IncarnationHash,
        at: Instant,
        is_local: bool,
        now: Instant,
    ) -> bool {
        if let Ok(found) = self.find_fall(incarnation) {
            self.falls[found].is_local |= is_local;
            return false;
        }
        if self.falls.len() >= MAX_FALLS {
            let rows = self.falls.iter().enumerate();
            let oldest = rows.min_by_key(|(_, row)| row.at).map(|(at, _)| at);
            if let Some(oldest) = oldest {
                self.falls.remove(oldest);
            }
        }
        let found = self.find_fall(incarnation).unwrap_or_else(|at| at);
        let row = SeenFall {
            incarnation,
            at,
            is_local,
            report_until: now + FALL_REPORT_TIME,
        };
        self.falls.insert(found, row);
        true
    }

    /// Weighs again what crashed near a moment. Returns the requests that are no longer quarantined.
    fn weigh_all(&mut self, at: Instant) -> Vec<Fingerprint> {
        let mut released = Vec::new();
        for row in &mut self.rows {
            let is_near = |crash: &(IncarnationHash, Instant)| distance(crash.1, at) <= MOMENT * 2;
            if row.crashes.len() < QUARANTINE_CRASHES || !row.crashes.iter().any(is_near) {
                continue;
            }
            let was_quarantined = row.is_quarantined();
            row.weigh(&self.falls);
            if was_quarantined && !row.is_quarantined() {
                released.push(row.fingerprint);
            }
        }
        released
    }

    fn find_fall(&self, incarnation: IncarnationHash) -> Result<usize, usize> {
        self.falls
            .binary_search_by_key(&incarnation, |row| row.incarnation)
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

    /// Merges a report of another daemon.
    pub fn merge(&mut self, crash: &Crash, now: Instant) -> CrashUpdate {
        if self.was_served_lately(crash.fingerprint, now) {
            // The other daemon has not seen it served.
            self.report_as_cleared(crash.fingerprint, now);
            return CrashUpdate::Unchanged;
        }
        let Ok(found) = self.find_cleared(crash.fingerprint) else {
            return self.apply(crash, false, now);
        };
        let cleared = self.cleared[found];
        let is_known = |age: &Duration| moment(*age, now) <= cleared.at;
        let is_outdated = !crash.ages.is_empty() && crash.ages.iter().all(is_known);
        if now < cleared.report_until || is_outdated {
            // The other daemon has not heard that it was served since.
            self.cleared[found].report_until = cleared.report_until.max(now + MOMENT);
            return CrashUpdate::Unchanged;
        }
        let mut later = Crash {
            incarnations: Vec::new(),
            ages: Vec::new(),
            ..crash.clone()
        };
        for (number, incarnation) in crash.incarnations.iter().enumerate() {
            let age = crash.ages.get(number).copied().unwrap_or_default();
            if !is_known(&age) {
                later.incarnations.push(*incarnation);
                later.ages.push(age);
            }
        }
        self.apply(&later, false, now)
    }

    /// Merges a quarantined request that the store has.
    pub fn restore(&mut self, crash: &Crash, now: Instant) -> CrashUpdate {
        let update = self.merge(crash, now);
        if let Ok(at) = self.find(crash.fingerprint) {
            self.rows[at].is_stored = true;
        }
        update
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
        let was_quarantined = row.is_quarantined();
        let tried = crash.tried.map(|age| moment(age, now));
        // Ages are a little off at each hop; only a further trial is news.
        let is_later = |at: Instant| row.tried.is_none_or(|own| at > own + TRIAL_PAUSE / 2);
        if tried.is_some_and(is_later) {
            row.tried = tried;
            row.report_until = now + REPORT_TIME;
        }
        let mut is_new = false;
        for (number, incarnation) in crash.incarnations.iter().enumerate() {
            let age = crash.ages.get(number).copied().unwrap_or_default();
            is_new |= row.add(*incarnation, moment(age, now));
        }
        if !is_new {
            return CrashUpdate::Unchanged;
        }
        row.weigh(&self.falls);
        row.expires = row.expires.max(now + left);
        row.report_until = now + REPORT_TIME;
        match row.weight.crashes {
            _ if was_quarantined => CrashUpdate::Unchanged,
            QUARANTINE_CRASHES.. => CrashUpdate::Quarantined,
            crashes => CrashUpdate::Suspected(crashes),
        }
    }

    /// Adds a row without incarnations. If there are too many rows, the one with the fewest
    /// crashes is dropped, and of several the one that expires first.
    fn insert(&mut self, fingerprint: Fingerprint, now: Instant) -> usize {
        if self.rows.len() >= MAX_TRACKED {
            let least = |row: &&Suspect| (row.weight.crashes, row.crashes.len(), row.expires);
            let least = self
                .rows
                .iter()
                .min_by_key(least)
                .map(|row| row.fingerprint);
            self.rows.retain(|row| Some(row.fingerprint) != least);
        }
        let row = Suspect {
            fingerprint,
            crashes: Vec::new(),
            weight: Weight::default(),
            is_local: false,
            expires: now,
            report_until: now,
            is_saved: false,
            is_stored: false,
            trial_at: None,
            tried: None,
        };
        let at = self.find(fingerprint).unwrap_or_else(|at| at);
        self.rows.insert(at, row);
        at
    }

    /// Records that an endpoint served a request; returns whether the request was suspected.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let Some(row) = self.remove(fingerprint) else {
            return false;
        };
        self.report_as_cleared(fingerprint, now);
        if row.is_stored || row.is_saved {
            self.outdated.push(fingerprint);
        }
        true
    }

    fn report_as_cleared(&mut self, fingerprint: Fingerprint, now: Instant) {
        let row = Cleared {
            fingerprint,
            at: now,
            report_until: now + REPORT_TIME,
        };
        match self.find_cleared(fingerprint) {
            Ok(at) => self.cleared[at] = row,
            Err(_) => self.insert_cleared(row),
        }
    }

    /// Adds a request that was served. If there are too many, the one that was served first is
    /// dropped.
    fn insert_cleared(&mut self, row: Cleared) {
        if self.cleared.len() >= MAX_TRACKED {
            let rows = self.cleared.iter().enumerate();
            let oldest = rows.min_by_key(|(_, row)| row.at).map(|(at, _)| at);
            if let Some(oldest) = oldest {
                self.cleared.remove(oldest);
            }
        }
        let at = self.find_cleared(row.fingerprint);
        self.cleared.insert(at.unwrap_or_else(|at| at), row);
    }

    /// Applies that another daemon has seen a request served; returns whether it was suspected
    /// here.
    pub fn merge_cleared(&mut self, fingerprint: Fingerprint) -> bool {
        let row = self.remove(fingerprint);
        if row.as_ref().is_some_and(|row| row.is_saved) {
            self.outdated.push(fingerprint);
        }
        row.is_some()
    }

    fn remove(&mut self, fingerprint: Fingerprint) -> Option<Suspect> {
        let found = self.find(fingerprint).ok();
        found.map(|at| self.rows.remove(at))
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
        rows.sort_by_key(|row| Reverse((row.weight.crashes, row.crashes.len(), row.report_until)));
        rows.truncate(MAX_REPORTED);
        let mut left = MAX_REPORTED_CRASHES;
        let rows = rows.into_iter().map(|row| {
            let crash = row.crash(left.max(QUARANTINE_CRASHES), now);
            left = left.saturating_sub(crash.incarnations.len());
            crash
        });
        rows.collect()
    }

    /// Requests that were served, for this daemon's digest.
    pub fn report_cleared(&self, now: Instant) -> Vec<Fingerprint> {
        let rows = self.cleared.iter().filter(|row| now < row.report_until);
        let rows = rows.take(MAX_REPORTED);
        rows.map(|row| row.fingerprint).collect()
    }

    /// Quarantined requests that this daemon observed crashing an endpoint and has not yet
    /// handed out to be written to the store.
    pub fn take_unsaved(&mut self, now: Instant) -> Vec<Crash> {
        let rows = self.rows.iter_mut().filter(|row| row.is_due());
        let rows = rows.filter(|row| row.settles().is_none_or(|at| now >= at));
        rows.map(|row| {
            row.is_saved = true;
            row.crash(MAX_CRASHES, now)
        })
        .collect()
    }

    /// Requests that are to be removed from the store, as they were served.
    pub fn take_cleared(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.outdated)
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
        self.cleared
            .retain(|row| now < row.report_until.max(row.at + CRASH_TTL));
        self.falls.retain(|row| now < row.at + CRASH_TTL);
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
        self.cleared
            .binary_search_by_key(&fingerprint, |row| row.fingerprint)
    }
}
