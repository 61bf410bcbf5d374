//! How many requests of each team started to run, by window of the wall clock.
//!
//! Each daemon counts its own and sends its counts of the last windows to the daemon that reports
//! usage, right after they change. So that one has all counts, also those of a daemon that was
//! killed meanwhile, up to its last digest.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::{CustomerId, Era};

/// Number of a window; window k starts k window lengths after the start of 1970.
pub type WindowId = u64;

/// How long a finalized report is sent to the peers.
const ADVERTISE_FOR: Duration = Duration::from_secs(3);
/// Number of windows that are kept; a report may be two windows late.
const KEPT_WINDOWS: u64 = 5;

/// Counts of one window, sorted by team.
pub type Counts = Vec<(CustomerId, u32)>;

/// Daemon that counted: its name and incarnation.
pub type Origin = (CompactString, u64);

/// Report of a window. A record in the store finalizes it, so that every attempt to send it
/// has the same text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The window.
    pub window: WindowId,
    /// The counts in the form in which they are sent.
    pub counts: CompactString,
    /// Era of the store in which it was finalized.
    pub era: Era,
}

/// Counts of one daemon in one window.
#[derive(Clone, Debug, PartialEq)]
struct Row {
    window: WindowId,
    origin: Origin,
    counts: Counts,
}

/// Counts of this daemon and its peers.
#[derive(Clone, Debug)]
pub struct Usage {
    me: Origin,
    /// Sorted by window and origin.
    rows: Vec<Row>,
    /// The last report known to be finalized. Its record is lost if the store comes back from
    /// an older copy, and counts that arrived since then would change a new report.
    finalized: Option<Report>,
    /// Until when this daemon sends it to its peers.
    advertise_until: Option<Instant>,
    /// Requests that this daemon counted.
    counted: u64,
}

impl Usage {
    /// Creates the counts of the daemon with this name and incarnation.
    pub fn new(name: CompactString, incarnation: u64) -> Self {
        Self {
            me: (name, incarnation),
            rows: Vec::new(),
            finalized: None,
            advertise_until: None,
            counted: 0,
        }
    }

    /// Number of requests that this daemon counted; it tells whether its counts changed.
    pub fn counted(&self) -> u64 {
        self.counted
    }

    /// Notes a report that this daemon finalized, to be sent to its peers.
    pub fn finalize(&mut self, report: Report, now: Instant) {
        if self.merge_finalized(report) {
            self.advertise_until = Some(now + ADVERTISE_FOR);
        }
    }

    /// Notes a report that any daemon finalized; `true` if it is newer than the known one.
    pub fn merge_finalized(&mut self, report: Report) -> bool {
        let known = self.finalized.as_ref();
        let is_newer = known.is_none_or(|known| known.window < report.window);
        if is_newer {
            self.finalized = Some(report);
            self.advertise_until = None;
        }
        is_newer
    }

    /// The last report known to be finalized.
    pub fn finalized(&self) -> Option<&Report> {
        self.finalized.as_ref()
    }

    /// The report to send to the peers, if this daemon finalized one lately.
    pub fn advertised(&self, now: Instant) -> Option<&Report> {
        self.advertise_until.filter(|until| now < *until)?;
        self.finalized.as_ref()
    }

    /// Counts a request that started to run at this daemon.
    pub fn count(&mut self, window: WindowId, team: &CustomerId) {
        self.counted += 1;
        let me = self.me.clone();
        let at = self.row(window, me);
        let counts = &mut self.rows[at].counts;
        match counts.binary_search_by(|(name, _)| name.cmp(team)) {
            Ok(at) => counts[at].1 += 1,
            Err(at) => counts.insert(at, (team.clone(), 1)),
        }
    }

    /// Merges the counts of another daemon. Counts only grow, so an old digest that arrives
    /// late changes nothing.
    pub fn merge(&mut self, window: WindowId, origin: Origin, counts: Counts) {
        let at = self.row(window, origin);
        let total = |counts: &Counts| counts.iter().map(|(_, runs)| runs).sum::<u32>();
        if total(&counts) >= total(&self.rows[at].counts) {
            self.rows[at].counts = counts;
        }
    }

    /// Counts of all daemons from the window `first` on, with their origin.
    pub fn since(&self, first: WindowId) -> impl Iterator<Item = (&Origin, WindowId, &Counts)> {
        let rows = self.rows.iter().filter(move |row| row.window >= first);
        rows.map(|row| (&row.origin, row.window, &row.counts))
    }

    /// This daemon's counts of the windows that are kept.
    pub fn mine(&self) -> impl Iterator<Item = (WindowId, &Counts)> {
        let mine = self.rows.iter().filter(|row| row.origin == self.me);
        mine.map(|row| (row.window, &row.counts))
    }

    /// Counts of a window, summed over all daemons and sorted by team.
    pub fn total(&self, window: WindowId) -> Counts {
        let mut total = Counts::new();
        for row in self.rows.iter().filter(|row| row.window == window) {
            for (team, runs) in &row.counts {
                match total.binary_search_by(|(name, _)| name.cmp(team)) {
                    Ok(at) => total[at].1 += runs,
                    Err(at) => total.insert(at, (team.clone(), *runs)),
                }
            }
        }
        total
    }

    /// Drops windows that are no longer kept.
    pub fn expire(&mut self, current: WindowId) {
        self.rows.retain(|row| row.window + KEPT_WINDOWS > current);
    }

    /// Index of the row of a window and origin, which is inserted if missing.
    fn row(&mut self, window: WindowId, origin: Origin) -> usize {
        let key = (window, origin);
        let at = self
            .rows
            .binary_search_by(|row| (row.window, &row.origin).cmp(&(key.0, &key.1)));
        at.unwrap_or_else(|at| {
            let row = Row {
                window: key.0,
                origin: key.1,
                counts: Counts::new(),
            };
            self.rows.insert(at, row);
            at
        })
    }
}
