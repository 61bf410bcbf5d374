//! Moves a service's requests to a new version of its endpoints by a given time.
//!
//! Load: a version that fails or slows down at once, later, when it is loaded, or
//! on one route only. Sending it an even share from the start would hand its
//! faults to half of all callers before anybody saw them. Here each daemon sends a
//! few of its own requests in a hundred there first, and only to as many endpoints
//! as that share loads like the old ones; so the bound on what a bad version gets
//! holds in every partition without a word between daemons. What all of them saw
//! is added up (see [`evidence`]); a verdict against the version is final and
//! spreads with the daemons' digests.
//!
//! A good version gets all requests well before the deadline, since the old
//! endpoints are stopped without draining once the move is reported as completed:
//! what they still work on would break off.

pub mod evidence;

use evidence::{Counts, Key, SLOTS, Sample, Sides};

use super::quota::name_hash;
use crate::{ServiceId, VersionId, era_of};

/// Unix milliseconds by the clocks of all daemons.
pub type TrueMs = u64;

/// Parts of the move's time from which the new version gets these multiples of the
/// share that a bad one may get over the whole move; without end from the last on.
/// A fault that shows at once meets half of that share for a third of the time, and
/// one that shows under load finds two thirds of it left. The last part leaves the
/// old endpoints a quarter of the time to finish what they work on.
const STAGES: [(f64, f64); 4] = [(0.0, 0.0), (0.04, 0.5), (0.4, 1.5), (0.6, f64::INFINITY)];
/// Part of the time from which the move may be reported as completed once the old
/// endpoints are empty, and from which it is whatever they still do: the report
/// takes a call or two.
const EMPTIED: f64 = 0.85;
const CLOSING: f64 = 0.94;
/// Share of a service's endpoints that the new version may use while it is tried,
/// for each part of the requests that it gets: one and a half times the load of an
/// old one shows faults under load while few callers can meet them.
const PRESSED: f64 = 1.5;

/// How a move stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// Under way.
    #[default]
    Running,
    /// All requests go to the new version.
    Completed,
    /// The new version was bad and gets nothing.
    RolledBack,
}

/// What operators ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: ServiceId,
    /// Version that its requests are to go to.
    pub target: VersionId,
    /// Revision of the order in the store; tells two orders apart.
    pub revision: u64,
}

impl Order {
    /// Whether another order of this service is this one, read again after the store came
    /// back from an older copy and gave revisions out again.
    fn is_same_in_another_era(&self, other: &Self) -> bool {
        self.target == other.target && era_of(self.revision) != era_of(other.revision)
    }
}

/// Which versions a request may go to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Versions {
    /// Any.
    #[default]
    Any,
    /// This one only, and only these many of its endpoints if a number is given.
    Only(VersionId, Option<u32>),
    /// Any but this one.
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

    /// Where a request goes that finds no place at these versions; `None` if nowhere:
    /// what is kept from a version must not reach it by a detour.
    pub fn otherwise(&self) -> Option<Self> {
        match self {
            Self::Any | Self::Not(_) => None,
            Self::Only(target, Some(_)) => Some(Self::Not(target.clone())),
            Self::Only(_, None) => Some(Self::Any),
        }
    }
}

/// A move as daemons tell it to one another.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    /// The order.
    pub order: Order,
    /// When it began and is due.
    pub begin: TrueMs,
    /// When it is due.
    pub finish: TrueMs,
    /// How the teller takes it to stand.
    pub outcome: Outcome,
    /// What the teller itself saw lately.
    pub sides: Vec<(Key, Sides)>,
}

/// One move.
#[derive(Clone, Debug)]
struct Move {
    order: Order,
    begin: TrueMs,
    finish: TrueMs,
    outcome: Outcome,
    /// Outcome that the store holds; `None` if it holds none for this order.
    reported: Option<Outcome>,
    /// Share that holds now, the requests since it does, and those of them that went
    /// to the new version. Counted from the order on, a larger share would begin with
    /// a row of requests that all go there.
    share: f64,
    requests: u64,
    moved: u64,
    counts: Counts,
}

/// All moves that were ordered, sorted by service; the last of each service.
#[derive(Clone, Debug)]
pub struct Rollouts {
    /// Share of a service's requests that a bad version may get.
    exposure: f64,
    rows: Vec<Move>,
}

/// What is to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The service.
    pub service: ServiceId,
    /// Version of the order.
    pub target: VersionId,
    /// How the move stands.
    pub outcome: Outcome,
}

impl Rollouts {
    /// No moves; a bad version may get the share `exposure` of all requests.
    pub fn new(exposure: f64) -> Self {
        Self {
            exposure,
            rows: Vec::new(),
        }
    }

    /// Takes an order in that is to be done by `finish`; one that is known already,
    /// or older than the one known, changes nothing.
    pub fn order(&mut self, order: Order, now: TrueMs, finish: TrueMs) -> bool {
        match self.find(&order.service) {
            Ok(at) if self.rows[at].order.revision >= order.revision => false,
            Ok(at) if self.rows[at].order.is_same_in_another_era(&order) => {
                let row = &mut self.rows[at];
                row.order = order;
                // What was written of its state may be gone.
                row.reported = None;
                false
            }
            Ok(at) => {
                self.rows[at] = Move::new(order, now, finish);
                true
            }
            Err(at) => {
                self.rows.insert(at, Move::new(order, now, finish));
                true
            }
        }
    }

    /// Takes in what the store holds of a move's state, written at `revision`. A
    /// state that is older than the order belongs to the move before.
    pub fn status(&mut self, service: &str, target: &str, outcome: Outcome, revision: u64) {
        let Ok(at) = self.find(service) else {
            return;
        };
        let row = &mut self.rows[at];
        if row.order.target == target && row.order.revision < revision {
            row.reported = Some(outcome);
            if outcome == Outcome::Completed {
                // The old endpoints are stopped: there is nothing to go back to.
                row.outcome = outcome;
            }
            row.settle(outcome);
        }
    }

    /// Takes another daemon's word in; tells whether it ended the move.
    pub fn hear(&mut self, name: &str, word: &Word) -> bool {
        self.order(word.order.clone(), word.begin, word.finish);
        let Ok(at) = self.find(&word.order.service) else {
            return false;
        };
        let row = &mut self.rows[at];
        if row.order != word.order {
            return false;
        }
        // A daemon that started later took the order for new.
        row.begin = row.begin.min(word.begin);
        row.finish = row.finish.min(word.finish);
        row.counts.hear(name, &word.sides);
        let before = row.outcome;
        row.settle(word.outcome);
        row.judge();
        before != row.outcome
    }

    /// What this daemon tells of the moves.
    pub fn tell(&self) -> impl Iterator<Item = Word> {
        self.rows.iter().map(|row| Word {
            order: row.order.clone(),
            begin: row.begin,
            finish: row.finish,
            outcome: row.outcome,
            sides: row.counts.tell(),
        })
    }

    /// Which versions a new request of a service may go to; counts the request.
    /// `olds` tells how many of its endpoints have another version than the given one.
    pub fn versions(
        &mut self,
        service: &str,
        olds: impl FnOnce(&str) -> u32,
        now: TrueMs,
    ) -> Versions {
        let Ok(at) = self.find(service) else {
            return Versions::Any;
        };
        let row = &mut self.rows[at];
        let target = row.order.target.clone();
        match row.outcome {
            Outcome::Completed => return Versions::Only(target, None),
            Outcome::RolledBack => return Versions::Not(target),
            Outcome::Running => {}
        }
        let olds = olds(&target);
        if olds == 0 {
            // Nothing is left to compare with or to fall back to.
            return Versions::Any;
        }
        let share = (row.multiple(now) * self.exposure).min(1.0);
        if share > row.share {
            (row.share, row.requests, row.moved) = (share, 0, 0);
        }
        row.requests += 1;
        if share >= 1.0 {
            row.moved += 1;
            return Versions::Only(target, None);
        }
        if (row.moved + 1) as f64 > row.requests as f64 * share {
            return Versions::Not(target);
        }
        row.moved += 1;
        let pressed = (f64::from(olds) * share / PRESSED).ceil().max(1.0);
        Versions::Only(target, Some(pressed as u32))
    }

    /// Takes in how a request of a route went at an endpoint of a version; tells
    /// whether that ended the move.
    pub fn note(
        &mut self,
        service: &str,
        route: &str,
        version: &str,
        sample: Sample,
        now: TrueMs,
    ) -> bool {
        let Ok(at) = self.find(service) else {
            return false;
        };
        let row = &mut self.rows[at];
        if row.outcome != Outcome::Running {
            return false;
        }
        let new = version == row.order.target;
        let slot = (row.part(now) * f64::from(SLOTS)) as u32;
        row.counts
            .note((name_hash(route), slot.min(SLOTS - 1)), new, sample);
        row.judge();
        row.outcome != Outcome::Running
    }

    /// What the holder of the duties has to write now; `busy` tells how many requests
    /// a service's endpoints of other versions than the given one work on.
    pub fn due(&mut self, now: TrueMs, busy: impl Fn(&str, &str) -> u32) -> Vec<Status> {
        let mut due = Vec::new();
        for row in &mut self.rows {
            let part = row.part(now);
            if row.outcome == Outcome::Running && part >= EMPTIED {
                let empty = busy(&row.order.service, &row.order.target) == 0;
                if empty || part >= CLOSING {
                    row.outcome = Outcome::Completed;
                }
            }
            if row.reported != Some(row.outcome) {
                due.push(Status {
                    service: row.order.service.clone(),
                    target: row.order.target.clone(),
                    outcome: row.outcome,
                });
            }
        }
        due
    }

    /// Whether any move was ordered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.order.service.as_str().cmp(service))
    }
}

impl Move {
    fn new(order: Order, begin: TrueMs, finish: TrueMs) -> Self {
        Self {
            order,
            begin,
            finish,
            outcome: Outcome::Running,
            reported: None,
            share: 0.0,
            requests: 0,
            moved: 0,
            counts: Counts::default(),
        }
    }

    /// Part of the move's time that is over.
    fn part(&self, now: TrueMs) -> f64 {
        let whole = self.finish.saturating_sub(self.begin).max(1);
        now.saturating_sub(self.begin) as f64 / whole as f64
    }

    /// The stage's multiple of the share that a bad version may get.
    fn multiple(&self, now: TrueMs) -> f64 {
        let part = self.part(now);
        let stage = STAGES.iter().rev().find(|(from, _)| part >= *from);
        stage.map_or(0.0, |(_, multiple)| *multiple)
    }

    /// A verdict against the version holds whatever else is heard: of two daemons one
    /// of which saw the version fail, the other did not see it yet. Only a completed
    /// move that the store holds cannot be taken back any more.
    fn settle(&mut self, outcome: Outcome) {
        let is_final =
            self.outcome == Outcome::RolledBack || self.reported == Some(Outcome::Completed);
        if !is_final && outcome != Outcome::Running {
            self.outcome = outcome;
        }
    }

    fn judge(&mut self) {
        if self.outcome == Outcome::Running && self.counts.is_bad() {
            self.outcome = Outcome::RolledBack;
        }
    }
}
