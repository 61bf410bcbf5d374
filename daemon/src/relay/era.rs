//! Eras of the store: the era rises by one each time the store is restored from an older copy.
//!
//! All that was written after the copy, leases included, is lost then, and the store assigns the
//! same revisions again. All clients of the store record the era of every answer here, so that
//! answers of a former era are dropped.

use std::cell::Cell;
use std::time::{Duration, Instant};

use poplarvale_lib::Era;
use poplarvale_platform::StoreError;

/// The newest era of the store and how far this daemon has followed it.
#[derive(Debug, Default)]
pub(crate) struct Eras {
    /// Highest era of any answer.
    newest: Cell<Option<Era>>,
    /// Era in which everything was last read.
    read: Cell<Option<Era>>,
    /// When the last rise of the era was noticed.
    restored: Cell<Option<Instant>>,
}

impl Eras {
    /// The newest era that was seen; 0 if the store reports none.
    pub(crate) fn newest(&self) -> Era {
        self.newest.get().unwrap_or_default()
    }

    /// Records that everything was read in an era; returns whether the last full read was in
    /// another one.
    pub(crate) fn record_read(&self, era: Era) -> bool {
        let before = self.read.replace(Some(era));
        before.is_some_and(|before| before != era)
    }

    /// Whether the holder of a lease of the former era may still rely on it: a lease of length
    /// `ttl` that was granted or renewed right before the store was restored.
    pub(crate) fn old_lease_valid(&self, ttl: Duration, now: Instant) -> bool {
        let restored = self.restored.get();
        restored.is_some_and(|at| now.saturating_duration_since(at) < ttl)
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
            Some(newest) if era > newest => {
                log::warn!("store: restored from an older copy, now era {era}.");
                self.restored.set(Some(Instant::now()));
            }
            _ => {}
        }
        self.newest.set(Some(era));
        Some(era)
    }
}
