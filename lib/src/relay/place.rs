//! Which endpoint gets a request.
//!
//! Load: long prompts among short ones, sessions whose prompts share a beginning,
//! and many daemons that choose at the same time from stale figures. Choosing the
//! fewest requests sends a short question behind a long prompt and reads shared
//! beginnings again at every engine. Here the endpoint with the earliest predicted
//! first event wins; for a session, all daemons agree without talk on a first
//! choice by rendezvous hashing, and leave it only when another endpoint would
//! answer noticeably sooner.
//!
//! Plain requests take less time than the word on an endpoint's load takes to reach the
//! other daemons. If all chose from the whole list, each would send its requests to the
//! endpoint that looked idle last, until the next word. So a plain request is weighed
//! between few endpoints: drawn ones of its zone, and one of another zone.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::admit::{Limits, MAX_RETRY_AFTER};
use super::ask::Prompt;
use super::board::{Board, Endpoint, Flight};
use super::cache::{Chain, chains};
use super::catalog::Service;
use super::engine::Pace;
use super::rollout::Versions;
use crate::EndpointId;

/// What an endpoint in another zone must gain, in seconds. Crossing costs about 3 ms
/// for the way and back and is paid for by the byte.
const OTHER_ZONE: f64 = 0.006;
/// Advantage that the first choice of a session has, as a share of the time that
/// reading its shared beginning takes.
const PRESUMED: f64 = 0.8;
/// Price of a shared token that is read again, in times of reading it: the same engine
/// time is then missing to others. At five times, a long session's request waits up to
/// half a second more for the engine that holds its beginning, where engines read fifty
/// tokens a millisecond.
const READ_AGAIN: f64 = 5.0;
/// Share of the target up to which waiting costs no more than its time, and the
/// factor beyond it, where answers begin to be late.
const ON_TIME: f64 = 0.6;
const LATE: f64 = 4.0;
/// Price of one more running request at an engine, in seconds of its own answer:
/// each lengthens all steps of the others by about a fortieth.
const RUNNING: f64 = 0.002;
/// Share of an engine's places that daemons fill before they take it as full; what
/// other daemons sent since their last digest fills the rest.
const FILL: f64 = 1.0;
/// Requests that a plain endpoint may have waiting for each of its slots; its own
/// queue is four times its slots, shared by all daemons.
const QUEUE: f64 = 2.0;
/// Endpoints that a plain request is weighed between: of its own zone, and of others.
const NEAR: usize = 2;
const FAR: usize = 1;

/// What is asked of the board.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'r> {
    /// Service.
    pub service: &'r Service,
    /// Prompt; `None` for plain requests.
    pub prompt: Option<&'r Prompt>,
    /// Time within which the first event is on time.
    pub target: Duration,
    /// Zone of this daemon.
    pub zone: &'r str,
    /// Endpoints that this request was at before.
    pub avoid: &'r [EndpointId],
    /// Versions that it may go to while its service moves from one to another.
    pub versions: &'r Versions,
    /// What it may wait for at an engine; `None` if it is sent whatever waits there.
    pub limits: Option<Limits>,
    /// Drawn by chance for each request, so that daemons do not all choose alike.
    pub draw: u64,
    /// Now.
    pub now: Instant,
}

/// The endpoint to send to.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its id.
    pub id: EndpointId,
    /// Predicted time until the first event or answer.
    pub wait: Duration,
    /// Prompt tokens that it will have to read.
    pub own: f64,
    /// Prompt tokens ahead of them.
    pub ahead: f64,
    /// Predicted time that those ahead take.
    pub queue: Duration,
}

/// Why no endpoint can get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlace {
    /// None is registered, or all are left out.
    None,
    /// All are full.
    Full,
    /// It would wait too long; there will be room after this time.
    Busy(Duration),
}

/// Chooses an endpoint.
///
/// # Errors
/// If none can take the request now.
pub fn choose(board: &Board, wanted: &Wanted<'_>) -> Result<Choice, NoPlace> {
    if wanted.prompt.is_some() {
        return best(board, wanted, None);
    }
    let drawn = drawn(board, wanted);
    best(board, wanted, Some(&drawn)).or_else(|_| best(board, wanted, None))
}

/// The best endpoint, of those with these ids or of all.
fn best(board: &Board, wanted: &Wanted<'_>, among: Option<&[&str]>) -> Result<Choice, NoPlace> {
    let shared = wanted.prompt.map(chains).unwrap_or_default();
    let favourite = favourite(board, wanted, &shared);
    let tried = tried(board, wanted);
    let pace = board.pace(&wanted.service.name);
    let mut best: Option<(f64, Choice)> = None;
    let mut full = false;
    let mut limited: Option<Duration> = None;
    for row in board.rows() {
        let may = is_one_of(row, among) && is_one_of(row, tried.as_deref());
        if !may || !serves(row, wanted) {
            continue;
        }
        if is_full(row, wanted) {
            full = true;
            continue;
        }
        if let Some(wait) = limited_for(row, wanted.now) {
            limited = Some(limited.map_or(wait, |least| least.min(wait)));
            continue;
        }
        let (cost, choice) = weigh(row, pace, wanted, &shared, favourite);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    match best {
        Some((_, choice)) => {
            let checked = wanted
                .limits
                .map(|row| row.check(choice.queue, choice.wait));
            match checked {
                Some(Err(again)) => Err(NoPlace::Busy(again)),
                Some(Ok(())) | None => Ok(choice),
            }
        }
        None if full => Err(NoPlace::Full),
        None => Err(limited.map_or(NoPlace::None, |wait| {
            NoPlace::Busy(wait.min(MAX_RETRY_AFTER))
        })),
    }
}

/// Ids of the endpoints that a plain request is weighed between.
fn drawn<'b>(board: &'b Board, wanted: &Wanted<'_>) -> Vec<&'b str> {
    let rows = board.rows().iter();
    let rows = rows.filter(|row| {
        serves(row, wanted) && !is_full(row, wanted) && limited_for(row, wanted.now).is_none()
    });
    let rank = |row: &&Endpoint| xxh3_64_with_seed(row.listing.id.as_bytes(), wanted.draw);
    let mut rows: Vec<&Endpoint> = rows.collect();
    rows.sort_by_cached_key(rank);
    let (mut near, mut far): (Vec<_>, Vec<_>) = rows
        .into_iter()
        .partition(|row| row.listing.zone == wanted.zone);
    near.truncate(NEAR);
    far.truncate(if near.is_empty() { NEAR } else { FAR });
    near.append(&mut far);
    near.into_iter()
        .map(|row| row.listing.id.as_str())
        .collect()
}

/// Books a chosen request at its endpoint.
pub fn book(board: &mut Board, wanted: &Wanted<'_>, choice: &Choice, number: u64) {
    let Some(row) = board.get_mut(&choice.id) else {
        return;
    };
    let (memory, capacity) = match (wanted.prompt, &wanted.service.engine) {
        (Some(prompt), Some(engine)) => (memory(prompt), engine.tokens),
        _ => (0, 0),
    };
    row.send(Flight {
        number,
        own: choice.own,
        ahead: choice.ahead,
        memory,
        sent: wanted.now,
        began: None,
    });
    if let Some(prompt) = wanted.prompt {
        row.cache.note(&chains(prompt), capacity, wanted.now);
    }
}

/// Tokens that a request will hold at its end, by the caller's guess.
pub fn memory(prompt: &Prompt) -> u64 {
    let output = prompt.guess.unwrap_or(prompt.output).min(prompt.output);
    u64::from(prompt.input) + u64::from(output)
}

fn serves(row: &Endpoint, wanted: &Wanted<'_>) -> bool {
    row.listing.service == wanted.service.name
        && row.is_usable(wanted.now)
        && wanted.versions.allow(&row.listing.version)
        && !wanted.avoid.contains(&row.listing.id)
}

/// The few endpoints on which a version is tried, the same for all daemons; `None`
/// if all may be used.
fn tried<'b>(board: &'b Board, wanted: &Wanted<'_>) -> Option<Vec<&'b str>> {
    let Versions::Only(_, Some(most)) = wanted.versions else {
        return None;
    };
    let rows = board.rows().iter().filter(|row| serves(row, wanted));
    let ids = rows.map(|row| row.listing.id.as_str());
    Some(ids.take(*most as usize).collect())
}

fn is_one_of(row: &Endpoint, ids: Option<&[&str]>) -> bool {
    ids.is_none_or(|ids| ids.contains(&row.listing.id.as_str()))
}

fn is_full(row: &Endpoint, wanted: &Wanted<'_>) -> bool {
    if row.full.is_some_and(|until| wanted.now < until) {
        return true;
    }
    let slots = f64::from(row.listing.slots.max(1));
    let busy = f64::from(row.busy());
    match (&wanted.service.engine, wanted.prompt) {
        (Some(_), Some(_)) => busy >= slots * FILL,
        _ => busy >= slots * (1.0 + QUEUE),
    }
}

/// How long the limit that an endpoint names keeps this daemon from sending to it; `None` if
/// it does not.
fn limited_for(row: &Endpoint, now: Instant) -> Option<Duration> {
    row.limit.as_ref()?.check(now).err()
}

/// The endpoint that all daemons try first for a session's requests.
fn favourite<'b>(
    board: &'b Board,
    wanted: &Wanted<'_>,
    shared: &[(Chain, u32)],
) -> Option<&'b str> {
    let (session, _) = shared.last()?;
    let rows = board
        .rows()
        .iter()
        .filter(|row| row.listing.service == wanted.service.name && row.is_usable(wanted.now));
    let rows = rows.filter(|row| wanted.versions.allow(&row.listing.version));
    let rank = |row: &&Endpoint| xxh3_64_with_seed(row.listing.id.as_bytes(), *session);
    rows.max_by_key(rank).map(|row| row.listing.id.as_str())
}

fn weigh(
    row: &Endpoint,
    pace: &Pace,
    wanted: &Wanted<'_>,
    shared: &[(Chain, u32)],
    favourite: Option<&str>,
) -> (f64, Choice) {
    let far = if row.listing.zone == wanted.zone {
        0.0
    } else {
        OTHER_ZONE
    };
    let id = row.listing.id.clone();
    let Some(prompt) = wanted.prompt else {
        let load = f64::from(row.busy()) / f64::from(row.listing.slots.max(1));
        let wait = Duration::from_secs_f64(load * 0.03);
        let cost = load * 0.03 + far;
        let choice = Choice {
            id,
            wait,
            own: 0.0,
            ahead: 0.0,
            queue: Duration::ZERO,
        };
        return (cost, choice);
    };
    let total: u32 = shared.iter().map(|(_, tokens)| tokens).sum();
    let held = f64::from(row.cache.held(shared));
    let presumed = if favourite == Some(row.listing.id.as_str()) {
        f64::from(total) * PRESUMED
    } else {
        0.0
    };
    let kept = held.max(presumed);
    let own = (f64::from(prompt.input) - kept).max(1.0);
    let ahead = row.backlog();
    let wait = row.speed.first(&pace.line(), own, ahead);
    let seconds = wait.as_secs_f64();
    let late = (seconds - wanted.target.as_secs_f64() * ON_TIME).max(0.0);
    let again = (f64::from(total) - kept).max(0.0);
    let running = f64::from(row.busy());
    let cost = seconds + late * LATE + again * READ_AGAIN * pace.read() + running * RUNNING + far;
    (
        cost,
        Choice {
            id,
            wait,
            own,
            ahead,
            queue: wait.saturating_sub(row.speed.first(&pace.line(), own, 0.0)),
        },
    )
}
