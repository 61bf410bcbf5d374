//! The actor that polls the platform's list of hosts.
//!
//! Changes of the list go to the core. A reclaim notice that no other daemon has published yet is
//! first sent to the other daemons as an urgent gossip row. Each daemon polls the list only from
//! time to time, and until it did, it would keep sending work to an endpoint that is about to
//! disappear; the symptom is streams that start on an endpoint seconds before it is gone.
//!
//! If the list can't be reached, nothing changes.

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

/// Shortest time between two polls by one daemon. Notices arrive seconds before the host is gone,
/// and polling may use up one second of that.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Polls per [`MIN_POLL_INTERVAL`] by all daemons of a zone together, so that the load on the
/// list's server doesn't grow with the fleet. Two, as one of the daemons may be stuck.
const POLLS_PER_INTERVAL: u32 = 2;

/// A reclaim notice that has been published to the daemons.
#[derive(Clone, Debug)]
struct Notice {
    endpoint: EndpointId,
    /// When the endpoint will be gone.
    until: Instant,
    /// Whether this daemon has written the row.
    own: bool,
}

impl Row for Notice {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.endpoint
    }
}

/// Dependencies of the actor.
pub(crate) struct Parts {
    pub(crate) zone: ZoneId,
    /// Endpoints named in the settings.
    pub(crate) fixed: Vec<EndpointId>,
    pub(crate) client: HostsClient,
    pub(crate) core: Addr<Core>,
    pub(crate) gossip: Addr<Gossip>,
}

/// Actor that polls the list.
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

    /// Polls the list once, and schedules the next poll after the answer.
    fn poll(&mut self, ctx: &mut Context<Self>) {
        let (client, gossip) = (self.client, self.gossip.clone());
        let polled = async move {
            let answer = client.list().await;
            let live = gossip.send(Live).await.unwrap_or_default();
            (answer, live)
        };
        let polled = polled.into_actor(self).map(|(answer, live), hosts, ctx| {
            hosts.apply_answer(answer, ctx);
            hosts.prune_notices(Instant::now(), ctx);
            ctx.run_later(poll_delay(hosts.zone_daemons(&live)), Self::poll);
        });
        ctx.spawn(polled);
    }

    /// Live daemons of the zone, this one included.
    fn zone_daemons(&self, live: &[Peer]) -> u32 {
        live.iter().filter(|peer| peer.zone == self.zone).count() as u32
    }

    fn apply_answer(&mut self, answer: Result<ListedHosts, HostsError>, ctx: &mut Context<Self>) {
        match answer {
            Ok(answer) => {
                self.failed = false;
                let inputs = self.list.apply(Instant::now(), &answer);
                self.report(inputs, ctx);
            }
            Err(error) if !self.failed => {
                self.failed = true;
                log::warn!("hosts: cannot read the list, keeping the known hosts: {error}.");
            }
            Err(_) => {}
        }
    }

    fn report(&mut self, inputs: Vec<Input>, ctx: &mut Context<Self>) {
        for input in inputs {
            if let Input::Leaving { endpoint, until } = &input {
                self.publish(endpoint, *until, ctx);
            }
            self.core.do_send(Report(input));
        }
    }

    /// Publishes a notice to the other daemons, unless it is already known with an end as early.
    fn publish(&mut self, endpoint: &EndpointId, until: Instant, ctx: &mut Context<Self>) {
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
        // If the lane is full, the notice is only delayed: the others poll the list as well.
        ctx.spawn(put.into_actor(self).map(|put, _, _| {
            if let Ok(Err(code)) = put {
                log::warn!(
                    "hosts: cannot publish a notice, the others learn it from the list: {code:?}."
                );
            }
        }));
    }

    /// Forgets notices of endpoints that are long gone, and removes this daemon's rows about them,
    /// or the lane would fill up.
    fn prune_notices(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let expired = |notice: &&Notice| notice.until + NOTICE_TTL <= now;
        let own = self
            .notices
            .iter()
            .filter(expired)
            .filter(|notice| notice.own);
        let own: Vec<EndpointId> = own.map(|notice| notice.endpoint.clone()).collect();
        self.notices.retain(|notice| !expired(&notice));
        for name in own {
            let kind = Kind::ENDPOINT;
            let removed = self.gossip.send(Remove { kind, name });
            // It doesn't matter if the row has already been removed.
            ctx.spawn(removed.into_actor(self).map(|_removed, _, _| ()));
        }
    }
}

/// Time until the next poll, with 10 % jitter, so that daemons that started together don't keep
/// polling at the same time.
fn poll_delay(zone_daemons: u32) -> Duration {
    let jitter = 0.9 + 0.2 * fastrand::f64();
    let daemons = zone_daemons.max(POLLS_PER_INTERVAL);
    (MIN_POLL_INTERVAL * daemons / POLLS_PER_INTERVAL).mul_f64(jitter)
}

impl Actor for Hosts {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.poll(ctx);
    }
}

/// A reclaim notice that another daemon has published.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerNotice {
    /// Endpoint that is leaving.
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
