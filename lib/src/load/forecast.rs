//! Forecast of when a request would finish, given the work ahead of it.
//!
//! Answers saturation. Without it every request is admitted until the queue is
//! longer than the deadlines: then each starts too late to be of use, the
//! endpoints are busy with answers that nobody waits for, and goodput falls to
//! nothing while load grows. It would show as full endpoints and hardly any
//! answer in time. Instead, a request that would be late is rejected on arrival.
//!
//! The forecast is the work ahead divided by the measured rate, plus the
//! request's own service time at the present concurrency. Before a rate is
//! measured there is no forecast, and requests are admitted.

use std::time::{Duration, Instant};

/// Factor on the forecast when a request arrives. A request with no margin is
/// late as soon as conditions get worse, and is then rejected after a wait.
const SAFETY_FACTOR: f64 = 1.25;

/// What the available endpoints of a service can do for this daemon.
#[proc_macros::row]
#[derive(Copy, Default)]
pub struct Capacity {
    /// Units of work per second, all endpoints together.
    pub rate: f64,
    /// Recent seconds per unit of work of a single request.
    pub unit_time: f64,
    /// Requests that run.
    pub running: u32,
    /// Requests that may run at the same time.
    pub limit: u32,
}

impl Capacity {
    /// Requests that may be sent now.
    pub fn free(&self) -> u32 {
        self.limit.saturating_sub(self.running)
    }

    /// Service time of a single request in seconds, by the recent time per unit.
    /// The rate is too low while an endpoint has little to do, and would call the
    /// request late for no reason.
    fn service_time(&self, work: f64) -> f64 {
        work * self.unit_time
    }

    /// Whether this daemon has no request running or waiting. It then admits one
    /// request whatever the time per unit was: nothing else could show that the
    /// service is fast again.
    fn is_idle(&self, waiting: u32) -> bool {
        self.running == 0 && waiting == 0
    }

    /// When a request would finish with `ahead` units of work in `waiting`
    /// requests before it; none if nothing was measured.
    pub fn finish_time(
        &self,
        now: Instant,
        ahead: f64,
        waiting: u32,
        work: f64,
    ) -> Option<Instant> {
        if self.rate <= 0.0 || self.is_idle(waiting) {
            return None;
        }
        let seconds = (ahead / self.rate + self.service_time(work)) * SAFETY_FACTOR;
        Some(now + Duration::from_secs_f64(seconds.min(1e6)))
    }

    /// Latest time to send a request that must finish by its deadline; none if
    /// nothing was measured.
    pub fn latest_start(&self, deadline: Instant, work: f64) -> Option<Instant> {
        if self.rate <= 0.0 || self.running == 0 {
            return None;
        }
        let service_time = Duration::from_secs_f64(self.service_time(work).min(1e6));
        deadline.checked_sub(service_time)
    }
}
