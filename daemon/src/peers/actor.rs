//! The actor that owns the daemon's replica.
//!
//! It runs a round when its timer fires, answers the calls of others from the
//! replica, and hands what others changed to a recipient. Nothing here waits
//! for the network while it holds the replica: a peer that does not answer must
//! not keep others from getting theirs.

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

/// Owns the replica.
#[derive(Debug)]
pub struct Gossip {
    replica: Replica,
    rng: fastrand::Rng,
    client: Client,
    changed: Recipient<Changed>,
    /// Whether rounds run by themselves.
    timed: bool,
}

impl Gossip {
    /// Actor whose rounds run by themselves.
    pub fn new(replica: Replica, client: Client, changed: Recipient<Changed>) -> Self {
        Self {
            replica,
            rng: fastrand::Rng::new(),
            client,
            changed,
            timed: true,
        }
    }

    /// Actor that runs a round only when it gets a [`Round`].
    pub fn untimed(replica: Replica, client: Client, changed: Recipient<Changed>) -> Self {
        Self {
            timed: false,
            ..Self::new(replica, client, changed)
        }
    }

    /// Sets the next round off, a little early or late: daemons that started
    /// together would else call all at the same moment, round after round.
    fn schedule(&mut self, ctx: &mut Context<Self>) {
        let part = 0.9 + 0.2 * self.rng.f64();
        ctx.run_later(ROUND_INTERVAL.mul_f64(part), |gossip, ctx| {
            ctx.notify(Round);
            gossip.schedule(ctx);
        });
    }

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

/// What others changed.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Changed(pub Vec<Change>);

/// Runs a round; tells how many of its calls were answered.
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

/// Value of a row.
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

/// Live daemons, this one among them.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<Peer>")]
pub struct Live;

impl Handler<Live> for Gossip {
    type Result = Vec<Peer>;

    fn handle(&mut self, _: Live, _: &mut Self::Context) -> Self::Result {
        self.replica.live(Instant::now()).cloned().collect()
    }
}

/// Sets the addresses to ask when no other daemon is known.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetSeeds(pub Vec<SocketAddr>);

impl Handler<SetSeeds> for Gossip {
    type Result = ();

    fn handle(&mut self, msg: SetSeeds, _: &mut Self::Context) {
        self.replica.set_seeds(msg.0);
    }
}

/// A peer's digest.
#[derive(Message)]
#[rtype(result = "Result<Answer, Code>")]
pub(crate) struct Ask(pub(crate) Digest);

impl Handler<Ask> for Gossip {
    type Result = Result<Answer, Code>;

    fn handle(&mut self, msg: Ask, _: &mut Self::Context) -> Self::Result {
        let answer = self.replica.answer(Instant::now(), &msg.0);
        answer.map_err(GossipError::code)
    }
}

/// A delta that this replica asked for in its answer.
#[derive(Message)]
#[rtype(result = "Result<(), Code>")]
pub(crate) struct Settle(pub(crate) Delta);

impl Handler<Settle> for Gossip {
    type Result = Result<(), Code>;

    fn handle(&mut self, msg: Settle, _: &mut Self::Context) -> Self::Result {
        self.merge(Some(msg.0)).map_err(GossipError::code)
    }
}

/// Urgent rows of a peer.
#[derive(Message)]
#[rtype(result = "Result<(), Code>")]
pub(crate) struct Receive(pub(crate) Push);

impl Handler<Receive> for Gossip {
    type Result = Result<(), Code>;

    fn handle(&mut self, msg: Receive, ctx: &mut Self::Context) -> Self::Result {
        let mut changes = Vec::new();
        let received = self.replica.receive(Instant::now(), msg.0, &mut changes);
        self.report(changes);
        let calls = received.map_err(GossipError::code)?;
        self.spawn_calls(ctx, calls);
        Ok(())
    }
}

/// A peer's answer to a digest of this replica; gives what the peer asked back.
#[derive(Message)]
#[rtype(result = "Result<Option<Delta>, GossipError>")]
struct Take(Answer);

impl Handler<Take> for Gossip {
    type Result = Result<Option<Delta>, GossipError>;

    fn handle(&mut self, msg: Take, _: &mut Self::Context) -> Self::Result {
        self.merge(msg.0.delta)?;
        let Some(wants) = msg.0.wants else {
            return Ok(None);
        };
        let back = self.replica.answer(Instant::now(), &wants)?;
        Ok(back.delta)
    }
}

/// Makes calls at the same time; returns how many were answered.
async fn run_calls(gossip: Addr<Gossip>, client: Client, calls: Vec<Call>) -> usize {
    let results = calls
        .into_iter()
        .map(|call| run_call(&gossip, &client, call));
    let results = join_all(results).await;
    results.into_iter().filter(|answered| *answered).count()
}

/// Makes one call; whether it was answered.
async fn run_call(gossip: &Addr<Gossip>, client: &Client, call: Call) -> bool {
    let result = match call.message {
        gossip::Message::Exchange(digest) => exchange(gossip, client, call.to, digest).await,
        gossip::Message::Push(push) => client.push(call.to, &push).await,
    };
    match &result {
        Ok(()) => {}
        Err(PeerError::Refused(code)) => {
            log::warn!("peers: {} refused a call with code {code}", call.to);
        }
        // An ordinary event: hosts vanish all day, and rounds go on.
        Err(error) => log::debug!("peers: call to {} failed: {error}", call.to),
    }
    result.is_ok()
}

async fn exchange(
    gossip: &Addr<Gossip>,
    client: &Client,
    to: SocketAddr,
    digest: Digest,
) -> Result<(), PeerError> {
    let answer = client.exchange(to, &digest).await?;
    if let Some(delta) = gossip.send(Take(answer)).await?? {
        client.settle(to, &delta).await?;
    }
    Ok(())
}
