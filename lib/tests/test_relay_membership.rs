//! Which daemons hear which: the tree of watchers at any size, its discovery and its repair.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use poplarvale_lib::relay::membership::{
    Candidate, Location, PERIOD, Peers, Statement, WATCHERS, ZoneRoster, sums_period,
};

const ZONES: usize = 6;
/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(25);
/// Seeds that the settings of every daemon name.
const SEEDS: usize = 3;
/// Time between digests to random daemons.
const PARTNER_PERIOD: Duration = Duration::from_secs(1);

/// Daemons that exchange digests on virtual time. Only what concerns membership is exchanged.
struct Fleet {
    now: Instant,
    peers: Vec<Peers>,
    is_running: Vec<bool>,
    /// Zones that are cut off from all others.
    cut: Vec<u32>,
    sequence: u64,
    random: fastrand::Rng,
    /// Digests that each daemon received.
    received: Vec<u32>,
}

fn address(at: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0001 + at as u32)
}

fn index(address: Ipv4Addr) -> usize {
    (u32::from(address) - 0x0a00_0001) as usize
}

fn location(at: usize) -> Location {
    Location {
        zone: (at % ZONES) as u32,
        memory_mb: if at / ZONES % 16 == 3 { 512 } else { 160 },
    }
}

impl Fleet {
    fn new(daemons: usize, seed: u64) -> Self {
        let now = Instant::now();
        let seeds: Vec<Ipv4Addr> = (0..SEEDS).map(address).collect();
        let peers = (0..daemons).map(|at| Peers::new(address(at), location(at), &seeds, now));
        Self {
            now,
            peers: peers.collect(),
            is_running: vec![true; daemons],
            cut: Vec::new(),
            sequence: 0,
            random: fastrand::Rng::with_seed(seed),
            received: vec![0; daemons],
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let zone = |at: usize| location(at).zone;
        let is_cut = |at| self.cut.contains(&zone(at));
        let is_joined = zone(from) == zone(to) || !is_cut(from) && !is_cut(to);
        is_joined && self.is_running.get(to).copied().unwrap_or(false)
    }

    /// Delivers a digest; returns whether the receiver is asked for an answer.
    fn deliver(
        &mut self,
        from: usize,
        to: Ipv4Addr,
        zones: &ZoneRoster,
        candidates: &[Candidate],
    ) -> bool {
        let (to, now) = (index(to), self.now);
        if !self.reaches(from, to) {
            return false;
        }
        self.sequence += 1;
        self.received[to] += 1;
        let sender = &self.peers[from];
        let statement = Statement {
            location: location(from),
            store: None,
            period: PERIOD,
            is_watcher: sender.is_watcher(),
            is_closing: sender.is_closing(),
            is_blind: sender.is_blind(now),
            follows: sender.followed(now),
            config_read: 0,
        };
        let asks = sender.must_ask(now);
        let (name, sequence) = (format_compact!("d{from:04}"), self.sequence);
        let receiver = &mut self.peers[to];
        assert!(receiver.record_digest(address(from), &name, 1, sequence, now));
        receiver.update(address(from), statement, now);
        receiver.merge_roster(zones, candidates, now);
        asks
    }

    fn send_roster(&mut self, from: usize, to: Ipv4Addr) {
        let location = self.peers[from].get(to).and_then(|row| row.location);
        let zone = location.unwrap_or(self.peers[from].own_location()).zone;
        let candidates = self.peers[from].candidates(zone, self.now);
        if self.deliver(from, to, &Vec::new(), &candidates) {
            let candidates = self.peers[index(to)].candidates((from % ZONES) as u32, self.now);
            self.deliver(index(to), address(from), &Vec::new(), &candidates);
        }
    }

    fn send(&mut self, from: usize, tick: u32) {
        let now = self.now;
        self.peers[from].expire(now);
        self.peers[from].update_watchers(now);
        for parent in self.peers[from].parents(now) {
            self.deliver(from, parent, &Vec::new(), &[]);
        }
        if self.peers[from].is_watcher() {
            let zones = self.peers[from].zone_roster(now);
            let remote: Vec<_> = self.peers[from].remote_watchers().collect();
            for to in remote
                .into_iter()
                .map(|row| row.address)
                .collect::<Vec<_>>()
            {
                self.deliver(from, to, &zones, &[]);
                if !self.peers[index(to)].is_watcher() && self.reaches(from, index(to)) {
                    // It answers that it is none.
                    self.send_roster(index(to), address(from));
                }
            }
            let zones = self.peers[from].fleet_roster(PERIOD, now);
            let zone = self.peers[from].own_location().zone;
            let candidates = self.peers[from].candidates(zone, now);
            let members: Vec<_> = self.peers[from].members().collect();
            for to in members
                .into_iter()
                .map(|row| row.address)
                .collect::<Vec<_>>()
            {
                self.deliver(from, to, &zones, &candidates);
            }
        }
        let every = PARTNER_PERIOD.as_millis() / PERIOD.as_millis();
        if tick.is_multiple_of(every as u32) || self.peers[from].must_ask(now) {
            let random = &mut self.random;
            for to in self.peers[from].partners(now, |count| random.usize(..count)) {
                self.send_roster(from, to);
            }
        }
    }

    /// Runs all daemons for a `span`; they send at different moments.
    fn run(&mut self, span: Duration) {
        let phases = (PERIOD.as_millis() / STEP.as_millis()) as usize;
        for step in 0..(span.as_millis() / STEP.as_millis()) as usize {
            self.now += STEP;
            for from in (step % phases..self.peers.len()).step_by(phases) {
                if self.is_running[from] {
                    self.send(from, (step / phases + from) as u32);
                }
            }
        }
    }

    /// Running daemons that are watchers, by zone.
    fn watchers(&self) -> BTreeMap<u32, Vec<usize>> {
        let mut watchers: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for at in (0..self.peers.len()).filter(|at| self.is_running[*at]) {
            if self.peers[at].is_watcher() {
                watchers.entry(location(at).zone).or_default().push(at);
            }
        }
        watchers
    }

    /// The daemons that should be the watchers of a zone: the first on the largest hosts.
    fn right_watchers(&self, zone: u32) -> Vec<usize> {
        let all = (0..self.peers.len()).filter(|at| location(*at).zone == zone);
        let mut running: Vec<usize> = all.filter(|at| self.is_running[*at]).collect();
        running.sort_by_key(|at| (std::cmp::Reverse(location(*at).memory_mb), *at));
        running.truncate(WATCHERS);
        running.sort_unstable();
        running
    }

    /// Asserts that each zone has just its right watchers and that every other daemon of it relies
    /// on one of them.
    fn assert_settled(&self) {
        let watchers = self.watchers();
        for zone in 0..ZONES as u32 {
            let right = self.right_watchers(zone);
            assert_eq!(watchers.get(&zone), Some(&right), "watchers of zone {zone}");
        }
        for (at, peers) in self.peers.iter().enumerate() {
            if self.is_running[at] && !peers.is_watcher() {
                let followed = peers.followed(self.now).map(index);
                let right = self.right_watchers(location(at).zone);
                assert!(
                    followed.is_some_and(|watcher| right.contains(&watcher)),
                    "daemon {at} relies on {followed:?}"
                );
            }
        }
    }
}

/// All daemons start at once and know three seeds. Every zone must have its two watchers, known to
/// all, within the time in which callers expect to be served again.
#[test]
fn daemons_that_start_together_find_their_watchers() {
    for daemons in [30, 100, 300, 1000] {
        let mut fleet = Fleet::new(daemons, daemons as u64);
        fleet.run(Duration::from_secs(2));
        fleet.assert_settled();
    }
}

/// What a daemon hears must not grow with the fleet; only the two watchers of a zone hear each of
/// its daemons.
#[test]
fn a_daemon_hears_no_more_in_a_larger_fleet() {
    const SPAN_S: u32 = 4;
    for daemons in [30, 300, 1000] {
        let mut fleet = Fleet::new(daemons, 7);
        fleet.run(Duration::from_secs(6));
        fleet.received.fill(0);
        fleet.run(Duration::from_secs(SPAN_S.into()));
        let per_second = |at: usize| fleet.received[at] / SPAN_S;
        for at in 0..daemons {
            if fleet.peers[at].is_watcher() {
                let zone = daemons.div_ceil(ZONES) as u32;
                let others = (WATCHERS * ZONES) as u32;
                assert!(
                    per_second(at) <= (zone + others) * 4 + 20,
                    "{}",
                    per_second(at)
                );
            } else {
                // Two watchers, four times a second, and a few random daemons.
                assert!(per_second(at) <= 16, "{} of {daemons}", per_second(at));
            }
        }
    }
}

/// Both watchers of a zone are killed at once. The next daemons in rank take their place within the
/// time in which a daemon counts as silent, and all others turn to them.
#[test]
fn the_next_daemons_take_the_place_of_watchers_that_end() {
    for daemons in [30, 300, 1000] {
        let mut fleet = Fleet::new(daemons, 3);
        fleet.run(Duration::from_secs(6));
        for at in fleet.right_watchers(2) {
            fleet.is_running[at] = false;
        }
        fleet.run(Duration::from_millis(2500));
        fleet.assert_settled();
        // They come back: the larger hosts are the watchers again.
        fleet.is_running.fill(true);
        fleet.run(Duration::from_millis(2500));
        fleet.assert_settled();
    }
}

/// A zone is cut off for longer than its daemons count as running. It keeps its own watchers, and
/// after the partition both sides find each other again.
#[test]
fn a_zone_that_was_cut_off_joins_the_others_again() {
    for daemons in [30, 300] {
        let mut fleet = Fleet::new(daemons, 5);
        fleet.run(Duration::from_secs(6));
        fleet.cut = vec![1];
        fleet.run(Duration::from_secs(12));
        fleet.assert_settled();
        fleet.cut.clear();
        fleet.run(Duration::from_secs(6));
        fleet.assert_settled();
        let now = fleet.now;
        for peers in &fleet.peers {
            let known = peers.recent(now).count() + 1;
            assert!(
                known * 100 >= daemons * 95,
                "{known} of {daemons} are known"
            );
        }
    }
}

/// A watcher that is told to end stops being one before it is gone, so that nobody has to notice
/// its silence.
#[test]
fn a_watcher_that_ends_hands_over_at_once() {
    let mut fleet = Fleet::new(60, 9);
    fleet.run(Duration::from_secs(6));
    let leaving = fleet.right_watchers(0)[0];
    fleet.peers[leaving].close();
    fleet.run(PERIOD * 3);
    assert!(!fleet.peers[leaving].is_watcher());
    fleet.is_running[leaving] = false;
    fleet.run(PERIOD);
    fleet.assert_settled();
}

/// The store turns both watchers of a zone away, which go on sending digests. Others of the zone must
/// read the store in their place, or the whole zone knows only what it held before.
#[test]
fn watchers_that_the_store_does_not_answer_are_replaced() {
    let mut fleet = Fleet::new(60, 11);
    fleet.run(Duration::from_secs(6));
    let blind = fleet.right_watchers(0);
    let last_answer = fleet.now;
    let mut took = Duration::ZERO;
    while fleet.watchers()[&0].iter().any(|at| blind.contains(at)) {
        for at in &blind {
            let now = fleet.now;
            fleet.peers[*at].record_store(last_answer, now);
        }
        fleet.run(PERIOD);
        took += PERIOD;
        assert!(took < Duration::from_millis(2250), "{took:?}");
    }
    fleet.run(PERIOD);
    let watchers = &fleet.watchers()[&0];
    assert_eq!(watchers.len(), WATCHERS, "{watchers:?}");
    assert!(!watchers.iter().any(|at| blind.contains(at)));
}

/// Sums of many teams are sent less often, so that no daemon has to receive more than its share.
#[test]
fn sums_take_no_more_than_the_bytes_of_control() {
    /// Bytes a second that a daemon may receive for control.
    const MOST: f64 = 20_000.0;
    for bytes in [0, 1_000, 8_000, 60_000] {
        let period = sums_period(bytes);
        assert!(bytes as f64 / period.as_secs_f64() <= MOST);
        assert!(period >= PERIOD);
    }
}

/// Forwarded requests must go to daemons that run and reach the service, in the own zone first.
#[test]
fn requests_are_forwarded_to_daemons_that_reach_the_service() {
    const SERVICE: u32 = 7;
    let fleet = Fleet::new(2 * ZONES, 1);
    let now = fleet.now;
    let mut peers = fleet.peers[0].clone();
    let zones: Vec<u32> = (0..ZONES as u32).collect();
    for at in 1..2 * ZONES {
        let statement = Statement {
            location: location(at),
            store: None,
            period: PERIOD,
            is_watcher: true,
            is_closing: at == 2,
            is_blind: false,
            follows: None,
            config_read: 0,
        };
        peers.record_digest(address(at), &format_compact!("d{at}"), 1, 1, now);
        peers.update(address(at), statement, now);
    }
    let chosen = |peers: &Peers, zones: &[u32], avoid: &[Ipv4Addr]| -> Vec<usize> {
        let may = |daemon| !avoid.contains(&daemon);
        let choose =
            |wanted| peers.forwarder(SERVICE, zones, may, now, |count: usize| wanted % count);
        let mut chosen: Vec<usize> = (0..20).filter_map(choose).map(index).collect();
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    };
    assert_eq!(chosen(&peers, &zones, &[]), [ZONES]);
    assert_eq!(chosen(&peers, &[0, 1], &[address(ZONES)]), [1, 1 + ZONES]);
    peers.set_cut_off(address(ZONES), &[SERVICE], now);
    peers.record_cut_off(address(1), SERVICE, now);
    assert_eq!(chosen(&peers, &[0, 1], &[]), [1 + ZONES]);
    assert_eq!(
        chosen(&peers, &[2], &[]),
        [2 + ZONES],
        "one of them is closing"
    );
    peers.set_cut_off(address(ZONES), &[], now);
    assert_eq!(chosen(&peers, &zones, &[]), [ZONES]);
    peers.record_full(address(ZONES), SERVICE, now + PERIOD, now);
    assert_eq!(chosen(&peers, &[0, 3], &[]), [3, 3 + ZONES]);
    peers.record_full(address(ZONES), SERVICE, now, now);
    assert_eq!(chosen(&peers, &zones, &[]), [ZONES]);
}

/// Guards against a number of tries that is enough in a small fleet only: two fifths of the daemons
/// are cut off, and no digest tells which.
#[test]
fn three_tries_find_a_daemon_in_a_fleet_of_any_size() {
    const SERVICE: u32 = 7;
    const TRIES: usize = 3;
    const REQUESTS: usize = 2_000;
    /// Part of the requests for which all tries may meet daemons that are cut off.
    const MOST_FAILED: f64 = 0.1;
    for daemons in [30, 500, 1_000, 2_000] {
        let fleet = Fleet::new(daemons, 1);
        let now = fleet.now;
        let mut peers = fleet.peers[0].clone();
        for at in 1..daemons {
            peers.record_digest(address(at), &format_compact!("d{at}"), 1, 1, now);
            let statement = Statement {
                location: location(at),
                store: None,
                period: PERIOD,
                is_watcher: false,
                is_closing: false,
                is_blind: false,
                follows: None,
                config_read: 0,
            };
            peers.update(address(at), statement, now);
        }
        let mut random = fastrand::Rng::with_seed(daemons as u64);
        let mut others: Vec<usize> = (1..daemons).collect();
        random.shuffle(&mut others);
        let cut_off = &others[..daemons * 2 / 5];
        let zones: Vec<u32> = (0..ZONES as u32).collect();
        let is_failed = |random: &mut fastrand::Rng| {
            let mut tried: Vec<Ipv4Addr> = Vec::new();
            while tried.len() < TRIES {
                let may = |daemon| !tried.contains(&daemon);
                let choose = |count| random.usize(..count);
                let Some(daemon) = peers.forwarder(SERVICE, &zones, may, now, choose) else {
                    break;
                };
                if !cut_off.contains(&index(daemon)) {
                    return false;
                }
                tried.push(daemon);
            }
            true
        };
        let failed = (0..REQUESTS).filter(|_| is_failed(&mut random)).count();
        let failed = failed as f64 / REQUESTS as f64;
        println!("{daemons} daemons: {failed} of the requests");
        assert!(failed <= MOST_FAILED, "{failed} at {daemons} daemons");
    }
}
