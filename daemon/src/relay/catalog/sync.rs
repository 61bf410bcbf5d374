//! Gets the newest configuration from daemons that have it.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf as _, Bytes, BytesMut};
use poplarvale_lib::Revision;
use poplarvale_lib::http1::Body;
use poplarvale_lib::protos::relay::{ConfigReply, ConfigRequest};
use poplarvale_lib::relay::catalog_update::{Assembly, UpdateError};
use prost::Message as _;

use super::adopt;
use super::codec::{self, PartError};
use super::source::TARGET;
use super::timeline::{self, Source};
use crate::relay::buffered_stream::BufferedStream;
use crate::relay::client::{CallError, next_part, send};
use crate::relay::peers::merge_moves;
use crate::relay::state::State;

/// Timeout of a new connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a daemon may let this one wait for the head of its answer, while it serves others.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often this daemon looks for another one that has the newest configuration.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// How long a daemon that did not answer is passed over.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// The same for one that lacks the newest change itself, and may get it soon.
const LACK_TIME: Duration = Duration::from_millis(200);
/// How long a daemon that is no watcher waits for one of its own zone to have the configuration.
const REMOTE_DELAY: Duration = Duration::from_millis(700);
/// Shortest time without progress after which this daemon reads the store itself. The actual one
/// is up to twice as long, so that many daemons do not do so at once.
const MIN_PATIENCE: Duration = Duration::from_millis(1500);
/// The same for a daemon that has no configuration yet: after a restart of all, the watchers have
/// to read it first.
const MIN_START_PATIENCE: Duration = Duration::from_secs(3);
/// Time after which a watcher reads the store if another daemon failed it. A daemon that has just
/// started knows by then whether it is one.
const WATCHER_PATIENCE: Duration = Duration::from_millis(400);
/// Largest part that is received.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

#[derive(Debug, thiserror::Error)]
enum SyncError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("the response could not be decoded: {0}")]
    Reply(#[from] prost::DecodeError),
    #[error("{0}")]
    Part(#[from] PartError),
    #[error("{0}")]
    Update(#[from] UpdateError),
    #[error("a part is longer than allowed")]
    TooLong,
    #[error("the daemon lacks changes itself")]
    NotThere,
}

/// How a request to another daemon ended.
enum Answer {
    /// All changes up to this revision are in force.
    Done(Revision),
    /// Another daemon is to be asked.
    Other(Ipv4Addr),
}

/// An update of which not all parts have arrived.
#[derive(Debug, Default)]
struct Pending {
    assembly: Assembly,
    /// The encoded parts.
    encoded: Vec<Bytes>,
}

/// The search for a daemon that has the newest configuration.
struct Search {
    since: Instant,
    /// When the store is read without further progress.
    store_at: Instant,
    /// Daemon that another one named.
    referred: Option<Ipv4Addr>,
    /// Daemons that did not answer, and until when they are passed over.
    avoided: Vec<(Ipv4Addr, Instant)>,
}

impl Search {
    fn new(state: &State) -> Self {
        let now = Instant::now();
        Self {
            since: now,
            store_at: now + patience(state),
            referred: None,
            avoided: Vec::new(),
        }
    }

    fn record_progress(&mut self, state: &State) {
        self.store_at = Instant::now() + patience(state);
    }

    fn avoid(&mut self, daemon: Ipv4Addr, time: Duration) {
        self.avoided.push((daemon, Instant::now() + time));
    }

    /// The daemon to ask next.
    fn next(&mut self, state: &State) -> Option<Ipv4Addr> {
        let now = Instant::now();
        if state.start.is_reading(now) {
            return None;
        }
        self.avoided.retain(|row| now < row.1);
        if let Some(daemon) = self.referred.take() {
            return Some(daemon);
        }
        let peers = state.peers.borrow();
        let revision = state.store_progress.borrow().config_revision();
        let (mut local, mut remote) = peers.config_sources(revision, now);
        let is_avoided = |daemon: &Ipv4Addr| self.avoided.iter().any(|row| row.0 == *daemon);
        local.retain(|daemon| !is_avoided(daemon));
        remote.retain(|daemon| !is_avoided(daemon));
        let may_ask_remote = peers.is_watcher() || now >= self.since + REMOTE_DELAY;
        let sources = if !local.is_empty() || !may_ask_remote {
            local
        } else {
            remote
        };
        if sources.is_empty() {
            return None;
        }
        let followed = peers.followed(now).filter(|row| sources.contains(row));
        followed.or_else(|| Some(sources[fastrand::usize(..sources.len())]))
    }
}

/// Time without progress after which the store is read.
fn patience(state: &State) -> Duration {
    let least = if state.catalog.borrow().is_some() {
        MIN_PATIENCE
    } else {
        MIN_START_PATIENCE
    };
    least.mul_f64(1.0 + fastrand::f64())
}

/// Gets what this daemon misses of the configuration, until the process ends.
pub(crate) async fn sync_config(state: Rc<State>) {
    let mut pending = Pending::default();
    loop {
        if !state.store_progress.borrow().needs_config() {
            state.config_due.notified().await;
            continue;
        }
        search(&state, &mut pending).await;
    }
}

/// Asks other daemons until this one misses nothing.
async fn search(state: &State, pending: &mut Pending) {
    let mut search = Search::new(state);
    while state.store_progress.borrow().needs_config() {
        if Instant::now() >= search.store_at && !state.reads_config.replace(true) {
            log::info!("config: no daemon has the newest configuration; reading the store.");
            state.read_store.notify_one();
        }
        let Some(daemon) = search.next(state) else {
            tokio::select! {
                () = tokio::time::sleep(SEARCH_INTERVAL) => {}
                () = state.config_due.notified() => {}
            }
            continue;
        };
        timeline::asked(state, Source::Daemon(&daemon));
        let before = pending.encoded.len();
        match ask(state, daemon, pending).await {
            Ok(Answer::Done(revision)) => {
                state
                    .store_progress
                    .borrow_mut()
                    .record_config_read(revision);
                search.record_progress(state);
                // Those that wait for it learn at once who has it now.
                state.digest_due.notify_one();
            }
            Ok(Answer::Other(other)) => {
                search.referred = Some(other);
                search.record_progress(state);
                // Daemons that are all busy may refer to each other.
                tokio::time::sleep(SEARCH_INTERVAL.mul_f64(fastrand::f64())).await;
            }
            Err(error) => {
                timeline::failed(state, Source::Daemon(&daemon), &error);
                let is_lacking = matches!(error, SyncError::NotThere);
                search.avoid(daemon, if is_lacking { LACK_TIME } else { AVOID_TIME });
                if matches!(error, SyncError::Update(_)) {
                    *pending = Pending::default();
                }
                if state.peers.borrow().is_watcher() {
                    // The zone waits for its watchers, which are few.
                    search.store_at = search.store_at.min(search.since + WATCHER_PATIENCE);
                } else if pending.encoded.len() > before {
                    search.record_progress(state);
                }
            }
        }
    }
    state.reads_config.set(false);
}

/// Asks one daemon for what this one misses, and puts it into force.
async fn ask(state: &State, daemon: Ipv4Addr, pending: &mut Pending) -> Result<Answer, SyncError> {
    let address = SocketAddr::new(daemon.into(), state.settings.peers.port());
    let mut conn = BufferedStream::connect(address, CONNECT_TIMEOUT, HEAD_TIMEOUT)
        .await
        .map_err(CallError::NotSent)?;
    let request = request(state, pending);
    let head = tokio::time::timeout(HEAD_TIMEOUT, send(&mut conn, &request)).await;
    let head = head.map_err(|_elapsed| CallError::TimedOut).flatten()?;
    let mut frames = Frames {
        body: Body::new(head.framing),
        bytes: BytesMut::new(),
        received: 0,
    };
    let reply = frames.next(&mut conn).await?.ok_or(SyncError::NotThere)?;
    let reply = ConfigReply::decode(reply)?;
    if reply.other != 0 {
        return Ok(Answer::Other(reply.other.into()));
    }
    if reply.revision == 0 {
        return Err(SyncError::NotThere);
    }
    while let Some(frame) = frames.next(&mut conn).await? {
        apply_part(state, daemon, frame, pending)?;
    }
    timeline::received(state, Source::Daemon(&daemon), frames.received);
    merge_moves(state, daemon, reply.moves);
    Ok(Answer::Done(reply.revision))
}

fn request(state: &State, pending: &Pending) -> Vec<u8> {
    let (snapshot, parts) = pending.assembly.snapshot();
    let current = state.catalog.borrow();
    let body = ConfigRequest {
        sender: state.peers.borrow().own_address().into(),
        revision: current.as_ref().map_or(0, |catalog| catalog.revision),
        snapshot,
        parts,
        needed: state.store_progress.borrow().config_revision(),
    };
    let body = body.encode_to_vec();
    let mut request = b"POST ".to_vec();
    request.extend_from_slice(TARGET);
    let fields = format!(
        " HTTP/1.1\r\nHost: daemon\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    request.extend_from_slice(fields.as_bytes());
    request.extend_from_slice(&body);
    request
}

/// Adds a part to the pending update, and puts the configuration into force once it is complete.
fn apply_part(
    state: &State,
    daemon: Ipv4Addr,
    frame: Bytes,
    pending: &mut Pending,
) -> Result<(), SyncError> {
    let part = codec::decode(&frame)?;
    if part.index == 0 {
        pending.encoded.clear();
    }
    let base = part.base;
    let current = state.catalog.borrow().clone();
    let complete = pending.assembly.add(part, current.as_deref())?;
    pending.encoded.push(frame);
    if let Some(catalog) = complete {
        let encoded = std::mem::take(&mut pending.encoded);
        adopt(state, Source::Daemon(&daemon), catalog, base, encoded);
    }
    Ok(())
}

/// Reads the frames of a response as they arrive.
struct Frames {
    body: Body,
    bytes: BytesMut,
    received: usize,
}

impl Frames {
    /// The next frame; `None` at the end of the response.
    async fn next(&mut self, conn: &mut BufferedStream) -> Result<Option<Bytes>, SyncError> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(Some(frame));
            }
            let Some(part) = next_part(conn, &mut self.body).await? else {
                return Ok(None);
            };
            self.received += part.len();
            self.bytes.extend_from_slice(&part);
        }
    }

    /// Takes a complete frame from the bytes that have arrived.
    fn take(&mut self) -> Result<Option<Bytes>, SyncError> {
        let Some(len) = self.bytes.first_chunk::<4>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*len) as usize;
        if len > MAX_FRAME_BYTES {
            return Err(SyncError::TooLong);
        }
        if self.bytes.len() < size_of::<u32>() + len {
            return Ok(None);
        }
        self.bytes.advance(size_of::<u32>());
        Ok(Some(self.bytes.split_to(len).freeze()))
    }
}
