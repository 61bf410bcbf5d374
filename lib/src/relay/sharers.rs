//! Which daemons share the rate that an endpoint takes from all of them together.
//!
//! Daemons choose the sharers of an endpoint without coordination, by rendezvous hashing over
//! the daemons that they know.

use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Daemons among which sharers are chosen, as this one knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sharers {
    /// This daemon.
    pub me: Ipv4Addr,
    /// Other daemons.
    pub others: Vec<Ipv4Addr>,
    /// Whether there are others, but none was heard from since the start.
    pub is_isolated: bool,
}

impl Default for Sharers {
    fn default() -> Self {
        Self {
            me: Ipv4Addr::UNSPECIFIED,
            others: Vec::new(),
            is_isolated: false,
        }
    }
}

impl Sharers {
    /// Whether this daemon is one of the `count` sharers of an endpoint.
    ///
    /// A daemon that heard from nobody knows only the seeds of its settings. Among those it would
    /// be a sharer of most endpoints, like every other daemon that starts in isolation.
    pub(crate) fn is_sharer(&self, endpoint: u32, count: usize) -> bool {
        if self.is_isolated {
            return false;
        }
        let rank = |daemon: Ipv4Addr| (rank(endpoint, daemon), daemon);
        let own_rank = rank(self.me);
        let before = self.others.iter().filter(|other| rank(**other) < own_rank);
        before.count() < count
    }

    /// The `count` sharers of an endpoint, without this daemon.
    pub(crate) fn other_sharers(&self, endpoint: u32, count: usize) -> Vec<Ipv4Addr> {
        let all = self.others.iter().chain([&self.me]);
        let mut all: Vec<(u64, Ipv4Addr)> = all
            .map(|daemon| (rank(endpoint, *daemon), *daemon))
            .collect();
        if count < all.len() {
            all.select_nth_unstable(count);
            all.truncate(count);
        }
        let all = all.into_iter().map(|(_, daemon)| daemon);
        all.filter(|daemon| *daemon != self.me).collect()
    }
}

/// Rank of a daemon for an endpoint; the lowest ranks share its rate.
pub(crate) fn rank(endpoint: u32, daemon: Ipv4Addr) -> u64 {
    xxh3_64_with_seed(&daemon.octets(), u64::from(endpoint))
}
