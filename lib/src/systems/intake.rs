//! Applies inputs to the tables.

use std::time::Instant;

use crate::code::{Code, Ran};
use crate::command::Command;
use crate::endpoint::Endpoint;
use crate::ids::{AttemptId, EndpointId, RequestId};
use crate::input::{Input, ListedEndpoint, Outcome};
use crate::keys::Keys;
use crate::lists::Accepted;
use crate::request::{Ending, Order, Request, Running};
use crate::systems::{allowance, health, leaving, retry, versions};
use crate::world::World;

/// Applies all inputs; returns the requests that arrived, for admission.
pub(crate) fn run(world: &mut World, now: Instant, inputs: Vec<Input>) -> Vec<Order> {
    let mut arrived = Vec::new();
    for input in inputs {
        match input {
            Input::Arrived(order) => arrived.push(order),
            Input::CallerLeft(request) => caller_left(world, request),
            Input::Progress {
                attempt,
                request,
                delivered,
            } => {
                record_progress(world, now, attempt, request, delivered);
            }
            Input::Ended {
                attempt,
                request,
                outcome,
            } => {
                attempt_ended(world, now, attempt, request, outcome);
            }
            Input::Lists(lists) => apply_lists(world, lists),
            Input::Endpoint(listed) => update_endpoint(world, now, listed),
            Input::Leaving { endpoint, until } => leaving::add_notice(world, now, &endpoint, until),
            Input::Gone(endpoint) => {
                leaving::remove_endpoint(world, &endpoint);
            }
            Input::Routing(event) => world.routing.apply(now, event),
            Input::FleetSize(count) => world.load.shares.set_expected(count),
            Input::PeerSeen(incarnation) => allowance::record_peer(world, now, incarnation),
            Input::PeerEnded(incarnation) => world.load.shares.remove_peer(incarnation),
            Input::Share(row) => allowance::merge_share(world, now, row),
            Input::Move { service, event } => versions::apply_event(world, now, &service, event),
            Input::ClusterView(cluster) => world.cluster = Some(cluster),
            Input::Drain => world.draining = true,
        }
    }
    arrived
}

/// Applies only lists of a higher revision, so that a delayed response of the store or
/// of a peer cannot revert newer lists.
fn apply_lists(world: &mut World, accepted: Accepted) {
    if accepted.revision <= world.revision {
        return;
    }
    world.revision = accepted.revision;
    world.keys = Keys::new(&accepted.lists.customers);
    world.customers = accepted.lists.customers.into_iter().collect();
    world.plans = accepted.lists.plans.into_iter().collect();
}

fn update_endpoint(world: &mut World, now: Instant, listed: ListedEndpoint) {
    let old = world.endpoints.remove(&listed.id);
    let same = old.filter(|o| o.address == listed.address && o.version == listed.version);
    let endpoint = same.unwrap_or(Endpoint {
        leaving: world.routing.notices.gone_at(now, &listed.id),
        id: listed.id,
        service: listed.service,
        zone: listed.zone,
        address: listed.address,
        version: listed.version,
        running: 0,
        limit: world.setup.running,
        ejected_until: None,
        failures: 0,
    });
    world.endpoints.insert(endpoint);
}

fn caller_left(world: &mut World, id: RequestId) {
    let Some(request) = world.requests.get(&id) else {
        return;
    };
    // Cancelling a non-idempotent request could leave it half done. It runs to its end,
    // and its answer is kept for a caller that reconnects.
    if matches!(request, Request::NonIdempotent(_)) {
        return;
    }
    if let Some(attempt) = request.attempt() {
        world.commands.push(Command::Cancel(attempt));
    }
    if let Some(endpoint) = request.endpoint().cloned() {
        release(world, &endpoint);
    }
    finish(world, id, Ending::CallerLeft);
}

fn record_progress(
    world: &mut World,
    now: Instant,
    attempt: AttemptId,
    request: RequestId,
    delivered: u32,
) {
    let Some(request) = world.requests.get_mut(&request) else {
        return;
    };
    if request.attempt() == Some(attempt) {
        request.record_progress(now, delivered);
    } else {
        // The tokens came from an attempt whose endpoint has died since. The caller has
        // received them, so the next endpoint continues after them.
        request.record_delivered(delivered);
    }
}

fn attempt_ended(
    world: &mut World,
    now: Instant,
    attempt: AttemptId,
    id: RequestId,
    outcome: Outcome,
) {
    // Late outcome of an earlier attempt: the request runs at another endpoint by now.
    if world.requests.get(&id).and_then(Request::attempt) != Some(attempt) {
        return;
    }
    let Some(request) = world.requests.remove(&id) else {
        return;
    };
    if let Some(endpoint) = request.endpoint().cloned() {
        release(world, &endpoint);
        health::record_outcome(world, now, &request, &outcome);
        if !matches!(outcome, Outcome::Unsent(_)) {
            leaving::record_duration(world, now, &request);
        }
        versions::record_outcome(world, now, &request, &outcome);
    }
    match (request, outcome) {
        (request, Outcome::Complete { status }) => {
            world.requests.insert(request);
            finish(world, id, Ending::Complete { status });
        }
        (Request::Waiting(waiting), _) => {
            world.requests.insert(Request::Waiting(waiting));
        }
        (Request::Idempotent(running), Outcome::Unsent(proof)) => {
            retry::run(world, now, running.unsent(proof), Code::Refused, Ran::No);
        }
        (Request::NonIdempotent(running), Outcome::Unsent(proof)) => {
            retry::run(world, now, running.unsent(proof), Code::Refused, Ran::No);
        }
        (Request::Idempotent(running), Outcome::Failed { code }) if !is_final(code) => {
            retry::run(world, now, Running::retry(running), code, Ran::Unknown);
        }
        (request, Outcome::Failed { code }) => {
            world.requests.insert(request);
            let ending = Ending::Failed {
                code,
                ran: Ran::Unknown,
                retry_at: None,
            };
            finish(world, id, ending);
        }
    }
}

/// Whether any endpoint would fail in the same way, so that a retry is useless.
fn is_final(code: Code) -> bool {
    code == Code::LargeAnswer
}

/// Records that a request no longer runs at an endpoint.
pub(crate) fn release(world: &mut World, endpoint: &EndpointId) {
    if let Some(endpoint) = world.endpoints.get_mut(endpoint) {
        endpoint.running = endpoint.running.saturating_sub(1);
    }
}

/// Ends a request: removes it and reports the ending to its caller.
pub(crate) fn finish(world: &mut World, id: RequestId, ending: Ending) {
    let Some(request) = world.requests.remove(&id) else {
        return;
    };
    world.load.remove_request(&request);
    if let Some(allowance) = world.allowances.get_mut(&request.order().customer) {
        allowance.release();
    }
    world.commands.push(Command::Finish {
        request: id,
        ending,
    });
}
