//! Storage of the lists in the key-value service.
//!
//! There are three values: each list as JSON, and a small head, the only one
//! that is watched. Every edit writes the head together with the lists it
//! changes, on condition that the head is unchanged; the revision of the head
//! is the revision of the configuration. The head names the latest edits, so
//! that a writer whose answer was lost can find out whether its edit was
//! accepted.

use bytes::Bytes;
use compact_str::format_compact;
use prost::Message as _;

use super::changes::{Changes, RevisionDelta};
use super::{EditId, Proposal};
use crate::ids::Revision;
use crate::lists::{Accepted, Customer, Lists, Plan, ValidationError};
use crate::protos::platform as wire;
use crate::store::{Condition, MAX_VALUE_BYTES, Put, Snapshot, StoredValue, Write};

/// Prefix of all keys of the lists.
pub const KEY_PREFIX: &str = "poplarvale/lists/";
/// Key of the head.
pub const HEAD_KEY: &str = "poplarvale/lists/head";
const CUSTOMERS: &str = "poplarvale/lists/customers";
const PLANS: &str = "poplarvale/lists/plans";

/// Edits that a head names. With 10,000 changes a day an edit stays in the head
/// for about nine minutes, far longer than any writer tries to find its
/// outcome.
const MAX_RECENT_EDITS: usize = 64;
/// Largest changes in a head, in bytes; larger ones are read with the lists, as
/// every watcher receives the head.
const MAX_CHANGES_BYTES: usize = 32 << 10;

/// Status of an edit according to the head.
#[proc_macros::row]
pub(crate) enum EditStatus {
    /// Accepted at this revision.
    Accepted(Revision),
    /// Another edit with the same base was accepted.
    Superseded,
    /// Not written yet; its base is in force.
    Pending,
    /// The edit is so old that the head names neither it nor the one that was
    /// accepted on its base.
    Unlisted,
}

/// The head at a revision.
#[derive(Clone, Debug, Default)]
pub(crate) struct Head {
    pub revision: Revision,
    wire: wire::Head,
}

impl Head {
    /// Decodes the value under [`HEAD_KEY`]; an invalid value counts as a head
    /// without changes.
    pub fn from_value(stored: &StoredValue) -> Self {
        let wire = wire::Head::decode(stored.value.clone()).unwrap_or_default();
        Self {
            revision: stored.changed,
            wire,
        }
    }

    /// The head in a snapshot; empty if the service has no lists.
    pub fn from_snapshot(snapshot: &Snapshot) -> Self {
        snapshot
            .get(HEAD_KEY)
            .map(Self::from_value)
            .unwrap_or_default()
    }

    /// Its changes, if it contains them.
    pub fn delta(&self) -> Option<RevisionDelta> {
        let last = self.wire.recent.last()?;
        Some(RevisionDelta {
            base: last.base,
            revision: self.revision,
            changes: serde_json::from_slice(&self.wire.changes).ok()?,
        })
    }

    /// Status of an edit based on `base`.
    pub fn status(&self, edit: &EditId, base: Revision) -> EditStatus {
        let recent = &self.wire.recent;
        if let Some(at) = recent.iter().position(|p| p.edit == *edit) {
            // The base of the next edit is the revision of this one.
            let after = recent.get(at + 1).map(|p| p.base);
            return EditStatus::Accepted(after.unwrap_or(self.revision));
        }
        if self.revision == base {
            EditStatus::Pending
        } else if recent.iter().any(|p| p.base == base) {
            EditStatus::Superseded
        } else {
            EditStatus::Unlisted
        }
    }
}

/// The lists in a snapshot; `None` if there are none or they can't be parsed.
pub(crate) fn read_lists(snapshot: &Snapshot) -> Option<Accepted> {
    let revision = snapshot.get(HEAD_KEY)?.changed;
    let customers: Vec<Customer> = serde_json::from_slice(&snapshot.get(CUSTOMERS)?.value).ok()?;
    let plans: Vec<Plan> = serde_json::from_slice(&snapshot.get(PLANS)?.value).ok()?;
    let lists = Lists { customers, plans };
    Some(Accepted { revision, lists })
}

/// The write that commits an edit; `base` are the lists that it is based on.
pub(crate) fn write(edit: &Proposal, base: &Lists, recent: &[wire::Passed]) -> Write {
    let condition = match edit.base {
        0 => Condition::Absent(HEAD_KEY.into()),
        base => Condition::Unchanged(HEAD_KEY.into(), base),
    };
    let mut puts = vec![put(HEAD_KEY, head(edit, base, recent))];
    if edit.base == 0 || edit.lists.customers != base.customers {
        puts.push(put(CUSTOMERS, json(&edit.lists.customers)));
    }
    if edit.base == 0 || edit.lists.plans != base.plans {
        puts.push(put(PLANS, json(&edit.lists.plans)));
    }
    Write {
        conditions: vec![condition],
        puts,
    }
}

/// The edits that the next head must still name.
pub(crate) fn recent(head: &Head) -> Vec<wire::Passed> {
    head.wire.recent.clone()
}

/// Errors for lists that are too large for the service.
pub(crate) fn check_size(lists: &Lists) -> Vec<ValidationError> {
    let sizes = [
        ("customers", json(&lists.customers).len()),
        ("plans", json(&lists.plans).len()),
    ];
    let large = sizes
        .into_iter()
        .filter(|(_, size)| *size > MAX_VALUE_BYTES);
    large
        .map(|(list, size)| {
            let allowed = format_compact!("at most {MAX_VALUE_BYTES} bytes as JSON");
            ValidationError::new(list, format_compact!("{size} bytes"), allowed)
        })
        .collect()
}

fn head(edit: &Proposal, base: &Lists, recent: &[wire::Passed]) -> Bytes {
    let mut changes = json(&Changes::between(base, &edit.lists));
    if changes.len() > MAX_CHANGES_BYTES {
        changes.clear();
    }
    let start = (recent.len() + 1).saturating_sub(MAX_RECENT_EDITS);
    let mut recent = recent[start..].to_vec();
    recent.push(wire::Passed {
        edit: edit.id.to_string(),
        base: edit.base,
    });
    let head = wire::Head {
        edit: edit.id.to_string(),
        changes,
        recent,
    };
    head.encode_to_vec().into()
}

fn put(key: &str, value: impl Into<Bytes>) -> Put {
    Put {
        key: key.into(),
        value: value.into(),
        lease: 0,
    }
}

fn json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("lists can be serialized as JSON")
}
