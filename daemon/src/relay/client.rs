//! Calls to the platform's services over one kept connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use poplarvale_lib::http1::{Body, BodyError, HeadError, Response};
use poplarvale_platform::{Call, Reply};
use tokio::io::AsyncWriteExt as _;

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
    #[error("the answer is not in the protocol: {0}")]
    Head(#[from] HeadError),
    #[error("the answer is not in the protocol: {0}")]
    Body(#[from] BodyError),
}

/// Client of one of the platform's services.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    wire: Option<Wire>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            wire: None,
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
        let (reply, keep) = answer?;
        if keep {
            self.wire = Some(wire);
        }
        Ok(reply)
    }
}

/// Sends a request and reads its whole answer; tells whether the connection can be
/// used again.
async fn exchange(wire: &mut Wire, request: &Bytes) -> Result<(Reply, bool), CallError> {
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
            body.end()?;
        }
    }
    let reply = Reply {
        status: head.status,
        body: bytes.freeze(),
    };
    Ok((reply, head.keep))
}
