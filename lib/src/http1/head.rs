//! Parsing of request and response heads.

use std::ops::RangeInclusive;

use bytes::{Bytes, BytesMut};

use super::Fields;
use super::status_line::last_status_line;

/// Maximum number of header fields in a message.
const MAX_FIELDS: usize = 96;
/// Maximum size of a response head in bytes; endpoints send a few hundred.
pub(super) const MAX_RESPONSE_HEAD: usize = 32 * 1024;
/// Status codes that HTTP defines.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Reason for which a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head is not valid HTTP/1.
    #[error("the message head is malformed")]
    Malformed,
    /// The head is too long or has too many fields.
    #[error("the message head is larger than allowed")]
    TooLarge,
    /// The end of the body is ambiguous.
    #[error("the framing of the message body is contradictory")]
    Framing,
    /// A further status line stands in the head of a response.
    #[error("the message head consists of two")]
    Joined,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    None,
    /// A stated length in bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends with the connection; responses only.
    Close,
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: Bytes,
    /// Path and query, as received.
    pub target: Bytes,
    /// Header fields.
    pub fields: Fields,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the sender keeps the connection open after the message.
    pub keep_alive: bool,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub fields: Fields,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the sender keeps the connection open after the message.
    pub keep_alive: bool,
}

impl Request {
    /// Takes a complete head off the buffer; `None` if more bytes are needed.
    ///
    /// # Errors
    /// If the bytes are not a head of at most `max_bytes` bytes with unambiguous framing.
    pub fn take(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut headers);
        let Some(len) = complete_len(parsed.parse(buffer), buffer.len(), max_bytes)? else {
            return Ok(None);
        };
        check_lines(&buffer[..len])?;
        let (Some(method), Some(path), Some(minor)) = (parsed.method, parsed.path, parsed.version)
        else {
            return Err(HeadError::Malformed);
        };
        let base = buffer.as_ptr() as usize;
        let method = span(base, method.as_bytes());
        let target = span(base, path.as_bytes());
        let spans = spans(base, parsed.headers);
        let head = buffer.split_to(len).freeze();
        let fields = slice_fields(&head, &spans);
        let framing = match body_framing(&fields)? {
            Some(Framing::Chunked) if minor == 0 => return Err(HeadError::Framing),
            Some(framing) => framing,
            None => Framing::None,
        };
        Ok(Some(Self {
            method: head.slice(method.0..method.1),
            target: head.slice(target.0..target.1),
            framing,
            keep_alive: is_keep_alive(&fields, minor),
            fields,
        }))
    }
}

impl Response {
    /// Takes a complete head off the buffer; `None` if more bytes are needed.
    ///
    /// # Errors
    /// If the bytes are not one head with unambiguous framing.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, HeadError> {
        Self::take_checked(buffer, |status, head| {
            check_response(status, head)?;
            match last_status_line(head) {
                Some(_) => Err(HeadError::Joined),
                None => Ok(()),
            }
        })
    }

    /// Like [`Response::take`], also if the parser takes more for a head than HTTP does.
    pub(super) fn take_lenient(buffer: &mut BytesMut) -> Result<Option<Self>, HeadError> {
        Self::take_checked(buffer, |_, _| Ok(()))
    }

    /// Takes a head whose status and bytes pass a check.
    fn take_checked(
        buffer: &mut BytesMut,
        check: impl FnOnce(u16, &[u8]) -> Result<(), HeadError>,
    ) -> Result<Option<Self>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut headers);
        let Some(len) = complete_len(parsed.parse(buffer), buffer.len(), MAX_RESPONSE_HEAD)? else {
            return Ok(None);
        };
        let (Some(status), Some(minor)) = (parsed.code, parsed.version) else {
            return Err(HeadError::Malformed);
        };
        check(status, &buffer[..len])?;
        let base = buffer.as_ptr() as usize;
        let spans = spans(base, parsed.headers);
        let head = buffer.split_to(len).freeze();
        let fields = slice_fields(&head, &spans);
        let framing = match body_framing(&fields)? {
            _ if status < 200 || status == 204 || status == 304 => Framing::None,
            Some(framing) => framing,
            None => Framing::Close,
        };
        Ok(Some(Self {
            status,
            keep_alive: is_keep_alive(&fields, minor) && framing != Framing::Close,
            framing,
            fields,
        }))
    }

    /// Whether the peer goes on with a further response to the same request.
    pub(super) fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

/// Length of the complete head of a response; `None` if more bytes are needed.
pub(super) fn complete_response_len(buffer: &[u8]) -> Result<Option<usize>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    let len = complete_len(parsed.parse(buffer), buffer.len(), MAX_RESPONSE_HEAD)?;
    if let (Some(len), Some(status)) = (len, parsed.code) {
        check_response(status, &buffer[..len])?;
    }
    Ok(len)
}

/// Rejects what the parser takes for the head of a response and HTTP does not.
fn check_response(status: u16, head: &[u8]) -> Result<(), HeadError> {
    check_lines(head)?;
    if STATUSES.contains(&status) {
        Ok(())
    } else {
        Err(HeadError::Malformed)
    }
}

/// Length of a complete head; `None` if more bytes are needed.
fn complete_len(
    parsed: httparse::Result<usize>,
    buffered: usize,
    max_bytes: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(len)) if len > max_bytes => Err(HeadError::TooLarge),
        Ok(httparse::Status::Complete(len)) => Ok(Some(len)),
        Ok(httparse::Status::Partial) if buffered > max_bytes => Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

/// Rejects lines that end without a carriage return: implementations differ on whether
/// that ends a line, so a field could be hidden from one of them, or a head end before its last field.
fn check_lines(head: &[u8]) -> Result<(), HeadError> {
    let bare = |at: usize| head[at] == b'\n' && (at == 0 || head[at - 1] != b'\r');
    if (0..head.len()).any(bare) {
        return Err(HeadError::Malformed);
    }
    Ok(())
}

/// Start and end of a part, as offsets from the address of its buffer.
fn span(base: usize, part: &[u8]) -> (usize, usize) {
    let from = part.as_ptr() as usize - base;
    (from, from + part.len())
}

type Span = (usize, usize);

fn spans(base: usize, headers: &[httparse::Header<'_>]) -> Vec<(Span, Span)> {
    let pair = |header: &httparse::Header<'_>| {
        (span(base, header.name.as_bytes()), span(base, header.value))
    };
    headers.iter().map(pair).collect()
}

/// Header fields as slices of the head.
fn slice_fields(head: &Bytes, spans: &[(Span, Span)]) -> Fields {
    let field =
        |(name, value): &(Span, Span)| (head.slice(name.0..name.1), head.slice(value.0..value.1));
    Fields(spans.iter().map(field).collect())
}

/// Framing that the fields state, if any; an error if they are ambiguous.
fn body_framing(fields: &Fields) -> Result<Option<Framing>, HeadError> {
    let mut lengths = fields.all("content-length");
    let mut codings = fields.all("transfer-encoding");
    let length = lengths.next();
    let coding = codings.next();
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(HeadError::Framing);
    }
    match (length, coding) {
        (None, None) => Ok(None),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (_, Some(_)) => Err(HeadError::Framing),
        (Some(text), None) => {
            let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(text).ok().filter(|_| digits);
            match text.and_then(|text| text.parse().ok()) {
                Some(0) => Ok(Some(Framing::None)),
                Some(length) => Ok(Some(Framing::Length(length))),
                None => Err(HeadError::Framing),
            }
        }
    }
}

/// Whether the sender keeps the connection open, by the minor version of HTTP/1 and the
/// `Connection` field.
fn is_keep_alive(fields: &Fields, minor: u8) -> bool {
    if minor == 0 {
        fields.contains_token("connection", "keep-alive")
    } else {
        !fields.contains_token("connection", "close")
    }
}
