//! The actor that keeps this daemon's lists in step with the platform and the peers.
//!
//! `poplarvale_lib::config` decides what to do when; this module executes its commands as calls to
//! the key-value service and to other daemons.

mod pull;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, Handler, Message, ResponseFuture,
    SpawnHandle, WrapFuture as _,
};
use poplarvale_lib::config::{
    Command, EditId, HEAD_KEY, Input, KEY_PREFIX, Keeper, Peer, Proposal, Pull, Verdict,
};
use poplarvale_lib::gossip::{self, Kind};
use poplarvale_lib::protos::peer::{Adopted, Part};
use poplarvale_lib::store::Store as _;
use poplarvale_lib::{Accepted, Incarnation, Revision};
use prost::Message as _;
use tokio::sync::oneshot;

use crate::core::{Core, Report};
use crate::health::Ready;
use crate::kinds::LISTS_FRESH;
use crate::peers::{Client, Gossip, Put};
use crate::platform::store::StoreClient;

/// Longest time between two ticks of the keeper.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the age of the lists is advertised to the zone.
const FRESH_INTERVAL: Duration = Duration::from_secs(2);

/// What the actor needs of the daemon.
pub(crate) struct Parts {
    pub(crate) core: Addr<Core>,
    pub(crate) gossip: Addr<Gossip>,
    pub(crate) client: Client,
    pub(crate) store: Rc<StoreClient>,
    pub(crate) ready: Ready,
}

/// Actor that keeps the lists.
pub struct Config {
    keeper: Keeper,
    parts: Parts,
    inputs: Vec<Input>,
    /// Sorted by incarnation.
    peers: Vec<(Incarnation, SocketAddr)>,
    watch: Option<SpawnHandle>,
    /// Operators that wait for the result of their edits.
    waiting: Vec<(EditId, oneshot::Sender<Verdict>)>,
    /// When the age of the lists was last advertised.
    advertised: Instant,
}

impl std::fmt::Debug for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Config")
            .field("keeper", &self.keeper)
            .finish_non_exhaustive()
    }
}

impl Config {
    pub(crate) fn new(me: Peer, parts: Parts) -> Self {
        Self {
            keeper: Keeper::new(me, fastrand::u64(..)),
            parts,
            inputs: Vec::new(),
            peers: Vec::new(),
            watch: None,
            waiting: Vec::new(),
            advertised: Instant::now(),
        }
    }

    /// Passes an input to the keeper at once.
    fn apply(&mut self, input: Input, ctx: &mut Context<Self>) {
        self.inputs.push(input);
        self.tick(ctx);
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let inputs = std::mem::take(&mut self.inputs);
        for command in self.keeper.tick(now, inputs) {
            self.execute(command, ctx);
        }
        if self.advertised + FRESH_INTERVAL <= now {
            self.advertised = now;
            self.advertise(LISTS_FRESH, now);
        }
    }

    fn execute(&mut self, command: Command, ctx: &mut Context<Self>) {
        match command {
            Command::Watch(from) => self.watch(from, ctx),
            Command::Unwatch => {
                if let Some(watch) = self.watch.take() {
                    ctx.cancel_future(watch);
                }
            }
            Command::ReadHead => self.glance(ctx),
            Command::ReadLists => self.read(ctx),
            Command::Write { edit, write } => {
                let store = Rc::clone(&self.parts.store);
                let call = async move {
                    let result = store.write(write).await;
                    Input::Written { edit, result }
                };
                self.call(call, ctx);
            }
            Command::Pull { peer, pull } => self.pull(peer, pull, ctx),
            // The row of an adopted revision is urgent: gossip pushes it at once.
            Command::Announce { .. } => {}
            Command::Adopt(accepted) => self.adopt(accepted),
            Command::Reply { edit, verdict } => self.answer(&edit, &verdict),
        }
    }

    /// Makes a call and passes its result to the keeper.
    fn call(&self, call: impl Future<Output = Input> + 'static, ctx: &mut Context<Self>) {
        let then = |input, config: &mut Self, ctx: &mut Context<Self>| config.apply(input, ctx);
        ctx.spawn(call.into_actor(self).map(then));
    }

    fn glance(&self, ctx: &mut Context<Self>) {
        let store = Rc::clone(&self.parts.store);
        let sent = Instant::now();
        let call = async move {
            let result = store.get(HEAD_KEY).await;
            Input::HeadRead { sent, result }
        };
        self.call(call, ctx);
    }

    fn read(&self, ctx: &mut Context<Self>) {
        let store = Rc::clone(&self.parts.store);
        let sent = Instant::now();
        let call = async move {
            let result = store.range(KEY_PREFIX).await;
            Input::ListsRead { sent, result }
        };
        self.call(call, ctx);
    }

    fn watch(&mut self, from: Revision, ctx: &mut Context<Self>) {
        if let Some(old) = self.watch.take() {
            ctx.cancel_future(old);
        }
        let store = Rc::clone(&self.parts.store);
        let me = ctx.address();
        let watch = async move {
            let on_change = |value| me.do_send(KeeperInput(Input::HeadChanged(value)));
            let failure = store.watch(HEAD_KEY, from, on_change).await;
            log::info!("config: the watch of the lists ended, the keeper is notified: {failure}.");
        };
        let ended = |(), config: &mut Self, ctx: &mut Context<Self>| {
            config.watch = None;
            config.apply(Input::WatchEnded, ctx);
        };
        self.watch = Some(ctx.spawn(watch.into_actor(self).map(ended)));
    }

    fn pull(&self, peer: Incarnation, pull: Pull, ctx: &mut Context<Self>) {
        let at = self.peers.binary_search_by_key(&peer, |(id, _)| *id);
        let address = at.ok().map(|at| self.peers[at].1);
        let client = self.parts.client.clone();
        let call = async move {
            let answer = match address {
                Some(address) => pull::pull(&client, address, &pull).await,
                None => None,
            };
            Input::Pulled { peer, answer }
        };
        self.call(call, ctx);
    }

    fn adopt(&self, accepted: Accepted) {
        log::info!(
            "config: lists of revision {} are in force.",
            accepted.revision
        );
        let lists = poplarvale_lib::Input::Lists(accepted);
        self.parts.core.do_send(Report(lists));
        self.advertise(Kind::REVISION, Instant::now());
        self.parts.ready.set_lists();
    }

    /// Writes the revision and age of the lists as a gossip row.
    fn advertise(&self, kind: Kind, now: Instant) {
        let age = self.keeper.age(now);
        let row = Adopted {
            revision: self.keeper.accepted().revision,
            age_ms: age.map(|age| age.as_millis() as u64),
        };
        self.parts.gossip.do_send(Put {
            kind,
            name: "".into(),
            value: row.encode_to_vec(),
        });
    }

    fn answer(&mut self, edit: &EditId, verdict: &Verdict) {
        for at in (0..self.waiting.len()).rev() {
            if self.waiting[at].0 == *edit {
                let (_, operator) = self.waiting.swap_remove(at);
                // The operator may have disconnected.
                let _ = operator.send(verdict.clone());
            }
        }
    }
}

impl Actor for Config {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK_INTERVAL, Self::tick);
    }
}

/// An input for the keeper.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct KeeperInput(pub(crate) Input);

impl Handler<KeeperInput> for Config {
    type Result = ();

    fn handle(&mut self, msg: KeeperInput, ctx: &mut Self::Context) {
        self.apply(msg.0, ctx);
    }
}

/// Sets the live daemons, this one included.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SetPeers(pub(crate) Vec<gossip::Peer>);

impl Handler<SetPeers> for Config {
    type Result = ();

    fn handle(&mut self, msg: SetPeers, ctx: &mut Self::Context) {
        let me = self.keeper.me().incarnation;
        let others = msg.0.iter().filter(|peer| peer.incarnation != me);
        let mut peers: Vec<_> = others.clone().map(|p| (p.incarnation, p.address)).collect();
        peers.sort_unstable_by_key(|(id, _)| *id);
        self.peers = peers;
        self.parts.store.set_daemons(msg.0.len() as u32);
        let known = others.map(|peer| Peer {
            incarnation: peer.incarnation,
            zone: peer.zone.clone(),
        });
        self.apply(Input::Peers(known.collect()), ctx);
    }
}

/// An operator's edit.
#[derive(Debug, Message)]
#[rtype(result = "Verdict")]
pub(crate) struct Edit(pub(crate) Proposal);

impl Handler<Edit> for Config {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, msg: Edit, ctx: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.waiting.push((msg.0.id.clone(), sender));
        self.apply(Input::Edit(msg.0), ctx);
        Box::pin(async { receiver.await.unwrap_or(Verdict::Unknown) })
    }
}

/// A peer's request for the lists that are newer than a revision.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Part")]
pub(crate) struct ReadLists {
    /// Revision that the peer has.
    pub(crate) have: Revision,
    /// Byte offset of the requested part.
    pub(crate) from: u64,
}

impl Handler<ReadLists> for Config {
    type Result = actix::MessageResult<ReadLists>;

    fn handle(&mut self, msg: ReadLists, _: &mut Self::Context) -> Self::Result {
        let pull = Pull { have: msg.have };
        let pulled = self.keeper.answer(Instant::now(), &pull);
        actix::MessageResult(pull::part(pulled, msg.from))
    }
}
