//! The tests of one route.

use crate::moves::evidence::{Pair, RouteId};
use crate::moves::verdict::cusum::{Batch, LlrStep, upper};
use crate::moves::verdict::fault_test::FaultTest;
use crate::moves::verdict::finding::Fault;
use crate::moves::verdict::limits::{FAILING_SLACK, SHIFT_BUCKETS, SLOWER_BUCKETS, TAIL_SLACK};
use crate::moves::verdict::reference::{LatencyDistribution, Reference, bucket_sum};

/// Tests of one route, and the reference they compare with.
#[derive(Clone, Debug)]
pub(super) struct RouteTests {
    pub(super) route: RouteId,
    pub(super) idempotent: bool,
    pub(super) reference: Reference,
    pub(super) failing: FaultTest,
    pub(super) slow: FaultTest,
    pub(super) tail: FaultTest,
    /// Requests since the stage began.
    pub(super) old: u32,
    pub(super) new: u32,
}

impl RouteTests {
    pub(super) fn new(route: RouteId, idempotent: bool) -> Self {
        Self {
            route,
            idempotent,
            reference: Reference::default(),
            failing: FaultTest::new(Fault::Failing),
            slow: FaultTest::new(Fault::Slow),
            tail: FaultTest::new(Fault::Tail),
            old: 0,
            new: 0,
        }
    }

    pub(super) fn add(&mut self, pair: &Pair) {
        self.reference.feed(&pair.old);
        self.old = self.old.saturating_add(pair.old.all());
        self.new = self.new.saturating_add(pair.new.all());
    }

    pub(super) fn failing_batch(&self, pair: &Pair) -> Batch {
        let reference = &self.reference;
        Batch {
            old: f64::from(pair.old.all()),
            old_hits: f64::from(pair.old.failed),
            new: f64::from(pair.new.all()),
            new_hits: f64::from(pair.new.failed),
            rate: upper(reference.failed, reference.all, FAILING_SLACK),
        }
    }

    pub(super) fn tail_batch(&self, pair: &Pair) -> Batch {
        let reference = &self.reference;
        let slow_bucket = reference.slow_bucket();
        Batch {
            old: f64::from(pair.old.timed()),
            old_hits: f64::from(pair.old.times.above(slow_bucket)),
            new: f64::from(pair.new.timed()),
            new_hits: f64::from(pair.new.times.above(slow_bucket + SLOWER_BUCKETS)),
            rate: upper(reference.above(slow_bucket), reference.timed(), TAIL_SLACK),
        }
    }

    pub(super) fn slow_batch(&self, pair: &Pair) -> (Batch, Vec<LlrStep>) {
        let batch = Batch {
            old: f64::from(pair.old.timed()),
            old_hits: bucket_sum(&pair.old),
            new: f64::from(pair.new.timed()),
            new_hits: bucket_sum(&pair.new),
            rate: 0.0,
        };
        let distribution = LatencyDistribution::new(&self.reference);
        let llr = |shift: &f64| LlrStep {
            new: distribution.llr(&pair.new.times.counts, *shift as usize),
            old: distribution.llr(&pair.old.times.counts, *shift as usize),
            expected: batch.old * distribution.mean_llr(*shift as usize),
        };
        (batch, SHIFT_BUCKETS.iter().map(llr).collect())
    }
}
