//! How the lists stand in the key-value service.
//!
//! Three values: each list as JSON, and a small head, which is all that is
//! watched. Every edit writes the head together with the lists it changes, on
//! the condition that the head is unchanged; the revision of the head is the
//! revision of the configuration. The head names the latest edits, by which a
//! writer that lost the answer finds out what became of its edit.

use bytes::Bytes;
use compact_str::format_compact;
use prost::Message as _;

use super::changes::{Changes, Passage};
use super::{EditId, Proposal};
use crate::ids::Revision;
use crate::lists::{Accepted, Customer, Lists, Plan, ValidationError};
use crate::protos::platform as wire;
use crate::store::{Condition, MAX_VALUE_BYTES, Put, Snapshot, StoredValue, Write};

/// What all keys of the lists begin with.
pub const PREFIX: &str = "poplarvale/lists/";
/// Key of the head.
pub const HEAD: &str = "poplarvale/lists/head";
const CUSTOMERS: &str = "poplarvale/lists/customers";
const PLANS: &str = "poplarvale/lists/plans";

/// Edits that a head names. At 10,000 changes a day an edit stays named for
/// about nine minutes, far longer than any writer tries to settle one.
const RECENT: usize = 64;
/// Largest changes in a head; larger ones are read with the lists, as every
/// watcher gets the head.
const MOST_CHANGES: usize = 32 << 10;

/// What became of an edit, as the head tells it.
#[proc_macros::row]
pub(crate) enum Fate {
    /// Accepted at this revision.
    Accepted(Revision),
    /// Another edit took its base.
    Beaten,
    /// Not yet written; its base is in force.
    Open,
    /// So long ago that the head names neither it nor what took its base.
    Forgotten,
}

/// The head at a revision.
#[derive(Clone, Debug, Default)]
pub(crate) struct Head {
    pub revision: Revision,
    wire: wire::Head,
}

impl Head {
    /// Reads the value under [`HEAD`]; one that cannot be read names no changes.
    pub fn read(held: &StoredValue) -> Self {
        let wire = wire::Head::decode(held.value.clone()).unwrap_or_default();
        Self {
            revision: held.changed,
            wire,
        }
    }

    /// The head in what was read; a service without lists has an empty one.
    pub fn find(snapshot: &Snapshot) -> Self {
        snapshot.get(HEAD).map(Self::read).unwrap_or_default()
    }

    /// Its changes, if it carries them.
    pub fn passage(&self) -> Option<Passage> {
        let last = self.wire.recent.last()?;
        Some(Passage {
            base: last.base,
            revision: self.revision,
            changes: serde_json::from_slice(&self.wire.changes).ok()?,
        })
    }

    /// What became of an edit made upon `base`.
    pub fn fate(&self, edit: &EditId, base: Revision) -> Fate {
        let recent = &self.wire.recent;
        if let Some(at) = recent.iter().position(|p| p.edit == *edit) {
            // The edit after this one was made upon the revision of this one.
            let after = recent.get(at + 1).map(|p| p.base);
            return Fate::Accepted(after.unwrap_or(self.revision));
        }
        if self.revision == base {
            Fate::Open
        } else if recent.iter().any(|p| p.base == base) {
            Fate::Beaten
        } else {
            Fate::Forgotten
        }
    }
}

/// The lists in what was read; none if there are none or they can't be read.
pub(crate) fn read_lists(snapshot: &Snapshot) -> Option<Accepted> {
    let revision = snapshot.get(HEAD)?.changed;
    let customers: Vec<Customer> = serde_json::from_slice(&snapshot.get(CUSTOMERS)?.value).ok()?;
    let plans: Vec<Plan> = serde_json::from_slice(&snapshot.get(PLANS)?.value).ok()?;
    let lists = Lists { customers, plans };
    Some(Accepted { revision, lists })
}

/// The write that accepts an edit upon the lists it was made from.
pub(crate) fn write(edit: &Proposal, base: &Lists, recent: &[wire::Passed]) -> Write {
    let condition = match edit.base {
        0 => Condition::Absent(HEAD.into()),
        base => Condition::Unchanged(HEAD.into(), base),
    };
    let mut puts = vec![put(HEAD, head(edit, base, recent))];
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

/// The edits that a head must go on naming.
pub(crate) fn recent(head: &Head) -> Vec<wire::Passed> {
    head.wire.recent.clone()
}

/// Lists that are too large for the service.
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
    if changes.len() > MOST_CHANGES {
        changes.clear();
    }
    let start = (recent.len() + 1).saturating_sub(RECENT);
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
    serde_json::to_vec(value).expect("lists hold nothing that JSON cannot")
}
