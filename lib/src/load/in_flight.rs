//! Attempts in flight, and the state of the meters when they were sent.

use crate::ids::{AttemptId, EndpointId, ServiceId};
use crate::load::meter::Mark;
use crate::table::Row;

/// An attempt in flight, and the state of the meters when it was sent.
#[proc_macros::row]
pub(crate) struct InFlight {
    /// Id of the attempt.
    pub(crate) id: AttemptId,
    /// Endpoint that it was sent to.
    pub(crate) endpoint: EndpointId,
    /// Mark of the endpoint's meter.
    pub(crate) mark: Mark,
    /// Mark of the service's meter.
    pub(crate) service_mark: Mark,
    /// Service of the request.
    pub(crate) service: ServiceId,
    /// Units of work that remained when it was sent.
    pub(crate) work: f64,
}

impl Row for InFlight {
    type Id = AttemptId;
    fn id(&self) -> &AttemptId {
        &self.id
    }
}
