//! Decides whether a failed request is retried.
//!
//! It handles only requests that are safe to retry: the types in `request` allow no
//! other request to wait again. A request that is not retried ends at once; waiting for
//! its deadline would only keep its caller from trying elsewhere.

use std::time::{Duration, Instant};

use crate::code::{Code, Ran};
use crate::load::{Choice, retry_after};
use crate::request::{Ending, Request, Waiting};
use crate::systems::intake::finish;
use crate::world::World;

/// Maximum number of attempts per request; more would only add load to a failing service.
const MAX_ATTEMPTS: u32 = 3;
/// Retry delay for callers after a failure; by then the first ejection of the endpoint is over.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Queues a request again, or ends it with the error of its last attempt.
pub(crate) fn run(world: &mut World, now: Instant, waiting: Waiting, code: Code, ran: Ran) {
    let exhausted = waiting.tries >= MAX_ATTEMPTS;
    let over = match world.load.policy.retry {
        Choice::Plain => exhausted,
        Choice::Adaptive => {
            exhausted || !has_other_endpoint(world, &waiting) || !try_withdraw(world, &waiting, ran)
        }
    };
    let id = waiting.order.id;
    // Even if nothing of the last attempt was sent, an earlier attempt may have run.
    let ran = waiting.ran;
    let priority = world.priority(&waiting.order.customer);
    world.load.enqueue(priority, &waiting);
    world.requests.insert(Request::Waiting(waiting));
    if over {
        let retry_at = retry_after::with_jitter(now, RETRY_AFTER, world.rng.f64());
        let ending = Ending::Failed {
            code,
            ran,
            retry_at: Some(retry_at),
        };
        finish(world, id, ending);
    }
}

/// Whether there is an endpoint that this request has not failed at.
fn has_other_endpoint(world: &World, waiting: &Waiting) -> bool {
    let service = &waiting.order.service;
    let mut endpoints = world.endpoints.iter();
    endpoints
        .any(|e| e.service == *service && e.leaving.is_none() && !waiting.failed.contains(&e.id))
}

/// Whether the retry budget allows a retry. An attempt of which no byte was sent caused
/// no load on the endpoints and is not charged.
fn try_withdraw(world: &mut World, waiting: &Waiting, ran: Ran) -> bool {
    ran == Ran::No || world.load.retry_budget(&waiting.order.service).withdraw()
}
