//! Keeps a daemon's lists at the highest revision that exists.
//!
//! It handles ten thousand edits a day, and the partitions and outages in
//! between. Without it, a daemon that missed a change would keep using old
//! plans unnoticed. It tracks two things: the revision it has, and when there
//! was last proof that none is higher. Watchers of a zone get the proof from
//! the service, and gossip distributes it with its age. A daemon whose proof is
//! older than [`STALE_AGE`] asks two peers and then the service.
//!
//! Thresholds: the service can lose a watch without breaking it, so watchers
//! also read the small head every [`HEAD_READ_INTERVAL`], which leaves gossip
//! most of the 17 s in which a change has to be in force. [`STALE_AGE`] is
//! above the age that proof reaches through gossip in a healthy fleet of 400
//! daemons, so that a healthy fleet sends no extra requests. Daemons that are
//! not watchers space their reads of the service by the number of peers, so
//! that all of them together stay near [`FLEET_READS_PER_S`].

mod edits;
mod peers;
mod service;

use std::time::{Duration, Instant};

use super::edit::AnyEdit;
use super::history::History;
use super::start::Start;
use super::{Command, Input, Peer, Pull, Pulled, watchers};
use crate::ids::{Incarnation, Revision};
use crate::lists::Accepted;
use crate::store::Failure;

/// Time between a watcher's reads of the head.
pub const HEAD_READ_INTERVAL: Duration = Duration::from_secs(4);
/// Age of the proof above which a daemon sends requests of its own.
pub const STALE_AGE: Duration = Duration::from_secs(12);
/// Reads per second of all daemons that are stale or starting, together; a
/// hundredth of the rate that the service is stated to sustain.
pub const FLEET_READS_PER_S: f64 = 20.0;

/// Timeout of a pull from a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a call to the service counts as failed; the client of the
/// service times out earlier.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Peers that are notified at once of a new revision: with three each, some 6
/// in 100 daemons of a large zone are missed, and learn of it in the next
/// rounds of gossip.
const ANNOUNCE_FANOUT: usize = 3;
/// Delay before a broken watch is opened again or a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Peers that are asked at the start and when stale: one of them may be
/// partitioned as well.
const PULL_FANOUT: usize = 2;

/// A call to the service; only one runs at a time.
#[derive(Debug, Default)]
struct Call {
    /// When the next call is due.
    due: Option<Instant>,
    /// Timeout of the running call.
    running_until: Option<Instant>,
}

impl Call {
    /// Schedules a call, or moves a scheduled one to an earlier time.
    fn schedule(&mut self, at: Instant) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// Whether the call is to be sent now; if so, records it as running.
    fn start(&mut self, now: Instant) -> bool {
        if self.running_until.is_some() || self.due.is_none_or(|due| due > now) {
            return false;
        }
        self.due = None;
        self.running_until = Some(now + CALL_TIMEOUT);
        true
    }

    fn has_timed_out(&self, now: Instant) -> bool {
        self.running_until.is_some_and(|until| until <= now)
    }
}

/// Keeps a daemon's lists up to date.
#[derive(Debug)]
pub struct Keeper {
    me: Peer,
    accepted: Accepted,
    history: History,
    start: Option<Start>,
    peers: Vec<Peer>,
    /// Latest time at which no higher revision existed.
    verified_at: Option<Instant>,
    /// Whether this daemon is one of the zone's watchers.
    is_watcher: bool,
    /// Whether a watch is open.
    watching: bool,
    /// When a broken watch may be opened again.
    rewatch_at: Option<Instant>,
    head_call: Call,
    lists_call: Call,
    /// Highest revision that a peer reported, and that peer.
    newest_seen: (Revision, Incarnation),
    /// Timeout of the running pull.
    pull_deadline: Option<Instant>,
    /// When a stale daemon next asks its peers.
    next_peer_query: Option<Instant>,
    /// When a stale daemon next asks the service.
    next_store_query: Option<Instant>,
    edits: Vec<AnyEdit>,
    rng: fastrand::Rng,
    commands: Vec<Command>,
}

impl Keeper {
    /// Keeper of a daemon that has no lists yet.
    pub fn new(me: Peer, seed: u64) -> Self {
        Self {
            me,
            accepted: Accepted::default(),
            history: History::default(),
            start: Some(Start::new()),
            peers: Vec::new(),
            verified_at: None,
            is_watcher: true,
            watching: false,
            rewatch_at: None,
            head_call: Call::default(),
            lists_call: Call::default(),
            newest_seen: (0, 0),
            pull_deadline: None,
            next_peer_query: None,
            next_store_query: None,
            edits: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            commands: Vec::new(),
        }
    }

    /// The daemon whose lists it keeps.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Lists in force; revision 0 before the first lists, when no request may
    /// be served.
    pub fn accepted(&self) -> &Accepted {
        &self.accepted
    }

    /// Whether the daemon is still waiting for its first lists.
    pub fn is_starting(&self) -> bool {
        self.start.is_some()
    }

    /// Age of the proof that no higher revision exists, as it is sent through
    /// gossip.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.verified_at
            .map(|verified_at| now.duration_since(verified_at))
    }

    /// Answers a pull of a peer.
    pub fn answer(&self, now: Instant, pull: &Pull) -> Pulled {
        Pulled {
            revision: self.accepted.revision,
            age: self.age(now),
            update: self.history.update(pull.have, &self.accepted),
        }
    }

    /// Handles inputs and returns the commands to carry out.
    pub fn tick(&mut self, now: Instant, inputs: Vec<Input>) -> Vec<Command> {
        for input in inputs {
            self.handle(now, input);
        }
        self.expire(now);
        self.continue_start(now);
        self.retry_edits(now);
        self.update_watch(now);
        self.query_when_stale(now);
        self.catch_up(now);
        self.start_calls(now);
        std::mem::take(&mut self.commands)
    }

    fn handle(&mut self, now: Instant, input: Input) {
        match input {
            Input::Peers(peers) => self.set_peers(peers),
            Input::PeerRevision {
                peer,
                revision,
                age,
            } => self.record_revision(now, peer, revision, age),
            Input::Pulled { peer, answer } => self.handle_pulled(now, peer, answer),
            Input::HeadRead { sent, result } => self.handle_head(now, sent, result),
            Input::ListsRead { sent, result } => self.handle_lists(now, sent, &result),
            Input::HeadChanged(stored) => self.handle_watch(now, &stored),
            Input::WatchEnded => self.watch_ended(now),
            Input::Edit(proposal) => self.start_edit(now, proposal),
            Input::Written { edit, result } => self.handle_written(now, &edit, &result),
        }
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        let mut live = peers.clone();
        live.push(self.me.clone());
        self.is_watcher = watchers(&self.me.zone, &live).contains(&self.me.incarnation);
        self.peers = peers;
    }

    /// Brings lists into force; the only place where the revision changes.
    fn adopt(&mut self, accepted: Accepted) {
        if accepted.revision <= self.accepted.revision {
            return;
        }
        self.history.push(&self.accepted, &accepted);
        self.accepted = accepted;
        let adopted = Command::Adopt(self.accepted.clone());
        self.commands.push(adopted);
        self.announce();
    }

    /// Records that no revision above this one existed at a time.
    fn record_proof(&mut self, revision: Revision, at: Option<Instant>) {
        if revision <= self.accepted.revision {
            self.verified_at = self.verified_at.max(at);
        }
    }

    /// Treats calls that timed out as failed.
    fn expire(&mut self, now: Instant) {
        let result = Err(Failure::Unknown);
        if self.head_call.has_timed_out(now) {
            self.handle_head(now, now, result.clone());
        }
        if self.lists_call.has_timed_out(now) {
            self.handle_lists(now, now, &result);
        }
        self.pull_deadline = self.pull_deadline.filter(|until| now < *until);
    }
}
