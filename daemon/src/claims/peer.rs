//! Calls between daemons about claims.

use std::net::SocketAddr;

use poplarvale_lib::claims::{HandOver, Question, Reply};
use serde::{Deserialize, Serialize};

use crate::peers::Client;

/// A call from one daemon's claimer to another's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Call {
    /// Asks for the state of a claim.
    Ask(Question),
    /// Hands a key space over.
    TakeOver(HandOver),
}

/// Asks the holder of a claim for the claim's state. None if it doesn't reply.
pub(super) async fn ask(client: &Client, to: SocketAddr, question: &Question) -> Option<Reply> {
    call(client, to, &Call::Ask(question.clone())).await
}

/// Hands a key space over to a daemon. None if it doesn't reply.
pub(super) async fn hand_over(client: &Client, to: SocketAddr, space: &HandOver) -> Option<bool> {
    call(client, to, &Call::TakeOver(space.clone())).await
}

async fn call<A: for<'a> Deserialize<'a>>(
    client: &Client,
    to: SocketAddr,
    call: &Call,
) -> Option<A> {
    let payload = serde_json::to_vec(call).ok()?;
    let reply = client.claim(to, payload).await.ok()?;
    serde_json::from_slice(&reply).ok()
}
