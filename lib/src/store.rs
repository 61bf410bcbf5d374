//! Interface to the platform's key-value service.
//!
//! The service holds the data that must be durable, counts every call and has
//! outages. Its worst fault is a lost response: the write took effect and the writer
//! does not know it. There are therefore only two kinds of error:
//! [`Failure::NotDone`], after which a new write may be made instead, and
//! [`Failure::Unknown`], after which the outcome must be determined by reading back.
//! All users of the service are written against [`Store`], so that it can be replaced
//! by another protocol.

mod base64;
mod breaker;

use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;

use crate::ids::Revision;

pub use base64::{from_base64, to_base64};
pub use breaker::{Allow, Breaker, PROBE_RATE, RECOVERY_RATE, RECOVERY_TIME, SLOW_ANSWER};

/// Key of a value.
pub type Key = CompactString;
/// Id of a lease that values can be attached to.
pub type LeaseId = u64;

/// Maximum size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum number of conditions, and of puts, in one write.
pub const MAX_PUTS: usize = 64;

/// A value stored in the service.
#[proc_macros::row]
#[derive(Eq)]
pub struct StoredValue {
    /// Key of the value.
    pub key: Key,
    /// The value.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Revision of its last change.
    pub changed: Revision,
    /// Lease that the value is attached to; 0 for none.
    pub lease: LeaseId,
}

/// Result of a read at one revision.
#[proc_macros::row]
#[derive(Default, Eq)]
pub struct Snapshot {
    /// Revision of the whole service at the read.
    pub revision: Revision,
    /// The values, sorted by key.
    pub rows: Vec<StoredValue>,
}

impl Snapshot {
    /// Value of a key, if it was read.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        let at = self
            .rows
            .binary_search_by(|row| row.key.as_str().cmp(key))
            .ok()?;
        Some(&self.rows[at])
    }
}

/// Condition that must hold for a write to be done.
#[proc_macros::row]
#[derive(Eq)]
pub enum Condition {
    /// The key has no value.
    Absent(Key),
    /// The key was last changed at this revision.
    Unchanged(Key, Revision),
}

impl Condition {
    /// Key that the condition checks.
    pub fn key(&self) -> &Key {
        match self {
            Self::Absent(key) | Self::Unchanged(key, _) => key,
        }
    }
}

/// A value to write.
#[proc_macros::row]
#[derive(Eq)]
pub struct Put {
    /// Key.
    pub key: Key,
    /// Value.
    pub value: Bytes,
    /// Lease that the value is attached to; 0 for none.
    pub lease: LeaseId,
}

/// Puts that are done atomically if all conditions hold.
#[proc_macros::row]
#[derive(Default, Eq)]
pub struct Write {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Values to write.
    pub puts: Vec<Put>,
}

/// Result of a write that was answered.
#[proc_macros::row]
#[derive(Eq)]
pub enum Written {
    /// The write was done at this revision.
    Done(Revision),
    /// A condition did not hold; contains the values of the conditions' keys.
    Conflict(Snapshot),
}

/// A granted lease.
#[proc_macros::row]
#[derive(Eq)]
pub struct Lease {
    /// Id of the lease.
    pub id: LeaseId,
    /// Earliest time at which it may expire, counted from before the call was sent, so
    /// that after a slow response the holder never relies on an expired lease.
    pub until: Instant,
}

/// Reason for which a call has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The call provably had no effect.
    #[error("the call to the key-value service had no effect")]
    NotDone,
    /// The call may have taken effect.
    #[error("the call to the key-value service may have taken effect")]
    Unknown,
}

/// The platform's key-value service.
pub trait Store {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Snapshot, Failure>>;

    /// Reads all keys that begin with a prefix.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Snapshot, Failure>>;

    /// Writes all values if all conditions hold, otherwise none.
    fn write(&self, write: Write) -> impl Future<Output = Result<Written, Failure>>;

    /// Requests a lease that expires after this many whole seconds unless renewed.
    fn grant(&self, lasts: Duration) -> impl Future<Output = Result<Lease, Failure>>;

    /// Renews a lease; none if it has expired.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<Option<Lease>, Failure>>;

    /// Revokes a lease and deletes the values attached to it.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), Failure>>;

    /// Reports each value that a key gets from a revision on, until the watch breaks.
    ///
    /// Changes in quick succession may be reported as one. The service can forget a
    /// watch without breaking it, so whoever relies on a watch must also read the key
    /// from time to time.
    fn watch(
        &self,
        key: &str,
        from: Revision,
        on_change: impl FnMut(StoredValue),
    ) -> impl Future<Output = Failure>;
}
