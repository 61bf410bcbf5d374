//! The actor that connects version moves to the key-value service and to the other daemons.
//!
//! `poplarvale_lib::moves` decides on shares, evidence and verdicts in the core. This actor reads
//! and writes the records of moves in the key-value service, holds the lease that allows writing
//! them, and exchanges updates with the other daemons as gossip rows. Only two daemons of each zone
//! read the records, and only one daemon of the fleet tries to acquire the lease at first, so that
//! the load on the key-value service doesn't grow with the fleet.

mod lease;
mod operator;

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

use lease::LeaseState;
pub(crate) use operator::{Cancel, Start, StateOf};

/// Prefix of the keys of all records.
const KEY_PREFIX: &str = "poplarvale/moves/";
/// Time between two reads of the records while a move is in progress. A record changes every few
/// seconds at most, and gossip carries it from the daemons that read it to the others.
const ACTIVE_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads of the records while no move is in progress.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two checks of what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum rate of evidence rows from all daemons of a region together, in rows per second. The
/// rows on freshness have the same limit. This is about 3 KB/s, a sixth of the bandwidth that
/// control traffic may use.
const MAX_ROW_RATE: f64 = 20.0;
/// Time between two cluster views sent to the core, and the shortest time between two rounds of
/// rows to the peers.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Dependencies of the actor.
pub(crate) struct Parts {
    pub(crate) incarnation: Incarnation,
    pub(crate) core: Addr<Core>,
    pub(crate) gossip: Addr<Gossip>,
    /// None without a platform: then no move can be started.
    pub(crate) store: Option<Rc<StoreClient>>,
}

/// Actor of the version moves.
pub struct Moves {
    parts: Parts,
    /// Latest known record of each service, sorted by service.
    records: Vec<(ServiceId, Stored)>,
    live: Vec<Peer>,
    lease: LeaseState,
    next_read: Instant,
    next_view: Instant,
    next_round: Instant,
    /// Evidence rows to be published with the next round, sorted by name.
    pending_rows: Vec<(String, Vec<u8>)>,
    report_count: u64,
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
            lease: LeaseState::default(),
            next_read: now,
            next_view: now,
            next_round: now,
            pending_rows: Vec::new(),
            report_count: 0,
        }
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = Instant::now();
        if self.next_view <= now {
            self.next_view = now + ROUND_INTERVAL;
            self.send_cluster_view(now);
        }
        if self.next_round <= now {
            self.next_round = now + self.row_interval();
            self.publish_freshness(ctx);
            self.publish_evidence();
        }
        if self.next_read <= now && self.is_reader() {
            let active = self.records.iter().any(|(_, s)| !s.record.ended());
            self.next_read = now
                + if active {
                    ACTIVE_READ_INTERVAL
                } else {
                    IDLE_READ_INTERVAL
                };
            self.read_all(ctx);
        }
        self.maintain_lease(now, ctx);
    }

    /// Whether this daemon is one of the zone's two readers.
    fn is_reader(&self) -> bool {
        let me = self.parts.incarnation;
        let Some(own) = self.live.iter().find(|peer| peer.incarnation == me) else {
            return true;
        };
        let peers: Vec<config::Peer> = self.live.iter().map(config_peer).collect();
        config::watchers(&own.zone, &peers).contains(&me)
    }

    fn send_cluster_view(&self, now: Instant) {
        let live = self.live.len().max(1) as u32;
        self.send_input(Input::ClusterView(ClusterView {
            at: now,
            wall: unix_ms(),
            reach: Reach { live, heard: live },
        }));
    }

    /// Publishes for which services this daemon's information on the move is fresh.
    fn publish_freshness(&mut self, ctx: &mut Context<Self>) {
        if self.records.is_empty() {
            return;
        }
        let query = self.parts.core.send(MoveFreshness).into_actor(self);
        ctx.spawn(query.map(|services, moves, _| {
            for (service, fresh) in services.unwrap_or_default() {
                moves.report_count += 1;
                let count = moves.report_count;
                let row = NewsRow { fresh, count };
                moves.put(kinds::MOVE_FRESHNESS, &service, row.encode_to_vec());
            }
        }));
    }

    fn read_all(&self, ctx: &mut Context<Self>) {
        let Some(store) = self.parts.store.clone() else {
            return;
        };
        let read = async move { store.range(KEY_PREFIX).await };
        ctx.spawn(read.into_actor(self).map(|result, moves, _| {
            if let Ok(snapshot) = result {
                moves.apply_snapshot(&snapshot);
            }
        }));
    }

    fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        for value in &snapshot.rows {
            if let Some(stored) = decode_record(value) {
                self.add_record(&stored);
            }
        }
        for (service, _) in &self.records {
            self.send_event(service, Event::Exchanged(Source::Store));
        }
    }

    /// Applies a record if its revision is newer than the known one, and publishes it.
    fn add_record(&mut self, stored: &Stored) {
        if !self.apply_record(stored) {
            return;
        }
        let service = stored.record.terms().service.clone();
        let row = RecordRow {
            revision: stored.revision,
            record: Some(stored.record.to_stored()),
        };
        self.put(kinds::MOVE, &service, row.encode_to_vec());
    }

    /// Applies a record if its revision is newer than the known one. Returns whether it was.
    fn apply_record(&mut self, stored: &Stored) -> bool {
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
        self.send_event(&service, Event::Record(stored.clone()));
        true
    }

    fn record(&self, service: &ServiceId) -> Option<&Stored> {
        let at = self.records.binary_search_by(|(id, _)| id.cmp(service));
        Some(&self.records[at.ok()?].1)
    }

    fn perform(&mut self, service: &ServiceId, action: Action, ctx: &mut Context<Self>) {
        match action {
            Action::Write {
                revision,
                record,
                until,
            } => self.write(revision, &record, until, ctx),
            Action::Push(bad) => {
                log::warn!(
                    "moves: the new version of {service} is bad, publishing the verdict: {}.",
                    bad.reason
                );
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
                    self.queue_row(name, row.to_wire().encode_to_vec());
                }
            }
        }
    }

    /// Writes a record while the lease is valid. A write that comes too late for it is dropped.
    fn write(&self, revision: Revision, record: &Record, until: Instant, ctx: &mut Context<Self>) {
        let Some(store) = self.parts.store.clone() else {
            return;
        };
        if Instant::now() >= until {
            return;
        }
        let write = put_record(revision, record);
        let record = record.clone();
        let key = record_key(&record.terms().service);
        let call = async move {
            let result = store.write(write).await;
            match result {
                // The write may or may not have taken effect; read which record is stored now.
                Err(Failure::Unknown) => store.get(&key).await.ok().map(Written::Conflict),
                other => other.ok(),
            }
        };
        ctx.spawn(
            call.into_actor(self)
                .map(move |written, moves, _| match written {
                    Some(Written::Done(revision)) => moves.add_record(&Stored { revision, record }),
                    Some(Written::Conflict(snapshot)) => moves.apply_snapshot(&snapshot),
                    None => {}
                }),
        );
    }

    /// Queues a row for the next round. A later row of the same name replaces it.
    fn queue_row(&mut self, name: String, row: Vec<u8>) {
        match self
            .pending_rows
            .binary_search_by(|(queued, _)| queued.cmp(&name))
        {
            Ok(at) => self.pending_rows[at].1 = row,
            Err(at) => self.pending_rows.insert(at, (name, row)),
        }
    }

    fn publish_evidence(&mut self) {
        for (name, row) in std::mem::take(&mut self.pending_rows) {
            self.put(Kind::EVIDENCE, &name, row);
        }
    }

    /// Time between two rows of one kind, such that all daemons of a region together stay within
    /// [`MAX_ROW_RATE`]. Rows hold totals, so the latest row replaces those that were left out.
    fn row_interval(&self) -> Duration {
        let me = self.parts.incarnation;
        let own = self.live.iter().find(|peer| peer.incarnation == me);
        let local = |peer: &&Peer| own.is_some_and(|own| own.region == peer.region);
        let region = self.live.iter().filter(local).count();
        ROUND_INTERVAL.max(Duration::from_secs_f64(region as f64 / MAX_ROW_RATE))
    }

    fn send_event(&self, service: &ServiceId, event: Event) {
        self.send_input(Input::Move {
            service: service.clone(),
            event,
        });
    }

    fn send_input(&self, input: Input) {
        self.parts.core.do_send(Report(input));
    }

    fn put(&self, kind: Kind, name: &str, value: Vec<u8>) {
        self.parts.gossip.do_send(Put {
            kind,
            name: name.into(),
            value,
        });
    }

    /// Applies a row of another daemon. A row that can't be decoded is skipped; the next row from
    /// its writer replaces it.
    fn receive_row(&mut self, key: &Key, value: &[u8]) {
        if let Err(error) = self.apply_row(key, value) {
            log::warn!(
                "moves: cannot decode the row {}, skipping it: {error}.",
                key.name
            );
        }
    }

    fn apply_row(&mut self, key: &Key, value: &[u8]) -> Result<(), prost::DecodeError> {
        if key.kind == kinds::MOVE.number {
            let row = RecordRow::decode(value)?;
            let record = row.record.and_then(|r| Record::from_stored(&r).ok());
            if let Some(record) = record {
                let revision = row.revision;
                self.apply_record(&Stored { revision, record });
            }
        } else if key.kind == kinds::MOVE_FRESHNESS.number {
            let fresh = NewsRow::decode(value)?.fresh;
            self.send_event(&key.name, Event::Exchanged(Source::Peer { fresh }));
        } else if key.kind == Kind::VERDICT.number {
            let row = BadVersion::decode(value)?;
            if let (Some(id), Some(service)) = (from_hex(&row.r#move), service_of(&key.name)) {
                let reason = row.reason.into();
                self.send_event(&service, Event::Verdict(Verdict { id, reason }));
            }
        } else if key.kind == Kind::EVIDENCE.number {
            let row = EvidenceRow::decode(value)?;
            if let (Some(row), Some(service)) = (Row::from_wire(&row), service_of(&key.name)) {
                self.send_event(&service, Event::Row(Box::new(row)));
            }
        }
        Ok(())
    }
}

fn config_peer(peer: &Peer) -> config::Peer {
    config::Peer {
        incarnation: peer.incarnation,
        zone: peer.zone.clone(),
    }
}

/// Service in a row's name: the part before the first slash. Service ids contain no slash.
fn service_of(name: &str) -> Option<ServiceId> {
    Some(name.split_once('/')?.0.into())
}

fn record_key(service: &ServiceId) -> String {
    format!("{KEY_PREFIX}{service}")
}

fn decode_record(stored: &StoredValue) -> Option<Stored> {
    let wire = VersionMove::decode(stored.value.clone()).ok()?;
    let record = Record::from_stored(&wire).ok()?;
    Some(Stored {
        revision: stored.changed,
        record,
    })
}

/// The write of a record on the condition that the stored one has this revision. Revision 0 stands
/// for no stored record.
fn put_record(revision: Revision, record: &Record) -> Write {
    let key = record_key(&record.terms().service);
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

/// Wall clock in milliseconds since 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Actor for Moves {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK_INTERVAL, Self::tick);
    }
}

/// An action that the core decided on for the move of a service.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PerformAction {
    pub(crate) service: ServiceId,
    pub(crate) action: Action,
}

impl Handler<PerformAction> for Moves {
    type Result = ();

    fn handle(&mut self, msg: PerformAction, ctx: &mut Self::Context) {
        self.perform(&msg.service, msg.action, ctx);
    }
}

/// A gossip row of another daemon.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerRow(pub(crate) Change);

impl Handler<PeerRow> for Moves {
    type Result = ();

    fn handle(&mut self, msg: PeerRow, _: &mut Self::Context) {
        if let Change::Put { key, value, .. } = msg.0 {
            self.receive_row(&key, &value);
        }
    }
}

/// Sets the live daemons, this one included.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SetLive(pub(crate) Vec<Peer>);

impl Handler<SetLive> for Moves {
    type Result = ();

    fn handle(&mut self, msg: SetLive, _: &mut Self::Context) {
        self.live = msg.0;
    }
}
