//! The actor that publishes this daemon's demand for and claims on customers' limits to the other
//! daemons.
//!
//! Each round it writes the rows that have changed, followed by a row without a name. Rows of one
//! writer arrive in the order in which they were written, so a daemon that receives this last row
//! has received all others, and knows that the writer was alive. Without it a daemon whose rows
//! don't change would look dead, and the claims of the others could not grow.

use std::time::Duration;

use actix::{Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, WrapFuture as _};
use poplarvale_lib::gossip::{Kind, ROUND_INTERVAL};
use poplarvale_lib::load::shares::{self, ShareRow};
use poplarvale_lib::protos::peer::{Amounts, Share};
use poplarvale_lib::{CustomerId, Incarnation};
use prost::Message as _;

use crate::core::{Core, GetShares};
use crate::peers::{Gossip, Put, Remove};

/// Time between two rounds. Gossip doesn't spread rows any faster.
const INTERVAL: Duration = ROUND_INTERVAL;
/// Name of the row that ends a round. No customer has this name.
const ROUND_END: &str = "";

/// Actor that writes the rows.
pub(crate) struct Shares {
    core: Addr<Core>,
    gossip: Addr<Gossip>,
    /// Customers that have a published row, sorted.
    published: Vec<CustomerId>,
    rounds: u64,
    publishing: bool,
}

impl Shares {
    pub(crate) fn new(core: Addr<Core>, gossip: Addr<Gossip>) -> Self {
        Self {
            core,
            gossip,
            published: Vec::new(),
            rounds: 0,
            publishing: false,
        }
    }

    fn round(&mut self, ctx: &mut Context<Self>) {
        if self.publishing {
            return;
        }
        self.publishing = true;
        self.rounds += 1;
        let round = Round {
            core: self.core.clone(),
            gossip: self.gossip.clone(),
            published: std::mem::take(&mut self.published),
            number: self.rounds,
        };
        let run = round.run().into_actor(self);
        ctx.spawn(run.map(|published, shares, _| {
            shares.publishing = false;
            shares.published = published;
        }));
    }
}

impl Actor for Shares {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(INTERVAL, Self::round);
    }
}

/// One round of rows.
struct Round {
    core: Addr<Core>,
    gossip: Addr<Gossip>,
    published: Vec<CustomerId>,
    number: u64,
}

impl Round {
    /// Writes the rows. Returns the customers that have one now.
    async fn run(self) -> Vec<CustomerId> {
        let rows = self.core.send(GetShares).await.unwrap_or_default();
        let mut names: Vec<CustomerId> = Vec::with_capacity(rows.len());
        let mut complete = true;
        for row in rows {
            names.push(row.customer.clone());
            complete &= self.put(&row.customer, encode(&row)).await;
        }
        names.sort_unstable();
        for old in &self.published {
            if names.binary_search(old).is_err() {
                self.remove(old.clone()).await;
            }
        }
        // The others must not rely on claims that they have not received. If a row is missing,
        // this daemon withholds the last row, so that it looks unresponsive to them.
        if complete {
            self.put(ROUND_END, self.number.to_be_bytes().to_vec())
                .await;
        } else {
            log::warn!(
                "shares: too many customers, some rows were not written; not ending this round."
            );
        }
        names
    }

    /// Writes a row. Returns whether gossip accepted it.
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
        // It doesn't matter if the row has already been removed.
        let _ = self.gossip.send(Remove { kind, name }).await;
    }
}

fn encode(row: &ShareRow) -> Vec<u8> {
    let demand = Amounts {
        requests: two_digits(row.demand.requests),
        tokens: two_digits(row.demand.tokens),
        running: two_digits(row.demand.running),
    };
    // Rounded up, so that the others never leave less than the claim to this daemon.
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

/// Decodes a row. None if it has another form.
pub(crate) fn decode(customer: &CustomerId, writer: Incarnation, value: &[u8]) -> Option<ShareRow> {
    let share = Share::decode(value).ok()?;
    Some(ShareRow {
        customer: customer.clone(),
        incarnation: writer,
        demand: amounts(&share.demand.unwrap_or_default()),
        claim: amounts(&share.claim.unwrap_or_default()),
    })
}

/// Row of a writer with neither demand nor claim, for a row that was removed.
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

/// The amount in thousandths, rounded up to two significant digits. Demand is noisy, and each
/// change of a row is sent to every daemon of the region.
fn two_digits(amount: f64) -> u64 {
    let exact = thousandths(amount);
    let step = 10_u64.pow(exact.checked_ilog10().unwrap_or(0).saturating_sub(1));
    exact.div_ceil(step) * step
}
