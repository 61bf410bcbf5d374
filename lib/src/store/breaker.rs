//! When the key-value service counts as out, and how daemons come back to it.
//!
//! It answers an outage or a long slowness of the service. Without it, calls
//! would pile up on a service that is down, each waiting its whole timeout, and
//! when the service returns all daemons would call at once and push it over
//! again. One would notice it as a second outage seconds after the first.
//!
//! Some failures or slow answers in a row open the breaker: calls then fail at
//! once. A slow service counts as out, as whoever waits for it is late in any
//! case. While open, one probe at a time goes out at a jittered pace; when a
//! probe succeeds, calls are let through at a rate for [`RECOVERY_TIME`]. Pace and
//! rate are divided by the number of live daemons, so that the whole fleet stays
//! within [`PROBE_RATE`] and [`RECOVERY_RATE`] whatever its size.

use std::time::{Duration, Instant};

/// An answer slower than this counts as a failure; healthy ones take a few ms.
pub const SLOW_ANSWER: Duration = Duration::from_millis(500);
/// Probes a second of all daemons together, a twentieth of the reads that the
/// service is stated to serve.
pub const PROBE_RATE: f64 = 100.0;
/// Calls a second of all daemons together after an outage, half of the several
/// hundred writes that the service is stated to serve.
pub const RECOVERY_RATE: f64 = 200.0;
/// Time after an outage for which calls are held to [`RECOVERY_RATE`].
pub const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Failures in a row that open it: one lost answer is no outage, and three
/// timeouts are already seconds.
const OPEN_FAILURES: u32 = 3;
/// Least time between probes, so that a small fleet does not hammer.
const MIN_PROBE_GAP: Duration = Duration::from_secs(1);

/// Whether a call may go out.
#[proc_macros::row]
#[derive(Eq)]
pub enum Allow {
    /// It may.
    Yes,
    /// Not before this time.
    No(Instant),
}

#[proc_macros::row]
enum State {
    Closed { failures: u32 },
    Open { probe: Instant },
    Probing { until: Instant },
    Recovering { until: Instant, next: Instant },
}

/// Judge of whether the service is out.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    daemons: u32,
    rng: fastrand::Rng,
}

impl Breaker {
    /// Closed, for a fleet of one until told otherwise.
    pub fn new(seed: u64) -> Self {
        Self {
            state: State::Closed { failures: 0 },
            daemons: 1,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Notes how many daemons share the service.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons.max(1);
    }

    /// Whether the service counts as out.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open { .. } | State::Probing { .. })
    }

    /// Whether a call may go out now; a yes must be followed by a [`record`].
    ///
    /// [`record`]: Self::record
    pub fn allow(&mut self, now: Instant) -> Allow {
        match self.state {
            State::Closed { .. } => Allow::Yes,
            State::Open { probe } if now < probe => Allow::No(probe),
            // A probe whose caller went away without a note must not keep the
            // breaker open for good, so another may go out after a while.
            State::Probing { until } if now < until => Allow::No(until),
            State::Open { .. } | State::Probing { .. } => {
                let until = now + self.probe_gap();
                self.state = State::Probing { until };
                Allow::Yes
            }
            State::Recovering { until, .. } if now >= until => {
                self.state = State::Closed { failures: 0 };
                Allow::Yes
            }
            State::Recovering { next, .. } if now < next => Allow::No(next),
            State::Recovering { until, .. } => {
                let next = now + self.recovery_gap();
                self.state = State::Recovering { until, next };
                Allow::Yes
            }
        }
    }

    /// Notes how a call went that was sent at `sent`.
    pub fn record(&mut self, now: Instant, sent: Instant, answered: bool) {
        let good = answered && now.duration_since(sent) < SLOW_ANSWER;
        match (&mut self.state, good) {
            (State::Closed { failures }, true) => *failures = 0,
            (State::Closed { failures }, false) => {
                *failures += 1;
                if *failures >= OPEN_FAILURES {
                    self.open(now);
                }
            }
            // An answer to a call from before the outage says nothing new.
            (State::Open { .. }, _) | (State::Recovering { .. }, true) => {}
            (State::Probing { .. }, true) => {
                // The first calls of all daemons must not fall on one moment.
                let next = now + self.recovery_gap().mul_f64(self.rng.f64());
                let until = now + RECOVERY_TIME;
                self.state = State::Recovering { until, next };
            }
            (State::Probing { .. } | State::Recovering { .. }, false) => self.open(now),
        }
    }

    fn open(&mut self, now: Instant) {
        let probe = now + self.probe_gap();
        self.state = State::Open { probe };
    }

    fn probe_gap(&mut self) -> Duration {
        let shared = Duration::from_secs_f64(f64::from(self.daemons) / PROBE_RATE);
        let gap = shared.max(MIN_PROBE_GAP);
        gap + gap.mul_f64(self.rng.f64())
    }

    fn recovery_gap(&self) -> Duration {
        Duration::from_secs_f64(f64::from(self.daemons) / RECOVERY_RATE)
    }
}
