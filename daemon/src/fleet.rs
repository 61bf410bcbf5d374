//! What this daemon knows of the other daemons.
//!
//! The actor receives the changes of gossip rows. It keeps what other actors look up (the address
//! at which a daemon serves callers, the revision of its lists) and forwards the rest to the actor
//! that it concerns.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, Handler, Message, MessageResult,
    WrapFuture as _,
};
use poplarvale_lib::gossip::{Change, Key, Kind, Peer};
use poplarvale_lib::protos::peer::{Adopted, Callers, LeavingEndpoint, LoadRow};
use poplarvale_lib::{Incarnation, Input, Revision, Row, Table};
use poplarvale_lib::{config, routing};
use prost::Message as _;

use crate::claims::{Claims, PeerDaemon, SetDaemons};
use crate::config::{Config, KeeperInput};
use crate::core::{Core, Report};
use crate::hosts::{self, Hosts};
use crate::kinds::{CALLERS, INHERITED_KEYS, LISTS_FRESH, LOAD};
use crate::moves::{self, Moves};
use crate::peers::{Changed, Gossip, Live, Put};
use crate::probe;
use crate::shares;

/// Interval at which the live daemons are requested from the gossip actor.
const LIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Another daemon.
#[derive(Clone, Debug)]
struct Daemon {
    id: Incarnation,
    callers: Option<SocketAddr>,
    revision: Revision,
    inherited: Vec<Incarnation>,
}

impl Row for Daemon {
    type Id = Incarnation;
    fn id(&self) -> &Incarnation {
        &self.id
    }
}

/// Actor that keeps what is known of the other daemons.
pub struct Fleet {
    me: Incarnation,
    core: Addr<Core>,
    config: Option<Addr<Config>>,
    claims: Option<Addr<Claims>>,
    moves: Option<Addr<Moves>>,
    hosts: Option<Addr<Hosts>>,
    gossip: Option<Addr<Gossip>>,
    daemons: Table<Daemon>,
    live: Vec<Peer>,
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Fleet")
            .field("daemons", &self.daemons)
            .finish_non_exhaustive()
    }
}

impl Fleet {
    /// Fleet without any known daemon.
    pub fn new(me: Incarnation, core: Addr<Core>) -> Self {
        Self {
            me,
            core,
            config: None,
            claims: None,
            moves: None,
            hosts: None,
            gossip: None,
            daemons: Table::new(),
            live: Vec::new(),
        }
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::Joined(peer) => log::info!(
                "fleet: daemon {:016x} of {} joined.",
                peer.incarnation,
                peer.zone
            ),
            Change::Departed(id) => {
                self.daemons.remove(&id);
                self.core.do_send(Report(Input::PeerEnded(id)));
                log::info!("fleet: daemon {id:016x} departed, its rows are removed.");
            }
            Change::Put { origin, key, value } => {
                self.apply_row(origin, &key, &value);
                if let Some(moves) = &self.moves {
                    moves.do_send(moves::PeerRow(Change::Put { origin, key, value }));
                }
            }
            Change::Removed { origin, key } => {
                if key.kind == Kind::DEMAND.number {
                    let row = shares::empty_row(&key.name, origin);
                    self.core.do_send(Report(Input::Share(row)));
                }
            }
        }
    }

    /// Applies a row. One that cannot be decoded is ignored, because another version of the daemon
    /// may encode it differently.
    fn apply_row(&mut self, origin: Incarnation, key: &Key, value: &[u8]) {
        let number = key.kind;
        if number == CALLERS.number {
            let row = Callers::decode(value).unwrap_or_default();
            self.daemon(origin).callers = row.address.parse().ok();
        } else if number == Kind::REVISION.number || number == LISTS_FRESH.number {
            self.apply_revision(origin, &Adopted::decode(value).unwrap_or_default());
        } else if number == INHERITED_KEYS.number {
            let ids = value.as_chunks().0;
            let ids = ids.iter().map(|id| Incarnation::from_be_bytes(*id));
            self.daemon(origin).inherited = ids.collect();
            self.update_claims();
        } else if number == Kind::DEMAND.number {
            self.apply_demand(origin, key, value);
        } else if number == LOAD.number {
            self.apply_load(key, value);
        } else if number == Kind::ENDPOINT.number {
            let row = LeavingEndpoint::decode(value).unwrap_or_default();
            let until = Instant::now() + Duration::from_millis(row.left_ms);
            let endpoint = key.name.clone();
            if let Some(hosts) = &self.hosts {
                let endpoint = endpoint.clone();
                hosts.do_send(hosts::PeerNotice { endpoint, until });
            }
            self.core
                .do_send(Report(Input::Leaving { endpoint, until }));
        }
    }

    /// Applies a customer's demand, or the row without a name, which ends a daemon's round of rows.
    fn apply_demand(&self, origin: Incarnation, key: &Key, value: &[u8]) {
        let input = if key.name.is_empty() {
            Some(Input::PeerSeen(origin))
        } else {
            shares::decode(&key.name, origin, value).map(Input::Share)
        };
        if let Some(input) = input {
            self.core.do_send(Report(input));
        }
    }

    /// Passes the load report of an endpoint to the core.
    fn apply_load(&self, key: &Key, value: &[u8]) {
        let Ok(row) = LoadRow::decode(value) else {
            return;
        };
        let report = probe::load_report(&key.name, Instant::now(), &row);
        let event = routing::Event::Load(report);
        self.core.do_send(Report(Input::Routing(event)));
    }

    /// Records the revision of a daemon's lists and passes it to the keeper.
    fn apply_revision(&mut self, origin: Incarnation, row: &Adopted) {
        let daemon = self.daemon(origin);
        daemon.revision = daemon.revision.max(row.revision);
        if let Some(config) = &self.config {
            config.do_send(KeeperInput(config::Input::PeerRevision {
                peer: origin,
                revision: row.revision,
                age: row.age_ms.map(Duration::from_millis),
            }));
        }
    }

    /// Row of a daemon, inserted if missing.
    fn daemon(&mut self, id: Incarnation) -> &mut Daemon {
        if !self.daemons.contains(&id) {
            self.daemons.insert(Daemon {
                id,
                callers: None,
                revision: 0,
                inherited: Vec::new(),
            });
        }
        self.daemons.get_mut(&id).expect("it was inserted above")
    }

    fn request_live(&mut self, ctx: &mut Context<Self>) {
        let Some(gossip) = self.gossip.clone() else {
            return;
        };
        let request = async move { gossip.send(Live).await }.into_actor(self);
        ctx.spawn(request.map(|live, fleet, _| {
            if let Ok(live) = live {
                fleet.set_live(live);
            }
        }));
    }

    fn set_live(&mut self, live: Vec<Peer>) {
        self.live = live;
        self.core.do_send(Report(Input::FleetSize(self.sharers())));
        if let Some(config) = &self.config {
            config.do_send(crate::config::SetPeers(self.live.clone()));
        }
        if let Some(moves) = &self.moves {
            moves.do_send(moves::SetLive(self.live.clone()));
        }
        self.update_claims();
    }

    /// Number of live daemons that share the customers' limits with this one, itself included:
    /// those of its region, because demand rows do not leave a region.
    fn sharers(&self) -> usize {
        let me = self.live.iter().find(|peer| peer.incarnation == self.me);
        let in_region = |peer: &&Peer| me.is_none_or(|me| peer.region == me.region);
        self.live.iter().filter(in_region).count()
    }

    fn update_claims(&self) {
        let Some(claims) = &self.claims else {
            return;
        };
        let others = self.live.iter().filter(|peer| peer.incarnation != self.me);
        let known = others.map(|peer| {
            let daemon = self.daemons.get(&peer.incarnation);
            PeerDaemon {
                incarnation: peer.incarnation,
                address: peer.address,
                callers: daemon.and_then(|daemon| daemon.callers),
                inherited: daemon
                    .map(|daemon| daemon.inherited.clone())
                    .unwrap_or_default(),
            }
        });
        claims.do_send(SetDaemons(known.collect()));
    }
}

impl Actor for Fleet {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(LIVE_INTERVAL, Self::request_live);
    }
}

impl Handler<Changed> for Fleet {
    type Result = ();

    fn handle(&mut self, msg: Changed, _: &mut Self::Context) {
        for change in msg.0 {
            self.apply_change(change);
        }
    }
}

/// Connects the fleet to the actors that were started after it.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Attach {
    /// Actor that owns the replica.
    pub(crate) gossip: Addr<Gossip>,
    /// Actor of the version moves.
    pub(crate) moves: Addr<Moves>,
    /// Actor that claims idempotency keys.
    pub(crate) claims: Addr<Claims>,
    /// Actor that keeps the lists, if there is a platform.
    pub(crate) config: Option<Addr<Config>>,
    /// Actor that reads the list of hosts, if there is one.
    pub(crate) hosts: Option<Addr<Hosts>>,
    /// Where this daemon serves callers.
    pub(crate) callers: SocketAddr,
}

impl Handler<Attach> for Fleet {
    type Result = ();

    fn handle(&mut self, msg: Attach, ctx: &mut Self::Context) {
        let address = msg.callers.to_string();
        msg.gossip.do_send(Put {
            kind: CALLERS,
            name: "".into(),
            value: Callers { address }.encode_to_vec(),
        });
        self.gossip = Some(msg.gossip);
        self.config = msg.config;
        self.claims = Some(msg.claims);
        self.moves = Some(msg.moves);
        self.hosts = msg.hosts;
        self.request_live(ctx);
    }
}

/// Asks for the address at which a daemon serves callers.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<SocketAddr>")]
pub(crate) struct CallersAddress(pub(crate) Incarnation);

impl Handler<CallersAddress> for Fleet {
    type Result = MessageResult<CallersAddress>;

    fn handle(&mut self, msg: CallersAddress, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.daemons.get(&msg.0).and_then(|daemon| daemon.callers))
    }
}

/// Asks how many daemons have a revision.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Spread")]
pub(crate) struct GetSpread(pub(crate) Revision);

/// Numbers of live daemons, without this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Spread {
    /// Live daemons.
    pub(crate) live: u32,
    /// Those that have the revision or a higher one.
    pub(crate) reached: u32,
}

impl Handler<GetSpread> for Fleet {
    type Result = MessageResult<GetSpread>;

    fn handle(&mut self, msg: GetSpread, _: &mut Self::Context) -> Self::Result {
        let others = self.live.len().saturating_sub(1);
        let has = |peer: &&Peer| {
            let daemon = self.daemons.get(&peer.incarnation);
            daemon.is_some_and(|daemon| daemon.revision >= msg.0)
        };
        let reached = self.live.iter().filter(has).count();
        MessageResult(Spread {
            live: others as u32,
            reached: reached as u32,
        })
    }
}
