//! How much work callers request of each service, over all daemons.
//!
//! The number of endpoints to order must follow from what callers request, not from what is
//! served: a fleet that is too small rejects requests, and by its own load would look large
//! enough. So each daemon counts the work of all requests that a team may make, served or
//! rejected, and reports its rate.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::quota::name_hash;
use super::request::Prompt;

/// Span over which rates are computed. Traffic varies over tens of seconds, and an endpoint
/// takes a few seconds to start.
const RATE_SPAN: Duration = Duration::from_secs(4);
/// How long a peer's last report counts. Callers on the other side of a partition go on
/// sending requests.
const REPORT_TTL: Duration = Duration::from_secs(6);
/// Share of a prompt's shared prefix that has to be prefilled all the same, as it is not
/// cached at the chosen endpoint; a quarter to a half in practice.
const PREFIX_MISS_SHARE: f64 = 0.4;

/// Work that requests bring: of one request, or a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens to prefill.
    pub read: f64,
    /// Output tokens to generate.
    pub write: f64,
}

/// Work of one request at this daemon.
#[derive(Clone, Debug)]
struct Request {
    /// Hash of the service's name.
    service: u32,
    at: Instant,
    work: Work,
}

/// Last report of another daemon.
#[derive(Clone, Debug)]
struct PeerRates {
    name: CompactString,
    received: Instant,
    /// Work a second by hash of the service's name.
    services: Vec<(u32, Work)>,
}

/// Work requested at this daemon and its peers.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    requests: Vec<Request>,
    /// Sorted by name.
    peers: Vec<PeerRates>,
    /// Time of the first request, here or elsewhere.
    first: Option<Instant>,
}

/// Expected work of a prompt.
pub fn work(prompt: &Prompt) -> Work {
    let last = prompt.parts.last().map_or(0, |(_, tokens)| *tokens);
    let shared = f64::from(prompt.input.saturating_sub(last));
    let output = prompt.guess.unwrap_or(prompt.output).min(prompt.output);
    Work {
        read: f64::from(prompt.input) - shared * (1.0 - PREFIX_MISS_SHARE),
        write: f64::from(output),
    }
}

impl Demand {
    /// Counts a request.
    pub fn record(&mut self, service: &str, work: Work, now: Instant) {
        self.first.get_or_insert(now);
        self.requests.push(Request {
            service: name_hash(service),
            at: now,
            work,
        });
    }

    /// Time of the first request that this daemon knows of.
    pub fn first_request(&self) -> Option<Instant> {
        self.first
    }

    /// Drops requests that have left the rate span, and outdated reports.
    pub fn expire(&mut self, now: Instant) {
        self.requests
            .retain(|row| now.duration_since(row.at) <= RATE_SPAN);
        self.peers
            .retain(|peer| now.duration_since(peer.received) <= REPORT_TTL);
    }

    /// Work a second at this daemon, sorted by hash of the service's name.
    pub fn local_rates(&self, now: Instant) -> Vec<(u32, Work)> {
        let mut rates: Vec<(u32, Work)> = Vec::new();
        for row in &self.requests {
            if now.duration_since(row.at) > RATE_SPAN {
                continue;
            }
            let at = rates
                .binary_search_by_key(&row.service, |rate| rate.0)
                .unwrap_or_else(|at| {
                    rates.insert(at, (row.service, Work::default()));
                    at
                });
            rates[at].1.read += row.work.read / RATE_SPAN.as_secs_f64();
            rates[at].1.write += row.work.write / RATE_SPAN.as_secs_f64();
        }
        rates
    }

    /// Replaces the rates that another daemon reported.
    pub fn merge(&mut self, name: &CompactString, services: Vec<(u32, Work)>, now: Instant) {
        if !services.is_empty() {
            self.first.get_or_insert(now);
        }
        let peer = PeerRates {
            name: name.clone(),
            received: now,
            services,
        };
        match self.peers.binary_search_by(|row| row.name.cmp(name)) {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
    }

    /// Work a second requested of a service at all daemons.
    pub fn total(&self, service: &str, now: Instant) -> Work {
        let service = name_hash(service);
        let local = self.local_rates(now);
        let peers = self.peers.iter().flat_map(|peer| &peer.services);
        let mut total = Work::default();
        for (_, work) in local.iter().chain(peers).filter(|row| row.0 == service) {
            total.read += work.read;
            total.write += work.write;
        }
        total
    }
}
