//! The actor that follows the platform's list of hosts.
//!
//! What the list says goes to the core. A notice that no other daemon has told
//! of yet goes to the other daemons first, by an urgent row of gossip: each
//! daemon reads the list only now and then, and until it did, it would go on
//! sending work to an endpoint that is about to vanish. One would notice it as
//! streams that begin on an endpoint seconds before its end.
//!
//! A list that cannot be reached changes nothing.

use std::time::{Duration, Instant};

use actix::{
    Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, Handler, Message, WrapFuture as _,
};
use poplarvale_lib::gossip::{Kind, Peer};
use poplarvale_lib::protos::peer::LeavingEndpoint;
use poplarvale_lib::protos::platform::ListedHosts;
use poplarvale_lib::routing::NOTICE_TTL;
use poplarvale_lib::{EndpointId, Input, Row, Table, ZoneId};
use prost::Message as _;

use crate::core::{Core, Report};
use crate::peers::{Gossip, Live, Put, Remove};
use crate::platform::hosts::{HostList, HostsClient, HostsError};

/// Shortest time between two questions of one daemon: notices come seconds
/// ahead, and a second of that is what reading the list may cost.
const GAP: Duration = Duration::from_secs(1);
/// Questions a [`GAP`] that the daemons of a zone ask together, so that the list
/// has no more to answer as the fleet grows. Two, as one of them may be stuck.
const ASKERS: u32 = 2;

/// A notice that the daemons have been told of.
#[derive(Clone, Debug)]
struct Notice {
    endpoint: EndpointId,
    until: Instant,
    /// Whether the row about it is this daemon's.
    own: bool,
}

impl Row for Notice {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.endpoint
    }
}

/// What the actor works with.
pub(crate) struct Parts {
    pub(crate) zone: ZoneId,
    /// Endpoints named in the settings.
    pub(crate) fixed: Vec<EndpointId>,
    pub(crate) client: HostsClient,
    pub(crate) core: Addr<Core>,
    pub(crate) gossip: Addr<Gossip>,
}

/// Actor that follows the list.
pub(crate) struct Hosts {
    zone: ZoneId,
    client: HostsClient,
    core: Addr<Core>,
    gossip: Addr<Gossip>,
    list: HostList,
    notices: Table<Notice>,
    failed: bool,
}

impl Hosts {
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            zone: parts.zone,
            client: parts.client,
            core: parts.core,
            gossip: parts.gossip,
            list: HostList::new(parts.fixed),
            notices: Table::new(),
            failed: false,
        }
    }

    /// Asks the list once; the next question comes some time after its answer.
    fn ask(&mut self, ctx: &mut Context<Self>) {
        let (client, gossip) = (self.client, self.gossip.clone());
        let asked = async move {
            let answer = client.list().await;
            let live = gossip.send(Live).await.unwrap_or_default();
            (answer, live)
        };
        let asked = asked.into_actor(self).map(|(answer, live), hosts, ctx| {
            hosts.note(answer, ctx);
            hosts.forget(Instant::now(), ctx);
            ctx.run_later(gap(hosts.neighbours(&live)), Self::ask);
        });
        ctx.spawn(asked);
    }

    /// Live daemons of the zone, this one included.
    fn neighbours(&self, live: &[Peer]) -> u32 {
        live.iter().filter(|peer| peer.zone == self.zone).count() as u32
    }

    fn note(&mut self, answer: Result<ListedHosts, HostsError>, ctx: &mut Context<Self>) {
        match answer {
            Ok(answer) => {
                self.failed = false;
                let inputs = self.list.take(Instant::now(), &answer);
                self.tell(inputs, ctx);
            }
            Err(error) if !self.failed => {
                self.failed = true;
                log::warn!("hosts: {error}; what was known goes on.");
            }
            Err(_) => {}
        }
    }

    fn tell(&mut self, inputs: Vec<Input>, ctx: &mut Context<Self>) {
        for input in inputs {
            if let Input::Leaving { endpoint, until } = &input {
                self.spread(endpoint, *until, ctx);
            }
            self.core.do_send(Report(input));
        }
    }

    /// Tells the other daemons of a notice unless one of them has.
    fn spread(&mut self, endpoint: &EndpointId, until: Instant, ctx: &mut Context<Self>) {
        if self.notices.get(endpoint).is_some_and(|n| n.until <= until) {
            return;
        }
        log::info!("hosts: {endpoint} is leaving.");
        self.notices.insert(Notice {
            endpoint: endpoint.clone(),
            until,
            own: true,
        });
        let left = until.saturating_duration_since(Instant::now());
        let row = LeavingEndpoint {
            left_ms: left.as_millis() as u64,
        };
        let put = self.gossip.send(Put {
            kind: Kind::ENDPOINT,
            name: endpoint.clone(),
            value: row.encode_to_vec(),
        });
        // A full lane is no harm beyond delay: the others read the list as well.
        ctx.spawn(put.into_actor(self).map(|put, _, _| {
            if let Ok(Err(code)) = put {
                log::warn!("hosts: a notice was not passed on: {code:?}.");
            }
        }));
    }

    /// Takes rows back whose endpoints are long gone, or the lane would fill up.
    fn forget(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let old = |notice: &&Notice| notice.until + NOTICE_TTL <= now;
        let own = self.notices.iter().filter(old).filter(|notice| notice.own);
        let own: Vec<EndpointId> = own.map(|notice| notice.endpoint.clone()).collect();
        self.notices.retain(|notice| !old(&notice));
        for name in own {
            let kind = Kind::ENDPOINT;
            let removed = self.gossip.send(Remove { kind, name });
            // The row may be gone already, which is as good.
            ctx.spawn(removed.into_actor(self).map(|_removed, _, _| ()));
        }
    }
}

/// Time until the next question, a little early or late, so that daemons that
/// started together do not go on asking together.
fn gap(neighbours: u32) -> Duration {
    let part = 0.9 + 0.2 * fastrand::f64();
    let daemons = neighbours.max(ASKERS);
    (GAP * daemons / ASKERS).mul_f64(part)
}

impl Actor for Hosts {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.ask(ctx);
    }
}

/// Another daemon told of a notice.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerNotice {
    /// Endpoint.
    pub(crate) endpoint: EndpointId,
    /// When it will be gone.
    pub(crate) until: Instant,
}

impl Handler<PeerNotice> for Hosts {
    type Result = ();

    fn handle(&mut self, msg: PeerNotice, _: &mut Self::Context) {
        let PeerNotice { endpoint, until } = msg;
        if !self.notices.contains(&endpoint) {
            self.notices.insert(Notice {
                endpoint,
                until,
                own: false,
            });
        }
    }
}
