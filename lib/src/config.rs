//! The two lists: edits, acceptance and how they reach every daemon.
//!
//! An edit is accepted by one compare-and-swap in the platform's key-value
//! service; from then on it has to come into force everywhere within seconds and
//! never be undone, through partitions, outages and restarts. Two daemons of
//! each zone watch the service; the others learn of a new revision from peers
//! and pull it from one, so the calls to the service grow with the zones and
//! not with the daemons. A daemon adopts only higher revisions, in one place
//! ([`Keeper`]), so nothing goes back.
//!
//! What travels is the changes since the reader's revision where they are
//! known, and the whole lists where they are not: the lists can have a megabyte
//! and change every few seconds.

mod changes;
mod edit;
mod head;
mod history;
mod keeper;
mod start;
mod watchers;

use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::ids::{Incarnation, Revision, ZoneId};
use crate::lists::{Accepted, Lists, ValidationError};
use crate::store::{Failure, Snapshot, StoredValue, Write, Written};

pub use changes::{Changes, Difference, Passage};
pub use head::{HEAD, PREFIX};
pub use keeper::{ASK_RATE, GLANCE_GAP, Keeper, STALE};
pub use watchers::{WATCHERS, watchers};

/// Edit of the lists, named by whoever sends it; repeats keep the name.
pub type EditId = CompactString;

/// A daemon that is alive, as gossip knows it.
#[proc_macros::row]
#[derive(Eq)]
pub struct Peer {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneId,
}

/// An edit as an operator sends it: both lists, and what they were made from.
#[proc_macros::row]
pub struct Proposal {
    /// Id, by which a lost answer is settled.
    pub id: EditId,
    /// Revision that the operator saw.
    pub base: Revision,
    /// Both lists as they shall be.
    pub lists: Lists,
}

/// What came of an edit.
#[proc_macros::row]
pub enum Verdict {
    /// Accepted at this revision.
    Accepted(Revision),
    /// Another edit came first.
    Conflict {
        /// Revision that the edit was made upon.
        base: Revision,
        /// Revision that is in force.
        revision: Revision,
        /// What changed since the edit's base; none if that is not known.
        difference: Option<Difference>,
    },
    /// The lists have mistakes.
    Refused(Vec<ValidationError>),
    /// The service could not be reached; provably not accepted.
    NotDone,
    /// The service could not be asked again; it may be accepted.
    Unknown,
}

/// Question to a peer for what it has above a revision.
#[proc_macros::setting]
#[derive(Eq)]
pub struct Pull {
    /// Revision that the asker has.
    pub have: Revision,
}

/// A peer's answer.
#[proc_macros::setting]
pub struct Pulled {
    /// Revision that it has.
    pub revision: Revision,
    /// How long ago it had proof that there was none higher; between hosts no
    /// instants can be exchanged.
    pub age: Option<Duration>,
    /// What the asker lacks.
    pub update: Update,
}

/// What brings a daemon to a higher revision.
#[proc_macros::setting]
pub enum Update {
    /// Nothing is lacking.
    None,
    /// Changes that join on to the revision one has, in order.
    Changes(Vec<Passage>),
    /// The whole lists.
    Whole(Accepted),
}

/// What a keeper is told.
#[proc_macros::row]
pub enum Input {
    /// The peers that live, without oneself.
    Peers(Vec<Peer>),
    /// A peer told its revision: each round of gossip anew, and at once when it
    /// announced one.
    Heard {
        /// The peer.
        peer: Incarnation,
        /// Its revision.
        revision: Revision,
        /// Age of its proof that there is none higher.
        age: Option<Duration>,
    },
    /// A peer answered a pull, or did not.
    Pulled {
        /// The peer.
        peer: Incarnation,
        /// Its answer.
        answer: Option<Pulled>,
    },
    /// A read of the head ended.
    Glanced {
        /// When it was sent.
        sent: Instant,
        /// How it ended.
        result: Result<Snapshot, Failure>,
    },
    /// A read of both lists ended.
    Read {
        /// When it was sent.
        sent: Instant,
        /// How it ended.
        result: Result<Snapshot, Failure>,
    },
    /// The watch told a value of the head.
    Watched(StoredValue),
    /// The watch broke.
    WatchEnded,
    /// An operator sent an edit.
    Edit(Proposal),
    /// The write of an edit ended.
    Written {
        /// The edit.
        edit: EditId,
        /// How it ended.
        result: Result<Written, Failure>,
    },
}

/// What a keeper asks for.
#[proc_macros::row]
pub enum Command {
    /// Hold a watch on [`HEAD`] from this revision on, in place of any other.
    Watch(Revision),
    /// Give up the watch.
    Unwatch,
    /// Read [`HEAD`].
    Glance,
    /// Read all under [`PREFIX`].
    Read,
    /// Write for an edit.
    Write {
        /// The edit.
        edit: EditId,
        /// The write.
        write: Write,
    },
    /// Ask a peer.
    Pull {
        /// The peer.
        peer: Incarnation,
        /// The question.
        pull: Pull,
    },
    /// Tell a peer at once; it hears this as [`Input::Heard`].
    Announce {
        /// The peer.
        peer: Incarnation,
        /// Revision that came into force here.
        revision: Revision,
    },
    /// Bring these lists into force.
    Adopt(Accepted),
    /// Tell the operator what came of an edit.
    Tell {
        /// The edit.
        edit: EditId,
        /// What came of it.
        verdict: Verdict,
    },
}
