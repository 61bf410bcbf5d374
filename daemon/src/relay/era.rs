//! Eras of the store: the era rises by one each time the store is restored from an older copy.
//!
//! All that was written after the copy, leases included, is lost then, and the store assigns the
//! same revisions again. All clients of the store record the era of every answer here, so that
//! answers of a former era are dropped. What the store itself keeps about the beginning of an era is
//! recorded here too: a process that has just started cannot tell otherwise whether the era is new.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use poplarvale_lib::relay::era_start::{EraStart, Settled};
use poplarvale_lib::{Era, Revision, era_of};
use poplarvale_platform::StoreError;

/// The newest era of the store and how far this daemon has followed it.
#[derive(Debug, Default)]
pub(crate) struct Eras {
    /// Highest era of any answer.
    newest: Cell<Option<Era>>,
    /// When the first answer of that era arrived.
    seen: Cell<Option<Instant>>,
    /// Era in which everything was last read.
    read: Cell<Option<Era>>,
    /// What the store tells of the beginning of the newest era, and the revision of that record.
    start: RefCell<Option<(Revision, EraStart)>>,
    /// What this daemon reported as the last duty holder before the newest era, and until when its
    /// lease kept all others from reporting.
    settled: RefCell<Option<(Instant, Settled)>>,
}

impl Eras {
    /// The newest era that was seen; 0 if the store reports none.
    pub(crate) fn newest(&self) -> Era {
        self.newest.get().unwrap_or_default()
    }

    /// When the newest era was first seen; `None` if the store reports none.
    pub(crate) fn seen(&self) -> Option<Instant> {
        self.seen.get()
    }

    /// Records that everything was read in an era; returns whether the last full read was in
    /// another one.
    pub(crate) fn record_read(&self, era: Era) -> bool {
        let before = self.read.replace(Some(era));
        before.is_some_and(|before| before != era)
    }

    /// Records what the store tells of the beginning of an era; that of another one is ignored.
    pub(crate) fn record_start(&self, revision: Revision, start: EraStart) {
        let mut known = self.start.borrow_mut();
        let is_newer = known.as_ref().is_none_or(|known| known.0 < revision);
        if start.era == self.newest() && is_newer {
            *known = Some((revision, start));
        }
    }

    /// What the store tells of the beginning of the newest era, as last read.
    pub(crate) fn start(&self) -> Option<EraStart> {
        self.start.borrow().as_ref().map(|row| row.1.clone())
    }

    /// Whether a key of this revision was written after a daemon had acquired the duties in its era. By
    /// then all that was lost with a restore is written again.
    pub(crate) fn is_after_opening(&self, revision: Revision) -> bool {
        let start = self.start.borrow();
        let open = start.as_ref().filter(|row| row.1.is_open);
        open.is_some_and(|row| era_of(row.0) == era_of(revision) && row.0 < revision)
    }

    /// Records what this daemon reported as the duty holder whose lease of a former era ends at
    /// `until`. Nobody else can have reported until then, so it says so in the store.
    pub(crate) fn settle(&self, until: Instant, settled: Settled) {
        if self.seen.get().is_some_and(|seen| seen < until) {
            *self.settled.borrow_mut() = Some((until, settled));
        }
    }

    /// What this daemon reported as the last duty holder before the newest era.
    pub(crate) fn settled(&self) -> Option<Settled> {
        self.settled.borrow().as_ref().map(|row| row.1.clone())
    }

    /// Whether the holder of a lease of a former era may still rely on it: a lease of length `ttl`
    /// that was granted or renewed right before the store was restored. It cannot once a daemon
    /// has acquired the duties in this era, as that one waited.
    pub(crate) fn old_lease_valid(&self, ttl: Duration, now: Instant) -> bool {
        let is_open = self
            .start
            .borrow()
            .as_ref()
            .is_some_and(|row| row.1.is_open);
        let seen = self.seen.get();
        !is_open && seen.is_some_and(|at| now.saturating_duration_since(at) < ttl)
    }

    /// Records the era that an answer reports; returns the era of the answer, `None` if that is
    /// a former one. An answer without a readable era counts for the newest.
    pub(crate) fn record(&self, reported: Result<Option<Era>, StoreError>) -> Option<Era> {
        let newest = self.newest.get();
        let reported = match reported {
            Ok(reported) => reported,
            Err(error) => {
                log::warn!(
                    "store: cannot read the era of an answer, {error}; assuming the newest era."
                );
                None
            }
        };
        let Some(era) = reported else {
            return Some(self.newest());
        };
        match newest {
            Some(newest) if era < newest => {
                log::warn!("store: dropped an answer of era {era}, the newest era is {newest}.");
                return None;
            }
            Some(newest) if era == newest => return Some(era),
            Some(_) => log::warn!("store: restored from an older copy, now era {era}."),
            None => {}
        }
        self.begin(era, Instant::now());
        Some(era)
    }

    /// Begins to follow an era that was not seen before.
    fn begin(&self, era: Era, now: Instant) {
        self.newest.set(Some(era));
        self.seen.set(Some(now));
        *self.start.borrow_mut() = None;
        self.settled.borrow_mut().take_if(|row| row.0 <= now);
    }
}
