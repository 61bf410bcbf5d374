//! Table of endpoints: what the registry says, and what is in progress at each.
//!
//! The registry can be away, and entries lapse while it is. An entry that is
//! missing right after its return may belong to an endpoint that lives and has
//! not registered again yet; dropping it at once would empty the table and
//! refuse every caller. It is kept as doubtful for [`RETURN`] and only then
//! dropped. An entry that is removed while the registry is well, or marked as
//! leaving, gets nothing more from that instant; so does one that is missing after a
//! cut of this daemon alone, as soon as another one tells that the registry was well.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::cache::Cache;
use super::ended::Ended;
use super::engine::{Pace, Speed};
use super::evidence::Evidence;
use super::limit::{Limit, Said, Sharers};
use super::listing::Listing;
use super::quota::name_hash;
use crate::{EndpointId, ServiceId, ZoneHash};

/// How long an endpoint stays in use whose entry is missing after an outage of the
/// registry. Entries of living endpoints are back within about two seconds, and
/// one that left must get nothing two seconds after the registry tells so.
pub const RETURN: Duration = Duration::from_millis(1800);

/// How long another daemon's word on its requests counts.
const CURRENT: Duration = Duration::from_secs(2);

/// Tokens after the first event from which on a stream teaches how long one takes.
/// Those of shorter ones come in one event or two, and read together they seem to have
/// taken no time.
const LEAST_STREAM: u32 = 20;

/// Request in progress at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Flight {
    /// Number of the request in this daemon.
    pub number: u64,
    /// Prompt tokens that the engine has to read.
    pub own: f64,
    /// Prompt tokens ahead of them when it was sent.
    pub ahead: f64,
    /// Tokens that it will hold in the KV cache at its end.
    pub memory: u64,
    /// When it was sent.
    pub sent: Instant,
    /// When its first event came.
    pub began: Option<Instant>,
}

/// Whether an endpoint may get requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// Registered.
    Ready,
    /// Its entry is missing since an outage; in use until this moment.
    Doubtful(Instant),
    /// It leaves; nothing new.
    Leaving,
}

impl Standing {
    /// Whether an endpoint that stands so may get requests now. The table is cleaned
    /// now and then only; doubt that is over must not last until then.
    fn is_in_use(self, now: Instant) -> bool {
        match self {
            Self::Ready => true,
            Self::Doubtful(until) => now < until,
            Self::Leaving => false,
        }
    }
}

/// Load of an endpoint that one or several daemons bring.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Others {
    /// Requests in progress from other daemons.
    pub requests: u32,
    /// Prompt tokens that they wait to have read.
    pub tokens: f64,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Entry of the registry.
    pub listing: Listing,
    /// Hash of its id, as daemons tell it to one another.
    pub hash: u32,
    /// Whether it may get requests.
    pub standing: Standing,
    /// Requests in progress from this daemon, sorted by number.
    pub flights: Vec<Flight>,
    /// What other daemons have in progress.
    pub others: Others,
    /// Learned speed.
    pub speed: Speed,
    /// Evidence of failures.
    pub evidence: Evidence,
    /// Beginnings of prompts that it holds.
    pub cache: Cache,
    /// Until when it is taken as full because it said so.
    pub full: Option<Instant>,
    /// What it takes from all daemons together, if it ever named a limit.
    pub limit: Option<Limit>,
}

/// Who tells what is in progress: another daemon, or a watcher for its whole zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Teller {
    /// A daemon, and its zone.
    Daemon(ZoneHash, CompactString),
    /// A zone.
    Zone(ZoneHash),
}

/// What one other daemon or zone has in progress.
#[derive(Clone, Debug, PartialEq)]
struct Told {
    teller: Teller,
    heard: Instant,
    /// By hash of the endpoint's id, sorted.
    uses: Vec<(u32, Others)>,
}

/// All endpoints, sorted by id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Board {
    rows: Vec<Endpoint>,
    /// Learned speed of the engines of each service, sorted by service.
    paces: Vec<(ServiceId, Pace)>,
    /// Of services that nothing was learned of.
    usual: Pace,
    /// What the others told, sorted by teller.
    told: Vec<Told>,
    /// Until when missing entries are doubtful, after an outage.
    settling: Option<Instant>,
    /// Those that left and have no row any more.
    ended: Ended,
    /// Daemons that share the limits which endpoints name.
    sharers: Sharers,
}

/// What a change of the registry did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changed {
    /// A new endpoint to use.
    Joined,
    /// It gets nothing new from now on.
    Left,
    /// It stays in use until this moment though its entry is missing.
    Doubted(Instant),
    /// Nothing that matters.
    Nothing,
}

impl Board {
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

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.listing.id.as_str().cmp(id))
    }

    /// Learned speed of a service's engines.
    pub fn pace(&self, service: &str) -> &Pace {
        match self.find_pace(service) {
            Ok(at) => &self.paces[at].1,
            Err(_) => &self.usual,
        }
    }

    fn pace_mut(&mut self, service: &ServiceId) -> &mut Pace {
        let at = self.find_pace(service).unwrap_or_else(|at| {
            self.paces.insert(at, (service.clone(), Pace::default()));
            at
        });
        &mut self.paces[at].1
    }

    fn find_pace(&self, service: &str) -> Result<usize, usize> {
        self.paces
            .binary_search_by(|row| row.0.as_str().cmp(service))
    }

    /// Notes the first event of a request; teaches the speed of its engine and service.
    pub fn began(&mut self, id: &str, number: u64, now: Instant) {
        let Ok(at) = self.find(id) else {
            return;
        };
        let row = &mut self.rows[at];
        let flights = row.flights.iter_mut();
        let mut waiting = flights.filter(|flight| flight.began.is_none());
        let Some(flight) = waiting.find(|flight| flight.number == number) else {
            return;
        };
        flight.began = Some(now);
        let took = now.saturating_duration_since(flight.sent);
        let (own, ahead, mut speed) = (flight.own, flight.ahead, row.speed);
        let service = row.listing.service.clone();
        speed.learn(self.pace_mut(&service), own, ahead, took);
        self.rows[at].speed = speed;
    }

    /// Notes that a stream of so many tokens after its first event is out; teaches how
    /// long a token takes.
    pub fn streamed(&mut self, id: &str, number: u64, tokens: u32, now: Instant) {
        let Ok(at) = self.find(id) else {
            return;
        };
        let row = &self.rows[at];
        let flight = row.flights.iter().find(|flight| flight.number == number);
        let Some(began) = flight.and_then(|flight| flight.began) else {
            return;
        };
        if tokens < LEAST_STREAM {
            return;
        }
        let service = row.listing.service.clone();
        let token = now.saturating_duration_since(began) / tokens;
        self.pace_mut(&service).learn_step(token);
    }

    /// How many endpoints of a service have another version than this one, and how
    /// many requests they work on.
    pub fn of_other_versions(&self, service: &str, version: &str) -> (u32, u32) {
        let rows = self.rows.iter().filter(|row| {
            row.listing.service == service
                && row.listing.version != version
                && row.standing != Standing::Leaving
        });
        rows.fold((0, 0), |sum, row| (sum.0 + 1, sum.1 + row.busy()))
    }

    /// Takes an entry in; one that is older than what is known changes nothing.
    pub fn put(&mut self, listing: Listing) -> Changed {
        let standing = if listing.leaving {
            Standing::Leaving
        } else {
            Standing::Ready
        };
        match self.find(&listing.id) {
            Err(_) if self.ended.is_newer_than(&listing) => Changed::Nothing,
            Err(at) => {
                let row = Endpoint::new(listing, standing, &self.told);
                self.rows.insert(at, row);
                joined(standing)
            }
            Ok(at) => {
                let row = &mut self.rows[at];
                if listing.is_older_than(&row.listing) {
                    return Changed::Nothing;
                }
                let reborn =
                    row.listing.born != listing.born || row.listing.address != listing.address;
                if reborn {
                    // Another life under the same id knows nothing of the first.
                    *row = Endpoint::new(listing, standing, &self.told);
                    return joined(standing);
                }
                let left = standing == Standing::Leaving && row.standing != Standing::Leaving;
                row.standing = standing;
                row.listing = listing;
                if left {
                    Changed::Left
                } else {
                    Changed::Nothing
                }
            }
        }
    }

    /// Takes in that an entry is gone.
    pub fn gone(&mut self, id: &str, now: Instant) -> Changed {
        let settling = self.settling.filter(|until| now < *until);
        let Some(row) = self.get_mut(id) else {
            return Changed::Nothing;
        };
        match (row.standing, settling) {
            (Standing::Leaving | Standing::Doubtful(_), _) => Changed::Nothing,
            (Standing::Ready, Some(until)) => {
                row.standing = Standing::Doubtful(until);
                Changed::Doubted(until)
            }
            (Standing::Ready, None) => {
                row.standing = Standing::Leaving;
                Changed::Left
            }
        }
    }

    /// Check sum of the endpoints that are in use, whatever their order.
    pub fn check_sum(&self) -> u32 {
        let ready = self
            .rows
            .iter()
            .filter(|row| row.standing == Standing::Ready);
        ready.fold(0, |sum, row| sum ^ row.hash)
    }

    /// Whether an entry says something new of its endpoint, beside being written again.
    pub fn is_news(&self, listing: &Listing) -> bool {
        let Some(row) = self.get(&listing.id) else {
            return true;
        };
        let again = Listing {
            count: listing.count,
            ..row.listing.clone()
        };
        again != *listing || (row.standing == Standing::Ready) == listing.leaving
    }

    /// Takes a whole list in; entries that are not in it are gone.
    ///
    /// The list may be older than what is known, where the registry came back from a copy:
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
                let change = self.gone(&id, now);
                changes.push((id, change));
            }
        }
        changes.retain(|(_, change)| *change != Changed::Nothing);
        changes
    }

    /// Whether an endpoint has left that wrote nothing since this entry.
    fn has_left(&self, listing: &Listing) -> bool {
        let row = self.get(&listing.id);
        if row.is_some_and(|row| row.standing != Standing::Leaving) {
            return false;
        }
        let last = row.map(|row| &row.listing);
        let last = last.or_else(|| self.ended.last(&listing.id));
        last.is_some_and(|last| listing.is_known_by(last))
    }

    /// Takes in what others have in progress, by hash of the endpoints' ids. A zone as a
    /// whole stands for its daemons as long as it is told.
    pub fn hear(&mut self, teller: Teller, mut uses: Vec<(u32, Others)>, now: Instant) {
        uses.sort_by_key(|(endpoint, _)| *endpoint);
        self.forget_told(now);
        match &teller {
            Teller::Zone(zone) => self.drop_told(|told| told.is_daemon_of(*zone)),
            Teller::Daemon(zone, _) if self.find_told(&Teller::Zone(*zone)).is_ok() => return,
            Teller::Daemon(..) => {}
        }
        self.drop_told(|told| told.teller == teller);
        add(&mut self.rows, &uses, 1);
        let told = Told {
            teller,
            heard: now,
            uses,
        };
        let at = self.find_told(&told.teller).unwrap_or_else(|at| at);
        self.told.insert(at, told);
    }

    /// What this daemon and those of its zone have in progress together, by hash of the
    /// endpoints' ids, sorted.
    pub fn tell_zone(&self, zone: ZoneHash) -> Vec<(u32, Others)> {
        let mine = self.rows.iter().map(|row| (row.hash, row.own()));
        let mates = self.told.iter().filter(|told| told.is_daemon_of(zone));
        let mates = mates.flat_map(|told| told.uses.iter().copied());
        let mut all: Vec<(u32, Others)> = mine.chain(mates).collect();
        all.sort_by_key(|row| row.0);
        all.dedup_by(|row, kept| {
            let same = row.0 == kept.0;
            if same {
                kept.1.requests += row.1.requests;
                kept.1.tokens += row.1.tokens;
            }
            same
        });
        all.retain(|row| row.1.requests > 0);
        all
    }

    fn find_told(&self, teller: &Teller) -> Result<usize, usize> {
        self.told.binary_search_by(|told| told.teller.cmp(teller))
    }

    /// Forgets what was told too long ago.
    fn forget_told(&mut self, now: Instant) {
        self.drop_told(|told| now.duration_since(told.heard) > CURRENT);
    }

    fn drop_told(&mut self, is_over: impl Fn(&Told) -> bool) {
        for told in self.told.iter().filter(|told| is_over(told)) {
            add(&mut self.rows, &told.uses, -1);
        }
        self.told.retain(|told| !is_over(told));
    }

    /// Takes in from another daemon which endpoints leave, by hash of their ids. An
    /// entry that says otherwise follows from the registry if the word was wrong.
    pub fn heard_left(&mut self, left: &[u32]) -> Vec<EndpointId> {
        let mut found = Vec::new();
        for row in &mut self.rows {
            let told = left.contains(&row.hash);
            if told && row.standing != Standing::Leaving {
                row.standing = Standing::Leaving;
                found.push(row.listing.id.clone());
            }
        }
        found
    }

    /// Takes in what an endpoint said to this daemon of its limit; tells whether it said
    /// something else before.
    pub fn named(&mut self, id: &str, said: Said) -> bool {
        let Ok(at) = self.find(id) else {
            return false;
        };
        let hash = self.rows[at].hash;
        self.hear_limit(hash, said, true)
    }

    /// Takes in what another daemon tells of an endpoint's limit.
    pub fn hear_named(&mut self, endpoint: u32, said: Said) -> bool {
        self.hear_limit(endpoint, said, false)
    }

    fn hear_limit(&mut self, endpoint: u32, said: Said, is_own: bool) -> bool {
        let mut rows = self.rows.iter_mut();
        let Some(row) = rows.find(|row| row.hash == endpoint) else {
            return false;
        };
        let before = row.limit.as_ref().and_then(Limit::rate);
        let held = row.limit.as_ref();
        if held.is_none() && said.rate.is_none() {
            return false;
        }
        if let Some(limit) = Limit::hear(held, endpoint, said, is_own, &self.sharers) {
            row.limit = Some(limit);
        }
        before != row.limit.as_ref().and_then(Limit::rate)
    }

    /// What this daemon tells the others of limits that endpoints named to it, by hash of
    /// their ids.
    pub fn tell_limits(&self, now: Instant) -> Vec<(u32, Said)> {
        let told = |row: &Endpoint| Some((row.hash, row.limit.as_ref()?.tell(now)?));
        self.rows.iter().filter_map(told).collect()
    }

    /// Takes in which daemons share the limits that endpoints name.
    pub fn share(&mut self, sharers: Sharers, now: Instant) {
        if self.sharers == sharers {
            return;
        }
        for row in &mut self.rows {
            if let Some(limit) = &mut row.limit {
                limit.divide(row.hash, &sharers, now);
            }
        }
        self.sharers = sharers;
    }

    /// Notes that the registry is back after it was away or refused this daemon.
    pub fn registry_back(&mut self, now: Instant) {
        self.settling = Some(now + RETURN);
    }

    /// Takes in that the registry has been well since a moment. Entries of living
    /// endpoints were back soon after it, whenever this daemon itself came back: a
    /// daemon that had been cut off would else send requests to endpoints that left
    /// long ago. Gives the ids of those that are dropped.
    pub fn well_since(&mut self, since: Instant, now: Instant) -> Vec<EndpointId> {
        let end = since + RETURN;
        self.settling = self.settling.map(|until| until.min(end));
        for row in &mut self.rows {
            if let Standing::Doubtful(until) = &mut row.standing {
                *until = end.min(*until);
            }
        }
        self.drop_doubtful(now)
    }

    fn drop_doubtful(&mut self, now: Instant) -> Vec<EndpointId> {
        let mut dropped = Vec::new();
        for row in &mut self.rows {
            if let Standing::Doubtful(until) = row.standing
                && now >= until
            {
                row.standing = Standing::Leaving;
                dropped.push(row.listing.id.clone());
            }
        }
        dropped
    }

    /// Drops doubtful endpoints whose time is over, and forgets those that left and
    /// have nothing in progress. Gives the ids of the first. Learned slowness fades a
    /// little with each call.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointId> {
        let dropped = self.drop_doubtful(now);
        for row in &mut self.rows {
            row.speed.fade();
        }
        let is_over = |row: &Endpoint| row.standing == Standing::Leaving && row.flights.is_empty();
        for row in self.rows.iter().filter(|row| is_over(row)) {
            self.ended.note(row.listing.clone(), now);
        }
        self.rows.retain(|row| !is_over(row));
        self.ended.expire(now);
        dropped
    }
}

/// What a new row is: one that is leaving already is of no use.
fn joined(standing: Standing) -> Changed {
    match standing {
        Standing::Leaving => Changed::Nothing,
        Standing::Ready | Standing::Doubtful(_) => Changed::Joined,
    }
}

/// Adds what was told to the rows, or takes it off with a `sign` of -1.
///
/// Summing up anew what all daemons told would take longer with each daemon, for each
/// digest of each of them.
fn add(rows: &mut [Endpoint], uses: &[(u32, Others)], sign: i32) {
    for row in rows {
        if let Ok(at) = uses.binary_search_by_key(&row.hash, |told| told.0) {
            let (others, told) = (&mut row.others, uses[at].1);
            let requests = told.requests.cast_signed() * sign;
            others.requests = others.requests.saturating_add_signed(requests);
            others.tokens += told.tokens * f64::from(sign);
        }
    }
}

fn sum(told: &[Told], endpoint: u32) -> Others {
    let mut all = Others::default();
    for told in told {
        if let Ok(at) = told.uses.binary_search_by_key(&endpoint, |row| row.0) {
            all.requests += told.uses[at].1.requests;
            all.tokens += told.uses[at].1.tokens;
        }
    }
    all
}

impl Told {
    fn is_daemon_of(&self, zone: ZoneHash) -> bool {
        matches!(&self.teller, Teller::Daemon(at, _) if *at == zone)
    }
}

impl Endpoint {
    fn new(listing: Listing, standing: Standing, told: &[Told]) -> Self {
        let hash = name_hash(&listing.id);
        Self {
            listing,
            hash,
            standing,
            flights: Vec::new(),
            others: sum(told, hash),
            speed: Speed::default(),
            evidence: Evidence::default(),
            cache: Cache::default(),
            full: None,
            limit: None,
        }
    }

    /// Whether it may get requests, whatever its load.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.standing.is_in_use(now) && self.evidence.is_fit(now)
    }

    /// Requests in progress, from all daemons.
    pub fn busy(&self) -> u32 {
        self.flights.len() as u32 + self.others.requests
    }

    /// What this daemon has in progress.
    pub fn own(&self) -> Others {
        let waiting = self.flights.iter().filter(|flight| flight.began.is_none());
        Others {
            requests: self.flights.len() as u32,
            tokens: waiting.map(|flight| flight.own).sum(),
        }
    }

    /// Prompt tokens that wait to be read, from all daemons.
    pub fn backlog(&self) -> f64 {
        self.own().tokens + self.others.tokens
    }

    /// Tokens of memory that this daemon's requests will hold.
    pub fn memory(&self) -> u64 {
        self.flights.iter().map(|flight| flight.memory).sum()
    }

    /// Notes a request that is sent.
    pub fn send(&mut self, flight: Flight) {
        self.evidence.sent();
        if let Some(limit) = &mut self.limit {
            limit.take(flight.sent);
        }
        self.flights.push(flight);
    }

    /// Notes that a request is no longer in progress.
    pub fn end(&mut self, number: u64) {
        self.flights.retain(|flight| flight.number != number);
    }
}
