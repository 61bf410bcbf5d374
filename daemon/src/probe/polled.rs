//! An engine that this daemon polls.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use poplarvale_lib::protos::platform::{CacheChange, EngineLoad};
use poplarvale_lib::{EndpointId, Incarnation, Row};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// State of an engine that is polled.
#[derive(Clone, Debug)]
pub(super) struct PolledEngine {
    pub(super) id: EndpointId,
    pub(super) address: SocketAddr,
    /// Incarnation of the engine that the events belong to.
    pub(super) epoch: u64,
    /// Sequence number of the last event received.
    pub(super) after: u64,
    /// When the last row was written, and whether the engine was idle then.
    last_row: Option<(Instant, bool)>,
}

impl Row for PolledEngine {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.id
    }
}

impl PolledEngine {
    pub(super) fn new(id: EndpointId, address: SocketAddr) -> Self {
        Self {
            id,
            address,
            epoch: 0,
            after: 0,
            last_row: None,
        }
    }

    /// Sequence number of the last event received from an incarnation of the engine. A new
    /// incarnation restarts the numbers, and would report no events after the old number.
    pub(super) fn after(&self, epoch: u64) -> u64 {
        if self.epoch == epoch { self.after } else { 0 }
    }

    pub(super) fn record(&mut self, load: &EngineLoad, changes: &[CacheChange]) {
        let last = changes.iter().map(|change| change.seq).max();
        self.after = self.after(load.epoch).max(last.unwrap_or(0));
        self.epoch = load.epoch;
    }

    /// Whether a row is due; if so, it counts as written. An engine that stays idle needs no
    /// further rows.
    pub(super) fn is_row_due(
        &mut self,
        now: Instant,
        load: &EngineLoad,
        min_interval: Duration,
    ) -> bool {
        let idle = load.running == 0 && load.pending == 0;
        let due = match self.last_row {
            None => true,
            Some((_, true)) if idle => false,
            // A change between idle and busy is published at once.
            Some((at, was_idle)) => was_idle != idle || now >= at + min_interval,
        };
        if due {
            self.last_row = Some((now, idle));
        }
        due
    }
}

/// Whether an endpoint is assigned to this daemon rather than to one of the others.
pub(super) fn is_assigned(id: &EndpointId, me: Incarnation, others: &[Incarnation]) -> bool {
    let weight = |daemon| xxh3_64_with_seed(id.as_bytes(), daemon);
    others.iter().all(|other| weight(*other) < weight(me))
}
