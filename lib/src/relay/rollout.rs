//! Moves a service's requests to a new version of its endpoints by a given time.
//!
//! A new version may fail or slow down at once, after a while, under load, or on one route
//! only. An even share of the requests from the start would expose half of all callers to its
//! faults before anybody noticed. So each daemon sends the new version a few percent of its own
//! requests first, and limits them to as many endpoints as that share loads like the old ones.
//! Since each daemon keeps to the share independently, the bound on what a bad version receives
//! holds in every partition, without coordination. The daemons add up what all of them observed
//! (see [`evidence`]). A verdict against the version is final and spreads with the daemons'
//! digests.
//!
//! A verdict compares both versions at the same time, so it needs requests at both. Once all requests
//! go to the new version, an outage of the platform looks like a fault of the version. So what it
//! fails then only raises a suspicion: the new version goes back to the share of the trial, and the
//! answers of the old one show what it was. On trial, a suspicion has the version tried at all its
//! endpoints, as a single one may fail by itself.
//!
//! What was not observed is not taken for good. A version gets all requests only after enough answers
//! of it on trial, and the move is completed only after it has had them for a while, at enough
//! endpoints and without a suspicion. A service with few requests would never come so far by a share of
//! them, so the first requests of a move go beyond it, as far as the slack of the bound allows. A move
//! that cannot be judged by its deadline stays on trial, and is rolled back some time later: its
//! callers have lost nothing, and operators can order it again.
//!
//! A good version gets all requests well before the deadline: the old endpoints are stopped
//! without draining once the move is reported as completed, which would cut off the requests
//! that they still work on.

pub mod evidence;

use evidence::{Comparison, Finding, Key, LEVELS, Observations, Sample};

use super::endpoint_table::VersionEndpoints;
use super::quota::name_hash;
use crate::{EndpointId, ServiceId, VersionId, era_of};

/// Unix time in milliseconds, by the clock that all daemons agree on.
pub type UnixMs = u64;

/// Stages of a move: the fraction of the move's time from which each applies, and the share of
/// requests that the new version gets, as a multiple of the share that a bad version may get
/// over the whole move. The last stage is unlimited. A fault that shows at once meets half of
/// that share for a third of the time, and one that shows under load still finds two thirds of
/// it unused. The last stage leaves the old endpoints a quarter of the time to finish what they
/// work on.
const STAGES: [(f64, f64); LEVELS as usize] =
    [(0.0, 0.0), (0.04, 0.5), (0.4, 1.5), (0.6, f64::INFINITY)];
/// Stage to whose share the new version goes back while it is suspected.
const SUSPECTED_STAGE: usize = 2;
/// How long a suspicion lasts after the last sign, in milliseconds; longer by as much for each one
/// that was raised before while the version had all requests.
const SUSPICION_MS: UnixMs = 3000;
/// How long doubts about a version last after the last sign, in milliseconds.
const DOUBT_MS: UnixMs = 1000;
/// How long a version must have had all requests without a suspicion before the move is completed,
/// in milliseconds.
const SETTLE_MS: UnixMs = 1000;
/// Suspicions during the last stage after which the new version stays on trial. One that fails only
/// under the load of all requests does well again as soon as it is on trial.
const MAX_SUSPICIONS: usize = 3;
/// Most suspicions that are remembered; older ones matter only for answers that are long under way.
const KEPT_SUSPICIONS: usize = 32;
/// Number of time slots of a move that are counted separately, and bounds of a slot's length in
/// milliseconds.
const SLOTS: u64 = 12;
const MIN_SLOT_MS: UnixMs = 1000;
const MAX_SLOT_MS: UnixMs = 5000;
/// Greatest number of a slot; a move that goes on for longer stays in it.
const MAX_SLOT: u32 = u32::MAX / LEVELS - 1;
/// Part of a request by which the new version may be ahead of its share, so that evidence begins
/// to come soon after each change of the share.
const ROUNDING: f64 = 0.5;
/// Shortest time between two looks at the evidence, in milliseconds.
const CHECK_MS: UnixMs = 50;
/// Answers of the new version on trial before it gets all requests.
const MIN_TRIAL_ANSWERS: u32 = 40;
/// Part of the slack of the bound that the first requests of a move use.
const SLACK_SHARE: f64 = 0.7;
/// Time from the start of a daemon until it has found the moves that are under way, in milliseconds.
const DISCOVERY_MS: UnixMs = 5000;
/// Fraction of the move's time for which the version must have had all requests before the move is
/// completed.
const MIN_FULL_TIME: f64 = 0.1;
/// Endpoints of the new version for each one of the old version without which a move is not completed.
/// More than the work needs are kept for reclaims.
const MIN_ENDPOINT_SHARE: f64 = 0.33;
/// How long after its deadline a move that could not be judged is rolled back, in milliseconds.
const JUDGE_MS: UnixMs = 15_000;
/// Fraction of the move's time after which the move is reported as completed as soon as the old
/// endpoints are empty.
const EARLIEST_COMPLETION: f64 = 0.85;
/// Fraction of the move's time after which it is reported as completed whatever the old endpoints
/// still do; the report takes a call or two.
const LATEST_COMPLETION: f64 = 0.94;
/// Load of each endpoint of the new version during the trial, as a multiple of the load of an
/// old one. The extra load shows faults that appear under load while few callers can meet them.
const TRIAL_LOAD: f64 = 1.5;

/// State of a move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// In progress.
    #[default]
    Running,
    /// All requests go to the new version.
    Completed,
    /// The new version was found to be bad and gets no requests.
    RolledBack,
}

/// A version move that operators ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: ServiceId,
    /// Version that the service's requests are to go to.
    pub target: VersionId,
    /// Revision of the order in the store; distinguishes two orders.
    pub revision: u64,
}

impl Order {
    /// Whether another order of this service may be the same one, read or written again after the
    /// store came back from an older copy and assigned revisions anew.
    fn may_be_same(&self, other: &Self) -> bool {
        self.target == other.target && era_of(self.revision) != era_of(other.revision)
    }
}

/// Effect of an observation on a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveChange {
    /// Nothing.
    None,
    /// The new version is suspected from now on.
    Suspected,
    /// The move has ended.
    Ended,
}

/// A suspicion against a new version, until its sign is too old.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    from: UnixMs,
    until: UnixMs,
    /// Whether the version had all requests.
    at_full: bool,
}

/// Endpoints at which a new version is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// How many.
    pub count: u32,
    /// Number of the first one in the order of their ids, which goes round.
    pub first: u32,
}

/// State of a service's move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Version that the service's requests are to go to.
    pub target: VersionId,
    /// State of the move.
    pub outcome: Outcome,
    /// When this daemon learned that it has ended.
    pub ended: Option<UnixMs>,
}

/// Which versions a request may go to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Versions {
    /// Any.
    #[default]
    Any,
    /// Only this version, on trial at some of its endpoints if these are given.
    Only(VersionId, Option<Trial>),
    /// Any except this one.
    Not(VersionId),
}

impl Versions {
    /// Whether an endpoint of a version may be used.
    pub fn allow(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(wanted, _) => version == wanted,
            Self::Not(other) => version != other,
        }
    }

    /// Versions for a request that found no endpoint at these; `None` if there are none. A
    /// request that is kept away from a version must not reach it through a fallback.
    pub fn fallback(&self) -> Option<Self> {
        match self {
            Self::Any | Self::Not(_) => None,
            Self::Only(target, Some(_)) => Some(Self::Not(target.clone())),
            Self::Only(_, None) => Some(Self::Any),
        }
    }
}

/// Report on a move, as daemons exchange it in their digests.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveReport {
    /// The order.
    pub order: Order,
    /// When the move began.
    pub begin: UnixMs,
    /// When the move is due.
    pub finish: UnixMs,
    /// State of the move, as the reporting daemon knows it.
    pub outcome: Outcome,
    /// State that the store holds, as the reporting daemon knows it.
    pub stored: Option<Outcome>,
    /// Since when enough answers of the new version were observed for it to get all requests.
    pub tried: Option<UnixMs>,
    /// Until when the new version is suspected or did worse than the old one; 0 if it did not.
    pub doubted: UnixMs,
    /// What the reporting daemon itself observed lately.
    pub comparisons: Vec<(Key, Comparison)>,
    /// Whether the order cannot be one from a former era of the store.
    pub is_fresh: bool,
    /// Whether the reporting daemon goes on with a move of a former era.
    pub is_carried: bool,
}

/// One move.
#[derive(Clone, Debug)]
struct Move {
    order: Order,
    /// Whether the order cannot be one from a former era of the store.
    is_fresh: bool,
    /// Whether the move began in a former era, and its order was read again.
    is_carried: bool,
    begin: UnixMs,
    finish: UnixMs,
    outcome: Outcome,
    /// When this daemon learned that it has ended.
    ended: Option<UnixMs>,
    /// State that the store holds for this order; `None` if it holds none.
    stored: Option<Outcome>,
    /// Share of requests for the new version that applies now, the requests since it applies,
    /// and those of them that went to the new version. If they were counted from the order on,
    /// each larger share would begin with a run of requests that all go to the new version.
    share: f64,
    requests: u64,
    moved: u64,
    /// When this daemon learned of the order.
    found: UnixMs,
    /// Requests that this daemon may still send to the new version beyond the share; `None` before the
    /// first stage with a share.
    extra: Option<f64>,
    /// Since when the version may get all requests: enough of its answers were observed.
    tried: Option<UnixMs>,
    /// Until when the version does not get all requests, as it did worse than the old one.
    doubted: UnixMs,
    /// Most endpoints of the new version that were seen. Those that have left since do not make the
    /// rest stand for the version.
    endpoints: u32,
    /// In the order of time; the last one may still be extended.
    suspicions: Vec<Suspicion>,
    observations: Observations,
    /// When the evidence may be looked at again.
    next_check: UnixMs,
}

/// The last move of each service, sorted by service.
#[derive(Clone, Debug)]
pub struct Rollouts {
    /// Share of a service's requests that a bad version may get.
    exposure: f64,
    /// Requests that it may get in addition, over all daemons.
    slack: f64,
    /// Number of all daemons; `None` while it is not known.
    daemons: Option<usize>,
    /// When this daemon started.
    started: UnixMs,
    moves: Vec<Move>,
}

/// State of a move that is to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The service.
    pub service: ServiceId,
    /// Version of the order.
    pub target: VersionId,
    /// State of the move.
    pub outcome: Outcome,
}

impl Rollouts {
    /// Creates a set without moves; a bad version may get the share `exposure` of all requests.
    pub fn new(exposure: f64) -> Self {
        Self {
            exposure,
            slack: 0.0,
            daemons: None,
            started: 0,
            moves: Vec::new(),
        }
    }

    /// Lets a bad version get some requests in addition to its share, over all daemons. This one
    /// started at `started`: of moves that it finds then, it may have sent them before.
    #[must_use]
    pub fn with_slack(self, slack: f64, started: UnixMs) -> Self {
        Self {
            slack,
            started,
            ..self
        }
    }

    /// Records how many daemons share the slack; `None` if it is not known.
    pub fn record_fleet(&mut self, daemons: Option<usize>) {
        self.daemons = daemons;
    }

    /// Starts the move of an order that is due at `finish`, and returns whether it is new. An
    /// order that is known already, or older than the known one, changes nothing.
    pub fn add_order(&mut self, order: Order, now: UnixMs, finish: UnixMs) -> bool {
        self.insert_order(order, false, now, (now, finish))
    }

    /// Like [`Rollouts::add_order`], for an order that cannot be one from a former era of the store: it
    /// was written after a daemon had acquired the duties in this era.
    pub fn add_fresh_order(&mut self, order: Order, now: UnixMs, finish: UnixMs) -> bool {
        self.insert_order(order, true, now, (now, finish))
    }

    /// Inserts the move of an order that was found at `found`.
    fn insert_order(
        &mut self,
        order: Order,
        is_fresh: bool,
        found: UnixMs,
        span: (UnixMs, UnixMs),
    ) -> bool {
        let at = match self.find(&order.service) {
            Ok(at) => at,
            Err(at) => {
                self.moves
                    .insert(at, Move::new(order, is_fresh, found, span));
                return true;
            }
        };
        let row = &mut self.moves[at];
        if row.order.revision > order.revision {
            return false;
        }
        if row.order.revision == order.revision {
            // Another daemon knows better that it is not the order of the former move.
            let is_mistaken = is_fresh && row.is_carried;
            row.is_fresh |= is_fresh;
            if is_mistaken {
                *row = Move::new(order, is_fresh, found, span);
            }
            return is_mistaken;
        }
        if !is_fresh && row.order.may_be_same(&order) {
            row.order = order;
            row.is_carried = true;
            row.is_fresh = false;
            // The state may have been lost from the store, so it is written again.
            row.stored = None;
            return false;
        }
        *row = Move::new(order, is_fresh, found, span);
        true
    }

    /// Applies the state of a move that the store holds, written at `revision`. A state that is
    /// older than the order belongs to the previous move.
    pub fn apply_status(&mut self, service: &str, target: &str, outcome: Outcome, revision: u64) {
        let Ok(at) = self.find(service) else {
            return;
        };
        let row = &mut self.moves[at];
        if row.order.target == target && row.order.revision < revision {
            row.record_stored(outcome);
        }
    }

    /// Merges another daemon's report.
    pub fn merge(&mut self, name: &str, report: &MoveReport, now: UnixMs) -> MoveChange {
        let span = (report.begin, report.finish);
        self.insert_order(report.order.clone(), report.is_fresh, now, span);
        let Ok(at) = self.find(&report.order.service) else {
            return MoveChange::None;
        };
        let row = &mut self.moves[at];
        if row.order != report.order || (row.is_fresh && report.is_carried) {
            return MoveChange::None;
        }
        // A daemon that started later took the order for a new one.
        row.begin = row.begin.min(report.begin);
        row.finish = row.finish.min(report.finish);
        row.tried = match (row.tried, report.tried) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (own, other) => own.or(other),
        };
        // A daemon that hears fewer others has seen less against the version.
        row.doubted = row.doubted.max(report.doubted);
        row.observations.merge(name, &report.comparisons);
        let before = row.outcome;
        // The other daemon may have read an earlier state.
        let is_open = row.stored.is_none_or(|known| known == Outcome::Running);
        if let Some(stored) = report.stored.filter(|_| is_open) {
            row.record_stored(stored);
        }
        row.apply_outcome(report.outcome);
        if before != row.outcome {
            return MoveChange::Ended;
        }
        row.check(now)
    }

    /// Reports on all moves for this daemon's digest.
    pub fn reports(&self, now: UnixMs) -> impl Iterator<Item = MoveReport> {
        self.moves.iter().map(move |row| MoveReport {
            order: row.order.clone(),
            begin: row.begin,
            finish: row.finish,
            outcome: row.outcome,
            stored: row.stored,
            tried: row.tried,
            doubted: row.doubted_until(),
            comparisons: row.observations.report(now),
            is_fresh: row.is_fresh,
            is_carried: row.is_carried,
        })
    }

    /// Chooses the versions that a new request of a service may go to, and counts the request.
    /// `endpoints` returns how many of the service's endpoints have the given version, and others.
    pub fn choose_versions(
        &mut self,
        service: &str,
        endpoints: impl FnOnce(&str) -> VersionEndpoints,
        now: UnixMs,
    ) -> Versions {
        let Ok(at) = self.find(service) else {
            return Versions::Any;
        };
        let daemons = self.daemons.map(|daemons| daemons.max(1) as f64);
        let extra = daemons.map_or(0.0, |daemons| self.slack * SLACK_SHARE / daemons);
        let first_new = self.started.saturating_add(DISCOVERY_MS);
        let row = &mut self.moves[at];
        let target = row.order.target.clone();
        match row.outcome {
            Outcome::Completed => return Versions::Only(target, None),
            Outcome::RolledBack => return Versions::Not(target),
            Outcome::Running => {}
        }
        let endpoints = endpoints(&target);
        row.endpoints = row.endpoints.max(endpoints.new);
        if endpoints.old == 0 {
            // There is no endpoint left to compare with or to fall back to.
            return Versions::Any;
        }
        let multiple = STAGES[row.level(now)].1;
        let share = (multiple * self.exposure).min(1.0);
        if (share - row.share).abs() > f64::EPSILON {
            (row.share, row.requests, row.moved) = (share, 0, 0);
        }
        row.requests += 1;
        if share >= 1.0 {
            row.moved += 1;
            return Versions::Only(target, None);
        }
        let is_beyond = (row.moved + 1) as f64 > row.requests as f64 * share + ROUNDING;
        if is_beyond && !(row.found >= first_new && row.take_extra(share, extra, endpoints.new)) {
            return Versions::Not(target);
        }
        row.moved += u64::from(!is_beyond);
        let count = if is_beyond || row.is_suspected(now) {
            endpoints.new.max(1)
        } else {
            let load = f64::from(endpoints.old) * share / TRIAL_LOAD;
            load.ceil().max(1.0) as u32
        };
        // Others in each slot, so that the evidence does not rest on a few of them.
        let first = row.slot(now).wrapping_mul(count);
        Versions::Only(target, Some(Trial { count, first }))
    }

    /// Versions that a request may still go to, for which others were chosen before: a verdict
    /// also holds for requests that wait or are sent again.
    pub fn still_allowed(&self, service: &str, chosen: &Versions) -> Versions {
        let row = self.find(service).map(|at| &self.moves[at]);
        match row {
            Ok(row) if row.outcome == Outcome::RolledBack => {
                Versions::Not(row.order.target.clone())
            }
            _ => chosen.clone(),
        }
    }

    /// Records the result of a request on a route at an endpoint of a version.
    pub fn record(
        &mut self,
        service: &str,
        route: &str,
        (endpoint, version): (&EndpointId, &VersionId),
        sample: Sample,
        now: UnixMs,
    ) -> MoveChange {
        let Ok(at) = self.find(service) else {
            return MoveChange::None;
        };
        let row = &mut self.moves[at];
        if row.outcome != Outcome::Running {
            return MoveChange::None;
        }
        let is_new = *version == row.order.target;
        let key = Key {
            route: name_hash(route),
            period: row.period(sample.sent),
            endpoint: if is_new {
                name_hash(endpoint).max(1)
            } else {
                0
            },
        };
        row.observations.record(key, sample, now);
        row.check(now)
    }

    /// Returns the states that the duty holder has to write to the store now. `endpoints` returns
    /// how many of a service's endpoints have the given version, and others.
    pub fn due_statuses(
        &mut self,
        now: UnixMs,
        endpoints: impl Fn(&str, &str) -> VersionEndpoints,
    ) -> Vec<Status> {
        let mut due = Vec::new();
        for row in &mut self.moves {
            if row.outcome == Outcome::Running {
                row.decide(now, endpoints(&row.order.service, &row.order.target));
            }
            if row.stored != Some(row.outcome) {
                due.push(Status {
                    service: row.order.service.clone(),
                    target: row.order.target.clone(),
                    outcome: row.outcome,
                });
            }
        }
        due
    }

    /// State of the last move of a service; `None` if none was ordered. A move that has ended is
    /// noticed here.
    pub fn progress(&mut self, service: &str, now: UnixMs) -> Option<Progress> {
        let at = self.find(service).ok()?;
        let row = &mut self.moves[at];
        if row.outcome != Outcome::Running {
            row.ended.get_or_insert(now);
        }
        Some(Progress {
            target: row.order.target.clone(),
            outcome: row.outcome,
            ended: row.ended,
        })
    }

    /// Counts of all daemons for the move of a service, over the whole move and all routes.
    pub fn totals(&self, service: &str) -> Comparison {
        let found = self.find(service).ok();
        found.map_or_else(Comparison::default, |at| {
            self.moves[at].observations.totals()
        })
    }

    /// Whether any move was ordered.
    pub fn is_empty(&self) -> bool {
        self.moves.is_empty()
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.moves
            .binary_search_by(|row| row.order.service.as_str().cmp(service))
    }
}

impl Move {
    fn new(order: Order, is_fresh: bool, found: UnixMs, (begin, finish): (UnixMs, UnixMs)) -> Self {
        Self {
            order,
            is_fresh,
            is_carried: false,
            begin,
            finish,
            outcome: Outcome::Running,
            ended: None,
            stored: None,
            share: 0.0,
            requests: 0,
            moved: 0,
            found,
            extra: None,
            tried: None,
            doubted: 0,
            endpoints: 0,
            suspicions: Vec::new(),
            observations: Observations::default(),
            next_check: begin,
        }
    }

    /// Fraction of the move's time that has passed.
    fn elapsed(&self, now: UnixMs) -> f64 {
        let whole = self.finish.saturating_sub(self.begin).max(1);
        now.saturating_sub(self.begin) as f64 / whole as f64
    }

    /// Number of the stage whose share applies at a time.
    fn level(&self, at: UnixMs) -> usize {
        let stage = self.stage(at);
        let is_tried = self.tried.is_some_and(|from| from <= at) && self.doubted <= at;
        if self.is_suspected(at) || !is_tried {
            stage.min(SUSPECTED_STAGE)
        } else {
            stage
        }
    }

    /// Takes one of the `extra` requests that may go to the new version beyond its share.
    fn take_extra(&mut self, share: f64, extra: f64, endpoints: u32) -> bool {
        if share <= 0.0 || endpoints == 0 {
            return false;
        }
        let left = self.extra.get_or_insert(extra);
        let taken = *left >= 1.0;
        if taken {
            *left -= 1.0;
        }
        taken
    }

    /// Since when the version has had all requests without a suspicion; `None` if it has not.
    fn full_since(&self) -> Option<UnixMs> {
        let whole = self.finish.saturating_sub(self.begin) as f64;
        let from = STAGES.last().map_or(0.0, |stage| stage.0) * whole;
        let since = self.tried?.max(self.begin + from as UnixMs);
        Some(since.max(self.doubted_until()))
    }

    /// Until when the version is suspected or doubted.
    fn doubted_until(&self) -> UnixMs {
        let suspected = self.suspicions.last().map_or(0, |last| last.until);
        self.doubted.max(suspected)
    }

    /// Ends the move if it is completed, or cannot be judged in time.
    fn decide(&mut self, now: UnixMs, endpoints: VersionEndpoints) {
        let elapsed = self.elapsed(now);
        let whole = self.finish.saturating_sub(self.begin) as f64;
        let needed = ((MIN_FULL_TIME * whole) as UnixMs).max(SETTLE_MS);
        let is_proven = self
            .full_since()
            .is_some_and(|since| now >= since.saturating_add(needed));
        let least = (f64::from(endpoints.old) * MIN_ENDPOINT_SHARE).max(1.0);
        if is_proven && f64::from(endpoints.new) >= least {
            let is_empty = endpoints.old_requests == 0;
            if elapsed >= LATEST_COMPLETION || (is_empty && elapsed >= EARLIEST_COMPLETION) {
                self.outcome = Outcome::Completed;
            }
        } else if endpoints.old > 0 && now >= self.finish.saturating_add(JUDGE_MS) {
            // Without an old endpoint, a roll-back would leave callers with none.
            self.outcome = Outcome::RolledBack;
        }
    }

    /// Number of the stage that a time is in.
    fn stage(&self, at: UnixMs) -> usize {
        let elapsed = self.elapsed(at);
        let stage = STAGES.iter().rposition(|(from, _)| elapsed >= *from);
        stage.unwrap_or_default()
    }

    /// Whether the new version is suspected at a time.
    fn is_suspected(&self, at: UnixMs) -> bool {
        let mut suspicions = self.suspicions.iter();
        suspicions.any(|row| row.from <= at && at < row.until)
    }

    /// Number of the time slot that a time is in.
    fn slot(&self, at: UnixMs) -> u32 {
        let whole = self.finish.saturating_sub(self.begin);
        let length = (whole / SLOTS).clamp(MIN_SLOT_MS, MAX_SLOT_MS);
        let slot = at.saturating_sub(self.begin) / length;
        u32::try_from(slot).unwrap_or(u32::MAX).min(MAX_SLOT)
    }

    /// Period of the evidence that a time is in.
    fn period(&self, at: UnixMs) -> u32 {
        self.slot(at) * LEVELS + self.level(at) as u32
    }

    /// Applies the state that the store holds.
    fn record_stored(&mut self, outcome: Outcome) {
        self.stored = Some(outcome);
        if outcome == Outcome::Completed {
            // The old endpoints have been stopped, so rolling back is no longer possible.
            self.outcome = outcome;
        }
        self.apply_outcome(outcome);
    }

    /// Applies a state that the store or another daemon reports. A verdict against the version
    /// is final: when daemons disagree, the others have not seen the failures yet. Only a
    /// completed move that the store holds cannot be rolled back any more.
    fn apply_outcome(&mut self, outcome: Outcome) {
        let is_final =
            self.outcome == Outcome::RolledBack || self.stored == Some(Outcome::Completed);
        if !is_final && outcome != Outcome::Running {
            self.outcome = outcome;
        }
    }

    /// Looks at the evidence, unless that was just done.
    fn check(&mut self, now: UnixMs) -> MoveChange {
        // A deadline further ahead was set before the clock was set back.
        let is_early = now < self.next_check && self.next_check <= now + CHECK_MS;
        if self.outcome != Outcome::Running || is_early {
            return MoveChange::None;
        }
        self.next_check = now + CHECK_MS;
        if self.tried.is_none() && self.observations.totals().new.requests >= MIN_TRIAL_ANSWERS {
            self.tried = Some(now);
        }
        if self.observations.is_doubtful() {
            self.doubted = self.doubted.max(now + DOUBT_MS);
        }
        match self.observations.finding(self.endpoints) {
            Finding::None => MoveChange::None,
            Finding::Bad => {
                self.outcome = Outcome::RolledBack;
                MoveChange::Ended
            }
            Finding::Suspected => self.suspect(now),
        }
    }

    /// Begins a suspicion or extends the present one.
    fn suspect(&mut self, now: UnixMs) -> MoveChange {
        let before = self.suspicions.iter().filter(|row| row.at_full).count();
        let until = now + SUSPICION_MS * (1 + before as u64);
        let last = self.suspicions.last_mut();
        if let Some(last) = last.filter(|last| now < last.until) {
            last.until = last.until.max(until);
            return MoveChange::None;
        }
        let at_full = self.stage(now) > SUSPECTED_STAGE;
        let is_last = at_full && before + 1 >= MAX_SUSPICIONS;
        if self.suspicions.len() >= KEPT_SUSPICIONS {
            let oldest = self.suspicions.iter().position(|row| !row.at_full);
            self.suspicions.remove(oldest.unwrap_or_default());
        }
        self.suspicions.push(Suspicion {
            from: now,
            until: if is_last { UnixMs::MAX } else { until },
            at_full,
        });
        MoveChange::Suspected
    }
}
