//! Decides which requests with an idempotency key may be dispatched.
//!
//! Its load is retries: impatient guests, and callers whose entry host was
//! reclaimed, send the same booking through several daemons within seconds, most of
//! all during an outage of the key-value service. A claim therefore waits for
//! [`CLAIM_TIMEOUT`] only; a guest who is answered "not run" and when to retry is
//! better off than one who waits for the outage to end.

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

/// Maximum time that a claim waits for the service. The service answers in
/// milliseconds; a guest gives up after a few seconds, and the answer to the guest
/// needs some of that time.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for the reply of a claim's holder.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which results and abandoned or released claims are remembered.
const MEMORY_TTL: Duration = Duration::from_mins(10);
/// Minimum and maximum delay in seconds after which a rejected caller should retry.
const RETRY_AFTER_S: (f64, f64) = (1.0, 4.0);
/// Duration of a lease on rows: their retention, and an hour in which the lease is
/// used for new rows.
const LEASE_TIME: Duration = MIN_RETENTION.saturating_add(Duration::from_hours(1));
/// Delay before a lease is requested again.
const LEASE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Claims and issued keys of one daemon.
#[derive(Debug)]
pub struct Claimer {
    me: Incarnation,
    claims: Table<AnyClaim>,
    /// Key spaces that this daemon holds: its own and those handed over to it.
    spaces: Vec<KeySpace>,
    /// Issuers of the key spaces that this daemon handed over, with the successor.
    handed_over: Vec<(Incarnation, Incarnation)>,
    batch: Batch,
    lease: Option<Lease>,
    /// When a lease may be requested again.
    lease_retry: Option<Instant>,
    peers: Vec<Peer>,
    /// Whether this daemon will be reclaimed and starts no further requests.
    frozen: bool,
    /// Sequence of the latest claim.
    sequence: Sequence,
    rng: fastrand::Rng,
    commands: Vec<Command>,
}

impl Claimer {
    /// Claimer of a new incarnation, which must never have been used before.
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

    /// Handles events and returns the actions to carry out.
    pub fn tick(&mut self, now: Instant, inputs: Vec<Input>) -> Vec<Command> {
        for input in inputs {
            self.handle(now, input);
        }
        self.expire(now);
        self.send_write(now);
        std::mem::take(&mut self.commands)
    }

    /// Replies to another daemon that found a row of this daemon.
    pub fn reply(&mut self, question: &Question) -> Reply {
        let claim = self.claims.get(&question.id);
        // A question about another claim of the same key must not release this claim.
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

    /// Dispatches a request with a supplied key once its row is written, or answers it
    /// from an existing claim.
    fn try_supplied(&mut self, now: Instant, request: &KeyedRequest) {
        let id = request.key.claim_id(&request.customer);
        let deadline = request.deadline.min(now + CLAIM_TIMEOUT);
        let claim = match self.claims.remove(&id) {
            Some(claim) if claim.digest() != request.digest => {
                self.claims.insert(claim);
                return self.reject(request.id, Code::KeyReused, Ran::No);
            }
            Some(AnyClaim::Abandoned(claim)) if !self.frozen => claim.retry(request, deadline),
            Some(AnyClaim::Released(claim)) if !self.frozen => {
                claim.claim_anew(request, self.next_sequence(), deadline)
            }
            None if !self.frozen => Claim::new(id, request, self.next_sequence(), deadline),
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
        let forget_at = now + MEMORY_TTL;
        if let Some(Key::Issued { issuer, .. }) = Key::parse(permit.id()) {
            let space = self.spaces.iter_mut().find(|s| s.issuer() == issuer);
            if let Some(space) = space {
                space.record_result(permit, result, forget_at);
            }
            return;
        }
        match self.claims.remove(permit.id()) {
            Some(AnyClaim::Running(claim)) if claim.sequence == permit.sequence() => {
                self.batch.push_result(now, claim.id.clone());
                self.claims.insert(claim.finish(result, forget_at));
            }
            Some(other) => {
                self.claims.insert(other);
            }
            None => {}
        }
    }

    /// Answers a caller with the state of the key's first request.
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

    /// Rejects a request without a time for a retry.
    fn reject(&mut self, request: RequestId, code: Code, ran: Ran) {
        self.commands.push(Command::Reject(Rejection {
            request,
            code,
            ran,
            retry_at: None,
            running: None,
        }));
    }

    /// Rejects a request that did not run and may be retried.
    fn reject_retryable(&mut self, now: Instant, request: RequestId, code: Code) {
        let delay_s = RETRY_AFTER_S.0 + (RETRY_AFTER_S.1 - RETRY_AFTER_S.0) * self.rng.f64();
        self.commands.push(Command::Reject(Rejection {
            request,
            code,
            ran: Ran::No,
            retry_at: Some(now + Duration::from_secs_f64(delay_s)),
            running: None,
        }));
    }

    /// Fails a write that timed out, and ends or removes the claims whose time is over.
    fn expire(&mut self, now: Instant) {
        if let Some(number) = self.batch.timed_out(now) {
            self.handle_write(now, number, Err(Failure::Unknown));
        }
        let expired = |claim: &&AnyClaim| match claim {
            AnyClaim::Claiming(c) => c.state.deadline <= now,
            AnyClaim::Asking(c) => c.state.reply_by <= now,
            AnyClaim::Ended(c) => c.state.revision == 0 && c.state.forget_at <= now,
            AnyClaim::Abandoned(c) => c.state.forget_at <= now,
            AnyClaim::Released(c) => c.state.forget_at <= now,
            AnyClaim::Running(_) => false,
        };
        let expired: Vec<_> = self.claims.iter().filter(expired).cloned().collect();
        for claim in expired {
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
