//! Kinds of gossip rows that only daemons write.
//!
//! Two kinds with one number would be taken for each other and read as noise, so
//! all of them stand here, in the order of their numbers. A number is never given
//! a new meaning.

use poplarvale_lib::gossip::{Kind, Scope};

/// Where a daemon serves callers; all daemons forward to one another.
pub(crate) const CALLERS: Kind = Kind::new(1_001, Scope::Everywhere, false);
/// Proof that a revision of the lists is the newest; only the zone listens to it,
/// as proof is renewed every few seconds.
pub(crate) const LISTS_FRESH: Kind = Kind::new(1_002, Scope::Zone, false);
/// Which incarnations' issued keys a daemon holds besides its own.
pub(crate) const INHERITED_KEYS: Kind = Kind::new(1_003, Scope::Everywhere, true);
/// Load of an endpoint, as the daemon heard that asks it.
pub(crate) const LOAD: Kind = Kind::new(1_004, Scope::Zone, false);
/// Record of a version move.
pub(crate) const MOVE: Kind = Kind::new(1_005, Scope::Everywhere, true);
/// Whether a daemon's news of a version move are fresh.
pub(crate) const MOVE_FRESHNESS: Kind = Kind::new(1_006, Scope::Region, false);
