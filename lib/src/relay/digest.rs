//! What daemons tell one another, and who they are.
//!
//! Each sends its whole state in one datagram, several times a second, to all
//! others it knows. A datagram that is lost, late or repeated does no harm, and
//! nothing hangs when a partition swallows connections. Daemons are learned from
//! the settings' few seeds and from one another, so no call to the store is made
//! for it.
//!
//! Load: hundreds of daemons on hosts with a tenth of a core. What one of them has to
//! read must not grow with their number, so among many the digests to other zones go
//! out less often than those within the zone. A few daemons of each zone, its watchers,
//! tell the other zones more often what their zone does as a whole. Watchers are those
//! on the largest hosts; every daemon ranks the ones that it hears, without talk.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::contact::Span;
use crate::{Incarnation, ZoneHash};

/// After how long a daemon that was never heard, or no longer, is forgotten. It is
/// longer than partitions usually last, so the two sides find each other again.
const FORGET: Duration = Duration::from_secs(40);
/// Time between digests among few daemons. What is not told yet may be let in
/// twice; a quarter of a second of a flood is well within the allowance's slack.
const PERIOD: Duration = Duration::from_millis(250);
/// Time between digests for each daemon that they go to. What one daemon has to read
/// stays near 125 datagrams a second from its zone and as many from all others.
const EACH: Duration = Duration::from_millis(8);
/// Every how many digests to a daemon it is told the other daemons and all usage windows;
/// the window that ended last is told each time, as its report is due next.
const WHOLE: u32 = 4;
/// The same for daemons of other zones among many, which get digests seldom.
const WHOLE_FAR: u32 = 2;
/// Time after the start in which each digest is whole. Daemons that all start at once know
/// only the few seeds of their settings, and find one another through what these tell.
const NEW: Duration = Duration::from_secs(2);
/// Watchers of a zone. With two, the loss of one is bridged until it shows.
pub const WATCHERS: usize = 2;
/// Periods after which a daemon that was not heard counts as silent.
const MISSED: u32 = 4;
/// Daemons up to this long ago are told on.
const LATELY: Duration = Duration::from_secs(5);

/// Where a daemon runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Its zone.
    pub zone: ZoneHash,
    /// Memory of its host, in megabytes.
    pub memory: u32,
}

/// What is sent at one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Whether the digest within the zone is whole.
    pub near: bool,
    /// Whether the other zones get a digest too, and whether that is whole.
    pub far: Option<bool>,
}

/// Turns at which digests go out.
#[derive(Clone, Debug)]
pub struct Turns {
    started: Instant,
    near: u32,
    far: u32,
    /// Turns since the other zones were told last.
    since: u32,
}

impl Turns {
    /// Begins when the daemon starts.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            near: 0,
            far: 0,
            since: 0,
        }
    }

    /// The next turn, where the other zones are told every `rounds` turns and when it is
    /// urgent.
    ///
    /// Whole digests are counted for each kind by itself. Counted together, the turns of
    /// the other zones may never meet a whole one, and zones do not find one another.
    pub fn next(&mut self, rounds: u32, urgent: bool, now: Instant) -> Turn {
        let is_new = now.saturating_duration_since(self.started) < NEW;
        self.near += 1;
        self.since += 1;
        let is_far = urgent || self.since >= rounds;
        if is_far {
            self.since = 0;
            self.far += 1;
        }
        let every = if rounds > 1 { WHOLE_FAR } else { WHOLE };
        Turn {
            near: is_new || self.near.is_multiple_of(WHOLE),
            far: is_far.then(|| is_new || self.far.is_multiple_of(every)),
        }
    }
}

/// Another daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its address.
    pub address: Ipv4Addr,
    /// Name, incarnation and last sequence; `None` until it was heard.
    pub known: Option<(CompactString, Incarnation, u64)>,
    /// When it was heard, or heard of.
    pub heard: Instant,
    /// Its contact with the store, as it told last.
    pub contact: Option<Span>,
    /// Where it runs, as it told last.
    pub place: Option<Place>,
}

/// The other daemons, sorted by address.
#[derive(Clone, Debug)]
pub struct Peers {
    me: Ipv4Addr,
    place: Place,
    rows: Vec<Peer>,
}

impl Peers {
    /// Begins with the seeds of the settings.
    pub fn new(me: Ipv4Addr, place: Place, seeds: &[Ipv4Addr], now: Instant) -> Self {
        let mut peers = Self {
            me,
            place,
            rows: Vec::new(),
        };
        for seed in seeds {
            peers.learn(*seed, now);
        }
        peers
    }

    /// All others that digests are sent to.
    pub fn rows(&self) -> &[Peer] {
        &self.rows
    }

    /// Notes that there is a daemon at an address.
    pub fn learn(&mut self, address: Ipv4Addr, now: Instant) {
        if address == self.me {
            return;
        }
        if let Err(at) = self.rows.binary_search_by_key(&address, |row| row.address) {
            let peer = Peer {
                address,
                known: None,
                heard: now,
                contact: None,
                place: None,
            };
            self.rows.insert(at, peer);
        }
    }

    /// Notes a digest; `false` if a later one of the same incarnation came before.
    pub fn hear(
        &mut self,
        address: Ipv4Addr,
        name: &CompactString,
        incarnation: Incarnation,
        sequence: u64,
        now: Instant,
    ) -> bool {
        self.learn(address, now);
        let Ok(at) = self.rows.binary_search_by_key(&address, |row| row.address) else {
            return false;
        };
        let row = &mut self.rows[at];
        if let Some((_, held, last)) = &row.known
            && *held == incarnation
            && *last >= sequence
        {
            return false;
        }
        row.known = Some((name.clone(), incarnation, sequence));
        row.heard = now;
        true
    }

    /// Notes what a daemon tells of itself.
    pub fn tell(&mut self, address: Ipv4Addr, place: Place, contact: Option<Span>) {
        if let Ok(at) = self.rows.binary_search_by_key(&address, |row| row.address) {
            self.rows[at].contact = contact;
            self.rows[at].place = Some(place);
        }
    }

    /// This daemon's address.
    pub fn me(&self) -> Ipv4Addr {
        self.me
    }

    /// Where this daemon runs.
    pub fn place(&self) -> Place {
        self.place
    }

    /// Whether a daemon runs in this daemon's zone.
    pub fn is_near(&self, peer: &Peer) -> bool {
        peer.place
            .is_some_and(|place| place.zone == self.place.zone)
    }

    /// Whether a daemon runs in another zone, as far as this one knows.
    pub fn is_far(&self, peer: &Peer) -> bool {
        peer.place
            .is_some_and(|place| place.zone != self.place.zone)
    }

    /// Whether this daemon is one of its zone's watchers: few of those that it hears
    /// come before it.
    pub fn is_watcher(&self, now: Instant) -> bool {
        let rank = |place: Place, address: Ipv4Addr| (Reverse(place.memory), address);
        let mine = rank(self.place, self.me);
        let silent = self.near_period() * MISSED;
        let heard =
            |row: &&Peer| row.known.is_some() && now.saturating_duration_since(row.heard) <= silent;
        let mates = self
            .rows
            .iter()
            .filter(|row| self.is_near(row))
            .filter(heard);
        let before = mates.filter(|row| {
            row.place
                .is_some_and(|place| rank(place, row.address) < mine)
        });
        before.count() < WATCHERS
    }

    /// Addresses of daemons heard lately, to be told on.
    pub fn lately(&self, now: Instant) -> Vec<Ipv4Addr> {
        self.heard_lately(now).map(|row| row.address).collect()
    }

    /// Daemons heard lately.
    pub fn heard_lately(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let known = self.rows.iter().filter(|row| row.known.is_some());
        known.filter(move |row| now.duration_since(row.heard) <= LATELY)
    }

    /// Daemons heard lately that come before this one by address.
    pub fn heard_before(&self, now: Instant) -> usize {
        let heard = self.heard_lately(now);
        heard.filter(|row| row.address < self.me).count()
    }

    /// Daemons that come before this one by address, of all that it ever learned of.
    pub fn learned_before(&self) -> usize {
        self.rows.partition_point(|row| row.address < self.me)
    }

    /// Time until the next digest within the zone.
    pub fn near_period(&self) -> Duration {
        let near = self.rows.iter().filter(|row| self.is_near(row)).count();
        PERIOD.max(EACH * near as u32)
    }

    /// Every how many digests the daemons of other zones are told too.
    pub fn rounds(&self) -> u32 {
        let all = PERIOD.max(EACH * self.rows.len() as u32);
        (all.as_secs_f64() / self.near_period().as_secs_f64()).round() as u32
    }

    /// Time between two digests to a daemon of another zone.
    pub fn period(&self) -> Duration {
        self.near_period() * self.rounds()
    }

    /// After how long without a word a daemon counts as silent.
    pub fn silent(&self, zone: ZoneHash) -> Duration {
        if zone == self.place.zone {
            self.near_silent()
        } else {
            self.period() * MISSED
        }
    }

    /// After how long without a word a daemon of this zone, or another zone as a whole,
    /// counts as silent.
    pub fn near_silent(&self) -> Duration {
        self.near_period() * MISSED
    }

    /// Forgets daemons that are silent for long.
    pub fn expire(&mut self, now: Instant) {
        self.rows
            .retain(|row| now.duration_since(row.heard) <= FORGET);
    }
}
