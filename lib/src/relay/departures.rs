//! Endpoints that announced in their answers that they leave.
//!
//! An endpoint that leaves writes so into the registry, but while the store is out that write waits,
//! and the registry shows the endpoint as ready, also for a while after the store's return. The
//! answers of the endpoint tell earlier. They are final: an incarnation that leaves does not come
//! back, so no entry of it is believed any more. Daemons repeat what they learned to each other for
//! a while, since datagrams are lost.

use std::time::{Duration, Instant};

use super::crash::IncarnationHash;

/// How long an incarnation is remembered; by then its process has ended and its entry is gone.
const DEPARTURE_TTL: Duration = Duration::from_mins(10);
/// How long digests contain a departure; short network partitions end sooner.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Most departures in one digest, at four bytes each.
const MAX_REPORTED: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Departure {
    incarnation: IncarnationHash,
    /// Whether this daemon itself got such an answer.
    is_local: bool,
    /// Until when digests contain it.
    report_until: Instant,
    expires: Instant,
}

/// Incarnations that leave, sorted by their hash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Departures {
    rows: Vec<Departure>,
}

impl Departures {
    /// Whether an incarnation has announced that it leaves.
    pub(crate) fn contains(&self, incarnation: IncarnationHash) -> bool {
        self.find(incarnation).is_ok()
    }

    /// Records that an incarnation leaves. `is_local` tells whether this daemon got the answer.
    /// Returns whether that is new.
    pub(crate) fn record(
        &mut self,
        incarnation: IncarnationHash,
        is_local: bool,
        now: Instant,
    ) -> bool {
        let found = self.find(incarnation);
        if let Err(at) = found {
            let row = Departure {
                incarnation,
                is_local,
                report_until: now + REPORT_TIME,
                expires: now + DEPARTURE_TTL,
            };
            self.rows.insert(at, row);
        }
        found.is_err()
    }

    /// Departures for this daemon's digest: the latest that it saw itself, or all of the latest if
    /// it relays what others saw.
    pub(crate) fn report(&self, relays: bool, now: Instant) -> Vec<IncarnationHash> {
        let rows = self.rows.iter();
        let rows = rows.filter(|row| now < row.report_until && (relays || row.is_local));
        let mut rows: Vec<&Departure> = rows.collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.report_until));
        let rows = rows.into_iter().take(MAX_REPORTED);
        rows.map(|row| row.incarnation).collect()
    }

    /// Forgets the departures whose time is over.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now < row.expires);
    }

    fn find(&self, incarnation: IncarnationHash) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&incarnation, |row| row.incarnation)
    }
}
