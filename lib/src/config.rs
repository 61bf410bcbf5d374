//! Configuration of the fleet: the lists of customers and plans, edits of them,
//! and their distribution to every daemon.
//!
//! An edit is accepted by one compare-and-swap in the platform's key-value
//! service; from then on it has to come into force at every daemon within
//! seconds and must never be reverted, through partitions, outages and
//! restarts. Two daemons of each zone watch the service; the others learn of a
//! new revision from peers and pull it from one of them, so that the number of
//! calls to the service grows with the zones and not with the daemons. A daemon
//! adopts only higher revisions, in one place ([`Keeper`]), so no daemon goes
//! back to older lists.
//!
//! A peer sends the changes since the reader's revision if they are known, and
//! the whole lists otherwise: the lists can have a megabyte and change every
//! few seconds.

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

pub use changes::{Changes, Difference, RevisionDelta};
pub use head::{HEAD_KEY, KEY_PREFIX};
pub use keeper::{FLEET_READS_PER_S, HEAD_READ_INTERVAL, Keeper, STALE_AGE};
pub use watchers::{WATCHERS_PER_ZONE, watchers};

/// Id of an edit, chosen by its sender; retries keep the id.
pub type EditId = CompactString;

/// A live daemon, as gossip reports it.
#[proc_macros::row]
#[derive(Eq)]
pub struct Peer {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneId,
}

/// An edit as an operator sends it: both lists, and the revision they are based
/// on.
#[proc_macros::row]
pub struct Proposal {
    /// Id by which the outcome is found if the answer is lost.
    pub id: EditId,
    /// Revision that the operator edited.
    pub base: Revision,
    /// Both lists as they should become.
    pub lists: Lists,
}

/// Outcome of an edit.
#[proc_macros::row]
pub enum Verdict {
    /// Accepted at this revision.
    Accepted(Revision),
    /// Another edit was accepted first.
    Conflict {
        /// Revision that the edit is based on.
        base: Revision,
        /// Revision that is in force.
        revision: Revision,
        /// What changed since the edit's base; `None` if that is not known.
        difference: Option<Difference>,
    },
    /// The lists failed validation.
    Invalid(Vec<ValidationError>),
    /// The service could not be reached; the edit was certainly not accepted.
    NotDone,
    /// The outcome could not be read back from the service; the edit may have
    /// been accepted.
    Unknown,
}

/// Request to a peer for what it has above a revision.
#[proc_macros::setting]
#[derive(Eq)]
pub struct Pull {
    /// Revision that the asker has.
    pub have: Revision,
}

/// A peer's answer to a [`Pull`].
#[proc_macros::setting]
pub struct Pulled {
    /// Revision that the peer has.
    pub revision: Revision,
    /// Time since the peer last had proof that no higher revision exists; a
    /// duration, as instants can't be exchanged between hosts.
    pub age: Option<Duration>,
    /// What the asker lacks.
    pub update: Update,
}

/// What brings a daemon to a higher revision.
#[proc_macros::setting]
pub enum Update {
    /// Nothing is missing.
    None,
    /// Consecutive changes that start at the asker's revision.
    Changes(Vec<RevisionDelta>),
    /// The whole lists.
    Whole(Accepted),
}

/// Input of a [`Keeper`].
#[proc_macros::row]
pub enum Input {
    /// The live peers, without the daemon itself.
    Peers(Vec<Peer>),
    /// A peer reported its revision: in each round of gossip, and at once when
    /// it announced a new one.
    PeerRevision {
        /// The peer.
        peer: Incarnation,
        /// Its revision.
        revision: Revision,
        /// Age of its proof that no higher revision exists.
        age: Option<Duration>,
    },
    /// A peer answered a pull, or failed to.
    Pulled {
        /// The peer.
        peer: Incarnation,
        /// Its answer.
        answer: Option<Pulled>,
    },
    /// A read of the head ended.
    HeadRead {
        /// When it was sent.
        sent: Instant,
        /// Its result.
        result: Result<Snapshot, Failure>,
    },
    /// A read of both lists ended.
    ListsRead {
        /// When it was sent.
        sent: Instant,
        /// Its result.
        result: Result<Snapshot, Failure>,
    },
    /// The watch delivered a new value of the head.
    HeadChanged(StoredValue),
    /// The watch broke.
    WatchEnded,
    /// An operator sent an edit.
    Edit(Proposal),
    /// The write of an edit ended.
    Written {
        /// The edit.
        edit: EditId,
        /// Its result.
        result: Result<Written, Failure>,
    },
}

/// Command of a [`Keeper`] to its caller.
#[proc_macros::row]
pub enum Command {
    /// Watch [`HEAD_KEY`] from this revision on, in place of any other watch.
    Watch(Revision),
    /// End the watch.
    Unwatch,
    /// Read [`HEAD_KEY`].
    ReadHead,
    /// Read all keys under [`KEY_PREFIX`].
    ReadLists,
    /// Write to the service for an edit.
    Write {
        /// The edit.
        edit: EditId,
        /// The write.
        write: Write,
    },
    /// Send a pull to a peer.
    Pull {
        /// The peer.
        peer: Incarnation,
        /// The request.
        pull: Pull,
    },
    /// Notify a peer at once; the peer receives this as
    /// [`Input::PeerRevision`].
    Announce {
        /// The peer.
        peer: Incarnation,
        /// Revision that came into force here.
        revision: Revision,
    },
    /// Bring these lists into force.
    Adopt(Accepted),
    /// Report the outcome of an edit to the operator.
    Reply {
        /// The edit.
        edit: EditId,
        /// Its outcome.
        verdict: Verdict,
    },
}
