//! The true time of day, although clocks jump.
//!
//! The time of day of some hosts jumps by seconds and back. Usage windows are
//! windows of true time, so a daemon that counted by its own clock would put runs
//! into the wrong window. All daemons tell one another their time of day; the
//! median of all is right as long as fewer than half of the clocks are wrong.

use std::time::{Duration, Instant};

use compact_str::CompactString;

/// After how long another daemon's word on the time is no longer used.
const FRESH: Duration = Duration::from_secs(4);

/// Time of day of this daemon and the others.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix milliseconds at `start`, as each of the others tells it, sorted by name.
    others: Vec<(CompactString, i64, Instant)>,
}

impl Clock {
    /// Begins when the daemon starts.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            others: Vec::new(),
        }
    }

    /// Takes in the time of day that another daemon tells.
    pub fn hear(&mut self, name: &CompactString, wall: u64, now: Instant) {
        let row = (name.clone(), self.base(wall, now), now);
        match self.others.binary_search_by(|(held, ..)| held.cmp(name)) {
            Ok(at) => self.others[at] = row,
            Err(at) => self.others.insert(at, row),
        }
    }

    /// Unix milliseconds now, from this daemon's own time of day and the others'.
    pub fn now(&self, own: u64, now: Instant) -> u64 {
        let fresh = self.others.iter();
        let fresh = fresh.filter(|(_, _, heard)| now.duration_since(*heard) <= FRESH);
        let mut bases: Vec<i64> = fresh.map(|(_, base, _)| *base).collect();
        bases.push(self.base(own, now));
        bases.sort_unstable();
        let median = bases[bases.len() / 2];
        let since = now.duration_since(self.start).as_millis() as i64;
        (median + since).max(0) as u64
    }

    fn base(&self, wall: u64, now: Instant) -> i64 {
        wall.cast_signed() - now.duration_since(self.start).as_millis() as i64
    }
}
