//! State that daemons share by gossip: rows, and the exchanges that replicate
//! them.
//!
//! Every daemon writes rows of its own and holds copies of the rows of others.
//! No row has two writers, so there are no conflicts to resolve; what is left
//! is to find out cheaply which rows a peer lacks. That part follows the
//! delta-mutations of the paper "DSON: JSON CRDT Using Delta-Mutations For
//! Document Stores", §3.3: each write is identified by a dot (incarnation,
//! sequence), and what a replica has received from an origin (a daemon as the
//! writer of rows) compresses to one number, the prefix. Two replicas compare
//! prefixes ([`Digest`](crate::protos::peer::Digest)) and send only the rows
//! above them ([`Delta`](crate::protos::peer::Delta)). Only the newest row of a
//! key is kept, so a delta is never larger than the state; for these rows that
//! settles the doubt of §9.1 whether deltas are better than sending whole
//! states, and `benches/gossip.rs` measures it.
//!
//! # Lanes
//!
//! An origin writes into up to three *lanes*, one for each [`Scope`]: its
//! availability zone, its region, and everywhere. A lane is the log of one
//! origin in one scope and has its own sequence numbers. If all scopes shared
//! one sequence, a daemon outside of some scope would see gaps in every prefix
//! and could not compress it.
//!
//! A lane is also the unit of liveness and removal. An origin sends a
//! *heartbeat* by taking a sequence number without writing a row, so a
//! heartbeat costs no row. Each replica stores for each lane the deadline at
//! which it removes the lane, and passes on the time left, never a time of day.
//! The time left is counted from when the asker sent its digest, so network
//! delay makes a lane look older and never younger; an answer that arrives
//! after [`EXCHANGE_TIMEOUT`] is rejected.
//!
//! # Removal
//!
//! §9.2 and §9.3 of the paper leave open how the writes of a departed replica
//! can be forgotten without being applied again. Here a lane is removed whole,
//! [`LANE_TTL`] after the last heartbeat of its origin, and leaves no
//! tombstone. It is not added again because:
//!
//! - a departed incarnation writes nothing more, as incarnations are never
//!   reused;
//! - a replica that still holds the lane with a lower prefix received an older
//!   heartbeat, and so removes the lane earlier, give or take the delays of
//!   exchanges;
//! - a replica adds a lane that it does not hold only if at least
//!   [`MIN_LANE_TTL`] is left of its TTL. For a removed lane to pass this
//!   check, 150 exchanges in a row would each have to take the whole of
//!   [`EXCHANGE_TIMEOUT`].
//!
//! A daemon that is partitioned for longer than [`LANE_TTL`] is removed by the
//! others while it still runs. It need not detect this or take a new
//! incarnation (which is part of request ids that callers hold): its heartbeats
//! keep raising its sequence, the first one that arrives has nearly the whole
//! TTL left, and its lanes are added again from scratch.

mod change;
mod digest;
mod exchange;
mod key;
mod lane;
mod limits;
mod origin;
mod push;
mod replica;
mod round;

pub use change::Change;
pub use key::{Key, Kind, Scope};
pub use limits::{
    EXCHANGE_TIMEOUT, GossipError, LANE_TTL, MAX_DELTA_BYTES, MAX_LANE_BYTES, MAX_LANE_ROWS,
    MAX_NAME_BYTES, MAX_ORIGINS, MAX_VALUE_BYTES, MIN_LANE_TTL,
};
pub use origin::Peer;
pub use replica::{Replica, Setup};
pub use round::{BRIDGES_PER_ZONE, Call, Message, ROUND_INTERVAL};
