//! Operators' requests for version moves: start, cancel and state.

use std::rc::Rc;

use actix::{Addr, Context, Handler, Message, MessageResult, ResponseFuture};
use poplarvale_lib::moves::ask::{self, Ask, Fleet, Refusal};
use poplarvale_lib::moves::{Record, Stored};
use poplarvale_lib::protos::operator::{MoveAsk, MoveState};
use poplarvale_lib::store::{Failure, Store as _, Written};
use poplarvale_lib::{Code, Revision, ServiceId, from_hex, hex};

use super::{Moves, decode_record, put_record, record_key, unix_ms};
use crate::core::{Core, GetFleet};
use crate::platform::store::StoreClient;

/// Why an operator's request was rejected.
type Rejection = Refusal;

/// Number of tries of a write that conflicts with other writes.
const MAX_TRIES: u32 = 3;

/// Starts a move.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<MoveState, Rejection>")]
pub(crate) struct Start(pub(crate) MoveAsk);

impl Handler<Start> for Moves {
    type Result = ResponseFuture<Result<MoveState, Rejection>>;

    fn handle(&mut self, msg: Start, ctx: &mut Context<Self>) -> Self::Result {
        let (store, core) = (self.parts.store.clone(), self.parts.core.clone());
        let me = actix::AsyncContext::address(ctx);
        Box::pin(async move {
            let store = store.ok_or_else(store_unavailable)?;
            let stored = start(&store, &core, &msg.0).await?;
            let state = state(&stored.record);
            me.do_send(ApplyRecord(stored));
            Ok(state)
        })
    }
}

/// Cancels the move of a service.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<MoveState, Rejection>")]
pub(crate) struct Cancel(pub(crate) ServiceId);

impl Handler<Cancel> for Moves {
    type Result = ResponseFuture<Result<MoveState, Rejection>>;

    fn handle(&mut self, msg: Cancel, ctx: &mut Context<Self>) -> Self::Result {
        let store = self.parts.store.clone();
        let me = actix::AsyncContext::address(ctx);
        Box::pin(async move {
            let store = store.ok_or_else(store_unavailable)?;
            let stored = cancel(&store, &msg.0).await?;
            let state = state(&stored.record);
            me.do_send(ApplyRecord(stored));
            Ok(state)
        })
    }
}

/// State of the move of a service, as known to this daemon.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<MoveState>")]
pub(crate) struct StateOf(pub(crate) ServiceId);

impl Handler<StateOf> for Moves {
    type Result = MessageResult<StateOf>;

    fn handle(&mut self, msg: StateOf, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.record(&msg.0).map(|stored| state(&stored.record)))
    }
}

/// Applies a record that an operator's request has written or read.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
struct ApplyRecord(Stored);

impl Handler<ApplyRecord> for Moves {
    type Result = ();

    fn handle(&mut self, msg: ApplyRecord, _: &mut Context<Self>) {
        self.add_record(&msg.0);
    }
}

async fn start(
    store: &Rc<StoreClient>,
    core: &Addr<Core>,
    request: &MoveAsk,
) -> Result<Stored, Rejection> {
    let service = ServiceId::from(request.service.as_str());
    let invalid = |reason: &str| rejection(Code::BadMove, reason);
    let id = from_hex(&request.id).ok_or_else(|| invalid("the move's id is malformed"))?;
    let ask = Ask {
        id,
        service: service.clone(),
        to: request.to.as_str().into(),
        finish: unix_ms() + request.within_s.saturating_mul(1_000),
    };
    let counts = core.send(GetFleet(service.clone(), ask.to.clone())).await;
    let counts = counts.ok().flatten();
    let counts = counts.ok_or_else(|| invalid("there is no such service with endpoints"))?;
    for _ in 0..MAX_TRIES {
        let current = read(store, &service).await?;
        let fleet = fleet(&counts, current.as_ref());
        let record = ask::ask(current.as_ref().map(|s| &s.record), &ask, &fleet, unix_ms())?;
        let existing = current.as_ref().filter(|s| s.record == record);
        if let Some(stored) = existing {
            return Ok(stored.clone());
        }
        if let Some(stored) = write(store, current.as_ref(), record).await? {
            return Ok(stored);
        }
    }
    Err(rejection(
        Code::Conflict,
        "others changed the move meanwhile",
    ))
}

/// Endpoint counts with the version that currently gets the requests. After a move this follows
/// from the record of the move, otherwise from the counts.
fn fleet(counts: &Fleet, current: Option<&Stored>) -> Fleet {
    let version = current.map(|stored| match &stored.record {
        Record::Done(done) => done.terms.to.clone(),
        other => other.terms().from.clone(),
    });
    Fleet {
        version: version.unwrap_or_else(|| counts.version.clone()),
        ..counts.clone()
    }
}

async fn cancel(store: &Rc<StoreClient>, service: &ServiceId) -> Result<Stored, Rejection> {
    for _ in 0..MAX_TRIES {
        let current = read(store, service).await?;
        let id = current.as_ref().map_or(0, |s| s.record.terms().id);
        let reason = "an operator asked for it".into();
        let record = ask::cancel(current.as_ref().map(|s| &s.record), id, reason)?;
        if let Some(stored) = write(store, current.as_ref(), record).await? {
            return Ok(stored);
        }
    }
    Err(rejection(
        Code::Conflict,
        "others changed the move meanwhile",
    ))
}

async fn read(store: &Rc<StoreClient>, service: &ServiceId) -> Result<Option<Stored>, Rejection> {
    let key = record_key(service);
    let snapshot = store
        .get(&key)
        .await
        .map_err(|_failure| store_unavailable())?;
    Ok(snapshot.get(&key).and_then(decode_record))
}

/// Replaces the current record. None if another write came first or if the response was lost; the
/// next try then reads which record is stored.
async fn write(
    store: &Rc<StoreClient>,
    current: Option<&Stored>,
    record: Record,
) -> Result<Option<Stored>, Rejection> {
    let revision: Revision = current.map_or(0, |stored| stored.revision);
    match store.write(put_record(revision, &record)).await {
        Ok(Written::Done(revision)) => Ok(Some(Stored { revision, record })),
        Ok(Written::Conflict(_)) | Err(Failure::Unknown) => Ok(None),
        Err(Failure::NotDone) => Err(store_unavailable()),
    }
}

fn store_unavailable() -> Rejection {
    rejection(
        Code::StoreOut,
        "moves are kept in the platform's key-value service",
    )
}

fn rejection(code: Code, reason: &str) -> Rejection {
    Refusal {
        code,
        reason: reason.into(),
    }
}

fn state(record: &Record) -> MoveState {
    let terms = record.terms();
    let state = match record {
        Record::Asked(_) => "asked",
        Record::Staged(_) => "staged",
        Record::Watching(_) => "watching",
        Record::Done(_) => "done",
        Record::RolledBack(_) => "taken_back",
        Record::Cancelled(_) => "cancelled",
    };
    MoveState {
        id: hex(terms.id).into(),
        service: terms.service.to_string(),
        from: terms.from.to_string(),
        to: terms.to.to_string(),
        state: state.to_owned(),
        text: poplarvale_lib::moves::status::text(record).into(),
        ended: record.ended(),
    }
}
