//! Recent rates and latencies of the old version.

use crate::moves::evidence::Side;
use crate::moves::histogram::{BUCKETS, BUCKETS_PER_DOUBLING};
use crate::moves::verdict::limits::{
    MAX_LATENCY_LLR, MIN_REFERENCE_LATENCIES, REFERENCE_REQUESTS, SLOW_FRACTION,
};

/// Recent counts of the old version, in which older requests decay.
#[derive(Clone, Debug)]
pub(super) struct Reference {
    pub(super) all: f64,
    pub(super) failed: f64,
    pub(super) times: [f64; BUCKETS],
}

impl Default for Reference {
    fn default() -> Self {
        Self {
            all: 0.0,
            failed: 0.0,
            times: [0.0; BUCKETS],
        }
    }
}

impl Reference {
    pub(super) fn timed(&self) -> f64 {
        self.times.iter().sum()
    }

    pub(super) fn feed(&mut self, side: &Side) {
        let fresh = f64::from(side.all());
        if fresh <= 0.0 {
            return;
        }
        let keep = (1.0 - fresh / REFERENCE_REQUESTS).max(0.0);
        self.all = self.all * keep + fresh;
        self.failed = self.failed * keep + f64::from(side.failed);
        let keep = (1.0 - f64::from(side.timed()) / REFERENCE_REQUESTS).max(0.0);
        for (mine, count) in self.times.iter_mut().zip(side.times.counts) {
            *mine = *mine * keep + f64::from(count);
        }
    }

    /// Drops most latencies, as a new stage changes the load.
    pub(super) fn trim_latencies(&mut self) {
        let keep = (MIN_REFERENCE_LATENCIES / self.timed().max(1.0)).min(1.0);
        for time in &mut self.times {
            *time *= keep;
        }
    }

    /// Lowest bucket that at most [`SLOW_FRACTION`] of the latencies are above.
    pub(super) fn slow_bucket(&self) -> usize {
        let most = self.timed() * SLOW_FRACTION;
        let mut above = 0.0;
        for at in (0..BUCKETS).rev() {
            above += self.times[at];
            if above > most {
                return at;
            }
        }
        0
    }

    pub(super) fn above(&self, bucket: usize) -> f64 {
        self.times[bucket + 1..].iter().sum()
    }
}

/// Distribution of the old version's latencies, smoothed over neighbouring buckets,
/// since a few hundred requests leave gaps between them.
pub(super) struct LatencyDistribution([f64; BUCKETS]);

impl LatencyDistribution {
    /// Weights of a bucket and its neighbours, itself in the middle.
    pub(super) const SMOOTHING_WEIGHTS: [f64; 5] = [1.0, 2.0, 3.0, 2.0, 1.0];
    /// Requests added to each bucket: a latency that was never seen is still
    /// possible.
    pub(super) const FLOOR_REQUESTS: f64 = 0.2;

    pub(super) fn new(reference: &Reference) -> Self {
        let mut distribution = [Self::FLOOR_REQUESTS; BUCKETS];
        for (at, count) in reference
            .times
            .iter()
            .enumerate()
            .filter(|(_, c)| **c > 0.0)
        {
            for (near, weight) in Self::SMOOTHING_WEIGHTS.iter().enumerate() {
                if let Some(chance) = (at + near)
                    .checked_sub(2)
                    .and_then(|to| distribution.get_mut(to))
                {
                    *chance += count * weight / 9.0;
                }
            }
        }
        Self(distribution)
    }

    /// Log-likelihood ratio of one latency between the shifted and the unshifted
    /// distribution.
    pub(super) fn llr_at(&self, at: usize, shift: usize) -> f64 {
        let from = at.checked_sub(shift);
        let shifted = from.map_or(Self::FLOOR_REQUESTS, |from| self.0[from]);
        (shifted / self.0[at])
            .ln()
            .clamp(-MAX_LATENCY_LLR, MAX_LATENCY_LLR)
    }

    /// Log-likelihood ratio of counts between the shifted and the unshifted
    /// distribution.
    pub(super) fn llr(&self, counts: &[u32; BUCKETS], shift: usize) -> f64 {
        let each = counts.iter().enumerate().filter(|(_, count)| **count > 0);
        each.map(|(at, count)| f64::from(*count) * self.llr_at(at, shift))
            .sum()
    }

    /// Mean log-likelihood ratio over the old version's recent latencies.
    pub(super) fn mean_llr(&self, shift: usize) -> f64 {
        let all: f64 = self.0.iter().sum();
        let each = self.0.iter().enumerate();
        let sum: f64 = each
            .map(|(at, chance)| chance * self.llr_at(at, shift))
            .sum();
        sum / all
    }
}

/// Sum of the bucket indexes of all latencies.
pub(super) fn bucket_sum(side: &Side) -> f64 {
    let each = side.times.counts.iter().enumerate();
    each.map(|(at, count)| at as f64 * f64::from(*count)).sum()
}

/// Ratio of two latencies that lie `buckets` apart.
pub(super) fn latency_ratio(buckets: f64) -> f64 {
    (buckets / BUCKETS_PER_DOUBLING).exp2()
}
