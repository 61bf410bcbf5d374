//! Compares gossip by deltas with the exchange of whole states, in one process and on
//! virtual time.
//!
//! Daemons run their rounds at random offsets, exchanges take no virtual time, and
//! one message in a hundred is lost. Bytes are those of the encoded messages
//! plus a constant for each message, for framing, token and packet headers. The load of
//! each daemon: heartbeats; eight rows of customers' demand, three of which change
//! every 5 s; a row of evidence of 96 bytes every 15 s. The load of the whole fleet: 10,000
//! revisions a day, each written by one daemon for all others, and ten times the rate of 950
//! replacements a day per 400 daemons. The replaced daemons all stop without
//! notice.
//!
//! A number as argument runs only the fleet of that many daemons.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use poplarvale_lib::Incarnation;
use poplarvale_lib::gossip::{
    Call, Key, Kind, MAX_DELTA_BYTES, Message, Peer, ROUND_INTERVAL, Replica, Scope, Setup,
};
use poplarvale_lib::protos::peer::{Answer, Delta, Digest};
use prost::Message as _;

/// Evidence, here sent to all daemons, which is more than a real daemon sends.
const EVIDENCE: Kind = Kind::new(1_000, Scope::Everywhere, false);
const SEED: u64 = 11;
const STEP: Duration = Duration::from_millis(100);
const WARM_UP: Duration = Duration::from_mins(2);
/// Mean time between two revisions, in seconds.
const REVISION_INTERVAL_S: f64 = 86_400.0 / 10_000.0;
/// Replacements per second and daemon.
const REPLACEMENTS_PER_S: f64 = 10.0 * 950.0 / 86_400.0 / 400.0;
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
const PROBE_TIMEOUT: Duration = Duration::from_mins(2);
/// Bytes of a call beside its message: frame, context and token, and the headers of its
/// packets and of their acknowledgements.
const CALL_BYTES: usize = 220;
/// The same for the answer to a call.
const ANSWER_BYTES: usize = 120;
const PLAIN: Kind = Kind::new(1_000, Scope::Everywhere, false);
const URGENT: Kind = Kind::new(1_001, Scope::Everywhere, true);

#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Delta,
    Whole,
}

/// Size of a fleet, and the time over which it is measured.
struct Size {
    daemons: usize,
    zones: usize,
    regions: usize,
    window: Duration,
}

/// A daemon of the fleet; a replaced one keeps the slot and its traffic counters.
struct Slot {
    replica: Replica,
    started: Instant,
    next_round: Instant,
    next_demand: Instant,
    next_evidence: Instant,
    sent: usize,
    received: usize,
}

/// A row whose propagation through the fleet is timed.
struct Probe {
    origin: Incarnation,
    key: Key,
    value: Vec<u8>,
    written: Instant,
}

struct Fleet {
    mode: Mode,
    delta_bytes: usize,
    now: Instant,
    rng: fastrand::Rng,
    slots: Vec<Slot>,
    locations: Vec<(usize, usize)>,
    exchanges: usize,
    busy: Duration,
    revision: u64,
    parts: [usize; 3],
}

/// Kind of traffic that bytes are counted under.
#[derive(Clone, Copy)]
enum Part {
    Digest,
    Rows,
    Push,
}

impl Fleet {
    fn new(mode: Mode, size: &Size) -> Self {
        let location = |slot: usize| {
            let zone = slot % size.zones;
            (zone, zone % size.regions)
        };
        let mut fleet = Self {
            // Both modes warm up with deltas, which lead to the same state.
            mode: Mode::Delta,
            delta_bytes: match mode {
                Mode::Delta => MAX_DELTA_BYTES,
                Mode::Whole => usize::MAX,
            },
            now: Instant::now(),
            rng: fastrand::Rng::with_seed(SEED),
            slots: Vec::new(),
            locations: (0..size.daemons).map(location).collect(),
            exchanges: 0,
            busy: Duration::ZERO,
            revision: 0,
            parts: [0; 3],
        };
        for slot in 0..size.daemons {
            let new = fleet.new_slot(slot);
            fleet.slots.push(new);
        }
        fleet
    }

    fn new_slot(&mut self, slot: usize) -> Slot {
        let (zone, region) = self.locations[slot];
        let incarnation = self.rng.u64(..);
        let seeds = self.locations.len().min(5);
        let setup = Setup {
            me: Peer {
                incarnation,
                zone: format!("zone-{zone:02}").into(),
                region: format!("region-{region}").into(),
                address: address(slot),
            },
            seeds: (0..seeds).map(address).collect(),
            delta_bytes: self.delta_bytes,
        };
        Slot {
            replica: Replica::new(setup, self.now),
            started: self.now,
            next_round: self.now + self.offset(ROUND_INTERVAL),
            next_demand: self.now + self.offset(Duration::from_secs(5)),
            next_evidence: self.now + self.offset(Duration::from_secs(15)),
            sent: 0,
            received: 0,
        }
    }

    fn offset(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.f64())
    }

    fn step(&mut self) {
        self.now += STEP;
        let seconds = STEP.as_secs_f64();
        if self.rng.f64() < seconds / REVISION_INTERVAL_S {
            self.revision += 1;
            let slot = self.rng.usize(..self.slots.len());
            let value = self.revision.to_le_bytes();
            self.put(slot, Kind::REVISION, "", &value);
        }
        if self.rng.f64() < seconds * REPLACEMENTS_PER_S * self.slots.len() as f64 {
            let slot = self.rng.usize(..self.slots.len());
            let (sent, received) = (self.slots[slot].sent, self.slots[slot].received);
            self.slots[slot] = self.new_slot(slot);
            self.slots[slot].sent = sent;
            self.slots[slot].received = received;
        }
        for slot in 0..self.slots.len() {
            self.write(slot);
            if self.slots[slot].next_round <= self.now {
                self.slots[slot].next_round += ROUND_INTERVAL;
                self.round(slot);
            }
        }
    }

    fn write(&mut self, slot: usize) {
        if self.slots[slot].next_demand <= self.now {
            self.slots[slot].next_demand += Duration::from_secs(5);
            for _ in 0..3 {
                let name = format!("customer-{}", self.rng.u8(..8));
                let value: Vec<u8> = (0..24).map(|_| self.rng.u8(..)).collect();
                self.put(slot, Kind::DEMAND, &name, &value);
            }
        }
        if self.slots[slot].next_evidence <= self.now {
            self.slots[slot].next_evidence += Duration::from_secs(15);
            let value: Vec<u8> = (0..96).map(|_| self.rng.u8(..)).collect();
            self.put(slot, EVIDENCE, "chat/v2", &value);
        }
    }

    fn put(&mut self, slot: usize, kind: Kind, name: &str, value: &[u8]) {
        let calls = self.slots[slot].replica.put(self.now, kind, name, value);
        let calls = calls.expect("the load stays within the limits");
        self.call(slot, calls);
    }

    fn round(&mut self, slot: usize) {
        let start = Instant::now();
        self.slots[slot].replica.advance(self.now);
        let calls = self.slots[slot].replica.round(self.now, &mut self.rng);
        self.busy += start.elapsed();
        self.call(slot, calls);
    }

    fn call(&mut self, from: usize, calls: Vec<Call>) {
        for call in calls {
            let to = slot_of(call.to);
            match call.message {
                Message::Exchange(digest) => self.exchange(from, to, digest),
                Message::Push(push) => {
                    let bytes = push.encoded_len() + CALL_BYTES;
                    if self.transmit(from, to, bytes, Part::Push) {
                        self.transmit(to, from, ANSWER_BYTES, Part::Push);
                        let replica = &mut self.slots[to].replica;
                        let on = replica.receive(self.now, push, &mut Vec::new());
                        self.call(to, on.expect("readable"));
                    }
                }
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize, mut digest: Digest) {
        let start = Instant::now();
        self.exchanges += 1;
        if self.mode == Mode::Whole {
            (digest.zone, digest.region, digest.everywhere) = (None, None, None);
        }
        let bytes = digest.encoded_len() + CALL_BYTES;
        if !self.transmit(from, to, bytes, Part::Digest) {
            return;
        }
        let answer = self.slots[to].replica.answer(self.now, &digest);
        let answer = answer.expect("readable");
        let bytes = answer.encoded_len() + ANSWER_BYTES;
        if self.transmit(to, from, bytes, Part::Rows) {
            let wants = self.wants(to, &answer);
            self.merge(from, answer.delta);
            if let Some(wants) = wants {
                let back = self.slots[from].replica.answer(self.now, &wants);
                let delta = back.expect("readable").delta.expect("present");
                let bytes = delta.encoded_len() + CALL_BYTES;
                if self.transmit(from, to, bytes, Part::Rows) {
                    self.transmit(to, from, ANSWER_BYTES, Part::Rows);
                    self.merge(to, Some(delta));
                }
            }
        }
        self.busy += start.elapsed();
    }

    /// What the answering daemon requests in return: the rows it lacks, or the whole state.
    fn wants(&self, to: usize, answer: &Answer) -> Option<Digest> {
        if self.mode == Mode::Delta {
            return answer.wants.clone();
        }
        let replica = &self.slots[to].replica;
        let mut all = replica.digest(self.now, None);
        (all.zone, all.region, all.everywhere) = (None, None, None);
        Some(all)
    }

    fn merge(&mut self, slot: usize, delta: Option<Delta>) {
        let delta = delta.expect("present");
        let replica = &mut self.slots[slot].replica;
        let merged = replica.merge(self.now, delta, &mut Vec::new());
        merged.expect("the delta arrives in time and is within the limits");
    }

    /// Counts a message; returns whether it arrives.
    fn transmit(&mut self, from: usize, to: usize, bytes: usize, part: Part) -> bool {
        self.slots[from].sent += bytes;
        self.parts[part as usize] += bytes;
        if self.rng.u8(..100) == 0 {
            return false;
        }
        self.slots[to].received += bytes;
        true
    }

    fn probe(&mut self, kind: Kind) -> Probe {
        let slot = self.rng.usize(..self.slots.len());
        let value: Vec<u8> = (0..16).map(|_| self.rng.u8(..)).collect();
        self.put(slot, kind, "probe", &value);
        Probe {
            origin: self.slots[slot].replica.me().incarnation,
            key: kind.key("probe"),
            value,
            written: self.now,
        }
    }

    /// Number of daemons that ran when the probe was written and do not have it.
    fn missing(&self, probe: &Probe) -> usize {
        let then = self.slots.iter().filter(|s| s.started < probe.written);
        let stored = then.map(|s| s.replica.get(probe.origin, &probe.key));
        stored
            .filter(|h| *h != Some(probe.value.as_slice()))
            .count()
    }
}

fn address(slot: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], slot as u16 + 1))
}

fn slot_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// Times the propagation of rows of one kind, one row after the other.
struct Timing {
    kind: Kind,
    open: Option<Probe>,
    next: Instant,
    /// Seconds until 99 of 100 daemons had the row.
    most: Vec<f64>,
    /// Seconds until all daemons had the row.
    last: Vec<f64>,
    missing: usize,
}

impl Timing {
    fn new(kind: Kind, now: Instant) -> Self {
        Self {
            kind,
            open: None,
            next: now,
            most: Vec::new(),
            last: Vec::new(),
            missing: 0,
        }
    }

    fn step(&mut self, fleet: &mut Fleet) {
        if let Some(probe) = &self.open {
            let age = fleet.now - probe.written;
            let missing = fleet.missing(probe);
            if missing * 100 <= fleet.slots.len() && self.most.len() == self.last.len() {
                self.most.push(age.as_secs_f64());
            }
            let mut slots = fleet.slots.iter();
            let writer_runs = slots.any(|s| s.replica.me().incarnation == probe.origin);
            if missing == 0 {
                self.last.push(age.as_secs_f64());
                self.open = None;
            } else if !writer_runs || age > PROBE_TIMEOUT {
                self.missing += usize::from(writer_runs);
                self.most.truncate(self.last.len());
                self.open = None;
            }
        }
        if self.open.is_none() && self.next <= fleet.now {
            self.next = fleet.now + PROBE_INTERVAL;
            self.open = Some(fleet.probe(self.kind));
        }
    }

    fn report(&mut self) -> String {
        let (most, last) = (summary(&mut self.most), summary(&mut self.last));
        let count = self.last.len();
        let missing = self.missing;
        format!("99 in 100 daemons {most}; all {last}; {count} rows, {missing} never arrived")
    }
}

/// Median and maximum of times, in seconds; the maximum also in rounds.
fn summary(seconds: &mut [f64]) -> String {
    seconds.sort_by(f64::total_cmp);
    let median = seconds.get(seconds.len() / 2).copied().unwrap_or(f64::NAN);
    let worst = seconds.last().copied().unwrap_or(f64::NAN);
    let rounds = worst / ROUND_INTERVAL.as_secs_f64();
    format!("median {median:.1} s, worst {worst:.1} s = {rounds:.1} rounds")
}

fn run(mode: Mode, size: &Size) {
    let mut fleet = Fleet::new(mode, size);
    let begin = fleet.now;
    while fleet.now < begin + WARM_UP {
        fleet.step();
    }
    for slot in &mut fleet.slots {
        (slot.sent, slot.received) = (0, 0);
    }
    (fleet.exchanges, fleet.busy, fleet.parts) = (0, Duration::ZERO, [0; 3]);
    fleet.mode = mode;
    let begin = fleet.now;
    let mut timings = [Timing::new(URGENT, begin), Timing::new(PLAIN, begin)];
    while fleet.now < begin + size.window {
        fleet.step();
        for timing in &mut timings {
            timing.step(&mut fleet);
        }
    }
    let seconds = size.window.as_secs_f64();
    let count = fleet.slots.len() as f64;
    let rate = |s: &Slot| (s.sent + s.received) as f64 / seconds / 1_000.0;
    let sent: usize = fleet.slots.iter().map(|s| s.sent).sum();
    let mean = fleet.slots.iter().map(rate).sum::<f64>() / count;
    let worst = fleet.slots.iter().map(rate).fold(0.0, f64::max);
    let memory = fleet.slots.iter().map(|s| s.replica.memory()).max();
    let known = fleet.slots.iter().map(|s| s.replica.known().count()).max();
    let name = match mode {
        Mode::Delta => "deltas",
        Mode::Whole => "whole states",
    };
    println!("{} daemons, {} zones, {name}:", size.daemons, size.zones);
    println!(
        "  KB/s a daemon: sent {:.2} mean; sent and received {mean:.2} mean, {worst:.2} worst",
        sent as f64 / seconds / 1_000.0 / count
    );
    let [digests, rows, pushes] = fleet.parts.map(|p| p as f64 / seconds / 1_000.0 / count);
    println!("  of what is sent: digests {digests:.2}, rows {rows:.2}, pushes {pushes:.2}");
    let [urgent, plain] = &mut timings;
    println!("  urgent row:   {}", urgent.report());
    println!("  ordinary row: {}", plain.report());
    println!(
        "  {:.0} us an exchange (both sides), {:.3}% of a core a daemon",
        fleet.busy.as_secs_f64() * 1e6 / fleet.exchanges as f64,
        fleet.busy.as_secs_f64() / seconds / count * 100.0,
    );
    println!(
        "  memory {:.0} KB, {} daemons held at most, window {seconds} s",
        memory.unwrap_or(0) as f64 / 1_000.0,
        known.unwrap_or(0),
    );
}

fn main() {
    let sizes = [
        (8, 4, 1, 300, 60),
        (40, 8, 2, 300, 60),
        (400, 19, 5, 400, 20),
    ];
    let wanted = std::env::args().skip(1).find_map(|arg| arg.parse().ok());
    for (daemons, zones, regions, delta_window, whole_window) in sizes {
        if wanted.is_some_and(|w: usize| w != daemons) {
            continue;
        }
        for (mode, window) in [(Mode::Delta, delta_window), (Mode::Whole, whole_window)] {
            let size = Size {
                daemons,
                zones,
                regions,
                window: Duration::from_secs(window),
            };
            run(mode, &size);
        }
    }
}
