//! Calls to the platform's services over one kept connection.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use poplarvale_lib::http1::{Body, BodyError, HeadError, Response};
use poplarvale_platform::{Call, Reply, StoreError, read_era};
use tokio::io::AsyncWriteExt as _;

use super::era::Eras;
use super::state::State;
use super::wire::{Wire, fill};

/// Time for a connection to a service of the platform; it answers in a few
/// milliseconds when it is well.
const CONNECT: Duration = Duration::from_millis(700);

/// Why a call brought no answer. Except after [`CallError::NotSent`] the call may
/// have been carried out, or may be later.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("no connection was made: {0}")]
    NotSent(io::Error),
    #[error("the connection broke: {0}")]
    Broken(io::Error),
    #[error("no answer came in time")]
    Silent,
    #[error("the answer is of an era that is over")]
    Over,
    #[error("the answer is not in the protocol: {0}")]
    Head(#[from] HeadError),
    #[error("the answer is not in the protocol: {0}")]
    Body(#[from] BodyError),
}

/// Why something was not written, or not read back.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WriteError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("{0}")]
    Format(#[from] serde_json::Error),
    #[error("the record in the store is not as it was left")]
    Raced,
}

/// Client of one of the platform's services.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    wire: Option<Wire>,
    /// Eras of the store; `None` for other services.
    eras: Option<Rc<Eras>>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            wire: None,
            eras: None,
        }
    }

    /// A client of the store.
    pub(crate) fn of_store(state: &State) -> Self {
        Self {
            eras: Some(Rc::clone(&state.eras)),
            ..Self::new(state.settings.store)
        }
    }

    /// Makes a call and waits for its answer for at most `limit`.
    pub(crate) async fn call(&mut self, call: &Call, limit: Duration) -> Result<Reply, CallError> {
        let kept = self.wire.take().filter(Wire::is_clean);
        let mut wire = match kept {
            Some(wire) => wire,
            None => Wire::connect(self.address, CONNECT.min(limit), limit)
                .await
                .map_err(CallError::NotSent)?,
        };
        let exchange = exchange(&mut wire, &call.0);
        let answer = tokio::time::timeout(limit, exchange).await;
        let answer = answer.map_err(|_elapsed| CallError::Silent).flatten();
        let (head, body) = answer?;
        if head.keep_alive {
            self.wire = Some(wire);
        }
        let era = match &self.eras {
            Some(eras) => eras.see(read_era(&head)).ok_or(CallError::Over)?,
            None => 0,
        };
        Ok(Reply {
            status: head.status,
            era,
            body,
        })
    }
}

/// Sends a request and reads its whole answer.
async fn exchange(wire: &mut Wire, request: &Bytes) -> Result<(Response, Bytes), CallError> {
    let (mut read, mut write) = wire.stream.split();
    write.write_all(request).await.map_err(CallError::Broken)?;
    let head = loop {
        if let Some(head) = Response::take(&mut wire.buffer)? {
            break head;
        }
        let more = fill(&mut read, &mut wire.buffer).await;
        if more.map_err(CallError::Broken)? == 0 {
            return Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into()));
        }
    };
    let mut body = Body::new(head.framing);
    let mut bytes = BytesMut::new();
    loop {
        while let Some(part) = body.take(&mut wire.buffer)? {
            bytes.extend_from_slice(&part);
        }
        if body.is_done() {
            break;
        }
        let more = fill(&mut read, &mut wire.buffer).await;
        if more.map_err(CallError::Broken)? == 0 {
            body.finish()?;
        }
    }
    Ok((head, bytes.freeze()))
}
