//! A few replicas on a faulty network in virtual time, for the gossip tests.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use poplarvale_lib::Incarnation;
use poplarvale_lib::gossip::{
    Call, Change, GossipError, Key, Kind, LANE_TTL, MAX_DELTA_BYTES, MIN_LANE_TTL, Message, Peer,
    ROUND_INTERVAL, Replica, Scope, Setup,
};
use poplarvale_lib::protos::peer;

/// Kinds that the tests write: one of each scope, and an urgent one for all
/// daemons.
pub(crate) const KINDS: [Kind; 4] = [Kind::ENDPOINT, Kind::DEMAND, Kind::EVIDENCE, Kind::VERDICT];

/// Zone and region of a slot: three slots to a zone, two zones in the first
/// region.
pub(crate) fn location(slot: usize) -> (usize, usize) {
    let zone = slot / 3;
    (zone, zone / 2)
}

pub(crate) fn address(slot: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], slot as u16 + 1))
}

pub(crate) fn setup(slot: usize, incarnation: Incarnation, seeds: usize) -> Setup {
    let (zone, region) = location(slot);
    Setup {
        me: Peer {
            incarnation,
            zone: format!("zone-{zone}").into(),
            region: format!("region-{region}").into(),
            address: address(slot),
        },
        seeds: (0..seeds).map(address).collect(),
        delta_bytes: MAX_DELTA_BYTES,
    }
}

/// What the network delivers; `Round` is the timer of a daemon.
#[derive(Clone, Debug)]
enum Packet {
    Round,
    Digest(peer::Digest),
    Answer(peer::Answer),
    Delta(peer::Delta),
    Push(peer::Push),
}

/// The running incarnation of a daemon.
pub(crate) struct Slot {
    pub(crate) replica: Replica,
    paused_until: Instant,
    next_round: Instant,
}

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) slots: Vec<Slot>,
    /// Percentage of packets that are lost, and of those that are duplicated.
    pub(crate) faults: u32,
    /// Longest delay of a packet, in milliseconds.
    pub(crate) delay: u64,
    /// Time at which each departed daemon ended.
    pub(crate) departed: BTreeMap<Incarnation, Instant>,
    partitions: BTreeMap<(usize, usize), Instant>,
    queue: BinaryHeap<Reverse<(Instant, u64, usize, usize)>>,
    packets: BTreeMap<u64, Packet>,
    count: u64,
    rng: fastrand::Rng,
    highest: BTreeMap<(Incarnation, Incarnation, Key), u64>,
    /// Pairs of a replica and a departed daemon that it has removed.
    removed_daemons: BTreeSet<(Incarnation, Incarnation)>,
}

impl Fleet {
    pub(crate) fn new(slots: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            slots: Vec::new(),
            faults: 0,
            delay: 50,
            departed: BTreeMap::new(),
            partitions: BTreeMap::new(),
            queue: BinaryHeap::new(),
            packets: BTreeMap::new(),
            count: 0,
            rng: fastrand::Rng::with_seed(seed),
            highest: BTreeMap::new(),
            removed_daemons: BTreeSet::new(),
        };
        for slot in 0..slots {
            let new_slot = fleet.new_slot(slot, slots);
            fleet.slots.push(new_slot);
            fleet.start(slot);
        }
        fleet
    }

    fn new_slot(&mut self, slot: usize, slots: usize) -> Slot {
        let incarnation = self.rng.u64(..);
        Slot {
            replica: Replica::new(setup(slot, incarnation, slots), self.now),
            paused_until: self.now,
            next_round: self.now,
        }
    }

    fn start(&mut self, slot: usize) {
        let offset = Duration::from_millis(self.rng.u64(..2_000));
        self.slots[slot].next_round = self.now + offset;
        self.enqueue(self.now + offset, slot, slot, Packet::Round);
    }

    /// Ends a daemon without a shutdown and starts another one in its place.
    pub(crate) fn restart(&mut self, slot: usize) {
        let old = self.slots[slot].replica.me().incarnation;
        self.departed.insert(old, self.now);
        let slots = self.slots.len();
        self.slots[slot] = self.new_slot(slot, slots);
        self.start(slot);
    }

    pub(crate) fn pause(&mut self, slot: usize, time: Duration) {
        self.slots[slot].paused_until = self.now + time;
    }

    /// Blocks all packets between two zones for a time.
    pub(crate) fn partition(&mut self, a: usize, b: usize, time: Duration) {
        self.partitions
            .insert((a.min(b), a.max(b)), self.now + time);
    }

    pub(crate) fn put(&mut self, slot: usize, kind: Kind, name: &str, value: &[u8]) {
        let calls = self.slots[slot].replica.put(self.now, kind, name, value);
        self.send_calls(slot, calls.expect("tests stay within the limits"));
    }

    pub(crate) fn remove(&mut self, slot: usize, kind: Kind, name: &str) {
        let calls = self.slots[slot].replica.remove(self.now, kind, name);
        self.send_calls(slot, calls.expect("tests stay within the limits"));
    }

    /// Advances virtual time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, id, from, to))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let packet = self.packets.remove(&id).expect("each id is queued once");
            self.deliver(id, from, to, packet);
        }
        self.now = end;
    }

    fn deliver(&mut self, id: u64, from: usize, to: usize, packet: Packet) {
        let paused_until = self.slots[to].paused_until;
        if paused_until > self.now {
            self.packets.insert(id, packet);
            self.queue.push(Reverse((paused_until, id, from, to)));
            return;
        }
        let now = self.now;
        let replica = &mut self.slots[to].replica;
        match packet {
            Packet::Round => self.round(to),
            Packet::Digest(digest) => {
                let answer = replica.answer(now, &digest);
                let answer = answer.expect("digest of a replica is valid");
                self.send(to, from, Packet::Answer(answer));
            }
            Packet::Answer(answer) => {
                merge(replica, now, answer.delta);
                if let Some(wants) = answer.wants {
                    let back = replica.answer(now, &wants);
                    let back = back.expect("digest of a replica is valid");
                    let delta = back.delta.expect("an answer has a delta");
                    self.send(to, from, Packet::Delta(delta));
                }
            }
            Packet::Delta(delta) => merge(replica, now, Some(delta)),
            Packet::Push(push) => {
                let calls = replica.receive(now, push, &mut Vec::new());
                self.send_calls(to, calls.expect("push of a replica is valid"));
            }
        }
    }

    fn round(&mut self, slot: usize) {
        if self.now < self.slots[slot].next_round {
            return;
        }
        let replica = &mut self.slots[slot].replica;
        let me = replica.me().incarnation;
        for change in replica.advance(self.now) {
            if let Change::Departed(incarnation) = change {
                let departed = self.departed.get(&incarnation);
                if departed.is_some_and(|at| *at + MIN_LANE_TTL < self.now) {
                    self.removed_daemons.insert((me, incarnation));
                }
            }
        }
        let calls = self.slots[slot].replica.round(self.now, &mut self.rng);
        self.send_calls(slot, calls);
        let next = self.now + ROUND_INTERVAL;
        self.slots[slot].next_round = next;
        self.enqueue(next, slot, slot, Packet::Round);
        self.check(slot);
    }

    fn send_calls(&mut self, from: usize, calls: Vec<Call>) {
        for call in calls {
            let to = call.to.port() as usize - 1;
            let packet = match call.message {
                Message::Exchange(digest) => Packet::Digest(digest),
                Message::Push(push) => Packet::Push(push),
            };
            self.send(from, to, packet);
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        let (a, b) = (location(from).0, location(to).0);
        let partition = self.partitions.get(&(a.min(b), a.max(b)));
        if partition.is_some_and(|until| *until > self.now) || self.rng.u32(..100) < self.faults {
            return;
        }
        if self.rng.u32(..100) < self.faults {
            self.send_delayed(from, to, packet.clone());
        }
        self.send_delayed(from, to, packet);
    }

    fn send_delayed(&mut self, from: usize, to: usize, packet: Packet) {
        let delay = Duration::from_millis(1 + self.rng.u64(..self.delay));
        self.enqueue(self.now + delay, from, to, packet);
    }

    fn enqueue(&mut self, at: Instant, from: usize, to: usize, packet: Packet) {
        self.count += 1;
        self.packets.insert(self.count, packet);
        self.queue.push(Reverse((at, self.count, from, to)));
    }

    /// Invariants of every replica at all times.
    fn check(&mut self, slot: usize) {
        let replica = &self.slots[slot].replica;
        let me = replica.me().incarnation;
        for (origin, key, sequence) in replica.sequences() {
            let highest = self.highest.entry((me, origin, key)).or_default();
            assert!(*highest <= sequence, "a row went back to an older sequence");
            *highest = sequence;
        }
        for peer in replica.known() {
            let id = peer.incarnation;
            assert!(
                !self.removed_daemons.contains(&(me, id)),
                "a removed daemon was added again"
            );
            if let Some(at) = self.departed.get(&id) {
                assert!(
                    self.now <= *at + LANE_TTL + ROUND_INTERVAL,
                    "a departed daemon is still held"
                );
            }
        }
    }

    /// Describes the first replica that does not hold exactly the rows in its
    /// scope of each running daemon, or does not see all of them live.
    pub(crate) fn difference(&self) -> Option<String> {
        for reader in &self.slots {
            for writer in &self.slots {
                let (me, id) = (reader.replica.me(), writer.replica.me());
                let held = rows_of(&reader.replica, id.incarnation, &KINDS);
                let kinds: Vec<_> = KINDS.into_iter().filter(|k| in_scope(*k, id, me)).collect();
                let written = rows_of(&writer.replica, id.incarnation, &kinds);
                if held != written {
                    return Some(format!("{me:?} holds {held:?} of {id:?}: {written:?}"));
                }
            }
            let live: Vec<_> = reader.replica.live(self.now).collect();
            let mut running: Vec<_> = self.slots.iter().map(|s| s.replica.me()).collect();
            running.sort_by_key(|p| p.incarnation);
            if live != running {
                let me = reader.replica.me();
                return Some(format!("{me:?} sees {} live daemons", live.len()));
            }
        }
        None
    }
}

fn merge(replica: &mut Replica, now: Instant, delta: Option<peer::Delta>) {
    let delta = delta.expect("an answer has a delta");
    match replica.merge(now, delta, &mut Vec::new()) {
        Ok(()) | Err(GossipError::Late | GossipError::Misdirected) => {}
        Err(error) => panic!("delta of a replica was rejected: {error}"),
    }
}

fn in_scope(kind: Kind, writer: &Peer, reader: &Peer) -> bool {
    match kind.scope {
        Scope::Zone => writer.zone == reader.zone,
        Scope::Region => writer.region == reader.region,
        Scope::Everywhere => true,
    }
}

fn rows_of(replica: &Replica, origin: Incarnation, kinds: &[Kind]) -> Vec<(Key, u64)> {
    let all = replica.sequences().into_iter();
    let own =
        all.filter(|(id, key, _)| *id == origin && kinds.iter().any(|k| k.number == key.kind));
    let mut rows: Vec<_> = own.map(|(_, key, sequence)| (key, sequence)).collect();
    rows.sort();
    rows
}
