//! Ends requests whose deadline has passed.
//!
//! Without it a request that no endpoint accepts would wait forever and occupy a
//! place in the queue after its caller has given up.

use std::time::Instant;

use crate::code::{Code, Ran};
use crate::command::Command;
use crate::ids::RequestId;
use crate::request::{Ending, Request};
use crate::systems::intake::{finish, release};
use crate::systems::{health, leaving, versions};
use crate::world::World;

/// Ends all requests past their deadline and cancels those that are running.
pub(crate) fn run(world: &mut World, now: Instant) {
    let overdue: Vec<RequestId> = world
        .requests
        .iter()
        .filter(|request| request.order().deadline <= now)
        .map(|request| request.order().id)
        .collect();
    for id in overdue {
        expire(world, now, id);
    }
}

fn expire(world: &mut World, now: Instant, id: RequestId) {
    let Some(request) = world.requests.get(&id).cloned() else {
        return;
    };
    versions::record_overdue(world, now, &request);
    let (code, ran) = match &request {
        Request::Waiting(waiting) => (Code::Expired, waiting.ran),
        Request::Idempotent(_) | Request::NonIdempotent(_) => (Code::Overdue, Ran::Unknown),
    };
    leaving::record_duration(world, now, &request);
    if let Some(attempt) = request.attempt() {
        world.commands.push(Command::Cancel(attempt));
    }
    if let Some(endpoint) = request.endpoint().cloned() {
        release(world, &endpoint);
        health::record_overdue(world, now, &request);
    }
    finish(
        world,
        id,
        Ending::Failed {
            code,
            ran,
            retry_at: None,
        },
    );
}
