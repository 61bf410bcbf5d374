//! The latest changes that a daemon adopted.
//!
//! Peers that are a little behind get these in place of the whole lists, and an
//! operator whose edit conflicts is shown what the other edits changed.

use super::changes::{Changes, Difference, RevisionDelta};
use super::{Pulled, Update};
use crate::ids::Revision;
use crate::lists::Accepted;

/// Changes that are kept. With 10,000 edits a day these are the last four
/// minutes.
const HISTORY_LEN: usize = 32;

#[derive(Debug)]
struct Entry {
    delta: RevisionDelta,
    difference: Difference,
}

/// The latest changes, oldest first, each based on the one before.
#[derive(Debug, Default)]
pub(crate) struct History {
    entries: Vec<Entry>,
}

impl History {
    /// Records that `new` replaced `old`.
    pub fn push(&mut self, old: &Accepted, new: &Accepted) {
        if old.revision == 0 {
            return;
        }
        if self.entries.len() == HISTORY_LEN {
            self.entries.remove(0);
        }
        let changes = Changes::between(&old.lists, &new.lists);
        let difference = Difference::of(&old.lists, &changes);
        let delta = RevisionDelta {
            base: old.revision,
            revision: new.revision,
            changes,
        };
        self.entries.push(Entry { delta, difference });
    }

    /// What changed since a revision; `None` if that is too long ago.
    pub fn difference(&self, since: Revision) -> Option<Difference> {
        let later = self.since(since)?;
        let empty = Difference::default();
        Some(later.iter().fold(empty, |d, e| d.then(&e.difference)))
    }

    /// Update that brings a reader from a revision to `accepted`.
    pub fn update(&self, have: Revision, accepted: &Accepted) -> Update {
        if have >= accepted.revision {
            return Update::None;
        }
        match self.since(have) {
            Some(later) if rows(later) < size(accepted) => {
                Update::Changes(later.iter().map(|e| e.delta.clone()).collect())
            }
            _ => Update::Whole(accepted.clone()),
        }
    }

    fn since(&self, revision: Revision) -> Option<&[Entry]> {
        let at = self
            .entries
            .binary_search_by_key(&revision, |e| e.delta.base)
            .ok()?;
        Some(&self.entries[at..])
    }
}

/// The lists after a peer's answer; `None` if the answer contains no update.
pub(crate) fn apply_update(mine: &Accepted, pulled: Pulled) -> Option<Accepted> {
    match pulled.update {
        Update::None => None,
        Update::Whole(accepted) => Some(accepted),
        Update::Changes(deltas) => {
            let mut accepted = mine.clone();
            for delta in &deltas {
                accepted = apply_delta(&accepted, delta).unwrap_or(accepted);
            }
            Some(accepted)
        }
    }
}

/// The lists after changes; `None` if these are based on another revision.
pub(crate) fn apply_delta(mine: &Accepted, delta: &RevisionDelta) -> Option<Accepted> {
    if delta.base != mine.revision {
        return None;
    }
    Some(Accepted {
        revision: delta.revision,
        lists: delta.changes.apply(&mine.lists),
    })
}

fn rows(entries: &[Entry]) -> usize {
    let counts = entries.iter().map(|e| {
        let changes = &e.delta.changes;
        changes.customers.put.len() + changes.plans.put.len()
    });
    counts.sum()
}

fn size(accepted: &Accepted) -> usize {
    accepted.lists.customers.len() + accepted.lists.plans.len()
}
