//! The operators' configuration: how this daemon gets it, puts it into force and sends it to others.
//!
//! The watchers of a zone read it from the store. They and all others send each other the changes
//! since the configuration that the receiver has (see [`catalog_update`]): digests tell who has
//! the newest one, [`sync`] gets what is missing from one of them, and [`source`] serves those that
//! ask. A daemon reads the store itself only if it finds nobody who has the newest configuration.
//!
//! [`catalog_update`]: poplarvale_lib::relay::catalog_update

mod codec;
pub(super) mod source;
pub(super) mod sync;
pub(super) mod timeline;

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use poplarvale_lib::Revision;
use poplarvale_lib::relay::catalog::{Catalog, Service};
use poplarvale_lib::relay::catalog_log::CatalogLog;
use poplarvale_lib::relay::catalog_update::parts;
use poplarvale_lib::relay::slow_start::SlowStart;
use poplarvale_platform::{Item, read_config};

use self::source::Transfers;
use self::timeline::{Source, Timeline};
use super::startup;
use super::state::State;

/// What the tasks of this module share.
#[derive(Debug, Default)]
pub(crate) struct CatalogState {
    log: RefCell<CatalogLog>,
    transfers: Transfers,
    timeline: RefCell<Timeline>,
}

impl CatalogState {
    /// When the last steps towards the newest configuration were taken.
    pub(crate) fn timeline(&self) -> &RefCell<Timeline> {
        &self.timeline
    }
}

/// Puts the configuration that the store holds into force, if it is newer.
pub(crate) fn adopt_item(state: &State, item: &Item) {
    let catalog = match read_config(&item.value) {
        Ok(catalog) => catalog,
        Err(error) => {
            log::warn!(
                "config: ignored the configuration of revision {}, {error}.",
                item.revision
            );
            return;
        }
    };
    let catalog = Catalog {
        revision: item.revision,
        ..catalog
    };
    if !is_newer(state, &catalog) {
        return;
    }
    let former = state.catalog.borrow().clone();
    let update = parts(former.as_deref(), &catalog);
    let base = update[0].base;
    let encoded = update.iter().map(codec::encode).collect();
    adopt(state, Source::Store, catalog, base, encoded);
}

fn is_newer(state: &State, catalog: &Catalog) -> bool {
    let current = state.catalog.borrow();
    current
        .as_ref()
        .is_none_or(|current| current.version < catalog.version)
}

/// Puts a configuration into force, if it is newer. `encoded` are the parts that make it from the one
/// of revision `base`.
fn adopt(state: &State, source: Source<'_>, catalog: Catalog, base: Revision, encoded: Vec<Bytes>) {
    if !is_newer(state, &catalog) {
        return;
    }
    let mut log = state.config.log.borrow_mut();
    log.push(base, catalog.revision, encoded);
    drop(log);
    timeline::applied(state, source, catalog.version);
    set_slow_starts(state, &catalog);
    state.quota.borrow_mut().set_teams(&catalog.teams);
    *state.catalog.borrow_mut() = Some(Rc::new(catalog));
    startup::record_config(state, source);
}

/// Sets the slow starts of the services whose endpoints are cold after their start.
fn set_slow_starts(state: &State, catalog: &Catalog) {
    let tolerance = state.settings.bounds.cold_tolerance;
    let slow_start = |service: &Service| {
        let cold = service.cold?;
        let limit = SlowStart::new(cold.time, cold.rate, tolerance);
        Some((service.name.clone(), limit))
    };
    let slow_starts = catalog.services.iter().filter_map(slow_start).collect();
    state.endpoints.borrow_mut().set_slow_starts(slow_starts);
}
