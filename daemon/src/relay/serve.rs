//! Serves one request of a caller: admits it or rejects it, and has it sent to an endpoint.
//!
//! A request is rejected here, before any endpoint gets it, if there is no configuration, no
//! route or no known team, if the daemon shuts down, or if the request is quarantined or its team
//! is over its rate. Every rejection states whether the request ran and when a retry is useful.

use std::rc::Rc;
use std::time::{Duration, Instant as Std};

use bytes::Bytes;
use poplarvale_lib::http1::{Framing, Request, Response};
use poplarvale_lib::relay::catalog::{Backend, Catalog, Route, Service, Team};
use poplarvale_lib::relay::demand;
use poplarvale_lib::relay::handling::handling;
use poplarvale_lib::relay::homes::home_zones;
use poplarvale_lib::relay::quota::division::{self, Kind};
use poplarvale_lib::relay::quota::{self, Cost};
use poplarvale_lib::relay::request::{Origin, RequestHead};
use poplarvale_lib::relay::rollout::Versions;
use poplarvale_lib::{Code, Ran, ServiceId};
use poplarvale_platform::{read_handling, read_runs_left, rejection_response, response_head};
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;

use super::attempt::Job;
use super::crash::{Clearance, LazyFingerprint, clearance};
use super::dispatch::{dispatch, dispatch_to_daemons};
use super::reach::{ServiceReach, service_reach, take_trial};
use super::startup;
use super::state::State;
use super::upstream::UsedConnections;

/// Rank of a team whose settings give none.
const DEFAULT_RANK: u8 = 1;
/// Number of ranks of a team and of a route. Engines accept ranks 0 to 9, and each pair of a
/// team's rank and a route's rank has its own.
const RANK_COUNT: u8 = division::RANKS;
/// Least urgent rank of a team or a route.
const LEAST_URGENT: u8 = RANK_COUNT - 1;
/// Time after which a caller may retry if nothing better is known: by then a change of daemons
/// or endpoints has reached all daemons.
pub(crate) const RETRY_SOON: Duration = Duration::from_millis(500);

/// Random addition to the retry time of a rejection, at most this fraction of it.
const RETRY_JITTER: f64 = 0.3;

/// Whether the caller's connection is kept after a response, like the HTTP field of that name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connection {
    KeepAlive,
    Close,
}

/// Error response that the daemon sends itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rejection {
    pub(crate) code: Code,
    /// Whether an endpoint ran the request.
    pub(crate) ran: Ran,
    /// When the caller may retry; `None` if a retry would be rejected too or might run the request
    /// twice.
    pub(crate) retry_after: Option<Duration>,
}

impl Rejection {
    /// The request did not run, and the same request would be rejected again.
    pub(crate) fn permanent(code: Code) -> Self {
        Self {
            code,
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// The request did not run and may be retried after this time.
    pub(crate) fn retry_later(code: Code, retry_after: Duration) -> Self {
        Self {
            code,
            ran: Ran::No,
            retry_after: Some(retry_after),
        }
    }

    /// The request may have run.
    pub(crate) fn unknown_outcome(code: Code) -> Self {
        Self {
            code,
            ran: Ran::Unknown,
            retry_after: None,
        }
    }
}

/// Rejection of a request that this daemon does not serve now. Another daemon can still try a
/// further one; a caller comes back.
pub(crate) fn not_served(origin: Origin, code: Code) -> Rejection {
    match origin {
        Origin::Caller => Rejection::retry_later(code, RETRY_SOON),
        Origin::Daemon => Rejection::permanent(Code::NotTaken),
    }
}

/// A request whose body was read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Received<'r> {
    pub(crate) request: &'r Request,
    pub(crate) body: &'r Bytes,
    pub(crate) head: &'r RequestHead,
    /// When its head was read; its timeout counts from then.
    pub(crate) arrived: Instant,
    pub(crate) origin: Origin,
}

/// Serves a request.
pub(crate) async fn serve(
    state: &Rc<State>,
    received: &Received<'_>,
    write: &mut WriteHalf<'_>,
) -> Connection {
    let Received {
        request,
        body,
        head,
        arrived,
        origin,
    } = *received;
    let keep = request.keep_alive && state.phase().is_serving();
    if origin == Origin::Caller && !state.start.is_ready() {
        startup::hold(state, body.len()).await;
    }
    let catalog = state.catalog.borrow().clone();
    let Some(catalog) = catalog else {
        let rejection = not_served(origin, Code::NoLists);
        return reject(state, write, (head, None, None), rejection, keep).await;
    };
    let found = route_and_team(&catalog, head);
    if origin == Origin::Daemon && !is_handled_alike(request, &catalog, &found) {
        // Whatever differs does not last, and does not concern other requests.
        let rejection = Rejection::retry_later(Code::NotTaken, Duration::ZERO);
        return reject(state, write, (head, None, None), rejection, keep).await;
    }
    let (route, team) = match found {
        Ok(found) => found,
        Err(rejection) => return reject(state, write, (head, None, None), rejection, keep).await,
    };
    let team = team.map(|at| &catalog.teams[at]);
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = (arrived + timeout).into_std();
    let now = Std::now();
    let expected = expected_end(state, route, deadline, now);
    if !state.phase().serves(deadline, expected, now) {
        let rejection = not_served(origin, Code::Draining);
        return reject(state, write, (head, Some(route), None), rejection, keep).await;
    }
    let homes = home_zones(
        &state.settings.regions,
        &route.regions,
        team.map_or(&[], |team| &team.regions),
    );
    let Some(service) = pick_backend(route).and_then(|backend| catalog.service(&backend.service))
    else {
        let rejection = Rejection::retry_later(Code::NoEndpoint, RETRY_SOON);
        return reject(state, write, (head, Some(route), None), rejection, keep).await;
    };
    let known = (head, Some(route), Some(service));
    let reach = service_reach(state, &service.name);
    if reach != ServiceReach::All && origin == Origin::Daemon {
        let rejection = Rejection::permanent(Code::NotTaken);
        return reject(state, write, known, rejection, keep).await;
    }
    let tries_reach = reach != ServiceReach::All && tries_reach(state, route, &service.name);
    let is_cut_off = reach == ServiceReach::None && !tries_reach;
    let name = team.map_or("", |team| team.name.as_str());
    let mut job = Job {
        request,
        body,
        head,
        route,
        team,
        service,
        rank: rank(route, team.and_then(|team| team.rank)),
        arrived,
        deadline: arrived + timeout,
        version: catalog.version,
        versions: Versions::Any,
        homes,
        fingerprint: LazyFingerprint::new(name, head, request, body),
        is_trial: false,
        origin,
        max_runs: max_runs(request, route, origin),
        // Otherwise no other daemon has taken it.
        may_forward: origin == Origin::Caller && !is_cut_off,
        tries_reach,
        queue_share: 1.0,
        used: UsedConnections::default(),
    };
    if is_cut_off {
        record_request(state, &job);
        if let Some(done) = dispatch_to_daemons(state, &job, write, keep).await {
            return done;
        }
    }
    // Only a request that its team may send uses up a trial, or waits while there is doubt.
    if let Some(Err(rejection)) = team.map(|team| admit(state, head, team, route)) {
        return reject(state, write, known, rejection, keep).await;
    }
    if let Err(rejection) = clear(state, &mut job).await {
        return reject(state, write, known, rejection, keep).await;
    }
    record_demand(state, &job);
    job.queue_share = team.map_or(1.0, |team| fair_share(state, &catalog, team, &service.name));
    job.versions = versions(state, &service.name);
    if !is_cut_off {
        record_request(state, &job);
    }
    dispatch(state, &job, write, keep).await
}

/// When a request that arrives now is expected to have ended, by what the latest ones of its route have taken. Nothing
/// tells how long the first stream of a route will take, so it counts until its deadline.
fn expected_end(state: &State, route: &Route, deadline: Std, now: Std) -> Std {
    let longest = state.answer_times.borrow().longest(&route.name);
    let is_stream = route.retry_policy.is_stream();
    match longest {
        None if is_stream => deadline,
        longest => now + longest.unwrap_or_default().max(route.target),
    }
}

/// Whether an admitted request may be sent, as far as crashes of endpoints are known. One that may not
/// does not count against the allowance of its team.
async fn clear(state: &State, job: &mut Job<'_>) -> Result<(), Rejection> {
    match clearance(state, &job.fingerprint, job.deadline.into()).await {
        Clearance::Clear => Ok(()),
        Clearance::Trial => {
            log::info!(
                request = job.head.id.as_str();
                "crash: request is tried, as it may not be what crashed the endpoints."
            );
            job.is_trial = true;
            Ok(())
        }
        Clearance::Quarantined(left) => {
            if let Some(team) = job.team {
                refund(state, team, job.head, job.route);
            }
            Err(Rejection::retry_later(Code::Quarantined, left))
        }
    }
}

/// How often a request may run. One that another daemon forwards may have run before.
fn max_runs(request: &Request, route: &Route, origin: Origin) -> u32 {
    let left = (origin == Origin::Daemon).then(|| read_runs_left(request));
    left.flatten()
        .map_or(route.attempts, |left| left.min(route.attempts))
}

/// Counts a request against the allowance of its team.
fn admit(state: &State, head: &RequestHead, team: &Team, route: &Route) -> Result<(), Rejection> {
    let cost = cost(team, head, route);
    let admission = state.quota.borrow_mut().admit(team, cost, Std::now());
    let outcome = if admission.is_ok() {
        "admitted"
    } else {
        "rejected"
    };
    record_units(state, team, cost, outcome);
    admission.map_err(|retry_after| {
        log_standing(state, head, team, cost);
        Rejection::retry_later(Code::TokenRate, retry_after)
    })
}

/// Share of the longest queue at an engine that requests of a team may join now.
fn fair_share(state: &State, catalog: &Catalog, team: &Team, service: &ServiceId) -> f64 {
    let now = Std::now();
    let mut shares = state.fair_shares.borrow_mut();
    if shares.is_due(now) {
        let loads = state.quota.borrow().team_loads(&catalog.teams, now);
        shares.update(&loads, now);
    }
    shares.share(quota::name_hash(&team.name), service, now)
}

/// What a request counts against the allowance of its team.
fn cost(team: &Team, head: &RequestHead, route: &Route) -> Cost {
    Cost {
        units: quota::units(team, head),
        rank: route.rank,
    }
}

/// Returns the units of a request that did not run to its team.
pub(crate) fn refund(state: &State, team: &Team, head: &RequestHead, route: &Route) {
    let cost = cost(team, head, route);
    state.quota.borrow_mut().refund(team, cost);
    record_units(state, team, cost, "returned");
}

/// Counts the units of a request of a team that has a rate.
fn record_units(state: &State, team: &Team, cost: Cost, outcome: &'static str) {
    if team.rate.is_some() {
        let kind = Kind::of(cost).name();
        state.measure(|metrics| metrics.record_units(&team.name, kind, outcome, cost.units));
    }
}

/// Counts the work of a request. The daemon that forwards one counts it.
pub(crate) fn record_demand(state: &State, job: &Job<'_>) {
    if let Some(prompt) = &job.head.prompt
        && job.origin == Origin::Caller
    {
        let work = demand::work(prompt);
        let mut demand = state.demand.borrow_mut();
        demand.record(&job.service.name, work, Std::now());
    }
}

/// Counts a request for the retry budget of its service.
fn record_request(state: &State, job: &Job<'_>) {
    let mut budget = state.budget.borrow_mut();
    budget.record_request(&job.service.name, job.origin, Std::now());
}

/// Whether a request is sent to an endpoint first though its service is not reached.
fn tries_reach(state: &State, route: &Route, service: &ServiceId) -> bool {
    let mut budget = state.budget.borrow_mut();
    let has_budget = budget.allows_retry(service, Std::now());
    drop(budget);
    take_trial(state, service, route.retry_policy, has_budget)
}

/// Logs what a rejection by a team's allowance is based on; a few times a second, as a flood is
/// rejected request by request.
fn log_standing(state: &State, head: &RequestHead, team: &Team, cost: Cost) {
    let now = Std::now();
    if !state.sampler.allows(now) {
        return;
    }
    if let Some(known) = state.quota.borrow().standing(team, cost, now) {
        log::info!(
            request = head.id.as_str(), team = team.name.as_str(), units = cost.units as u64,
            kind = known.kind.name(), kind_share = known.kind_share as u64,
            kind_demand = known.kind_demand as u64, available = known.available as i64, depth = known.depth as u64,
            rate = known.rate as u64, demand = known.demand as u64,
            own_demand = known.own_demand as u64, isolated = known.isolated,
            peers = known.peers, silent = known.unresponsive;
            "quota: the team's allowance does not cover the request."
        );
    }
}

/// Versions of a service that a new request may be sent to.
fn versions(state: &State, service: &str) -> Versions {
    let endpoints = |version: &str| {
        let table = state.endpoints.borrow();
        table.version_endpoints(service, version)
    };
    let mut rollouts = state.rollouts.borrow_mut();
    rollouts.choose_versions(service, endpoints, state.unix_ms())
}

/// Finds the route of a request, and its team by its key. A request without a known team is
/// rejected unless its route is public or no teams are configured.
fn route_and_team<'c>(
    catalog: &'c Catalog,
    head: &RequestHead,
) -> Result<(&'c Route, Option<usize>), Rejection> {
    let route = catalog
        .route(&head.host, &head.path)
        .ok_or(Rejection::permanent(Code::NoRoute))?;
    let team = head.key.as_ref().and_then(|key| catalog.team_of(key));
    if team.is_none() && !route.public && !catalog.teams.is_empty() {
        return Err(Rejection::permanent(Code::NoCustomer));
    }
    Ok((route, team))
}

/// Whether this daemon would handle a request as the one that forwards it. Otherwise the caller would
/// get a configuration that the daemon it is connected to does not have in force.
fn is_handled_alike(
    request: &Request,
    catalog: &Catalog,
    found: &Result<(&Route, Option<usize>), Rejection>,
) -> bool {
    let Some(theirs) = read_handling(request) else {
        return true;
    };
    found
        .as_ref()
        .is_ok_and(|(route, team)| handling(route, team.map(|at| &catalog.teams[at])) == theirs)
}

/// Chooses a service of the route at random, by weight.
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

/// Rank of a request at an engine: requests are ordered by the rank of their team, and those of
/// teams of equal rank by the rank of their route.
fn rank(route: &Route, team: Option<u8>) -> u8 {
    team.unwrap_or(DEFAULT_RANK).min(LEAST_URGENT) * RANK_COUNT + route.rank.min(LEAST_URGENT)
}

pub(crate) fn connection(keep: bool) -> Connection {
    if keep {
        Connection::KeepAlive
    } else {
        Connection::Close
    }
}

/// Forwards the complete response of an endpoint to the caller.
pub(crate) async fn forward_response(
    write: &mut WriteHalf<'_>,
    head: &Response,
    body: &Bytes,
    keep: bool,
) -> Connection {
    let mut out = response_head(head, Framing::Length(body.len() as u64), keep);
    out.extend_from_slice(body);
    match write.write_all(&out).await {
        Ok(()) => connection(keep),
        Err(_) => Connection::Close,
    }
}

/// Sends an error response of the daemon itself to a request of this route and service, as far as they
/// are known.
pub(crate) async fn reject(
    state: &State,
    write: &mut WriteHalf<'_>,
    (head, route, service): (&RequestHead, Option<&Route>, Option<&Service>),
    rejection: Rejection,
    keep: bool,
) -> Connection {
    let code = rejection.code.number();
    let route = route.map_or("", |route| route.name.as_str());
    state.measure(|metrics| metrics.record_request(route, code, Duration::ZERO));
    log::info!(
        request = head.id.as_str(), path = head.path.as_str(), route,
        service = service.map_or("", |service| service.name.as_str()), code,
        ran = rejection.ran.word(),
        again_ms = rejection.retry_after.map_or(0, |time| time.as_millis() as u64),
        catalog = state.catalog.borrow().as_ref().map_or(0, |catalog| catalog.version),
        store_heard_ms = state.connectivity.get().since_answer(Std::now()).as_millis() as u64;
        "refuse: {}", rejection.code.title()
    );
    // Callers that are rejected at the same time must not all retry at the same time.
    let retry_after = rejection
        .retry_after
        .map(|time| time.mul_f64(1.0 + RETRY_JITTER * fastrand::f64()));
    let out = rejection_response(
        rejection.code,
        rejection.ran,
        Some(&head.id),
        retry_after,
        keep,
    );
    match write.write_all(&out).await {
        Ok(()) => connection(keep),
        Err(_) => Connection::Close,
    }
}
