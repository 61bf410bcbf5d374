//! A lane: the rows of one origin in one scope.
//!
//! The prefix of a lane means that the newest row of every key written up to
//! that sequence is held. Rows that were pushed may be above the prefix; the
//! next exchange sends them again, which is cheaper than storing the set of
//! single dots beside the prefix as in §3.3 of the paper.
//!
//! A removed row leaves a tombstone with a sequence of its own; without it, a
//! replica that missed the removal would keep the row. The tombstone is kept
//! for longer than [`LANE_TTL`]: a replica whose prefix is still below it has
//! then removed the whole lane.

use std::time::{Duration, Instant};

use crate::gossip::limits::{MAX_LANE_BYTES, MAX_LANE_ROWS, TOMBSTONE_TTL};
use crate::gossip::{GossipError, Key, LANE_TTL, MIN_LANE_TTL, Scope};
use crate::protos::peer;
use crate::table::{self, Table};

/// What a key holds.
#[proc_macros::row]
pub(crate) enum Content {
    /// A value.
    Value(Box<[u8]>),
    /// No value: a tombstone, dropped at this time.
    Removed(Instant),
}

/// Newest row of a key.
#[proc_macros::row]
pub(crate) struct Row {
    pub(crate) key: Key,
    pub(crate) sequence: u64,
    pub(crate) content: Content,
}

impl table::Row for Row {
    type Id = Key;

    fn id(&self) -> &Key {
        &self.key
    }
}

impl Row {
    /// Bytes of name and value.
    pub(crate) fn bytes(&self) -> usize {
        let value = match &self.content {
            Content::Value(value) => value.len(),
            Content::Removed(_) => 0,
        };
        self.key.name.len() + value
    }

    /// Value, unless the row is removed.
    pub(crate) fn value(&self) -> Option<&[u8]> {
        match &self.content {
            Content::Value(value) => Some(value),
            Content::Removed(_) => None,
        }
    }

    /// The row as messages carry it.
    pub(crate) fn message(&self, now: Instant) -> peer::Row {
        let (value, removed_ms) = match &self.content {
            Content::Value(value) => (value.to_vec(), None),
            Content::Removed(expires) => (Vec::new(), Some(millis(time_left(*expires, now)))),
        };
        peer::Row {
            kind: self.key.kind,
            name: self.key.name.to_string(),
            sequence: self.sequence,
            value,
            removed_ms,
        }
    }

    /// Row from a message that was sent at `sent` or later.
    pub(crate) fn from_message(message: peer::Row, sent: Instant) -> Self {
        let content = match message.removed_ms {
            Some(ms) => Content::Removed(sent + Duration::from_millis(ms).min(TOMBSTONE_TTL)),
            None => Content::Value(message.value.into()),
        };
        Self {
            key: Key {
                kind: message.kind,
                name: message.name.into(),
            },
            sequence: message.sequence,
            content,
        }
    }
}

/// Rows of one origin in one scope.
#[proc_macros::row]
pub(crate) struct Lane {
    pub(crate) scope: Scope,
    pub(crate) prefix: u64,
    /// When the lane is removed.
    pub(crate) expires: Instant,
    pub(crate) rows: Table<Row>,
}

impl Lane {
    /// Lane without rows.
    pub(crate) fn new(scope: Scope, expires: Instant) -> Self {
        Self {
            scope,
            prefix: 0,
            expires,
            rows: Table::new(),
        }
    }

    /// Whether the lane is not yet past its deadline.
    pub(crate) fn is_unexpired(&self, now: Instant) -> bool {
        now < self.expires
    }

    /// Whether the last heartbeat is recent enough for the origin to count as
    /// live.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        now + LANE_TTL.saturating_sub(self.scope.timeout()) < self.expires
    }

    /// Whether a replica that does not hold the lane may still add it.
    pub(crate) fn may_be_added(&self, now: Instant) -> bool {
        now + MIN_LANE_TTL <= self.expires
    }

    /// Rows above a sequence, the oldest first.
    pub(crate) fn rows_after(&self, after: u64) -> Vec<&Row> {
        let mut rows: Vec<_> = self.rows.iter().filter(|r| r.sequence > after).collect();
        rows.sort_unstable_by_key(|r| r.sequence);
        rows
    }

    /// Whether a row is newer than everything received for its key.
    ///
    /// A dot below the prefix that is not held was overwritten or removed;
    /// applying it would restore the old row.
    pub(crate) fn is_newer(&self, row: &Row) -> bool {
        let held = self.rows.get(&row.key).map_or(0, |r| r.sequence);
        row.sequence > self.prefix.max(held)
    }

    /// Checks that the lane has room for rows, each of which replaces the row
    /// of its key.
    pub(crate) fn check_room<'a>(
        &self,
        rows: impl Iterator<Item = &'a Row>,
    ) -> Result<(), GossipError> {
        let mut count = self.rows.len();
        let mut bytes: usize = self.rows.iter().map(Row::bytes).sum();
        for row in rows {
            match self.rows.get(&row.key) {
                Some(old) => bytes -= old.bytes().min(bytes),
                None => count += 1,
            }
            bytes += row.bytes();
        }
        if count > MAX_LANE_ROWS || bytes > MAX_LANE_BYTES {
            return Err(GossipError::FullLane);
        }
        Ok(())
    }

    /// Removes the tombstones that have expired.
    pub(crate) fn remove_tombstones(&mut self, now: Instant) {
        self.rows.retain(|row| match row.content {
            Content::Removed(expires) => now < expires,
            Content::Value(_) => true,
        });
    }

    /// Bytes of memory that the lane takes beyond its own fields.
    pub(crate) fn memory(&self) -> usize {
        let rows = self.rows.len() * size_of::<Row>();
        rows + self.rows.iter().map(Row::bytes).sum::<usize>()
    }
}

/// Time left until a deadline.
pub(crate) fn time_left(expires: Instant, now: Instant) -> Duration {
    expires.saturating_duration_since(now)
}

/// Whole milliseconds of a duration.
pub(crate) fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
