//! Selects the endpoint that gets a request.
//!
//! Load: long prompts among short ones, sessions whose prompts share a prefix, and many daemons
//! that choose at the same time from stale load reports. Choosing the endpoint with the fewest
//! requests would queue a short prompt behind a long one and prefill shared prefixes again at
//! every engine. Here the endpoint with the earliest predicted first event wins. For a session,
//! all daemons agree on a preferred endpoint by rendezvous hashing, without messages, and choose
//! another one only when it would answer noticeably sooner.
//!
//! Plain requests take less time than a load report takes to reach the other daemons. If all
//! daemons chose from the whole list, each would send its requests to the endpoint that was
//! last reported idle, until the next report. So a plain request is placed at the best of a
//! small sample: random endpoints of its own zone, and one of another zone.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::admit::{Limits, MAX_RETRY_AFTER};
use super::catalog::Service;
use super::endpoint_table::{Endpoint, EndpointTable, InFlight};
use super::engine::ServiceSpeed;
use super::prefix_cache::{PrefixHash, prefix_hashes};
use super::request::Prompt;
use super::rollout::Versions;
use crate::{EndpointId, ZoneId};

/// How much sooner an endpoint in another zone must answer to be chosen, in seconds. Crossing
/// zones costs about 3 ms for the round trip, and traffic between zones is paid by the byte.
const CROSS_ZONE_COST_S: f64 = 0.006;
/// Share of a session's shared prefix that its preferred endpoint is assumed to hold at least,
/// even if this daemon sent nothing of the session there.
const PREFERRED_CACHE_SHARE: f64 = 0.8;
/// Cost of a shared token that is prefilled again, as a multiple of its prefill time: other
/// requests lose that engine time. At five times, a request of a long session waits up to half
/// a second more for the engine that holds its prefix, where engines prefill fifty tokens per
/// millisecond.
const REPEATED_PREFILL_FACTOR: f64 = 5.0;
/// Share of the target up to which waiting costs no more than its time, and the
/// factor of the time beyond it, where answers begin to be late.
const ON_TIME_SHARE: f64 = 0.6;
const LATE_FACTOR: f64 = 4.0;
/// Cost of each request that runs at an engine, in seconds of the new request's answer: each
/// lengthens all steps of the others by about a fortieth.
const RUNNING_COST_S: f64 = 0.002;
/// Share of the time that a whole answer takes which counts as time to its first event, where an
/// engine announces that it is slower or faster than usual: streams there have longer pauses.
const ANSWER_SHARE: f64 = 0.2;
/// Share of an engine's slots that daemons fill before it counts as full. The rest is left for
/// requests that other daemons sent since their last digest.
const FULL_SHARE: f64 = 1.0;
/// Requests that may wait at a plain endpoint for each of its slots. Its own
/// queue is four times its slots, shared by all daemons.
const QUEUED_PER_SLOT: f64 = 2.0;
/// Number of endpoints in the sample for a plain request: of its own zone, and of others.
const SAME_ZONE_SAMPLE: usize = 2;
const OTHER_ZONE_SAMPLE: usize = 1;
/// Number of endpoints whose sharers are considered when a request is forwarded.
const SHARED_SAMPLE: usize = 4;

/// What the endpoint of a request must fulfil, and how endpoints are compared.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'r> {
    /// Service.
    pub service: &'r Service,
    /// Prompt; `None` for plain requests.
    pub prompt: Option<&'r Prompt>,
    /// Time within which the first event is on time.
    pub target: Duration,
    /// Zone of this daemon.
    pub zone: &'r str,
    /// Endpoints that earlier attempts of this request were sent to.
    pub avoid: &'r [EndpointId],
    /// Versions that it may go to while its service moves from one to another.
    pub versions: &'r Versions,
    /// Sorted zones whose endpoints it may go to; `None` for all.
    pub homes: Option<&'r [ZoneId]>,
    /// How long it may wait at an engine; `None` if it is sent whatever waits there.
    pub limits: Option<Limits>,
    /// Since when the links to the service are impaired: only endpoints that have answered this daemon
    /// since then are chosen; `None` for all.
    pub sound_since: Option<Instant>,
    /// Random for each request, so that daemons do not all sample the same endpoints.
    pub seed: u64,
    /// Now.
    pub now: Instant,
}

impl Criteria<'_> {
    fn is_home(&self, zone: &ZoneId) -> bool {
        self.homes
            .is_none_or(|homes| homes.binary_search(zone).is_ok())
    }
}

/// Endpoint that a request is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its id.
    pub id: EndpointId,
    /// Predicted time until the first event or answer.
    pub wait: Duration,
    /// Prompt tokens that it has to prefill for this request.
    pub prefill: f64,
    /// Prompt tokens that are queued before them.
    pub ahead: f64,
    /// Predicted time that the tokens ahead take.
    pub queue: Duration,
    /// Pace that is expected of it, by what it announced.
    pub pace: f64,
}

/// Why no endpoint can get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectError {
    /// None is registered, or all are excluded.
    None,
    /// There are some, but none in the zones that the request may go to.
    NoHome,
    /// There are some, but only in evacuated zones.
    Evacuated,
    /// All are full.
    Full,
    /// It would wait too long; there will be room after this time.
    Busy(Duration),
    /// This daemon has used its shares of the rates of endpoints that have room; it has one again
    /// after this time, and other daemons may have one now.
    Shares(Duration),
}

/// Chooses an endpoint.
///
/// # Errors
/// If no endpoint can take the request now.
pub fn choose(table: &EndpointTable, criteria: &Criteria<'_>) -> Result<Choice, SelectError> {
    if criteria.prompt.is_some() {
        return best(table, criteria, None);
    }
    let sample = sample(table, criteria);
    best(table, criteria, Some(&sample)).or_else(|_| best(table, criteria, None))
}

/// Chooses the endpoint at which a request shows whether this daemon reaches it again, while the links to
/// its service are impaired since some moment. Breakers that are open do not count, as the links may be
/// what opened them.
///
/// # Errors
/// If none can be tried now.
pub fn choose_trial(
    table: &EndpointTable,
    criteria: &Criteria<'_>,
    since: Instant,
) -> Result<Choice, SelectError> {
    let step = table.concurrency_step(&criteria.service.name);
    let rows = table.rows().iter().filter(|row| {
        row.listing.service == criteria.service.name
            && row.is_running(criteria.now)
            && !row.silence.is_silent()
            && !row.link.is_sound(since)
            && criteria.versions.allow(&row.listing.version)
            && criteria.is_home(&row.listing.zone)
            && !is_avoided(row, criteria)
            && row.check_rate(criteria.now).is_ok()
            && !is_full(row, criteria, step)
    });
    let random = |row: &Endpoint| xxh3_64_with_seed(row.listing.id.as_bytes(), criteria.seed);
    let row = rows.min_by_key(|row| (row.link.trial_rank(since), random(row)));
    let row = row.ok_or(SelectError::None)?;
    let shared = criteria.prompt.map(prefix_hashes).unwrap_or_default();
    let service_speed = table.service_speed(&criteria.service.name);
    Ok(evaluate(row, service_speed, criteria, &shared, None).1)
}

/// Chooses the endpoint with the fewest requests, for one that may crash it.
///
/// # Errors
/// If no endpoint can take the request now.
pub fn choose_idle(table: &EndpointTable, criteria: &Criteria<'_>) -> Result<Choice, SelectError> {
    let step = table.concurrency_step(&criteria.service.name);
    let rows = table.rows().iter().filter(|row| {
        is_eligible(row, criteria)
            && row.check_rate(criteria.now).is_ok()
            && !is_full(row, criteria, step)
    });
    let random = |row: &Endpoint| xxh3_64_with_seed(row.listing.id.as_bytes(), criteria.seed);
    let Some(row) = rows.min_by_key(|row| (row.active_requests(), random(row))) else {
        return choose(table, criteria);
    };
    let shared = criteria.prompt.map(prefix_hashes).unwrap_or_default();
    let service_speed = table.service_speed(&criteria.service.name);
    Ok(evaluate(row, service_speed, criteria, &shared, None).1)
}

/// Other daemons that share the rates of a few random endpoints at which this daemon has used its
/// share.
///
/// # Errors
/// If there are none.
pub fn sharers(
    table: &EndpointTable,
    criteria: &Criteria<'_>,
) -> Result<Vec<Ipv4Addr>, SelectError> {
    let step = table.concurrency_step(&criteria.service.name);
    let rows = table.rows().iter().filter(|row| {
        is_eligible(row, criteria)
            && !is_full(row, criteria, step)
            && row.is_share_used(criteria.now)
    });
    let rank = |row: &&Endpoint| xxh3_64_with_seed(row.listing.id.as_bytes(), criteria.seed);
    let mut rows: Vec<&Endpoint> = rows.collect();
    rows.sort_by_cached_key(rank);
    let rows = rows.into_iter().take(SHARED_SAMPLE);
    let found = rows.flat_map(|row| table.other_sharers(row, criteria.now));
    let mut found: Vec<Ipv4Addr> = found.collect();
    found.sort_unstable();
    found.dedup();
    if found.is_empty() {
        return Err(SelectError::None);
    }
    Ok(found)
}

/// The endpoint of least cost, of those with these ids or of all.
fn best(
    table: &EndpointTable,
    criteria: &Criteria<'_>,
    among: Option<&[&str]>,
) -> Result<Choice, SelectError> {
    let shared = criteria.prompt.map(prefix_hashes).unwrap_or_default();
    let preferred = preferred(table, criteria, &shared);
    let trial = trial(table, criteria);
    let service_speed = table.service_speed(&criteria.service.name);
    let step = table.concurrency_step(&criteria.service.name);
    let mut best: Option<(f64, Choice)> = None;
    let mut full = false;
    let mut limited: Option<Duration> = None;
    let mut is_share_used = false;
    for row in table.rows() {
        let may = is_one_of(row, among) && is_one_of(row, trial.as_deref());
        if !may || !may_serve(row, criteria) {
            continue;
        }
        let rate = row.check_rate(criteria.now);
        if let Err(wait) = rate {
            // One that has just rejected the request counts too: its caller may come back then.
            limited = Some(limited.map_or(wait, |least| least.min(wait)));
        }
        if is_avoided(row, criteria) {
            continue;
        }
        let has_room = !is_full(row, criteria, step);
        if rate.is_err() {
            is_share_used |= has_room && row.is_share_used(criteria.now);
            continue;
        }
        if !has_room {
            full = true;
            continue;
        }
        let (cost, choice) = evaluate(row, service_speed, criteria, &shared, preferred);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    let limited = limited.map(|wait| wait.min(MAX_RETRY_AFTER));
    let error = match best {
        Some((_, choice)) => match criteria
            .limits
            .map(|row| row.check(choice.queue, choice.wait))
        {
            Some(Err(wait)) => SelectError::Busy(wait),
            Some(Ok(())) | None => return Ok(choice),
        },
        None if full => SelectError::Full,
        None => match limited {
            Some(wait) => SelectError::Busy(wait),
            None => no_endpoint(table, criteria),
        },
    };
    Err(match (limited.filter(|_| is_share_used), error) {
        (Some(share), SelectError::Busy(wait)) => SelectError::Shares(wait.min(share)),
        (Some(share), _) => SelectError::Shares(share),
        (None, error) => error,
    })
}

/// Why no endpoint may get the request, whatever their load.
fn no_endpoint(table: &EndpointTable, criteria: &Criteria<'_>) -> SelectError {
    let is_running = |row: &&Endpoint| {
        row.listing.service == criteria.service.name && row.state.is_in_use(criteria.now)
    };
    let mut running = table.rows().iter().filter(is_running).peekable();
    if running.peek().is_none() {
        return SelectError::None;
    }
    let mut homes = running
        .filter(|row| criteria.is_home(&row.listing.zone))
        .peekable();
    if homes.peek().is_none() {
        SelectError::NoHome
    } else if homes.all(|row| row.is_evacuated) {
        SelectError::Evacuated
    } else {
        SelectError::None
    }
}

/// Ids of the random endpoints that a plain request may go to.
fn sample<'b>(table: &'b EndpointTable, criteria: &Criteria<'_>) -> Vec<&'b str> {
    let step = table.concurrency_step(&criteria.service.name);
    let rows = table.rows().iter();
    let rows = rows.filter(|row| {
        is_eligible(row, criteria)
            && !is_full(row, criteria, step)
            && row.check_rate(criteria.now).is_ok()
    });
    let rank = |row: &&Endpoint| xxh3_64_with_seed(row.listing.id.as_bytes(), criteria.seed);
    let mut rows: Vec<&Endpoint> = rows.collect();
    rows.sort_by_cached_key(rank);
    let (mut same_zone, mut other_zone): (Vec<_>, Vec<_>) = rows
        .into_iter()
        .partition(|row| row.listing.zone == criteria.zone);
    same_zone.truncate(SAME_ZONE_SAMPLE);
    other_zone.truncate(if same_zone.is_empty() {
        SAME_ZONE_SAMPLE
    } else {
        OTHER_ZONE_SAMPLE
    });
    same_zone.append(&mut other_zone);
    same_zone
        .into_iter()
        .map(|row| row.listing.id.as_str())
        .collect()
}

/// Records a request as in progress at its chosen endpoint.
pub fn book(table: &mut EndpointTable, criteria: &Criteria<'_>, choice: &Choice, number: u64) {
    let (kv_tokens, capacity) = match (criteria.prompt, &criteria.service.engine) {
        (Some(prompt), Some(engine)) => (kv_tokens(prompt), engine.kv_tokens),
        _ => (0, 0),
    };
    let request = InFlight {
        number,
        prefill: choice.prefill,
        ahead: choice.ahead,
        kv_tokens,
        pace: choice.pace,
        sent: criteria.now,
        first_event: None,
    };
    table.add_request(&choice.id, request);
    if let (Some(prompt), Some(row)) = (criteria.prompt, table.get_mut(&choice.id)) {
        row.cache
            .record(&prefix_hashes(prompt), capacity, criteria.now);
    }
}

/// Tokens that a request will hold in the KV cache when it ends, by the caller's estimate.
pub fn kv_tokens(prompt: &Prompt) -> u64 {
    u64::from(prompt.input) + u64::from(output_tokens(prompt))
}

/// Tokens of the answer, by the caller's estimate.
fn output_tokens(prompt: &Prompt) -> u32 {
    prompt.guess.unwrap_or(prompt.output).min(prompt.output)
}

/// Whether an endpoint may get the request, whatever its load.
fn is_eligible(row: &Endpoint, criteria: &Criteria<'_>) -> bool {
    may_serve(row, criteria) && !is_avoided(row, criteria)
}

/// Whether an endpoint may get requests of this kind, whatever its load.
fn may_serve(row: &Endpoint, criteria: &Criteria<'_>) -> bool {
    row.listing.service == criteria.service.name
        && row.is_usable(criteria.now)
        && criteria.versions.allow(&row.listing.version)
        && criteria.is_home(&row.listing.zone)
        && criteria
            .sound_since
            .is_none_or(|since| row.link.is_sound(since))
}

/// Whether an earlier attempt of the request was sent to an endpoint.
fn is_avoided(row: &Endpoint, criteria: &Criteria<'_>) -> bool {
    criteria.avoid.contains(&row.listing.id)
}

/// Ids of the few endpoints on which a new version is tried, the same for all daemons; `None`
/// if all endpoints may be used.
fn trial<'b>(table: &'b EndpointTable, criteria: &Criteria<'_>) -> Option<Vec<&'b str>> {
    let Versions::Only(_, Some(trial)) = criteria.versions else {
        return None;
    };
    let rows = table.rows().iter().filter(|row| is_eligible(row, criteria));
    let ids: Vec<&str> = rows.map(|row| row.listing.id.as_str()).collect();
    let count = ids.len().min(trial.count as usize);
    let first = trial.first as usize % ids.len().max(1);
    Some(ids.into_iter().cycle().skip(first).take(count).collect())
}

fn is_one_of(row: &Endpoint, ids: Option<&[&str]>) -> bool {
    ids.is_none_or(|ids| ids.contains(&row.listing.id.as_str()))
}

/// Whether an endpoint has no room. `step` is the time in which a concurrency limit rises, if the
/// service is brittle.
fn is_full(row: &Endpoint, criteria: &Criteria<'_>, step: Option<Duration>) -> bool {
    if row.full_until.is_some_and(|until| criteria.now < until) {
        return true;
    }
    let slots = f64::from(row.listing.slots.max(1));
    let active = f64::from(row.active_requests());
    if let Some(step) = step {
        // Its queue may be shorter than usual.
        let in_progress = row.in_flight.len() as u32;
        let limit = row.concurrency.as_ref();
        let allowed = limit.is_none_or(|limit| limit.allows(in_progress, step, criteria.now));
        return active >= slots || !allowed;
    }
    match (&criteria.service.engine, criteria.prompt) {
        (Some(_), Some(_)) => active >= slots * FULL_SHARE,
        _ => active >= slots * (1.0 + QUEUED_PER_SLOT),
    }
}

/// Id of the endpoint that all daemons prefer for a session's requests; `None` if the prompt
/// shares no prefix.
fn preferred<'b>(
    table: &'b EndpointTable,
    criteria: &Criteria<'_>,
    shared: &[(PrefixHash, u32)],
) -> Option<&'b str> {
    let (session, _) = shared.last()?;
    let rows = table
        .rows()
        .iter()
        .filter(|row| row.listing.service == criteria.service.name && row.is_usable(criteria.now));
    let rows = rows.filter(|row| {
        criteria.versions.allow(&row.listing.version) && criteria.is_home(&row.listing.zone)
    });
    let rank = |row: &&Endpoint| xxh3_64_with_seed(row.listing.id.as_bytes(), *session);
    rows.max_by_key(rank).map(|row| row.listing.id.as_str())
}

/// Cost of sending the request to this endpoint, in seconds, and the choice that it would be.
fn evaluate(
    row: &Endpoint,
    service_speed: &ServiceSpeed,
    criteria: &Criteria<'_>,
    shared: &[(PrefixHash, u32)],
    preferred: Option<&str>,
) -> (f64, Choice) {
    let crossing = if row.listing.zone == criteria.zone {
        0.0
    } else {
        CROSS_ZONE_COST_S
    };
    let id = row.listing.id.clone();
    let Some(prompt) = criteria.prompt else {
        let load = f64::from(row.active_requests()) / f64::from(row.listing.slots.max(1));
        let wait = Duration::from_secs_f64(load * 0.03);
        let cost = load * 0.03 + crossing;
        let choice = Choice {
            id,
            wait,
            prefill: 0.0,
            ahead: 0.0,
            queue: Duration::ZERO,
            pace: 1.0,
        };
        return (cost, choice);
    };
    let total: u32 = shared.iter().map(|(_, tokens)| tokens).sum();
    let recorded = f64::from(row.cache.cached_tokens(shared));
    let presumed = if preferred == Some(row.listing.id.as_str()) {
        f64::from(total) * PREFERRED_CACHE_SHARE
    } else {
        0.0
    };
    let cached = recorded.max(presumed);
    let prefill = (f64::from(prompt.input) - cached).max(1.0);
    let ahead = row.backlog();
    let line = service_speed.line();
    let usual = row.speed.time_to_first(&line, prefill, ahead);
    let pace = row.pace.expected(usual, criteria.now);
    let slowdown = service_speed.slowdown(pace);
    let wait = usual.mul_f64(slowdown);
    let seconds = wait.as_secs_f64();
    let late = (seconds - criteria.target.as_secs_f64() * ON_TIME_SHARE).max(0.0);
    let repeated = (f64::from(total) - cached).max(0.0);
    let running = f64::from(row.active_requests());
    // Without the caller's estimate only the most that it may be is known.
    let output = prompt.guess.map_or(0, |guess| guess.min(prompt.output));
    let answer = f64::from(output) * service_speed.step_s();
    let cost = seconds
        + late * LATE_FACTOR
        + repeated * REPEATED_PREFILL_FACTOR * service_speed.prefill_s()
        + running * RUNNING_COST_S
        + answer * ANSWER_SHARE * (slowdown - 1.0)
        + crossing;
    (
        cost,
        Choice {
            id,
            wait,
            prefill,
            ahead,
            queue: usual
                .saturating_sub(row.speed.time_to_first(&line, prefill, 0.0))
                .mul_f64(slowdown),
            pace,
        },
    )
}
