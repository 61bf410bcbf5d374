//! Endpoints that left, remembered for a while after their row is gone.
//!
//! A write to the registry that got no answer can be carried out seconds later, when
//! the endpoint has written newer entries already, or has been removed. What it says
//! then is out of date. Without this memory such an entry would bring an endpoint that
//! has left back into use.

use std::time::{Duration, Instant};

use super::listing::Listing;

/// How long an endpoint that left is remembered; writes are held up for a few seconds.
const REMEMBER: Duration = Duration::from_secs(20);

/// Last entries of endpoints that left, sorted by id.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Ended {
    rows: Vec<(Listing, Instant)>,
}

impl Ended {
    /// Remembers the last entry of an endpoint that left.
    pub(crate) fn note(&mut self, last: Listing, now: Instant) {
        let until = now + REMEMBER;
        match self.find(&last.id) {
            Ok(at) => self.rows[at] = (last, until),
            Err(at) => self.rows.insert(at, (last, until)),
        }
    }

    /// Whether an entry is older than the last one of an endpoint that left.
    pub(crate) fn is_newer_than(&self, entry: &Listing) -> bool {
        let last = self.last(&entry.id);
        last.is_some_and(|last| entry.is_older_than(last))
    }

    /// The last entry of an endpoint that left.
    pub(crate) fn last(&self, id: &str) -> Option<&Listing> {
        self.find(id).ok().map(|at| &self.rows[at].0)
    }

    /// Forgets those whose time is over.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.rows.retain(|(_, until)| now < *until);
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|(last, _)| last.id.as_str().cmp(id))
    }
}
