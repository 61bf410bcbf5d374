//! Version moves in the deciding core.
//!
//! Gives each request that is let in a version, once; tells the endpoint's choice
//! which endpoints are open to it; counts how requests went; and runs each
//! service's controller.

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

/// A request that may go to the new version.
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

/// Wall-clock time and reach as the border last gave them.
#[proc_macros::row]
pub struct Watch {
    /// When they were given.
    pub at: Instant,
    /// Wall clock then, in milliseconds since 1970.
    pub wall: u64,
    /// Live daemons.
    pub reach: Reach,
}

impl Watch {
    fn time(&self, now: Instant) -> Time {
        let gone = now.saturating_duration_since(self.at);
        Time {
            now,
            wall: self.wall + gone.as_millis() as u64,
        }
    }
}

/// Applies what the border learned about the move of a service.
pub(crate) fn learn(world: &mut World, now: Instant, service: &ServiceId, event: Event) {
    let Some(watch) = &world.watch else {
        return;
    };
    let time = watch.time(now);
    let reach = watch.reach;
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

/// Gives the requests that were just let in their version.
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
        if controller.version_for(now, order.repeatable, draw) == Pick::New {
            world.chosen.insert(Chosen { id: *id });
        }
    }
}

/// Runs every controller.
pub(crate) fn run(world: &mut World, now: Instant) {
    let Some(watch) = &world.watch else {
        return;
    };
    let (time, reach) = (watch.time(now), watch.reach);
    let endpoints = &world.endpoints;
    for controller in &mut world.moves {
        let to = controller.versions().map(|(_, to)| to.clone());
        let runs = |e: &Endpoint| e.service == *controller.id() && Some(&e.version) == to.as_ref();
        let ready = endpoints.iter().any(|e| runs(e) && e.takes(now));
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

/// Versions and endpoints that a waiting request may go to, as a filter for the
/// endpoint's choice.
#[derive(Debug, Default)]
pub struct Filter {
    /// Version wanted; none if any will do.
    version: Option<VersionId>,
    /// Version that gets nothing.
    except: Option<VersionId>,
    /// Endpoints in use of the version, if only some are.
    among: Option<Vec<EndpointId>>,
}

impl Filter {
    /// Whether an endpoint is open to the request.
    pub fn allows(&self, endpoint: &Endpoint) -> bool {
        let version = self.version.as_ref();
        let fits = version.is_none_or(|version| *version == endpoint.version)
            && self.except.as_ref() != Some(&endpoint.version);
        let among = self.among.as_ref();
        fits && among.is_none_or(|among| among.binary_search(&endpoint.id).is_ok())
    }
}

impl World {
    /// The filter for a waiting request, for the endpoint's choice.
    ///
    /// A request that failed once goes to the old version, so a bad new one
    /// spoils it no second time.
    pub fn open_to(&self, now: Instant, waiting: &Waiting) -> Filter {
        let order = &waiting.order;
        let controller = self.moves.get(&order.service);
        let Some((controller, (from, to))) = controller.and_then(|c| Some((c, c.versions()?)))
        else {
            return self.before_moves(&order.service);
        };
        let chosen = waiting.tries == 0 && self.chosen.contains(&order.id);
        let new = controller.is_done()
            || (chosen && controller.is_open(now) && takes(self, now, &order.service, to))
            || (!controller.is_ended() && self.is_left(controller, from));
        let version = if new { to } else { from };
        // Long after a move, endpoints may have been replaced without another.
        if controller.is_ended() && !self.runs(&order.service, version) {
            return Filter {
                except: (!new).then(|| to.clone()),
                ..Filter::default()
            };
        }
        let among = controller.endpoint_counts(now).map(|spread| {
            let mut among = open(self, now, &order.service, version);
            rank(&mut among, spread, new);
            among.sort();
            among
        });
        Filter {
            version: Some(version.clone()),
            except: None,
            among,
        }
    }

    /// New versions are started beside the old one. Without a stated version they
    /// would get their part of the requests before any move watches them.
    fn before_moves(&self, service: &ServiceId) -> Filter {
        let stated = self.services.get(service).and_then(|s| s.version.clone());
        Filter {
            version: stated.filter(|version| self.runs(service, version)),
            ..Filter::default()
        }
    }

    /// Whether an endpoint of a version is known, even a resting one.
    fn runs(&self, service: &ServiceId, version: &VersionId) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|e| e.service == *service && e.version == *version)
    }

    /// Whether no endpoint of the old version is left. A zone that is cut off then
    /// serves what it can with the new one, unless that is known to be bad.
    fn is_left(&self, controller: &Controller, from: &VersionId) -> bool {
        controller.verdict().is_none() && !self.runs(controller.id(), from)
    }
}

/// Whether some endpoint of a version takes work.
fn takes(world: &World, now: Instant, service: &ServiceId, version: &VersionId) -> bool {
    !open(world, now, service, version).is_empty()
}

/// Endpoints of a version that take work, in the order every daemon agrees on.
fn open(world: &World, now: Instant, service: &ServiceId, version: &VersionId) -> Vec<EndpointId> {
    let runs = |e: &&Endpoint| e.service == *service && e.version == *version && e.takes(now);
    world
        .endpoints
        .iter()
        .filter(runs)
        .map(|e| e.id.clone())
        .collect()
}

/// Keeps those that the stage uses.
fn rank(open: &mut Vec<EndpointId>, spread: EndpointCounts, new: bool) {
    let count = if new { spread.new } else { spread.old };
    open.sort_by_key(|id| xxhash_rust::xxh3::xxh3_64(id.as_bytes()));
    open.truncate(count as usize);
}

/// Counts how a request went for its version.
///
/// A connection that was not made counts neither way. Its request goes to another
/// endpoint, and when a host is lost every daemon meets a few of them until the
/// list of hosts says so; counted, they took back good versions. A version that
/// takes no connections shows by the requests that it did not see.
pub(crate) fn observe(world: &mut World, now: Instant, request: &Request, outcome: &Outcome) {
    match outcome {
        Outcome::Whole { status } => count(world, now, request, *status < 500),
        Outcome::Broken { .. } => count(world, now, request, false),
        Outcome::Unsent(_) => {}
    }
}

/// Counts a request that missed its deadline while it ran.
pub(crate) fn overdue(world: &mut World, now: Instant, request: &Request) {
    count(world, now, request, false);
}

fn count(world: &mut World, now: Instant, request: &Request, whole: bool) {
    let (order, version, endpoint, took) = match request {
        Request::Waiting(_) => return,
        Request::Repeatable(r) => (&r.order, &r.version, &r.endpoint, took(r, now)),
        Request::Once(r) => (&r.order, &r.version, &r.endpoint, took(r, now)),
    };
    // What breaks at an endpoint that is being reclaimed is no fault of the
    // version it runs.
    let leaving = world
        .endpoints
        .get(endpoint)
        .is_none_or(|e| e.leaving.is_some());
    if leaving && !whole {
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
        idempotent: order.repeatable,
        which,
        time: whole.then_some(took),
        compared,
    });
}

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
    let Some(spread) = controller.compared() else {
        return false;
    };
    let new = controller.versions().is_some_and(|(_, to)| to == version);
    let mut open = open(world, now, service, version);
    rank(&mut open, spread, new);
    open.contains(endpoint)
}

/// Tokens that a request's pace is given for: about a second of them.
const PACE: u32 = 32;

/// One figure for a request's latency: the time to its first token and that of
/// [`PACE`] further ones, so that long and short answers can be compared. An
/// answer without tokens counts whole.
fn took<K>(request: &Running<K>, now: Instant) -> Duration {
    let all = now.saturating_duration_since(request.sent);
    let Some(first) = request.first else {
        return all;
    };
    let first = first.saturating_duration_since(request.sent);
    let rest = all.saturating_sub(first);
    first + rest * PACE / request.delivered.max(PACE)
}
