//! What daemons tell one another, and who they are.
//!
//! Each sends its whole state in one datagram, several times a second, to all
//! others it knows. A datagram that is lost, late or repeated does no harm, and
//! nothing hangs when a partition swallows connections. Daemons are learned from
//! the settings' few seeds and from one another, so no call to the store is made
//! for it.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::contact::Span;
use crate::Incarnation;

/// After how long a daemon that was never heard, or no longer, is forgotten. It is
/// longer than partitions usually last, so the two sides find each other again.
const FORGET: Duration = Duration::from_secs(40);
/// Time between digests among few daemons. What is not told yet may be let in
/// twice; a quarter of a second of a flood is well within the allowance's slack.
const PERIOD: Duration = Duration::from_millis(250);
/// Time between digests for each other daemon, so that what one daemon has to read
/// stays near 125 datagrams a second however many there are. Its cost by itself was
/// not measured.
const EACH: Duration = Duration::from_millis(8);
/// Periods after which a daemon that was not heard counts as silent.
const MISSED: u32 = 4;
/// Daemons up to this long ago are told on.
const LATELY: Duration = Duration::from_secs(5);

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
}

/// The other daemons, sorted by address.
#[derive(Clone, Debug)]
pub struct Peers {
    me: Ipv4Addr,
    rows: Vec<Peer>,
}

impl Peers {
    /// Begins with the seeds of the settings.
    pub fn new(me: Ipv4Addr, seeds: &[Ipv4Addr], now: Instant) -> Self {
        let mut peers = Self {
            me,
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

    /// Notes what a daemon tells of its contact with the store.
    pub fn tell_contact(&mut self, address: Ipv4Addr, contact: Option<Span>) {
        if let Ok(at) = self.rows.binary_search_by_key(&address, |row| row.address) {
            self.rows[at].contact = contact;
        }
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

    /// Time until the next digest.
    pub fn period(&self) -> Duration {
        PERIOD.max(EACH * self.rows.len() as u32)
    }

    /// After how long without a word a daemon counts as silent.
    pub fn silent(&self) -> Duration {
        self.period() * MISSED
    }

    /// Forgets daemons that are silent for long.
    pub fn expire(&mut self, now: Instant) {
        self.rows
            .retain(|row| now.duration_since(row.heard) <= FORGET);
    }
}
