//! Admission control: queues a request or rejects it immediately.
//!
//! Handles load that exceeds a customer's plan or the capacity of the endpoints.
//! Without it requests would accumulate until all of them miss their deadlines.
//! A rejection is sent at once and, if a retry can succeed, says when to retry.

use std::time::{Duration, Instant};

use crate::code::{Code, Ran};
use crate::command::Command;
use crate::endpoint::Endpoint;
use crate::lists::Plan;
use crate::load::Choice;
use crate::load::fair_queue::{Entry, FairQueue};
use crate::load::shares::Amounts;
use crate::request::{Ending, Order, Request, Waiting};
use crate::systems::allowance::{self, Allowance};
use crate::world::World;

/// Retry delay for rejections that do not follow from a rate limit or a forecast.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request is rejected.
struct Rejection {
    code: Code,
    retry_at: Option<Instant>,
}

impl Rejection {
    /// A retry cannot succeed.
    fn permanent(code: Code) -> Self {
        Self {
            code,
            retry_at: None,
        }
    }

    /// A retry may succeed after [`RETRY_AFTER`].
    fn temporary(code: Code, now: Instant) -> Self {
        Self {
            code,
            retry_at: Some(now + RETRY_AFTER),
        }
    }
}

/// Admits or rejects each request that arrived in this tick.
pub(crate) fn run(world: &mut World, now: Instant, arrived: Vec<Order>) {
    for order in arrived {
        match check(world, now, &order) {
            Ok(priority) => admit(world, priority, order),
            Err(rejection) => reject(world, &order, &rejection),
        }
    }
}

fn admit(world: &mut World, priority: u8, order: Order) {
    let waiting = Waiting::new(order);
    world.load.enqueue(priority, &waiting);
    world.requests.insert(Request::Waiting(waiting));
}

fn reject(world: &mut World, order: &Order, rejection: &Rejection) {
    let ending = Ending::Failed {
        code: rejection.code,
        ran: Ran::No,
        retry_at: rejection.retry_at,
    };
    world.commands.push(Command::Finish {
        request: order.id,
        ending,
    });
}

/// Runs all admission checks; returns the priority of an admitted request.
fn check(world: &mut World, now: Instant, order: &Order) -> Result<u8, Rejection> {
    check_ready(world, now)?;
    let plan = find_plan(world, order)?.clone();
    check_capacity(world, now, order)?;
    if world.load.policy.admission == Choice::Adaptive {
        check_deadline(world, now, order, plan.priority)?;
    }
    charge_allowance(world, now, order, &plan)?;
    Ok(plan.priority)
}

/// Rejects every request while the daemon shuts down or has no customer and plan lists yet.
fn check_ready(world: &World, now: Instant) -> Result<(), Rejection> {
    if world.draining {
        return Err(Rejection::temporary(Code::Draining, now));
    }
    if world.revision == 0 {
        return Err(Rejection::temporary(Code::NoLists, now));
    }
    Ok(())
}

/// The customer's plan, if it includes the requested model or, without a model, the service.
fn find_plan<'a>(world: &'a World, order: &Order) -> Result<&'a Plan, Rejection> {
    let customer = world.customers.get(&order.customer);
    let plan = customer.and_then(|customer| world.plans.get(&customer.plan));
    let plan = plan.ok_or_else(|| Rejection::permanent(Code::NoCustomer))?;
    if covers(plan, order) {
        Ok(plan)
    } else {
        Err(Rejection::permanent(Code::NotInPlan))
    }
}

/// Rejects the request if the queue is full or all endpoints of its service are leaving.
fn check_capacity(world: &World, now: Instant, order: &Order) -> Result<(), Rejection> {
    if world.load.waiting() >= world.setup.waiting {
        return Err(Rejection::temporary(Code::Full, now));
    }
    let stays = |e: &Endpoint| e.service == order.service && e.leaving.is_none();
    if world.endpoints.iter().any(stays) {
        Ok(())
    } else {
        Err(Rejection::temporary(Code::NoEndpoint, now))
    }
}

/// Charges the request to its customer's allowance.
fn charge_allowance(
    world: &mut World,
    now: Instant,
    order: &Order,
    plan: &Plan,
) -> Result<(), Rejection> {
    let limit = allowance::limit(world, now, &order.customer, plan);
    if !world.allowances.contains(&order.customer) {
        let allowance = Allowance::new(order.customer.clone(), &limit, now);
        world.allowances.insert(allowance);
    }
    let tokens = f64::from(order.work());
    world
        .load
        .shares
        .record_request(now, &order.customer, tokens);
    let Some(allowance) = world.allowances.get_mut(&order.customer) else {
        return Err(Rejection::temporary(Code::Internal, now));
    };
    let charged = charge(allowance, &limit, now, order);
    if matches!(&charged, Err(rejection) if rejection.code == Code::InProgress) {
        let wanted = f64::from(allowance.running) + 1.0;
        world
            .load
            .shares
            .record_running(now, &order.customer, wanted);
    }
    charged
}

/// Rejects the request if it is not expected to finish by its deadline.
fn check_deadline(
    world: &mut World,
    now: Instant,
    order: &Order,
    priority: u8,
) -> Result<(), Rejection> {
    let work = f64::from(order.work());
    let entry = Entry {
        id: order.id,
        deadline: order.deadline,
        work,
    };
    let queue = world.load.queues.get(&order.service);
    let waiting = queue.map_or(0, FairQueue::len);
    let ahead = queue.map_or(0.0, |queue| match world.load.policy.queue {
        Choice::Plain => queue.work(),
        Choice::Adaptive => queue.work_ahead(priority, &order.customer, &entry),
    });
    let capacity = world.load.capacity(&order.service);
    let finish = capacity.finish_time(now, ahead, waiting, work);
    match finish.filter(|finish| *finish > order.deadline) {
        None => Ok(()),
        Some(finish) => {
            let excess = finish.saturating_duration_since(order.deadline);
            // The jitter is taken from the id, which is random enough, and not from the
            // world's generator: a rejection must not change which endpoints are chosen.
            let jitter = f64::from(order.id as u8) / 255.0;
            let load = &mut world.load;
            let retry_at = load.retry_at(now, &order.service, excess, work, jitter);
            Err(Rejection {
                code: Code::TooLate,
                retry_at: Some(retry_at),
            })
        }
    }
}

fn covers(plan: &Plan, order: &Order) -> bool {
    match &order.model {
        Some(model) => plan.models.contains(model),
        None => plan.services.contains(&order.service),
    }
}

fn charge(
    allowance: &mut Allowance,
    limit: &Amounts,
    now: Instant,
    order: &Order,
) -> Result<(), Rejection> {
    allowance.fill(limit, now);
    // If a plan allows fewer concurrent requests than there are daemons, some daemons
    // have a share below one. If these admitted none, a customer without any running
    // request would be rejected by most daemons.
    let running = limit.running.max(1.0) as u32;
    if allowance.running >= running {
        return Err(Rejection::temporary(Code::InProgress, now));
    }
    if allowance.requests < 1.0 {
        let wait = (1.0 - allowance.requests) / limit.requests;
        return Err(Rejection {
            code: Code::RequestRate,
            retry_at: Some(now + refill_time(wait)),
        });
    }
    if allowance.tokens <= 0.0 {
        let wait = (1.0 - allowance.tokens) / limit.tokens;
        return Err(Rejection {
            code: Code::TokenRate,
            retry_at: Some(now + refill_time(wait)),
        });
    }
    allowance.take(order.work());
    Ok(())
}

/// Time until a bucket has been refilled enough. It is bounded because the share
/// that refills the bucket grows with the customer's demand.
fn refill_time(seconds: f64) -> Duration {
    const MAX_SECONDS: f64 = 60.0;
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}
