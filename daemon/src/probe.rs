//! The actor that polls the model engines of its zone for load and cache events.
//!
//! Routing depends on the load that engines report and would choose blindly without it. If every
//! daemon polled every engine, the number of calls to an engine would grow with the number of
//! daemons, and those of a daemon with the number of engines. The engines of a zone are therefore
//! distributed over its live daemons: rendezvous hashing assigns each engine to one daemon, and
//! when a daemon joins or leaves, only its engines are reassigned. Daemons with different views of
//! the live daemons may poll the same engine for a while. This does no harm, as the later of two
//! reports wins.
//!
//! The load of each engine is published to the other daemons of the zone as a gossip row. Cache
//! events are too many for that and stay with the daemon that polls the engine.
//!
//! An engine that doesn't answer is skipped. Whether it gets requests depends on the outcomes of
//! its requests.

mod polled;
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
use polled::{PolledEngine, is_assigned};
use wire::{PollResult, poll};

/// Time between two polls of an engine. Routing corrects a report for the attempts that this daemon
/// has sent since, but learns of the other daemons' attempts only from the next report. With a peak
/// of 0.7 requests per second and engine, a report is off by one or two. A poll consists of two
/// calls, for load and for events, with about 350 bytes each.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a call. It ends before the next poll is due.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two rows about a busy engine. Each row has a cost for every daemon of the
/// zone, so only every second poll is published.
const MIN_ROW_INTERVAL: Duration = Duration::from_secs(3);

/// Dependencies of the actor.
pub(crate) struct Parts {
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneId,
    pub(crate) core: Addr<Core>,
    pub(crate) gossip: Addr<Gossip>,
}

/// Actor that polls engines.
pub(crate) struct Probe {
    parts: Parts,
    client: Client,
    engines: Table<PolledEngine>,
    polling: bool,
}

impl Probe {
    pub(crate) fn new(parts: Parts) -> Self {
        let connector = Connector::new().timeout(CALL_TIMEOUT).limit(0);
        let builder = Client::builder().timeout(CALL_TIMEOUT).disable_redirects();
        Self {
            parts,
            client: builder.connector(connector).finish(),
            engines: Table::new(),
            polling: false,
        }
    }

    /// Determines which engines are assigned to this daemon, and polls them.
    fn round(&mut self, ctx: &mut Context<Self>) {
        if self.polling {
            return;
        }
        self.polling = true;
        let core = self.parts.core.clone();
        let gossip = self.parts.gossip.clone();
        let zone = self.parts.zone.clone();
        let lookup = async move {
            let engines = core.send(GetEngines(zone)).await.unwrap_or_default();
            let live = gossip.send(Live).await.unwrap_or_default();
            (engines, live)
        };
        let lookup = lookup.into_actor(self).then(|(engines, live), probe, ctx| {
            probe.assign_engines(engines, &live, ctx);
            probe.poll_all().into_actor(probe)
        });
        ctx.spawn(lookup.map(|results, probe, ctx| {
            probe.polling = false;
            for result in results.into_iter().flatten() {
                probe.apply_result(result, ctx);
            }
        }));
    }

    /// Starts polling the engines that are assigned to this daemon, and stops polling the others.
    fn assign_engines(&mut self, engines: Vec<Engine>, live: &[Peer], ctx: &mut Context<Self>) {
        let me = self.parts.incarnation;
        let zone = live.iter().filter(|peer| peer.zone == self.parts.zone);
        let others: Vec<Incarnation> = zone
            .map(|peer| peer.incarnation)
            .filter(|incarnation| *incarnation != me)
            .collect();
        let mine: Vec<Engine> = engines
            .into_iter()
            .filter(|engine| is_assigned(&engine.id, me, &others))
            .collect();
        let old: Vec<EndpointId> = self
            .engines
            .iter()
            .map(|engine| engine.id.clone())
            .collect();
        for id in old {
            if !mine.iter().any(|engine| engine.id == id) {
                self.engines.remove(&id);
                self.remove_row(id, ctx);
            }
        }
        for engine in mine {
            let old = self.engines.get(&engine.id);
            // Another process under the same id numbers its events independently.
            if old.is_none_or(|polled| polled.address != engine.address) {
                self.engines
                    .insert(PolledEngine::new(engine.id, engine.address));
            }
        }
    }

    fn poll_all(&self) -> impl Future<Output = Vec<Option<PollResult>>> + use<> {
        let polls: Vec<_> = self
            .engines
            .iter()
            .map(|engine| poll(self.client.clone(), engine.clone()))
            .collect();
        join_all(polls)
    }

    fn apply_result(&mut self, result: PollResult, ctx: &mut Context<Self>) {
        let Some(engine) = self.engines.get_mut(&result.endpoint) else {
            return;
        };
        engine.record(&result.load, &result.changes);
        let due = engine.is_row_due(result.at, &result.load, MIN_ROW_INTERVAL);
        let core = &self.parts.core;
        core.do_send(Report(load_input(
            &result.endpoint,
            result.at,
            &result.load,
        )));
        for change in result.changes {
            let event = wire::cache_event(&result.endpoint, result.load.epoch, &change);
            core.do_send(Report(Input::Routing(Event::Cache(event))));
        }
        if due {
            self.publish_load(result.endpoint, &result.load, ctx);
        }
    }

    /// Publishes the row with an engine's load to the zone.
    fn publish_load(&self, endpoint: EndpointId, load: &EngineLoad, ctx: &mut Context<Self>) {
        let put = self.parts.gossip.send(Put {
            kind: LOAD,
            name: endpoint,
            value: wire::load_row(load).encode_to_vec(),
        });
        ctx.spawn(put.into_actor(self).map(|put, _, _| {
            if let Ok(Err(code)) = put {
                log::warn!("probe: cannot publish a load; the zone keeps the last one: {code:?}.");
            }
        }));
    }

    /// Removes the row, as the daemon that polls the engine now writes its own.
    fn remove_row(&self, name: EndpointId, ctx: &mut Context<Self>) {
        let kind = LOAD;
        let removed = self.parts.gossip.send(Remove { kind, name });
        // It doesn't matter if there is no row yet.
        ctx.spawn(removed.into_actor(self).map(|_removed, _, _| ()));
    }
}

fn load_input(endpoint: &EndpointId, now: Instant, load: &EngineLoad) -> Input {
    Input::Routing(Event::Load(load_report(
        endpoint,
        now,
        &wire::load_row(load),
    )))
}

impl Actor for Probe {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.round(ctx);
        ctx.run_interval(POLL_INTERVAL, Self::round);
    }
}
