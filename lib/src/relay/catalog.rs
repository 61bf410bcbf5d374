//! The active configuration: routes, services, teams and limits.
//!
//! A catalog is decoded as a whole, checked once and then immutable. A request keeps the
//! catalog that was active when it arrived, so a configuration change never mixes two versions
//! within one request.

use std::time::Duration;

use compact_str::CompactString;

use crate::{CustomerId, RegionId, Revision, ServiceId, ZoneId};

/// Number of a configuration; increases with each change.
pub type CatalogVersion = u64;

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Number of this configuration.
    pub version: CatalogVersion,
    /// Revision of the store at which it was written.
    pub revision: Revision,
    /// Routes, sorted by host and then by prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// API keys, sorted, with the index of their team.
    pub keys: Vec<(CompactString, usize)>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
}

/// Whether a request may be retried when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A stream that may be resumed at another endpoint after its last complete event.
    ResumableStream,
    /// A stream that may run at most once.
    NonIdempotentStream,
}

impl RetryPolicy {
    /// Whether a request whose outcome is unknown may be sent again.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::NonIdempotentStream)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// Host whose requests it serves, in lower case.
    pub host: CompactString,
    /// Prefix of the paths that it serves.
    pub prefix: CompactString,
    /// Whether its requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Longest time that a caller waits for the response.
    pub timeout: Duration,
    /// Latency target of a response, or of the first event of a stream.
    pub target: Duration,
    /// Target for the pause between two events of a stream.
    pub pause_target: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Services that its requests are routed to, with their weights.
    pub backends: Vec<Backend>,
    /// Most endpoints that one request may be sent to, retries included.
    pub attempts: u32,
    /// Whether it serves requests without an API key.
    pub public: bool,
    /// Regions that its requests may be served in, sorted; all if it is empty.
    pub regions: Vec<RegionId>,
}

impl Route {
    fn routes_to(&self, service: &str) -> bool {
        self.backends
            .iter()
            .any(|backend| backend.service == service)
    }
}

/// A service and its weight in a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Path of the health check of its endpoints.
    pub health: CompactString,
    /// Connections that one endpoint accepts from all daemons together; `None` for no limit.
    pub connections: Option<u32>,
    /// Capacity of its model engines; `None` for a service without engines.
    pub engine: Option<Engine>,
    /// Bounds for scaling its endpoints; `None` if they are not scaled.
    pub scaling: Option<Scaling>,
    /// What its endpoints take while they are cold; `None` if they serve at once.
    pub cold: Option<ColdRate>,
    /// Shortest latency target of the routes to it; `None` if there is none.
    pub target: Option<Duration>,
}

/// What an endpoint takes while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// How long it is cold after its start.
    pub time: Duration,
    /// Requests a second from all daemons together.
    pub rate: f64,
}

/// Capacity of one model engine of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub kv_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// Bounds and prices for scaling the endpoints of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Fewest endpoints in a zone.
    pub min: u32,
    /// Most endpoints in a zone.
    pub max: u32,
    /// Time from the order of a new endpoint until it serves requests.
    pub boot_time: Duration,
    /// Price of a reclaimable endpoint relative to an on-demand one; `None` if there are no
    /// reclaimable ones.
    pub reclaimable_price: Option<f64>,
    /// Price by zone, sorted by zone.
    pub zones: Vec<(ZoneId, f64)>,
}

/// A team and its allowance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    /// Name, as it is passed on to endpoints.
    pub name: CustomerId,
    /// Priority, which is compared before that of the route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Allowance in units per second; `None` for no limit.
    pub rate: Option<f64>,
    /// Units that a burst may use beyond the rate.
    pub burst: f64,
    /// Unit in which requests count.
    pub unit: Unit,
    /// Regions that its requests may be served in, sorted; all if it is empty.
    pub regions: Vec<RegionId>,
}

/// How a request counts against its team's allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Unit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// By input and output tokens; a request that states none counts as this many.
    Tokens(f64),
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request header, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a request header may take to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that hold unless the configuration sets others: those of common HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Catalog {
    /// Tokens a second that all teams together may use; `None` if any has no limit in tokens.
    pub fn allowed_tokens(&self) -> Option<f64> {
        let rate = |team: &Team| team.rate.filter(|_| matches!(team.unit, Unit::Tokens(_)));
        let rates: Option<Vec<f64>> = self.teams.iter().map(rate).collect();
        rates
            .filter(|rates| !rates.is_empty())
            .map(|rates| rates.iter().sum())
    }

    /// Sorts the tables and sets the latency target of each service from its routes. Must be
    /// called once after decoding.
    pub fn sort(&mut self) {
        for service in &mut self.services {
            let is_routed = |route: &&Route| route.routes_to(&service.name);
            let targets = self
                .routes
                .iter()
                .filter(is_routed)
                .map(|route| route.target);
            service.target = targets.min();
        }
        self.routes
            .sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort();
    }

    /// Route of a host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        self.routes[first..]
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

    /// Index of the team that an API key belongs to.
    pub fn team_of(&self, key: &str) -> Option<usize> {
        let at = self
            .keys
            .binary_search_by(|(known, _)| known.as_str().cmp(key));
        at.ok().map(|at| self.keys[at].1)
    }
}
