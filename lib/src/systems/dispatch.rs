//! Sends waiting requests to endpoints.

use std::time::Instant;

use crate::command::{Command, Send};
use crate::ids::RequestId;
use crate::request::{Attempt, Request};
use crate::systems::{choose, queue};
use crate::world::World;

/// Sends the requests that `queue` selects, in its order, each to the endpoint that `choose`
/// selects.
pub(crate) fn run(world: &mut World, now: Instant) {
    for id in queue::next_requests(world, now) {
        send(world, now, id);
    }
}

fn send(world: &mut World, now: Instant, id: RequestId) {
    let Some(Request::Waiting(waiting)) = world.requests.get(&id).cloned() else {
        return;
    };
    let Some(endpoint) = choose::run(world, now, &waiting) else {
        return;
    };
    let attempt = world.next_attempt();
    let Some(row) = world.endpoints.get_mut(&endpoint) else {
        return;
    };
    row.running += 1;
    world.commands.push(Command::Send(Send {
        request: id,
        attempt,
        endpoint: endpoint.clone(),
        address: row.address,
        delivered: waiting.delivered,
        cache_from: None,
        fresh: !waiting.order.idempotent,
        deadline: waiting.order.deadline,
    }));
    let prompt = waiting.order.prompt.saturating_add(waiting.delivered);
    world
        .routing
        .record_prompt(now, &waiting.order.blocks, &row.id, prompt);
    let next = Attempt {
        id: attempt,
        endpoint,
        version: row.version.clone(),
        sent: now,
    };
    world.requests.insert(waiting.send(next));
}
