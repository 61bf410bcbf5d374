//! Endpoints that are leaving or gone, and the streams that run there.
//!
//! Answers reclaims, of one host or of a zone at once. Without it new work goes to
//! endpoints that are about to vanish, and every stream there breaks at the same
//! moment, is queued again and computed from its beginning. A notice stops new
//! work in the tick that hears of it. Each stream is then looked at in every tick
//! until it has ended or left: one that was thought to end in time and does not
//! still leaves before the end.

use std::time::{Duration, Instant};

use crate::command::{Command, Send};
use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, RequestId};
use crate::request::{Repeatable, Request, Running, Sending};
use crate::routing::{
    Criteria, Migration, Pick, Policy, Stream, ends_in_time, pick, plan_migration,
};
use crate::world::World;

/// Notes a notice. Of two announcements the earlier end counts: new work then
/// stops in time.
pub(crate) fn notice(world: &mut World, now: Instant, endpoint: &EndpointId, until: Instant) {
    world.routing.notices.record(now, endpoint, until);
    if let Some(endpoint) = world.endpoints.get_mut(endpoint) {
        let known = endpoint.leaving.unwrap_or(until);
        endpoint.leaving = Some(known.min(until));
    }
}

/// Takes an endpoint out; what may be repeated waits to go on elsewhere from the
/// tokens delivered. What may run only once keeps waiting for its border's word:
/// the list of hosts may be wrong, and the answer may still come.
pub(crate) fn gone(world: &mut World, endpoint: &EndpointId) {
    if world.endpoints.remove(endpoint).is_none() {
        return;
    }
    for request in &mut world.requests {
        let Request::Repeatable(running) = request else {
            continue;
        };
        if running.endpoint == *endpoint {
            world.commands.push(Command::Cancel(running.attempt));
            *request = Request::Waiting(running.clone().again());
        }
    }
}

/// Notes how long a request took, or at least took, for its route's slow tail.
pub(crate) fn took(world: &mut World, now: Instant, request: &Request) {
    let sent = match request {
        Request::Repeatable(running) => running.sent,
        Request::Once(running) => running.sent,
        Request::Waiting(_) => return,
    };
    let order = request.order();
    let took = now.saturating_duration_since(sent);
    world
        .routing
        .latencies
        .record(&order.service, &order.route, took);
}

/// Carries streams away from the endpoints that are leaving.
pub(crate) fn run(world: &mut World, now: Instant) {
    world.routing.sync(now, &world.setup, &world.endpoints);
    if world.routing.policy != Policy::Cost {
        return;
    }
    let mut late = overdue(world, now);
    late.sort_unstable();
    for streams in late.chunk_by(|a, b| a.0 == b.0) {
        clear(world, now, streams);
    }
}

/// Streams that would not end before their endpoint is gone, each with its
/// endpoint. Most streams do end in time, and of these nothing more is asked.
fn overdue(world: &World, now: Instant) -> Vec<(EndpointId, RequestId)> {
    let leaving = |endpoint: &&Endpoint| endpoint.leaving.is_some() && endpoint.running > 0;
    let endpoints: Vec<&Endpoint> = world.endpoints.iter().filter(leaving).collect();
    if endpoints.is_empty() {
        return Vec::new();
    }
    let mut overdue = Vec::new();
    for request in &world.requests {
        let Request::Repeatable(running) = request else {
            continue;
        };
        let Ok(at) = endpoints.binary_search_by(|e| e.id.cmp(&running.endpoint)) else {
            continue;
        };
        if !ends_in_time(rest(world, now, running), left(endpoints[at], now)) {
            overdue.push((running.endpoint.clone(), running.order.id));
        }
    }
    overdue
}

fn left(endpoint: &Endpoint, now: Instant) -> Duration {
    let until = endpoint.leaving.unwrap_or(now);
    until.saturating_duration_since(now)
}

/// Carries streams of one endpoint away.
fn clear(world: &mut World, now: Instant, overdue: &[(EndpointId, RequestId)]) {
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
    let carries = plan_migration(left(&endpoint, now), export, queued, &streams);
    for ((_, id), carry) in overdue.iter().zip(carries) {
        if carry != Migration::Stay {
            carry_on(world, now, *id, carry);
        }
    }
}

/// Rate at which an endpoint gives KV cache out, and what it gives out already.
fn exports(world: &World, now: Instant, endpoint: &EndpointId) -> (f64, f64) {
    let Some(seat) = world.routing.get(endpoint) else {
        return (0.0, 0.0);
    };
    let rate = seat.load.last_report().export;
    (rate, seat.export_backlog.level(now, rate))
}

fn stream(world: &mut World, now: Instant, from: &Endpoint, id: RequestId) -> Option<Stream> {
    let Some(Request::Repeatable(running)) = world.requests.get(&id).cloned() else {
        return None;
    };
    let rest = rest(world, now, &running);
    let cache = running.order.prompt.saturating_add(running.delivered);
    let started = running.first.is_some();
    let to = elsewhere(world, now, &running);
    let cached = to.as_ref().map_or(0.0, |pick| pick.cached);
    Some(Stream {
        remaining: rest,
        cache_tokens: cache,
        recompute: (f64::from(cache) - cached).max(0.0) as u32,
        movable: started && to.is_some_and(|to| takes_cache(world, from, &to.endpoint)),
    })
}

/// How long a request still runs, at the longest.
fn rest(world: &World, now: Instant, running: &Running<Repeatable>) -> Duration {
    let order = &running.order;
    let Some(seat) = world.routing.get(&running.endpoint) else {
        return Duration::ZERO;
    };
    if order.model.is_none() {
        let latencies = &world.routing.latencies;
        let until =
            latencies.needed_until(running.sent, &order.service, &order.route, order.deadline);
        return until.saturating_duration_since(now);
    }
    let report = seat.load.last_report();
    let answer = f64::from(order.answer.saturating_sub(running.delivered));
    let prompt = match running.first {
        Some(_) => 0.0,
        None => f64::from(order.prompt) + seat.load.pending(now),
    };
    let seconds = answer / report.decode.max(1.0) + prompt / report.prefill.max(1.0);
    // A report may name any number, and one too large for a duration must not
    // stop the daemon.
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

fn elsewhere(world: &mut World, now: Instant, running: &Running<Repeatable>) -> Option<Pick> {
    let waiting = running.clone().again();
    let criteria = Criteria {
        filter: &world.open_to(now, &waiting),
        waiting: &waiting,
        max_running: world.setup.running,
        now,
    };
    pick(&world.routing, &world.endpoints, &criteria, &mut world.rng)
}

/// Whether KV cache of one endpoint can go into another: both can carry it, and
/// both run one version, as another may lay its cache out differently.
fn takes_cache(world: &World, from: &Endpoint, to: &EndpointId) -> bool {
    let carries = |id| {
        let seat = world.routing.get(id);
        seat.is_some_and(|seat| seat.load.last_report().export > 0.0)
    };
    let same = world
        .endpoints
        .get(to)
        .is_some_and(|to| to.version == from.version);
    same && carries(&from.id) && carries(to)
}

/// Sends a stream on to another endpoint. While there is none it stays, as every
/// token that it still gives need not be computed elsewhere.
fn carry_on(world: &mut World, now: Instant, id: RequestId, carry: Migration) {
    let Some(Request::Repeatable(running)) = world.requests.get(&id).cloned() else {
        return;
    };
    let Some(to) = elsewhere(world, now, &running) else {
        return;
    };
    let attempt = world.next_attempt();
    let (Some(from), Some(row)) = (
        world.endpoints.get(&running.endpoint).cloned(),
        world.endpoints.get(&to.endpoint).cloned(),
    ) else {
        return;
    };
    // An earlier stream may have taken the place that the plan was made with.
    let size = running.order.prompt.saturating_add(running.delivered);
    let moves = carry == Migration::Move && takes_cache(world, &from, &row.id);
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
    let sending = Sending {
        attempt,
        endpoint: row.id.clone(),
        version: row.version,
        at: now,
    };
    let prompt = if moves { 0 } else { size };
    world
        .routing
        .record_prompt(now, &running.order.blocks, &row.id, prompt);
    shift(world, &from.id, &row.id);
    let carried = running.move_to(sending);
    world.requests.insert(Request::Repeatable(carried));
}

fn shift(world: &mut World, from: &EndpointId, to: &EndpointId) {
    if let Some(from) = world.endpoints.get_mut(from) {
        from.running = from.running.saturating_sub(1);
    }
    if let Some(to) = world.endpoints.get_mut(to) {
        to.running += 1;
    }
}
