//! The key-value service as plain data, on whatever time the caller gives.
//!
//! [`Fake`] adds the faults and the counts; the program and the tests of
//! decisions use the same ones.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use bytes::Bytes;
use poplarvale_lib::Revision;
use poplarvale_lib::store::{
    Condition, Failure, Key, Lease, LeaseId, MAX_VALUE_BYTES, Put, Snapshot, Store, StoredValue,
    Write, Written,
};
use serde::{Deserialize, Serialize};

/// Milliseconds that a call may take.
const CALL_MS: u64 = 1_000;

/// Values and leases.
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

    /// Values from a key on, until an end that is left out; one if no end.
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

    /// Puts values together, at one new revision.
    pub fn put(&mut self, puts: Vec<Put>) -> Revision {
        self.revision += 1;
        for put in puts {
            self.put_one(put);
        }
        self.revision
    }

    /// Gives a lease; an id of 0 lets one be drawn.
    pub fn grant(&mut self, now: Instant, id: LeaseId, lasts: Duration) -> LeaseId {
        self.next_lease += 1;
        let id = if id == 0 { self.next_lease } else { id };
        self.leases.retain(|lease| lease.0 != id);
        self.leases.push((id, now + lasts, lasts));
        id
    }

    /// Renews a lease and tells how long it lasts.
    pub fn renew(&mut self, now: Instant, id: LeaseId) -> Option<Duration> {
        let lease = self.leases.iter_mut().find(|lease| lease.0 == id)?;
        lease.1 = now + lease.2;
        Some(lease.2)
    }

    /// Ends a lease and takes away its values.
    pub fn revoke(&mut self, id: LeaseId) {
        self.leases.retain(|lease| lease.0 != id);
        let before = self.rows.len();
        self.rows.retain(|row| row.lease != id || id == 0);
        if self.rows.len() < before {
            self.revision += 1;
        }
    }

    /// Ends the leases that have lapsed.
    pub fn lapse(&mut self, now: Instant) {
        let lapsed = self.leases.iter().filter(|lease| lease.1 <= now);
        let lapsed: Vec<_> = lapsed.map(|lease| lease.0).collect();
        for id in lapsed {
            self.revoke(id);
        }
    }

    fn put_one(&mut self, put: Put) {
        let held = StoredValue {
            key: put.key,
            value: put.value,
            created: self.revision,
            changed: self.revision,
            lease: put.lease,
        };
        match self.position(&held.key) {
            Ok(at) => {
                let created = self.rows[at].created;
                self.rows[at] = StoredValue { created, ..held };
            }
            Err(at) => self.rows.insert(at, held),
        }
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }
}

/// End of the range of keys with a prefix.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

/// Faults that are switched on by an order, which replaces the one before.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every call with an error.
    pub down: bool,
    /// Never answers.
    pub hang: bool,
    /// Milliseconds until each call is done.
    pub slow_ms: u64,
    /// Next answers of writes that get lost after the write took effect.
    pub lose: u32,
    /// Drops all watches that stand now, without breaking them.
    pub forget_watches: bool,
}

/// Calls by kind since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one key.
    pub reads: u64,
    /// Reads of a range of keys.
    pub ranges: u64,
    /// Writes, with or without effect.
    pub writes: u64,
    /// Calls about leases.
    pub leases: u64,
    /// Watches.
    pub watches: u64,
}

impl Counts {
    /// All calls.
    pub fn total(&self) -> u64 {
        self.reads + self.ranges + self.writes + self.leases + self.watches
    }
}

/// The service with its faults and counts, for tests on virtual time.
#[derive(Clone, Debug, Default)]
pub struct Fake {
    /// Values and leases.
    pub data: Data,
    /// Faults that are on.
    pub faults: Faults,
    /// Calls so far.
    pub counts: Counts,
}

impl Fake {
    /// Reads all keys with a prefix.
    pub fn range(&mut self, prefix: &str) -> Result<Snapshot, Failure> {
        self.counts.ranges += 1;
        self.up()?;
        Ok(self.data.prefix(prefix))
    }

    /// Reads one key.
    pub fn get(&mut self, key: &str) -> Result<Snapshot, Failure> {
        self.counts.reads += 1;
        self.up()?;
        Ok(self.data.range(key, &[]))
    }

    /// Puts values if conditions hold.
    pub fn write(&mut self, write: Write) -> Result<Written, Failure> {
        self.counts.writes += 1;
        self.up()?;
        let written = apply(&mut self.data, write);
        self.keep_answer()?;
        written
    }

    /// Whether the next answer of a write arrives.
    pub fn keep_answer(&mut self) -> Result<(), Failure> {
        if self.faults.lose > 0 {
            self.faults.lose -= 1;
            return Err(Failure::Unknown);
        }
        Ok(())
    }

    fn up(&self) -> Result<(), Failure> {
        // A caller can't tell a service that is down from a lost answer.
        if self.faults.down || self.faults.hang {
            return Err(Failure::Unknown);
        }
        Ok(())
    }
}

/// The fake behind the trait, for code that is written against it.
///
/// Every call is answered at once, at the time that was set last. A service that
/// is slower than a call may take is one that never answers in time, so its
/// writes take effect and are of unknown outcome.
#[derive(Debug)]
pub struct FakeStore {
    /// The service.
    pub fake: RefCell<Fake>,
    /// Time.
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
        fake.data.lapse(self.now.get());
        let done = act(&mut fake);
        if fake.faults.slow_ms >= CALL_MS {
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
            fake.up()?;
            let lease = act(&mut fake.data);
            fake.keep_answer()?;
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

    /// Tells the value that stands, and breaks.
    async fn watch(
        &self,
        key: &str,
        from: Revision,
        mut on_change: impl FnMut(StoredValue),
    ) -> Failure {
        let mut fake = self.fake.borrow_mut();
        fake.counts.watches += 1;
        let held = fake.data.get(key).filter(|held| held.changed >= from);
        if let Some(held) = held {
            on_change(held.clone());
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
