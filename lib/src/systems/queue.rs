//! Selects the waiting requests that are sent in this tick, and their order.
//!
//! It selects only as many as the endpoints have capacity for. Scanning thousands of
//! waiting requests on each arrival, only to find all endpoints full, would make a tick
//! slower as the queue grows, which is when ticks must be short.

use std::time::{Duration, Instant};

use crate::code::Code;
use crate::command::Command;
use crate::ids::{RequestId, ServiceId};
use crate::load::fair_queue::{Entry, FairQueue};
use crate::load::{Choice, remaining_work};
use crate::request::{Ending, Request};
use crate::routing::{Criteria, has_candidate};
use crate::systems::intake::finish;
use crate::table::Row;
use crate::world::World;

/// Ids of the requests to send in this tick, in the order of sending.
pub(crate) fn next_requests(world: &mut World, now: Instant) -> Vec<RequestId> {
    reconcile(world);
    if world.load.policy.admission == Choice::Adaptive {
        reject_late(world, now);
    }
    match world.load.policy.queue {
        Choice::Plain => by_arrival(world),
        Choice::Adaptive => by_fair_share(world, now),
    }
}

/// Makes the queues hold exactly the waiting requests, and drops attempts that no longer run.
///
/// Other systems may make a running request wait again by changing its row, for example
/// when its endpoint is gone. Without this step it would be in no queue and would time
/// out at its deadline although endpoints are free.
fn reconcile(world: &mut World) {
    let waits = |request: &&Request| matches!(request, Request::Waiting(_));
    let waiting = world.requests.iter().filter(waits).count();
    if waiting != world.load.waiting() {
        let priorities = world.priorities();
        world.load.rebuild_queues(&world.requests, &priorities);
    }
    if world.requests.len() - waiting != world.load.in_flight.len() {
        world.load.prune_attempts(&world.requests);
    }
}

/// All waiting requests, first come, first served.
fn by_arrival(world: &World) -> Vec<RequestId> {
    let waiting = |request: &&Request| matches!(request, Request::Waiting(_));
    let requests = world.requests.iter().filter(waiting);
    requests.map(|request| request.order().id).collect()
}

/// As many requests as the endpoints have free capacity for, in the order of `load::fair_queue`.
fn by_fair_share(world: &mut World, now: Instant) -> Vec<RequestId> {
    let queues = world.load.queues.iter();
    let services: Vec<ServiceId> = queues.map(|queue| queue.id().clone()).collect();
    let mut ids = Vec::new();
    for service in services {
        take_sendable(world, now, &service, &mut ids);
    }
    ids
}

/// Takes the requests of one service that its free capacity allows from its queue.
fn take_sendable(world: &mut World, now: Instant, service: &ServiceId, ids: &mut Vec<RequestId>) {
    let endpoints = world.endpoints.iter();
    let open = endpoints.filter(|e| e.service == *service && e.accepts(now));
    let capacity: u32 = open.map(|e| e.limit - e.running).sum();
    let mut free = capacity.min(world.load.capacity(service).free());
    while free > 0 {
        let Some(taken) = world.load.queue(service).pop() else {
            return;
        };
        if can_send(world, now, taken.entry.id) {
            free -= 1;
            ids.push(taken.entry.id);
        }
        world.load.dequeued.push(taken);
    }
}

/// Whether an endpoint with free capacity accepts the request. One that no such endpoint
/// accepts must not use up the capacity: it would be first in every tick and block all
/// requests behind it. This happens after failures, while a version move allows it few
/// endpoints, and to non-idempotent requests while their endpoints are leaving.
fn can_send(world: &World, now: Instant, id: RequestId) -> bool {
    let Some(Request::Waiting(waiting)) = world.requests.get(&id) else {
        return false;
    };
    let moved = world.moves.contains(&waiting.order.service);
    if waiting.failed.is_empty() && waiting.order.idempotent && !moved {
        return true;
    }
    let criteria = Criteria {
        waiting,
        max_running: world.setup.running,
        now,
        filter: &world.filter_for(now, waiting),
    };
    has_candidate(&world.routing, &world.endpoints, &criteria)
}

/// Ends the requests that can no longer finish by their deadline. They were admitted on a
/// forecast that later load made obsolete. Their callers get the rejection at once, and the
/// endpoints do not start work that nobody waits for.
fn reject_late(world: &mut World, now: Instant) {
    let mut late = Vec::new();
    for queue in &world.load.queues {
        let capacity = world.load.capacity(queue.id());
        let missed = |entry: &Entry| {
            let latest = capacity.latest_start(entry.deadline, entry.work);
            latest.is_some_and(|latest| latest < now)
        };
        let entries = queue.iter().map(|(_, entry)| entry);
        late.extend(entries.filter(|e| missed(e)).map(|e| e.id));
    }
    for id in late {
        reject(world, now, id);
    }
}

fn reject(world: &mut World, now: Instant, id: RequestId) {
    let Some(Request::Waiting(waiting)) = world.requests.get(&id) else {
        return;
    };
    let ran = waiting.ran;
    let service = waiting.order.service.clone();
    let work = remaining_work(waiting);
    let rate = world.load.capacity(&service).rate;
    let queued = world.load.queues.get(&service).map_or(0.0, FairQueue::work);
    let drain_time = Duration::from_secs_f64((queued / rate).clamp(0.0, 1e6));
    let jitter = f64::from(id as u8) / 255.0;
    let retry_at = world.load.retry_at(now, &service, drain_time, work, jitter);
    let ending = Ending::Failed {
        code: Code::TooLate,
        ran,
        retry_at: Some(retry_at),
    };
    finish(world, id, ending);
}

/// Runs after sending: records the attempts that were sent and returns the others to their queue.
pub(crate) fn record_sends(world: &mut World, now: Instant) {
    world.load.update_running(now, &world.endpoints);
    let sends = world.commands.iter().filter_map(|command| match command {
        Command::Send(send) => Some(send),
        Command::Cancel(_) | Command::Move { .. } | Command::Finish { .. } => None,
    });
    for send in sends {
        let Some(request) = world.requests.get(&send.request) else {
            continue;
        };
        let order = request.order();
        let work = f64::from(order.work().saturating_sub(send.delivered).max(1));
        world
            .load
            .record_attempt(now, send.attempt, &send.endpoint, work);
        let entry = Entry {
            id: order.id,
            deadline: order.deadline,
            work,
        };
        world.load.dequeue(&order.service, &order.customer, &entry);
    }
    for taken in std::mem::take(&mut world.load.dequeued) {
        if let Some(Request::Waiting(waiting)) = world.requests.get(&taken.entry.id) {
            let service = waiting.order.service.clone();
            world.load.queue(&service).restore(&taken);
        }
    }
}
