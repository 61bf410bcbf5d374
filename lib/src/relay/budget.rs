//! How many requests may be sent once more.
//!
//! Load: endpoints that fail or refuse while they are overloaded. Sending each
//! failed request again multiplies the load just when there is too much of it,
//! and what was a short overload stays. Each daemon repeats at most a fraction of
//! the requests that it got for a service, so the fraction holds over all daemons
//! without a word between them, plus its part of a small fixed number.

use std::time::{Duration, Instant};

use crate::ServiceId;

/// Share of the allowed repeats that is used; windows of different daemons and of
/// whoever counts do not lie the same.
const USED: f64 = 0.75;
/// Steps in which the window moves on.
const STEPS: u32 = 10;

/// Requests and repeats of one service within the window.
#[derive(Clone, Debug)]
struct Row {
    service: ServiceId,
    /// Beginning of a step, its requests and its repeats.
    steps: Vec<(Instant, u32, u32)>,
}

/// Repeats of all services.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    window: Duration,
    rows: Vec<Row>,
}

impl Budget {
    /// Allows `ratio` repeats for each request of a window, and `slack` more over
    /// all daemons.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            rows: Vec::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, service: &ServiceId, now: Instant) {
        self.step(service, now).1 += 1;
    }

    /// Takes a repeat, if one is left; `daemons` share the fixed number.
    pub fn repeat(&mut self, service: &ServiceId, daemons: usize, now: Instant) -> bool {
        let (ratio, slack, window) = (self.ratio, self.slack, self.window);
        let at = self.row(service);
        let within = |row: &&(Instant, u32, u32)| now.duration_since(row.0) <= window;
        let steps = self.rows[at].steps.iter().filter(within);
        let (requests, repeats) = steps.fold((0, 0), |sum, row| (sum.0 + row.1, sum.1 + row.2));
        let allowed = ratio * f64::from(requests) + slack / daemons.max(1) as f64;
        if f64::from(repeats) + 1.0 > allowed * USED {
            return false;
        }
        self.step(service, now).2 += 1;
        true
    }

    fn step(&mut self, service: &ServiceId, now: Instant) -> &mut (Instant, u32, u32) {
        let window = self.window;
        let at = self.row(service);
        let steps = &mut self.rows[at].steps;
        let fresh = steps.last();
        if fresh.is_none_or(|step| now.duration_since(step.0) >= window / STEPS) {
            steps.retain(|step| now.duration_since(step.0) <= window);
            steps.push((now, 0, 0));
        }
        let last = steps.len() - 1;
        &mut steps[last]
    }

    fn row(&mut self, service: &ServiceId) -> usize {
        let found = self.rows.binary_search_by(|row| row.service.cmp(service));
        found.unwrap_or_else(|at| {
            let row = Row {
                service: service.clone(),
                steps: Vec::new(),
            };
            self.rows.insert(at, row);
            at
        })
    }
}
