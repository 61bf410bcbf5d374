//! Entries of the platform's registry of endpoints.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::{EndpointId, ServiceId, VersionId, ZoneId};

/// One entry of the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Id of the endpoint; a restart usually brings a new one.
    pub id: EndpointId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of its software.
    pub version: VersionId,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining and must get no new requests.
    pub leaving: bool,
    /// Whether it may be reclaimed at short notice.
    pub spot: bool,
    /// Unix time of its start, in milliseconds; distinguishes incarnations with the same id.
    pub born: Option<u64>,
    /// Sequence number: entries that it has written since its start, this one included.
    pub count: u64,
    /// For how long it is still cold; `None` if it is warm.
    pub cold: Option<ColdTime>,
}

/// Longest time for which an endpoint may state to be cold.
pub const MAX_COLD_TIME: Duration = Duration::from_mins(1);

/// Statement of an endpoint that it is cold: it takes few requests a second until it is warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTime {
    /// When this daemon read the statement.
    pub read: Instant,
    /// When the endpoint is warm.
    pub until: Instant,
}

impl ColdTime {
    /// A statement read now, that the endpoint is cold for a further time; `None` if it is warm.
    /// Absurdly long times are cut to [`MAX_COLD_TIME`].
    pub fn after(left: Duration, now: Instant) -> Option<Self> {
        (left > Duration::ZERO).then(|| Self {
            read: now,
            until: now + left.min(MAX_COLD_TIME),
        })
    }
}

impl Listing {
    /// Whether another entry of the same id makes this one redundant: both are the same, or
    /// this one is older.
    pub fn is_redundant_to(&self, other: &Self) -> bool {
        match (self.born, other.born) {
            (Some(own), Some(others)) => (own, self.count) <= (others, other.count),
            _ => false,
        }
    }

    /// Whether it was written before another entry of the same id: in a former incarnation, or
    /// earlier in the same one. Entries without a start time cannot be compared, as each
    /// incarnation counts its entries from the beginning.
    pub fn is_older_than(&self, other: &Self) -> bool {
        match (self.born, other.born) {
            (Some(own), Some(others)) => (own, self.count) < (others, other.count),
            _ => false,
        }
    }
}
