//! Estimates how long a service takes for a unit of work at present.
//!
//! Answers overload that all daemons make together. Hundreds of daemons share the
//! endpoints, each with few requests at each: none of them has a queue, and what
//! one endpoint did for one daemon is out of date when that daemon's next request
//! goes there. What a daemon does see is that its requests take longer, at
//! whichever endpoint. Without this module each daemon admits everything and all
//! of it is late.
//!
//! Completed requests describe the past, and under overload hardly any complete.
//! So running requests count too: one that has run longer than is typical shows
//! that the time is at least that. A request whose deadline passed counts as one
//! that took until then.

use std::time::{Duration, Instant};

/// Weight of the latest request. Five requests show a change; a daemon that
/// admits few requests, because the service was slow, must notice soon that it is
/// fast again.
const GAIN: f64 = 0.2;

/// Time without a completed request after which earlier ones no longer count.
/// Otherwise the first callers after overload would be rejected while endpoints
/// are idle.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// Recent speed of single requests of a service.
#[proc_macros::row]
#[derive(Copy, Default)]
pub struct UnitTime {
    /// Mean of the speeds in units of work per second, each times its weight.
    speed: f64,
    /// Mean of the weights, which are the requests' units of work.
    weight: f64,
    count: u32,
    last: Option<Instant>,
}

impl UnitTime {
    /// Records a request that took `elapsed` seconds for its units of work.
    /// Speeds are weighted by work, so an endpoint that does little has little
    /// influence.
    pub fn record(&mut self, now: Instant, work: f64, elapsed: f64) {
        if work <= 0.0 || elapsed <= 0.0 {
            return;
        }
        self.count = if self.is_fresh(now) {
            self.count.saturating_add(1)
        } else {
            1
        };
        self.last = Some(now);
        let gain = GAIN.max(1.0 / f64::from(self.count));
        self.speed += gain * (work * work / elapsed - self.speed);
        self.weight += gain * (work - self.weight);
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| now < last + STALE_AFTER)
    }

    /// Seconds per unit of work of the requests that ended. If none ended
    /// recently, it is at most `normal`.
    fn completed(&self, now: Instant, normal: f64) -> f64 {
        let completed = self.weight / self.speed;
        if self.is_fresh(now) {
            completed
        } else {
            completed.min(normal)
        }
    }

    /// Seconds per unit of work, with the running requests included by their ages
    /// in seconds and their units of work. None before any request ended.
    pub fn estimate(
        &self,
        now: Instant,
        normal: f64,
        running: impl Iterator<Item = (f64, f64)>,
    ) -> Option<f64> {
        self.last?;
        let typical = self.completed(now, normal);
        let mut speed = 0.0;
        let mut weight = 0.0;
        for (age, work) in running {
            let unit_time = typical.max(age / work);
            if unit_time > 0.0 {
                speed += work / unit_time;
                weight += work;
            }
        }
        if speed > 0.0 {
            Some(weight / speed)
        } else {
            Some(typical)
        }
    }
}
