//! Limits that endpoints in need name, kept by all daemons together.
//!
//! Load: an endpoint that can take a request a second, before many daemons that each have
//! more for it. Each that hears the limit and keeps it by itself sends as much as all of them
//! may. Equal shares among hundreds of daemons would be a request in minutes, and what gathers
//! in all of them comes out at once.
//!
//! So a few daemons share what an endpoint takes, chosen without talk by rendezvous hashing
//! over those that are heard, and the others send it nothing. They are so many that even if
//! all send at once what they have gathered, that is little beside the limit. Daemons tell one
//! another what endpoints name, newest first, so that those learn of it that do not send there
//! any more.
//!
//! A limit has no end of its own: only an answer without one tells that the need is over.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Daemons that share a limit beside one for each request a second.
const SPARE: usize = 3;
/// Least rate that is shared, in requests a second. An endpoint that takes nothing would
/// never be heard to take more again.
const LEAST: f64 = 0.25;
/// Depth of a share, in seconds of its rate; at least one request.
const DEPTH: f64 = 0.25;
/// How long it is told that an endpoint names no limit any more.
const TOLD: Duration = Duration::from_secs(10);

/// The daemons that share limits, as this one knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sharers {
    /// This daemon.
    pub me: Ipv4Addr,
    /// Those that it heard lately.
    pub others: Vec<Ipv4Addr>,
}

impl Default for Sharers {
    fn default() -> Self {
        Self {
            me: Ipv4Addr::UNSPECIFIED,
            others: Vec::new(),
        }
    }
}

impl Sharers {
    /// Requests a second that this daemon may send to an endpoint which takes `rate`.
    fn share(&self, endpoint: u32, rate: f64) -> f64 {
        let rate = rate.max(LEAST);
        let most = (rate as usize).saturating_add(SPARE);
        let count = most.min(self.others.len() + 1);
        let rank = |daemon: &Ipv4Addr| {
            let seed = u64::from(endpoint);
            (xxh3_64_with_seed(&daemon.octets(), seed), *daemon)
        };
        let mine = rank(&self.me);
        let before = self.others.iter().filter(|other| rank(other) < mine);
        if before.count() < count {
            rate / count as f64
        } else {
            0.0
        }
    }
}

/// What an endpoint said of its limit, as daemons tell it to one another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Said {
    /// Requests a second that it takes from all daemons together; `None` if it has no need.
    pub rate: Option<f64>,
    /// When it said so.
    pub heard: Instant,
}

/// A daemon's part of what an endpoint takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    said: Said,
    /// Whether the endpoint said it to this daemon.
    is_own: bool,
    /// Requests a second that this daemon may send.
    share: f64,
    /// Requests that it may send, as of `filled`.
    tokens: f64,
    filled: Instant,
}

impl Limit {
    /// Takes in what an endpoint said; `held` is what was known of it. Gives `None` if that
    /// is newer.
    #[must_use]
    pub fn hear(
        held: Option<&Self>,
        endpoint: u32,
        said: Said,
        is_own: bool,
        sharers: &Sharers,
    ) -> Option<Self> {
        if held.is_some_and(|held| held.said.heard >= said.heard) {
            return None;
        }
        let mut limit = match held {
            Some(held) if held.said.rate.is_some() => Self {
                said,
                is_own,
                ..held.clone()
            },
            // What was sent before it was known is not known either: nothing is in hand.
            _ => Self {
                said,
                is_own,
                share: 0.0,
                tokens: 0.0,
                filled: said.heard,
            },
        };
        limit.divide(endpoint, sharers, said.heard.max(limit.filled));
        Some(limit)
    }

    /// Takes in which daemons share it now.
    pub fn divide(&mut self, endpoint: u32, sharers: &Sharers, now: Instant) {
        // What has gathered so far did so by the former share.
        self.tokens = self.tokens(now);
        self.filled = now;
        self.share = self
            .said
            .rate
            .map_or(0.0, |rate| sharers.share(endpoint, rate));
    }

    /// Requests a second that the endpoint takes from all daemons together.
    pub fn rate(&self) -> Option<f64> {
        self.said.rate
    }

    /// When the endpoint said so.
    pub fn heard(&self) -> Instant {
        self.said.heard
    }

    /// What this daemon tells the others of it, if there is something to tell.
    pub fn tell(&self, now: Instant) -> Option<Said> {
        let is_new = now.saturating_duration_since(self.said.heard) < TOLD;
        (self.is_own && (self.said.rate.is_some() || is_new)).then_some(self.said)
    }

    /// Whether this daemon may send a request now.
    ///
    /// # Errors
    /// The time until it may, by its present share.
    pub fn check(&self, now: Instant) -> Result<(), Duration> {
        if self.said.rate.is_none() {
            return Ok(());
        }
        let missing = 1.0 - self.tokens(now);
        if missing <= 0.0 {
            return Ok(());
        }
        Err(Duration::try_from_secs_f64(missing / self.share).unwrap_or(Duration::MAX))
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Instant) {
        self.tokens = (self.tokens(now) - 1.0).max(0.0);
        self.filled = now;
    }

    fn tokens(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.filled).as_secs_f64();
        let depth = (self.share * DEPTH).max(1.0);
        (self.tokens + since * self.share).min(depth)
    }
}
