//! Whether an endpoint reads what it is sent.
//!
//! The system of an endpoint accepts connections and data also while its process is stopped, and hands
//! all of it over when the process goes on, even if the daemon has given up meanwhile. Requests sent to
//! such an endpoint arrive at an unknown later time, together, so that no bound on arrivals in a window
//! holds for them. An endpoint that has sent nothing since several requests were sent to it therefore
//! gets no further one until it has sent something, such as an answer to a check.

use std::time::Instant;

/// Silent attempts in a row after which an endpoint gets no further request.
const MAX_SILENT_ATTEMPTS: u32 = 2;

/// What shows whether an endpoint reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    /// When anything was last received from it.
    heard: Option<Instant>,
    /// When the last attempt was sent that counts as silent.
    unheard: Option<Instant>,
    /// Silent attempts since it was last heard.
    attempts: u32,
    is_restored: bool,
    /// Whether a check is in progress.
    is_checked: bool,
}

impl Silence {
    /// Of an endpoint that a daemon found silent before this one started.
    pub fn restored() -> Self {
        Self {
            is_restored: true,
            ..Self::default()
        }
    }

    /// Whether it gets no request until it is heard.
    pub fn is_silent(&self) -> bool {
        self.is_restored || self.attempts >= MAX_SILENT_ATTEMPTS
    }

    /// Records that something was received; returns whether it was silent.
    pub fn record_heard(&mut self, now: Instant) -> bool {
        let was_silent = self.is_silent();
        *self = Self {
            heard: Some(now),
            unheard: self.unheard,
            is_checked: self.is_checked,
            ..Self::default()
        };
        was_silent
    }

    /// Records that an attempt was silent for longer than expected; `sent` is when it was sent. Returns
    /// whether the endpoint is silent from now on.
    pub fn record_silence(&mut self, sent: Instant) -> bool {
        if self.heard >= Some(sent) || self.unheard >= Some(sent) {
            return false;
        }
        self.unheard = Some(sent);
        self.attempts += 1;
        self.attempts == MAX_SILENT_ATTEMPTS && !self.is_restored
    }

    /// Begins a check; `false` if none is due or one is in progress.
    pub fn begin_check(&mut self) -> bool {
        self.is_silent() && !std::mem::replace(&mut self.is_checked, true)
    }

    /// Records that the check has ended.
    pub fn end_check(&mut self) {
        self.is_checked = false;
    }
}
