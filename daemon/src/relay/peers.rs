//! Exchange of digests with the other daemons, as UDP datagrams.
//!
//! This module sends the digests that are due, converts between the messages and the types of
//! the library, and applies what other daemons report to the shared state.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use poplarvale_lib::ZoneHash;
use poplarvale_lib::protos::relay::{Digest, UsageRecord, digest};
use poplarvale_lib::relay::connectivity::ReachableSpan;
use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::digest::{DueDigests, Location, Peer, Schedule};
use poplarvale_lib::relay::limit::AnnouncedLimit;
use poplarvale_lib::relay::load_reports::{Load, Reporter};
use poplarvale_lib::relay::quota::{PeerReport, TeamRates, TeamUse, ZoneSummary};
use poplarvale_lib::relay::rollout::evidence::{Comparison, Key, VersionCounts};
use poplarvale_lib::relay::rollout::{MoveReport, Order, Outcome};
use poplarvale_lib::relay::sharers::Sharers;
use poplarvale_lib::relay::usage::{Report, Usage, WindowId};
use prost::Message as _;
use tokio::net::UdpSocket;

use super::crash;
use super::state::State;
use super::watch::apply_feed;

mod change_feed;

/// Largest datagram that is read. A longer one is truncated and cannot be decoded, so its sender
/// would seem unresponsive.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Receives digests until the process ends.
pub(crate) async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut bytes).await {
            Ok((len, from)) => match (Digest::decode(&bytes[..len]), from.ip()) {
                (Ok(digest), IpAddr::V4(from)) => apply_digest(&state, from, digest),
                _ => log::warn!("peers: dropped a datagram from {from} that is no digest."),
            },
            // The socket reports an unreachable peer as an error of the next receive call.
            Err(error) => log::debug!("peers: receiving a datagram failed, {error}."),
        }
    }
}

/// Sends digests until the process ends.
pub(crate) async fn send(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut schedule = Schedule::new(state.started);
    let mut urgent = false;
    loop {
        let now = Instant::now();
        state.peers.borrow_mut().expire(now);
        share_limits(&state, now);
        let remote_every = state.peers.borrow().remote_every();
        urgent |= !state.left_endpoints.borrow().is_empty();
        send_digest(&state, &socket, schedule.next(remote_every, urgent, now));
        if remote_every > 1 && state.peers.borrow().is_watcher(now) {
            send_zone_summary(&state, &socket, now);
        }
        let period = state.peers.borrow().local_period();
        tokio::select! {
            () = tokio::time::sleep(period) => urgent = false,
            () = state.digest_due.notified() => urgent = true,
        }
    }
}

/// Divides the limits that endpoints announce among the daemons that sent a digest recently, and
/// the rates of cold endpoints among all that are known.
fn share_limits(state: &State, now: Instant) {
    let peers = state.peers.borrow();
    let me = peers.own_address();
    let recent = Sharers {
        me,
        others: peers.recent_addresses(now),
        is_isolated: false,
    };
    let known = Sharers {
        me,
        others: peers.rows().iter().map(|row| row.address).collect(),
        is_isolated: peers.is_isolated(),
    };
    let mut table = state.endpoints.borrow_mut();
    table.set_sharers(recent, now);
    table.set_daemons(known);
}

/// Sends a full digest right before the daemon ends. What it counted since its last full digest
/// would be lost otherwise, and teams would be charged for less than they used.
pub(crate) fn send_last_digest(state: &State, socket: &UdpSocket) {
    let due = DueDigests {
        local: true,
        remote: Some(true),
    };
    send_digest(state, socket, due);
}

/// Sends the digests that are due: one to the daemons of this zone and to those that never sent
/// one, so that their zone is unknown, and in some rounds another to the daemons of other zones.
fn send_digest(state: &State, socket: &UdpSocket, due: DueDigests) {
    let now = Instant::now();
    let sequence = state.next_digest();
    let left = std::mem::take(&mut *state.left_endpoints.borrow_mut());
    let peers = state.peers.borrow();
    if let Some(full) = due.remote {
        let bytes = build_digest(state, sequence, full, &left, now).encode_to_vec();
        let remote = peers.rows().iter().filter(|peer| peers.is_remote(peer));
        remote.for_each(|peer| send_to(state, socket, peer, &bytes));
    }
    let mut digest = build_digest(state, sequence, due.local, &left, now);
    if peers.is_watcher(now) {
        let table = state.endpoints.borrow();
        let progress = state.store_progress.borrow();
        let feed = progress.feed(table.checksum(), table.evacuated(), now);
        digest.news = feed.map(|feed| change_feed::encode(feed, now));
    }
    let bytes = digest.encode_to_vec();
    let local = peers.rows().iter().filter(|peer| !peers.is_remote(peer));
    local.for_each(|peer| send_to(state, socket, peer, &bytes));
}

/// Sends the summed usage and endpoint load of this zone to the daemons of the other zones.
fn send_zone_summary(state: &State, socket: &UdpSocket, now: Instant) {
    let peers = state.peers.borrow();
    let location = peers.own_location();
    let summary = state.quota.borrow().zone_summary(location.zone, now);
    let teams = summary.teams.into_iter().map(|row| digest::TeamUse {
        team: row.team,
        rate: row.rate as u32,
        asked: row.demand as u32,
        ..digest::TeamUse::default()
    });
    let endpoints = state.endpoints.borrow().zone_load(location.zone);
    let zone_use = digest::ZoneUse {
        silent: summary.unresponsive,
        teams: teams.collect(),
        endpoints: endpoints.into_iter().map(encode_load).collect(),
    };
    let digest = Digest {
        name: state.settings.name.to_string(),
        incarnation: state.incarnation,
        sequence: state.next_digest(),
        zone: location.zone,
        memory: location.memory_mb,
        zone_use: Some(zone_use),
        ..Digest::default()
    };
    let bytes = digest.encode_to_vec();
    let remote = peers.recent(now).filter(|peer| peers.is_remote(peer));
    remote.for_each(|peer| send_to(state, socket, peer, &bytes));
}

fn send_to(state: &State, socket: &UdpSocket, peer: &Peer, bytes: &[u8]) {
    let to = SocketAddr::new(IpAddr::V4(peer.address), state.settings.peers.port());
    if let Err(error) = socket.try_send_to(bytes, to) {
        log::debug!(
            "peers: sending a digest to {} failed, {error}.",
            peer.address
        );
    }
}

fn encode_load((endpoint, load): (u32, Load)) -> digest::EndpointUse {
    digest::EndpointUse {
        endpoint,
        requests: load.requests,
        tokens: load.tokens as u32,
    }
}

fn decode_load(row: &digest::EndpointUse) -> (u32, Load) {
    let load = Load {
        requests: row.requests,
        tokens: f64::from(row.tokens),
    };
    (row.endpoint, load)
}

/// The digest of this daemon. A full one also names its peers and covers all usage windows; a
/// short one covers only the last window that has ended.
fn build_digest(state: &State, sequence: u64, full: bool, left: &[u32], now: Instant) -> Digest {
    let quota = state.quota.borrow();
    let teams = quota.team_uses(now).into_iter().map(|row| digest::TeamUse {
        team: row.team,
        units: row.units as u32,
        rate: row.rate as u32,
        total: row.total,
        asked: row.demand as u32,
    });
    let table = state.endpoints.borrow();
    let busy = table.rows().iter().filter(|row| !row.in_flight.is_empty());
    let endpoints = busy.map(|row| encode_load((row.hash, row.local_load())));
    let usage = state.usage.borrow();
    let current = state.usage_window(now);
    let windows = usage.mine();
    let windows = windows.filter(|(number, _)| full || number + 1 == current);
    let windows = windows.map(|(number, counts)| digest::Window {
        number,
        counts: counts.iter().map(encode_count).collect(),
    });
    let demand = state.demand.borrow().local_rates(now);
    let services = demand
        .into_iter()
        .map(|(service, work)| digest::ServiceWork {
            service,
            read: work.read as u32,
            write: work.write as u32,
        });
    let others = if full {
        state.peers.borrow().recent_addresses(now)
    } else {
        Vec::new()
    };
    let location = state.peers.borrow().own_location();
    let crashes = state.crashes.borrow();
    Digest {
        name: state.settings.name.to_string(),
        incarnation: state.incarnation,
        sequence,
        zone: location.zone,
        memory: location.memory_mb,
        news: None,
        zone_use: None,
        wall_ms: State::wall_ms(),
        catalog: state
            .catalog
            .borrow()
            .as_ref()
            .map_or(0, |catalog| catalog.version),
        peers: others.into_iter().map(u32::from).collect(),
        teams: teams.collect(),
        endpoints: endpoints.collect(),
        windows: windows.collect(),
        services: services.collect(),
        left: left.to_vec(),
        uptime_ms: state.started.elapsed().as_millis() as u64,
        moves: state.rollouts.borrow().reports().map(encode_move).collect(),
        crashes: crashes
            .report(full, now)
            .into_iter()
            .map(crash::to_digest)
            .collect(),
        cleared: crashes.report_cleared(now),
        fixed: usage.advertised(now).map(|report| UsageRecord {
            number: report.window,
            counts: report.counts.to_string(),
        }),
        limits: table
            .advertised_limits(now)
            .into_iter()
            .map(|row| encode_limit(row, now))
            .collect(),
        contact: state
            .connectivity
            .get()
            .span()
            .map(|span| encode_contact(span, now)),
    }
}

fn encode_limit((endpoint, limit): (u32, AnnouncedLimit), now: Instant) -> digest::EndpointLimit {
    let age = now.saturating_duration_since(limit.at).as_millis();
    digest::EndpointLimit {
        endpoint,
        rate: limit.rate.map(|rate| rate as f32),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}

/// Merges the limit that an endpoint announced to another daemon.
fn merge_limit(state: &State, name: &str, limit: &digest::EndpointLimit, now: Instant) {
    let Some(at) = now.checked_sub(Duration::from_millis(limit.age_ms.into())) else {
        return;
    };
    let rate = limit.rate.map(f64::from);
    if rate.is_some_and(|rate| !rate.is_finite() || rate < 0.0) {
        log::warn!("limit: ignored an endpoint limit from {name} that is not a valid rate.");
        return;
    }
    let announced = AnnouncedLimit { rate, at };
    if state
        .endpoints
        .borrow_mut()
        .merge_limit(limit.endpoint, announced)
    {
        log::info!(
            endpoint = limit.endpoint, now:? = rate;
            "limit: an endpoint announced a new limit, {name} reports."
        );
    }
}

fn encode_contact(span: ReachableSpan, now: Instant) -> digest::Contact {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis();
    let age = |at| u32::try_from(age(at)).unwrap_or(u32::MAX);
    digest::Contact {
        since_ms: age(span.since),
        heard_ms: age(span.last_answer),
    }
}

/// Ends the grace of doubtful endpoints, or shortens it, if another daemon could reach the store
/// while this one could not.
fn end_doubt(state: &State, name: &str, span: ReachableSpan, now: Instant) {
    let Some(since) = state.connectivity.get().available_since(span) else {
        return;
    };
    let available = now.saturating_duration_since(since);
    for id in state
        .endpoints
        .borrow_mut()
        .registry_healthy_since(since, now)
    {
        log::info!(
            well_ms = available.as_millis() as u64;
            "board: endpoint {id} leaves, the store was available as {name} reports."
        );
    }
}

/// The times by this daemon's clock; `None` if one lies before the start of its host.
fn decode_contact(contact: digest::Contact, now: Instant) -> Option<ReachableSpan> {
    let at = |age: u32| now.checked_sub(Duration::from_millis(age.into()));
    Some(ReachableSpan {
        since: at(contact.since_ms)?,
        last_answer: at(contact.heard_ms)?,
    })
}

fn encode_move(report: MoveReport) -> digest::Move {
    let side = |side: VersionCounts| digest::Side {
        all: side.requests,
        bad: side.failures,
        time: side.time_s as f32,
    };
    let seen = |((route, slot), comparison): (Key, Comparison)| digest::Seen {
        route,
        slot,
        old: Some(side(comparison.old)),
        new: Some(side(comparison.new)),
    };
    let outcome = match report.outcome {
        Outcome::Running => digest::Outcome::Running,
        Outcome::Completed => digest::Outcome::Completed,
        Outcome::RolledBack => digest::Outcome::RolledBack,
    };
    digest::Move {
        service: report.order.service.to_string(),
        target: report.order.target.to_string(),
        revision: report.order.revision,
        begin_ms: report.begin,
        finish_ms: report.finish,
        outcome: outcome.into(),
        seen: report.comparisons.into_iter().map(seen).collect(),
    }
}

fn decode_move(message: digest::Move) -> MoveReport {
    let side = |side: Option<digest::Side>| {
        side.map_or(VersionCounts::default(), |side| VersionCounts {
            requests: side.all,
            failures: side.bad,
            time_s: f64::from(side.time),
        })
    };
    let outcome = match message.outcome() {
        digest::Outcome::Running => Outcome::Running,
        digest::Outcome::Completed => Outcome::Completed,
        digest::Outcome::RolledBack => Outcome::RolledBack,
    };
    let seen = |seen: digest::Seen| {
        let comparison = Comparison {
            old: side(seen.old),
            new: side(seen.new),
        };
        ((seen.route, seen.slot), comparison)
    };
    MoveReport {
        order: Order {
            service: message.service.into(),
            target: message.target.into(),
            revision: message.revision,
        },
        begin: message.begin_ms,
        finish: message.finish_ms,
        outcome,
        comparisons: message.seen.into_iter().map(seen).collect(),
    }
}

/// Merges the summary of another zone that one of its watchers sent.
fn merge_zone(
    state: &State,
    zone: ZoneHash,
    zone_use: &digest::ZoneUse,
    timeout: Duration,
    now: Instant,
) {
    let row = |row: &digest::TeamUse| TeamRates {
        team: row.team,
        rate: f64::from(row.rate),
        demand: f64::from(row.asked),
    };
    let mut uses: Vec<TeamRates> = zone_use.teams.iter().map(row).collect();
    uses.sort_by_key(|row| row.team);
    let summary = ZoneSummary {
        unresponsive: zone_use.silent,
        teams: uses,
    };
    state
        .quota
        .borrow_mut()
        .merge_zone(zone, summary, timeout, now);
    let loads = zone_use.endpoints.iter().map(decode_load).collect();
    let mut table = state.endpoints.borrow_mut();
    table.apply_report(Reporter::Zone(zone), loads, now);
}

/// Merges a usage report that another daemon finalized. One for a window that has not begun is
/// ignored, as it would keep all reports up to that window from being sent.
fn merge_finalized(usage: &mut Usage, record: UsageRecord, current: WindowId, name: &str) {
    if record.number > current {
        log::warn!(
            "duty: ignored a usage report from {name} for window {}, which has not begun.",
            record.number
        );
        return;
    }
    usage.merge_finalized(Report {
        window: record.number,
        counts: record.counts.into(),
    });
}

fn encode_count((team, runs): &(CompactString, u32)) -> digest::Count {
    digest::Count {
        team: team.to_string(),
        runs: *runs,
    }
}

/// Applies the change feed of a watcher; one with values out of range is ignored.
fn merge_feed(state: &State, name: &str, news: digest::News, now: Instant) {
    match change_feed::decode(news, now) {
        Ok(feed) => apply_feed(state, feed, now),
        Err(error) => {
            state.measure(|metrics| metrics.record_call("peers", "invalid"));
            log::warn!("peers: ignored the changes from {name}, {error}.");
        }
    }
}

/// Merges what another daemon reports of a version move.
fn merge_move(state: &State, name: &CompactString, message: digest::Move) {
    let report = decode_move(message);
    if state.rollouts.borrow_mut().merge(name, &report) {
        let order = &report.order;
        log::info!(
            "rollout: {} to version {} has ended, {name} reports.",
            order.service,
            order.target
        );
        state.digest_due.notify_one();
    }
}

/// Applies a digest to the shared state, unless a newer one of its sender was received before.
fn apply_digest(state: &State, from: Ipv4Addr, digest: Digest) {
    let now = Instant::now();
    let name = CompactString::from(digest.name);
    let contact = digest
        .contact
        .and_then(|contact| decode_contact(contact, now));
    {
        let mut peers = state.peers.borrow_mut();
        if !peers.record_digest(from, &name, digest.incarnation, digest.sequence, now) {
            return;
        }
        if let Some(zone_use) = digest.zone_use {
            let timeout = peers.local_timeout();
            drop(peers);
            return merge_zone(state, digest.zone, &zone_use, timeout, now);
        }
        let location = Location {
            zone: digest.zone,
            memory_mb: digest.memory,
        };
        peers.update(from, location, contact);
        for peer in digest.peers {
            peers.add(Ipv4Addr::from(peer), now);
        }
    }
    if let Some(span) = contact {
        end_doubt(state, &name, span, now);
    }
    state.clock.borrow_mut().record(&name, digest.wall_ms, now);
    if let Some(news) = digest.news {
        merge_feed(state, &name, news, now);
    }
    for limit in &digest.limits {
        merge_limit(state, &name, limit, now);
    }
    for row in digest.crashes {
        crash::merge(state, &name, row);
    }
    for fingerprint in digest.cleared {
        crash::merge_cleared(state, &name, fingerprint);
    }
    let loads = digest.endpoints.iter().map(decode_load).collect();
    let peer = Reporter::Daemon(digest.zone, name.clone());
    state.endpoints.borrow_mut().apply_report(peer, loads, now);
    for id in state.endpoints.borrow_mut().mark_leaving(&digest.left) {
        log::info!("board: endpoint {id} leaves, {name} reports.");
    }
    let work = digest.services.iter().map(|row| {
        let work = Work {
            read: f64::from(row.read),
            write: f64::from(row.write),
        };
        (row.service, work)
    });
    state.demand.borrow_mut().merge(&name, work.collect(), now);
    for message in digest.moves {
        merge_move(state, &name, message);
    }
    let mut usage = state.usage.borrow_mut();
    if let Some(record) = digest.fixed {
        merge_finalized(&mut usage, record, state.usage_window(now), &name);
    }
    for window in digest.windows {
        let row = |count: digest::Count| (CompactString::from(count.team), count.runs);
        let counts = window.counts.into_iter().map(row).collect();
        usage.merge(window.number, (name.clone(), digest.incarnation), counts);
    }
    let row = |row: &digest::TeamUse| TeamUse {
        team: row.team,
        units: f64::from(row.units),
        total: row.total,
        rate: f64::from(row.rate),
        demand: f64::from(row.asked),
    };
    let mut uses: Vec<TeamUse> = digest.teams.iter().map(row).collect();
    uses.sort_by_key(|row| row.team);
    let report = PeerReport {
        name,
        zone: digest.zone,
        incarnation: digest.incarnation,
        received: now,
        started: now
            .checked_sub(Duration::from_millis(digest.uptime_ms))
            .unwrap_or(now),
        uses,
    };
    let timeout = state.peers.borrow().timeout(report.zone);
    state.quota.borrow_mut().merge_report(&report, timeout);
}
