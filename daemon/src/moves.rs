//! The actor that ties version moves to the platform and the other daemons.
//!
//! Shares, evidence and verdicts are decided in the core by
//! `poplarvale_lib::moves`. Here records are read from and written to the
//! key-value service, the lease to write them is held, and news travel as gossip
//! rows. Two daemons of each zone read the records; one daemon of all tries for
//! the lease first, so that the calls to the service don't grow with the fleet.

mod ask;
mod holder;

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix::{
    Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, Handler, Message, WrapFuture as _,
};
use poplarvale_lib::gossip::{Change, Key, Kind, Peer};
use poplarvale_lib::moves::evidence::Row;
use poplarvale_lib::moves::{Action, ClusterView, Event, Reach, Record, Source, Stored, Verdict};
use poplarvale_lib::protos::moves::{BadVersion, EvidenceRow, NewsRow, RecordRow, VersionMove};
use poplarvale_lib::store::{
    Condition, Failure, Put as StorePut, Snapshot, Store as _, StoredValue,
};
use poplarvale_lib::store::{Write, Written};
use poplarvale_lib::{Incarnation, Input, Revision, ServiceId, config, from_hex, hex};
use prost::Message as _;

use crate::core::{Core, MoveFreshness, Report};
use crate::kinds;
use crate::peers::{Gossip, Put};
use crate::platform::store::StoreClient;

pub(crate) use ask::{Cancel, Start, StateOf};
use holder::Holder;

/// What all keys of moves begin with.
const PREFIX: &str = "poplarvale/moves/";
/// How often records are read while a move goes on, and when none does. A record
/// changes every few seconds at most, and gossip carries it on from the readers.
const READ_OPEN: Duration = Duration::from_secs(2);
const READ_IDLE: Duration = Duration::from_secs(5);
/// How often this actor looks at what is due.
const TICK: Duration = Duration::from_millis(200);
/// Rows a second of evidence, and as many of freshness, from all daemons of a
/// region: about 3 KB/s, a sixth of what control may use.
const ROWS: f64 = 20.0;
/// How often the core is told the time, and the least time between news to peers.
const NEWS: Duration = Duration::from_secs(1);

/// What the actor works with.
pub(crate) struct Parts {
    pub(crate) incarnation: Incarnation,
    pub(crate) core: Addr<Core>,
    pub(crate) gossip: Addr<Gossip>,
    /// None without a platform: then no version can be moved.
    pub(crate) store: Option<Rc<StoreClient>>,
}

/// Actor of the version moves.
pub struct Moves {
    parts: Parts,
    /// Records as last learnt, sorted by service.
    records: Vec<(ServiceId, Stored)>,
    live: Vec<Peer>,
    holder: Holder,
    read: Instant,
    time: Instant,
    news: Instant,
    /// Evidence to be written, by the rows' names.
    rows: Vec<(String, Vec<u8>)>,
    count: u64,
}

impl std::fmt::Debug for Moves {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Moves")
            .field("records", &self.records)
            .finish_non_exhaustive()
    }
}

impl Moves {
    pub(crate) fn new(parts: Parts) -> Self {
        let now = Instant::now();
        Self {
            parts,
            records: Vec::new(),
            live: Vec::new(),
            holder: Holder::default(),
            read: now,
            time: now,
            news: now,
            rows: Vec::new(),
            count: 0,
        }
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = Instant::now();
        if self.time <= now {
            self.time = now + NEWS;
            self.tell_time(now);
        }
        if self.news <= now {
            self.news = now + self.gap();
            self.tell_news(ctx);
            self.flush();
        }
        if self.read <= now && self.is_reader() {
            let open = self.records.iter().any(|(_, s)| !s.record.ended());
            self.read = now + if open { READ_OPEN } else { READ_IDLE };
            self.read_all(ctx);
        }
        self.hold(now, ctx);
    }

    /// Whether this daemon is one of the zone's two readers.
    fn is_reader(&self) -> bool {
        let me = self.parts.incarnation;
        let Some(own) = self.live.iter().find(|peer| peer.incarnation == me) else {
            return true;
        };
        let peers: Vec<config::Peer> = self.live.iter().map(known).collect();
        config::watchers(&own.zone, &peers).contains(&me)
    }

    fn tell_time(&self, now: Instant) {
        let live = self.live.len().max(1) as u32;
        self.report(Input::ClusterView(ClusterView {
            at: now,
            wall: wall(),
            reach: Reach { live, heard: live },
        }));
    }

    /// Tells the peers for which services this daemon's news are fresh.
    fn tell_news(&mut self, ctx: &mut Context<Self>) {
        if self.records.is_empty() {
            return;
        }
        let asked = self.parts.core.send(MoveFreshness).into_actor(self);
        ctx.spawn(asked.map(|services, moves, _| {
            for (service, fresh) in services.unwrap_or_default() {
                moves.count += 1;
                let count = moves.count;
                let row = NewsRow { fresh, count };
                moves.put(kinds::MOVE_FRESHNESS, &service, row.encode_to_vec());
            }
        }));
    }

    fn read_all(&self, ctx: &mut Context<Self>) {
        let Some(store) = self.parts.store.clone() else {
            return;
        };
        let read = async move { store.range(PREFIX).await };
        ctx.spawn(read.into_actor(self).map(|result, moves, _| {
            if let Ok(snapshot) = result {
                moves.learn_all(&snapshot);
            }
        }));
    }

    fn learn_all(&mut self, snapshot: &Snapshot) {
        for held in &snapshot.rows {
            if let Some(stored) = stored(held) {
                self.learn(&stored);
            }
        }
        for (service, _) in &self.records {
            self.tell(service, Event::Exchanged(Source::Store));
        }
    }

    /// Takes a record of a higher revision, and passes it on.
    fn learn(&mut self, stored: &Stored) {
        if !self.adopt(stored) {
            return;
        }
        let service = stored.record.terms().service.clone();
        let row = RecordRow {
            revision: stored.revision,
            record: Some(stored.record.to_stored()),
        };
        self.put(kinds::MOVE, &service, row.encode_to_vec());
    }

    /// Whether a record was new here.
    fn adopt(&mut self, stored: &Stored) -> bool {
        let service = stored.record.terms().service.clone();
        match self.records.binary_search_by(|(id, _)| id.cmp(&service)) {
            Ok(at) if self.records[at].1.revision >= stored.revision => return false,
            Ok(at) => self.records[at].1 = stored.clone(),
            Err(at) => self.records.insert(at, (service.clone(), stored.clone())),
        }
        log::info!(
            "moves: {}.",
            poplarvale_lib::moves::status::text(&stored.record)
        );
        self.tell(&service, Event::Record(stored.clone()));
        true
    }

    fn record(&self, service: &ServiceId) -> Option<&Stored> {
        let at = self.records.binary_search_by(|(id, _)| id.cmp(service));
        Some(&self.records[at.ok()?].1)
    }

    fn act(&mut self, service: &ServiceId, action: Action, ctx: &mut Context<Self>) {
        match action {
            Action::Write {
                revision,
                record,
                until,
            } => self.write(revision, &record, until, ctx),
            Action::Push(bad) => {
                log::warn!("moves: a version of {service} is bad: {}.", bad.reason);
                let row = BadVersion {
                    r#move: hex(bad.id).into(),
                    reason: bad.reason.to_string(),
                };
                let name = format!("{service}/{}", hex(bad.id));
                self.put(Kind::VERDICT, &name, row.encode_to_vec());
            }
            Action::Publish(rows) => {
                for row in rows {
                    let name = format!("{service}/{}", row.route);
                    self.keep(name, row.to_wire().encode_to_vec());
                }
            }
        }
    }

    /// Writes a record under the lease; one that is late is dropped.
    fn write(&self, revision: Revision, record: &Record, until: Instant, ctx: &mut Context<Self>) {
        let Some(store) = self.parts.store.clone() else {
            return;
        };
        if Instant::now() >= until {
            return;
        }
        let write = put_record(revision, record);
        let record = record.clone();
        let key = key(&record.terms().service);
        let call = async move {
            let result = store.write(write).await;
            match result {
                // Whatever became of it, what stands there now is what counts.
                Err(Failure::Unknown) => store.get(&key).await.ok().map(Written::Conflict),
                other => other.ok(),
            }
        };
        ctx.spawn(
            call.into_actor(self)
                .map(move |written, moves, _| match written {
                    Some(Written::Done(revision)) => moves.learn(&Stored { revision, record }),
                    Some(Written::Conflict(snapshot)) => moves.learn_all(&snapshot),
                    None => {}
                }),
        );
    }

    /// Keeps the latest row of a name until rows are due.
    fn keep(&mut self, name: String, row: Vec<u8>) {
        match self.rows.binary_search_by(|(kept, _)| kept.cmp(&name)) {
            Ok(at) => self.rows[at].1 = row,
            Err(at) => self.rows.insert(at, (name, row)),
        }
    }

    fn flush(&mut self) {
        for (name, row) in std::mem::take(&mut self.rows) {
            self.put(Kind::EVIDENCE, &name, row);
        }
    }

    /// Time between rows of one kind, so that all of a region together write no
    /// more than [`ROWS`] a second. Rows are whole counts, so that the latest one
    /// stands for those left out.
    fn gap(&self) -> Duration {
        let me = self.parts.incarnation;
        let own = self.live.iter().find(|peer| peer.incarnation == me);
        let near = |peer: &&Peer| own.is_some_and(|own| own.region == peer.region);
        let region = self.live.iter().filter(near).count();
        NEWS.max(Duration::from_secs_f64(region as f64 / ROWS))
    }

    fn tell(&self, service: &ServiceId, event: Event) {
        self.report(Input::Move {
            service: service.clone(),
            event,
        });
    }

    fn report(&self, input: Input) {
        self.parts.core.do_send(Report(input));
    }

    fn put(&self, kind: Kind, name: &str, value: Vec<u8>) {
        self.parts.gossip.do_send(Put {
            kind,
            name: name.into(),
            value,
        });
    }

    /// Takes a row of another daemon; one that does not decode is skipped, the next word
    /// of its writer makes it good.
    fn row(&mut self, key: &Key, value: &[u8]) {
        if let Err(error) = self.take_row(key, value) {
            log::warn!("moves: a row of {} is skipped, {error}.", key.name);
        }
    }

    fn take_row(&mut self, key: &Key, value: &[u8]) -> Result<(), prost::DecodeError> {
        if key.kind == kinds::MOVE.number {
            let row = RecordRow::decode(value)?;
            let record = row.record.and_then(|r| Record::from_stored(&r).ok());
            if let Some(record) = record {
                let revision = row.revision;
                self.adopt(&Stored { revision, record });
            }
        } else if key.kind == kinds::MOVE_FRESHNESS.number {
            let fresh = NewsRow::decode(value)?.fresh;
            self.tell(&key.name, Event::Exchanged(Source::Peer { fresh }));
        } else if key.kind == Kind::VERDICT.number {
            let row = BadVersion::decode(value)?;
            if let (Some(id), Some(service)) = (from_hex(&row.r#move), service(&key.name)) {
                let reason = row.reason.into();
                self.tell(&service, Event::Verdict(Verdict { id, reason }));
            }
        } else if key.kind == Kind::EVIDENCE.number {
            let row = EvidenceRow::decode(value)?;
            if let (Some(row), Some(service)) = (Row::from_wire(&row), service(&key.name)) {
                self.tell(&service, Event::Row(Box::new(row)));
            }
        }
        Ok(())
    }
}

fn known(peer: &Peer) -> config::Peer {
    config::Peer {
        incarnation: peer.incarnation,
        zone: peer.zone.clone(),
    }
}

/// Service that a row's name begins with; ids have no slash.
fn service(name: &str) -> Option<ServiceId> {
    Some(name.split_once('/')?.0.into())
}

fn key(service: &ServiceId) -> String {
    format!("{PREFIX}{service}")
}

fn stored(held: &StoredValue) -> Option<Stored> {
    let wire = VersionMove::decode(held.value.clone()).ok()?;
    let record = Record::from_stored(&wire).ok()?;
    Some(Stored {
        revision: held.changed,
        record,
    })
}

/// The write of a record, if the one that stands has this revision.
fn put_record(revision: Revision, record: &Record) -> Write {
    let key = key(&record.terms().service);
    let condition = match revision {
        0 => Condition::Absent(key.as_str().into()),
        revision => Condition::Unchanged(key.as_str().into(), revision),
    };
    let put = StorePut {
        key: key.into(),
        value: record.to_stored().encode_to_vec().into(),
        lease: 0,
    };
    Write {
        conditions: vec![condition],
        puts: vec![put],
    }
}

/// The wall clock in milliseconds since 1970.
fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Actor for Moves {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, Self::tick);
    }
}

/// What the core decided for the move of a service.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PerformAction {
    pub(crate) service: ServiceId,
    pub(crate) action: Action,
}

impl Handler<PerformAction> for Moves {
    type Result = ();

    fn handle(&mut self, msg: PerformAction, ctx: &mut Self::Context) {
        self.act(&msg.service, msg.action, ctx);
    }
}

/// A row of another daemon.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerRow(pub(crate) Change);

impl Handler<PeerRow> for Moves {
    type Result = ();

    fn handle(&mut self, msg: PeerRow, _: &mut Self::Context) {
        if let Change::Put { key, value, .. } = msg.0 {
            self.row(&key, &value);
        }
    }
}

/// The live daemons, this one among them.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SetLive(pub(crate) Vec<Peer>);

impl Handler<SetLive> for Moves {
    type Result = ();

    fn handle(&mut self, msg: SetLive, _: &mut Self::Context) {
        self.live = msg.0;
    }
}
