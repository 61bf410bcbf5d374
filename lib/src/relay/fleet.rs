//! How many endpoints are ordered, where and of which kind.
//!
//! Load: traffic that swings and bursts, and reclaims that take all reclaimable
//! endpoints of one zone after the other within ten seconds, while no others of that
//! kind are to be had anywhere. A reclaimable endpoint costs about a fifth of another.
//! So nearly all that stands is of the cheap kind, more of them than the work needs and
//! in every zone. Endpoints of the dear kind are to be had in a wave too, and take about
//! as long to start as a reclaim is told ahead: they are ordered at the notice, and
//! given up when cheap ones are back. Few of them stand before.
//!
//! The need is taken from what callers ask for and the engines' learned speed.
//! Fewer endpoints are ordered only after the need was lower for a while: an
//! endpoint that is given up too early takes seconds to come back.

use std::time::{Duration, Instant};

use super::endpoint_table::{EndpointTable, EndpointState};
use super::catalog::{Scaling, Service};
use super::demand::Work;
use super::engine::Pace;
use crate::{ServiceId, ZoneId};

/// Share of its places at which an engine is reckoned to work.
const FILL: f64 = 0.5;
/// Dear endpoints for each one that the work needs while cheap ones stand.
const LASTING: f64 = 0.2;
/// Reclaimable endpoints for each one that the work needs; half of them may be gone in
/// a wave before others have started.
const CHEAP: f64 = 2.8;
/// Endpoints in all for each one that the work needs below which dear ones are ordered.
const ALONE: f64 = 1.5;
/// Least number of each kind in all, as soon as anything is asked.
const LEAST: f64 = 2.0;
/// Share of the operators' own endpoints that is kept before anything is asked, once as
/// many cheap ones stand beside them.
const WAITING: f64 = 0.4;
/// How long no further endpoint must have registered before any is given up: a list
/// that is still being filled would seem to have few.
const LISTED: Duration = Duration::from_secs(3);
/// How long work is asked for before its rate is taken as whole; the span of the
/// rates.
const FIRST: Duration = Duration::from_secs(4);
/// Need above and below the level at which orders change.
const RAISE: f64 = 1.25;
const REDUCE: f64 = 0.7;
/// How long the need must have been lower before fewer are ordered: a swing of the
/// traffic takes tens of seconds.
const LOWER: Duration = Duration::from_secs(10);
/// Pause after an order that was refused, doubled up to the most.
const RETRY: Duration = Duration::from_secs(1);
const MOST_RETRY: Duration = Duration::from_secs(4);
/// How long after an accepted order's boot time it is given again if the endpoints
/// did not come: they may have been reclaimed meanwhile.
const AGAIN: Duration = Duration::from_millis(2500);

/// Number of endpoints wanted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wish {
    /// Service.
    pub service: ServiceId,
    /// Zone.
    pub zone: ZoneId,
    /// Whether of the reclaimable kind.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// An order that was given.
#[derive(Clone, Debug, PartialEq)]
struct Given {
    service: ServiceId,
    zone: ZoneId,
    spot: bool,
    count: u32,
    /// When it may be given again.
    next: Instant,
    pause: Duration,
}

/// Level that orders of one service follow.
#[derive(Clone, Debug, PartialEq)]
struct Level {
    service: ServiceId,
    /// When work was first asked for.
    since: Instant,
    /// Endpoints that orders go by; `None` until the first rate is whole.
    need: Option<f64>,
    /// Since when the need is so much lower that fewer would do, and the highest
    /// need meanwhile.
    lower: Option<(Instant, f64)>,
}

/// Most dear endpoints of a service that stood by zone, since this daemon looks.
#[derive(Clone, Debug, PartialEq)]
struct First {
    service: ServiceId,
    zones: Vec<(ZoneId, u32)>,
    /// When their number last grew.
    grew: Instant,
}

impl First {
    fn total(&self) -> u32 {
        self.zones.iter().map(|row| row.1).sum()
    }

    fn look(&mut self, stand: &Stand, now: Instant) {
        for (zone, dear, _) in &stand.0 {
            match self.zones.iter_mut().find(|row| row.0 == *zone) {
                Some(row) if row.1 >= *dear => {}
                Some(row) => (row.1, self.grew) = (*dear, now),
                None => self.zones.push((zone.clone(), *dear)),
            }
        }
    }

    /// Dear endpoints of a zone that are kept while nobody asks anything; all until as
    /// many cheap ones stand beside them.
    fn kept(&self, zone: &str, stand: &Stand, asked: bool, now: Instant) -> u32 {
        let held = stand.in_zone(zone).0;
        let settled = now.duration_since(self.grew) >= LISTED;
        if asked || !settled || stand.cheap() < self.total() {
            return held;
        }
        let row = self.zones.iter().find(|row| row.0 == zone);
        let first = row.map_or(held, |row| row.1);
        held.min((f64::from(first) * WAITING).ceil() as u32)
    }
}

/// Needs and the orders given so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// What stood before the need was known, by service.
    first: Vec<First>,
    given: Vec<Given>,
    levels: Vec<Level>,
    /// When work was first asked for, if that was before this daemon took the duty up.
    asked: Option<Instant>,
}

/// Endpoints of the learned speed that a second's work keeps fully busy.
pub fn needed(work: Work, slots: u32, pace: &Pace) -> f64 {
    let running = f64::from(slots.max(1)) * FILL;
    work.read * pace.read() + work.write * pace.step() / running
}

/// Endpoints that serve, by zone: dear and cheap ones.
struct Stand(Vec<(ZoneId, u32, u32)>);

impl Stand {
    fn of(table: &EndpointTable, service: &str, zones: &[ZoneId]) -> Self {
        let row = |zone: &ZoneId| {
            let dear = count(table, service, zone, false);
            (zone.clone(), dear, count(table, service, zone, true))
        };
        Self(zones.iter().map(row).collect())
    }

    fn in_zone(&self, zone: &str) -> (u32, u32) {
        let row = self.0.iter().find(|row| row.0 == zone);
        row.map_or((0, 0), |row| (row.1, row.2))
    }

    fn dear(&self) -> u32 {
        self.0.iter().map(|row| row.1).sum()
    }

    fn cheap(&self) -> u32 {
        self.0.iter().map(|row| row.2).sum()
    }
}

/// Endpoints wanted in all zones together.
struct Totals {
    dear: u32,
    cheap: u32,
}

fn totals(scaling: &Scaling, level: Option<f64>, stand: &Stand, first: u32) -> Totals {
    let spot = scaling.spot.is_some();
    let Some(need) = level else {
        // Fewer cheap ones than stand are not ordered: whoever takes the duty over in
        // the middle of the day knows no need for a few seconds, and what it gave up
        // then would take as long again to come back.
        return Totals {
            dear: stand.dear(),
            cheap: if spot { stand.cheap().max(first) } else { 0 },
        };
    };
    if !spot {
        return Totals {
            dear: (need * (LASTING + CHEAP)).max(LEAST).round() as u32,
            cheap: 0,
        };
    }
    let lasting = (need * LASTING).max(LEAST).round() as u32;
    // A reclaim is told some seconds before it takes effect, about as long as another
    // endpoint takes to start, and in a wave no cheap ones are to be had anywhere: dear
    // ones take their place at the notice and go when cheap ones are back.
    let missing = (need * ALONE).round() as u32;
    let missing = missing.saturating_sub(stand.cheap());
    Totals {
        dear: lasting.max(missing),
        cheap: (need * CHEAP).max(LEAST).round() as u32,
    }
}

/// Endpoints of one kind that serve in a zone.
fn count(table: &EndpointTable, service: &str, zone: &str, spot: bool) -> u32 {
    let rows = table.rows().iter().filter(|row| {
        row.listing.service == service
            && row.listing.zone == zone
            && row.listing.spot == spot
            && row.state != EndpointState::Leaving
    });
    rows.count() as u32
}

fn price(scaling: &Scaling, zone: &str) -> f64 {
    let at = scaling
        .zones
        .binary_search_by(|row| row.0.as_str().cmp(zone));
    at.map_or(1.0, |at| scaling.zones[at].1)
}

/// Deals endpoints out to the zones, one each in turn, the cheapest zone first, as far
/// as zones have room.
fn deal(
    scaling: &Scaling,
    zones: &[ZoneId],
    total: u32,
    room: impl Fn(&str) -> u32,
) -> Vec<(ZoneId, u32)> {
    let mut order: Vec<(ZoneId, u32)> = zones.iter().map(|zone| (zone.clone(), 0)).collect();
    order.sort_by(|a, b| price(scaling, &a.0).total_cmp(&price(scaling, &b.0)));
    let mut left = total;
    while left > 0 {
        let before = left;
        for (zone, dealt) in &mut order {
            if left > 0 && *dealt < room(zone) {
                *dealt += 1;
                left -= 1;
            }
        }
        if left == before {
            break;
        }
    }
    order
}

impl Level {
    /// Follows the need: up when it is well above the level, down when it was well
    /// below for a while. Following each swing would start and drain endpoints all
    /// day, and every new one begins with an empty cache.
    fn follow(&mut self, need: f64, now: Instant) -> Option<f64> {
        let Some(level) = self.need else {
            if now.duration_since(self.since) >= FIRST {
                self.need = Some(need);
            }
            return self.need;
        };
        if need > level * RAISE {
            self.need = Some(need);
            self.lower = None;
        } else if need < level * REDUCE {
            let (since, high) = self.lower.unwrap_or((now, need));
            let high = high.max(need);
            self.lower = Some((since, high));
            if now.duration_since(since) >= LOWER {
                self.need = Some(high);
                self.lower = None;
            }
        } else {
            self.lower = None;
        }
        self.need
    }
}

impl Orders {
    /// Begins with when work was first asked for, as far as this daemon knows. Whoever
    /// takes the duty up in the middle of the day knows the rates already; counting from
    /// its own begin, it ordered nothing for four seconds of a wave.
    pub fn new(asked: Option<Instant>) -> Self {
        Self {
            asked,
            ..Self::default()
        }
    }

    /// Needs that orders go by, for a checkpoint.
    pub fn needs(&self) -> impl Iterator<Item = (&ServiceId, f64)> {
        let rows = self.levels.iter();
        rows.filter_map(|row| row.need.map(|need| (&row.service, need)))
    }

    /// Takes over what the holder before knew of a service's need. Without it a new
    /// holder orders nothing for the span of a rate, in a wave of reclaims the worst
    /// one, and then by whatever few callers it heard of.
    pub fn restore(&mut self, service: ServiceId, need: f64, now: Instant) {
        self.levels.retain(|row| row.service != service);
        self.levels.push(Level {
            service,
            since: now,
            need: Some(need),
            lower: None,
        });
    }

    /// What stood of a service at first.
    fn first(&mut self, service: &ServiceId, stand: &Stand, now: Instant) -> First {
        let at = self.first.iter().position(|row| row.service == *service);
        let at = at.unwrap_or_else(|| {
            self.first.push(First {
                service: service.clone(),
                zones: Vec::new(),
                grew: now,
            });
            self.first.len() - 1
        });
        self.first[at].look(stand, now);
        self.first[at].clone()
    }

    /// Level that orders of a service go by; `None` while it is not known.
    fn level(&mut self, service: &ServiceId, need: f64, now: Instant) -> Option<f64> {
        let at = self.levels.iter().position(|row| row.service == *service);
        let at = at.unwrap_or_else(|| {
            self.levels.push(Level {
                service: service.clone(),
                since: self.asked.unwrap_or(now),
                need: None,
                lower: None,
            });
            self.levels.len() - 1
        });
        self.levels[at].follow(need, now)
    }

    /// What is wanted of a service now, where it differs from what stands.
    ///
    /// Until the need is known, the dear endpoints stay as the operators have them
    /// and as many cheap ones are ordered: a wave of reclaims may follow at once. While
    /// nothing is asked at all, some of the dear ones make room for these.
    pub fn wishes(
        &mut self,
        table: &EndpointTable,
        service: &Service,
        zones: &[ZoneId],
        work: Work,
        now: Instant,
    ) -> Vec<Wish> {
        let (Some(scaling), Some(engine)) = (&service.scaling, &service.engine) else {
            return Vec::new();
        };
        let stand = Stand::of(table, &service.name, zones);
        let level = if work == Work::default() {
            self.levels
                .iter()
                .find(|row| row.service == service.name)
                .and_then(|row| row.need)
        } else {
            let pace = table.pace(&service.name);
            self.level(&service.name, needed(work, engine.slots, pace), now)
        };
        let first = self.first(&service.name, &stand, now);
        let total = totals(scaling, level, &stand, first.total());
        // Dear ones that replace others go where these were: making room for them among
        // cheap ones that stand would only raise the price.
        let beside = |zone: &str| scaling.most.saturating_sub(stand.in_zone(zone).1);
        let dear = deal(scaling, zones, total.dear, beside);
        let cheap = deal(scaling, zones, total.cheap, |_| scaling.most);
        let mut wishes = Vec::new();
        for ((zone, dear), (_, cheap)) in dear.into_iter().zip(cheap) {
            let (others, spots) = stand.in_zone(&zone);
            let dear = if level.is_none() {
                first.kept(&zone, &stand, work != Work::default(), now)
            } else {
                dear
            };
            let cheap = if level.is_none() {
                cheap.max(spots)
            } else {
                cheap
            };
            let cheap = cheap.min(scaling.most.saturating_sub(dear.max(others)));
            for (spot, wanted, held) in [(true, cheap, spots), (false, dear, others)] {
                if wanted != held {
                    wishes.push(Wish {
                        service: service.name.clone(),
                        zone: zone.clone(),
                        spot,
                        count: wanted,
                    });
                }
            }
        }
        wishes
    }

    /// Whether a wish may be ordered now.
    pub fn is_due(&self, wish: &Wish, now: Instant) -> bool {
        match self.find(wish) {
            Some(at) => now >= self.given[at].next || self.given[at].count != wish.count,
            None => true,
        }
    }

    /// Notes the outcome of an order.
    pub fn note(&mut self, wish: &Wish, accepted: bool, boot: Duration, now: Instant) {
        let at = self.find(wish);
        let last = at.map_or(RETRY, |at| self.given[at].pause);
        let (next, pause) = if accepted {
            (now + boot + AGAIN, RETRY)
        } else {
            (now + last, (last * 2).min(MOST_RETRY))
        };
        let row = Given {
            service: wish.service.clone(),
            zone: wish.zone.clone(),
            spot: wish.spot,
            count: wish.count,
            next,
            pause,
        };
        match at {
            Some(at) => self.given[at] = row,
            None => self.given.push(row),
        }
    }

    fn find(&self, wish: &Wish) -> Option<usize> {
        self.given.iter().position(|row| {
            row.service == wish.service && row.zone == wish.zone && row.spot == wish.spot
        })
    }
}
