//! Time of day that stays correct when the clocks of some hosts jump.
//!
//! The clock of some hosts jumps by seconds and back. Usage windows are windows of the true
//! time of day, so a daemon that went by its own clock would count runs in the wrong window.
//! All daemons advertise their time of day to one another; the median of all is correct as
//! long as fewer than half of the clocks are wrong.

use std::time::{Duration, Instant};

use compact_str::CompactString;

/// Time after which the advertised time of another daemon is no longer used.
const FRESHNESS_TTL: Duration = Duration::from_secs(4);

/// Time of day as the median over this daemon and the others.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
    /// Name of each other daemon, Unix milliseconds at `start` by its clock, and when it was
    /// received; sorted by name.
    others: Vec<(CompactString, i64, Instant)>,
}

impl Clock {
    /// Creates the clock of a daemon that starts at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            others: Vec::new(),
        }
    }

    /// Records the time of day that another daemon advertises, in Unix milliseconds.
    pub fn record(&mut self, name: &CompactString, wall_ms: u64, now: Instant) {
        let row = (name.clone(), self.base_ms(wall_ms, now), now);
        match self.others.binary_search_by(|(known, ..)| known.cmp(name)) {
            Ok(at) => self.others[at] = row,
            Err(at) => self.others.insert(at, row),
        }
    }

    /// Median time of day in Unix milliseconds; `own_ms` is that of this daemon's own clock.
    pub fn now(&self, own_ms: u64, now: Instant) -> u64 {
        let fresh = self.others.iter();
        let fresh = fresh.filter(|(_, _, received)| now.duration_since(*received) <= FRESHNESS_TTL);
        let mut bases: Vec<i64> = fresh.map(|(_, base, _)| *base).collect();
        bases.push(self.base_ms(own_ms, now));
        bases.sort_unstable();
        let median = bases[bases.len() / 2];
        let elapsed_ms = now.duration_since(self.start).as_millis() as i64;
        (median + elapsed_ms).max(0) as u64
    }

    /// Unix milliseconds at `start` by a clock that reads `wall_ms` at `now`.
    fn base_ms(&self, wall_ms: u64, now: Instant) -> i64 {
        wall_ms.cast_signed() - now.duration_since(self.start).as_millis() as i64
    }
}
