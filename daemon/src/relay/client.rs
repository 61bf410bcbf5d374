//! Client of the platform's services, such as the store, over one persistent connection.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use poplarvale_lib::http1::{Body, BodyError, HeadError, Response};
use poplarvale_platform::{Call, Reply, StoreError, read_era};
use tokio::io::AsyncWriteExt as _;

use super::buffered_stream::{BufferedStream, fill};
use super::era::Eras;
use super::state::State;

/// Timeout of a new connection to a service of the platform. A healthy one accepts within a few
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a call got no response. Except after [`CallError::NotSent`], the service may have executed
/// the call or may still do so.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("could not connect: {0}")]
    NotSent(io::Error),
    #[error("the connection broke: {0}")]
    Broken(io::Error),
    #[error("no response was received in time")]
    TimedOut,
    #[error("the response is from an old era of the store")]
    OldEra,
    #[error("the head of the response is malformed: {0}")]
    Head(#[from] HeadError),
    #[error("the body of the response is malformed: {0}")]
    Body(#[from] BodyError),
}

/// Why a value was not written to the store, or not read back.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WriteError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("{0}")]
    Format(#[from] serde_json::Error),
    #[error("the record in the store was changed unexpectedly")]
    Conflict,
}

/// Client of one of the platform's services. It keeps its connection for the next call.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    conn: Option<BufferedStream>,
    /// Eras of the store, to drop responses of an old era; `None` for other services.
    eras: Option<Rc<Eras>>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            conn: None,
            eras: None,
        }
    }

    /// Creates a client of the store.
    pub(crate) fn of_store(state: &State) -> Self {
        Self {
            eras: Some(Rc::clone(&state.eras)),
            ..Self::new(state.settings.store)
        }
    }

    /// Makes a call and waits for its response, for at most `limit` each for a new connection and
    /// for the exchange.
    pub(crate) async fn call(&mut self, call: &Call, limit: Duration) -> Result<Reply, CallError> {
        let idle = self.conn.take().filter(BufferedStream::is_clean);
        let mut conn = match idle {
            Some(conn) => conn,
            None => BufferedStream::connect(self.address, CONNECT_TIMEOUT.min(limit), limit)
                .await
                .map_err(CallError::NotSent)?,
        };
        let exchange = exchange(&mut conn, &call.0);
        let response = tokio::time::timeout(limit, exchange).await;
        let response = response.map_err(|_elapsed| CallError::TimedOut).flatten();
        let (head, body) = response?;
        if head.keep_alive {
            self.conn = Some(conn);
        }
        let era = match &self.eras {
            Some(eras) => eras.record(read_era(&head)).ok_or(CallError::OldEra)?,
            None => 0,
        };
        Ok(Reply {
            status: head.status,
            era,
            body,
        })
    }
}

/// Sends a request and reads its complete response.
async fn exchange(
    conn: &mut BufferedStream,
    request: &Bytes,
) -> Result<(Response, Bytes), CallError> {
    let (mut read, mut write) = conn.stream.split();
    write.write_all(request).await.map_err(CallError::Broken)?;
    let head = loop {
        if let Some(head) = Response::take(&mut conn.buffer)? {
            break head;
        }
        let more = fill(&mut read, &mut conn.buffer).await;
        if more.map_err(CallError::Broken)? == 0 {
            return Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into()));
        }
    };
    let mut body = Body::new(head.framing);
    let mut bytes = BytesMut::new();
    loop {
        while let Some(part) = body.take(&mut conn.buffer)? {
            bytes.extend_from_slice(&part);
        }
        if body.is_done() {
            break;
        }
        let more = fill(&mut read, &mut conn.buffer).await;
        if more.map_err(CallError::Broken)? == 0 {
            body.finish()?;
        }
    }
    Ok((head, bytes.freeze()))
}
