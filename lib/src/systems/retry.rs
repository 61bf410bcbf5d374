//! Decides whether a request that failed is sent again.
//!
//! Only requests that wait again come here: the life cycle in `request` lets
//! nothing else wait. One that is not sent again ends here and now; waiting for
//! its deadline would only keep its caller from asking elsewhere.

use std::time::{Duration, Instant};

use crate::code::{Code, Ran};
use crate::load::{Choice, retry_after};
use crate::request::{Ending, Request, Waiting};
use crate::systems::intake::finish;
use crate::world::World;

/// Most sendings of one request; more would only add load where it is failing.
const MOST_TRIES: u32 = 3;
/// When to come back after a failure: the endpoint's first rest is over by then.
const LATER: Duration = Duration::from_secs(2);

/// Lets a request wait again, or ends it with what its last sending met.
pub(crate) fn run(world: &mut World, now: Instant, waiting: Waiting, code: Code, ran: Ran) {
    let spent = waiting.tries >= MOST_TRIES;
    let over = match world.load.policy.retry {
        Choice::Plain => spent,
        Choice::Adaptive => spent || !elsewhere(world, &waiting) || !afford(world, &waiting, ran),
    };
    let id = waiting.order.id;
    // Of the last sending nothing may have left, but something of an earlier one.
    let ran = waiting.ran;
    let priority = world.priority(&waiting.order.customer);
    world.load.enqueue(priority, &waiting);
    world.requests.insert(Request::Waiting(waiting));
    if over {
        let again = retry_after::with_jitter(now, LATER, world.rng.f64());
        let ending = Ending::Failed {
            code,
            ran,
            again: Some(again),
        };
        finish(world, id, ending);
    }
}

/// Whether there is an endpoint that has not failed it.
fn elsewhere(world: &World, waiting: &Waiting) -> bool {
    let service = &waiting.order.service;
    let mut endpoints = world.endpoints.iter();
    endpoints
        .any(|e| e.service == *service && e.leaving.is_none() && !waiting.failed.contains(&e.id))
}

/// Whether the budget allows it. A sending of which no byte left cost the
/// endpoints nothing and is not counted.
fn afford(world: &mut World, waiting: &Waiting, ran: Ran) -> bool {
    ran == Ran::No || world.load.retry_budget(&waiting.order.service).withdraw()
}
