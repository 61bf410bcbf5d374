//! Runs a daemon from its start to its orderly end.

use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor as _, Addr};
use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer, web};
use error_stack::{Report, ResultExt as _};
use poplarvale_lib::gossip::{self, Kind};
use poplarvale_lib::{Input, ListedEndpoint, Settings, Setup, World};
use tokio::signal::unix::{SignalKind, signal};

use crate::claims::{self, Claims};
use crate::config::{self, Config};
use crate::core::{self, Core, Drain, IsIdle};
use crate::fleet::{self, Fleet};
use crate::health::{self, Ready};
use crate::hosts::{self, Hosts};
use crate::metrics::Metrics;
use crate::moves::{self, Moves};
use crate::peers::{self, Gossip};
use crate::platform::hosts::HostsClient;
use crate::platform::store::StoreClient;
use crate::probe::{self, Probe};
use crate::shares::Shares;
use crate::start::{read_lists, read_token};
use crate::{callers, operators};

/// Threads for callers; the deciding core has one of its own.
const CALLER_THREADS: usize = 2;
/// How often a daemon that shuts down looks whether all answers are out.
const IDLE_CHECK: Duration = Duration::from_millis(20);

/// What a daemon failed at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RunError {
    /// Reading its files.
    #[error("the daemon could not read what it starts from")]
    Start,
    /// Listening at an address.
    #[error("the daemon could not listen at its addresses")]
    Listen,
    /// Serving.
    #[error("the daemon failed while it served")]
    Serve,
}

/// Runs until SIGTERM or SIGINT, and then until the last answer is out.
///
/// # Errors
/// If a file cannot be read or an address not be listened at.
pub async fn run(settings: Settings) -> Result<(), Report<RunError>> {
    let token = read_token(&settings.credentials.operators).change_context(RunError::Start)?;
    let peers = read_token(&settings.credentials.peers).change_context(RunError::Start)?;
    let lists = settings.lists.as_ref().map(read_lists).transpose();
    let lists = lists.change_context(RunError::Start)?;
    let metrics = Arc::new(Metrics::new().change_context(RunError::Start)?);
    let ready = Ready::default();

    let caller_port = TcpListener::bind(settings.callers).change_context(RunError::Listen)?;
    let operator_port = TcpListener::bind(settings.operators).change_context(RunError::Listen)?;
    let peer_port = peers::Listener::bind(settings.peers).await;
    let peer_port = peer_port.change_context(RunError::Listen)?;
    let ports = [
        caller_port.local_addr(),
        operator_port.local_addr(),
        Ok(peer_port.address),
    ];
    announce(ports).change_context(RunError::Listen)?;

    let setup = setup(&settings);
    let core = start_core(&settings, setup.clone(), Arc::clone(&metrics));
    let joined = join(&settings, &setup, &core, &ready, peer_port, peers);
    let joined = joined.await.change_context(RunError::Listen)?;
    let callers = caller_port.local_addr().change_context(RunError::Listen)?;
    joined.fleet.do_send(fleet::Attach {
        gossip: joined.gossip.clone(),
        config: joined.config.clone(),
        claims: joined.claims.clone(),
        moves: joined.moves.clone(),
        hosts: joined.hosts.clone(),
        callers,
    });

    let shared = callers::Shared {
        core: core.clone(),
        fleet: joined.fleet.clone(),
        claims: joined.claims.clone(),
        services: settings.services.clone().into(),
        limits: settings.limits.clone(),
        metrics: Arc::clone(&metrics),
    };
    let for_operators = operators::Shared {
        core: core.clone(),
        config: joined.config.clone(),
        fleet: joined.fleet.clone(),
        moves: joined.moves.clone(),
        metrics,
        token,
    };
    let serving = serve_callers(caller_port, shared, &ready, &settings);
    let serving = serving.change_context(RunError::Listen)?;
    let operating = serve_operators(operator_port, for_operators, &ready);
    let operating = operating.change_context(RunError::Listen)?;

    if let Some(lists) = lists {
        core.do_send(core::Report(Input::Lists(lists)));
        ready.set_lists();
    }
    stopped().await.change_context(RunError::Serve)?;
    log::info!("daemon: shutting down, letting nothing more in.");
    ready.set_draining();
    core.do_send(Drain);
    joined.gossip.do_send(peers::Put {
        kind: Kind::LEAVING,
        name: "".into(),
        value: Vec::new(),
    });
    joined.claims.do_send(claims::Freeze);
    drained(&core).await;
    if joined.claims.send(claims::HandOverKeys).await.is_err() {
        log::warn!("daemon: the claimer stopped early.");
    }
    serving.stop(true).await;
    operating.stop(true).await;
    joined.server.stop().await;
    log::info!("daemon: all answers are out.");
    Ok(())
}

/// What ties this daemon to the others and to the platform.
struct Joined {
    fleet: Addr<Fleet>,
    gossip: Addr<Gossip>,
    config: Option<Addr<Config>>,
    claims: Addr<Claims>,
    moves: Addr<Moves>,
    hosts: Option<Addr<Hosts>>,
    server: peers::Server,
}

async fn join(
    settings: &Settings,
    setup: &Setup,
    core: &Addr<Core>,
    ready: &Ready,
    listener: peers::Listener,
    token: peers::Token,
) -> io::Result<Joined> {
    let me = gossip::Peer {
        incarnation: setup.incarnation,
        zone: setup.zone.clone(),
        region: setup.region.clone(),
        address: listener.address,
    };
    let replica = gossip::Setup {
        me,
        seeds: settings.seeds.clone(),
        delta_bytes: gossip::MAX_DELTA_BYTES,
    };
    let replica = gossip::Replica::new(replica, Instant::now());
    let client = peers::Client::new(token.clone());
    let fleet = Fleet::new(setup.incarnation, core.clone()).start();
    let gossip = Gossip::new(replica, client.clone(), fleet.clone().recipient()).start();
    let store = settings
        .platform
        .as_ref()
        .map(|platform| Rc::new(StoreClient::new(platform.store, fastrand::u64(..))));
    let claims = claims::Parts {
        incarnation: setup.incarnation,
        core: core.clone(),
        gossip: gossip.clone(),
        client: client.clone(),
        store: store.clone(),
    };
    let claims = Claims::new(claims).start();
    let moves = moves::Parts {
        incarnation: setup.incarnation,
        core: core.clone(),
        gossip: gossip.clone(),
        store: store.clone(),
    };
    let moves = Moves::new(moves).start();
    core.do_send(core::SetMoves(moves.clone()));
    let config = store.map(|store| {
        let me = poplarvale_lib::config::Peer {
            incarnation: setup.incarnation,
            zone: setup.zone.clone(),
        };
        let parts = config::Parts {
            core: core.clone(),
            gossip: gossip.clone(),
            client,
            store,
            ready: ready.clone(),
        };
        Config::new(me, parts).start()
    });
    let hosts = start_hosts(settings, core, &gossip);
    let probe = probe::Parts {
        incarnation: setup.incarnation,
        zone: setup.zone.clone(),
        core: core.clone(),
        gossip: gossip.clone(),
    };
    Probe::new(probe).start();
    Shares::new(core.clone(), gossip.clone()).start();
    let parts = peers::Parts {
        config: config.clone(),
        claims: Some(claims.clone()),
    };
    let server = listener.serve(token, gossip.clone(), parts).await?;
    Ok(Joined {
        fleet,
        gossip,
        config,
        claims,
        moves,
        hosts,
        server,
    })
}

/// Follows the list of hosts, if there is one.
fn start_hosts(
    settings: &Settings,
    core: &Addr<Core>,
    gossip: &Addr<Gossip>,
) -> Option<Addr<Hosts>> {
    let address = settings.platform.as_ref()?.hosts?;
    let endpoints = settings.services.iter().flat_map(|s| &s.endpoints);
    let parts = hosts::Parts {
        zone: settings.zone.clone(),
        fixed: endpoints.map(|endpoint| endpoint.id.clone()).collect(),
        client: HostsClient::new(address),
        core: core.clone(),
        gossip: gossip.clone(),
    };
    Some(Hosts::new(parts).start())
}

fn setup(settings: &Settings) -> Setup {
    Setup {
        incarnation: fastrand::u64(1..),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        waiting: settings.limits.waiting as usize,
        running: settings.limits.running as u32,
    }
}

fn start_core(settings: &Settings, setup: Setup, metrics: Arc<Metrics>) -> Addr<Core> {
    log::info!(
        "daemon: incarnation {:016x} in {}.",
        setup.incarnation,
        setup.zone
    );
    let world = World::new(setup, settings.services.clone(), fastrand::u64(..));
    let core = Core::new(world, settings.limits.clone(), metrics).start();
    for service in &settings.services {
        for endpoint in &service.endpoints {
            core.do_send(core::Report(Input::Endpoint(ListedEndpoint {
                id: endpoint.id.clone(),
                service: service.id.clone(),
                zone: endpoint.zone.clone(),
                address: endpoint.address,
                version: endpoint.version.clone(),
            })));
        }
    }
    core
}

/// Writes the addresses as the only line on standard output, for whoever asked
/// for port 0.
fn announce(ports: [io::Result<SocketAddr>; 3]) -> io::Result<()> {
    let [callers, operators, peers] = ports;
    let (callers, operators, peers) = (callers?, operators?, peers?);
    let mut out = io::stdout();
    writeln!(
        out,
        "listening callers {callers} operators {operators} peers {peers}"
    )?;
    out.flush()
}

fn serve_callers(
    listener: TcpListener,
    shared: callers::Shared,
    ready: &Ready,
    settings: &Settings,
) -> io::Result<ServerHandle> {
    let limits = &settings.limits;
    let data = web::Data::new(shared);
    let ready = web::Data::new(ready.clone());
    let app = move || {
        App::new()
            .app_data(data.clone())
            .app_data(ready.clone())
            .configure(health::routes)
            .configure(callers::routes)
    };
    let server = HttpServer::new(app)
        .workers(CALLER_THREADS)
        .max_connections(limits.connections as usize / CALLER_THREADS + 1)
        .client_request_timeout(Duration::from_millis(limits.head_ms))
        .h1_allow_half_closed(false)
        // Tokens are small writes. Held back until the reader has acknowledged the
        // one before, each would come some 40 ms late.
        .tcp_nodelay(true)
        .disable_signals()
        .listen(listener)?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}

fn serve_operators(
    listener: TcpListener,
    shared: operators::Shared,
    ready: &Ready,
) -> io::Result<ServerHandle> {
    let data = web::Data::new(shared);
    let ready = web::Data::new(ready.clone());
    let app = move || {
        App::new()
            .app_data(data.clone())
            .app_data(ready.clone())
            .app_data(web::PayloadConfig::new(8 << 20))
            .configure(health::routes)
            .configure(operators::routes)
    };
    let server = HttpServer::new(app)
        .workers(1)
        .tcp_nodelay(true)
        .disable_signals()
        .listen(listener)?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}

async fn stopped() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Waits until nothing runs and every answer has been read.
async fn drained(core: &Addr<Core>) {
    while let Ok(false) = core.send(IsIdle).await {
        tokio::time::sleep(IDLE_CHECK).await;
    }
}
