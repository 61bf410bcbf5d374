//! Rate limits that overloaded endpoints announce, divided among the daemons.
//!
//! Consider an endpoint that can take one request a second, and many daemons that each have
//! more requests for it. If each daemon that learns of the limit kept to it independently, each
//! would send as much as all of them together may. Equal shares among hundreds of daemons would
//! be one request every few minutes each, and the tokens that accumulate at all of them could
//! be spent at once.
//!
//! So a few daemons share the limit of an endpoint, and the others send it nothing. The sharers
//! are chosen without coordination, by rendezvous hashing over the daemons that were received
//! from lately. They are few enough that even if all of them spend their accumulated tokens at
//! once, that is little compared with the limit. A daemon whose share does not cover its callers
//! forwards requests to other sharers. Daemons also report to each other what
//! endpoints announced, and the newest report wins, so that those that no longer send to an
//! endpoint learn of a change.
//!
//! A limit does not expire: only an answer without one shows that the overload is over.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use super::sharers::Sharers;
use super::token_bucket::TokenBucket;

/// Number of daemons that share a limit, in addition to one for each request a second.
const EXTRA_SHARERS: usize = 3;
/// Least rate that is shared, in requests a second. Without it, an endpoint that takes nothing
/// would get no request, and its answer could never show that it takes more again.
const MIN_RATE: f64 = 0.25;
/// Burst of a share, in seconds of its rate; at least one request.
const BURST_S: f64 = 0.25;
/// How long a daemon reports that an endpoint announces no limit any more.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(10);

/// Limit that an endpoint announced, as daemons report it to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncedLimit {
    /// Requests a second that it takes from all daemons together; `None` if it announces no
    /// limit.
    pub rate: Option<f64>,
    /// When the endpoint announced it.
    pub at: Instant,
}

/// From whom a daemon learned of a limit. Daemons pass it on only towards those that are further
/// away; in a cycle its age would be measured anew on each hop, and it would seem to be newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// From the endpoint.
    Direct,
    /// From a daemon of its zone.
    Zone,
    /// From a watcher of another zone, or from a watcher as one of its daemons.
    Fleet,
}

/// This daemon's share of an endpoint's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    announced: AnnouncedLimit,
    source: Source,
    /// Tokens for the requests that this daemon may send.
    bucket: TokenBucket,
}

impl Limit {
    /// Merges an announcement of an endpoint with what is known of its limit. Returns `None` if
    /// the known one is at least as new.
    #[must_use]
    pub fn merge(
        known: Option<&Self>,
        endpoint: u32,
        announced: AnnouncedLimit,
        source: Source,
        sharers: &Sharers,
    ) -> Option<Self> {
        if known.is_some_and(|known| known.announced.at >= announced.at) {
            return None;
        }
        let mut limit = match known {
            Some(known) if known.announced.rate.is_some() => Self {
                announced,
                source,
                ..known.clone()
            },
            // What this daemon sent before it learned of the limit is unknown, so it starts
            // without tokens.
            _ => Self {
                announced,
                source,
                bucket: TokenBucket::empty(0.0, 0.0, announced.at),
            },
        };
        limit.update_share(endpoint, sharers, announced.at);
        Some(limit)
    }

    /// Recomputes this daemon's share for a new set of sharers.
    pub fn update_share(&mut self, endpoint: u32, sharers: &Sharers, now: Instant) {
        let rate = self.announced.rate;
        let share = rate.map_or(0.0, |rate| share(endpoint, rate, sharers));
        self.bucket.set_rate(share, (share * BURST_S).max(1.0), now);
    }

    /// Requests a second that the endpoint takes from all daemons together; `None` without a
    /// limit.
    pub fn rate(&self) -> Option<f64> {
        self.announced.rate
    }

    /// When the endpoint announced the limit.
    pub fn announced_at(&self) -> Instant {
        self.announced.at
    }

    /// What this daemon reports of the limit to the others, if it learned of it from `scope` or
    /// nearer; `None` if nothing.
    pub fn report(&self, scope: Source, now: Instant) -> Option<AnnouncedLimit> {
        let is_new = now.saturating_duration_since(self.announced.at) < WITHDRAWAL_TIME;
        (self.source <= scope && (self.announced.rate.is_some() || is_new))
            .then_some(self.announced)
    }

    /// Whether this daemon may send a request now.
    ///
    /// # Errors
    /// Returns the time until it may, at its present share.
    pub fn check(&self, now: Instant) -> Result<(), Duration> {
        if self.announced.rate.is_none() {
            return Ok(());
        }
        match self.bucket.wait(now) {
            Duration::ZERO => Ok(()),
            wait => Err(wait),
        }
    }

    /// Takes a token for a request that is sent.
    pub fn take(&mut self, now: Instant) {
        self.bucket.take(now);
    }

    /// The other daemons that share the limit.
    pub(crate) fn other_sharers(&self, endpoint: u32, sharers: &Sharers) -> Vec<Ipv4Addr> {
        let rate = self.announced.rate.unwrap_or_default();
        sharers.other_sharers(endpoint, sharer_count(rate, sharers))
    }
}

/// Requests a second that this daemon may send to an endpoint that takes `rate` in all.
fn share(endpoint: u32, rate: f64, sharers: &Sharers) -> f64 {
    let count = sharer_count(rate, sharers);
    if sharers.is_sharer(endpoint, count) {
        rate.max(MIN_RATE) / count as f64
    } else {
        0.0
    }
}

/// Number of daemons that share the limit of an endpoint that takes `rate` requests a second.
fn sharer_count(rate: f64, sharers: &Sharers) -> usize {
    let most = (rate.max(MIN_RATE) as usize).saturating_add(EXTRA_SHARERS);
    most.min(sharers.others.len() + 1)
}
