//! Picks the endpoint for a request.
//!
//! One pass over the endpoints of the service collects those that accept the
//! request, with their load. Endpoints beyond the load bound of their distance
//! are dropped. Of the rest the one with the lowest cost is picked, at random
//! among ties.

use std::time::Instant;

use crate::endpoint::Endpoint;
use crate::ids::EndpointId;
use crate::moves::Filter;
use crate::request::Waiting;
use crate::routing::cost::{Cost, TIE_S, predicted_wait};
use crate::routing::distance::Distance;
use crate::routing::prefix_cache::BLOCK_TOKENS;
use crate::routing::rendezvous::{LoadBound, choices, prefix_key};
use crate::routing::view::{EndpointInfo, View};
use crate::table::Table;

/// Share of a prompt assumed to be cached at its first choice, since other
/// daemons have probably sent its prefix there; each alternative is assumed to
/// have half as much as the one before. With a lower share, daemons rely on their
/// late reports and events and follow each other to the same endpoints; with a
/// higher one, they leave endpoints that they know to have the prompt cached.
const ASSUMED_CACHED: f64 = 0.6;

/// Maximum number of endpoints whose cached prefix is looked up block by block.
/// The estimate by which they are preselected is at most half too low, and the
/// three choices of a prefix and the endpoints known to have it cached are hardly
/// ever more than eight.
const MAX_EXACT: usize = 8;

/// How endpoints are chosen.
#[proc_macros::kind]
#[derive(Default)]
pub enum Policy {
    /// Lowest cost.
    #[default]
    Cost,
    /// Least loaded, own availability zone first; a baseline for comparison.
    LeastLoaded,
    /// Round robin; a baseline for comparison.
    RoundRobin,
}

/// What an endpoint is picked for.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The request.
    pub waiting: &'a Waiting,
    /// Maximum number of requests of this daemon at one endpoint.
    pub max_running: u32,
    /// Current time.
    pub now: Instant,
    /// Versions that the request may go to during a version move.
    pub filter: &'a Filter,
}

/// The picked endpoint.
#[proc_macros::row]
pub struct Pick {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its cost.
    pub cost: Cost,
    /// Prompt tokens that it has cached.
    pub cached: f64,
}

struct Candidate<'a> {
    endpoint: &'a Endpoint,
    info: &'a EndpointInfo,
    load: u32,
}

struct ScoredCandidate<'a> {
    candidate: &'a Candidate<'a>,
    cost: Cost,
    cached: f64,
}

/// Picks the endpoint with the lowest cost; none if no endpoint accepts the
/// request.
///
/// The view must be in sync with the endpoint table, see [`View::sync`].
pub fn pick(
    view: &View,
    endpoints: &Table<Endpoint>,
    criteria: &Criteria<'_>,
    rng: &mut fastrand::Rng,
) -> Option<Pick> {
    let candidates = within_bounds(candidates(view, endpoints, criteria));
    let assumed = assumed_blocks(&candidates, criteria);
    let scored = score(&candidates, &assumed, criteria, rng);
    let least = scored
        .iter()
        .map(|scored| scored.cost.seconds())
        .min_by(f64::total_cmp)?;
    let tied = |scored: &&ScoredCandidate<'_>| scored.cost.seconds() <= least + TIE_S;
    let count = scored.iter().filter(tied).count();
    let picked = scored.iter().filter(tied).nth(rng.usize(..count))?;
    Some(Pick {
        endpoint: picked.candidate.endpoint.id.clone(),
        cost: picked.cost,
        cached: picked.cached,
    })
}

/// Whether any endpoint accepts the request now.
pub fn has_candidate(view: &View, endpoints: &Table<Endpoint>, criteria: &Criteria<'_>) -> bool {
    !candidates(view, endpoints, criteria).is_empty()
}

/// Endpoints that accept the request.
fn candidates<'a>(
    view: &'a View,
    endpoints: &'a Table<Endpoint>,
    criteria: &Criteria<'_>,
) -> Vec<Candidate<'a>> {
    let waiting = criteria.waiting;
    let order = &waiting.order;
    let needed_until = (!order.idempotent).then(|| {
        view.latencies
            .needed_until(criteria.now, &order.service, &order.route, order.deadline)
    });
    let rows = endpoints.iter().as_slice();
    let infos = view.infos();
    let group = view.service_endpoints(&order.service);
    let mut candidates = Vec::with_capacity(group.len());
    for &at in group {
        let (Some(endpoint), Some(info)) = (rows.get(at), infos.get(at)) else {
            continue;
        };
        if endpoint.accepts(criteria.now)
            && endpoint.running < criteria.max_running
            && outlives(info, needed_until)
            && !waiting.failed.contains(&endpoint.id)
            && criteria.filter.allows(endpoint)
        {
            let load = info.load.running(endpoint.running);
            candidates.push(Candidate {
                endpoint,
                info,
                load,
            });
        }
    }
    candidates
}

/// Whether an endpoint stays beyond `needed_until`, as far as its end is known.
fn outlives(info: &EndpointInfo, needed_until: Option<Instant>) -> bool {
    match (info.ends_at, needed_until) {
        (Some(ends_at), Some(needed_until)) => ends_at > needed_until,
        _ => true,
    }
}

/// Drops the endpoints whose load is beyond the bound of their distance.
fn within_bounds(mut candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    let mut bounds = [LoadBound::default(); Distance::ALL.len()];
    for candidate in &candidates {
        bounds[candidate.info.distance as usize].add(candidate.load);
    }
    candidates.retain(|c| bounds[c.info.distance as usize].allows(c.load));
    candidates
}

/// Number of blocks that each endpoint is assumed to have cached because other
/// daemons have probably sent the prefix there: the share for the first choice of
/// the prefix, and half of the previous share for each alternative.
fn assumed_blocks(candidates: &[Candidate<'_>], criteria: &Criteria<'_>) -> Vec<f64> {
    let mut assumed = vec![0.0; candidates.len()];
    let Some(key) = prefix_key(&criteria.waiting.order.blocks) else {
        return assumed;
    };
    let mut blocks = criteria.waiting.order.blocks.len() as f64 * ASSUMED_CACHED;
    for choice in choices(key, candidates.iter().map(|c| c.info.id_hash)) {
        if let Some(at) = choice {
            assumed[at] = blocks;
        }
        blocks /= 2.0;
    }
    assumed
}

/// Costs of the most promising candidates: looking up each block of the prompt at
/// every endpoint would take most of the time of a decision.
fn score<'a>(
    candidates: &'a [Candidate<'a>],
    assumed: &[f64],
    criteria: &Criteria<'_>,
    rng: &mut fastrand::Rng,
) -> Vec<ScoredCandidate<'a>> {
    let blocks = &criteria.waiting.order.blocks;
    let mut rough: Vec<(f64, usize)> = Vec::with_capacity(candidates.len());
    for (at, (candidate, &expected)) in candidates.iter().zip(assumed).enumerate() {
        let known = candidate.info.cache.estimate(blocks) as f64;
        // Random jitter, so that among many equal endpoints the daemons do not
        // all preselect the same few.
        let jitter = rng.f64() * TIE_S;
        let seconds = cost(candidate, known.max(expected), criteria).seconds();
        rough.push((seconds + jitter, at));
    }
    if rough.len() > MAX_EXACT {
        rough.select_nth_unstable_by(MAX_EXACT, |a, b| a.0.total_cmp(&b.0));
        rough.truncate(MAX_EXACT);
    }
    rough
        .into_iter()
        .map(|(_, at)| score_exactly(&candidates[at], assumed[at], criteria))
        .collect()
}

fn score_exactly<'a>(
    candidate: &'a Candidate<'a>,
    assumed: f64,
    criteria: &Criteria<'_>,
) -> ScoredCandidate<'a> {
    let known = candidate
        .info
        .cache
        .prefix(&criteria.waiting.order.blocks)
        .weighted_blocks();
    ScoredCandidate {
        candidate,
        cost: cost(candidate, known.max(assumed), criteria),
        cached: known * f64::from(BLOCK_TOKENS),
    }
}

/// Cost of an endpoint that has `cached` blocks of the prompt.
fn cost(candidate: &Candidate<'_>, cached: f64, criteria: &Criteria<'_>) -> Cost {
    let order = &criteria.waiting.order;
    let info = candidate.info;
    let report = info.load.last_report();
    let prompt = f64::from(order.prompt) + f64::from(criteria.waiting.delivered);
    let cached = (cached * f64::from(BLOCK_TOKENS)).min(prompt);
    Cost {
        wait: predicted_wait(
            report,
            info.load.pending(criteria.now),
            candidate.load,
            order.answer,
        ),
        prefill: (prompt - cached) / report.prefill.max(1.0),
        distance: info.distance.seconds(),
        price: info.price_s,
    }
}
