//! Changes between two configurations, in parts of a bounded size.
//!
//! Load: a configuration of thousands of routes, of which operators change a few, before a thousand
//! daemons on links of 10 Mbit/s that requests need too. If each daemon got all routes for each
//! change, the last ones would serve an old configuration for seconds. So daemons send each other
//! what has changed since the configuration that the receiver has, and all routes only to one that
//! has none.
//!
//! A configuration is identified by the store's revision at which it was written: two of the same
//! revision are equal, also after the store was restored from an older copy.

use std::cmp::Ordering;

use compact_str::CompactString;

use super::catalog::{CallerLimits, Catalog, CatalogVersion, Route, Service, Team};
use crate::Revision;

/// Most routes of one part.
const PART_ROUTES: usize = 512;

/// What a configuration has beside its routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Header {
    /// Services, sorted by name, without their latency targets, which follow from the routes.
    pub services: Vec<Service>,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// API keys, sorted, with the index of their team.
    pub keys: Vec<(CompactString, usize)>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
}

impl Header {
    fn of(catalog: &Catalog) -> Self {
        let service = |service: &Service| Service {
            target: None,
            ..service.clone()
        };
        Self {
            services: catalog.services.iter().map(service).collect(),
            teams: catalog.teams.clone(),
            keys: catalog.keys.clone(),
            limits: catalog.limits,
        }
    }
}

/// Host and prefix of a route.
pub type RouteKey = (CompactString, CompactString);

/// Part of what has to be changed in one configuration to get another one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogPart {
    /// Revision of the configuration that is changed; 0 if there is none and all is sent.
    pub base: Revision,
    /// Revision of the configuration that results.
    pub revision: Revision,
    /// Number of that configuration.
    pub version: CatalogVersion,
    /// Number of this part, from 0.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// What is not a route, if it is changed; in the first part.
    pub header: Option<Header>,
    /// Routes that are removed; in the first part.
    pub removed: Vec<RouteKey>,
    /// Routes that are added, or that replace those with the same host and prefix.
    pub routes: Vec<Route>,
}

/// Why a part does not follow from what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// Parts are missing before this one.
    #[error("parts of the update are missing")]
    MissingParts,
    /// It changes a configuration that this daemon does not have.
    #[error("the update is for another configuration than the one in force")]
    OtherBase,
}

/// The parts that make `new` from `old`, or the whole of `new`.
pub fn parts(old: Option<&Catalog>, new: &Catalog) -> Vec<CatalogPart> {
    let (removed, routes) = match old {
        Some(old) => changed_routes(&old.routes, &new.routes),
        None => (Vec::new(), new.routes.clone()),
    };
    let header = Header::of(new);
    let is_known = old.is_some_and(|old| Header::of(old) == header);
    let count = routes.len().div_ceil(PART_ROUTES).max(1);
    let empty = CatalogPart {
        base: old.map_or(0, |old| old.revision),
        revision: new.revision,
        version: new.version,
        count: count as u32,
        ..CatalogPart::default()
    };
    let mut parts = vec![empty; count];
    for (index, routes) in routes.chunks(PART_ROUTES).enumerate() {
        parts[index].index = index as u32;
        parts[index].routes = routes.to_vec();
    }
    parts[0].header = (!is_known).then_some(header);
    parts[0].removed = removed;
    parts
}

fn key(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

/// The keys that `new` lacks, and the routes of all keys at which it differs from `old`.
fn changed_routes(old: &[Route], new: &[Route]) -> (Vec<RouteKey>, Vec<Route>) {
    let same_key = |a: &Route, b: &Route| key(a) == key(b);
    let mut old = old.chunk_by(same_key).peekable();
    let mut new = new.chunk_by(same_key).peekable();
    let (mut removed, mut put) = (Vec::new(), Vec::new());
    loop {
        let order = match (old.peek(), new.peek()) {
            (Some(old), Some(new)) => key(&old[0]).cmp(&key(&new[0])),
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (None, None) => return (removed, put),
        };
        let before = if order.is_le() { old.next() } else { None };
        let after = if order.is_ge() { new.next() } else { None };
        match (before, after) {
            (Some(gone), None) => removed.push((gone[0].host.clone(), gone[0].prefix.clone())),
            (before, Some(routes)) if before != Some(routes) => put.extend_from_slice(routes),
            _ => {}
        }
    }
}

/// Collects the parts of an update.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    parts: Vec<CatalogPart>,
}

impl Assembly {
    /// Revision of the whole configuration of which some parts have arrived, and their number; zeros
    /// if there is none.
    pub fn snapshot(&self) -> (Revision, u32) {
        match self.parts.first() {
            Some(first) if first.base == 0 => (first.revision, self.parts.len() as u32),
            _ => (0, 0),
        }
    }

    /// Adds the next part. Returns the configuration that results, once all parts are there.
    ///
    /// # Errors
    /// If the part does not follow from the earlier ones or from the `current` configuration.
    /// Parts of other updates are dropped then.
    pub fn add(
        &mut self,
        part: CatalogPart,
        current: Option<&Catalog>,
    ) -> Result<Option<Catalog>, UpdateError> {
        let same = |known: &CatalogPart| {
            (known.base, known.revision, known.count) == (part.base, part.revision, part.count)
        };
        if !self.parts.first().is_some_and(same) {
            self.parts.clear();
        }
        if part.index as usize != self.parts.len() {
            return Err(UpdateError::MissingParts);
        }
        if part.base != 0 && current.is_none_or(|current| current.revision != part.base) {
            return Err(UpdateError::OtherBase);
        }
        let is_last = part.index + 1 >= part.count;
        self.parts.push(part);
        if !is_last {
            return Ok(None);
        }
        let parts = std::mem::take(&mut self.parts);
        let current = current.filter(|_| parts[0].base != 0);
        Ok(Some(apply(current, parts)))
    }
}

/// Applies all parts of an update to its base.
fn apply(base: Option<&Catalog>, parts: Vec<CatalogPart>) -> Catalog {
    let mut catalog = base.cloned().unwrap_or_default();
    for part in &parts {
        let is_changed = |route: &Route| {
            let removed = |row: &RouteKey| (&*row.0, &*row.1).cmp(&key(route));
            let put = |row: &Route| key(row).cmp(&key(route));
            part.removed.binary_search_by(removed).is_ok()
                || part.routes.binary_search_by(put).is_ok()
        };
        catalog.routes.retain(|route| !is_changed(route));
    }
    for part in parts {
        catalog.version = part.version;
        catalog.revision = part.revision;
        if let Some(header) = part.header {
            catalog.services = header.services;
            catalog.teams = header.teams;
            catalog.keys = header.keys;
            catalog.limits = header.limits;
        }
        catalog.routes.extend(part.routes);
    }
    catalog.sort();
    catalog
}
