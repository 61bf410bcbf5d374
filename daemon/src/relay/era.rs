//! Eras of the store: it rises by one each time the store comes back from an older copy.
//!
//! What was written since the copy is gone then, leases too, and revisions are given out
//! again. All clients of the store note the era of every answer here.

use std::cell::Cell;
use std::time::{Duration, Instant};

use poplarvale_lib::Era;
use poplarvale_platform::StoreError;

/// The newest era that was seen.
#[derive(Debug, Default)]
pub(crate) struct Eras {
    newest: Cell<Option<Era>>,
    /// Era in which everything was read last.
    read: Cell<Option<Era>>,
    /// When the last return was noticed.
    returned: Cell<Option<Instant>>,
}

impl Eras {
    /// The newest era that was seen; 0 if the store tells none.
    pub(crate) fn newest(&self) -> Era {
        self.newest.get().unwrap_or_default()
    }

    /// Notes that everything was read in an era; tells whether it was read in another one
    /// before.
    pub(crate) fn read_in(&self, era: Era) -> bool {
        let before = self.read.replace(Some(era));
        before.is_some_and(|before| before != era)
    }

    /// Whether a lease of the former era may still count for whoever held it: one of `life`
    /// that was granted or renewed right before the return.
    pub(crate) fn may_outlast(&self, life: Duration, now: Instant) -> bool {
        let returned = self.returned.get();
        returned.is_some_and(|at| now.saturating_duration_since(at) < life)
    }

    /// Notes the era that an answer tells; gives the one that the answer belongs to, `None`
    /// if that is over.
    pub(crate) fn see(&self, told: Result<Option<Era>, StoreError>) -> Option<Era> {
        let newest = self.newest.get();
        let told = match told {
            Ok(told) => told,
            Err(error) => {
                log::warn!("store: the era of an answer is not read, {error}.");
                None
            }
        };
        let Some(era) = told else {
            return Some(self.newest());
        };
        match newest {
            Some(newest) if era < newest => {
                log::warn!("store: an answer of era {era} is dropped, era {newest} was seen.");
                return None;
            }
            Some(newest) if era > newest => {
                log::warn!("store: came back from an older copy, era {era}.");
                self.returned.set(Some(Instant::now()));
            }
            _ => {}
        }
        self.newest.set(Some(era));
        Some(era)
    }
}
