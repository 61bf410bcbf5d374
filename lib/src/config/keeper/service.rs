//! What is read from the key-value service: by the start, by the zone's
//! watchers, and by whoever is stale.

use std::time::{Duration, Instant};

use super::{ASK_RATE, GLANCE_GAP, Keeper, PAUSE, PULL_TIME, STALE};
use crate::config::Command;
use crate::config::head::{Head, read_lists};
use crate::config::history::passed;
use crate::config::start::{Next, Start};
use crate::store::{Failure, Snapshot, StoredValue};

impl Keeper {
    pub(super) fn glanced(
        &mut self,
        now: Instant,
        sent: Instant,
        result: Result<Snapshot, Failure>,
    ) {
        self.glance.running = None;
        let Ok(snapshot) = result else {
            return;
        };
        let head = Head::find(&snapshot);
        if let Some(start) = &mut self.start {
            start.head = Some(head.revision);
            return;
        }
        if self.watches && head.revision > self.accepted.revision {
            // The watch should have told of it: the service has forgotten it.
            self.commands.push(Command::Watch(head.revision + 1));
        }
        self.learn(now, &head);
        self.prove(head.revision, Some(sent));
    }

    pub(super) fn watched(&mut self, now: Instant, held: &StoredValue) {
        if self.start.is_none() {
            self.learn(now, &Head::read(held));
        }
    }

    /// Follows the head, by its changes where they join on.
    pub(super) fn learn(&mut self, now: Instant, head: &Head) {
        if head.revision <= self.accepted.revision {
            return;
        }
        let passage = head.passage();
        match passage.and_then(|passage| passed(&self.accepted, &passage)) {
            Some(accepted) => self.adopt(accepted),
            None => self.read.want(now),
        }
    }

    pub(super) fn read(&mut self, now: Instant, sent: Instant, result: &Result<Snapshot, Failure>) {
        self.read.running = None;
        let read = result.as_ref().ok();
        let lists = read.map(|snapshot| read_lists(snapshot).unwrap_or_default());
        if let (Some(start), Some(lists)) = (&mut self.start, &lists) {
            start.offer(lists.clone());
            start.head = Some(lists.revision);
        } else if let Some(lists) = lists {
            let revision = lists.revision;
            self.adopt(lists);
            self.prove(revision, Some(sent));
        } else if self.start.is_some() {
            // The service told of lists that can't be read now; ask all again.
            self.start = Some(Start::again(now));
        }
        self.tell_edits(now, sent, result);
    }

    pub(super) fn watch_ended(&mut self, now: Instant) {
        if self.watches {
            self.watches = false;
            self.rewatch = Some(now + PAUSE + PAUSE.mul_f64(self.rng.f64()));
        }
    }

    pub(super) fn go_on_starting(&mut self, now: Instant) {
        let Some(start) = &self.start else {
            return;
        };
        match start.next(now) {
            Next::Wait => {}
            Next::Read if self.read.running.is_some() => {}
            Next::Read => self.read.want(now),
            Next::Ask => self.ask_all(now),
            Next::Begin => {
                let start = self.start.take();
                let start = start.unwrap_or_else(Start::new);
                self.adopt(start.best);
                if start
                    .head
                    .is_some_and(|head| head <= self.accepted.revision)
                {
                    self.fresh = self.fresh.max(Some(now));
                }
            }
        }
    }

    pub(super) fn ask_all(&mut self, now: Instant) {
        let asked = self.ask_peers(0);
        // The first asking is at once; repeats keep to the pace of the fleet.
        let again = self.start.as_ref().is_some_and(|s| s.until.is_some());
        if !again {
            self.glance.want(now);
        } else if self.glance.due.is_none() {
            let gap = self.ask_gap(PAUSE);
            self.glance.want(now + gap);
        }
        if let Some(start) = &mut self.start {
            start.asked(now, asked);
        }
    }

    /// Watches if this daemon is one of the zone's watchers, and reads the head.
    pub(super) fn choose_watch(&mut self, now: Instant) {
        if self.start.is_some() {
            return;
        }
        if !self.chosen {
            if self.watches {
                self.watches = false;
                self.commands.push(Command::Unwatch);
            }
            return;
        }
        if !self.watches && self.rewatch.is_none_or(|at| at <= now) {
            self.watches = true;
            let from = self.accepted.revision + 1;
            self.commands.push(Command::Watch(from));
        }
        if self.glance.due.is_none() && self.glance.running.is_none() {
            // Watchers that start together would read together for ever.
            let gap = GLANCE_GAP.mul_f64(0.8 + 0.2 * self.rng.f64());
            self.glance.want(now + gap);
        }
    }

    pub(super) fn ask_when_stale(&mut self, now: Instant) {
        let stale = self.fresh.is_none_or(|fresh| now - fresh > STALE);
        if self.start.is_some() || !stale {
            self.ask_peers = None;
            self.ask_store = None;
            return;
        }
        if self.ask_peers.is_none_or(|at| at <= now) {
            self.ask_peers(self.accepted.revision);
            self.ask_peers = Some(now + STALE);
        }
        // After a long outage all are stale at once; the jitter keeps them from
        // asking the service at one moment.
        let Some(at) = self.ask_store else {
            let gap = self.ask_gap(PULL_TIME);
            self.ask_store = Some(now + gap);
            return;
        };
        if at <= now {
            self.glance.want(now);
            self.ask_store = Some(now + self.ask_gap(STALE));
        }
    }

    pub(super) fn call(&mut self, now: Instant) {
        if self.glance.send(now) {
            self.commands.push(Command::Glance);
        }
        if self.read.send(now) {
            self.commands.push(Command::Read);
        }
    }

    /// Time until a call that any daemon may make, so long that all of them
    /// together keep to [`ASK_RATE`].
    pub(super) fn ask_gap(&mut self, least: Duration) -> Duration {
        let shared = Duration::from_secs_f64((self.peers.len() + 1) as f64 / ASK_RATE);
        let gap = shared.max(least);
        gap + gap.mul_f64(self.rng.f64())
    }
}
