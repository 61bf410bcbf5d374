//! Decides which requests with an idempotency key may be dispatched.
//!
//! Its load is repeats: impatient guests, and callers whose entry host was
//! reclaimed, send the same booking through several daemons within seconds, and
//! most of all while the key-value service is out. A claim therefore waits for
//! [`CLAIM_TIMEOUT`] only; a guest who is told "not run" and when to come back is
//! better off than one who waits for an outage to end.

mod keys;
mod rows;

use std::time::{Duration, Instant};

use super::batch::Batch;
use super::claim::{AnyClaim, Claim, Claiming, Permit};
use super::issued::KeySpace;
use super::{
    Command, Input, Key, KeyedRequest, MIN_RETENTION, Peer, Question, Rejection, Reply, RunResult,
    Sequence,
};
use crate::code::{Code, Ran};
use crate::ids::{Incarnation, RequestId};
use crate::store::{Failure, Lease};
use crate::table::Table;

/// Time that a claim waits for the service. It answers in milliseconds; a guest
/// gives up after a few seconds, and then needs time to be answered.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for a holder's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which ends and refused claims are remembered.
const MEMORY_TTL: Duration = Duration::from_mins(10);
/// Least and most time after which a refused caller should come back.
const RETRY_AFTER_S: (f64, f64) = (1.0, 4.0);
/// Lease on the rows: the time they are kept, and the time one lease is used.
const LEASE_TIME: Duration = MIN_RETENTION.saturating_add(Duration::from_hours(1));
/// Pause before a lease is asked for again.
const LEASE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a daemon knows of idempotency keys.
#[derive(Debug)]
pub struct Claimer {
    me: Incarnation,
    claims: Table<AnyClaim>,
    spaces: Vec<KeySpace>,
    /// Spaces that were handed over, and to whom.
    handed_over: Vec<(Incarnation, Incarnation)>,
    batch: Batch,
    lease: Option<Lease>,
    lease_retry: Option<Instant>,
    peers: Vec<Peer>,
    frozen: bool,
    sequence: Sequence,
    rng: fastrand::Rng,
    commands: Vec<Command>,
}

impl Claimer {
    /// Claimer of a fresh incarnation, which was never used before.
    pub fn new(me: Incarnation, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            me,
            claims: Table::new(),
            spaces: vec![KeySpace::new(me, rng.u64(..))],
            handed_over: Vec::new(),
            batch: Batch::new(),
            lease: None,
            lease_retry: None,
            peers: Vec::new(),
            frozen: false,
            sequence: 0,
            rng,
            commands: Vec::new(),
        }
    }

    /// Takes what happened and tells what is to be done.
    pub fn tick(&mut self, now: Instant, inputs: Vec<Input>) -> Vec<Command> {
        for input in inputs {
            self.handle(now, input);
        }
        self.expire(now);
        self.send_write(now);
        std::mem::take(&mut self.commands)
    }

    /// Replies to another daemon that found a row of this one.
    pub fn reply(&mut self, question: &Question) -> Reply {
        let claim = self.claims.get(&question.id);
        // A question about another claim of the key must not release this one.
        if claim.is_none_or(|claim| claim.sequence() != question.sequence) {
            return Reply::Unknown;
        }
        match self.claims.remove(&question.id) {
            Some(AnyClaim::Abandoned(claim)) => {
                self.claims.insert(AnyClaim::Released(claim.release()));
                Reply::Released
            }
            Some(claim) => {
                let reply = claim.reply();
                self.claims.insert(claim);
                reply
            }
            None => Reply::Unknown,
        }
    }

    fn handle(&mut self, now: Instant, input: Input) {
        match input {
            Input::Begin(request) => self.begin(now, &request),
            Input::CallerLeft(request) => self.caller_left(now, request),
            Input::Ended(permit, result) => self.record_result(now, &permit, result),
            Input::Written { number, result } => self.handle_write(now, number, result),
            Input::Leased(result) => self.handle_lease(now, result),
            Input::Replied { question, reply } => self.handle_reply(now, &question, reply),
            Input::Peers(peers) => self.peers = peers,
            Input::Freeze => self.frozen = true,
        }
    }

    fn begin(&mut self, now: Instant, request: &KeyedRequest) {
        match request.key {
            Key::Supplied(_) => self.try_supplied(now, request),
            Key::Issued { issuer, count, tag } => self.try_issued(now, request, issuer, count, tag),
        }
    }

    fn try_supplied(&mut self, now: Instant, request: &KeyedRequest) {
        let id = request.key.claim_id(&request.customer);
        let until = request.deadline.min(now + CLAIM_TIMEOUT);
        let claim = match self.claims.remove(&id) {
            Some(claim) if claim.digest() != request.digest => {
                self.claims.insert(claim);
                return self.reject(request.id, Code::KeyReused, Ran::No);
            }
            Some(AnyClaim::Abandoned(claim)) if !self.frozen => claim.retry(request, until),
            Some(AnyClaim::Released(claim)) if !self.frozen => {
                claim.claim_anew(request, self.next_sequence(), until)
            }
            None if !self.frozen => Claim::new(id, request, self.next_sequence(), until),
            Some(claim @ (AnyClaim::Abandoned(_) | AnyClaim::Released(_))) => {
                self.claims.insert(claim);
                return self.reject_retryable(now, request.id, Code::Draining);
            }
            None => return self.reject_retryable(now, request.id, Code::Draining),
            Some(claim) => {
                let reply = claim.reply();
                self.claims.insert(claim);
                return self.respond(request.id, reply);
            }
        };
        self.queue_claim(now, claim);
    }

    fn queue_claim(&mut self, now: Instant, claim: Claim<Claiming>) {
        self.batch.push(now, claim.id.clone());
        self.claims.insert(AnyClaim::Claiming(claim));
    }

    fn caller_left(&mut self, now: Instant, request: RequestId) {
        let waits = |claim: &&AnyClaim| match claim {
            AnyClaim::Claiming(c) => c.request == request,
            AnyClaim::Asking(c) => c.request == request,
            _ => false,
        };
        let claim = self.claims.iter().find(waits).cloned();
        match claim {
            Some(AnyClaim::Claiming(claim)) => {
                let claim = claim.abandon(now + MEMORY_TTL);
                self.claims.insert(AnyClaim::Abandoned(claim));
            }
            Some(AnyClaim::Asking(claim)) => {
                self.claims.remove(&claim.id);
            }
            _ => {}
        }
    }

    fn record_result(&mut self, now: Instant, permit: &Permit, result: RunResult) {
        let until = now + MEMORY_TTL;
        if let Some(Key::Issued { issuer, .. }) = Key::parse(permit.id()) {
            let space = self.spaces.iter_mut().find(|s| s.issuer() == issuer);
            if let Some(space) = space {
                space.record_result(permit, result, until);
            }
            return;
        }
        match self.claims.remove(permit.id()) {
            Some(AnyClaim::Running(claim)) if claim.sequence == permit.sequence() => {
                self.batch.push_result(now, claim.id.clone());
                self.claims.insert(claim.finish(result, until));
            }
            Some(other) => {
                self.claims.insert(other);
            }
            None => {}
        }
    }

    /// Tells a caller what became of the key's first request.
    fn respond(&mut self, request: RequestId, reply: Reply) {
        match reply {
            Reply::Answered(answer) => {
                self.commands.push(Command::Answer { request, answer });
            }
            Reply::Running(running) => {
                self.commands.push(Command::Reject(Rejection {
                    request,
                    code: Code::KeyRunning,
                    ran: Ran::Unknown,
                    retry_at: None,
                    running: Some(running),
                }));
            }
            Reply::Released | Reply::Unknown => {
                self.reject(request, Code::KeyUnknown, Ran::Unknown);
            }
        }
    }

    fn reject(&mut self, request: RequestId, code: Code, ran: Ran) {
        self.commands.push(Command::Reject(Rejection {
            request,
            code,
            ran,
            retry_at: None,
            running: None,
        }));
    }

    /// Refuses a request that was not run and may come again.
    fn reject_retryable(&mut self, now: Instant, request: RequestId, code: Code) {
        let spread = RETRY_AFTER_S.0 + (RETRY_AFTER_S.1 - RETRY_AFTER_S.0) * self.rng.f64();
        self.commands.push(Command::Reject(Rejection {
            request,
            code,
            ran: Ran::No,
            retry_at: Some(now + Duration::from_secs_f64(spread)),
            running: None,
        }));
    }

    fn expire(&mut self, now: Instant) {
        if let Some(number) = self.batch.timed_out(now) {
            self.handle_write(now, number, Err(Failure::Unknown));
        }
        let over = |claim: &&AnyClaim| match claim {
            AnyClaim::Claiming(c) => c.state.deadline <= now,
            AnyClaim::Asking(c) => c.state.reply_by <= now,
            AnyClaim::Ended(c) => c.state.revision == 0 && c.state.forget_at <= now,
            AnyClaim::Abandoned(c) => c.state.forget_at <= now,
            AnyClaim::Released(c) => c.state.forget_at <= now,
            AnyClaim::Running(_) => false,
        };
        let over: Vec<_> = self.claims.iter().filter(over).cloned().collect();
        for claim in over {
            self.expire_claim(now, claim);
        }
    }

    fn expire_claim(&mut self, now: Instant, claim: AnyClaim) {
        match claim {
            AnyClaim::Claiming(claim) => {
                self.reject_retryable(now, claim.request, Code::NoClaim);
                let claim = claim.abandon(now + MEMORY_TTL);
                self.claims.insert(AnyClaim::Abandoned(claim));
            }
            AnyClaim::Asking(claim) => {
                self.claims.remove(&claim.id);
                self.reject(claim.request, Code::KeyUnknown, Ran::Unknown);
            }
            AnyClaim::Ended(Claim { id, .. })
            | AnyClaim::Abandoned(Claim { id, .. })
            | AnyClaim::Released(Claim { id, .. })
            | AnyClaim::Running(Claim { id, .. }) => {
                self.claims.remove(&id);
            }
        }
    }

    fn next_sequence(&mut self) -> Sequence {
        self.sequence += 1;
        self.sequence
    }
}
