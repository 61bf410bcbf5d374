//! Client of the platform's services, such as the store, over one persistent connection.
//!
//! The size of an answer grows with the configuration and the registry, and links differ by a factor
//! of a hundred. So no timeout covers a whole answer: its head has to arrive in time, and after that
//! it must not stall.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use poplarvale_lib::http1::{Body, BodyError, HeadError, Response};
use poplarvale_platform::{Call, Reply, StoreError, read_era};
use tokio::io::AsyncWriteExt as _;

use super::buffered_stream::{BufferedStream, fill};
use super::exchange::OK;
use super::held::{Held, HeldBytes};
use super::state::State;

/// Timeout of a new connection to a service of the platform. A healthy one accepts within a few
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time between two parts of a response. Requests share the link of the host, so a part may
/// wait behind them.
const STALL_TIMEOUT: Duration = Duration::from_millis(900);

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
    #[error("the response stalled")]
    Stalled,
    #[error("the response is longer than allowed")]
    TooLong,
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
    #[error("the store was restored from an older copy meanwhile")]
    Restored,
}

/// Client of one of the platform's services. It keeps its connection for the next call.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    conn: Option<BufferedStream>,
    /// Bytes of the replies that are being read, over all clients of the service.
    held: Rc<HeldBytes>,
    /// State that follows the responses of the store; `None` for other services.
    store: Option<Rc<State>>,
    /// Whether it reads the configuration and the registry.
    is_reader: bool,
}

impl Client {
    /// Creates a client of a service whose replies are short.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            conn: None,
            held: HeldBytes::of_short_replies(),
            store: None,
            is_reader: false,
        }
    }

    /// Creates a client of the store.
    pub(crate) fn of_store(state: &Rc<State>) -> Self {
        Self {
            held: Rc::clone(&state.replies),
            store: Some(Rc::clone(state)),
            ..Self::new(state.settings.store)
        }
    }

    /// Creates a client that reads the configuration and the registry from the store.
    pub(crate) fn of_reader(state: &Rc<State>) -> Self {
        Self {
            is_reader: true,
            ..Self::of_store(state)
        }
    }

    /// Makes a call and waits for its response, for at most `limit` each for a new connection and
    /// for the head of the response, and then as long as the body makes progress.
    pub(crate) async fn call(&mut self, call: &Call, limit: Duration) -> Result<Reply, CallError> {
        let idle = self.conn.take().filter(BufferedStream::is_clean);
        let mut conn = match idle {
            Some(conn) => conn,
            None => BufferedStream::connect(self.address, CONNECT_TIMEOUT.min(limit), limit)
                .await
                .map_err(CallError::NotSent)?,
        };
        let sent = tokio::time::timeout(limit, send(&mut conn, &call.0)).await;
        let head = sent.map_err(|_elapsed| CallError::TimedOut).flatten()?;
        let memory = self.held.begin();
        let body = read_body(&mut conn, &head, memory, || self.record_progress(&head)).await?;
        if head.keep_alive {
            self.conn = Some(conn);
        }
        let era = match &self.store {
            Some(state) => {
                let era = state.eras.record(read_era(&head));
                era.ok_or(CallError::OldEra)?
            }
            None => 0,
        };
        Ok(Reply {
            status: head.status,
            era,
            body,
        })
    }

    /// Records that the store is sending a response; a rejection is none.
    fn record_progress(&self, head: &Response) {
        if let Some(state) = self.store.as_ref().filter(|_| head.status == OK) {
            let now = Some(Instant::now());
            state.receiving.set(now);
            if self.is_reader {
                state.reading.set(now);
            }
        }
    }
}

/// Sends a request and reads the head of its response.
pub(crate) async fn send(conn: &mut BufferedStream, request: &[u8]) -> Result<Response, CallError> {
    let (mut read, mut write) = conn.stream.split();
    write.write_all(request).await.map_err(CallError::Broken)?;
    loop {
        if let Some(head) = Response::take(&mut conn.buffer)? {
            return Ok(head);
        }
        let more = fill(&mut read, &mut conn.buffer).await;
        if more.map_err(CallError::Broken)? == 0 {
            return Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into()));
        }
    }
}

/// Reads the next part of a body; `None` at its end.
///
/// # Errors
/// If no part arrives for a while, or the connection or the body breaks.
pub(crate) async fn next_part(
    conn: &mut BufferedStream,
    body: &mut Body,
) -> Result<Option<Bytes>, CallError> {
    let (mut read, _write) = conn.stream.split();
    loop {
        if let Some(part) = body.take(&mut conn.buffer)? {
            return Ok(Some(part));
        }
        if body.is_done() {
            return Ok(None);
        }
        let more = tokio::time::timeout(STALL_TIMEOUT, fill(&mut read, &mut conn.buffer)).await;
        let more = more.map_err(|_elapsed| CallError::Stalled)?;
        if more.map_err(CallError::Broken)? == 0 {
            body.finish()?;
        }
    }
}

/// Reads a complete body; `memory` bounds its length. Calls `progress` after each part.
async fn read_body(
    conn: &mut BufferedStream,
    head: &Response,
    mut memory: Held,
    progress: impl Fn(),
) -> Result<Bytes, CallError> {
    let mut body = Body::new(head.framing);
    let mut bytes = BytesMut::new();
    while let Some(part) = next_part(conn, &mut body).await? {
        let len = bytes.len() + part.len();
        memory.set(len).map_err(|_error| CallError::TooLong)?;
        bytes.extend_from_slice(&part);
        progress();
    }
    Ok(bytes.freeze())
}
