//! Calls other daemons.
//!
//! One connection to a peer is kept and shared by all calls to it. A call that
//! fails drops it, so that the next one connects anew: a peer that was replaced
//! behind its address, or that vanished without a word, would else hold up each
//! call until the operating system gives the connection up, which takes
//! minutes.

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

use crate::peers::server::FRAME_BYTES;
use crate::peers::{Payload, PeerError, PeersClient, Refusal, Token};

/// Time in which a connection must be made.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Most connections kept: those to the whole zone, and some to bridges.
const CONNECTIONS: usize = 64;

/// Time after its last call in which a connection is used again.
///
/// Half of what the server allows, so that no call goes out on a connection
/// that the server closes at that moment; an urgent row would be lost by it.
const KEEP: Duration = Duration::from_mins(5);

/// A kept connection.
struct Connection {
    to: SocketAddr,
    client: PeersClient,
    /// When it is no longer used.
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
    /// Client that shows a token.
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
    /// If the peer can't be reached, refuses, or answers what can't be read.
    pub async fn exchange(&self, to: SocketAddr, digest: &Digest) -> Result<Answer, PeerError> {
        let client = self.connect(to).await?;
        let payload = digest.encode_to_vec();
        let reply = client.exchange(in_time(), self.token.clone(), payload);
        let answer = self.checked(to, reply.await)?;
        Ok(Answer::decode(answer.as_slice())?)
    }

    /// Sends the delta that an answer asked for.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached or refuses.
    pub async fn settle(&self, to: SocketAddr, delta: &Delta) -> Result<(), PeerError> {
        let client = self.connect(to).await?;
        let payload = delta.encode_to_vec();
        let reply = client.settle(in_time(), self.token.clone(), payload);
        self.checked(to, reply.await)
    }

    /// Sends urgent rows.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached or refuses.
    pub async fn push(&self, to: SocketAddr, push: &Push) -> Result<(), PeerError> {
        let client = self.connect(to).await?;
        let payload = push.encode_to_vec();
        let reply = client.push(in_time(), self.token.clone(), payload);
        self.checked(to, reply.await)
    }

    /// Asks about a claim, or gives a key space.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached or refuses.
    pub async fn claim(&self, to: SocketAddr, call: Payload) -> Result<Payload, PeerError> {
        let client = self.connect(to).await?;
        let reply = client.claim(in_time(), self.token.clone(), call);
        self.checked(to, reply.await)
    }

    /// Asks for what lists there are above a revision, from a byte on.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached or refuses.
    pub async fn get_lists(
        &self,
        to: SocketAddr,
        have: Revision,
        from: u64,
    ) -> Result<Payload, PeerError> {
        let client = self.connect(to).await?;
        let reply = client.get_lists(in_time(), self.token.clone(), have, from);
        self.checked(to, reply.await)
    }

    async fn connect(&self, to: SocketAddr) -> Result<PeersClient, PeerError> {
        if let Some(client) = self.kept(to) {
            return Ok(client);
        }
        let mut connect = tcp::connect(to, Bincode::default);
        connect.config_mut().max_frame_length(FRAME_BYTES);
        let connected = timeout(CONNECT_LIMIT, connect).await;
        let transport = connected
            .map_err(|late| PeerError::Connect(io::Error::new(io::ErrorKind::TimedOut, late)))?
            .map_err(PeerError::Connect)?;
        let client = PeersClient::new(Config::default(), transport).spawn();
        self.keep(to, client.clone());
        Ok(client)
    }

    fn kept(&self, to: SocketAddr) -> Option<PeersClient> {
        let now = Instant::now();
        let mut connections = self.connections.borrow_mut();
        connections.retain(|c| now < c.until);
        let at = connections.binary_search_by_key(&to, |c| c.to).ok()?;
        connections[at].until = now + KEEP;
        Some(connections[at].client.clone())
    }

    fn keep(&self, to: SocketAddr, client: PeersClient) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|c| c.to != to);
        if connections.len() >= CONNECTIONS {
            let at = fastrand::usize(..connections.len());
            connections.remove(at);
        }
        let at = connections.partition_point(|c| c.to < to);
        let until = Instant::now() + KEEP;
        connections.insert(at, Connection { to, client, until });
    }

    /// Drops the connection after a broken call, and tells refusals apart.
    fn checked<T>(
        &self,
        to: SocketAddr,
        reply: Result<Result<T, Refusal>, RpcError>,
    ) -> Result<T, PeerError> {
        match reply {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(refusal)) => Err(PeerError::Refused(refusal.code)),
            Err(error) => {
                self.connections.borrow_mut().retain(|c| c.to != to);
                Err(PeerError::Call(error))
            }
        }
    }
}

/// Context of a call whose answer is of no use after the limit.
fn in_time() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + EXCHANGE_TIMEOUT;
    context
}
