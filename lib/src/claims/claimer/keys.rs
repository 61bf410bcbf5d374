//! Issued keys: issuing them, handing them over and handling requests with them.

use std::time::Instant;

use super::{Claimer, MEMORY_TTL};
use crate::claims::issued::{HandOver, KeySpace, Lookup};
use crate::claims::{Command, Key, KeyedRequest, Peer};
use crate::code::{Code, Ran};
use crate::ids::{CustomerId, Incarnation};

impl Claimer {
    /// Issues a key to a customer; none once frozen.
    pub fn issue(&mut self, customer: &CustomerId) -> Option<Key> {
        if self.frozen {
            return None;
        }
        let own = self.spaces.iter_mut().find(|s| s.issuer() == self.me)?;
        Some(own.issue(customer))
    }

    /// Incarnations whose key spaces were handed over to this daemon, for gossip.
    pub fn inherited_issuers(&self) -> Vec<Incarnation> {
        let issuers = self.spaces.iter().map(KeySpace::issuer);
        issuers.filter(|issuer| *issuer != self.me).collect()
    }

    /// Hands all key spaces over to a successor, once; empty before the freeze.
    ///
    /// A message that may have been lost can be resent unchanged to the same
    /// successor. If a second successor received it, both would dispatch requests with
    /// the unused keys.
    pub fn hand_over(&mut self, to: Incarnation) -> Vec<HandOver> {
        if !self.frozen {
            return Vec::new();
        }
        let spaces = std::mem::take(&mut self.spaces);
        let handed_over = spaces.iter().map(|space| (space.issuer(), to));
        self.handed_over.extend(handed_over);
        spaces.into_iter().map(|s| s.hand_over(to)).collect()
    }

    /// Accepts a key space; returns whether this daemon holds it or has held it.
    pub fn take_over(&mut self, now: Instant, hand_over: HandOver) -> bool {
        let known = self.spaces.iter().any(|s| s.issuer() == hand_over.issuer)
            || self
                .handed_over
                .iter()
                .any(|(issuer, _)| *issuer == hand_over.issuer);
        if known || self.frozen || hand_over.to != self.me {
            return known;
        }
        self.spaces
            .push(KeySpace::from_hand_over(hand_over, now + MEMORY_TTL));
        true
    }

    /// Dispatches a request with an unused issued key; otherwise answers, forwards or
    /// rejects it.
    pub(super) fn try_issued(
        &mut self,
        now: Instant,
        request: &KeyedRequest,
        issuer: Incarnation,
        count: u64,
        tag: u64,
    ) {
        let id = request.key.claim_id(&request.customer);
        let Some(at) = self.spaces.iter().position(|s| s.issuer() == issuer) else {
            return self.forward(request, issuer);
        };
        match self.spaces[at].lookup(&request.customer, &id, count, tag) {
            Lookup::Invalid => self.reject(request.id, Code::BadKey, Ran::No),
            Lookup::Expired => self.reject(request.id, Code::KeyUnknown, Ran::Unknown),
            Lookup::Used(claim) if claim.digest() != request.digest => {
                self.reject(request.id, Code::KeyReused, Ran::No);
            }
            Lookup::Used(claim) => {
                let reply = claim.reply();
                self.respond(request.id, reply);
            }
            Lookup::Unused if self.frozen => self.reject_retryable(now, request.id, Code::Draining),
            Lookup::Unused => {
                let sequence = self.next_sequence();
                let permit = self.spaces[at].use_key(id, request, sequence);
                self.commands.push(Command::Dispatch(permit));
            }
        }
    }

    /// Forwards a request to the daemon that holds the key space of an issuer.
    pub(super) fn forward(&mut self, request: &KeyedRequest, issuer: Incarnation) {
        let successor = self.handed_over.iter().find(|(from, _)| *from == issuer);
        let holds = |p: &&Peer| p.incarnation == issuer || p.holds.contains(&issuer);
        let holder = self.peers.iter().find(holds).map(|p| p.incarnation);
        match successor.map(|(_, to)| *to).or(holder) {
            Some(to) if !request.forwarded => {
                let request = request.id;
                self.commands.push(Command::Forward { request, to });
            }
            _ => self.reject(request.id, Code::KeyUnknown, Ran::Unknown),
        }
    }
}
