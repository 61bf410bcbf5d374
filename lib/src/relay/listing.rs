//! What the platform's registry says of one endpoint.

use std::net::SocketAddr;

use crate::{EndpointId, ServiceId, VersionId, ZoneId};

/// One entry of the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Its id; a restart mostly brings a new one.
    pub id: EndpointId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of its software.
    pub version: VersionId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving and must get nothing new.
    pub leaving: bool,
    /// Whether it may be reclaimed at short notice.
    pub spot: bool,
    /// Unix time of its start, in milliseconds; tells two lives under one id apart.
    pub born: Option<u64>,
}
