//! Server for the calls of other daemons.

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
use crate::config::{Config, ReadLists};
use crate::peers::actor::{AnswerDigest, ApplyDelta, ApplyPush};
use crate::peers::service::Peers;
use crate::peers::{Gossip, Payload, Rejection, Token};

/// Largest frame: a delta, or a digest of the largest allowed number of daemons, with the overhead
/// of the transport.
///
/// Without a limit, the first four bytes of an unauthorized connection could make a daemon allocate
/// gigabytes.
pub(crate) const MAX_FRAME_BYTES: usize = 128 * 1024;

/// Most open connections; each peer keeps one.
const MAX_CONNECTIONS: usize = MAX_ORIGINS;

/// Time after which a connection without a call is closed.
///
/// A host that vanishes does not close its connections. They would accumulate up to the limit, and
/// new peers would be rejected, which would show only after days. Clients reuse a connection for a
/// shorter time than this.
const IDLE_TIMEOUT: Duration = Duration::from_mins(10);

/// A server that listens until it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address on which it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Stops listening and closes all connections.
    pub async fn stop(mut self) {
        self.task.abort();
        // The task was just aborted, so its result is known.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Bound socket for calls of other daemons.
///
/// The address is bound before the replica exists, because the replica advertises it;
/// [`Listener::serve`] starts answering.
#[derive(Debug)]
pub struct Listener {
    /// Address to which it is bound.
    pub address: SocketAddr,
    inner: tokio::net::TcpListener,
}

impl Listener {
    /// Binds an address; port 0 selects any free port.
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

    /// Starts answering calls with the gossip actor and the other actors.
    ///
    /// # Errors
    ///
    /// If the socket can no longer be used.
    pub async fn serve(
        self,
        token: Token,
        gossip: Addr<Gossip>,
        parts: Parts,
    ) -> io::Result<Server> {
        let mut incoming = tcp::listen_on(self.inner, Bincode::default).await?;
        incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
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
                // Above the limit the connection is closed at once; the peer's call then fails, and
                // it tries another peer.
                if connections.len() >= MAX_CONNECTIONS {
                    log::warn!("peers: too many connections, closing the new one");
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

/// Actors besides the replica's that handle calls; calls to a missing one are rejected.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Actor that keeps the lists.
    pub config: Option<Addr<Config>>,
    /// Actor that claims idempotency keys.
    pub claims: Option<Addr<Claims>>,
}

/// Answers the calls of a connection one after another, until it breaks or its idle timeout ends.
async fn answer_all<R: Future<Output = ()>>(responses: impl Stream<Item = R>) {
    let mut responses = pin!(responses);
    while let Ok(Some(response)) = timeout(IDLE_TIMEOUT, responses.next()).await {
        response.await;
    }
}

/// Handles the calls of one connection.
#[derive(Clone)]
struct Handler {
    token: Token,
    gossip: Addr<Gossip>,
    parts: Parts,
}

impl Handler {
    /// Rejects a call without the right token, before anything else of it is read.
    fn check(&self, token: &Token) -> Result<(), Rejection> {
        if self.token.matches(token) {
            return Ok(());
        }
        log::warn!("peers: rejecting a call without the right token");
        Err(Code::NoPeer.into())
    }

    /// Decodes a message and sends it to the gossip actor.
    async fn dispatch<P, M, T>(
        &self,
        payload: Payload,
        wrap: impl FnOnce(P) -> M,
    ) -> Result<T, Rejection>
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
    async fn exchange(
        self,
        _: Context,
        token: Token,
        digest: Payload,
    ) -> Result<Payload, Rejection> {
        self.check(&token)?;
        let answer = self.dispatch(digest, AnswerDigest).await?;
        Ok(answer.encode_to_vec())
    }

    async fn settle(self, _: Context, token: Token, delta: Payload) -> Result<(), Rejection> {
        self.check(&token)?;
        self.dispatch(delta, ApplyDelta).await
    }

    async fn push(self, _: Context, token: Token, push: Payload) -> Result<(), Rejection> {
        self.check(&token)?;
        self.dispatch(push, ApplyPush).await
    }

    async fn claim(self, _: Context, token: Token, call: Payload) -> Result<Payload, Rejection> {
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
    ) -> Result<Payload, Rejection> {
        self.check(&token)?;
        let config = self.parts.config.as_ref().ok_or(Code::NoLists)?;
        let part = config.send(ReadLists { have, from }).await;
        let part = part.map_err(|_stopped| Code::Draining)?;
        Ok(part.encode_to_vec())
    }
}
