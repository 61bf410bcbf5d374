//! Changes to the rows of other daemons, as a replica reports them.

use crate::gossip::{Key, Peer};
use crate::ids::Incarnation;

/// One change to what a replica holds.
#[proc_macros::row]
pub enum Change {
    /// A daemon became known.
    Joined(Peer),
    /// A daemon and all its rows were removed.
    Departed(Incarnation),
    /// A row is new or has a new value.
    Put {
        /// Its writer.
        origin: Incarnation,
        /// Its key.
        key: Key,
        /// Its value.
        value: Box<[u8]>,
    },
    /// A row was removed.
    Removed {
        /// Its writer.
        origin: Incarnation,
        /// Its key.
        key: Key,
    },
}
