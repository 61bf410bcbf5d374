//! What operators ask of version moves.

use std::rc::Rc;

use actix::{Addr, Context, Handler, Message, MessageResult, ResponseFuture};
use poplarvale_lib::moves::ask::{self, Ask, Fleet, Refusal};
use poplarvale_lib::moves::{Record, Stored};
use poplarvale_lib::protos::operator::{MoveAsk, MoveState};
use poplarvale_lib::store::{Failure, Store as _, Written};
use poplarvale_lib::{Code, Revision, ServiceId, from_hex, hex};

use super::{Moves, key, put_record, stored, wall};
use crate::core::{Core, GetFleet};
use crate::platform::store::StoreClient;

/// Why an operator's wish was not done.
type Refused = Refusal;

/// Tries of a write that others come before.
const TRIES: u32 = 3;

/// Starts a move.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<MoveState, Refused>")]
pub(crate) struct Start(pub(crate) MoveAsk);

impl Handler<Start> for Moves {
    type Result = ResponseFuture<Result<MoveState, Refused>>;

    fn handle(&mut self, msg: Start, ctx: &mut Context<Self>) -> Self::Result {
        let (store, core) = (self.parts.store.clone(), self.parts.core.clone());
        let me = actix::AsyncContext::address(ctx);
        Box::pin(async move {
            let store = store.ok_or_else(no_store)?;
            let stored = start(&store, &core, &msg.0).await?;
            let state = state(&stored.record);
            me.do_send(Learn(stored));
            Ok(state)
        })
    }
}

/// Cancels the move of a service.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<MoveState, Refused>")]
pub(crate) struct Cancel(pub(crate) ServiceId);

impl Handler<Cancel> for Moves {
    type Result = ResponseFuture<Result<MoveState, Refused>>;

    fn handle(&mut self, msg: Cancel, ctx: &mut Context<Self>) -> Self::Result {
        let store = self.parts.store.clone();
        let me = actix::AsyncContext::address(ctx);
        Box::pin(async move {
            let store = store.ok_or_else(no_store)?;
            let stored = cancel(&store, &msg.0).await?;
            let state = state(&stored.record);
            me.do_send(Learn(stored));
            Ok(state)
        })
    }
}

/// Where the move of a service stands, as far as this daemon knows.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<MoveState>")]
pub(crate) struct StateOf(pub(crate) ServiceId);

impl Handler<StateOf> for Moves {
    type Result = MessageResult<StateOf>;

    fn handle(&mut self, msg: StateOf, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.record(&msg.0).map(|stored| state(&stored.record)))
    }
}

/// A record that was written or read here.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
struct Learn(Stored);

impl Handler<Learn> for Moves {
    type Result = ();

    fn handle(&mut self, msg: Learn, _: &mut Context<Self>) {
        self.learn(&msg.0);
    }
}

async fn start(
    store: &Rc<StoreClient>,
    core: &Addr<Core>,
    wish: &MoveAsk,
) -> Result<Stored, Refused> {
    let service = ServiceId::from(wish.service.as_str());
    let bad = |reason: &str| refusal(Code::BadMove, reason);
    let id = from_hex(&wish.id).ok_or_else(|| bad("the move's id is malformed"))?;
    let ask = Ask {
        id,
        service: service.clone(),
        to: wish.to.as_str().into(),
        finish: wall() + wish.within_s.saturating_mul(1_000),
    };
    let counts = core.send(GetFleet(service.clone(), ask.to.clone())).await;
    let counts = counts.ok().flatten();
    let counts = counts.ok_or_else(|| bad("there is no such service with endpoints"))?;
    for _ in 0..TRIES {
        let standing = read(store, &service).await?;
        let fleet = fleet(&counts, standing.as_ref());
        let record = ask::ask(standing.as_ref().map(|s| &s.record), &ask, &fleet, wall())?;
        let same = standing.as_ref().filter(|s| s.record == record);
        if let Some(stored) = same {
            return Ok(stored.clone());
        }
        if let Some(stored) = write(store, standing.as_ref(), record).await? {
            return Ok(stored);
        }
    }
    Err(refusal(Code::Conflict, "others changed the move meanwhile"))
}

/// The version that has the requests follows from the last move, if there was one.
fn fleet(counts: &Fleet, standing: Option<&Stored>) -> Fleet {
    let version = standing.map(|stored| match &stored.record {
        Record::Done(done) => done.terms.to.clone(),
        other => other.terms().from.clone(),
    });
    Fleet {
        version: version.unwrap_or_else(|| counts.version.clone()),
        ..counts.clone()
    }
}

async fn cancel(store: &Rc<StoreClient>, service: &ServiceId) -> Result<Stored, Refused> {
    for _ in 0..TRIES {
        let standing = read(store, service).await?;
        let id = standing.as_ref().map_or(0, |s| s.record.terms().id);
        let reason = "an operator asked for it".into();
        let record = ask::cancel(standing.as_ref().map(|s| &s.record), id, reason)?;
        if let Some(stored) = write(store, standing.as_ref(), record).await? {
            return Ok(stored);
        }
    }
    Err(refusal(Code::Conflict, "others changed the move meanwhile"))
}

async fn read(store: &Rc<StoreClient>, service: &ServiceId) -> Result<Option<Stored>, Refused> {
    let key = key(service);
    let snapshot = store.get(&key).await.map_err(|_failure| no_store())?;
    Ok(snapshot.get(&key).and_then(stored))
}

/// Writes a record over what stands; none if another came first. Of a write whose
/// answer is lost the next try finds out by reading.
async fn write(
    store: &Rc<StoreClient>,
    standing: Option<&Stored>,
    record: Record,
) -> Result<Option<Stored>, Refused> {
    let revision: Revision = standing.map_or(0, |stored| stored.revision);
    match store.write(put_record(revision, &record)).await {
        Ok(Written::Done(revision)) => Ok(Some(Stored { revision, record })),
        Ok(Written::Conflict(_)) | Err(Failure::Unknown) => Ok(None),
        Err(Failure::NotDone) => Err(no_store()),
    }
}

fn no_store() -> Refused {
    refusal(
        Code::StoreOut,
        "moves are kept in the platform's key-value service",
    )
}

fn refusal(code: Code, reason: &str) -> Refused {
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
