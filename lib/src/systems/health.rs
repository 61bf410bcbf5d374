//! Learns from how sendings end, and keeps work from endpoints that do ill.

use std::time::{Duration, Instant};

use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, ServiceId};
use crate::input::Outcome;
use crate::load::Choice;
use crate::load::ejection::{SLOW_FACTOR, State, may_eject};
use crate::load::meter::Sample;
use crate::request::Request;
use crate::world::World;

/// Failures in a row after which an endpoint gets a rest, by the plain policy.
const SHUN_AFTER: u32 = 3;
/// How long that rest lasts.
const REST: Duration = Duration::from_secs(2);
/// How often running requests are looked at for being late.
const REVIEW: Duration = Duration::from_millis(250);
/// Running requests that must be late for their endpoint to be slow, and half of
/// them all. One may be unlucky, and of many some take long for their work.
const LATE: usize = 2;

/// Prepares a tick: limits, rests, and what each service can do.
pub(crate) fn run(world: &mut World, now: Instant) {
    let ceiling = world.setup.running;
    world.load.sync_endpoints(now, &world.endpoints, ceiling);
    if world.load.policy.ejection == Choice::Adaptive {
        review(world, now);
        rest(world, now);
    }
    world.load.apply_limits(&mut world.endpoints, ceiling);
    world
        .load
        .rebuild_pools(now, &world.endpoints, &world.routing);
}

/// Counts how a sending ended for or against its endpoint.
pub(crate) fn judge(world: &mut World, now: Instant, request: &Request, outcome: &Outcome) {
    let whole = matches!(outcome, Outcome::Whole { status } if *status < 500);
    let sample = measure(world, now, request, whole);
    if whole {
        world.load.retry_budget(&request.order().service).deposit();
    }
    let Some(endpoint) = request.endpoint().cloned() else {
        return;
    };
    match world.load.policy.ejection {
        Choice::Plain => count(world, now, &endpoint, whole),
        Choice::Adaptive => weigh(world, now, &endpoint, whole, sample),
    }
}

/// Counts a request against its endpoint that was not answered in time. An
/// endpoint that hangs ends nothing by itself, so no outcome would show it. Only
/// one that had ample time is to blame: under saturation requests are sent with
/// little time left, and endpoints in order would be ejected for it.
pub(crate) fn overdue(world: &mut World, now: Instant, request: &Request) {
    let Some(endpoint) = request.endpoint() else {
        return;
    };
    let load = &world.load;
    let normal = load.typical_unit_time(&request.order().service);
    let sent = request.attempt().and_then(|id| load.in_flight.get(&id));
    let sent = sent.cloned();
    let ample = sent
        .as_ref()
        .zip(normal)
        .is_none_or(|(sent, normal)| sent.mark.age(now) > SLOW_FACTOR * normal * sent.work);
    if let Some(sent) = &sent {
        // It took at least this long, and nothing else would tell of it.
        world.load.record_completion(now, sent);
    }
    if world.load.policy.ejection == Choice::Adaptive && ample {
        weigh(world, now, endpoint, false, None);
    }
}

fn count(world: &mut World, now: Instant, endpoint: &EndpointId, whole: bool) {
    let Some(endpoint) = world.endpoints.get_mut(endpoint) else {
        return;
    };
    if whole {
        endpoint.failures = 0;
        return;
    }
    endpoint.failures += 1;
    if endpoint.failures >= SHUN_AFTER {
        endpoint.shunned = Some(now + REST);
        endpoint.failures = 0;
    }
}

fn measure(world: &mut World, now: Instant, request: &Request, whole: bool) -> Option<Sample> {
    let load = &mut world.load;
    let sent = load.in_flight.remove(&request.attempt()?)?;
    let endpoint = world.endpoints.get(request.endpoint()?)?;
    let gauge = load.endpoint_stats.get_mut(request.endpoint()?)?;
    gauge.limiter.record_outcome(whole, endpoint.running + 1);
    if !whole {
        return None;
    }
    load.record_completion(now, &sent)
}

fn weigh(world: &mut World, now: Instant, id: &EndpointId, whole: bool, sample: Option<Sample>) {
    let Some(service) = world.endpoints.get(id).map(|e| e.service.clone()) else {
        return;
    };
    let bad = if whole {
        let slow = is_slow_probe(world, id, &service, sample);
        let gauge = world.load.endpoint_stats.get_mut(id);
        gauge.is_some_and(|gauge| gauge.ejection.record_success(now, slow))
    } else {
        let usual = world.load.typical_failures(&service, id);
        let gauge = world.load.endpoint_stats.get_mut(id);
        gauge.is_some_and(|g| g.ejection.record_failure() && g.ejection.is_outlier(usual))
    };
    if bad {
        eject(world, now, id, &service);
    }
}

/// Whether an answer shows that an endpoint which is probed is still slow.
fn is_slow_probe(
    world: &World,
    id: &EndpointId,
    service: &ServiceId,
    sample: Option<Sample>,
) -> bool {
    let gauge = world.load.endpoint_stats.get(id);
    if gauge.is_none_or(|gauge| gauge.ejection.state() != State::Probing) {
        return false;
    }
    let normal = world.load.typical_unit_time(service);
    let pace = sample.map(|sample| sample.unit_time);
    pace.zip(normal)
        .is_some_and(|(pace, normal)| pace > SLOW_FACTOR * normal)
}

/// Sends an endpoint to rest, unless too many of its service are out already.
fn eject(world: &mut World, now: Instant, id: &EndpointId, service: &ServiceId) {
    let present = |e: &&Endpoint| e.service == *service && e.leaving.is_none();
    let others: Vec<&EndpointId> = world
        .endpoints
        .iter()
        .filter(present)
        .map(|e| &e.id)
        .collect();
    let is_out = |other: &&&EndpointId| {
        let gauge = world.load.endpoint_stats.get(**other);
        **other != id && gauge.is_some_and(|g| g.ejection.state() != State::Healthy)
    };
    let out = others.iter().filter(is_out).count();
    if !may_eject(out, others.len()) {
        return;
    }
    if let Some(gauge) = world.load.endpoint_stats.get_mut(id) {
        gauge.ejection.eject(now);
    }
    if let Some(endpoint) = world.endpoints.get_mut(id) {
        endpoint.shunned = Some(now);
    }
}

/// Wakes those whose rest is over, and tells the endpoints' table.
fn rest(world: &mut World, now: Instant) {
    let gauges = &mut world.load.endpoint_stats;
    for (endpoint, gauge) in world.endpoints.iter_mut().zip(gauges) {
        if gauge.ejection.start_probe(now) {
            gauge.meter.reset_unit_time();
        }
        endpoint.shunned = gauge.ejection.until();
    }
}

/// Ejects endpoints that are slow: by what they completed, or by requests that
/// should have been completed long ago.
fn review(world: &mut World, now: Instant) {
    if world.load.reviewed.is_some_and(|at| now < at + REVIEW) {
        return;
    }
    world.load.reviewed = Some(now);
    let wholes = world.load.service_stats.iter();
    let services: Vec<ServiceId> = wholes.map(|whole| whole.service.clone()).collect();
    for service in services {
        let Some(normal) = world.load.typical_unit_time(&service) else {
            continue;
        };
        let late = late(world, now, normal);
        let here = world.endpoints.iter().filter(|e| e.service == service);
        let slow = here.filter(|e| is_slow(world, e, normal, &late));
        let slow: Vec<EndpointId> = slow.map(|e| e.id.clone()).collect();
        for id in slow {
            eject(world, now, &id, &service);
        }
    }
}

/// Endpoints of the running requests that should have been completed long ago,
/// sorted, each as often as it has any.
fn late(world: &World, now: Instant, normal: f64) -> Vec<&EndpointId> {
    let margin = REVIEW.as_secs_f64();
    let sent = world.load.in_flight.iter();
    let late = sent.filter(|s| s.mark.age(now) > SLOW_FACTOR * normal * s.work + margin);
    let mut late: Vec<&EndpointId> = late.map(|sent| &sent.endpoint).collect();
    late.sort();
    late
}

fn is_slow(world: &World, endpoint: &Endpoint, normal: f64, late: &[&EndpointId]) -> bool {
    let Some(gauge) = world.load.endpoint_stats.get(&endpoint.id) else {
        return false;
    };
    if gauge.ejection.state() == State::Ejected {
        return false;
    }
    let pace = gauge.meter.reliable_unit_time();
    if pace.is_some_and(|pace| pace > SLOW_FACTOR * normal) {
        return true;
    }
    let from = late.partition_point(|id| **id < endpoint.id);
    let until = late.partition_point(|id| **id <= endpoint.id);
    let enough = match gauge.ejection.state() {
        State::Probing => 1,
        State::Healthy | State::Ejected => LATE.max(endpoint.running.div_ceil(2) as usize),
    };
    until - from >= enough
}
