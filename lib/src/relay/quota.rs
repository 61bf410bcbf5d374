//! Rate limits of teams, enforced over all daemons together.
//!
//! One team may send many times its usual load, through daemons among which its clients
//! are spread unevenly. A fixed share for each daemon would reject a team that is within
//! its allowance but happens to use one daemon only; no sharing at all would let it use
//! the allowance once at every daemon. So each daemon keeps a token bucket for the whole
//! fleet. It takes out what it admitted itself and what its peers report in their
//! digests, each in the time step in which it was admitted.
//!
//! The peers' figures are as old as their last digest. When a flood has emptied the
//! bucket and a few units come in, all daemons would see them at once and each admit its
//! whole queue of callers: bursts of three times the allowance, then seconds without any
//! admission. So when little is left and the demand exceeds the rate, each daemon takes
//! at most its share of the rate, in proportion to its share of the demand. Among
//! hundreds of daemons such a share is less than one long prompt; then each daemon admits
//! one request out of several, in the ratio of the rate to the demand.
//!
//! Which requests are admitted meanwhile follows from a division of the rate among the team's kinds
//! of requests ([`division`]). A kind that gets all that it asks is not bound by the bucket, which
//! the others may have overdrawn before their digests arrived, but by what the window has left.
//!
//! A daemon hears the others only as a sum that its watcher reports, and the watchers hear the
//! daemons of their zone one by one and the other zones as sums ([`sums`]). If reports stop
//! arriving, all daemons that they cover are unresponsive.
//!
//! A daemon that has just started does not know what was admitted before; its bucket
//! starts empty. So if the whole fleet restarts in the middle of a flood, the burst is not
//! granted a second time. A single daemon that is replaced gets its share of the current
//! rate at once.
//!
//! The duty holder keeps in the store what all daemons admitted lately, and daemons that
//! restart together start from that: a team well within its allowance is served at once
//! and a flooding one still gets nothing.
//!
//! An unresponsive daemon may be dead or on the other side of a partition, where it goes
//! on admitting requests. It is assumed to use most of an even share, so that the two
//! sides of a partition together stay near the allowance. Among a thousand daemons an even
//! share is less than one prompt. An isolated daemon then admits one request of a team in a
//! window, in the ratio of the rate to the demand that was last known: so few requests of a
//! team reach a single daemon that this is the share that they have of the fleet's.

mod allotment;
mod checkpoint;
mod demands;
pub mod division;
mod groups;
mod steps;
mod sums;

use std::time::{Duration, Instant};

pub use self::allotment::Standing;
use self::allotment::{Allotment, UNRESPONSIVE_SHARE};
use self::checkpoint::Restored;
pub use self::checkpoint::Spent;
pub use self::division::Cost;
use self::division::{Division, Kind};
pub use self::groups::{Coverage, PeerReport, TeamUse};
use self::groups::{Group, GroupTeam};
use self::steps::{StepId, Steps};
pub use self::sums::Sum;
use self::sums::Totals;
use super::catalog::{Team, Unit};
use super::request::RequestHead;
use crate::CustomerId;

/// Steps into which the sliding window is divided. A step counts until all of it has left
/// the window.
const STEPS: u32 = 40;
/// Depth of the bucket of a daemon's own share, in seconds of its rate. What builds up in
/// all shares while the fleet's bucket is empty comes out at once, so it is small.
const SHARE_BURST_SECS: f64 = 0.25;
/// Time within which a share has to bring in the units of a request, in seconds, for
/// requests to be admitted from the share's own bucket. With smaller shares, one request
/// out of several is admitted.
const THIN_SHARE_SECS: f64 = 1.0;
/// Steps over which demand shares are computed. A daemon gets a few requests of a team a
/// second, so shares over shorter spans would be mostly chance.
const SHARE_STEPS: StepId = 10;
/// How long a daemon that has just started waits for a digest of a peer before it assumes
/// that it has none. Otherwise daemons that all restart at once would each grant the whole
/// rate until their first digests arrive.
const STARTUP_WAIT: Duration = Duration::from_secs(1);
/// Span over which the current rate is computed. A flood starts within a tenth of a
/// second; over a longer span its rate is underestimated while it grows.
const RATE_SPAN: Duration = Duration::from_millis(600);
/// Shortest and longest time after which a rejected team is told to retry, in seconds.
const MIN_RETRY_SECS: f64 = 0.3;
const MAX_RETRY_SECS: f64 = 8.0;
/// How long the kinds that get all that they ask find room in what is kept for them, in seconds of
/// their demand.
const COVERED_SECS: f64 = 1.0;
/// Time over which what is left in the bucket is divided among the kinds, in seconds. If daemons
/// admitted all that is asked as soon as something is left, a flood would overdraw it again and
/// again before their digests arrive.
const SPREAD_SECS: f64 = 4.0;

/// What one team requests of a kind at this daemon lately.
#[derive(Clone, Debug)]
struct LocalKind {
    kind: Kind,
    /// Units admitted.
    steps: Steps,
    /// Units requested, admitted or not.
    demand: Steps,
    /// Sampling credit in requests, like that of the team.
    credit: f64,
}

/// What one team used at this daemon lately.
#[derive(Clone, Debug)]
struct LocalUse {
    team: CustomerId,
    /// Units admitted since the start, less refunds.
    total: u64,
    /// Units admitted.
    steps: Steps,
    /// Units requested, admitted or not.
    demand: Steps,
    /// Sampling credit in requests, from 0 to 1; the request that brings it to 1 is admitted.
    credit: f64,
    /// Sorted by kind.
    kinds: Vec<LocalKind>,
}

impl LocalUse {
    fn kind(&self, kind: Kind) -> Option<&LocalKind> {
        let at = self.kinds.binary_search_by_key(&kind, |row| row.kind);
        at.ok().map(|at| &self.kinds[at])
    }

    fn kind_mut(&mut self, kind: Kind) -> Option<&mut LocalKind> {
        let at = self.kinds.binary_search_by_key(&kind, |row| row.kind);
        at.ok().map(|at| &mut self.kinds[at])
    }
}

/// How a request of a kind fares while its team asks for more than its rate.
#[derive(Clone, Copy, Debug)]
struct Turn {
    kind: Kind,
    units: f64,
    /// Units a second that are asked at all daemons: of the kind if the rate is divided, otherwise
    /// of the team.
    demand: f64,
    /// Units a second that all daemons may grant of that.
    rate: f64,
    /// `None` if the rate is not divided.
    division: Option<Division>,
}

impl Turn {
    fn is_covered(&self) -> bool {
        self.division
            .is_some_and(|division| division.is_covered(self.kind))
    }

    /// Units that are kept for the kinds that get all that they ask. At most half of what a request
    /// would leave of `most`, or no long one would ever be admitted.
    fn reserve(&self, most: f64) -> f64 {
        let covered = self.division.map_or(0.0, |division| division.covered());
        let kept = (most - self.units).max(0.0) / 2.0;
        (covered * COVERED_SECS).min(kept)
    }
}

/// How far a team may exceed its allowance within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Share of the window's allowance.
    pub share: f64,
    /// Units in addition to that share.
    pub units: f64,
}

/// Rate limiter of all teams.
#[derive(Clone, Debug)]
pub struct Quota {
    tolerance: Tolerance,
    started: Instant,
    window: Duration,
    /// Initial sampling credit, from 0 to 1.
    phase: f64,
    /// Units a second by hash of the team's name, sorted.
    rates: Vec<(u32, f64)>,
    /// Sorted by team.
    local: Vec<LocalUse>,
    /// Whether this daemon is a watcher, which hears daemons and zones rather than their sum.
    is_watcher: bool,
    /// Daemons of this zone, sorted by name.
    peers: Vec<Group>,
    /// Other zones, sorted.
    zones: Vec<Group>,
    /// All other daemons, as a watcher reports them.
    fleet: Option<Group>,
    /// What a former watcher reported of all others before this daemon became one.
    history: Option<Group>,
    /// Until when first reports are part of that history.
    handover_until: Option<Instant>,
    /// Units of this daemon's zone and of all zones since this daemon began to count.
    zone_totals: Totals,
    fleet_totals: Totals,
    /// `None` if no checkpoint was found at the start.
    restored: Option<Restored>,
}

/// Units that a request counts.
pub fn units(team: &Team, head: &RequestHead) -> f64 {
    match (team.unit, &head.prompt) {
        (Unit::Requests, _) => 1.0,
        (Unit::Tokens(plain), None) => plain,
        (Unit::Tokens(_), Some(prompt)) => f64::from(prompt.input) + f64::from(prompt.output),
    }
}

/// Hash that stands for a name in digests.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

impl Quota {
    /// Creates the limiter; `now` is the start of the daemon.
    pub fn new(window: Duration, tolerance: Tolerance, now: Instant) -> Self {
        Self {
            tolerance,
            started: now,
            window,
            phase: 0.0,
            rates: Vec::new(),
            local: Vec::new(),
            is_watcher: false,
            peers: Vec::new(),
            zones: Vec::new(),
            fleet: None,
            history: None,
            handover_until: None,
            zone_totals: Totals::default(),
            fleet_totals: Totals::default(),
            restored: None,
        }
    }

    /// Sets the initial sampling credit, from 0 to 1. Daemons that all start at the same
    /// one would admit their first requests at the same time.
    #[must_use]
    pub fn with_phase(self, phase: f64) -> Self {
        Self { phase, ..self }
    }

    /// Admits a request and counts it.
    ///
    /// # Errors
    /// The time after which there will be room.
    pub fn admit(
        &mut self,
        team: &Team,
        cost: impl Into<Cost>,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(rate) = team.rate else {
            return Ok(());
        };
        let cost = cost.into();
        let units = cost.units;
        self.record_demand(&team.name, cost, now);
        let age = now.saturating_duration_since(self.started);
        let allotment = self.allotment(rate, team.burst, now);
        if self.daemons() == 0 && age < STARTUP_WAIT {
            if !self.fits_even_share(&team.name, units, &allotment, now) {
                let left = STARTUP_WAIT.saturating_sub(age);
                return Err(left.max(Duration::from_secs_f64(MIN_RETRY_SECS)));
            }
            self.record_admitted(&team.name, cost, now);
            return Ok(());
        }
        let available = if allotment.isolated {
            self.available_isolated(&team.name, &allotment, now)
        } else {
            self.available(&team.name, &allotment, now)
        };
        let turn = self.turn(&team.name, cost, &allotment, available, now);
        // A request larger than the bucket passes when the bucket is full: otherwise a
        // team with a small allowance could send no long prompt at all.
        let needed = if allotment.isolated {
            units
        } else {
            units.min(allotment.depth)
        };
        let missing = if turn.is_covered() {
            let room = self.window_room(&team.name, &allotment, now);
            (needed - available).min(units - room)
        } else {
            let most = if allotment.isolated {
                allotment.window_max
            } else {
                allotment.depth
            };
            needed + turn.reserve(most) - available
        };
        if missing > 0.0 {
            if allotment.isolated && self.fits_last_demand(&team.name, cost, rate, &allotment, now)
            {
                self.record_admitted(&team.name, cost, now);
                return Ok(());
            }
            return Err(retry_after(missing, allotment.rate));
        }
        let contended = if turn.division.is_some() {
            !turn.is_covered()
        } else {
            turn.demand > allotment.rate && available < self.unreported(allotment.rate)
        };
        if contended || (allotment.isolated && !turn.is_covered()) {
            self.take_from_share(&team.name, &turn, allotment.isolated, now)?;
        }
        self.record_admitted(&team.name, cost, now);
        Ok(())
    }

    /// How a request fares if its team asks for more than its rate.
    fn turn(
        &self,
        team: &CustomerId,
        cost: Cost,
        allotment: &Allotment,
        available: f64,
        now: Instant,
    ) -> Turn {
        let kind = Kind::of(cost);
        let total = self.total_demand(team, now);
        let spread = if allotment.isolated {
            0.0
        } else {
            available.max(0.0) / SPREAD_SECS
        };
        let rate = allotment.rate + spread;
        let division = (total > rate)
            .then(|| Division::new(rate, total, &self.known_demands(team, now)))
            .flatten();
        Turn {
            kind,
            units: cost.units,
            demand: division.map_or(total, |division| division.demand(kind)),
            rate: division.map_or(allotment.rate, |division| division.share(kind)),
            division,
        }
    }

    /// Takes a request out of this daemon's share of what its kind gets, or its team if the rate is
    /// not divided.
    fn take_from_share(
        &mut self,
        team: &CustomerId,
        turn: &Turn,
        isolated: bool,
        now: Instant,
    ) -> Result<(), Duration> {
        let part = if turn.demand > 0.0 {
            self.turn_demand(team, turn, now) / turn.demand
        } else {
            1.0
        };
        let (units, share) = (turn.units, part * turn.rate);
        let kind = turn.division.map(|_| turn.kind);
        // A daemon that hears half of the others has the kinds' demand there too.
        let is_alone = isolated && (kind.is_none() || part >= 1.0);
        if !is_alone && share * THIN_SHARE_SECS < units {
            return if self.sample(team, kind, turn.rate / turn.demand) {
                Ok(())
            } else {
                Err(retry_after(units, share))
            };
        }
        let level = self.share_level(team, turn, share, now);
        // A request may overdraw the share, so that long ones pass as often as short
        // ones; those after it wait longer.
        if level < 0.0 {
            return Err(retry_after(-level, share));
        }
        Ok(())
    }

    /// Selects `fraction` of the requests of a kind, or of all, at even distances; `true` for one to
    /// admit.
    fn sample(&mut self, team: &str, kind: Option<Kind>, fraction: f64) -> bool {
        let Ok(at) = self.find(team) else {
            return false;
        };
        let local = &mut self.local[at];
        let found = kind.map(|kind| local.kinds.binary_search_by_key(&kind, |row| row.kind));
        let credit = match found {
            Some(Ok(at)) => &mut local.kinds[at].credit,
            _ => &mut local.credit,
        };
        *credit += fraction;
        let selected = *credit >= 1.0;
        *credit = credit.fract();
        selected
    }

    /// Whether an isolated daemon may admit a request that is larger than its even share of a
    /// window, by the demand of all daemons before it was isolated; or one of a kind that got all
    /// that it asked then, though the even share is used up.
    fn fits_last_demand(
        &mut self,
        team: &str,
        cost: Cost,
        rate: f64,
        allotment: &Allotment,
        now: Instant,
    ) -> bool {
        let (kind, hash) = (Kind::of(cost), name_hash(team));
        let rows = self.groups().filter_map(|group| group.team(hash));
        let demand: f64 = rows.map(|row| row.demand).sum();
        // What isolated daemons admit is not corrected by reports, and the others leave them that much.
        let left = rate * UNRESPONSIVE_SHARE;
        let division = Division::new(left, demand, &self.last_demands(hash));
        let division = division.filter(|division| division.demand(kind) > 0.0);
        let is_covered = division.is_some_and(|division| division.is_covered(kind));
        let first = self.first_step(now);
        let used = self.find(team).map_or(0.0, |at| {
            let local = &self.local[at];
            let own = local.kind(kind).filter(|_| is_covered);
            own.map_or(&local.steps, |row| &row.steps).sum_since(first)
        });
        if used > 0.0 || (allotment.window_max >= cost.units && !is_covered) {
            return false;
        }
        match division {
            Some(division) => self.sample(team, Some(kind), division.fraction(kind)),
            None => self.sample(team, None, (rate / demand.max(1.0)).min(1.0)),
        }
    }

    /// Whether a daemon that has received no digest yet may admit a request: a checkpoint
    /// says what is left of the allowance and among how many daemons.
    fn fits_even_share(&self, team: &str, units: f64, allotment: &Allotment, now: Instant) -> bool {
        let Some(restored) = &self.restored else {
            return false;
        };
        let local = self.find(team).ok();
        let local = local.map_or(0.0, |at| self.local[at].steps.sum_since(0));
        let whole = self.available(team, allotment, now) + local;
        local + units <= whole / f64::from(restored.daemons.max(1))
    }

    /// Returns the units of a request that did not run.
    pub fn refund(&mut self, team: &Team, cost: impl Into<Cost>) {
        let cost = cost.into();
        let units = cost.units;
        if let Ok(at) = self.find(&team.name) {
            let local = &mut self.local[at];
            local.total = local.total.wrapping_sub(units as u64);
            if let Some(last) = local.steps.last_mut() {
                *last -= units;
            }
            let kind = local.kind_mut(Kind::of(cost));
            if let Some(last) = kind.and_then(|row| row.steps.last_mut()) {
                *last -= units;
            }
            self.add_to_totals(&team.name, -units);
        }
    }

    /// What teams use at this daemon now, sorted by team.
    pub fn team_uses(&self, now: Instant) -> Vec<TeamUse> {
        let mut rows = self.all_uses(now);
        rows.retain(|row| row.units > 0.0 || row.demand > 0.0);
        rows
    }

    /// What teams used at this daemon since its start, sorted by team.
    pub fn all_uses(&self, now: Instant) -> Vec<TeamUse> {
        let (first, recent) = (self.first_step(now), self.recent_step(now));
        let span = now.saturating_duration_since(self.step_start(recent));
        let row = |local: &LocalUse| TeamUse {
            team: name_hash(&local.team),
            units: local.steps.sum_since(first),
            total: local.total as u32,
            rate: local.steps.sum_since(recent) / span.max(RATE_SPAN).as_secs_f64(),
            demand: self.mean_rate(&local.demand, now),
        };
        let mut rows: Vec<TeamUse> = self.local.iter().map(row).collect();
        rows.sort_by_key(|row| row.team);
        rows
    }

    /// Drops what has left the window, and groups that were not reported for two windows.
    pub fn expire(&mut self, now: Instant) {
        let (window, first) = (self.window, self.first_step(now));
        for local in &mut self.local {
            local.steps.drop_before(first);
            local.demand.drop_before(first);
            for kind in &mut local.kinds {
                kind.steps.drop_before(first);
                kind.demand.drop_before(first);
            }
        }
        let is_kept = |group: &Group| now.saturating_duration_since(group.received) <= window * 2;
        self.peers.retain(is_kept);
        self.zones.retain(is_kept);
        self.fleet = self.fleet.take().filter(is_kept);
        self.history = self.history.take().filter(is_kept);
        let groups = self.peers.iter_mut().chain(&mut self.zones);
        let groups = groups.chain(&mut self.fleet).chain(&mut self.history);
        for row in groups.flat_map(|group| &mut group.teams) {
            row.steps.drop_before(first);
        }
        if first >= 0 {
            self.restored = None;
        }
    }

    /// Number of the step that contains `at`.
    fn step(&self, at: Instant) -> StepId {
        let length = (self.window / STEPS).as_nanos().max(1);
        match at.checked_duration_since(self.started) {
            Some(since) => (since.as_nanos() / length) as StepId,
            None => -1 - (self.started.duration_since(at).as_nanos() / length) as StepId,
        }
    }

    /// Oldest step that overlaps the window ending at `now`.
    fn first_step(&self, now: Instant) -> StepId {
        self.step(now) - StepId::from(STEPS)
    }

    /// First step of the span over which the current rate is computed.
    fn recent_step(&self, now: Instant) -> StepId {
        now.checked_sub(RATE_SPAN)
            .map_or(0, |at| self.step(at))
            .max(0)
    }

    /// When a step began; the start of the daemon for earlier ones.
    fn step_start(&self, step: StepId) -> Instant {
        self.started + self.window.mul_f64(step.max(0) as f64 / f64::from(STEPS))
    }

    /// Steps in which units were admitted that are new in a report, the last one before it having
    /// been received at `last_report`.
    fn new_steps(&self, last_report: Instant, received: Instant) -> (StepId, StepId) {
        let first = self.step(last_report).max(self.first_step(received));
        (first, self.step(received))
    }

    /// Units that other daemons may admit before this one learns of it. When the bucket holds
    /// less than that, daemons take from their own shares.
    fn unreported(&self, rate: f64) -> f64 {
        rate * self.longest_lag().as_secs_f64()
    }

    /// Groups of other daemons that this one hears of, none of which overlap.
    fn groups(&self) -> impl Iterator<Item = &Group> {
        self.peers.iter().chain(&self.zones).chain(&self.fleet)
    }

    /// Number of other daemons that this one hears of.
    fn daemons(&self) -> usize {
        let counts = self.groups().map(|group| group.coverage.daemons as usize);
        counts.sum()
    }

    /// Number of all daemons, as the others report it, or a checkpoint until then; `None` before
    /// either.
    pub fn fleet_size(&self) -> Option<usize> {
        let heard = self.daemons();
        let restored = self.restored.as_ref().map(|row| row.daemons as usize);
        (heard > 0).then_some(heard + 1).or(restored)
    }

    /// Number of those that are unresponsive.
    fn unresponsive(&self, now: Instant) -> usize {
        let counts = self.groups().map(|group| group.unresponsive(now) as usize);
        counts.sum()
    }

    /// Longest age of what is known of others while nothing is lost.
    fn longest_lag(&self) -> Duration {
        let lags = self.groups().map(Group::lag);
        lags.max().unwrap_or_default()
    }

    /// What this daemon and all responsive groups admitted, by step. The estimate of what a group
    /// admitted since its last report is counted in the current step.
    fn admitted(
        &self,
        team: u32,
        first: StepId,
        now: Instant,
    ) -> impl Iterator<Item = (StepId, f64)> {
        let local = self
            .local
            .iter()
            .filter(move |local| name_hash(&local.team) == team);
        let local = local.flat_map(move |local| local.steps.since(first));
        let last = self.step(now);
        let responsive = self
            .groups()
            .filter(move |group| !group.is_unresponsive(now));
        let reported = responsive.flat_map(move |group| {
            let row = group.team(team);
            let steps = row.map_or(&[][..], |row| row.steps.since(first));
            let rate = row.map_or(0.0, |row| row.rate);
            let unreported = rate * group.age(now).as_secs_f64();
            steps.iter().copied().chain([(last, unreported)])
        });
        let history = self
            .history
            .iter()
            .filter_map(move |group| group.team(team));
        let history = history.flat_map(move |row| row.steps.since(first));
        local.chain(history).copied().chain(reported)
    }

    /// Units a second that callers request for a team at all daemons.
    fn total_demand(&self, team: &str, now: Instant) -> f64 {
        let local = self.local_demand(team, now);
        local + self.sum_groups(name_hash(team), |row| row.demand, now)
    }

    /// Units a second that all daemons admit for a team lately.
    fn total_rate(&self, team: u32, now: Instant) -> f64 {
        let local = self
            .team_uses(now)
            .into_iter()
            .filter(|row| row.team == team);
        let local: f64 = local.map(|row| row.rate).sum();
        local + self.sum_groups(team, |row| row.rate, now)
    }

    /// Sums a rate of a team over all responsive groups.
    fn sum_groups(&self, team: u32, rate: impl Fn(&GroupTeam) -> f64, now: Instant) -> f64 {
        let responsive = self.groups().filter(|group| !group.is_unresponsive(now));
        responsive
            .filter_map(|group| group.team(team))
            .map(rate)
            .sum()
    }

    /// Units a second that callers request for a team at this daemon.
    fn local_demand(&self, team: &str, now: Instant) -> f64 {
        let at = self.find(team);
        at.map_or(0.0, |at| self.mean_rate(&self.local[at].demand, now))
    }

    /// Units a second that callers request at this daemon: of the kind if the rate is divided,
    /// otherwise of the team.
    fn turn_demand(&self, team: &str, turn: &Turn, now: Instant) -> f64 {
        if turn.division.is_none() {
            return self.local_demand(team, now);
        }
        let local = self.find(team).ok().map(|at| &self.local[at]);
        let row = local.and_then(|local| local.kind(turn.kind));
        row.map_or(0.0, |row| self.mean_rate(&row.demand, now))
    }

    /// Units a second over the last [`SHARE_STEPS`].
    fn mean_rate(&self, steps: &Steps, now: Instant) -> f64 {
        let first = (self.step(now) - SHARE_STEPS).max(0);
        let span = now.saturating_duration_since(self.step_start(first));
        steps.sum_since(first) / span.max(RATE_SPAN).as_secs_f64()
    }

    /// Level of the bucket of this daemon's own share, which gains `rate` units a second.
    fn share_level(&self, team: &str, turn: &Turn, rate: f64, now: Instant) -> f64 {
        let Ok(at) = self.find(team) else {
            return 0.0;
        };
        let local = &self.local[at];
        let kind = turn.division.and_then(|_| local.kind(turn.kind));
        let taken = kind.map_or(&local.steps, |row| &row.steps);
        let depth = rate * SHARE_BURST_SECS;
        let mut level = depth;
        let mut last = self.first_step(now);
        let length = self.window.as_secs_f64() / f64::from(STEPS);
        for (step, units) in taken.since(last) {
            let gained = (step - last) as f64 * length * rate;
            level = (level + gained).min(depth) - units;
            last = *step;
        }
        let since = now.saturating_duration_since(self.step_start(last));
        (level + since.as_secs_f64() * rate).min(depth)
    }

    /// Counts units that a caller requests.
    fn record_demand(&mut self, team: &CustomerId, cost: Cost, now: Instant) {
        let kind = Kind::of(cost);
        let step = self.step(now);
        let at = self.find(team).unwrap_or_else(|at| {
            let local = LocalUse {
                team: team.clone(),
                total: 0,
                steps: Steps::default(),
                demand: Steps::default(),
                credit: self.phase,
                kinds: Vec::new(),
            };
            self.local.insert(at, local);
            at
        });
        let local = &mut self.local[at];
        local.demand.add(step, cost.units);
        let found = local.kinds.binary_search_by_key(&kind, |row| row.kind);
        let at = found.unwrap_or_else(|at| {
            let row = LocalKind {
                kind,
                steps: Steps::default(),
                demand: Steps::default(),
                credit: self.phase,
            };
            local.kinds.insert(at, row);
            at
        });
        local.kinds[at].demand.add(step, cost.units);
    }

    /// Counts units that are admitted, after [`Self::record_demand`].
    fn record_admitted(&mut self, team: &CustomerId, cost: Cost, now: Instant) {
        let step = self.step(now);
        let units = cost.units;
        if let Ok(at) = self.find(team) {
            let local = &mut self.local[at];
            local.total = local.total.wrapping_add(units as u64);
            local.steps.add(step, units);
            if let Some(row) = local.kind_mut(Kind::of(cost)) {
                row.steps.add(step, units);
            }
            self.add_to_totals(team, units);
        }
    }

    /// Index of a team in `local`, or where it would be inserted.
    fn find(&self, team: &str) -> Result<usize, usize> {
        self.local
            .binary_search_by(|local| local.team.as_str().cmp(team))
    }
}

/// Time until `missing` units have come in at `rate` a second.
fn retry_after(missing: f64, rate: f64) -> Duration {
    Duration::from_secs_f64((missing / rate).clamp(MIN_RETRY_SECS, MAX_RETRY_SECS))
}
