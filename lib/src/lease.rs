//! Leases on cluster-wide duties, and safety when the process is paused.
//!
//! The platform's key-value service grants a lease with a fencing token that increases
//! with every grant. Holding a lease is not enough to act: a process can be paused, or its
//! virtual machine frozen, between reading the clock and writing. Another daemon then
//! acquires the lease, and both believe that they hold it. The result would be the same
//! action twice, such as a version move that advances two stages at once. Three measures
//! together prevent this:
//!
//! - a [`Lease`] counts as expired some time before it expires in the service, so that a
//!   write sent at the last moment is still applied under the lease;
//! - a [`PauseDetector`] detects that a tick ran much later than scheduled; all earlier
//!   information then counts as stale and the lease is released;
//! - every write carries the fencing token and the revision that the decision was based
//!   on, so that a write which arrives late has no effect.
//!
//! Code that needs the lease asks for a [`Permit`], which only a valid lease gives.

use std::time::{Duration, Instant};

/// Fencing token of a lease; a later grant has a higher one.
pub type FencingToken = u64;

/// How long before its expiry in the service a lease counts as expired. A write to the
/// platform's service takes milliseconds and is abandoned after one second, so a write sent
/// under a valid lease has been applied by the expiry or never will be.
pub const MARGIN: Duration = Duration::from_secs(1);

/// Maximum scheduled time between ticks.
pub const TICK: Duration = Duration::from_millis(50);

/// Delay of a tick that counts as a pause of the process. Ten ticks: more than the delays on
/// a busy host, and half of [`MARGIN`], so that a pause too short to be detected cannot delay
/// a write beyond the expiry of the lease.
pub const PAUSE: Duration = Duration::from_millis(500);

/// A lease as known to its holder.
#[proc_macros::row]
pub struct Lease {
    /// Fencing token of the grant.
    pub fence: FencingToken,
    /// When it expires in the service, counted from before the grant was requested.
    pub deadline: Instant,
}

impl Lease {
    /// Permission to act now; none from [`MARGIN`] before the deadline on.
    pub fn permit(&self, now: Instant) -> Option<Permit> {
        let until = self.deadline.checked_sub(MARGIN)?;
        let live = now < until;
        live.then_some(Permit {
            fence: self.fence,
            until,
        })
    }
}

/// Proof that a lease was valid when an action was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    fence: FencingToken,
    until: Instant,
}

impl Permit {
    /// Fencing token that the action must carry.
    pub fn fence(&self) -> FencingToken {
        self.fence
    }

    /// Time by which the action must have been sent; later it is dropped.
    pub fn until(&self) -> Instant {
        self.until
    }
}

/// Whether the process ran without a pause since the previous tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TickTiming {
    /// The tick ran on time.
    OnTime,
    /// The process just started or was paused; its information may be stale.
    Paused,
}

/// Detects pauses of the process from late ticks.
#[derive(Clone, Debug, Default)]
pub struct PauseDetector {
    due: Option<Instant>,
}

impl PauseDetector {
    /// A detector whose first tick counts as a pause.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a tick.
    pub fn tick(&mut self, now: Instant) -> TickTiming {
        let due = self.due.replace(now + TICK);
        match due {
            Some(due) if now < due + PAUSE => TickTiming::OnTime,
            Some(_) | None => TickTiming::Paused,
        }
    }
}
