//! One request of a caller, from its head to its last byte.

use std::rc::Rc;
use std::time::{Duration, Instant as Std};

use bytes::Bytes;
use poplarvale_lib::http1::{Framing, Request, Response};
use poplarvale_lib::relay::catalog::{Backend, Catalog, Route};
use poplarvale_lib::relay::demand;
use poplarvale_lib::relay::quota;
use poplarvale_lib::relay::request::RequestHead;
use poplarvale_lib::relay::rollout::Versions;
use poplarvale_lib::{Code, Ran};
use poplarvale_platform::{refusal, response_head};
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;

use super::attempt::Job;
use super::crash::{LazyFingerprint, quarantine_left};
use super::dispatch::dispatch;
use super::state::State;

/// Rank of a team that states none.
const USUAL_RANK: u8 = 1;
/// Ranks that are told apart, and the least urgent of them: engines take 0 to 9,
/// three for the team times three for the route.
const RANKS: u8 = 3;
const LAST_RANK: u8 = RANKS - 1;
/// When to come back where nothing better is known: after a change of daemons or
/// endpoints has spread.
pub(crate) const SOON: Duration = Duration::from_millis(500);

/// Share by which the time to come back is spread.
const SPREAD: f64 = 0.3;

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
    head: &RequestHead,
    arrived: Instant,
    write: &mut WriteHalf<'_>,
) -> After {
    let keep = request.keep_alive && state.life().is_serving();
    let catalog = state.catalog.borrow().clone();
    let Some(catalog) = catalog else {
        let refused = Refusal::later(Code::NoLists, SOON);
        return refuse(state, write, head, refused, keep).await;
    };
    let (route, team) = match admit(&catalog, head) {
        Ok(admitted) => admitted,
        Err(refused) => return refuse(state, write, head, refused, keep).await,
    };
    let team = team.map(|at| &catalog.teams[at]);
    let wait = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = (arrived + wait).into_std();
    if !state.life().serves(deadline, Std::now()) {
        let refused = Refusal::later(Code::Draining, SOON);
        return refuse(state, write, head, refused, keep).await;
    }
    let Some(service) = pick_backend(route).and_then(|name| catalog.service(&name.service)) else {
        let refused = Refusal::later(Code::NoEndpoint, SOON);
        return refuse(state, write, head, refused, keep).await;
    };
    let name = team.map_or("", |team| team.name.as_str());
    let content = LazyFingerprint::new(name, &head.host, request, body);
    if let Some(left) = quarantine_left(state, &content) {
        let refused = Refusal::later(Code::Quarantined, left);
        return refuse(state, write, head, refused, keep).await;
    }
    let cost = team.map_or(0.0, |team| quota::units(team, head));
    let allowed = team.map(|team| state.quota.borrow_mut().admit(team, cost, Std::now()));
    if let Some(Err(again)) = allowed {
        let refused = Refusal::later(Code::TokenRate, again);
        return refuse(state, write, head, refused, keep).await;
    }
    if let Some(prompt) = &head.prompt {
        let work = demand::work(prompt);
        let mut demand = state.demand.borrow_mut();
        demand.record(&service.name, work, Std::now());
    }
    let job = Job {
        request,
        body,
        head,
        route,
        team,
        service,
        rank: rank(route, team.and_then(|team| team.rank)),
        arrived,
        deadline: arrived + wait,
        version: catalog.version,
        versions: versions(state, &service.name),
        content,
    };
    dispatch(state, &job, write, keep).await
}

/// Versions of a service that a new request may go to.
fn versions(state: &State, service: &str) -> Versions {
    let olds = |version: &str| {
        let table = state.endpoints.borrow();
        table.count_other_versions(service, version).0
    };
    let mut rollouts = state.rollouts.borrow_mut();
    rollouts.choose_versions(service, olds, state.true_ms())
}

/// Route and team of a request.
fn admit<'c>(
    catalog: &'c Catalog,
    head: &RequestHead,
) -> Result<(&'c Route, Option<usize>), Refusal> {
    let route = catalog
        .route(&head.host, &head.path)
        .ok_or(Refusal::bad(Code::NoRoute))?;
    let team = head.key.as_ref().and_then(|key| catalog.team_of(key));
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

/// Rank at an engine: the team's goes first, the route's decides within it.
fn rank(route: &Route, team: Option<u8>) -> u8 {
    team.unwrap_or(USUAL_RANK).min(LAST_RANK) * RANKS + route.rank.min(LAST_RANK)
}

pub(crate) fn after(keep: bool) -> After {
    if keep { After::Keep } else { After::Close }
}

/// Passes an endpoint's whole answer on.
pub(crate) async fn answer(
    write: &mut WriteHalf<'_>,
    head: &Response,
    body: &Bytes,
    keep: bool,
) -> After {
    let mut out = response_head(head, Framing::Length(body.len() as u64), keep);
    out.extend_from_slice(body);
    match write.write_all(&out).await {
        Ok(()) => after(keep),
        Err(_) => After::Close,
    }
}

/// Gives an answer of our own.
pub(crate) async fn refuse(
    state: &State,
    write: &mut WriteHalf<'_>,
    head: &RequestHead,
    refused: Refusal,
    keep: bool,
) -> After {
    let code = refused.code.number();
    state.measure(|metrics| metrics.record_request("", code, Duration::ZERO));
    log::info!(
        request = head.id.as_str(), path = head.path.as_str(), code, ran = refused.ran.word(),
        again_ms = refused.again.map_or(0, |again| again.as_millis() as u64),
        catalog = state.catalog.borrow().as_ref().map_or(0, |held| held.version),
        store_heard_ms = state.contact.get().since_answer(Std::now()).as_millis() as u64;
        "refuse: {}", refused.code.title()
    );
    // Those who are refused at one moment must not come back at one moment.
    let again = refused
        .again
        .map(|again| again.mul_f64(1.0 + SPREAD * fastrand::f64()));
    let out = refusal(refused.code, refused.ran, Some(&head.id), again, keep);
    match write.write_all(&out).await {
        Ok(()) => after(keep),
        Err(_) => After::Close,
    }
}
