//! HTTP stand-in for the key-value service: its JSON gateway over the model in `data`.
//!
//! Each `POST /faults` replaces the previous faults; `GET /counts` returns the number of
//! calls so far. A watch reports only the latest value of each key, and no deletions.

use std::collections::VecDeque;
use std::io;
use std::net::TcpListener;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_web::dev::Server;
use actix_web::web::{self, Bytes, Json};
use actix_web::{App, HttpResponse, HttpServer};
use futures::stream;
use poplarvale_lib::Revision;
use poplarvale_lib::protos::platform as wire;
use poplarvale_lib::store::{
    Condition, Failure, LeaseId, MAX_PUTS, MAX_VALUE_BYTES, Put, Snapshot, StoredValue,
    from_base64, to_base64,
};
use tokio::sync::watch;

use super::data::{Data, Fake, Faults};

/// Largest request body in bytes: a transaction of the largest values in base64, with some room.
const MAX_BODY_BYTES: usize = 3 * MAX_VALUE_BYTES;

/// State that all connections share.
#[derive(Debug)]
struct Shared {
    fake: Mutex<Fake>,
    /// Revision, and how often the open watches were made to stop sending.
    changes: watch::Sender<(Revision, u64)>,
}

impl Shared {
    fn with<T>(&self, act: impl FnOnce(&mut Fake) -> T) -> T {
        let mut fake = self.fake.lock().unwrap_or_else(PoisonError::into_inner);
        fake.data.expire_leases(Instant::now());
        let out = act(&mut fake);
        let revision = fake.data.revision();
        self.changes.send_if_modified(|seen| {
            let newer = seen.0 < revision;
            seen.0 = revision;
            newer
        });
        out
    }
}

type State = web::Data<Shared>;
type Answer = Result<HttpResponse, actix_web::Error>;

/// Serves on a listener until the server is stopped.
pub fn serve(listener: TcpListener) -> io::Result<Server> {
    let shared = web::Data::new(Shared {
        fake: Mutex::default(),
        changes: watch::Sender::new((0, 0)),
    });
    let app = move || {
        App::new()
            .app_data(State::clone(&shared))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .route("/v3/kv/range", web::post().to(range))
            .route("/v3/kv/put", web::post().to(put))
            .route("/v3/kv/txn", web::post().to(txn))
            .route("/v3/lease/grant", web::post().to(grant))
            .route("/v3/lease/keepalive", web::post().to(renew))
            .route("/v3/lease/revoke", web::post().to(revoke))
            .route("/v3/watch", web::post().to(watch_key))
            .route("/faults", web::post().to(faults))
            .route("/counts", web::get().to(counts))
    };
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .listen(listener)?;
    Ok(server.run())
}

async fn range(state: State, Json(request): Json<wire::RangeRequest>) -> Answer {
    state.with(|fake| match request.range_end.as_str() {
        "" => fake.counts.reads += 1,
        _ => fake.counts.ranges += 1,
    });
    apply_faults(&state).await?;
    let found = state.with(|fake| range_response(&fake.data, &request))?;
    Ok(HttpResponse::Ok().json(found))
}

async fn put(state: State, Json(request): Json<wire::PutRequest>) -> Answer {
    state.with(|fake| fake.counts.writes += 1);
    apply_faults(&state).await?;
    let put = read_put(&request)?;
    let (revision, delivered) =
        state.with(|fake| (fake.data.put(vec![put]), fake.deliver_answer()));
    let header = Some(header(revision));
    Ok(answer(delivered, &wire::PutResponse { header }))
}

async fn txn(state: State, Json(request): Json<wire::TxnRequest>) -> Answer {
    state.with(|fake| fake.counts.writes += 1);
    apply_faults(&state).await?;
    if request.compare.len() > MAX_PUTS || request.success.len() > MAX_PUTS {
        return Err(bad_request("too many operations"));
    }
    let conditions = request.compare.iter().map(read_compare);
    let conditions = conditions.collect::<Result<Vec<_>, _>>()?;
    let done = state.with(|fake| {
        let succeeded = conditions.iter().all(|c| fake.data.holds(c));
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        let responses = run_ops(&mut fake.data, ops)?;
        let header = Some(header(fake.data.revision()));
        let done = wire::TxnResponse {
            header,
            succeeded,
            responses,
        };
        Ok::<_, actix_web::Error>((done, fake.deliver_answer()))
    });
    let (done, delivered) = done?;
    Ok(answer(delivered, &done))
}

async fn grant(state: State, Json(request): Json<wire::LeaseGrantRequest>) -> Answer {
    state.with(|fake| fake.counts.leases += 1);
    apply_faults(&state).await?;
    let duration = Duration::from_secs(number(&request.ttl)?);
    let id = number(&request.id)?;
    let (id, delivered, revision) = state.with(|fake| {
        let id = fake.data.grant(Instant::now(), id, duration);
        (id, fake.deliver_answer(), fake.data.revision())
    });
    let given = wire::LeaseGrantResponse {
        header: Some(header(revision)),
        id: id.to_string(),
        ttl: request.ttl,
    };
    Ok(answer(delivered, &given))
}

async fn renew(state: State, Json(request): Json<wire::LeaseRequest>) -> Answer {
    state.with(|fake| fake.counts.leases += 1);
    apply_faults(&state).await?;
    let id = number(&request.id)?;
    let duration = state.with(|fake| fake.data.renew(Instant::now(), id));
    let ttl = duration.unwrap_or_default().as_secs().to_string();
    let result = Some(wire::LeaseKeepAliveResult {
        id: request.id,
        ttl,
    });
    Ok(HttpResponse::Ok().json(wire::LeaseKeepAliveResponse { result }))
}

async fn revoke(state: State, Json(request): Json<wire::LeaseRequest>) -> Answer {
    state.with(|fake| fake.counts.leases += 1);
    apply_faults(&state).await?;
    let id: LeaseId = number(&request.id)?;
    let (revision, delivered) = state.with(|fake| {
        fake.data.revoke(id);
        (fake.data.revision(), fake.deliver_answer())
    });
    let header = Some(header(revision));
    Ok(answer(delivered, &wire::LeaseRevokeResponse { header }))
}

async fn faults(state: State, Json(faults): Json<Faults>) -> HttpResponse {
    if faults.forget_watches {
        state.changes.send_modify(|seen| seen.1 += 1);
    }
    state.with(|fake| fake.faults = faults);
    HttpResponse::NoContent().finish()
}

async fn counts(state: State) -> HttpResponse {
    HttpResponse::Ok().json(state.with(|fake| fake.counts))
}

/// An open watch.
struct OpenWatch {
    state: State,
    request: wire::WatchCreateRequest,
    next: Revision,
    changes: watch::Receiver<(Revision, u64)>,
    forgotten: u64,
    lines: VecDeque<Bytes>,
}

async fn watch_key(state: State, Json(request): Json<wire::WatchRequest>) -> Answer {
    state.with(|fake| fake.counts.watches += 1);
    apply_faults(&state).await?;
    let request = request.create_request.unwrap_or_default();
    let created = wire::WatchResponse {
        header: Some(header(state.with(|fake| fake.data.revision()))),
        created: true,
        events: Vec::new(),
    };
    let changes = state.changes.subscribe();
    let forgotten = changes.borrow().1;
    let open = OpenWatch {
        next: number(&request.start_revision)?,
        changes,
        forgotten,
        lines: VecDeque::from([line(created)]),
        state,
        request,
    };
    let lines = stream::unfold(open, next_line);
    Ok(HttpResponse::Ok().streaming(lines))
}

async fn next_line(mut open: OpenWatch) -> Option<(Result<Bytes, io::Error>, OpenWatch)> {
    loop {
        if let Some(line) = open.lines.pop_front() {
            return Some((Ok(line), open));
        }
        let forgotten = open.changes.borrow_and_update().1;
        if forgotten != open.forgotten {
            std::future::pending::<()>().await;
        }
        let request = wire::RangeRequest {
            key: open.request.key.clone(),
            range_end: open.request.range_end.clone(),
        };
        let (down, snapshot) = open
            .state
            .with(|fake| (fake.faults.down, read_range(&fake.data, &request)));
        if down {
            return None;
        }
        let mut rows = snapshot.ok()?.rows;
        rows.retain(|row| row.changed >= open.next);
        if let Some(last) = rows.iter().map(|row| row.changed).max() {
            open.next = last + 1;
            let events = rows.iter().map(|row| wire::Event {
                kv: Some(key_value(row)),
            });
            open.lines.push_back(line(wire::WatchResponse {
                header: Some(header(last)),
                created: false,
                events: events.collect(),
            }));
        } else {
            open.changes.changed().await.ok()?;
        }
    }
}

fn line(response: wire::WatchResponse) -> Bytes {
    let result = Some(response);
    let mut text = serde_json::to_vec(&wire::WatchLine { result }).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}

/// Applies the active faults to a call before it is executed.
async fn apply_faults(state: &State) -> Result<(), actix_web::Error> {
    let faults = state.with(|fake| fake.faults.clone());
    if faults.down {
        return Err(actix_web::error::ErrorServiceUnavailable("down"));
    }
    if faults.hang {
        std::future::pending::<()>().await;
    }
    if faults.slow_ms > 0 {
        actix_web::rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    Ok(())
}

/// The answer, or if it is to be lost, a connection that breaks during the answer.
fn answer(delivered: Result<(), Failure>, body: &impl serde::Serialize) -> HttpResponse {
    if delivered.is_ok() {
        return HttpResponse::Ok().json(body);
    }
    let broken = stream::once(async { Err::<Bytes, _>(io::Error::other("lost")) });
    HttpResponse::Ok().streaming(broken)
}

fn run_ops(
    data: &mut Data,
    ops: &[wire::RequestOp],
) -> Result<Vec<wire::ResponseOp>, actix_web::Error> {
    let puts = ops.iter().filter_map(|op| op.request_put.as_ref());
    let puts = puts.map(read_put).collect::<Result<Vec<_>, _>>()?;
    if !puts.is_empty() {
        data.put(puts);
    }
    let mut responses = Vec::new();
    for op in ops {
        let response_range = match &op.request_range {
            Some(request) => Some(range_response(data, request)?),
            None => None,
        };
        let header = Some(header(data.revision()));
        let put = op.request_put.as_ref();
        responses.push(wire::ResponseOp {
            response_range,
            response_put: put.map(|_| wire::PutResponse { header }),
        });
    }
    Ok(responses)
}

fn range_response(
    data: &Data,
    request: &wire::RangeRequest,
) -> Result<wire::RangeResponse, actix_web::Error> {
    let snapshot = read_range(data, request)?;
    Ok(wire::RangeResponse {
        header: Some(header(snapshot.revision)),
        kvs: snapshot.rows.iter().map(key_value).collect(),
    })
}

fn read_range(data: &Data, request: &wire::RangeRequest) -> Result<Snapshot, actix_web::Error> {
    let end = from_base64(&request.range_end).ok_or_else(|| bad_request("range_end"))?;
    Ok(data.range(&text(&request.key)?, &end))
}

fn read_put(put: &wire::PutRequest) -> Result<Put, actix_web::Error> {
    let value = from_base64(&put.value).ok_or_else(|| bad_request("value"))?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(bad_request("value too large"));
    }
    Ok(Put {
        key: text(&put.key)?.into(),
        value: value.into(),
        lease: number(&put.lease)?,
    })
}

fn read_compare(compare: &wire::Compare) -> Result<Condition, actix_web::Error> {
    let key = text(&compare.key)?.into();
    let created = compare.create_revision.as_deref().unwrap_or_default();
    let changed = compare.mod_revision.as_deref().unwrap_or_default();
    match (compare.result.as_str(), compare.target.as_str()) {
        ("EQUAL", "CREATE") if number(created)? == 0 => Ok(Condition::Absent(key)),
        ("EQUAL", "MOD") => Ok(Condition::Unchanged(key, number(changed)?)),
        _ => Err(bad_request("compare")),
    }
}

fn key_value(row: &StoredValue) -> wire::KeyValue {
    wire::KeyValue {
        key: to_base64(row.key.as_bytes()),
        value: to_base64(&row.value),
        create_revision: row.created.to_string(),
        mod_revision: row.changed.to_string(),
        lease: row.lease.to_string(),
    }
}

fn header(revision: Revision) -> wire::Header {
    wire::Header {
        revision: revision.to_string(),
    }
}

fn text(base64: &str) -> Result<String, actix_web::Error> {
    let bytes = from_base64(base64).ok_or_else(|| bad_request("base64"))?;
    String::from_utf8(bytes).map_err(|_invalid| bad_request("key"))
}

/// Parses a 64-bit number; an empty text is 0.
fn number(text: &str) -> Result<u64, actix_web::Error> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse().map_err(|_invalid| bad_request("number"))
}

fn bad_request(what: &'static str) -> actix_web::Error {
    actix_web::error::ErrorBadRequest(what)
}
