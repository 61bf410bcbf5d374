//! Lists of daemons that run, by which the others learn of them.
//!
//! A watcher lists the daemons of its zone that it hears itself, a part in each digest. So a daemon
//! that has ended disappears from the lists, however many daemons repeat them.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use super::{Location, PERIOD, Peers, rank};
use crate::ZoneHash;

/// Time in which a watcher lists all daemons that it knows, a part in each digest.
const ROSTER_TIME: Duration = Duration::from_secs(3);
/// Daemons of a zone that are listed as its next watchers. More of them may end at once, but then
/// the zone's daemons ask those that are left.
const LISTED_CANDIDATES: usize = 6;

/// Daemon that is listed as a watcher, or as one that would be next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its address.
    pub address: Ipv4Addr,
    /// Where it runs.
    pub location: Location,
    /// Whether it is a watcher.
    pub is_watcher: bool,
}

/// Daemons that run, by zone.
pub type ZoneRoster = Vec<(ZoneHash, Vec<Ipv4Addr>)>;

impl Peers {
    /// Merges a part of a roster.
    pub fn merge_roster(&mut self, zones: &ZoneRoster, candidates: &[Candidate], now: Instant) {
        for (zone, addresses) in zones {
            for address in addresses {
                if let Some(row) = self.entry(*address, now) {
                    row.listed = Some(now);
                    let memory_mb = row.location.map_or(0, |known| known.memory_mb);
                    let zone = *zone;
                    row.location = Some(Location { zone, memory_mb });
                }
            }
        }
        for candidate in candidates {
            if let Some(row) = self.entry(candidate.address, now) {
                row.listed = Some(now);
                row.location = Some(candidate.location);
                if !row.is_heard(now) {
                    row.is_watcher = candidate.is_watcher;
                }
            }
        }
    }

    /// Next part of the roster of this zone: the daemons that this one hears itself.
    pub fn zone_roster(&mut self, now: Instant) -> ZoneRoster {
        let rows = self.rows.iter().filter(|row| self.is_local(row));
        let all = rows.filter(|row| row.is_heard(now)).map(|row| row.address);
        let all = all.chain([self.own_address]).collect();
        let (part, cursor) = next_part(all, self.zone_cursor, PERIOD);
        self.zone_cursor = cursor;
        vec![(self.own_location.zone, part)]
    }

    /// Next part of the roster of all zones, in digests that are sent each `period`.
    pub fn fleet_roster(&mut self, period: Duration, now: Instant) -> ZoneRoster {
        let rows = self.rows.iter().filter(|row| row.is_recent(now));
        let all = rows.map(|row| row.address).chain([self.own_address]);
        let (part, cursor) = next_part(all.collect(), self.fleet_cursor, period);
        self.fleet_cursor = cursor;
        let mut roster = ZoneRoster::new();
        for address in part {
            let location = if address == self.own_address {
                Some(self.own_location)
            } else {
                self.get(address).and_then(|row| row.location)
            };
            let Some(Location { zone, .. }) = location else {
                continue;
            };
            match roster.binary_search_by_key(&zone, |row| row.0) {
                Ok(at) => roster[at].1.push(address),
                Err(at) => roster.insert(at, (zone, vec![address])),
            }
        }
        roster
    }

    /// The daemons of a zone that would be its watchers first, and all known watchers.
    pub fn candidates(&self, zone: ZoneHash, now: Instant) -> Vec<Candidate> {
        let own = Candidate {
            address: self.own_address,
            location: self.own_location,
            is_watcher: self.is_watcher,
        };
        let own = (!self.is_closing).then_some(own);
        let rows = self.rows.iter().filter(|row| row.is_recent(now));
        let rows = rows.filter(|row| !row.is_closing && row.failed.is_none());
        let rows = rows.filter_map(|row| {
            Some(Candidate {
                address: row.address,
                location: row.location?,
                // Hearsay of watchers would go round for ever.
                is_watcher: row.is_watcher && row.is_heard(now),
            })
        });
        let mut all: Vec<Candidate> = rows.chain(own).collect();
        all.sort_unstable_by_key(|row| rank(row.location, row.address));
        let mut listed = 0;
        all.retain(|row| {
            let is_next = row.location.zone == zone && listed < LISTED_CANDIDATES;
            listed += usize::from(is_next);
            is_next || row.is_watcher
        });
        all
    }
}

/// The next addresses after `cursor` in a ring of all, so many that a list sent each `period`
/// has all of them within [`ROSTER_TIME`]; and the new cursor.
fn next_part(
    mut all: Vec<Ipv4Addr>,
    cursor: Ipv4Addr,
    period: Duration,
) -> (Vec<Ipv4Addr>, Ipv4Addr) {
    all.sort_unstable();
    let share = period.as_secs_f64() / ROSTER_TIME.as_secs_f64();
    let count = ((all.len() as f64 * share).ceil() as usize).clamp(1, all.len());
    let from = all.partition_point(|address| *address <= cursor);
    let ring = all[from..].iter().chain(&all[..from]);
    let part: Vec<Ipv4Addr> = ring.take(count).copied().collect();
    let last = part.last().copied().unwrap_or(cursor);
    (part, last)
}
