//! Connections of callers.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use poplarvale_lib::http1::{Body, Framing, HeadError, Request};
use poplarvale_lib::relay::catalog::CallerLimits;
use poplarvale_lib::{Code, Ran};
use poplarvale_platform::{read_ask, refusal};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, timeout_at};

use super::serve::{After, serve};
use super::state::State;
use super::wire::fill;

/// Bytes of further requests that are read while one is served.
const AHEAD: usize = 64 * 1024;
/// How long a body may take for each megabyte, beside the head's limit.
const BODY: Duration = Duration::from_secs(10);
/// How long bytes are read after a refusal.
const LINGER: Duration = Duration::from_millis(300);
/// How long after SIGTERM an idle connection stays open: the balancer sends nobody
/// new after two seconds, and a caller that sends something meanwhile is served.
const IDLE_END: Duration = Duration::from_millis(2500);

/// Serves a caller's connection to its end.
pub(crate) async fn serve_caller(state: Rc<State>, mut stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller: no-delay not set, {error}.");
    }
    let (mut read, mut write) = stream.split();
    let mut buffer = BytesMut::new();
    loop {
        match next(&state, &mut read, &mut write, &mut buffer).await {
            Some(After::Keep) => {}
            Some(After::Close) | None => return,
        }
    }
}

/// Reads a request and serves it; `None` if there is none.
async fn next(
    state: &Rc<State>,
    read: &mut ReadHalf<'_>,
    write: &mut WriteHalf<'_>,
    buffer: &mut BytesMut,
) -> Option<After> {
    let limits = limits(state);
    let request = match read_head(state, read, buffer, &limits).await? {
        Ok(request) => request,
        Err(code) => return Some(reject(read, write, code, None).await),
    };
    let arrived = Instant::now();
    let ask = match read_ask(&request) {
        Ok(ask) => ask,
        Err(error) => {
            log::info!("caller: request refused, {error}.");
            return Some(reject(read, write, Code::BadBody, None).await);
        }
    };
    if request.fields.lists("expect", "100-continue") {
        write
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .ok()?;
    }
    let body = match read_body(read, buffer, request.framing, &limits).await? {
        Ok(body) => body,
        Err(code) => return Some(reject(read, write, code, Some(&ask.id)).await),
    };
    tokio::select! {
        biased;
        after = serve(state, &request, &body, &ask, arrived, write) => Some(after),
        () = left(read, buffer) => {
            log::info!(
                request = ask.id.as_str(), after_ms = arrived.elapsed().as_millis() as u64;
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

/// Reads a request's head. `None` if the connection ends or stays idle.
async fn read_head(
    state: &State,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    limits: &CallerLimits,
) -> Option<Result<Request, Code>> {
    let begun = Instant::now();
    let mut slow = None;
    loop {
        match Request::take(buffer, limits.head) {
            Ok(Some(request)) => return Some(Ok(request)),
            Ok(None) => {}
            Err(HeadError::TooLarge) => return Some(Err(Code::LargeHead)),
            Err(HeadError::Malformed | HeadError::Framing) => return Some(Err(Code::BadBody)),
        }
        if !buffer.is_empty() && slow.is_none() {
            slow = Some(Instant::now() + limits.slow);
        }
        let until = slow.unwrap_or_else(|| idle_end(state, begun, limits));
        tokio::select! {
            more = timeout_at(until, fill(read, buffer)) => match more {
                Ok(Ok(len)) if len > 0 => {}
                Err(_) if slow.is_some() => return Some(Err(Code::SlowBody)),
                _ => return None,
            },
            // The limit is sooner once the daemon is told to end.
            () = state.told.notified() => {}
        }
    }
}

fn idle_end(state: &State, begun: Instant, limits: &CallerLimits) -> Instant {
    let idle = begun + limits.idle;
    match state.ending.get() {
        Some(told) => idle.min(Instant::from_std(told) + IDLE_END),
        None => idle,
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
        && length > limits.body as u64
    {
        return Some(Err(Code::LargeBody));
    }
    let until = Instant::now() + limits.slow + BODY;
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
            if bytes.len() > limits.body {
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

/// Refuses what cannot be understood; where the next request begins is not known,
/// so the connection ends.
async fn reject(
    read: &mut ReadHalf<'_>,
    write: &mut WriteHalf<'_>,
    code: Code,
    id: Option<&str>,
) -> After {
    let out = refusal(code, Ran::No, id, None, false);
    if let Err(error) = write.write_all(&out).await {
        log::debug!("caller: refusal not sent, {error}.");
    } else if write.shutdown().await.is_ok() {
        linger(read).await;
    }
    After::Close
}

/// Reads on for a moment after a refusal: closing a connection with unread bytes
/// resets it, and the caller might lose the refusal.
async fn linger(read: &mut ReadHalf<'_>) {
    let until = Instant::now() + LINGER;
    let mut buffer = BytesMut::new();
    while let Ok(Ok(len)) = timeout_at(until, fill(read, &mut buffer)).await {
        if len == 0 {
            return;
        }
        buffer.clear();
    }
}
