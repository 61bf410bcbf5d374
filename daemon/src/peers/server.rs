//! Answers the calls of other daemons.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use actix::Addr;
use actix::dev::ToEnvelope;
use futures::{Stream, StreamExt as _};
use poplarvale_lib::gossip::MAX_ORIGINS;
use poplarvale_lib::{Code, Revision};
use prost::Message as _;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::tokio_serde::formats::Bincode;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;

use crate::claims::{AnswerQuestion, Call, Claims, TakeOver};
use crate::config::{AskLists, Config};
use crate::peers::actor::{Ask, Receive, Settle};
use crate::peers::service::Peers;
use crate::peers::{Gossip, Payload, Refusal, Token};

/// Most bytes of a frame: a delta, or a digest of as many daemons as are
/// allowed, and what the transport adds.
///
/// Without a limit the first four bytes of a stranger's connection could make a
/// daemon set aside gigabytes.
pub(crate) const FRAME_BYTES: usize = 128 * 1024;

/// Most connections at once; each peer keeps one.
const CONNECTIONS: usize = MAX_ORIGINS;

/// Time after which a connection without a call is closed.
///
/// A host that vanishes closes nothing. Its connections would stay until all
/// places are taken and new peers are turned away, which would show only after
/// days. Clients use a connection for less long after its last call.
const IDLE_LIMIT: Duration = Duration::from_mins(10);

/// A server that listens until it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Stops listening and closes all connections.
    pub async fn stop(mut self) {
        self.task.abort();
        // It was aborted just now; there is nothing else to learn.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens for other daemons.
///
/// The address is bound before the replica exists, as the replica tells it to
/// others; [`Listener::serve`] begins to answer.
#[derive(Debug)]
pub struct Listener {
    /// Address that it is bound to.
    pub address: SocketAddr,
    inner: tokio::net::TcpListener,
}

impl Listener {
    /// Binds an address; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let inner = tokio::net::TcpListener::bind(address).await?;
        Ok(Self {
            address: inner.local_addr()?,
            inner,
        })
    }

    /// Begins to answer, from the replica of an actor and the other parts.
    ///
    /// # Errors
    ///
    /// If the socket can't be used any more.
    pub async fn serve(
        self,
        token: Token,
        gossip: Addr<Gossip>,
        parts: Parts,
    ) -> io::Result<Server> {
        let mut incoming = tcp::listen_on(self.inner, Bincode::default).await?;
        incoming.config_mut().max_frame_length(FRAME_BYTES);
        let handler = Handler {
            token,
            gossip,
            parts,
        };
        let task = actix::spawn(async move {
            let mut connections = JoinSet::new();
            while let Some(accepted) = incoming.next().await {
                while connections.try_join_next().is_some() {}
                let Ok(transport) = accepted else {
                    continue;
                };
                // Over the limit the connection is closed at once, which the
                // caller sees as a broken call and tries another peer.
                if connections.len() >= CONNECTIONS {
                    log::warn!("peers: too many connections");
                    continue;
                }
                let channel = BaseChannel::with_defaults(transport);
                let responses = channel.execute(handler.clone().serve());
                connections.spawn_local(answer_all(responses));
            }
        });
        Ok(Server {
            address: self.address,
            task,
        })
    }
}

/// Parts besides the replica that calls go to; without one its calls are refused.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Keeper of the lists.
    pub config: Option<Addr<Config>>,
    /// Claimer of idempotency keys.
    pub claims: Option<Addr<Claims>>,
}

/// Answers the calls of a connection one by one, until it breaks or is idle.
async fn answer_all<R: Future<Output = ()>>(responses: impl Stream<Item = R>) {
    let mut responses = pin!(responses);
    while let Ok(Some(response)) = timeout(IDLE_LIMIT, responses.next()).await {
        response.await;
    }
}

/// Answers one call.
#[derive(Clone)]
struct Handler {
    token: Token,
    gossip: Addr<Gossip>,
    parts: Parts,
}

impl Handler {
    /// Refuses whoever has not the token, before anything else is looked at.
    fn check(&self, token: &Token) -> Result<(), Refusal> {
        if self.token.matches(token) {
            return Ok(());
        }
        log::warn!("peers: a call without the token was refused");
        Err(Code::NoPeer.into())
    }

    /// Decodes a message and has the actor handle it.
    async fn pass<P, M, T>(&self, payload: Payload, wrap: impl FnOnce(P) -> M) -> Result<T, Refusal>
    where
        P: prost::Message + Default,
        M: actix::Message<Result = Result<T, Code>> + Send + 'static,
        T: Send + 'static,
        Gossip: actix::Handler<M>,
        actix::Context<Gossip>: ToEnvelope<Gossip, M>,
    {
        let message = P::decode(payload.as_slice());
        let message = message.map_err(|_error| Code::BadExchange)?;
        let result = self.gossip.send(wrap(message)).await;
        let result = result.map_err(|_stopped| Code::Draining)?;
        Ok(result?)
    }
}

impl Peers for Handler {
    async fn exchange(self, _: Context, token: Token, digest: Payload) -> Result<Payload, Refusal> {
        self.check(&token)?;
        let answer = self.pass(digest, Ask).await?;
        Ok(answer.encode_to_vec())
    }

    async fn settle(self, _: Context, token: Token, delta: Payload) -> Result<(), Refusal> {
        self.check(&token)?;
        self.pass(delta, Settle).await
    }

    async fn push(self, _: Context, token: Token, push: Payload) -> Result<(), Refusal> {
        self.check(&token)?;
        self.pass(push, Receive).await
    }

    async fn claim(self, _: Context, token: Token, call: Payload) -> Result<Payload, Refusal> {
        self.check(&token)?;
        let claims = self.parts.claims.as_ref().ok_or(Code::NoPeer)?;
        let call = serde_json::from_slice(&call).map_err(|_error| Code::BadExchange)?;
        let reply = match call {
            Call::Ask(question) => {
                let reply = claims.send(AnswerQuestion(question)).await;
                serde_json::to_vec(&reply.map_err(|_stopped| Code::Draining)?)
            }
            Call::TakeOver(space) => {
                let has = claims.send(TakeOver(space)).await;
                serde_json::to_vec(&has.map_err(|_stopped| Code::Draining)?)
            }
        };
        Ok(reply.map_err(|_error| Code::Internal)?)
    }

    async fn get_lists(
        self,
        _: Context,
        token: Token,
        have: Revision,
        from: u64,
    ) -> Result<Payload, Refusal> {
        self.check(&token)?;
        let config = self.parts.config.as_ref().ok_or(Code::NoLists)?;
        let part = config.send(AskLists { have, from }).await;
        let part = part.map_err(|_stopped| Code::Draining)?;
        Ok(part.encode_to_vec())
    }
}
