//! Selects the headers that are forwarded to the next hop.

use actix_web::http::header::HeaderMap;
use bytes::Bytes;
use compact_str::CompactString;

/// Headers that are not forwarded: hop-by-hop headers, those that each hop sets itself, and the
/// caller's API key, which no endpoint may see. Sorted for the binary search.
const NOT_FORWARDED: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-attempt-id",
];

/// Headers of a message that may be forwarded to the next hop.
pub(crate) fn forwardable<'a>(
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
) -> Vec<(CompactString, Bytes)> {
    headers
        .filter(|(name, _)| NOT_FORWARDED.binary_search(name).is_err())
        .map(|(name, value)| (name.into(), Bytes::copy_from_slice(value)))
        .collect()
}

/// Names and values of an actix header map.
pub(crate) fn pairs(headers: &HeaderMap) -> impl Iterator<Item = (&str, &[u8])> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
}
