//! Limits of rows and exchanges, and the errors when they are exceeded.
//!
//! They bound all memory and traffic of gossip. Without limits, one faulty
//! daemon (that writes a row for each request, say) would fill the memory of
//! every other one; the symptom would be that all daemons grow together.

use std::time::Duration;

use crate::code::Code;

/// Time after the last heartbeat of an origin at which its lane is removed.
///
/// Long enough that no daemon is removed while a switch restarts, short enough
/// that with 950 replacements a day only about a dozen departed daemons are
/// held.
pub const LANE_TTL: Duration = Duration::from_mins(20);

/// Time that must be left of a lane's TTL for a replica to add the lane.
pub const MIN_LANE_TTL: Duration = Duration::from_mins(10);

/// Time for which the tombstone of a removed row is kept.
///
/// Longer than [`LANE_TTL`] by the delays that may add up on the way: the
/// deadlines of tombstones and lanes move a little with each exchange, and a
/// replica whose lane aged less than the tombstone did elsewhere must still
/// receive the tombstone.
pub(crate) const TOMBSTONE_TTL: Duration = LANE_TTL.saturating_add(MIN_LANE_TTL);

/// Time from sending a digest within which its answer is accepted.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(4);

/// Largest value of a row in bytes.
pub const MAX_VALUE_BYTES: usize = 4 * 1024;

/// Longest name of a row in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Most rows of a lane, including tombstones.
pub const MAX_LANE_ROWS: usize = 256;

/// Most bytes of names and values in a lane.
pub const MAX_LANE_BYTES: usize = 16 * 1024;

/// Most origins that a replica holds: twice the planned size.
///
/// With the limits above, the lanes with scope
/// [`Everywhere`](crate::gossip::Scope::Everywhere) of all origins take 12.5
/// MiB at most, so that the total stays below the 32 MB that a daemon has for
/// control.
pub const MAX_ORIGINS: usize = 800;

/// Most bytes of rows in one delta; the remaining rows follow in the next ones.
pub const MAX_DELTA_BYTES: usize = 48 * 1024;

/// Why a row or message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GossipError {
    /// A name or value is over its limit.
    #[error("name or value of a row has {bytes} bytes; at most {max} are allowed")]
    LargeRow {
        /// Actual bytes.
        bytes: usize,
        /// Allowed bytes.
        max: usize,
    },
    /// A lane is full.
    #[error("lane is full: at most {MAX_LANE_ROWS} rows and {MAX_LANE_BYTES} bytes are allowed")]
    FullLane,
    /// Too many daemons are known.
    #[error("too many daemons: at most {MAX_ORIGINS} are allowed")]
    ManyOrigins,
    /// A field of a message is missing or invalid.
    #[error("field {0} is missing or invalid")]
    BadField(&'static str),
    /// An answer was meant for another daemon.
    #[error("the answer is for another daemon")]
    Misdirected,
    /// An answer came after [`EXCHANGE_TIMEOUT`].
    #[error("the answer came after the exchange timeout")]
    Late,
}

impl GossipError {
    /// Numbered code that is sent to the other side.
    pub fn code(self) -> Code {
        match self {
            Self::LargeRow { .. } => Code::LargeRow,
            Self::FullLane | Self::ManyOrigins => Code::ManyRows,
            Self::BadField(_) | Self::Misdirected => Code::BadExchange,
            Self::Late => Code::LateExchange,
        }
    }
}
