//! The actor that runs requests with an idempotency key at most once.
//!
//! `poplarvale_lib::claims` decides which key may be dispatched. The actor executes its commands as
//! calls to the key-value service, to other daemons and to the core. A key is claimed before the
//! core receives the request. After the dispatch the actor itself waits for the request to end, so
//! that a claim gets its result even if the caller disconnects.

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
/// Bit that separates the request ids assigned here from those that the core assigns.
const KEYED_ID_BIT: u64 = 1 << 63;
/// Number of times that a key space is sent to the successor before the daemon gives up.
const HAND_OVER_TRIES: u32 = 5;

/// Result of a request with an idempotency key.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The request runs; its answer fills up as the endpoint sends it.
    Running(Arc<Answer>),
    /// The request ran before; the stored answer.
    Replayed(claims::Answer),
    /// The request has to be forwarded to another daemon, at this address.
    Forward(SocketAddr),
    /// The request was rejected.
    Rejected(Rejection),
}

/// A caller whose key is being claimed.
struct PendingCaller {
    id: RequestId,
    api_key: String,
    request: CallerRequest,
    caller: oneshot::Sender<Outcome>,
}

impl Row for PendingCaller {
    type Id = RequestId;
    fn id(&self) -> &RequestId {
        &self.id
    }
}

/// Dependencies of the actor.
pub(crate) struct Parts {
    pub(crate) incarnation: Incarnation,
    pub(crate) core: Addr<Core>,
    pub(crate) gossip: Addr<Gossip>,
    pub(crate) client: Client,
    /// None without a platform: then only issued keys can be claimed.
    pub(crate) store: Option<Rc<StoreClient>>,
}

/// What the actor needs to know of another daemon.
#[derive(Clone, Debug)]
pub(crate) struct PeerDaemon {
    pub(crate) incarnation: Incarnation,
    /// Address for daemons.
    pub(crate) address: SocketAddr,
    /// Address for callers. None until the daemon has advertised it.
    pub(crate) callers: Option<SocketAddr>,
    /// Incarnations whose issued keys it holds besides its own.
    pub(crate) inherited: Vec<Incarnation>,
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
    pending: Table<PendingCaller>,
    daemons: Table<PeerDaemon>,
    request_count: u64,
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
            pending: Table::new(),
            daemons: Table::new(),
            request_count: 0,
        }
    }

    fn push_input(&mut self, input: Input, ctx: &mut Context<Self>) {
        self.inputs.push(input);
        self.tick(ctx);
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let inputs = std::mem::take(&mut self.inputs);
        for command in self.claimer.tick(Instant::now(), inputs) {
            self.execute(command, ctx);
        }
    }

    fn execute(&mut self, command: Command, ctx: &mut Context<Self>) {
        match command {
            Command::Dispatch(permit) => self.dispatch(permit, ctx),
            Command::Answer { request, answer } => self.respond(request, Outcome::Replayed(answer)),
            Command::Reject(why) => self.respond(why.request, Outcome::Rejected(why)),
            Command::Forward { request, to } => self.forward(request, to),
            Command::Question { to, question } => self.ask_peer(to, question, ctx),
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
            Command::Lease(ttl) => {
                let store = self.parts.store.clone();
                let call = async move {
                    Input::Leased(match store {
                        Some(store) => store.grant(ttl).await,
                        None => Err(Failure::NotDone),
                    })
                };
                self.call(call, ctx);
            }
        }
    }

    /// Makes a call and passes its result to the claimer.
    fn call(&self, call: impl Future<Output = Input> + 'static, ctx: &mut Context<Self>) {
        let then =
            |input, claims: &mut Self, ctx: &mut Context<Self>| claims.push_input(input, ctx);
        ctx.spawn(call.into_actor(self).map(then));
    }

    fn respond(&mut self, request: RequestId, outcome: Outcome) {
        if let Some(pending) = self.pending.remove(&request) {
            // The caller may have disconnected.
            let _ = pending.caller.send(outcome);
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
        self.respond(request, outcome);
    }

    /// Submits a request to the core, once, and waits for it to end.
    fn dispatch(&mut self, permit: Permit, ctx: &mut Context<Self>) {
        let Some(pending) = self.pending.remove(&permit.request()) else {
            self.push_input(Input::Ended(permit, RunResult::Unsent), ctx);
            return;
        };
        let core = self.parts.core.clone();
        let run = async move {
            let submit = Submit {
                key: pending.api_key,
                request: pending.request,
                id: Some(permit.request()),
            };
            let result = match core.send(submit).await {
                Ok(Ok(answer)) => {
                    // The caller may have disconnected; the request runs anyway.
                    let _ = pending.caller.send(Outcome::Running(Arc::clone(&answer)));
                    run_result(&answer.wait_end().await)
                }
                Ok(Err(why)) => {
                    let rejection = not_run(permit.request(), why);
                    let _ = pending.caller.send(Outcome::Rejected(rejection));
                    RunResult::Unsent
                }
                Err(_closed) => RunResult::Unsent,
            };
            Input::Ended(permit, result)
        };
        self.call(run, ctx);
    }

    fn ask_peer(&self, to: Incarnation, question: Question, ctx: &mut Context<Self>) {
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

    fn publish_inherited(&self) {
        let inherited = self.claimer.inherited_issuers();
        self.parts.gossip.do_send(Put {
            kind: INHERITED_KEYS,
            name: "".into(),
            value: inherited.iter().flat_map(|id| id.to_be_bytes()).collect(),
        });
    }
}

/// The result of a request for its claim.
fn run_result(view: &View) -> RunResult {
    match &view.ending {
        Some(Ending::Complete { status }) => RunResult::Answered(stored_answer(*status, view)),
        Some(Ending::Failed { ran: Ran::No, .. }) => RunResult::Unsent,
        _ => RunResult::Unknown,
    }
}

fn stored_answer(status: u16, view: &View) -> claims::Answer {
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

fn not_run(request: RequestId, code: Code) -> Rejection {
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

/// A caller's request with an idempotency key.
#[derive(Debug, Message)]
#[rtype(result = "Outcome")]
pub(crate) struct SubmitKeyed {
    /// API key.
    pub(crate) key: String,
    /// Customer that the API key belongs to.
    pub(crate) customer: CustomerId,
    /// Idempotency key.
    pub(crate) idempotency_key: Key,
    /// Digest of the body and the route.
    pub(crate) digest: u128,
    /// The request.
    pub(crate) request: CallerRequest,
    /// Whether another daemon forwarded the request.
    pub(crate) forwarded: bool,
}

impl Handler<SubmitKeyed> for Claims {
    type Result = ResponseFuture<Outcome>;

    fn handle(&mut self, msg: SubmitKeyed, ctx: &mut Self::Context) -> Self::Result {
        self.request_count += 1;
        let id = joined(self.parts.incarnation, KEYED_ID_BIT | self.request_count);
        let keyed = claims::KeyedRequest {
            id,
            customer: msg.customer,
            key: msg.idempotency_key,
            digest: msg.digest,
            deadline: msg.request.deadline,
            forwarded: msg.forwarded,
        };
        let (caller, outcome) = oneshot::channel();
        self.pending.insert(PendingCaller {
            id,
            api_key: msg.key,
            request: msg.request,
            caller,
        });
        self.push_input(Input::Begin(keyed), ctx);
        Box::pin(async move {
            let rejected = |_stopped| Outcome::Rejected(not_run(id, Code::Draining));
            outcome.await.unwrap_or_else(rejected)
        })
    }
}

/// Issues an idempotency key to a customer. None once this daemon is shutting down.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Key>")]
pub(crate) struct IssueKey(pub(crate) CustomerId);

impl Handler<IssueKey> for Claims {
    type Result = Option<Key>;

    fn handle(&mut self, msg: IssueKey, _: &mut Self::Context) -> Self::Result {
        self.claimer.issue(&msg.0)
    }
}

/// Answers another daemon's question about a claim of this daemon.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Reply")]
pub(crate) struct AnswerQuestion(pub(crate) Question);

impl Handler<AnswerQuestion> for Claims {
    type Result = actix::MessageResult<AnswerQuestion>;

    fn handle(&mut self, msg: AnswerQuestion, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.claimer.reply(&msg.0))
    }
}

/// Takes over the key space of a daemon that is shutting down. Returns whether it was accepted.
#[derive(Clone, Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct TakeOver(pub(crate) HandOver);

impl Handler<TakeOver> for Claims {
    type Result = bool;

    fn handle(&mut self, msg: TakeOver, _: &mut Self::Context) -> bool {
        let issuer = msg.0.issuer;
        let taken = self.claimer.take_over(Instant::now(), msg.0);
        if taken {
            log::info!("claims: took over the issued keys of daemon {issuer:016x}.");
            self.publish_inherited();
        }
        taken
    }
}

/// Sets the live daemons, without this one.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SetDaemons(pub(crate) Vec<PeerDaemon>);

impl Handler<SetDaemons> for Claims {
    type Result = ();

    fn handle(&mut self, msg: SetDaemons, ctx: &mut Self::Context) {
        let peers = msg.0.iter().map(|daemon| Peer {
            incarnation: daemon.incarnation,
            holds: daemon.inherited.clone(),
        });
        let peers = peers.collect();
        self.daemons = msg.0.into_iter().collect();
        self.push_input(Input::Peers(peers), ctx);
    }
}

/// Stops accepting requests with keys, as this daemon is shutting down.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Freeze;

impl Handler<Freeze> for Claims {
    type Result = ();

    fn handle(&mut self, _: Freeze, ctx: &mut Self::Context) {
        self.push_input(Input::Freeze, ctx);
    }
}

/// Hands the key spaces over to another daemon. Sent when no request runs any more.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct HandOverKeys;

impl Handler<HandOverKeys> for Claims {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: HandOverKeys, _: &mut Self::Context) -> Self::Result {
        // The choice is random, so that daemons with the same peers choose different successors
        // and one successor doesn't inherit the keys of a whole zone.
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

/// Sends a key space until the successor confirms that it has taken it. It must not be sent to
/// another daemon afterwards: the first one may have it, and both would dispatch requests.
async fn hand_over(client: &Client, to: SocketAddr, space: &HandOver) {
    for _ in 0..HAND_OVER_TRIES {
        if peer::hand_over(client, to, space).await == Some(true) {
            return;
        }
    }
    log::warn!("claims: {to} did not confirm a key space, giving up; its keys may stop working.");
}
