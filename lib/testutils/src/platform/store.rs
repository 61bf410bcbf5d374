//! The key-value service as a program: the JSON gateway over HTTP.
//!
//! Each order to `/faults` replaces the one before; `/counts` tells the calls
//! so far. A watch tells the latest value of each key and no deletions.

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

/// A transaction of the largest values in base64, with some room.
const MOST_BODY: usize = 3 * MAX_VALUE_BYTES;

/// What all connections share.
#[derive(Debug)]
struct Shared {
    fake: Mutex<Fake>,
    /// Revision, and how often the watches were forgotten.
    changes: watch::Sender<(Revision, u64)>,
}

impl Shared {
    fn with<T>(&self, act: impl FnOnce(&mut Fake) -> T) -> T {
        let mut fake = self.fake.lock().unwrap_or_else(PoisonError::into_inner);
        fake.data.lapse(Instant::now());
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
            .app_data(web::JsonConfig::default().limit(MOST_BODY))
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

async fn range(state: State, Json(ask): Json<wire::RangeRequest>) -> Answer {
    state.with(|fake| match ask.range_end.as_str() {
        "" => fake.counts.reads += 1,
        _ => fake.counts.ranges += 1,
    });
    disturbed(&state).await?;
    let found = state.with(|fake| found(&fake.data, &ask))?;
    Ok(HttpResponse::Ok().json(found))
}

async fn put(state: State, Json(ask): Json<wire::PutRequest>) -> Answer {
    state.with(|fake| fake.counts.writes += 1);
    disturbed(&state).await?;
    let put = read_put(&ask)?;
    let (revision, kept) = state.with(|fake| (fake.data.put(vec![put]), fake.keep_answer()));
    let header = Some(header(revision));
    Ok(answer(kept, &wire::PutResponse { header }))
}

async fn txn(state: State, Json(ask): Json<wire::TxnRequest>) -> Answer {
    state.with(|fake| fake.counts.writes += 1);
    disturbed(&state).await?;
    if ask.compare.len() > MAX_PUTS || ask.success.len() > MAX_PUTS {
        return Err(bad("too many operations"));
    }
    let conditions = ask.compare.iter().map(read_compare);
    let conditions = conditions.collect::<Result<Vec<_>, _>>()?;
    let done = state.with(|fake| {
        let succeeded = conditions.iter().all(|c| fake.data.holds(c));
        let ops = if succeeded {
            &ask.success
        } else {
            &ask.failure
        };
        let responses = run_ops(&mut fake.data, ops)?;
        let header = Some(header(fake.data.revision()));
        let done = wire::TxnResponse {
            header,
            succeeded,
            responses,
        };
        Ok::<_, actix_web::Error>((done, fake.keep_answer()))
    });
    let (done, kept) = done?;
    Ok(answer(kept, &done))
}

async fn grant(state: State, Json(ask): Json<wire::LeaseGrantRequest>) -> Answer {
    state.with(|fake| fake.counts.leases += 1);
    disturbed(&state).await?;
    let lasts = Duration::from_secs(number(&ask.ttl)?);
    let id = number(&ask.id)?;
    let (id, kept, revision) = state.with(|fake| {
        let id = fake.data.grant(Instant::now(), id, lasts);
        (id, fake.keep_answer(), fake.data.revision())
    });
    let given = wire::LeaseGrantResponse {
        header: Some(header(revision)),
        id: id.to_string(),
        ttl: ask.ttl,
    };
    Ok(answer(kept, &given))
}

async fn renew(state: State, Json(ask): Json<wire::LeaseRequest>) -> Answer {
    state.with(|fake| fake.counts.leases += 1);
    disturbed(&state).await?;
    let id = number(&ask.id)?;
    let lasts = state.with(|fake| fake.data.renew(Instant::now(), id));
    let ttl = lasts.unwrap_or_default().as_secs().to_string();
    let result = Some(wire::LeaseKeepAliveResult { id: ask.id, ttl });
    Ok(HttpResponse::Ok().json(wire::LeaseKeepAliveResponse { result }))
}

async fn revoke(state: State, Json(ask): Json<wire::LeaseRequest>) -> Answer {
    state.with(|fake| fake.counts.leases += 1);
    disturbed(&state).await?;
    let id: LeaseId = number(&ask.id)?;
    let (revision, kept) = state.with(|fake| {
        fake.data.revoke(id);
        (fake.data.revision(), fake.keep_answer())
    });
    let header = Some(header(revision));
    Ok(answer(kept, &wire::LeaseRevokeResponse { header }))
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

/// A watch that stands.
struct Standing {
    state: State,
    ask: wire::WatchCreateRequest,
    next: Revision,
    changes: watch::Receiver<(Revision, u64)>,
    forgotten: u64,
    lines: VecDeque<Bytes>,
}

async fn watch_key(state: State, Json(ask): Json<wire::WatchRequest>) -> Answer {
    state.with(|fake| fake.counts.watches += 1);
    disturbed(&state).await?;
    let ask = ask.create_request.unwrap_or_default();
    let created = wire::WatchResponse {
        header: Some(header(state.with(|fake| fake.data.revision()))),
        created: true,
        events: Vec::new(),
    };
    let changes = state.changes.subscribe();
    let forgotten = changes.borrow().1;
    let standing = Standing {
        next: number(&ask.start_revision)?,
        changes,
        forgotten,
        lines: VecDeque::from([line(created)]),
        state,
        ask,
    };
    let lines = stream::unfold(standing, next_line);
    Ok(HttpResponse::Ok().streaming(lines))
}

async fn next_line(mut standing: Standing) -> Option<(Result<Bytes, io::Error>, Standing)> {
    loop {
        if let Some(line) = standing.lines.pop_front() {
            return Some((Ok(line), standing));
        }
        let forgotten = standing.changes.borrow_and_update().1;
        if forgotten != standing.forgotten {
            std::future::pending::<()>().await;
        }
        let ask = wire::RangeRequest {
            key: standing.ask.key.clone(),
            range_end: standing.ask.range_end.clone(),
        };
        let (down, snapshot) = standing
            .state
            .with(|fake| (fake.faults.down, read_range(&fake.data, &ask)));
        if down {
            return None;
        }
        let mut rows = snapshot.ok()?.rows;
        rows.retain(|row| row.changed >= standing.next);
        if let Some(last) = rows.iter().map(|row| row.changed).max() {
            standing.next = last + 1;
            let events = rows.iter().map(|row| wire::Event {
                kv: Some(written(row)),
            });
            standing.lines.push_back(line(wire::WatchResponse {
                header: Some(header(last)),
                created: false,
                events: events.collect(),
            }));
        } else {
            standing.changes.changed().await.ok()?;
        }
    }
}

fn line(response: wire::WatchResponse) -> Bytes {
    let result = Some(response);
    let mut text = serde_json::to_vec(&wire::WatchLine { result }).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}

/// Lets the faults that are on act upon a call before it is done.
async fn disturbed(state: &State) -> Result<(), actix_web::Error> {
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

/// An answer, or a connection that breaks in the middle of one.
fn answer(kept: Result<(), Failure>, body: &impl serde::Serialize) -> HttpResponse {
    if kept.is_ok() {
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
            Some(ask) => Some(found(data, ask)?),
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

fn found(data: &Data, ask: &wire::RangeRequest) -> Result<wire::RangeResponse, actix_web::Error> {
    let snapshot = read_range(data, ask)?;
    Ok(wire::RangeResponse {
        header: Some(header(snapshot.revision)),
        kvs: snapshot.rows.iter().map(written).collect(),
    })
}

fn read_range(data: &Data, ask: &wire::RangeRequest) -> Result<Snapshot, actix_web::Error> {
    let end = from_base64(&ask.range_end).ok_or_else(|| bad("range_end"))?;
    Ok(data.range(&text(&ask.key)?, &end))
}

fn read_put(put: &wire::PutRequest) -> Result<Put, actix_web::Error> {
    let value = from_base64(&put.value).ok_or_else(|| bad("value"))?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(bad("value too large"));
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
        _ => Err(bad("compare")),
    }
}

fn written(row: &StoredValue) -> wire::KeyValue {
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
    let bytes = from_base64(base64).ok_or_else(|| bad("base64"))?;
    String::from_utf8(bytes).map_err(|_invalid| bad("key"))
}

/// Reads a 64-bit number; an absent one is 0.
fn number(text: &str) -> Result<u64, actix_web::Error> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse().map_err(|_invalid| bad("number"))
}

fn bad(what: &'static str) -> actix_web::Error {
    actix_web::error::ErrorBadRequest(what)
}
