//! Simulates daemons that share one customer's limits, with delayed rows and partitions
//! between them, on virtual time and without network. Shared by the tests and the benchmark.

#![allow(dead_code, reason = "the tests and the benchmark each use a part")]

use std::time::{Duration, Instant};

use poplarvale_lib::load::shares::{
    Amounts, DEAD_AFTER, FRESH, LocalShare, Members, PeerRow, ShareRow,
};

/// Time between two rounds.
pub const ROUND: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Daemon {
    share: LocalShare,
    /// Number of its side of a partition.
    side: usize,
    alive: bool,
    /// Last row received from each daemon, and when.
    last: Vec<Option<(ShareRow, Instant)>>,
}

/// A row under way to a daemon.
#[derive(Debug)]
struct Message {
    to: usize,
    row: ShareRow,
    due: Instant,
}

/// Daemons and the rows under way between them.
#[derive(Debug)]
pub struct Fleet {
    daemons: Vec<Daemon>,
    in_flight: Vec<Message>,
    rng: fastrand::Rng,
    delay: Duration,
    /// Number of daemons in the host list, which may be outdated.
    hosts: usize,
    /// Virtual time.
    pub now: Instant,
    /// The shared limits.
    pub limit: Amounts,
}

impl Fleet {
    /// Starts daemons that receive each other's rows within `delay`.
    pub fn new(count: usize, limit: Amounts, delay: Duration, seed: u64) -> Self {
        let now = Instant::now();
        let daemon = |_| Daemon {
            share: LocalShare::new(now),
            side: 0,
            alive: true,
            last: vec![None; count],
        };
        Self {
            daemons: (0..count).map(daemon).collect(),
            in_flight: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            delay,
            hosts: count,
            now,
            limit,
        }
    }

    /// Partitions the daemons; those with equal numbers reach each other.
    pub fn cut(&mut self, sides: &[usize]) {
        for (daemon, side) in self.daemons.iter_mut().zip(sides) {
            daemon.side = *side;
        }
    }

    /// Stops a daemon; the others learn of it immediately only if it is announced.
    pub fn stop(&mut self, at: usize, announced: bool) {
        self.daemons[at].alive = false;
        if announced {
            self.in_flight
                .retain(|message| message.row.incarnation as usize != at);
            for daemon in &mut self.daemons {
                daemon.last[at] = None;
            }
        }
    }

    /// Starts a daemon that knows no other.
    pub fn start(&mut self) {
        for daemon in &mut self.daemons {
            daemon.last.push(None);
        }
        self.daemons.push(Daemon {
            share: LocalShare::new(self.now),
            side: 0,
            alive: true,
            last: vec![None; self.daemons.len() + 1],
        });
    }

    /// Updates the host list to the live daemons.
    pub fn list(&mut self) {
        self.hosts = self.alive().count();
    }

    /// Indices of the live daemons.
    pub fn alive(&self) -> impl Iterator<Item = usize> + '_ {
        let all = self.daemons.iter().enumerate();
        all.filter(|(_, daemon)| daemon.alive).map(|(at, _)| at)
    }

    fn members(&self, at: usize) -> Members {
        let received = self.daemons[at].last.iter().flatten();
        let ages = received.map(|(_, at)| self.now.saturating_duration_since(*at));
        let ages: Vec<Duration> = ages.collect();
        Members {
            expected: self.hosts,
            known: 1 + ages.len(),
            fresh: 1 + ages.iter().filter(|s| **s < FRESH).count(),
            dead: ages.iter().filter(|s| **s >= DEAD_AFTER).count(),
        }
    }

    /// One round; `rates` are the requests per second at each live daemon.
    pub fn round(&mut self, rates: &[f64]) {
        self.now += ROUND;
        self.deliver();
        let alive: Vec<usize> = self.alive().collect();
        for (at, rate) in alive.into_iter().zip(rates) {
            let count = rate * ROUND.as_secs_f64();
            let whole = count as usize + usize::from(self.rng.f64() < count.fract());
            self.run_daemon(at, whole);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.due <= now);
        self.in_flight = rest;
        let due: Vec<Message> = due;
        for message in due {
            let from = message.row.incarnation as usize;
            if self.daemons[from].side == self.daemons[message.to].side {
                self.daemons[message.to].last[from] = Some((message.row, now));
            }
        }
    }

    fn run_daemon(&mut self, at: usize, requests: usize) {
        let members = self.members(at);
        let (now, limit) = (self.now, self.limit);
        let daemon = &mut self.daemons[at];
        for _ in 0..requests {
            daemon.share.record_request(now, 100.0);
        }
        daemon.share.record_running(requests as f64);
        let received = daemon.last.iter().flatten();
        let received = received.map(|(row, at)| PeerRow { row, received: *at });
        daemon.share.update_claim(now, limit, received, members);
        let row = ShareRow {
            customer: "c".into(),
            incarnation: at as u64,
            demand: daemon.share.demand(),
            claim: daemon.share.claim(),
        };
        for to in (0..self.daemons.len()).filter(|to| *to != at) {
            let wait = self.delay.mul_f64(self.rng.f64());
            let due = now + wait;
            let row = row.clone();
            self.in_flight.push(Message { to, row, due });
        }
    }

    /// Amounts that a daemon may admit.
    pub fn share(&self, at: usize) -> Amounts {
        let members = self.members(at);
        self.daemons[at].share.share(self.now, self.limit, members)
    }

    /// Amounts that the live daemons of one side may admit together; of all sides if `None`.
    pub fn sum(&self, side: Option<usize>) -> Amounts {
        let here = |at: &usize| side.is_none_or(|side| self.daemons[*at].side == side);
        let shares = self.alive().filter(here).map(|at| self.share(at));
        shares.fold(Amounts::default(), |a, b| a.zip(b, |a, b| a + b))
    }
}
