//! Sends a request to an endpoint and reads the head of its response.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use poplarvale_lib::NotSent;
use poplarvale_lib::http1::{
    Body, BodyError, Framing, Named, ReadError, Response, ResponsePart, ResponseReader,
    ResponseRules, contains_response, open_response,
};
use poplarvale_lib::relay::attempts::AttemptEnd;
use poplarvale_platform::{ResponseMeta, ResponsesTo, read_response_meta, states_not_run};
use tokio::io::AsyncWriteExt as _;

use super::buffered_stream::{BufferedStream, fill};
use super::held::Held;
use super::state::State;

/// Longest body that is copied behind its head. Longer ones are sent from where they lie, so that each
/// takes its memory once.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// How long a reset may follow the end of a response without a length that answers a long request. An
/// endpoint that gives up a request that it has not read ends its side of the connection before it closes
/// it.
const RESET_TIME: Duration = Duration::from_millis(500);

/// How long the rest of a head may take to arrive of which the begin may complete the body of the response before it.
const OPEN_HEAD_TIME: Duration = Duration::from_millis(100);
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Time for which a response is passed on before the deadline of its request.
const DELIVERY_TIME: Duration = Duration::from_millis(50);

/// Statuses that tell a caller that its request did not run and will not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

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
    NotSent(NotSent),
    /// The connection broke after a part of the request was sent.
    #[error("the connection broke")]
    Broken,
    /// Nothing was received in time.
    #[error("the endpoint sent nothing in time")]
    TimedOut,
    /// What was received is malformed or not a response to this request.
    #[error("the response is malformed or does not belong to this request")]
    Invalid,
    /// The response cannot be told from what else was received.
    #[error("no response was found, {0}")]
    Unread(#[from] ReadError),
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
            Self::NotSent(proof) => AttemptEnd::NotConnected(proof),
            Self::Broken => AttemptEnd::Broken,
            Self::TimedOut => AttemptEnd::TimedOut,
            Self::Invalid | Self::Unread(_) | Self::Unproven | Self::TooLong => AttemptEnd::Invalid,
        }
    }
}

/// Head of an endpoint's response.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) head: Response,
    /// What the endpoint states in its own fields of the head.
    pub(crate) meta: ResponseMeta,
    /// What was sent of the request by then. If it is a part, the connection cannot be reused: the
    /// endpoint would parse the rest of this request as a new one.
    pub(crate) sent: SentRequest,
    /// Whether all that was received before it were whole responses that name their requests. If not, more of that
    /// may follow.
    all_named: bool,
    /// Whether all that was received before it were whole responses, so that it is one.
    pub(crate) is_intact: bool,
    /// How many responses and parts of responses were skipped before it.
    pub(crate) skipped: usize,
}

impl EndpointResponse {
    /// Whether its status tells a caller that its request did not run and will not run.
    pub(crate) fn is_promise(&self) -> bool {
        PROMISES.contains(&self.head.status)
    }

    /// Handles the end of its connection, at which `ended` is set. It may be dropped and called again.
    ///
    /// # Errors
    /// If the body is not complete.
    pub(crate) async fn finish(
        &self,
        conn: &BufferedStream,
        body: &mut Body,
        ended: &mut Option<Instant>,
    ) -> Result<(), ExchangeError> {
        let ended = *ended.get_or_insert_with(Instant::now);
        finish(conn, self.head.framing, self.sent, body, ended).await
    }

    /// Whether its connection can serve a further request, once the body was read.
    pub(crate) fn is_reusable(&self, conn: &BufferedStream) -> bool {
        self.head.keep_alive && self.sent.is_whole && self.all_named && conn.buffer.is_empty()
    }
}

/// What was sent of a request when its response began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    /// Whether the whole request was sent.
    is_whole: bool,
    /// Whether its body is so long that an endpoint may respond before it has read it.
    is_long: bool,
    /// When its caller waits for the response no longer; `None` if the attempt ends then.
    deadline: Option<Instant>,
}

impl SentRequest {
    /// Until when a reset may follow the end of a response without a length.
    fn reset_until(self, ended: Instant) -> Instant {
        let until = ended + RESET_TIME;
        let last = self.deadline.and_then(|at| at.checked_sub(DELIVERY_TIME));
        last.map_or(until, |last| last.min(until))
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
/// on at the same time. What belongs to no request in progress is skipped: late second responses to earlier
/// requests, recognized by their request id, responses without one, and bytes that are no whole response.
pub(crate) async fn exchange(
    state: &State,
    conn: &mut BufferedStream,
    request: &Outgoing,
    (id, deadline): (&str, Instant),
) -> Result<EndpointResponse, ExchangeError> {
    let mut sending = Sending::new(conn, request);
    let mut skipped = 0;
    let mut all_named = true;
    loop {
        let part = sending.next(&ResponsesTo(id)).await;
        match part.inspect_err(|error| record_unread(state, id, *error))? {
            ResponsePart::Own(response) => {
                return Ok(EndpointResponse {
                    meta: read_response_meta(&response),
                    is_intact: response.is_intact(),
                    head: response.into_head(),
                    sent: sending.sent(Some(deadline)),
                    all_named,
                    skipped,
                });
            }
            ResponsePart::Stray(head, named) => {
                record_stray(state, id, &head, named);
                all_named &= named != Named::Nothing;
            }
            ResponsePart::Fragment(bytes) => {
                record_fragment(state, id, bytes);
                all_named = false;
            }
        }
        skipped += 1;
    }
}

/// A request that is sent while what comes back is read.
#[derive(Debug)]
pub(crate) struct Sending<'r> {
    conn: &'r mut BufferedStream,
    request: &'r Outgoing,
    written: usize,
    reader: ResponseReader,
}

impl<'r> Sending<'r> {
    /// Begins to send a request; what is in the buffer of the connection was received before.
    pub(crate) fn new(conn: &'r mut BufferedStream, request: &'r Outgoing) -> Self {
        Self {
            conn,
            request,
            written: 0,
            reader: ResponseReader::default(),
        }
    }

    /// What was sent of the request so far; its caller waits until `deadline`, if that is known.
    pub(crate) fn sent(&self, deadline: Option<Instant>) -> SentRequest {
        SentRequest {
            deadline,
            is_whole: self.written == self.request.len(),
            is_long: !self.request.body.is_empty(),
        }
    }

    /// Reads the next response, or part of one, and sends more of the request until then.
    pub(crate) async fn next(
        &mut self,
        rules: &impl ResponseRules,
    ) -> Result<ResponsePart, ExchangeError> {
        let (mut read, mut write) = self.conn.stream.split();
        let buffer = &mut self.conn.buffer;
        loop {
            if let Some(part) = self.reader.next(buffer, rules)? {
                return Ok(part);
            }
            let rest = self.request.rest(self.written);
            tokio::select! {
                // What is received before the first byte was sent is no response to it.
                biased;
                more = write.write(rest), if !rest.is_empty() => match more {
                    Ok(len) if len > 0 => self.written += len,
                    _ => return Err(broken(self.written)),
                },
                more = fill(&mut read, buffer) => match more {
                    Ok(len) if len > 0 && self.written > 0 => {}
                    _ => return Err(broken(self.written)),
                },
            }
        }
    }
}

/// Why an exchange ended whose connection cannot be used after so many bytes of the request were written.
fn broken(written: usize) -> ExchangeError {
    NotSent::after(written).map_or(ExchangeError::Broken, ExchangeError::NotSent)
}

/// Records that a response was skipped that does not belong to the request with this id.
fn record_stray(state: &State, id: &str, head: &Response, named: Named) {
    let kind = match named {
        Named::Nothing => "no id",
        Named::Expected | Named::Other => "other id",
    };
    state.measure(|metrics| metrics.record_stray(kind));
    log::info!(
        request = id, status = head.status, not_run = states_not_run(head);
        "wire: skipped a response to no request in progress, with {kind}."
    );
}

/// Records that bytes were skipped that are no whole response.
fn record_fragment(state: &State, id: &str, bytes: usize) {
    state.measure(|metrics| metrics.record_stray("broken off"));
    log::info!(request = id, bytes; "wire: skipped a response that breaks off.");
}

/// Records that the response to a request cannot be told from what else was received.
fn record_unread(state: &State, id: &str, error: ExchangeError) {
    if let ExchangeError::Unread(error) = error {
        state.measure(|metrics| metrics.record_stray("not told apart"));
        log::info!(request = id; "wire: found no response, {error}.");
    }
}

/// Reads the complete body of a response to the request with this id; `memory` bounds its length.
///
/// # Errors
/// If the connection ends before the body does, or the body is malformed, completed by another response or too long.
pub(crate) async fn read_body(
    conn: &mut BufferedStream,
    response: &EndpointResponse,
    id: &str,
    memory: Held,
) -> Result<Bytes, ExchangeError> {
    let framing = response.head.framing;
    let body = read_framed(conn, framing, response.sent, memory).await?;
    // The ends of chunks show by themselves that no other bytes stand in them.
    if framing != Framing::Chunked && ends_in_response(conn, &body, id).await {
        return Err(ExchangeError::Invalid);
    }
    Ok(body)
}

/// Whether a body is not whole, as another response completes it. Waits for the rest of its head, if that has not
/// arrived.
async fn ends_in_response(conn: &mut BufferedStream, body: &Bytes, id: &str) -> bool {
    let until = Instant::now() + OPEN_HEAD_TIME;
    let rules = ResponsesTo(id);
    loop {
        if contains_response(body, &conn.buffer, &rules) {
            return true;
        }
        let Some(len) = open_response(body, &conn.buffer) else {
            return false;
        };
        let (mut read, _write) = conn.stream.split();
        let more = fill(&mut read, &mut conn.buffer);
        match tokio::time::timeout_at(until.into(), more).await {
            Ok(Ok(more)) if more > 0 => {}
            // The body may speak of a response, but has no field by which only the endpoint tells what it sends.
            _ => {
                let begin = &body[body.len() - len..];
                let head = complete_head([begin, &conn.buffer].concat());
                return contains_response(&head, &[], &rules);
            }
        }
    }
}

/// Ends a head that was cut. A field of which only a part of the name was received is left out.
fn complete_head(mut head: Vec<u8>) -> Vec<u8> {
    let last = head.iter().rposition(|byte| *byte == b'\n');
    if let Some(last) = last
        && !head[last..].contains(&b':')
    {
        head.truncate(last + 1);
    }
    head.extend_from_slice(HEAD_END);
    head
}

/// Reads a body to the end that its framing states; `memory` bounds its length.
///
/// # Errors
/// If the connection ends before the body does, or the body is malformed or too long.
pub(crate) async fn read_framed(
    conn: &mut BufferedStream,
    framing: Framing,
    sent: SentRequest,
    mut memory: Held,
) -> Result<Bytes, ExchangeError> {
    let mut body = Body::new(framing);
    let mut bytes = BytesMut::new();
    loop {
        loop {
            let part = match body.take(&mut conn.buffer) {
                Ok(Some(part)) => part,
                Ok(None) => break,
                // All data was received; the bytes that follow stay in the buffer.
                Err(BodyError::Trailer) => return Ok(bytes.freeze()),
                Err(_) => return Err(ExchangeError::Invalid),
            };
            let len = bytes.len() + part.len();
            memory.set(len).map_err(|_error| ExchangeError::TooLong)?;
            bytes.extend_from_slice(&part);
        }
        if body.is_done() {
            return Ok(bytes.freeze());
        }
        let (mut read, _write) = conn.stream.split();
        let more = fill(&mut read, &mut conn.buffer).await;
        if more.map_err(|_error| ExchangeError::Broken)? == 0 {
            finish(conn, framing, sent, &mut body, Instant::now()).await?;
        }
    }
}

/// Handles the end of the connection of a response, which came at `ended`.
///
/// A body without a length ends with the connection. If the endpoint had not received the whole request by then, it has
/// given up, and the body may be a part: the reset that tells so follows the end of what it sent. The same holds if its
/// host had received the request and the endpoint did not read it.
async fn finish(
    conn: &BufferedStream,
    framing: Framing,
    sent: SentRequest,
    body: &mut Body,
    ended: Instant,
) -> Result<(), ExchangeError> {
    let is_whole = match framing {
        Framing::Close if !sent.is_whole || !conn.is_received() => false,
        Framing::Close if sent.is_long => !conn.is_reset_until(sent.reset_until(ended)).await,
        _ => true,
    };
    if !is_whole {
        return Err(ExchangeError::Broken);
    }
    body.finish().map_err(|_error| ExchangeError::Broken)
}
