//! Picks the endpoint of a request.
//!
//! One walk over the endpoints of the service finds those that take work and
//! their load; those beyond the bound of their distance are left out; of the rest
//! the one with the least cost is taken, and among equal ones one is drawn.

use std::time::Instant;

use crate::endpoint::Endpoint;
use crate::ids::EndpointId;
use crate::moves::Filter;
use crate::request::Waiting;
use crate::routing::cache::BLOCK;
use crate::routing::cost::{Cost, EQUAL, wait};
use crate::routing::place::Distance;
use crate::routing::rendezvous::{Bound, choices, key};
use crate::routing::view::{Seat, View};
use crate::table::Table;

/// Share of a prompt that its first choice is supposed to have cached, as other
/// daemons are likely to have sent its beginning there; each alternative is
/// supposed to have half as much. With less, daemons go by their late reports and
/// events and run after one another; with more, they leave what they know cached.
const LIKELY: f64 = 0.6;

/// Endpoints whose cached prefix is looked up block by block. The rough figure
/// that they are found by is at most half too low, and of the three first choices
/// and the known holders of a prompt hardly ever more than eight are in question.
const CLOSER: usize = 8;

/// How endpoints are chosen.
#[proc_macros::kind]
#[derive(Default)]
pub enum Policy {
    /// By cost.
    #[default]
    Cost,
    /// Least loaded, own availability zone first; to compare with.
    LeastLoaded,
    /// One after the other; to compare with.
    RoundRobin,
}

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The request.
    pub waiting: &'a Waiting,
    /// Most requests of this daemon at one endpoint.
    pub most: u32,
    /// The present.
    pub now: Instant,
    /// Versions that it may go to while a version move goes on.
    pub filter: &'a Filter,
}

/// The endpoint picked.
#[proc_macros::row]
pub struct Pick {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// What it costs.
    pub cost: Cost,
    /// Prompt tokens that are in its cache.
    pub cached: f64,
}

struct Open<'a> {
    endpoint: &'a Endpoint,
    seat: &'a Seat,
    load: u32,
}

struct Priced<'a> {
    open: &'a Open<'a>,
    cost: Cost,
    cached: f64,
}

/// Picks the endpoint with the least cost; none when none takes the request.
///
/// The view must be in step with the endpoints, see [`View::sync`].
pub fn pick(
    view: &View,
    endpoints: &Table<Endpoint>,
    ask: &Ask<'_>,
    rng: &mut fastrand::Rng,
) -> Option<Pick> {
    let open = within(open(view, endpoints, ask));
    let hints = hints(&open, ask);
    let priced = cheapest(&open, &hints, ask, rng);
    let least = priced
        .iter()
        .map(|priced| priced.cost.seconds())
        .min_by(f64::total_cmp)?;
    let equal = |priced: &&Priced<'_>| priced.cost.seconds() <= least + EQUAL;
    let count = priced.iter().filter(equal).count();
    let drawn = priced.iter().filter(equal).nth(rng.usize(..count))?;
    Some(Pick {
        endpoint: drawn.open.endpoint.id.clone(),
        cost: drawn.cost,
        cached: drawn.cached,
    })
}

/// Whether any endpoint takes the request now.
pub fn is_open(view: &View, endpoints: &Table<Endpoint>, ask: &Ask<'_>) -> bool {
    !open(view, endpoints, ask).is_empty()
}

/// Endpoints that take the request.
fn open<'a>(view: &'a View, endpoints: &'a Table<Endpoint>, ask: &Ask<'_>) -> Vec<Open<'a>> {
    let waiting = ask.waiting;
    let order = &waiting.order;
    let stay = (!order.idempotent).then(|| {
        view.tails
            .until(ask.now, &order.service, &order.route, order.deadline)
    });
    let rows = endpoints.iter().as_slice();
    let seats = view.seats();
    let group = view.group(&order.service);
    let mut open = Vec::with_capacity(group.len());
    for &at in group {
        let (Some(endpoint), Some(seat)) = (rows.get(at), seats.get(at)) else {
            continue;
        };
        if endpoint.accepts(ask.now)
            && endpoint.running < ask.most
            && lasts(seat, stay)
            && !waiting.failed.contains(&endpoint.id)
            && ask.filter.allows(endpoint)
        {
            let load = seat.load.running(endpoint.running);
            open.push(Open {
                endpoint,
                seat,
                load,
            });
        }
    }
    open
}

/// Whether an endpoint stays until a time, as far as is known.
fn lasts(seat: &Seat, stay: Option<Instant>) -> bool {
    match (seat.ends, stay) {
        (Some(ends), Some(stay)) => ends > stay,
        _ => true,
    }
}

/// Leaves out the endpoints whose load is beyond the bound of their distance.
fn within(mut open: Vec<Open<'_>>) -> Vec<Open<'_>> {
    let mut bounds = [Bound::default(); Distance::ALL.len()];
    for open in &open {
        bounds[open.seat.distance as usize].add(open.load);
    }
    open.retain(|open| bounds[open.seat.distance as usize].holds(open.load));
    open
}

/// Blocks that other daemons have likely had computed at each endpoint: the
/// first choice of the prefix counts as a doubtful holder, the alternatives as
/// more doubtful ones.
fn hints(open: &[Open<'_>], ask: &Ask<'_>) -> Vec<f64> {
    let mut hints = vec![0.0; open.len()];
    let Some(key) = key(&ask.waiting.order.blocks) else {
        return hints;
    };
    let mut worth = ask.waiting.order.blocks.len() as f64 * LIKELY;
    for choice in choices(key, open.iter().map(|open| open.seat.hash)) {
        if let Some(at) = choice {
            hints[at] = worth;
        }
        worth /= 2.0;
    }
    hints
}

/// Costs of the endpoints worth a closer look: looking up each block of the
/// prompt at every endpoint would take most of a decision's time.
fn cheapest<'a>(
    open: &'a [Open<'a>],
    hints: &[f64],
    ask: &Ask<'_>,
    rng: &mut fastrand::Rng,
) -> Vec<Priced<'a>> {
    let blocks = &ask.waiting.order.blocks;
    let mut rough: Vec<(f64, usize)> = Vec::with_capacity(open.len());
    for (at, (open, &hint)) in open.iter().zip(hints).enumerate() {
        let known = open.seat.cache.about(blocks) as f64;
        // Drawn a little apart, or of many equal endpoints the same few would
        // be looked at by every daemon.
        let drawn = rng.f64() * EQUAL;
        let seconds = cost(open, known.max(hint), ask).seconds();
        rough.push((seconds + drawn, at));
    }
    if rough.len() > CLOSER {
        rough.select_nth_unstable_by(CLOSER, |a, b| a.0.total_cmp(&b.0));
        rough.truncate(CLOSER);
    }
    rough
        .into_iter()
        .map(|(_, at)| exact(&open[at], hints[at], ask))
        .collect()
}

fn exact<'a>(open: &'a Open<'a>, hint: f64, ask: &Ask<'_>) -> Priced<'a> {
    let known = open.seat.cache.prefix(&ask.waiting.order.blocks).worth();
    Priced {
        open,
        cost: cost(open, known.max(hint), ask),
        cached: known * f64::from(BLOCK),
    }
}

/// Cost of an endpoint that has so many blocks of the prompt.
fn cost(open: &Open<'_>, cached: f64, ask: &Ask<'_>) -> Cost {
    let order = &ask.waiting.order;
    let seat = open.seat;
    let report = seat.load.last();
    let prompt = f64::from(order.prompt) + f64::from(ask.waiting.delivered);
    let cached = (cached * f64::from(BLOCK)).min(prompt);
    Cost {
        wait: wait(report, seat.load.pending(ask.now), open.load, order.answer),
        prefill: (prompt - cached) / report.prefill.max(1.0),
        distance: seat.distance.seconds(),
        price: seat.price,
    }
}
