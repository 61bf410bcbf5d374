//! Faults of an engine, set with `POST /faults`.

use serde::{Deserialize, Serialize};

/// Faults of an engine; all are off by default.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Breaks every stream off after this many tokens of an attempt.
    pub break_after: Option<u32>,
    /// Answers every completion request with this status.
    pub status: Option<u16>,
    /// Number of coming events that are sent with the id of another attempt.
    pub swapped: u32,
    /// Number of coming events that are sent twice.
    pub doubled: u32,
    /// Stops sending events without closing the streams.
    pub stalled: bool,
    /// Additional time per token in milliseconds.
    pub slow_ms: u64,
    /// Number of coming cache events that are lost.
    pub missing: u32,
    /// Least time between two load reports in milliseconds; calls in between get the older one.
    pub lag_ms: u64,
}
