//! Measurements of one endpoint.

use std::time::Instant;

use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, ServiceId, VersionId};
use crate::load::ejection::Ejection;
use crate::load::limiter::Limiter;
use crate::load::meter::Meter;
use crate::table::Row;

/// Measurements of one endpoint.
#[proc_macros::row]
pub(crate) struct EndpointStats {
    /// Id of the endpoint.
    pub(crate) id: EndpointId,
    /// Version that was measured.
    pub(crate) version: VersionId,
    /// Service of the endpoint.
    pub(crate) service: ServiceId,
    /// How fast it does this daemon's work.
    pub(crate) meter: Meter,
    /// How many requests this daemon may run there at the same time.
    pub(crate) limiter: Limiter,
    /// Whether it gets requests.
    pub(crate) ejection: Ejection,
}

impl EndpointStats {
    /// Creates empty measurements.
    pub(crate) fn new(endpoint: &Endpoint, now: Instant, ceiling: u32) -> Self {
        Self {
            id: endpoint.id.clone(),
            version: endpoint.version.clone(),
            service: endpoint.service.clone(),
            meter: Meter::new(now),
            limiter: Limiter::new(ceiling),
            ejection: Ejection::new(now),
        }
    }

    /// Units of work per second that it does for this daemon; none before there
    /// are enough samples.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.meter.rate(self.limiter.expected_rate())
    }

    /// Seconds per unit of work of a single request, at least what is normal.
    pub(crate) fn unit_time(&self) -> f64 {
        let unit_time = self.meter.unit_time().unwrap_or(0.0);
        unit_time.max(self.limiter.normal_unit_time())
    }
}

impl Row for EndpointStats {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.id
    }
}
