//! Stages of a move: how many requests go to the new version, to how many
//! endpoints, and until when.
//!
//! A fault under load shows only at an endpoint that is loaded. With one request in
//! a hundred spread over ten new endpoints, each of them is nearly idle; the stage
//! passes, and the fault reaches half of all callers in a later one. So a stage
//! defines the number `k` of endpoints that the new version may use, and its share
//! is the one that loads these as heavily as the old ones: `k / (k + endpoints)`.
//! The same holds at the other end: until the move is done, a few old endpoints
//! keep the share that loads them as heavily as the new ones. They stay warm, and
//! they are the control group for the new version; without them, an hour in which
//! the platform is slow would look like a fault of the new version.
//!
//! Non-idempotent requests follow two stages behind: a failed one can't be retried
//! at the old version, so its caller would get the failure.

use std::time::Duration;

use crate::moves::share::{FULL_SHARE, Share};

/// Index of a stage, from 0 to [`LAST_STAGE`].
pub type Stage = u8;

/// Wall-clock milliseconds since 1970, as in the store.
pub type WallMs = u64;

/// The stage at full share.
pub const LAST_STAGE: Stage = 6;

/// Shortest stage: the evidence of one gossip round (1 s), its transit time (up to
/// 2 s) and one more round to see its effect.
pub const MIN_STAGE_TIME: Duration = Duration::from_secs(5);

/// Shortest watch period at full share: two shortest stages.
pub const MIN_WATCH_TIME: Duration = Duration::from_secs(10);

/// Time kept free before the finish-by time, in hundredths. It covers a lease that
/// lapses and is taken over by another daemon, and a suspicion that has to be
/// resolved.
pub const SPARE_HUNDREDTHS: u64 = 10;

/// Parts of the time that the stages get, in hundredths. The second and third are
/// as long as any, as they are the first ones under load; the last one is the watch
/// period.
const STAGE_HUNDREDTHS: [u64; LAST_STAGE as usize + 1] = [10, 15, 15, 15, 10, 10, 15];

/// Share of the first stage: one in a hundred, so that a version that fails every
/// request fails few of them before 3 failures show.
const FIRST_SHARE: Share = 10_000;

/// Largest share of the second stage. Pools of fewer than four endpoints give up
/// the equal load there rather than put a quarter of the callers at risk.
const MAX_SECOND_SHARE: Share = 200_000;

/// Shares that the later stages aim for; the nearest share that gives equal load is
/// used.
const SECOND_SHARE: Share = 50_000;
const THIRD_SHARE: Share = 250_000;
const HALF_SHARE: Share = 500_000;
/// Share that the old version keeps until the move is done, before it is fitted
/// to a whole number of endpoints.
const KEPT_SHARE: Share = 20_000;

/// Share of non-idempotent requests under suspicion, once they have begun to move.
/// Without any of them, a suspicion on their routes could never be resolved.
const CAUTIOUS_NON_IDEMPOTENT: Share = 50_000;

/// Shares of a stage by kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Of idempotent requests.
    pub idempotent: Share,
    /// Of non-idempotent requests.
    pub non_idempotent: Share,
}

impl Shares {
    /// Nothing goes to the new version.
    pub const NONE: Self = Self {
        idempotent: 0,
        non_idempotent: 0,
    };

    /// Share of all requests, when the share `idempotent` of them is idempotent.
    pub fn total(self, idempotent: Share) -> Share {
        fraction_of(self.idempotent, idempotent)
            + fraction_of(self.non_idempotent, FULL_SHARE.saturating_sub(idempotent))
    }

    /// Share of one kind of request.
    pub fn of(self, idempotent: bool) -> Share {
        if idempotent {
            self.idempotent
        } else {
            self.non_idempotent
        }
    }
}

/// Number of endpoints of each version that a stage may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Of the old version.
    pub old: u32,
    /// Of the new version.
    pub new: u32,
}

/// Size of a service when its move was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scale {
    /// Endpoints of the old version.
    pub endpoints: u32,
    /// Share of the requests that are idempotent.
    pub idempotent: Share,
}

/// Shares that the stages aim for.
const TARGETS: [Shares; LAST_STAGE as usize + 1] = [
    target(FIRST_SHARE, 0),
    target(SECOND_SHARE, 0),
    target(THIRD_SHARE, 0),
    target(HALF_SHARE, FIRST_SHARE),
    target(FULL_SHARE, SECOND_SHARE),
    target(FULL_SHARE, THIRD_SHARE),
    target(FULL_SHARE, FULL_SHARE),
];

const fn target(idempotent: Share, non_idempotent: Share) -> Shares {
    Shares {
        idempotent,
        non_idempotent,
    }
}

/// Largest share of the idempotent requests in each stage.
const MAX_IDEMPOTENT_SHARES: [Share; LAST_STAGE as usize + 1] = [
    FIRST_SHARE,
    MAX_SECOND_SHARE,
    HALF_SHARE,
    FULL_SHARE,
    FULL_SHARE,
    FULL_SHARE,
    FULL_SHARE,
];

/// Shares of a stage.
///
/// The share of idempotent requests is shifted from the stage's target until a
/// whole number of endpoints is loaded evenly.
pub fn shares(stage: Stage, scale: Scale) -> Shares {
    let stage = stage.min(LAST_STAGE);
    let target = capped_target(stage, scale);
    if stage == 0 || stage == LAST_STAGE {
        return target;
    }
    // Rounding to whole endpoints can give a slightly lower share in a later stage;
    // a share must never fall.
    let fits = (1..=stage).map(|stage| fitted_share(stage, scale));
    Shares {
        idempotent: fits.max().unwrap_or(target.idempotent),
        non_idempotent: target.non_idempotent,
    }
}

fn capped_target(stage: Stage, scale: Scale) -> Shares {
    let full = FULL_SHARE - kept_share(scale.endpoints);
    let target = TARGETS[usize::from(stage)];
    Shares {
        idempotent: target.idempotent.min(full),
        non_idempotent: target.non_idempotent.min(full),
    }
}

/// Share of idempotent requests that fits one stage, regardless of the stages
/// before it.
fn fitted_share(stage: Stage, scale: Scale) -> Share {
    let full = FULL_SHARE - kept_share(scale.endpoints);
    fit_share(
        capped_target(stage, scale),
        full.min(MAX_IDEMPOTENT_SHARES[usize::from(stage)]),
        scale,
    )
}

/// Shares of a stage under suspicion.
///
/// They too load the endpoint of the new version that is left in use as heavily as
/// the old ones: with less load, a slow version would look as fast as the old one,
/// be cleared, and be suspected again.
pub fn cautious_shares(stage: Stage, scale: Scale) -> Shares {
    let full = shares(stage, scale);
    let non_idempotent = full.non_idempotent.min(CAUTIOUS_NON_IDEMPOTENT);
    let idempotent = fit_share(
        target(SECOND_SHARE, non_idempotent),
        MAX_SECOND_SHARE,
        scale,
    );
    Shares {
        idempotent: idempotent.min(full.idempotent),
        non_idempotent,
    }
}

/// Share of idempotent requests near a target with which a whole number of
/// endpoints is loaded evenly.
fn fit_share(target: Shares, most: Share, scale: Scale) -> Share {
    let other = fraction_of(target.non_idempotent, FULL_SHARE - scale.idempotent);
    let even_shares = even_shares(target.total(scale.idempotent), scale.endpoints);
    even_shares
        .map(|whole| kind_share(whole, other, scale.idempotent, target.idempotent))
        .find(|share| (FIRST_SHARE..=most).contains(share))
        .unwrap_or(most)
}

/// Shares near `target` that load a whole number of endpoints evenly: the nearest
/// first, then smaller ones.
fn even_shares(target: Share, endpoints: u32) -> impl Iterator<Item = Share> {
    let all = endpoints.max(1);
    let few = target.min(FULL_SHARE - target);
    let k = endpoints_for(few, all);
    (0..2).map(move |more| {
        if target > HALF_SHARE {
            FULL_SHARE - even_share(k + more, all)
        } else {
            even_share(k.saturating_sub(more).max(1), all)
        }
    })
}

/// Share that loads `k` endpoints as heavily as `all` others.
fn even_share(k: u32, all: u32) -> Share {
    (u64::from(FULL_SHARE) * u64::from(k) / u64::from(k + all)) as Share
}

/// Share of one kind of request with which all kinds together get `whole`.
fn kind_share(whole: Share, other: Share, weight: Share, without: Share) -> Share {
    if weight == 0 {
        return without;
    }
    let rest = u64::from(whole.saturating_sub(other));
    (rest * u64::from(FULL_SHARE) / u64::from(weight)).min(u64::from(FULL_SHARE)) as Share
}

fn fraction_of(share: Share, of: Share) -> Share {
    (u64::from(share) * u64::from(of) / u64::from(FULL_SHARE)) as Share
}

/// Numbers of endpoints with which old and new ones are loaded evenly, when the
/// share `total` of all requests goes to the new version.
pub fn endpoint_counts(total: Share, endpoints: u32) -> EndpointCounts {
    let all = endpoints.max(1);
    if total <= HALF_SHARE {
        let new = if total < HALF_SHARE {
            endpoints_for(total, all)
        } else {
            u32::MAX
        };
        return EndpointCounts { old: all, new };
    }
    EndpointCounts {
        old: endpoints_for(FULL_SHARE.saturating_sub(total), all).min(all),
        new: u32::MAX,
    }
}

/// Share that old endpoints keep until the move is done.
fn kept_share(endpoints: u32) -> Share {
    let all = endpoints.max(1);
    even_share(endpoints_for(KEPT_SHARE, all), all).min(MAX_SECOND_SHARE)
}

/// Number of endpoints that `target` loads as heavily as the `all` others; rounded
/// up where rounding down would overload them by more than an eighth.
fn endpoints_for(target: Share, all: u32) -> u32 {
    let exact = f64::from(target) * f64::from(all) / f64::from((FULL_SHARE - target).max(1));
    // A share computed for a whole number of endpoints lies up to a millionth below
    // the exact one.
    let down = (exact + 0.01).floor();
    let count = if exact <= down * 1.125 {
        down
    } else {
        down + 1.0
    };
    (count as u32).max(1)
}

/// When a stage that begins at `now` ends, for a move that must finish by `finish`.
///
/// The remaining time is divided among the remaining stages, so a move that lost
/// time to an outage of the store shortens them all evenly.
pub fn due(stage: Stage, now: WallMs, finish: WallMs) -> WallMs {
    let at = usize::from(stage.min(LAST_STAGE));
    let rest: u64 = STAGE_HUNDREDTHS[at..].iter().sum();
    let left = finish.saturating_sub(now);
    let length = left * STAGE_HUNDREDTHS[at] / (rest + SPARE_HUNDREDTHS);
    let least = if stage >= LAST_STAGE {
        MIN_WATCH_TIME
    } else {
        MIN_STAGE_TIME
    };
    now + length.max(least.as_millis() as u64)
}

/// Shortest time in which a move can finish.
pub fn min_move_time() -> Duration {
    let stages = MIN_STAGE_TIME * u32::from(LAST_STAGE) + MIN_WATCH_TIME;
    stages * 100 / (100 - SPARE_HUNDREDTHS as u32)
}
