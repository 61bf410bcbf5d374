//! Table of endpoints: their registry entries and the requests in progress at each.
//!
//! While the registry is unavailable, entries expire. An entry that is missing right after the
//! registry's return may belong to an endpoint that still runs and has not registered again yet.
//! Dropping such endpoints at once would empty the table, and every caller would be rejected.
//! So the endpoint becomes doubtful and stays in use for [`REREGISTER_GRACE`] before it is
//! dropped. An endpoint gets no new request from the instant at which its entry is removed while
//! the registry is available, or is marked as leaving. If only this daemon was partitioned from
//! the registry, the same holds for missing entries as soon as another daemon advertises that
//! the registry was available meanwhile.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::breaker::CircuitBreaker;
use super::brittle::{ConcurrencyLimit, RejectionRate, step};
use super::crash::{IncarnationHash, incarnation_hash};
use super::departures::Departures;
use super::engine::{EngineSpeed, ServiceSpeed};
use super::evacuation::{EvacuationChanges, Evacuations};
use super::limit::{AnnouncedLimit, Limit, Source};
use super::listing::{ColdTime, Listing};
use super::load_reports::{Load, LoadReports, Reporter, sum_loads};
use super::pace::{EndpointPace, Pace};
use super::prefix_cache::PrefixCache;
use super::quota::name_hash;
use super::rests::Rests;
use super::sharers::Sharers;
use super::silence::Silence;
use super::slow_start::{ColdEndpoint, SlowStart};
use super::tombstones::Tombstones;
use crate::{EndpointId, ServiceId, ZoneHash, ZoneId};

/// How long an endpoint stays in use whose entry is missing after an outage of the
/// registry. Running endpoints have registered again within about two seconds, and an endpoint
/// that left must get nothing two seconds after the registry shows it.
pub const REREGISTER_GRACE: Duration = Duration::from_millis(1800);

/// Tokens after the first event that a stream must have for its token time to be learned.
/// Shorter streams arrive in one or two events; read together, their tokens seem to have
/// taken no time.
const MIN_STREAM_TOKENS: u32 = 20;

/// Request in progress at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlight {
    /// Number of the request in this daemon.
    pub number: u64,
    /// Prompt tokens that the engine has to prefill.
    pub prefill: f64,
    /// Prompt tokens that were queued before them when the request was sent.
    pub ahead: f64,
    /// Tokens that the request will hold in the KV cache when it ends.
    pub kv_tokens: u64,
    /// Pace that was expected of the endpoint when it was sent.
    pub pace: f64,
    /// When it was sent.
    pub sent: Instant,
    /// When its first event arrived.
    pub first_event: Option<Instant>,
}

/// Whether an endpoint may get requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointState {
    /// Registered.
    Ready,
    /// Its entry is missing since an outage of the registry; in use until this moment.
    Doubtful(Instant),
    /// It is draining and gets no new request.
    Leaving,
}

impl EndpointState {
    /// Whether an endpoint in this state may get requests now. Doubtful endpoints are dropped
    /// only at intervals; one whose grace is over must not stay in use until the next of them.
    pub(crate) fn is_in_use(self, now: Instant) -> bool {
        match self {
            Self::Ready => true,
            Self::Doubtful(until) => now < until,
            Self::Leaving => false,
        }
    }
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Entry of the registry.
    pub listing: Listing,
    /// Hash of its id, by which daemons name it in messages to each other.
    pub hash: u32,
    /// Whether it may get requests.
    pub state: EndpointState,
    /// Requests in progress from this daemon, sorted by number.
    pub in_flight: Vec<InFlight>,
    /// Load from all other daemons.
    pub remote_load: Load,
    /// Learned speed.
    pub speed: EngineSpeed,
    /// Announced pace.
    pub pace: EndpointPace,
    /// Circuit breaker, by the results of its requests.
    pub breaker: CircuitBreaker,
    /// Prompt prefixes that it probably has in its KV cache.
    pub cache: PrefixCache,
    /// Until when it counts as full, after it reported to be so.
    pub full_until: Option<Instant>,
    /// Request rate that it accepts from all daemons together, if it ever announced a limit.
    pub limit: Option<Limit>,
    /// Its slow start, while it is cold.
    pub cold: Option<ColdEndpoint>,
    /// Whether its zone is evacuated, so that it gets no new request.
    pub is_evacuated: bool,
    /// Until when it wants no request from this daemon; the time may be over.
    pub rest_until: Option<Instant>,
    /// Limit for this daemon's requests in progress there, while its service is brittle.
    pub concurrency: Option<ConcurrencyLimit>,
    /// What shows whether this daemon reaches it.
    pub link: LinkEvidence,
    /// What shows whether it reads what it is sent.
    pub silence: Silence,
}

/// What shows whether this daemon reaches an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkEvidence {
    /// When the last request was sent that it gave a sound answer to.
    pub answered: Option<Instant>,
    /// When an attempt at it last failed.
    pub failed: Option<Instant>,
    /// When it last accepted a connection in a check.
    pub accepted: Option<Instant>,
}

impl LinkEvidence {
    /// Whether it has answered a request sent since this moment, and no attempt has failed after that.
    pub fn is_sound(&self, since: Instant) -> bool {
        self.answered >= Some(since) && self.answered > self.failed
    }

    /// Whether it has accepted a connection since this moment, and no attempt has failed after that.
    fn is_accepting(&self, since: Instant) -> bool {
        self.accepted >= Some(since) && self.accepted > self.failed
    }

    /// Rank in which endpoints are tried while the links to a service are impaired since some moment:
    /// those that accepted a connection, then those at which no attempt has failed.
    pub(crate) fn trial_rank(&self, since: Instant) -> u8 {
        if self.is_accepting(since) {
            0
        } else {
            1 + u8::from(self.failed >= Some(since))
        }
    }
}

/// A service whose endpoints fail if they have to reject too much.
#[derive(Clone, Debug, PartialEq)]
struct BrittleService {
    name: ServiceId,
    tolerated: RejectionRate,
    /// When an endpoint last announced it.
    announced: Instant,
}

/// Endpoints of a service that moves to a new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionEndpoints {
    /// Endpoints of the new version.
    pub new: u32,
    /// Endpoints of other versions.
    pub old: u32,
    /// Requests in progress at these.
    pub old_requests: u32,
}

/// All endpoints, sorted by id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointTable {
    rows: Vec<Endpoint>,
    /// Ids by their hash, sorted by it.
    hashes: Vec<(u32, EndpointId)>,
    /// Learned speed of the engines of each service, sorted by service.
    service_speeds: Vec<(ServiceId, ServiceSpeed)>,
    /// Speed of services for which none was learned yet.
    default_speed: ServiceSpeed,
    /// Current load reports of other daemons and zones.
    reports: LoadReports,
    /// Until when missing entries make their endpoints doubtful, after an outage.
    grace_until: Option<Instant>,
    /// Endpoints that left and have no row any more.
    tombstones: Tombstones,
    /// Daemons that share the limits which endpoints announce.
    sharers: Sharers,
    /// Daemons that share the rates of cold endpoints.
    daemons: Sharers,
    /// Slow starts of the services that have one, sorted by service.
    slow_starts: Vec<(ServiceId, SlowStart)>,
    /// Evacuated zones.
    evacuations: Evacuations,
    /// Services whose endpoints are brittle, sorted by name.
    brittle: Vec<BrittleService>,
    /// Endpoints that announced in their answers that they leave.
    departures: Departures,
    /// Rests that endpoints asked for.
    rests: Rests,
    /// Sorted hashes of endpoints that were silent when this daemon started and have no row yet.
    silent: Vec<u32>,
}

/// Effect of a registry change on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changed {
    /// A new endpoint may get requests.
    Joined,
    /// It gets no new request from now on.
    Left,
    /// It stays in use until this moment though its entry is missing.
    Doubted(Instant),
    /// Whether it may get requests did not change.
    Nothing,
}

impl EndpointTable {
    /// All endpoints, sorted by id.
    pub fn rows(&self) -> &[Endpoint] {
        &self.rows
    }

    /// All endpoints, to be changed in place; ids must stay.
    pub fn rows_mut(&mut self) -> &mut [Endpoint] {
        &mut self.rows
    }

    /// An endpoint by its id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.find(id).ok().map(|at| &self.rows[at])
    }

    /// An endpoint by its id, to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.find(id).ok().map(|at| &mut self.rows[at])
    }

    /// Addresses of a few random endpoints that should accept connections, of those for which
    /// `may` holds.
    pub fn check_targets(
        &self,
        count: usize,
        seed: u64,
        now: Instant,
        may: impl Fn(&Endpoint) -> bool,
    ) -> Vec<SocketAddr> {
        let rows = self.rows.iter();
        let rows = rows.filter(|row| row.is_running(now) && may(row));
        let mut rows: Vec<&Listing> = rows.map(|row| &row.listing).collect();
        rows.sort_by_cached_key(|row| xxh3_64_with_seed(row.id.as_bytes(), seed));
        rows.into_iter()
            .take(count)
            .map(|row| row.address)
            .collect()
    }

    /// Hashes of the endpoints that are silent.
    pub fn silent(&self) -> Vec<u32> {
        let rows = self.rows.iter().filter(|row| row.silence.is_silent());
        rows.map(|row| row.hash).collect()
    }

    /// Restores which endpoints were silent before this daemon started.
    pub fn restore_silent(&mut self, mut hashes: Vec<u32>) {
        hashes.sort_unstable();
        for row in &mut self.rows {
            if hashes.binary_search(&row.hash).is_ok() {
                row.silence = Silence::restored();
            }
        }
        hashes.retain(|hash| self.rows.iter().all(|row| row.hash != *hash));
        self.silent = hashes;
    }

    /// Begins the checks of silent endpoints that are due.
    pub fn begin_silence_checks(&mut self, now: Instant) -> Vec<EndpointId> {
        let rows = self.rows.iter_mut();
        let rows = rows.filter(|row| row.is_running(now));
        let due = rows.filter_map(|row| row.silence.begin_check().then_some(row));
        due.map(|row| row.listing.id.clone()).collect()
    }

    /// Addresses of all endpoints of a service.
    pub fn addresses(&self, service: &str) -> Vec<SocketAddr> {
        let rows = self
            .rows
            .iter()
            .filter(|row| row.listing.service == service);
        rows.map(|row| row.listing.address).collect()
    }

    /// Has endpoints of a service tried again whose circuit breakers are open, as the failures that
    /// opened them may not have been theirs.
    pub fn retry_breakers(&mut self, service: &str, now: Instant) {
        for row in &mut self.rows {
            if row.listing.service == service {
                row.breaker.retry(now);
            }
        }
    }

    /// Whether this daemon reaches an endpoint of a service that may get requests: one that has
    /// answered a request sent since this moment.
    pub fn is_any_sound(&self, service: &str, since: Instant, now: Instant) -> bool {
        let rows = self.rows.iter();
        let mut rows = rows.filter(|row| row.listing.service == service && row.is_usable(now));
        rows.any(|row| row.link.is_sound(since))
    }

    /// Records that endpoints at these addresses accepted a connection.
    pub fn record_accepted(&mut self, addresses: &[SocketAddr], now: Instant) {
        for row in &mut self.rows {
            if addresses.contains(&row.listing.address) {
                row.link.accepted = Some(now);
            }
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.listing.id.as_str().cmp(id))
    }

    /// Index of the endpoint whose id has this hash.
    fn find_hash(&self, hash: u32) -> Option<usize> {
        let at = self.hashes.binary_search_by_key(&hash, |row| row.0).ok()?;
        self.find(&self.hashes[at].1).ok()
    }

    fn insert_row(&mut self, at: usize, row: Endpoint) {
        let hash = row.hash;
        if let Err(at) = self.hashes.binary_search_by_key(&hash, |row| row.0) {
            self.hashes.insert(at, (hash, row.listing.id.clone()));
        }
        self.rows.insert(at, row);
    }

    /// Learned speed of a service's engines.
    pub fn service_speed(&self, service: &str) -> &ServiceSpeed {
        match self.find_service_speed(service) {
            Ok(at) => &self.service_speeds[at].1,
            Err(_) => &self.default_speed,
        }
    }

    /// Takes the speed of a service's engines, in seconds per prompt token and per output token, that a
    /// former duty holder observed.
    pub fn restore_speed(&mut self, service: &ServiceId, prefill_s: f64, step_s: f64) {
        self.service_speed_mut(service).restore(prefill_s, step_s);
    }

    fn service_speed_mut(&mut self, service: &ServiceId) -> &mut ServiceSpeed {
        let at = self.find_service_speed(service).unwrap_or_else(|at| {
            self.service_speeds
                .insert(at, (service.clone(), ServiceSpeed::default()));
            at
        });
        &mut self.service_speeds[at].1
    }

    fn find_service_speed(&self, service: &str) -> Result<usize, usize> {
        self.service_speeds
            .binary_search_by(|row| row.0.as_str().cmp(service))
    }

    /// Records the first event of a request and learns the speed of its engine and service
    /// from it.
    pub fn record_first_event(&mut self, id: &str, number: u64, now: Instant) {
        let Ok(at) = self.find(id) else {
            return;
        };
        let row = &mut self.rows[at];
        let requests = row.in_flight.iter_mut();
        let mut waiting = requests.filter(|request| request.first_event.is_none());
        let Some(request) = waiting.find(|request| request.number == number) else {
            return;
        };
        request.first_event = Some(now);
        let took = now.saturating_duration_since(request.sent);
        let (prefill, ahead, pace) = (request.prefill, request.ahead, request.pace);
        let mut speed = row.speed;
        let service = row.listing.service.clone();
        speed.learn_paced(self.service_speed_mut(&service), prefill, ahead, took, pace);
        self.rows[at].speed = speed;
    }

    /// Records the end of a stream that had `tokens` tokens after its first event, and learns
    /// from it how long a token takes.
    pub fn record_stream(&mut self, id: &str, number: u64, tokens: u32, now: Instant) {
        let Ok(at) = self.find(id) else {
            return;
        };
        let row = &self.rows[at];
        let request = row
            .in_flight
            .iter()
            .find(|request| request.number == number);
        let Some(first_event) = request.and_then(|request| request.first_event) else {
            return;
        };
        if tokens < MIN_STREAM_TOKENS {
            return;
        }
        let service = row.listing.service.clone();
        let token = now.saturating_duration_since(first_event) / tokens;
        self.service_speed_mut(&service).learn_step(token);
    }

    /// Endpoints of a service that run this version, and those that run another one.
    pub fn version_endpoints(&self, service: &str, version: &str) -> VersionEndpoints {
        let rows = self.rows.iter();
        let rows = rows
            .filter(|row| row.listing.service == service && row.state != EndpointState::Leaving);
        rows.fold(VersionEndpoints::default(), |mut sum, row| {
            if row.listing.version == version {
                sum.new += 1;
            } else {
                sum.old += 1;
                sum.old_requests += row.active_requests();
            }
            sum
        })
    }

    /// Applies a registry entry; one that is older than the known entry changes nothing.
    pub fn put(&mut self, listing: Listing) -> Changed {
        let has_announced = self.has_announced(&listing);
        let state = if listing.leaving || has_announced {
            EndpointState::Leaving
        } else {
            EndpointState::Ready
        };
        match self.find(&listing.id) {
            Err(_) if has_announced || self.tombstones.is_outdated(&listing) => Changed::Nothing,
            Err(at) => {
                let row = self.new_row(listing, state);
                self.insert_row(at, row);
                joined(state)
            }
            Ok(at) => {
                let row = &self.rows[at];
                if listing.is_older_than(&row.listing) {
                    return Changed::Nothing;
                }
                let restarted =
                    row.listing.born != listing.born || row.listing.address != listing.address;
                if restarted {
                    // Nothing that was learned of the former incarnation holds for the new one.
                    self.rows[at] = self.new_row(listing, state);
                    return joined(state);
                }
                if let Some(cold) = listing.cold {
                    self.merge_cold(at, cold);
                }
                let row = &mut self.rows[at];
                let left = state == EndpointState::Leaving && row.state != EndpointState::Leaving;
                row.state = state;
                row.listing = listing;
                if left {
                    Changed::Left
                } else {
                    Changed::Nothing
                }
            }
        }
    }

    /// Whether the incarnation that an entry belongs to has announced that it leaves.
    fn has_announced(&self, listing: &Listing) -> bool {
        self.departures.contains(incarnation_hash(listing))
    }

    /// Records that an endpoint announced in an answer to this daemon that it leaves; returns
    /// whether it was in use until now.
    pub fn record_departure(&mut self, id: &str, now: Instant) -> bool {
        let Ok(at) = self.find(id) else {
            return false;
        };
        let row = &mut self.rows[at];
        self.departures
            .record(incarnation_hash(&row.listing), true, now);
        let was_leaving = row.state == EndpointState::Leaving;
        row.state = EndpointState::Leaving;
        !was_leaving
    }

    /// Records that an endpoint rejected a request of this daemon and asked for a rest.
    pub fn record_rest(&mut self, id: &str, rest: Duration, now: Instant) {
        if let Ok(at) = self.find(id) {
            let row = &mut self.rows[at];
            let incarnation = incarnation_hash(&row.listing);
            row.rest_until = Some(self.rests.record(incarnation, rest, now));
        }
    }

    /// Merges the departures that another daemon reports; returns the ids of the endpoints that
    /// were in use until now.
    pub fn merge_departures(&mut self, left: &[IncarnationHash], now: Instant) -> Vec<EndpointId> {
        let mut new = Vec::new();
        for incarnation in left {
            if self.departures.record(*incarnation, false, now) {
                new.push(*incarnation);
            }
        }
        let mut found = Vec::new();
        if new.is_empty() {
            return found;
        }
        for row in &mut self.rows {
            let is_named = new.contains(&incarnation_hash(&row.listing));
            if is_named && row.state != EndpointState::Leaving {
                row.state = EndpointState::Leaving;
                found.push(row.listing.id.clone());
            }
        }
        found
    }

    /// Departures for this daemon's digest; those that other daemons saw too if it `relays` them.
    pub fn report_departures(&self, relays: bool, now: Instant) -> Vec<IncarnationHash> {
        self.departures.report(relays, now)
    }

    /// A row of which nothing is known but its entry.
    fn new_row(&self, listing: Listing, state: EndpointState) -> Endpoint {
        let hash = name_hash(&listing.id);
        let cold = listing.cold;
        let mut row = Endpoint {
            hash,
            state,
            in_flight: Vec::new(),
            remote_load: self.reports.total(hash),
            speed: EngineSpeed::default(),
            pace: EndpointPace::default(),
            breaker: CircuitBreaker::default(),
            cache: PrefixCache::default(),
            full_until: None,
            limit: None,
            cold: None,
            is_evacuated: self.evacuations.contains(&listing.zone),
            rest_until: self.rests.until(incarnation_hash(&listing)),
            concurrency: None,
            link: LinkEvidence::default(),
            silence: if self.silent.binary_search(&hash).is_ok() {
                Silence::restored()
            } else {
                Silence::default()
            },
            listing,
        };
        if let (Some(cold), Some(limit)) = (cold, self.slow_start(&row.listing.service)) {
            row.merge_cold(cold, limit, &self.daemons);
        }
        row
    }

    fn slow_start(&self, service: &str) -> Option<&SlowStart> {
        let at = self
            .slow_starts
            .binary_search_by(|row| row.0.as_str().cmp(service));
        at.ok().map(|at| &self.slow_starts[at].1)
    }

    /// Starts or continues the slow start of an endpoint that states to be cold.
    fn merge_cold(&mut self, at: usize, cold: ColdTime) {
        let Some(limit) = self.slow_start(&self.rows[at].listing.service).copied() else {
            return;
        };
        self.rows[at].merge_cold(cold, &limit, &self.daemons);
    }

    /// Sets the slow starts of the services that have one.
    pub fn set_slow_starts(&mut self, mut slow_starts: Vec<(ServiceId, SlowStart)>) {
        slow_starts.sort_by(|a, b| a.0.cmp(&b.0));
        if self.slow_starts == slow_starts {
            return;
        }
        self.slow_starts = slow_starts;
        for at in 0..self.rows.len() {
            self.rows[at].cold = None;
            if let Some(cold) = self.rows[at].listing.cold {
                self.merge_cold(at, cold);
            }
        }
    }

    /// Replaces the set of evacuated zones. The endpoints of a zone that is restored may have
    /// become cold meanwhile, and their entries tell so only later: they are taken to be cold.
    pub fn set_evacuated(&mut self, zones: Vec<ZoneId>, now: Instant) -> EvacuationChanges {
        let changes = self.evacuations.replace(zones);
        for at in 0..self.rows.len() {
            let zone = &self.rows[at].listing.zone;
            let is_restored = changes.ended.contains(zone);
            self.rows[at].is_evacuated = self.evacuations.contains(zone);
            if let Some(limit) = self.slow_start(&self.rows[at].listing.service)
                && is_restored
            {
                let until = now + limit.time;
                self.merge_cold(at, ColdTime { read: now, until });
            }
        }
        changes
    }

    /// Evacuated zones, sorted.
    pub fn evacuated(&self) -> &[ZoneId] {
        self.evacuations.zones()
    }

    /// Applies the removal of a registry entry.
    pub fn entry_removed(&mut self, id: &str, now: Instant) -> Changed {
        let grace_until = self.grace_until.filter(|until| now < *until);
        let Some(row) = self.get_mut(id) else {
            return Changed::Nothing;
        };
        match (row.state, grace_until) {
            (EndpointState::Leaving | EndpointState::Doubtful(_), _) => Changed::Nothing,
            (EndpointState::Ready, Some(until)) => {
                row.state = EndpointState::Doubtful(until);
                Changed::Doubted(until)
            }
            (EndpointState::Ready, None) => {
                row.state = EndpointState::Leaving;
                Changed::Left
            }
        }
    }

    /// Checksum of the ids of all ready endpoints, independent of their order.
    pub fn checksum(&self) -> u32 {
        let ready = self
            .rows
            .iter()
            .filter(|row| row.state == EndpointState::Ready);
        ready.fold(0, |sum, row| sum ^ row.hash)
    }

    /// Whether an entry differs from the known one in more than the number of its writes.
    pub fn is_change(&self, listing: &Listing) -> bool {
        if self.has_announced(listing) && !listing.leaving {
            return false;
        }
        let Some(row) = self.get(&listing.id) else {
            return true;
        };
        let rewritten = Listing {
            count: listing.count,
            cold: listing.cold,
            ..row.listing.clone()
        };
        let turned_cold = listing.cold.is_some_and(|cold| !row.is_known_cold(cold));
        rewritten != *listing
            || turned_cold
            || (row.state == EndpointState::Ready) == listing.leaving
    }

    /// Applies the whole list of entries; entries that are not in it count as removed.
    ///
    /// The list may be older than what is known, if the registry was restored from a copy:
    /// the last entry of an endpoint that left since does not bring it back.
    pub fn replace(
        &mut self,
        mut listings: Vec<Listing>,
        now: Instant,
    ) -> Vec<(EndpointId, Changed)> {
        let mut changes = Vec::new();
        listings.retain(|listing| !self.has_left(listing));
        let mut present: Vec<EndpointId> = listings.iter().map(|row| row.id.clone()).collect();
        present.sort();
        for listing in listings {
            let id = listing.id.clone();
            changes.push((id, self.put(listing)));
        }
        let ids: Vec<EndpointId> = self.rows.iter().map(|row| row.listing.id.clone()).collect();
        for id in ids {
            if present.binary_search(&id).is_err() {
                let change = self.entry_removed(&id, now);
                changes.push((id, change));
            }
        }
        changes.retain(|(_, change)| *change != Changed::Nothing);
        changes
    }

    /// Whether an entry is of an endpoint that left and has written nothing newer.
    fn has_left(&self, listing: &Listing) -> bool {
        let row = self.get(&listing.id);
        if row.is_some_and(|row| row.state != EndpointState::Leaving) {
            return false;
        }
        let last = row.map(|row| &row.listing);
        let last = last.or_else(|| self.tombstones.last(&listing.id));
        last.is_some_and(|last| listing.is_redundant_to(last))
    }

    /// Applies a load report: load by hash of the endpoint's id.
    pub fn apply_report(&mut self, reporter: Reporter, loads: Vec<(u32, Load)>, now: Instant) {
        for (endpoint, requests, tokens) in self.reports.apply(reporter, loads, now) {
            if let Some(at) = self.find_hash(endpoint) {
                let load = &mut self.rows[at].remote_load;
                load.requests = load.requests.saturating_add_signed(requests);
                load.tokens += tokens;
            }
        }
    }

    /// Records the pace that an endpoint announced in an answer to this daemon.
    pub fn record_pace(&mut self, id: &str, pace: Pace, now: Instant) {
        if let Some(row) = self.get_mut(id) {
            row.pace.hear(pace, now);
        }
    }

    /// Merges paces that another daemon tells, by hash of the endpoint's id: what it heard itself,
    /// or means of a group.
    pub fn merge_paces(&mut self, reporter: &Reporter, paces: &[(u32, Pace)], now: Instant) {
        for (endpoint, pace) in paces {
            let Some(at) = self.find_hash(*endpoint) else {
                continue;
            };
            let row = &mut self.rows[at].pace;
            match reporter {
                Reporter::Daemon(..) => row.merge_heard(*pace, now),
                Reporter::Zone(_) | Reporter::Fleet => row.merge_mean(*pace, now),
            }
        }
    }

    /// What is known of the pace of the endpoint whose id has this hash.
    pub fn pace(&self, endpoint: u32) -> Option<&EndpointPace> {
        self.find_hash(endpoint).map(|at| &self.rows[at].pace)
    }

    /// Requests in progress from this daemon, by hash of the endpoint's id, sorted.
    pub fn local_load(&self) -> Vec<(u32, Load)> {
        let busy = self.rows.iter().filter(|row| !row.in_flight.is_empty());
        sum_loads(busy.map(|row| (row.hash, row.local_load())))
    }

    /// Load of this daemon and all others of its zone together, by hash of the endpoint's id,
    /// sorted.
    pub fn zone_load(&self, zone: ZoneHash) -> Vec<(u32, Load)> {
        let own = self.local_load().into_iter();
        sum_loads(own.chain(self.reports.loads(Some(zone))))
    }

    /// Load of all daemons together, by hash of the endpoint's id, sorted.
    pub fn fleet_load(&self) -> Vec<(u32, Load)> {
        let own = self.local_load().into_iter();
        sum_loads(own.chain(self.reports.loads(None)))
    }

    /// Marks the endpoints as leaving whose departure another daemon reports, by hash of their
    /// ids; returns the ids of those that were not leaving yet. If the report was wrong, an
    /// entry that says so follows from the registry.
    pub fn mark_leaving(&mut self, left: &[u32]) -> Vec<EndpointId> {
        let mut found = Vec::new();
        for hash in left {
            let Some(at) = self.find_hash(*hash) else {
                continue;
            };
            let row = &mut self.rows[at];
            if row.state != EndpointState::Leaving {
                row.state = EndpointState::Leaving;
                found.push(row.listing.id.clone());
            }
        }
        found
    }

    /// Records the limit that an endpoint announced in an answer to this daemon; returns whether
    /// its rate differs from the one known before.
    pub fn record_limit(&mut self, id: &str, announced: AnnouncedLimit) -> bool {
        let Ok(at) = self.find(id) else {
            return false;
        };
        let hash = self.rows[at].hash;
        self.update_limit(hash, announced, Source::Direct)
    }

    /// Merges an endpoint's limit that another daemon advertises; returns whether its rate
    /// differs from the one known before.
    pub fn merge_limit(
        &mut self,
        endpoint: u32,
        announced: AnnouncedLimit,
        source: Source,
    ) -> bool {
        self.update_limit(endpoint, announced, source)
    }

    fn update_limit(&mut self, endpoint: u32, announced: AnnouncedLimit, source: Source) -> bool {
        let Some(at) = self.find_hash(endpoint) else {
            return false;
        };
        let row = &mut self.rows[at];
        let before = row.limit.as_ref().and_then(Limit::rate);
        let known = row.limit.as_ref();
        if known.is_none() && announced.rate.is_none() {
            return false;
        }
        if let Some(limit) = Limit::merge(known, endpoint, announced, source, &self.sharers) {
            row.limit = Some(limit);
        }
        before != row.limit.as_ref().and_then(Limit::rate)
    }

    /// Limits that endpoints announced to this daemon, or also to others as far as `scope`, by hash
    /// of the endpoint's id.
    pub fn advertised_limits(&self, scope: Source, now: Instant) -> Vec<(u32, AnnouncedLimit)> {
        let advertised = |row: &Endpoint| Some((row.hash, row.limit.as_ref()?.report(scope, now)?));
        self.rows.iter().filter_map(advertised).collect()
    }

    /// Records how many rejections a second an endpoint announced to tolerate, in the answer to a
    /// request sent at `sent`; `None` if it announced nothing. It holds for its whole service, as
    /// the others announce it only once they get a request. Returns whether something changed.
    pub fn record_brittle(
        &mut self,
        id: &str,
        tolerated: Option<RejectionRate>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let Some(service) = self.get(id).map(|row| row.listing.service.clone()) else {
            return false;
        };
        match (self.find_brittle(&service), tolerated) {
            (Ok(at), Some(tolerated)) => {
                let row = &mut self.brittle[at];
                row.announced = now;
                std::mem::replace(&mut row.tolerated, tolerated) != tolerated
            }
            (Err(at), Some(tolerated)) => {
                let row = BrittleService {
                    name: service.clone(),
                    tolerated,
                    announced: now,
                };
                self.brittle.insert(at, row);
                self.limit_concurrency(&service, now);
                true
            }
            // An answer to an earlier request may arrive after a newer announcement.
            (Ok(at), None) if sent > self.brittle[at].announced => {
                self.brittle.remove(at);
                self.limit_concurrency(&service, now);
                true
            }
            (Ok(_) | Err(_), None) => false,
        }
    }

    /// Starts or ends the limits for requests in progress at the endpoints of a service.
    fn limit_concurrency(&mut self, service: &str, now: Instant) {
        let is_brittle = self.find_brittle(service).is_ok();
        let daemons = self.daemons.others.len() + 1;
        for row in &mut self.rows {
            if row.listing.service == service {
                let limit = || ConcurrencyLimit::new(row.listing.slots, daemons, now);
                row.concurrency = is_brittle.then(limit);
            }
        }
    }

    /// The limit for requests in progress at an endpoint, if its service is brittle.
    fn concurrency_mut(&mut self, id: &str, now: Instant) -> Option<&mut ConcurrencyLimit> {
        let at = self.find(id).ok()?;
        let listing = &self.rows[at].listing;
        let (slots, daemons) = (listing.slots, self.daemons.others.len() + 1);
        self.find_brittle(&listing.service).ok()?;
        let row = &mut self.rows[at];
        let limit = || ConcurrencyLimit::new(slots, daemons, now);
        Some(row.concurrency.get_or_insert_with(limit))
    }

    /// Records a request that is sent to an endpoint.
    pub fn add_request(&mut self, id: &str, request: InFlight) {
        // An endpoint that joined a brittle service has no limit yet.
        self.concurrency_mut(id, request.sent);
        if let Some(row) = self.get_mut(id) {
            row.add_request(request);
        }
    }

    /// Records that an endpoint rejected a request for want of room.
    pub fn record_rejection(&mut self, id: &str, now: Instant) {
        let in_progress = self.get(id).map_or(0, |row| row.in_flight.len() as u32);
        if let Some(limit) = self.concurrency_mut(id, now) {
            limit.record_rejection(in_progress.saturating_sub(1), now);
        }
    }

    /// Time in which the limit for requests in progress at an endpoint of a service rises by one;
    /// `None` if the service is not brittle.
    pub(crate) fn concurrency_step(&self, service: &str) -> Option<Duration> {
        let at = self.find_brittle(service).ok()?;
        let daemons = self.daemons.others.len() + 1;
        Some(step(self.brittle[at].tolerated, daemons))
    }

    fn find_brittle(&self, service: &str) -> Result<usize, usize> {
        self.brittle
            .binary_search_by(|row| row.name.as_str().cmp(service))
    }

    /// Sets which daemons share the limits that endpoints announce.
    pub fn set_sharers(&mut self, sharers: Sharers, now: Instant) {
        if self.sharers == sharers {
            return;
        }
        for row in &mut self.rows {
            if let Some(limit) = &mut row.limit {
                limit.update_share(row.hash, &sharers, now);
            }
        }
        self.sharers = sharers;
    }

    /// Sets which daemons share the rates of cold endpoints.
    pub fn set_daemons(&mut self, daemons: Sharers) {
        if self.daemons == daemons {
            return;
        }
        self.daemons = daemons;
        for at in 0..self.rows.len() {
            let row = &self.rows[at];
            let (Some(limit), hash) = (self.slow_start(&row.listing.service).copied(), row.hash)
            else {
                continue;
            };
            if let Some(cold) = &mut self.rows[at].cold {
                cold.update_sharers(hash, &limit, &self.daemons);
            }
        }
    }

    /// The other daemons that share the rate at which an endpoint may be sent requests; none if
    /// every daemon may send them.
    pub(crate) fn other_sharers(&self, row: &Endpoint, now: Instant) -> Vec<Ipv4Addr> {
        if let Some(limit) = row.limit.as_ref().filter(|limit| limit.check(now).is_err()) {
            return limit.other_sharers(row.hash, &self.sharers);
        }
        match (&row.cold, self.slow_start(&row.listing.service)) {
            (Some(cold), Some(limit)) if cold.check(now).is_err() => {
                ColdEndpoint::other_sharers(row.hash, limit, &self.daemons)
            }
            _ => Vec::new(),
        }
    }

    /// Starts the grace for missing entries: the registry is back after it was unavailable or
    /// rejected this daemon.
    pub fn registry_back(&mut self, now: Instant) {
        self.grace_until = Some(now + REREGISTER_GRACE);
    }

    /// For how long endpoints whose entries are missing stay in use.
    pub fn grace_left(&self, now: Instant) -> Duration {
        let until = self.grace_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Sets until when missing entries make their endpoints doubtful, as a watcher reports it.
    pub fn set_grace(&mut self, until: Instant) {
        self.grace_until = Some(until);
    }

    /// Applies that the registry has been available since a moment, and returns the ids of the
    /// endpoints that are dropped because of it. Running endpoints registered again soon after
    /// that moment, however much later this daemon reconnected. Without this, a daemon that
    /// was partitioned would send requests to endpoints that left long ago.
    pub fn registry_healthy_since(&mut self, since: Instant, now: Instant) -> Vec<EndpointId> {
        let end = since + REREGISTER_GRACE;
        self.grace_until = self.grace_until.map(|until| until.min(end));
        for row in &mut self.rows {
            if let EndpointState::Doubtful(until) = &mut row.state {
                *until = end.min(*until);
            }
        }
        self.drop_doubtful(now)
    }

    fn drop_doubtful(&mut self, now: Instant) -> Vec<EndpointId> {
        let mut dropped = Vec::new();
        for row in &mut self.rows {
            if let EndpointState::Doubtful(until) = row.state
                && now >= until
            {
                row.state = EndpointState::Leaving;
                dropped.push(row.listing.id.clone());
            }
        }
        dropped
    }

    /// Drops doubtful endpoints whose grace is over and returns their ids. Removes the rows of
    /// endpoints that left and have no request of this daemon in progress. Moves the learned
    /// speed of each engine a little towards that of its service.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointId> {
        let dropped = self.drop_doubtful(now);
        for row in &mut self.rows {
            row.speed.recover();
            if row.cold.as_ref().is_some_and(|cold| cold.is_over(now)) {
                row.cold = None;
            }
        }
        let is_over =
            |row: &Endpoint| row.state == EndpointState::Leaving && row.in_flight.is_empty();
        for row in self.rows.iter().filter(|row| is_over(row)) {
            self.tombstones.add(row.listing.clone(), now);
        }
        let before = self.rows.len();
        self.rows.retain(|row| !is_over(row));
        if self.rows.len() < before {
            let rows = self.rows.iter();
            self.hashes = rows.map(|row| (row.hash, row.listing.id.clone())).collect();
            self.hashes.sort_unstable();
        }
        self.tombstones.expire(now);
        self.departures.expire(now);
        self.rests.expire(now);
        dropped
    }
}

/// Effect of a new row: an endpoint that is already leaving does not join.
fn joined(state: EndpointState) -> Changed {
    match state {
        EndpointState::Leaving => Changed::Nothing,
        EndpointState::Ready | EndpointState::Doubtful(_) => Changed::Joined,
    }
}

impl Endpoint {
    fn merge_cold(&mut self, cold: ColdTime, limit: &SlowStart, daemons: &Sharers) {
        match &mut self.cold {
            Some(known) if !known.is_over(cold.read) => known.merge(cold),
            known => *known = Some(ColdEndpoint::new(self.hash, cold, limit, daemons)),
        }
    }

    /// Whether a statement that it is cold is known already.
    fn is_known_cold(&self, cold: ColdTime) -> bool {
        let known = self.cold.as_ref();
        known.is_some_and(|known| known.covers(cold))
    }

    /// Whether it may get requests, whatever its load.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_running(now) && !self.silence.is_silent() && self.breaker.allows_request(now)
    }

    /// Whether it may get requests, whatever failed there and whatever its load.
    pub fn is_running(&self, now: Instant) -> bool {
        self.state.is_in_use(now) && !self.is_evacuated
    }

    /// Whether its announced limit, its slow start and the rest that it asked for let this daemon
    /// send a request now.
    ///
    /// # Errors
    /// Returns the time until they may.
    pub fn check_rate(&self, now: Instant) -> Result<(), Duration> {
        let limit = self.limit.as_ref().and_then(|limit| limit.check(now).err());
        let cold = self.cold.as_ref().and_then(|cold| cold.check(now).err());
        let rest = self.rest_until.filter(|until| now < *until);
        let rest = rest.map(|until| until.saturating_duration_since(now));
        limit.max(cold).max(rest).map_or(Ok(()), Err)
    }

    /// Whether only this daemon's share of its rate is used up, so that other daemons may send it
    /// requests now.
    pub(crate) fn is_share_used(&self, now: Instant) -> bool {
        let is_resting = self.rest_until.is_some_and(|until| now < until);
        !is_resting && self.check_rate(now).is_err()
    }

    /// Requests in progress, from all daemons.
    pub fn active_requests(&self) -> u32 {
        self.in_flight.len() as u32 + self.remote_load.requests
    }

    /// Load from this daemon.
    pub fn local_load(&self) -> Load {
        let waiting = self
            .in_flight
            .iter()
            .filter(|request| request.first_event.is_none());
        Load {
            requests: self.in_flight.len() as u32,
            tokens: waiting.map(|request| request.prefill).sum(),
        }
    }

    /// Prompt tokens that wait for prefill, from all daemons.
    pub fn backlog(&self) -> f64 {
        self.local_load().tokens + self.remote_load.tokens
    }

    /// Tokens that this daemon's requests will hold in the KV cache.
    pub fn kv_tokens(&self) -> u64 {
        self.in_flight.iter().map(|request| request.kv_tokens).sum()
    }

    /// Records a request that is sent.
    pub fn add_request(&mut self, request: InFlight) {
        self.breaker.record_sent();
        if let Some(limit) = &mut self.limit {
            limit.take(request.sent);
        }
        if let Some(cold) = &mut self.cold {
            cold.take(request.sent);
        }
        self.in_flight.push(request);
    }

    /// Records that a request is no longer in progress.
    pub fn remove_request(&mut self, number: u64) {
        self.in_flight.retain(|request| request.number != number);
    }
}
