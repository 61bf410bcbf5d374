//! Commands of the decision core to the I/O code of the daemon.

use std::net::SocketAddr;
use std::time::Instant;

use crate::ids::{AttemptId, EndpointId, RequestId, ServiceId};
use crate::moves::Action;
use crate::request::Ending;

/// An action for the daemon to carry out.
#[proc_macros::row]
pub enum Command {
    /// Send a request to an endpoint.
    Send(Send),
    /// Cancel an attempt at its endpoint; its answer is no longer needed.
    Cancel(AttemptId),
    /// An action for the version move of a service.
    Move {
        /// Service.
        service: ServiceId,
        /// The action.
        action: Action,
    },
    /// A request ended; respond to its caller.
    Finish {
        /// Request.
        request: RequestId,
        /// How it ended.
        ending: Ending,
    },
}

/// One attempt of a request at an endpoint.
#[proc_macros::row]
pub struct Send {
    /// Request.
    pub request: RequestId,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Number of tokens that the caller has received; the endpoint continues after them.
    /// The I/O code may have forwarded more than it had reported and then uses its own
    /// count; otherwise the caller would receive these tokens twice.
    pub delivered: u32,
    /// Earlier attempt whose KV cache is transferred to this endpoint. It continues until
    /// the cache has been exported and is then cancelled; if none is named here, the earlier
    /// attempt was cancelled before.
    pub cache_from: Option<AttemptId>,
    /// Whether to open a new connection instead of reusing one, so that a failure to connect
    /// proves that nothing was sent.
    pub fresh: bool,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}
