//! Requests that crash the endpoints that run them.

use xxhash_rust::xxh3::Xxh3Default;

/// Hash of what a request asks for, whichever attempt of whichever caller brings it.
pub type ContentHash = u64;

/// Hash of a request's team, host, method, target and body.
///
/// Each attempt of a caller has an id of its own, so ids do not tell that a request comes
/// again. Other fields may differ between attempts.
pub fn content(team: &str, host: &str, method: &[u8], target: &[u8], body: &[u8]) -> ContentHash {
    let mut hash = Xxh3Default::new();
    for part in [team.as_bytes(), host.as_bytes(), method, target, body] {
        // The length keeps parts apart that are the same when joined.
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
