//! What engines answer, and the row that passes it on.

use std::time::{Duration, Instant};

use awc::Client;
use poplarvale_lib::EndpointId;
use poplarvale_lib::protos::peer::LoadRow;
use poplarvale_lib::protos::platform::{CacheChange, EngineLoad};
use poplarvale_lib::routing::{CacheEvent, LoadReport};

use super::duty::Duty;

/// Largest answer with events: some thousands of them.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Answers of an engine.
pub(super) struct PollResult {
    pub(super) endpoint: EndpointId,
    /// When the load came.
    pub(super) at: Instant,
    pub(super) load: EngineLoad,
    pub(super) changes: Vec<CacheChange>,
}

/// Asks an engine; none if it does not answer. Load without events is worth
/// having, so events that do not come count as none for now.
pub(super) async fn ask(client: Client, duty: Duty) -> Option<PollResult> {
    let url = |path: &str| format!("http://{}{path}", duty.address);
    let mut answer = client.get(url("/load")).send().await.ok()?;
    let load: EngineLoad = answer.json().limit(MAX_ANSWER_BYTES).await.ok()?;
    let at = Instant::now();
    let path = format!("/cache/events?after={}", duty.after(load.epoch));
    let changes = match client.get(url(&path)).send().await {
        Ok(mut answer) => answer.json().limit(MAX_ANSWER_BYTES).await.ok(),
        Err(_) => None,
    };
    Some(PollResult {
        endpoint: duty.id,
        at,
        load,
        changes: changes.unwrap_or_default(),
    })
}

/// Row about a load.
pub(super) fn row(load: &EngineLoad) -> LoadRow {
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

/// What a row that comes at a time says of an endpoint. A row is a round or two
/// of gossip under way, which its age leaves out.
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

/// A change of an engine's cache, as routing takes it.
pub(super) fn event(endpoint: &EndpointId, epoch: u64, change: &CacheChange) -> CacheEvent {
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
