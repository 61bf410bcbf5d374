//! An amount of work that drains at a steady rate.
//!
//! Models a queue of which only the total is known: prompt tokens that an engine
//! has still to prefill, or cache tokens that a leaving endpoint has still to
//! export.

use std::time::Instant;

/// Level at a point in time; the drain rate is passed in when it is read.
#[proc_macros::row]
#[derive(Copy, Default)]
pub struct Backlog {
    level: f64,
    at: Option<Instant>,
}

impl Backlog {
    /// Backlog with a measured level.
    pub fn new(level: f64, at: Instant) -> Self {
        Self {
            level,
            at: Some(at),
        }
    }

    /// Level at `now`, after draining by `rate` per second.
    pub fn level(&self, now: Instant, rate: f64) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        (self.level - passed * rate).max(0.0)
    }

    /// Drains up to `now`, then adds `amount`.
    pub fn add(&mut self, now: Instant, rate: f64, amount: f64) {
        self.level = self.level(now, rate) + amount;
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
    }
}
