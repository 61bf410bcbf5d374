//! In-memory model of the key-value service: values, revisions and leases, at the time
//! that the caller passes in.
//!
//! [`Fake`] adds faults and call counts. The stand-in program (see `store`) and the
//! tests on virtual time share this model, so that both meet the same behaviour.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use bytes::Bytes;
use poplarvale_lib::Revision;
use poplarvale_lib::store::{
    Condition, Failure, Key, Lease, LeaseId, MAX_VALUE_BYTES, Put, Snapshot, Store, StoredValue,
    Write, Written,
};
use serde::{Deserialize, Serialize};

/// Timeout of a call in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Values and leases of the service.
#[derive(Clone, Debug, Default)]
pub struct Data {
    rows: Vec<StoredValue>,
    leases: Vec<(LeaseId, Instant, Duration)>,
    revision: Revision,
    next_lease: LeaseId,
}

impl Data {
    /// Revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Value under a key.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        let at = self.position(key).ok()?;
        Some(&self.rows[at])
    }

    /// Values from the key `from` up to but without `end`; only `from` itself if `end` is empty.
    pub fn range(&self, from: &str, end: &[u8]) -> Snapshot {
        let rows = if end.is_empty() {
            self.get(from).into_iter().cloned().collect()
        } else {
            let start = self.rows.partition_point(|r| r.key.as_str() < from);
            let stop = self.rows.partition_point(|r| r.key.as_bytes() < end);
            self.rows[start..stop.max(start)].to_vec()
        };
        Snapshot {
            revision: self.revision,
            rows,
        }
    }

    /// Values under a prefix.
    pub fn prefix(&self, prefix: &str) -> Snapshot {
        self.range(prefix, &prefix_end(prefix))
    }

    /// Whether a condition holds.
    pub fn holds(&self, condition: &Condition) -> bool {
        let changed = self.get(condition.key()).map(|row| row.changed);
        match condition {
            Condition::Absent(_) => changed.is_none(),
            Condition::Unchanged(_, revision) => changed == Some(*revision),
        }
    }

    /// Writes values atomically, all at one new revision.
    pub fn put(&mut self, puts: Vec<Put>) -> Revision {
        self.revision += 1;
        for put in puts {
            self.put_one(put);
        }
        self.revision
    }

    /// Grants a lease; with an id of 0 the service chooses the id.
    pub fn grant(&mut self, now: Instant, id: LeaseId, ttl: Duration) -> LeaseId {
        self.next_lease += 1;
        let id = if id == 0 { self.next_lease } else { id };
        self.leases.retain(|lease| lease.0 != id);
        self.leases.push((id, now + ttl, ttl));
        id
    }

    /// Renews a lease and returns its duration; `None` if it does not exist.
    pub fn renew(&mut self, now: Instant, id: LeaseId) -> Option<Duration> {
        let lease = self.leases.iter_mut().find(|lease| lease.0 == id)?;
        lease.1 = now + lease.2;
        Some(lease.2)
    }

    /// Ends a lease and removes its values.
    pub fn revoke(&mut self, id: LeaseId) {
        self.leases.retain(|lease| lease.0 != id);
        let before = self.rows.len();
        self.rows.retain(|row| row.lease != id || id == 0);
        if self.rows.len() < before {
            self.revision += 1;
        }
    }

    /// Ends the expired leases and removes their values.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|lease| lease.1 <= now);
        let expired: Vec<_> = expired.map(|lease| lease.0).collect();
        for id in expired {
            self.revoke(id);
        }
    }

    fn put_one(&mut self, put: Put) {
        let stored = StoredValue {
            key: put.key,
            value: put.value,
            created: self.revision,
            changed: self.revision,
            lease: put.lease,
        };
        match self.position(&stored.key) {
            Ok(at) => {
                let created = self.rows[at].created;
                self.rows[at] = StoredValue { created, ..stored };
            }
            Err(at) => self.rows.insert(at, stored),
        }
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }
}

/// Exclusive end of the range of keys that start with a prefix.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

/// Faults of the service, set by an order; each order replaces the previous one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every call with an error.
    pub down: bool,
    /// Never answers.
    pub hang: bool,
    /// Delay of each call in milliseconds.
    pub slow_ms: u64,
    /// Number of coming answers to writes and lease calls that are lost after the call took
    /// effect.
    pub lose: u32,
    /// Stops sending events to all watches that are open now, without closing them.
    pub forget_watches: bool,
}

/// Number of calls by kind since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one key.
    pub reads: u64,
    /// Reads of a range of keys.
    pub ranges: u64,
    /// Writes, including those whose conditions failed.
    pub writes: u64,
    /// Calls that grant, renew or revoke a lease.
    pub leases: u64,
    /// Watches opened.
    pub watches: u64,
}

impl Counts {
    /// Sum over all kinds.
    pub fn total(&self) -> u64 {
        self.reads + self.ranges + self.writes + self.leases + self.watches
    }
}

/// The service with its faults and call counts, for tests on virtual time.
#[derive(Clone, Debug, Default)]
pub struct Fake {
    /// Values and leases.
    pub data: Data,
    /// Faults that are on.
    pub faults: Faults,
    /// Number of calls so far.
    pub counts: Counts,
}

impl Fake {
    /// Reads all keys with a prefix.
    pub fn range(&mut self, prefix: &str) -> Result<Snapshot, Failure> {
        self.counts.ranges += 1;
        self.check_available()?;
        Ok(self.data.prefix(prefix))
    }

    /// Reads one key.
    pub fn get(&mut self, key: &str) -> Result<Snapshot, Failure> {
        self.counts.reads += 1;
        self.check_available()?;
        Ok(self.data.range(key, &[]))
    }

    /// Writes values if the conditions hold.
    pub fn write(&mut self, write: Write) -> Result<Written, Failure> {
        self.counts.writes += 1;
        self.check_available()?;
        let written = apply(&mut self.data, write);
        self.deliver_answer()?;
        written
    }

    /// Fails with an unknown outcome as long as answers are to be lost; counts this one.
    pub fn deliver_answer(&mut self) -> Result<(), Failure> {
        if self.faults.lose > 0 {
            self.faults.lose -= 1;
            return Err(Failure::Unknown);
        }
        Ok(())
    }

    fn check_available(&self) -> Result<(), Failure> {
        // A caller cannot distinguish an unavailable service from a lost answer.
        if self.faults.down || self.faults.hang {
            return Err(Failure::Unknown);
        }
        Ok(())
    }
}

/// [`Fake`] behind the [`Store`] trait, for code that is written against the trait.
///
/// Every call is answered immediately, at the time set last in `now`. If the delay reaches the
/// timeout of a call, no answer arrives in time: writes take effect, but their
/// outcome is unknown to the caller.
#[derive(Debug)]
pub struct FakeStore {
    /// The service.
    pub fake: RefCell<Fake>,
    /// Virtual time.
    pub now: Cell<Instant>,
}

impl FakeStore {
    /// An empty service.
    pub fn new(now: Instant) -> Self {
        Self {
            fake: RefCell::default(),
            now: Cell::new(now),
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut Fake) -> Result<T, Failure>) -> Result<T, Failure> {
        let mut fake = self.fake.borrow_mut();
        fake.data.expire_leases(self.now.get());
        let done = act(&mut fake);
        if fake.faults.slow_ms >= CALL_TIMEOUT_MS {
            return Err(Failure::Unknown);
        }
        done
    }

    fn lease(
        &self,
        act: impl FnOnce(&mut Data) -> Option<Lease>,
    ) -> Result<Option<Lease>, Failure> {
        self.with(|fake| {
            fake.counts.leases += 1;
            fake.check_available()?;
            let lease = act(&mut fake.data);
            fake.deliver_answer()?;
            Ok(lease)
        })
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Snapshot, Failure> {
        self.with(|fake| fake.get(key))
    }

    async fn range(&self, prefix: &str) -> Result<Snapshot, Failure> {
        self.with(|fake| fake.range(prefix))
    }

    async fn write(&self, write: Write) -> Result<Written, Failure> {
        self.with(|fake| fake.write(write))
    }

    async fn grant(&self, lasts: Duration) -> Result<Lease, Failure> {
        let now = self.now.get();
        let until = now + lasts;
        let granted = self.lease(|data| {
            let id = data.grant(now, 0, lasts);
            Some(Lease { id, until })
        });
        granted?.ok_or(Failure::Unknown)
    }

    async fn renew(&self, lease: LeaseId) -> Result<Option<Lease>, Failure> {
        let now = self.now.get();
        self.lease(|data| {
            let until = now + data.renew(now, lease)?;
            Some(Lease { id: lease, until })
        })
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Failure> {
        let revoked = self.lease(|data| {
            data.revoke(lease);
            None
        });
        revoked.map(|_none| ())
    }

    /// Reports the current value if it is new enough, then ends the watch.
    async fn watch(
        &self,
        key: &str,
        from: Revision,
        mut on_change: impl FnMut(StoredValue),
    ) -> Failure {
        let mut fake = self.fake.borrow_mut();
        fake.counts.watches += 1;
        let stored = fake.data.get(key).filter(|stored| stored.changed >= from);
        if let Some(stored) = stored {
            on_change(stored.clone());
        }
        Failure::Unknown
    }
}

fn apply(data: &mut Data, write: Write) -> Result<Written, Failure> {
    if write
        .puts
        .iter()
        .any(|put| put.value.len() > MAX_VALUE_BYTES)
    {
        return Err(Failure::NotDone);
    }
    if write.conditions.iter().all(|c| data.holds(c)) {
        return Ok(Written::Done(data.put(write.puts)));
    }
    let keys = write.conditions.iter().map(Condition::key);
    Ok(Written::Conflict(found(data, keys)))
}

fn found<'a>(data: &Data, keys: impl Iterator<Item = &'a Key>) -> Snapshot {
    let mut rows: Vec<_> = keys.filter_map(|key| data.get(key)).cloned().collect();
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    Snapshot {
        revision: data.revision(),
        rows,
    }
}

/// A put without a lease.
pub fn put(key: &str, value: impl Into<Bytes>) -> Put {
    Put {
        key: key.into(),
        value: value.into(),
        lease: 0,
    }
}
