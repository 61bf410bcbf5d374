//! Shares of short engines that teams are entitled to.
//!
//! Load: engines that cannot take all that teams request within their allowances, as after a wave
//! of reclaims, while one team sends several times its usual load. A queue at an engine ranks
//! requests by kind. A team that floods has more requests of every kind, so it holds most of the
//! queue, and the requests of the other teams are rejected as often as its own.
//!
//! So while engines are short, what they serve is divided among the teams by weighted max-min
//! fairness: the weight of a team is its allowance, and what it leaves of its part goes to the
//! others. A team that requests clearly more of its part than all teams do on average may only join
//! short queues, so requests of the others find room beyond those. If all teams request too much
//! alike, none is limited.
//!
//! A limit is kept for a while after the shortage. Otherwise a flood would fill the queue to its end
//! each time that the limit had worked.
//!
//! Limits concern queues only, so they take effect only while requests wait. What a team requests
//! beyond its allowance counts neither for nor against it: the allowance limits that already.
//!
//! Each daemon decides by the use of teams that all daemons report. While it hears no other daemon it
//! divides by what it knows itself.

use std::time::{Duration, Instant};

use super::max_min::{Claim, divide};

/// Time between two divisions. Reports of other daemons take about as long to arrive.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Ratio of a team's claim to its part, relative to that of all teams together, above which its
/// queues are limited. Claims and parts are measured over different spans, so the ratio varies.
const OVER_PART: f64 = 1.1;
/// Share of the longest queue that a limited team may join: a queue of a few prompts, which keeps the
/// engines busy, and as much again for the other teams.
const LIMITED_SHARE: f64 = 0.5;
/// How long a team stays limited after it was last over its part. Longer than the time in which the
/// rates of teams follow a change.
const LIMIT_TIME: Duration = Duration::from_secs(3);

/// What a team requests and gets from all daemons, in units of its allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLoad {
    /// Hash of the team's name.
    pub team: u32,
    /// Units a second that it may use.
    pub allowance: f64,
    /// Units a second that its callers request.
    pub demand: f64,
    /// Units a second that are served.
    pub rate: f64,
}

impl TeamLoad {
    /// Units a second that it requests within its allowance.
    fn claim(&self) -> f64 {
        self.demand.min(self.allowance)
    }

    fn as_claim(&self) -> Claim {
        Claim {
            weight: self.allowance,
            demand: self.claim(),
        }
    }

    fn is_valid(&self) -> bool {
        self.allowance > 0.0 && self.demand >= 0.0 && self.rate >= 0.0
    }
}

/// Teams that may join short queues only.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FairShares {
    /// Hashes of the names of limited teams and until when they are, sorted.
    limited: Vec<(u32, Instant)>,
    /// When engines are to be divided again.
    next: Option<Instant>,
}

impl FairShares {
    /// Whether engines are to be divided again.
    pub fn is_due(&self, now: Instant) -> bool {
        self.next.is_none_or(|next| now >= next)
    }

    /// Divides what engines serve among all teams with an allowance in tokens.
    pub fn update(&mut self, loads: &[TeamLoad], now: Instant) {
        self.next = Some(now + UPDATE_INTERVAL);
        self.limited.retain(|row| now < row.1);
        let loads: Vec<&TeamLoad> = loads.iter().filter(|load| load.is_valid()).collect();
        let requested: f64 = loads.iter().map(|load| load.claim()).sum();
        let served: f64 = loads.iter().map(|load| load.rate).sum();
        if requested <= served {
            return;
        }
        let claims: Vec<Claim> = loads.iter().map(|load| load.as_claim()).collect();
        for (load, part) in loads.iter().zip(divide(&claims, served)) {
            if load.claim() * served > part * requested * OVER_PART {
                self.limit(load.team, now + LIMIT_TIME);
            }
        }
    }

    fn limit(&mut self, team: u32, until: Instant) {
        match self.limited.binary_search_by_key(&team, |row| row.0) {
            Ok(at) => self.limited[at].1 = until,
            Err(at) => self.limited.insert(at, (team, until)),
        }
    }

    /// Share of the longest queue that requests of a team may join, from 0 to 1.
    pub fn share(&self, team: u32, now: Instant) -> f64 {
        let at = self.limited.binary_search_by_key(&team, |row| row.0);
        match at {
            Ok(at) if now < self.limited[at].1 => LIMITED_SHARE,
            _ => 1.0,
        }
    }
}
