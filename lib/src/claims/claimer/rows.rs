//! Rows of supplied keys: writing them, and handling rows that exist already.

use std::time::Instant;

use super::{Claimer, LEASE_RETRY_DELAY, LEASE_TIME, REPLY_TIMEOUT};
use crate::claims::batch::Item;
use crate::claims::claim::{AnyClaim, Asking, Claim, Claiming};
use crate::claims::row::{ClaimRow, Stage};
use crate::claims::{ClaimId, Command, MIN_RETENTION, Question, Reply, Sequence};
use crate::code::{Code, Ran};
use crate::ids::{Incarnation, Revision};
use crate::store::{Condition, Failure, Lease, Put, Snapshot, StoredValue, Write, Written};

impl Claimer {
    /// Handles the result of a write.
    pub(super) fn handle_write(
        &mut self,
        now: Instant,
        number: u64,
        result: Result<Written, Failure>,
    ) {
        let items = self.batch.complete(number);
        if items.is_empty() {
            return;
        }
        match result {
            Ok(Written::Done(revision)) => {
                for item in &items {
                    self.put_done(item, revision);
                }
            }
            Ok(Written::Conflict(found)) => {
                for item in &items {
                    self.put_conflicted(now, item, &found);
                }
            }
            // The write may or may not have taken effect. The same claims are written
            // again, and the sequence of an existing row shows whose row it is.
            Err(_) => {
                self.batch.back_off(now);
                for item in items {
                    self.batch.push(now, item.id);
                }
            }
        }
    }

    /// Removes the claim that was written from the table and returns it, unless another
    /// claim of the same key has replaced it.
    pub(super) fn take_claim(&mut self, item: &Item) -> Option<AnyClaim> {
        let claim = self.claims.get(&item.id)?;
        if claim.sequence() != item.sequence {
            return None;
        }
        self.claims.remove(&item.id)
    }

    /// The row of a claim was written.
    pub(super) fn put_done(&mut self, item: &Item, revision: Revision) {
        match self.take_claim(item) {
            Some(AnyClaim::Claiming(claim)) => self.dispatch(claim, revision),
            Some(AnyClaim::Ended(mut claim)) => {
                claim.state.revision = 0;
                self.claims.insert(AnyClaim::Ended(claim));
            }
            Some(other) => {
                self.claims.insert(other);
            }
            None => {}
        }
    }

    /// A write with a claim was not done, as a condition did not hold.
    pub(super) fn put_conflicted(&mut self, now: Instant, item: &Item, found: &Snapshot) {
        let stored = found.get(&item.id);
        match (self.take_claim(item), stored) {
            (Some(AnyClaim::Claiming(claim)), Some(stored)) => self.resolve(now, claim, stored),
            (Some(AnyClaim::Claiming(mut claim)), None) => {
                claim.state.replaces = None;
                self.queue_claim(now, claim);
            }
            (Some(AnyClaim::Ended(mut claim)), stored) => {
                // If the row is unchanged, the condition of another claim in the write
                // did not hold. Otherwise an earlier write whose response was lost has
                // updated the row already, or the row has expired.
                if stored.is_some_and(|stored| stored.changed == claim.state.revision) {
                    self.batch.push(now, claim.id.clone());
                } else {
                    claim.state.revision = 0;
                }
                self.claims.insert(AnyClaim::Ended(claim));
            }
            (Some(other), _) => {
                self.claims.insert(other);
            }
            (None, _) => {}
        }
    }

    /// Dispatches the request of a claim whose row is written.
    pub(super) fn dispatch(&mut self, claim: Claim<Claiming>, revision: Revision) {
        let (claim, permit) = claim.into_running(revision);
        self.claims.insert(AnyClaim::Running(claim));
        self.commands.push(Command::Dispatch(permit));
    }

    /// Continues a claim whose key already has a row.
    pub(super) fn resolve(
        &mut self,
        now: Instant,
        mut claim: Claim<Claiming>,
        stored: &StoredValue,
    ) {
        let row = ClaimRow::decode(stored);
        let runs = row.stage == Stage::Running;
        if runs && claim.is_own_row(self.me, &row) {
            return self.dispatch(claim, stored.changed);
        }
        if claim.state.replaces == Some(stored.changed) {
            // The condition of another claim in the same write did not hold.
            return self.queue_claim(now, claim);
        }
        if runs && claim.is_released_row(self.me, &row) {
            // The request of that row never ran. If the daemon that asked for the release
            // is still alive, only one of the two writes at this revision succeeds.
            claim.state.replaces = Some(stored.changed);
            return self.queue_claim(now, claim);
        }
        let request = claim.request;
        if row.digest != claim.digest {
            return self.reject(request, Code::KeyReused, Ran::No);
        }
        match row.stage {
            Stage::Answered(answer) => {
                self.commands.push(Command::Answer { request, answer });
            }
            Stage::Running if self.is_live(row.holder) => {
                let claim = claim.ask_holder(now + REPLY_TIMEOUT, stored.changed, row.sequence);
                self.send_question(row.holder, &claim);
                self.claims.insert(AnyClaim::Asking(claim));
            }
            Stage::Running | Stage::Unknown => {
                self.reject(request, Code::KeyUnknown, Ran::Unknown);
            }
        }
    }

    /// Asks the holder of a row what became of its claim.
    pub(super) fn send_question(&mut self, to: Incarnation, claim: &Claim<Asking>) {
        let question = Question {
            id: claim.id.clone(),
            sequence: claim.state.holder_sequence,
        };
        self.commands.push(Command::Question { to, question });
    }

    pub(super) fn is_live(&self, holder: Incarnation) -> bool {
        self.peers.iter().any(|p| p.incarnation == holder)
    }

    /// Handles the reply of a holder; none if the question failed.
    pub(super) fn handle_reply(&mut self, now: Instant, question: &Question, reply: Option<Reply>) {
        let claim = match self.claims.remove(&question.id) {
            Some(AnyClaim::Asking(claim)) if claim.state.holder_sequence == question.sequence => {
                claim
            }
            Some(other) => {
                self.claims.insert(other);
                return;
            }
            None => return,
        };
        match reply {
            Some(Reply::Released) => self.queue_claim(now, claim.replace_row()),
            reply => self.respond(claim.request, reply.unwrap_or(Reply::Unknown)),
        }
    }

    pub(super) fn handle_lease(&mut self, now: Instant, result: Result<Lease, Failure>) {
        match result {
            Ok(lease) => {
                self.lease = Some(lease);
                self.lease_retry = None;
            }
            Err(_) => self.lease_retry = Some(now + LEASE_RETRY_DELAY),
        }
    }

    /// Sends a write of the queued claims if one is due and allowed.
    pub(super) fn send_write(&mut self, now: Instant) {
        if !self.batch.is_due(now) || !self.ensure_lease(now) {
            return;
        }
        let ids = self.batch.take(now, self.peers.len() + 1);
        let mut write = Write::default();
        let mut items = Vec::new();
        for id in ids {
            if let Some((condition, put, sequence)) = self.row_put(&id) {
                write.conditions.push(condition);
                write.puts.push(put);
                items.push(Item { id, sequence });
            }
        }
        if !items.is_empty() {
            let number = self.batch.record_sent(now, items);
            self.commands.push(Command::Write { number, write });
        }
    }

    /// Condition, put and sequence for the row of a claim, if it has to be written.
    pub(super) fn row_put(&self, id: &ClaimId) -> Option<(Condition, Put, Sequence)> {
        let (condition, row) = match self.claims.get(id)? {
            AnyClaim::Claiming(claim) => {
                let condition = match claim.state.replaces {
                    None => Condition::Absent(id.clone()),
                    Some(revision) => Condition::Unchanged(id.clone(), revision),
                };
                (condition, claim.row(self.me, Stage::Running))
            }
            AnyClaim::Ended(claim) if claim.state.revision > 0 => {
                let condition = Condition::Unchanged(id.clone(), claim.state.revision);
                (condition, claim.row(self.me, claim.stage()))
            }
            _ => return None,
        };
        let put = Put {
            key: id.clone(),
            value: row.encode(),
            lease: self.lease.as_ref().map_or(0, |lease| lease.id),
        };
        Some((condition, put, row.sequence))
    }

    /// Whether there is a lease that keeps new rows for [`MIN_RETENTION`]; requests one
    /// otherwise.
    pub(super) fn ensure_lease(&mut self, now: Instant) -> bool {
        let has = self
            .lease
            .as_ref()
            .is_some_and(|l| l.until >= now + MIN_RETENTION);
        let requested = self.lease_retry.is_some_and(|until| now < until);
        if !has && !requested {
            self.lease_retry = Some(now + LEASE_RETRY_DELAY);
            self.commands.push(Command::Lease(LEASE_TIME));
        }
        has
    }
}
