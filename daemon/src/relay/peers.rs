//! Exchange of digests with the other daemons, as UDP datagrams.
//!
//! Which daemons get which part of the state follows from [`membership`]. A daemon sends
//! - its own use to the watchers of its zone,
//! - its counts of runs to the duty holder,
//! - as a watcher, the sums of its zone to the watchers of the other zones,
//! - as a watcher, the sums of the fleet and the changes of the store to the daemons of its zone,
//! - what it read of the store though it is no watcher, to the daemons of its zone,
//! - who runs and who watches to a few random daemons, and to those that ask for it.
//!
//! All parts are whole states: a datagram that is lost, late or duplicated does no harm. What is
//! urgent goes out at once, and watchers pass it on at once.
//!
//! [`membership`]: poplarvale_lib::relay::membership

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use poplarvale_lib::protos::relay::{Digest, digest};
use poplarvale_lib::relay::change_feed::ChangeFeed;
use poplarvale_lib::relay::limit::Source;
use poplarvale_lib::relay::membership::{PERIOD, Peers, sums_period};
use poplarvale_lib::relay::sharers::Sharers;
use poplarvale_lib::relay::startup::ASK_PERIOD as ASK_PERIOD_AT_START;
use prost::Message as _;
use tokio::net::UdpSocket;

use self::apply::{Replies, apply_digest};
pub(crate) use self::apply::{merge_moves, merge_roster};
use self::encode::{Scope, fleet_use, header, own_use, runs, shared, zone_use};
pub(crate) use self::encode::{moves_without_evidence, own_link, roster};
use super::state::State;

mod apply;
mod change_feed;
mod encode;

/// Largest datagram that is read. A longer one is truncated and cannot be decoded, so its sender
/// would seem unresponsive.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Time between digests to random daemons.
const PARTNER_PERIOD: Duration = Duration::from_secs(1);
/// The same while this daemon knows no watcher of its zone.
const ASK_PERIOD: Duration = Duration::from_millis(500);
/// Longest time between digests to the duty holder if nothing has changed.
const RUNS_PERIOD: Duration = Duration::from_secs(1);

/// Added to the time of a digest, so that what becomes due then is due.
const TIMER_SLACK: Duration = Duration::from_millis(1);

/// Receives digests until the process ends.
pub(crate) async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut bytes).await {
            Ok((len, from)) => match (Digest::decode(&bytes[..len]), from.ip()) {
                (Ok(digest), IpAddr::V4(from)) => {
                    let replies = apply_digest(&state, from, digest);
                    send_replies(&state, &socket, from, replies);
                }
                _ => log::warn!("peers: dropped a datagram from {from} that is no digest."),
            },
            // The socket reports an unreachable peer as an error of the next receive call.
            Err(error) => log::debug!("peers: receiving a datagram failed, {error}."),
        }
    }
}

/// When the digests are due that are not sent each period.
#[derive(Debug)]
struct Schedule {
    /// Sums to the daemons of the zone.
    sums: Instant,
    /// Digests to random daemons.
    partners: Instant,
    /// Counts to the duty holder, if nothing has changed.
    runs: Instant,
    /// Requests that were counted when the last counts were sent, and to whom these went.
    counted: (u64, Option<Ipv4Addr>),
}

/// Sends digests until the process ends.
pub(crate) async fn send(state: Rc<State>, socket: Rc<UdpSocket>) {
    let now = Instant::now();
    let mut schedule = Schedule {
        sums: now,
        partners: now,
        runs: now,
        counted: (0, None),
    };
    loop {
        let now = Instant::now();
        update_roles(&state, now);
        let left = std::mem::take(&mut *state.left_endpoints.borrow_mut());
        send_own(&state, &socket, &left, now);
        if state.peers.borrow().is_watcher() {
            send_zone_use(&state, &socket, &left, now);
            send_to_members(&state, &socket, &mut schedule, &left, now);
        }
        if state.feeds_zone.take() {
            send_to_zone(&state, &socket, &left, now);
        }
        send_runs(&state, &socket, &mut schedule, now);
        if now >= schedule.partners {
            schedule.partners = now + send_to_partners(&state, &socket, now);
        }
        let blind_from = state.peers.borrow().blind_from(state.store_heard());
        let is_blind_soon = |at: &Instant| (now..now + PERIOD).contains(at);
        let next = blind_from.filter(is_blind_soon).unwrap_or(now + PERIOD);
        let next = if state.start.asks(now) {
            now + ASK_PERIOD_AT_START
        } else {
            next
        };
        tokio::select! {
            () = tokio::time::sleep_until((next + TIMER_SLACK).into()) => {}
            () = state.digest_due.notified() => {}
        }
    }
}

/// Sends what the other daemons would not learn otherwise, right before the daemon ends.
pub(crate) fn send_last_digest(state: &State, socket: &UdpSocket) {
    let now = Instant::now();
    let (own_address, others, listeners) = {
        let mut peers = state.peers.borrow_mut();
        let mut others = peers.parents(now);
        others.extend(peers.partners(now, |count| fastrand::usize(..count)));
        let listeners = peers.members().chain(peers.remote_watchers());
        let listeners: Vec<Ipv4Addr> = listeners.map(|row| row.address).collect();
        let listeners = if peers.is_watcher() {
            listeners
        } else {
            Vec::new()
        };
        peers.close();
        (peers.own_address(), others, listeners)
    };
    send_own(state, socket, &[], now);
    // Who relied on this daemon as a watcher need not wait until its silence is noticed.
    for listener in listeners {
        let bytes = header(state, now).encode_to_vec();
        send_to(state, socket, listener, &bytes);
    }
    // If nobody holds the duties now, whoever takes them next finds the counts at a few others.
    let receivers = match state.holder.get() {
        Some((holder, _)) if holder == own_address => others,
        Some((holder, _)) => vec![holder],
        None => others,
    };
    let mut digest = header(state, now);
    runs(state, &mut digest, true, now);
    let bytes = digest.encode_to_vec();
    for receiver in receivers {
        send_to(state, socket, receiver, &bytes);
    }
}

/// Determines the watchers of the zone, and who shares the rates of endpoints.
pub(crate) fn update_roles(state: &State, now: Instant) {
    let mut peers = state.peers.borrow_mut();
    peers.expire(now);
    let was_watcher = peers.is_watcher();
    peers.record_store(state.store_heard(), now);
    peers.update_watchers(now);
    if was_watcher != peers.is_watcher() {
        let role = if was_watcher { "no longer " } else { "" };
        log::info!("peers: this daemon is {role}a watcher of its zone.");
        if !was_watcher {
            // Feeds have only the registry, and a watch returns only later changes.
            state.read_own.set(false);
        }
        state.read_store.notify_one();
    }
    state
        .quota
        .borrow_mut()
        .set_watcher(peers.is_watcher(), now);
    record_fleet(state, &peers, now);
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

/// Records among how many daemons the fixed numbers of the retry budgets and the slack of version
/// moves are divided. A daemon of a large fleet knows few others by address; the sums tell of the
/// others.
fn record_fleet(state: &State, peers: &Peers, now: Instant) {
    let known = (!peers.is_isolated()).then_some(peers.rows().len() + 1);
    let daemons = known.max(state.quota.borrow().fleet_size());
    state.budget.borrow_mut().record_fleet(daemons, now);
    state.rollouts.borrow_mut().record_fleet(daemons);
}

/// Sends this daemon's own state to the watchers of its zone.
fn send_own(state: &State, socket: &UdpSocket, left: &[u32], now: Instant) {
    let parents = state.peers.borrow().parents(now);
    let mut digest = header(state, now);
    digest.left = left.to_vec();
    shared(state, &mut digest, Source::Direct, Scope::Own, now);
    digest.own = Some(own_use(state, digest.sequence, now));
    digest.pull = pull(state, now);
    let bytes = digest.encode_to_vec();
    for parent in parents {
        send_to(state, socket, parent, &bytes);
    }
}

/// Sends the sums of this zone to the watchers of the other zones.
fn send_zone_use(state: &State, socket: &UdpSocket, left: &[u32], now: Instant) {
    let watchers: Vec<Ipv4Addr> = {
        let peers = state.peers.borrow();
        peers.remote_watchers().map(|row| row.address).collect()
    };
    if watchers.is_empty() {
        return;
    }
    let mut digest = header(state, now);
    digest.left = left.to_vec();
    shared(state, &mut digest, Source::Zone, Scope::Relayed, now);
    digest.zone_use = Some(zone_use(state, digest.sequence, now));
    digest.pull = pull(state, now);
    let zones = state.peers.borrow_mut().zone_roster(now);
    digest.roster = Some(roster(zones, Vec::new()));
    let bytes = digest.encode_to_vec();
    for watcher in watchers {
        send_to(state, socket, watcher, &bytes);
    }
}

/// Sends the changes of the store to the daemons of this zone and, when they are due, the sums of
/// the fleet to those that rely on this watcher.
fn send_to_members(
    state: &State,
    socket: &UdpSocket,
    schedule: &mut Schedule,
    left: &[u32],
    now: Instant,
) {
    let (own_address, members) = {
        let peers = state.peers.borrow();
        let members: Vec<_> = peers
            .members()
            .map(|row| (row.address, row.use_sequence(), row.follows()))
            .collect();
        (peers.own_address(), members)
    };
    if members.is_empty() {
        return;
    }
    let mut digest = header(state, now);
    digest.left = left.to_vec();
    shared(state, &mut digest, Source::Fleet, Scope::Relayed, now);
    let feed = state.store_progress.borrow().feed(now);
    digest.news = feed.map(|feed| news(state, feed, now));
    let short = digest.encode_to_vec();
    let is_due = now >= schedule.sums;
    let sums = is_due.then(|| {
        let mut sums = fleet_use(state, now);
        let period = sums_period(sums.encoded_len());
        sums.period_ms = period.as_millis() as u32;
        schedule.sums = now + period;
        let mut peers = state.peers.borrow_mut();
        let zones = peers.fleet_roster(period, now);
        let candidates = peers.candidates(peers.own_location().zone, now);
        digest.roster = Some(roster(zones, candidates));
        digest.fleet_use = Some(sums);
        digest.encode_to_vec()
    });
    for (member, seen, follows) in members {
        let relies = follows.is_none_or(|address| address == own_address);
        let bytes = sums.as_ref().filter(|_| relies).unwrap_or(&short);
        // Fields that are appended to a message belong to it.
        let part = Digest {
            seen,
            ..Digest::default()
        };
        let mut bytes = bytes.clone();
        bytes.extend_from_slice(&part.encode_to_vec());
        send_to(state, socket, member, &bytes);
    }
}

/// Sends the changes of the store to all daemons of this zone, whoever its watchers are.
fn send_to_zone(state: &State, socket: &UdpSocket, left: &[u32], now: Instant) {
    let Some(feed) = state.store_progress.borrow().feed(now) else {
        return;
    };
    let mut digest = header(state, now);
    digest.left = left.to_vec();
    digest.news = Some(news(state, feed, now));
    let bytes = digest.encode_to_vec();
    let daemons = state.peers.borrow().local_addresses();
    for daemon in daemons {
        send_to(state, socket, daemon, &bytes);
    }
}

/// What this daemon misses of the registry, if it does not know what the store held a moment ago.
fn pull(state: &State, now: Instant) -> Option<digest::Pull> {
    let progress = state.store_progress.borrow();
    let is_needed = !progress.is_fresh(now) && !state.start.is_reading(now);
    is_needed.then(|| change_feed::encode_pull(progress.pull()))
}

/// Completes a feed by what the endpoint table has of it.
fn news(state: &State, feed: ChangeFeed, now: Instant) -> digest::News {
    let table = state.endpoints.borrow();
    let feed = ChangeFeed {
        checksum: table.checksum(),
        grace: table.grace_left(now),
        evacuated: Some(table.evacuated().to_vec()),
        ..feed
    };
    change_feed::encode(feed, now)
}

/// Answers a digest.
fn send_replies(state: &State, socket: &UdpSocket, to: Ipv4Addr, replies: Replies) {
    let now = Instant::now();
    if replies.roster {
        send_roster(state, socket, to, now);
    }
    let page = replies.page.and_then(|pull| {
        let progress = state.store_progress.borrow();
        progress.page(pull, now)
    });
    if page.is_none() && !replies.pull {
        return;
    }
    let mut digest = header(state, now);
    digest.news = page.map(|page| news(state, page, now));
    if replies.pull {
        let progress = state.store_progress.borrow();
        digest.pull = Some(change_feed::encode_pull(progress.pull()));
    }
    send_to(state, socket, to, &digest.encode_to_vec());
}

/// Sends this daemon's counts of runs to the duty holder, if they have changed or were not sent for a
/// while.
fn send_runs(state: &State, socket: &UdpSocket, schedule: &mut Schedule, now: Instant) {
    let own_address = state.peers.borrow().own_address();
    let Some((holder, _)) = state.holder.get().filter(|row| row.0 != own_address) else {
        return;
    };
    let counted = (state.usage.borrow().counted(), Some(holder));
    if counted == schedule.counted && now < schedule.runs {
        return;
    }
    let is_new_holder = schedule.counted.1 != Some(holder);
    schedule.counted = counted;
    schedule.runs = now + RUNS_PERIOD;
    let mut digest = header(state, now);
    runs(state, &mut digest, is_new_holder, now);
    send_to(state, socket, holder, &digest.encode_to_vec());
}

/// Sends who runs and who watches to a few daemons; returns the time until the next time.
fn send_to_partners(state: &State, socket: &UdpSocket, now: Instant) -> Duration {
    let (partners, asks) = {
        let peers = state.peers.borrow();
        let partners = peers.partners(now, |count| fastrand::usize(..count));
        (partners, peers.must_ask(now))
    };
    for partner in partners {
        send_roster(state, socket, partner, now);
    }
    if asks { ASK_PERIOD } else { PARTNER_PERIOD }
}

/// Sends a daemon who runs in its zone and who watches.
fn send_roster(state: &State, socket: &UdpSocket, to: Ipv4Addr, now: Instant) {
    let mut digest = header(state, now);
    let peers = state.peers.borrow();
    digest.asks = peers.must_ask(now);
    let location = peers.get(to).and_then(|row| row.location);
    let zone = location.unwrap_or_else(|| peers.own_location()).zone;
    digest.roster = Some(roster(Vec::new(), peers.candidates(zone, now)));
    drop(peers);
    send_to(state, socket, to, &digest.encode_to_vec());
}

fn send_to(state: &State, socket: &UdpSocket, peer: Ipv4Addr, bytes: &[u8]) {
    let to = SocketAddr::new(IpAddr::V4(peer), state.settings.peers.port());
    if let Err(error) = socket.try_send_to(bytes, to) {
        log::debug!("peers: sending a digest to {peer} failed, {error}.");
    }
}
