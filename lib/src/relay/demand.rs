//! How much work is asked of each service, over all daemons.
//!
//! Orders of endpoints must follow what callers ask for, not what gets through: a
//! fleet that is too small refuses, and would look sufficient by its own load. So
//! each daemon counts the work of all requests that a team may make, served or
//! refused, and tells its rate.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::ask::Prompt;
use super::quota::name_hash;

/// Span over which rates are taken; traffic swings over tens of seconds, and an
/// endpoint takes a few to start.
const SPAN: Duration = Duration::from_secs(4);
/// How long another daemon's word counts. A partition's other side goes on asking.
const CURRENT: Duration = Duration::from_secs(6);
/// Share of a prompt's shared beginning that has to be read all the same, as it is
/// not at the endpoint that is chosen; measured at a quarter to a half.
const SHARED_READ: f64 = 0.4;

/// Work a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens to be read.
    pub read: f64,
    /// Tokens to be written.
    pub write: f64,
}

#[derive(Clone, Debug)]
struct Asked {
    service: u32,
    at: Instant,
    work: Work,
}

#[derive(Clone, Debug)]
struct Told {
    name: CompactString,
    heard: Instant,
    services: Vec<(u32, Work)>,
}

/// What is asked here and at the other daemons.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    asked: Vec<Asked>,
    told: Vec<Told>,
    /// When anything was first asked for, here or elsewhere.
    first: Option<Instant>,
}

/// Work that a prompt brings.
pub fn work(prompt: &Prompt) -> Work {
    let last = prompt.parts.last().map_or(0, |(_, tokens)| *tokens);
    let shared = f64::from(prompt.input.saturating_sub(last));
    let output = prompt.guess.unwrap_or(prompt.output).min(prompt.output);
    Work {
        read: f64::from(prompt.input) - shared * (1.0 - SHARED_READ),
        write: f64::from(output),
    }
}

impl Demand {
    /// Counts a request.
    pub fn ask(&mut self, service: &str, work: Work, now: Instant) {
        self.first.get_or_insert(now);
        self.asked.push(Asked {
            service: name_hash(service),
            at: now,
            work,
        });
    }

    /// When anything was first asked for, as far as this daemon knows.
    pub fn first(&self) -> Option<Instant> {
        self.first
    }

    /// Forgets what is out of the span.
    pub fn expire(&mut self, now: Instant) {
        self.asked.retain(|row| now.duration_since(row.at) <= SPAN);
        self.told
            .retain(|told| now.duration_since(told.heard) <= CURRENT);
    }

    /// This daemon's rates, sorted by hash of the service's name.
    pub fn tell(&self, now: Instant) -> Vec<(u32, Work)> {
        let mut rates: Vec<(u32, Work)> = Vec::new();
        for row in &self.asked {
            if now.duration_since(row.at) > SPAN {
                continue;
            }
            let at = rates
                .binary_search_by_key(&row.service, |rate| rate.0)
                .unwrap_or_else(|at| {
                    rates.insert(at, (row.service, Work::default()));
                    at
                });
            rates[at].1.read += row.work.read / SPAN.as_secs_f64();
            rates[at].1.write += row.work.write / SPAN.as_secs_f64();
        }
        rates
    }

    /// Takes in another daemon's rates.
    pub fn hear(&mut self, name: &CompactString, services: Vec<(u32, Work)>, now: Instant) {
        if !services.is_empty() {
            self.first.get_or_insert(now);
        }
        let told = Told {
            name: name.clone(),
            heard: now,
            services,
        };
        match self.told.binary_search_by(|row| row.name.cmp(name)) {
            Ok(at) => self.told[at] = told,
            Err(at) => self.told.insert(at, told),
        }
    }

    /// Work a second that is asked of a service in all.
    pub fn total(&self, service: &str, now: Instant) -> Work {
        let service = name_hash(service);
        let mine = self.tell(now);
        let others = self.told.iter().flat_map(|told| &told.services);
        let mut total = Work::default();
        for (_, work) in mine.iter().chain(others).filter(|row| row.0 == service) {
            total.read += work.read;
            total.write += work.write;
        }
        total
    }
}
