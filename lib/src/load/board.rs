//! Shares of customers' limits: the claims of this daemon and those that it
//! received from its peers.
//!
//! Applies the rules of [`shares`](crate::load::shares) to each customer and to
//! the peers that are known now.

use std::time::{Duration, Instant};

use crate::ids::{CustomerId, Incarnation};
use crate::load::shares::{Amounts, FRESH, GRACE, Heard, Holder, Members, ShareRow};
use crate::table::{Row, Table};

/// Another daemon.
#[proc_macros::row]
struct Peer {
    incarnation: Incarnation,
    heard: Instant,
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
struct Account {
    customer: CustomerId,
    holder: Holder,
    rows: Vec<ShareRow>,
}

impl Account {
    fn new(customer: CustomerId, now: Instant) -> Self {
        Self {
            customer,
            holder: Holder::new(now),
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

impl Row for Account {
    type Id = CustomerId;
    fn id(&self) -> &CustomerId {
        &self.customer
    }
}

/// Claims on all customers' limits.
#[derive(Debug, Default)]
pub struct Board {
    peers: Table<Peer>,
    accounts: Table<Account>,
    turned: Option<Instant>,
    fleet: usize,
}

impl Board {
    /// Sets how many daemons there should be, this one included.
    pub fn expect(&mut self, fleet: usize) {
        self.fleet = fleet;
    }

    /// Records that a peer is alive and that all rows it wrote until `now` have
    /// been received.
    pub fn meet(&mut self, now: Instant, incarnation: Incarnation) {
        self.peers.insert(Peer {
            incarnation,
            heard: now,
        });
    }

    /// Removes a daemon that is known to be gone for good, which frees its
    /// claims.
    pub fn part(&mut self, incarnation: Incarnation) {
        self.peers.remove(&incarnation);
        for account in &mut self.accounts {
            account.rows.retain(|row| row.incarnation != incarnation);
        }
    }

    /// Applies a row received from a peer.
    pub fn hear(&mut self, now: Instant, row: ShareRow) {
        self.meet(now, row.incarnation);
        self.account(now, &row.customer.clone()).put(row);
    }

    fn account(&mut self, now: Instant, customer: &CustomerId) -> &mut Account {
        if !self.accounts.contains(customer) {
            self.accounts.insert(Account::new(customer.clone(), now));
        }
        self.accounts.get_mut(customer).expect("was just put in")
    }

    /// Counts a request of a customer towards its demand here.
    pub fn ask(&mut self, now: Instant, customer: &CustomerId, tokens: f64) {
        self.account(now, customer).holder.ask(now, tokens);
    }

    /// Raises a customer's demand for requests in progress here to `running`.
    pub fn run(&mut self, now: Instant, customer: &CustomerId, running: f64) {
        self.account(now, customer).holder.run(running);
    }

    /// Updates this daemon's claim on a customer's limits.
    pub fn claim(&mut self, now: Instant, customer: &CustomerId, limit: Amounts, running: f64) {
        let members = self.members(now);
        let Some(Account { holder, rows, .. }) = self.accounts.get_mut(customer) else {
            return;
        };
        let heard = rows.iter().map(|row| Heard {
            row,
            at: self.peers.get(&row.incarnation).map_or(now, |p| p.heard),
        });
        holder.run(running);
        holder.turn(now, limit, heard, members);
    }

    /// Removes customers that neither this daemon nor a peer has a claim or
    /// demand for.
    pub fn tidy(&mut self) {
        let idle = |account: &Account| account.holder.is_idle() && account.rows.is_empty();
        self.accounts.retain(|account| !idle(account));
    }

    /// The part of a customer's limits that this daemon may give out.
    pub fn share(&self, now: Instant, customer: &CustomerId, limit: Amounts) -> Amounts {
        if self.peers.is_empty() && self.fleet <= 1 {
            return limit;
        }
        let members = self.members(now);
        let account = self.accounts.get(customer);
        let new = Holder::new(now);
        let holder = account.map_or(&new, |account| &account.holder);
        holder.share(now, limit, members)
    }

    /// Rows to send to the peers.
    pub fn rows(&self, incarnation: Incarnation) -> Vec<ShareRow> {
        let accounts = self.accounts.iter();
        let rows = accounts.filter_map(|a| a.holder.row(&a.customer, incarnation));
        rows.collect()
    }

    /// Customers with demand or a claim here. The claims of all others need no
    /// update.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        let busy = self.accounts.iter().filter(|a| !a.holder.is_idle());
        busy.map(|account| &account.customer)
    }

    /// Whether `every` has passed since the last update of all claims. If so, an
    /// update counts as made now.
    pub fn is_due(&mut self, now: Instant, every: Duration) -> bool {
        let due = self.turned.is_none_or(|at| now >= at + every);
        if due {
            self.turned = Some(now);
        }
        due
    }

    fn members(&self, now: Instant) -> Members {
        let silence = |peer: &Peer| now.saturating_duration_since(peer.heard);
        let count = |test: &dyn Fn(Duration) -> bool| {
            let peers = self.peers.iter();
            peers.filter(|peer| test(silence(peer))).count()
        };
        Members {
            all: self.fleet,
            known: 1 + self.peers.len(),
            fresh: 1 + count(&|silent| silent < FRESH),
            gone: count(&|silent| silent >= GRACE),
        }
    }
}
