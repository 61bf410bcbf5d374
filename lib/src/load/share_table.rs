//! Shares of customers' limits: the claims of this daemon and those that it
//! received from its peers.
//!
//! Applies the rules of [`shares`](crate::load::shares) to each customer and to
//! the peers that are known now.

use std::time::{Duration, Instant};

use crate::ids::{CustomerId, Incarnation};
use crate::load::shares::{Amounts, DEAD_AFTER, FRESH, LocalShare, Members, PeerRow, ShareRow};
use crate::table::{Row, Table};

/// Another daemon.
#[proc_macros::row]
struct Peer {
    incarnation: Incarnation,
    received: Instant,
}

impl Row for Peer {
    type Id = Incarnation;
    fn id(&self) -> &Incarnation {
        &self.incarnation
    }
}

/// This daemon's claim on one customer's limits, and the rows of its peers about
/// the same customer.
#[proc_macros::row]
struct CustomerShare {
    customer: CustomerId,
    local: LocalShare,
    rows: Vec<ShareRow>,
}

impl CustomerShare {
    fn new(customer: CustomerId, now: Instant) -> Self {
        Self {
            customer,
            local: LocalShare::new(now),
            rows: Vec::new(),
        }
    }

    fn put(&mut self, row: ShareRow) {
        let place = self
            .rows
            .binary_search_by_key(&row.incarnation, |r| r.incarnation);
        let withdrawn = row.claim.is_zero() && row.demand.is_zero();
        match place {
            Ok(at) if withdrawn => drop(self.rows.remove(at)),
            Ok(at) => self.rows[at] = row,
            Err(_) if withdrawn => {}
            Err(at) => self.rows.insert(at, row),
        }
    }
}

impl Row for CustomerShare {
    type Id = CustomerId;
    fn id(&self) -> &CustomerId {
        &self.customer
    }
}

/// Claims on all customers' limits.
#[derive(Debug, Default)]
pub struct ShareTable {
    peers: Table<Peer>,
    customers: Table<CustomerShare>,
    updated: Option<Instant>,
    expected: usize,
}

impl ShareTable {
    /// Sets how many daemons there should be, this one included.
    pub fn set_expected(&mut self, count: usize) {
        self.expected = count;
    }

    /// Records that a message was received from a peer, and before it all rows
    /// that the peer had written until then.
    pub fn record_peer(&mut self, now: Instant, incarnation: Incarnation) {
        self.peers.insert(Peer {
            incarnation,
            received: now,
        });
    }

    /// Removes a daemon that is known to be gone for good, which frees its
    /// claims.
    pub fn remove_peer(&mut self, incarnation: Incarnation) {
        self.peers.remove(&incarnation);
        for share in &mut self.customers {
            share.rows.retain(|row| row.incarnation != incarnation);
        }
    }

    /// Applies a row received from a peer.
    pub fn apply_row(&mut self, now: Instant, row: ShareRow) {
        self.record_peer(now, row.incarnation);
        self.customer_share(now, &row.customer.clone()).put(row);
    }

    fn customer_share(&mut self, now: Instant, customer: &CustomerId) -> &mut CustomerShare {
        if !self.customers.contains(customer) {
            self.customers
                .insert(CustomerShare::new(customer.clone(), now));
        }
        self.customers.get_mut(customer).expect("inserted above")
    }

    /// Counts a request of a customer towards its demand here.
    pub fn record_request(&mut self, now: Instant, customer: &CustomerId, tokens: f64) {
        self.customer_share(now, customer)
            .local
            .record_request(now, tokens);
    }

    /// Raises a customer's demand for requests in progress here to `running`.
    pub fn record_running(&mut self, now: Instant, customer: &CustomerId, running: f64) {
        self.customer_share(now, customer)
            .local
            .record_running(running);
    }

    /// Updates this daemon's claim on a customer's limits.
    pub fn update_claim(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        limit: Amounts,
        running: f64,
    ) {
        let members = self.members(now);
        let Some(CustomerShare { local, rows, .. }) = self.customers.get_mut(customer) else {
            return;
        };
        let received = rows.iter().map(|row| PeerRow {
            row,
            received: self.peers.get(&row.incarnation).map_or(now, |p| p.received),
        });
        local.record_running(running);
        local.update_claim(now, limit, received, members);
    }

    /// Removes customers that neither this daemon nor a peer has a claim or
    /// demand for.
    pub fn remove_idle(&mut self) {
        let idle = |share: &CustomerShare| share.local.is_idle() && share.rows.is_empty();
        self.customers.retain(|share| !idle(share));
    }

    /// The part of a customer's limits that this daemon may give out.
    pub fn share(&self, now: Instant, customer: &CustomerId, limit: Amounts) -> Amounts {
        if self.peers.is_empty() && self.expected <= 1 {
            return limit;
        }
        let members = self.members(now);
        let share = self.customers.get(customer);
        let empty = LocalShare::new(now);
        let local = share.map_or(&empty, |share| &share.local);
        local.share(now, limit, members)
    }

    /// Rows to send to the peers.
    pub fn rows(&self, incarnation: Incarnation) -> Vec<ShareRow> {
        let customers = self.customers.iter();
        let rows = customers.filter_map(|c| c.local.row(&c.customer, incarnation));
        rows.collect()
    }

    /// Customers with demand or a claim here. The claims of all others need no
    /// update.
    pub fn active_customers(&self) -> impl Iterator<Item = &CustomerId> {
        let busy = self.customers.iter().filter(|c| !c.local.is_idle());
        busy.map(|share| &share.customer)
    }

    /// Whether `every` has passed since the last update of all claims. If so, an
    /// update counts as made now.
    pub fn is_due(&mut self, now: Instant, every: Duration) -> bool {
        let due = self.updated.is_none_or(|at| now >= at + every);
        if due {
            self.updated = Some(now);
        }
        due
    }

    fn members(&self, now: Instant) -> Members {
        let age = |peer: &Peer| now.saturating_duration_since(peer.received);
        let count = |test: &dyn Fn(Duration) -> bool| {
            let peers = self.peers.iter();
            peers.filter(|peer| test(age(peer))).count()
        };
        Members {
            expected: self.expected,
            known: 1 + self.peers.len(),
            fresh: 1 + count(&|age| age < FRESH),
            dead: count(&|age| age >= DEAD_AFTER),
        }
    }
}
