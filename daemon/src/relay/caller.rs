//! Connections of callers.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use poplarvale_lib::http1::{Body, Framing, HeadError, Request};
use poplarvale_lib::relay::catalog::CallerLimits;
use poplarvale_lib::{Code, Ran};
use poplarvale_platform::{read_request_head, rejection_response};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, timeout_at};

use super::serve::{Connection, RETRY_SOON, serve};
use super::state::{ActiveRequest, State};
use super::wire::fill;

/// Bytes of further requests that are read while one is served.
const AHEAD: usize = 64 * 1024;
/// How long a body may take for each megabyte, beside the head's limit.
const BODY: Duration = Duration::from_secs(10);
/// How long bytes are read after the last answer of a connection.
const LINGER: Duration = Duration::from_millis(300);

/// Serves a caller's connection to its end.
pub(crate) async fn serve_caller(state: Rc<State>, mut stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller: no-delay not set, {error}.");
    }
    let (mut read, mut write) = stream.split();
    let mut buffer = BytesMut::new();
    loop {
        let idle = Instant::now();
        if !until_begun(&state, &mut read, &mut buffer, idle).await {
            return;
        }
        // Counted from its first byte: a daemon that ends waits for what is still read.
        let _active = ActiveRequest::new(&state);
        match next(&state, &mut read, &mut write, &mut buffer).await {
            Some(Connection::KeepAlive) => {}
            Some(Connection::Close) => return close(read, write).await,
            None => return,
        }
    }
}

/// Waits for the first byte of a request; `false` if the connection ends or was idle for
/// too long.
async fn until_begun(
    state: &State,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    idle: Instant,
) -> bool {
    while buffer.is_empty() {
        let limit = limits(state).idle_timeout;
        let until = state.phase().idle_deadline(idle.into_std(), limit);
        tokio::select! {
            biased;
            more = timeout_at(until.into(), fill(read, buffer)) => match more {
                Ok(Ok(len)) if len > 0 => {}
                _ => return false,
            },
            // The limit is sooner once the daemon is told to end.
            () = state.phase_changed() => {}
        }
    }
    true
}

/// Reads a request and serves it; `None` if the connection ended.
async fn next(
    state: &Rc<State>,
    read: &mut ReadHalf<'_>,
    write: &mut WriteHalf<'_>,
    buffer: &mut BytesMut,
) -> Option<Connection> {
    let limits = limits(state);
    let request = match read_head(state, read, buffer, &limits).await? {
        Ok(request) => request,
        Err(code) => return Some(reject(write, code, None).await),
    };
    let arrived = Instant::now();
    let head = match read_request_head(&request) {
        Ok(head) => head,
        Err(error) => {
            log::info!("caller: request refused, {error}.");
            return Some(reject(write, Code::BadBody, None).await);
        }
    };
    if request.fields.contains_token("expect", "100-continue") {
        write
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .ok()?;
    }
    let body = tokio::select! {
        biased;
        body = read_body(read, buffer, request.framing, &limits) => body?,
        () = state.until_closing() => Err(Code::Draining),
    };
    let body = match body {
        Ok(body) => body,
        Err(code) => return Some(reject(write, code, Some(&head.id)).await),
    };
    tokio::select! {
        biased;
        after = serve(state, &request, &body, &head, arrived, write) => Some(after),
        () = left(read, buffer) => {
            log::info!(
                request = head.id.as_str(), after_ms = arrived.elapsed().as_millis() as u64;
                "caller: left before its answer was out."
            );
            None
        }
    }
}

fn limits(state: &State) -> CallerLimits {
    let catalog = state.catalog.borrow();
    catalog
        .as_ref()
        .map(|catalog| catalog.limits)
        .unwrap_or_default()
}

/// Reads the head of a request that has begun. `None` if the connection ends.
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
            Err(HeadError::Malformed | HeadError::Framing) => return Some(Err(Code::BadBody)),
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

/// Reads a request's whole body. `None` if the connection ends.
async fn read_body(
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    framing: Framing,
    limits: &CallerLimits,
) -> Option<Result<Bytes, Code>> {
    if let Framing::Length(length) = framing
        && length > limits.body_bytes as u64
    {
        return Some(Err(Code::LargeBody));
    }
    let until = Instant::now() + limits.header_timeout + BODY;
    let mut body = Body::new(framing);
    let mut bytes = BytesMut::new();
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

/// Ends when the caller closes its connection. What it sends meanwhile is kept
/// for its next request.
async fn left(read: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < AHEAD {
        match fill(read, buffer).await {
            Ok(len) if len > 0 => {}
            _ => return,
        }
    }
    std::future::pending::<()>().await;
}

/// Refuses what cannot be understood, or is not read any further. Where the next request
/// begins is not known, so the connection ends.
async fn reject(write: &mut WriteHalf<'_>, code: Code, id: Option<&str>) -> Connection {
    let again = (code == Code::Draining).then_some(RETRY_SOON);
    let out = rejection_response(code, Ran::No, id, again, false);
    if let Err(error) = write.write_all(&out).await {
        log::debug!("caller: refusal not sent, {error}.");
    }
    Connection::Close
}

/// Closes a connection in order: says that nothing more is written, and reads on for a
/// moment. Closed with unread bytes it would be reset, and the caller might lose the
/// answer that is still on its way.
async fn close(mut read: ReadHalf<'_>, mut write: WriteHalf<'_>) {
    if write.shutdown().await.is_err() {
        return;
    }
    let until = Instant::now() + LINGER;
    let mut buffer = BytesMut::new();
    while let Ok(Ok(len)) = timeout_at(until, fill(&mut read, &mut buffer)).await {
        if len == 0 {
            return;
        }
        buffer.clear();
    }
}
