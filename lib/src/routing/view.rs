//! What a daemon knows about its endpoints beyond the endpoint table.
//!
//! The entries are in the order of the endpoint table. Each service has the list
//! of its entries, whose distance and price penalty are computed in advance, so
//! that a decision visits only the endpoints of one service and computes nothing
//! that did not change.

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, RegionId, ServiceId, ZoneId};
use crate::routing::backlog::Backlog;
use crate::routing::cost::price_penalty;
use crate::routing::distance::{Distance, ZoneRegions};
use crate::routing::endpoint_load::{EndpointLoad, LoadReport};
use crate::routing::notice::Notices;
use crate::routing::pick::Policy;
use crate::routing::prefix_cache::{BLOCK_TOKENS, CacheEvent, PrefixCache};
use crate::routing::route_latency::RouteLatencies;
use crate::table::{Row, Table};
use crate::world::Setup;

/// Input about endpoints from outside the world.
#[proc_macros::row]
pub enum Event {
    /// Load report of an endpoint.
    Load(LoadReport),
    /// Change of an endpoint's prefix cache.
    Cache(CacheEvent),
    /// Region of an availability zone.
    Zone {
        /// Availability zone.
        zone: ZoneId,
        /// Its region.
        region: RegionId,
    },
    /// Price of a known endpoint. Prices of endpoints that are not known yet are
    /// dropped.
    Price {
        /// Endpoint.
        endpoint: EndpointId,
        /// Price per hour, in a currency that is the same for all endpoints.
        hourly: f64,
    },
    /// Known end of an endpoint, long before any reclaim notice: its host is lent
    /// for a limited time or will be replaced.
    Ends {
        /// Endpoint.
        endpoint: EndpointId,
        /// When it ends.
        at: Instant,
    },
}

/// What is known about one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its load.
    pub load: EndpointLoad,
    /// Its prefix cache.
    pub cache: PrefixCache,
    /// Price per hour; 0 if unknown.
    pub hourly: f64,
    /// Known end of its lifetime.
    pub ends_at: Option<Instant>,
    /// KV cache tokens that are being exported.
    pub export_backlog: Backlog,
    /// Hash of its id, for rendezvous hashing.
    pub(crate) id_hash: u64,
    /// Distance from this daemon.
    pub(crate) distance: Distance,
    /// Price penalty in seconds.
    pub(crate) price_s: f64,
    /// Address and version of the process that it describes.
    process: Option<(std::net::SocketAddr, crate::ids::VersionId)>,
}

impl Row for EndpointInfo {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.endpoint
    }
}

impl EndpointInfo {
    fn new(endpoint: &EndpointId, now: Instant) -> Self {
        Self {
            endpoint: endpoint.clone(),
            load: EndpointLoad::new(endpoint.clone(), now),
            cache: PrefixCache::default(),
            hourly: 0.0,
            ends_at: None,
            export_backlog: Backlog::default(),
            id_hash: xxh3_64(endpoint.as_bytes()),
            distance: Distance::Region,
            price_s: 0.0,
            process: None,
        }
    }

    /// Whether this entry describes the process that the row names. A new process
    /// under an old id must not inherit cache and load.
    fn is_same_process(&self, endpoint: &Endpoint) -> bool {
        self.process.as_ref().is_some_and(|(address, version)| {
            *address == endpoint.address && *version == endpoint.version
        })
    }
}

/// Positions of the endpoints of one service.
#[derive(Clone, Debug, PartialEq)]
struct Group {
    service: ServiceId,
    members: Vec<usize>,
}

/// What is known about all endpoints beyond the endpoint table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Latency histograms of the routes.
    pub latencies: RouteLatencies,
    /// Reclaim notices.
    pub notices: Notices,
    /// Position of the round-robin policy.
    pub(crate) round_robin: usize,
    infos: Table<EndpointInfo>,
    groups: Vec<Group>,
    zones: ZoneRegions,
    /// Known ends, including those of endpoints that are not known yet.
    known_ends: Notices,
    /// Whether distances, ends or prices have changed since the last [`View::sync`].
    stale: bool,
}

impl View {
    /// Applies an input about endpoints.
    pub fn apply(&mut self, now: Instant, event: Event) {
        match event {
            Event::Load(report) => {
                let endpoint = report.endpoint.clone();
                self.info_mut(now, &endpoint).load.apply(now, report);
            }
            Event::Cache(event) => self.info_mut(now, &event.endpoint).cache.apply(&event),
            Event::Zone { zone, region } => {
                self.zones.set(zone, region);
                self.stale = true;
            }
            Event::Price { endpoint, hourly } => {
                self.info_mut(now, &endpoint).hourly = hourly;
                self.stale = true;
            }
            Event::Ends { endpoint, at } => {
                self.known_ends.set(now, &endpoint, at);
                self.stale = true;
            }
        }
    }

    /// What is known about an endpoint.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointInfo> {
        self.infos.get(endpoint)
    }

    /// Like [`View::get`], for an endpoint whose position in the endpoint table
    /// is `at`. The entries follow that table once per tick; a search for each
    /// endpoint would double the time of an idle tick.
    pub(crate) fn get_at(&self, at: usize, endpoint: &EndpointId) -> Option<&EndpointInfo> {
        let info = self.infos().get(at);
        info.filter(|info| info.endpoint == *endpoint)
            .or_else(|| self.get(endpoint))
    }

    /// Entries in the order of the endpoint table, after [`View::sync`].
    pub(crate) fn infos(&self) -> &[EndpointInfo] {
        self.infos.iter().as_slice()
    }

    /// Positions of a service's endpoints.
    pub(crate) fn service_endpoints(&self, service: &ServiceId) -> &[usize] {
        match self.find_group(service) {
            Ok(at) => &self.groups[at].members,
            Err(_) => &[],
        }
    }

    /// Records that a prompt was sent to an endpoint, with the tokens that it
    /// would prefill if nothing were cached there.
    pub fn record_prompt(
        &mut self,
        now: Instant,
        blocks: &[u64],
        endpoint: &EndpointId,
        tokens: u32,
    ) {
        let info = self.info_mut(now, endpoint);
        let cached = info.cache.prefix(blocks).weighted_blocks() * f64::from(BLOCK_TOKENS);
        let tokens = (f64::from(tokens) - cached).max(0.0);
        info.load.record_prompt(now, tokens);
        info.cache.record_prompt(blocks);
    }

    /// Records that an endpoint exports KV cache.
    pub(crate) fn record_export(&mut self, now: Instant, endpoint: &EndpointId, tokens: u32) {
        let info = self.info_mut(now, endpoint);
        let rate = info.load.last_report().export;
        info.export_backlog.add(now, rate, f64::from(tokens));
    }

    /// Synchronises the entries with the endpoint table.
    pub fn sync(&mut self, now: Instant, setup: &Setup, endpoints: &Table<Endpoint>) {
        if self.stale || !self.is_synced(endpoints) {
            self.rebuild(now, setup, endpoints);
            self.stale = false;
        }
        for (info, endpoint) in self.infos.iter_mut().zip(endpoints) {
            info.load.record_running(now, endpoint.running);
        }
    }

    fn is_synced(&self, endpoints: &Table<Endpoint>) -> bool {
        self.infos.len() == endpoints.len()
            && self
                .infos
                .iter()
                .zip(endpoints)
                .all(|(info, row)| info.endpoint == row.id && info.is_same_process(row))
    }

    fn rebuild(&mut self, now: Instant, setup: &Setup, endpoints: &Table<Endpoint>) {
        self.infos.retain(|info| endpoints.contains(&info.endpoint));
        for row in endpoints {
            let ends_at = self.known_ends.gone_at(now, &row.id);
            let distance = self.zones.distance(&setup.zone, &setup.region, &row.zone);
            let info = self.info_mut(now, &row.id);
            if info.process.is_some() && !info.is_same_process(row) {
                *info = EndpointInfo::new(&row.id, now);
            }
            info.process = Some((row.address, row.version.clone()));
            info.distance = distance;
            info.ends_at = ends_at;
        }
        self.groups.clear();
        for (at, row) in endpoints.iter().enumerate() {
            self.add_to_group(&row.service, at);
        }
        self.update_prices();
    }

    fn add_to_group(&mut self, service: &ServiceId, position: usize) {
        match self.find_group(service) {
            Ok(at) => self.groups[at].members.push(position),
            Err(at) => {
                let group = Group {
                    service: service.clone(),
                    members: vec![position],
                };
                self.groups.insert(at, group);
            }
        }
    }

    /// Computes each price penalty against the cheapest endpoint of the service.
    fn update_prices(&mut self) {
        let hourly: Vec<f64> = self.infos.iter().map(|info| info.hourly).collect();
        let mut prices = vec![0.0; hourly.len()];
        for group in &self.groups {
            let known = group.members.iter().map(|&at| hourly[at]);
            let cheapest = known.filter(|&h| h > 0.0).fold(f64::INFINITY, f64::min);
            for &at in &group.members {
                prices[at] = price_penalty(hourly[at], cheapest);
            }
        }
        for (info, price) in self.infos.iter_mut().zip(prices) {
            info.price_s = price;
        }
    }

    fn find_group(&self, service: &ServiceId) -> Result<usize, usize> {
        self.groups.binary_search_by(|g| g.service.cmp(service))
    }

    fn info_mut(&mut self, now: Instant, endpoint: &EndpointId) -> &mut EndpointInfo {
        if !self.infos.contains(endpoint) {
            self.infos.insert(EndpointInfo::new(endpoint, now));
        }
        self.infos
            .get_mut(endpoint)
            .expect("the entry was inserted above")
    }
}
