//! How long the requests of each route have taken lately.
//!
//! Deadlines tell little about that: most requests are answered long before. A daemon that shuts down has to know
//! whether a request will be answered before it closes. It goes by the longest of the latest ones: a request that is
//! rejected as not run is sent to another daemon, one that is broken off may be lost.

use std::time::{Duration, Instant};

use compact_str::CompactString;

/// Number of answers in a batch; the current batch and the one before it count.
const BATCH: u32 = 32;
/// How long a route is remembered after its last answer.
const KEPT_FOR: Duration = Duration::from_mins(10);

/// Times of one route.
#[derive(Clone, Debug)]
struct Row {
    route: CompactString,
    /// Longest time of the current batch, and the number of answers in it.
    longest: Duration,
    count: u32,
    /// Longest time of the batch before.
    before: Duration,
    until: Instant,
}

/// Times from the arrival of requests to the ends of their answers.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    /// Sorted by route.
    rows: Vec<Row>,
}

impl AnswerTimes {
    /// Records that a request of a route took so long until it was answered or given up.
    pub fn record(&mut self, route: &str, took: Duration, now: Instant) {
        let at = self
            .rows
            .binary_search_by(|row| row.route.as_str().cmp(route));
        let at = at.unwrap_or_else(|at| {
            let row = Row {
                route: route.into(),
                longest: Duration::ZERO,
                count: 0,
                before: Duration::ZERO,
                until: now,
            };
            self.rows.insert(at, row);
            at
        });
        let row = &mut self.rows[at];
        if row.count == BATCH {
            row.before = std::mem::take(&mut row.longest);
            row.count = 0;
        }
        row.longest = row.longest.max(took);
        row.count += 1;
        row.until = now + KEPT_FOR;
    }

    /// Longest time of the latest requests of a route, between [`BATCH`] and twice as many; `None` if none is known.
    pub fn longest(&self, route: &str) -> Option<Duration> {
        let at = self
            .rows
            .binary_search_by(|row| row.route.as_str().cmp(route));
        at.ok()
            .map(|at| self.rows[at].longest.max(self.rows[at].before))
    }

    /// Forgets routes that have had no answer for long.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now < row.until);
    }
}
