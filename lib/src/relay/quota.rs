//! What teams may use, over all daemons together.
//!
//! Load: one team sends many times its usual, through daemons that its clients
//! were dealt to unevenly. A fixed share for each daemon refuses a team that is
//! within its allowance and happens to sit on one daemon; no sharing lets it use
//! the allowance once at every daemon. Each daemon counts what it let in over the
//! window and adds what the others tell of themselves.
//!
//! A daemon that falls silent may be dead or on the other side of a partition,
//! where it goes on letting requests in. It is taken to use what it last told, and
//! at least most of an even share, so that the two sides of a partition stay near
//! the allowance together. A daemon that has just started does not know what it
//! let in before; for one window its own allowance grows from the burst.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::ask::Ask;
use super::catalog::{Team, Unit};
use crate::CustomerId;

/// Steps in which the window moves on. A step counts until all of it is out of the
/// window; forgetting it when its beginning is out let a flood use 6 in 100 more.
const STEPS: u32 = 40;
/// Share of the allowance that is held back for each second of silence after which
/// a daemon counts as silent. What all let in between two digests is not known to
/// the others; with 24 daemons that tell every 0.6 s, a flood used a tenth more than
/// the allowance without it.
const HELD_BACK: f64 = 0.04;
/// Most that is held back.
const MOST_HELD: f64 = 0.3;
/// Share of an even part that a silent daemon is taken to use at least. Daemons use
/// about 55 in 100 of the allowance on an ordinary day. Where half or more are
/// silent, this daemon is probably the one that is cut off, perhaps with many others
/// that are each alone, and counts the whole part.
const SILENT_SHARE: f64 = 0.75;
/// Shortest and longest time after which a refused team is told to come back.
const SOONEST: f64 = 0.3;
const LATEST: f64 = 8.0;

/// What one team used here lately.
#[derive(Clone, Debug)]
struct Used {
    team: CustomerId,
    steps: Vec<(Instant, f64)>,
}

/// What another daemon told.
#[derive(Clone, Debug)]
pub struct Told {
    /// Its name.
    pub name: CompactString,
    /// When it told.
    pub heard: Instant,
    /// Units in its window and units a second by hash of the team's name, sorted.
    pub teams: Vec<(u32, f64, f64)>,
}

/// Allowances of all teams.
#[derive(Clone, Debug)]
pub struct Quota {
    started: Instant,
    window: Duration,
    /// After how long without a word a daemon counts as silent.
    silent: Duration,
    used: Vec<Used>,
    others: Vec<Told>,
}

/// Units that a request counts.
pub fn units(team: &Team, ask: &Ask) -> f64 {
    match (team.unit, &ask.prompt) {
        (Unit::Requests, _) => 1.0,
        (Unit::Tokens(plain), None) => plain,
        (Unit::Tokens(_), Some(prompt)) => f64::from(prompt.input) + f64::from(prompt.output),
    }
}

/// Hash that stands for a name in digests.
pub fn short(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

impl Quota {
    /// Begins when the daemon starts.
    pub fn new(window: Duration, now: Instant) -> Self {
        Self {
            started: now,
            window,
            silent: window,
            used: Vec::new(),
            others: Vec::new(),
        }
    }

    /// Lets a request of `units` in and counts it.
    ///
    /// # Errors
    /// The time after which there will be room.
    pub fn take(&mut self, team: &Team, units: f64, now: Instant) -> Result<(), Duration> {
        let Some(rate) = team.rate else {
            return Ok(());
        };
        let span = self.window.as_secs_f64();
        let age = now.duration_since(self.started).as_secs_f64();
        let allowed = rate * age.min(span) + team.burst;
        let whole = rate * span + team.burst;
        let mine = self.mine(&team.name, now);
        let theirs = self.theirs(&team.name, whole, now);
        let over = mine + theirs + units - allowed * self.given_out();
        if over > 0.0 {
            let wait = (over / rate).clamp(SOONEST, LATEST);
            return Err(Duration::from_secs_f64(wait));
        }
        self.add(&team.name, units, now);
        Ok(())
    }

    /// Gives back what a request counted that did not run.
    pub fn refund(&mut self, team: &Team, units: f64) {
        if let Ok(at) = self.find(&team.name)
            && let Some((_, last)) = self.used[at].steps.last_mut()
        {
            *last -= units;
        }
    }

    /// Takes in what another daemon tells; one that tells nothing for `silent` counts
    /// as silent.
    pub fn hear(&mut self, told: Told, silent: Duration) {
        self.silent = silent;
        match self.others.binary_search_by(|row| row.name.cmp(&told.name)) {
            Ok(at) => self.others[at] = told,
            Err(at) => self.others.insert(at, told),
        }
    }

    /// What this daemon tells: units in the window and units a second, by team.
    pub fn tell(&self, now: Instant) -> Vec<(u32, f64, f64)> {
        let row = |used: &Used| {
            let units = used.within(now, self.window, self.window / STEPS);
            let lately = used.within(now, RECENT, Duration::ZERO) / RECENT.as_secs_f64();
            (short(&used.team), units, lately)
        };
        let rows = self.used.iter().map(row);
        rows.filter(|(_, units, _)| *units > 0.0).collect()
    }

    /// Forgets what is out of the window, and daemons silent for two windows.
    pub fn expire(&mut self, now: Instant) {
        let window = self.window;
        for used in &mut self.used {
            used.steps
                .retain(|(at, _)| now.duration_since(*at) <= window * 2);
        }
        self.others
            .retain(|told| now.duration_since(told.heard) <= window * 2);
    }

    /// Share of the allowance that is given out.
    fn given_out(&self) -> f64 {
        if self.others.is_empty() {
            return 1.0;
        }
        1.0 - (self.silent.as_secs_f64() * HELD_BACK).min(MOST_HELD)
    }

    /// Units that this daemon let in within the window.
    fn mine(&self, team: &str, now: Instant) -> f64 {
        let at = self.find(team);
        at.map_or(0.0, |at| {
            self.used[at].within(now, self.window, self.window / STEPS)
        })
    }

    /// Units that the others let in within the window, as far as is known.
    fn theirs(&self, team: &str, whole: f64, now: Instant) -> f64 {
        let team = short(team);
        let is_silent = |told: &&Told| now.duration_since(told.heard) > self.silent;
        let silent = self.others.iter().filter(is_silent).count();
        let share = if silent * 2 > self.others.len() {
            1.0
        } else {
            SILENT_SHARE
        };
        let even = whole * self.given_out() / (self.others.len() + 1) as f64 * share;
        let part = |told: &Told| {
            let at = told.teams.binary_search_by_key(&team, |row| row.0);
            let (units, rate) = at.map_or((0.0, 0.0), |at| (told.teams[at].1, told.teams[at].2));
            let age = now.duration_since(told.heard);
            if age > self.silent {
                units.max(even)
            } else {
                units + rate * age.as_secs_f64()
            }
        };
        self.others.iter().map(part).sum()
    }

    fn add(&mut self, team: &CustomerId, units: f64, now: Instant) {
        let at = self.find(team).unwrap_or_else(|at| {
            let used = Used {
                team: team.clone(),
                steps: Vec::new(),
            };
            self.used.insert(at, used);
            at
        });
        let step = self.window / STEPS;
        let steps = &mut self.used[at].steps;
        match steps.last_mut() {
            Some((from, sum)) if now.duration_since(*from) < step => *sum += units,
            _ => steps.push((now, units)),
        }
    }

    fn find(&self, team: &str) -> Result<usize, usize> {
        self.used
            .binary_search_by(|used| used.team.as_str().cmp(team))
    }
}

/// Span over which the current rate is told. A flood begins within a tenth of a
/// second; over a longer span its rate is told too low while it grows.
const RECENT: Duration = Duration::from_millis(600);

impl Used {
    /// Units of the steps that reach into the last `window`; each step lasts `step`.
    fn within(&self, now: Instant, window: Duration, step: Duration) -> f64 {
        let recent = self.steps.iter().rev();
        recent
            .take_while(|(at, _)| now.duration_since(*at) <= window + step)
            .map(|(_, units)| units)
            .sum()
    }
}
