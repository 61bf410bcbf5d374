//! Differences between two states of the lists.
//!
//! [`Changes`] can be applied, so that a daemon that is one edit behind needs a
//! few rows and not a megabyte; [`Difference`] contains only ids and is shown
//! to operators when another edit was accepted before theirs.

use compact_str::CompactString;

use crate::ids::{CustomerId, PlanId, Revision};
use crate::lists::{Customer, Lists, Plan};
use crate::table::Row;

/// Rows to put and ids to remove, of one list.
#[proc_macros::setting]
pub struct ListChanges<R, I> {
    /// Rows that are new or changed.
    pub put: Vec<R>,
    /// Ids that were removed.
    pub gone: Vec<I>,
}

impl<R, I> Default for ListChanges<R, I> {
    fn default() -> Self {
        Self {
            put: Vec::new(),
            gone: Vec::new(),
        }
    }
}

/// Changes from one state of the lists to another.
#[proc_macros::setting]
#[derive(Default)]
pub struct Changes {
    /// Changes of the customers.
    pub customers: ListChanges<Customer, CustomerId>,
    /// Changes of the plans.
    pub plans: ListChanges<Plan, PlanId>,
}

/// Changes between two revisions.
#[proc_macros::setting]
pub struct RevisionDelta {
    /// Revision that they apply to.
    pub base: Revision,
    /// Revision that they lead to.
    pub revision: Revision,
    /// The changes.
    pub changes: Changes,
}

/// Ids of one list that differ.
#[proc_macros::setting]
#[derive(Default, Eq)]
pub struct ListDifference {
    /// Only in the later state.
    pub added: Vec<CompactString>,
    /// Only in the earlier state.
    pub removed: Vec<CompactString>,
    /// In both, with different contents.
    pub changed: Vec<CompactString>,
}

/// Ids of both lists that differ.
#[proc_macros::setting]
#[derive(Default, Eq)]
pub struct Difference {
    /// Customers.
    pub customers: ListDifference,
    /// Plans.
    pub plans: ListDifference,
}

impl Changes {
    /// Changes from `old` to `new`.
    pub fn between(old: &Lists, new: &Lists) -> Self {
        Self {
            customers: list_changes(&old.customers, &new.customers),
            plans: list_changes(&old.plans, &new.plans),
        }
    }

    /// The lists after these changes, with rows sorted by id.
    pub fn apply(&self, lists: &Lists) -> Lists {
        Lists {
            customers: applied(&self.customers, &lists.customers),
            plans: applied(&self.plans, &lists.plans),
        }
    }
}

impl ListDifference {
    /// This difference and a later one, combined.
    fn then(&self, later: &Self) -> Self {
        let mut joined = Self::default();
        let ids = [self, later];
        let ids = ids.iter().flat_map(|d| [&d.added, &d.removed, &d.changed]);
        let mut ids: Vec<_> = ids.flatten().collect();
        ids.sort();
        ids.dedup();
        for id in ids {
            let touched = |d: &Self| d.added.contains(id) || d.removed.contains(id);
            let before = if touched(self) {
                self.removed.contains(id)
            } else {
                !later.added.contains(id)
            };
            let after = if touched(later) {
                later.added.contains(id)
            } else {
                !self.removed.contains(id)
            };
            match (before, after) {
                (false, true) => joined.added.push(id.clone()),
                (true, false) => joined.removed.push(id.clone()),
                (true, true) => joined.changed.push(id.clone()),
                (false, false) => {}
            }
        }
        joined
    }
}

impl Difference {
    /// This difference and a later one, combined.
    #[must_use]
    pub fn then(&self, later: &Self) -> Self {
        Self {
            customers: self.customers.then(&later.customers),
            plans: self.plans.then(&later.plans),
        }
    }

    /// Difference between `old` and the lists after some changes.
    pub fn of(old: &Lists, changes: &Changes) -> Self {
        Self {
            customers: list_difference(&old.customers, &changes.customers),
            plans: list_difference(&old.plans, &changes.plans),
        }
    }
}

/// The lists with their rows sorted by id, so that equal lists have equal
/// bytes.
pub(crate) fn sorted(mut lists: Lists) -> Lists {
    lists.customers.sort_by(|a, b| a.id.cmp(&b.id));
    lists.plans.sort_by(|a, b| a.id.cmp(&b.id));
    lists
}

/// Rows sorted by id. Lists in force are sorted already, so this is one pass;
/// inserting row by row into a table would move most rows each time.
fn by_id<R: Row>(rows: &[R]) -> Vec<&R> {
    let mut rows: Vec<_> = rows.iter().collect();
    rows.sort_by(|a, b| a.id().cmp(b.id()));
    rows
}

fn find<'a, R: Row>(rows: &[&'a R], id: &R::Id) -> Option<&'a R> {
    let at = rows.binary_search_by(|row| row.id().cmp(id)).ok()?;
    Some(rows[at])
}

fn list_changes<R: Row + Clone + PartialEq>(old: &[R], new: &[R]) -> ListChanges<R, R::Id> {
    let before = by_id(old);
    let after = by_id(new);
    let put = after.iter().filter(|r| find(&before, r.id()) != Some(**r));
    let gone = before.iter().filter(|r| find(&after, r.id()).is_none());
    ListChanges {
        put: put.map(|r| (*r).clone()).collect(),
        gone: gone.map(|r| r.id().clone()).collect(),
    }
}

fn applied<R: Row + Clone>(changes: &ListChanges<R, R::Id>, rows: &[R]) -> Vec<R> {
    let put = by_id(&changes.put);
    let mut gone: Vec<_> = changes.gone.iter().collect();
    gone.sort();
    let is_gone = |id: &R::Id| gone.binary_search_by(|g| (*g).cmp(id)).is_ok();
    let stays = |r: &&R| find(&put, r.id()).is_none() && !is_gone(r.id());
    let mut rows: Vec<R> = rows.iter().filter(stays).cloned().collect();
    rows.extend(changes.put.iter().cloned());
    rows.sort_by(|a, b| a.id().cmp(b.id()));
    rows
}

fn list_difference<R>(old: &[R], changes: &ListChanges<R, R::Id>) -> ListDifference
where
    R: Row<Id = CompactString>,
{
    let before = by_id(old);
    let put = changes.put.iter().map(|row| row.id().clone());
    let (known, added) = put.partition(|id| find(&before, id).is_some());
    ListDifference {
        added,
        removed: changes.gone.clone(),
        changed: known,
    }
}
