//! Serves the configuration to daemons that ask for it.
//!
//! A watcher may be asked by a hundred daemons at once, over a link that requests need too. It serves
//! a few at a time and refers the others to those that it has served, so that the number of daemons
//! that have the configuration doubles with each transfer.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::{BufMut as _, Bytes, BytesMut};
use poplarvale_lib::Revision;
use poplarvale_lib::protos::relay::{ConfigReply, ConfigRequest};
use poplarvale_lib::relay::catalog_log::Known;
use poplarvale_lib::relay::catalog_update::parts;
use prost::Message as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::WriteHalf;
use tokio::sync::Semaphore;

use super::codec;
use crate::relay::peers::moves_without_evidence;
use crate::relay::state::State;

/// Target of the requests for the configuration. A path begins with a slash, so no caller's request
/// that is forwarded to this daemon can have it.
pub(crate) const TARGET: &[u8] = b"config";

/// Most transfers at the same time.
const MAX_TRANSFERS: usize = 4;
/// How long a receiver may take to accept one part.
const PART_TIMEOUT: Duration = Duration::from_secs(2);

/// Transfers to other daemons.
#[derive(Debug)]
pub(super) struct Transfers {
    slots: Semaphore,
    /// Daemons that were served, and up to which revision.
    served: RefCell<Vec<(Ipv4Addr, Revision)>>,
}

impl Default for Transfers {
    fn default() -> Self {
        Self {
            slots: Semaphore::new(MAX_TRANSFERS),
            served: RefCell::default(),
        }
    }
}

impl Transfers {
    /// Random daemon that was served everything up to a revision.
    fn other(&self, revision: Revision, not: Ipv4Addr) -> Option<Ipv4Addr> {
        let served = self.served.borrow();
        let rows = served
            .iter()
            .filter(|row| row.1 >= revision && row.0 != not);
        let rows: Vec<Ipv4Addr> = rows.map(|row| row.0).collect();
        (!rows.is_empty()).then(|| rows[fastrand::usize(..rows.len())])
    }

    fn record(&self, daemon: Ipv4Addr, revision: Revision) {
        let mut served = self.served.borrow_mut();
        served.retain(|row| row.0 != daemon && row.1 >= revision);
        served.push((daemon, revision));
    }
}

/// Answers a request of another daemon; returns whether the connection can be used again.
pub(crate) async fn serve_config(state: &State, request: &[u8], write: &mut WriteHalf<'_>) -> bool {
    let request = match ConfigRequest::decode(request) {
        Ok(request) => request,
        Err(error) => {
            log::warn!("config: dropped a request that cannot be decoded, {error}.");
            return false;
        }
    };
    let known = Known {
        revision: request.revision,
        snapshot: request.snapshot,
        parts: request.parts,
    };
    let sender = Ipv4Addr::from(request.sender);
    if !has_all(state, request.needed) {
        return send(write, &ConfigReply::default(), &[]).await;
    }
    let transfers = &state.config.transfers;
    let mut permit = None;
    if !missing_parts(state, known).is_empty() {
        permit = transfers.slots.try_acquire().ok();
        if permit.is_none() {
            if let Some(other) = transfers.other(request.needed, sender) {
                let reply = ConfigReply {
                    other: other.into(),
                    ..ConfigReply::default()
                };
                return send(write, &reply, &[]).await;
            }
            permit = transfers.slots.acquire().await.ok();
        }
    }
    let revision = state.store_progress.borrow().config_read();
    let reply = ConfigReply {
        revision: revision.unwrap_or_default(),
        moves: moves_without_evidence(state),
        other: 0,
    };
    let is_sent = send(write, &reply, &missing_parts(state, known)).await;
    drop(permit);
    if is_sent && let Some(revision) = revision {
        transfers.record(sender, revision);
    }
    is_sent
}

/// Whether all changes of the operators up to a revision are in force here.
fn has_all(state: &State, revision: Revision) -> bool {
    let progress = state.store_progress.borrow();
    progress.config_read().is_some_and(|read| read >= revision)
}

/// The parts that a daemon lacks.
fn missing_parts(state: &State, known: Known) -> Vec<Bytes> {
    let Some(catalog) = state.catalog.borrow().clone() else {
        return Vec::new();
    };
    let mut log = state.config.log.borrow_mut();
    if let Some(missing) = log.since(known) {
        return missing;
    }
    let snapshot = parts(None, &catalog).iter().map(codec::encode).collect();
    log.set_snapshot(catalog.revision, snapshot);
    log.since(known).unwrap_or_default()
}

/// Sends a reply and the parts that follow it, each preceded by its length.
async fn send(write: &mut WriteHalf<'_>, reply: &ConfigReply, parts: &[Bytes]) -> bool {
    let reply = Bytes::from(reply.encode_to_vec());
    let frames = || std::iter::once(&reply).chain(parts);
    let len: usize = frames().map(|frame| size_of::<u32>() + frame.len()).sum();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {len}\r\n\r\n");
    let mut bytes = BytesMut::from(head.as_bytes());
    for frame in frames() {
        bytes.put_u32(frame.len() as u32);
        bytes.extend_from_slice(frame);
        let written = tokio::time::timeout(PART_TIMEOUT, write.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            log::info!("config: a daemon that asked did not take its answer; giving up.");
            return false;
        }
        bytes.clear();
    }
    true
}
