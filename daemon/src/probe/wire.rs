//! The calls to engines, and the gossip row that publishes an engine's load.

use std::time::{Duration, Instant};

use awc::Client;
use poplarvale_lib::EndpointId;
use poplarvale_lib::protos::peer::LoadRow;
use poplarvale_lib::protos::platform::{CacheChange, EngineLoad};
use poplarvale_lib::routing::{CacheEvent, LoadReport};

use super::polled::PolledEngine;

/// Size limit of an answer, in bytes. Enough for some thousand events.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Answers of an engine to a poll.
pub(super) struct PollResult {
    pub(super) endpoint: EndpointId,
    /// When the load arrived.
    pub(super) at: Instant,
    pub(super) load: EngineLoad,
    pub(super) changes: Vec<CacheChange>,
}

/// Polls an engine. None if it doesn't answer. Load is useful even without events, so if the call
/// for events fails, the result has no events.
pub(super) async fn poll(client: Client, engine: PolledEngine) -> Option<PollResult> {
    let url = |path: &str| format!("http://{}{path}", engine.address);
    let mut answer = client.get(url("/load")).send().await.ok()?;
    let load: EngineLoad = answer.json().limit(MAX_ANSWER_BYTES).await.ok()?;
    let at = Instant::now();
    let path = format!("/cache/events?after={}", engine.after(load.epoch));
    let changes = match client.get(url(&path)).send().await {
        Ok(mut answer) => answer.json().limit(MAX_ANSWER_BYTES).await.ok(),
        Err(_) => None,
    };
    Some(PollResult {
        endpoint: engine.id,
        at,
        load,
        changes: changes.unwrap_or_default(),
    })
}

/// Gossip row with an engine's load.
pub(super) fn load_row(load: &EngineLoad) -> LoadRow {
    LoadRow {
        age_ms: load.age_ms,
        running: load.running,
        pending: load.pending,
        slots: load.slots,
        prefill: load.prefill,
        decode: load.decode,
        export: load.export,
    }
}

/// The load report in a row that was received at the given time. The age in the row doesn't include
/// the one or two gossip rounds that the row took to arrive.
pub(crate) fn load_report(endpoint: &EndpointId, now: Instant, row: &LoadRow) -> LoadReport {
    let age = Duration::from_millis(row.age_ms.into());
    LoadReport {
        endpoint: endpoint.clone(),
        at: now.checked_sub(age).unwrap_or(now),
        running: row.running,
        pending: f64::from(row.pending),
        slots: row.slots,
        prefill: f64::from(row.prefill),
        decode: f64::from(row.decode),
        export: f64::from(row.export),
    }
}

/// A change of an engine's cache as an event for routing.
pub(super) fn cache_event(endpoint: &EndpointId, epoch: u64, change: &CacheChange) -> CacheEvent {
    let (added, removed) = if change.added {
        (vec![change.block], Vec::new())
    } else {
        (Vec::new(), vec![change.block])
    };
    CacheEvent {
        endpoint: endpoint.clone(),
        epoch,
        sequence: change.seq,
        added,
        removed,
    }
}
