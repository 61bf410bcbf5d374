//! Where a daemon that has just started gets what its first answer needs: the configuration in force
//! and the registry of endpoints.
//!
//! Load: all daemons of a fleet that start at the same moment, after a loss of power. While they wait
//! until they know each other, they reject every caller. If each reads everything at once instead, a
//! thousand daemons before three thousand endpoints ask the store for more than a gigabyte, and it
//! answers none of them in time.
//!
//! The checkpoint, the first thing that a daemon reads, tells how large the fleet was and which daemons
//! watched the store for each zone. The watchers read the store at once, and the others get from them
//! what they read, which is an eighth of the bytes. Where the links of the watchers are so slow that
//! this takes longer, and the store answers all in a moment, each daemon reads the store. In a larger
//! fleet only daemons that hear no watcher do so, one after the other.

use std::fmt::{self, Display, Formatter};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use super::membership::WATCHERS;
use super::sharers::rank;

/// Longest time in which the store may have to answer all daemons for each to read it.
const DIRECT_TIME: Duration = Duration::from_millis(250);
/// Bytes of an answer that the store sends at its stated rate of reads.
const READ_BYTES: f64 = 16_384.0;
/// Bytes of an entry of the registry or the configuration in an answer of the store.
const ENTRY_BYTES: f64 = 500.0;
/// The same as daemons send it to each other.
const PEER_ENTRY_BYTES: f64 = 60.0;
/// Entries of the registry in one answer.
const PAGE_ENTRIES: u32 = 500;
/// Time after its start at which a daemon that heard of no configuration has heard from those that
/// started with it.
const DISCOVERY_TIME: Duration = Duration::from_millis(400);
/// Time after its start for which a daemon relies on others that run and have the configuration.
const SOURCE_TIME: Duration = Duration::from_millis(100);
/// Least time after its start for which a daemon relies on watchers that start with it.
const MIN_PATIENCE: Duration = Duration::from_millis(50);
/// Longest time over which the daemons that found nobody spread their reads.
const MAX_SPREAD: Duration = Duration::from_secs(10);
/// Time between two digests by which a daemon asks watchers that start with it.
pub const ASK_PERIOD: Duration = Duration::from_millis(50);
/// Time after its start during which a daemon lets requests wait.
const HOLD_SPAN: Duration = Duration::from_millis(250);
/// Longest wait of a request.
const HOLD_TIME: Duration = Duration::from_millis(100);

/// What the store and a link take, by the settings; 0 if it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Reads that the store answers in a second, over all daemons.
    pub reads: f64,
    /// Bytes that the link of this daemon carries in a second.
    pub link: f64,
}

/// Size of the fleet and of what each daemon needs, as last known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Daemons.
    pub daemons: u32,
    /// Availability zones.
    pub zones: u32,
    /// Endpoints in the registry.
    pub endpoints: u32,
    /// Routes, services, teams and keys of the configuration.
    pub entries: u32,
    /// Bytes a second that the links of this zone's watchers carry; 0 if it is not known.
    pub watcher_link: f64,
}

impl Fleet {
    /// Calls by which a daemon reads the registry and the configuration.
    pub fn calls(&self) -> u32 {
        self.endpoints.div_ceil(PAGE_ENTRIES).max(1) + 1
    }

    /// Bytes of the store's answers.
    pub fn store_bytes(&self) -> f64 {
        f64::from(self.endpoints.saturating_add(self.entries)) * ENTRY_BYTES
    }

    /// Bytes of the same as daemons send it to each other.
    pub fn peer_bytes(&self) -> f64 {
        f64::from(self.endpoints.saturating_add(self.entries)) * PEER_ENTRY_BYTES
    }

    /// Time in which the store answers all daemons, in seconds.
    fn store_secs(&self, reads: f64) -> f64 {
        let each = f64::from(self.calls()).max(self.store_bytes() / READ_BYTES);
        f64::from(self.daemons) * each / reads
    }

    /// Time until a daemon has it from its watchers, in seconds.
    fn ranked_secs(&self, link: f64) -> f64 {
        let members = f64::from(self.daemons) / f64::from(self.zones.max(1));
        let read = self.store_bytes() / self.watcher_link;
        let handed = members * self.peer_bytes() / (WATCHERS as f64 * self.watcher_link);
        read + handed + self.peer_bytes() / link
    }
}

/// A time span of at most [`MAX_SPREAD`]; the quotient by an unknown capacity is infinite, or no number
/// if there is nothing to send.
fn span(seconds: f64) -> Duration {
    if seconds.is_nan() {
        return MAX_SPREAD;
    }
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SPREAD.as_secs_f64()))
}

/// What a daemon that starts has heard of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// There is no other one, not even by the settings.
    Alone,
    /// None that watches for this zone, and none that has the configuration.
    Nothing,
    /// A watcher of this zone that has no configuration yet.
    Watcher,
    /// A running daemon has the configuration, and another one of this zone runs.
    Source,
}

/// What a daemon that starts knows of itself and of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// What it heard.
    pub heard: Heard,
    /// Whether it ranks as a watcher of its zone.
    pub is_watcher: bool,
}

/// Who reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plan {
    /// The watchers, once they have heard of each other: the fleet is not known.
    Unknown,
    /// The watchers at once, and each other daemon if it has not got all from them after this time.
    Direct(Duration),
    /// The watchers at once, and the others over this time if they hear none.
    Ranked(Duration),
}

/// The start of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Startup {
    started: Instant,
    capacity: Capacity,
    /// Place of this daemon in the order of all, from 0 to 1.
    place: f64,
    plan: Plan,
    has_failed: bool,
}

impl Display for Startup {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.plan {
            Plan::Unknown => f.write_str("the fleet is not known"),
            Plan::Direct(Duration::ZERO) => f.write_str("each daemon reads the store"),
            Plan::Direct(patience) => {
                write!(
                    f,
                    "the watchers read the store, others after {patience:.0?}"
                )
            }
            Plan::Ranked(_) => f.write_str("the watchers read the store"),
        }
    }
}

impl Startup {
    /// The start of the daemon at this address.
    pub fn new(started: Instant, capacity: Capacity, address: Ipv4Addr) -> Self {
        Self {
            started,
            capacity,
            place: rank(0, address) as f64 / u64::MAX as f64,
            plan: Plan::Unknown,
            has_failed: false,
        }
    }

    /// Decides who reads the store, once the size of the fleet is known from a checkpoint.
    ///
    /// A checkpoint that does not tell what the registry and the configuration hold changes nothing.
    pub fn decide(&mut self, fleet: Fleet) {
        if fleet.daemons == 0 || fleet.endpoints.saturating_add(fleet.entries) == 0 {
            self.plan = Plan::Unknown;
            return;
        }
        let Capacity { reads, link } = self.capacity;
        let store = fleet.store_secs(reads);
        let direct = store + fleet.store_bytes() / link;
        let ranked = fleet.ranked_secs(link);
        self.plan = if store > DIRECT_TIME.as_secs_f64() || !direct.is_finite() {
            Plan::Ranked(span(store))
        } else if direct <= ranked {
            Plan::Direct(Duration::ZERO)
        } else {
            Plan::Direct(MIN_PATIENCE + span(ranked * 2.0))
        };
    }

    /// Whether each daemon reads the store at once, so that it need not ask others.
    pub fn is_independent(&self) -> bool {
        self.plan == Plan::Direct(Duration::ZERO)
    }

    /// Records that the store did not answer this daemon. The others may have what it needs, and must not
    /// all repeat their reads.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
        if let Plan::Direct(_) = self.plan {
            self.plan = Plan::Ranked(DIRECT_TIME);
        }
    }

    /// From when on this daemon reads the store itself; `None` if it does not.
    pub fn read_from(&self, view: View) -> Option<Instant> {
        let has_source = view.heard == Heard::Source;
        let after = match self.plan {
            _ if view.heard == Heard::Alone => Duration::ZERO,
            Plan::Direct(_) if has_source => SOURCE_TIME,
            Plan::Direct(_) | Plan::Ranked(_) if view.is_watcher && !has_source => Duration::ZERO,
            Plan::Direct(patience) => patience,
            Plan::Ranked(_) | Plan::Unknown if view.is_watcher => DISCOVERY_TIME,
            Plan::Ranked(spread) if view.heard == Heard::Nothing => {
                DISCOVERY_TIME + spread.mul_f64(self.place)
            }
            Plan::Ranked(_) | Plan::Unknown => return None,
        };
        Some(self.started + after)
    }

    /// Until when a request that arrives now waits for the configuration; `None` if it is to be
    /// rejected, as the configuration is not expected within its wait.
    pub fn hold_until(&self, now: Instant) -> Option<Instant> {
        let end = self.started + HOLD_SPAN;
        (now < end && !self.has_failed).then(|| end.min(now + HOLD_TIME))
    }
}
