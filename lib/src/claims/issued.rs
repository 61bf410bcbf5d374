//! Keys that daemons issue, and their hand-over on an announced reclaim.
//!
//! A key space belongs to one incarnation at a time: its issuer, and after a
//! hand-over the successor. The issuer hands a space over once, to one successor,
//! after it has stopped using it; a successor accepts a space once. Two daemons
//! therefore never dispatch from the same space, even if messages are lost, late or
//! duplicated. If the hand-over is lost or the issuer crashes, nobody holds the space
//! and requests with its keys are answered "unknown".

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::claim::{AnyClaim, Claim, Ended, Permit};
use super::row::MAX_STORED_BODY;
use super::{Answer, ClaimId, Digest, Key, KeyedRequest, RunResult, Sequence};
use crate::ids::{Incarnation, RequestId};
use crate::table::{Row, Table};
use std::time::Instant;

/// Maximum number of used keys that a space remembers; with answers of a few hundred
/// bytes each they take a few megabytes. All older keys are expired, so that a key
/// whose use was forgotten cannot run again.
pub const MAX_USED_KEYS: usize = 10_000;

/// A used key in a hand-over.
#[proc_macros::setting]
#[derive(Eq)]
pub struct UsedKey {
    /// Text of the key.
    pub id: CompactString,
    /// Digest of the request that used it.
    pub digest: Digest,
    /// Id of that request.
    pub request: RequestId,
    /// Answer; none if the request may have run without one.
    pub answer: Option<Answer>,
}

/// Message that hands a key space over to a successor.
#[proc_macros::setting]
#[derive(Eq)]
pub struct HandOver {
    /// The successor; no other daemon may accept it.
    pub to: Incarnation,
    /// Incarnation that issued the keys.
    pub issuer: Incarnation,
    /// Secret that the tags of the keys are computed with.
    pub secret: u64,
    /// Keys with a lower count are expired.
    pub floor: u64,
    /// Count of the next key to issue.
    pub next: u64,
    /// Used keys that are still remembered.
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

/// Result of looking a key up in its space.
#[derive(Debug)]
pub(crate) enum Lookup<'a> {
    /// Not issued in this space, or not to this customer.
    Invalid,
    /// So old that its use may have been forgotten.
    Expired,
    /// Issued and not used yet.
    Unused,
    /// Used by the request of this claim.
    Used(&'a AnyClaim),
}

impl KeySpace {
    /// Empty key space of an issuer.
    pub fn new(issuer: Incarnation, secret: u64) -> Self {
        Self {
            issuer,
            secret,
            floor: 0,
            next: 0,
            used: Table::new(),
        }
    }

    /// Key space from a hand-over.
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

    /// Incarnation that issued the keys.
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

    /// Looks a key up.
    pub fn lookup(&self, customer: &str, id: &ClaimId, count: u64, tag: u64) -> Lookup<'_> {
        if count >= self.next || tag != self.tag(customer, count) {
            return Lookup::Invalid;
        }
        if count < self.floor {
            return Lookup::Expired;
        }
        self.used.get(id).map_or(Lookup::Unused, Lookup::Used)
    }

    /// Uses an unused key for a request.
    pub fn use_key(&mut self, id: ClaimId, request: &KeyedRequest, sequence: Sequence) -> Permit {
        let (claim, permit) = Claim::for_issued(id, request, sequence);
        self.used.insert(AnyClaim::Running(claim));
        while self.used.len() > MAX_USED_KEYS {
            self.evict_oldest();
        }
        permit
    }

    /// Records the result of a request.
    pub fn record_result(&mut self, permit: &Permit, result: RunResult, forget_at: Instant) {
        let Some(AnyClaim::Running(claim)) = self.used.remove(permit.id()) else {
            return;
        };
        // The key of a request that provably was not sent is unused again.
        if result != RunResult::Unsent {
            self.used.insert(claim.finish(result, forget_at));
        }
    }

    /// Hands the space over to a successor, for which requests that still run have an
    /// unknown outcome.
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

    /// Forgets the oldest used key, after which all keys up to it are expired.
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

    /// Tag that ties a key to its customer, so that customers can neither use one
    /// another's keys nor read their answers.
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
