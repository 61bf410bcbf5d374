//! How long a queue at an engine a request may join; what would wait longer is refused.
//!
//! Load: more prompts than the engines can read, for seconds on end: engines of a
//! quarter of the speed, or what a wave of reclaims has left. Engines read the prompts
//! that wait beside one another, so without a bound all of them become late together:
//! half of the requests ran into their deadline, the urgent ones first, as their prompts
//! are the longest. With a bound the engines finish what they begin, and who is refused
//! hears at once when there will be room.
//!
//! The queue is one for all kinds of requests, so the bound is reckoned from the
//! shortest target of the service and falls with the rank. Reckoned from each kind's own
//! target it would let the patient ones fill the queue that the urgent ones then find
//! too long.

use std::time::Duration;

/// Longest queue of the most urgent rank, in shortest targets, and what each further
/// rank has less. The reading of the request itself has to fit beside the queue, and the
/// least urgent step back early, so that the queue is short again before urgent ones are
/// refused. Longer queues let in requests that are late once engines are overloaded;
/// shorter ones refuse requests that would have been in time.
const MOST: f64 = 1.0;
const RANK: f64 = 0.1;
/// Shortest and longest time after which a refused request is told to come back. Below,
/// it would come before anything has changed; above, callers have gone.
const SOONEST: Duration = Duration::from_millis(100);
pub(crate) const LATEST: Duration = Duration::from_secs(2);
/// Predicted time to the first event beside the time left above which a request is
/// not sent. Predictions are off by a third now and then; a request that fits by a
/// little more is worth its try.
const HOPELESS: f64 = 1.3;

/// What a request may wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest queue before it.
    pub queue: Duration,
    /// Time until its deadline.
    pub left: Duration,
}

impl Limits {
    /// Limits of a request of this rank, where `shortest` is the shortest target of its
    /// service.
    pub fn new(shortest: Duration, rank: u8, left: Duration) -> Self {
        let share = MOST - RANK * f64::from(rank);
        Self {
            queue: shortest.mul_f64(share.max(0.0)),
            left,
        }
    }

    /// Whether a request may wait: `queue` for those before it, and `first` in all for
    /// its first event.
    ///
    /// # Errors
    /// The time after which there will be room.
    pub fn check(&self, queue: Duration, first: Duration) -> Result<(), Duration> {
        let over = queue.saturating_sub(self.queue);
        let late = first.saturating_sub(self.left.mul_f64(HOPELESS));
        let over = over.max(late);
        if over.is_zero() {
            return Ok(());
        }
        Err(over.clamp(SOONEST, LATEST))
    }
}
