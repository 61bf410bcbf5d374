//! API keys, stored only as digests.
//!
//! The customer list is shown to operators, stored in the platform's key-value service
//! and dumped for debugging, so it contains SHA-256 digests. Someone who reads it cannot
//! impersonate a customer.

use compact_str::CompactString;
use sha2::{Digest, Sha256};

use crate::ids::CustomerId;
use crate::lists::Customer;

/// SHA-256 of an API key, in lower-case hexadecimal digits.
pub fn digest(key: &str) -> CompactString {
    use std::fmt::Write as _;
    let mut text = CompactString::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Customers by the digests of their API keys, sorted by digest.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    entries: Vec<(CompactString, CustomerId)>,
}

impl Keys {
    /// Builds the index of all customers' keys.
    pub fn new<'a>(customers: impl IntoIterator<Item = &'a Customer>) -> Self {
        let mut entries = Vec::new();
        for customer in customers {
            for digest in &customer.digests {
                entries.push((digest.clone(), customer.id.clone()));
            }
        }
        entries.sort();
        Self { entries }
    }

    /// The customer that an API key belongs to.
    pub fn customer(&self, key: &str) -> Option<&CustomerId> {
        let digest = digest(key);
        let index = self
            .entries
            .binary_search_by(|(d, _)| d.cmp(&digest))
            .ok()?;
        Some(&self.entries[index].1)
    }
}
