//! Whether the platform's store answers this daemon.
//!
//! Entries of running endpoints expire while the store is down, so after an outage a missing
//! entry is no sign that its endpoint is gone. A daemon notices an outage only by the answers
//! that it does not get, and that may as well be a partition between itself and the store.
//! Daemons therefore advertise since when the store has answered them without interruption,
//! and a daemon that is reconnected relies on the one that has been connected longest.

use std::time::{Duration, Instant};

/// Time of failing calls after which missing entries may belong to running endpoints: half of
/// the three heartbeat intervals after which the registry drops an unresponsive endpoint.
const OUTAGE_AFTER: Duration = Duration::from_millis(1500);

/// Time during which the store answered a daemon without interruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachableSpan {
    /// First answer after the last interruption.
    pub since: Instant,
    /// Last answer.
    pub last_answer: Instant,
}

/// Connectivity of one daemon with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connectivity {
    /// Last answer; the start of the daemon before the first one.
    last_answer: Instant,
    /// Since when the store answers without interruption; `None` while it does not.
    since: Option<Instant>,
    /// Start of the first call without an answer since the last answer, if there was one.
    failing_since: Option<Instant>,
    /// When the last interruption was detected.
    lost_at: Option<Instant>,
}

impl Connectivity {
    /// Starts without an answer.
    pub fn new(now: Instant) -> Self {
        Self {
            last_answer: now,
            since: None,
            failing_since: None,
            lost_at: None,
        }
    }

    /// Records an answer that came at `at`, to this daemon or to one that feeds it. An answer from
    /// before the first failing call does not end an interruption.
    pub fn record_answer(&mut self, at: Instant) {
        self.last_answer = self.last_answer.max(at);
        if self.failing_since.is_some_and(|first| at <= first) {
            return;
        }
        self.failing_since = None;
        self.since.get_or_insert(at);
    }

    /// Records that a call which started at `began` got no answer.
    ///
    /// Only the time of failing calls counts. A watch that waits for changes gets no answer
    /// either, and the time before it is no sign of an outage: if it counted, endpoints that
    /// left then would be kept in use as if their entries had expired.
    pub fn record_failure(&mut self, began: Instant, now: Instant) {
        let first = *self.failing_since.get_or_insert(began);
        let is_long = now.saturating_duration_since(first) > OUTAGE_AFTER;
        if is_long && self.since.take().is_some() {
            self.lost_at = Some(now);
        }
    }

    /// Whether the store answers; `false` from an outage in which entries may have expired
    /// until the next answer.
    pub fn is_reachable(&self) -> bool {
        self.since.is_some()
    }

    /// When the last answer came; the start of the daemon before the first one.
    pub fn last_answer(&self) -> Instant {
        self.last_answer
    }

    /// Time since the last answer.
    pub fn since_answer(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_answer)
    }

    /// Since when the store has been available, as the connectivity of another daemon shows to
    /// this one after an interruption of its own.
    ///
    /// The other daemon must have had an answer after the interruption was detected here: in
    /// an outage of the store it may not have detected yet that it gets no answers either.
    pub fn available_since(&self, other: ReachableSpan) -> Option<Instant> {
        let lost_at = self.lost_at?;
        let is_back = self.since.is_some();
        (is_back && other.last_answer >= lost_at).then_some(other.since)
    }

    /// The time of uninterrupted connectivity; `None` while there is none.
    pub fn span(&self) -> Option<ReachableSpan> {
        let last_answer = self.last_answer;
        self.since.map(|since| ReachableSpan { since, last_answer })
    }
}
