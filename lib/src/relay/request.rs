//! Decoded head of a caller's request.

use std::time::Duration;

use compact_str::CompactString;

/// Part of a prompt: its id and its number of tokens.
pub type Part = (u64, u32);

/// Who sent a request to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, which cannot send it to an endpoint itself. It is not forwarded again.
    Daemon,
}

/// What the head of a request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Id of the request; a caller's retry has another one.
    pub id: CompactString,
    /// Host, in lower case and without a port.
    pub host: CompactString,
    /// Path without its query.
    pub path: CompactString,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// API key.
    pub key: Option<CompactString>,
    /// Size of the prompt and limit of the answer; `None` for plain requests.
    pub prompt: Option<Prompt>,
    /// Last event that the caller received; a resumed stream continues after it.
    pub resume: Option<u64>,
}

/// Size and parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: u32,
    /// Maximum tokens of the answer.
    pub output: u32,
    /// The caller's estimate of the answer's tokens; right at the median, often far off.
    pub guess: Option<u32>,
    /// Parts in order; all but the last may be shared with other requests.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Parts that other requests may share.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
