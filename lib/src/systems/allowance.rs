//! Per-customer rate limits: what a customer has used of its plan, and this daemon's share of it.
//!
//! Rates are token buckets with a capacity of one second. Without them a burst of
//! one customer would starve all others. The buckets refill at this daemon's share
//! of the plan, which `load::shares` computes from the demand that the daemons
//! advertise to each other; a daemon that knows of no other one uses the whole plan.

use std::time::{Duration, Instant};

use crate::ids::{CustomerId, Incarnation};
use crate::lists::Plan;
use crate::load::shares::{Amounts, ShareRow};
use crate::table::Row;
use crate::world::World;

/// Interval between updates of this daemon's claims; well below the time that `shares::HOLD`
/// allows.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);

/// Token buckets and running requests of one customer.
#[proc_macros::row]
pub struct Allowance {
    /// Customer.
    pub customer: CustomerId,
    /// Requests left in the bucket.
    pub requests: f64,
    /// Prompt and answer tokens left in the bucket; may be negative.
    pub tokens: f64,
    /// Requests in progress.
    pub running: u32,
    /// When the buckets were last refilled.
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

    /// Refills the buckets for the time since the last refill. The request bucket has
    /// a capacity of at least one; otherwise a share below one request per second
    /// would admit none.
    pub fn fill(&mut self, limit: &Amounts, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        let requests = self.requests + limit.requests * passed;
        self.requests = requests.min(limit.requests.max(1.0));
        self.tokens = (self.tokens + limit.tokens * passed).min(limit.tokens);
        self.filled = now;
    }

    /// Charges one request and its tokens. The token bucket may become negative, so that
    /// one large request is admitted and the next one waits until the debt is refilled.
    pub fn take(&mut self, tokens: u32) {
        self.requests -= 1.0;
        self.tokens -= f64::from(tokens);
        self.running += 1;
    }

    /// Records that a request is no longer in progress.
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

/// This daemon's share of a customer's plan.
pub(crate) fn limit(world: &World, now: Instant, customer: &CustomerId, plan: &Plan) -> Amounts {
    world.load.shares.share(now, customer, Amounts::of(plan))
}

/// Merges a row that another daemon wrote.
pub(crate) fn merge_share(world: &mut World, now: Instant, row: ShareRow) {
    if row.incarnation == world.setup.incarnation {
        return;
    }
    let customer = row.customer.clone();
    world.load.shares.apply_row(now, row);
    update_claim(world, now, &customer);
}

/// Records that another daemon was seen and that all rows it wrote until then were received.
pub(crate) fn record_peer(world: &mut World, now: Instant, incarnation: Incarnation) {
    if incarnation != world.setup.incarnation {
        world.load.shares.record_peer(now, incarnation);
    }
}

/// Updates the claims of all active customers every [`CLAIM_INTERVAL`].
pub(crate) fn update_claims(world: &mut World, now: Instant) {
    if !world.load.shares.is_due(now, CLAIM_INTERVAL) {
        return;
    }
    let customers: Vec<CustomerId> = world.load.shares.active_customers().cloned().collect();
    for customer in customers {
        update_claim(world, now, &customer);
    }
    world.load.shares.remove_idle();
}

fn update_claim(world: &mut World, now: Instant, customer: &CustomerId) {
    let plan = world.customers.get(customer).map(|c| &c.plan);
    let plan = plan.and_then(|plan| world.plans.get(plan));
    // For a customer that is no longer in the lists, the claims are released.
    let limit = plan.map_or(Amounts::default(), Amounts::of);
    let running = world.allowances.get(customer).map_or(0, |a| a.running);
    let shares = &mut world.load.shares;
    shares.update_claim(now, customer, limit, f64::from(running));
}
