//! How many endpoints are ordered, where and of which kind.
//!
//! Load: traffic that swings and bursts, and reclaims that take all reclaimable
//! endpoints of one zone after the other within ten seconds, while no others are
//! to be had anywhere. A reclaimable endpoint costs about a fifth of another. What
//! must survive such a wave has to stand beforehand and be of the other kind; what
//! is there for speed on the other days is of the cheap kind, in every zone.
//!
//! The need is taken from what callers ask for and the engines' published speed.
//! Fewer endpoints are ordered only after the need was lower for a while: an
//! endpoint that is given up too early takes seconds to come back.

use std::time::{Duration, Instant};

use super::board::{Board, Standing};
use super::catalog::{Scaling, Service};
use super::demand::Work;
use crate::{ServiceId, ZoneId};

/// Prompt tokens that an engine reads in a second; the published figures are 48.2
/// and 56.6 a millisecond.
const READ: f64 = 50_000.0;
/// Time of one step of an engine without and for each running request, in
/// seconds; of the published 2.6 to 3.79 ms and 0.0893 ms.
const STEP: f64 = 0.0038;
const STEP_EACH: f64 = 0.000_09;
/// Share of its places at which an engine is reckoned to work.
const FILL: f64 = 0.5;
/// Dear endpoints for each one that the work needs when nothing waits.
const LASTING: f64 = 0.7;
/// Reclaimable endpoints for each one that the work needs.
const CHEAP: f64 = 2.0;
/// Least number of each kind in all, as soon as anything is asked.
const LEAST: f64 = 2.0;
/// How long the need must have been lower before fewer are ordered: a swing of the
/// traffic takes tens of seconds.
const LOWER: Duration = Duration::from_secs(10);
/// Pause after an order that was refused, doubled up to the most.
const RETRY: Duration = Duration::from_millis(1000);
const MOST_RETRY: Duration = Duration::from_millis(4000);
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

/// Highest need lately of one service.
#[derive(Clone, Debug, PartialEq)]
struct Need {
    service: ServiceId,
    /// Endpoints that the work needs, and when they were last needed.
    highs: Vec<(f64, Instant)>,
}

/// Needs and the orders given so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    given: Vec<Given>,
    needs: Vec<Need>,
}

/// Endpoints that a second's work keeps fully busy.
pub fn needed(work: Work, slots: u32) -> f64 {
    let running = f64::from(slots.max(1)) * FILL;
    let each = (STEP + STEP_EACH * running) / running;
    work.read / READ + work.write * each
}

/// Endpoints of one kind that serve in a zone.
fn count(board: &Board, service: &str, zone: &str, spot: bool) -> u32 {
    let rows = board.rows().iter().filter(|row| {
        row.listing.service == service
            && row.listing.zone == zone
            && row.listing.spot == spot
            && row.standing != Standing::Leaving
    });
    rows.count() as u32
}

fn price(scaling: &Scaling, zone: &str) -> f64 {
    let at = scaling
        .zones
        .binary_search_by(|row| row.0.as_str().cmp(zone));
    at.map_or(1.0, |at| scaling.zones[at].1)
}

/// Deals endpoints out to the zones, one each in turn, the cheapest zone first.
fn deal(scaling: &Scaling, zones: &[ZoneId], total: u32) -> Vec<(ZoneId, u32)> {
    let mut order: Vec<&ZoneId> = zones.iter().collect();
    order.sort_by(|a, b| price(scaling, a).total_cmp(&price(scaling, b)));
    let each = |(at, zone): (usize, &ZoneId)| {
        let count = zones.len() as u32;
        let share = total / count + u32::from((at as u32) < total % count);
        (zone.clone(), share)
    };
    order.into_iter().enumerate().map(each).collect()
}

impl Orders {
    /// Highest need of a service within [`LOWER`].
    fn high(&mut self, service: &ServiceId, need: f64, now: Instant) -> f64 {
        let at = self.needs.iter().position(|row| row.service == *service);
        let at = at.unwrap_or_else(|| {
            self.needs.push(Need {
                service: service.clone(),
                highs: Vec::new(),
            });
            self.needs.len() - 1
        });
        let highs = &mut self.needs[at].highs;
        highs.retain(|(held, seen)| now.duration_since(*seen) <= LOWER && *held > need);
        highs.push((need, now));
        highs.iter().map(|(held, _)| *held).fold(0.0, f64::max)
    }

    /// What is wanted of a service now, where it differs from what stands.
    ///
    /// Nothing is changed before anything is asked: what stands then is what the
    /// operators took for right.
    pub fn wishes(
        &mut self,
        board: &Board,
        service: &Service,
        zones: &[ZoneId],
        work: Work,
        now: Instant,
    ) -> Vec<Wish> {
        let (Some(scaling), Some(engine)) = (&service.scaling, &service.engine) else {
            return Vec::new();
        };
        if work == Work::default() {
            return Vec::new();
        }
        let need = self.high(&service.name, needed(work, engine.slots), now);
        let (lasting, cheap) = if scaling.spot.is_some() {
            (LASTING, CHEAP)
        } else {
            (LASTING + CHEAP, 0.0)
        };
        let lasting = deal(scaling, zones, (need * lasting).max(LEAST).round() as u32);
        let cheap = if cheap > 0.0 { (need * cheap).max(LEAST).round() } else { 0.0 };
        let cheap = deal(scaling, zones, cheap as u32);
        let mut wishes = Vec::new();
        for ((zone, keep), (_, spot)) in lasting.into_iter().zip(cheap) {
            let spots = count(board, &service.name, &zone, true);
            let others = count(board, &service.name, &zone, false);
            let keep = keep.min(scaling.most);
            let spot = spot.min(scaling.most - keep);
            // Dear endpoints go only when the cheap ones of their zone stand.
            let keep = if spots >= spot { keep } else { keep.max(others) };
            let spot = spot.min(scaling.most.saturating_sub(keep.max(others)));
            for (kind, wanted, held) in [(true, spot, spots), (false, keep, others)] {
                if wanted != held {
                    wishes.push(Wish {
                        service: service.name.clone(),
                        zone: zone.clone(),
                        spot: kind,
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
