//! Messages that the core's actor takes.

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
    /// What is asked.
    pub request: CallerRequest,
    /// Id that was given out for it already.
    pub id: Option<RequestId>,
}

/// Customer that an API key belongs to.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<CustomerId, Code>")]
pub struct Authenticate(pub String);

/// A caller comes back for an answer.
#[derive(Debug, Message)]
#[rtype(result = "Result<(Arc<Answer>, Arc<RequestKind>), Code>")]
pub struct FindAnswer {
    /// API key.
    pub key: String,
    /// Request.
    pub id: RequestId,
}

/// Something happened at a border.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Report(pub Input);

/// Nobody reads a request's answer any more.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Abandoned(pub RequestId);

/// Lets nothing more in.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Drain;

/// Whether nothing runs and nobody reads.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "bool")]
pub struct IsIdle;

/// Ticks if inputs wait.
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
    /// Its id.
    pub id: EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// Model engines of an availability zone.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Vec<Engine>")]
pub struct GetEngines(pub ZoneId);

/// What this daemon claims of customers' limits.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<ShareRow>")]
pub struct GetShares;

/// State in short.
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

/// Why an edit was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// The lists do not pass their checks.
    #[error("the lists do not pass their checks")]
    Invalid(Vec<ValidationError>),
    /// Another edit came first.
    #[error("the lists are at revision {current} already")]
    Conflict {
        /// Revision in force.
        current: Revision,
    },
}

/// Services with a move on record, and whether this daemon's news of it are fresh.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<(ServiceId, bool)>")]
pub struct MoveFreshness;

/// What runs of a service, seen from a move to a version; none if nothing does.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<moves::ask::Fleet>")]
pub struct GetFleet(pub ServiceId, pub VersionId);

/// Names of the tables.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<&'static str>")]
pub struct GetTables;

/// Rows of a table with their ids; none if there is no such table.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Vec<(String, Value)>>")]
pub struct DumpTable(pub String);
