//! Tombstones: the last entries of endpoints that left, kept for a while after their rows are
//! gone.
//!
//! A registry write that got no answer can be applied seconds later, when the endpoint has
//! already written newer entries or was removed. Such an entry is out of date. Without the
//! tombstone it would bring an endpoint that has left back into use.

use std::time::{Duration, Instant};

use super::listing::Listing;

/// How long a tombstone is kept; writes are delayed by a few seconds.
const TOMBSTONE_TTL: Duration = Duration::from_secs(20);

/// Last entries of endpoints that left, sorted by id.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Tombstones {
    rows: Vec<(Listing, Instant)>,
}

impl Tombstones {
    /// Keeps the last entry of an endpoint that left.
    pub(crate) fn add(&mut self, last: Listing, now: Instant) {
        let until = now + TOMBSTONE_TTL;
        match self.find(&last.id) {
            Ok(at) => self.rows[at] = (last, until),
            Err(at) => self.rows.insert(at, (last, until)),
        }
    }

    /// Whether an entry is older than the last one of an endpoint that left.
    pub(crate) fn is_outdated(&self, entry: &Listing) -> bool {
        let last = self.last(&entry.id);
        last.is_some_and(|last| entry.is_older_than(last))
    }

    /// The last entry of an endpoint that left.
    pub(crate) fn last(&self, id: &str) -> Option<&Listing> {
        self.find(id).ok().map(|at| &self.rows[at].0)
    }

    /// Removes the tombstones whose time is over.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.rows.retain(|(_, until)| now < *until);
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|(last, _)| last.id.as_str().cmp(id))
    }
}
