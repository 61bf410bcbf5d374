//! Client for the key-value service's JSON gateway.
//!
//! Each call has a timeout, the number of concurrent calls is limited, and a circuit breaker fails
//! calls immediately while the service counts as unavailable. A failed call is [`Failure::NotDone`]
//! only if it was certainly not done, because it was never sent or was rejected as malformed; every
//! other failure is [`Failure::Unknown`].

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_web::rt::time::timeout;
use awc::error::{ConnectError, SendRequestError};
use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use poplarvale_lib::Revision;
use poplarvale_lib::protos::platform as wire;
use poplarvale_lib::store::{
    Allow, Breaker, Condition, Failure, Lease, LeaseId, MAX_VALUE_BYTES, Put, Snapshot, Store,
    StoredValue, Write, Written, from_base64, to_base64,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of a call. Healthy calls take milliseconds, and a claim that waits longer makes its
/// request late anyway.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Most concurrent calls: enough for the claims and reads of one daemon at a few milliseconds each,
/// and few enough that the calls to a hanging service occupy little memory.
const MAX_CALLS: u32 = 16;
/// Largest answer: both lists in base64, with some reserve.
const MAX_ANSWER_BYTES: usize = 4 * MAX_VALUE_BYTES;

/// Client of the key-value service.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    running: Cell<u32>,
    breaker: RefCell<Breaker>,
}

/// Counts a call as running until dropped, also if the call is cancelled.
struct CallSlot<'a>(&'a Cell<u32>);

impl Drop for CallSlot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl StoreClient {
    /// Client of the service at an address.
    pub fn new(address: SocketAddr, seed: u64) -> Self {
        Self {
            address,
            running: Cell::new(0),
            breaker: RefCell::new(Breaker::new(seed)),
        }
    }

    /// Sets how many daemons share the service.
    pub fn set_daemons(&self, daemons: u32) {
        self.breaker.borrow_mut().set_daemons(daemons);
    }

    /// Whether the circuit breaker treats the service as unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.breaker.borrow().is_open()
    }

    /// Makes a call, if the limit and the breaker allow it, and records its result in the breaker.
    async fn call<A: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<A, Failure> {
        let _slot = self.take_slot()?;
        let sent = Instant::now();
        if let Allow::No(_) = self.breaker.borrow_mut().allow(sent) {
            return Err(Failure::NotDone);
        }
        let called = timeout(CALL_TIMEOUT, self.send(path, message)).await;
        let result = called.unwrap_or(Err(Failure::Unknown));
        let answered = result.is_ok();
        self.record(sent, answered);
        result
    }

    fn record(&self, sent: Instant, answered: bool) {
        let mut breaker = self.breaker.borrow_mut();
        breaker.record(Instant::now(), sent, answered);
    }

    fn take_slot(&self) -> Result<CallSlot<'_>, Failure> {
        if self.running.get() >= MAX_CALLS {
            return Err(Failure::NotDone);
        }
        self.running.set(self.running.get() + 1);
        Ok(CallSlot(&self.running))
    }

    async fn send<A: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<A, Failure> {
        let client = client();
        let request = client.post(self.url(path));
        let mut response = request
            .send_json(message)
            .await
            .map_err(|e| send_failure(&e))?;
        if response.status().is_client_error() {
            return Err(Failure::NotDone);
        }
        if !response.status().is_success() {
            return Err(Failure::Unknown);
        }
        let body = response.json().limit(MAX_ANSWER_BYTES).await;
        body.map_err(|_broken| Failure::Unknown)
    }

    async fn read(&self, key: &str, end: &[u8]) -> Result<Snapshot, Failure> {
        let message = range(key, end);
        let found: wire::RangeResponse = self.call("/v3/kv/range", &message).await?;
        snapshot(found.header.as_ref(), &found.kvs)
    }

    /// Reads the lines of a watch until it breaks; always ends with an error.
    async fn read_watch(
        &self,
        sent: Instant,
        message: &wire::WatchRequest,
        on_change: &mut impl FnMut(StoredValue),
    ) -> Result<(), Failure> {
        let client = client();
        let request = client.post(self.url("/v3/watch")).send_json(message);
        let started = timeout(CALL_TIMEOUT, request).await;
        let answered = matches!(&started, Ok(Ok(response)) if response.status().is_success());
        self.record(sent, answered);
        let started = started.map_err(|_late| Failure::Unknown)?;
        let mut response = started.map_err(|e| send_failure(&e))?;
        if !response.status().is_success() {
            return Err(Failure::Unknown);
        }
        let mut buffer = BytesMut::new();
        while let Some(chunk) = response.next().await {
            buffer.extend(chunk.map_err(|_broken| Failure::Unknown)?);
            while let Some(at) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(at + 1);
                apply_line(&line, on_change)?;
            }
            if buffer.len() > MAX_ANSWER_BYTES {
                return Err(Failure::Unknown);
            }
        }
        Err(Failure::Unknown)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

impl Store for StoreClient {
    async fn get(&self, key: &str) -> Result<Snapshot, Failure> {
        self.read(key, &[]).await
    }

    async fn range(&self, prefix: &str) -> Result<Snapshot, Failure> {
        let mut end = prefix.as_bytes().to_vec();
        if let Some(last) = end.last_mut() {
            *last += 1;
        }
        self.read(prefix, &end).await
    }

    async fn write(&self, write: Write) -> Result<Written, Failure> {
        if write
            .puts
            .iter()
            .any(|put| put.value.len() > MAX_VALUE_BYTES)
        {
            return Err(Failure::NotDone);
        }
        let reads = write.conditions.iter().map(|c| wire::RequestOp {
            request_range: Some(range(c.key(), &[])),
            request_put: None,
        });
        let message = wire::TxnRequest {
            compare: write.conditions.iter().map(compare).collect(),
            success: write.puts.iter().map(put).collect(),
            failure: reads.collect(),
        };
        let done: wire::TxnResponse = self.call("/v3/kv/txn", &message).await?;
        if done.succeeded {
            return Ok(Written::Done(revision(done.header.as_ref())?));
        }
        let found = done.responses.into_iter().filter_map(|r| r.response_range);
        let kvs: Vec<_> = found.flat_map(|range| range.kvs).collect();
        Ok(Written::Conflict(snapshot(done.header.as_ref(), &kvs)?))
    }

    async fn grant(&self, lasts: Duration) -> Result<Lease, Failure> {
        let sent = Instant::now();
        let message = wire::LeaseGrantRequest {
            ttl: lasts.as_secs().to_string(),
            id: "0".into(),
        };
        let given: wire::LeaseGrantResponse = self.call("/v3/lease/grant", &message).await?;
        Ok(Lease {
            id: number(&given.id)?,
            until: sent + Duration::from_secs(number(&given.ttl)?),
        })
    }

    async fn renew(&self, lease: LeaseId) -> Result<Option<Lease>, Failure> {
        let sent = Instant::now();
        let message = wire::LeaseRequest {
            id: lease.to_string(),
        };
        let kept: wire::LeaseKeepAliveResponse = self.call("/v3/lease/keepalive", &message).await?;
        let seconds = number(&kept.result.unwrap_or_default().ttl)?;
        Ok((seconds > 0).then(|| Lease {
            id: lease,
            until: sent + Duration::from_secs(seconds),
        }))
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Failure> {
        let message = wire::LeaseRequest {
            id: lease.to_string(),
        };
        let _done: wire::LeaseRevokeResponse = self.call("/v3/lease/revoke", &message).await?;
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        from: Revision,
        mut on_change: impl FnMut(StoredValue),
    ) -> Failure {
        let sent = Instant::now();
        if let Allow::No(_) = self.breaker.borrow_mut().allow(sent) {
            return Failure::NotDone;
        }
        let message = wire::WatchRequest {
            create_request: Some(wire::WatchCreateRequest {
                key: to_base64(key.as_bytes()),
                range_end: String::new(),
                start_revision: from.to_string(),
            }),
        };
        let ended = self.read_watch(sent, &message, &mut on_change).await;
        ended.err().unwrap_or(Failure::Unknown)
    }
}

/// A client for one call, with a new connection.
///
/// On a pooled connection that the service has closed, a call that was never sent would fail with
/// unknown outcome. Calls are few, and a new connection to a service that is down fails as not
/// done.
fn client() -> awc::Client {
    let connector = awc::Connector::new().limit(1);
    let builder = awc::Client::builder().connector(connector);
    builder.timeout(CALL_TIMEOUT).finish()
}

/// Distinguishes a call that was never sent from one that may have been.
///
/// The library also reports a connection that broke after the call was sent as a failure to
/// connect. If that counted as not done, a write that took effect might be made again; so only the
/// operating system's errors for a failed connect count.
fn send_failure(error: &SendRequestError) -> Failure {
    use std::io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable};
    let SendRequestError::Connect(ConnectError::Io(error)) = error else {
        return Failure::Unknown;
    };
    match error.kind() {
        ConnectionRefused | HostUnreachable | NetworkUnreachable => Failure::NotDone,
        _ => Failure::Unknown,
    }
}

/// Calls `on_change` for each change in a line of a watch.
fn apply_line(line: &[u8], on_change: &mut impl FnMut(StoredValue)) -> Result<(), Failure> {
    let line: wire::WatchLine =
        serde_json::from_slice(line).map_err(|_malformed| Failure::Unknown)?;
    let events = line.result.unwrap_or_default().events;
    for kv in events.iter().filter_map(|event| event.kv.as_ref()) {
        on_change(stored_value(kv)?);
    }
    Ok(())
}

fn range(key: &str, end: &[u8]) -> wire::RangeRequest {
    wire::RangeRequest {
        key: to_base64(key.as_bytes()),
        range_end: to_base64(end),
    }
}

fn compare(condition: &Condition) -> wire::Compare {
    let (target, created, changed) = match condition {
        Condition::Absent(_) => ("CREATE", Some("0".into()), None),
        Condition::Unchanged(_, revision) => ("MOD", None, Some(revision.to_string())),
    };
    wire::Compare {
        result: "EQUAL".into(),
        target: target.into(),
        key: to_base64(condition.key().as_bytes()),
        create_revision: created,
        mod_revision: changed,
    }
}

fn put(put: &Put) -> wire::RequestOp {
    wire::RequestOp {
        request_range: None,
        request_put: Some(wire::PutRequest {
            key: to_base64(put.key.as_bytes()),
            value: to_base64(&put.value),
            lease: put.lease.to_string(),
        }),
    }
}

fn snapshot(header: Option<&wire::Header>, kvs: &[wire::KeyValue]) -> Result<Snapshot, Failure> {
    let rows = kvs.iter().map(stored_value).collect::<Result<Vec<_>, _>>();
    let mut rows = rows?;
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    rows.dedup();
    Ok(Snapshot {
        revision: revision(header)?,
        rows,
    })
}

fn stored_value(kv: &wire::KeyValue) -> Result<StoredValue, Failure> {
    let key = from_base64(&kv.key).ok_or(Failure::Unknown)?;
    let key = String::from_utf8(key).map_err(|_invalid| Failure::Unknown)?;
    let value = from_base64(&kv.value).ok_or(Failure::Unknown)?;
    Ok(StoredValue {
        key: key.into(),
        value: Bytes::from(value),
        created: number(&kv.create_revision)?,
        changed: number(&kv.mod_revision)?,
        lease: number(&kv.lease)?,
    })
}

fn revision(header: Option<&wire::Header>) -> Result<Revision, Failure> {
    number(&header.ok_or(Failure::Unknown)?.revision)
}

/// Parses a 64-bit number; the gateway omits fields that are 0.
fn number(text: &str) -> Result<u64, Failure> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse().map_err(|_invalid| Failure::Unknown)
}
