//! Who decides about the share of a new version, and what comes of it.

use std::time::Instant;

use compact_str::CompactString;
use poplarvale_lib::moves::evidence::Sample;
use poplarvale_lib::moves::{Pick, Time};

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum End {
    #[default]
    Open,
    Done,
    Back,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Score {
    pub(crate) reason: CompactString,
    pub(crate) end: End,
    /// Milliseconds since the move was asked.
    pub(crate) at: u64,
    pub(crate) spoilt: u64,
    /// Requests of all the move's time.
    pub(crate) planned: f64,
    /// Requests until the end and from the fault's first sign to it.
    pub(crate) until: u64,
    pub(crate) after: u64,
    pub(crate) first: Option<u64>,
    pub(crate) row_bytes: u64,
    pub(crate) rows: u64,
    pub(crate) longest: u64,
}

/// Who decides about the share.
pub(crate) trait Policy {
    fn pick(&mut self, daemon: usize, now: Instant, repeatable: bool, draw: u32) -> Pick;
    fn record(&mut self, daemon: usize, sample: &Sample);
    fn tick(&mut self, time: Time, score: &mut Score) -> End;
    /// Endpoints of the old and the new version that a daemon uses.
    fn spread(&self, daemon: usize, now: Instant) -> [u32; 2];
    /// Those whose latencies are compared.
    fn compared(&self, daemon: usize) -> [u32; 2];
}
