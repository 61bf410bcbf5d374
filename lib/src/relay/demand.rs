//! How much work callers request of each service, over all daemons.
//!
//! The number of endpoints to order must follow from what callers request, not from what is
//! served: a fleet that is too small rejects requests, and by its own load would look large
//! enough. So each daemon counts the work of all requests that a team may make, served or
//! rejected, and reports its rate. All watchers know the sum, since the one that takes over the
//! orders has to go on at once.

use std::time::{Duration, Instant};

use super::load_reports::Reporter;
use super::quota::name_hash;
use super::request::Prompt;
use crate::ZoneHash;

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

/// Last report of another daemon or a group.
#[derive(Clone, Debug)]
struct GroupRates {
    reporter: Reporter,
    received: Instant,
    /// Work a second by hash of the service's name.
    services: Vec<(u32, Work)>,
}

/// Work requested at this daemon and all others that it hears of.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    requests: Vec<Request>,
    /// Sorted by reporter.
    groups: Vec<GroupRates>,
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
        self.groups
            .retain(|group| now.duration_since(group.received) <= REPORT_TTL);
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

    /// Replaces the rates that a daemon or a group reported.
    pub fn merge(&mut self, reporter: Reporter, services: Vec<(u32, Work)>, now: Instant) {
        if !services.is_empty() {
            self.first.get_or_insert(now);
        }
        let found = self
            .groups
            .binary_search_by(|row| row.reporter.cmp(&reporter));
        let group = GroupRates {
            reporter,
            received: now,
            services,
        };
        match found {
            Ok(at) => self.groups[at] = group,
            Err(at) => self.groups.insert(at, group),
        }
    }

    /// Work a second at this daemon and all others of its zone that it hears, sorted by hash of the
    /// service's name.
    pub fn zone_rates(&self, zone: ZoneHash, now: Instant) -> Vec<(u32, Work)> {
        let mut rates = self.local_rates(now);
        let is_local = |row: &&GroupRates| row.reporter.is_daemon_of(zone);
        let groups = self.groups.iter().filter(is_local);
        for (service, work) in groups.flat_map(|group| &group.services) {
            match rates.binary_search_by_key(service, |rate| rate.0) {
                Ok(at) => {
                    rates[at].1.read += work.read;
                    rates[at].1.write += work.write;
                }
                Err(at) => rates.insert(at, (*service, *work)),
            }
        }
        rates
    }

    /// Work a second requested of a service at all daemons.
    pub fn total(&self, service: &str, now: Instant) -> Work {
        let service = name_hash(service);
        let local = self.local_rates(now);
        let groups = self.groups.iter().flat_map(|group| &group.services);
        let mut total = Work::default();
        for (_, work) in local.iter().chain(groups).filter(|row| row.0 == service) {
            total.read += work.read;
            total.write += work.write;
        }
        total
    }
}
