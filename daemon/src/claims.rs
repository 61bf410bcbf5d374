//! The actor that lets requests with an idempotency key run at most once.
//!
//! Which key may be dispatched is decided by `poplarvale_lib::claims`; here its
//! commands become calls of the key-value service, of other daemons and of the
//! core. A request is claimed before the core sees it. From its dispatch on the
//! actor waits for the end itself, so that a caller who goes away can't leave a
//! claim without one.

mod peer;

pub(crate) use peer::Call;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, Handler, Message, ResponseFuture,
    WrapFuture as _,
};
use poplarvale_lib::claims::{
    self, Claimer, Command, HandOver, Input, Key, Peer, Permit, Question, Rejection, Reply,
    RunResult,
};
use poplarvale_lib::store::{Failure, Store as _};
use poplarvale_lib::{Code, CustomerId, Ending, Incarnation, Ran, RequestId, Row, Table, joined};
use tokio::sync::oneshot;

use crate::answer::{Answer, View};
use crate::core::{Core, Submit};
use crate::job::CallerRequest;
use crate::kinds::INHERITED_KEYS;
use crate::peers::{Client, Gossip, Put};
use crate::platform::store::StoreClient;

/// Longest time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// Bit that keeps the ids given out here apart from the core's own count.
const CLAIMED: u64 = 1 << 63;
/// Times that a hand-over is sent to the successor.
const HAND_OVERS: u32 = 5;

/// What a caller with a key gets.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// It runs; its answer as it grows.
    Running(Arc<Answer>),
    /// It ran before; the answer that was kept.
    Replayed(claims::Answer),
    /// Another daemon has to do it.
    Forward(SocketAddr),
    /// It is refused.
    Rejected(Rejection),
}

/// A caller that waits for its claim.
struct Waiting {
    id: RequestId,
    key: String,
    ask: CallerRequest,
    caller: oneshot::Sender<Outcome>,
}

impl Row for Waiting {
    type Id = RequestId;
    fn id(&self) -> &RequestId {
        &self.id
    }
}

/// What the actor works with.
pub(crate) struct Parts {
    pub(crate) incarnation: Incarnation,
    pub(crate) core: Addr<Core>,
    pub(crate) gossip: Addr<Gossip>,
    pub(crate) client: Client,
    /// None without a platform: then only issued keys can be used.
    pub(crate) store: Option<Rc<StoreClient>>,
}

/// Another daemon, as claims need it.
#[derive(Clone, Debug)]
pub(crate) struct PeerDaemon {
    pub(crate) incarnation: Incarnation,
    /// Address for daemons.
    pub(crate) address: SocketAddr,
    /// Address for callers, once it is known.
    pub(crate) callers: Option<SocketAddr>,
    /// Incarnations whose issued keys it holds.
    pub(crate) holds: Vec<Incarnation>,
}

impl Row for PeerDaemon {
    type Id = Incarnation;
    fn id(&self) -> &Incarnation {
        &self.incarnation
    }
}

/// Actor that claims idempotency keys.
pub struct Claims {
    claimer: Claimer,
    parts: Parts,
    inputs: Vec<Input>,
    waiting: Table<Waiting>,
    daemons: Table<PeerDaemon>,
    count: u64,
}

impl std::fmt::Debug for Claims {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Claims")
            .field("claimer", &self.claimer)
            .finish_non_exhaustive()
    }
}

impl Claims {
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            claimer: Claimer::new(parts.incarnation, fastrand::u64(..)),
            parts,
            inputs: Vec::new(),
            waiting: Table::new(),
            daemons: Table::new(),
            count: 0,
        }
    }

    fn take(&mut self, input: Input, ctx: &mut Context<Self>) {
        self.inputs.push(input);
        self.tick(ctx);
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let inputs = std::mem::take(&mut self.inputs);
        for command in self.claimer.tick(Instant::now(), inputs) {
            self.carry_out(command, ctx);
        }
    }

    fn carry_out(&mut self, command: Command, ctx: &mut Context<Self>) {
        match command {
            Command::Dispatch(permit) => self.dispatch(permit, ctx),
            Command::Answer { request, answer } => self.tell(request, Outcome::Replayed(answer)),
            Command::Reject(refusal) => self.tell(refusal.request, Outcome::Rejected(refusal)),
            Command::Forward { request, to } => self.forward(request, to),
            Command::Question { to, question } => self.ask(to, question, ctx),
            Command::Write { number, write } => {
                let store = self.parts.store.clone();
                let call = async move {
                    let result = match store {
                        Some(store) => store.write(write).await,
                        None => Err(Failure::NotDone),
                    };
                    Input::Written { number, result }
                };
                self.call(call, ctx);
            }
            Command::Lease(lasts) => {
                let store = self.parts.store.clone();
                let call = async move {
                    Input::Leased(match store {
                        Some(store) => store.grant(lasts).await,
                        None => Err(Failure::NotDone),
                    })
                };
                self.call(call, ctx);
            }
        }
    }

    /// Makes a call and hands the claimer what came of it.
    fn call(&self, call: impl Future<Output = Input> + 'static, ctx: &mut Context<Self>) {
        let then = |input, claims: &mut Self, ctx: &mut Context<Self>| claims.take(input, ctx);
        ctx.spawn(call.into_actor(self).map(then));
    }

    fn tell(&mut self, request: RequestId, outcome: Outcome) {
        if let Some(waiting) = self.waiting.remove(&request) {
            // The caller may have gone away.
            let _ = waiting.caller.send(outcome);
        }
    }

    fn forward(&mut self, request: RequestId, to: Incarnation) {
        let address = self.daemons.get(&to).and_then(|daemon| daemon.callers);
        let outcome = match address {
            Some(address) => Outcome::Forward(address),
            None => Outcome::Rejected(Rejection {
                request,
                code: Code::NoClaim,
                ran: Ran::No,
                retry_at: None,
                running: None,
            }),
        };
        self.tell(request, outcome);
    }

    /// Lets the core run a request, once, and waits for its end.
    fn dispatch(&mut self, permit: Permit, ctx: &mut Context<Self>) {
        let Some(waiting) = self.waiting.remove(&permit.request()) else {
            self.take(Input::Ended(permit, RunResult::Unsent), ctx);
            return;
        };
        let core = self.parts.core.clone();
        let run = async move {
            let submit = Submit {
                key: waiting.key,
                request: waiting.ask,
                id: Some(permit.request()),
            };
            let end = match core.send(submit).await {
                Ok(Ok(answer)) => {
                    // The caller may have gone away; the request runs all the same.
                    let _ = waiting.caller.send(Outcome::Running(Arc::clone(&answer)));
                    end(&answer.ended().await)
                }
                Ok(Err(why)) => {
                    let refusal = refusal(permit.request(), why);
                    let _ = waiting.caller.send(Outcome::Rejected(refusal));
                    RunResult::Unsent
                }
                Err(_closed) => RunResult::Unsent,
            };
            Input::Ended(permit, end)
        };
        self.call(run, ctx);
    }

    fn ask(&self, to: Incarnation, question: Question, ctx: &mut Context<Self>) {
        let address = self.daemons.get(&to).map(|daemon| daemon.address);
        let client = self.parts.client.clone();
        let call = async move {
            let reply = match address {
                Some(address) => peer::ask(&client, address, &question).await,
                None => None,
            };
            Input::Replied { question, reply }
        };
        self.call(call, ctx);
    }

    fn tell_holds(&self) {
        let holds = self.claimer.inherited_issuers();
        self.parts.gossip.do_send(Put {
            kind: INHERITED_KEYS,
            name: "".into(),
            value: holds.iter().flat_map(|id| id.to_be_bytes()).collect(),
        });
    }
}

/// What a request's ending means to its claim.
fn end(view: &View) -> RunResult {
    match &view.ending {
        Some(Ending::Complete { status }) => RunResult::Answered(kept(*status, view)),
        Some(Ending::Failed { ran: Ran::No, .. }) => RunResult::Unsent,
        _ => RunResult::Unknown,
    }
}

fn kept(status: u16, view: &View) -> claims::Answer {
    let headers = view.head.iter().flat_map(|head| &head.headers);
    let content = headers
        .filter(|(name, _)| name == "content-type")
        .map(|(_, value)| String::from_utf8_lossy(value).into_owned().into())
        .next();
    claims::Answer {
        status,
        content: content.unwrap_or_default(),
        body: view.pieces.concat(),
    }
}

fn refusal(request: RequestId, code: Code) -> Rejection {
    Rejection {
        request,
        code,
        ran: Ran::No,
        retry_at: None,
        running: None,
    }
}

impl Actor for Claims {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, Self::tick);
    }
}

/// A caller's request with a key.
#[derive(Debug, Message)]
#[rtype(result = "Outcome")]
pub(crate) struct SubmitKeyed {
    /// API key.
    pub(crate) key: String,
    /// Customer that the API key belongs to.
    pub(crate) customer: CustomerId,
    /// Idempotency key.
    pub(crate) idempotency_key: Key,
    /// Digest of body and route.
    pub(crate) digest: u128,
    /// What is asked.
    pub(crate) request: CallerRequest,
    /// Whether another daemon passed it on.
    pub(crate) forwarded: bool,
}

impl Handler<SubmitKeyed> for Claims {
    type Result = ResponseFuture<Outcome>;

    fn handle(&mut self, msg: SubmitKeyed, ctx: &mut Self::Context) -> Self::Result {
        self.count += 1;
        let id = joined(self.parts.incarnation, CLAIMED | self.count);
        let ask = claims::KeyedRequest {
            id,
            customer: msg.customer,
            key: msg.idempotency_key,
            digest: msg.digest,
            deadline: msg.request.deadline,
            forwarded: msg.forwarded,
        };
        let (caller, outcome) = oneshot::channel();
        self.waiting.insert(Waiting {
            id,
            key: msg.key,
            ask: msg.request,
            caller,
        });
        self.take(Input::Begin(ask), ctx);
        Box::pin(async move {
            let refused = |_stopped| Outcome::Rejected(refusal(id, Code::Draining));
            outcome.await.unwrap_or_else(refused)
        })
    }
}

/// Issues a key to a customer; none once this daemon is leaving.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Key>")]
pub(crate) struct IssueKey(pub(crate) CustomerId);

impl Handler<IssueKey> for Claims {
    type Result = Option<Key>;

    fn handle(&mut self, msg: IssueKey, _: &mut Self::Context) -> Self::Result {
        self.claimer.issue(&msg.0)
    }
}

/// Another daemon's question about a claim of this one.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Reply")]
pub(crate) struct AnswerQuestion(pub(crate) Question);

impl Handler<AnswerQuestion> for Claims {
    type Result = actix::MessageResult<AnswerQuestion>;

    fn handle(&mut self, msg: AnswerQuestion, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.claimer.reply(&msg.0))
    }
}

/// Key space of a daemon that is leaving; whether it was taken.
#[derive(Clone, Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct TakeOver(pub(crate) HandOver);

impl Handler<TakeOver> for Claims {
    type Result = bool;

    fn handle(&mut self, msg: TakeOver, _: &mut Self::Context) -> bool {
        let issuer = msg.0.issuer;
        let taken = self.claimer.take_over(Instant::now(), msg.0);
        if taken {
            log::info!("claims: the keys of daemon {issuer:016x} are held here now.");
            self.tell_holds();
        }
        taken
    }
}

/// The live daemons, without this one.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SetDaemons(pub(crate) Vec<PeerDaemon>);

impl Handler<SetDaemons> for Claims {
    type Result = ();

    fn handle(&mut self, msg: SetDaemons, ctx: &mut Self::Context) {
        let holders = msg.0.iter().map(|daemon| Peer {
            incarnation: daemon.incarnation,
            holds: daemon.holds.clone(),
        });
        let holders = holders.collect();
        self.daemons = msg.0.into_iter().collect();
        self.take(Input::Peers(holders), ctx);
    }
}

/// Begins nothing more: this daemon will be gone.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Freeze;

impl Handler<Freeze> for Claims {
    type Result = ();

    fn handle(&mut self, _: Freeze, ctx: &mut Self::Context) {
        self.take(Input::Freeze, ctx);
    }
}

/// Gives the key spaces to another daemon, once nothing runs any more.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct HandOverKeys;

impl Handler<HandOverKeys> for Claims {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: HandOverKeys, _: &mut Self::Context) -> Self::Result {
        // Daemons with the same peers choose differently, so that one successor
        // does not inherit a whole zone's keys.
        let at = fastrand::usize(..self.daemons.len().max(1));
        let Some(successor) = self.daemons.iter().nth(at).cloned() else {
            return Box::pin(async {});
        };
        let spaces = self.claimer.hand_over(successor.incarnation);
        let client = self.parts.client.clone();
        Box::pin(async move {
            for space in &spaces {
                hand_over(&client, successor.address, space).await;
            }
        })
    }
}

/// Sends a key space until the successor says that it has it. To another daemon
/// it must not go any more: the first may have it, and both would dispatch.
async fn hand_over(client: &Client, to: SocketAddr, space: &HandOver) {
    for _ in 0..HAND_OVERS {
        if peer::hand_over(client, to, space).await == Some(true) {
            return;
        }
    }
    log::warn!("claims: the keys of this daemon could not be handed over; they are dead.");
}
