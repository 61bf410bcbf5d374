//! Daemons that share one customer's limits, with rows that take time and cuts
//! between them; virtual time, no network. Shared by the tests and the bench.

#![allow(dead_code, reason = "tests and bench each use a part")]

use std::time::{Duration, Instant};

use poplarvale_lib::load::shares::{
    Amounts, DEAD_AFTER, FRESH, LocalShare, Members, PeerRow, ShareRow,
};

/// Time between two rounds.
pub const ROUND: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Daemon {
    holder: LocalShare,
    side: usize,
    alive: bool,
    last: Vec<Option<(ShareRow, Instant)>>,
}

/// A row on its way.
#[derive(Debug)]
struct Mail {
    to: usize,
    row: ShareRow,
    due: Instant,
}

/// Daemons and the rows on their way.
#[derive(Debug)]
pub struct Fleet {
    daemons: Vec<Daemon>,
    mail: Vec<Mail>,
    rng: fastrand::Rng,
    delay: Duration,
    hosts: usize,
    /// Virtual time.
    pub now: Instant,
    /// Limits shared.
    pub limit: Amounts,
}

impl Fleet {
    /// Daemons that hear each other within `delay` at most.
    pub fn new(count: usize, limit: Amounts, delay: Duration, seed: u64) -> Self {
        let now = Instant::now();
        let daemon = |_| Daemon {
            holder: LocalShare::new(now),
            side: 0,
            alive: true,
            last: vec![None; count],
        };
        Self {
            daemons: (0..count).map(daemon).collect(),
            mail: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            delay,
            hosts: count,
            now,
            limit,
        }
    }

    /// Cuts the daemons apart; those with equal numbers hear each other.
    pub fn cut(&mut self, sides: &[usize]) {
        for (daemon, side) in self.daemons.iter_mut().zip(sides) {
            daemon.side = *side;
        }
    }

    /// A daemon dies; the others hear that it is gone only if that is announced.
    pub fn stop(&mut self, at: usize, announced: bool) {
        self.daemons[at].alive = false;
        if announced {
            self.mail.retain(|mail| mail.row.incarnation as usize != at);
            for daemon in &mut self.daemons {
                daemon.last[at] = None;
            }
        }
    }

    /// A daemon starts that knows no other.
    pub fn start(&mut self) {
        for daemon in &mut self.daemons {
            daemon.last.push(None);
        }
        self.daemons.push(Daemon {
            holder: LocalShare::new(self.now),
            side: 0,
            alive: true,
            last: vec![None; self.daemons.len() + 1],
        });
    }

    /// The list of hosts catches up.
    pub fn list(&mut self) {
        self.hosts = self.alive().count();
    }

    /// Daemons that live.
    pub fn alive(&self) -> impl Iterator<Item = usize> + '_ {
        let all = self.daemons.iter().enumerate();
        all.filter(|(_, daemon)| daemon.alive).map(|(at, _)| at)
    }

    fn members(&self, at: usize) -> Members {
        let heard = self.daemons[at].last.iter().flatten();
        let silence = heard.map(|(_, at)| self.now.saturating_duration_since(*at));
        let silence: Vec<Duration> = silence.collect();
        Members {
            expected: self.hosts,
            known: 1 + silence.len(),
            fresh: 1 + silence.iter().filter(|s| **s < FRESH).count(),
            dead: silence.iter().filter(|s| **s >= DEAD_AFTER).count(),
        }
    }

    /// One round: `asks` requests a second come to each daemon.
    pub fn round(&mut self, asks: &[f64]) {
        self.now += ROUND;
        self.deliver();
        let alive: Vec<usize> = self.alive().collect();
        for (at, ask) in alive.into_iter().zip(asks) {
            let count = ask * ROUND.as_secs_f64();
            let whole = count as usize + usize::from(self.rng.f64() < count.fract());
            self.turn(at, whole);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|mail| mail.due <= now);
        self.mail = rest;
        let due: Vec<Mail> = due;
        for mail in due {
            let from = mail.row.incarnation as usize;
            if self.daemons[from].side == self.daemons[mail.to].side {
                self.daemons[mail.to].last[from] = Some((mail.row, now));
            }
        }
    }

    fn turn(&mut self, at: usize, asks: usize) {
        let members = self.members(at);
        let (now, limit) = (self.now, self.limit);
        let daemon = &mut self.daemons[at];
        for _ in 0..asks {
            daemon.holder.record_request(now, 100.0);
        }
        daemon.holder.record_running(asks as f64);
        let heard = daemon.last.iter().flatten();
        let heard = heard.map(|(row, at)| PeerRow { row, received: *at });
        daemon.holder.update_claim(now, limit, heard, members);
        let row = ShareRow {
            customer: "c".into(),
            incarnation: at as u64,
            demand: daemon.holder.demand(),
            claim: daemon.holder.claim(),
        };
        for to in (0..self.daemons.len()).filter(|to| *to != at) {
            let wait = self.delay.mul_f64(self.rng.f64());
            let due = now + wait;
            let row = row.clone();
            self.mail.push(Mail { to, row, due });
        }
    }

    /// What a daemon may give out.
    pub fn share(&self, at: usize) -> Amounts {
        let members = self.members(at);
        self.daemons[at].holder.share(self.now, self.limit, members)
    }

    /// What the daemons of one side may give out together.
    pub fn sum(&self, side: Option<usize>) -> Amounts {
        let here = |at: &usize| side.is_none_or(|side| self.daemons[*at].side == side);
        let shares = self.alive().filter(here).map(|at| self.share(at));
        shares.fold(Amounts::default(), |a, b| a.zip(b, |a, b| a + b))
    }
}
