//! The actor that asks model engines of its zone for load and cache events.
//!
//! Routing goes by what engines report, and would send blindly without it. Were
//! each daemon to ask each engine, an engine would answer as many questions as
//! there are daemons, and a daemon ask as many as there are engines. So the
//! engines of a zone are shared out among its live daemons: rendezvous hashing
//! names one daemon for each, and when one daemon comes or goes only its part
//! changes hands. Daemons that see different others ask an engine twice for a
//! while, which does no harm: of two reports the later counts.
//!
//! Load is passed on to the zone's other daemons by a row of gossip for each
//! engine. Cache events are not: they are many, and stay with who asks.
//!
//! An engine that does not answer is passed over. Whether it gets work is decided
//! by how its requests end.

mod duty;
mod wire;

pub(crate) use wire::load_report;

use std::time::{Duration, Instant};

use actix::{Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, WrapFuture as _};
use awc::{Client, Connector};
use futures::future::join_all;
use poplarvale_lib::gossip::Peer;
use poplarvale_lib::protos::platform::EngineLoad;
use poplarvale_lib::routing::Event;
use poplarvale_lib::{EndpointId, Incarnation, Input, Table, ZoneId};
use prost::Message as _;

use crate::core::{Core, Engine, GetEngines, Report};
use crate::kinds::LOAD;
use crate::peers::{Gossip, Live, Put, Remove};
use duty::{Duty, is_mine};
use wire::{PollResult, ask};

/// Time between two questions to an engine. Routing makes up for a report's age
/// by own sendings, but knows of the others' only by the next report; the peak is
/// 0.7 requests a second for each engine, so a report is off by one or two. Each
/// engine is asked twice, for load and for events, at about 350 bytes.
const GAP: Duration = Duration::from_secs(2);
/// Time for a question; the next one is due by then.
const CALL_TIME: Duration = Duration::from_secs(1);
/// Time between two rows about an engine that works. Rows cost each daemon of the
/// zone, so only every second answer becomes one.
const ROW_GAP: Duration = Duration::from_secs(3);

/// What the actor works with.
pub(crate) struct Parts {
    pub(crate) me: Incarnation,
    pub(crate) zone: ZoneId,
    pub(crate) core: Addr<Core>,
    pub(crate) gossip: Addr<Gossip>,
}

/// Actor that asks engines.
pub(crate) struct Probe {
    parts: Parts,
    client: Client,
    duties: Table<Duty>,
    asking: bool,
}

impl Probe {
    pub(crate) fn new(parts: Parts) -> Self {
        let connector = Connector::new().timeout(CALL_TIME).limit(0);
        let builder = Client::builder().timeout(CALL_TIME).disable_redirects();
        Self {
            parts,
            client: builder.connector(connector).finish(),
            duties: Table::new(),
            asking: false,
        }
    }

    /// Looks which engines are this daemon's part, and asks those.
    fn round(&mut self, ctx: &mut Context<Self>) {
        if self.asking {
            return;
        }
        self.asking = true;
        let core = self.parts.core.clone();
        let gossip = self.parts.gossip.clone();
        let zone = self.parts.zone.clone();
        let looked = async move {
            let engines = core.send(GetEngines(zone)).await.unwrap_or_default();
            let live = gossip.send(Live).await.unwrap_or_default();
            (engines, live)
        };
        let looked = looked.into_actor(self).then(|(engines, live), probe, ctx| {
            probe.share_out(engines, &live, ctx);
            probe.ask_all().into_actor(probe)
        });
        ctx.spawn(looked.map(|answers, probe, ctx| {
            probe.asking = false;
            for asked in answers.into_iter().flatten() {
                probe.note(asked, ctx);
            }
        }));
    }

    /// Takes up the engines that fall to this daemon, and lets go of the others.
    fn share_out(&mut self, engines: Vec<Engine>, live: &[Peer], ctx: &mut Context<Self>) {
        let me = self.parts.me;
        let zone = live.iter().filter(|peer| peer.zone == self.parts.zone);
        let others: Vec<Incarnation> = zone
            .map(|peer| peer.incarnation)
            .filter(|incarnation| *incarnation != me)
            .collect();
        let mine: Vec<Engine> = engines
            .into_iter()
            .filter(|engine| is_mine(&engine.id, me, &others))
            .collect();
        let old: Vec<EndpointId> = self.duties.iter().map(|duty| duty.id.clone()).collect();
        for id in old {
            if !mine.iter().any(|engine| engine.id == id) {
                self.duties.remove(&id);
                self.withdraw(id, ctx);
            }
        }
        for engine in mine {
            let old = self.duties.get(&engine.id);
            // Another process under an old id has events of its own.
            if old.is_none_or(|duty| duty.address != engine.address) {
                self.duties.insert(Duty::new(engine.id, engine.address));
            }
        }
    }

    fn ask_all(&self) -> impl Future<Output = Vec<Option<PollResult>>> + use<> {
        let asked: Vec<_> = self
            .duties
            .iter()
            .map(|duty| ask(self.client.clone(), duty.clone()))
            .collect();
        join_all(asked)
    }

    fn note(&mut self, asked: PollResult, ctx: &mut Context<Self>) {
        let Some(duty) = self.duties.get_mut(&asked.endpoint) else {
            return;
        };
        duty.note(&asked.load, &asked.changes);
        let due = duty.is_due(asked.at, &asked.load, ROW_GAP);
        let core = &self.parts.core;
        core.do_send(Report(load(&asked.endpoint, asked.at, &asked.load)));
        for change in asked.changes {
            let event = wire::event(&asked.endpoint, asked.load.epoch, &change);
            core.do_send(Report(Input::Routing(Event::Cache(event))));
        }
        if due {
            self.pass_on(asked.endpoint, &asked.load, ctx);
        }
    }

    /// Writes the row that tells the zone of an engine's load.
    fn pass_on(&self, endpoint: EndpointId, load: &EngineLoad, ctx: &mut Context<Self>) {
        let put = self.parts.gossip.send(Put {
            kind: LOAD,
            name: endpoint,
            value: wire::row(load).encode_to_vec(),
        });
        ctx.spawn(put.into_actor(self).map(|put, _, _| {
            if let Ok(Err(code)) = put {
                log::warn!("probe: a load was not passed on: {code:?}.");
            }
        }));
    }

    /// Takes the row back: the daemon that asks the engine now has its own.
    fn withdraw(&self, name: EndpointId, ctx: &mut Context<Self>) {
        let kind = LOAD;
        let removed = self.parts.gossip.send(Remove { kind, name });
        // There may be no row yet, which is as good.
        ctx.spawn(removed.into_actor(self).map(|_removed, _, _| ()));
    }
}

fn load(endpoint: &EndpointId, now: Instant, load: &EngineLoad) -> Input {
    Input::Routing(Event::Load(load_report(endpoint, now, &wire::row(load))))
}

impl Actor for Probe {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.round(ctx);
        ctx.run_interval(GAP, Self::round);
    }
}
