//! Which peers a daemon calls in a round.
//!
//! Each round, a daemon makes an exchange with one random peer of its zone. If
//! all daemons called any other one, most traffic would cross zones and
//! regions, where it costs money and fails in a partition. So the daemons of a
//! zone together start only [`CROSS_ZONE_CALLS`] exchanges with other zones in
//! a round. Each daemon takes its part of them at random, and calls a random
//! daemon of the other zone. With three fixed bridges in each zone instead,
//! those carry everything that comes from outside: in the benchmark with 400
//! daemons, the most loaded bridge took twice the mean.
//!
//! Urgent rows can't wait for random calls. They enter a zone at its
//! [`BRIDGES_PER_ZONE`] bridges, the live daemons with the highest rendezvous
//! hash for the writer's zone.
//!
//! Some calls go to unresponsive daemons and to the seeds. Without them, two
//! sides of a partition that each consider the other dead would never reconnect
//! after it heals; the symptom would be two disjoint lists of live daemons.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gossip::{Peer, Replica, Scope};
use crate::protos::peer;

/// Time between rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// Daemons of a zone to which an urgent row from another zone is pushed.
///
/// Two, because one may have died and not be detected yet.
pub const BRIDGES_PER_ZONE: usize = 2;

/// Exchanges that the daemons of a zone start with other zones in a round, half
/// of them within the region if it has other zones.
///
/// With three, an ordinary row took up to 17.8 s to reach the last of 400
/// daemons in the benchmark; with five 14.7 s, for 4% more bytes. More than one
/// for each daemon of a zone is not possible.
const CROSS_ZONE_CALLS: f64 = 5.0;

/// Rounds after which a zone calls each of its unresponsive peers again.
///
/// Counted for the zone as a whole, as otherwise a large zone would send too
/// many calls to its few unresponsive peers: most of these are gone, and
/// another daemon may have their address.
const RETRY_ROUNDS: f64 = 4.0;

/// One in this many cross-zone rounds of a daemon also calls a seed.
const SEED_CALL_EVERY: u32 = 8;

/// A message to send to another daemon.
#[proc_macros::row]
pub struct Call {
    /// Its address.
    pub to: SocketAddr,
    /// What to send.
    pub message: Message,
}

/// What a call carries.
#[proc_macros::row]
pub enum Message {
    /// Digest, to be answered.
    Exchange(peer::Digest),
    /// Urgent rows.
    Push(peer::Push),
}

impl Replica {
    /// Calls of this round.
    ///
    /// Call [`Self::advance`] first. Each answer goes to [`Self::merge`]; the
    /// digest of what the answerer wants goes through [`Self::answer`], and the
    /// result back to it.
    pub fn round(&self, now: Instant, rng: &mut fastrand::Rng) -> Vec<Call> {
        let mut calls = Vec::new();
        let near = self.zone_peer(now, rng);
        calls.extend(near.map(|p| self.exchange(now, p)));
        if rng.f64() < self.cross_zone_chance(now) {
            let far = self.cross_zone_peer(now, rng);
            calls.extend(far.map(|p| self.exchange(now, p)));
            // A daemon that calls other zones also looks for daemons that it
            // does not know.
            let is_seed = rng.u32(..SEED_CALL_EVERY) == 0;
            calls.extend(is_seed.then(|| self.seed_call(now, rng)).flatten());
        }
        if calls.is_empty() {
            calls.extend(self.seed_call(now, rng));
        }
        calls
    }

    /// Live bridges of each other zone within a scope of this daemon, for rows
    /// of this zone.
    pub(crate) fn bridges_by_zone(&self, now: Instant, scope: Scope) -> Vec<Vec<&Peer>> {
        let mut zones = self.peers_by_zone(scope);
        for peers in &mut zones {
            peers.retain(|p| self.is_live(p, now));
            keep_bridges(peers, &self.me().zone);
        }
        zones.retain(|peers| !peers.is_empty());
        zones
    }

    /// Known daemons of each other zone within a scope of this daemon.
    fn peers_by_zone(&self, scope: Scope) -> Vec<Vec<&Peer>> {
        let me = self.me();
        let mut peers: Vec<_> = self
            .known()
            .filter(|p| me.receives(scope, p) && !p.is_same_zone(me))
            .collect();
        peers.sort_unstable_by_key(|p| (&p.region, &p.zone, p.incarnation));
        let zones = peers.chunk_by(|a, b| a.is_same_zone(b));
        zones.map(<[&Peer]>::to_vec).collect()
    }

    fn zone_peer(&self, now: Instant, rng: &mut fastrand::Rng) -> Option<&Peer> {
        let me = self.me();
        let others = self
            .known()
            .filter(|p| p.is_same_zone(me) && p.incarnation != me.incarnation);
        let (live, mut unresponsive): (Vec<_>, Vec<_>) = others.partition(|p| self.is_live(p, now));
        unresponsive.retain(|p| live.iter().all(|l| l.address != p.address));
        let chance = unresponsive.len() as f64 / (live.len() + 1) as f64 / RETRY_ROUNDS;
        let is_retry = live.is_empty() || rng.f64() < chance;
        rng.choice(if is_retry { unresponsive } else { live })
    }

    /// Probability that this daemon makes a cross-zone call of its zone in this
    /// round.
    fn cross_zone_chance(&self, now: Instant) -> f64 {
        let me = self.me();
        let near = self.live(now).filter(|p| p.is_same_zone(me)).count();
        CROSS_ZONE_CALLS / near.max(1) as f64
    }

    /// Random daemon of another zone, a live one if there is any.
    fn cross_zone_peer(&self, now: Instant, rng: &mut fastrand::Rng) -> Option<&Peer> {
        let me = self.me();
        let zones = self.peers_by_zone(Scope::Everywhere);
        let (inner, outer): (Vec<_>, Vec<_>) =
            zones.into_iter().partition(|z| z[0].region == me.region);
        let is_inner = outer.is_empty() || (!inner.is_empty() && rng.bool());
        let mut peers = rng.choice(if is_inner { inner } else { outer })?;
        if peers.iter().any(|p| self.is_live(p, now)) {
            peers.retain(|p| self.is_live(p, now));
        }
        rng.choice(peers)
    }

    /// Call to a seed that is not among the live daemons.
    fn seed_call(&self, now: Instant, rng: &mut fastrand::Rng) -> Option<Call> {
        let seeds = &self.setup.seeds;
        let unknown: Vec<_> = seeds
            .iter()
            .filter(|s| **s != self.me().address)
            .filter(|s| self.live(now).all(|p| p.address != **s))
            .collect();
        let to = *rng.choice(unknown)?;
        let digest = self.digest(now, None);
        Some(Call {
            to,
            message: Message::Exchange(digest),
        })
    }

    fn exchange(&self, now: Instant, peer: &Peer) -> Call {
        Call {
            to: peer.address,
            message: Message::Exchange(self.digest(now, Some(peer))),
        }
    }

    fn is_live(&self, peer: &Peer, now: Instant) -> bool {
        let origin = self.origins.get(&peer.incarnation);
        origin.is_some_and(|o| o.is_live(self.me(), now))
    }
}

/// Keeps the peers of a zone with the highest rendezvous hashes for another
/// zone, the highest first.
fn keep_bridges(peers: &mut Vec<&Peer>, to: &str) {
    let seed = xxh3_64(to.as_bytes());
    peers.sort_unstable_by_key(|p| {
        let hash = xxh3_64_with_seed(&p.incarnation.to_le_bytes(), seed);
        std::cmp::Reverse((hash, p.incarnation))
    });
    peers.truncate(BRIDGES_PER_ZONE);
}
