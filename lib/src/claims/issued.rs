//! Keys that daemons issue, and their hand-over on an announced reclaim.
//!
//! A key space belongs to one incarnation at a time: its issuer, and after a
//! hand-over the successor. The issuer gives a space away once, to one successor,
//! after it has stopped using it; a successor takes a space once. So two never
//! dispatch from the same space, however messages are lost, late or repeated. If
//! the hand-over is lost, or the issuer crashes, the space is dead and its keys
//! answer "unknown".

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::claim::{AnyClaim, Claim, Ended, Permit};
use super::row::MAX_STORED_BODY;
use super::{Answer, ClaimId, Digest, Key, KeyedRequest, RunResult, Sequence};
use crate::ids::{Incarnation, RequestId};
use crate::table::{Row, Table};
use std::time::Instant;

/// Used keys that a space remembers; with answers of a few hundred bytes a few
/// megabytes. Older keys are dead, so that forgetting one can't run it again.
pub const MAX_USED_KEYS: usize = 10_000;

/// A key that was used, as a successor learns it.
#[proc_macros::setting]
#[derive(Eq)]
pub struct UsedKey {
    /// Its text.
    pub id: CompactString,
    /// Digest of its request.
    pub digest: Digest,
    /// Its request.
    pub request: RequestId,
    /// Answer; none if it may have run without one.
    pub answer: Option<Answer>,
}

/// A key space on its way to a successor.
#[proc_macros::setting]
#[derive(Eq)]
pub struct HandOver {
    /// The successor; any other must not take it.
    pub to: Incarnation,
    /// Incarnation that issued the keys.
    pub issuer: Incarnation,
    /// What the tags were made with.
    pub secret: u64,
    /// Keys below this count are dead.
    pub floor: u64,
    /// Count of the next key, which was never issued.
    pub next: u64,
    /// Used keys.
    pub used: Vec<UsedKey>,
}

/// Keys of one issuer.
#[derive(Debug)]
pub(crate) struct KeySpace {
    issuer: Incarnation,
    secret: u64,
    floor: u64,
    next: u64,
    used: Table<AnyClaim>,
}

/// What a key is in its space.
#[derive(Debug)]
pub(crate) enum Lookup<'a> {
    /// Not a key of this space, or not this customer's.
    Invalid,
    /// So old that its use may be forgotten.
    Expired,
    /// Never used.
    Unused,
    /// Used.
    Used(&'a AnyClaim),
}

impl KeySpace {
    /// Key space of an incarnation that has issued nothing.
    pub fn new(issuer: Incarnation, secret: u64) -> Self {
        Self {
            issuer,
            secret,
            floor: 0,
            next: 0,
            used: Table::new(),
        }
    }

    /// Key space that was handed over.
    pub fn from_hand_over(hand_over: HandOver, forget_at: Instant) -> Self {
        Self {
            issuer: hand_over.issuer,
            secret: hand_over.secret,
            floor: hand_over.floor,
            next: hand_over.next,
            used: hand_over
                .used
                .into_iter()
                .map(|key| ended_claim(key, forget_at))
                .collect(),
        }
    }

    /// Issuer of its keys.
    pub fn issuer(&self) -> Incarnation {
        self.issuer
    }

    /// Issues a key to a customer.
    pub fn issue(&mut self, customer: &str) -> Key {
        let count = self.next;
        self.next += 1;
        Key::Issued {
            issuer: self.issuer,
            count,
            tag: self.tag(customer, count),
        }
    }

    /// What a key is here.
    pub fn lookup(&self, customer: &str, id: &ClaimId, count: u64, tag: u64) -> Lookup<'_> {
        if count >= self.next || tag != self.tag(customer, count) {
            return Lookup::Invalid;
        }
        if count < self.floor {
            return Lookup::Expired;
        }
        self.used.get(id).map_or(Lookup::Unused, Lookup::Used)
    }

    /// Uses a key that was never used.
    pub fn use_key(&mut self, id: ClaimId, request: &KeyedRequest, sequence: Sequence) -> Permit {
        let (claim, permit) = Claim::for_issued(id, request, sequence);
        self.used.insert(AnyClaim::Running(claim));
        while self.used.len() > MAX_USED_KEYS {
            self.evict_oldest();
        }
        permit
    }

    /// Takes the end of a request.
    pub fn record_result(&mut self, permit: &Permit, result: RunResult, until: Instant) {
        let Some(AnyClaim::Running(claim)) = self.used.remove(permit.id()) else {
            return;
        };
        // One that provably did not leave is unused as before.
        if result != RunResult::Unsent {
            self.used.insert(claim.finish(result, until));
        }
    }

    /// The space for a successor; what still runs is of unknown outcome to it.
    pub fn hand_over(self, to: Incarnation) -> HandOver {
        HandOver {
            to,
            issuer: self.issuer,
            secret: self.secret,
            floor: self.floor,
            next: self.next,
            used: self.used.iter().map(used_key).collect(),
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.used.iter().next().map(|claim| claim.id().clone());
        let Some(id) = oldest else {
            return;
        };
        if let Some(Key::Issued { count, .. }) = Key::parse(&id) {
            self.floor = count + 1;
        }
        self.used.remove(&id);
    }

    /// Keeps customers from using, or reading the answer of, one another's keys.
    fn tag(&self, customer: &str, count: u64) -> u64 {
        let seed = self.secret ^ count.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        xxh3_64_with_seed(customer.as_bytes(), seed)
    }
}

fn used_key(claim: &AnyClaim) -> UsedKey {
    let answer = match claim {
        AnyClaim::Ended(claim) => claim.state.answer.clone(),
        _ => None,
    };
    let request = match claim {
        AnyClaim::Ended(claim) => claim.request,
        AnyClaim::Running(claim) => claim.request,
        _ => 0,
    };
    UsedKey {
        id: claim.id().clone(),
        digest: claim.digest(),
        request,
        answer: answer.filter(|answer| answer.body.len() <= MAX_STORED_BODY),
    }
}

fn ended_claim(key: UsedKey, forget_at: Instant) -> AnyClaim {
    AnyClaim::Ended(Claim {
        id: key.id,
        sequence: 0,
        digest: key.digest,
        request: key.request,
        state: Ended {
            answer: key.answer,
            revision: 0,
            forget_at,
        },
    })
}
