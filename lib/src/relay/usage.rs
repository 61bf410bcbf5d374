//! How many requests of each team began to run, by window of the wall clock.
//!
//! Each daemon counts its own and tells the others, several times a second, its
//! counts of the last windows. So whoever reports has all counts, and those of a
//! daemon that was killed meanwhile up to its last word.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::CustomerId;

/// Number of a window; window k begins k lengths after the start of 1970.
pub type WindowId = u64;

/// How long a report that was fixed is told to the other daemons.
const TOLD: Duration = Duration::from_secs(3);
/// Windows that are kept; a report may come two windows late.
const KEPT: u64 = 5;

/// Counts of one window, sorted by team.
pub type Counts = Vec<(CustomerId, u32)>;

/// Who counted: a daemon's name and incarnation.
pub type Counter = (CompactString, u64);

/// Counts of a window as they are reported, each time with the same text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The window.
    pub window: WindowId,
    /// Its counts as they are sent.
    pub counts: CompactString,
}

#[derive(Clone, Debug, PartialEq)]
struct Row {
    window: WindowId,
    counter: Counter,
    counts: Counts,
}

/// Counts of this and the other daemons, sorted by window and counter.
#[derive(Clone, Debug)]
pub struct Usage {
    me: Counter,
    rows: Vec<Row>,
    /// The last report that is known to be fixed. Its record in the store may be gone when
    /// that comes back from an older copy, and what came in since would change it.
    fixed: Option<Report>,
    /// Until when this daemon tells it.
    told: Option<Instant>,
}

impl Usage {
    /// Begins to count for this daemon.
    pub fn new(name: CompactString, incarnation: u64) -> Self {
        Self {
            me: (name, incarnation),
            rows: Vec::new(),
            fixed: None,
            told: None,
        }
    }

    /// Notes a report that this daemon fixed; the others are told.
    pub fn fix(&mut self, report: Report, now: Instant) {
        if self.hear_fixed(report) {
            self.told = Some(now + TOLD);
        }
    }

    /// Notes a report that was fixed; tells whether it is newer than the one known.
    pub fn hear_fixed(&mut self, report: Report) -> bool {
        let held = self.fixed.as_ref();
        let is_newer = held.is_none_or(|held| held.window < report.window);
        if is_newer {
            self.fixed = Some(report);
            self.told = None;
        }
        is_newer
    }

    /// The last report that is known to be fixed.
    pub fn fixed(&self) -> Option<&Report> {
        self.fixed.as_ref()
    }

    /// The report that this daemon tells the others, if it fixed one lately.
    pub fn tell_fixed(&self, now: Instant) -> Option<&Report> {
        self.told.filter(|until| now < *until)?;
        self.fixed.as_ref()
    }

    /// Counts a run that began here.
    pub fn count(&mut self, window: WindowId, team: &CustomerId) {
        let me = self.me.clone();
        let at = self.row(window, me);
        let counts = &mut self.rows[at].counts;
        match counts.binary_search_by(|(held, _)| held.cmp(team)) {
            Ok(at) => counts[at].1 += 1,
            Err(at) => counts.insert(at, (team.clone(), 1)),
        }
    }

    /// Takes in what another daemon counted; counts only grow, so an old word that
    /// arrives late changes nothing.
    pub fn hear(&mut self, window: WindowId, counter: Counter, counts: Counts) {
        let at = self.row(window, counter);
        let total = |counts: &Counts| counts.iter().map(|(_, runs)| runs).sum::<u32>();
        if total(&counts) >= total(&self.rows[at].counts) {
            self.rows[at].counts = counts;
        }
    }

    /// Counts of a window and those after it, of all that counted, by counter.
    pub fn since(&self, first: WindowId) -> impl Iterator<Item = (&Counter, WindowId, &Counts)> {
        let rows = self.rows.iter().filter(move |row| row.window >= first);
        rows.map(|row| (&row.counter, row.window, &row.counts))
    }

    /// This daemon's counts of the windows that are kept.
    pub fn mine(&self) -> impl Iterator<Item = (WindowId, &Counts)> {
        let mine = self.rows.iter().filter(|row| row.counter == self.me);
        mine.map(|row| (row.window, &row.counts))
    }

    /// All daemons' counts of a window together, sorted by team.
    pub fn total(&self, window: WindowId) -> Counts {
        let mut total = Counts::new();
        for row in self.rows.iter().filter(|row| row.window == window) {
            for (team, runs) in &row.counts {
                match total.binary_search_by(|(held, _)| held.cmp(team)) {
                    Ok(at) => total[at].1 += runs,
                    Err(at) => total.insert(at, (team.clone(), *runs)),
                }
            }
        }
        total
    }

    /// Forgets windows long past.
    pub fn expire(&mut self, current: WindowId) {
        self.rows.retain(|row| row.window + KEPT > current);
    }

    fn row(&mut self, window: WindowId, counter: Counter) -> usize {
        let key = (window, counter);
        let at = self
            .rows
            .binary_search_by(|row| (row.window, &row.counter).cmp(&(key.0, &key.1)));
        at.unwrap_or_else(|at| {
            let row = Row {
                window: key.0,
                counter: key.1,
                counts: Counts::new(),
            };
            self.rows.insert(at, row);
            at
        })
    }
}
