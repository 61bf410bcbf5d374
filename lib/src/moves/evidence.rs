//! Evidence of a move: the outcomes of requests at both versions, and the rows in
//! which daemons share them.
//!
//! Each daemon counts its own requests by route, for the old and the new version
//! side by side. A row holds both versions, so its receiver always compares the
//! same period. Counts only grow and each row has one writer, so of two rows of a
//! writer the one with the higher sequence number includes the other; duplicated,
//! late or reordered rows change nothing.

use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{Incarnation, from_hex, hex};
use crate::moves::histogram::{BUCKETS, Histogram};
use crate::moves::lifecycle::MoveId;
use crate::protos::moves::{EvidenceRow, evidence_row};

/// Route of a service, or the model.
pub type RouteId = CompactString;

/// Most routes counted separately; paths made up by callers must not grow the rows
/// without bound.
pub const MAX_ROUTES: usize = 32;
/// Route under which all further ones are counted.
const OTHER_ROUTES: &str = "*";

/// Version at which a request ran.
#[proc_macros::kind]
pub enum VersionSide {
    /// The version that the move leaves.
    Old,
    /// The version that the move goes to.
    New,
}

/// Outcome of one request.
#[proc_macros::row]
pub struct Sample {
    /// Route of the request.
    pub route: RouteId,
    /// Whether the route's requests are idempotent.
    pub idempotent: bool,
    /// Version it ran at.
    pub which: VersionSide,
    /// Latency of a complete response; none if the request failed.
    pub time: Option<Duration>,
    /// Whether it ran at an endpoint that the stage loads like the others; the
    /// latencies of other endpoints can't be compared.
    pub compared: bool,
}

/// Counts of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Side {
    /// Failed requests.
    pub failed: u32,
    /// Latencies of complete responses.
    pub times: Histogram,
    /// Complete responses whose latency is not compared.
    pub uncompared: u32,
}

impl Side {
    /// Complete responses whose latency is compared.
    pub fn timed(&self) -> u32 {
        let counts = self.times.counts.iter();
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// All requests, failed ones included.
    pub fn all(&self) -> u32 {
        let good = self.timed().saturating_add(self.uncompared);
        good.saturating_add(self.failed)
    }

    fn add(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        self.times.add(&other.times);
        self.uncompared = self.uncompared.saturating_add(other.uncompared);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(earlier.failed),
            times: self.times.since(&earlier.times),
            uncompared: self.uncompared.saturating_sub(earlier.uncompared),
        }
    }
}

/// Counts of both versions over the same period.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pair {
    /// Old version.
    pub old: Side,
    /// New version.
    pub new: Side,
}

impl Pair {
    fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }

    fn record(&mut self, sample: &Sample) {
        let side = match sample.which {
            VersionSide::Old => &mut self.old,
            VersionSide::New => &mut self.new,
        };
        match sample.time {
            Some(time) if sample.compared => side.times.record(time),
            Some(_) => side.uncompared += 1,
            None => side.failed += 1,
        }
    }
}

/// What one daemon counted on one route since the move began.
#[proc_macros::row]
pub struct Row {
    /// Daemon that wrote the row.
    pub daemon: Incarnation,
    /// Grows with each change.
    pub sequence: u64,
    /// Move that the row belongs to.
    pub id: MoveId,
    /// Route.
    pub route: RouteId,
    /// Whether the route's requests are idempotent.
    pub idempotent: bool,
    /// Counts of both versions.
    pub pair: Pair,
}

impl Row {
    /// Converts to the wire message.
    pub fn to_wire(&self) -> EvidenceRow {
        EvidenceRow {
            daemon: self.daemon,
            sequence: self.sequence,
            r#move: hex(self.id).into(),
            route: self.route.to_string(),
            old: Some(side_to_wire(&self.pair.old)),
            new: Some(side_to_wire(&self.pair.new)),
            repeatable: self.idempotent,
        }
    }

    /// Reads a wire message; none if it is malformed.
    pub fn from_wire(wire: &EvidenceRow) -> Option<Self> {
        let old = side_from_wire(wire.old.as_ref()?)?;
        let new = side_from_wire(wire.new.as_ref()?)?;
        Some(Self {
            daemon: wire.daemon,
            sequence: wire.sequence,
            id: from_hex(&wire.r#move)?,
            route: wire.route.as_str().into(),
            idempotent: wire.repeatable,
            pair: Pair { old, new },
        })
    }
}

fn side_to_wire(side: &Side) -> evidence_row::Side {
    let counts = &side.times.counts;
    let first = counts.iter().position(|c| *c > 0).unwrap_or(0);
    let end = counts
        .iter()
        .rposition(|c| *c > 0)
        .map_or(first, |at| at + 1);
    evidence_row::Side {
        failed: side.failed,
        first: first as u32,
        counts: counts[first..end].to_vec(),
        aside: side.uncompared,
    }
}

fn side_from_wire(wire: &evidence_row::Side) -> Option<Side> {
    let first = wire.first as usize;
    let end = first.checked_add(wire.counts.len())?;
    let mut times = Histogram::default();
    times
        .counts
        .get_mut(first..end.min(BUCKETS + 1))?
        .copy_from_slice(&wire.counts);
    Some(Side {
        failed: wire.failed,
        times,
        uncompared: wire.aside,
    })
}

/// What was added to the counts of a route.
#[proc_macros::row]
pub struct RouteDelta {
    /// Route.
    pub route: RouteId,
    /// Whether the route's requests are idempotent.
    pub idempotent: bool,
    /// Counts added since the deltas were last taken.
    pub pair: Pair,
}

/// Own counts, peers' rows, and what was added to both since the deltas were last
/// taken.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    own: Vec<OwnCounts>,
    /// Sorted by daemon and route.
    others: Vec<Row>,
    /// Sorted by route.
    deltas: Vec<RouteDelta>,
}

#[derive(Clone, Debug)]
struct OwnCounts {
    route: RouteId,
    idempotent: bool,
    sequence: u64,
    published: u64,
    pair: Pair,
}

impl Evidence {
    /// Counts a request of this daemon.
    pub fn record(&mut self, sample: &Sample) {
        let route = self.route_key(&sample.route);
        let at = match self.own.binary_search_by(|own| own.route.cmp(&route)) {
            Ok(at) => at,
            Err(at) => {
                let own = OwnCounts {
                    route: route.clone(),
                    idempotent: sample.idempotent,
                    sequence: 0,
                    published: 0,
                    pair: Pair::default(),
                };
                self.own.insert(at, own);
                at
            }
        };
        self.own[at].pair.record(sample);
        self.own[at].sequence += 1;
        self.delta_of(&route, sample.idempotent).record(sample);
    }

    /// Merges a row of another daemon; older rows change nothing.
    pub fn merge(&mut self, row: Row) {
        let key = (row.daemon, &row.route);
        let found = self
            .others
            .binary_search_by(|other| (other.daemon, &other.route).cmp(&key));
        match found {
            Ok(at) if self.others[at].sequence >= row.sequence => {}
            Ok(at) => {
                let added = row.pair.since(&self.others[at].pair);
                self.delta_of(&row.route, row.idempotent).add(&added);
                self.others[at] = row;
            }
            Err(at) => {
                self.delta_of(&row.route, row.idempotent).add(&row.pair);
                self.others.insert(at, row);
            }
        }
    }

    /// Own rows that changed since they were last published.
    pub fn publish(&mut self, daemon: Incarnation, id: MoveId) -> Vec<Row> {
        let mut rows = Vec::new();
        for own in self
            .own
            .iter_mut()
            .filter(|own| own.sequence > own.published)
        {
            own.published = own.sequence;
            rows.push(Row {
                daemon,
                sequence: own.sequence,
                id,
                route: own.route.clone(),
                idempotent: own.idempotent,
                pair: own.pair.clone(),
            });
        }
        rows
    }

    /// Takes what was added since the last call.
    pub fn take_deltas(&mut self) -> Vec<RouteDelta> {
        std::mem::take(&mut self.deltas)
    }

    fn route_key(&self, route: &RouteId) -> RouteId {
        let found = self.own.binary_search_by(|own| own.route.cmp(route));
        if found.is_ok() || self.own.len() < MAX_ROUTES {
            route.clone()
        } else {
            CompactString::const_new(OTHER_ROUTES)
        }
    }

    fn delta_of(&mut self, route: &RouteId, idempotent: bool) -> &mut Pair {
        let found = self.deltas.binary_search_by(|delta| delta.route.cmp(route));
        let at = found.unwrap_or_else(|at| {
            let pair = Pair::default();
            let delta = RouteDelta {
                route: route.clone(),
                idempotent,
                pair,
            };
            self.deltas.insert(at, delta);
            at
        });
        &mut self.deltas[at].pair
    }
}
