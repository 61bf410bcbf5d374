//! Circuit breaker for calls to the key-value service.
//!
//! It protects against an outage or a long slowness of the service. Without it,
//! calls would pile up on a service that is down, each waiting for its whole timeout,
//! and when the service recovers all daemons would call at once and overload it
//! again, which shows as a second outage seconds after the first.
//!
//! Several consecutive failures or slow responses open the breaker: calls then fail
//! at once. A slow service counts as unavailable, as whoever waits for it is late in
//! any case. While the breaker is open, one probe at a time is sent at a jittered
//! interval; when a probe succeeds, calls are allowed at a limited rate for
//! [`RECOVERY_TIME`]. The rates of probes and calls are divided by the number of live
//! daemons, so that the whole fleet stays within [`PROBE_RATE`] and [`RECOVERY_RATE`]
//! whatever its size.

use std::time::{Duration, Instant};

/// A response that takes this long or longer counts as a failure; responses of a
/// healthy service take a few milliseconds.
pub const SLOW_ANSWER: Duration = Duration::from_millis(500);
/// Probes per second of all daemons together, a twentieth of the reads that the
/// service is specified to serve.
pub const PROBE_RATE: f64 = 100.0;
/// Calls per second of all daemons together after an outage, half of the several
/// hundred writes that the service is specified to serve.
pub const RECOVERY_RATE: f64 = 200.0;
/// Time after an outage for which calls are limited to [`RECOVERY_RATE`].
pub const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Consecutive failures that open the breaker: one lost response is no outage, and
/// three timeouts already take seconds.
const OPEN_FAILURES: u32 = 3;
/// Minimum time between the probes of a daemon, so that a small fleet does not overload
/// the service.
const MIN_PROBE_GAP: Duration = Duration::from_secs(1);

/// Whether a call may go out.
#[proc_macros::row]
#[derive(Eq)]
pub enum Allow {
    /// It may be sent.
    Yes,
    /// It may not be sent before this time.
    No(Instant),
}

#[proc_macros::row]
enum State {
    /// Calls are allowed; counts consecutive failures.
    Closed { failures: u32 },
    /// Calls fail until the next probe is due.
    Open { probe: Instant },
    /// A probe is in flight; another may be sent at `until`.
    Probing { until: Instant },
    /// Calls are allowed at a limited rate, the next one at `next`.
    Recovering { until: Instant, next: Instant },
}

/// Circuit breaker of one daemon.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    daemons: u32,
    rng: fastrand::Rng,
}

impl Breaker {
    /// A closed breaker for a fleet of one daemon; see [`set_daemons`](Self::set_daemons).
    pub fn new(seed: u64) -> Self {
        Self {
            state: State::Closed { failures: 0 },
            daemons: 1,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sets the number of daemons that share the service.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons.max(1);
    }

    /// Whether the service counts as unavailable.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open { .. } | State::Probing { .. })
    }

    /// Whether a call may be sent now; after a yes, its result must be passed to [`record`].
    ///
    /// [`record`]: Self::record
    pub fn allow(&mut self, now: Instant) -> Allow {
        match self.state {
            State::Closed { .. } => Allow::Yes,
            State::Open { probe } if now < probe => Allow::No(probe),
            // A probe whose caller was cancelled before it recorded a result must not
            // keep the breaker open forever, so another may be sent after a while.
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

    /// Records the result of a call that was sent at `sent`.
    pub fn record(&mut self, now: Instant, sent: Instant, answered: bool) {
        let success = answered && now.duration_since(sent) < SLOW_ANSWER;
        match (&mut self.state, success) {
            (State::Closed { failures }, true) => *failures = 0,
            (State::Closed { failures }, false) => {
                *failures += 1;
                if *failures >= OPEN_FAILURES {
                    self.open(now);
                }
            }
            // A response to a call from before the outage carries no new information.
            (State::Open { .. }, _) | (State::Recovering { .. }, true) => {}
            (State::Probing { .. }, true) => {
                // The first calls of all daemons must not be sent at the same moment.
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

    /// Time until the next probe: this daemon's share of the rate, with jitter.
    fn probe_gap(&mut self) -> Duration {
        let shared = Duration::from_secs_f64(f64::from(self.daemons) / PROBE_RATE);
        let gap = shared.max(MIN_PROBE_GAP);
        gap + gap.mul_f64(self.rng.f64())
    }

    /// Time between two calls of this daemon while it recovers.
    fn recovery_gap(&self) -> Duration {
        Duration::from_secs_f64(f64::from(self.daemons) / RECOVERY_RATE)
    }
}
