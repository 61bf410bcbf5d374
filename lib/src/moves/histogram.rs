//! Latency histogram with fixed buckets, so that any two histograms merge by
//! addition.
//!
//! Each bucket is 2^(1/4) times as wide as the one before: 19 % is less than the
//! slowdown that the verdict looks for, and 72 buckets reach from a quarter of a
//! millisecond to a minute. A general histogram has finer buckets than the verdict
//! needs, and its rows would be ten times as long.

use std::time::Duration;

/// Number of buckets.
pub const BUCKETS: usize = 72;

/// Upper edge of the first bucket, in seconds.
const FIRST_EDGE_SECS: f64 = 0.000_25;
/// Buckets per doubling of the latency.
pub(crate) const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Bucket of a latency.
pub fn bucket(time: Duration) -> usize {
    let doublings = (time.as_secs_f64() / FIRST_EDGE_SECS).log2();
    let at = (doublings * BUCKETS_PER_DOUBLING).ceil().max(0.0);
    (at as usize).min(BUCKETS - 1)
}

/// Upper edge of a bucket.
pub fn upper_edge(bucket: usize) -> Duration {
    let doublings = bucket as f64 / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(FIRST_EDGE_SECS * doublings.exp2())
}

/// Counts by bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Histogram {
    /// Count of each bucket.
    pub counts: [u32; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
        }
    }
}

impl Histogram {
    /// Counts one latency.
    pub fn record(&mut self, time: Duration) {
        self.counts[bucket(time)] += 1;
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        for (mine, other) in self.counts.iter_mut().zip(other.counts) {
            *mine = mine.saturating_add(other);
        }
    }

    /// Counts added since an earlier state.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut counts = self.counts;
        for (mine, old) in counts.iter_mut().zip(earlier.counts) {
            *mine = mine.saturating_sub(old);
        }
        Self { counts }
    }

    /// Sum of the counts above a bucket.
    pub fn above(&self, bucket: usize) -> u32 {
        let above = self.counts.iter().skip(bucket + 1);
        above.fold(0, |sum, count| sum.saturating_add(*count))
    }
}
