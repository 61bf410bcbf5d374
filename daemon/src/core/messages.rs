//! Messages to the actor of the core.

use std::net::SocketAddr;
use std::sync::Arc;

use actix::Message;
use poplarvale_lib::load::shares::ShareRow;
use poplarvale_lib::moves;
use poplarvale_lib::protos::operator::Status;
use poplarvale_lib::{
    Accepted, Code, CustomerId, EndpointId, Input, Lists, RequestId, Revision, ServiceId,
    ValidationError, VersionId, ZoneId,
};
use serde_json::Value;

use crate::answer::Answer;
use crate::job::{CallerRequest, RequestKind};

/// A caller's request.
#[derive(Debug, Message)]
#[rtype(result = "Result<Arc<Answer>, Code>")]
pub struct Submit {
    /// API key.
    pub key: String,
    /// The request.
    pub request: CallerRequest,
    /// Id that was already assigned to the request.
    pub id: Option<RequestId>,
}

/// Looks up the customer of an API key.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<CustomerId, Code>")]
pub struct Authenticate(pub String);

/// Looks up an answer for a caller that reconnects.
#[derive(Debug, Message)]
#[rtype(result = "Result<(Arc<Answer>, Arc<RequestKind>), Code>")]
pub struct FindAnswer {
    /// API key.
    pub key: String,
    /// Request.
    pub id: RequestId,
}

/// An event for the core, reported by the code that does I/O.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Report(pub Input);

/// The last reader of a request's answer has disconnected.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Abandoned(pub RequestId);

/// Stops the admission of requests.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Drain;

/// Whether no request runs and no caller reads an answer.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "bool")]
pub struct IsIdle;

/// Ticks if inputs are pending.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct TickNow;

/// Stops the actor.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Stop;

/// A model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Endpoint id.
    pub id: EndpointId,
    /// Endpoint address.
    pub address: SocketAddr,
}

/// Model engines of an availability zone.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Vec<Engine>")]
pub struct GetEngines(pub ZoneId);

/// This daemon's demand for and claims on customers' limits.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<ShareRow>")]
pub struct GetShares;

/// Summary of the daemon's state.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Status")]
pub struct GetStatus;

/// The lists in force.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Accepted")]
pub struct GetLists;

/// Replaces the lists if they are still at a revision.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Revision, PutError>")]
pub struct PutLists {
    /// Revision that was edited.
    pub base: Revision,
    /// New lists.
    pub lists: Lists,
}

/// Why an edit of the lists was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// The lists are invalid.
    #[error("the lists do not pass their checks")]
    Invalid(Vec<ValidationError>),
    /// The lists have changed since the base revision.
    #[error("the lists are at revision {current} already")]
    Conflict {
        /// Revision in force.
        current: Revision,
    },
}

/// Services with a recorded version move, and whether this daemon's information on the move is
/// fresh.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<(ServiceId, bool)>")]
pub struct MoveFreshness;

/// Counts the endpoints of a service by version for a move to a version. None if the service is
/// unknown or no endpoint of another version runs.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<moves::ask::Fleet>")]
pub struct GetFleet(pub ServiceId, pub VersionId);

/// Names of the tables that can be dumped.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<&'static str>")]
pub struct GetTables;

/// Rows of a table with their ids. None if the table doesn't exist.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Vec<(String, Value)>>")]
pub struct DumpTable(pub String);
