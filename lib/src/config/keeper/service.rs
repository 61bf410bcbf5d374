//! Reads of the key-value service: by a starting daemon, by the zone's
//! watchers, and by daemons whose proof is stale.

use std::time::{Duration, Instant};

use super::{FLEET_READS_PER_S, HEAD_READ_INTERVAL, Keeper, PULL_TIMEOUT, RETRY_DELAY, STALE_AGE};
use crate::config::Command;
use crate::config::head::{Head, read_lists};
use crate::config::history::apply_delta;
use crate::config::start::{Next, Start};
use crate::store::{Failure, Snapshot, StoredValue};

impl Keeper {
    pub(super) fn handle_head(
        &mut self,
        now: Instant,
        sent: Instant,
        result: Result<Snapshot, Failure>,
    ) {
        self.head_call.running_until = None;
        let Ok(snapshot) = result else {
            return;
        };
        let head = Head::from_snapshot(&snapshot);
        if let Some(start) = &mut self.start {
            start.head = Some(head.revision);
            return;
        }
        if self.watching && head.revision > self.accepted.revision {
            // The watch should have delivered this revision: the service lost
            // it.
            self.commands.push(Command::Watch(head.revision + 1));
        }
        self.apply_head(now, &head);
        self.record_proof(head.revision, Some(sent));
    }

    pub(super) fn handle_watch(&mut self, now: Instant, stored: &StoredValue) {
        if self.start.is_none() {
            self.apply_head(now, &Head::from_value(stored));
        }
    }

    /// Adopts a new head: by its changes if they are based on the lists in
    /// force, else by a read of the lists.
    pub(super) fn apply_head(&mut self, now: Instant, head: &Head) {
        if head.revision <= self.accepted.revision {
            return;
        }
        let delta = head.delta();
        match delta.and_then(|delta| apply_delta(&self.accepted, &delta)) {
            Some(accepted) => self.adopt(accepted),
            None => self.lists_call.schedule(now),
        }
    }

    pub(super) fn handle_lists(
        &mut self,
        now: Instant,
        sent: Instant,
        result: &Result<Snapshot, Failure>,
    ) {
        self.lists_call.running_until = None;
        let read = result.as_ref().ok();
        let lists = read.map(|snapshot| read_lists(snapshot).unwrap_or_default());
        if let (Some(start), Some(lists)) = (&mut self.start, &lists) {
            start.offer(lists.clone());
            start.head = Some(lists.revision);
        } else if let Some(lists) = lists {
            let revision = lists.revision;
            self.adopt(lists);
            self.record_proof(revision, Some(sent));
        } else if self.start.is_some() {
            // The service named lists that can't be read now; query all again.
            self.start = Some(Start::restarted(now));
        }
        self.resume_edits(now, sent, result);
    }

    pub(super) fn watch_ended(&mut self, now: Instant) {
        if self.watching {
            self.watching = false;
            self.rewatch_at = Some(now + RETRY_DELAY + RETRY_DELAY.mul_f64(self.rng.f64()));
        }
    }

    pub(super) fn continue_start(&mut self, now: Instant) {
        let Some(start) = &self.start else {
            return;
        };
        match start.next(now) {
            Next::Wait => {}
            Next::Read if self.lists_call.running_until.is_some() => {}
            Next::Read => self.lists_call.schedule(now),
            Next::Query => self.query_all(now),
            Next::Finish => {
                let start = self.start.take();
                let start = start.unwrap_or_else(Start::new);
                self.adopt(start.best);
                if start
                    .head
                    .is_some_and(|head| head <= self.accepted.revision)
                {
                    self.verified_at = self.verified_at.max(Some(now));
                }
            }
        }
    }

    pub(super) fn query_all(&mut self, now: Instant) {
        let asked = self.query_peers(0);
        // The first queries are sent at once; retries keep to the rate of the
        // fleet.
        let is_retry = self.start.as_ref().is_some_and(|s| s.deadline.is_some());
        if !is_retry {
            self.head_call.schedule(now);
        } else if self.head_call.due.is_none() {
            let gap = self.shared_delay(RETRY_DELAY);
            self.head_call.schedule(now + gap);
        }
        if let Some(start) = &mut self.start {
            start.record_queries(now, asked);
        }
    }

    /// Watches the head if this daemon is one of the zone's watchers, and
    /// schedules reads of the head.
    pub(super) fn update_watch(&mut self, now: Instant) {
        if self.start.is_some() {
            return;
        }
        if !self.is_watcher {
            if self.watching {
                self.watching = false;
                self.commands.push(Command::Unwatch);
            }
            return;
        }
        if !self.watching && self.rewatch_at.is_none_or(|at| at <= now) {
            self.watching = true;
            let from = self.accepted.revision + 1;
            self.commands.push(Command::Watch(from));
        }
        if self.head_call.due.is_none() && self.head_call.running_until.is_none() {
            // Jitter: watchers that start together would otherwise keep reading
            // at the same time.
            let gap = HEAD_READ_INTERVAL.mul_f64(0.8 + 0.2 * self.rng.f64());
            self.head_call.schedule(now + gap);
        }
    }

    pub(super) fn query_when_stale(&mut self, now: Instant) {
        let stale = self
            .verified_at
            .is_none_or(|verified_at| now - verified_at > STALE_AGE);
        if self.start.is_some() || !stale {
            self.next_peer_query = None;
            self.next_store_query = None;
            return;
        }
        if self.next_peer_query.is_none_or(|at| at <= now) {
            self.query_peers(self.accepted.revision);
            self.next_peer_query = Some(now + STALE_AGE);
        }
        // After a long outage all daemons are stale at once; jitter keeps them
        // from querying the service at the same moment.
        let Some(at) = self.next_store_query else {
            let gap = self.shared_delay(PULL_TIMEOUT);
            self.next_store_query = Some(now + gap);
            return;
        };
        if at <= now {
            self.head_call.schedule(now);
            self.next_store_query = Some(now + self.shared_delay(STALE_AGE));
        }
    }

    pub(super) fn start_calls(&mut self, now: Instant) {
        if self.head_call.start(now) {
            self.commands.push(Command::ReadHead);
        }
        if self.lists_call.start(now) {
            self.commands.push(Command::ReadLists);
        }
    }

    /// Delay before a call that any daemon may make, long enough that all of
    /// them together stay near [`FLEET_READS_PER_S`].
    pub(super) fn shared_delay(&mut self, min: Duration) -> Duration {
        let shared = Duration::from_secs_f64((self.peers.len() + 1) as f64 / FLEET_READS_PER_S);
        let gap = shared.max(min);
        gap + gap.mul_f64(self.rng.f64())
    }
}
