//! State machine of an edit, from the operator's request to the outcome.
//!
//! The write of an edit can take effect while its answer is lost. If the edit
//! were then reported as failed, the operator would see a change in force that
//! was reported as not accepted; if it were written again as a new edit, it
//! could undo a third one accepted in between. So when the outcome is unknown,
//! the edit's id is looked up in the service, and the write is retried only
//! with the same base, where it can take effect at most once.

use std::time::{Duration, Instant};

use super::head::{self, EditStatus, Head};
use super::{Proposal, Verdict};
use crate::lists::Accepted;
use crate::store::{Failure, Snapshot, Write, Written};

/// Time until an operator gets the answer that the service can't be reached. A
/// person waits for it, and an outage that ends within this time need not
/// concern the operator.
pub(crate) const EDIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the service is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// An edit in one of its states.
#[derive(Debug)]
pub(crate) struct Edit<S> {
    pub proposal: Proposal,
    /// When the edit is given up if the service can't be reached.
    deadline: Instant,
    /// Whether one of its writes may have taken effect.
    maybe_written: bool,
    state: S,
}

/// Its write is in progress.
#[derive(Debug)]
pub(crate) struct Writing;
/// A read of the service is in progress.
#[derive(Debug)]
pub(crate) struct Reading {
    /// Reads sent before this time say nothing about its latest write.
    pub since: Instant,
}
/// Waits for [`RETRY_DELAY`] before the next read.
#[derive(Debug)]
pub(crate) struct Pausing {
    pub until: Instant,
}

/// An edit in any state.
#[derive(Debug)]
pub(crate) enum AnyEdit {
    Writing(Edit<Writing>),
    Reading(Edit<Reading>),
    Pausing(Edit<Pausing>),
}

/// Next step of an edit.
#[derive(Debug)]
pub(crate) enum Step {
    /// Send the write.
    Write(Edit<Writing>, Write),
    /// Wait in this state.
    Wait(AnyEdit),
    /// The edit has ended, and these lists are in force. The keeper, which has
    /// the history, adds the difference to a conflict.
    Done(Verdict, Option<Accepted>),
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

/// Starts an edit. It always begins with a read, which detects retries of an
/// earlier edit and returns the recent edits that the write has to keep.
pub(crate) fn new_edit(now: Instant, proposal: Proposal) -> Edit<Reading> {
    Edit {
        proposal,
        deadline: now + EDIT_TIMEOUT,
        maybe_written: false,
        state: Reading { since: now },
    }
}

impl Edit<Reading> {
    /// Whether a read sent at this time is recent enough.
    pub fn accepts_read(&self, sent: Instant) -> bool {
        sent >= self.state.since
    }

    /// Continues with the result of a read.
    pub fn read(self, now: Instant, result: Result<&Snapshot, Failure>) -> Step {
        let Ok(snapshot) = result else {
            return self.pause(now);
        };
        let head = Head::from_snapshot(snapshot);
        let current = head::read_lists(snapshot);
        match head.status(&self.proposal.id, self.proposal.base) {
            EditStatus::Accepted(revision) => Step::Done(Verdict::Accepted(revision), current),
            EditStatus::Pending => {
                let base = current.unwrap_or_default().lists;
                let write = head::write(&self.proposal, &base, &head::recent(&head));
                Step::Write(self.with_state(Writing), write)
            }
            EditStatus::Unlisted if self.maybe_written => Step::Done(Verdict::Unknown, current),
            EditStatus::Superseded | EditStatus::Unlisted => {
                let verdict = Verdict::Conflict {
                    base: self.proposal.base,
                    revision: head.revision,
                    difference: None,
                };
                Step::Done(verdict, current)
            }
        }
    }
}

impl Edit<Writing> {
    /// Continues with the result of the write.
    pub fn written(mut self, now: Instant, result: &Result<Written, Failure>) -> Step {
        match result {
            Ok(Written::Done(revision)) => {
                let revision = *revision;
                let lists = self.proposal.lists;
                let accepted = Accepted { revision, lists };
                Step::Done(Verdict::Accepted(revision), Some(accepted))
            }
            Ok(Written::Conflict(_)) => {
                let state = Reading { since: now };
                Step::Wait(AnyEdit::Reading(self.with_state(state)))
            }
            Err(failure) => {
                self.maybe_written |= *failure == Failure::Unknown;
                self.pause(now)
            }
        }
    }
}

impl Edit<Pausing> {
    /// When the next read is due.
    pub fn due(&self) -> Instant {
        self.state.until
    }

    /// Ends the pause and reads again.
    pub fn retry(self, now: Instant) -> Edit<Reading> {
        self.with_state(Reading { since: now })
    }
}

impl<S> Edit<S> {
    fn with_state<T>(self, state: T) -> Edit<T> {
        Edit {
            proposal: self.proposal,
            deadline: self.deadline,
            maybe_written: self.maybe_written,
            state,
        }
    }

    fn pause(self, now: Instant) -> Step {
        if now < self.deadline {
            let until = now + RETRY_DELAY;
            return Step::Wait(AnyEdit::Pausing(self.with_state(Pausing { until })));
        }
        let verdict = if self.maybe_written {
            Verdict::Unknown
        } else {
            Verdict::NotDone
        };
        Step::Done(verdict, None)
    }
}
