//! The endpoint table of the decision core.

use std::net::SocketAddr;
use std::time::Instant;

use crate::ids::{EndpointId, ServiceId, VersionId, ZoneId};
use crate::table::Row;

/// An endpoint process and its state at this daemon.
#[proc_macros::row]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// Service it serves.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its listen address.
    pub address: SocketAddr,
    /// Version it runs.
    pub version: VersionId,
    /// When it will be gone, if it has been announced as leaving.
    pub leaving: Option<Instant>,
    /// Number of this daemon's requests running there.
    pub running: u32,
    /// Maximum number of this daemon's concurrent requests there.
    pub limit: u32,
    /// Until when it is ejected and receives no requests.
    pub ejected_until: Option<Instant>,
    /// Consecutive failures since the last success.
    pub failures: u32,
}

impl Endpoint {
    /// Whether it is neither leaving nor ejected, even if it is at its limit now.
    pub fn is_available(&self, now: Instant) -> bool {
        self.leaving.is_none() && self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Whether new requests may be sent to it now.
    pub fn accepts(&self, now: Instant) -> bool {
        self.is_available(now) && self.running < self.limit
    }
}

impl Row for Endpoint {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.id
    }
}
