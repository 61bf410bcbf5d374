//! Admission control: how long a queue at an engine a request may join. A request that
//! would wait longer is rejected.
//!
//! More prompts may come than the engines can prefill, for seconds on end: the engines run
//! at a quarter of their speed, or a wave of reclaims has left few of them. Engines prefill
//! the waiting prompts concurrently, so without a limit all of them become late together:
//! half of the requests missed their deadline, the urgent ones first, as their prompts are
//! the longest. With a limit the engines finish what they start, and the callers of rejected
//! requests learn at once when there will be room.
//!
//! All kinds of requests share one queue, so the limit is derived from the shortest target
//! of the service and falls with the rank. Derived from the target of each kind, it would
//! let the requests with long targets fill the queue, which is then too long for the urgent
//! ones.

use std::time::Duration;

/// Longest queue of the most urgent rank, as a multiple of the service's shortest target,
/// and how much each further rank has less. The prefill of the request itself has to fit in
/// as well. The least urgent requests are rejected early, so that the queue is short again
/// before urgent ones are rejected. Longer queues admit requests that are late once engines
/// are overloaded; shorter ones reject requests that would have been in time.
const MAX_QUEUE_TARGETS: f64 = 1.0;
const RANK_STEP_TARGETS: f64 = 0.1;
/// Shortest and longest time after which a rejected request is told to retry. Sooner,
/// nothing would have changed yet; later, callers have given up.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Ratio of the predicted time to the first event to the time left, above which a request
/// is not sent. Predictions are off by a third now and then, so a request that misses its
/// deadline by a little is worth an attempt.
const MAX_LATE_RATIO: f64 = 1.3;

/// How long a request may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest queue ahead of the request.
    pub queue: Duration,
    /// Time until its deadline.
    pub left: Duration,
}

impl Limits {
    /// Limits of a request of this rank, where `shortest` is the shortest target of its
    /// service and `left` the time until its deadline.
    pub fn new(shortest: Duration, rank: u8, left: Duration) -> Self {
        let share = MAX_QUEUE_TARGETS - RANK_STEP_TARGETS * f64::from(rank);
        Self {
            queue: shortest.mul_f64(share.max(0.0)),
            left,
        }
    }

    /// The same limits for a team that may only join queues of this share of the longest.
    #[must_use]
    pub fn with_share(self, share: f64) -> Self {
        let queue = self.queue.mul_f64(share.clamp(0.0, 1.0));
        Self { queue, ..self }
    }

    /// Whether a request may wait `queue` for those ahead of it, and `first` in total for
    /// its first event.
    ///
    /// # Errors
    /// The time after which there will be room.
    pub fn check(&self, queue: Duration, first: Duration) -> Result<(), Duration> {
        let over = queue.saturating_sub(self.queue);
        let late = first.saturating_sub(self.left.mul_f64(MAX_LATE_RATIO));
        let over = over.max(late);
        if over.is_zero() {
            return Ok(());
        }
        Err(over.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}
