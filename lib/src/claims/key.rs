//! Idempotency keys as callers send them.

use compact_str::{CompactString, format_compact};

use super::ClaimId;
use crate::ids::Incarnation;

/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Prefix of issued keys; supplied keys must not begin with it.
const ISSUED_PREFIX: &str = "pk-";

/// An idempotency key.
#[proc_macros::row]
#[derive(Eq)]
pub enum Key {
    /// Supplied by the caller.
    Supplied(CompactString),
    /// Issued by a daemon.
    Issued {
        /// Incarnation that issued it.
        issuer: Incarnation,
        /// Number of keys that the issuer had issued before.
        count: u64,
        /// Ties the key to its customer.
        tag: u64,
    },
}

impl Key {
    /// Parses a key; none if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let printable = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !printable {
            return None;
        }
        let Some(rest) = text.strip_prefix(ISSUED_PREFIX) else {
            return Some(Self::Supplied(text.into()));
        };
        let mut parts = rest.split('-').map(parse_hex);
        let key = Self::Issued {
            issuer: parts.next()??,
            count: parts.next()??,
            tag: parts.next()??,
        };
        parts.next().is_none().then_some(key)
    }

    /// Text of the key as callers send it.
    pub fn text(&self) -> CompactString {
        match self {
            Self::Supplied(text) => text.clone(),
            Self::Issued { issuer, count, tag } => {
                format_compact!("{ISSUED_PREFIX}{issuer:016x}-{count:016x}-{tag:016x}")
            }
        }
    }

    /// Id of the claim; equal supplied keys of different customers have different ids.
    pub(crate) fn claim_id(&self, customer: &str) -> ClaimId {
        match self {
            Self::Supplied(text) => format_compact!("poplarvale/claims/{customer}/{text}"),
            Self::Issued { .. } => self.text(),
        }
    }
}

/// Parses 16 hexadecimal digits.
fn parse_hex(digits: &str) -> Option<u64> {
    if digits.len() != 16 {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
