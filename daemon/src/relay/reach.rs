//! Checks which services this daemon reaches, after attempts at their endpoints have failed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures::future::join_all;
use poplarvale_lib::relay::crash::incarnation_hash;
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::reachability::{CHECKED_ENDPOINTS, ReachChange};
use poplarvale_lib::{EndpointId, ServiceId};

use super::state::State;
use super::upstream;

/// Makes the checks that are due until the process ends.
pub(crate) async fn check_services(state: Rc<State>) {
    loop {
        let next = {
            let reach = state.reach.borrow();
            let next = reach.next_check();
            next.map(|(service, due)| (service.clone(), due))
        };
        let Some((service, due)) = next else {
            state.check_due.notified().await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(due.into()) => check(&state, &service).await,
            // Another service may be due earlier.
            () = state.check_due.notified() => {}
        }
    }
}

/// Records that an endpoint of a service was silent for longer than expected.
pub(crate) fn record_silence(state: &State, service: &ServiceId) {
    let mut reach = state.reach.borrow_mut();
    reach.record_silence(service, Instant::now());
    state.check_due.notify_one();
}

/// Records that an endpoint of a service sent something.
pub(crate) fn record_answer(state: &State, service: &ServiceId) {
    let mut reach = state.reach.borrow_mut();
    reach.record_answer(service, Instant::now());
    if reach.is_cut_off(service) {
        state.check_due.notify_one();
    }
}

/// Records that an attempt at an endpoint of a service failed or stalled.
pub(crate) fn record_failure(state: &State, service: &ServiceId) {
    let mut reach = state.reach.borrow_mut();
    reach.record_failure(service, Instant::now());
    state.check_due.notify_one();
}

/// Checks whether any of a few endpoints of a service accepts a connection.
async fn check(state: &State, service: &ServiceId) {
    let targets = check_targets(state, |row| row.service == *service);
    let reached = if targets.is_empty() {
        None
    } else {
        Some(any_accepts(state, &targets).await)
    };
    let now = Instant::now();
    let change = state.reach.borrow_mut().record_check(service, reached, now);
    match change {
        ReachChange::Lost => {
            log::warn!(
                checked = targets.len();
                "reach: no endpoint of {service} accepts a connection or answers; other daemons get its requests."
            );
            state.measure(|metrics| metrics.record_cut_off(service));
            // Connections from before hang if the host is partitioned.
            let addresses = state.endpoints.borrow().addresses(service);
            state.upstreams.close(&addresses);
            check_others(state, service);
            state.digest_due.notify_one();
        }
        ReachChange::Regained(outage) => {
            log::info!("reach: endpoints of {service} are reached again after {outage:?}.");
            state.endpoints.borrow_mut().reset_breakers(service);
            state.digest_due.notify_one();
        }
        ReachChange::None => {}
    }
}

/// Has the other services checked: what separates this daemon from one may separate it from all.
fn check_others(state: &State, service: &ServiceId) {
    let catalog = state.catalog.borrow().clone();
    let services = catalog.iter().flat_map(|catalog| &catalog.services);
    for other in services.filter(|other| other.name != *service) {
        record_failure(state, &other.name);
    }
}

/// Whether any endpoint other than this one accepts a connection, of those that are not known to
/// have crashed; `true` if there is none.
pub(crate) async fn reaches_others(state: &State, endpoint: &EndpointId) -> bool {
    let targets = {
        let crashes = state.crashes.borrow();
        let has_crashed = |row: &Listing| crashes.has_crashed(incarnation_hash(row));
        check_targets(state, |row| row.id != *endpoint && !has_crashed(row))
    };
    targets.is_empty() || any_accepts(state, &targets).await
}

fn check_targets(state: &State, may: impl Fn(&Listing) -> bool) -> Vec<SocketAddr> {
    let table = state.endpoints.borrow();
    table.check_targets(CHECKED_ENDPOINTS, fastrand::u64(..), Instant::now(), may)
}

/// Whether any endpoint accepts a connection. The others are only tried if the first does not.
async fn any_accepts(state: &State, addresses: &[SocketAddr]) -> bool {
    let Some((first, others)) = addresses.split_first() else {
        return false;
    };
    if accepts(state, *first).await {
        return true;
    }
    let checks = others.iter().map(|address| accepts(state, *address));
    join_all(checks).await.contains(&true)
}

/// Whether an endpoint accepts a connection, which is kept for later requests.
async fn accepts(state: &State, address: SocketAddr) -> bool {
    match upstream::connect(address).await {
        Ok(conn) => {
            state.upstreams.put(address, conn, None);
            true
        }
        Err(error) => {
            log::debug!("reach: the endpoint at {address} did not accept a connection, {error}.");
            false
        }
    }
}
