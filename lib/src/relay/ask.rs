//! What a caller asks for, decoded from the head of its request.

use std::time::Duration;

use compact_str::CompactString;

/// Part of a prompt: its id and its tokens.
pub type Part = (u64, u32);

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// Id of this one attempt of the caller.
    pub id: CompactString,
    /// Host, in lower case and without a port.
    pub host: CompactString,
    /// Path without its query.
    pub path: CompactString,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// API key.
    pub key: Option<CompactString>,
    /// What the prompt holds and the answer may; `None` for plain requests.
    pub prompt: Option<Prompt>,
    /// Event after which a stream goes on.
    pub resume: Option<u64>,
}

/// Size and parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: u32,
    /// Most tokens of the answer.
    pub output: u32,
    /// The caller's guess of the answer's tokens; right at the median, often far off.
    pub guess: Option<u32>,
    /// Parts in order; all but the last may be shared with other requests.
    pub parts: Vec<Part>,
}
