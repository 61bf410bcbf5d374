//! Passes a stream of events on to a caller.

use std::io;
use std::time::Duration;

use bytes::{BufMut as _, BytesMut};
use poplarvale_lib::http1::{Body, Framing};
use poplarvale_lib::relay::sse::Events;
use poplarvale_platform::response_head;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::WriteHalf;
use tokio::time::{Instant, timeout_at};

use super::exchange::Answer;
use super::wire::{Wire, fill};

/// What a caller has of its stream so far.
#[derive(Debug)]
pub(crate) struct Passed {
    /// Whether the head is out; it is that of the first endpoint.
    pub(crate) begun: bool,
    /// Events that are out.
    pub(crate) events: Events,
    /// Whether the caller keeps its connection for more requests.
    pub(crate) keep: bool,
}

impl Passed {
    /// Nothing is out yet; the stream goes on after an event that the caller has.
    pub(crate) fn nothing(after: Option<u64>, keep: bool) -> Self {
        Self {
            begun: false,
            events: Events::after(after),
            keep,
        }
    }
}

/// How long an endpoint may be silent before the request is moved, if it can be.
///
/// Silence alone is no reason to end an answer: an endpoint that is only slow would
/// still have given it. So silence ends an exchange only if the request may be
/// repeated, another endpoint has room and a repeat is left, which `moves` tells
/// and then holds in reserve.
pub(crate) struct Patience<'m> {
    /// When the first event should have come.
    pub(crate) first: Instant,
    /// Longest usual pause between events afterwards.
    pub(crate) pause: Duration,
    /// When the request ends in any case.
    pub(crate) deadline: Instant,
    /// Whether the request can be moved now.
    pub(crate) moves: &'m mut dyn FnMut() -> bool,
}

impl Patience<'_> {
    /// Waits for something that an endpoint does; `None` if the endpoint was silent
    /// for too long.
    pub(crate) async fn wait<T>(
        &mut self,
        first: bool,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut work = std::pin::pin!(work);
        let mut until = if first {
            self.first
        } else {
            Instant::now() + self.pause
        };
        loop {
            let done = timeout_at(until.min(self.deadline), &mut work).await;
            if let Ok(done) = done {
                return Some(done);
            }
            if Instant::now() >= self.deadline || (self.moves)() {
                return None;
            }
            until = Instant::now() + self.pause;
        }
    }
}

/// How a stream ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The endpoint's answer is out to its end.
    Whole,
    /// The endpoint broke off, fell silent or sent what is no stream.
    Broken,
    /// The caller takes nothing more.
    CallerGone,
}

/// Passes an endpoint's stream on, whole events only. `began` is called at the
/// first event.
pub(crate) async fn pass_on(
    wire: &mut Wire,
    answer: &Answer,
    passed: &mut Passed,
    write: &mut WriteHalf<'_>,
    patience: &mut Patience<'_>,
    mut began: impl FnMut(),
) -> StreamEnd {
    let (mut read, _write) = wire.stream.split();
    let mut body = Body::new(answer.head.framing);
    let first = passed.events.count();
    loop {
        let mut out = BytesMut::new();
        loop {
            match body.take(&mut wire.buffer) {
                Ok(None) => break,
                Err(_) => return StreamEnd::Broken,
                Ok(Some(part)) => match passed.events.push(&part) {
                    Ok(events) => out.put_slice(&events),
                    Err(error) => {
                        log::warn!("stream: dropped, {error}.");
                        return StreamEnd::Broken;
                    }
                },
            }
        }
        let done = body.is_done();
        if done && passed.events.has_partial() {
            return StreamEnd::Broken;
        }
        if passed.events.count() > first {
            began();
        }
        if !out.is_empty() || done {
            let sent = send(write, answer, passed, &out, done);
            match timeout_at(patience.deadline, sent).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return StreamEnd::CallerGone,
            }
        }
        if done {
            return StreamEnd::Whole;
        }
        let is_first = passed.events.count() == first;
        let more = fill(&mut read, &mut wire.buffer);
        match patience.wait(is_first, more).await {
            Some(Ok(0)) if body.finish().is_ok() => {}
            Some(Ok(len)) if len > 0 => {}
            _ => return StreamEnd::Broken,
        }
    }
}

/// Sends events as one chunk, with the head before the first and the empty chunk
/// after the last.
async fn send(
    write: &mut WriteHalf<'_>,
    answer: &Answer,
    passed: &mut Passed,
    events: &[u8],
    done: bool,
) -> io::Result<()> {
    let mut out = BytesMut::new();
    if !passed.begun {
        out = response_head(&answer.head, Framing::Chunked, passed.keep);
        passed.begun = true;
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
