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
//! Limits concern queues only, so they take effect only while requests wait, and only at services at
//! which this daemon has just rejected a request for a queue of full length. What a team requests
//! beyond its allowance counts neither for nor against it: the allowance limits that already.
//!
//! Each daemon decides by the use of teams that all daemons report. While it hears no other daemon it
//! divides by what it knows itself.

use std::time::{Duration, Instant};

use super::max_min::{Claim, divide};
use crate::ServiceId;

/// Time between two divisions. Reports of other daemons take about as long to arrive.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Ratio of what teams request to what is served above which engines may be short. Both are measured
/// over different spans, so they differ a little while all is served.
const SHORTAGE: f64 = 1.05;
/// Ratio of a team's claim to its part, relative to that of all teams together, above which its
/// queues are limited. Claims and parts are measured over different spans, so the ratio varies.
const OVER_PART: f64 = 1.1;
/// Share of the longest queue that a limited team may join: a queue of a few prompts, which keeps the
/// engines busy, and as much again for the other teams.
const LIMITED_SHARE: f64 = 0.5;
/// How long a team stays limited after it was last over its part. Longer than the time in which the
/// rates of teams follow a change.
const LIMIT_TIME: Duration = Duration::from_secs(3);
/// How long engines of a service count as busy after a request was rejected for a queue of full length.
/// While a limit works no queue gets that long, so it is twice the time of a limit.
const BUSY_TIME: Duration = Duration::from_secs(6);

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
        self.allowance > 0.0 && self.allowance.is_finite() && self.demand >= 0.0 && self.rate >= 0.0
    }
}

/// Teams that may join short queues only.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FairShares {
    /// Hashes of the names of limited teams and until when they are, sorted.
    limited: Vec<(u32, Instant)>,
    /// Services whose engines are busy and until when they count as that, sorted.
    busy: Vec<(ServiceId, Instant)>,
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
        self.busy.retain(|row| now < row.1);
        let loads: Vec<&TeamLoad> = loads.iter().filter(|load| load.is_valid()).collect();
        let requested: f64 = loads.iter().map(|load| load.claim()).sum();
        let served: f64 = loads.iter().map(|load| load.rate).sum();
        if requested <= served * SHORTAGE {
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

    /// Records that a request was rejected for a queue of full length at a service's engines.
    pub fn record_busy(&mut self, service: &ServiceId, now: Instant) {
        let until = now + BUSY_TIME;
        match self.busy.binary_search_by(|row| row.0.cmp(service)) {
            Ok(at) => self.busy[at].1 = until,
            Err(at) => self.busy.insert(at, (service.clone(), until)),
        }
    }

    fn is_busy(&self, service: &ServiceId, now: Instant) -> bool {
        let found = self.busy.binary_search_by(|row| row.0.cmp(service));
        found.is_ok_and(|at| now < self.busy[at].1)
    }

    fn is_limited(&self, team: u32, now: Instant) -> bool {
        let found = self.limited.binary_search_by_key(&team, |row| row.0);
        found.is_ok_and(|at| now < self.limited[at].1)
    }

    /// Share of the longest queue at a service's engines that requests of a team may join, from 0 to 1.
    pub fn share(&self, team: u32, service: &ServiceId, now: Instant) -> f64 {
        if self.is_limited(team, now) && self.is_busy(service, now) {
            LIMITED_SHARE
        } else {
            1.0
        }
    }
}
