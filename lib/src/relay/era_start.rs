//! Where usage reporting goes on after the store was restored from an older copy.
//!
//! A report of a window is finalized by a record in the store before it is sent, and a restore may
//! take that record away. Whether a window was reported then follows from two facts that the store
//! keeps about the new era. The first is when a daemon first saw it: a window that was not due by
//! then cannot have been reported before the era. The second is what the duty holder says that held
//! the duties until the era began: nobody else can have reported, so it knows the first window
//! that was not. Without it, a window that was due and whose report nobody knows is omitted.

use std::ops::Range;
use std::time::Duration;

use super::usage::{Report, WindowId};
use crate::Era;

/// How long after the end of a window its usage is reported: first events that were in transit and
/// the digests of other daemons must have arrived.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// How far the times of day of two daemons may be apart.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// The beginning of an era, as the store tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EraStart {
    /// The era.
    pub era: Era,
    /// Unix milliseconds at which a daemon first saw an answer of the era.
    pub seen_ms: u64,
    /// Whether a daemon has acquired the duties in the era.
    pub is_open: bool,
    /// What the last duty holder reported; `None` if nobody held the duties until the era began,
    /// or did not say so.
    pub settled: Option<Settled>,
}

/// What was reported before an era.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// First window that was not reported.
    pub next: WindowId,
    /// The last report.
    pub report: Option<Report>,
}

/// Where a new duty holder goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resume {
    /// First window to count.
    pub next: WindowId,
    /// Windows that may have been reported with counts that nobody knows.
    pub omitted: Range<WindowId>,
}

impl EraStart {
    /// Where a holder that acquired the duties in this era goes on after the last known report.
    /// Without one it begins with the window `first`; `length` is that of a window.
    pub fn resume(&self, last: Option<&Report>, first: WindowId, length: Duration) -> Resume {
        let follow = last.map_or(first, |last| last.window + 1);
        let in_era = last.is_some_and(|last| last.era == self.era);
        let next = match &self.settled {
            _ if in_era => follow,
            Some(settled) => return Resume::without_doubt(follow.max(settled.next)),
            None => follow.max(self.first_certain(length)),
        };
        Resume {
            next,
            omitted: follow..next,
        }
    }

    /// First window that cannot have been reported before the era.
    pub fn first_certain(&self, length: Duration) -> WindowId {
        let length = length.as_millis().max(1) as u64;
        let wait = SETTLE_TIME.saturating_sub(CLOCK_TOLERANCE);
        self.seen_ms.saturating_sub(wait.as_millis() as u64) / length
    }
}

impl Resume {
    fn without_doubt(next: WindowId) -> Self {
        Self {
            next,
            omitted: next..next,
        }
    }
}
