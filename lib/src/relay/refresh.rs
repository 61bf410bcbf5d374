//! When a daemon that is fed by the watchers of its zone reads the store itself.
//!
//! Load: a zone that loses its watchers. Whoever takes their place is determined by rank, and a
//! candidate that was lost too is passed over only after it has been silent for a while, so the time
//! without a feed grows with the number of daemons that are lost together. Endpoints that leave then
//! get requests for seconds. Therefore the age of what a daemon acts on does not depend on which
//! others it believes to run: once the store's last answer that it knows of, its own or one that it
//! was fed, has reached [`MAX_FED_AGE`], the daemon reads the store.
//!
//! A long answer on a slow link takes longer than that. Reads of others at the same time would only delay it,
//! so they wait as long as a daemon of the zone keeps telling that an answer is arriving.
//!
//! The daemons of a zone reach that age together. They spread their reads over [`SPREAD`], by a hash
//! of their addresses, and whoever gets an answer feeds it to the zone, so that most others need not
//! read. If the store does not answer, each daemon repeats its read at most once a second, and less
//! often after further failures. A store that comes back is thus asked by a few daemons at a time.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use super::sharers::rank;

/// Age of the store's last answer from which on a daemon reads the store itself. It is longer than
/// the age of any answer that a running watcher feeds.
pub const MAX_FED_AGE: Duration = Duration::from_millis(1400);
/// Time over which the daemons of a zone spread their reads.
pub const SPREAD: Duration = Duration::from_millis(200);
/// How long a daemon waits for an answer that was arriving at another one when that last told so.
const RECEIVING_TIME: Duration = Duration::from_millis(500);
/// Shortest time between a failed read and the next one.
pub const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The same after several failures.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The reads of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Refresh {
    /// Place of this daemon in the order of all, from 0 to 1.
    place: f64,
    /// Delay after the next failure.
    delay: Duration,
    /// Moment before which no read is repeated.
    retry_at: Option<Instant>,
}

impl Refresh {
    /// The reads of the daemon at this address.
    pub fn new(address: Ipv4Addr) -> Self {
        Self {
            place: rank(0, address) as f64 / u64::MAX as f64,
            delay: MIN_RETRY_DELAY,
            retry_at: None,
        }
    }

    /// When the store is to be read if no later answer of it becomes known than that of `answered`.
    /// `receiving` is when another daemon last told that an answer is arriving there.
    pub fn due(&self, answered: Instant, receiving: Option<Instant>) -> Instant {
        let spread = SPREAD.mul_f64(self.place);
        let due = answered + MAX_FED_AGE + spread;
        let received = receiving.map(|at| at + RECEIVING_TIME + spread);
        due.max(received.unwrap_or(due))
            .max(self.retry_at.unwrap_or(due))
    }

    /// Records that the store answered this daemon.
    pub fn record_answer(&mut self) {
        self.delay = MIN_RETRY_DELAY;
        self.retry_at = None;
    }

    /// Records that a read failed at `now`; `chance` is a random number from 0 to 1. Up to twice the
    /// delay passes, so that daemons that failed together do not repeat their reads together.
    pub fn record_failure(&mut self, now: Instant, chance: f64) {
        self.retry_at = Some(now + self.delay.mul_f64(1.0 + chance));
        self.delay = (self.delay * 2).min(MAX_RETRY_DELAY);
    }
}
