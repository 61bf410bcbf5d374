//! How many endpoints are ordered, where and of which kind.
//!
//! An endpoint that may be reclaimed costs about a fifth of another. A zone's
//! reclaimable ones all leave at once, two seconds after a notice, and while that
//! lasts no others may be had anywhere. So what survives the loss of a zone must
//! stand beforehand: reclaimable endpoints in every zone, and a few others in the
//! cheapest zones. An endpoint of the dear kind is given up only when the
//! reclaimable ones of its zone stand.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::board::{Board, Standing};
use super::catalog::{Scaling, Service};
use crate::{ServiceId, ZoneId};

/// Reclaimable endpoints in each zone.
const SPOT: u32 = 2;
/// Zones, cheapest first, that keep one endpoint of the other kind.
const KEEP: usize = 2;
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

/// Orders given so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    given: Vec<Given>,
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

/// What is wanted of a service now, where it differs from what stands.
pub fn wishes(board: &Board, service: &Service, zones: &[ZoneId]) -> Vec<Wish> {
    let Some(scaling) = &service.scaling else {
        return Vec::new();
    };
    let mut wishes = Vec::new();
    for zone in zones {
        let spots = count(board, &service.name, zone, true);
        let others = count(board, &service.name, zone, false);
        let kept = kept(scaling, zones, zone);
        let spot = if scaling.spot.is_some() {
            SPOT.min(scaling.most.saturating_sub(others.max(kept)))
        } else {
            0
        };
        let keep = if spots >= spot { kept } else { others.max(kept) };
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

/// Endpoints of the dear kind that a zone keeps.
fn kept(scaling: &Scaling, zones: &[ZoneId], zone: &str) -> u32 {
    if scaling.spot.is_none() {
        return scaling.least.max(SPOT);
    }
    let price = |zone: &str| {
        let at = scaling.zones.binary_search_by(|row| row.0.as_str().cmp(zone));
        at.map_or(1.0, |at| scaling.zones[at].1)
    };
    let cheaper = |other: &&ZoneId| {
        (price(other), other.as_str()) < (price(zone), zone)
    };
    u32::from(zones.iter().filter(cheaper).count() < KEEP)
}

impl Orders {
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

/// Name of a kind of endpoint, for logs.
pub fn kind(spot: bool) -> CompactString {
    if spot { "reclaimable" } else { "on demand" }.into()
}
