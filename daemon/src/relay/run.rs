//! Runs a relaying daemon from its start to its graceful shutdown.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt as _};
use poplarvale_lib::relay::settings::RelaySettings;
use poplarvale_lib::relay::shutdown::{Closing, Draining, Phase};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};

use super::caller::{serve_caller, serve_daemon};
use super::catalog::sync::sync_config;
use super::crash::save_quarantined;
use super::duties::serve_duties;
use super::logging::flush;
use super::peers::{receive, send, send_last_digest};
use super::probe::serve_probe;
use super::progress::log_unfinished;
use super::reach::{self, check_services};
use super::silence;
use super::state::State;
use super::status::serve_status;
use super::watch::watch_store;

/// Connections that may wait to be accepted. A burst after a restart must not overflow this
/// queue, as the kernel of a caller sends a dropped SYN again only after seconds.
const LISTEN_BACKLOG: u32 = 1024;
/// Most ports that are tried if any free one may be used for the other daemons.
const MAX_PORT_TRIES: u32 = 16;
/// Interval at which the settings file is read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which expired rows are removed from the tables.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Why a relaying daemon failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// The settings file cannot be read or is invalid.
    #[error("cannot read the settings file, or its settings are invalid")]
    Settings,
    /// A socket cannot be bound.
    #[error("cannot listen on the configured addresses")]
    Listen,
    /// A signal handler cannot be installed.
    #[error("cannot install the signal handlers")]
    Signals,
}

/// Reads the platform's settings file.
fn read_settings(path: &Path) -> Result<RelaySettings, Report<RelayError>> {
    let text = fs::read_to_string(path).change_context(RelayError::Settings)?;
    poplarvale_platform::read_settings(&text).change_context(RelayError::Settings)
}

/// A running daemon.
#[derive(Debug)]
pub struct Relay {
    state: Rc<State>,
    /// Socket for digests to and from the other daemons.
    peers: Rc<UdpSocket>,
    /// Bound address for callers.
    callers: SocketAddr,
    /// Bound address for readiness checks.
    ready: SocketAddr,
    /// Bound address for metrics and the dump, if one is configured.
    status: Option<SocketAddr>,
}

impl Relay {
    /// Binds all sockets and starts the tasks of the daemon, on the thread of the caller.
    ///
    /// # Errors
    /// If a socket cannot be bound.
    pub async fn start(settings: RelaySettings) -> Result<Self, Report<RelayError>> {
        let callers = listen(settings.callers)?;
        let ready = listen(settings.ready)?;
        let status = settings.metrics.map(listen).transpose()?;
        let (socket, forwarded) = listen_to_peers(settings.peers).await?;
        let socket = Rc::new(socket);
        let relay = Self {
            callers: callers.local_addr().change_context(RelayError::Listen)?,
            ready: ready.local_addr().change_context(RelayError::Listen)?,
            status: status.as_ref().and_then(|status| status.local_addr().ok()),
            state: State::new(settings),
            peers: socket,
        };
        let state = || Rc::clone(&relay.state);
        actix_web::rt::spawn(watch_store(state()));
        actix_web::rt::spawn(sync_config(state()));
        actix_web::rt::spawn(accept(state(), callers, serve_caller));
        actix_web::rt::spawn(accept(state(), forwarded, serve_daemon));
        actix_web::rt::spawn(accept(state(), ready, serve_probe));
        if let Some(status) = status {
            actix_web::rt::spawn(accept(state(), status, serve_status));
        }
        actix_web::rt::spawn(receive(state(), Rc::clone(&relay.peers)));
        actix_web::rt::spawn(send(state(), Rc::clone(&relay.peers)));
        actix_web::rt::spawn(serve_duties(state()));
        actix_web::rt::spawn(check_services(state()));
        actix_web::rt::spawn(save_quarantined(state()));
        actix_web::rt::spawn(expire(state()));
        Ok(relay)
    }

    /// Address that callers connect to.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address at which the load balancer checks readiness.
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Address at which operators read metrics and the dump, if one is configured.
    pub fn status(&self) -> Option<SocketAddr> {
        self.status
    }

    /// Applies settings that were read again: hosts of other daemons are added. Addresses, zone
    /// and bounds of the start stay in force until the next start.
    fn reload(&self, settings: &RelaySettings) {
        self.state.add_seeds(settings);
        if *settings != self.state.settings && !self.state.settings_changed.replace(true) {
            log::info!(
                "daemon: the settings changed; apart from new hosts they apply after a restart."
            );
        }
    }

    /// Shuts down gracefully: serves new callers for a while, then rejects them, and waits until
    /// all answers are sent or the process would be killed.
    pub async fn stop(&self) {
        let state = &self.state;
        let draining = Draining::begin(Instant::now(), state.settings.bounds.grace);
        state.set_phase(Phase::Draining(draining));
        let active = state.active.get();
        log::info!("daemon: shutting down with {active} requests in progress.");
        until_closable(state, &draining).await;
        let closing = draining.close(Instant::now());
        state.set_phase(Phase::Closing(closing));
        let active = state.active.get();
        log::info!(
            "daemon: closing with {active} requests in progress; new requests are rejected."
        );
        until_closed(state, closing).await;
        send_last_digest(state, &self.peers);
        log_unfinished(state);
        let active = state.active.get();
        log::info!("daemon: exiting with {active} requests in progress.");
    }
}

/// Runs until SIGTERM or SIGINT, then shuts down gracefully.
///
/// # Errors
/// If the settings are invalid, a socket cannot be bound or a signal handler not be installed.
pub async fn run(path: &Path) -> Result<(), Report<RelayError>> {
    let settings = read_settings(path)?;
    log::info!(
        "daemon: {} is starting in zone {}.",
        settings.name,
        settings.zone
    );
    let relay = Relay::start(settings).await?;
    log::info!(
        callers:% = relay.callers, ready:% = relay.ready, status:? = relay.status;
        "daemon: serving."
    );
    wait_for_signal(&relay, path).await?;
    relay.stop().await;
    flush().await;
    Ok(())
}

/// Binds a listener with a long queue; the address may still be in use by closed connections.
fn listen(address: SocketAddr) -> Result<TcpListener, Report<RelayError>> {
    let bound = || -> std::io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bound().change_context(RelayError::Listen)
}

/// Binds the sockets for the digests and the forwarded requests of the other daemons, to the same
/// port number. If the port is 0, any one is chosen that is free for both.
async fn listen_to_peers(
    address: SocketAddr,
) -> Result<(UdpSocket, TcpListener), Report<RelayError>> {
    let mut tries = if address.port() == 0 {
        MAX_PORT_TRIES
    } else {
        1
    };
    loop {
        let listener = listen(address)?;
        let bound = listener.local_addr().change_context(RelayError::Listen)?;
        tries -= 1;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((socket, listener)),
            Err(error) if tries == 0 => return Err(error).change_context(RelayError::Listen),
            Err(error) => log::debug!("daemon: port {} is not free, {error}.", bound.port()),
        }
    }
}

/// Accepts connections and serves each in a task of its own, until the daemon closes.
async fn accept<F>(state: Rc<State>, listener: TcpListener, serve: fn(Rc<State>, TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    let end = accept_end(&state);
    tokio::pin!(end);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut end => return,
        };
        match accepted {
            Ok((stream, _)) => {
                actix_web::rt::spawn(serve(Rc::clone(&state), stream));
            }
            Err(error) => {
                // Most likely the file descriptors are used up; retrying at once would busy-loop.
                log::warn!("daemon: accepting a connection failed, {error}; retrying.");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Waits until the connections are accepted that were queued when the daemon began to close.
async fn accept_end(state: &State) {
    state.until_closing().await;
    if let Phase::Closing(closing) = state.phase() {
        tokio::time::sleep_until(closing.accept_until.into()).await;
    }
}

/// Removes expired rows from all tables until the process ends.
async fn expire(state: Rc<State>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = Instant::now();
        state.upstreams.expire(now);
        state.quota.borrow_mut().expire(now);
        state.demand.borrow_mut().expire(now);
        state.answer_times.borrow_mut().expire(now);
        reach::expire(&state, now);
        silence::start_checks(&state);
        state.crashes.borrow_mut().expire(now);
        let current = state.usage_window(now);
        state.usage.borrow_mut().expire(current);
        for id in state.endpoints.borrow_mut().expire(now) {
            log::info!("board: endpoint {id} did not register again and is dropped.");
        }
    }
}

/// Waits for SIGTERM or SIGINT. Meanwhile the settings are read again on SIGHUP and
/// periodically, as they may change without a signal.
async fn wait_for_signal(relay: &Relay, path: &Path) -> Result<(), Report<RelayError>> {
    let mut term = signal(SignalKind::terminate()).change_context(RelayError::Signals)?;
    let mut int = signal(SignalKind::interrupt()).change_context(RelayError::Signals)?;
    let mut hup = signal(SignalKind::hangup()).change_context(RelayError::Signals)?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = int.recv() => return Ok(()),
            _ = hup.recv() => log::info!("daemon: received SIGHUP, reading the settings again."),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match read_settings(path) {
            Ok(settings) => relay.reload(&settings),
            Err(error) => log::warn!("daemon: ignored the new settings, {error:?}."),
        }
    }
}

/// Waits until the daemon may close. The caller then enters the closing phase without another
/// await, so no request can start between the check that none is in progress and that phase.
async fn until_closable(state: &State, draining: &Draining) {
    loop {
        let now = Instant::now();
        if draining.may_close(state.active.get(), now) {
            return;
        }
        let next = if now < draining.earliest_close {
            draining.earliest_close
        } else {
            draining.latest_close
        };
        tokio::select! {
            () = tokio::time::sleep_until(next.into()) => {}
            () = state.idle.notified() => {}
        }
    }
}

/// Waits until idle connections are closed and all answers are sent.
async fn until_closed(state: &State, closing: Closing) {
    tokio::time::sleep_until(closing.read_until.into()).await;
    while state.active.get() > 0 && Instant::now() < closing.write_until {
        tokio::select! {
            () = tokio::time::sleep_until(closing.write_until.into()) => {}
            () = state.idle.notified() => {}
        }
    }
}
