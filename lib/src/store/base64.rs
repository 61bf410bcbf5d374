//! Base64 with the standard alphabet and padding, as the gateway of the service encodes bytes.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

/// Encodes bytes.
pub fn to_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes a text; none if it is malformed.
pub fn from_base64(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}
