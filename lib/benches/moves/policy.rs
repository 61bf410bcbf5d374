//! Interface of a policy that controls the traffic share of a new version, and the score of a
//! move.

use std::time::Instant;

use compact_str::CompactString;
use poplarvale_lib::moves::evidence::Sample;
use poplarvale_lib::moves::{Pick, Time};

/// How a move ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum End {
    #[default]
    Open,
    Done,
    /// Rolled back.
    Back,
}

/// Result of a simulated move.
#[derive(Clone, Debug, Default)]
pub(crate) struct Score {
    pub(crate) reason: CompactString,
    pub(crate) end: End,
    /// Milliseconds since the move was ordered.
    pub(crate) elapsed_ms: u64,
    /// Requests that the fault hit.
    pub(crate) spoilt: u64,
    /// Requests expected over the whole time of the move.
    pub(crate) planned: f64,
    /// Requests until the end of the move.
    pub(crate) requests: u64,
    /// Requests from the first one that the fault hit until the end.
    pub(crate) after_fault: u64,
    /// Time of the first request that the fault hit, in milliseconds since the order.
    pub(crate) first_fault: Option<u64>,
    /// Total size of the published evidence rows in bytes.
    pub(crate) row_bytes: u64,
    pub(crate) rows: u64,
    /// Size of the largest evidence row in bytes.
    pub(crate) max_bytes: u64,
}

/// Controls the traffic share of the new version.
pub(crate) trait Policy {
    fn pick(&mut self, daemon: usize, now: Instant, idempotent: bool, sample_point: u32) -> Pick;
    fn record(&mut self, daemon: usize, sample: &Sample);
    fn tick(&mut self, time: Time, score: &mut Score) -> End;
    /// Endpoints of the old and the new version that a daemon uses.
    fn endpoint_counts(&self, daemon: usize, now: Instant) -> [u32; 2];
    /// Endpoints of the old and the new version whose latencies are compared.
    fn compared(&self, daemon: usize) -> [u32; 2];
}
