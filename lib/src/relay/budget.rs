//! Retry budget: how many failed requests may be retried.
//!
//! Endpoints that are overloaded fail or reject requests. Retrying each of them multiplies
//! the load just when there is too much of it, and a short overload becomes a lasting one.
//! So each daemon retries at most a fraction of the requests that it received for a service,
//! plus its part of a small fixed number. The fraction then holds over all daemons without
//! any exchange between them.

use std::time::{Duration, Instant};

use crate::ServiceId;

/// Share of the allowed retries that is used, as the windows of the daemons and of whoever
/// checks the bound are not aligned.
const USABLE_SHARE: f64 = 0.75;
/// Steps into which the sliding window is divided.
const STEPS: u32 = 10;

/// Requests and retries of one service within the window.
#[derive(Clone, Debug)]
struct Row {
    service: ServiceId,
    /// Start of each step, its requests and its retries.
    steps: Vec<(Instant, u32, u32)>,
}

/// Whether a retry may be made, and what the daemon bases that on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Whether it may be made.
    pub granted: bool,
    /// Retries that this daemon may still make now.
    pub left: f64,
    /// Daemons that share the fixed number.
    pub daemons: usize,
}

/// Retry budgets of all services.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    window: Duration,
    /// Sorted by service.
    rows: Vec<Row>,
}

impl Budget {
    /// Allows `ratio` retries for each request of a window, and `slack` more over all
    /// daemons.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            rows: Vec::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        self.step(service, now).1 += 1;
    }

    /// Takes back a request that another daemon counts.
    pub fn withdraw_request(&mut self, service: &ServiceId) {
        let at = self.row(service);
        let mut steps = self.rows[at].steps.iter_mut().rev();
        if let Some(step) = steps.find(|step| step.1 > 0) {
            step.1 -= 1;
        }
    }

    /// Counts a retry if the budget allows one; `daemons` share the fixed number.
    pub fn try_retry(&mut self, service: &ServiceId, daemons: usize, now: Instant) -> Decision {
        let (ratio, slack, window) = (self.ratio, self.slack, self.window);
        let at = self.row(service);
        let within = |row: &&(Instant, u32, u32)| now.duration_since(row.0) <= window;
        let steps = self.rows[at].steps.iter().filter(within);
        let (requests, retries) = steps.fold((0, 0), |sum, row| (sum.0 + row.1, sum.1 + row.2));
        let allowed = ratio * f64::from(requests) + slack / daemons.max(1) as f64;
        let left = allowed * USABLE_SHARE - f64::from(retries);
        let granted = left >= 1.0;
        if granted {
            self.step(service, now).2 += 1;
        }
        Decision {
            granted,
            left: if granted { left - 1.0 } else { left },
            daemons,
        }
    }

    /// The current step, which is added when the last one is over.
    fn step(&mut self, service: &ServiceId, now: Instant) -> &mut (Instant, u32, u32) {
        let window = self.window;
        let at = self.row(service);
        let steps = &mut self.rows[at].steps;
        let newest = steps.last();
        if newest.is_none_or(|step| now.duration_since(step.0) >= window / STEPS) {
            steps.retain(|step| now.duration_since(step.0) <= window);
            steps.push((now, 0, 0));
        }
        let last = steps.len() - 1;
        &mut steps[last]
    }

    /// Index of the row of a service, which is inserted if missing.
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
