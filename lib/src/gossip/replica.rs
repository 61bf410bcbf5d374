//! A daemon's replica: its own rows, and copies of the rows whose scope
//! includes it.

use std::net::SocketAddr;
use std::time::Instant;

use crate::gossip::lane::{Content, Row};
use crate::gossip::limits::{MAX_NAME_BYTES, MAX_VALUE_BYTES, TOMBSTONE_TTL};
use crate::gossip::origin::Origin;
use crate::gossip::{Call, Change, GossipError, Key, Kind, LANE_TTL, Peer, Scope};
use crate::ids::Incarnation;
use crate::table::Table;

/// Settings of a replica.
#[proc_macros::row]
pub struct Setup {
    /// The daemon itself.
    pub me: Peer,
    /// Addresses to call when no other daemon is known.
    pub seeds: Vec<SocketAddr>,
    /// Most bytes of rows in one delta;
    /// [`MAX_DELTA_BYTES`](super::MAX_DELTA_BYTES).
    pub delta_bytes: usize,
}

/// A daemon's copy of the shared rows.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) setup: Setup,
    /// Start of the replica, from which stamps count.
    pub(crate) started: Instant,
    pub(crate) origins: Table<Origin>,
    /// Time of the next heartbeat in each scope.
    next_heartbeats: [Instant; 3],
}

impl Replica {
    /// Replica that knows only itself.
    pub fn new(setup: Setup, now: Instant) -> Self {
        let mut replica = Self {
            setup,
            started: now,
            origins: Table::new(),
            next_heartbeats: [now; 3],
        };
        replica.advance(now);
        replica
    }

    /// The daemon itself.
    pub fn me(&self) -> &Peer {
        &self.setup.me
    }

    /// Sets the addresses to call when no other daemon is known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.setup.seeds = seeds;
    }

    /// Writes a row of this daemon; returns the pushes if the kind is urgent.
    ///
    /// Writes nothing if the value is the same as before.
    ///
    /// # Errors
    ///
    /// Rejects a name, value or number of rows over the limits.
    pub fn put(
        &mut self,
        now: Instant,
        kind: Kind,
        name: &str,
        value: &[u8],
    ) -> Result<Vec<Call>, GossipError> {
        check_size(name.len(), MAX_NAME_BYTES)?;
        check_size(value.len(), MAX_VALUE_BYTES)?;
        let key = kind.key(name);
        if self.get(self.me().incarnation, &key) == Some(value) {
            return Ok(Vec::new());
        }
        self.write(now, kind, key, Content::Value(value.into()))
    }

    /// Removes a row of this daemon; returns the pushes if the kind is urgent.
    ///
    /// # Errors
    ///
    /// None in practice: a tombstone takes no more room than the row did.
    pub fn remove(
        &mut self,
        now: Instant,
        kind: Kind,
        name: &str,
    ) -> Result<Vec<Call>, GossipError> {
        let key = kind.key(name);
        if self.get(self.me().incarnation, &key).is_none() {
            return Ok(Vec::new());
        }
        self.write(now, kind, key, Content::Removed(now + TOMBSTONE_TTL))
    }

    /// Takes the heartbeats that are due, and removes what is past its
    /// deadline.
    ///
    /// To be called each round, before anything else in the round. After a
    /// pause of the process, this first removes the daemons without a recent
    /// heartbeat.
    pub fn advance(&mut self, now: Instant) -> Vec<Change> {
        self.heartbeat(now);
        self.expire(now)
    }

    /// Removes what is past its deadline.
    ///
    /// Also called before anything from a peer is applied. After a pause of the
    /// process, a lane past its deadline may hold a row whose tombstone all
    /// others have dropped by now; if the lane were updated and not removed, it
    /// would keep the row.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Change> {
        let me = self.setup.me.incarnation;
        let mut changes = Vec::new();
        for origin in &mut self.origins {
            // The own lanes stay: without them the sequence would start again.
            let is_own = origin.peer.incarnation == me;
            origin.lanes.retain(|l| is_own || l.is_unexpired(now));
            for lane in &mut origin.lanes {
                lane.remove_tombstones(now);
            }
            if origin.lanes.is_empty() {
                changes.push(Change::Departed(origin.peer.incarnation));
            }
        }
        self.origins.retain(|o| !o.lanes.is_empty());
        changes
    }

    /// Value of a row.
    pub fn get(&self, origin: Incarnation, key: &Key) -> Option<&[u8]> {
        self.origins.get(&origin)?.get(key)
    }

    /// All rows of a kind with their writers, whether these are live or not.
    pub fn rows(&self, kind: Kind) -> impl Iterator<Item = (&Peer, &Key, &[u8])> {
        self.origins.iter().flat_map(move |origin| {
            let rows = origin.lane(kind.scope).into_iter().flat_map(|l| &l.rows);
            rows.filter(move |row| row.key.kind == kind.number)
                .filter_map(|row| Some((&origin.peer, &row.key, row.value()?)))
        })
    }

    /// Live daemons including this one, ordered by incarnation.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let me = self.me();
        let live = self.origins.iter().filter(move |o| o.is_live(me, now));
        live.map(|o| &o.peer)
    }

    /// All known daemons, live or not.
    pub fn known(&self) -> impl Iterator<Item = &Peer> {
        self.origins.iter().map(|o| &o.peer)
    }

    /// Keys and sequences of all rows held, for comparing replicas.
    pub fn sequences(&self) -> Vec<(Incarnation, Key, u64)> {
        let mut all = Vec::new();
        for origin in &self.origins {
            for row in origin.lanes.iter().flat_map(|l| &l.rows) {
                if row.value().is_some() {
                    all.push((origin.peer.incarnation, row.key.clone(), row.sequence));
                }
            }
        }
        all
    }

    /// Bytes of memory that the origins, lanes and rows take.
    pub fn memory(&self) -> usize {
        size_of::<Self>() + self.origins.iter().map(Origin::memory).sum::<usize>()
    }

    fn heartbeat(&mut self, now: Instant) {
        for scope in Scope::ALL {
            if now < self.next_heartbeats[scope as usize] {
                continue;
            }
            self.next_heartbeats[scope as usize] = now + scope.heartbeat_interval();
            self.next_sequence(now, scope);
        }
    }

    /// Takes the next sequence of an own lane, which also renews the lane.
    fn next_sequence(&mut self, now: Instant, scope: Scope) -> u64 {
        let me = &self.setup.me;
        if !self.origins.contains(&me.incarnation) {
            self.origins.insert(Origin {
                peer: me.clone(),
                lanes: Vec::new(),
            });
        }
        let own = self.origins.get_mut(&me.incarnation);
        let own = own.expect("inserted above if it was missing");
        let lane = own.lane_mut(scope, now + LANE_TTL);
        lane.expires = now + LANE_TTL;
        lane.prefix += 1;
        lane.prefix
    }

    fn write(
        &mut self,
        now: Instant,
        kind: Kind,
        key: Key,
        content: Content,
    ) -> Result<Vec<Call>, GossipError> {
        let mut row = Row {
            key,
            sequence: 0,
            content,
        };
        let me = self.me().incarnation;
        let lane = self.origins.get(&me).and_then(|o| o.lane(kind.scope));
        if let Some(lane) = lane {
            lane.check_room(std::iter::once(&row))?;
        }
        row.sequence = self.next_sequence(now, kind.scope);
        if let Some(own) = self.origins.get_mut(&me) {
            let lane = own.lane_mut(kind.scope, now + LANE_TTL);
            lane.rows.insert(row.clone());
        }
        if kind.urgent {
            Ok(self.pushes(now, kind.scope, &row))
        } else {
            Ok(Vec::new())
        }
    }
}

/// Checks the size of a name or value.
pub(crate) fn check_size(bytes: usize, max: usize) -> Result<(), GossipError> {
    if bytes > max {
        return Err(GossipError::LargeRow { bytes, max });
    }
    Ok(())
}
