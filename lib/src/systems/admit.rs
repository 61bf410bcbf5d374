//! Lets requests in, or turns them away at once.
//!
//! Answers a load that is larger than a plan or the endpoints can carry. Without
//! it requests would pile up until all of them miss their deadlines. Who is
//! turned away hears so at once, with the time at which coming back helps.

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

/// When to come back after a refusal that no rate explains.
const LATER: Duration = Duration::from_secs(1);

/// A request turned away.
struct Refusal {
    code: Code,
    again: Option<Instant>,
}

impl Refusal {
    /// Coming back does not help.
    fn for_good(code: Code) -> Self {
        Self { code, again: None }
    }

    /// Coming back helps after a while.
    fn for_now(code: Code, now: Instant) -> Self {
        Self {
            code,
            again: Some(now + LATER),
        }
    }
}

/// Admits the requests that arrived.
pub(crate) fn run(world: &mut World, now: Instant, arrived: Vec<Order>) {
    for order in arrived {
        match check(world, now, &order) {
            Ok(priority) => admit(world, priority, order),
            Err(refusal) => refuse(world, &order, &refusal),
        }
    }
}

fn admit(world: &mut World, priority: u8, order: Order) {
    let waiting = Waiting::new(order);
    world.load.enqueue(priority, &waiting);
    world.requests.insert(Request::Waiting(waiting));
}

fn refuse(world: &mut World, order: &Order, refusal: &Refusal) {
    let ending = Ending::Failed {
        code: refusal.code,
        ran: Ran::No,
        again: refusal.again,
    };
    world.commands.push(Command::Finish {
        request: order.id,
        ending,
    });
}

/// Priority of a request that may come in.
fn check(world: &mut World, now: Instant, order: &Order) -> Result<u8, Refusal> {
    is_open(world, now)?;
    let plan = plan(world, order)?.clone();
    has_room(world, now, order)?;
    if world.load.policy.admission == Choice::Adaptive {
        in_time(world, now, order, plan.priority)?;
    }
    use_up(world, now, order, &plan)?;
    Ok(plan.priority)
}

/// Refuses all while the daemon shuts down or has no lists.
fn is_open(world: &World, now: Instant) -> Result<(), Refusal> {
    if world.draining {
        return Err(Refusal::for_now(Code::Draining, now));
    }
    if world.revision == 0 {
        return Err(Refusal::for_now(Code::NoLists, now));
    }
    Ok(())
}

/// Plan of the customer, if it covers what is asked.
fn plan<'a>(world: &'a World, order: &Order) -> Result<&'a Plan, Refusal> {
    let customer = world.customers.get(&order.customer);
    let plan = customer.and_then(|customer| world.plans.get(&customer.plan));
    let plan = plan.ok_or_else(|| Refusal::for_good(Code::NoCustomer))?;
    if covers(plan, order) {
        Ok(plan)
    } else {
        Err(Refusal::for_good(Code::NotInPlan))
    }
}

/// Refuses what no endpoint or no place in the queue is there for.
fn has_room(world: &World, now: Instant, order: &Order) -> Result<(), Refusal> {
    if world.load.waiting() >= world.setup.waiting {
        return Err(Refusal::for_now(Code::Full, now));
    }
    let stays = |e: &Endpoint| e.service == order.service && e.leaving.is_none();
    if world.endpoints.iter().any(stays) {
        Ok(())
    } else {
        Err(Refusal::for_now(Code::NoEndpoint, now))
    }
}

/// Takes the request out of its customer's allowance.
fn use_up(world: &mut World, now: Instant, order: &Order, plan: &Plan) -> Result<(), Refusal> {
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
        return Err(Refusal::for_now(Code::Internal, now));
    };
    let spent = spend(allowance, &limit, now, order);
    if matches!(&spent, Err(refusal) if refusal.code == Code::InProgress) {
        let wanted = f64::from(allowance.running) + 1.0;
        world
            .load
            .shares
            .record_running(now, &order.customer, wanted);
    }
    spent
}

/// Refuses what would not be finished by its deadline.
fn in_time(world: &mut World, now: Instant, order: &Order, priority: u8) -> Result<(), Refusal> {
    let work = f64::from(order.work());
    let entry = Entry {
        id: order.id,
        deadline: order.deadline,
        work,
    };
    let lane = world.load.queues.get(&order.service);
    let waiting = lane.map_or(0, FairQueue::len);
    let ahead = lane.map_or(0.0, |lane| match world.load.policy.queue {
        Choice::Plain => lane.work(),
        Choice::Adaptive => lane.work_ahead(priority, &order.customer, &entry),
    });
    let capacity = world.load.capacity(&order.service);
    let finish = capacity.finish_time(now, ahead, waiting, work);
    match finish.filter(|finish| *finish > order.deadline) {
        None => Ok(()),
        Some(finish) => {
            let excess = finish.saturating_duration_since(order.deadline);
            // The generator of the world is not advanced for a refusal's spread:
            // the id is as good a draw and leaves the choice of endpoints alone.
            let draw = f64::from(order.id as u8) / 255.0;
            let load = &mut world.load;
            let again = load.retry_at(now, &order.service, excess, work, draw);
            Err(Refusal {
                code: Code::TooLate,
                again: Some(again),
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

fn spend(
    allowance: &mut Allowance,
    limit: &Amounts,
    now: Instant,
    order: &Order,
) -> Result<(), Refusal> {
    allowance.fill(limit, now);
    // A plan for fewer requests in progress than there are daemons leaves some
    // with a share below one. Were these to let none in, a customer would be
    // refused by most daemons while it runs nothing anywhere.
    let running = limit.running.max(1.0) as u32;
    if allowance.running >= running {
        return Err(Refusal::for_now(Code::InProgress, now));
    }
    if allowance.requests < 1.0 {
        let wait = (1.0 - allowance.requests) / limit.requests;
        return Err(Refusal {
            code: Code::RequestRate,
            again: Some(now + refilled(wait)),
        });
    }
    if allowance.tokens <= 0.0 {
        let wait = (1.0 - allowance.tokens) / limit.tokens;
        return Err(Refusal {
            code: Code::TokenRate,
            again: Some(now + refilled(wait)),
        });
    }
    allowance.take(order.work());
    Ok(())
}

/// Time until a bucket is full enough. It is bounded, as the share that fills
/// it grows with the customer's demand.
fn refilled(seconds: f64) -> Duration {
    const LONGEST: f64 = 60.0;
    Duration::from_secs_f64(seconds.clamp(0.0, LONGEST))
}
