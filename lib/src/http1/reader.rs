//! Finds the response to a request among the bytes of a connection.
//!
//! A faulty peer may send more than the response to each request: whole responses that belong to no request, and
//! bytes that are no whole response. HTTP/1.1 delimits a message only by what the message states, so whatever
//! follows one that breaks off is read as its rest: a head may come out that has the status of one response and the
//! fields of the next. Whether a request ran, and whether its answer is a success, must not be concluded from such a
//! head.
//!
//! Every response begins with its status line, so a head that was joined from several contains the status lines of
//! all but the first. The last one begins the response that the end of the head belongs to. It is taken for that
//! response only if the line in which it stands cannot be a line of a head: then no reading but this one is left.
//! Otherwise, as when it stands in a field of any text, neither reading is certain, and nothing is concluded. Bytes that
//! are no head, or a malformed one, are skipped up to the next status line by the same rule.
//!
//! A body that is skipped may have broken off as well, and then takes the beginning of the next response. So nothing
//! is concluded where no response begins behind it, or one that names the request begins within it.
//!
//! A response behind bytes that are no whole response is delivered, but what it states about the request not having
//! run proves nothing; see [`Attributed::is_intact`].

use bytes::{Buf as _, BytesMut};

use super::head::{MAX_RESPONSE_HEAD, complete_response_len};
use super::status_line::{
    STATUS_LINE_LEN, begins_status_line, find_status_line, last_status_line, open_status_line,
    split_status_line,
};
use super::{Body, HeadError, Response};

/// Responses and parts of responses that are skipped before a connection is given up.
const MAX_STRAYS: u32 = 3;
/// Informational responses that are skipped before a connection is given up.
const MAX_INTERIM: u32 = 8;
/// Bytes of one body that are skipped.
const MAX_SKIPPED_BYTES: usize = 256 * 1024;

/// Which request a response names by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    /// The one that waits for a response.
    Expected,
    /// Another one.
    Other,
    /// None, or several, so that it belongs to no request.
    Nothing,
}

/// What an adapter knows of the responses to one request.
pub trait ResponseRules {
    /// Which request a response names.
    fn named(&self, response: &Response) -> Named;
    /// Whether the values of a field have a format that excludes a status line; names are case-insensitive.
    fn is_formatted(&self, field: &[u8]) -> bool;
    /// Whether the reason phrase of a status begins so.
    fn is_reason(&self, status: &[u8], begin: &[u8]) -> bool;
    /// Whether a head has a field by which only the peer itself tells what it sends.
    fn is_marked(&self, response: &Response) -> bool;
}

/// Rules of a connection that serves one request, so that any response is its own.
#[derive(Clone, Copy, Debug)]
pub struct OnlyRequest;

impl ResponseRules for OnlyRequest {
    fn named(&self, _response: &Response) -> Named {
        Named::Expected
    }

    fn is_formatted(&self, _field: &[u8]) -> bool {
        false
    }

    fn is_reason(&self, _status: &[u8], _begin: &[u8]) -> bool {
        false
    }

    fn is_marked(&self, _response: &Response) -> bool {
        false
    }
}

/// Reason for which a response cannot be found on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// What was received is no response, and none is found behind it.
    #[error("what was received is no response: {0}")]
    Head(#[from] HeadError),
    /// A head contains a second status line where it may be text.
    #[error("a head may consist of two")]
    Ambiguous,
    /// The body of a response to no request broke off and has taken a part of the next response.
    #[error("the body of another response contains a part of a response")]
    Swallowed,
    /// Too much was received that belongs to no request.
    #[error("too much was received that belongs to no request")]
    TooMany,
}

/// The response to a request, found by a [`ResponseReader`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attributed {
    head: Response,
    is_intact: bool,
}

impl Attributed {
    /// Head of the response.
    pub fn head(&self) -> &Response {
        &self.head
    }

    /// The same without what is known of its connection.
    pub fn into_head(self) -> Response {
        self.head
    }

    /// Whether all bytes before it on its connection were whole responses, so that it is one.
    pub fn is_intact(&self) -> bool {
        self.is_intact
    }
}

/// What was read next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Head of the response to the request.
    Own(Attributed),
    /// Head of a whole response that belongs to no request in progress; its body is skipped.
    Stray(Response, Named),
    /// So many bytes that are no whole response were skipped.
    Fragment(usize),
}

/// Reads what is received on a connection until the response to one request.
#[derive(Debug)]
pub struct ResponseReader {
    strays: u32,
    interim: u32,
    is_intact: bool,
    skipped: Option<SkippedBody>,
}

impl Default for ResponseReader {
    fn default() -> Self {
        Self {
            strays: 0,
            interim: 0,
            is_intact: true,
            skipped: None,
        }
    }
}

impl ResponseReader {
    /// Takes what is next off the buffer; `None` if more bytes are needed.
    ///
    /// # Errors
    /// If the response cannot be found on this connection any more. Whether the request ran is unknown then.
    pub fn next(
        &mut self,
        buffer: &mut BytesMut,
        rules: &impl ResponseRules,
    ) -> Result<Option<ResponsePart>, ReadError> {
        loop {
            if let Some(body) = &mut self.skipped {
                match body.skip(buffer, rules)? {
                    Skipped::Part => return Ok(None),
                    Skipped::Whole => {}
                    // It broke off between two chunks.
                    Skipped::Broken if find_status_line(buffer, 0) == Some(0) => {
                        self.skipped = None;
                        return self.drop_fragment(buffer, 0);
                    }
                    Skipped::Broken => return Err(ReadError::Swallowed),
                }
            }
            let len = match complete_response_len(buffer) {
                Ok(Some(len)) => len,
                Ok(None) => return Ok(None),
                Err(_) if self.skipped.as_ref().is_some_and(SkippedBody::has_bytes) => {
                    return Err(ReadError::Swallowed);
                }
                Err(error) => return self.skip_fragment(buffer, error, rules),
            };
            self.skipped = None;
            if let Some(at) = last_status_line(&buffer[..len]) {
                if !is_cut(&buffer[..at], rules) {
                    return Err(ReadError::Ambiguous);
                }
                return self.drop_fragment(buffer, at);
            }
            let Some(head) = Response::take(buffer)? else {
                return Ok(None);
            };
            if head.is_interim() {
                self.interim += 1;
                if self.interim > MAX_INTERIM {
                    return Err(ReadError::TooMany);
                }
                continue;
            }
            let named = rules.named(&head);
            if named == Named::Expected {
                let is_intact = self.is_intact;
                return Ok(Some(ResponsePart::Own(Attributed { head, is_intact })));
            }
            self.count_stray()?;
            self.skipped = Some(SkippedBody::new(&head));
            return Ok(Some(ResponsePart::Stray(head, named)));
        }
    }

    /// Skips bytes that begin no response, up to the next status line.
    fn skip_fragment(
        &mut self,
        buffer: &mut BytesMut,
        error: HeadError,
        rules: &impl ResponseRules,
    ) -> Result<Option<ResponsePart>, ReadError> {
        let is_head = find_status_line(buffer, 0) == Some(0);
        match find_status_line(buffer, 1) {
            Some(at) if is_head && !is_cut(&buffer[..at], rules) => Err(ReadError::Ambiguous),
            Some(at) if error != HeadError::TooLarge => self.drop_fragment(buffer, at),
            // The next bytes tell whether a response begins here.
            None if error == HeadError::Malformed && begins_status_line(buffer) => Ok(None),
            _ => Err(error.into()),
        }
    }

    fn drop_fragment(
        &mut self,
        buffer: &mut BytesMut,
        len: usize,
    ) -> Result<Option<ResponsePart>, ReadError> {
        buffer.advance(len);
        self.is_intact = false;
        self.count_stray()?;
        Ok(Some(ResponsePart::Fragment(len)))
    }

    fn count_stray(&mut self) -> Result<(), ReadError> {
        self.strays += 1;
        if self.strays > MAX_STRAYS {
            return Err(ReadError::TooMany);
        }
        Ok(())
    }
}

/// Whether a response begins in a body that has a field by which only the peer tells what it sends, so that the body is
/// not whole. `behind` is what was received behind the body.
///
/// A body whose length is stated ends there, whatever its bytes are. If the peer breaks off in it and sends another
/// response, the beginning of that one completes it.
pub fn contains_response(body: &[u8], behind: &[u8], rules: &impl ResponseRules) -> bool {
    let begins_at = |at: usize| {
        let bytes = body[at..].iter().chain(behind);
        let mut bytes: BytesMut = bytes.take(MAX_RESPONSE_HEAD).copied().collect();
        let head = Response::take_lenient(&mut bytes);
        head.is_ok_and(|head| head.is_some_and(|head| rules.is_marked(&head)))
    };
    let mut from = 0;
    while let Some(at) = find_status_line(body, from) {
        if begins_at(at) {
            return true;
        }
        from = at + 1;
    }
    // One that ends behind the body.
    let from = from.max((body.len() + 1).saturating_sub(STATUS_LINE_LEN));
    let end = [&body[from..], &behind[..behind.len().min(STATUS_LINE_LEN)]].concat();
    find_status_line(&end, 0).is_some_and(|at| from + at < body.len() && begins_at(from + at))
}

/// Number of bytes at the end of a body that may be the begin of another response, as too little was received behind the
/// body to tell; `None` if there are none.
///
/// The length that is stated may be reached anywhere in the head of the response that completes the body.
pub fn open_response(body: &[u8], behind: &[u8]) -> Option<usize> {
    let is_open = |at: usize| {
        let bytes = body[at..].iter().chain(behind);
        let mut bytes: BytesMut = bytes.take(MAX_RESPONSE_HEAD).copied().collect();
        bytes.len() < MAX_RESPONSE_HEAD && matches!(Response::take_lenient(&mut bytes), Ok(None))
    };
    let mut from = 0;
    while let Some(at) = find_status_line(body, from) {
        if is_open(at) {
            return Some(body.len() - at);
        }
        from = at + 1;
    }
    // One whose status line goes on behind the body.
    let from = from.max((body.len() + 1).saturating_sub(STATUS_LINE_LEN));
    let end = [&body[from..], &behind[..behind.len().min(STATUS_LINE_LEN)]].concat();
    let at = match find_status_line(&end, 0) {
        Some(at) => Some(from + at).filter(|at| *at < body.len() && is_open(*at)),
        None => open_status_line(&end).map(|at| from + at),
    };
    at.and_then(|at| body.len().checked_sub(at))
        .filter(|len| *len > 0)
}

/// Whether the line that these bytes end in cannot go on with a status line, so that it was cut or none has begun.
fn is_cut(bytes: &[u8], rules: &impl ResponseRules) -> bool {
    let line = bytes.rsplit(|byte| *byte == b'\n').next();
    let line = line.unwrap_or_default();
    if line.ends_with(b"\r") {
        return true;
    }
    if let Some((status, reason)) = split_status_line(line) {
        return rules.is_reason(status, reason);
    }
    let mut parts = line.splitn(2, |byte| *byte == b':');
    let name = parts.next().unwrap_or_default();
    // A quoted parameter may be any text, and the name of a field contains no status line.
    let has_format = |value: &[u8]| !value.contains(&b'"') && rules.is_formatted(name);
    parts.next().is_none_or(has_format)
}

/// How much of a body was skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Skipped {
    /// More of it is expected.
    Part,
    /// The whole.
    Whole,
    /// It is malformed from here on.
    Broken,
}

/// A body that is skipped.
#[derive(Debug)]
struct SkippedBody {
    body: Body,
    /// The last bytes of it, from a status line on if there is one.
    tail: BytesMut,
    len: usize,
}

impl SkippedBody {
    fn new(head: &Response) -> Self {
        Self {
            body: Body::new(head.framing),
            tail: BytesMut::new(),
            len: 0,
        }
    }

    fn has_bytes(&self) -> bool {
        self.len > 0
    }

    fn skip(
        &mut self,
        buffer: &mut BytesMut,
        rules: &impl ResponseRules,
    ) -> Result<Skipped, ReadError> {
        loop {
            match self.body.take(buffer) {
                Ok(Some(part)) => {
                    self.len += part.len();
                    if self.len > MAX_SKIPPED_BYTES {
                        return Err(ReadError::TooMany);
                    }
                    self.tail.extend_from_slice(&part);
                    self.search(rules)?;
                }
                Ok(None) if self.body.is_done() => return Ok(Skipped::Whole),
                Ok(None) => return Ok(Skipped::Part),
                Err(_) => return Ok(Skipped::Broken),
            }
        }
    }

    /// Searches the tail for the head of a response that names the expected request.
    fn search(&mut self, rules: &impl ResponseRules) -> Result<(), ReadError> {
        while let Some(at) = find_status_line(&self.tail, 0) {
            self.tail.advance(at);
            match Response::take_lenient(&mut self.tail.clone()) {
                Ok(None) => return Ok(()),
                Ok(Some(head)) if rules.named(&head) == Named::Expected => {
                    return Err(ReadError::Swallowed);
                }
                Ok(Some(_)) | Err(_) => {}
            }
            self.tail.advance(1);
        }
        let kept = self.tail.len().min(STATUS_LINE_LEN);
        self.tail.advance(self.tail.len() - kept);
        Ok(())
    }
}
