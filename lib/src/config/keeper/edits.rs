//! Edits that operators sent to this daemon.

use std::time::Instant;

use super::Keeper;
use crate::config::changes::sorted;
use crate::config::edit::{AnyEdit, Step, new_edit};
use crate::config::head::check_size;
use crate::config::{Command, EditId, Proposal, Verdict};
use crate::lists::Accepted;
use crate::store::{Failure, Snapshot, Written};

impl Keeper {
    pub(super) fn start_edit(&mut self, now: Instant, proposal: Proposal) {
        let mut errors = proposal.lists.check();
        errors.extend(check_size(&proposal.lists));
        if !errors.is_empty() {
            let verdict = Verdict::Invalid(errors);
            let edit = proposal.id;
            self.commands.push(Command::Reply { edit, verdict });
            return;
        }
        if self.edits.iter().any(|e| e.proposal().id == proposal.id) {
            return;
        }
        let lists = sorted(proposal.lists);
        let edit = new_edit(now, Proposal { lists, ..proposal });
        self.edits.push(AnyEdit::Reading(edit));
        self.lists_call.schedule(now);
    }

    /// Passes the result of a read to the edits that waited for it.
    pub(super) fn resume_edits(
        &mut self,
        now: Instant,
        sent: Instant,
        result: &Result<Snapshot, Failure>,
    ) {
        for edit in std::mem::take(&mut self.edits) {
            let id = edit.proposal().id.clone();
            match edit {
                AnyEdit::Reading(edit) if edit.accepts_read(sent) => {
                    let step = edit.read(now, result.as_ref().map_err(|failure| *failure));
                    self.apply_step(now, id, step);
                }
                AnyEdit::Reading(edit) => {
                    self.lists_call.schedule(now);
                    self.edits.push(AnyEdit::Reading(edit));
                }
                other => self.edits.push(other),
            }
        }
    }

    pub(super) fn handle_written(
        &mut self,
        now: Instant,
        id: &EditId,
        result: &Result<Written, Failure>,
    ) {
        let is_it = |e: &AnyEdit| matches!(e, AnyEdit::Writing(e) if e.proposal.id == *id);
        let Some(at) = self.edits.iter().position(is_it) else {
            return;
        };
        if let AnyEdit::Writing(edit) = self.edits.remove(at) {
            let step = edit.written(now, result);
            self.apply_step(now, id.clone(), step);
        }
    }

    pub(super) fn apply_step(&mut self, now: Instant, id: EditId, step: Step) {
        match step {
            Step::Write(edit, write) => {
                self.edits.push(AnyEdit::Writing(edit));
                self.commands.push(Command::Write { edit: id, write });
            }
            Step::Wait(edit) => {
                if matches!(edit, AnyEdit::Reading(_)) {
                    self.lists_call.schedule(now);
                }
                self.edits.push(edit);
            }
            Step::Done(verdict, lists) => self.finish_edit(id, verdict, lists),
        }
    }

    pub(super) fn finish_edit(
        &mut self,
        edit: EditId,
        mut verdict: Verdict,
        lists: Option<Accepted>,
    ) {
        if self.start.is_none() {
            self.adopt(lists.unwrap_or_default());
        }
        if let Verdict::Conflict {
            base, difference, ..
        } = &mut verdict
        {
            *difference = self.history.difference(*base);
        }
        self.commands.push(Command::Reply { edit, verdict });
    }

    pub(super) fn retry_edits(&mut self, now: Instant) {
        for edit in std::mem::take(&mut self.edits) {
            match edit {
                AnyEdit::Pausing(edit) if edit.due() <= now => {
                    self.edits.push(AnyEdit::Reading(edit.retry(now)));
                    self.lists_call.schedule(now);
                }
                other => self.edits.push(other),
            }
        }
    }
}
