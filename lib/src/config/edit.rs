//! Life cycle of an edit, from the operator's call to the verdict.
//!
//! Its write can take effect while the answer is lost. Were it then reported as
//! failed, the operator would see a change in force that he was told is not; if
//! it were written anew as another edit, it could undo a third one in between.
//! So an edit of unknown outcome is settled by reading back its id, and
//! repeated only upon the same base, where it can take effect once at most.

use std::time::{Duration, Instant};

use super::head::{self, Fate, Head};
use super::{Proposal, Verdict};
use crate::lists::Accepted;
use crate::store::{Failure, Snapshot, Write, Written};

/// Time until an operator is told that the service can't be reached. A person
/// waits, and an outage that ends within it need not be his concern.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);
/// Pause before the service is asked again.
const PAUSE: Duration = Duration::from_millis(500);

/// An edit in one of its states.
#[derive(Debug)]
pub(crate) struct Edit<S> {
    pub proposal: Proposal,
    until: Instant,
    /// Whether a write of it may have taken effect.
    doubt: bool,
    state: S,
}

/// Its write is under way.
#[derive(Debug)]
pub(crate) struct Writing;
/// What stands in the service is being read.
#[derive(Debug)]
pub(crate) struct Reading {
    /// Reads sent earlier tell nothing about its latest write.
    pub since: Instant,
}
/// Pauses before it is read again.
#[derive(Debug)]
pub(crate) struct Pausing {
    pub until: Instant,
}

/// An edit in whichever state it is.
#[derive(Debug)]
pub(crate) enum AnyEdit {
    Writing(Edit<Writing>),
    Reading(Edit<Reading>),
    Pausing(Edit<Pausing>),
}

/// Where an edit goes next.
#[derive(Debug)]
pub(crate) enum Step {
    /// The write goes out.
    Write(Edit<Writing>, Write),
    /// It waits.
    Wait(AnyEdit),
    /// It is over, and these lists are in force. The keeper, who knows the past,
    /// adds the difference to a conflict.
    Over(Verdict, Option<Accepted>),
}

impl AnyEdit {
    pub fn proposal(&self) -> &Proposal {
        match self {
            Self::Writing(e) => &e.proposal,
            Self::Reading(e) => &e.proposal,
            Self::Pausing(e) => &e.proposal,
        }
    }
}

/// Begins an edit; it is always read first, which finds its repeats and leaves
/// the names of the latest edits at hand.
pub(crate) fn begin(now: Instant, proposal: Proposal) -> Edit<Reading> {
    Edit {
        proposal,
        until: now + PATIENCE,
        doubt: false,
        state: Reading { since: now },
    }
}

impl Edit<Reading> {
    /// Whether a read sent at this time tells what it needs to know.
    pub fn is_told(&self, sent: Instant) -> bool {
        sent >= self.state.since
    }

    /// Goes on with what was read.
    pub fn read(self, now: Instant, result: Result<&Snapshot, Failure>) -> Step {
        let Ok(snapshot) = result else {
            return self.pause(now);
        };
        let head = Head::find(snapshot);
        let known = head::read_lists(snapshot);
        match head.fate(&self.proposal.id, self.proposal.base) {
            Fate::Accepted(revision) => Step::Over(Verdict::Accepted(revision), known),
            Fate::Open => {
                let base = known.unwrap_or_default().lists;
                let write = head::write(&self.proposal, &base, &head::recent(&head));
                Step::Write(self.at(Writing), write)
            }
            Fate::Forgotten if self.doubt => Step::Over(Verdict::Unknown, known),
            Fate::Beaten | Fate::Forgotten => {
                let verdict = Verdict::Conflict {
                    base: self.proposal.base,
                    revision: head.revision,
                    difference: None,
                };
                Step::Over(verdict, known)
            }
        }
    }
}

impl Edit<Writing> {
    /// Goes on with what the write came to.
    pub fn written(mut self, now: Instant, result: &Result<Written, Failure>) -> Step {
        match result {
            Ok(Written::Done(revision)) => {
                let revision = *revision;
                let lists = self.proposal.lists;
                let accepted = Accepted { revision, lists };
                Step::Over(Verdict::Accepted(revision), Some(accepted))
            }
            Ok(Written::Conflict(_)) => {
                let state = Reading { since: now };
                Step::Wait(AnyEdit::Reading(self.at(state)))
            }
            Err(failure) => {
                self.doubt |= *failure == Failure::Unknown;
                self.pause(now)
            }
        }
    }
}

impl Edit<Pausing> {
    /// When it is to be read again.
    pub fn due(&self) -> Instant {
        self.state.until
    }

    /// Ends the pause.
    pub fn read_again(self, now: Instant) -> Edit<Reading> {
        self.at(Reading { since: now })
    }
}

impl<S> Edit<S> {
    fn at<T>(self, state: T) -> Edit<T> {
        Edit {
            proposal: self.proposal,
            until: self.until,
            doubt: self.doubt,
            state,
        }
    }

    fn pause(self, now: Instant) -> Step {
        if now < self.until {
            let until = now + PAUSE;
            return Step::Wait(AnyEdit::Pausing(self.at(Pausing { until })));
        }
        let verdict = if self.doubt {
            Verdict::Unknown
        } else {
            Verdict::NotDone
        };
        Step::Over(verdict, None)
    }
}
