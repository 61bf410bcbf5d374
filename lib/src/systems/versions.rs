//! Connects the version moves to the other systems.
//!
//! Assigns each admitted request to a version, once; restricts the endpoints that the
//! request may be sent to; records the outcomes of requests per version; and runs the
//! move controller of each service.

use std::time::{Duration, Instant};

use crate::command::Command;
use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, RequestId, ServiceId, VersionId};
use crate::input::Outcome;
use crate::moves::evidence::{Sample, VersionSide};
use crate::moves::{Controller, EndpointCounts, Event, FULL_SHARE, Pick, Reach, TickInputs, Time};
use crate::request::{Request, Running, Waiting};
use crate::table::Row;
use crate::world::World;

/// A request that was assigned to the new version.
#[proc_macros::row]
pub struct Chosen {
    /// Request.
    pub id: RequestId,
}

impl Row for Chosen {
    type Id = RequestId;
    fn id(&self) -> &RequestId {
        &self.id
    }
}

/// Wall-clock time and the numbers of live and reachable daemons, as last reported to the core.
#[proc_macros::row]
pub struct ClusterView {
    /// When they were reported, on the monotonic clock.
    pub at: Instant,
    /// Wall-clock time then, in milliseconds since 1970.
    pub wall: u64,
    /// Numbers of live daemons and of those that sent a digest recently.
    pub reach: Reach,
}

impl ClusterView {
    fn time(&self, now: Instant) -> Time {
        let elapsed = now.saturating_duration_since(self.at);
        Time {
            now,
            wall: self.wall + elapsed.as_millis() as u64,
        }
    }
}

/// Applies an event of a service's version move.
pub(crate) fn apply_event(world: &mut World, now: Instant, service: &ServiceId, event: Event) {
    let Some(cluster) = &world.cluster else {
        return;
    };
    let time = cluster.time(now);
    let reach = cluster.reach;
    if !world.moves.contains(service) {
        let controller = Controller::new(service.clone(), world.setup.incarnation);
        world.moves.insert(controller);
    }
    let Some(controller) = world.moves.get_mut(service) else {
        return;
    };
    match event {
        Event::Record(stored) => controller.apply_record(time, stored),
        Event::Exchanged(source) => controller.note_exchange(now, source, reach),
        Event::Row(row) => controller.merge(*row),
        Event::Verdict(bad) => controller.add_verdict(bad),
        Event::Lease(lease) => controller.set_lease(lease),
    }
}

/// Assigns the requests that were just admitted to a version.
pub(crate) fn assign(world: &mut World, now: Instant, arrived: &[RequestId]) {
    if world.moves.is_empty() {
        return;
    }
    for id in arrived {
        let Some(request) = world.requests.get(id) else {
            continue;
        };
        let order = request.order();
        let Some(controller) = world.moves.get_mut(&order.service) else {
            continue;
        };
        let draw = world.rng.u32(..FULL_SHARE);
        if controller.version_for(now, order.idempotent, draw) == Pick::New {
            world.chosen.insert(Chosen { id: *id });
        }
    }
}

/// Runs every move controller and collects its actions.
pub(crate) fn run(world: &mut World, now: Instant) {
    let Some(cluster) = &world.cluster else {
        return;
    };
    let (time, reach) = (cluster.time(now), cluster.reach);
    let endpoints = &world.endpoints;
    for controller in &mut world.moves {
        let to = controller.versions().map(|(_, to)| to.clone());
        let runs = |e: &Endpoint| e.service == *controller.id() && Some(&e.version) == to.as_ref();
        let ready = endpoints.iter().any(|e| runs(e) && e.accepts(now));
        let inputs = TickInputs { time, reach, ready };
        let service = controller.id().clone();
        for action in controller.tick(inputs) {
            world.commands.push(Command::Move {
                service: service.clone(),
                action,
            });
        }
    }
    let requests = &world.requests;
    let waits = |c: &Chosen| matches!(requests.get(&c.id), Some(Request::Waiting(_)));
    world.chosen.retain(waits);
}

/// Versions and endpoints that a waiting request may be sent to; a filter for endpoint
/// selection.
#[derive(Debug, Default)]
pub struct Filter {
    /// Required version; none if any is allowed.
    version: Option<VersionId>,
    /// Excluded version.
    except: Option<VersionId>,
    /// Allowed endpoints, sorted, if the stage uses only some of the version's endpoints.
    among: Option<Vec<EndpointId>>,
}

impl Filter {
    /// Whether the request may be sent to an endpoint.
    pub fn allows(&self, endpoint: &Endpoint) -> bool {
        let version = self.version.as_ref();
        let fits = version.is_none_or(|version| *version == endpoint.version)
            && self.except.as_ref() != Some(&endpoint.version);
        let among = self.among.as_ref();
        fits && among.is_none_or(|among| among.binary_search(&endpoint.id).is_ok())
    }
}

impl World {
    /// The endpoint filter for a waiting request.
    ///
    /// A request that failed once goes to the old version, so that a faulty new version
    /// cannot fail it twice.
    pub fn filter_for(&self, now: Instant, waiting: &Waiting) -> Filter {
        let order = &waiting.order;
        let controller = self.moves.get(&order.service);
        let Some((controller, (from, to))) = controller.and_then(|c| Some((c, c.versions()?)))
        else {
            return self.initial_filter(&order.service);
        };
        let chosen = waiting.tries == 0 && self.chosen.contains(&order.id);
        let new = controller.is_done()
            || (chosen && controller.is_open(now) && has_open(self, now, &order.service, to))
            || (!controller.is_ended() && self.is_old_gone(controller, from));
        let version = if new { to } else { from };
        // Long after a move, the endpoints may have been replaced by ones of another version
        // without a further move.
        if controller.is_ended() && !self.runs(&order.service, version) {
            return Filter {
                except: (!new).then(|| to.clone()),
                ..Filter::default()
            };
        }
        let among = controller.endpoint_counts(now).map(|counts| {
            let mut among = open(self, now, &order.service, version);
            keep_ranked(&mut among, counts, new);
            among.sort();
            among
        });
        Filter {
            version: Some(version.clone()),
            except: None,
            among,
        }
    }

    /// The filter before the first move of a service. Endpoints of a new version are
    /// started while the old ones run; without a version in the settings they would get
    /// requests before a move monitors them.
    fn initial_filter(&self, service: &ServiceId) -> Filter {
        let stated = self.services.get(service).and_then(|s| s.version.clone());
        Filter {
            version: stated.filter(|version| self.runs(service, version)),
            ..Filter::default()
        }
    }

    /// Whether any endpoint of a version is known, including ejected ones.
    fn runs(&self, service: &ServiceId, version: &VersionId) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|e| e.service == *service && e.version == *version)
    }

    /// Whether no endpoint of the old version is left. A partitioned zone then uses the
    /// new version, unless there is a verdict against it.
    fn is_old_gone(&self, controller: &Controller, from: &VersionId) -> bool {
        controller.verdict().is_none() && !self.runs(controller.id(), from)
    }
}

/// Whether some endpoint of a version accepts requests.
fn has_open(world: &World, now: Instant, service: &ServiceId, version: &VersionId) -> bool {
    !open(world, now, service, version).is_empty()
}

/// Endpoints of a version that accept requests, sorted by id: the same order at every daemon.
fn open(world: &World, now: Instant, service: &ServiceId, version: &VersionId) -> Vec<EndpointId> {
    let runs = |e: &&Endpoint| e.service == *service && e.version == *version && e.accepts(now);
    world
        .endpoints
        .iter()
        .filter(runs)
        .map(|e| e.id.clone())
        .collect()
}

/// Keeps the endpoints that the current stage uses. They are ranked by the hash of their id, so
/// that all daemons select the same ones.
fn keep_ranked(open: &mut Vec<EndpointId>, counts: EndpointCounts, new: bool) {
    let count = if new { counts.new } else { counts.old };
    open.sort_by_key(|id| xxhash_rust::xxh3::xxh3_64(id.as_bytes()));
    open.truncate(count as usize);
}

/// Records the outcome of a request for its version.
///
/// A failed connection counts neither as success nor as failure. Its request goes to
/// another endpoint, and when a host is lost every daemon sees a few failed connections
/// until the list of hosts is updated; counting them rolled back good versions. A version
/// that accepts no connections shows by the requests missing from its counts.
pub(crate) fn record_outcome(
    world: &mut World,
    now: Instant,
    request: &Request,
    outcome: &Outcome,
) {
    match outcome {
        Outcome::Complete { status } => record(world, now, request, *status < 500),
        Outcome::Failed { .. } => record(world, now, request, false),
        Outcome::Unsent(_) => {}
    }
}

/// Records a failure for a request that missed its deadline while it ran.
pub(crate) fn record_overdue(world: &mut World, now: Instant, request: &Request) {
    record(world, now, request, false);
}

/// Adds a request to the comparison of the old and new version, if it counts for it.
fn record(world: &mut World, now: Instant, request: &Request, ok: bool) {
    let (order, version, endpoint, latency) = match request {
        Request::Waiting(_) => return,
        Request::Idempotent(r) => (&r.order, &r.version, &r.endpoint, latency(r, now)),
        Request::NonIdempotent(r) => (&r.order, &r.version, &r.endpoint, latency(r, now)),
    };
    // A failure at an endpoint that is being reclaimed is not caused by its version.
    let leaving = world
        .endpoints
        .get(endpoint)
        .is_none_or(|e| e.leaving.is_some());
    if leaving && !ok {
        return;
    }
    let compared = is_compared(world, now, &order.service, version, endpoint);
    let Some(controller) = world.moves.get_mut(&order.service) else {
        return;
    };
    let Some((from, to)) = controller.versions() else {
        return;
    };
    let which = if version == to {
        VersionSide::New
    } else if version == from {
        VersionSide::Old
    } else {
        return;
    };
    controller.record(&Sample {
        route: order.route.clone(),
        idempotent: order.idempotent,
        which,
        time: ok.then_some(latency),
        compared,
    });
}

/// Whether the endpoint is among those whose outcomes the controller compares.
fn is_compared(
    world: &World,
    now: Instant,
    service: &ServiceId,
    version: &VersionId,
    endpoint: &EndpointId,
) -> bool {
    let Some(controller) = world.moves.get(service) else {
        return false;
    };
    let Some(counts) = controller.compared() else {
        return false;
    };
    let new = controller.versions().is_some_and(|(_, to)| to == version);
    let mut open = open(world, now, service, version);
    keep_ranked(&mut open, counts, new);
    open.contains(endpoint)
}

/// Number of tokens after the first that the latency of a request is normalized to; about one
/// second of generation.
const LATENCY_TOKENS: u32 = 32;

/// Latency of a request as one number: the time to its first token plus the time of
/// [`LATENCY_TOKENS`] further ones, so that long and short answers are comparable. For an
/// answer without tokens it is the total time.
fn latency<K>(request: &Running<K>, now: Instant) -> Duration {
    let all = now.saturating_duration_since(request.sent);
    let Some(first) = request.first else {
        return all;
    };
    let first = first.saturating_duration_since(request.sent);
    let rest = all.saturating_sub(first);
    first + rest * LATENCY_TOKENS / request.delivered.max(LATENCY_TOKENS)
}
