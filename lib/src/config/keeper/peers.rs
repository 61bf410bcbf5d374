//! Announcements to peers, and what peers report.

use std::time::{Duration, Instant};

use super::{ANNOUNCE_FANOUT, Keeper, PULL_FANOUT, PULL_TIMEOUT};
use crate::config::history::apply_update;
use crate::config::{Command, Pull, Pulled};
use crate::ids::{Incarnation, Revision};

impl Keeper {
    /// Notifies some peers of the zone at once. With gossip rounds alone, a
    /// change would need one round for each doubling of the daemons that know
    /// it.
    pub(super) fn announce(&mut self) {
        if self.start.is_some() {
            return;
        }
        let revision = self.accepted.revision;
        let near = self.peers.iter().filter(|p| p.zone == self.me.zone);
        let targets = self.rng.choose_multiple(near, ANNOUNCE_FANOUT);
        let targets = targets.into_iter().map(|peer| peer.incarnation);
        let announced = targets.map(|peer| Command::Announce { peer, revision });
        self.commands.extend(announced);
    }

    pub(super) fn record_revision(
        &mut self,
        now: Instant,
        peer: Incarnation,
        revision: Revision,
        age: Option<Duration>,
    ) {
        if revision > self.newest_seen.0.max(self.accepted.revision) {
            self.newest_seen = (revision, peer);
        }
        self.record_proof(revision, age.and_then(|age| now.checked_sub(age)));
    }

    pub(super) fn handle_pulled(
        &mut self,
        now: Instant,
        peer: Incarnation,
        answer: Option<Pulled>,
    ) {
        if self.newest_seen.1 == peer {
            self.pull_deadline = None;
        }
        let revision = answer.as_ref().map(|pulled| pulled.revision);
        let age = answer.as_ref().and_then(|pulled| pulled.age);
        let lists = answer.and_then(|pulled| apply_update(&self.accepted, pulled));
        if let Some(start) = &mut self.start {
            start.pending.retain(|pending| *pending != peer);
            start.offer(lists.unwrap_or_default());
            return;
        }
        self.adopt(lists.unwrap_or_default());
        match revision {
            Some(revision) => self.record_revision(now, peer, revision, age),
            // Another peer that has the revision will report it again.
            None if self.newest_seen.1 == peer => self.newest_seen.0 = 0,
            None => {}
        }
    }

    /// Asks some random peers for what they have above a revision.
    pub(super) fn query_peers(&mut self, have: Revision) -> Vec<Incarnation> {
        let asked = self.rng.choose_multiple(&self.peers, PULL_FANOUT);
        let asked: Vec<_> = asked.into_iter().map(|peer| peer.incarnation).collect();
        for peer in &asked {
            let (peer, pull) = (*peer, Pull { have });
            self.commands.push(Command::Pull { peer, pull });
        }
        asked
    }

    /// Pulls from the peer that has a higher revision.
    pub(super) fn catch_up(&mut self, now: Instant) {
        let (revision, peer) = self.newest_seen;
        let lacks = revision > self.accepted.revision;
        if self.start.is_none() && lacks && self.pull_deadline.is_none() {
            let have = self.accepted.revision;
            let pull = Pull { have };
            self.commands.push(Command::Pull { peer, pull });
            self.pull_deadline = Some(now + PULL_TIMEOUT);
        }
    }
}
