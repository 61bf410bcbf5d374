//! Verdict on the new version: a sequential test against the old one.
//!
//! At every evaluation, three questions are tested per route and over all routes
//! together, each against the old version in the same period. Does the new version
//! fail more often? Are all its responses slower? Are more of them among the
//! slowest? For each question the log-likelihood ratio between "worse by a given
//! amount" and "like the old version" is summed and never falls below zero (CUSUM).
//! So a fault that begins late is found as fast as one that was there from the
//! start, since earlier good results don't count against it.
//!
//! A threshold on the failure rate would need a window, which is too long for a
//! version that fails everything and too short for one that fails one request in
//! thirty. A test of fixed length would have to wait for its end.
//!
//! During a short disturbance of the platform, requests fail at both versions. At
//! full share few requests go to the old version, so the new one's failures would
//! be counted first and a good version would be rolled back. So there are two
//! thresholds. At [`SUSPECT_LLR`] this daemon returns to a small share at once,
//! which costs nothing if the suspicion is wrong. At [`BAD_LLR`] the version is
//! found bad, but only after enough requests of the old version were seen in the
//! very same period, and compared with its rate in that period.

mod cusum;
mod fault_test;
mod finding;
mod limits;
mod reference;
mod route;

use std::time::Instant;

use crate::moves::evidence::{RouteDelta, RouteId};
use crate::moves::share::{FULL_SHARE, Share};
use crate::moves::verdict::fault_test::{FaultTest, Pooled};
pub use crate::moves::verdict::finding::{Fault, Finding};
pub use crate::moves::verdict::limits::{BAD_LLR, SUSPECT_LLR};
use crate::moves::verdict::limits::{MIN_MIX_REQUESTS, MIN_REFERENCE_LATENCIES};
use crate::moves::verdict::route::RouteTests;

/// Requests of a route since the stage began.
#[proc_macros::row]
pub struct Seen {
    /// Route.
    pub route: RouteId,
    /// Whether its requests are idempotent.
    pub idempotent: bool,
    /// At the old version.
    pub old: u32,
    /// At the new version.
    pub new: u32,
}

/// All tests of a move.
#[derive(Clone, Debug)]
pub struct Detector {
    /// Sorted by route.
    routes: Vec<RouteTests>,
    failing: FaultTest,
    slow: FaultTest,
    tail: FaultTest,
}

impl Default for Detector {
    fn default() -> Self {
        Self {
            routes: Vec::new(),
            failing: FaultTest::new(Fault::Failing),
            slow: FaultTest::new(Fault::Slow),
            tail: FaultTest::new(Fault::Tail),
        }
    }
}

impl Detector {
    /// Feeds the tests with what was added; returns a finding once a test finds the
    /// new version bad.
    pub fn update(&mut self, now: Instant, deltas: &[RouteDelta]) -> Option<Finding> {
        let mut failing = Pooled::new(&self.failing);
        let mut slow = Pooled::new(&self.slow);
        let mut tail = Pooled::new(&self.tail);
        for delta in deltas {
            let tests = self.tests_of(&delta.route, delta.idempotent);
            tests.add(&delta.pair);
            let batch = tests.failing_batch(&delta.pair);
            let llrs = tests.failing.llrs(&batch);
            tests.failing.feed(now, &batch, &llrs);
            failing.add(&batch, &llrs);
            if tests.reference.timed() < MIN_REFERENCE_LATENCIES {
                continue;
            }
            let (batch, llrs) = tests.slow_batch(&delta.pair);
            tests.slow.feed(now, &batch, &llrs);
            slow.add(&batch, &llrs);
            let batch = tests.tail_batch(&delta.pair);
            let llrs = tests.tail.llrs(&batch);
            tests.tail.feed(now, &batch, &llrs);
            tail.add(&batch, &llrs);
        }
        failing.feed(now, &mut self.failing);
        slow.feed(now, &mut self.slow);
        tail.feed(now, &mut self.tail);
        self.finding(now)
    }

    fn finding(&self, now: Instant) -> Option<Finding> {
        self.first(|fault_test, route| fault_test.finding(now, route))
    }

    /// A suspicion that is strong, or has been unresolved for long.
    pub fn unresolved(&self, now: Instant) -> Option<Finding> {
        self.first(|fault_test, route| fault_test.unresolved(now, route))
    }

    /// The current suspicion, if there is one.
    pub fn suspicion(&self) -> Option<Finding> {
        self.first(FaultTest::suspicion)
    }

    fn first(
        &self,
        find: impl Fn(&FaultTest, Option<&RouteId>) -> Option<Finding>,
    ) -> Option<Finding> {
        let of_route = self.routes.iter().find_map(|tests| {
            let route = Some(&tests.route);
            let fault_tests = [&tests.failing, &tests.slow, &tests.tail];
            fault_tests
                .iter()
                .find_map(|fault_test| find(fault_test, route))
        });
        of_route
            .or_else(|| find(&self.failing, None))
            .or_else(|| find(&self.slow, None))
            .or_else(|| find(&self.tail, None))
    }

    /// Whether some test suspects the new version.
    pub fn suspects(&self) -> bool {
        self.suspicion().is_some()
    }

    /// Requests by route since the stage began.
    pub fn seen(&self) -> impl Iterator<Item = Seen> + '_ {
        self.routes.iter().map(|tests| Seen {
            route: tests.route.clone(),
            idempotent: tests.idempotent,
            old: tests.old,
            new: tests.new,
        })
    }

    /// Share of the requests that are idempotent; none before enough were seen.
    pub fn idempotent(&self) -> Option<Share> {
        let all = |tests: &&RouteTests| f64::from(tests.old) + f64::from(tests.new);
        let whole: f64 = self.routes.iter().map(|tests| all(&tests)).sum();
        let idempotent = self.routes.iter().filter(|tests| tests.idempotent);
        let part: f64 = idempotent.map(|tests| all(&tests)).sum();
        (whole >= MIN_MIX_REQUESTS).then(|| (part / whole * f64::from(FULL_SHARE)) as Share)
    }

    /// Starts the counts of a new stage.
    pub fn next_stage(&mut self) {
        for tests in &mut self.routes {
            tests.old = 0;
            tests.new = 0;
            tests.reference.trim_latencies();
        }
    }

    fn tests_of(&mut self, route: &RouteId, idempotent: bool) -> &mut RouteTests {
        let found = self.routes.binary_search_by(|tests| tests.route.cmp(route));
        let at = found.unwrap_or_else(|at| {
            self.routes
                .insert(at, RouteTests::new(route.clone(), idempotent));
            at
        });
        &mut self.routes[at]
    }
}
