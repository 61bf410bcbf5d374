//! How many endpoints are ordered, in which zone and of which kind.
//!
//! Load: traffic that swings and bursts, and waves of reclaims that take all reclaimable
//! endpoints of one zone after the other within ten seconds, while no other reclaimable
//! endpoints are available anywhere. A reclaimable endpoint costs about a fifth of an on-demand
//! one. So nearly all endpoints are reclaimable, more of them than the work needs and in every
//! zone. On-demand endpoints are available during a wave too, and take about as long to start as
//! a reclaim is announced ahead. They are ordered at the reclaim notice and given up when
//! reclaimable ones are back; few of them run before.
//!
//! Version moves start endpoints beside those in use and stop some at their end, whatever is ordered.
//! An order names the number of all endpoints of its kind in a zone, so it must count those of both
//! versions, and a lower one may end either. While a move is under way no number is lowered, and the
//! need is covered by the endpoints that serve: those of the old version until the move is completed,
//! those of the new one from then on.
//!
//! The need is computed from the work that callers request and the engines' learned speed.
//! Fewer endpoints are ordered only after the need was lower for a while: an
//! endpoint that is given up too early takes seconds to come back.

use std::time::{Duration, Instant};

use super::catalog::{Scaling, Service};
use super::demand::Work;
use super::endpoint_table::{EndpointState, EndpointTable};
use super::engine::ServiceSpeed;
use super::rollout::{Outcome, Progress};
use crate::{ServiceId, ZoneId};
use level::Level;
pub use reserve::Reserve;
use reserve::{Held, Losses};

mod level;
mod reserve;

/// Share of an engine's slots that is assumed to be in use when the need is computed.
const SLOT_UTILIZATION: f64 = 0.5;
/// On-demand endpoints for each one that the work needs, of a service without reclaimable ones.
const ON_DEMAND_ONLY: f64 = 3.0;
/// Minimum number of each kind over all zones, as soon as there is any work.
const MIN_ENDPOINTS: f64 = 2.0;
/// Endpoints for each one that teams could keep busy, before the need is known.
const USEFUL_FACTOR: f64 = 2.8;
/// Share of the on-demand endpoints of the operators that is kept before there is any work,
/// once there are as many reclaimable ones.
const IDLE_ON_DEMAND_SHARE: f64 = 0.4;
/// How long no further on-demand endpoint must have registered before any is given up: while
/// the registry's list is still being read, there seem to be few.
const LIST_SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long there must be work before its rate is known; the span over which rates are
/// measured.
const RATE_SPAN: Duration = Duration::from_secs(4);
/// Pause after a rejected order, doubled with each further one up to the maximum.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);
/// How long endpoints that were given up go on leaving the list.
const GIVE_UP_TIME: Duration = Duration::from_secs(5);
/// How long after the boot time of its endpoints an accepted order is repeated if they did not
/// register: they may have been reclaimed meanwhile.
const REORDER_DELAY: Duration = Duration::from_millis(2500);

/// Desired number of endpoints of one kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DesiredCount {
    /// Service.
    pub service: ServiceId,
    /// Zone.
    pub zone: ZoneId,
    /// Whether they are reclaimable.
    pub spot: bool,
    /// Number of endpoints.
    pub count: u32,
    /// Number of those in use.
    pub held: u32,
}

/// Last order for a service, zone and kind.
#[derive(Clone, Debug, PartialEq)]
struct PlacedOrder {
    service: ServiceId,
    zone: ZoneId,
    spot: bool,
    count: u32,
    /// When it may be repeated.
    next: Instant,
    /// Pause after the next rejection.
    pause: Duration,
}

/// What is known of one service.
#[derive(Clone, Debug, PartialEq)]
struct Known {
    service: ServiceId,
    /// `None` until work was requested.
    level: Option<Level>,
    losses: Losses,
    /// Reclaimable and on-demand endpoints that were wanted at the last look.
    wanted: (u32, u32),
    /// When fewer endpoints than those in use were last wanted.
    lowered: Option<Instant>,
}

/// What the orders of a service follow from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Endpoints that the work needs, as orders follow it.
    pub need: f64,
    /// Endpoints that on-demand ones in place of reclaimed ones are based on; at most `need`.
    pub stand_in: f64,
    /// What is held for each endpoint needed.
    pub reserve: Reserve,
    /// Reclaimable endpoints wanted.
    pub reclaimable: u32,
    /// On-demand endpoints wanted.
    pub on_demand: u32,
}

/// Highest number of on-demand endpoints of a service in each zone that this daemon has seen.
#[derive(Clone, Debug, PartialEq)]
struct Baseline {
    service: ServiceId,
    zones: Vec<(ZoneId, u32)>,
    /// When their number last grew.
    grew: Instant,
}

impl Baseline {
    fn total(&self) -> u32 {
        self.zones.iter().map(|row| row.1).sum()
    }

    fn observe(&mut self, serving: &Serving, now: Instant) {
        for (zone, on_demand, _) in &serving.0 {
            match self.zones.iter_mut().find(|row| row.0 == *zone) {
                Some(row) if row.1 >= *on_demand => {}
                Some(row) => (row.1, self.grew) = (*on_demand, now),
                None => self.zones.push((zone.clone(), *on_demand)),
            }
        }
    }

    /// Number of on-demand endpoints of a zone that are kept before the need is known. All are kept
    /// if work was requested, while the registry's list may still be incomplete, and until as many
    /// reclaimable ones are in use.
    ///
    /// `useful` is the number of endpoints of all zones that teams could keep busy.
    fn kept(
        &self,
        zone: &str,
        serving: &Serving,
        useful: u32,
        requested: bool,
        now: Instant,
    ) -> u32 {
        let held = serving.in_zone(zone).0;
        let settled = now.duration_since(self.grew) >= LIST_SETTLE_TIME;
        if requested || !settled || serving.reclaimable() < useful {
            return held;
        }
        let row = self.zones.iter().find(|row| row.0 == zone);
        let most = row.map_or(held, |row| row.1);
        let share = f64::from(useful) / f64::from(self.total().max(1));
        held.min((f64::from(most) * share * IDLE_ON_DEMAND_SHARE).ceil() as u32)
    }
}

/// Needs of the services and the orders placed so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// Highest numbers of on-demand endpoints seen so far, by service.
    baselines: Vec<Baseline>,
    placed: Vec<PlacedOrder>,
    services: Vec<Known>,
    /// When work was first requested, if that was before this daemon took over the duty.
    first_work: Option<Instant>,
    /// Tokens a second that all teams together may use; `None` if there is no limit.
    allowed: Option<f64>,
}

/// Number of endpoints of the learned speed that one second's work keeps fully busy.
pub fn endpoints_needed(work: Work, slots: u32, speed: &ServiceSpeed) -> f64 {
    let running = f64::from(slots.max(1)) * SLOT_UTILIZATION;
    work.read * speed.prefill_s() + work.write * speed.step_s() / running
}

/// Number of endpoints in each zone: on-demand and reclaimable ones.
struct Serving(Vec<(ZoneId, u32, u32)>);

impl Serving {
    /// Counts the endpoints of a service in use whose version is one of those that `may` names.
    fn of(
        table: &EndpointTable,
        service: &str,
        zones: &[ZoneId],
        may: impl Fn(&str) -> bool,
    ) -> Self {
        let row = |zone: &ZoneId| {
            let count = |spot| count(table, (service, zone), spot, &may);
            (zone.clone(), count(false), count(true))
        };
        Self(zones.iter().map(row).collect())
    }

    fn in_zone(&self, zone: &str) -> (u32, u32) {
        let row = self.0.iter().find(|row| row.0 == zone);
        row.map_or((0, 0), |row| (row.1, row.2))
    }

    fn on_demand(&self) -> u32 {
        self.0.iter().map(|row| row.1).sum()
    }

    fn reclaimable(&self) -> u32 {
        self.0.iter().map(|row| row.2).sum()
    }
}

/// Desired endpoints of all zones together.
struct Totals {
    on_demand: u32,
    reclaimable: u32,
}

fn totals(
    scaling: &Scaling,
    level: Option<(f64, f64)>,
    reserve: Reserve,
    serving: &Serving,
    baseline: u32,
) -> Totals {
    let spot = scaling.reclaimable_price.is_some();
    let Some((need, stand_in)) = level else {
        // Reclaimable endpoints are not reduced: a daemon that takes over the duty in the middle
        // of the day does not know the need for a few seconds, and endpoints that it gave up
        // then would take as long again to come back.
        return Totals {
            on_demand: serving.on_demand(),
            reclaimable: if spot {
                serving.reclaimable().max(baseline)
            } else {
                0
            },
        };
    };
    if !spot {
        return Totals {
            on_demand: (need * ON_DEMAND_ONLY).max(MIN_ENDPOINTS).round() as u32,
            reclaimable: 0,
        };
    }
    let usual_on_demand = (need * reserve.on_demand).max(MIN_ENDPOINTS).round() as u32;
    // A reclaim is announced some seconds before it takes effect, about as long as another
    // endpoint takes to start, and in a wave no reclaimable ones are available anywhere.
    // On-demand ones replace them at the notice and are given up when reclaimable ones are back.
    let missing = (stand_in * reserve.total).ceil() as u32;
    let missing = missing.saturating_sub(serving.reclaimable());
    Totals {
        on_demand: usual_on_demand.max(missing),
        reclaimable: (need * reserve.reclaimable).max(MIN_ENDPOINTS).round() as u32,
    }
}

/// Number of endpoints of one kind in use in a zone whose version is one of those that `may` names.
fn count(
    table: &EndpointTable,
    (service, zone): (&str, &str),
    spot: bool,
    may: impl Fn(&str) -> bool,
) -> u32 {
    let rows = table.rows().iter().filter(|row| {
        row.listing.service == service
            && row.listing.zone == zone
            && row.listing.spot == spot
            && row.state != EndpointState::Leaving
            && may(&row.listing.version)
    });
    rows.count() as u32
}

/// Whether endpoints of a version serve, or are to serve, by the state of the service's move.
fn serves(moving: Option<&Progress>, version: &str) -> bool {
    moving.is_none_or(|moving| {
        let is_target = version == moving.target;
        is_target == (moving.outcome == Outcome::Completed)
    })
}

/// Whether an endpoint of the service is cold that may get requests.
fn any_cold(table: &EndpointTable, service: &str, now: Instant) -> bool {
    table.rows().iter().any(|row| {
        row.listing.service == service
            && row.is_usable(now)
            && row.cold.as_ref().is_some_and(|cold| now < cold.warm_at())
    })
}

/// Price of endpoints in a zone; 1 if none is configured.
fn price(scaling: &Scaling, zone: &str) -> f64 {
    let at = scaling
        .zones
        .binary_search_by(|row| row.0.as_str().cmp(zone));
    at.map_or(1.0, |at| scaling.zones[at].1)
}

/// Distributes endpoints over the zones, one each in turn, the cheapest zone first, as far
/// as the zones have room.
fn distribute(
    scaling: &Scaling,
    zones: &[ZoneId],
    total: u32,
    room: impl Fn(&str) -> u32,
) -> Vec<(ZoneId, u32)> {
    let mut shares: Vec<(ZoneId, u32)> = zones.iter().map(|zone| (zone.clone(), 0)).collect();
    shares.sort_by(|a, b| price(scaling, &a.0).total_cmp(&price(scaling, &b.0)));
    let mut remaining = total;
    while remaining > 0 {
        let before = remaining;
        for (zone, share) in &mut shares {
            if remaining > 0 && *share < room(zone) {
                *share += 1;
                remaining -= 1;
            }
        }
        if remaining == before {
            break;
        }
    }
    shares
}

impl Orders {
    /// No orders yet; `first_work` is when work was first requested, as far as this daemon knows.
    /// A daemon that takes over the duty in the middle of the day knows the rates already. If it
    /// counted from its own start, it would order nothing for four seconds of a wave.
    pub fn new(first_work: Option<Instant>) -> Self {
        Self {
            first_work,
            ..Self::default()
        }
    }

    /// Sets how many tokens a second all teams together may use; `None` if there is no limit.
    pub fn set_allowed(&mut self, tokens: Option<f64>) {
        self.allowed = tokens;
    }

    /// Endpoints that teams could keep busy, of `most`. A large deployment may run many times what
    /// its teams are allowed to use; before their need is known, it is not worth twice that.
    fn useful(&self, most: u32, slots: u32, speed: &ServiceSpeed) -> u32 {
        let Some(read) = self.allowed else {
            return most;
        };
        let need = endpoints_needed(Work { read, write: 0.0 }, slots, speed);
        let useful = (need * USEFUL_FACTOR).max(MIN_ENDPOINTS).round();
        most.min(useful as u32)
    }

    /// Needed endpoints of each service, for a checkpoint.
    pub fn needs(&self) -> impl Iterator<Item = (&ServiceId, f64)> {
        let rows = self.services.iter();
        rows.filter_map(|row| Some((&row.service, row.level.as_ref()?.need()?)))
    }

    /// What the orders of a service follow from; `None` until its need is known.
    pub fn plan(&self, service: &Service, zones: usize) -> Option<Plan> {
        let known = self
            .services
            .iter()
            .find(|row| row.service == service.name)?;
        let level = known.level.as_ref()?;
        let need = level.need()?;
        let start = service.scaling.as_ref()?.boot_time;
        Some(Plan {
            need,
            stand_in: level.stand_in(),
            reserve: known.losses.reserve(zones, start),
            reclaimable: known.wanted.0,
            on_demand: known.wanted.1,
        })
    }

    /// Restores a service's need that the previous duty holder knew. Without it, a new holder
    /// would order nothing for the span of a rate, which is worst during a wave of reclaims, and
    /// then only for the few callers that it has learned of.
    pub fn restore(&mut self, service: ServiceId, need: f64, now: Instant) {
        self.restore_both(service, need, need, now);
    }

    /// Updates and returns the on-demand endpoints seen of a service.
    fn baseline(&mut self, service: &ServiceId, serving: &Serving, now: Instant) -> Baseline {
        let at = self
            .baselines
            .iter()
            .position(|row| row.service == *service);
        let at = at.unwrap_or_else(|| {
            self.baselines.push(Baseline {
                service: service.clone(),
                zones: Vec::new(),
                grew: now,
            });
            self.baselines.len() - 1
        });
        self.baselines[at].observe(serving, now);
        self.baselines[at].clone()
    }

    /// Restores also the need that on-demand endpoints in place of reclaimed ones followed.
    pub fn restore_both(&mut self, service: ServiceId, need: f64, stand_in: f64, now: Instant) {
        self.services.retain(|row| row.service != service);
        self.services.push(Known {
            service,
            level: Some(Level::restored(need, stand_in, now)),
            losses: Losses::default(),
            wanted: (0, 0),
            lowered: None,
        });
    }

    /// Need that on-demand endpoints in place of reclaimed ones follow; `None` until it is known.
    pub fn stand_in(&self, service: &str) -> Option<f64> {
        let mut rows = self.services.iter();
        let known = rows.find(|row| row.service == service)?;
        let level = known.level.as_ref()?;
        level.need().map(|_| level.stand_in())
    }

    /// What is known of a service.
    fn known(&mut self, service: &ServiceId) -> &mut Known {
        let at = self.services.iter().position(|row| row.service == *service);
        let at = at.unwrap_or_else(|| {
            self.services.push(Known {
                service: service.clone(),
                level: None,
                losses: Losses::default(),
                wanted: (0, 0),
                lowered: None,
            });
            self.services.len() - 1
        });
        &mut self.services[at]
    }

    /// Follows what was lost of a service, and returns the reserve for further losses.
    fn reserve(
        &mut self,
        service: &ServiceId,
        serving: &Serving,
        (moving, start): (bool, Duration),
        now: Instant,
    ) -> Reserve {
        let row = |row: &(ZoneId, u32, u32)| {
            let mut placed = self.placed.iter();
            let placed = placed
                .find(|placed| placed.service == *service && placed.zone == row.0 && placed.spot);
            Held {
                zone: row.0.clone(),
                all: row.1 + row.2,
                reclaimable: row.2,
                ordered: placed.map(|placed| placed.count),
            }
        };
        let held: Vec<Held> = serving.0.iter().map(row).collect();
        let zones = held.len();
        let known = self.known(service);
        let given_up = known
            .lowered
            .is_some_and(|at| now.duration_since(at) < GIVE_UP_TIME);
        // During a move the platform stops endpoints of its own.
        if !moving {
            known.losses.observe(&held, given_up, now);
        }
        known.losses.reserve(zones, start)
    }

    /// Desired endpoints of a service, where their number differs from those in use.
    ///
    /// Until the need is known, the on-demand endpoints stay as the operators set them up and as
    /// many reclaimable ones are ordered, but not more than teams could keep busy, since a wave of
    /// reclaims may follow at once. While there
    /// is no work at all, some of the on-demand ones are given up once these are in use.
    ///
    /// Evacuated zones count as if they had no endpoints, so that others are ordered in the other
    /// zones at once, and nothing is ordered or given up there: what runs there serves again as
    /// soon as the zone is restored.
    ///
    /// `moving` is the service's version move that is under way, or has just ended.
    pub fn desired_counts(
        &mut self,
        table: &EndpointTable,
        service: &Service,
        zones: &[ZoneId],
        work: Work,
        moving: Option<&Progress>,
        now: Instant,
    ) -> Vec<DesiredCount> {
        let (Some(scaling), Some(engine)) = (&service.scaling, &service.engine) else {
            return Vec::new();
        };
        let is_evacuated = |zone: &ZoneId| table.evacuated().binary_search(zone).is_ok();
        let zones: Vec<ZoneId> = zones
            .iter()
            .filter(|zone| !is_evacuated(zone))
            .cloned()
            .collect();
        let zones = zones.as_slice();
        let of = |may: &dyn Fn(&str) -> bool| Serving::of(table, &service.name, zones, may);
        let serving = of(&|version| serves(moving, version));
        let others = of(&|version| !serves(moving, version));
        let speed = table.service_speed(&service.name);
        let start = scaling.boot_time;
        let since = self.first_work.unwrap_or(now);
        let known = self.known(&service.name);
        if work != Work::default() {
            let need = endpoints_needed(work, engine.slots, speed);
            let level = known.level.get_or_insert_with(|| Level::new(since));
            level.update(need, start, now);
        }
        let level = known.level.as_ref();
        let level = level.and_then(|level| Some((level.need()?, level.stand_in())));
        let reserve = self.reserve(&service.name, &serving, (moving.is_some(), start), now);
        let baseline = self.baseline(&service.name, &serving, now);
        let useful = self.useful(baseline.total(), engine.slots, speed);
        let total = totals(scaling, level, reserve, &serving, useful);
        self.known(&service.name).wanted = (total.reclaimable, total.on_demand);
        // On-demand endpoints that replace reclaimed ones go to the zones of these. Giving up
        // reclaimable ones elsewhere to make room for them would only raise the price.
        let room = |zone: &str| scaling.max.saturating_sub(serving.in_zone(zone).1);
        let on_demand = distribute(scaling, zones, total.on_demand, room);
        let reclaimable = distribute(scaling, zones, total.reclaimable, |_| scaling.max);
        let is_cold = any_cold(table, &service.name, now);
        let mut counts = Vec::new();
        for ((zone, on_demand), (_, reclaimable)) in on_demand.into_iter().zip(reclaimable) {
            let (held_on_demand, held_reclaimable) = serving.in_zone(&zone);
            let on_demand = if level.is_none() {
                baseline.kept(&zone, &serving, useful, work != Work::default(), now)
            } else {
                on_demand
            };
            let reclaimable = if level.is_none() {
                reclaimable.max(held_reclaimable)
            } else {
                reclaimable
            };
            let reclaimable =
                reclaimable.min(scaling.max.saturating_sub(on_demand.max(held_on_demand)));
            let (other_on_demand, other_reclaimable) = others.in_zone(&zone);
            let room = scaling.max.saturating_sub(
                held_on_demand + held_reclaimable + other_on_demand + other_reclaimable,
            );
            for (spot, wanted, held, other) in [
                (true, reclaimable, held_reclaimable, other_reclaimable),
                (false, on_demand, held_on_demand, other_on_demand),
            ] {
                // Cold endpoints do not replace the others yet.
                let is_due = if wanted < held {
                    !is_cold && moving.is_none()
                } else {
                    wanted > held && (moving.is_none() || room > 0)
                };
                // Those of the other version count in what is ordered.
                let count = if moving.is_some() {
                    wanted.min(held + room) + other
                } else {
                    wanted
                };
                if is_due && wanted < held {
                    self.known(&service.name).lowered = Some(now);
                }
                if is_due {
                    counts.push(DesiredCount {
                        service: service.name.clone(),
                        zone: zone.clone(),
                        spot,
                        count,
                        held: held + other,
                    });
                }
            }
        }
        counts
    }

    /// Whether this number may be ordered now.
    pub fn is_due(&self, desired: &DesiredCount, now: Instant) -> bool {
        match self.find(desired) {
            Some(at) => now >= self.placed[at].next || self.placed[at].count != desired.count,
            None => true,
        }
    }

    /// Records whether an order was accepted; `boot` is the boot time of its endpoints.
    pub fn record(&mut self, desired: &DesiredCount, accepted: bool, boot: Duration, now: Instant) {
        let at = self.find(desired);
        let last = at.map_or(RETRY_PAUSE, |at| self.placed[at].pause);
        let (next, pause) = if accepted {
            (now + boot + REORDER_DELAY, RETRY_PAUSE)
        } else {
            (now + last, (last * 2).min(MAX_RETRY_PAUSE))
        };
        let row = PlacedOrder {
            service: desired.service.clone(),
            zone: desired.zone.clone(),
            spot: desired.spot,
            count: desired.count,
            next,
            pause,
        };
        match at {
            Some(at) => self.placed[at] = row,
            None => self.placed.push(row),
        }
    }

    fn find(&self, desired: &DesiredCount) -> Option<usize> {
        self.placed.iter().position(|row| {
            row.service == desired.service && row.zone == desired.zone && row.spot == desired.spot
        })
    }
}
