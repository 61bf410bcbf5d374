//! Errors of calls to peers.

use poplarvale_lib::gossip::GossipError;

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection failed or timed out.
    #[error("the peer could not be reached")]
    Connect(#[source] std::io::Error),
    /// The connection broke, or the call timed out.
    #[error("the peer did not answer")]
    Call(#[from] tarpc::client::RpcError),
    /// The peer rejected the call with a numbered code.
    #[error("the peer rejected the call with code {0}")]
    Rejected(u32),
    /// The answer could not be decoded.
    #[error("the answer could not be decoded")]
    Decode(#[from] prost::DecodeError),
    /// The replica rejected the answer.
    #[error("the replica rejected the answer")]
    Answer(#[from] GossipError),
    /// The actor has stopped because the daemon shuts down.
    #[error("the daemon is shutting down")]
    Stopped(#[from] actix::MailboxError),
}
