//! Client for calls to other daemons.
//!
//! One connection per peer is kept and shared by all calls to it. A failed call drops it, so that
//! the next call reconnects. Otherwise, if a peer was replaced behind its address or vanished
//! without closing the connection, every call would hang until the operating system drops the
//! connection, which takes minutes.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use poplarvale_lib::Revision;
use poplarvale_lib::gossip::EXCHANGE_TIMEOUT;
use poplarvale_lib::protos::peer::{Answer, Delta, Digest, Push};
use prost::Message as _;
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;

use crate::peers::server::MAX_FRAME_BYTES;
use crate::peers::{Payload, PeerError, PeersClient, Rejection, Token};

/// Timeout for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Most connections kept: enough for all daemons of the zone and for some bridges.
const MAX_CONNECTIONS: usize = 64;

/// Time since its last call within which a connection is reused.
///
/// Half of the server's idle timeout, so that no call is sent on a connection that the server is
/// just closing; an urgent row would be lost with it.
const REUSE_TIME: Duration = Duration::from_mins(5);

/// A kept connection.
struct Connection {
    to: SocketAddr,
    client: PeersClient,
    /// When it may no longer be reused.
    until: Instant,
}

/// Calls other daemons; clones share the connections.
#[derive(Clone)]
pub struct Client {
    token: Token,
    /// Sorted by address.
    connections: Rc<RefCell<Vec<Connection>>>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let connections = self.connections.borrow().len();
        f.debug_struct("Client")
            .field("connections", &connections)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Client that authenticates with a token.
    pub fn new(token: Token) -> Self {
        Self {
            token,
            connections: Rc::default(),
        }
    }

    /// Sends a digest and returns its answer.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached, rejects the call, or its answer can't be decoded.
    pub async fn exchange(&self, to: SocketAddr, digest: &Digest) -> Result<Answer, PeerError> {
        let client = self.connect(to).await?;
        let payload = digest.encode_to_vec();
        let reply = client.exchange(with_deadline(), self.token.clone(), payload);
        let answer = self.check_reply(to, reply.await)?;
        Ok(Answer::decode(answer.as_slice())?)
    }

    /// Sends the delta that the peer requested in its answer.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached or rejects the call.
    pub async fn settle(&self, to: SocketAddr, delta: &Delta) -> Result<(), PeerError> {
        let client = self.connect(to).await?;
        let payload = delta.encode_to_vec();
        let reply = client.settle(with_deadline(), self.token.clone(), payload);
        self.check_reply(to, reply.await)
    }

    /// Sends urgent rows.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached or rejects the call.
    pub async fn push(&self, to: SocketAddr, push: &Push) -> Result<(), PeerError> {
        let client = self.connect(to).await?;
        let payload = push.encode_to_vec();
        let reply = client.push(with_deadline(), self.token.clone(), payload);
        self.check_reply(to, reply.await)
    }

    /// Queries a claim, or hands over a key space.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached or rejects the call.
    pub async fn claim(&self, to: SocketAddr, call: Payload) -> Result<Payload, PeerError> {
        let client = self.connect(to).await?;
        let reply = client.claim(with_deadline(), self.token.clone(), call);
        self.check_reply(to, reply.await)
    }

    /// Requests the lists that are newer than a revision, from a byte offset on.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached or rejects the call.
    pub async fn get_lists(
        &self,
        to: SocketAddr,
        have: Revision,
        from: u64,
    ) -> Result<Payload, PeerError> {
        let client = self.connect(to).await?;
        let reply = client.get_lists(with_deadline(), self.token.clone(), have, from);
        self.check_reply(to, reply.await)
    }

    /// Reuses the connection to a peer or makes a new one.
    async fn connect(&self, to: SocketAddr) -> Result<PeersClient, PeerError> {
        if let Some(client) = self.reuse(to) {
            return Ok(client);
        }
        let mut connect = tcp::connect(to, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let connected = timeout(CONNECT_TIMEOUT, connect).await;
        let transport = connected
            .map_err(|late| PeerError::Connect(io::Error::new(io::ErrorKind::TimedOut, late)))?
            .map_err(PeerError::Connect)?;
        let client = PeersClient::new(Config::default(), transport).spawn();
        self.store(to, client.clone());
        Ok(client)
    }

    /// Connection to a peer that may still be reused.
    fn reuse(&self, to: SocketAddr) -> Option<PeersClient> {
        let now = Instant::now();
        let mut connections = self.connections.borrow_mut();
        connections.retain(|c| now < c.until);
        let at = connections.binary_search_by_key(&to, |c| c.to).ok()?;
        connections[at].until = now + REUSE_TIME;
        Some(connections[at].client.clone())
    }

    /// Stores a new connection; drops a random one if there are too many.
    fn store(&self, to: SocketAddr, client: PeersClient) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|c| c.to != to);
        if connections.len() >= MAX_CONNECTIONS {
            let at = fastrand::usize(..connections.len());
            connections.remove(at);
        }
        let at = connections.partition_point(|c| c.to < to);
        let until = Instant::now() + REUSE_TIME;
        connections.insert(at, Connection { to, client, until });
    }

    /// Returns the value or the rejection of a call; drops the connection if the call failed.
    fn check_reply<T>(
        &self,
        to: SocketAddr,
        reply: Result<Result<T, Rejection>, RpcError>,
    ) -> Result<T, PeerError> {
        match reply {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(rejection)) => Err(PeerError::Rejected(rejection.code)),
            Err(error) => {
                self.connections.borrow_mut().retain(|c| c.to != to);
                Err(PeerError::Call(error))
            }
        }
    }
}

/// Call context whose deadline is the exchange timeout, after which an answer is of no use.
fn with_deadline() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + EXCHANGE_TIMEOUT;
    context
}
