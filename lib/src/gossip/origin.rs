//! An origin: a daemon as the writer of rows, and its lanes.

use std::net::SocketAddr;
use std::time::Instant;

use crate::gossip::lane::{Content, Lane, Row};
use crate::gossip::limits::MAX_NAME_BYTES;
use crate::gossip::{GossipError, Key, Kind, Scope};
use crate::ids::{Incarnation, RegionId, ZoneId};
use crate::protos::peer;
use crate::table;

/// A daemon in one incarnation.
#[proc_macros::row]
pub struct Peer {
    /// Random id of this incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Address at which other daemons reach it.
    pub address: SocketAddr,
}

impl Peer {
    /// Whether this daemon receives the rows that `writer` writes in a scope.
    pub(crate) fn receives(&self, scope: Scope, writer: &Self) -> bool {
        match scope {
            Scope::Zone => self.zone == writer.zone && self.region == writer.region,
            Scope::Region => self.region == writer.region,
            Scope::Everywhere => true,
        }
    }

    /// Whether both are in the same availability zone.
    pub(crate) fn is_same_zone(&self, other: &Self) -> bool {
        self.receives(Scope::Zone, other)
    }

    /// Narrowest scope that includes both.
    pub(crate) fn narrowest_scope(&self, other: &Self) -> Scope {
        let mut scopes = Scope::ALL.into_iter();
        scopes
            .find(|scope| self.receives(*scope, other))
            .unwrap_or(Scope::Everywhere)
    }

    pub(crate) fn message(&self) -> peer::Peer {
        peer::Peer {
            incarnation: self.incarnation,
            zone: self.zone.to_string(),
            region: self.region.to_string(),
            address: self.address.to_string(),
        }
    }
}

impl TryFrom<&peer::Peer> for Peer {
    type Error = GossipError;

    fn try_from(message: &peer::Peer) -> Result<Self, GossipError> {
        if message.zone.len() > MAX_NAME_BYTES || message.region.len() > MAX_NAME_BYTES {
            return Err(GossipError::BadField("peer"));
        }
        let address = message.address.parse();
        Ok(Self {
            incarnation: message.incarnation,
            zone: message.zone.as_str().into(),
            region: message.region.as_str().into(),
            address: address.map_err(|_error| GossipError::BadField("address"))?,
        })
    }
}

/// A daemon and the rows that are held of it.
#[proc_macros::row]
pub(crate) struct Origin {
    pub(crate) peer: Peer,
    /// At most one lane for each scope.
    pub(crate) lanes: Vec<Lane>,
}

impl table::Row for Origin {
    type Id = Incarnation;

    fn id(&self) -> &Incarnation {
        &self.peer.incarnation
    }
}

impl Origin {
    /// Lane of a scope.
    pub(crate) fn lane(&self, scope: Scope) -> Option<&Lane> {
        self.lanes.iter().find(|l| l.scope == scope)
    }

    /// Lane of a scope, created if there is none.
    pub(crate) fn lane_mut(&mut self, scope: Scope, expires: Instant) -> &mut Lane {
        let at = self.lanes.iter().position(|l| l.scope == scope);
        let at = at.unwrap_or_else(|| {
            self.lanes.push(Lane::new(scope, expires));
            self.lanes.len() - 1
        });
        &mut self.lanes[at]
    }

    /// Value of the row with a key, unless it is removed.
    pub(crate) fn get(&self, key: &Key) -> Option<&[u8]> {
        let mut rows = self.lanes.iter().filter_map(|l| l.rows.get(key));
        rows.find_map(Row::value)
    }

    /// Whether the daemon counts as live for `me`.
    pub(crate) fn is_live(&self, me: &Peer, now: Instant) -> bool {
        let lane = self.lane(me.narrowest_scope(&self.peer));
        lane.is_some_and(|l| l.is_fresh(now)) && !self.is_leaving()
    }

    fn is_leaving(&self) -> bool {
        let lane = self.lane(Kind::LEAVING.scope);
        let row = lane.and_then(|l| l.rows.get(&Kind::LEAVING.key("")));
        row.is_some_and(|r| matches!(r.content, Content::Value(_)))
    }

    /// Bytes of memory that the origin takes.
    pub(crate) fn memory(&self) -> usize {
        let lanes: usize = self.lanes.iter().map(Lane::memory).sum();
        size_of::<Self>() + self.lanes.capacity() * size_of::<Lane>() + lanes
    }
}
