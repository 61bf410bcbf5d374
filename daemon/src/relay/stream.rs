//! Forwards a stream of events from an endpoint to a caller.
//!
//! If the endpoint fails or stalls, another one can resume the stream. So only complete events are
//! forwarded, and an endpoint that sends nothing is abandoned only if another one can take over.

use std::io;
use std::time::Duration;

use bytes::{BufMut as _, BytesMut};
use poplarvale_lib::http1::{Body, Framing};
use poplarvale_lib::relay::sse::Events;
use poplarvale_platform::response_head;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::WriteHalf;
use tokio::time::{Instant, timeout_at};

use super::buffered_stream::{BufferedStream, fill};
use super::exchange::EndpointResponse;
use super::progress::Loss;

/// What was sent to a caller of its stream so far.
#[derive(Debug)]
pub(crate) struct Forwarded {
    /// Whether the head was sent. It is that of the first endpoint that responded.
    pub(crate) head_sent: bool,
    /// Events that were sent.
    pub(crate) events: Events,
    /// Whether the caller's connection is kept for more requests.
    pub(crate) keep: bool,
}

impl Forwarded {
    /// Nothing was sent yet. The stream starts after the last event that the caller already has.
    pub(crate) fn new(last_event: Option<u64>, keep: bool) -> Self {
        Self {
            head_sent: false,
            events: Events::after(last_event),
            keep,
        }
    }
}

/// How long an endpoint may send nothing before the request is moved to another one.
///
/// A stall alone does not end an attempt: an endpoint that is only slow would still complete its
/// response. So an attempt ends only if the request may be retried, another endpoint has room and
/// the retry budget allows it. `try_move` checks that and reserves the retry.
pub(crate) struct StallTimeout<'m> {
    /// When the first event is overdue.
    pub(crate) first_event: Instant,
    /// Pause after a later event from which on the stream counts as stalled.
    pub(crate) pause: Duration,
    /// When the request ends in any case.
    pub(crate) deadline: Instant,
    /// Whether the request can be moved now; if so, its retry is reserved.
    pub(crate) try_move: &'m mut dyn FnMut() -> bool,
}

impl StallTimeout<'_> {
    /// Waits for `work` by an endpoint; `None` if it took too long. `first` tells whether the first
    /// event or response is still awaited.
    pub(crate) async fn wait<T>(
        &mut self,
        first: bool,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut work = std::pin::pin!(work);
        let mut until = if first {
            self.first_event
        } else {
            Instant::now() + self.pause
        };
        loop {
            let done = timeout_at(until.min(self.deadline), &mut work).await;
            if let Ok(done) = done {
                return Some(done);
            }
            if Instant::now() >= self.deadline || (self.try_move)() {
                return None;
            }
            until = Instant::now() + self.pause;
        }
    }
}

/// How a stream ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The complete stream was sent to the caller.
    Complete,
    /// The endpoint's connection broke, or it stalled or sent an invalid stream.
    Broken,
    /// The caller accepts no more data.
    CallerGone(Loss),
}

/// Forwards an endpoint's stream, complete events only. `on_event` is called when the first event
/// was received, and again for data after it.
pub(crate) async fn forward_stream(
    conn: &mut BufferedStream,
    response: &EndpointResponse,
    forwarded: &mut Forwarded,
    write: &mut WriteHalf<'_>,
    stall: &mut StallTimeout<'_>,
    mut on_event: impl FnMut(),
) -> StreamEnd {
    let (mut read, _write) = conn.stream.split();
    let mut body = Body::new(response.head.framing);
    let count_before = forwarded.events.count();
    loop {
        let mut out = BytesMut::new();
        loop {
            match body.take(&mut conn.buffer) {
                Ok(None) => break,
                Err(_) => return StreamEnd::Broken,
                Ok(Some(part)) => match forwarded.events.push(&part) {
                    Ok(events) => out.put_slice(&events),
                    Err(error) => {
                        log::warn!(
                            "stream: invalid stream from the endpoint, {error}; attempt ended."
                        );
                        return StreamEnd::Broken;
                    }
                },
            }
        }
        let done = body.is_done();
        if done && forwarded.events.has_partial() {
            return StreamEnd::Broken;
        }
        if forwarded.events.count() > count_before {
            on_event();
        }
        if !out.is_empty() || done {
            let sent = write_events(write, response, forwarded, &out, done);
            match timeout_at(stall.deadline, sent).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return StreamEnd::CallerGone(Loss::Disconnected),
                Err(_) => return StreamEnd::CallerGone(Loss::NotRead),
            }
        }
        if done {
            return StreamEnd::Complete;
        }
        let is_first = forwarded.events.count() == count_before;
        let more = fill(&mut read, &mut conn.buffer);
        match stall.wait(is_first, more).await {
            Some(Ok(0)) if body.finish().is_ok() => {}
            Some(Ok(len)) if len > 0 => {}
            _ => return StreamEnd::Broken,
        }
    }
}

/// Writes events to the caller as one chunk, with the head before the first one and the empty
/// chunk after the last one.
async fn write_events(
    write: &mut WriteHalf<'_>,
    response: &EndpointResponse,
    forwarded: &mut Forwarded,
    events: &[u8],
    done: bool,
) -> io::Result<()> {
    let mut out = BytesMut::new();
    if !forwarded.head_sent {
        out = response_head(&response.head, Framing::Chunked, forwarded.keep);
        forwarded.head_sent = true;
    }
    if !events.is_empty() {
        let size = compact_str::format_compact!("{:x}\r\n", events.len());
        out.put_slice(size.as_bytes());
        out.put_slice(events);
        out.put_slice(b"\r\n");
    }
    if done {
        out.put_slice(b"0\r\n\r\n");
    }
    write.write_all(&out).await
}
