//! The actor that owns the deterministic core (`World`).
//!
//! The code that does I/O reports events to it. The actor collects them as inputs, ticks the
//! world and executes the commands that come out. Inputs that arrive together share one tick:
//! the first one queues a tick behind the messages that are already in the mailbox.

mod messages;
mod retention;
mod views;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, ActorContext as _, Addr, AsyncContext, Context, Handler};
use futures::FutureExt as _;
use futures::future::AbortHandle;
use poplarvale_lib::{
    AttemptId, Code, Command, CustomerId, Ending, Input, Limits, Order, RequestId, Row, Send,
    Table, World, joined,
};

pub use messages::{
    Abandoned, Authenticate, Drain, DumpTable, Engine, FindAnswer, GetEngines, GetFleet, GetLists,
    GetShares, GetStatus, GetTables, IsIdle, MoveFreshness, PutError, PutLists, Report, Submit,
};

use retention::Retention;

use crate::answer::Answer;
use crate::attempt::{self, Clients, EarlierAttempt, KvTransfer};
use crate::job::{CallerRequest, Job, RequestKind};
use crate::metrics::Metrics;
use crate::moves::{Moves, PerformAction};

/// Longest time between two ticks. Deadlines are enforced with this precision.
const TICK: Duration = Duration::from_millis(50);

/// A running attempt that can be aborted.
struct Attempt {
    id: AttemptId,
    address: SocketAddr,
    stop: AbortHandle,
}

impl Row for Attempt {
    type Id = AttemptId;
    fn id(&self) -> &AttemptId {
        &self.id
    }
}

/// Actor that owns the world.
pub struct Core {
    world: World,
    inputs: Vec<Input>,
    tick_scheduled: bool,
    jobs: Table<Job>,
    retention: Retention,
    attempts: Table<Attempt>,
    clients: Clients,
    limits: Limits,
    metrics: Arc<Metrics>,
    moves: Option<Addr<Moves>>,
    request_count: u64,
}

impl std::fmt::Debug for Core {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Core")
            .field("world", &self.world)
            .finish_non_exhaustive()
    }
}

impl Core {
    /// Actor for a world.
    pub fn new(world: World, limits: Limits, metrics: Arc<Metrics>) -> Self {
        Self {
            world,
            inputs: Vec::new(),
            tick_scheduled: false,
            jobs: Table::new(),
            retention: Retention::new(),
            attempts: Table::new(),
            clients: Clients::new(&limits),
            limits,
            metrics,
            moves: None,
            request_count: 0,
        }
    }

    fn push_input(&mut self, input: Input, ctx: &mut Context<Self>) {
        self.inputs.push(input);
        if !self.tick_scheduled {
            self.tick_scheduled = true;
            ctx.notify(messages::TickNow);
        }
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        self.tick_scheduled = false;
        let now = Instant::now();
        let inputs = std::mem::take(&mut self.inputs);
        let commands = self.world.tick(now, inputs);
        self.metrics.tick.record(now.elapsed().as_secs_f64(), &[]);
        let waiting = self.world.load.waiting() as u64;
        self.metrics.waiting.record(waiting, &[]);
        for command in commands {
            self.execute(command, ctx);
        }
        if self.retention.is_due(now) {
            self.drop_answers(now);
        }
    }

    /// Drops answers whose retention time has passed, and the oldest ones above the limit on kept
    /// answers.
    fn drop_answers(&mut self, now: Instant) {
        let expired = self.retention.expire(now, self.limits.kept as usize);
        if !expired.is_empty() {
            self.jobs
                .retain(|job| expired.binary_search(&job.id).is_err());
        }
    }

    fn execute(&mut self, command: Command, ctx: &mut Context<Self>) {
        match command {
            Command::Send(send) => self.start_attempt(send, ctx),
            Command::Cancel(attempt) => {
                if let Some(attempt) = self.attempts.remove(&attempt) {
                    attempt.stop.abort();
                }
            }
            Command::Move { service, action } => {
                if let Some(moves) = &self.moves {
                    moves.do_send(PerformAction { service, action });
                }
            }
            Command::Finish { request, ending } => self.finish(request, ending),
        }
    }

    fn start_attempt(&mut self, send: Send, ctx: &mut Context<Self>) {
        let Some(job) = self.jobs.get(&send.request).cloned() else {
            return;
        };
        let (id, address) = (send.attempt, send.address);
        let (clients, core) = (self.clients.clone(), ctx.address());
        let run = if let Some(transfer) = self.cache_transfer(&send) {
            attempt::run_after_transfer(clients, job, send, core, transfer).boxed_local()
        } else {
            job.answer.set_attempt(id);
            attempt::run(clients, job, send, core).boxed_local()
        };
        self.metrics.attempts.add(1, &[]);
        let (stop, registration) = AbortHandle::new_pair();
        let run = futures::future::Abortable::new(run, registration);
        actix::spawn(async move {
            // An aborted attempt has nothing left to report.
            let _ = run.await;
        });
        self.attempts.insert(Attempt { id, address, stop });
    }

    /// The KV cache transfer that an attempt has to begin with. None if the earlier attempt has
    /// ended, as there is then no attempt to keep running during the transfer.
    fn cache_transfer(&mut self, send: &Send) -> Option<KvTransfer> {
        let request = self.world.requests.get(&send.request)?;
        let earlier = self.attempts.remove(&send.cache_from?)?;
        Some(KvTransfer {
            from: earlier.address,
            blocks: request.order().blocks.clone(),
            earlier: EarlierAttempt(earlier.stop),
        })
    }

    fn finish(&mut self, request: RequestId, ending: Ending) {
        self.metrics.record_request(&ending);
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.answer.end(ending);
        let until = Instant::now() + Duration::from_millis(self.limits.keep_ms);
        self.retention.record(until, request);
    }

    fn submit(
        &mut self,
        key: &str,
        request: CallerRequest,
        id: Option<RequestId>,
        ctx: &mut Context<Self>,
    ) -> Result<Arc<Answer>, Code> {
        let customer = self.authenticate(key)?;
        let id = id.unwrap_or_else(|| {
            self.request_count += 1;
            joined(self.world.setup.incarnation, self.request_count)
        });
        let model = request.kind.model().cloned();
        let order = Order {
            id,
            customer: customer.clone(),
            service: request.service,
            route: request.route,
            model,
            idempotent: request.idempotent,
            blocks: request.blocks,
            prompt: request.prompt,
            answer: request.answer,
            arrived: Instant::now(),
            deadline: request.deadline,
        };
        let max_bytes = self.limits.answer_bytes as usize;
        let answer = Arc::new(Answer::new(id, customer, max_bytes));
        self.jobs.insert(Job {
            id,
            kind: Arc::new(request.kind),
            body: request.body,
            answer: Arc::clone(&answer),
        });
        self.push_input(Input::Arrived(order), ctx);
        Ok(answer)
    }

    fn authenticate(&self, key: &str) -> Result<CustomerId, Code> {
        let customer = self.world.keys.customer(key).cloned();
        customer.ok_or_else(|| self.unknown_key())
    }

    /// Code for an API key without a customer. Before the first lists have arrived, every key is
    /// unknown.
    fn unknown_key(&self) -> Code {
        if self.world.revision == 0 {
            Code::NoLists
        } else {
            Code::NoCustomer
        }
    }

    fn find(&self, key: &str, id: RequestId) -> Result<(Arc<Answer>, Arc<RequestKind>), Code> {
        let customer = self.authenticate(key)?;
        let job = self.jobs.get(&id).ok_or(Code::NoRequest)?;
        // Another customer must not even learn that the id exists.
        if job.answer.customer != customer {
            return Err(Code::NoRequest);
        }
        Ok((Arc::clone(&job.answer), Arc::clone(&job.kind)))
    }

    /// Whether no request runs and no caller reads an answer.
    fn is_idle(&self) -> bool {
        self.world.requests.is_empty() && self.jobs.iter().all(|job| job.answer.readers() == 0)
    }

    fn abandoned(&mut self, id: RequestId, ctx: &mut Context<Self>) {
        let grace = Duration::from_millis(self.limits.return_ms);
        ctx.run_later(grace, move |core, ctx| {
            let Some(job) = core.jobs.get(&id) else {
                return;
            };
            if job.answer.readers() == 0 && !job.answer.is_ended() {
                core.push_input(Input::CallerLeft(id), ctx);
            }
        });
    }
}

impl Actor for Core {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        // The mailbox must not reject a burst of callers. Admission decides which requests to
        // reject, because it can tell the caller when to retry.
        ctx.set_mailbox_capacity(self.limits.waiting as usize + 1024);
        ctx.run_interval(TICK, Self::tick);
    }
}

impl Handler<messages::TickNow> for Core {
    type Result = ();

    fn handle(&mut self, _: messages::TickNow, ctx: &mut Context<Self>) {
        if self.tick_scheduled {
            self.tick(ctx);
        }
    }
}

impl Handler<Submit> for Core {
    type Result = Result<Arc<Answer>, Code>;

    fn handle(&mut self, msg: Submit, ctx: &mut Context<Self>) -> Self::Result {
        self.submit(&msg.key, msg.request, msg.id, ctx)
    }
}

impl Handler<Authenticate> for Core {
    type Result = Result<CustomerId, Code>;

    fn handle(&mut self, msg: Authenticate, _: &mut Context<Self>) -> Self::Result {
        self.authenticate(&msg.0)
    }
}

impl Handler<FindAnswer> for Core {
    type Result = Result<(Arc<Answer>, Arc<RequestKind>), Code>;

    fn handle(&mut self, msg: FindAnswer, _: &mut Context<Self>) -> Self::Result {
        self.find(&msg.key, msg.id)
    }
}

impl Handler<Report> for Core {
    type Result = ();

    fn handle(&mut self, msg: Report, ctx: &mut Context<Self>) {
        if let Input::Ended { attempt, .. } = &msg.0 {
            self.attempts.remove(attempt);
        }
        self.push_input(msg.0, ctx);
    }
}

impl Handler<Abandoned> for Core {
    type Result = ();

    fn handle(&mut self, msg: Abandoned, ctx: &mut Context<Self>) {
        self.abandoned(msg.0, ctx);
    }
}

impl Handler<Drain> for Core {
    type Result = ();

    fn handle(&mut self, _: Drain, ctx: &mut Context<Self>) {
        self.push_input(Input::Drain, ctx);
    }
}

impl Handler<messages::Stop> for Core {
    type Result = ();

    fn handle(&mut self, _: messages::Stop, ctx: &mut Context<Self>) {
        ctx.stop();
    }
}

/// Sets the actor that performs the actions of version moves.
#[derive(Clone, Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct SetMoves(pub(crate) Addr<Moves>);

impl Handler<SetMoves> for Core {
    type Result = ();

    fn handle(&mut self, msg: SetMoves, _: &mut Context<Self>) {
        self.moves = Some(msg.0);
    }
}
