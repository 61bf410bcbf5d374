//! Incremental decoding of message bodies.

use bytes::{Buf as _, Bytes, BytesMut};

use super::Framing;
use super::status_line::find_status_line;

/// Maximum length in bytes of a chunk size line and of a trailer line.
const MAX_LINE: usize = 1024;
/// Maximum number of trailer lines.
const MAX_TRAILERS: u32 = 32;

/// Reason for which a body cannot be read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// A chunk is malformed.
    #[error("a chunk of the body is malformed")]
    Chunk,
    /// Behind the last chunk stands what is no trailer. All data was received.
    #[error("the trailer of the body is malformed")]
    Trailer,
    /// The connection ended before the body did.
    #[error("the connection ended before the body did")]
    Truncated,
}

/// Decoder of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Body {
    state: State,
    /// Number of chunks that were read to their end.
    ended: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Bytes left of a body with a stated length.
    Length(u64),
    /// Before the size line of a chunk.
    ChunkSize,
    /// Bytes left of a chunk.
    ChunkData(u64),
    /// Before the line end that follows a chunk.
    ChunkEnd,
    /// Before a trailer line or the empty line that ends the body, after so many lines.
    Trailer(u32),
    /// The body ends with the connection.
    UntilClose,
    /// The whole body was read.
    Done,
}

impl Body {
    /// A decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::UntilClose,
        };
        Self { state, ended: 0 }
    }

    /// Whether the whole body was read.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Number of chunks that were read to their end. What was taken of the next one may end with bytes of another
    /// message, if the peer broke off in it.
    pub fn ended_chunks(&self) -> u64 {
        self.ended
    }

    /// Takes the next available part of the body off the buffer; `None` if more bytes
    /// are needed or the body is done.
    ///
    /// # Errors
    /// If a chunk is malformed.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::UntilClose if buffer.is_empty() => return Ok(None),
                State::UntilClose => return Ok(Some(buffer.split().freeze())),
                State::Length(left) => {
                    return Ok(take(buffer, left).inspect(|part| {
                        let left = left - part.len() as u64;
                        self.state = if left == 0 {
                            State::Done
                        } else {
                            State::Length(left)
                        };
                    }));
                }
                State::ChunkData(left) => {
                    return Ok(take(buffer, left).inspect(|part| {
                        let left = left - part.len() as u64;
                        self.state = if left == 0 {
                            State::ChunkEnd
                        } else {
                            State::ChunkData(left)
                        };
                    }));
                }
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(BodyError::Chunk);
                    }
                    buffer.advance(2);
                    self.ended += 1;
                    self.state = State::ChunkSize;
                }
                State::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((len, size))) => {
                        if !is_chunk_line(&buffer[..len]) {
                            return Err(BodyError::Chunk);
                        }
                        buffer.advance(len);
                        self.state = if size == 0 {
                            State::Trailer(0)
                        } else {
                            State::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_LINE => return Ok(None),
                    _ => return Err(BodyError::Chunk),
                },
                State::Trailer(MAX_TRAILERS) => return Err(BodyError::Chunk),
                State::Trailer(lines) => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > MAX_LINE {
                            return Err(BodyError::Chunk);
                        }
                        return Ok(None);
                    };
                    if !is_trailer(&buffer[..end]) {
                        self.state = State::Done;
                        return Err(BodyError::Trailer);
                    }
                    buffer.advance(end + 2);
                    self.state = if end == 0 {
                        State::Done
                    } else {
                        State::Trailer(lines + 1)
                    };
                }
            }
        }
    }

    /// Handles the end of the connection.
    ///
    /// # Errors
    /// If the body is incomplete.
    pub fn finish(&mut self) -> Result<(), BodyError> {
        match self.state {
            State::Done | State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }
}

/// Whether a line that the parser takes for the size line of a chunk is one: it also takes a line without digits for a
/// size of 0, and any bytes for an extension.
fn is_chunk_line(line: &[u8]) -> bool {
    let line = line.strip_suffix(b"\r\n").unwrap_or(line);
    let is_text = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    line.first().is_some_and(u8::is_ascii_hexdigit)
        && line.iter().all(is_text)
        && find_status_line(line, 0).is_none()
}

/// Whether a line is empty or a field line of a trailer.
fn is_trailer(line: &[u8]) -> bool {
    if line.is_empty() {
        return true;
    }
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    let is_field =
        !name.is_empty() && name.len() < line.len() && name.iter().copied().all(is_token);
    is_field && find_status_line(line, 0).is_none()
}

/// Whether a byte may stand in the name of a field.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Takes up to `left` bytes off the buffer; none if it is empty.
fn take(buffer: &mut BytesMut, left: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let len = usize::try_from(left)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    Some(buffer.split_to(len).freeze())
}
