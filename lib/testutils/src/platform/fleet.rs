//! Simulates the configuration keepers of up to hundreds of daemons around one key-value
//! service on virtual time, for the tests and benchmarks of `config`.
//!
//! Gossip is reduced to what the keepers need: once a second each daemon sends its
//! revision to one peer of its zone; on average two daemons of each zone also send
//! theirs to a peer of another zone.

use std::time::{Duration, Instant};

use poplarvale_lib::config::{
    Command, HEAD_KEY, Input, KEY_PREFIX, Keeper, Peer, Proposal, Pull, Verdict,
};
use poplarvale_lib::store::{Failure, Write};
use poplarvale_lib::{Incarnation, Revision};

use super::data::Fake;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(50);
/// Time between two gossip rounds of a daemon.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// A daemon, reduced to its configuration keeper.
#[derive(Debug)]
pub struct Daemon {
    /// Its incarnation and zone.
    pub peer: Peer,
    /// Its configuration keeper.
    pub keeper: Keeper,
    zone: usize,
    watches: bool,
    round: Instant,
    inputs: Vec<Input>,
    adopted: Revision,
}

/// Network partition of a zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cut {
    /// No connection to the other zones.
    pub peers: bool,
    /// No connection to the key-value service.
    pub store: bool,
}

/// A message or call that is under way.
#[derive(Debug)]
enum Message {
    Input(Incarnation, Input),
    Pull(Incarnation, Incarnation, Pull),
    Call(Incarnation, Instant, Command),
    /// A write that takes effect after its caller got no answer.
    Late(Write),
}

/// The daemons, the key-value service and the messages under way between them.
#[derive(Debug)]
pub struct Fleet {
    /// Virtual time.
    pub now: Instant,
    /// The key-value service.
    pub store: Fake,
    /// Partition of each zone.
    pub cuts: Vec<Cut>,
    /// Whether messages are reordered, watches repeat events, and half of the writes of a
    /// zone without connection to the service take effect up to five seconds late.
    pub unreliable: bool,
    /// Live daemons.
    pub daemons: Vec<Daemon>,
    /// Edits and the verdicts that operators got for them.
    pub verdicts: Vec<(String, Verdict)>,
    in_flight: Vec<(Instant, Message)>,
    rng: fastrand::Rng,
    last_id: u64,
}

impl Fleet {
    /// Starts daemons, spread evenly over the zones.
    pub fn new(daemons: usize, zones: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            store: Fake::default(),
            cuts: vec![Cut::default(); zones],
            unreliable: false,
            daemons: Vec::new(),
            verdicts: Vec::new(),
            in_flight: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            last_id: 0,
        };
        for at in 0..daemons {
            let daemon = fleet.start(at % zones);
            fleet.daemons.push(daemon);
        }
        fleet
    }

    /// Replaces a daemon by a new one in the same zone.
    pub fn restart(&mut self, at: usize) {
        let zone = self.daemons[at].zone;
        self.daemons[at] = self.start(zone);
    }

    /// Sends an operator's edit to a daemon.
    pub fn edit(&mut self, at: usize, proposal: Proposal) {
        self.daemons[at].inputs.push(Input::Edit(proposal));
    }

    /// Stops sending events to all watches without closing them.
    pub fn forget_watches(&mut self) {
        for daemon in &mut self.daemons {
            daemon.watches = false;
        }
    }

    /// Ends all partitions and faults.
    pub fn heal(&mut self) {
        self.unreliable = false;
        self.cuts.fill(Cut::default());
        self.store.faults = super::data::Faults::default();
    }

    /// Revision of the lists in the key-value service.
    pub fn head(&self) -> Revision {
        self.store
            .data
            .get(HEAD_KEY)
            .map_or(0, |stored| stored.changed)
    }

    /// Whether every daemon has applied the lists in the key-value service.
    pub fn is_settled(&self) -> bool {
        let head = self.head();
        let mut daemons = self.daemons.iter();
        daemons.all(|d| d.keeper.accepted().revision == head && !d.keeper.is_starting())
    }

    /// Advances the virtual time; panics if a daemon returns to an older revision.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Advances the virtual time until [`Self::is_settled`], and returns how long that took;
    /// `None` if it takes `limit` or longer.
    pub fn settle(&mut self, limit: Duration) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if self.is_settled() {
                return Some(self.now - start);
            }
            self.step();
        }
        None
    }

    fn start(&mut self, zone: usize) -> Daemon {
        self.last_id += 1;
        let incarnation = self.rng.u64(..) | self.last_id;
        let peer = Peer {
            incarnation,
            zone: format!("z{zone}").into(),
        };
        Daemon {
            keeper: Keeper::new(peer.clone(), incarnation),
            peer,
            zone,
            watches: false,
            round: self.now + GOSSIP_INTERVAL.mul_f64(self.rng.f64()),
            inputs: Vec::new(),
            adopted: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for at in 0..self.daemons.len() {
            if self.daemons[at].round <= self.now {
                self.gossip(at);
            }
            let daemon = &mut self.daemons[at];
            let inputs = std::mem::take(&mut daemon.inputs);
            let commands = daemon.keeper.tick(self.now, inputs);
            let revision = daemon.keeper.accepted().revision;
            assert!(
                revision >= daemon.adopted,
                "a daemon returned to an older revision"
            );
            daemon.adopted = revision;
            for command in commands {
                self.command(at, command);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_flight = later;
        let due: Vec<(Instant, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Input(to, input) => {
                    if let Some(at) = self.find(to) {
                        self.daemons[at].inputs.push(input);
                    }
                }
                Message::Pull(from, to, pull) => self.pull(from, to, &pull),
                Message::Call(from, sent, command) => self.call(from, sent, command),
                Message::Late(write) => {
                    self.store.write(write).ok();
                    self.notify_watches();
                }
            }
        }
    }

    fn gossip(&mut self, at: usize) {
        self.daemons[at].round += GOSSIP_INTERVAL;
        let me = &self.daemons[at];
        let others = self.daemons.iter().filter(|d| d.peer != me.peer);
        let reached = others.filter(|d| self.connected(me.zone, d.zone));
        let (local, remote): (Vec<_>, Vec<_>) = reached.partition(|d| d.zone == me.zone);
        let bridge = 2.0 / (local.len() + 1) as f64;
        let mut targets = Vec::new();
        targets.extend(self.rng.choice(&local).map(|d| d.peer.incarnation));
        if self.rng.f64() < bridge {
            targets.extend(self.rng.choice(&remote).map(|d| d.peer.incarnation));
        }
        let peers = local
            .iter()
            .chain(&remote)
            .map(|d| d.peer.clone())
            .collect();
        let report = Input::PeerRevision {
            peer: me.peer.incarnation,
            revision: me.keeper.accepted().revision,
            age: me.keeper.age(self.now),
        };
        for to in targets {
            self.send(Message::Input(to, report.clone()));
        }
        self.daemons[at].inputs.push(Input::Peers(peers));
    }

    fn command(&mut self, at: usize, command: Command) {
        let me = self.daemons[at].peer.incarnation;
        match command {
            Command::Unwatch => self.daemons[at].watches = false,
            Command::Pull { peer, pull } => self.send(Message::Pull(me, peer, pull)),
            Command::Adopt(_) => {}
            Command::Announce { peer, revision } => self.announce(at, peer, revision),
            Command::Reply { edit, verdict } => self.verdicts.push((edit.to_string(), verdict)),
            call => self.send(Message::Call(me, self.now, call)),
        }
    }

    fn announce(&mut self, at: usize, to: Incarnation, revision: Revision) {
        let from = &self.daemons[at];
        let reached = self.find(to).map(|to| self.daemons[to].zone);
        if reached.is_some_and(|zone| self.connected(from.zone, zone)) {
            let peer = from.peer.incarnation;
            let age = None;
            let report = Input::PeerRevision {
                peer,
                revision,
                age,
            };
            self.send(Message::Input(to, report));
        }
    }

    fn pull(&mut self, from: Incarnation, to: Incarnation, pull: &Pull) {
        let asked = self.find(from).zip(self.find(to));
        let reached = asked.filter(|(a, b)| {
            let (a, b) = (&self.daemons[*a], &self.daemons[*b]);
            self.connected(a.zone, b.zone)
        });
        let answer = reached.map(|(_, at)| self.daemons[at].keeper.answer(self.now, pull));
        self.send(Message::Input(from, Input::Pulled { peer: to, answer }));
    }

    fn call(&mut self, from: Incarnation, sent: Instant, command: Command) {
        let Some(at) = self.find(from) else {
            return;
        };
        let cut = self.cuts[self.daemons[at].zone].store;
        let lost = Err(Failure::Unknown);
        let input = match command {
            Command::ReadHead if cut => Input::HeadRead { sent, result: lost },
            Command::ReadHead => {
                let result = self.store.get(HEAD_KEY);
                Input::HeadRead { sent, result }
            }
            Command::ReadLists if cut => Input::ListsRead { sent, result: lost },
            Command::ReadLists => {
                let result = self.store.range(KEY_PREFIX);
                Input::ListsRead { sent, result }
            }
            Command::Write { edit, write } => {
                let result = if cut {
                    self.delay(write);
                    Err(Failure::Unknown)
                } else {
                    self.store.write(write)
                };
                self.notify_watches();
                Input::Written { edit, result }
            }
            Command::Watch(revision) => {
                self.store.counts.watches += 1;
                if !cut && !self.store.faults.down {
                    self.watch(at, revision);
                    return;
                }
                Input::WatchEnded
            }
            _ => return,
        };
        let slow = Duration::from_millis(self.store.faults.slow_ms);
        self.in_flight
            .push((self.now + slow, Message::Input(from, input)));
    }

    fn delay(&mut self, write: Write) {
        if self.unreliable && self.rng.bool() {
            let delay = Duration::from_millis(self.rng.u64(1..5_000));
            self.in_flight
                .push((self.now + delay, Message::Late(write)));
        }
    }

    fn watch(&mut self, at: usize, from: Revision) {
        self.daemons[at].watches = true;
        let stored = self.store.data.get(HEAD_KEY).cloned();
        if let Some(stored) = stored.filter(|stored| stored.changed >= from) {
            let to = self.daemons[at].peer.incarnation;
            self.send(Message::Input(to, Input::HeadChanged(stored)));
        }
    }

    fn notify_watches(&mut self) {
        let Some(stored) = self.store.data.get(HEAD_KEY).cloned() else {
            return;
        };
        if self.store.faults.down {
            return;
        }
        for at in 0..self.daemons.len() {
            let daemon = &self.daemons[at];
            if !daemon.watches || self.cuts[daemon.zone].store {
                continue;
            }
            let to = daemon.peer.incarnation;
            let times = if self.unreliable {
                self.rng.u32(1..3)
            } else {
                1
            };
            for _ in 0..times {
                let max_ms = if self.unreliable { 2_000 } else { 10 };
                let delay = Duration::from_millis(self.rng.u64(1..max_ms));
                let message = Message::Input(to, Input::HeadChanged(stored.clone()));
                self.in_flight.push((self.now + delay, message));
            }
        }
    }

    fn send(&mut self, message: Message) {
        let max_ms = if self.unreliable { 1_500 } else { 5 };
        let delay = Duration::from_millis(self.rng.u64(1..max_ms));
        self.in_flight.push((self.now + delay, message));
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        a == b || !(self.cuts[a].peers || self.cuts[b].peers)
    }

    fn find(&self, id: Incarnation) -> Option<usize> {
        self.daemons.iter().position(|d| d.peer.incarnation == id)
    }
}
