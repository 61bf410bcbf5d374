//! One exchange with an endpoint, up to the head of its answer.

use std::io;

use bytes::{Bytes, BytesMut};
use poplarvale_lib::http1::{Body, Response};
use poplarvale_platform::{Answered, answered};
use tokio::io::AsyncWriteExt as _;

use super::wire::{Wire, fill};

/// Answers to earlier requests that are passed over before a connection is given up.
const MOST_STRAY: usize = 3;

/// Status from which on an endpoint's answer is a failure.
pub(crate) const FAILED: u16 = 500;

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Fault {
    /// Nothing left for the endpoint.
    #[error("nothing was sent")]
    NotSent,
    /// The connection broke after something was sent.
    #[error("the connection broke")]
    Broken,
    /// Nothing came for too long.
    #[error("the endpoint was silent")]
    Silent,
    /// What came is not an answer to this request.
    #[error("the answer is not one to this request")]
    Wrong,
}

/// Head of an endpoint's answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: Response,
    pub(crate) said: Answered,
    /// Whether the whole request was sent by then; if not, the connection cannot
    /// be used again, as the endpoint would read the rest as a request.
    pub(crate) sent: bool,
}

/// Sends a request and reads the head of its answer.
///
/// An endpoint may answer before it has read a long request, so both go on at
/// the same time. Late second answers to earlier requests are passed over; their
/// id tells them.
pub(crate) async fn exchange(wire: &mut Wire, request: &Bytes, id: &str) -> Result<Answer, Fault> {
    let (mut read, mut write) = wire.stream.split();
    let buffer = &mut wire.buffer;
    let mut written = 0;
    let mut strays = 0;
    loop {
        while let Some(head) = Response::take(buffer).map_err(|_error| Fault::Wrong)? {
            if (100..200).contains(&head.status) {
                continue;
            }
            let said = answered(&head, id);
            if said.ours {
                let sent = written == request.len();
                return Ok(Answer { head, said, sent });
            }
            strays += 1;
            if strays > MOST_STRAY {
                return Err(Fault::Wrong);
            }
            pass_over(&mut read, buffer, &head).await?;
        }
        tokio::select! {
            more = write.write(&request[written..]), if written < request.len() => match more {
                Ok(len) if len > 0 => written += len,
                _ if written == 0 => return Err(Fault::NotSent),
                _ => return Err(Fault::Broken),
            },
            more = fill(&mut read, buffer) => match more {
                Ok(len) if len > 0 => {}
                _ if written == 0 => return Err(Fault::NotSent),
                _ => return Err(Fault::Broken),
            },
        }
    }
}

/// Reads an answer that belongs to an earlier request to its end.
async fn pass_over(
    read: &mut tokio::net::tcp::ReadHalf<'_>,
    buffer: &mut BytesMut,
    head: &Response,
) -> Result<(), Fault> {
    let mut body = Body::new(head.framing);
    loop {
        while body.take(buffer).map_err(|_error| Fault::Wrong)?.is_some() {}
        if body.is_done() {
            return Ok(());
        }
        match fill(read, buffer).await {
            Ok(len) if len > 0 => {}
            _ => return Err(Fault::Broken),
        }
    }
}

/// Reads a whole body of at most `most` bytes.
///
/// # Errors
/// If it broke off, is not in the protocol or is longer.
pub(crate) async fn whole_body(wire: &mut Wire, head: &Response, most: usize) -> io::Result<Bytes> {
    let (mut read, _write) = wire.stream.split();
    let mut body = Body::new(head.framing);
    let mut bytes = BytesMut::new();
    loop {
        while let Some(part) = body.take(&mut wire.buffer).map_err(io::Error::other)? {
            bytes.extend_from_slice(&part);
            if bytes.len() > most {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
        }
        if body.is_done() {
            return Ok(bytes.freeze());
        }
        if fill(&mut read, &mut wire.buffer).await? == 0 {
            body.finish().map_err(io::Error::other)?;
        }
    }
}
