//! Outlier ejection: tracks how attempts end and stops sending requests to endpoints that fail or
//! are slow.

use std::time::{Duration, Instant};

use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, ServiceId};
use crate::input::Outcome;
use crate::load::Choice;
use crate::load::ejection::{SLOW_FACTOR, State, may_eject};
use crate::load::meter::Sample;
use crate::request::Request;
use crate::world::World;

/// Consecutive failures after which the plain policy ejects an endpoint.
const EJECT_AFTER: u32 = 3;
/// How long the plain policy ejects an endpoint.
const PLAIN_EJECTION: Duration = Duration::from_secs(2);
/// Interval between checks for slow endpoints.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum number of late running requests for an endpoint to count as slow; they must
/// also be half of its running requests. A single late request can be chance, and among
/// many requests some take unusually long for their size.
const MIN_LATE: usize = 2;

/// Updates ejections, concurrency limits and the capacity of each service for this tick.
pub(crate) fn run(world: &mut World, now: Instant) {
    let ceiling = world.setup.running;
    world.load.sync_endpoints(now, &world.endpoints, ceiling);
    if world.load.policy.ejection == Choice::Adaptive {
        eject_slow(world, now);
        update_ejections(world, now);
    }
    world.load.apply_limits(&mut world.endpoints, ceiling);
    world
        .load
        .rebuild_pools(now, &world.endpoints, &world.routing);
}

/// Records the outcome of an attempt for the health of its endpoint.
pub(crate) fn record_outcome(
    world: &mut World,
    now: Instant,
    request: &Request,
    outcome: &Outcome,
) {
    let ok = matches!(outcome, Outcome::Complete { status } if *status < 500);
    let sample = measure(world, now, request, ok);
    if ok {
        world.load.retry_budget(&request.order().service).deposit();
    }
    let Some(endpoint) = request.endpoint().cloned() else {
        return;
    };
    match world.load.policy.ejection {
        Choice::Plain => record_plain(world, now, &endpoint, ok),
        Choice::Adaptive => record_adaptive(world, now, &endpoint, ok, sample),
    }
}

/// Records a failure of the endpoint for a request that missed its deadline there. A
/// hanging endpoint never ends an attempt, so no outcome would reveal it. It counts only
/// if the endpoint had ample time: under saturation requests are sent with little time
/// left, and healthy endpoints would be ejected.
pub(crate) fn record_overdue(world: &mut World, now: Instant, request: &Request) {
    let Some(endpoint) = request.endpoint() else {
        return;
    };
    let load = &world.load;
    let typical = load.typical_unit_time(&request.order().service);
    let sent = request.attempt().and_then(|id| load.in_flight.get(&id));
    let sent = sent.cloned();
    let ample = sent
        .as_ref()
        .zip(typical)
        .is_none_or(|(sent, typical)| sent.mark.age(now) > SLOW_FACTOR * typical * sent.work);
    if let Some(sent) = &sent {
        // The request took at least this long, and no other event reports it.
        world.load.record_completion(now, sent);
    }
    if world.load.policy.ejection == Choice::Adaptive && ample {
        record_adaptive(world, now, endpoint, false, None);
    }
}

/// Plain policy: ejects after [`EJECT_AFTER`] consecutive failures.
fn record_plain(world: &mut World, now: Instant, endpoint: &EndpointId, ok: bool) {
    let Some(endpoint) = world.endpoints.get_mut(endpoint) else {
        return;
    };
    if ok {
        endpoint.failures = 0;
        return;
    }
    endpoint.failures += 1;
    if endpoint.failures >= EJECT_AFTER {
        endpoint.ejected_until = Some(now + PLAIN_EJECTION);
        endpoint.failures = 0;
    }
}

/// Updates the concurrency limit of the endpoint and measures the time per unit of work of a
/// successful attempt.
fn measure(world: &mut World, now: Instant, request: &Request, ok: bool) -> Option<Sample> {
    let load = &mut world.load;
    let sent = load.in_flight.remove(&request.attempt()?)?;
    let endpoint = world.endpoints.get(request.endpoint()?)?;
    let stats = load.endpoint_stats.get_mut(request.endpoint()?)?;
    stats.limiter.record_outcome(ok, endpoint.running + 1);
    if !ok {
        return None;
    }
    load.record_completion(now, &sent)
}

/// Adaptive policy: ejects an endpoint that fails much more often than the others of its service,
/// or that is still slow while probed.
fn record_adaptive(
    world: &mut World,
    now: Instant,
    id: &EndpointId,
    ok: bool,
    sample: Option<Sample>,
) {
    let Some(service) = world.endpoints.get(id).map(|e| e.service.clone()) else {
        return;
    };
    let bad = if ok {
        let slow = is_slow_probe(world, id, &service, sample);
        let stats = world.load.endpoint_stats.get_mut(id);
        stats.is_some_and(|stats| stats.ejection.record_success(now, slow))
    } else {
        let typical = world.load.typical_failures(&service, id);
        let stats = world.load.endpoint_stats.get_mut(id);
        stats.is_some_and(|stats| {
            stats.ejection.record_failure() && stats.ejection.is_outlier(typical)
        })
    };
    if bad {
        eject(world, now, id, &service);
    }
}

/// Whether the response of an endpoint in the probing state shows that it is still slow.
fn is_slow_probe(
    world: &World,
    id: &EndpointId,
    service: &ServiceId,
    sample: Option<Sample>,
) -> bool {
    let stats = world.load.endpoint_stats.get(id);
    if stats.is_none_or(|stats| stats.ejection.state() != State::Probing) {
        return false;
    }
    let typical = world.load.typical_unit_time(service);
    let unit_time = sample.map(|sample| sample.unit_time);
    unit_time
        .zip(typical)
        .is_some_and(|(unit_time, typical)| unit_time > SLOW_FACTOR * typical)
}

/// Ejects an endpoint, unless too many endpoints of its service are ejected already.
fn eject(world: &mut World, now: Instant, id: &EndpointId, service: &ServiceId) {
    let present = |e: &&Endpoint| e.service == *service && e.leaving.is_none();
    let others: Vec<&EndpointId> = world
        .endpoints
        .iter()
        .filter(present)
        .map(|e| &e.id)
        .collect();
    let is_ejected = |other: &&&EndpointId| {
        let stats = world.load.endpoint_stats.get(**other);
        **other != id && stats.is_some_and(|stats| stats.ejection.state() != State::Healthy)
    };
    let ejected = others.iter().filter(is_ejected).count();
    if !may_eject(ejected, others.len()) {
        return;
    }
    if let Some(stats) = world.load.endpoint_stats.get_mut(id) {
        stats.ejection.eject(now);
    }
    if let Some(endpoint) = world.endpoints.get_mut(id) {
        endpoint.ejected_until = Some(now);
    }
}

/// Starts probing endpoints whose ejection is over, and updates the endpoint table.
fn update_ejections(world: &mut World, now: Instant) {
    let all_stats = &mut world.load.endpoint_stats;
    for (endpoint, stats) in world.endpoints.iter_mut().zip(all_stats) {
        if stats.ejection.start_probe(now) {
            stats.meter.reset_unit_time();
        }
        endpoint.ejected_until = stats.ejection.until();
    }
}

/// Ejects slow endpoints, judged by their completed requests or by running requests
/// that should have completed long ago.
fn eject_slow(world: &mut World, now: Instant) {
    if world
        .load
        .reviewed
        .is_some_and(|at| now < at + REVIEW_INTERVAL)
    {
        return;
    }
    world.load.reviewed = Some(now);
    let services = world.load.service_stats.iter();
    let services: Vec<ServiceId> = services.map(|stats| stats.service.clone()).collect();
    for service in services {
        let Some(typical) = world.load.typical_unit_time(&service) else {
            continue;
        };
        let late = late_endpoints(world, now, typical);
        let here = world.endpoints.iter().filter(|e| e.service == service);
        let slow = here.filter(|e| is_slow(world, e, typical, &late));
        let slow: Vec<EndpointId> = slow.map(|e| e.id.clone()).collect();
        for id in slow {
            eject(world, now, &id, &service);
        }
    }
}

/// Endpoints of the running requests that should have completed long ago, sorted, with
/// one entry for each such request.
fn late_endpoints(world: &World, now: Instant, typical: f64) -> Vec<&EndpointId> {
    let margin = REVIEW_INTERVAL.as_secs_f64();
    let sent = world.load.in_flight.iter();
    let late = sent.filter(|s| s.mark.age(now) > SLOW_FACTOR * typical * s.work + margin);
    let mut late: Vec<&EndpointId> = late.map(|sent| &sent.endpoint).collect();
    late.sort();
    late
}

/// Whether an endpoint is slow by its measured unit time or by its late requests.
fn is_slow(world: &World, endpoint: &Endpoint, typical: f64, late: &[&EndpointId]) -> bool {
    let Some(stats) = world.load.endpoint_stats.get(&endpoint.id) else {
        return false;
    };
    if stats.ejection.state() == State::Ejected {
        return false;
    }
    let unit_time = stats.meter.reliable_unit_time();
    if unit_time.is_some_and(|unit_time| unit_time > SLOW_FACTOR * typical) {
        return true;
    }
    let from = late.partition_point(|id| **id < endpoint.id);
    let until = late.partition_point(|id| **id <= endpoint.id);
    let enough = match stats.ejection.state() {
        State::Probing => 1,
        State::Healthy | State::Ejected => MIN_LATE.max(endpoint.running.div_ceil(2) as usize),
    };
    until - from >= enough
}
