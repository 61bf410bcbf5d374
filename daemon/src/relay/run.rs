//! Runs a relaying daemon from its start to its orderly end.

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

use super::caller::serve_caller;
use super::crash::save_quarantined;
use super::duties::serve_duties;
use super::logging::flush;
use super::peers::{receive, send, tell_last};
use super::probe::serve_probe;
use super::state::State;
use super::status::serve_status;
use super::watch::follow;

/// Connections that may wait to be accepted; a burst after a restart must not
/// overflow it, as the next try of a dropped opening packet comes seconds later.
const BACKLOG: u32 = 1024;
/// How often the settings file is looked at.
const RELOAD: Duration = Duration::from_secs(5);
/// How often the tables are cleaned.
const CLEAN: Duration = Duration::from_millis(500);

/// What a relaying daemon failed at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// Reading its settings.
    #[error("the settings could not be used")]
    Settings,
    /// Listening at an address.
    #[error("the daemon could not listen at its addresses")]
    Listen,
    /// Waiting for signals.
    #[error("the daemon could not wait for signals")]
    Signals,
}

/// Reads the platform's settings file.
fn read_settings(path: &Path) -> Result<RelaySettings, Report<RelayError>> {
    let text = fs::read_to_string(path).change_context(RelayError::Settings)?;
    poplarvale_platform::read_settings(&text).change_context(RelayError::Settings)
}

/// A relaying daemon that serves.
#[derive(Debug)]
pub struct Relay {
    state: Rc<State>,
    /// Where digests go out.
    peers: Rc<UdpSocket>,
    callers: SocketAddr,
    ready: SocketAddr,
    status: Option<SocketAddr>,
}

impl Relay {
    /// Starts to serve. To be called on the thread that runs everything.
    ///
    /// # Errors
    /// If an address cannot be listened at.
    pub async fn start(settings: RelaySettings) -> Result<Self, Report<RelayError>> {
        let callers = listen(settings.callers)?;
        let ready = listen(settings.ready)?;
        let status = settings.metrics.map(listen).transpose()?;
        let socket = UdpSocket::bind(settings.peers).await;
        let socket = Rc::new(socket.change_context(RelayError::Listen)?);
        let relay = Self {
            callers: callers.local_addr().change_context(RelayError::Listen)?,
            ready: ready.local_addr().change_context(RelayError::Listen)?,
            status: status.as_ref().and_then(|status| status.local_addr().ok()),
            state: State::new(settings),
            peers: socket,
        };
        let state = || Rc::clone(&relay.state);
        actix_web::rt::spawn(follow(state()));
        actix_web::rt::spawn(accept(state(), callers, serve_caller));
        actix_web::rt::spawn(accept(state(), ready, serve_probe));
        if let Some(status) = status {
            actix_web::rt::spawn(accept(state(), status, serve_status));
        }
        actix_web::rt::spawn(receive(state(), Rc::clone(&relay.peers)));
        actix_web::rt::spawn(send(state(), Rc::clone(&relay.peers)));
        actix_web::rt::spawn(serve_duties(state()));
        actix_web::rt::spawn(save_quarantined(state()));
        actix_web::rt::spawn(clean(state()));
        Ok(relay)
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where the balancer asks for readiness.
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Where operators read metrics and the dump, if the settings give an address.
    pub fn status(&self) -> Option<SocketAddr> {
        self.status
    }

    /// Takes settings that were read again. Hosts of other daemons are learned;
    /// addresses, zone and bounds hold until the next start.
    fn reload(&self, settings: &RelaySettings) {
        self.state.add_seeds(settings);
        if *settings != self.state.settings && !self.state.settings_changed.replace(true) {
            log::info!("daemon: the settings differ from those of the start.");
        }
    }

    /// Ends in order: serves who still comes for a while, then refuses whoever comes, and
    /// waits until all answers are out or the process would be killed.
    pub async fn stop(&self) {
        let state = &self.state;
        let leaving = Draining::begin(Instant::now(), state.settings.bounds.grace);
        state.set_phase(Phase::Draining(leaving));
        let active = state.active.get();
        log::info!("daemon: shutting down with {active} requests in progress.");
        until_quiet(state, &leaving).await;
        let closing = leaving.close(Instant::now());
        state.set_phase(Phase::Closing(closing));
        let active = state.active.get();
        log::info!("daemon: begins nothing more, with {active} requests in progress.");
        until_closed(state, closing).await;
        tell_last(state, &self.peers);
        let active = state.active.get();
        log::info!("daemon: ends with {active} requests in progress.");
    }
}

/// Runs until SIGTERM, and then until the last answer is out.
///
/// # Errors
/// If the settings cannot be used or an address not be listened at.
pub async fn run(path: &Path) -> Result<(), Report<RelayError>> {
    let settings = read_settings(path)?;
    log::info!(
        "daemon: {} starts in zone {}.",
        settings.name,
        settings.zone
    );
    let relay = Relay::start(settings).await?;
    log::info!(
        callers:% = relay.callers, ready:% = relay.ready, status:? = relay.status;
        "daemon: serves."
    );
    wait_for_end(&relay, path).await?;
    relay.stop().await;
    flush().await;
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, Report<RelayError>> {
    let bound = || -> std::io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bound().change_context(RelayError::Listen)
}

/// Serves each connection of a listener by a task of its own, until the daemon closes.
async fn accept<F>(state: Rc<State>, listener: TcpListener, serve: fn(Rc<State>, TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    let closed = until_accepted(&state);
    tokio::pin!(closed);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut closed => return,
        };
        match accepted {
            Ok((stream, _)) => {
                actix_web::rt::spawn(serve(Rc::clone(&state), stream));
            }
            Err(error) => {
                // Out of descriptors, most likely; trying at once would only spin.
                log::warn!("daemon: no connection accepted, {error}.");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Ends when those are accepted who were waiting when the daemon began to close.
async fn until_accepted(state: &State) {
    state.until_closing().await;
    if let Phase::Closing(closing) = state.phase() {
        tokio::time::sleep_until(closing.accept_until.into()).await;
    }
}

async fn clean(state: Rc<State>) {
    loop {
        tokio::time::sleep(CLEAN).await;
        let now = Instant::now();
        state.upstreams.expire(now);
        state.quota.borrow_mut().expire(now);
        state.demand.borrow_mut().expire(now);
        state.crashes.borrow_mut().expire(now);
        let current = state.usage_window(now);
        state.usage.borrow_mut().expire(current);
        for id in state.endpoints.borrow_mut().expire(now) {
            log::info!("board: endpoint {id} did not come back.");
        }
    }
}

/// Waits for SIGTERM or SIGINT. Meanwhile the settings are read again on SIGHUP, and
/// now and then, as they may change without a signal.
async fn wait_for_end(relay: &Relay, path: &Path) -> Result<(), Report<RelayError>> {
    let mut term = signal(SignalKind::terminate()).change_context(RelayError::Signals)?;
    let mut int = signal(SignalKind::interrupt()).change_context(RelayError::Signals)?;
    let mut hup = signal(SignalKind::hangup()).change_context(RelayError::Signals)?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = int.recv() => return Ok(()),
            _ = hup.recv() => log::info!("daemon: told to read its settings."),
            () = tokio::time::sleep(RELOAD) => {}
        }
        match read_settings(path) {
            Ok(settings) => relay.reload(&settings),
            Err(error) => log::warn!("daemon: new settings not used, {error:?}."),
        }
    }
}

/// Waits until the daemon may close. It closes in the same step in which it sees that
/// nothing is in progress, so no request comes in between.
async fn until_quiet(state: &State, leaving: &Draining) {
    loop {
        let now = Instant::now();
        if leaving.may_close(state.active.get(), now) {
            return;
        }
        let next = if now < leaving.earliest_close {
            leaving.earliest_close
        } else {
            leaving.latest_close
        };
        tokio::select! {
            () = tokio::time::sleep_until(next.into()) => {}
            () = state.idle.notified() => {}
        }
    }
}

/// Waits until connections are closed and answers are out.
async fn until_closed(state: &State, closing: Closing) {
    tokio::time::sleep_until(closing.read_until.into()).await;
    while state.active.get() > 0 && Instant::now() < closing.write_until {
        tokio::select! {
            () = tokio::time::sleep_until(closing.write_until.into()) => {}
            () = state.idle.notified() => {}
        }
    }
}
