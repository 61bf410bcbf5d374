//! How much of a customer's limits this daemon may give out.
//!
//! Answers a customer whose requests arrive at many daemons. If each daemon
//! allowed the whole plan, the customer would get it as many times as there are
//! daemons; if each allowed an equal part, a customer whose requests reach few of
//! them would be rejected while most of its plan is unused. It would show as use
//! above the plan, or rejections below it.
//!
//! A small part of each limit, [`BASE_FRACTION`], is split evenly and needs no
//! messages, so that a first request is never rejected for want of a share. The
//! rest follows demand by claims, which daemons exchange in [`ShareRow`]s:
//!
//! 1. A claim is never more than the limit less all claims received from peers;
//!    it is cut at once when these leave less.
//! 2. What a daemon gives out is the lowest of its own claims over the last
//!    [`HOLD`].
//! 3. While no row has been received from some daemon for longer than [`FRESH`],
//!    no claim grows, and claims that have grown within `HOLD` fall back.
//!
//! So what all daemons give out never sums above the limit while all receive each
//! other's rows. Take any daemon `i`: the claim that `i` last received from each
//! other daemon `k` was written within `HOLD`, as `HOLD` is longer than `FRESH`
//! and [`MAX_TRANSIT`] together; what `k` gives out now is at most that claim,
//! and by rule 1 these claims and `i`'s own sum to the limit at most.
//!
//! The claim of an unresponsive daemon continues to count. After [`DEAD_AFTER`],
//! daemons that still receive rows from more than half of all daemons, themselves
//! included, take it over, as its owner has most likely died; a daemon that is in
//! contact with half or fewer keeps its share and does not grow. If the
//! unresponsive daemons are alive but partitioned, they keep their shares too:
//! use is then above the limit by at most the shares of those partitioned. A
//! daemon whose count of members is out of date by `d` of `n` adds at most
//! `BASE_FRACTION * d/n` of the limit.

use std::time::{Duration, Instant};

use crate::ids::{CustomerId, Incarnation};
use crate::lists::Plan;

/// Part of each limit that is split evenly among all daemons.
pub const BASE_FRACTION: f64 = 0.2;
/// Longest time that a row takes from one daemon to another: gossip has one round
/// per second, and there are two hops between availability zones.
pub const MAX_TRANSIT: Duration = Duration::from_secs(2);
/// Time since a daemon's last row after which it is no longer relied on: more
/// than the longest time between two rows that are sent each round and may be
/// late.
pub const FRESH: Duration = Duration::from_millis(2_500);
/// Time for which a claim must have stood before it is given out: `FRESH` and
/// `MAX_TRANSIT` together, and as long as a daemon may take to process what it
/// received.
pub const HOLD: Duration = Duration::from_secs(5);
/// Time since a daemon's last row after which it counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(10);
/// A claim is lowered only when it is above the daemon's fair part by this
/// factor: demand is noisy, and what is lowered takes `HOLD` to regain.
const SLACK: f64 = 1.2;
/// Time over which demand is averaged, in seconds.
const DEMAND_WINDOW_S: f64 = 3.0;
/// An amount of demand below this counts as none, in its own unit (requests or
/// tokens per second, or requests in progress). Demand decays exponentially, and
/// without a threshold a row would be sent forever after one request.
const MIN_RATE: f64 = 0.001;
/// Demand below this fraction of the pool, which is the limit without the part that
/// is split evenly, counts as none.
const MIN_DEMAND_FRACTION: f64 = 0.001;

/// An amount of each thing that a plan limits.
#[proc_macros::row]
#[derive(Copy, Default)]
pub struct Amounts {
    /// Requests per second.
    pub requests: f64,
    /// Tokens per second.
    pub tokens: f64,
    /// Requests in progress.
    pub running: f64,
}

impl Amounts {
    /// Amounts that a plan allows.
    pub fn of(plan: &Plan) -> Self {
        Self {
            requests: plan.requests,
            tokens: plan.tokens,
            running: f64::from(plan.running),
        }
    }

    /// Combines two amounts field by field.
    #[must_use]
    pub fn zip(self, other: Self, join: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            requests: join(self.requests, other.requests),
            tokens: join(self.tokens, other.tokens),
            running: join(self.running, other.running),
        }
    }

    /// Each amount multiplied by `factor`.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        self.zip(self, |a, _| a * factor)
    }

    /// Whether all amounts are zero.
    pub fn is_zero(&self) -> bool {
        self.requests <= 0.0 && self.tokens <= 0.0 && self.running <= 0.0
    }
}

/// What a daemon advertises to its peers about one customer. Only that daemon
/// writes it; a later row of the same daemon replaces it, and one without any
/// amount withdraws it.
#[proc_macros::row]
pub struct ShareRow {
    /// Id of the customer.
    pub customer: CustomerId,
    /// Daemon that wrote the row.
    pub incarnation: Incarnation,
    /// What the customer asks for at that daemon.
    pub demand: Amounts,
    /// What that daemon may give out, now or soon.
    pub claim: Amounts,
}

/// A row received from a peer.
#[proc_macros::row]
#[derive(Copy)]
pub struct PeerRow<'a> {
    /// The row.
    pub row: &'a ShareRow,
    /// When anything was last received from its writer.
    pub received: Instant,
}

/// The daemons that this one knows of.
#[proc_macros::row]
#[derive(Copy)]
pub struct Members {
    /// How many there should be, by the list of hosts.
    pub expected: usize,
    /// How many this daemon has ever received from, less those that are known to
    /// be gone for good; itself included.
    pub known: usize,
    /// How many of these it received from within `FRESH`, itself included.
    pub fresh: usize,
    /// How many of these it has not received from for `DEAD_AFTER` or longer.
    pub dead: usize,
}

impl Members {
    fn count(&self) -> usize {
        self.expected.max(self.known).max(1)
    }

    fn most_are_fresh(&self) -> bool {
        self.fresh * 2 > self.count()
    }

    /// Whether claims may grow. A daemon that has just started has received few
    /// rows, and must not treat the rows it lacks as claims that nobody makes.
    fn is_steady(&self) -> bool {
        if self.most_are_fresh() {
            self.fresh + self.dead >= self.known
        } else {
            self.fresh >= self.count()
        }
    }
}

/// This daemon's claims on one customer's limits.
#[proc_macros::row]
pub struct LocalShare {
    history: Vec<(Instant, Amounts)>,
    demand: Amounts,
    updated: Instant,
}

impl LocalShare {
    /// Creates a share without claims.
    pub fn new(now: Instant) -> Self {
        Self {
            history: vec![(now, Amounts::default())],
            demand: Amounts::default(),
            updated: now,
        }
    }

    /// Counts a request towards the customer's demand, whether it was admitted or
    /// not.
    pub fn record_request(&mut self, now: Instant, tokens: f64) {
        self.decay(now);
        self.demand.requests += 1.0 / DEMAND_WINDOW_S;
        self.demand.tokens += tokens / DEMAND_WINDOW_S;
    }

    /// Raises the demand for requests in progress: those that run, and one more
    /// if a request was rejected for being too many.
    pub fn record_running(&mut self, running: f64) {
        self.demand.running = self.demand.running.max(running);
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let decayed = self.demand.times((-passed / DEMAND_WINDOW_S).exp());
        self.demand = decayed.zip(decayed, |rate, _| if rate < MIN_RATE { 0.0 } else { rate });
        self.updated = now;
    }

    /// What the customer asks for here.
    pub fn demand(&self) -> Amounts {
        self.demand
    }

    /// Latest claim.
    pub fn claim(&self) -> Amounts {
        self.history
            .last()
            .map_or(Amounts::default(), |(_, claim)| *claim)
    }

    /// Updates the claim by the rows received from peers.
    pub fn update_claim<'a>(
        &mut self,
        now: Instant,
        limit: Amounts,
        rows: impl Iterator<Item = PeerRow<'a>>,
        members: Members,
    ) {
        self.decay(now);
        let dead =
            |peer: &PeerRow<'a>| members.most_are_fresh() && now >= peer.received + DEAD_AFTER;
        let mut claimed = Amounts::default();
        let mut demanded = Amounts::default();
        for PeerRow { row, .. } in rows.filter(|peer| !dead(peer)) {
            claimed = claimed.zip(row.claim, |a, b| a + b);
            demanded = demanded.zip(row.demand, |a, b| a + b);
        }
        let pool = limit.times(1.0 - BASE_FRACTION);
        let part = fair_part(pool, self.demand, demanded);
        let free = pool.zip(claimed, |pool, claimed| (pool - claimed).max(0.0));
        let mut next = self.claim().zip(part, adjusted_claim).zip(free, f64::min);
        if !members.is_steady() {
            next = next.zip(self.in_force(now), f64::min);
        }
        self.push_claim(now, next);
    }

    /// Keeps the claims of the last `HOLD`, and the one before them, which was
    /// still in force when that time began.
    fn push_claim(&mut self, now: Instant, claim: Amounts) {
        if claim != self.claim() {
            self.history.push((now, claim));
        }
        let old = self.history.iter().rposition(|(at, _)| *at + HOLD <= now);
        self.history.drain(..old.unwrap_or(0));
    }

    /// What this daemon may give out.
    pub fn share(&self, now: Instant, limit: Amounts, members: Members) -> Amounts {
        let base = limit.times(BASE_FRACTION / members.count() as f64);
        base.zip(self.in_force(now), |a, b| a + b)
    }

    /// Lowest of the claims over the last `HOLD`.
    fn in_force(&self, now: Instant) -> Amounts {
        let first = self.history.iter().rposition(|(at, _)| *at + HOLD <= now);
        let recent = &self.history[first.unwrap_or(0)..];
        let claims = recent.iter().map(|(_, claim)| *claim);
        let least = claims.reduce(|a, b| a.zip(b, f64::min));
        least.unwrap_or_default()
    }

    /// Whether there is neither demand nor a claim.
    pub fn is_idle(&self) -> bool {
        self.demand.is_zero() && self.claim().is_zero()
    }

    /// Row to send to the peers; none if there is neither demand nor a claim.
    pub fn row(&self, customer: &CustomerId, incarnation: Incarnation) -> Option<ShareRow> {
        let row = ShareRow {
            customer: customer.clone(),
            incarnation,
            demand: self.demand,
            claim: self.claim(),
        };
        (!self.is_idle()).then_some(row)
    }
}

/// Part of the pool that this daemon's demand entitles it to. All of the pool is
/// divided by demand, also what nobody asks for, so that there is room to grow.
fn fair_part(pool: Amounts, own: Amounts, others: Amounts) -> Amounts {
    let demand = own.zip(pool, |own, pool| {
        if own < MIN_DEMAND_FRACTION * pool {
            0.0
        } else {
            own
        }
    });
    let total = demand.zip(others, |a, b| a + b);
    let part = demand.zip(
        total,
        |own, total| if total > 0.0 { own / total } else { 0.0 },
    );
    part.zip(pool, |part, pool| part * pool)
}

fn adjusted_claim(claim: f64, fair_part: f64) -> f64 {
    if claim > fair_part * SLACK {
        fair_part
    } else {
        claim.max(fair_part)
    }
}
