//! Which waiting requests are sent now, and in which order.
//!
//! Only as many are named as the endpoints can take: walking thousands of
//! waiting requests for each arrival, only to find every endpoint full, would
//! cost the more the longer the queue is, which is when a tick must be short.

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

/// Ids of the requests to send now, in their order.
pub(crate) fn order(world: &mut World, now: Instant) -> Vec<RequestId> {
    reconcile(world);
    if world.load.policy.admission == Choice::Adaptive {
        give_up(world, now);
    }
    match world.load.policy.queue {
        Choice::Plain => by_arrival(world),
        Choice::Adaptive => by_share(world, now),
    }
}

/// Makes the queue hold what waits, and nothing else count as running.
///
/// Other systems may make a running request wait again by changing its row, as
/// when its endpoint leaves. It would then stand in no queue: its caller would
/// hear nothing until the deadline, while endpoints are free.
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

/// All that wait, first come first served.
fn by_arrival(world: &World) -> Vec<RequestId> {
    let waiting = |request: &&Request| matches!(request, Request::Waiting(_));
    let requests = world.requests.iter().filter(waiting);
    requests.map(|request| request.order().id).collect()
}

/// As many as there are free places, in the order that `load::fair_queue` states.
fn by_share(world: &mut World, now: Instant) -> Vec<RequestId> {
    let lanes = world.load.queues.iter();
    let services: Vec<ServiceId> = lanes.map(|lane| lane.id().clone()).collect();
    let mut ids = Vec::new();
    for service in services {
        offer(world, now, &service, &mut ids);
    }
    ids
}

fn offer(world: &mut World, now: Instant, service: &ServiceId, ids: &mut Vec<RequestId>) {
    let endpoints = world.endpoints.iter();
    let open = endpoints.filter(|e| e.service == *service && e.takes(now));
    let places: u32 = open.map(|e| e.limit - e.running).sum();
    let mut free = places.min(world.load.capacity(service).free());
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

/// A request that no endpoint with a free place is open to must not use the place
/// up: it would stand first in every tick and hold back all behind it. That is so
/// after failures, while a version move leaves it few endpoints, and for one that
/// may run only once while its endpoints are leaving.
fn can_send(world: &World, now: Instant, id: RequestId) -> bool {
    let Some(Request::Waiting(waiting)) = world.requests.get(&id) else {
        return false;
    };
    let moved = world.moves.contains(&waiting.order.service);
    if waiting.failed.is_empty() && waiting.order.repeatable && !moved {
        return true;
    }
    let criteria = Criteria {
        waiting,
        max_running: world.setup.running,
        now,
        filter: &world.open_to(now, waiting),
    };
    has_candidate(&world.routing, &world.endpoints, &criteria)
}

/// Ends the requests that can no longer be done in time. They were let in on a
/// forecast that later load overtook; their callers hear so at once, and the
/// endpoints do not begin what nobody waits for.
fn give_up(world: &mut World, now: Instant) {
    let mut late = Vec::new();
    for lane in &world.load.queues {
        let capacity = world.load.capacity(lane.id());
        let missed = |entry: &Entry| {
            let latest = capacity.latest_start(entry.deadline, entry.work);
            latest.is_some_and(|latest| latest < now)
        };
        let entries = lane.iter().map(|(_, entry)| entry);
        late.extend(entries.filter(|e| missed(e)).map(|e| e.id));
    }
    for id in late {
        end_late(world, now, id);
    }
}

fn end_late(world: &mut World, now: Instant, id: RequestId) {
    let Some(Request::Waiting(waiting)) = world.requests.get(&id) else {
        return;
    };
    let ran = waiting.ran;
    let service = waiting.order.service.clone();
    let work = remaining_work(waiting);
    let rate = world.load.capacity(&service).rate;
    let queued = world.load.queues.get(&service).map_or(0.0, FairQueue::work);
    let drained = Duration::from_secs_f64((queued / rate).clamp(0.0, 1e6));
    let draw = f64::from(id as u8) / 255.0;
    let again = world.load.retry_at(now, &service, drained, work, draw);
    let ending = Ending::Failed {
        code: Code::TooLate,
        ran,
        again: Some(again),
    };
    finish(world, id, ending);
}

/// After the sending: notes what was sent, and puts back what was not.
pub(crate) fn settle(world: &mut World, now: Instant) {
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
