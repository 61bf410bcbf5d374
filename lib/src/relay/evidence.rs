//! Which endpoints fail, by what their answers show.
//!
//! An endpoint can fail its requests while its health check passes, fall silent,
//! or hand out broken bytes. Health checks do not see that and cost money, so
//! each answer counts as evidence. An endpoint that fails too many is left out
//! for a while and then tried with one real request; without this, callers would
//! get its failures until operators step in.

use std::time::{Duration, Instant};

/// Weight of a new outcome. One in six: four failures in a row leave an endpoint
/// out, a tenth of failures never does.
const LEARN: f64 = 1.0 / 6.0;
/// Smoothed share of failures above which an endpoint is left out. Services are
/// known that fail 14 in 100 by themselves; faulty endpoints fail 40 and more.
const FAILING: f64 = 0.45;
/// Pause before the first trial, doubled after each failed one.
const PAUSE: Duration = Duration::from_millis(700);
/// Longest pause before a trial.
const MOST_PAUSE: Duration = Duration::from_secs(4);
/// Failures to connect in a row after which an endpoint is left out at once.
const UNREACHED: u32 = 2;

/// Evidence on one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    share: f64,
    unreached: u32,
    pauses: u32,
    until: Option<Instant>,
    trial: bool,
}

impl Evidence {
    /// Whether the endpoint may get a request now.
    pub fn is_fit(&self, now: Instant) -> bool {
        match self.until {
            None => true,
            Some(until) => now >= until && !self.trial,
        }
    }

    /// Whether it is left out at present, trials included.
    pub fn is_out(&self) -> bool {
        self.until.is_some()
    }

    /// Notes that a request is sent; the first one after a pause is the trial.
    pub fn sent(&mut self) {
        if self.until.is_some() {
            self.trial = true;
        }
    }

    /// Notes an answer that was as it should be.
    pub fn good(&mut self) {
        self.unreached = 0;
        self.share -= LEARN * self.share;
        if self.until.is_some() {
            *self = Self::default();
        }
    }

    /// Notes a failure; tells whether the endpoint is left out because of it.
    pub fn bad(&mut self, now: Instant) -> bool {
        self.share += LEARN * (1.0 - self.share);
        if self.until.is_some() || self.share > FAILING {
            return self.leave_out(now);
        }
        false
    }

    /// Notes that no connection could be made; tells whether the endpoint is left
    /// out because of it.
    pub fn unreached(&mut self, now: Instant) -> bool {
        self.unreached += 1;
        if self.until.is_some() || self.unreached >= UNREACHED {
            return self.leave_out(now);
        }
        false
    }

    /// Notes that a request ended without telling anything of the endpoint.
    pub fn nothing(&mut self) {
        self.trial = false;
    }

    fn leave_out(&mut self, now: Instant) -> bool {
        let fresh = self.until.is_none_or(|until| now >= until);
        if fresh {
            let pause = PAUSE * 2_u32.saturating_pow(self.pauses.min(8));
            self.until = Some(now + pause.min(MOST_PAUSE));
            self.pauses += 1;
        }
        self.trial = false;
        fresh
    }
}
