//! The deciding core: tables, and systems that run over them each tick.
//!
//! Everything a daemon decides is decided here, from inputs and the time it is
//! given, without network and without a clock of its own. The same inputs at the
//! same times give the same commands, so a recorded trace can be replayed.

use std::time::Instant;

use crate::command::Command;
use crate::endpoint::Endpoint;
use crate::ids::{AttemptId, CustomerId, Incarnation, RegionId, Revision, ZoneId, joined};
use crate::input::Input;
use crate::keys::Keys;
use crate::lists::{Customer, Plan};
use crate::load::Load;
use crate::load::shares::ShareRow;
use crate::moves::{Chosen, Controller, Watch};
use crate::request::Request;
use crate::routing::View;
use crate::settings::Service;
use crate::systems::allowance::{self, Allowance};
use crate::systems::{admit, expire, health, intake, leaving, moving, queue, route};
use crate::table::Table;

/// Who this daemon is and what it was set to.
#[proc_macros::row]
pub struct Setup {
    /// Incarnation drawn at start.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Most requests waiting at once.
    pub waiting: usize,
    /// Most requests sent to one endpoint at once.
    pub running: u32,
}

/// The tables of a daemon.
#[derive(Debug)]
pub struct World {
    /// Who this daemon is.
    pub setup: Setup,
    /// Revision of the lists in force; 0 before any.
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
    /// Requests let in and not yet ended.
    pub requests: Table<Request>,
    /// What each customer has used of its plan.
    pub allowances: Table<Allowance>,
    /// What is known of the endpoints beyond their table.
    pub routing: View,
    /// State of the decisions under load.
    pub load: Load,
    /// This daemon's part in the version moves, by service.
    pub moves: Table<Controller>,
    /// Requests that may go to a move's new version.
    pub chosen: Table<Chosen>,
    /// Wall clock and reach, as last given; no move goes on without.
    pub watch: Option<Watch>,
    /// Whether this daemon shuts down.
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
            watch: None,
            draining: false,
            rng: fastrand::Rng::with_seed(seed),
            commands: Vec::new(),
            attempts: 0,
        }
    }

    /// Takes inputs, runs every system once and returns what is to be done.
    pub fn tick(&mut self, now: Instant, inputs: Vec<Input>) -> Vec<Command> {
        let arrived = intake::run(self, now, inputs);
        expire::run(self, now);
        health::run(self, now);
        allowance::turn(self, now);
        let ids: Vec<_> = arrived.iter().map(|order| order.id).collect();
        admit::run(self, now, arrived);
        moving::run(self, now);
        moving::assign(self, now, &ids);
        leaving::run(self, now);
        route::run(self, now);
        queue::settle(self, now);
        std::mem::take(&mut self.commands)
    }

    /// What this daemon claims of customers' limits, for the others to hear. A
    /// customer that is no longer among them is told once more without amounts.
    pub fn shares(&self) -> Vec<ShareRow> {
        self.load.shares.rows(self.setup.incarnation)
    }

    /// Priority of a customer's plan; the lowest if it has none any more.
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

    /// Draws the id of a new sending.
    pub(crate) fn next_attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        joined(self.setup.incarnation, self.attempts)
    }
}
