//! The decision core of a daemon: tables, and systems that run over them in each tick.
//!
//! All decisions of a daemon are made here from the inputs and the time passed in. The
//! core does no I/O and reads no clock. The same inputs at the same times produce the
//! same commands, so a recorded trace can be replayed.

use std::time::Instant;

use crate::command::Command;
use crate::endpoint::Endpoint;
use crate::ids::{AttemptId, CustomerId, Incarnation, RegionId, Revision, ZoneId, joined};
use crate::input::Input;
use crate::keys::Keys;
use crate::lists::{Customer, Plan};
use crate::load::Load;
use crate::load::shares::ShareRow;
use crate::moves::{Chosen, ClusterView, Controller};
use crate::request::Request;
use crate::routing::View;
use crate::settings::Service;
use crate::systems::allowance::{self, Allowance};
use crate::systems::{admit, dispatch, expire, health, intake, leaving, queue, versions};
use crate::table::Table;

/// Identity of this daemon and its limits.
#[proc_macros::row]
pub struct Setup {
    /// Random incarnation number, chosen at start.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Maximum number of waiting requests.
    pub waiting: usize,
    /// Maximum number of this daemon's concurrent requests at one endpoint.
    pub running: u32,
}

/// The tables of a daemon.
#[derive(Debug)]
pub struct World {
    /// Identity of this daemon and its limits.
    pub setup: Setup,
    /// Revision of the current customer and plan lists; 0 before the first ones.
    pub revision: Revision,
    /// Customers.
    pub customers: Table<Customer>,
    /// Customers by their API keys.
    pub keys: Keys,
    /// Plans.
    pub plans: Table<Plan>,
    /// Services.
    pub services: Table<Service>,
    /// Endpoints.
    pub endpoints: Table<Endpoint>,
    /// Requests admitted and not yet ended.
    pub requests: Table<Request>,
    /// Usage of each customer's plan.
    pub allowances: Table<Allowance>,
    /// Routing state of the endpoints: load reports, cached prefixes, notices.
    pub routing: View,
    /// State of admission, queues, concurrency limits, retries and ejection.
    pub load: Load,
    /// This daemon's version move controllers, by service.
    pub moves: Table<Controller>,
    /// Waiting requests that are assigned to the new version of a move.
    pub chosen: Table<Chosen>,
    /// Wall-clock time and reachable daemons, as last reported; without it no move advances.
    pub cluster: Option<ClusterView>,
    /// Whether this daemon is shutting down.
    pub draining: bool,
    pub(crate) rng: fastrand::Rng,
    pub(crate) commands: Vec<Command>,
    attempts: u64,
}

impl World {
    /// A world with no customers and no endpoints.
    pub fn new(setup: Setup, services: Vec<Service>, seed: u64) -> Self {
        Self {
            setup,
            revision: 0,
            customers: Table::new(),
            keys: Keys::default(),
            plans: Table::new(),
            services: services.into_iter().collect(),
            endpoints: Table::new(),
            requests: Table::new(),
            allowances: Table::new(),
            routing: View::default(),
            load: Load::default(),
            moves: Table::new(),
            chosen: Table::new(),
            cluster: None,
            draining: false,
            rng: fastrand::Rng::with_seed(seed),
            commands: Vec::new(),
            attempts: 0,
        }
    }

    /// Applies the inputs, runs every system once and returns the resulting commands.
    pub fn tick(&mut self, now: Instant, inputs: Vec<Input>) -> Vec<Command> {
        let arrived = intake::run(self, now, inputs);
        expire::run(self, now);
        health::run(self, now);
        allowance::update_claims(self, now);
        let ids: Vec<_> = arrived.iter().map(|order| order.id).collect();
        admit::run(self, now, arrived);
        versions::run(self, now);
        versions::assign(self, now, &ids);
        leaving::run(self, now);
        dispatch::run(self, now);
        queue::record_sends(self, now);
        std::mem::take(&mut self.commands)
    }

    /// This daemon's claims to shares of the customers' limits, to be advertised to the
    /// other daemons. A customer that was removed is advertised once more with zero amounts.
    pub fn shares(&self) -> Vec<ShareRow> {
        self.load.shares.rows(self.setup.incarnation)
    }

    /// Priority of a customer's plan; the lowest one if the customer no longer has a plan.
    pub(crate) fn priority(&self, customer: &CustomerId) -> u8 {
        let customer = self.customers.get(customer);
        let plan = customer.and_then(|c| self.plans.get(&c.plan));
        plan.map_or(0, |plan| plan.priority)
    }

    /// Priorities of all customers, sorted by customer.
    pub(crate) fn priorities(&self) -> Vec<(CustomerId, u8)> {
        let customers = self.customers.iter();
        customers
            .map(|c| (c.id.clone(), self.priority(&c.id)))
            .collect()
    }

    /// Allocates the id of a new attempt.
    pub(crate) fn next_attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        joined(self.setup.incarnation, self.attempts)
    }
}
