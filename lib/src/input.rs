//! Inputs of the decision core, reported by the I/O code of the daemon.

use std::net::SocketAddr;
use std::time::Instant;

use crate::code::Code;
use crate::ids::{AttemptId, EndpointId, Incarnation, RequestId, ServiceId, VersionId, ZoneId};
use crate::lists::Accepted;
use crate::load::shares::ShareRow;
use crate::moves;
use crate::proof::NotSent;
use crate::request::Order;
use crate::routing::Event;

/// An event outside the decision core.
#[proc_macros::row]
pub enum Input {
    /// A request arrived.
    Arrived(Order),
    /// The caller of a request disconnected and did not reconnect.
    CallerLeft(RequestId),
    /// The caller has received tokens of the answer.
    Progress {
        /// Attempt that they came from.
        attempt: AttemptId,
        /// Request.
        request: RequestId,
        /// Number of tokens since the start of the answer.
        delivered: u32,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// New customer and plan lists were accepted.
    Lists(Accepted),
    /// An endpoint exists.
    Endpoint(ListedEndpoint),
    /// An endpoint was announced as leaving.
    Leaving {
        /// Endpoint.
        endpoint: EndpointId,
        /// When it will be gone.
        until: Instant,
    },
    /// An endpoint is gone.
    Gone(EndpointId),
    /// Routing data of endpoints: load reports, cache events.
    Routing(Event),
    /// Number of daemons that the list of hosts implies, including this one.
    FleetSize(usize),
    /// Another daemon was seen, and all rows that it wrote until then were received.
    PeerSeen(Incarnation),
    /// Another daemon has ended for good.
    PeerEnded(Incarnation),
    /// Another daemon's claim to a share of a customer's limits.
    Share(ShareRow),
    /// An event of the version move of a service.
    Move {
        /// Service.
        service: ServiceId,
        /// The event.
        event: moves::Event,
    },
    /// Wall-clock time and reachable daemons; reported every second.
    ClusterView(moves::ClusterView),
    /// The daemon is shutting down and admits no more requests.
    Drain,
}

/// How an attempt ended.
#[proc_macros::row]
pub enum Outcome {
    /// The complete answer arrived.
    Complete {
        /// HTTP status.
        status: u16,
    },
    /// No byte was sent.
    Unsent(NotSent),
    /// The attempt failed after some bytes were sent.
    Failed {
        /// What failed.
        code: Code,
    },
}

/// An endpoint listed by the platform or in the settings.
#[proc_macros::row]
pub struct ListedEndpoint {
    /// Its id.
    pub id: EndpointId,
    /// Service it serves.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address.
    pub address: SocketAddr,
    /// Version.
    pub version: VersionId,
}
