//! The actor that tells the other daemons what this one claims of customers'
//! limits.
//!
//! Each round it writes the rows that have changed, and then a row without a
//! name. Rows of one writer arrive in the order in which they were written, so
//! who hears that last row has all others, and knows that the writer was alive.
//! Without it a daemon with nothing new to say would look dead, and the claims of
//! all others could not grow.

use std::time::Duration;

use actix::{Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, WrapFuture as _};
use poplarvale_lib::gossip::{Kind, ROUND};
use poplarvale_lib::load::shares::{self, ShareRow};
use poplarvale_lib::protos::peer::{Amounts, Share};
use poplarvale_lib::{CustomerId, Incarnation};
use prost::Message as _;

use crate::core::{Core, GetShares};
use crate::peers::{Gossip, Put, Remove};

/// Time between two rounds: gossip carries rows no faster.
const GAP: Duration = ROUND;
/// Name of the row that ends a round; no customer has it.
const END: &str = "";

/// Actor that writes the rows.
pub(crate) struct Shares {
    core: Addr<Core>,
    gossip: Addr<Gossip>,
    /// Customers with a row, sorted.
    told: Vec<CustomerId>,
    rounds: u64,
    telling: bool,
}

impl Shares {
    pub(crate) fn new(core: Addr<Core>, gossip: Addr<Gossip>) -> Self {
        Self {
            core,
            gossip,
            told: Vec::new(),
            rounds: 0,
            telling: false,
        }
    }

    fn round(&mut self, ctx: &mut Context<Self>) {
        if self.telling {
            return;
        }
        self.telling = true;
        self.rounds += 1;
        let round = Round {
            core: self.core.clone(),
            gossip: self.gossip.clone(),
            told: std::mem::take(&mut self.told),
            number: self.rounds,
        };
        let told = round.run().into_actor(self);
        ctx.spawn(told.map(|told, shares, _| {
            shares.telling = false;
            shares.told = told;
        }));
    }
}

impl Actor for Shares {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(GAP, Self::round);
    }
}

/// One round of rows.
struct Round {
    core: Addr<Core>,
    gossip: Addr<Gossip>,
    told: Vec<CustomerId>,
    number: u64,
}

impl Round {
    /// Writes the rows; returns the customers that have one now.
    async fn run(self) -> Vec<CustomerId> {
        let rows = self.core.send(GetShares).await.unwrap_or_default();
        let mut names: Vec<CustomerId> = Vec::with_capacity(rows.len());
        let mut whole = true;
        for row in rows {
            names.push(row.customer.clone());
            whole &= self.put(&row.customer, encode(&row)).await;
        }
        names.sort_unstable();
        for old in &self.told {
            if names.binary_search(old).is_err() {
                self.remove(old.clone()).await;
            }
        }
        // Claims that the others have not heard of must not be counted on: where
        // a row is missing, this daemon had better look silent to them.
        if whole {
            self.put(END, self.number.to_be_bytes().to_vec()).await;
        } else {
            log::warn!("shares: too many customers for the rows of one daemon.");
        }
        names
    }

    /// Writes a row; whether it was taken.
    async fn put(&self, name: &str, value: Vec<u8>) -> bool {
        let put = self.gossip.send(Put {
            kind: Kind::DEMAND,
            name: name.into(),
            value,
        });
        matches!(put.await, Ok(Ok(())))
    }

    async fn remove(&self, name: CustomerId) {
        let kind = Kind::DEMAND;
        // A row that is gone already is as good.
        let _ = self.gossip.send(Remove { kind, name }).await;
    }
}

fn encode(row: &ShareRow) -> Vec<u8> {
    let demand = Amounts {
        requests: coarse(row.demand.requests),
        tokens: coarse(row.demand.tokens),
        running: coarse(row.demand.running),
    };
    // Rounded up, so that what others leave free is never too much.
    let claim = Amounts {
        requests: thousandths(row.claim.requests),
        tokens: thousandths(row.claim.tokens),
        running: thousandths(row.claim.running),
    };
    let share = Share {
        demand: Some(demand),
        claim: Some(claim),
    };
    share.encode_to_vec()
}

/// What a row says; none if it is of another form.
pub(crate) fn decode(customer: &CustomerId, writer: Incarnation, value: &[u8]) -> Option<ShareRow> {
    let share = Share::decode(value).ok()?;
    Some(ShareRow {
        customer: customer.clone(),
        incarnation: writer,
        demand: amounts(&share.demand.unwrap_or_default()),
        claim: amounts(&share.claim.unwrap_or_default()),
    })
}

/// Row of a writer that neither asks for anything nor claims it.
pub(crate) fn empty_row(customer: &CustomerId, writer: Incarnation) -> ShareRow {
    ShareRow {
        customer: customer.clone(),
        incarnation: writer,
        demand: shares::Amounts::default(),
        claim: shares::Amounts::default(),
    }
}

fn amounts(wire: &Amounts) -> shares::Amounts {
    shares::Amounts {
        requests: wire.requests as f64 / 1_000.0,
        tokens: wire.tokens as f64 / 1_000.0,
        running: wire.running as f64 / 1_000.0,
    }
}

fn thousandths(amount: f64) -> u64 {
    (amount * 1_000.0).ceil() as u64
}

/// Thousandths with two digits that count. Demand is noisy, and each change of a
/// row is sent to every daemon of the region.
fn coarse(amount: f64) -> u64 {
    let exact = thousandths(amount);
    let step = 10_u64.pow(exact.checked_ilog10().unwrap_or(0).saturating_sub(1));
    exact.div_ceil(step) * step
}
