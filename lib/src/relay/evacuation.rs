//! Evacuated availability zones: operators ask that the endpoints of a zone get nothing new.
//!
//! Requests that run there end undisturbed. The set of evacuated zones is always replaced as a
//! whole, by what the store holds: an order that this daemon missed, or that it still believes
//! after it was withdrawn, does not outlast the next complete answer. The key of an order alone
//! counts, whatever its value says: an order that cannot be read is obeyed rather than ignored.

use crate::ZoneId;

/// Evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Evacuations {
    /// Sorted.
    zones: Vec<ZoneId>,
}

/// How the set of evacuated zones changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChanges {
    /// Zones that are evacuated from now on.
    pub begun: Vec<ZoneId>,
    /// Zones that are restored.
    pub ended: Vec<ZoneId>,
}

impl Evacuations {
    /// Replaces the set.
    pub(crate) fn replace(&mut self, mut zones: Vec<ZoneId>) -> EvacuationChanges {
        zones.sort();
        zones.dedup();
        let former = std::mem::replace(&mut self.zones, zones);
        let missing_in = |zones: &[ZoneId], zone: &ZoneId| zones.binary_search(zone).is_err();
        let begun = self.zones.iter().filter(|zone| missing_in(&former, zone));
        EvacuationChanges {
            begun: begun.cloned().collect(),
            ended: former
                .iter()
                .filter(|zone| missing_in(&self.zones, zone))
                .cloned()
                .collect(),
        }
    }

    pub(crate) fn contains(&self, zone: &ZoneId) -> bool {
        self.zones.binary_search(zone).is_ok()
    }

    pub(crate) fn zones(&self) -> &[ZoneId] {
        &self.zones
    }
}
