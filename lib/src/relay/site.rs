//! Settings of a daemon that relays on a platform, and their checks.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;

use super::quota::Tolerance;
use crate::ZoneId;

/// Where a daemon runs, what it talks to and what binds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Name of this daemon's host.
    pub name: CompactString,
    /// Availability zone.
    pub zone: ZoneId,
    /// All availability zones, sorted.
    pub zones: Vec<ZoneId>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready: SocketAddr,
    /// Where operators read metrics and the dump.
    pub metrics: Option<SocketAddr>,
    /// Where other daemons send their digests.
    pub peers: SocketAddr,
    /// Hosts of a few other daemons; some may be gone.
    pub seeds: Vec<IpAddr>,
    /// The platform's key-value service.
    pub store: SocketAddr,
    /// The platform's API for reports and orders.
    pub cloud: Option<SocketAddr>,
    /// Whether usage is to be reported.
    pub reports: bool,
    /// Whether endpoints may be ordered.
    pub orders: bool,
    /// Memory that the process may use, in bytes.
    pub memory: u64,
    /// Bounds that the daemons keep together.
    pub bounds: Bounds,
}

/// Bounds that the daemons keep together.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Repeats allowed for each request.
    pub repeat: f64,
    /// Window over which repeats are counted.
    pub repeat_window: Duration,
    /// Repeats allowed on top, over all daemons.
    pub repeat_slack: f64,
    /// Window over which a team's allowance is counted.
    pub quota_window: Duration,
    /// How far beyond its allowance a team may come within it.
    pub quota_tolerance: Tolerance,
    /// Life of a lease that guards a duty.
    pub lease: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// How long after its end a usage window may be reported.
    pub usage_late: Duration,
    /// Share of a service's requests that an unproved version may get.
    pub exposure: f64,
}
