//! Lists from a peer, in parts.
//!
//! Both lists can have a megabyte, and a frame between daemons a tenth of it,
//! since anybody on the network can make a daemon set a frame's memory aside.
//! So a large answer goes in parts. Each names the whole it is of: if the peer
//! adopts another revision in between, the asker begins again.

use std::net::SocketAddr;
use std::time::Duration;

use poplarvale_lib::config::{Pull, Pulled};
use poplarvale_lib::protos::peer::Part;
use poplarvale_lib::store::MAX_VALUE_BYTES;
use prost::Message as _;
use xxhash_rust::xxh3::xxh3_64;

use crate::peers::Client;

/// Bytes of a part; with its own fields it stays below a frame.
const PART_BYTES: usize = 96 * 1024;
/// Largest answer: both lists at their largest, and what names them.
const MOST_BYTES: u64 = 3 * MAX_VALUE_BYTES as u64;

/// The part of an answer that begins at a byte.
pub(super) fn part(pulled: Pulled, from: u64) -> Part {
    let age = pulled.age;
    // Numbers and texts only, which cannot fail.
    let whole = serde_json::to_vec(&Pulled {
        age: None,
        ..pulled
    })
    .unwrap_or_default();
    let from = (from as usize).min(whole.len());
    let end = (from + PART_BYTES).min(whole.len());
    Part {
        bytes: whole[from..end].to_vec(),
        whole: xxh3_64(&whole),
        length: whole.len() as u64,
        age_ms: age.map(|age| age.as_millis() as u64),
    }
}

/// Asks a peer for what it has above a revision; none if that fails.
pub(super) async fn ask(client: &Client, to: SocketAddr, pull: &Pull) -> Option<Pulled> {
    let mut bytes: Vec<u8> = Vec::new();
    let mut whole = None;
    loop {
        let answer = client.get_lists(to, pull.have, bytes.len() as u64).await;
        let part = Part::decode(answer.ok()?.as_slice()).ok()?;
        let same = *whole.get_or_insert(part.whole) == part.whole;
        if !same || part.bytes.is_empty() || part.length > MOST_BYTES {
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
