//! Version moves: shifting a service's requests from an old version to a new one,
//! stage by stage.
//!
//! Operators start a move and give a time by which it must be finished. Daemons
//! send a growing share of their requests to the new version, compare how both
//! versions perform in the same period, and either finish the move or roll it back.
//! `docs/design/moves.md` gives the reasons and the figures.

pub mod ask;
mod codec;
mod controller;
pub mod evidence;
pub mod histogram;
mod lifecycle;
mod share;
pub mod stages;
pub mod status;
pub mod verdict;

pub use crate::systems::versions::{Chosen, ClusterView, Filter};
pub use codec::RecordError;
pub use controller::{
    Action, Controller, Event, FRESHNESS_TTL, HoldReason, PUBLISH_INTERVAL, Pick, Reach, Source,
    Stored, TickInputs, Time, Verdict,
};
pub use lifecycle::{
    Asked, Cancelled, Done, Move, MoveId, Open, Record, RolledBack, Staged, Terms, Watching,
};
pub use share::{Counter, FULL_SHARE, Share};
pub use stages::EndpointCounts;
