//! Retry budget: how many failed requests may be retried.
//!
//! Endpoints that are overloaded fail or reject requests. Retrying each of them multiplies
//! the load just when there is too much of it, and a short overload becomes a lasting one.
//! So retries of a service are bounded, over all daemons and in every window: a fraction of the
//! requests, and a small fixed number more.
//!
//! Daemons keep the bound without any exchange. Each request of a caller brings the daemon that
//! received it a credit, which a retry spends and which expires. A credit is spent once at most, by
//! one daemon, so the bound also holds when daemons restart and callers go over to others: what a
//! restart forgets is lost. A window may spend the credits of two windows of requests, its own and
//! the one before, so each is worth half of the fraction.
//!
//! The fixed number accrues with time, in equal parts at all daemons, from nothing at the start. It
//! is divided by the largest number of daemons that was known lately: one that is cut off from the
//! others does not take their parts.

use std::time::{Duration, Instant};

use super::request::Origin;
use super::token_bucket::TokenBucket;
use crate::ServiceId;

/// Part of the allowed fraction that the credit of one request is worth.
const CREDIT_SHARE: f64 = 0.5;
/// Part of the fixed number that is used; the rest covers daemons that know too few others.
const FIXED_SHARE: f64 = 0.75;
/// Part of a daemon's fixed number that accumulates; the rest accrues within a window.
const BURST_SHARE: f64 = 0.5;
/// Steps into which the credits of a window are divided.
const STEPS: u32 = 10;
/// How long a number of daemons counts after it was known, longer than partitions usually last.
const FLEET_MEMORY: Duration = Duration::from_mins(1);

/// Whether a retry may be made, and what the daemon bases that on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Whether it may be made.
    pub granted: bool,
    /// Credits of requests that are left.
    pub credits: f64,
    /// What is left of this daemon's part of the fixed number.
    pub fixed: f64,
    /// Daemons that share the fixed number; `None` if their number is not known.
    pub daemons: Option<usize>,
}

/// Credits of one service.
#[derive(Clone, Debug)]
struct Row {
    service: ServiceId,
    /// Start of each step, and its requests whose credits are not spent.
    steps: Vec<(Instant, f64)>,
    fixed: TokenBucket,
}

impl Row {
    fn expire(&mut self, lifetime: Duration, now: Instant) {
        self.steps
            .retain(|step| now.saturating_duration_since(step.0) < lifetime);
    }

    fn requests(&self) -> f64 {
        self.steps.iter().map(|step| step.1).sum()
    }

    /// Spends the credits of `requests` requests, the oldest first.
    fn spend(&mut self, mut requests: f64) {
        for (_, left) in &mut self.steps {
            let spent = left.min(requests);
            *left -= spent;
            requests -= spent;
        }
    }
}

/// Retry budgets of all services.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    window: Duration,
    /// Sorted by service.
    rows: Vec<Row>,
    /// Numbers of daemons that were known lately, each with when it was known last, from the largest
    /// to the smallest.
    fleet: Vec<(usize, Instant)>,
    /// Since when the fixed number accrues; `None` before a number of daemons is known.
    known_since: Option<Instant>,
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
            fleet: Vec::new(),
            known_since: None,
        }
    }

    /// Records how many daemons this one knows, itself included; `None` if it has heard from nobody.
    /// Their number divides the fixed number.
    pub fn record_fleet(&mut self, daemons: Option<usize>, now: Instant) {
        self.fleet
            .retain(|row| now.saturating_duration_since(row.1) < FLEET_MEMORY);
        if let Some(daemons) = daemons {
            self.fleet.retain(|row| row.0 > daemons);
            self.fleet.push((daemons, now));
            self.known_since.get_or_insert(now);
        }
        let (rate, burst) = self.fixed_rate();
        for row in &mut self.rows {
            row.fixed.set_rate(rate, burst, now);
        }
    }

    /// Records that no daemon retried anything within the last window, so what has accrued in it is
    /// unused.
    pub fn record_idle(&mut self, now: Instant) {
        self.known_since = now.checked_sub(self.window).or(Some(now));
    }

    /// Counts a request. One that another daemon forwarded brings no credit here, as that daemon has
    /// counted it.
    pub fn record_request(&mut self, service: &ServiceId, origin: Origin, now: Instant) {
        let step = self.window / STEPS;
        let row = self.row(service, now);
        if origin == Origin::Daemon {
            return;
        }
        let newest = row.steps.last_mut();
        match newest.filter(|last| now.saturating_duration_since(last.0) < step) {
            Some(last) => last.1 += 1.0,
            None => row.steps.push((now, 1.0)),
        }
    }

    /// Whether the budget allows a retry now.
    pub fn allows_retry(&mut self, service: &ServiceId, now: Instant) -> bool {
        let (lifetime, price) = (self.lifetime(), self.price());
        let row = self.row(service, now);
        row.expire(lifetime, now);
        row.requests() >= price || row.fixed.wait(now).is_zero()
    }

    /// Counts a retry if the budget allows one.
    pub fn try_retry(&mut self, service: &ServiceId, now: Instant) -> Decision {
        let (lifetime, price) = (self.lifetime(), self.price());
        let daemons = self.fleet.first().map(|row| row.0);
        let row = self.row(service, now);
        row.expire(lifetime, now);
        let is_credited = row.requests() >= price;
        let granted = is_credited || row.fixed.wait(now).is_zero();
        if is_credited {
            row.spend(price);
        } else if granted {
            row.fixed.take(now);
        }
        Decision {
            granted,
            credits: row.requests() / price,
            fixed: row.fixed.tokens(now),
            daemons,
        }
    }

    /// How long credits last. A retry takes a while to arrive, so the last step of a window is left out.
    fn lifetime(&self) -> Duration {
        self.window / STEPS * (STEPS - 1)
    }

    /// Requests whose credits a retry spends.
    fn price(&self) -> f64 {
        1.0 / (self.ratio * CREDIT_SHARE)
    }

    /// Retries a second and most retries of this daemon's part of the fixed number.
    fn fixed_rate(&self) -> (f64, f64) {
        let Some((daemons, _)) = self.fleet.first() else {
            return (0.0, 0.0);
        };
        let part = self.slack * FIXED_SHARE / *daemons as f64;
        let rate = part * (1.0 - BURST_SHARE) / self.window.as_secs_f64();
        (rate, part * BURST_SHARE)
    }

    /// The row of a service, which is inserted if missing.
    fn row(&mut self, service: &ServiceId, now: Instant) -> &mut Row {
        let found = self.rows.binary_search_by(|row| row.service.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let (rate, burst) = self.fixed_rate();
            let since = self.known_since.unwrap_or(now);
            let row = Row {
                service: service.clone(),
                steps: Vec::new(),
                fixed: TokenBucket::empty(rate, burst, since),
            };
            self.rows.insert(at, row);
            at
        });
        &mut self.rows[at]
    }
}
