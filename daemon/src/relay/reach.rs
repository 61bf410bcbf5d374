//! Finds out which services this daemon reaches, from the results of its attempts and from checks
//! after they have failed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures::future::join_all;
use poplarvale_lib::relay::catalog::RetryPolicy;
use poplarvale_lib::relay::crash::incarnation_hash;
use poplarvale_lib::relay::endpoint_table::Endpoint;
use poplarvale_lib::relay::links::LinkChange;
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

/// Whether this daemon reaches the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceReach {
    /// All that work.
    All,
    /// Only those that have answered since this moment.
    Sound(Instant),
    /// None.
    None,
}

/// Whether this daemon reaches the endpoints of a service now.
pub(crate) fn service_reach(state: &State, service: &ServiceId) -> ServiceReach {
    if state.reach.borrow().is_cut_off(service) {
        return ServiceReach::None;
    }
    let Some(since) = state.links.borrow().impaired_since(service) else {
        return ServiceReach::All;
    };
    let table = state.endpoints.borrow();
    if table.is_any_sound(service, since, Instant::now()) {
        ServiceReach::Sound(since)
    } else {
        ServiceReach::None
    }
}

/// Whether a request is sent to an endpoint that is not known to be reached. `has_budget` tells whether
/// it may be retried if that fails.
pub(crate) fn take_trial(
    state: &State,
    service: &ServiceId,
    policy: RetryPolicy,
    has_budget: bool,
) -> bool {
    let now = Instant::now();
    let mut reach = state.reach.borrow_mut();
    if reach.is_cut_off(service) {
        let may_try = policy.allows_retry() || policy.is_stream();
        return may_try && reach.take_trial(service, now);
    }
    let mut links = state.links.borrow_mut();
    links.take_trial(service, policy.allows_retry() && has_budget, now)
}

/// Records whether an endpoint gave a sound answer to a request that was sent at some moment.
pub(crate) fn record_result(
    state: &State,
    service: &ServiceId,
    endpoint: &EndpointId,
    sent: Instant,
    answered: bool,
) {
    let now = Instant::now();
    let since = state.links.borrow().impaired_since(service);
    let mut table = state.endpoints.borrow_mut();
    let is_known = table.get_mut(endpoint).is_none_or(|row| {
        let link = &mut row.link;
        let is_known = since.is_none_or(|since| sent < since || link.is_sound(since));
        if answered {
            link.answered = link.answered.max(Some(sent));
        } else {
            link.failed = Some(now);
        }
        is_known
    });
    drop(table);
    let mut links = state.links.borrow_mut();
    let change = links.record(service, answered, is_known, now);
    drop(links);
    match change {
        LinkChange::Impaired(own, elsewhere) => {
            log::warn!(
                attempts = own.attempts, answered = own.answered,
                elsewhere = elsewhere.attempts, answered_elsewhere = elsewhere.answered;
                "reach: attempts at {service} are answered less often here than elsewhere; other daemons get its requests."
            );
            give_up_links(state, service);
        }
        LinkChange::Restored(outage) => {
            log::info!("reach: all endpoints of {service} are used again after {outage:?}.");
            state.endpoints.borrow_mut().retry_breakers(service, now);
            state.digest_due.notify_one();
        }
        LinkChange::None => {}
    }
}

/// Uses links again that are no worse than those of the other daemons.
pub(crate) fn expire(state: &State, now: Instant) {
    for service in state.links.borrow_mut().expire(now) {
        log::info!("reach: attempts at {service} fail elsewhere too; all its endpoints are used.");
        state.digest_due.notify_one();
    }
}

/// Checks whether any of a few endpoints of a service accepts a connection. While some are known to be
/// reached, only the others are checked, and that none of these accepts shows nothing new.
async fn check(state: &State, service: &ServiceId) {
    let since = state.links.borrow().impaired_since(service);
    let is_sound = |row: &Endpoint| since.is_some_and(|since| row.link.is_sound(since));
    let targets = check_targets(state, |row| {
        row.listing.service == *service && !is_sound(row)
    });
    let has_sound = matches!(service_reach(state, service), ServiceReach::Sound(_));
    let accepted = accepting(state, &targets).await;
    let now = Instant::now();
    let mut table = state.endpoints.borrow_mut();
    table.record_accepted(&accepted, now);
    drop(table);
    let reached = !accepted.is_empty();
    let shows = !targets.is_empty() && (reached || !has_sound);
    let mut reach = state.reach.borrow_mut();
    let change = reach.record_check(service, shows.then_some(reached), now);
    drop(reach);
    match change {
        ReachChange::Lost => {
            log::warn!(
                checked = targets.len(), accepted = accepted.len();
                "reach: no endpoint of {service} accepts a connection or answers; other daemons get its requests."
            );
            state.links.borrow_mut().record_lost(service, now);
            give_up_links(state, service);
            check_others(state, service);
        }
        ReachChange::Regained(outage) => {
            log::info!(
                accepted = accepted.len();
                "reach: endpoints of {service} accept connections again after {outage:?}."
            );
            state.endpoints.borrow_mut().retry_breakers(service, now);
            state.digest_due.notify_one();
        }
        ReachChange::None => {}
    }
}

/// Has other daemons get the requests for a service.
fn give_up_links(state: &State, service: &ServiceId) {
    state.measure(|metrics| metrics.record_cut_off(service));
    // Connections from before hang if the host is partitioned.
    let addresses = state.endpoints.borrow().addresses(service);
    state.upstreams.close(&addresses);
    state.digest_due.notify_one();
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
        check_targets(state, |row| {
            row.listing.id != *endpoint && !has_crashed(&row.listing)
        })
    };
    targets.is_empty() || !accepting(state, &targets).await.is_empty()
}

fn check_targets(state: &State, may: impl Fn(&Endpoint) -> bool) -> Vec<SocketAddr> {
    let table = state.endpoints.borrow();
    table.check_targets(CHECKED_ENDPOINTS, fastrand::u64(..), Instant::now(), may)
}

/// Those of the addresses that accept a connection. The others are only tried if the first does not.
async fn accepting(state: &State, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
    let Some((first, others)) = addresses.split_first() else {
        return Vec::new();
    };
    if accepts(state, *first).await {
        return vec![*first];
    }
    let checks = others.iter().map(|address| accepts(state, *address));
    let accepted = join_all(checks).await;
    let others = others.iter().zip(accepted);
    others.filter(|row| row.1).map(|row| *row.0).collect()
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
