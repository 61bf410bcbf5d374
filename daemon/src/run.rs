//! Runs a daemon from its start to its graceful shutdown.

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

/// Worker threads for callers; the core runs on a thread of its own.
const CALLER_THREADS: usize = 2;
/// Interval at which a daemon that shuts down checks whether all answers have been read.
const IDLE_CHECK: Duration = Duration::from_millis(20);

/// Stage in which a daemon failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RunError {
    /// Reading its input files.
    #[error("the daemon could not read its input files")]
    Start,
    /// Listening on its addresses.
    #[error("the daemon could not listen on its addresses")]
    Listen,
    /// Waiting for signals while it serves.
    #[error("the daemon failed while it served")]
    Serve,
}

/// Runs until SIGTERM or SIGINT, and then until the last answer has been read.
///
/// # Errors
/// If a file cannot be read or an address cannot be bound.
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
    let operator_data = operators::Shared {
        core: core.clone(),
        config: joined.config.clone(),
        fleet: joined.fleet.clone(),
        moves: joined.moves.clone(),
        metrics,
        token,
    };
    let caller_server = serve_callers(caller_port, shared, &ready, &settings);
    let caller_server = caller_server.change_context(RunError::Listen)?;
    let operator_server = serve_operators(operator_port, operator_data, &ready);
    let operator_server = operator_server.change_context(RunError::Listen)?;

    if let Some(lists) = lists {
        core.do_send(core::Report(Input::Lists(lists)));
        ready.set_lists();
    }
    wait_signal().await.change_context(RunError::Serve)?;
    log::info!("daemon: shutting down, admitting no more requests.");
    ready.set_draining();
    core.do_send(Drain);
    joined.gossip.do_send(peers::Put {
        kind: Kind::LEAVING,
        name: "".into(),
        value: Vec::new(),
    });
    joined.claims.do_send(claims::Freeze);
    wait_idle(&core).await;
    if joined.claims.send(claims::HandOverKeys).await.is_err() {
        log::warn!("daemon: the claims actor has already stopped, continuing the shutdown.");
    }
    caller_server.stop(true).await;
    operator_server.stop(true).await;
    joined.server.stop().await;
    log::info!("daemon: all answers have been read, stopping.");
    Ok(())
}

/// Actors that connect this daemon to the others and to the platform.
struct Joined {
    fleet: Addr<Fleet>,
    gossip: Addr<Gossip>,
    config: Option<Addr<Config>>,
    claims: Addr<Claims>,
    moves: Addr<Moves>,
    hosts: Option<Addr<Hosts>>,
    server: peers::Server,
}

/// Starts the actors that work with other daemons and with the platform.
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

/// Starts the actor that reads the list of hosts, if there is one.
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

/// Starts the core with the endpoints of the settings.
fn start_core(settings: &Settings, setup: Setup, metrics: Arc<Metrics>) -> Addr<Core> {
    log::info!(
        "daemon: starting as incarnation {:016x} in {}.",
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

/// Writes the bound addresses as the only line on standard output, so that they are known if the
/// settings give port 0.
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
        // Tokens are small writes. With Nagle's algorithm each would wait for the acknowledgement
        // of the one before and arrive some 40 ms late.
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

/// Waits for SIGTERM or SIGINT.
async fn wait_signal() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Waits until no request runs and every answer has been read.
async fn wait_idle(core: &Addr<Core>) {
    while let Ok(false) = core.send(IsIdle).await {
        tokio::time::sleep(IDLE_CHECK).await;
    }
}
