//! Bodies, decoded piece by piece as their bytes arrive.

use bytes::{Buf as _, Bytes, BytesMut};

use super::Framing;

/// Longest line that states a chunk's size, and longest trailer line, in bytes.
const MAX_LINE: usize = 1024;

/// Why a body cannot be read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// A chunk is not in the protocol.
    #[error("a chunk of the body is not in the protocol")]
    Chunk,
    /// The connection ended before the body did.
    #[error("the body broke off")]
    Truncated,
}

/// Reads one body off a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Body(State);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

impl Body {
    /// Begins a body with this framing.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::None | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::UntilClose,
        })
    }

    /// Whether the whole body was read.
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// Takes what is there of the body; `None` if more bytes are needed or the
    /// body is done.
    ///
    /// # Errors
    /// If a chunk is not in the protocol.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.0 {
                State::Done => return Ok(None),
                State::UntilClose if buffer.is_empty() => return Ok(None),
                State::UntilClose => return Ok(Some(buffer.split().freeze())),
                State::Length(left) => {
                    return Ok(take(buffer, left).inspect(|part| {
                        let left = left - part.len() as u64;
                        self.0 = if left == 0 {
                            State::Done
                        } else {
                            State::Length(left)
                        };
                    }));
                }
                State::ChunkData(left) => {
                    return Ok(take(buffer, left).inspect(|part| {
                        let left = left - part.len() as u64;
                        self.0 = if left == 0 {
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
                    self.0 = State::ChunkSize;
                }
                State::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((len, size))) => {
                        buffer.advance(len);
                        self.0 = if size == 0 {
                            State::Trailer
                        } else {
                            State::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_LINE => return Ok(None),
                    _ => return Err(BodyError::Chunk),
                },
                State::Trailer => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > MAX_LINE {
                            return Err(BodyError::Chunk);
                        }
                        return Ok(None);
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        self.0 = State::Done;
                    }
                }
            }
        }
    }

    /// Tells that the connection ended.
    ///
    /// # Errors
    /// If the body was not all there.
    pub fn finish(&mut self) -> Result<(), BodyError> {
        match self.0 {
            State::Done | State::UntilClose => {
                self.0 = State::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }
}

fn take(buffer: &mut BytesMut, left: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let len = usize::try_from(left)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    Some(buffer.split_to(len).freeze())
}
