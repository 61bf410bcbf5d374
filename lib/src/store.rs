//! What is asked of the platform's key-value service.
//!
//! The service holds what must last, counts every call and has outages. Its
//! worst fault is a lost answer: the write took effect and the writer does not
//! know. Errors are therefore of two types only: [`Failure::NotDone`], after
//! which a write may be made anew as another, and [`Failure::Unknown`], after
//! which it must be settled by reading back. All that uses the service is
//! written against [`Store`], so that another protocol can be put in its place.

mod base64;
mod breaker;

use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;

use crate::ids::Revision;

pub use base64::{from_base64, to_base64};
pub use breaker::{Allow, Breaker, PROBE_RATE, RECOVERY_RATE, RECOVERY_TIME, SLOW_ANSWER};

/// Name that a value stands under.
pub type Key = CompactString;
/// Lease that values can hang on.
pub type LeaseId = u64;

/// Most bytes of a value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Most conditions and puts of one write.
pub const MAX_PUTS: usize = 64;

/// A value as it stands in the service.
#[proc_macros::row]
#[derive(Eq)]
pub struct StoredValue {
    /// Its key.
    pub key: Key,
    /// The value.
    pub value: Bytes,
    /// Revision it was created at.
    pub created: Revision,
    /// Revision of its last change.
    pub changed: Revision,
    /// Lease it hangs on; 0 for none.
    pub lease: LeaseId,
}

/// What was read at one revision.
#[proc_macros::row]
#[derive(Default, Eq)]
pub struct Snapshot {
    /// Revision of the whole service.
    pub revision: Revision,
    /// The values, sorted by key.
    pub rows: Vec<StoredValue>,
}

impl Snapshot {
    /// Value under a key.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        let at = self
            .rows
            .binary_search_by(|row| row.key.as_str().cmp(key))
            .ok()?;
        Some(&self.rows[at])
    }
}

/// What must hold for a write to be done.
#[proc_macros::row]
#[derive(Eq)]
pub enum Condition {
    /// Nothing stands under the key.
    Absent(Key),
    /// The key was last changed at this revision.
    Unchanged(Key, Revision),
}

impl Condition {
    /// Key that it is about.
    pub fn key(&self) -> &Key {
        match self {
            Self::Absent(key) | Self::Unchanged(key, _) => key,
        }
    }
}

/// A value to be put.
#[proc_macros::row]
#[derive(Eq)]
pub struct Put {
    /// Key.
    pub key: Key,
    /// Value.
    pub value: Bytes,
    /// Lease it hangs on; 0 for none.
    pub lease: LeaseId,
}

/// Puts that are done together, if all conditions hold.
#[proc_macros::row]
#[derive(Default, Eq)]
pub struct Write {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Puts.
    pub puts: Vec<Put>,
}

/// What came of a write that was answered.
#[proc_macros::row]
#[derive(Eq)]
pub enum Written {
    /// Done, at this revision.
    Done(Revision),
    /// A condition did not hold; what stands under the conditions' keys.
    Conflict(Snapshot),
}

/// A lease that was given.
#[proc_macros::row]
#[derive(Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// When it may lapse, counted from before the call was sent, so that a slow
    /// answer never makes the holder believe in a lease that is gone.
    pub until: Instant,
}

/// Why a call gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// It provably was not done.
    #[error("the call was not done")]
    NotDone,
    /// It may have been done.
    #[error("the call may have been done")]
    Unknown,
}

/// The platform's key-value service.
pub trait Store {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Snapshot, Failure>>;

    /// Reads all keys that begin with a prefix.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Snapshot, Failure>>;

    /// Puts values if conditions hold, all or none.
    fn write(&self, write: Write) -> impl Future<Output = Result<Written, Failure>>;

    /// Takes a lease that lapses unless renewed; whole seconds.
    fn grant(&self, lasts: Duration) -> impl Future<Output = Result<Lease, Failure>>;

    /// Renews a lease; none if it is gone.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<Option<Lease>, Failure>>;

    /// Ends a lease and takes away what hangs on it.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), Failure>>;

    /// Tells each value that a key gets from a revision on, until it breaks.
    ///
    /// Changes that follow closely may come as one. The service can forget a
    /// watch without breaking it, so whoever relies on it also reads the key now
    /// and then.
    fn watch(
        &self,
        key: &str,
        from: Revision,
        on_change: impl FnMut(StoredValue),
    ) -> impl Future<Output = Failure>;
}
