//! Rests that endpoints asked this daemon for when they rejected a request.
//!
//! A rest holds for one incarnation of an endpoint, also if its row is removed and added again
//! meanwhile, as happens when its registry entry expires during an outage of the store.

use std::time::{Duration, Instant};

use super::crash::IncarnationHash;

/// Longest rest. An endpoint that asks for more by mistake would get nothing for as long.
const MAX_REST: Duration = Duration::from_mins(1);

/// Until when endpoints rest, sorted by the hash of their incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Rests {
    rows: Vec<(IncarnationHash, Instant)>,
}

impl Rests {
    /// Records that an incarnation asked for a rest; returns its end. A shorter one that is asked
    /// for meanwhile does not end a longer one.
    pub(crate) fn record(
        &mut self,
        incarnation: IncarnationHash,
        rest: Duration,
        now: Instant,
    ) -> Instant {
        let until = now + rest.min(MAX_REST);
        match self.find(incarnation) {
            Ok(at) => {
                let known = &mut self.rows[at].1;
                *known = until.max(*known);
                *known
            }
            Err(at) => {
                self.rows.insert(at, (incarnation, until));
                until
            }
        }
    }

    /// Until when an incarnation rests; the time may be over.
    pub(crate) fn until(&self, incarnation: IncarnationHash) -> Option<Instant> {
        self.find(incarnation).ok().map(|at| self.rows[at].1)
    }

    /// Forgets the rests that are over.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.rows.retain(|(_, until)| now < *until);
    }

    fn find(&self, incarnation: IncarnationHash) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&incarnation, |(incarnation, _)| *incarnation)
    }
}
