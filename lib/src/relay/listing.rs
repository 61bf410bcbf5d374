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
    /// Entries that it has written since its start, this one included.
    pub count: u64,
}

impl Listing {
    /// Whether it says nothing that another entry of the same id does not say already: it is
    /// that one, or older.
    pub fn is_known_by(&self, other: &Self) -> bool {
        match (self.born, other.born) {
            (Some(mine), Some(others)) => (mine, self.count) <= (others, other.count),
            _ => false,
        }
    }

    /// Whether it was written before another entry of the same id: in a former life, or
    /// earlier in the same one. Entries that do not tell their life cannot be compared,
    /// as each life counts anew.
    pub fn is_older_than(&self, other: &Self) -> bool {
        match (self.born, other.born) {
            (Some(mine), Some(others)) => (mine, self.count) < (others, other.count),
            _ => false,
        }
    }
}
