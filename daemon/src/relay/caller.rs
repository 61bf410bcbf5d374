//! Connections from callers: reads requests, has each served, and notices when the caller
//! disconnects.

use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use poplarvale_lib::http1::{Body, Framing, HeadError, Request};
use poplarvale_lib::relay::catalog::CallerLimits;
use poplarvale_lib::relay::request::Origin;
use poplarvale_lib::{Code, Ran};
use poplarvale_platform::{read_request_head, rejection_response};
use socket2::SockRef;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, timeout_at};

use super::buffered_stream::fill;
use super::catalog::source::{TARGET as CONFIG_TARGET, serve_config};
use super::held::Held;
use super::serve::{Connection, RETRY_SOON, Received, serve};
use super::state::{ActiveRequest, State};

/// Limit for bytes that are read ahead from a connection while a request is served.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// How long reading a body may take, in addition to the timeout for the head.
const BODY_TIME: Duration = Duration::from_secs(10);
/// How long the body of a rejected request is still read.
const DISCARD_TIME: Duration = Duration::from_secs(5);
/// How long a connection is still read after its last answer, before it is closed.
const LINGER_TIME: Duration = Duration::from_millis(300);

/// Serves the requests of a caller's connection until it is closed.
pub(crate) async fn serve_caller(state: Rc<State>, stream: TcpStream) {
    serve_connection(state, stream, Origin::Caller).await;
}

/// Serves the requests that another daemon forwards on a connection, until it is closed.
pub(crate) async fn serve_daemon(state: Rc<State>, stream: TcpStream) {
    serve_connection(state, stream, Origin::Daemon).await;
}

async fn serve_connection(state: Rc<State>, mut stream: TcpStream, origin: Origin) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller: setting TCP_NODELAY failed, {error}; serving without it.");
    }
    let (mut read, mut write) = stream.split();
    let mut buffer = BytesMut::new();
    loop {
        let idle_since = Instant::now();
        if !await_request(&state, &mut read, &mut buffer, idle_since).await {
            return;
        }
        // A request counts from its first byte, so a daemon that shuts down also waits for one
        // that is still being read.
        let _active = ActiveRequest::new(&state);
        match serve_next(&state, &mut read, &mut write, &mut buffer, origin).await {
            Some(Connection::KeepAlive) => {}
            Some(Connection::Close) => return close(read, write).await,
            None => return,
        }
    }
}

/// Waits for the first byte of a request; returns `false` if the connection ends or was idle for
/// too long.
async fn await_request(
    state: &State,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    idle_since: Instant,
) -> bool {
    while buffer.is_empty() {
        let limit = limits(state).idle_timeout;
        let until = state.phase().idle_deadline(idle_since.into_std(), limit);
        tokio::select! {
            biased;
            more = timeout_at(until.into(), fill(read, buffer)) => match more {
                Ok(Ok(len)) if len > 0 => {}
                _ => return false,
            },
            // The deadline is earlier once the daemon shuts down.
            () = state.phase_changed() => {}
        }
    }
    true
}

/// Reads a request and serves it; `None` if the connection ended.
async fn serve_next(
    state: &Rc<State>,
    read: &mut ReadHalf<'_>,
    write: &mut WriteHalf<'_>,
    buffer: &mut BytesMut,
    origin: Origin,
) -> Option<Connection> {
    let limits = limits(state);
    let mut memory = state.bodies.begin();
    let request = match read_head(state, read, buffer, &limits).await? {
        Ok(request) => request,
        Err(code) => return Some(reject(write, code, None).await),
    };
    if origin == Origin::Daemon && &*request.target == CONFIG_TARGET {
        let body = read_body(read, buffer, request.framing, &limits, &mut memory)
            .await?
            .ok()?;
        let is_sent = serve_config(state, &body, write).await;
        return is_sent.then_some(Connection::KeepAlive);
    }
    let arrived = Instant::now();
    let head = match read_request_head(&request) {
        Ok(head) => head,
        Err(error) => {
            log::info!("caller: rejected a request with an invalid head, {error}.");
            return Some(reject(write, Code::BadBody, None).await);
        }
    };
    if let Framing::Length(length) = request.framing
        && length <= limits.body_bytes as u64
        && memory.set(length as usize).is_err()
    {
        let connection = reject(write, no_memory(origin), Some(&head.id)).await;
        discard_body(state, read, buffer, request.framing).await;
        return Some(connection);
    }
    if request.fields.contains_token("expect", "100-continue") {
        write
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .ok()?;
    }
    let body = tokio::select! {
        biased;
        body = read_body(read, buffer, request.framing, &limits, &mut memory) => body?,
        () = state.until_closing() => Err(Code::Draining),
    };
    let body = match body {
        Ok(body) => body,
        Err(Code::NoMemory) => {
            return Some(reject(write, no_memory(origin), Some(&head.id)).await);
        }
        Err(code) => return Some(reject(write, code, Some(&head.id)).await),
    };
    // After a pause of this process, callers of requests that it reads may have left.
    if has_disconnected(read) {
        return None;
    }
    let received = Received {
        request: &request,
        body: &body,
        head: &head,
        arrived,
        origin,
    };
    tokio::select! {
        biased;
        // Its request is dropped, with all that was sent for it.
        () = until_disconnected(read, buffer) => None,
        connection = serve(state, &received, write) => Some(connection),
    }
}

/// Limits for callers of the current configuration, or the defaults before there is one.
fn limits(state: &State) -> CallerLimits {
    let catalog = state.catalog.borrow();
    catalog
        .as_ref()
        .map(|catalog| catalog.limits)
        .unwrap_or_default()
}

/// Reads the rest of a request's head. `None` if the connection ends.
async fn read_head(
    state: &State,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    limits: &CallerLimits,
) -> Option<Result<Request, Code>> {
    let slow = Instant::now() + limits.header_timeout;
    loop {
        match Request::take(buffer, limits.header_bytes) {
            Ok(Some(request)) => return Some(Ok(request)),
            Ok(None) => {}
            Err(HeadError::TooLarge) => return Some(Err(Code::LargeHead)),
            Err(HeadError::Malformed | HeadError::Framing | HeadError::Joined) => {
                return Some(Err(Code::BadBody));
            }
        }
        let until = state.phase().read_deadline(slow.into_std());
        tokio::select! {
            biased;
            more = timeout_at(until.into(), fill(read, buffer)) => match more {
                Ok(Ok(len)) if len > 0 => {}
                Ok(_) => return None,
                Err(_) if state.phase().is_closing() => return Some(Err(Code::Draining)),
                Err(_) => return Some(Err(Code::SlowBody)),
            },
            () = state.phase_changed() => {}
        }
    }
}

/// Code for a request whose body there is no memory for; a daemon forwards it elsewhere.
fn no_memory(origin: Origin) -> Code {
    match origin {
        Origin::Caller => Code::NoMemory,
        Origin::Daemon => Code::NotTaken,
    }
}

/// Reads the whole body of a request, whose bytes `memory` counts. `None` if the connection ends.
async fn read_body(
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    framing: Framing,
    limits: &CallerLimits,
    memory: &mut Held,
) -> Option<Result<Bytes, Code>> {
    // The whole body takes its memory once: a buffer that grows would have up to twice as much.
    let mut bytes = match framing {
        Framing::Length(length) if length > limits.body_bytes as u64 => {
            return Some(Err(Code::LargeBody));
        }
        Framing::Length(length) if length > buffer.len() as u64 => {
            BytesMut::with_capacity(length as usize)
        }
        _ => BytesMut::new(),
    };
    let until = Instant::now() + limits.header_timeout + BODY_TIME;
    let mut body = Body::new(framing);
    loop {
        loop {
            match body.take(buffer) {
                Ok(Some(part)) if bytes.is_empty() && body.is_done() => return Some(Ok(part)),
                Ok(Some(part)) => bytes.extend_from_slice(&part),
                Ok(None) => break,
                Err(_) => return Some(Err(Code::BadBody)),
            }
            if bytes.len() > limits.body_bytes {
                return Some(Err(Code::LargeBody));
            }
            if memory.grow(bytes.capacity()).is_err() {
                return Some(Err(Code::NoMemory));
            }
        }
        if body.is_done() {
            return Some(Ok(bytes.freeze()));
        }
        match timeout_at(until, fill(read, buffer)).await {
            Ok(Ok(len)) if len > 0 => {}
            Ok(_) => return None,
            Err(_) => return Some(Err(Code::SlowBody)),
        }
    }
}

/// Reads and drops a body that was rejected. If the connection were closed before its caller has sent
/// all, the rejection might be lost.
async fn discard_body(
    state: &State,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    framing: Framing,
) {
    let until = Instant::now() + DISCARD_TIME;
    let mut body = Body::new(framing);
    while !body.is_done() {
        while let Ok(Some(_dropped)) = body.take(buffer) {}
        let more = tokio::select! {
            more = timeout_at(until, fill(read, buffer)) => more,
            () = state.until_closing() => return,
        };
        if !matches!(more, Ok(Ok(len)) if len > 0) {
            return;
        }
    }
}

/// Whether the caller has closed its connection and sent nothing more before.
fn has_disconnected(read: &ReadHalf<'_>) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(read.as_ref()).peek(&mut byte) {
        Ok(len) => len == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Waits until the caller closes its connection. Bytes that it sends meanwhile stay in the buffer
/// for its next request; once the buffer is full, a disconnect is not noticed any more.
async fn until_disconnected(read: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < MAX_READ_AHEAD_BYTES {
        match fill(read, buffer).await {
            Ok(len) if len > 0 => {}
            _ => return,
        }
    }
    std::future::pending::<()>().await;
}

/// Rejects a request that is invalid or not read to its end, and has the connection closed, as
/// the start of the next request on it is not known.
async fn reject(write: &mut WriteHalf<'_>, code: Code, id: Option<&str>) -> Connection {
    let may_retry = [Code::Draining, Code::NoMemory].contains(&code);
    let retry_after = may_retry.then_some(RETRY_SOON);
    let out = rejection_response(code, Ran::No, id, retry_after, false);
    if let Err(error) = write.write_all(&out).await {
        log::debug!("caller: sending a rejection failed, {error}; closing the connection.");
    }
    Connection::Close
}

/// Closes a connection cleanly: shuts down its writing side, then reads on for
/// [`LINGER_TIME`]. Closing it with unread bytes would reset it, and the caller might lose an
/// answer that is still in transit.
async fn close(mut read: ReadHalf<'_>, mut write: WriteHalf<'_>) {
    if write.shutdown().await.is_err() {
        return;
    }
    let until = Instant::now() + LINGER_TIME;
    let mut buffer = BytesMut::new();
    while let Ok(Ok(len)) = timeout_at(until, fill(&mut read, &mut buffer)).await {
        if len == 0 {
            return;
        }
        buffer.clear();
    }
}
