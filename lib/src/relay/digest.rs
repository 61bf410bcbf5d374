//! The other daemons that this one knows, and when it sends digests to them.
//!
//! Each daemon sends its whole state in one datagram, several times a second, to every other
//! daemon that it knows. A datagram that is lost, late or duplicated does no harm, and
//! nothing blocks when a partition drops connections. Daemons are discovered through the few
//! seeds of the settings and through one another, so discovery needs no call to the store.
//!
//! Load: hundreds of daemons on hosts with a tenth of a core. What a daemon has to read must
//! not grow with their number, so in a large fleet digests go to other zones less often than
//! within the zone. A few daemons of each zone, its watchers, send the other zones a summary
//! of the whole zone more often. The watchers are the daemons on the largest hosts; every
//! daemon ranks those that it receives digests from, without an election.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::connectivity::ReachableSpan;
use crate::{Incarnation, ZoneHash};

/// Time after which a daemon that sent no digest is removed. It is longer than partitions
/// usually last, so the two sides find each other again.
const PEER_TTL: Duration = Duration::from_secs(40);
/// Shortest time between digests, used among few daemons. Requests that are not advertised
/// yet may be admitted twice; a quarter of a second of a flood is well within the slack of
/// the allowance.
const MIN_PERIOD: Duration = Duration::from_millis(250);
/// Time between digests per daemon that receives them. A daemon then reads about 125
/// datagrams a second from its own zone and as many from all others.
const PERIOD_PER_PEER: Duration = Duration::from_millis(8);
/// One in so many digests is full: it also lists the other daemons and all usage windows.
/// The usage window that ended last is in each digest, as its report is due next.
const FULL_EVERY: u32 = 4;
/// The same for digests to other zones in a large fleet, where they are sent seldom.
const REMOTE_FULL_EVERY: u32 = 2;
/// Time after the start in which each digest is full. Daemons that all start at once know
/// only the few seeds of their settings, and find one another through the digests of these.
const STARTUP: Duration = Duration::from_secs(2);
/// Number of watchers in a zone. With two, the other one covers the time until the loss of
/// one is detected.
pub const WATCHERS: usize = 2;
/// Digest periods without a digest after which a daemon counts as unresponsive.
const MISSED_PERIODS: u32 = 4;
/// Age of the last digest up to which a daemon is listed in digests to others.
const RECENT: Duration = Duration::from_secs(5);

/// Where a daemon runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Its zone.
    pub zone: ZoneHash,
    /// Memory of its host, in megabytes.
    pub memory_mb: u32,
}

/// Digests that are due at one tick of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueDigests {
    /// Whether the digest to the own zone is full.
    pub local: bool,
    /// Whether the digest to the other zones is full; `None` if they get none.
    pub remote: Option<bool>,
}

/// Schedule of the digests.
#[derive(Clone, Debug)]
pub struct Schedule {
    started: Instant,
    /// Digests sent within the zone.
    local: u32,
    /// Digests sent to the other zones.
    remote: u32,
    /// Ticks since the last digest to the other zones.
    since_remote: u32,
}

impl Schedule {
    /// Creates the schedule of a daemon that starts now.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            local: 0,
            remote: 0,
            since_remote: 0,
        }
    }

    /// Digests due at the next tick. The other zones get one at every `remote_every`-th tick
    /// and at each urgent one.
    ///
    /// Full digests are counted separately for the own zone and for the others. With a common
    /// count the ticks of the other zones may never coincide with a full digest, and the zones
    /// do not find one another.
    pub fn next(&mut self, remote_every: u32, urgent: bool, now: Instant) -> DueDigests {
        let is_starting = now.saturating_duration_since(self.started) < STARTUP;
        self.local += 1;
        self.since_remote += 1;
        let is_remote = urgent || self.since_remote >= remote_every;
        if is_remote {
            self.since_remote = 0;
            self.remote += 1;
        }
        let full_every = if remote_every > 1 {
            REMOTE_FULL_EVERY
        } else {
            FULL_EVERY
        };
        DueDigests {
            local: is_starting || self.local.is_multiple_of(FULL_EVERY),
            remote: is_remote.then(|| is_starting || self.remote.is_multiple_of(full_every)),
        }
    }
}

/// Another daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its address.
    pub address: Ipv4Addr,
    /// Name, incarnation and sequence number of its last digest; `None` before the first one.
    pub identity: Option<(CompactString, Incarnation, u64)>,
    /// When its last digest was received; when it was discovered before the first one.
    pub received: Instant,
    /// Since when the store answers it, as last advertised; `None` while it does not.
    pub store: Option<ReachableSpan>,
    /// Where it runs, as last advertised.
    pub location: Option<Location>,
}

/// The other daemons, sorted by address.
#[derive(Clone, Debug)]
pub struct Peers {
    own_address: Ipv4Addr,
    own_location: Location,
    rows: Vec<Peer>,
}

impl Peers {
    /// Starts with the seeds of the settings.
    pub fn new(address: Ipv4Addr, location: Location, seeds: &[Ipv4Addr], now: Instant) -> Self {
        let mut peers = Self {
            own_address: address,
            own_location: location,
            rows: Vec::new(),
        };
        for seed in seeds {
            peers.add(*seed, now);
        }
        peers
    }

    /// All other daemons that digests are sent to.
    pub fn rows(&self) -> &[Peer] {
        &self.rows
    }

    /// Adds the daemon at an address, if it is not known yet.
    pub fn add(&mut self, address: Ipv4Addr, now: Instant) {
        if address == self.own_address {
            return;
        }
        if let Err(at) = self.rows.binary_search_by_key(&address, |row| row.address) {
            let peer = Peer {
                address,
                identity: None,
                received: now,
                store: None,
                location: None,
            };
            self.rows.insert(at, peer);
        }
    }

    /// Records that a digest was received; `false` if it is a duplicate, or older than one
    /// already received from the same incarnation.
    pub fn record_digest(
        &mut self,
        address: Ipv4Addr,
        name: &CompactString,
        incarnation: Incarnation,
        sequence: u64,
        now: Instant,
    ) -> bool {
        self.add(address, now);
        let Ok(at) = self.rows.binary_search_by_key(&address, |row| row.address) else {
            return false;
        };
        let row = &mut self.rows[at];
        if let Some((_, known, last)) = &row.identity
            && *known == incarnation
            && *last >= sequence
        {
            return false;
        }
        row.identity = Some((name.clone(), incarnation, sequence));
        row.received = now;
        true
    }

    /// Updates what a daemon advertises about itself.
    pub fn update(&mut self, address: Ipv4Addr, location: Location, store: Option<ReachableSpan>) {
        if let Ok(at) = self.rows.binary_search_by_key(&address, |row| row.address) {
            self.rows[at].store = store;
            self.rows[at].location = Some(location);
        }
    }

    /// This daemon's address.
    pub fn own_address(&self) -> Ipv4Addr {
        self.own_address
    }

    /// Where this daemon runs.
    pub fn own_location(&self) -> Location {
        self.own_location
    }

    /// Whether a daemon runs in this daemon's zone.
    pub fn is_local(&self, peer: &Peer) -> bool {
        peer.location
            .is_some_and(|location| location.zone == self.own_location.zone)
    }

    /// Whether a daemon is known to run in another zone.
    pub fn is_remote(&self, peer: &Peer) -> bool {
        peer.location
            .is_some_and(|location| location.zone != self.own_location.zone)
    }

    /// Whether this daemon is one of its zone's watchers: fewer than [`WATCHERS`] responsive
    /// daemons of the zone rank before it.
    pub fn is_watcher(&self, now: Instant) -> bool {
        let rank = |location: Location, address: Ipv4Addr| (Reverse(location.memory_mb), address);
        let own = rank(self.own_location, self.own_address);
        let timeout = self.local_period() * MISSED_PERIODS;
        let is_responsive = |row: &&Peer| {
            row.identity.is_some() && now.saturating_duration_since(row.received) <= timeout
        };
        let responsive = self
            .rows
            .iter()
            .filter(|row| self.is_local(row))
            .filter(is_responsive);
        let before = responsive.filter(|row| {
            row.location
                .is_some_and(|location| rank(location, row.address) < own)
        });
        before.count() < WATCHERS
    }

    /// Addresses of the daemons that sent a digest recently, to be listed in digests.
    pub fn recent_addresses(&self, now: Instant) -> Vec<Ipv4Addr> {
        self.recent(now).map(|row| row.address).collect()
    }

    /// Daemons that sent a digest recently.
    pub fn recent(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let known = self.rows.iter().filter(|row| row.identity.is_some());
        known.filter(move |row| now.duration_since(row.received) <= RECENT)
    }

    /// Number of daemons with a lower address that sent a digest recently.
    pub fn recent_rank(&self, now: Instant) -> usize {
        let recent = self.recent(now);
        recent.filter(|row| row.address < self.own_address).count()
    }

    /// Number of daemons with a lower address, among all that are still known.
    pub fn known_rank(&self) -> usize {
        self.rows
            .partition_point(|row| row.address < self.own_address)
    }

    /// Time until the next digest within the zone.
    pub fn local_period(&self) -> Duration {
        let local = self.rows.iter().filter(|row| self.is_local(row)).count();
        MIN_PERIOD.max(PERIOD_PER_PEER * local as u32)
    }

    /// Ticks of the schedule from one digest to the other zones to the next.
    pub fn remote_every(&self) -> u32 {
        let all = MIN_PERIOD.max(PERIOD_PER_PEER * self.rows.len() as u32);
        (all.as_secs_f64() / self.local_period().as_secs_f64()).round() as u32
    }

    /// Time between two digests to a daemon of another zone.
    pub fn remote_period(&self) -> Duration {
        self.local_period() * self.remote_every()
    }

    /// Time without a digest after which a daemon of a zone counts as unresponsive.
    pub fn timeout(&self, zone: ZoneHash) -> Duration {
        if zone == self.own_location.zone {
            self.local_timeout()
        } else {
            self.remote_period() * MISSED_PERIODS
        }
    }

    /// Time without a digest after which a daemon of this zone counts as unresponsive, and
    /// without a zone summary after which another zone as a whole does.
    pub fn local_timeout(&self) -> Duration {
        self.local_period() * MISSED_PERIODS
    }

    /// Whether there are other daemons but none was ever heard from.
    pub fn is_isolated(&self) -> bool {
        !self.rows.is_empty() && self.rows.iter().all(|row| row.identity.is_none())
    }

    /// Removes daemons that have been unresponsive for long.
    pub fn expire(&mut self, now: Instant) {
        self.rows
            .retain(|row| now.duration_since(row.received) <= PEER_TTL);
    }
}
