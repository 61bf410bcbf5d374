//! Calls between daemons.
//!
//! Calls carry encoded `protos::peer` messages. These are smaller than the transport's own
//! encoding, and a version of the daemon that does not know a field skips it.

use poplarvale_lib::{Code, Revision};
use serde::{Deserialize, Serialize};

use crate::peers::Token;

/// An encoded message.
pub type Payload = Vec<u8>;

/// A rejected call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Numbered code, listed in docs/errors.md.
    pub code: u32,
}

impl From<Code> for Rejection {
    fn from(code: Code) -> Self {
        Self {
            code: code.number(),
        }
    }
}

/// Calls that one daemon makes to another.
#[tarpc::service]
pub trait Peers {
    /// Answers a digest.
    async fn exchange(token: Token, digest: Payload) -> Result<Payload, Rejection>;

    /// Applies the delta that the answer to a digest requested.
    async fn settle(token: Token, delta: Payload) -> Result<(), Rejection>;

    /// Applies urgent rows.
    async fn push(token: Token, push: Payload) -> Result<(), Rejection>;

    /// Answers a query about a claim, or takes over a key space.
    async fn claim(token: Token, call: Payload) -> Result<Payload, Rejection>;

    /// Returns the lists that are newer than a revision: the part from a byte offset on.
    async fn get_lists(token: Token, have: Revision, from: u64) -> Result<Payload, Rejection>;
}
