//! Metrics and a dump of the daemon's state, for operators.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use poplarvale_lib::http1::Request;
use poplarvale_lib::relay::connectivity::ReachableSpan;
use poplarvale_lib::relay::endpoint_table::{Endpoint, EndpointState, EndpointTable};
use poplarvale_lib::relay::limit::Limit;
use poplarvale_lib::relay::pace::Pace;
use poplarvale_lib::{Code, Ran};
use poplarvale_platform::rejection_response;
use serde_json::{Value, json};
use tokio::net::TcpStream;

use super::plain_server::serve_plain;
use super::state::State;

/// Work of a long prompt, for which an endpoint's slowdown is told.
const LONG_WORK: Duration = Duration::from_secs(1);

/// Answers the requests of one connection until it ends.
pub(crate) async fn serve_status(state: Rc<State>, stream: TcpStream) {
    serve_plain(state, stream, answer).await;
}

/// Answers one request for the metrics or the dump.
fn answer(state: &State, request: &Request) -> BytesMut {
    let (content_type, body) = match &*request.target {
        b"/metrics" => {
            let page = state.metrics.as_ref().map(super::metrics::Metrics::page);
            ("text/plain; version=0.0.4", page.unwrap_or_default())
        }
        b"/dump" => ("application/json", dump(state).to_string()),
        _ => return rejection_response(Code::NoTable, Ran::No, None, None, request.keep_alive),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    BytesMut::from((head + &body).as_bytes())
}

/// The state of the daemon. It contains no keys and no content of requests.
fn dump(state: &State) -> Value {
    let now = Instant::now();
    let table = state.endpoints.borrow();
    let endpoints: Vec<Value> = table
        .rows()
        .iter()
        .map(|row| endpoint(&table, row, now))
        .collect();
    let peers = state.peers.borrow();
    let peers: Vec<Value> = peers
        .rows()
        .iter()
        .map(|row| {
            let name = row.identity.as_ref().map(|known| known.0.as_str());
            json!({"address": row.address.to_string(), "name": name,
                   "heard_ms": now.duration_since(row.received).as_millis() as u64,
                   "store_steady_ms": reachable_ms(row.store, now)})
        })
        .collect();
    let crashes = state.crashes.borrow();
    let quarantined: Vec<String> = crashes
        .quarantined()
        .map(|fingerprint| format!("{fingerprint:016x}"))
        .collect();
    let evidence: Vec<Value> = crashes
        .quarantined()
        .filter_map(|fingerprint| {
            let (counted, moments, trial) = crashes.evidence(fingerprint)?;
            let left = crashes.quarantine_left(fingerprint, now);
            let until = |at: Instant| at.saturating_duration_since(now).as_millis() as u64;
            Some(json!({
                "content": format!("{fingerprint:016x}"), "crashes": counted, "moments": moments,
                "left_ms": left.map(|left| left.as_millis() as u64),
                "trial_ms": trial.map(until),
            }))
        })
        .collect();
    json!({
        "name": state.settings.name.as_str(),
        "zone": state.settings.zone.as_str(),
        "ready": state.is_ready(),
        "ending": !state.phase().is_serving(),
        "active": state.active.get(),
        "catalog": state.catalog.borrow().as_ref().map(|catalog| catalog.version),
        "config": state.config.timeline().borrow().dump(now),
        "store_heard_ms": state.connectivity.get().since_answer(now).as_millis() as u64,
        "store_steady_ms": reachable_ms(state.connectivity.get().span(), now),
        "holder": state.duty_holder.borrow().as_deref(),
        "log_lines_dropped": super::logging::dropped_lines(),
        "quarantined": quarantined,
        "quarantine_evidence": evidence,
        "evacuated": table.evacuated(),
        "endpoints": endpoints,
        "daemons": peers,
    })
}

/// For how long the store has answered without an interruption, in milliseconds.
fn reachable_ms(span: Option<ReachableSpan>, now: Instant) -> Option<u64> {
    let since = span?.since;
    Some(now.saturating_duration_since(since).as_millis() as u64)
}

/// One row of the endpoint table.
fn endpoint(table: &EndpointTable, row: &Endpoint, now: Instant) -> Value {
    let state = match row.state {
        EndpointState::Ready => "ready",
        EndpointState::Doubtful(_) => "doubtful",
        EndpointState::Leaving => "leaving",
    };
    let pace = row.pace.expected(LONG_WORK, now);
    let slowdown = table.service_speed(&row.listing.service).slowdown(pace);
    json!({
        "id": row.listing.id.as_str(),
        "service": row.listing.service.as_str(),
        "zone": row.listing.zone.as_str(),
        "address": row.listing.address.to_string(),
        "standing": state,
        "fit": row.breaker.allows_request(now),
        "silent": row.silence.is_silent(),
        "requests": row.in_flight.len(),
        "others": row.remote_load.requests,
        "backlog_tokens": row.backlog() as u64,
        "evacuated": row.is_evacuated,
        "pace_percent": row.pace.fleet_mean(now).map(Pace::percent),
        "slowdown": slowdown,
        "cold_ms": row.cold.as_ref().map(|cold| {
            cold.warm_at().saturating_duration_since(now).as_millis() as u64
        }),
        "rest_ms": row.rest_until.map(|until| {
            until.saturating_duration_since(now).as_millis() as u64
        }),
        "limit": row.limit.as_ref().and_then(Limit::rate),
        "speed_factor": row.speed.factor(),
    })
}
