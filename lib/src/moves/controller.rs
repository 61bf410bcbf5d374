//! One daemon's part in the version move of one service.
//!
//! The controller holds the last received move record, the evidence, the verdicts,
//! and until when this state counts as fresh. From these it decides which version
//! each request goes to and, while the daemon holds the lease, which record to
//! write next. It does no I/O: writes and evidence rows to share are returned as
//! [`Action`]s.
//!
//! A daemon that has just started, was paused or is partitioned may have missed a
//! verdict. Its callers would still reach a bad version minutes after the move was
//! rolled back. So the new version's share is zero until an exchange shows that
//! this daemon's state is current.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};

use crate::ids::{Incarnation, Revision, ServiceId, VersionId};
use crate::lease::{Lease, PauseDetector, Permit, TickTiming};
use crate::moves::evidence::{Evidence, Row, Sample};
use crate::moves::lifecycle::{MoveId, Record};
use crate::moves::share::{Counter, FULL_SHARE, Share};
use crate::moves::stages::{
    EndpointCounts, Shares, WallMs, cautious_shares, endpoint_counts, shares,
};
use crate::moves::verdict::{Detector, Seen};

/// How long an exchange keeps this daemon's state fresh: five gossip rounds of one
/// second and the transit time of the last one, doubled, so that losing a round or
/// two changes nothing.
pub const FRESHNESS_TTL: Duration = Duration::from_secs(10);

/// Interval at which own evidence rows are published.
pub const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// How long the result of a write is awaited before the record is written again.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests of a route at the new version that a stage needs. With fewer, a fault
/// in one request of thirty shows with a probability below four in five.
const MIN_STAGE_REQUESTS: f64 = 50.0;

/// Of the requests that the stage's share promises the new version, the fraction
/// that must have been seen where that is less than [`MIN_STAGE_REQUESTS`]. One
/// half lets routing lag behind the share but not ignore it.
const MIN_STAGE_FRACTION: f64 = 0.5;

/// Difference between the recorded and the recently measured share of idempotent
/// requests above which the measured one is used. Below it, chance alone would make
/// the number of endpoints go up and down, and each daemon's number would differ
/// from its peers'.
const MIX_TOLERANCE: Share = 100_000;

/// A move record and its revision in the store.
#[proc_macros::row]
pub struct Stored {
    /// Revision in the store.
    pub revision: Revision,
    /// Move record.
    pub record: Record,
}

/// A verdict that the new version is bad; never withdrawn.
#[proc_macros::row]
pub struct Verdict {
    /// Move that it ends.
    pub id: MoveId,
    /// Evidence, as a sentence for operators.
    pub reason: CompactString,
}

/// Source of an exchange of record and evidence.
#[proc_macros::kind]
pub enum Source {
    /// The platform's key-value store, read just now.
    Store,
    /// A complete exchange of rows with a peer.
    Peer {
        /// Whether the peer's own state was fresh.
        fresh: bool,
    },
}

/// Connectivity: the live daemons, and how many of them sent a digest recently.
/// Both counts include this daemon.
#[proc_macros::kind]
pub struct Reach {
    /// Daemons that membership considers alive.
    pub live: u32,
    /// Of these, daemons last received from within [`FRESHNESS_TTL`].
    pub heard: u32,
}

impl Reach {
    fn has_majority(self) -> bool {
        self.heard * 2 > self.live
    }
}

/// The current time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Time {
    /// Monotonic clock of the process.
    pub now: Instant,
    /// Wall clock, which the records in the store use.
    pub wall: WallMs,
}

impl Time {
    /// Converts a future wall-clock time to the process's monotonic clock.
    fn instant(self, wall: WallMs) -> Instant {
        self.now + Duration::from_millis(wall.saturating_sub(self.wall))
    }
}

/// Inputs of a tick.
#[derive(Clone, Copy, Debug)]
pub struct TickInputs {
    /// Current time.
    pub time: Time,
    /// Connectivity to the live daemons.
    pub reach: Reach,
    /// Whether an endpoint of the new version accepts requests.
    pub ready: bool,
}

/// What was received about the move of a service.
#[proc_macros::row]
pub enum Event {
    /// Record from the store or a peer.
    Record(Stored),
    /// Rows and record were exchanged with a source.
    Exchanged(Source),
    /// Evidence row of a peer.
    Row(Box<Row>),
    /// Verdict of a peer.
    Verdict(Verdict),
    /// The lease was granted, renewed or lost.
    Lease(Option<Lease>),
}

/// What the caller of a tick must do.
#[proc_macros::row]
pub enum Action {
    /// Write the record if the store still has this revision.
    Write {
        /// Revision that the decision was based on.
        revision: Revision,
        /// Record to write.
        record: Record,
        /// When the write must have been sent; after that it is dropped.
        until: Instant,
    },
    /// Push a verdict to every peer immediately.
    Push(Verdict),
    /// Share own evidence rows in the next gossip round.
    Publish(Vec<Row>),
}

/// Which versions a request may go to.
#[proc_macros::kind]
pub enum Pick {
    /// No move is known: any version.
    Any,
    /// The version that the move leaves.
    Old,
    /// The version that the move goes to.
    New,
}

/// Why a move stays in its stage.
#[proc_macros::row]
pub enum HoldReason {
    /// The stage's time is not over.
    Time,
    /// Another daemon holds the lease, or none does.
    Lease,
    /// This daemon's state is not fresh.
    Stale,
    /// A test suspects the new version.
    Suspicion,
    /// A route has too few requests at the new version.
    Evidence(Seen),
    /// Most daemons are unreachable.
    Partitioned,
    /// No endpoint of the new version accepts requests.
    Endpoints,
    /// The result of a write is pending.
    Write,
}

/// Decides for one daemon how the version move of one service goes on.
#[derive(Debug)]
pub struct Controller {
    service: ServiceId,
    daemon: Incarnation,
    stored: Option<Stored>,
    /// When the current stage ends.
    due: Option<Instant>,
    /// When the move must be finished.
    finish: Option<Instant>,
    /// Sorted by move id.
    verdicts: Vec<Verdict>,
    fresh_until: Option<Instant>,
    lease: Option<Lease>,
    pauses: PauseDetector,
    counter: Counter,
    evidence: Evidence,
    detector: Detector,
    /// Until when the result of a write is awaited.
    write_until: Option<Instant>,
    next_publish: Option<Instant>,
}

impl Controller {
    /// Creates a controller without record, evidence or lease.
    pub fn new(service: ServiceId, daemon: Incarnation) -> Self {
        Self {
            service,
            daemon,
            stored: None,
            due: None,
            finish: None,
            verdicts: Vec::new(),
            fresh_until: None,
            lease: None,
            pauses: PauseDetector::new(),
            counter: Counter::default(),
            evidence: Evidence::default(),
            detector: Detector::default(),
            write_until: None,
            next_publish: None,
        }
    }

    /// Last received record.
    pub fn stored(&self) -> Option<&Stored> {
        self.stored.as_ref()
    }

    /// Known verdicts, for the rows that daemons exchange.
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

    /// Whether this daemon's state is fresh; advertised with every exchange.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| now < until)
    }

    /// Applies a record from the store or a peer. Only a higher revision counts, so
    /// that a late response can't restore an older record.
    pub fn apply_record(&mut self, time: Time, stored: Stored) {
        let known = self.stored.as_ref();
        if known.is_some_and(|known| known.revision >= stored.revision) {
            return;
        }
        let same = |s: &Stored| s.record.terms().id == stored.record.terms().id;
        if !known.is_some_and(same) {
            self.counter = Counter::default();
            self.evidence = Evidence::default();
            self.detector = Detector::default();
        }
        if known.is_none_or(|known| known.record.stage() != stored.record.stage()) {
            self.detector.next_stage();
        }
        self.due = stored.record.due().map(|due| time.instant(due));
        self.finish = Some(time.instant(stored.record.terms().finish));
        self.write_until = None;
        self.stored = Some(stored);
    }

    /// Notes that rows and record were exchanged with a source just now.
    ///
    /// An exchange with a peer that is stale itself doesn't make this daemon fresh.
    /// Nor does the store alone while other daemons are live: they can know a
    /// verdict that has not reached the store yet. After all daemons have restarted
    /// none is fresh; then the store makes a daemon fresh that can reach most of
    /// the others.
    pub fn note_exchange(&mut self, now: Instant, source: Source, reach: Reach) {
        let proof = match source {
            Source::Peer { fresh } => fresh,
            Source::Store => reach.has_majority(),
        };
        if proof {
            self.fresh_until = Some(now + FRESHNESS_TTL);
        }
    }

    /// Adds a verdict, received from a peer or reached by this daemon.
    pub fn add_verdict(&mut self, verdict: Verdict) {
        if let Err(at) = self.verdicts.binary_search_by_key(&verdict.id, |v| v.id) {
            self.verdicts.insert(at, verdict);
        }
    }

    /// Merges an evidence row of a peer.
    pub fn merge(&mut self, row: Row) {
        if row.daemon != self.daemon && self.move_id() == Some(row.id) {
            self.evidence.merge(row);
        }
    }

    /// Sets the lease after it was granted, renewed or lost.
    pub fn set_lease(&mut self, lease: Option<Lease>) {
        self.lease = lease;
    }

    /// Counts the outcome of a request of this daemon.
    pub fn record(&mut self, sample: &Sample) {
        if self.stage().is_some() {
            self.evidence.record(sample);
        }
    }

    /// Chooses the version for a request that was just admitted, and counts the
    /// request against the share.
    ///
    /// `random` is uniform below [`FULL_SHARE`]. Call this once per request: a
    /// second call while the request waits would exceed the share.
    pub fn version_for(&mut self, now: Instant, idempotent: bool, random: u32) -> Pick {
        let Some(stored) = &self.stored else {
            return Pick::Any;
        };
        if self.is_done() {
            return Pick::New;
        }
        if stored.record.ended() {
            return Pick::Old;
        }
        let share = self.share(now, idempotent);
        if self.counter.take(share, random) {
            Pick::New
        } else {
            Pick::Old
        }
    }

    /// Share of idempotent or non-idempotent requests that may go to the new
    /// version now.
    pub fn share(&self, now: Instant, idempotent: bool) -> Share {
        self.shares(now).of(idempotent).min(FULL_SHARE)
    }

    /// Number of endpoints of each version that may be used now.
    pub fn endpoint_counts(&self, now: Instant) -> Option<EndpointCounts> {
        let shares = self.shares(now);
        if shares == Shares::NONE {
            return None;
        }
        self.counts_for(shares)
    }

    /// Endpoints that the stage loads evenly; only their latencies are compared.
    ///
    /// Under suspicion a daemon uses more old endpoints than the stage does. The
    /// additional ones are idle and respond fast; if they counted, the new version
    /// would look slow and every suspicion would reinforce itself.
    pub fn compared(&self) -> Option<EndpointCounts> {
        let stored = self.stored.as_ref()?;
        let scale = stored.record.terms().scale;
        self.counts_for(shares(stored.record.stage()?, scale))
    }

    /// Uses the recently measured share of idempotent requests where it differs
    /// from the recorded one: the traffic may have changed since the move was
    /// requested, and a few old endpoints must not be left with most of it.
    fn counts_for(&self, shares: Shares) -> Option<EndpointCounts> {
        let scale = self.stored.as_ref()?.record.terms().scale;
        let measured = self.detector.idempotent();
        let other = measured.filter(|m| m.abs_diff(scale.idempotent) > MIX_TOLERANCE);
        let idempotent = other.unwrap_or(scale.idempotent);
        Some(endpoint_counts(shares.total(idempotent), scale.endpoints))
    }

    /// Whether any request may go to the new version now.
    pub fn is_open(&self, now: Instant) -> bool {
        self.shares(now) != Shares::NONE
    }

    /// Whether the move is done and no verdict has come since.
    pub fn is_done(&self) -> bool {
        let done = |stored: &Stored| matches!(stored.record, Record::Done(_));
        self.stored.as_ref().is_some_and(done) && self.verdict().is_none()
    }

    /// Whether the move is done, rolled back or cancelled.
    pub fn is_ended(&self) -> bool {
        self.stored.as_ref().is_some_and(|s| s.record.ended())
    }

    /// Old and new version of the move.
    pub fn versions(&self) -> Option<(&VersionId, &VersionId)> {
        let terms = self.stored.as_ref()?.record.terms();
        Some((&terms.from, &terms.to))
    }

    /// Verdict on the current move.
    pub fn verdict(&self) -> Option<&Verdict> {
        let id = self.move_id()?;
        let at = self
            .verdicts
            .binary_search_by_key(&id, |verdict| verdict.id)
            .ok()?;
        Some(&self.verdicts[at])
    }

    /// Evaluates the evidence and decides what to do.
    pub fn tick(&mut self, inputs: TickInputs) -> Vec<Action> {
        let now = inputs.time.now;
        if self.pauses.tick(now) == TickTiming::Paused {
            self.fresh_until = None;
            self.lease = None;
        }
        let mut actions = Vec::new();
        self.evaluate(now, &mut actions);
        self.publish(now, &mut actions);
        if let Some((record, permit)) = self.next_write(inputs) {
            self.write_until = Some(now + WRITE_TIMEOUT);
            let revision = self.stored.as_ref().map_or(0, |s| s.revision);
            let until = permit.until();
            actions.push(Action::Write {
                revision,
                record,
                until,
            });
        }
        actions
    }

    /// Why the move doesn't advance; none if it can.
    pub fn hold_reason(&self, inputs: TickInputs) -> Option<HoldReason> {
        let now = inputs.time.now;
        if self.due.is_some_and(|due| now < due) {
            return Some(HoldReason::Time);
        }
        if self.permit(now).is_none() {
            return Some(HoldReason::Lease);
        }
        if self.write_until.is_some_and(|until| now < until) {
            return Some(HoldReason::Write);
        }
        if !self.is_fresh(now) {
            return Some(HoldReason::Stale);
        }
        if !inputs.reach.has_majority() {
            return Some(HoldReason::Partitioned);
        }
        if !inputs.ready {
            return Some(HoldReason::Endpoints);
        }
        if self.detector.suspects() {
            return Some(HoldReason::Suspicion);
        }
        self.undersampled().map(HoldReason::Evidence)
    }

    fn move_id(&self) -> Option<MoveId> {
        Some(self.stored.as_ref()?.record.terms().id)
    }

    fn stage(&self) -> Option<u8> {
        self.stored.as_ref()?.record.stage()
    }

    /// Shares that this daemon applies: those of the stage, or smaller ones under
    /// suspicion.
    fn shares(&self, now: Instant) -> Shares {
        let (Some(stage), Some(stored)) = (self.stage(), &self.stored) else {
            return Shares::NONE;
        };
        if self.verdict().is_some() || !self.is_fresh(now) {
            return Shares::NONE;
        }
        let scale = stored.record.terms().scale;
        if self.detector.suspects() {
            cautious_shares(stage, scale)
        } else {
            shares(stage, scale)
        }
    }

    fn evaluate(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let deltas = self.evidence.take_deltas();
        let finding = self.detector.update(now, &deltas);
        let reason = finding.map(|finding| finding.text());
        let reason = reason.or_else(|| self.unresolved(now));
        let (Some(reason), Some(id), None) = (reason, self.move_id(), self.verdict()) else {
            return;
        };
        let verdict = Verdict { id, reason };
        self.add_verdict(verdict.clone());
        actions.push(Action::Push(verdict));
    }

    /// What speaks against the new version when the finish-by time has passed: a
    /// suspicion, or a route on which it saw no request. The move can't finish with
    /// either and has no time left to resolve it, so this counts as a verdict.
    fn unresolved(&self, now: Instant) -> Option<CompactString> {
        let late = self.finish.is_some_and(|finish| now >= finish);
        if !late || !self.is_open(now) {
            return None;
        }
        if let Some(finding) = self.detector.unresolved(now) {
            let text = finding.text();
            return Some(format_compact!("time ran out under suspicion: {text}"));
        }
        let over = self.due.is_some_and(|due| now >= due);
        // Each daemon's counter can lag by one request, so a few missing requests
        // prove nothing. If some arrived, the version does accept requests and a
        // suspicion held back the others.
        let missed =
            |seen: &Seen| over && seen.new == 0 && self.promised(seen) >= MIN_STAGE_REQUESTS;
        let seen = self.undersampled().filter(missed)?;
        Some(format_compact!(
            "time ran out: the new version saw no request on {}, the old one {}",
            seen.route,
            seen.old
        ))
    }

    fn publish(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.next_publish.is_some_and(|at| now < at) {
            return;
        }
        self.next_publish = Some(now + PUBLISH_INTERVAL);
        let Some(id) = self.move_id() else {
            return;
        };
        let rows = self.evidence.publish(self.daemon, id);
        if !rows.is_empty() {
            actions.push(Action::Publish(rows));
        }
    }

    fn permit(&self, now: Instant) -> Option<Permit> {
        self.lease.as_ref()?.permit(now)
    }

    fn next_write(&self, inputs: TickInputs) -> Option<(Record, Permit)> {
        let Time { now, wall } = inputs.time;
        let permit = self.permit(now)?;
        let record = &self.stored.as_ref()?.record;
        if self.write_until.is_some_and(|until| now < until) || record.fence() > permit.fence() {
            return None;
        }
        if let Some(verdict) = self.verdict() {
            let back = record.clone().roll_back(verdict.reason.clone())?;
            return Some((back, permit));
        }
        // The fencing token of a new lease is written to the record before the
        // first step, so that pending writes of the former holder meet a changed
        // revision.
        if record.fence() < permit.fence() {
            return Some((record.clone().with_fence(permit)?, permit));
        }
        if self.hold_reason(inputs).is_some() {
            return None;
        }
        Some((record.clone().step(permit, wall)?, permit))
    }

    /// A route that has traffic but too few requests at the new version.
    ///
    /// The minimum follows the traffic: a route that gets three requests in the
    /// stage can't show fifty, and must not delay the move past its finish-by time.
    fn undersampled(&self) -> Option<Seen> {
        self.detector.seen().find(|seen| {
            let least = (self.promised(seen) * MIN_STAGE_FRACTION).floor();
            f64::from(seen.new) < least.min(MIN_STAGE_REQUESTS)
        })
    }

    /// Requests of a route that the stage's share promises the new version.
    fn promised(&self, seen: &Seen) -> f64 {
        let stored = self.stored.as_ref();
        let stage = stored.and_then(|s| Some((s.record.stage()?, s.record.terms().scale)));
        let shares = stage.map_or(Shares::NONE, |(stage, scale)| shares(stage, scale));
        let all = f64::from(seen.old) + f64::from(seen.new);
        all * f64::from(shares.of(seen.idempotent)) / f64::from(FULL_SHARE)
    }
}

impl crate::table::Row for Controller {
    type Id = ServiceId;
    fn id(&self) -> &ServiceId {
        &self.service
    }
}
