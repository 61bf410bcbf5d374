//! Streams of events from an endpoint to a caller.
//!
//! If the endpoint fails, or is silent until another one has begun to answer, that one continues
//! the stream. So only complete events are forwarded, and each attempt reads its own stream from
//! the event after the last one that the caller has.

use std::io;
use std::time::Instant;

use bytes::{BufMut as _, Bytes, BytesMut};
use compact_str::CompactString;
use poplarvale_lib::http1::{Body, BodyError, Framing, contains_response};
use poplarvale_lib::relay::sse::Events;
use poplarvale_platform::{ResponsesTo, response_head};
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::WriteHalf;

use super::buffered_stream::{BufferedStream, fill};
use super::exchange::{EndpointResponse, ExchangeError};
use super::held::Held;

/// What was sent to a caller of its answer so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forwarded {
    /// Whether the head was sent. It is that of the first endpoint that responded.
    pub(crate) head_sent: bool,
    /// Last event that the caller has.
    pub(crate) last: Option<u64>,
    /// Whether the caller's connection is kept for more requests.
    pub(crate) keep: bool,
}

impl Forwarded {
    /// Nothing was sent yet. The stream starts after the last event that the caller already has.
    pub(crate) fn new(last: Option<u64>, keep: bool) -> Self {
        Self {
            head_sent: false,
            last,
            keep,
        }
    }

    /// Last event that the caller got from an attempt of this request, from which another attempt
    /// has to resume the stream.
    pub(crate) fn resume(&self) -> Option<u64> {
        self.head_sent.then_some(self.last).flatten()
    }

    /// Writes events to the caller as one chunk, with the head before the first one and the empty
    /// chunk after the last one.
    pub(crate) async fn write(
        &mut self,
        write: &mut WriteHalf<'_>,
        stream: &OpenStream,
        events: &[u8],
    ) -> io::Result<()> {
        let mut out = BytesMut::new();
        if !self.head_sent {
            out = response_head(&stream.response.head, Framing::Chunked, self.keep);
            self.head_sent = true;
        }
        if !events.is_empty() {
            let size = compact_str::format_compact!("{:x}\r\n", events.len());
            out.put_slice(size.as_bytes());
            out.put_slice(events);
            out.put_slice(b"\r\n");
            self.last = stream.last();
        }
        if stream.is_done() {
            out.put_slice(b"0\r\n\r\n");
        }
        write.write_all(&out).await
    }
}

/// A stream of which the first event, or the end, was received.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) conn: BufferedStream,
    pub(crate) response: EndpointResponse,
    /// Id of the request.
    id: CompactString,
    body: Body,
    /// What was received of a chunk that has not ended.
    chunk: BytesMut,
    /// Number of chunks that have.
    ended: u64,
    events: Events,
    /// Complete events that are not forwarded yet.
    ready: BytesMut,
    /// What is held of events that are not complete.
    held: Held,
    /// When its connection ended.
    closed: Option<Instant>,
}

impl OpenStream {
    /// Reads the stream that responds to the request with this id until its first event is complete. `last` is the event
    /// before it.
    pub(crate) async fn open(
        conn: BufferedStream,
        response: EndpointResponse,
        (id, last): (&CompactString, Option<u64>),
        held: Held,
    ) -> Result<Self, ExchangeError> {
        let mut stream = Self {
            id: id.clone(),
            body: Body::new(response.head.framing),
            conn,
            response,
            chunk: BytesMut::new(),
            ended: 0,
            events: Events::after(last),
            ready: BytesMut::new(),
            closed: None,
            held,
        };
        stream.parse()?;
        while stream.ready.is_empty() && !stream.is_done() {
            stream.read().await?;
        }
        // Without a length an end says nothing, and the rest of a stream that ends here may be empty.
        let is_cut = stream.response.head.framing == Framing::Close && last.is_none();
        if is_cut && stream.ready.is_empty() {
            return Err(ExchangeError::Broken);
        }
        Ok(stream)
    }

    /// Receives more of the stream. It may be dropped at any time without a loss.
    pub(crate) async fn read(&mut self) -> Result<(), ExchangeError> {
        let (mut read, _write) = self.conn.stream.split();
        match fill(&mut read, &mut self.conn.buffer).await {
            Ok(0) => {
                let (conn, body) = (&self.conn, &mut self.body);
                self.response.finish(conn, body, &mut self.closed).await?;
            }
            Ok(_) => {}
            Err(_) => return Err(ExchangeError::Broken),
        }
        self.parse()
    }

    /// Takes the complete events that were received.
    pub(crate) fn take(&mut self) -> Bytes {
        self.ready.split().freeze()
    }

    /// Whether the whole stream was received.
    pub(crate) fn is_done(&self) -> bool {
        self.body.is_done()
    }

    /// Number of complete events received.
    pub(crate) fn count(&self) -> u64 {
        self.events.count()
    }

    /// Last complete event received.
    fn last(&self) -> Option<u64> {
        self.events.last()
    }

    /// Takes the events that are complete. Those of a chunk are only taken at its end, which shows that no bytes of
    /// another response stand in it.
    fn parse(&mut self) -> Result<(), ExchangeError> {
        loop {
            let taken = match self.body.take(&mut self.conn.buffer) {
                // All events were received; the bytes that follow stay in the buffer.
                Err(BodyError::Trailer) => Ok(None),
                taken => taken,
            };
            if self.ended != self.body.ended_chunks() {
                self.ended = self.body.ended_chunks();
                self.parse_chunk()?;
            }
            let taken = taken.map_err(|_error| ExchangeError::Invalid)?;
            let Some(bytes) = taken else {
                break;
            };
            self.chunk.put_slice(&bytes);
            if self.response.head.framing != Framing::Chunked {
                self.parse_chunk()?;
            }
        }
        let held = self.events.partial_len() + self.chunk.len();
        let held = self.held.set(held);
        held.map_err(|_error| ExchangeError::TooLong)?;
        if self.is_done() && self.events.has_partial() {
            return Err(ExchangeError::Broken);
        }
        Ok(())
    }

    /// Takes the events of what was received of a chunk.
    fn parse_chunk(&mut self) -> Result<(), ExchangeError> {
        let events = self.events.push(&self.chunk).map_err(|error| {
            log::warn!("stream: invalid stream from the endpoint, {error}; attempt ended.");
            ExchangeError::Invalid
        })?;
        self.chunk.clear();
        // The empty line behind the head of another response ends the event in which that begins.
        let is_chunked = self.response.head.framing == Framing::Chunked;
        if !is_chunked && contains_response(&events, &[], &ResponsesTo(&self.id)) {
            log::info!(request = self.id.as_str(); "stream: another response begins in an event; attempt ended.");
            return Err(ExchangeError::Invalid);
        }
        self.ready.put_slice(&events);
        Ok(())
    }
}
