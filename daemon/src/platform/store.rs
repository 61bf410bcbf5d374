//! Client of the key-value service's JSON gateway.
//!
//! Each call has a timeout, only so many run at once, and a breaker fails them
//! at once while the service counts as out. What is certain is kept apart: a
//! call is [`Failure::NotDone`] only if it was never sent or was refused as
//! malformed; everything else that goes wrong is [`Failure::Unknown`].

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

/// Time for a whole call; healthy ones take milliseconds, and a claim that
/// waits longer makes its request late anyhow.
const CALL_TIME: Duration = Duration::from_secs(1);
/// Calls at once: enough for claims and reads of one daemon at a few ms each,
/// and few enough that a service which hangs holds little memory here.
const MOST_RUNNING: u32 = 16;
/// Largest answer: both lists in base64, with some room.
const MOST_ANSWER: usize = 4 * MAX_VALUE_BYTES;

/// Client of the key-value service.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    running: Cell<u32>,
    breaker: RefCell<Breaker>,
}

/// Counts a call as running until it is dropped, also when it is given up.
struct Place<'a>(&'a Cell<u32>);

impl Drop for Place<'_> {
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

    /// Notes how many daemons share the service.
    pub fn set_daemons(&self, daemons: u32) {
        self.breaker.borrow_mut().set_daemons(daemons);
    }

    /// Whether the service counts as out.
    pub fn is_out(&self) -> bool {
        self.breaker.borrow().is_open()
    }

    async fn call<A: DeserializeOwned>(
        &self,
        path: &str,
        ask: &impl Serialize,
    ) -> Result<A, Failure> {
        let _place = self.place()?;
        let sent = Instant::now();
        if let Allow::No(_) = self.breaker.borrow_mut().allow(sent) {
            return Err(Failure::NotDone);
        }
        let called = timeout(CALL_TIME, self.send(path, ask)).await;
        let result = called.unwrap_or(Err(Failure::Unknown));
        let answered = result.is_ok();
        self.note(sent, answered);
        result
    }

    fn note(&self, sent: Instant, answered: bool) {
        let mut breaker = self.breaker.borrow_mut();
        breaker.record(Instant::now(), sent, answered);
    }

    fn place(&self) -> Result<Place<'_>, Failure> {
        if self.running.get() >= MOST_RUNNING {
            return Err(Failure::NotDone);
        }
        self.running.set(self.running.get() + 1);
        Ok(Place(&self.running))
    }

    async fn send<A: DeserializeOwned>(
        &self,
        path: &str,
        ask: &impl Serialize,
    ) -> Result<A, Failure> {
        let client = client();
        let request = client.post(self.url(path));
        let mut response = request.send_json(ask).await.map_err(|e| unsent(&e))?;
        if response.status().is_client_error() {
            return Err(Failure::NotDone);
        }
        if !response.status().is_success() {
            return Err(Failure::Unknown);
        }
        let body = response.json().limit(MOST_ANSWER).await;
        body.map_err(|_broken| Failure::Unknown)
    }

    async fn read(&self, key: &str, end: &[u8]) -> Result<Snapshot, Failure> {
        let ask = range(key, end);
        let found: wire::RangeResponse = self.call("/v3/kv/range", &ask).await?;
        snapshot(found.header.as_ref(), &found.kvs)
    }

    /// Reads lines of a watch until it breaks; never ends well.
    async fn follow(
        &self,
        sent: Instant,
        ask: &wire::WatchRequest,
        on_change: &mut impl FnMut(StoredValue),
    ) -> Result<(), Failure> {
        let client = client();
        let request = client.post(self.url("/v3/watch")).send_json(ask);
        let begun = timeout(CALL_TIME, request).await;
        let answered = matches!(&begun, Ok(Ok(response)) if response.status().is_success());
        self.note(sent, answered);
        let begun = begun.map_err(|_late| Failure::Unknown)?;
        let mut response = begun.map_err(|e| unsent(&e))?;
        if !response.status().is_success() {
            return Err(Failure::Unknown);
        }
        let mut buffer = BytesMut::new();
        while let Some(chunk) = response.next().await {
            buffer.extend(chunk.map_err(|_broken| Failure::Unknown)?);
            while let Some(at) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(at + 1);
                told(&line, on_change)?;
            }
            if buffer.len() > MOST_ANSWER {
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
        let ask = wire::TxnRequest {
            compare: write.conditions.iter().map(compare).collect(),
            success: write.puts.iter().map(put).collect(),
            failure: reads.collect(),
        };
        let done: wire::TxnResponse = self.call("/v3/kv/txn", &ask).await?;
        if done.succeeded {
            return Ok(Written::Done(revision(done.header.as_ref())?));
        }
        let found = done.responses.into_iter().filter_map(|r| r.response_range);
        let kvs: Vec<_> = found.flat_map(|range| range.kvs).collect();
        Ok(Written::Conflict(snapshot(done.header.as_ref(), &kvs)?))
    }

    async fn grant(&self, lasts: Duration) -> Result<Lease, Failure> {
        let sent = Instant::now();
        let ask = wire::LeaseGrantRequest {
            ttl: lasts.as_secs().to_string(),
            id: "0".into(),
        };
        let given: wire::LeaseGrantResponse = self.call("/v3/lease/grant", &ask).await?;
        Ok(Lease {
            id: number(&given.id)?,
            until: sent + Duration::from_secs(number(&given.ttl)?),
        })
    }

    async fn renew(&self, lease: LeaseId) -> Result<Option<Lease>, Failure> {
        let sent = Instant::now();
        let ask = wire::LeaseRequest {
            id: lease.to_string(),
        };
        let kept: wire::LeaseKeepAliveResponse = self.call("/v3/lease/keepalive", &ask).await?;
        let seconds = number(&kept.result.unwrap_or_default().ttl)?;
        Ok((seconds > 0).then(|| Lease {
            id: lease,
            until: sent + Duration::from_secs(seconds),
        }))
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Failure> {
        let ask = wire::LeaseRequest {
            id: lease.to_string(),
        };
        let _done: wire::LeaseRevokeResponse = self.call("/v3/lease/revoke", &ask).await?;
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
        let ask = wire::WatchRequest {
            create_request: Some(wire::WatchCreateRequest {
                key: to_base64(key.as_bytes()),
                range_end: String::new(),
                start_revision: from.to_string(),
            }),
        };
        let ended = self.follow(sent, &ask, &mut on_change).await;
        ended.err().unwrap_or(Failure::Unknown)
    }
}

/// A client with connections of its own.
///
/// A pooled connection that the service has closed meanwhile would turn a call
/// that never left into one of unknown outcome; calls are few, and a fresh
/// connection to a service that is down fails as not done.
fn client() -> awc::Client {
    let connector = awc::Connector::new().limit(1);
    let builder = awc::Client::builder().connector(connector);
    builder.timeout(CALL_TIME).finish()
}

/// Tells a call that never left from one that may have.
///
/// The library also reports a connection that was made, carried the call and
/// then broke as a failure to connect. Taking that as not done would make a
/// write that took effect look free to be made again, so only the operating
/// system's refusals to connect count.
fn unsent(error: &SendRequestError) -> Failure {
    use std::io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable};
    let SendRequestError::Connect(ConnectError::Io(error)) = error else {
        return Failure::Unknown;
    };
    match error.kind() {
        ConnectionRefused | HostUnreachable | NetworkUnreachable => Failure::NotDone,
        _ => Failure::Unknown,
    }
}

fn told(line: &[u8], on_change: &mut impl FnMut(StoredValue)) -> Result<(), Failure> {
    let line: wire::WatchLine =
        serde_json::from_slice(line).map_err(|_malformed| Failure::Unknown)?;
    let events = line.result.unwrap_or_default().events;
    for kv in events.iter().filter_map(|event| event.kv.as_ref()) {
        on_change(held(kv)?);
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
    let rows = kvs.iter().map(held).collect::<Result<Vec<_>, _>>();
    let mut rows = rows?;
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    rows.dedup();
    Ok(Snapshot {
        revision: revision(header)?,
        rows,
    })
}

fn held(kv: &wire::KeyValue) -> Result<StoredValue, Failure> {
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

/// Reads a 64-bit number; the gateway leaves out those that are 0.
fn number(text: &str) -> Result<u64, Failure> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse().map_err(|_invalid| Failure::Unknown)
}
