//! Digests to and from the other daemons.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use poplarvale_lib::ZoneHash;
use poplarvale_lib::protos::relay::{Digest, UsageRecord, digest};
use poplarvale_lib::relay::connectivity::ReachableSpan;
use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::digest::{DueDigests, Location, Peer, Schedule};
use poplarvale_lib::relay::endpoint_table::{Load, Reporter};
use poplarvale_lib::relay::limit::{AnnouncedLimit, Sharers};
use poplarvale_lib::relay::quota::{PeerReport, TeamRates, TeamUse, ZoneSummary};
use poplarvale_lib::relay::rollout::evidence::{Comparison, Key, VersionCounts};
use poplarvale_lib::relay::rollout::{MoveReport, Order, Outcome};
use poplarvale_lib::relay::usage::{Report, Usage, WindowId};
use prost::Message as _;
use tokio::net::UdpSocket;

use super::crash;
use super::state::State;
use super::watch::take_news;

mod news;

/// Largest datagram that is read, in bytes. One that is cut short cannot be decoded, and its
/// sender would seem to be silent.
const MOST: usize = 64 * 1024;

/// Receives digests until the process ends.
pub(crate) async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut bytes = vec![0; MOST];
    loop {
        match socket.recv_from(&mut bytes).await {
            Ok((len, from)) => match (Digest::decode(&bytes[..len]), from.ip()) {
                (Ok(digest), IpAddr::V4(from)) => hear(&state, from, digest),
                _ => log::warn!("peers: a datagram from {from} is no digest."),
            },
            // An unreachable peer shows here as an error of the next call.
            Err(error) => log::debug!("peers: not received, {error}."),
        }
    }
}

/// Sends digests until the process ends.
pub(crate) async fn send(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut turns = Schedule::new(state.started);
    let mut urgent = false;
    loop {
        let now = Instant::now();
        state.peers.borrow_mut().expire(now);
        share_limits(&state, now);
        let rounds = state.peers.borrow().remote_every();
        urgent |= !state.left_endpoints.borrow().is_empty();
        tell(&state, &socket, turns.next(rounds, urgent, now));
        if rounds > 1 && state.peers.borrow().is_watcher(now) {
            tell_zone(&state, &socket, now);
        }
        let period = state.peers.borrow().local_period();
        tokio::select! {
            () = tokio::time::sleep(period) => urgent = false,
            () = state.digest_due.notified() => urgent = true,
        }
    }
}

/// Has the limits that endpoints name shared by the daemons that are heard.
fn share_limits(state: &State, now: Instant) {
    let peers = state.peers.borrow();
    let sharers = Sharers {
        me: peers.own_address(),
        others: peers.recent_addresses(now),
    };
    state.endpoints.borrow_mut().set_sharers(sharers, now);
}

/// Sends the last digest of a daemon that ends. What it counted since the last whole one
/// would be lost with it, and teams charged for less than they used.
pub(crate) fn tell_last(state: &State, socket: &UdpSocket) {
    let turn = DueDigests {
        local: true,
        remote: Some(true),
    };
    tell(state, socket, turn);
}

/// Sends a digest to the daemons of this zone, to those that were never heard, and at some
/// turns to those of other zones.
fn tell(state: &State, socket: &UdpSocket, turn: DueDigests) {
    let now = Instant::now();
    let sequence = state.next_digest();
    let left = std::mem::take(&mut *state.left_endpoints.borrow_mut());
    let peers = state.peers.borrow();
    if let Some(whole) = turn.remote {
        let bytes = digest(state, sequence, whole, &left, now).encode_to_vec();
        let far = peers.rows().iter().filter(|peer| peers.is_remote(peer));
        far.for_each(|peer| send_to(state, socket, peer, &bytes));
    }
    let mut digest = digest(state, sequence, turn.local, &left, now);
    if peers.is_watcher(now) {
        let check = state.endpoints.borrow().checksum();
        let news = state.store_progress.borrow().feed(check, now);
        digest.news = news.map(news::tell);
    }
    let bytes = digest.encode_to_vec();
    let near = peers.rows().iter().filter(|peer| !peers.is_remote(peer));
    near.for_each(|peer| send_to(state, socket, peer, &bytes));
}

/// Tells the other zones what this one does as a whole.
fn tell_zone(state: &State, socket: &UdpSocket, now: Instant) {
    let peers = state.peers.borrow();
    let place = peers.own_location();
    let summary = state.quota.borrow().zone_summary(place.zone, now);
    let teams = summary.teams.into_iter().map(|row| digest::TeamUse {
        team: row.team,
        rate: row.rate as u32,
        asked: row.demand as u32,
        ..digest::TeamUse::default()
    });
    let endpoints = state.endpoints.borrow().zone_load(place.zone);
    let zone_use = digest::ZoneUse {
        silent: summary.unresponsive,
        teams: teams.collect(),
        endpoints: endpoints.into_iter().map(tell_use).collect(),
    };
    let digest = Digest {
        name: state.settings.name.to_string(),
        incarnation: state.incarnation,
        sequence: state.next_digest(),
        zone: place.zone,
        memory: place.memory_mb,
        zone_use: Some(zone_use),
        ..Digest::default()
    };
    let bytes = digest.encode_to_vec();
    let far = peers.recent(now).filter(|peer| peers.is_remote(peer));
    far.for_each(|peer| send_to(state, socket, peer, &bytes));
}

fn send_to(state: &State, socket: &UdpSocket, peer: &Peer, bytes: &[u8]) {
    let to = SocketAddr::new(IpAddr::V4(peer.address), state.settings.peers.port());
    if let Err(error) = socket.try_send_to(bytes, to) {
        log::debug!("peers: nothing sent to {}, {error}.", peer.address);
    }
}

fn tell_use((endpoint, load): (u32, Load)) -> digest::EndpointUse {
    digest::EndpointUse {
        endpoint,
        requests: load.requests,
        tokens: load.tokens as u32,
    }
}

fn hear_use(told: &digest::EndpointUse) -> (u32, Load) {
    let load = Load {
        requests: told.requests,
        tokens: f64::from(told.tokens),
    };
    (told.endpoint, load)
}

fn digest(state: &State, sequence: u64, whole: bool, left: &[u32], now: Instant) -> Digest {
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
    let endpoints = busy.map(|row| tell_use((row.hash, row.local_load())));
    let usage = state.usage.borrow();
    let current = state.usage_window(now);
    let windows = usage.mine();
    let windows = windows.filter(|(number, _)| whole || number + 1 == current);
    let windows = windows.map(|(number, counts)| digest::Window {
        number,
        counts: counts.iter().map(count).collect(),
    });
    let demand = state.demand.borrow().local_rates(now);
    let services = demand
        .into_iter()
        .map(|(service, work)| digest::ServiceWork {
            service,
            read: work.read as u32,
            write: work.write as u32,
        });
    let others = if whole {
        state.peers.borrow().recent_addresses(now)
    } else {
        Vec::new()
    };
    let place = state.peers.borrow().own_location();
    let crashes = state.crashes.borrow();
    Digest {
        name: state.settings.name.to_string(),
        incarnation: state.incarnation,
        sequence,
        zone: place.zone,
        memory: place.memory_mb,
        news: None,
        zone_use: None,
        wall_ms: State::wall_ms(),
        catalog: state
            .catalog
            .borrow()
            .as_ref()
            .map_or(0, |held| held.version),
        peers: others.into_iter().map(u32::from).collect(),
        teams: teams.collect(),
        endpoints: endpoints.collect(),
        windows: windows.collect(),
        services: services.collect(),
        left: left.to_vec(),
        uptime_ms: state.started.elapsed().as_millis() as u64,
        moves: state.rollouts.borrow().reports().map(tell_move).collect(),
        crashes: crashes
            .report(whole, now)
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
            .map(|row| tell_limit(row, now))
            .collect(),
        contact: state
            .connectivity
            .get()
            .span()
            .map(|span| tell_contact(span, now)),
    }
}

fn tell_limit((endpoint, said): (u32, AnnouncedLimit), now: Instant) -> digest::EndpointLimit {
    let age = now.saturating_duration_since(said.at).as_millis();
    digest::EndpointLimit {
        endpoint,
        rate: said.rate.map(|rate| rate as f32),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}

/// Takes in which limit an endpoint named to another daemon.
fn hear_limit(state: &State, name: &str, told: &digest::EndpointLimit, now: Instant) {
    let Some(heard) = now.checked_sub(Duration::from_millis(told.age_ms.into())) else {
        return;
    };
    let rate = told.rate.map(f64::from);
    if rate.is_some_and(|rate| !rate.is_finite() || rate < 0.0) {
        log::warn!("limit: what {name} tells of an endpoint is no rate.");
        return;
    }
    let said = AnnouncedLimit { rate, at: heard };
    if state
        .endpoints
        .borrow_mut()
        .merge_limit(told.endpoint, said)
    {
        log::info!(endpoint = told.endpoint, now:? = rate; "limit: an endpoint names another, {name} tells.");
    }
}

fn tell_contact(span: ReachableSpan, now: Instant) -> digest::Contact {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis();
    let age = |at| u32::try_from(age(at)).unwrap_or(u32::MAX);
    digest::Contact {
        since_ms: age(span.since),
        heard_ms: age(span.last_answer),
    }
}

/// Ends doubt about endpoints, or shortens it, if another daemon had the store while
/// this one did not.
fn end_doubt(state: &State, name: &str, span: ReachableSpan, now: Instant) {
    let Some(since) = state.connectivity.get().available_since(span) else {
        return;
    };
    let well = now.saturating_duration_since(since);
    for id in state
        .endpoints
        .borrow_mut()
        .registry_healthy_since(since, now)
    {
        log::info!(
            well_ms = well.as_millis() as u64;
            "board: endpoint {id} leaves, the store was well as {name} tells."
        );
    }
}

/// By this daemon's clock; `None` for what was before its host started.
fn hear_contact(told: digest::Contact, now: Instant) -> Option<ReachableSpan> {
    let at = |age: u32| now.checked_sub(Duration::from_millis(age.into()));
    Some(ReachableSpan {
        since: at(told.since_ms)?,
        last_answer: at(told.heard_ms)?,
    })
}

fn tell_move(word: MoveReport) -> digest::Move {
    let side = |side: VersionCounts| digest::Side {
        all: side.requests,
        bad: side.failures,
        time: side.time_s as f32,
    };
    let seen = |((route, slot), sides): (Key, Comparison)| digest::Seen {
        route,
        slot,
        old: Some(side(sides.old)),
        new: Some(side(sides.new)),
    };
    let outcome = match word.outcome {
        Outcome::Running => digest::Outcome::Running,
        Outcome::Completed => digest::Outcome::Completed,
        Outcome::RolledBack => digest::Outcome::RolledBack,
    };
    digest::Move {
        service: word.order.service.to_string(),
        target: word.order.target.to_string(),
        revision: word.order.revision,
        begin_ms: word.begin,
        finish_ms: word.finish,
        outcome: outcome.into(),
        seen: word.comparisons.into_iter().map(seen).collect(),
    }
}

fn hear_move(told: digest::Move) -> MoveReport {
    let side = |side: Option<digest::Side>| {
        side.map_or(VersionCounts::default(), |side| VersionCounts {
            requests: side.all,
            failures: side.bad,
            time_s: f64::from(side.time),
        })
    };
    let outcome = match told.outcome() {
        digest::Outcome::Running => Outcome::Running,
        digest::Outcome::Completed => Outcome::Completed,
        digest::Outcome::RolledBack => Outcome::RolledBack,
    };
    let seen = |seen: digest::Seen| {
        let sides = Comparison {
            old: side(seen.old),
            new: side(seen.new),
        };
        ((seen.route, seen.slot), sides)
    };
    MoveReport {
        order: Order {
            service: told.service.into(),
            target: told.target.into(),
            revision: told.revision,
        },
        begin: told.begin_ms,
        finish: told.finish_ms,
        outcome,
        comparisons: told.seen.into_iter().map(seen).collect(),
    }
}

/// Takes in what a watcher of another zone tells of it as a whole.
fn hear_zone(
    state: &State,
    zone: ZoneHash,
    told: &digest::ZoneUse,
    silent: Duration,
    now: Instant,
) {
    let row = |row: &digest::TeamUse| TeamRates {
        team: row.team,
        rate: f64::from(row.rate),
        demand: f64::from(row.asked),
    };
    let mut uses: Vec<TeamRates> = told.teams.iter().map(row).collect();
    uses.sort_by_key(|row| row.team);
    let summary = ZoneSummary {
        unresponsive: told.silent,
        teams: uses,
    };
    state
        .quota
        .borrow_mut()
        .merge_zone(zone, summary, silent, now);
    let uses = told.endpoints.iter().map(hear_use).collect();
    let mut table = state.endpoints.borrow_mut();
    table.apply_report(Reporter::Zone(zone), uses, now);
}

/// Takes in which report another daemon fixed. One of a window that has not begun would keep
/// all reports until then from being sent.
fn hear_fixed(usage: &mut Usage, told: UsageRecord, current: WindowId, name: &str) {
    if told.number > current {
        log::warn!(
            "duty: window {} that {name} tells has not begun.",
            told.number
        );
        return;
    }
    usage.merge_finalized(Report {
        window: told.number,
        counts: told.counts.into(),
    });
}

fn count((team, runs): &(CompactString, u32)) -> digest::Count {
    digest::Count {
        team: team.to_string(),
        runs: *runs,
    }
}

fn hear(state: &State, from: Ipv4Addr, digest: Digest) {
    let now = Instant::now();
    let name = CompactString::from(digest.name);
    let contact = digest.contact.and_then(|told| hear_contact(told, now));
    {
        let mut peers = state.peers.borrow_mut();
        if !peers.record_digest(from, &name, digest.incarnation, digest.sequence, now) {
            return;
        }
        if let Some(told) = digest.zone_use {
            let silent = peers.local_timeout();
            drop(peers);
            return hear_zone(state, digest.zone, &told, silent, now);
        }
        let place = Location {
            zone: digest.zone,
            memory_mb: digest.memory,
        };
        peers.update(from, place, contact);
        for peer in digest.peers {
            peers.add(Ipv4Addr::from(peer), now);
        }
    }
    if let Some(span) = contact {
        end_doubt(state, &name, span, now);
    }
    state.clock.borrow_mut().record(&name, digest.wall_ms, now);
    match digest.news.map(news::hear) {
        Some(Some(news)) => take_news(state, news, now),
        Some(None) => log::warn!("peers: news of {name} is not read."),
        None => {}
    }
    for told in &digest.limits {
        hear_limit(state, &name, told, now);
    }
    for told in digest.crashes {
        crash::merge(state, &name, told);
    }
    for content in digest.cleared {
        crash::merge_cleared(state, &name, content);
    }
    let uses = digest.endpoints.iter().map(hear_use).collect();
    let teller = Reporter::Daemon(digest.zone, name.clone());
    state.endpoints.borrow_mut().apply_report(teller, uses, now);
    for id in state.endpoints.borrow_mut().mark_leaving(&digest.left) {
        log::info!("board: endpoint {id} leaves, {name} tells.");
    }
    let work = digest.services.iter().map(|row| {
        let work = Work {
            read: f64::from(row.read),
            write: f64::from(row.write),
        };
        (row.service, work)
    });
    state.demand.borrow_mut().merge(&name, work.collect(), now);
    for told in digest.moves {
        let heard = hear_move(told);
        if state.rollouts.borrow_mut().merge(&name, &heard) {
            let order = &heard.order;
            log::info!(
                "rollout: {} to version {} has ended, {name} tells.",
                order.service,
                order.target
            );
            state.digest_due.notify_one();
        }
    }
    let mut usage = state.usage.borrow_mut();
    if let Some(told) = digest.fixed {
        hear_fixed(&mut usage, told, state.usage_window(now), &name);
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
    let told = PeerReport {
        name,
        zone: digest.zone,
        incarnation: digest.incarnation,
        received: now,
        started: now
            .checked_sub(Duration::from_millis(digest.uptime_ms))
            .unwrap_or(now),
        uses,
    };
    let silent = state.peers.borrow().timeout(told.zone);
    state.quota.borrow_mut().merge_report(&told, silent);
}
