//! The actor that owns the daemon's replica.
//!
//! It runs a gossip round whenever its timer fires, answers the calls of peers from the replica,
//! and sends the changes that it receives to a recipient. It never waits for the network while it
//! handles a message, so an unresponsive peer does not delay the answers to others.

use std::net::SocketAddr;
use std::time::Instant;

use actix::{
    Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, Handler, Message, Recipient,
    ResponseFuture, WrapFuture as _,
};
use compact_str::CompactString;
use futures::future::join_all;
use poplarvale_lib::gossip::{
    self, Call, Change, GossipError, Key, Kind, Peer, ROUND_INTERVAL, Replica,
};
use poplarvale_lib::protos::peer::{Answer, Delta, Digest, Push};
use poplarvale_lib::{Code, Incarnation};

use crate::peers::{Client, PeerError};

/// Actor that owns the replica.
#[derive(Debug)]
pub struct Gossip {
    replica: Replica,
    rng: fastrand::Rng,
    client: Client,
    changed: Recipient<Changed>,
    /// Whether a timer starts the rounds.
    timed: bool,
}

impl Gossip {
    /// Actor whose rounds are started by a timer.
    pub fn new(replica: Replica, client: Client, changed: Recipient<Changed>) -> Self {
        Self {
            replica,
            rng: fastrand::Rng::new(),
            client,
            changed,
            timed: true,
        }
    }

    /// Actor that runs a round only when it receives a [`Round`].
    pub fn untimed(replica: Replica, client: Client, changed: Recipient<Changed>) -> Self {
        Self {
            timed: false,
            ..Self::new(replica, client, changed)
        }
    }

    /// Schedules the next round with a jitter of 10%. Without it, daemons that started together
    /// would all make their calls at the same moment in every round.
    fn schedule(&mut self, ctx: &mut Context<Self>) {
        let factor = 0.9 + 0.2 * self.rng.f64();
        ctx.run_later(ROUND_INTERVAL.mul_f64(factor), |gossip, ctx| {
            ctx.notify(Round);
            gossip.schedule(ctx);
        });
    }

    /// Sends changes to the recipient.
    fn report(&self, changes: Vec<Change>) {
        if !changes.is_empty() {
            self.changed.do_send(Changed(changes));
        }
    }

    /// Makes calls in the background.
    fn spawn_calls(&self, ctx: &mut Context<Self>, calls: Vec<Call>) {
        if !calls.is_empty() {
            let all = run_calls(ctx.address(), self.client.clone(), calls);
            ctx.spawn(all.into_actor(self).map(|_answered, _, _| ()));
        }
    }

    /// Merges a delta, if there is one, and reports the changes.
    fn merge(&mut self, delta: Option<Delta>) -> Result<(), GossipError> {
        let Some(delta) = delta else {
            return Ok(());
        };
        let mut changes = Vec::new();
        let merged = self.replica.merge(Instant::now(), delta, &mut changes);
        self.report(changes);
        merged
    }
}

impl Actor for Gossip {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        if self.timed {
            self.schedule(ctx);
        }
    }
}

/// Changes received from other daemons.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Changed(pub Vec<Change>);

/// Runs a round; returns how many of its calls were answered.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "usize")]
pub struct Round;

impl Handler<Round> for Gossip {
    type Result = ResponseFuture<usize>;

    fn handle(&mut self, _: Round, ctx: &mut Self::Context) -> Self::Result {
        let now = Instant::now();
        let changes = self.replica.advance(now);
        self.report(changes);
        let calls = self.replica.round(now, &mut self.rng);
        Box::pin(run_calls(ctx.address(), self.client.clone(), calls))
    }
}

/// Writes a row of this daemon.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<(), Code>")]
pub struct Put {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: CompactString,
    /// Its value.
    pub value: Vec<u8>,
}

impl Handler<Put> for Gossip {
    type Result = Result<(), Code>;

    fn handle(&mut self, msg: Put, ctx: &mut Self::Context) -> Self::Result {
        let now = Instant::now();
        let put = self.replica.put(now, msg.kind, &msg.name, &msg.value);
        self.spawn_calls(ctx, put.map_err(GossipError::code)?);
        Ok(())
    }
}

/// Removes a row of this daemon.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<(), Code>")]
pub struct Remove {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: CompactString,
}

impl Handler<Remove> for Gossip {
    type Result = Result<(), Code>;

    fn handle(&mut self, msg: Remove, ctx: &mut Self::Context) -> Self::Result {
        let removed = self.replica.remove(Instant::now(), msg.kind, &msg.name);
        self.spawn_calls(ctx, removed.map_err(GossipError::code)?);
        Ok(())
    }
}

/// Requests the value of a row.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Vec<u8>>")]
pub struct Get {
    /// Its writer.
    pub origin: Incarnation,
    /// Its key.
    pub key: Key,
}

impl Handler<Get> for Gossip {
    type Result = Option<Vec<u8>>;

    fn handle(&mut self, msg: Get, _: &mut Self::Context) -> Self::Result {
        self.replica.get(msg.origin, &msg.key).map(<[u8]>::to_vec)
    }
}

/// Requests the live daemons, this one included.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<Peer>")]
pub struct Live;

impl Handler<Live> for Gossip {
    type Result = Vec<Peer>;

    fn handle(&mut self, _: Live, _: &mut Self::Context) -> Self::Result {
        self.replica.live(Instant::now()).cloned().collect()
    }
}

/// Sets the addresses to call while no other daemon is known.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetSeeds(pub Vec<SocketAddr>);

impl Handler<SetSeeds> for Gossip {
    type Result = ();

    fn handle(&mut self, msg: SetSeeds, _: &mut Self::Context) {
        self.replica.set_seeds(msg.0);
    }
}

/// A peer's digest, to be answered from the replica.
#[derive(Message)]
#[rtype(result = "Result<Answer, Code>")]
pub(crate) struct AnswerDigest(pub(crate) Digest);

impl Handler<AnswerDigest> for Gossip {
    type Result = Result<Answer, Code>;

    fn handle(&mut self, msg: AnswerDigest, _: &mut Self::Context) -> Self::Result {
        let answer = self.replica.answer(Instant::now(), &msg.0);
        answer.map_err(GossipError::code)
    }
}

/// A delta that this replica requested in its answer to a digest.
#[derive(Message)]
#[rtype(result = "Result<(), Code>")]
pub(crate) struct ApplyDelta(pub(crate) Delta);

impl Handler<ApplyDelta> for Gossip {
    type Result = Result<(), Code>;

    fn handle(&mut self, msg: ApplyDelta, _: &mut Self::Context) -> Self::Result {
        self.merge(Some(msg.0)).map_err(GossipError::code)
    }
}

/// Urgent rows pushed by a peer.
#[derive(Message)]
#[rtype(result = "Result<(), Code>")]
pub(crate) struct ApplyPush(pub(crate) Push);

impl Handler<ApplyPush> for Gossip {
    type Result = Result<(), Code>;

    fn handle(&mut self, msg: ApplyPush, ctx: &mut Self::Context) -> Self::Result {
        let mut changes = Vec::new();
        let received = self.replica.receive(Instant::now(), msg.0, &mut changes);
        self.report(changes);
        let calls = received.map_err(GossipError::code)?;
        self.spawn_calls(ctx, calls);
        Ok(())
    }
}

/// A peer's answer to a digest of this replica; returns the delta that the peer requested.
#[derive(Message)]
#[rtype(result = "Result<Option<Delta>, GossipError>")]
struct ApplyAnswer(Answer);

impl Handler<ApplyAnswer> for Gossip {
    type Result = Result<Option<Delta>, GossipError>;

    fn handle(&mut self, msg: ApplyAnswer, _: &mut Self::Context) -> Self::Result {
        self.merge(msg.0.delta)?;
        let Some(wants) = msg.0.wants else {
            return Ok(None);
        };
        let back = self.replica.answer(Instant::now(), &wants)?;
        Ok(back.delta)
    }
}

/// Makes calls concurrently; returns how many were answered.
async fn run_calls(gossip: Addr<Gossip>, client: Client, calls: Vec<Call>) -> usize {
    let results = calls
        .into_iter()
        .map(|call| run_call(&gossip, &client, call));
    let results = join_all(results).await;
    results.into_iter().filter(|answered| *answered).count()
}

/// Makes one call; returns whether it was answered.
async fn run_call(gossip: &Addr<Gossip>, client: &Client, call: Call) -> bool {
    let result = match call.message {
        gossip::Message::Exchange(digest) => exchange(gossip, client, call.to, digest).await,
        gossip::Message::Push(push) => client.push(call.to, &push).await,
    };
    match &result {
        Ok(()) => {}
        Err(PeerError::Rejected(code)) => {
            log::warn!(
                "peers: {} rejected a call with code {code}, the next rounds call again",
                call.to
            );
        }
        // Expected: hosts vanish at any time, and the next rounds call other peers.
        Err(error) => log::debug!("peers: call to {} failed: {error}", call.to),
    }
    result.is_ok()
}

/// Sends a digest, applies the answer and sends the delta that the peer requested.
async fn exchange(
    gossip: &Addr<Gossip>,
    client: &Client,
    to: SocketAddr,
    digest: Digest,
) -> Result<(), PeerError> {
    let answer = client.exchange(to, &digest).await?;
    if let Some(delta) = gossip.send(ApplyAnswer(answer)).await?? {
        client.settle(to, &delta).await?;
    }
    Ok(())
}
