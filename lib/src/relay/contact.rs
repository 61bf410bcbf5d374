//! This daemon's contact with the platform's store.
//!
//! Entries of living endpoints lapse while the store is away, so after an outage
//! a missing entry says little. What a daemon sees of an outage is only that it
//! gets no answer; that may as well be its own way to the store. Daemons therefore
//! tell one another since when the store answers them without a break, and whoever is
//! back goes by the one that has had it longest.

use std::time::{Duration, Instant};

/// Time without an answer to calls from which on missing entries may belong to living
/// endpoints: half of the three intervals after which the registry drops a silent
/// endpoint.
const OUTAGE: Duration = Duration::from_millis(1500);

/// Time during which the store answered a daemon without a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// First answer after the last break.
    pub since: Instant,
    /// Last answer.
    pub heard: Instant,
}

/// Contact of one daemon with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Last answer; the start of the daemon before the first one.
    heard: Instant,
    /// Since when it answers without a break; `None` while it does not.
    since: Option<Instant>,
    /// Start of the first call without an answer, if none was answered since.
    failing: Option<Instant>,
    /// When the last break was noticed.
    broke: Option<Instant>,
}

impl Contact {
    /// Begins without an answer yet.
    pub fn new(now: Instant) -> Self {
        Self {
            heard: now,
            since: None,
            failing: None,
            broke: None,
        }
    }

    /// Notes an answer that came at a moment.
    pub fn answered(&mut self, now: Instant) {
        self.heard = self.heard.max(now);
        self.failing = None;
        self.since.get_or_insert(now);
    }

    /// Notes that a call which began at a moment got no answer.
    ///
    /// Only the time of such calls counts. A watch that waits for news is silent too,
    /// and the time before it shows nothing of an outage: endpoints that left then would
    /// be kept in use as if their entries had lapsed.
    pub fn failed(&mut self, began: Instant, now: Instant) {
        let first = *self.failing.get_or_insert(began);
        let is_long = now.saturating_duration_since(first) > OUTAGE;
        if is_long && self.since.take().is_some() {
            self.broke = Some(now);
        }
    }

    /// Whether the store answers; `false` after an outage in which entries may have
    /// lapsed, until the next answer.
    pub fn is_unbroken(&self) -> bool {
        self.since.is_some()
    }

    /// When the last answer came; the start of the daemon before the first one.
    pub fn heard(&self) -> Instant {
        self.heard
    }

    /// Time since the last answer.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard)
    }

    /// Since when the store has been well, as another daemon's contact shows to one
    /// that is back after a break of its own.
    ///
    /// The other one must have had an answer after the break was noticed here: in an
    /// outage of the store it may not have noticed yet that it gets none either.
    pub fn well_since(&self, other: Span) -> Option<Instant> {
        let broke = self.broke?;
        let is_back = self.since.is_some();
        (is_back && other.heard >= broke).then_some(other.since)
    }

    /// The time of unbroken contact; `None` while there is none.
    pub fn span(&self) -> Option<Span> {
        let heard = self.heard;
        self.since.map(|since| Span { since, heard })
    }
}
