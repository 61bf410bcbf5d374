//! Keepers of a few or of hundreds of daemons around a key-value service, on
//! virtual time, for the tests and measurements of `config`.
//!
//! Gossip is reduced to what the keepers need of it: once a second each daemon
//! tells its revision to one peer of its zone and, two of a zone on average, to
//! one of another zone.

use std::time::{Duration, Instant};

use poplarvale_lib::config::{
    Command, HEAD_KEY, Input, KEY_PREFIX, Keeper, Peer, Proposal, Pull, Verdict,
};
use poplarvale_lib::store::{Failure, Write};
use poplarvale_lib::{Incarnation, Revision};

use super::data::Fake;

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(50);
/// Time between two rounds of gossip of a daemon.
const ROUND: Duration = Duration::from_secs(1);

/// A daemon as far as its lists go.
#[derive(Debug)]
pub struct Daemon {
    /// Who it is.
    pub peer: Peer,
    /// Its keeper.
    pub keeper: Keeper,
    zone: usize,
    watches: bool,
    round: Instant,
    inputs: Vec<Input>,
    adopted: Revision,
}

/// How a zone is cut off.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cut {
    /// From the other zones.
    pub peers: bool,
    /// From the key-value service.
    pub store: bool,
}

#[derive(Debug)]
enum Mail {
    Input(Incarnation, Input),
    Pull(Incarnation, Incarnation, Pull),
    Call(Incarnation, Instant, Command),
    Late(Write),
}

/// The daemons, the service and what is under way between them.
#[derive(Debug)]
pub struct Fleet {
    /// Time.
    pub now: Instant,
    /// The service.
    pub store: Fake,
    /// How each zone is cut off.
    pub cuts: Vec<Cut>,
    /// Whether messages overtake each other, watches repeat events, and writes of
    /// a zone that is cut off arrive seconds late.
    pub unruly: bool,
    /// Daemons that live.
    pub daemons: Vec<Daemon>,
    /// What operators were told.
    pub told: Vec<(String, Verdict)>,
    mail: Vec<(Instant, Mail)>,
    rng: fastrand::Rng,
    drawn: u64,
}

impl Fleet {
    /// Some daemons spread over some zones.
    pub fn new(daemons: usize, zones: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            store: Fake::default(),
            cuts: vec![Cut::default(); zones],
            unruly: false,
            daemons: Vec::new(),
            told: Vec::new(),
            mail: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            drawn: 0,
        };
        for at in 0..daemons {
            let daemon = fleet.start(at % zones);
            fleet.daemons.push(daemon);
        }
        fleet
    }

    /// Replaces a daemon by a new one of its zone.
    pub fn restart(&mut self, at: usize) {
        let zone = self.daemons[at].zone;
        self.daemons[at] = self.start(zone);
    }

    /// Gives a daemon an edit.
    pub fn edit(&mut self, at: usize, proposal: Proposal) {
        self.daemons[at].inputs.push(Input::Edit(proposal));
    }

    /// Drops all watches without breaking them.
    pub fn forget_watches(&mut self) {
        for daemon in &mut self.daemons {
            daemon.watches = false;
        }
    }

    /// Ends all cuts and faults.
    pub fn heal(&mut self) {
        self.unruly = false;
        self.cuts.fill(Cut::default());
        self.store.faults = super::data::Faults::default();
    }

    /// Revision of the lists in the service.
    pub fn head(&self) -> Revision {
        self.store.data.get(HEAD_KEY).map_or(0, |held| held.changed)
    }

    /// Whether the service's lists are in force everywhere.
    pub fn is_settled(&self) -> bool {
        let head = self.head();
        let mut daemons = self.daemons.iter();
        daemons.all(|d| d.keeper.accepted().revision == head && !d.keeper.is_starting())
    }

    /// Lets time pass; panics if a daemon goes back.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Lets time pass until all is settled, and tells how long that took.
    pub fn settle(&mut self, most: Duration) -> Option<Duration> {
        let start = self.now;
        while self.now < start + most {
            if self.is_settled() {
                return Some(self.now - start);
            }
            self.step();
        }
        None
    }

    fn start(&mut self, zone: usize) -> Daemon {
        self.drawn += 1;
        let incarnation = self.rng.u64(..) | self.drawn;
        let peer = Peer {
            incarnation,
            zone: format!("z{zone}").into(),
        };
        Daemon {
            keeper: Keeper::new(peer.clone(), incarnation),
            peer,
            zone,
            watches: false,
            round: self.now + ROUND.mul_f64(self.rng.f64()),
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
            assert!(revision >= daemon.adopted, "a daemon went back");
            daemon.adopted = revision;
            for command in commands {
                self.command(at, command);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.mail = later;
        let due: Vec<(Instant, Mail)> = due;
        for (_, mail) in due {
            match mail {
                Mail::Input(to, input) => {
                    if let Some(at) = self.find(to) {
                        self.daemons[at].inputs.push(input);
                    }
                }
                Mail::Pull(from, to, pull) => self.pull(from, to, &pull),
                Mail::Call(from, sent, command) => self.call(from, sent, command),
                Mail::Late(write) => {
                    self.store.write(write).ok();
                    self.tell_watches();
                }
            }
        }
    }

    fn gossip(&mut self, at: usize) {
        self.daemons[at].round += ROUND;
        let me = &self.daemons[at];
        let others = self.daemons.iter().filter(|d| d.peer != me.peer);
        let reached = others.filter(|d| self.joined(me.zone, d.zone));
        let (near, far): (Vec<_>, Vec<_>) = reached.partition(|d| d.zone == me.zone);
        let bridge = 2.0 / (near.len() + 1) as f64;
        let mut told = Vec::new();
        told.extend(self.rng.choice(&near).map(|d| d.peer.incarnation));
        if self.rng.f64() < bridge {
            told.extend(self.rng.choice(&far).map(|d| d.peer.incarnation));
        }
        let peers = near.iter().chain(&far).map(|d| d.peer.clone()).collect();
        let heard = Input::PeerRevision {
            peer: me.peer.incarnation,
            revision: me.keeper.accepted().revision,
            age: me.keeper.age(self.now),
        };
        for to in told {
            self.send(Mail::Input(to, heard.clone()));
        }
        self.daemons[at].inputs.push(Input::Peers(peers));
    }

    fn command(&mut self, at: usize, command: Command) {
        let me = self.daemons[at].peer.incarnation;
        match command {
            Command::Unwatch => self.daemons[at].watches = false,
            Command::Pull { peer, pull } => self.send(Mail::Pull(me, peer, pull)),
            Command::Adopt(_) => {}
            Command::Announce { peer, revision } => self.announce(at, peer, revision),
            Command::Reply { edit, verdict } => self.told.push((edit.to_string(), verdict)),
            call => self.send(Mail::Call(me, self.now, call)),
        }
    }

    fn announce(&mut self, at: usize, to: Incarnation, revision: Revision) {
        let from = &self.daemons[at];
        let reached = self.find(to).map(|to| self.daemons[to].zone);
        if reached.is_some_and(|zone| self.joined(from.zone, zone)) {
            let peer = from.peer.incarnation;
            let age = None;
            let heard = Input::PeerRevision {
                peer,
                revision,
                age,
            };
            self.send(Mail::Input(to, heard));
        }
    }

    fn pull(&mut self, from: Incarnation, to: Incarnation, pull: &Pull) {
        let asked = self.find(from).zip(self.find(to));
        let reached = asked.filter(|(a, b)| {
            let (a, b) = (&self.daemons[*a], &self.daemons[*b]);
            self.joined(a.zone, b.zone)
        });
        let answer = reached.map(|(_, at)| self.daemons[at].keeper.answer(self.now, pull));
        self.send(Mail::Input(from, Input::Pulled { peer: to, answer }));
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
                self.tell_watches();
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
        self.mail.push((self.now + slow, Mail::Input(from, input)));
    }

    fn delay(&mut self, write: Write) {
        if self.unruly && self.rng.bool() {
            let delay = Duration::from_millis(self.rng.u64(1..5_000));
            self.mail.push((self.now + delay, Mail::Late(write)));
        }
    }

    fn watch(&mut self, at: usize, from: Revision) {
        self.daemons[at].watches = true;
        let held = self.store.data.get(HEAD_KEY).cloned();
        if let Some(held) = held.filter(|held| held.changed >= from) {
            let to = self.daemons[at].peer.incarnation;
            self.send(Mail::Input(to, Input::HeadChanged(held)));
        }
    }

    fn tell_watches(&mut self) {
        let Some(held) = self.store.data.get(HEAD_KEY).cloned() else {
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
            let times = if self.unruly { self.rng.u32(1..3) } else { 1 };
            for _ in 0..times {
                let most = if self.unruly { 2_000 } else { 10 };
                let delay = Duration::from_millis(self.rng.u64(1..most));
                let mail = Mail::Input(to, Input::HeadChanged(held.clone()));
                self.mail.push((self.now + delay, mail));
            }
        }
    }

    fn send(&mut self, mail: Mail) {
        let most = if self.unruly { 1_500 } else { 5 };
        let delay = Duration::from_millis(self.rng.u64(1..most));
        self.mail.push((self.now + delay, mail));
    }

    fn joined(&self, a: usize, b: usize) -> bool {
        a == b || !(self.cuts[a].peers || self.cuts[b].peers)
    }

    fn find(&self, id: Incarnation) -> Option<usize> {
        self.daemons.iter().position(|d| d.peer.incarnation == id)
    }
}
