//! The other daemons that this one knows, and which of them exchange digests with it.
//!
//! Load: a thousand daemons on hosts with a tenth of a core, each of which serves less than one
//! request a second. What a daemon hears must not grow with their number. So digests follow a
//! tree: each daemon sends its own state to the watchers of its zone, the watchers of all zones
//! exchange the sums of their zones, and a watcher sends the sums of the whole fleet to the
//! daemons of its zone. In a small deployment every daemon is a watcher and the tree is flat.
//!
//! The watchers of a zone are the daemons on its largest hosts. Every daemon ranks those that it
//! knows, without an election. A watcher that becomes silent is passed over, and the next in rank
//! takes its place as soon as it notices the same. Daemons that disagree do no harm: a daemon may
//! be sent digests that it does not need.
//!
//! Daemons are discovered through the few seeds of the settings. A daemon that knows no watcher of
//! its zone asks, and whoever is asked answers with the daemons that it knows there. Watchers list
//! the daemons that they hear themselves; whoever relays such a list does not vouch for it, so a
//! daemon that has ended is not kept alive by hearsay. A few digests to random daemons join parts
//! of the fleet that have lost each other.

mod roster;

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

pub use self::roster::{Candidate, ZoneRoster};
use super::connectivity::ReachableSpan;
use crate::{Incarnation, Revision, ZoneHash};

/// Number of watchers in a zone. With two, the other one covers the time until the loss of
/// one is detected.
pub const WATCHERS: usize = 2;
/// Time between two digests. Requests that are not reported yet may be admitted twice; a quarter
/// of a second of a flood is well within the slack of an allowance.
pub const PERIOD: Duration = Duration::from_millis(250);
/// Bytes a second of sums that a watcher sends to each daemon of its zone; four fifths of what a
/// daemon may receive for control. Sums of many teams and endpoints are sent less often.
const SUM_BYTES_PER_S: f64 = 16_000.0;
/// Digest periods without a digest after which a daemon counts as unresponsive.
pub const MISSED_PERIODS: u32 = 4;
/// Time without news of a daemon after which it is removed. It is longer than partitions
/// usually last, so the two sides find each other again.
const PEER_TTL: Duration = Duration::from_secs(40);
/// Age of the last news of a daemon up to which it counts as running.
const RECENT: Duration = Duration::from_secs(5);
/// Age of the store's last answer from which on a watcher is passed over. Answers are further apart
/// than that only if the store does not answer: a watch and the pause before it take less.
const BLIND_AFTER: Duration = Duration::from_millis(1650);
/// How long a watcher that became silent is passed over, unless it is heard from again.
const FAILED_TIME: Duration = Duration::from_secs(5);
/// How long a daemon gets no forwarded request after it did not take one.
const CUT_OFF_TIME: Duration = Duration::from_secs(2);
/// How long a daemon that has just started asks for the watchers of its zone, though it takes
/// itself for one.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Where a daemon runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Its zone.
    pub zone: ZoneHash,
    /// Memory of its host, in megabytes; 0 if it is not known.
    pub memory_mb: u32,
}

/// What a daemon states of itself in each digest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Where it runs.
    pub location: Location,
    /// Since when the store answers it; `None` while it does not.
    pub store: Option<ReachableSpan>,
    /// Time until its next digest.
    pub period: Duration,
    /// Whether it is a watcher of its zone.
    pub is_watcher: bool,
    /// Whether it is about to end.
    pub is_closing: bool,
    /// Whether the store did not answer it while it was a watcher.
    pub is_blind: bool,
    /// Watcher whose sums it relies on.
    pub follows: Option<Ipv4Addr>,
    /// Revision up to which all changes of the operators are in force there; 0 before the first.
    pub config_read: Revision,
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
    /// When another daemon last listed it as running.
    pub listed: Option<Instant>,
    /// Where it runs, as far as known.
    pub location: Option<Location>,
    /// Since when the store answers it, as last stated; `None` while it does not.
    pub store: Option<ReachableSpan>,
    /// Time from its last digest to the next.
    period: Duration,
    is_watcher: bool,
    is_closing: bool,
    follows: Option<Ipv4Addr>,
    config_read: Revision,
    /// What its link carries, in kilobytes a second; 0 if it is not known.
    link: u32,
    /// Whether it is a seed of the settings.
    is_seed: bool,
    /// Sequence number of the last digest with its own use.
    use_sequence: u64,
    /// Since when digests are expected from it as a watcher.
    expected: Option<Instant>,
    /// When it was last noticed to be silent as a watcher.
    failed: Option<Instant>,
    /// Hashes of the services that it does not reach, and until when that holds.
    cut_off: Vec<(u32, Instant)>,
    /// Hashes of the services for which it has no room, and until when it takes no forwarded
    /// request for them.
    full: Vec<(u32, Instant)>,
}

/// The other daemons, sorted by address.
#[derive(Clone, Debug)]
pub struct Peers {
    own_address: Ipv4Addr,
    own_location: Location,
    started: Instant,
    is_closing: bool,
    rows: Vec<Peer>,
    /// The other watchers of this zone.
    watchers: Vec<Ipv4Addr>,
    is_watcher: bool,
    /// When this daemon became a watcher.
    watcher_since: Instant,
    /// When the store was last noticed not to answer this daemon as a watcher.
    blind_at: Option<Instant>,
    /// Address after which the next part of the roster begins, of this zone and of all.
    zone_cursor: Ipv4Addr,
    fleet_cursor: Ipv4Addr,
}

/// Rank among the daemons of a zone; the lowest are its watchers.
fn rank(location: Location, address: Ipv4Addr) -> (Reverse<u32>, Ipv4Addr) {
    (Reverse(location.memory_mb), address)
}

/// Time until the next sums to the daemons of a zone, after sums of `bytes` bytes.
pub fn sums_period(bytes: usize) -> Duration {
    PERIOD.max(Duration::from_secs_f64(bytes as f64 / SUM_BYTES_PER_S))
}

impl Peer {
    fn new(address: Ipv4Addr, now: Instant) -> Self {
        Self {
            address,
            identity: None,
            received: now,
            listed: None,
            location: None,
            store: None,
            period: PERIOD,
            is_watcher: false,
            is_closing: false,
            follows: None,
            config_read: 0,
            link: 0,
            is_seed: false,
            use_sequence: 0,
            expected: None,
            failed: None,
            cut_off: Vec::new(),
            full: Vec::new(),
        }
    }

    /// When a digest of it was last received; `None` before the first one.
    fn heard(&self) -> Option<Instant> {
        self.identity.as_ref().map(|_| self.received)
    }

    /// When it was last known to run.
    fn seen(&self) -> Option<Instant> {
        self.heard().max(self.listed)
    }

    /// Whether a digest of it was received lately.
    fn is_heard(&self, now: Instant) -> bool {
        self.heard()
            .is_some_and(|at| now.saturating_duration_since(at) <= RECENT)
    }

    fn is_recent(&self, now: Instant) -> bool {
        self.seen()
            .is_some_and(|at| now.saturating_duration_since(at) <= RECENT)
    }

    /// Time without a digest after which it counts as unresponsive.
    pub fn timeout(&self) -> Duration {
        self.period * MISSED_PERIODS
    }

    /// Sequence number of the last digest with its own use.
    pub fn use_sequence(&self) -> u64 {
        self.use_sequence
    }

    /// Watcher whose sums it relies on.
    pub fn follows(&self) -> Option<Ipv4Addr> {
        self.follows
    }
}

impl Peers {
    /// Starts with the seeds of the settings.
    pub fn new(address: Ipv4Addr, location: Location, seeds: &[Ipv4Addr], now: Instant) -> Self {
        let mut peers = Self {
            own_address: address,
            own_location: location,
            started: now,
            is_closing: false,
            rows: Vec::new(),
            watchers: Vec::new(),
            is_watcher: true,
            watcher_since: now,
            blind_at: None,
            zone_cursor: Ipv4Addr::UNSPECIFIED,
            fleet_cursor: Ipv4Addr::UNSPECIFIED,
        };
        for seed in seeds {
            peers.add_seed(*seed, now);
        }
        peers
    }

    /// All other daemons that are known.
    pub fn rows(&self) -> &[Peer] {
        &self.rows
    }

    /// The daemon at an address, if it is known.
    pub fn get(&self, address: Ipv4Addr) -> Option<&Peer> {
        let at = self.rows.binary_search_by_key(&address, |row| row.address);
        at.ok().map(|at| &self.rows[at])
    }

    /// Adds a seed of the settings.
    pub fn add_seed(&mut self, address: Ipv4Addr, now: Instant) {
        if let Some(row) = self.entry(address, now) {
            row.is_seed = true;
        }
    }

    /// Row of an address, added if it is missing; `None` for this daemon's own.
    fn entry(&mut self, address: Ipv4Addr, now: Instant) -> Option<&mut Peer> {
        if address == self.own_address {
            return None;
        }
        let found = self.rows.binary_search_by_key(&address, |row| row.address);
        let at = found.unwrap_or_else(|at| {
            self.rows.insert(at, Peer::new(address, now));
            at
        });
        Some(&mut self.rows[at])
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
        let Some(row) = self.entry(address, now) else {
            return false;
        };
        match &row.identity {
            Some((_, known, last)) if *known == incarnation => {
                if *last >= sequence {
                    return false;
                }
            }
            _ => row.use_sequence = 0,
        }
        row.identity = Some((name.clone(), incarnation, sequence));
        row.received = now;
        true
    }

    /// Updates what a daemon states of itself; returns whether it is a watcher that is passed over
    /// from now on.
    pub fn update(&mut self, address: Ipv4Addr, statement: Statement, now: Instant) -> bool {
        let is_watcher = self.watchers.binary_search(&address).is_ok();
        if let Some(row) = self.entry(address, now) {
            row.location = Some(statement.location);
            row.store = statement.store;
            row.period = statement.period.max(PERIOD);
            row.is_watcher = statement.is_watcher;
            row.is_closing = statement.is_closing;
            row.failed = statement.is_blind.then_some(now);
            row.follows = statement.follows;
            row.config_read = statement.config_read;
        }
        is_watcher && (statement.is_blind || statement.is_closing)
    }

    /// Records what the link of a daemon carries, in kilobytes a second; 0 if it does not know.
    pub fn record_link(&mut self, address: Ipv4Addr, link: u32, now: Instant) {
        if let Some(row) = self.entry(address, now) {
            row.link = link;
        }
    }

    /// What the link of a daemon carries, in kilobytes a second; 0 if it is not known.
    pub fn link(&self, address: Ipv4Addr) -> u32 {
        self.get(address).map_or(0, |row| row.link)
    }

    /// Replaces the services that a daemon states not to reach, by the hashes of their names.
    pub fn set_cut_off(&mut self, address: Ipv4Addr, services: &[u32], now: Instant) {
        if let Some(row) = self.entry(address, now) {
            let services = services.iter();
            row.cut_off = services.map(|service| (*service, now + RECENT)).collect();
        }
    }

    /// Records that a daemon did not take a forwarded request, as it does not reach the service.
    pub fn record_cut_off(&mut self, address: Ipv4Addr, service: u32, now: Instant) {
        if let Some(row) = self.entry(address, now) {
            row.cut_off.retain(|known| known.0 != service);
            row.cut_off.push((service, now + CUT_OFF_TIME));
        }
    }

    /// Records that a daemon did not take a forwarded request, as it has no room for a service
    /// until some moment.
    pub fn record_full(&mut self, address: Ipv4Addr, service: u32, until: Instant, now: Instant) {
        if let Some(row) = self.entry(address, now) {
            row.full.retain(|known| known.0 != service);
            row.full.push((service, until));
        }
    }

    /// Random daemon to which this one forwards a request for a service: one of this zone, or one of the
    /// other `zones`, the more likely the more daemons of this zone do not reach the service. The few that
    /// do must not get the requests of all others. `None` if there is none for which `may` holds.
    /// `choose` returns a number below the given one.
    pub fn forwarder(
        &self,
        service: u32,
        zones: &[ZoneHash],
        may: impl Fn(Ipv4Addr) -> bool,
        now: Instant,
        mut choose: impl FnMut(usize) -> usize,
    ) -> Option<Ipv4Addr> {
        let is_cut_off = |row: &&Peer| {
            let mut refusals = row.cut_off.iter();
            refusals.any(|(known, until)| *known == service && now < *until)
        };
        let may_take = |row: &&Peer| {
            let mut refusals = row.cut_off.iter().chain(&row.full);
            let is_refused = refusals.any(|(known, until)| *known == service && now < *until);
            let is_allowed = row.location.is_some_and(|at| zones.contains(&at.zone));
            is_allowed && !is_refused && !row.is_closing && may(row.address)
        };
        let (local, remote): (Vec<&Peer>, Vec<&Peer>) = self
            .recent(now)
            .filter(may_take)
            .partition(|row| self.is_local(row));
        let cut_off = self.recent(now).filter(|row| self.is_local(row));
        let cut_off = cut_off.filter(is_cut_off).count();
        if remote.is_empty() {
            return (!local.is_empty()).then(|| local[choose(local.len())].address);
        }
        let found = match local.len() + cut_off {
            0 => None,
            count => local.get(choose(count)),
        };
        let found = found.or_else(|| remote.get(choose(remote.len())));
        found.map(|row| row.address)
    }

    /// Daemons that have all changes of the operators up to a revision in force: those of this zone
    /// and those of the others.
    pub fn config_sources(
        &self,
        revision: Revision,
        now: Instant,
    ) -> (Vec<Ipv4Addr>, Vec<Ipv4Addr>) {
        let rows = self.rows.iter().filter(|row| row.is_heard(now));
        let rows = rows.filter(|row| row.config_read >= revision.max(1));
        let (local, remote): (Vec<&Peer>, Vec<&Peer>) = rows.partition(|row| self.is_local(row));
        let addresses = |rows: Vec<&Peer>| rows.into_iter().map(|row| row.address).collect();
        (addresses(local), addresses(remote))
    }

    /// Whether a daemon is heard that has the configuration in force, and another daemon of this zone
    /// runs.
    pub fn hears_source(&self, now: Instant) -> bool {
        let mut heard = self.rows.iter().filter(|row| row.is_heard(now));
        let has_source = heard.any(|row| row.config_read > 0);
        has_source && self.recent(now).any(|row| self.is_local(row))
    }

    /// Records the sequence number of a digest with the sender's own use.
    pub fn record_use(&mut self, address: Ipv4Addr, sequence: u64, now: Instant) {
        if let Some(row) = self.entry(address, now) {
            row.use_sequence = sequence;
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

    /// Records that this daemon is about to end; another one takes its place as a watcher.
    pub fn close(&mut self) {
        self.is_closing = true;
    }

    /// Records when the store last answered this daemon or the watcher that it is fed by. A watcher
    /// that the store does not answer is passed over, as one that is silent.
    pub fn record_store(&mut self, answered: Instant, now: Instant) {
        let span = now.saturating_duration_since(self.watcher_since.max(answered));
        if self.is_watcher && span > BLIND_AFTER {
            self.blind_at = Some(now);
        }
    }

    /// When the store counts as not answering this daemon, if it does not answer until then: the
    /// others have to be told at once.
    pub fn blind_from(&self, answered: Instant) -> Option<Instant> {
        let from = self.watcher_since.max(answered) + BLIND_AFTER;
        self.is_watcher.then_some(from)
    }

    /// Whether the store did not answer this daemon while it was a watcher.
    pub fn is_blind(&self, now: Instant) -> bool {
        self.blind_at
            .is_some_and(|at| now.saturating_duration_since(at) <= FAILED_TIME)
    }

    /// Whether this daemon is about to end.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    fn is_local(&self, peer: &Peer) -> bool {
        peer.location
            .is_some_and(|location| location.zone == self.own_location.zone)
    }

    /// Whether a daemon is known to run in another zone.
    fn is_remote(&self, peer: &Peer) -> bool {
        peer.location
            .is_some_and(|location| location.zone != self.own_location.zone)
    }

    /// Determines the watchers of this zone anew. Called before each digest.
    pub fn update_watchers(&mut self, now: Instant) {
        for row in &mut self.rows {
            if self.watchers.binary_search(&row.address).is_err() {
                row.expected = None;
                continue;
            }
            let since = row.heard().max(row.expected);
            if since.is_some_and(|at| now.saturating_duration_since(at) > row.timeout()) {
                row.failed = Some(now);
            }
        }
        let first = self.first_ranked(now, WATCHERS, |row| {
            let failed = row.failed;
            failed.is_none_or(|at| now.saturating_duration_since(at) > FAILED_TIME)
        });
        // Without any other daemon there is nobody else to read the store.
        let is_watcher =
            first.contains(&self.own_address) || (first.is_empty() && !self.is_closing);
        if is_watcher && !self.is_watcher {
            self.watcher_since = now;
        }
        self.is_watcher = is_watcher;
        self.watchers = first;
        self.watchers.retain(|address| *address != self.own_address);
        self.watchers.sort_unstable();
        for row in &mut self.rows {
            if self.watchers.binary_search(&row.address).is_ok() {
                row.expected.get_or_insert(now);
            }
        }
    }

    /// Addresses of the first running daemons of this zone by rank, this one included.
    fn first_ranked(
        &self,
        now: Instant,
        count: usize,
        may: impl Fn(&Peer) -> bool,
    ) -> Vec<Ipv4Addr> {
        let local = self.rows.iter().filter(|row| self.is_local(row));
        let local = local.filter(|row| row.is_recent(now) && !row.is_closing && may(row));
        let local = local.filter_map(|row| Some(rank(row.location?, row.address)));
        let own = rank(self.own_location, self.own_address);
        let own = (!self.is_closing && !self.is_blind(now)).then_some(own);
        let mut ranks: Vec<_> = local.chain(own).collect();
        ranks.sort_unstable();
        ranks.truncate(count);
        ranks.into_iter().map(|row| row.1).collect()
    }

    /// Whether this daemon is one of its zone's watchers.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// The other watchers of this zone, sorted.
    pub fn watchers(&self) -> &[Ipv4Addr] {
        &self.watchers
    }

    /// Daemons to which this one sends its own use: the watchers, and those that would be if they
    /// were not silent, so that both find each other at the end of a partition.
    pub fn parents(&self, now: Instant) -> Vec<Ipv4Addr> {
        let mut parents = self.first_ranked(now, WATCHERS, |_| true);
        parents.retain(|address| *address != self.own_address);
        parents.extend(&self.watchers);
        parents.sort_unstable();
        parents.dedup();
        parents
    }

    /// Watcher whose sums this daemon relies on: of those that are heard from, the first by a hash
    /// of both addresses, so that the daemons of a zone are spread over its watchers.
    pub fn followed(&self, now: Instant) -> Option<Ipv4Addr> {
        let rows = self.watchers.iter().filter_map(|at| self.get(*at));
        let rows = rows.filter(|row| {
            let heard = row.heard();
            heard.is_some_and(|at| now.saturating_duration_since(at) <= row.timeout())
        });
        let (own, followed) = (self.own_address, rows.filter(|row| row.is_watcher));
        let hash = |row: &&Peer| super::sharers::rank(u32::from(row.address), own);
        followed.min_by_key(hash).map(|row| row.address)
    }

    /// Daemons of this zone that get digests from this one as their watcher.
    pub fn members(&self) -> impl Iterator<Item = &Peer> {
        let rows = self.rows.iter().filter(|row| self.is_local(row));
        rows.filter(|row| {
            row.identity.is_some() && self.watchers.binary_search(&row.address).is_err()
        })
    }

    /// Addresses of all known daemons of this zone, also of those that may not run.
    pub fn local_addresses(&self) -> Vec<Ipv4Addr> {
        let rows = self.rows.iter().filter(|row| self.is_local(row));
        rows.map(|row| row.address).collect()
    }

    /// Watchers of the other zones.
    pub fn remote_watchers(&self) -> impl Iterator<Item = &Peer> {
        let rows = self.rows.iter().filter(|row| self.is_remote(row));
        rows.filter(|row| row.is_watcher && !row.is_closing)
    }

    /// Daemons that get a digest by which the fleet stays together: one chosen from this zone, one
    /// from all, and the seeds that were never heard from. `choose` returns a number below the
    /// given one.
    pub fn partners(&self, now: Instant, mut choose: impl FnMut(usize) -> usize) -> Vec<Ipv4Addr> {
        let seeds = self.rows.iter().filter(|row| row.is_seed);
        let silent = seeds.filter(|row| row.identity.is_none());
        let mut partners: Vec<Ipv4Addr> = silent.map(|row| row.address).collect();
        let recent: Vec<&Peer> = self.rows.iter().filter(|row| row.is_recent(now)).collect();
        let (local, all): (Vec<&&Peer>, _) = (
            recent.iter().filter(|row| self.is_local(row)).collect(),
            &recent,
        );
        if !local.is_empty() {
            partners.push(local[choose(local.len())].address);
        }
        if !all.is_empty() {
            partners.push(all[choose(all.len())].address);
        }
        // After a partition or a power loss, daemons that were not heard from lately are asked too.
        let old: Vec<&Peer> = self.rows.iter().filter(|row| !row.is_recent(now)).collect();
        if !old.is_empty() {
            partners.push(old[choose(old.len())].address);
        }
        partners.sort_unstable();
        partners.dedup();
        partners
    }

    /// Whether this daemon has to ask others for the watchers of its zone: it hears none, and is
    /// none itself or has only just started, so that it may not know those that rank before it.
    pub fn must_ask(&self, now: Instant) -> bool {
        let is_starting = now.saturating_duration_since(self.started) < DISCOVERY_TIME;
        let is_alone = self.rows.is_empty() || (self.is_watcher && !is_starting);
        !is_alone && self.followed(now).is_none()
    }

    /// Whether there are other daemons but none was ever heard from.
    pub fn is_isolated(&self) -> bool {
        !self.rows.is_empty() && self.rows.iter().all(|row| row.identity.is_none())
    }

    /// Addresses of the daemons that run.
    pub fn recent_addresses(&self, now: Instant) -> Vec<Ipv4Addr> {
        self.recent(now).map(|row| row.address).collect()
    }

    /// Daemons that run.
    pub fn recent(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.rows.iter().filter(move |row| row.is_recent(now))
    }

    /// Number of running daemons that precede this one in taking over a duty: watchers first.
    pub fn recent_rank(&self, now: Instant) -> usize {
        let own = (!self.is_watcher, self.own_address);
        let recent = self.recent(now);
        recent
            .filter(|row| (!row.is_watcher, row.address) < own)
            .count()
    }

    /// Number of daemons with a lower address, among all that are still known.
    pub fn known_rank(&self) -> usize {
        self.rows
            .partition_point(|row| row.address < self.own_address)
    }

    /// Removes daemons of which nothing was heard for long.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| {
            let last = row.seen().unwrap_or(row.received);
            now.saturating_duration_since(last) <= PEER_TTL
        });
    }
}
