//! Measurements of all endpoints of a service together.
//!
//! Measurements of single endpoints show too little where there are thousands: a
//! daemon sends each of them one request per half minute.

use std::time::Instant;

use crate::ids::ServiceId;
use crate::load::in_flight::InFlight;
use crate::load::limiter::Limiter;
use crate::load::meter::Meter;
use crate::load::unit_time::UnitTime;
use crate::table::Row;

/// Most requests that a daemon runs at a service at the same time.
const MAX_RUNNING: u32 = 100_000;

/// Measurements of all endpoints of a service together.
#[proc_macros::row]
pub(crate) struct ServiceStats {
    /// Id of the service.
    pub(crate) service: ServiceId,
    /// How fast they do this daemon's work together.
    pub(crate) meter: Meter,
    /// How many requests this daemon may run there at the same time.
    pub(crate) limiter: Limiter,
    /// How long single requests take per unit of work.
    pub(crate) unit_time: UnitTime,
}

impl ServiceStats {
    /// Creates empty measurements.
    pub(crate) fn new(service: ServiceId, now: Instant) -> Self {
        Self {
            service,
            meter: Meter::new(now),
            limiter: Limiter::slow_start(MAX_RUNNING),
            unit_time: UnitTime::default(),
        }
    }

    /// Records an attempt that was in flight until now.
    pub(crate) fn record(&mut self, now: Instant, attempt: &InFlight) {
        let limit = self.limiter.limit();
        self.unit_time
            .record(now, attempt.work, attempt.mark.age(now));
        let sample = self
            .meter
            .record(now, attempt.service_mark, attempt.work, limit);
        if let Some(sample) = sample {
            self.limiter
                .record(sample.elapsed, attempt.work, sample.concurrency);
        }
    }
}

impl Row for ServiceStats {
    type Id = ServiceId;
    fn id(&self) -> &ServiceId {
        &self.service
    }
}
