//! Transfers the lists between daemons in parts.
//!
//! Both lists together can have a megabyte, but a frame between daemons only a tenth of that,
//! because anybody on the network can make a daemon allocate the memory of a frame. So a large
//! answer is sent in parts. Each part carries the hash of the full answer: if the peer adopts
//! another revision meanwhile, the transfer fails and is started again.

use std::net::SocketAddr;
use std::time::Duration;

use poplarvale_lib::config::{Pull, Pulled};
use poplarvale_lib::protos::peer::Part;
use poplarvale_lib::store::MAX_VALUE_BYTES;
use prost::Message as _;
use xxhash_rust::xxh3::xxh3_64;

use crate::peers::Client;

/// Size of a part; with its other fields it fits in a frame.
const PART_BYTES: usize = 96 * 1024;
/// Largest answer: both lists at their maximum size, with their identifiers.
const MAX_ANSWER_BYTES: u64 = 3 * MAX_VALUE_BYTES as u64;

/// The part of an answer that begins at a byte offset.
pub(super) fn part(pulled: Pulled, from: u64) -> Part {
    let age = pulled.age;
    // Only numbers and strings are encoded, which cannot fail.
    let encoded = serde_json::to_vec(&Pulled {
        age: None,
        ..pulled
    })
    .unwrap_or_default();
    let from = (from as usize).min(encoded.len());
    let end = (from + PART_BYTES).min(encoded.len());
    Part {
        bytes: encoded[from..end].to_vec(),
        whole: xxh3_64(&encoded),
        length: encoded.len() as u64,
        age_ms: age.map(|age| age.as_millis() as u64),
    }
}

/// Pulls the lists that are newer than a revision from a peer; none if that fails.
pub(super) async fn pull(client: &Client, to: SocketAddr, pull: &Pull) -> Option<Pulled> {
    let mut bytes: Vec<u8> = Vec::new();
    let mut hash = None;
    loop {
        let answer = client.get_lists(to, pull.have, bytes.len() as u64).await;
        let part = Part::decode(answer.ok()?.as_slice()).ok()?;
        let same = *hash.get_or_insert(part.whole) == part.whole;
        if !same || part.bytes.is_empty() || part.length > MAX_ANSWER_BYTES {
            return None;
        }
        bytes.extend_from_slice(&part.bytes);
        if bytes.len() as u64 >= part.length {
            let pulled: Pulled = serde_json::from_slice(&bytes).ok()?;
            let age = part.age_ms.map(Duration::from_millis);
            return Some(Pulled { age, ..pulled });
        }
    }
}
