//! One request of a caller, from its head to its last byte.

use std::rc::Rc;
use std::time::{Duration, Instant as Std};

use bytes::Bytes;
use poplarvale_lib::http1::{Framing, Request, Response};
use poplarvale_lib::relay::ask::Ask;
use poplarvale_lib::relay::catalog::{Backend, Catalog, Route};
use poplarvale_lib::relay::demand;
use poplarvale_lib::relay::place::{Choice, NoPlace, Wanted, choose};
use poplarvale_lib::relay::quota;
use poplarvale_lib::{Code, EndpointId, Ran};
use poplarvale_platform::{refusal, response_head};
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;

use super::attempt::{Ended, Job, attempt};
use super::state::{Active, State};
use super::stream::{Passed, Patience};

/// Rank of requests whose route and team state none.
const USUAL_RANK: u8 = 5;
/// Most urgent and least urgent rank at an engine.
const MOST_RANK: u8 = 9;
/// When to come back where nothing better is known: after a change of daemons or
/// endpoints has spread.
const SOON: Duration = Duration::from_millis(500);
/// Most endpoints that a request reaches, those that did not run it included.
const MOST_SENDS: u32 = 3;
/// Least silence after which a request is moved; a slow tail of plain answers lasts
/// about 200 ms.
const LEAST_SILENCE: Duration = Duration::from_millis(350);
/// Least time that an endpoint must have for an answer to be worth asking for.
const LEAST: Duration = Duration::from_millis(5);

/// What becomes of the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum After {
    Keep,
    Close,
}

/// An answer of our own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) ran: Ran,
    pub(crate) again: Option<Duration>,
}

impl Refusal {
    /// Not run, and not to be asked again like this.
    pub(crate) fn bad(code: Code) -> Self {
        Self {
            code,
            ran: Ran::No,
            again: None,
        }
    }

    /// Not run; to be asked again after a while.
    pub(crate) fn later(code: Code, again: Duration) -> Self {
        Self {
            code,
            ran: Ran::No,
            again: Some(again),
        }
    }

    /// May have run.
    pub(crate) fn unknown(code: Code) -> Self {
        Self {
            code,
            ran: Ran::Unknown,
            again: None,
        }
    }
}

/// Serves a request whose body was read; `arrived` is when its head was.
pub(crate) async fn serve(
    state: &Rc<State>,
    request: &Request,
    body: &Bytes,
    ask: &Ask,
    arrived: Instant,
    write: &mut WriteHalf<'_>,
) -> After {
    let _active = Active::new(state);
    let keep = request.keep && state.ending.get().is_none();
    let catalog = state.catalog.borrow().clone();
    let Some(catalog) = catalog else {
        let refused = Refusal::later(Code::NoLists, SOON);
        return refuse(write, ask, refused, keep).await;
    };
    let (route, team) = match admit(&catalog, ask) {
        Ok(admitted) => admitted,
        Err(refused) => return refuse(write, ask, refused, keep).await,
    };
    let team = team.map(|at| &catalog.teams[at]);
    let cost = team.map_or(0.0, |team| quota::units(team, ask));
    let allowed = team.map(|team| state.quota.borrow_mut().take(team, cost, Std::now()));
    if let Some(Err(again)) = allowed {
        let refused = Refusal::later(Code::TokenRate, again);
        return refuse(write, ask, refused, keep).await;
    }
    let wait = ask.patience.unwrap_or(route.timeout).min(route.timeout);
    let Some(service) = pick_backend(route).and_then(|name| catalog.service(&name.service)) else {
        let refused = Refusal::later(Code::NoEndpoint, SOON);
        return refuse(write, ask, refused, keep).await;
    };
    if let Some(prompt) = &ask.prompt {
        let work = demand::work(prompt);
        let mut demand = state.demand.borrow_mut();
        demand.ask(&service.name, work, Std::now());
    }
    let job = Job {
        request,
        body,
        ask,
        route,
        team,
        service,
        rank: rank(route, team.and_then(|team| team.rank)),
        deadline: arrived + wait,
    };
    dispatch(state, &job, write, keep).await
}

/// Route and team of a request.
fn admit<'c>(catalog: &'c Catalog, ask: &Ask) -> Result<(&'c Route, Option<usize>), Refusal> {
    let route = catalog
        .route(&ask.host, &ask.path)
        .ok_or(Refusal::bad(Code::NoRoute))?;
    let team = ask.key.as_ref().and_then(|key| catalog.team_of(key));
    if team.is_none() && !route.public && !catalog.teams.is_empty() {
        return Err(Refusal::bad(Code::NoCustomer));
    }
    Ok((route, team))
}

/// A service of the route, drawn by weight.
fn pick_backend(route: &Route) -> Option<&Backend> {
    let total: u32 = route.backends.iter().map(|backend| backend.weight).sum();
    if total == 0 {
        return route.backends.first();
    }
    let mut at = fastrand::u32(..total);
    route.backends.iter().find(|backend| {
        let hit = at < backend.weight;
        at = at.saturating_sub(backend.weight);
        hit
    })
}

fn rank(route: &Route, team: Option<u8>) -> u8 {
    let _ = team;
    route
        .rank
        .saturating_mul(2)
        .min(MOST_RANK)
        .min(USUAL_RANK + 4)
}

/// Sends a request to endpoints until one answers or none may be asked any more.
async fn dispatch(
    state: &Rc<State>,
    job: &Job<'_>,
    write: &mut WriteHalf<'_>,
    keep: bool,
) -> After {
    let mut passed = Passed::nothing(job.ask.resume, keep);
    let mut avoid = Vec::new();
    let mut runs = 0;
    let mut sends = 0;
    let mut limited = false;
    let mut reserved = false;
    state
        .budget
        .borrow_mut()
        .request(&job.service.name, Std::now());
    let mut last: Option<(Response, Bytes)> = None;
    let mut maybe_ran = false;
    loop {
        let now = Instant::now();
        if now + LEAST >= job.deadline {
            break;
        }
        let choice = match pick(state, job, &avoid) {
            Ok(choice) => choice,
            Err(why) if runs == 0 && !maybe_ran => {
                let code = match why {
                    NoPlace::None => Code::NoEndpoint,
                    NoPlace::Full => Code::Full,
                };
                if let Some(team) = job.team {
                    let cost = quota::units(team, job.ask);
                    state.quota.borrow_mut().refund(team, cost);
                }
                return refuse(write, job.ask, Refusal::later(code, SOON), keep).await;
            }
            Err(_) => break,
        };
        let granted = std::mem::take(&mut reserved);
        if sends > 0 && !granted && (sends >= MOST_SENDS || !may_repeat(state, job)) {
            limited = true;
            break;
        }
        avoid.push(choice.id.clone());
        let more = job.route.repeat.may_repeat()
            && runs + 1 < job.route.attempts
            && sends + 1 < MOST_SENDS;
        let mut moves = || {
            reserved = more && pick(state, job, &avoid).is_ok() && may_repeat(state, job);
            reserved
        };
        let patience = patience(job, choice.wait, now, &mut moves);
        let ended = attempt(state, job, &choice, &mut passed, write, patience).await;
        match ended {
            Ended::Streamed => return after(keep),
            Ended::CallerGone => return After::Close,
            Ended::NotSent => {}
            Ended::NotRun => sends += 1,
            Ended::Whole(head, body) => {
                sends += 1;
                let again = head.status >= 500 && job.route.repeat.may_repeat() && !passed.begun;
                runs += 1;
                if !again || runs >= job.route.attempts {
                    if passed.begun {
                        return After::Close;
                    }
                    return answer(write, &head, &body, keep).await;
                }
                last = Some((head, body));
            }
            Ended::Broken(_) => {
                runs += 1;
                sends += 1;
                maybe_ran = true;
                if !job.route.repeat.may_repeat() || runs >= job.route.attempts {
                    break;
                }
            }
        }
    }
    if passed.begun {
        // The caller has a part; only a broken connection tells that it is not all.
        return After::Close;
    }
    if let Some((head, body)) = last {
        return answer(write, &head, &body, keep).await;
    }
    if let Some(team) = job.team
        && !maybe_ran
    {
        let cost = quota::units(team, job.ask);
        state.quota.borrow_mut().refund(team, cost);
    }
    let refused = if maybe_ran && Instant::now() + LEAST >= job.deadline {
        Refusal::unknown(Code::Overdue)
    } else if maybe_ran {
        Refusal::unknown(Code::Broken)
    } else if limited {
        Refusal::later(Code::Full, SOON)
    } else {
        Refusal::later(Code::NoEndpoint, SOON)
    };
    refuse(write, job.ask, refused, keep).await
}

/// Whether the request may be sent once more.
fn may_repeat(state: &State, job: &Job<'_>) -> bool {
    let now = Std::now();
    let daemons = state.peers.borrow().lately(now).len() + 1;
    let mut budget = state.budget.borrow_mut();
    budget.repeat(&job.service.name, daemons, now)
}

/// An endpoint for the request, other than those it was at.
fn pick(state: &State, job: &Job<'_>, avoid: &[EndpointId]) -> Result<Choice, NoPlace> {
    let wanted = Wanted {
        service: job.service,
        prompt: job.ask.prompt.as_ref(),
        zone: &state.site.zone,
        avoid,
        now: Std::now(),
    };
    choose(&state.board.borrow(), &wanted)
}

/// How long an endpoint may be silent before the request is moved, if it can be.
fn patience<'m>(
    job: &Job<'_>,
    wait: Duration,
    now: Instant,
    moves: &'m mut dyn FnMut() -> bool,
) -> Patience<'m> {
    let first = (wait * 3).max(job.route.target * 3 / 2).max(LEAST_SILENCE);
    Patience {
        first: now + first,
        pause: job.route.pause.unwrap_or(job.route.target) * 3,
        deadline: job.deadline,
        moves,
    }
}

fn after(keep: bool) -> After {
    if keep { After::Keep } else { After::Close }
}

/// Passes an endpoint's whole answer on.
async fn answer(write: &mut WriteHalf<'_>, head: &Response, body: &Bytes, keep: bool) -> After {
    let mut out = response_head(head, Framing::Length(body.len() as u64), keep);
    out.extend_from_slice(body);
    match write.write_all(&out).await {
        Ok(()) => after(keep),
        Err(_) => After::Close,
    }
}

/// Gives an answer of our own.
pub(crate) async fn refuse(
    write: &mut WriteHalf<'_>,
    ask: &Ask,
    refused: Refusal,
    keep: bool,
) -> After {
    log::info!(
        "refuse: {} {} ran {}.",
        ask.id,
        refused.code,
        refused.ran.word()
    );
    let out = refusal(
        refused.code,
        refused.ran,
        Some(&ask.id),
        refused.again,
        keep,
    );
    match write.write_all(&out).await {
        Ok(()) => after(keep),
        Err(_) => After::Close,
    }
}
