//! Header fields in the order in which they were received.

use bytes::Bytes;

/// Name and value of a header field, as received.
pub type Field = (Bytes, Bytes);

/// Fields that apply to one connection only and are never forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Header fields of one message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(pub Vec<Field>);

impl Fields {
    /// First value of a field; names are case-insensitive.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.all(name).next()
    }

    /// First value of a field without surrounding white space, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// First value of a field as a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name).and_then(|text| text.parse().ok())
    }

    /// All values of a field.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.0
            .iter()
            .filter(move |(key, _)| key.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| &**value)
    }

    /// Whether a field with a comma-separated list contains this token.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(|byte| *byte == b','))
            .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Whether a field is hop-by-hop: by its name, or because the sender's `Connection`
    /// field names it.
    pub fn is_hop_by_hop(&self, name: &[u8]) -> bool {
        HOP_BY_HOP
            .iter()
            .any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
            || std::str::from_utf8(name).is_ok_and(|name| self.contains_token("connection", name))
    }
}
