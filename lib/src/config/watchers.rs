//! Which daemons of a zone watch the key-value service.
//!
//! Every watch counts as a call to the service, so only two daemons of a zone
//! hold one: a single one could die unnoticed, and with more the number of
//! calls would grow with the fleet. Each daemon computes the choice by
//! rendezvous hashing over the peers it sees live, without messages; while
//! views differ for a moment, a third daemon watches too, which costs one call
//! and does no harm.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Peer;
use crate::ids::Incarnation;

/// Watchers of a zone.
pub const WATCHERS_PER_ZONE: usize = 2;

/// The daemons that should watch for a zone, in order of preference.
pub fn watchers(zone: &str, peers: &[Peer]) -> Vec<Incarnation> {
    let live = peers.iter().filter(|peer| peer.zone == zone);
    let mut ranked: Vec<_> = live
        .map(|peer| (rank(zone, peer.incarnation), peer.incarnation))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.dedup();
    ranked.truncate(WATCHERS_PER_ZONE);
    ranked.into_iter().map(|(_, id)| id).collect()
}

fn rank(zone: &str, incarnation: Incarnation) -> u64 {
    xxh3_64_with_seed(zone.as_bytes(), incarnation)
}
