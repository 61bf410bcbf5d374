//! This daemon's contact with the platform's store.
//!
//! Entries of living endpoints lapse while the store is away, so after an outage
//! a missing entry says little. What a daemon sees of an outage is only that it
//! gets no answer; that may as well be its own way to the store. Daemons therefore
//! tell one another since when the store answers them without a break, and whoever is
//! back goes by the one that has had it longest.

use std::time::{Duration, Instant};

/// Silence of the store from which on missing entries may belong to living
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
    /// When the last break was noticed.
    broke: Option<Instant>,
}

impl Contact {
    /// Begins without an answer yet.
    pub fn new(now: Instant) -> Self {
        Self {
            heard: now,
            since: None,
            broke: None,
        }
    }

    /// Notes an answer.
    pub fn answered(&mut self, now: Instant) {
        self.heard = now;
        self.since.get_or_insert(now);
    }

    /// Notes a call without an answer.
    pub fn failed(&mut self, now: Instant) {
        if self.is_long(now) && self.since.take().is_some() {
            self.broke = Some(now);
        }
    }

    /// Whether the last answer is so old that entries may have lapsed meanwhile.
    pub fn is_long(&self, now: Instant) -> bool {
        self.silence(now) > OUTAGE
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
