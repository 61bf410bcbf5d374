//! Sends a request to an endpoint and reads the head of its response.

use bytes::{Bytes, BytesMut};
use poplarvale_lib::http1::{Body, Response, find_status_line};
use poplarvale_lib::relay::attempts::AttemptEnd;
use poplarvale_platform::{Named, ResponseMeta, read_response_meta};
use tokio::io::AsyncWriteExt as _;

use super::buffered_stream::{BufferedStream, fill};
use super::held::Held;
use super::state::State;

/// Responses to earlier requests that are skipped before the connection is abandoned.
const MAX_STRAY_RESPONSES: usize = 3;
/// Bytes of a response to an earlier request that are skipped.
const MAX_SKIPPED_BYTES: usize = 256 * 1024;
/// Longest body that is copied behind its head. Longer ones are sent from where they lie, so that each
/// takes its memory once.
const MAX_COPIED_BYTES: usize = 16 * 1024;
/// Informational responses that are skipped before the connection is abandoned.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Status of a response whose body is a stream.
pub(crate) const OK: u16 = 200;
/// Status with which a daemon rejects a request by the allowance of its team.
pub(crate) const TOO_MANY_REQUESTS: u16 = 429;
/// Status with which an endpoint or a daemon rejects a request for want of room.
pub(crate) const UNAVAILABLE: u16 = 503;
/// Lowest status of a response that counts as a failure of the endpoint.
pub(crate) const SERVER_ERROR: u16 = 500;

/// Why an endpoint gave no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No byte was sent to the endpoint.
    #[error("nothing was sent")]
    NotSent,
    /// The connection broke after a part of the request was sent.
    #[error("the connection broke")]
    Broken,
    /// Nothing was received in time.
    #[error("the endpoint sent nothing in time")]
    TimedOut,
    /// What was received is malformed or not a response to this request.
    #[error("the response is malformed or does not belong to this request")]
    Invalid,
    /// The status tells callers that the request did not run, but the endpoint does not state so.
    #[error("its status would promise that the request did not run, which it does not state")]
    Unproven,
    /// More was received than can be held.
    #[error("the response is longer than allowed")]
    TooLong,
}

impl ExchangeError {
    /// How the attempt ended.
    pub(crate) fn end(self) -> AttemptEnd {
        match self {
            Self::NotSent => AttemptEnd::NotConnected,
            Self::Broken => AttemptEnd::Broken,
            Self::TimedOut => AttemptEnd::TimedOut,
            Self::Invalid | Self::Unproven | Self::TooLong => AttemptEnd::Invalid,
        }
    }
}

/// Head of an endpoint's response.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) head: Response,
    /// What the endpoint states in its own fields of the head.
    pub(crate) meta: ResponseMeta,
    /// Whether the whole request was sent by then. If not, the connection cannot be reused: the
    /// endpoint would parse the rest of this request as a new one.
    pub(crate) request_sent: bool,
    /// Whether all responses before it named their requests. If one did not, further ones like it may
    /// follow.
    pub(crate) all_named: bool,
    /// How many responses were skipped before it.
    pub(crate) skipped: usize,
    /// Whether a second status line stands in its head, so that it may consist of two.
    pub(crate) has_second_status: bool,
}

impl EndpointResponse {
    /// Whether its connection can serve a further request, once the body was read.
    pub(crate) fn is_reusable(&self, conn: &BufferedStream) -> bool {
        self.head.keep_alive && self.request_sent && self.all_named && conn.buffer.is_empty()
    }
}

/// A request as it is sent.
#[derive(Debug)]
pub(crate) struct Outgoing {
    /// Head, with a short body behind it.
    head: Bytes,
    /// Long body.
    body: Bytes,
}

impl Outgoing {
    /// Joins a head and a body.
    pub(crate) fn new(mut head: BytesMut, body: &Bytes) -> Self {
        let is_short = body.len() <= MAX_COPIED_BYTES;
        if is_short {
            head.extend_from_slice(body);
        }
        Self {
            head: head.freeze(),
            body: if is_short { Bytes::new() } else { body.clone() },
        }
    }

    fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// What is to be sent next once so many bytes were written.
    fn rest(&self, written: usize) -> &[u8] {
        match written.checked_sub(self.head.len()) {
            Some(written) => &self.body[written..],
            None => &self.head[written..],
        }
    }
}

/// Sends a request and reads the head of its response.
///
/// An endpoint may respond before it has read all of a long request, so writing and reading go
/// on at the same time. Late second responses to earlier requests are recognized by their request
/// id and skipped, and so are responses without one: nothing shows which request they belong to, so
/// none may be concluded to have been rejected.
pub(crate) async fn exchange(
    state: &State,
    conn: &mut BufferedStream,
    request: &Outgoing,
    id: &str,
) -> Result<EndpointResponse, ExchangeError> {
    let (mut read, mut write) = conn.stream.split();
    let buffer = &mut conn.buffer;
    let mut written = 0;
    let (mut stray_responses, mut interim_responses) = (0, 0);
    let mut all_named = true;
    loop {
        loop {
            let second_status = find_status_line(buffer, 1);
            let before = buffer.len();
            let taken = Response::take(buffer).map_err(|_error| ExchangeError::Invalid)?;
            let Some(head) = taken else {
                break;
            };
            let has_second_status = second_status.is_some_and(|at| at < before - buffer.len());
            if (100..200).contains(&head.status) {
                interim_responses += 1;
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(ExchangeError::Invalid);
                }
                continue;
            }
            let meta = read_response_meta(&head, id);
            if meta.named == Named::Expected {
                let request_sent = written == request.len();
                return Ok(EndpointResponse {
                    head,
                    meta,
                    request_sent,
                    all_named,
                    skipped: stray_responses,
                    has_second_status,
                });
            }
            record_stray(state, id, &head, &meta);
            all_named &= meta.named != Named::Nothing;
            stray_responses += 1;
            if stray_responses > MAX_STRAY_RESPONSES {
                return Err(ExchangeError::Invalid);
            }
            skip_body(&mut read, buffer, &head).await?;
        }
        tokio::select! {
            more = write.write(request.rest(written)), if written < request.len() => match more {
                Ok(len) if len > 0 => written += len,
                _ if written == 0 => return Err(ExchangeError::NotSent),
                _ => return Err(ExchangeError::Broken),
            },
            more = fill(&mut read, buffer) => match more {
                Ok(len) if len > 0 => {}
                _ if written == 0 => return Err(ExchangeError::NotSent),
                _ => return Err(ExchangeError::Broken),
            },
        }
    }
}

/// Records that a response was skipped that does not belong to the request with this id.
fn record_stray(state: &State, id: &str, head: &Response, meta: &ResponseMeta) {
    let kind = match meta.named {
        Named::Nothing => "no id",
        Named::Expected | Named::Other => "other id",
    };
    state.measure(|metrics| metrics.record_stray(kind));
    log::info!(
        request = id, status = head.status, not_run = meta.not_run, sealed = meta.sealed;
        "wire: skipped a response to no request in progress, with {kind}."
    );
}

/// Reads and discards the rest of a response to an earlier request.
async fn skip_body(
    read: &mut tokio::net::tcp::ReadHalf<'_>,
    buffer: &mut BytesMut,
    head: &Response,
) -> Result<(), ExchangeError> {
    let mut body = Body::new(head.framing);
    let mut skipped = 0;
    loop {
        while let Some(part) = body.take(buffer).map_err(|_error| ExchangeError::Invalid)? {
            skipped += part.len();
        }
        if skipped > MAX_SKIPPED_BYTES {
            return Err(ExchangeError::Invalid);
        }
        if body.is_done() {
            return Ok(());
        }
        match fill(read, buffer).await {
            Ok(len) if len > 0 => {}
            _ => return Err(ExchangeError::Broken),
        }
    }
}

/// Reads a complete body; `memory` bounds its length.
///
/// # Errors
/// If the connection ends before the body does, or the body is malformed or too long.
pub(crate) async fn read_body(
    conn: &mut BufferedStream,
    head: &Response,
    mut memory: Held,
) -> Result<Bytes, ExchangeError> {
    let (mut read, _write) = conn.stream.split();
    let mut body = Body::new(head.framing);
    let mut bytes = BytesMut::new();
    loop {
        while let Some(part) = body
            .take(&mut conn.buffer)
            .map_err(|_error| ExchangeError::Invalid)?
        {
            let len = bytes.len() + part.len();
            memory.set(len).map_err(|_error| ExchangeError::TooLong)?;
            bytes.extend_from_slice(&part);
        }
        if body.is_done() {
            return Ok(bytes.freeze());
        }
        let more = fill(&mut read, &mut conn.buffer).await;
        if more.map_err(|_error| ExchangeError::Broken)? == 0 {
            body.finish().map_err(|_error| ExchangeError::Broken)?;
        }
    }
}
