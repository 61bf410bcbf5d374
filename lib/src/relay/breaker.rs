//! Circuit breaker that takes failing endpoints out of use, by their answers to requests.
//!
//! An endpoint can fail its requests while its health check passes, stop answering, or send
//! broken data. Health checks do not notice that and cost money, so each answer counts instead.
//! An endpoint that fails too many requests gets none for a pause and is then tried with one
//! real request; otherwise callers would get its failures until operators act.

use std::time::{Duration, Instant};

/// Weight of a new result in the smoothed share of failures. With one in six, four failures in
/// a row take an endpoint out of use, and a failure share of a tenth never does.
const RESULT_WEIGHT: f64 = 1.0 / 6.0;
/// Smoothed share of failures above which an endpoint is taken out of use. Some healthy
/// services fail 14 requests in 100; faulty endpoints fail 40 and more.
const MAX_FAILURE_SHARE: f64 = 0.45;
/// Pause before the first trial; each failed trial doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(700);
/// Longest pause before a trial.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Consecutive failures to connect after which an endpoint is taken out of use.
const MAX_CONNECT_FAILURES: u32 = 2;

/// Circuit breaker of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CircuitBreaker {
    failure_share: f64,
    connect_failures: u32,
    pauses: u32,
    open_until: Option<Instant>,
    on_trial: bool,
}

impl CircuitBreaker {
    /// Whether the endpoint may get a request now.
    pub fn allows_request(&self, now: Instant) -> bool {
        match self.open_until {
            None => true,
            Some(open_until) => now >= open_until && !self.on_trial,
        }
    }

    /// Whether the endpoint is out of use, including while it is on trial.
    pub fn is_open(&self) -> bool {
        self.open_until.is_some()
    }

    /// Records that a request is sent; the first one after a pause is the trial.
    pub fn record_sent(&mut self) {
        if self.open_until.is_some() {
            self.on_trial = true;
        }
    }

    /// Records a correct answer.
    pub fn record_success(&mut self) {
        self.connect_failures = 0;
        self.failure_share -= RESULT_WEIGHT * self.failure_share;
        if self.open_until.is_some() {
            *self = Self::default();
        }
    }

    /// Records a failure; returns whether it takes the endpoint out of use.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.failure_share += RESULT_WEIGHT * (1.0 - self.failure_share);
        if self.open_until.is_some() || self.failure_share > MAX_FAILURE_SHARE {
            return self.open(now);
        }
        false
    }

    /// Records that no connection could be made; returns whether that takes the endpoint out of
    /// use.
    pub fn record_connect_failure(&mut self, now: Instant) -> bool {
        self.connect_failures += 1;
        if self.open_until.is_some() || self.connect_failures >= MAX_CONNECT_FAILURES {
            return self.open(now);
        }
        false
    }

    /// Records that a request ended without showing whether the endpoint works.
    pub fn record_inconclusive(&mut self) {
        self.on_trial = false;
    }

    /// Has an endpoint that is out of use tried at once, and soon again if that fails.
    pub fn retry(&mut self, now: Instant) {
        if self.open_until.is_some() {
            self.open_until = Some(now);
            self.pauses = 0;
        }
    }

    fn open(&mut self, now: Instant) -> bool {
        let is_new = self.open_until.is_none_or(|open_until| now >= open_until);
        if is_new {
            let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.pauses.min(8));
            self.open_until = Some(now + pause.min(MAX_PAUSE));
            self.pauses += 1;
        }
        self.on_trial = false;
        is_new
    }
}
