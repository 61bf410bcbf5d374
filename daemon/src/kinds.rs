//! Kinds of gossip rows that only daemons write.
//!
//! Rows of two kinds with the same number would be mistaken for each other and decoded to garbage.
//! All kinds are therefore defined here, in the order of their numbers, and a number is never
//! reused for another meaning.

use poplarvale_lib::gossip::{Kind, Scope};

/// Address on which a daemon serves callers. Known everywhere, as every daemon can forward to every
/// other one.
pub(crate) const CALLERS: Kind = Kind::new(1_001, Scope::Everywhere, false);
/// Proof that a revision of the lists is the newest. Sent within the zone only, as the proof is
/// renewed every few seconds.
pub(crate) const LISTS_FRESH: Kind = Kind::new(1_002, Scope::Zone, false);
/// Incarnations whose issued idempotency keys a daemon holds besides its own.
pub(crate) const INHERITED_KEYS: Kind = Kind::new(1_003, Scope::Everywhere, true);
/// Load of an endpoint, as reported to the daemon that polls it.
pub(crate) const LOAD: Kind = Kind::new(1_004, Scope::Zone, false);
/// Record of a version move.
pub(crate) const MOVE: Kind = Kind::new(1_005, Scope::Everywhere, true);
/// Whether a daemon's information on a version move is fresh.
pub(crate) const MOVE_FRESHNESS: Kind = Kind::new(1_006, Scope::Region, false);
