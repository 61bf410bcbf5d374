//! Handles endpoints that are leaving or gone, and the streams that run there.
//!
//! Covers reclaims of one host or of a whole zone. Without it new requests go to
//! endpoints that are about to disappear, and all streams there break at the same
//! moment, are queued again and computed from the start. No new request is sent to
//! an endpoint from the tick that receives its notice. Each stream is then checked in
//! every tick until it has ended or moved, so a stream that was expected to end in
//! time and does not is still moved before the endpoint is gone.

use std::time::{Duration, Instant};

use crate::command::{Command, Send};
use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, RequestId};
use crate::request::{Attempt, Idempotent, Request, Running};
use crate::routing::{
    Criteria, Migration, Pick, Policy, Stream, ends_in_time, pick, plan_migration,
};
use crate::world::World;

/// Records a notice that an endpoint is leaving. Of two notices the earlier time counts,
/// so that new requests stop in time.
pub(crate) fn add_notice(world: &mut World, now: Instant, endpoint: &EndpointId, until: Instant) {
    world.routing.notices.record(now, endpoint, until);
    if let Some(endpoint) = world.endpoints.get_mut(endpoint) {
        let known = endpoint.leaving.unwrap_or(until);
        endpoint.leaving = Some(known.min(until));
    }
}

/// Removes an endpoint. Its idempotent requests wait again and continue elsewhere after
/// the tokens already delivered. Non-idempotent requests keep running until their
/// connection reports an outcome: the list of hosts may be wrong, and the answer may
/// still arrive.
pub(crate) fn remove_endpoint(world: &mut World, endpoint: &EndpointId) {
    if world.endpoints.remove(endpoint).is_none() {
        return;
    }
    for request in &mut world.requests {
        let Request::Idempotent(running) = request else {
            continue;
        };
        if running.endpoint == *endpoint {
            world.commands.push(Command::Cancel(running.attempt));
            *request = Request::Waiting(running.clone().retry());
        }
    }
}

/// Records how long a request took, or has taken so far, for the tail latency of its route.
pub(crate) fn record_duration(world: &mut World, now: Instant, request: &Request) {
    let sent = match request {
        Request::Idempotent(running) => running.sent,
        Request::NonIdempotent(running) => running.sent,
        Request::Waiting(_) => return,
    };
    let order = request.order();
    let duration = now.saturating_duration_since(sent);
    world
        .routing
        .latencies
        .record(&order.service, &order.route, duration);
}

/// Moves streams away from the endpoints that are leaving.
pub(crate) fn run(world: &mut World, now: Instant) {
    world.routing.sync(now, &world.setup, &world.endpoints);
    if world.routing.policy != Policy::Cost {
        return;
    }
    let mut late = overdue(world, now);
    late.sort_unstable();
    for streams in late.chunk_by(|a, b| a.0 == b.0) {
        move_streams(world, now, streams);
    }
}

/// Streams that would not end before their endpoint is gone, each with its endpoint.
/// Most streams end in time and need no further work.
fn overdue(world: &World, now: Instant) -> Vec<(EndpointId, RequestId)> {
    let leaving = |endpoint: &&Endpoint| endpoint.leaving.is_some() && endpoint.running > 0;
    let endpoints: Vec<&Endpoint> = world.endpoints.iter().filter(leaving).collect();
    if endpoints.is_empty() {
        return Vec::new();
    }
    let mut overdue = Vec::new();
    for request in &world.requests {
        let Request::Idempotent(running) = request else {
            continue;
        };
        let Ok(at) = endpoints.binary_search_by(|e| e.id.cmp(&running.endpoint)) else {
            continue;
        };
        if !ends_in_time(
            remaining_time(world, now, running),
            time_left(endpoints[at], now),
        ) {
            overdue.push((running.endpoint.clone(), running.order.id));
        }
    }
    overdue
}

fn time_left(endpoint: &Endpoint, now: Instant) -> Duration {
    let until = endpoint.leaving.unwrap_or(now);
    until.saturating_duration_since(now)
}

/// Moves the overdue streams of one endpoint.
fn move_streams(world: &mut World, now: Instant, overdue: &[(EndpointId, RequestId)]) {
    let Some((endpoint, _)) = overdue.first() else {
        return;
    };
    let Some(endpoint) = world.endpoints.get(endpoint).cloned() else {
        return;
    };
    let streams: Vec<Stream> = overdue
        .iter()
        .filter_map(|(_, id)| stream(world, now, &endpoint, *id))
        .collect();
    let (export, queued) = exports(world, now, &endpoint.id);
    let actions = plan_migration(time_left(&endpoint, now), export, queued, &streams);
    for ((_, id), action) in overdue.iter().zip(actions) {
        if action != Migration::Stay {
            move_stream(world, now, *id, action);
        }
    }
}

/// Rate at which an endpoint exports KV cache, and the exports that are queued already.
fn exports(world: &World, now: Instant, endpoint: &EndpointId) -> (f64, f64) {
    let Some(info) = world.routing.get(endpoint) else {
        return (0.0, 0.0);
    };
    let rate = info.load.last_report().export;
    (rate, info.export_backlog.level(now, rate))
}

fn stream(world: &mut World, now: Instant, from: &Endpoint, id: RequestId) -> Option<Stream> {
    let Some(Request::Idempotent(running)) = world.requests.get(&id).cloned() else {
        return None;
    };
    let remaining = remaining_time(world, now, &running);
    let cache_tokens = running.order.prompt.saturating_add(running.delivered);
    let started = running.first.is_some();
    let to = pick_other(world, now, &running);
    let cached = to.as_ref().map_or(0.0, |pick| pick.cached);
    Some(Stream {
        remaining,
        cache_tokens,
        recompute: (f64::from(cache_tokens) - cached).max(0.0) as u32,
        movable: started && to.is_some_and(|to| takes_cache(world, from, &to.endpoint)),
    })
}

/// Upper estimate of the time that a request still runs.
fn remaining_time(world: &World, now: Instant, running: &Running<Idempotent>) -> Duration {
    let order = &running.order;
    let Some(info) = world.routing.get(&running.endpoint) else {
        return Duration::ZERO;
    };
    if order.model.is_none() {
        let latencies = &world.routing.latencies;
        let until =
            latencies.needed_until(running.sent, &order.service, &order.route, order.deadline);
        return until.saturating_duration_since(now);
    }
    let report = info.load.last_report();
    let answer = f64::from(order.answer.saturating_sub(running.delivered));
    let prompt = match running.first {
        Some(_) => 0.0,
        None => f64::from(order.prompt) + info.load.pending(now),
    };
    let seconds = answer / report.decode.max(1.0) + prompt / report.prefill.max(1.0);
    // A load report may contain any number; one too large for a duration must not
    // panic.
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

fn pick_other(world: &mut World, now: Instant, running: &Running<Idempotent>) -> Option<Pick> {
    let waiting = running.clone().retry();
    let criteria = Criteria {
        filter: &world.filter_for(now, &waiting),
        waiting: &waiting,
        max_running: world.setup.running,
        now,
    };
    pick(&world.routing, &world.endpoints, &criteria, &mut world.rng)
}

/// Whether KV cache can be transferred from one endpoint to another: both support
/// transfers, and both run the same version, since the cache layout may differ between
/// versions.
fn takes_cache(world: &World, from: &Endpoint, to: &EndpointId) -> bool {
    let can_export = |id| {
        let info = world.routing.get(id);
        info.is_some_and(|info| info.load.last_report().export > 0.0)
    };
    let same = world
        .endpoints
        .get(to)
        .is_some_and(|to| to.version == from.version);
    same && can_export(&from.id) && can_export(to)
}

/// Moves a stream to another endpoint. While there is none it stays, since tokens that
/// it still generates need not be computed elsewhere.
fn move_stream(world: &mut World, now: Instant, id: RequestId, action: Migration) {
    let Some(Request::Idempotent(running)) = world.requests.get(&id).cloned() else {
        return;
    };
    let Some(to) = pick_other(world, now, &running) else {
        return;
    };
    let attempt = world.next_attempt();
    let (Some(from), Some(row)) = (
        world.endpoints.get(&running.endpoint).cloned(),
        world.endpoints.get(&to.endpoint).cloned(),
    ) else {
        return;
    };
    // A stream moved earlier in this tick may have used the capacity that the plan assumed.
    let size = running.order.prompt.saturating_add(running.delivered);
    let moves = action == Migration::Move && takes_cache(world, &from, &row.id);
    if moves {
        world.routing.record_export(now, &from.id, size);
    } else {
        world.commands.push(Command::Cancel(running.attempt));
    }
    world.commands.push(Command::Send(Send {
        request: id,
        attempt,
        endpoint: row.id.clone(),
        address: row.address,
        delivered: running.delivered,
        cache_from: moves.then_some(running.attempt),
        fresh: false,
        deadline: running.order.deadline,
    }));
    let next = Attempt {
        id: attempt,
        endpoint: row.id.clone(),
        version: row.version,
        sent: now,
    };
    let prompt = if moves { 0 } else { size };
    world
        .routing
        .record_prompt(now, &running.order.blocks, &row.id, prompt);
    shift_running(world, &from.id, &row.id);
    let continued = running.move_to(next);
    world.requests.insert(Request::Idempotent(continued));
}

fn shift_running(world: &mut World, from: &EndpointId, to: &EndpointId) {
    if let Some(from) = world.endpoints.get_mut(from) {
        from.running = from.running.saturating_sub(1);
    }
    if let Some(to) = world.endpoints.get_mut(to) {
        to.running += 1;
    }
}
