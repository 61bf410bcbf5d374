//! What this daemon reported of itself lately.
//!
//! A watcher reports the sum of the whole fleet, and in it what it last got from this daemon. To
//! know what the others do, this daemon subtracts the report that the watcher has, not its present
//! state: the two differ by all that happened since.

use super::links::ServiceResults;
use super::load_reports::Load;
use super::quota::TeamUse;
use super::quota::division::TeamDemands;

/// Number of reports that are kept: four seconds of them. A watcher that has got none since then
/// counts this daemon as unresponsive.
const KEPT: usize = 16;

/// What this daemon reported of itself in one digest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SentUse {
    /// Sequence number of the digest.
    pub sequence: u64,
    /// Use of all teams since the start, sorted by team.
    pub teams: Vec<TeamUse>,
    /// Demand by kind that was reported, sorted by team.
    pub demands: TeamDemands,
    /// Requests in progress by hash of the endpoint's id, sorted.
    pub loads: Vec<(u32, Load)>,
    /// Latest results of attempts, sorted by service.
    pub results: ServiceResults,
}

/// Latest reports, sorted by sequence number.
#[derive(Clone, Debug, Default)]
pub struct SentUses(Vec<SentUse>);

impl SentUses {
    /// Adds a report.
    pub fn push(&mut self, report: SentUse) {
        if self.0.len() >= KEPT {
            self.0.remove(0);
        }
        self.0.push(report);
    }

    /// The report with this sequence number, if it is still kept.
    pub fn get(&self, sequence: u64) -> Option<&SentUse> {
        let at = self.0.binary_search_by_key(&sequence, |row| row.sequence);
        at.ok().map(|at| &self.0[at])
    }
}
