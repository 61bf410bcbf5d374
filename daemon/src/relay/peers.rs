//! Digests to and from the other daemons.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use poplarvale_lib::protos::relay::{Digest, digest};
use poplarvale_lib::relay::board::Others;
use poplarvale_lib::relay::contact::Span;
use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::quota::{Told, Use, short};
use poplarvale_lib::relay::rollout::evidence::{Key, Side, Sides};
use poplarvale_lib::relay::rollout::{Order, Outcome, Word};
use prost::Message as _;
use tokio::net::UdpSocket;

use super::state::State;

/// Every how many digests the other daemons and all usage windows are told; the
/// window that ended last is told each time, as its report is due next.
const WHOLE: u64 = 4;
/// Largest datagram that is read, in bytes.
const MOST: usize = 16 * 1024;

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
    loop {
        state.peers.borrow_mut().expire(Instant::now());
        let sequence = state.next_digest();
        tell(&state, &socket, sequence, sequence.is_multiple_of(WHOLE));
        let period = state.peers.borrow().period();
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = state.news.notified() => {}
        }
    }
}

/// Sends the last digest of a daemon that ends. What it counted since the last whole one
/// would be lost with it, and teams charged for less than they used.
pub(crate) fn tell_last(state: &State, socket: &UdpSocket) {
    tell(state, socket, state.next_digest(), true);
}

fn tell(state: &State, socket: &UdpSocket, sequence: u64, whole: bool) {
    let bytes = digest(state, sequence, whole, Instant::now()).encode_to_vec();
    for peer in state.peers.borrow().rows() {
        let to = SocketAddr::new(IpAddr::V4(peer.address), state.site.peers.port());
        if let Err(error) = socket.try_send_to(&bytes, to) {
            log::debug!("peers: nothing sent to {}, {error}.", peer.address);
        }
    }
}

fn digest(state: &State, sequence: u64, whole: bool, now: Instant) -> Digest {
    let quota = state.quota.borrow();
    let teams = quota.tell(now).into_iter().map(|row| digest::TeamUse {
        team: row.team,
        units: row.units as u32,
        rate: row.rate as u32,
        total: row.total,
        asked: row.asked as u32,
    });
    let board = state.board.borrow();
    let busy = board.rows().iter().filter(|row| !row.flights.is_empty());
    let endpoints = busy.map(|row| digest::EndpointUse {
        endpoint: short(&row.listing.id),
        requests: row.flights.len() as u32,
        tokens: (row.backlog() - row.others.tokens).max(0.0) as u32,
    });
    let usage = state.usage.borrow();
    let current = state.window_at(now);
    let windows = usage.mine();
    let windows = windows.filter(|(number, _)| whole || number + 1 == current);
    let windows = windows.map(|(number, counts)| digest::Window {
        number,
        counts: counts.iter().map(count).collect(),
    });
    let demand = state.demand.borrow().tell(now);
    let services = demand
        .into_iter()
        .map(|(service, work)| digest::ServiceWork {
            service,
            read: work.read as u32,
            write: work.write as u32,
        });
    let others = if whole {
        state.peers.borrow().lately(now)
    } else {
        Vec::new()
    };
    Digest {
        name: state.site.name.to_string(),
        incarnation: state.incarnation,
        sequence,
        wall_ms: State::wall(),
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
        left: std::mem::take(&mut *state.left.borrow_mut()),
        uptime_ms: state.started.elapsed().as_millis() as u64,
        moves: state.rollouts.borrow().tell().map(tell_move).collect(),
        contact: state
            .contact
            .get()
            .span()
            .map(|span| tell_contact(span, now)),
    }
}

fn tell_contact(span: Span, now: Instant) -> digest::Contact {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis();
    let age = |at| u32::try_from(age(at)).unwrap_or(u32::MAX);
    digest::Contact {
        since_ms: age(span.since),
        heard_ms: age(span.heard),
    }
}

/// Ends doubt about endpoints, or shortens it, if another daemon had the store while
/// this one did not.
fn end_doubt(state: &State, name: &str, span: Span, now: Instant) {
    let Some(since) = state.contact.get().well_since(span) else {
        return;
    };
    let well = now.saturating_duration_since(since);
    for id in state.board.borrow_mut().well_since(since, now) {
        log::info!(
            well_ms = well.as_millis() as u64;
            "board: endpoint {id} leaves, the store was well as {name} tells."
        );
    }
}

/// By this daemon's clock; `None` for what was before its host started.
fn hear_contact(told: digest::Contact, now: Instant) -> Option<Span> {
    let at = |age: u32| now.checked_sub(Duration::from_millis(age.into()));
    Some(Span {
        since: at(told.since_ms)?,
        heard: at(told.heard_ms)?,
    })
}

fn tell_move(word: Word) -> digest::Move {
    let side = |side: Side| digest::Side {
        all: side.all,
        bad: side.bad,
        time: side.time as f32,
    };
    let seen = |((route, slot), sides): (Key, Sides)| digest::Seen {
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
        seen: word.sides.into_iter().map(seen).collect(),
    }
}

fn hear_move(told: digest::Move) -> Word {
    let side = |side: Option<digest::Side>| {
        side.map_or(Side::default(), |side| Side {
            all: side.all,
            bad: side.bad,
            time: f64::from(side.time),
        })
    };
    let outcome = match told.outcome() {
        digest::Outcome::Running => Outcome::Running,
        digest::Outcome::Completed => Outcome::Completed,
        digest::Outcome::RolledBack => Outcome::RolledBack,
    };
    let seen = |seen: digest::Seen| {
        let sides = Sides {
            old: side(seen.old),
            new: side(seen.new),
        };
        ((seen.route, seen.slot), sides)
    };
    Word {
        order: Order {
            service: told.service.into(),
            target: told.target.into(),
            revision: told.revision,
        },
        begin: told.begin_ms,
        finish: told.finish_ms,
        outcome,
        sides: told.seen.into_iter().map(seen).collect(),
    }
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
        if !peers.hear(from, &name, digest.incarnation, digest.sequence, now) {
            return;
        }
        peers.tell_contact(from, contact);
        for peer in digest.peers {
            peers.learn(Ipv4Addr::from(peer), now);
        }
    }
    if let Some(span) = contact {
        end_doubt(state, &name, span, now);
    }
    state.clock.borrow_mut().hear(&name, digest.wall_ms, now);
    let uses = digest.endpoints.iter().map(|row| {
        let others = Others {
            requests: row.requests,
            tokens: f64::from(row.tokens),
        };
        (row.endpoint, others)
    });
    state.board.borrow_mut().hear(&name, uses.collect(), now);
    for id in state.board.borrow_mut().heard_left(&digest.left) {
        log::info!("board: endpoint {id} leaves, {name} tells.");
    }
    let work = digest.services.iter().map(|row| {
        let work = Work {
            read: f64::from(row.read),
            write: f64::from(row.write),
        };
        (row.service, work)
    });
    state.demand.borrow_mut().hear(&name, work.collect(), now);
    for told in digest.moves {
        let heard = hear_move(told);
        if state.rollouts.borrow_mut().hear(&name, &heard) {
            let order = &heard.order;
            log::info!(
                "rollout: {} to version {} has ended, {name} tells.",
                order.service,
                order.target
            );
            state.news.notify_one();
        }
    }
    let mut usage = state.usage.borrow_mut();
    for window in digest.windows {
        let row = |count: digest::Count| (CompactString::from(count.team), count.runs);
        let counts = window.counts.into_iter().map(row).collect();
        usage.hear(window.number, (name.clone(), digest.incarnation), counts);
    }
    let row = |row: &digest::TeamUse| Use {
        team: row.team,
        units: f64::from(row.units),
        total: row.total,
        rate: f64::from(row.rate),
        asked: f64::from(row.asked),
    };
    let mut uses: Vec<Use> = digest.teams.iter().map(row).collect();
    uses.sort_by_key(|row| row.team);
    let told = Told {
        name,
        incarnation: digest.incarnation,
        heard: now,
        started: now
            .checked_sub(Duration::from_millis(digest.uptime_ms))
            .unwrap_or(now),
        uses,
    };
    let silent = state.peers.borrow().silent();
    state.quota.borrow_mut().hear(&told, silent);
}
