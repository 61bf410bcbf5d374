//! What a customer has used of its plan, and how much of the plan is ours.
//!
//! Rates are kept as token buckets that hold one second's worth. Without them
//! one customer's burst would take the endpoints from all others. The buckets
//! fill by this daemon's share of the plan, which `load::shares` works out from
//! what the daemons tell one another; a daemon that knows of no other gives out
//! the whole plan.

use std::time::{Duration, Instant};

use crate::ids::{CustomerId, Incarnation};
use crate::lists::Plan;
use crate::load::shares::{Amounts, ShareRow};
use crate::table::Row;
use crate::world::World;

/// How often claims are made anew; well within what `shares::HOLD` allows.
const TURN: Duration = Duration::from_millis(250);

/// Use of one customer.
#[proc_macros::row]
pub struct Allowance {
    /// Customer.
    pub customer: CustomerId,
    /// Requests that may come now.
    pub requests: f64,
    /// Tokens that may be asked for now.
    pub tokens: f64,
    /// Requests in progress.
    pub running: u32,
    /// When the buckets were last filled.
    pub filled: Instant,
}

impl Allowance {
    /// Full buckets.
    pub fn new(customer: CustomerId, limit: &Amounts, now: Instant) -> Self {
        Self {
            customer,
            requests: limit.requests.max(1.0),
            tokens: limit.tokens,
            running: 0,
            filled: now,
        }
    }

    /// Fills the buckets by the time that passed. The bucket of requests holds
    /// one at least, or a share below one a second would let none in.
    pub fn fill(&mut self, limit: &Amounts, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        let requests = self.requests + limit.requests * passed;
        self.requests = requests.min(limit.requests.max(1.0));
        self.tokens = (self.tokens + limit.tokens * passed).min(limit.tokens);
        self.filled = now;
    }

    /// Takes one request and its tokens out. The tokens may go below zero, so
    /// that one large request passes and the next waits for it to be made up.
    pub fn take(&mut self, tokens: u32) {
        self.requests -= 1.0;
        self.tokens -= f64::from(tokens);
        self.running += 1;
    }

    /// One request is no longer in progress.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}

impl Row for Allowance {
    type Id = CustomerId;
    fn id(&self) -> &CustomerId {
        &self.customer
    }
}

/// What this daemon may give out of a customer's plan.
pub(crate) fn limit(world: &World, now: Instant, customer: &CustomerId, plan: &Plan) -> Amounts {
    world.load.shares.share(now, customer, Amounts::of(plan))
}

/// Takes in a row that another daemon wrote.
pub(crate) fn hear(world: &mut World, now: Instant, row: ShareRow) {
    if row.incarnation == world.setup.incarnation {
        return;
    }
    let customer = row.customer.clone();
    world.load.shares.apply_row(now, row);
    claim(world, now, &customer);
}

/// A daemon was heard of, with all rows that it wrote until then.
pub(crate) fn meet(world: &mut World, now: Instant, incarnation: Incarnation) {
    if incarnation != world.setup.incarnation {
        world.load.shares.record_peer(now, incarnation);
    }
}

/// Claims anew for all customers, now and then.
pub(crate) fn turn(world: &mut World, now: Instant) {
    if !world.load.shares.is_due(now, TURN) {
        return;
    }
    let customers: Vec<CustomerId> = world.load.shares.active_customers().cloned().collect();
    for customer in customers {
        claim(world, now, &customer);
    }
    world.load.shares.remove_idle();
}

fn claim(world: &mut World, now: Instant, customer: &CustomerId) {
    let plan = world.customers.get(customer).map(|c| &c.plan);
    let plan = plan.and_then(|plan| world.plans.get(plan));
    // A customer that is no longer in the lists gives its claims up.
    let limit = plan.map_or(Amounts::default(), Amounts::of);
    let running = world.allowances.get(customer).map_or(0, |a| a.running);
    let board = &mut world.load.shares;
    board.update_claim(now, customer, limit, f64::from(running));
}
