//! Keys of rows, and the kinds that decide which daemons receive a row.
//!
//! A kind fixes its scope and whether it is urgent, so that two places in the
//! code can't distribute the same rows differently. Rows carry only the number
//! of their kind: a daemon forwards rows of unknown kinds without interpreting
//! them, so different versions of the daemon can run side by side.

use std::time::Duration;

use compact_str::CompactString;

/// Which daemons hold a row.
#[proc_macros::kind]
pub enum Scope {
    /// Daemons in the availability zone of the writer.
    Zone,
    /// Daemons in the region of the writer.
    Region,
    /// All daemons.
    Everywhere,
}

impl Scope {
    /// All scopes, the narrowest first.
    pub const ALL: [Self; 3] = [Self::Zone, Self::Region, Self::Everywhere];

    /// Time between heartbeats in a lane of this scope.
    ///
    /// Each heartbeat is sent to all daemons in the scope, so a wider scope has
    /// a longer interval; with 400 daemons, heartbeats in the widest scope
    /// would otherwise use the whole share of the network that control traffic
    /// may take.
    pub const fn heartbeat_interval(self) -> Duration {
        match self {
            Self::Zone => Duration::from_secs(2),
            Self::Region => Duration::from_secs(5),
            Self::Everywhere => Duration::from_secs(15),
        }
    }

    /// Time without a heartbeat after which a writer no longer counts as live.
    ///
    /// Covers two lost heartbeats and the rounds that one takes to arrive. If
    /// it were shorter, a slow round would empty the list of live daemons; if
    /// it were longer, work would still be forwarded to a daemon that is gone.
    pub const fn timeout(self) -> Duration {
        match self {
            Self::Zone => Duration::from_secs(15),
            Self::Region => Duration::from_secs(40),
            Self::Everywhere => Duration::from_secs(75),
        }
    }

    pub(crate) fn number(self) -> u32 {
        self as u32
    }

    pub(crate) fn from_number(number: u32) -> Option<Self> {
        Self::ALL.get(number as usize).copied()
    }
}

/// Kind of row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Number in messages; never reused with a new meaning.
    pub number: u32,
    /// Which daemons hold rows of this kind.
    pub scope: Scope,
    /// Whether a new row is pushed at once.
    pub urgent: bool,
}

impl Kind {
    /// The writer is shutting down.
    pub const LEAVING: Self = Self::new(1, Scope::Everywhere, true);
    /// Revision of the lists that is in force at the writer.
    pub const REVISION: Self = Self::new(2, Scope::Everywhere, true);
    /// An endpoint that is draining; its scope is the region, as work is sent
    /// across the zones of a region.
    pub const ENDPOINT: Self = Self::new(3, Scope::Region, true);
    /// A version that was found to be bad.
    pub const VERDICT: Self = Self::new(4, Scope::Everywhere, true);
    /// What the writer observed of a version.
    pub const EVIDENCE: Self = Self::new(5, Scope::Region, false);
    /// Demand of a customer, and the share of its plan that the writer uses.
    pub const DEMAND: Self = Self::new(6, Scope::Region, false);

    /// Creates a kind; embedders use numbers from 1,000 on.
    pub const fn new(number: u32, scope: Scope, urgent: bool) -> Self {
        Self {
            number,
            scope,
            urgent,
        }
    }

    /// Key of the row with a name.
    pub fn key(self, name: &str) -> Key {
        Key {
            kind: self.number,
            name: name.into(),
        }
    }
}

/// Key of a row, unique among the rows of its writer in one scope.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Number of its kind.
    pub kind: u32,
    /// What the row is about; empty if there is just one row of the kind.
    pub name: CompactString,
}
