//! The configuration in force: routes, services, teams and limits.
//!
//! A catalog is decoded whole, checked once and then only read. A request keeps
//! the catalog that was in force when it arrived, so a change never mixes two
//! versions within one request.

use std::time::Duration;

use compact_str::CompactString;

use crate::{CustomerId, ServiceId, ZoneId};

/// Number of a configuration; grows with each change.
pub type CatalogVersion = u64;

/// One whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Its number.
    pub version: CatalogVersion,
    /// Routes, sorted by host and then by prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// API keys, sorted, with the index of their team.
    pub keys: Vec<(CompactString, usize)>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// What may be done with a request when its outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May run more than once.
    Safe,
    /// May run at most once.
    Once,
    /// A stream that may go on at another endpoint after its last whole event.
    Resumable,
    /// A stream that may run at most once.
    OnceStream,
}

impl Repeat {
    /// Whether a second run is allowed.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::OnceStream)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// Host that it belongs to, in lower case.
    pub host: CompactString,
    /// Beginning of the paths that it serves.
    pub prefix: CompactString,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target: Duration,
    /// Longest pause between events that is on time.
    pub pause: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Services that its requests go to, with their weights.
    pub backends: Vec<Backend>,
    /// Most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether no API key is asked for.
    pub public: bool,
}

impl Route {
    fn leads_to(&self, service: &str) -> bool {
        self.backends
            .iter()
            .any(|backend| backend.service == service)
    }
}

/// A service and its share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: ServiceId,
    /// Its weight among those of the route.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Connections that one endpoint takes from all daemons.
    pub connections: Option<u32>,
    /// What its model engines can do; `None` for plain services.
    pub engine: Option<Engine>,
    /// How many endpoints may be ordered; `None` if they are not ordered.
    pub scaling: Option<Scaling>,
    /// Shortest target of the routes that lead to it; `None` if none does.
    pub target: Option<Duration>,
}

/// Model engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub tokens: u64,
    /// Tokens in one event of a stream.
    pub stride: u32,
}

/// Bounds and prices of ordered endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Fewest endpoints in a zone.
    pub least: u32,
    /// Most endpoints in a zone.
    pub most: u32,
    /// Time from the order until a new endpoint serves.
    pub boot: Duration,
    /// Price of a reclaimable endpoint beside 1 for others; `None` if there are none.
    pub spot: Option<f64>,
    /// Price by zone, sorted by zone.
    pub zones: Vec<(ZoneId, f64)>,
}

/// One team and what it may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    /// Name, as endpoints are told.
    pub name: CustomerId,
    /// Rank that goes before the route's; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Allowance a second, in units; `None` for no limit.
    pub rate: Option<f64>,
    /// Units on top, for a burst.
    pub burst: f64,
    /// How requests count.
    pub unit: Unit,
}

/// How a request counts against its team's allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Unit {
    /// Each as one.
    #[default]
    Requests,
    /// By tokens in and out; one that states none counts as the number here.
    Tokens(f64),
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head: usize,
    /// Longest body, in bytes.
    pub body: usize,
    /// Longest time that a head may take to arrive.
    pub slow: Duration,
    /// Longest time that a connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// Limits until a configuration states others: what common HTTP servers allow.
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 4 * 1024 * 1024,
            slow: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

impl Catalog {
    /// Brings the tables into their order and looks up what services need of the
    /// routes; to be called once after decoding.
    pub fn sort(&mut self) {
        for service in &mut self.services {
            let leads = |route: &&Route| route.leads_to(&service.name);
            let targets = self.routes.iter().filter(leads).map(|route| route.target);
            service.target = targets.min();
        }
        self.routes
            .sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort();
    }

    /// Route of a host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let from = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        self.routes[from..]
            .iter()
            .take_while(|route| route.host == host)
            .filter(|route| path.starts_with(route.prefix.as_str()))
            .max_by_key(|route| route.prefix.len())
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        at.ok().map(|at| &self.services[at])
    }

    /// Index of the team that holds an API key.
    pub fn team_of(&self, key: &str) -> Option<usize> {
        let at = self
            .keys
            .binary_search_by(|(held, _)| held.as_str().cmp(key));
        at.ok().map(|at| self.keys[at].1)
    }
}
