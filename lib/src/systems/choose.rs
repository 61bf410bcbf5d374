//! Chooses the endpoint that a request is sent to.

use std::time::Instant;

use crate::endpoint::Endpoint;
use crate::ids::EndpointId;
use crate::moves::Filter;
use crate::request::Waiting;
use crate::routing::{Criteria, Policy, pick};
use crate::world::World;

/// Chooses an endpoint by the configured policy; none if no endpoint accepts the request.
pub(crate) fn run(world: &mut World, now: Instant, waiting: &Waiting) -> Option<EndpointId> {
    let filter = &world.filter_for(now, waiting);
    match world.routing.policy {
        Policy::Cost => {
            let criteria = Criteria {
                waiting,
                max_running: world.setup.running,
                now,
                filter,
            };
            let pick = pick(&world.routing, &world.endpoints, &criteria, &mut world.rng)?;
            Some(pick.endpoint)
        }
        Policy::LeastLoaded => least_loaded(world, now, waiting, filter),
        Policy::RoundRobin => round_robin(world, now, waiting, filter),
    }
}

/// The least loaded endpoint that this request has not failed at, preferring the
/// daemon's own zone. Ties are broken at random; otherwise all daemons would send to
/// the first of the tied endpoints.
fn least_loaded(
    world: &mut World,
    now: Instant,
    waiting: &Waiting,
    filter: &Filter,
) -> Option<EndpointId> {
    let load = |endpoint: &Endpoint| (endpoint.zone != world.setup.zone, endpoint.running);
    let open = open(world, now, waiting, filter);
    let least = open.iter().map(|endpoint| load(endpoint)).min()?;
    let equal: Vec<EndpointId> = open
        .into_iter()
        .filter(|endpoint| load(endpoint) == least)
        .map(|endpoint| endpoint.id.clone())
        .collect();
    let index = world.rng.usize(..equal.len());
    equal.into_iter().nth(index)
}

/// The next endpoint in rotation, regardless of its zone.
fn round_robin(
    world: &mut World,
    now: Instant,
    waiting: &Waiting,
    filter: &Filter,
) -> Option<EndpointId> {
    let turn = world.routing.round_robin;
    let open = open(world, now, waiting, filter);
    let id = open.get(turn % open.len().max(1))?.id.clone();
    world.routing.round_robin = turn.wrapping_add(1);
    Some(id)
}

fn open<'a>(
    world: &'a World,
    now: Instant,
    waiting: &Waiting,
    filter: &Filter,
) -> Vec<&'a Endpoint> {
    let fits = |endpoint: &&Endpoint| {
        endpoint.service == waiting.order.service
            && endpoint.accepts(now)
            && endpoint.running < world.setup.running
            && !waiting.failed.contains(&endpoint.id)
            && filter.allows(endpoint)
    };
    world.endpoints.iter().filter(fits).collect()
}
