//! Measurements of all endpoints of a service together.
//!
//! Measurements of single endpoints show too little where there are thousands: a
//! daemon sends each of them one request per half minute.

use std::time::Instant;

use crate::ids::ServiceId;
use crate::load::limiter::Limiter;
use crate::load::meter::Meter;
use crate::load::pace::Pace;
use crate::load::sent::Sent;
use crate::table::Row;

/// Most requests that a daemon runs at a service at the same time.
const MOST_RUNNING: u32 = 100_000;

/// Measurements of all endpoints of a service together.
#[proc_macros::row]
pub(crate) struct Whole {
    /// Id of the service.
    pub(crate) service: ServiceId,
    /// How fast they do this daemon's work together.
    pub(crate) meter: Meter,
    /// How many requests this daemon may run there at the same time.
    pub(crate) limiter: Limiter,
    /// How long single requests take per unit of work.
    pub(crate) pace: Pace,
}

impl Whole {
    /// Creates empty measurements.
    pub(crate) fn new(service: ServiceId, now: Instant) -> Self {
        Self {
            service,
            meter: Meter::new(now),
            limiter: Limiter::opening(MOST_RUNNING),
            pace: Pace::default(),
        }
    }

    /// Records an attempt that was in flight until now.
    pub(crate) fn learn(&mut self, now: Instant, sent: &Sent) {
        let limit = self.limiter.limit();
        self.pace.add(now, sent.work, sent.mark.age(now));
        let sample = self.meter.complete(now, sent.whole, sent.work, limit);
        if let Some(sample) = sample {
            self.limiter.complete(sample.took, sent.work, sample.beside);
        }
    }
}

impl Row for Whole {
    type Id = ServiceId;
    fn id(&self) -> &ServiceId {
        &self.service
    }
}
