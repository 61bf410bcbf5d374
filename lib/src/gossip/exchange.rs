//! Digest, answer and delta: the messages by which two replicas converge.
//!
//! The asker sends its prefixes. The answerer sends every lane in which its own
//! prefix is higher, and requests those in which it is lower. Both deltas
//! answer something that their receiver asked for, so each side can tell by its
//! own clock how old a delta is at most. A delta states the prefix at which it
//! starts, and one that would leave a gap is ignored: it was made for a state
//! that this replica no longer has. Duplicated, reordered and lost messages do
//! no harm; the next exchange sends what is still missing.

use std::time::{Duration, Instant};

use prost::Message as _;

use crate::gossip::digest::{AskerDigest, Entry, add_entry, lowest, tag};
use crate::gossip::lane::{Content, Lane, Row, millis, time_left};
use crate::gossip::limits::{MAX_NAME_BYTES, MAX_ORIGINS, MAX_VALUE_BYTES};
use crate::gossip::origin::Origin;
use crate::gossip::replica::check_size;
use crate::gossip::{
    Change, EXCHANGE_TIMEOUT, GossipError, LANE_TTL, MIN_LANE_TTL, Peer, Replica, Scope,
};
use crate::ids::Incarnation;
use crate::protos::peer;

impl Replica {
    /// What this replica has received within the scopes that include a peer;
    /// everything if the peer is not known yet.
    pub fn digest(&self, now: Instant, to: Option<&Peer>) -> peer::Digest {
        let stamp = self.stamp(now);
        let mut digest = self.empty_digest(stamp, stamp, false);
        for entry in self.entries(now, to, stamp) {
            add_entry(&mut digest, entry);
        }
        digest
    }

    /// Answers a digest with what its sender lacks, and requests what is
    /// missing here.
    ///
    /// # Errors
    ///
    /// Rejects a digest that cannot be parsed.
    pub fn answer(&self, now: Instant, digest: &peer::Digest) -> Result<peer::Answer, GossipError> {
        let asker = AskerDigest::parse(digest)?;
        let wants = if asker.listed_only {
            None
        } else {
            self.wants(now, &asker)
        };
        Ok(peer::Answer {
            delta: Some(self.delta(now, &asker, digest.stamp)),
            wants,
        })
    }

    /// Applies the newer rows of a delta, and adds what changed to `changes`.
    ///
    /// # Errors
    ///
    /// Rejects a delta that is late, cannot be parsed or is over the limits.
    /// Lanes before the rejected one are applied, and their changes are
    /// reported all the same: tables that are built from the changes must not
    /// miss any.
    pub fn merge(
        &mut self,
        now: Instant,
        delta: peer::Delta,
        changes: &mut Vec<Change>,
    ) -> Result<(), GossipError> {
        // The answer was meant for the daemon that had this address before: its
        // stamp counts from another start, and would make dead daemons look
        // alive.
        if delta.to != self.me().incarnation {
            return Err(GossipError::Misdirected);
        }
        let asked = self.started + Duration::from_millis(delta.stamp);
        if asked > now {
            return Err(GossipError::BadField("stamp"));
        }
        if asked + EXCHANGE_TIMEOUT < now {
            return Err(GossipError::Late);
        }
        changes.extend(self.expire(now));
        for lane in delta.lanes {
            self.merge_lane(now, asked, lane, changes)?;
        }
        Ok(())
    }

    /// Milliseconds since this replica started, by its own clock.
    fn stamp(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.started))
    }

    fn empty_digest(&self, stamp: u64, salt: u64, only: bool) -> peer::Digest {
        peer::Digest {
            from: Some(self.me().message()),
            stamp,
            only,
            salt,
            ..peer::Digest::default()
        }
    }

    /// Prefixes of the lanes whose scope includes a peer.
    fn entries(&self, now: Instant, to: Option<&Peer>, salt: u64) -> Vec<Entry> {
        let mut entries = Vec::new();
        for origin in &self.origins {
            let tag = tag(origin.peer.incarnation, salt);
            let lanes = origin.lanes.iter().filter(|l| l.is_unexpired(now));
            let shared = lanes.filter(|l| to.is_none_or(|to| to.receives(l.scope, &origin.peer)));
            entries.extend(shared.map(|l| Entry {
                scope: l.scope,
                tag,
                prefix: l.prefix,
            }));
        }
        entries
    }

    /// Digest of the lanes in which the asker has a higher prefix, if there are
    /// any.
    fn wants(&self, now: Instant, asker: &AskerDigest) -> Option<peer::Digest> {
        let mut ours = self.entries(now, Some(&asker.from), asker.salt);
        ours.sort_unstable();
        let mut wants = self.empty_digest(self.stamp(now), asker.salt, true);
        let mut is_empty = true;
        for theirs in &asker.entries {
            let prefix = lowest(&ours, theirs.scope, theirs.tag).unwrap_or(0);
            if prefix < theirs.prefix {
                add_entry(&mut wants, Entry { prefix, ..*theirs });
                is_empty = false;
            }
        }
        (!is_empty).then_some(wants)
    }

    fn delta(&self, now: Instant, asker: &AskerDigest, stamp: u64) -> peer::Delta {
        let mut room = self.setup.delta_bytes;
        let mut lanes = Vec::new();
        for (origin, lane) in self.rotated_lanes(stamp) {
            if !lane.is_unexpired(now) || !asker.from.receives(lane.scope, &origin.peer) {
                continue;
            }
            let Some(after) = asker.prefix_of(origin, lane) else {
                continue;
            };
            let is_old = after == 0 && !lane.may_be_added(now);
            if lane.prefix <= after || is_old {
                continue;
            }
            let message = lane_message(now, origin, lane, after, room);
            let bytes = message.encoded_len();
            if bytes > room || message.prefix <= after {
                break;
            }
            room -= bytes;
            lanes.push(message);
        }
        peer::Delta {
            stamp,
            lanes,
            to: asker.from.incarnation,
        }
    }

    /// All lanes, starting at an origin that differs from exchange to exchange:
    /// when deltas are truncated, it must not always be the same lanes that are
    /// left out.
    fn rotated_lanes(&self, stamp: u64) -> impl Iterator<Item = (&Origin, &Lane)> {
        let count = self.origins.len().max(1);
        let start = xxhash_rust::xxh3::xxh3_64(&stamp.to_le_bytes()) as usize % count;
        let late = self.origins.iter().skip(start);
        let early = self.origins.iter().take(start);
        let origins = late.chain(early);
        origins.flat_map(|o| o.lanes.iter().map(move |l| (o, l)))
    }

    fn merge_lane(
        &mut self,
        now: Instant,
        asked: Instant,
        message: peer::Lane,
        changes: &mut Vec<Change>,
    ) -> Result<(), GossipError> {
        let id = message.origin;
        if id == self.me().incarnation {
            return Ok(());
        }
        let scope = Scope::from_number(message.scope).ok_or(GossipError::BadField("scope"))?;
        let expires = asked + Duration::from_millis(message.left_ms).min(LANE_TTL);
        let held = self.origins.get(&id).and_then(|o| o.lane(scope));
        let prefix = held.map_or(0, |l| l.prefix);
        // The delta would leave a gap, or contains nothing newer.
        if message.after > prefix || message.prefix <= prefix {
            return Ok(());
        }
        // A lane that is not held and got no heartbeat for long is one that
        // others are about to remove, or that was removed here already.
        if held.is_none() && expires < now + MIN_LANE_TTL {
            return Ok(());
        }
        let rows = message.rows.into_iter().map(|r| parse_row(r, asked));
        let rows: Vec<_> = rows.collect::<Result<_, _>>()?;
        self.check_lane(id, scope, &rows)?;
        if held.is_none() && !self.add_lane(id, scope, message.peer.as_ref(), expires, changes)? {
            return Ok(());
        }
        let Some(origin) = self.origins.get_mut(&id) else {
            return Ok(());
        };
        let lane = origin.lane_mut(scope, expires);
        for row in rows {
            apply_row(lane, id, row, changes);
        }
        lane.prefix = message.prefix;
        lane.expires = lane.expires.max(expires);
        Ok(())
    }

    fn check_lane(&self, id: Incarnation, scope: Scope, rows: &[Row]) -> Result<(), GossipError> {
        let held = self.origins.get(&id).and_then(|o| o.lane(scope));
        let empty = Lane::new(scope, self.started);
        let lane = held.unwrap_or(&empty);
        lane.check_room(rows.iter().filter(|r| lane.is_newer(r)))
    }

    /// Creates a lane for a writer; returns false if its scope does not include
    /// this daemon.
    fn add_lane(
        &mut self,
        id: Incarnation,
        scope: Scope,
        message: Option<&peer::Peer>,
        expires: Instant,
        changes: &mut Vec<Change>,
    ) -> Result<bool, GossipError> {
        let message = message.ok_or(GossipError::BadField("peer"))?;
        let writer = Peer::try_from(message)?;
        if writer.incarnation != id {
            return Err(GossipError::BadField("incarnation"));
        }
        if !self.me().receives(scope, &writer) {
            return Ok(false);
        }
        if !self.origins.contains(&id) {
            if self.origins.len() >= MAX_ORIGINS {
                return Err(GossipError::ManyOrigins);
            }
            changes.push(Change::Joined(writer.clone()));
            self.origins.insert(Origin {
                peer: writer,
                lanes: Vec::new(),
            });
        }
        if let Some(origin) = self.origins.get_mut(&id) {
            origin.lane_mut(scope, expires);
        }
        Ok(true)
    }
}

/// Rows of a lane above a sequence, as many as fit into `room` bytes.
fn lane_message(now: Instant, origin: &Origin, lane: &Lane, after: u64, room: usize) -> peer::Lane {
    let mut message = peer::Lane {
        origin: origin.peer.incarnation,
        scope: lane.scope.number(),
        after,
        prefix: lane.prefix,
        left_ms: millis(time_left(lane.expires, now)),
        peer: (after == 0).then(|| origin.peer.message()),
        rows: lane
            .rows_after(after)
            .iter()
            .map(|r| r.message(now))
            .collect(),
    };
    if message.encoded_len() > room {
        truncate(&mut message, room);
    }
    message
}

/// Leaves out the newest rows until the message fits.
///
/// The rows that remain were written before the last heartbeat, so they must
/// not make the lane look fresh: a replica with half the rows would keep the
/// lane for longer than one that has them all.
fn truncate(message: &mut peer::Lane, room: usize) {
    while message.encoded_len() > room && message.rows.pop().is_some() {}
    let last = message.rows.last().map_or(message.after, |r| r.sequence);
    message.prefix = message.prefix.min(last);
    message.left_ms = message.left_ms.min(millis(MIN_LANE_TTL + EXCHANGE_TIMEOUT));
}

/// Applies a row if it is newer than what the lane holds.
pub(crate) fn apply_row(lane: &mut Lane, origin: Incarnation, row: Row, changes: &mut Vec<Change>) {
    if !lane.is_newer(&row) {
        return;
    }
    let key = row.key.clone();
    let change = match &row.content {
        Content::Value(value) => Some(Change::Put {
            origin,
            key,
            value: value.clone(),
        }),
        Content::Removed(_) => {
            let held = lane.rows.get(&key).and_then(Row::value);
            held.map(|_| Change::Removed { origin, key })
        }
    };
    changes.extend(change);
    lane.rows.insert(row);
}

/// Parses a row and checks its sizes.
pub(crate) fn parse_row(row: peer::Row, sent: Instant) -> Result<Row, GossipError> {
    check_size(row.name.len(), MAX_NAME_BYTES)?;
    check_size(row.value.len(), MAX_VALUE_BYTES)?;
    Ok(Row::from_message(row, sent))
}
