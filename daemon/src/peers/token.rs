//! The token with which daemons authenticate to each other.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq as _;

/// Token of a deployment; never written to a log or dump.
#[derive(Clone, Serialize, Deserialize)]
pub struct Token(CompactString);

impl Token {
    /// Token from the text of its file; none if that is blank.
    ///
    /// With a blank file, anybody who sends a blank token would be accepted, and the deployment
    /// would seem to work until somebody tries that.
    pub fn new(text: &str) -> Option<Self> {
        let text = text.trim();
        (!text.is_empty()).then(|| Self(text.into()))
    }

    /// Whether both are equal, compared in constant time.
    ///
    /// Otherwise an attacker could guess the token byte by byte from the time that a rejection
    /// takes. Only the length may be learned from the time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token")
    }
}
