//! Settings of a daemon that relays requests on a platform.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;

use super::quota::Tolerance;
use super::startup::Capacity;
use crate::{RegionId, ZoneId};

/// Where a daemon runs, which addresses it uses and which bounds it keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Name of this daemon's host.
    pub name: CompactString,
    /// Availability zone.
    pub zone: ZoneId,
    /// All availability zones, sorted.
    pub zones: Vec<ZoneId>,
    /// Region of each availability zone, sorted by zone.
    pub regions: Vec<(ZoneId, RegionId)>,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address at which the load balancer probes readiness.
    pub ready: SocketAddr,
    /// Address at which operators read metrics and the dump.
    pub metrics: Option<SocketAddr>,
    /// Address to which other daemons send their digests.
    pub peers: SocketAddr,
    /// Hosts of a few other daemons; some may be gone.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// What the store and the link of this host take.
    pub capacity: Capacity,
    /// Address of the platform's API for usage reports and endpoint orders.
    pub cloud: Option<SocketAddr>,
    /// Whether the duty holder reports usage.
    pub reports: bool,
    /// Whether the duty holder orders endpoints.
    pub orders: bool,
    /// Memory that the process may use, in bytes.
    pub memory: u64,
    /// Bounds that all daemons together keep.
    pub bounds: Bounds,
}

/// Bounds that all daemons together keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Retries allowed for each request.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in addition, over all daemons.
    pub retry_slack: f64,
    /// Window over which a team's allowance is counted.
    pub quota_window: Duration,
    /// How far a team may exceed its allowance within a window.
    pub quota_tolerance: Tolerance,
    /// Time to live of a lease that guards a duty.
    pub lease: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// How long after its end a usage window may be reported.
    pub report_deadline: Duration,
    /// How far the rate of a cold endpoint may be exceeded within a second.
    pub cold_tolerance: Tolerance,
    /// Share of a service's requests, and requests in addition, that a bad version may get during a
    /// version move.
    pub exposure: Tolerance,
}
