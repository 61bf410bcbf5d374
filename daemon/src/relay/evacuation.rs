//! Evacuated zones: the operators' orders in the store, and the set in use.

use std::time::Instant;

use poplarvale_lib::ZoneId;
use poplarvale_platform::{EVACUATION_PREFIX, Item};

use super::state::State;

/// Zone that a key of the store asks to be evacuated; `None` if it is no such key.
pub(crate) fn zone_of(key: &str) -> Option<ZoneId> {
    let zone = key.strip_prefix(EVACUATION_PREFIX)?;
    (!zone.is_empty()).then(|| zone.into())
}

/// Zones that the keys of a complete list ask to be evacuated.
pub(crate) fn zones_of(items: &[Item]) -> Vec<ZoneId> {
    items.iter().filter_map(|item| zone_of(&item.key)).collect()
}

/// Adds a zone to the evacuated ones.
pub(crate) fn begin(state: &State, zone: ZoneId) {
    let mut zones = state.endpoints.borrow().evacuated().to_vec();
    zones.push(zone);
    replace(state, zones);
}

/// Removes a zone from the evacuated ones.
pub(crate) fn end(state: &State, zone: &ZoneId) {
    let mut zones = state.endpoints.borrow().evacuated().to_vec();
    zones.retain(|evacuated| evacuated != zone);
    replace(state, zones);
}

/// Replaces the set of evacuated zones. A change is sent to the other daemons at once.
pub(crate) fn replace(state: &State, zones: Vec<ZoneId>) {
    let mut table = state.endpoints.borrow_mut();
    let changes = table.set_evacuated(zones, Instant::now());
    for zone in &changes.begun {
        if state.settings.zones.binary_search(zone).is_err() {
            log::warn!("evacuate: the evacuated zone {zone} is not among the zones known here.");
        }
        log::info!("evacuate: zone {zone} gets no new requests.");
    }
    for zone in &changes.ended {
        log::info!("evacuate: zone {zone} is restored; its endpoints are taken to be cold.");
    }
    if !changes.begun.is_empty() || !changes.ended.is_empty() {
        state.digest_due.notify_one();
    }
}
