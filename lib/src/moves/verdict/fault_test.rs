//! Test for one kind of fault: a CUSUM for each excess looked for.

use std::time::Instant;

use crate::moves::evidence::RouteId;
use crate::moves::verdict::cusum::{Batch, Cusum, LlrStep, Window, ratio};
use crate::moves::verdict::finding::{Fault, Finding};
use crate::moves::verdict::limits::{
    FAILING_EXCESS, MIN_CONTROL_REQUESTS, SHIFT_BUCKETS, TAIL_EXCESS,
};

/// Sequential test for one kind of fault.
#[derive(Clone, Debug)]
pub(super) struct FaultTest {
    pub(super) fault: Fault,
    pub(super) sums: Vec<Cusum>,
}

impl FaultTest {
    pub(super) fn new(fault: Fault) -> Self {
        let sums = vec![Cusum::default(); excesses(fault).len()];
        Self { fault, sums }
    }

    /// Log-likelihood ratios of one batch of a route, one for each excess, for
    /// faults that a request either shows or doesn't.
    pub(super) fn llrs(&self, batch: &Batch) -> Vec<LlrStep> {
        let llr = |excess: &f64| LlrStep {
            new: ratio(batch.new, batch.new_hits, batch.rate, *excess),
            ..LlrStep::default()
        };
        excesses(self.fault).iter().map(llr).collect()
    }

    pub(super) fn feed(&mut self, now: Instant, batch: &Batch, llrs: &[LlrStep]) {
        let excesses = excesses(self.fault);
        for ((sum, llr), excess) in self.sums.iter_mut().zip(llrs).zip(excesses) {
            sum.feed(now, batch, *llr, (self.fault, *excess));
        }
    }

    pub(super) fn finding(&self, now: Instant, route: Option<&RouteId>) -> Option<Finding> {
        let mut sums = self.sums.iter().zip(excesses(self.fault));
        let window = sums.find_map(|(sum, excess)| sum.confirmed(now, (self.fault, *excess)))?;
        Some(self.describe(window, route))
    }

    pub(super) fn suspicion(&self, route: Option<&RouteId>) -> Option<Finding> {
        let window = self.sums.iter().find_map(|sum| sum.window.as_ref())?;
        Some(self.describe(window, route))
    }

    pub(super) fn unresolved(&self, now: Instant, route: Option<&RouteId>) -> Option<Finding> {
        let window = self.sums.iter().find_map(|sum| sum.unresolved(now))?;
        Some(self.describe(window, route))
    }

    pub(super) fn describe(&self, window: &Window, route: Option<&RouteId>) -> Finding {
        let seen = &window.seen;
        let measured = seen.old_hits / seen.old.max(1.0);
        let old = if seen.old >= MIN_CONTROL_REQUESTS || self.fault == Fault::Slow {
            measured
        } else {
            seen.rate
        };
        Finding {
            fault: self.fault,
            route: route.cloned(),
            new: seen.new_hits / seen.new.max(1.0),
            count: seen.new,
            old,
        }
    }
}

pub(super) fn excesses(fault: Fault) -> &'static [f64] {
    match fault {
        Fault::Failing => &FAILING_EXCESS,
        Fault::Slow => &SHIFT_BUCKETS,
        Fault::Tail => &TAIL_EXCESS,
    }
}

/// One batch over all routes. Each route's log-likelihood ratio is taken against
/// that route's own rate, as the two versions see different mixes of routes.
pub(super) struct Pooled {
    pub(super) batch: Batch,
    pub(super) llrs: Vec<LlrStep>,
}

impl Pooled {
    pub(super) fn new(fault_test: &FaultTest) -> Self {
        Self {
            batch: Batch::default(),
            llrs: vec![LlrStep::default(); fault_test.sums.len()],
        }
    }

    pub(super) fn add(&mut self, batch: &Batch, llrs: &[LlrStep]) {
        let all = self.batch.new + batch.new;
        if all > 0.0 {
            let weighed = self.batch.rate * self.batch.new + batch.rate * batch.new;
            self.batch.rate = weighed / all;
        }
        self.batch.new = all;
        self.batch.new_hits += batch.new_hits;
        self.batch.old += batch.old;
        self.batch.old_hits += batch.old_hits;
        for (sum, llr) in self.llrs.iter_mut().zip(llrs) {
            sum.new += llr.new;
            sum.old += llr.old;
            sum.expected += llr.expected;
        }
    }

    pub(super) fn feed(&self, now: Instant, fault_test: &mut FaultTest) {
        fault_test.feed(now, &self.batch, &self.llrs);
    }
}
