//! A CUSUM of log-likelihood ratios, and the window of evidence that confirms it.

use std::time::Instant;

use crate::moves::verdict::finding::Fault;
use crate::moves::verdict::limits::{
    BAD_LLR, CONTROL_LATENCIES_WAIT, CONTROL_REQUESTS_WAIT, GOSSIP_DELAY, MIN_CONTROL_LATENCIES,
    MIN_CONTROL_REQUESTS, REFUTED_LLR, SETTLE_TIME, SUSPECT_LLR, UNRESOLVED_AFTER,
};

/// Counts of one evaluation, for one kind of fault.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Batch {
    pub(super) old: f64,
    /// Requests that show the fault, or the sum of their bucket indexes.
    pub(super) old_hits: f64,
    pub(super) new: f64,
    pub(super) new_hits: f64,
    /// Rate to expect of the new version.
    pub(super) rate: f64,
}

/// Log-likelihood ratios of one batch, for one excess.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LlrStep {
    /// Of the new version's requests.
    pub(super) new: f64,
    /// Of the old version's requests, tested as if they were the new version's.
    pub(super) old: f64,
    /// Expected for as many requests of the old version from its recent latencies.
    pub(super) expected: f64,
}

/// The CUSUM for one excess.
#[derive(Clone, Debug, Default)]
pub(super) struct Cusum {
    pub(super) value: f64,
    /// Present while the new version is suspected.
    pub(super) window: Option<Window>,
}

/// What was counted since a suspicion arose.
#[derive(Clone, Debug)]
pub(super) struct Window {
    pub(super) since: Instant,
    pub(super) seen: Batch,
    pub(super) llr: LlrStep,
}

impl Window {
    pub(super) fn new(since: Instant) -> Self {
        Self {
            since,
            seen: Batch::default(),
            llr: LlrStep::default(),
        }
    }

    /// Adds a batch, once its requests can be of the window's own time.
    pub(super) fn add(&mut self, now: Instant, batch: &Batch, llr: LlrStep, fault: Fault) {
        let settle = match fault {
            Fault::Failing => GOSSIP_DELAY,
            Fault::Slow | Fault::Tail => SETTLE_TIME,
        };
        if now < self.since + settle {
            return;
        }
        self.llr.new += llr.new;
        self.llr.old += llr.old;
        self.llr.expected += llr.expected;
        self.seen.old += batch.old;
        self.seen.old_hits += batch.old_hits;
        self.seen.new += batch.new;
        self.seen.new_hits += batch.new_hits;
        self.seen.rate = self.seen.rate.max(batch.rate);
    }

    /// Whether enough requests of the old version were seen to compare with, or the
    /// time to wait for them is over.
    pub(super) fn has_control(&self, now: Instant, fault: Fault) -> bool {
        let (count, wait) = match fault {
            Fault::Failing => (MIN_CONTROL_REQUESTS, CONTROL_REQUESTS_WAIT),
            Fault::Slow | Fault::Tail => (MIN_CONTROL_LATENCIES, CONTROL_LATENCIES_WAIT),
        };
        self.seen.old >= count || now >= self.since + wait
    }

    pub(super) fn refuted(&self, now: Instant, test: (Fault, f64)) -> bool {
        self.has_control(now, test.0) && self.window_llr(test.0, test.1) <= REFUTED_LLR
    }

    /// Whether a suspicion of slowness has lasted long and nothing since then
    /// supports it. On a sparse route it would delay the move past its finish-by
    /// time because of a few responses that were late but complete.
    pub(super) fn expired(&self, now: Instant, test: (Fault, f64)) -> bool {
        let weak = self.window_llr(test.0, test.1) < 1.0;
        test.0 != Fault::Failing && now >= self.since + UNRESOLVED_AFTER && weak
    }

    /// Log-likelihood ratio against the old version's rate in the same window.
    pub(super) fn window_llr(&self, fault: Fault, excess: f64) -> f64 {
        let seen = &self.seen;
        if fault == Fault::Slow {
            // When both versions slow down together, the old one's requests support
            // a shift more than its recent latencies do.
            let together = (self.llr.old - self.llr.expected) / seen.old.max(1.0);
            return self.llr.new - seen.new * together.max(0.0);
        }
        let together = if seen.old_hits >= 2.0 {
            upper(seen.old_hits, seen.old, 0.0)
        } else {
            0.0
        };
        ratio(seen.new, seen.new_hits, seen.rate.max(together), excess)
    }
}

impl Cusum {
    pub(super) fn feed(&mut self, now: Instant, batch: &Batch, llr: LlrStep, test: (Fault, f64)) {
        self.value += llr.new;
        if self.value <= 0.0 {
            *self = Self::default();
            return;
        }
        match &mut self.window {
            Some(window) => {
                window.add(now, batch, llr, test.0);
                if window.refuted(now, test) || window.expired(now, test) {
                    *self = Self::default();
                }
            }
            None if self.value >= SUSPECT_LLR => self.window = Some(Window::new(now)),
            None => {}
        }
    }

    /// The window of a suspicion that is strong or was not resolved in time.
    pub(super) fn unresolved(&self, now: Instant) -> Option<&Window> {
        let window = self.window.as_ref()?;
        let old = now >= window.since + UNRESOLVED_AFTER;
        (old || self.value >= BAD_LLR).then_some(window)
    }

    /// The window that confirms the fault, if it does.
    pub(super) fn confirmed(&self, now: Instant, test: (Fault, f64)) -> Option<&Window> {
        let window = self.window.as_ref()?;
        let proven = window.has_control(now, test.0)
            && window.window_llr(test.0, test.1) >= BAD_LLR - SUSPECT_LLR;
        (proven && self.value >= BAD_LLR).then_some(window)
    }
}

/// Log-likelihood ratio of `hits` among `all` between the rates `rate + excess` and
/// `rate`.
pub(super) fn ratio(all: f64, hits: f64, rate: f64, excess: f64) -> f64 {
    let rate = rate.min(0.95);
    let worse = (rate + excess).min(0.99);
    hits * (worse / rate).ln() + (all - hits) * ((1.0 - worse) / (1.0 - rate)).ln()
}

/// Upper estimate of a rate: two standard errors and the slack above its mean.
pub(super) fn upper(hits: f64, all: f64, slack: f64) -> f64 {
    if all <= 0.0 {
        return slack;
    }
    let mean = hits / all;
    mean + 2.0 * (mean * (1.0 - mean) / all).sqrt() + slack
}
