//! How many endpoints are held beside those that the work needs.
//!
//! Load: reclaims take all reclaimable endpoints of a zone at once, in several zones within the time
//! that a replacement takes, while no other reclaimable ones are to be had; engines crash together.
//! Without a reserve, callers are rejected or late until replacements have started. With one that is
//! sized for the worst at all hours, several endpoints run for each that the work needs.
//!
//! What a reserve must bear is lost within one start of an endpoint: what is lost later has been replaced
//! by then. So reclaimable endpoints are held such that those left carry the need, and its rise, when
//! the reclaimable ones of [`FIRST_WAVE_ZONES`] zones go together. No loss must have been seen for that:
//! the first one comes without warning. Losses that were larger, of more zones together or by
//! crashes, raise the reserve for as long as [`MEMORY`], and what reclaimable endpoints cannot bear is held on
//! demand meanwhile. Nothing lowers it below what the first wave needs.
//!
//! During a wave, on-demand endpoints stand in for reclaimed ones. These are not reclaimed, so they have
//! to bear no more than the loss of one zone.
//!
//! A daemon that takes over the duties starts with the reserve for a first wave.

use std::time::{Duration, Instant};

use crate::ZoneId;

/// Zones whose reclaimable endpoints may go together before any loss has been seen: a wave reaches the
/// next zone before replacements for the first one have started.
const FIRST_WAVE_ZONES: usize = 2;
/// On-demand endpoints for each one that the work needs while there are reclaimable ones.
const ON_DEMAND_SHARE: f64 = 0.2;
/// What a first wave must leave for each endpoint that the work needs: traffic rises by about a third
/// before replacements have started, and those left read the prompts of the others' callers anew.
const HEADROOM: f64 = 1.4;
/// Bounds of the reclaimable endpoints for each one that the work needs.
const MIN_RECLAIMABLE: f64 = 1.5;
const MAX_RECLAIMABLE: f64 = 2.8;
/// Endpoints of both kinds for each one that the work needs during a wave: what is left when one zone of
/// three is lost.
const TOTAL: f64 = 1.5;
/// How long losses are remembered.
const MEMORY: Duration = Duration::from_mins(5);
/// Share of a zone's endpoints in use below which they count as lost, and above which the zone counts as
/// whole again.
const LOST_BELOW: f64 = 0.5;
const WHOLE_FROM: f64 = 0.8;
/// Lost share of a service's endpoints from which a crash is remembered.
const CRASH_SHARE: f64 = 0.1;
/// Most losses that are remembered for a service.
const MAX_LOSSES: usize = 64;

/// Endpoints of both kinds that are held for each one that the work needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    /// Reclaimable ones.
    pub reclaimable: f64,
    /// On-demand ones while there are reclaimable ones.
    pub on_demand: f64,
    /// Both together; on-demand ones stand in for reclaimed ones up to it.
    pub total: f64,
    /// Zones whose reclaimable endpoints may go together.
    pub zones: usize,
    /// Share of all endpoints that may crash together.
    pub crash: f64,
}

/// Endpoints of one zone.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Held {
    pub(super) zone: ZoneId,
    /// Endpoints of both kinds in use.
    pub(super) all: u32,
    /// Reclaimable ones in use.
    pub(super) reclaimable: u32,
    /// Reclaimable ones that were ordered last; `None` if this daemon has ordered none there.
    pub(super) ordered: Option<u32>,
}

/// Reclaimable endpoints of a zone.
#[derive(Clone, Debug, PartialEq)]
struct Zone {
    name: ZoneId,
    /// Most in use since the last loss, at most as many as were ordered.
    whole: u32,
    /// Whether they are lost and have not been replaced yet.
    is_lost: bool,
}

impl Zone {
    /// Follows the number in use; whether they count as lost from now on.
    fn follow(&mut self, held: &Held) -> bool {
        let before = self.whole.min(held.ordered.unwrap_or(self.whole));
        let share = f64::from(held.reclaimable) / f64::from(before.max(1));
        if self.is_lost {
            self.is_lost = share < WHOLE_FROM;
            return false;
        }
        if share < LOST_BELOW && before > 0 {
            (self.whole, self.is_lost) = (before, true);
            return true;
        }
        self.whole = before.max(held.reclaimable);
        false
    }
}

/// A loss of endpoints that were not given up.
#[derive(Clone, Debug, PartialEq)]
enum Loss {
    /// The reclaimable ones of a zone.
    Zone(Instant),
    /// This share of those in all zones that were whole.
    Crash(Instant, f64),
}

impl Loss {
    fn at(&self) -> Instant {
        match self {
            Self::Zone(at) | Self::Crash(at, _) => *at,
        }
    }
}

/// Losses of one service's endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Losses {
    /// Sorted by name.
    zones: Vec<Zone>,
    /// Endpoints in use at the last look, of the zones that were whole.
    last: Vec<(ZoneId, u32)>,
    /// Oldest first.
    recent: Vec<Loss>,
}

impl Losses {
    /// Follows the endpoints in use. `lowered` tells that fewer were ordered since the last look, so that
    /// fewer in use are no loss.
    pub(super) fn observe(&mut self, held: &[Held], lowered: bool, now: Instant) {
        self.recent
            .retain(|loss| now.duration_since(loss.at()) <= MEMORY);
        let mut whole = Vec::new();
        for row in held {
            let at = self.zones.binary_search_by(|zone| zone.name.cmp(&row.zone));
            let at = at.unwrap_or_else(|at| {
                let zone = Zone {
                    name: row.zone.clone(),
                    whole: 0,
                    is_lost: false,
                };
                self.zones.insert(at, zone);
                at
            });
            if self.zones[at].follow(row) {
                self.remember(Loss::Zone(now));
            }
            if !self.zones[at].is_lost {
                whole.push((row.zone.clone(), row.all));
            }
        }
        if !lowered {
            let (mut before, mut left) = (0, 0);
            for (zone, all) in &whole {
                if let Some(last) = self.last.iter().find(|last| last.0 == *zone) {
                    before += last.1;
                    left += all.min(&last.1);
                }
            }
            let share = 1.0 - f64::from(left) / f64::from(before.max(1));
            if before > 0 && share >= CRASH_SHARE {
                self.remember(Loss::Crash(now, share));
            }
        }
        self.last = whole;
    }

    fn remember(&mut self, loss: Loss) {
        if self.recent.len() == MAX_LOSSES {
            self.recent.remove(0);
        }
        self.recent.push(loss);
    }

    /// Most zones that were lost within one `start` of an endpoint.
    fn zones_together(&self, start: Duration) -> usize {
        let times: Vec<Instant> = self
            .recent
            .iter()
            .filter_map(|loss| match loss {
                Loss::Zone(at) => Some(*at),
                Loss::Crash(..) => None,
            })
            .collect();
        let together = |from: &Instant| {
            let rows = times.iter().filter(|at| *at >= from);
            rows.filter(|at| at.duration_since(*from) < start).count()
        };
        times.iter().map(together).max().unwrap_or(0)
    }

    /// Reserve over `zones` zones, for endpoints that take `start` to start.
    pub(super) fn reserve(&self, zones: usize, start: Duration) -> Reserve {
        let lost = self.zones_together(start).max(FIRST_WAVE_ZONES);
        let lost = lost.min(zones.saturating_sub(1));
        let crash = self.recent.iter().map(|loss| match loss {
            Loss::Zone(_) => 0.0,
            Loss::Crash(_, share) => *share,
        });
        let crash = crash.fold(0.0, f64::max).min(1.0 - 1.0 / MAX_RECLAIMABLE);
        let zones = zones.max(1) as f64;
        let left = (1.0 - lost as f64 / zones).min(1.0 - crash);
        let reclaimable = (HEADROOM / left).clamp(MIN_RECLAIMABLE, MAX_RECLAIMABLE);
        Reserve {
            reclaimable,
            on_demand: (1.0 - reclaimable * left).max(ON_DEMAND_SHARE),
            total: TOTAL,
            zones: lost,
            crash,
        }
    }
}
