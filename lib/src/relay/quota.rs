//! What teams may use, over all daemons together.
//!
//! Load: one team sends many times its usual, through daemons that its clients
//! were dealt to unevenly. A fixed share for each daemon refuses a team that is
//! within its allowance and happens to sit on one daemon; no sharing lets it use
//! the allowance once at every daemon. So each daemon keeps a token bucket for the
//! whole fleet: what it let in itself and what the others tell of themselves is
//! taken out, in the steps of time in which it was let in.
//!
//! The others' figures are as old as their last word. When a flood has emptied the
//! bucket and a little comes in, all daemons would see it at once and each let its
//! whole queue of callers in: bursts of three times the allowance, and then seconds
//! of nothing. So when little is left and more is asked than the allowance brings, each
//! daemon draws at most its share of the rate, by what is asked of it and of the others.
//! Among hundreds of daemons a share is less than one long prompt; requests are then let
//! in one of so many, as many as the rate is of what is asked.
//!
//! Daemons of other zones are heard seldom when there are many. Watchers of each zone
//! tell the rates of theirs together, more often; these replace the rates that the single
//! daemons told last, and their silence shows that a whole zone is cut off.
//!
//! A daemon that has just started does not know what was let in before; its bucket
//! begins empty. The fleet may restart as a whole in the middle of a flood, and
//! the burst is then not given out a second time; one daemon that is replaced has
//! its share of the running rate at once.
//!
//! The holder of the duties keeps what all let in lately in the store, and daemons
//! that restart together begin with that: a team well within its allowance is served
//! at once and one in a flood still has nothing.
//!
//! A daemon that falls silent may be dead or on the other side of a partition,
//! where it goes on letting requests in. It is taken to use most of an even share,
//! so that the two sides of a partition stay near the allowance together.

mod others;
mod saved;
mod steps;
mod zones;

use std::time::{Duration, Instant};

use self::others::{Known, Other};
pub use self::others::{Told, Use};
use self::saved::Before;
pub use self::saved::Spent;
use self::steps::{StepId, Steps};
use self::zones::Zone;
pub use self::zones::{ZoneSummary, ZoneUse};
use super::ask::Ask;
use super::catalog::{Team, Unit};
use crate::{CustomerId, ZoneHash};

/// Steps in which the window moves on. A step counts until all of it is out of the
/// window.
const STEPS: u32 = 40;
/// Depth of the bucket beyond the burst, in seconds of its rate. What a team did not
/// use in the window may be used at once that far. The bucket begins empty after a
/// restart of all, so a flood across one comes to this, the burst and the rate, which
/// is within what a window allows.
const DEEPER: f64 = 0.5;
/// Part of the tolerance that deepens the bucket. Prompts are long beside a second
/// of a team's rate, so teams well within it would be refused by chance; the rest of
/// the tolerance covers what is let in unheard.
const TOLERATED: f64 = 0.4;
/// Periods between words before a daemon counts as silent. What a bucket holds for
/// one of them may be let in unheard, so below it daemons draw by their shares.
const PERIODS: f64 = 4.0;
/// Depth of a daemon's own share, in seconds of its rate. What has gathered in all
/// shares while the fleet's bucket was empty comes out at once, so it is little.
const SHARE_BURST: f64 = 0.25;
/// Time in which a share has to bring a request for requests to be let in by the share's
/// own bucket; thinner shares let in one of so many.
const THIN: f64 = 1.0;
/// Steps over which shares are taken; a daemon has a few requests of a team a
/// second, and shares of shorter spans would be mostly chance.
const SHARE_STEPS: StepId = 10;
/// How long a daemon that has just started waits for a word of the others before it
/// takes itself to be the only one. Daemons that all restart at once would else each
/// give the whole rate out until they hear one another.
const UNSURE: Duration = Duration::from_secs(1);
/// Span over which the current rate is told. A flood begins within a tenth of a
/// second; over a longer span its rate is told too low while it grows.
const RECENT: Duration = Duration::from_millis(600);
/// Share of the allowance that is held back for each second of silence after which
/// a daemon counts as silent. What all let in between two digests is not known to
/// the others.
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
    /// Units since the start; refunds are taken off.
    total: u64,
    steps: Steps,
    /// Units that were asked for, let in or not.
    asked: Steps,
    /// Part of a request that is let in by a thin share, gathered so far.
    gathered: f64,
}

/// What this daemon may give out of an allowance.
struct Part {
    /// Units a second.
    rate: f64,
    /// Depth of the bucket.
    depth: f64,
    /// Most within a window.
    whole: f64,
    /// Whether most other daemons are silent, so that this one is probably cut off.
    alone: bool,
}

/// How far beyond its allowance a team may come within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Share of the window's allowance.
    pub share: f64,
    /// Units on top.
    pub units: f64,
}

/// Allowances of all teams.
#[derive(Clone, Debug)]
pub struct Quota {
    tolerance: Tolerance,
    started: Instant,
    window: Duration,
    /// Where this daemon begins to gather thin shares, from 0 to 1.
    phase: f64,
    /// Sorted by team.
    used: Vec<Used>,
    /// Sorted by name.
    others: Vec<Other>,
    /// Other zones that were told of as a whole, sorted.
    zones: Vec<Zone>,
    /// `None` if no checkpoint was found at the start.
    before: Option<Before>,
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
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

impl Quota {
    /// Begins when the daemon starts.
    pub fn new(window: Duration, tolerance: Tolerance, now: Instant) -> Self {
        Self {
            tolerance,
            started: now,
            window,
            phase: 0.0,
            used: Vec::new(),
            others: Vec::new(),
            zones: Vec::new(),
            before: None,
        }
    }

    /// Begins to gather thin shares at `phase`, from 0 to 1. Daemons that all began at
    /// the same one would let their first requests in together.
    #[must_use]
    pub fn with_phase(self, phase: f64) -> Self {
        Self { phase, ..self }
    }

    /// Lets a request of `units` in and counts it.
    ///
    /// # Errors
    /// The time after which there will be room.
    pub fn take(&mut self, team: &Team, units: f64, now: Instant) -> Result<(), Duration> {
        let Some(rate) = team.rate else {
            return Ok(());
        };
        self.ask(&team.name, units, now);
        let age = now.saturating_duration_since(self.started);
        let part = self.part(rate, team.burst, now);
        if self.others.is_empty() && age < UNSURE {
            if !self.is_within_even_part(&team.name, units, &part, now) {
                let left = UNSURE.saturating_sub(age);
                return Err(left.max(Duration::from_secs_f64(SOONEST)));
            }
            self.add(&team.name, units, now);
            return Ok(());
        }
        let room = if part.alone {
            self.room_alone(&team.name, &part, now)
        } else {
            self.room(&team.name, &part, now)
        };
        // A request larger than the bucket passes when the bucket is full: a team
        // with a small allowance could send no long prompt at all otherwise.
        let wanted = if part.alone {
            units
        } else {
            units.min(part.depth)
        };
        if room < wanted {
            return Err(wait(wanted - room, part.rate));
        }
        let asked = self.asked_of_all(&team.name, now);
        let flooded = asked > part.rate && room < self.unheard(part.rate, now);
        if part.alone || flooded {
            self.draw(&team.name, units, &part, asked, now)?;
        }
        self.add(&team.name, units, now);
        Ok(())
    }

    /// Takes a request out of this daemon's share of a rate of which `asked` is asked.
    fn draw(
        &mut self,
        team: &CustomerId,
        units: f64,
        part: &Part,
        asked: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let share = self.share(team, asked, now) * part.rate;
        if !part.alone && share * THIN < units {
            return if self.gather(team, part.rate / asked) {
                Ok(())
            } else {
                Err(wait(units, share))
            };
        }
        let level = self.share_level(team, share, now);
        // A request may overdraw the share, so that long ones pass as often as short
        // ones; the next ones wait the longer.
        if level < 0.0 {
            return Err(wait(-level, share));
        }
        Ok(())
    }

    /// Lets one of so many requests in; `true` if this is the one.
    fn gather(&mut self, team: &str, part: f64) -> bool {
        let Ok(at) = self.find(team) else {
            return false;
        };
        let gathered = &mut self.used[at].gathered;
        *gathered += part;
        let full = *gathered >= 1.0;
        *gathered = gathered.fract();
        full
    }

    /// Whether a daemon that heard no other yet may let a request in: by a checkpoint
    /// it knows what there is and for how many daemons.
    fn is_within_even_part(&self, team: &str, units: f64, part: &Part, now: Instant) -> bool {
        let Some(before) = &self.before else {
            return false;
        };
        let mine = self.find(team).ok();
        let mine = mine.map_or(0.0, |at| self.used[at].steps.sum_since(0));
        let whole = self.room(team, part, now) + mine;
        mine + units <= whole / f64::from(before.daemons.max(1))
    }

    /// Gives back what a request counted that did not run.
    pub fn refund(&mut self, team: &Team, units: f64) {
        if let Ok(at) = self.find(&team.name) {
            let used = &mut self.used[at];
            used.total = used.total.wrapping_sub(units as u64);
            if let Some(last) = used.steps.last_mut() {
                *last -= units;
            }
        }
    }

    /// Takes in what another daemon tells; one that tells nothing for `silent` counts
    /// as silent.
    pub fn hear(&mut self, told: &Told, silent: Duration) {
        let (last, far) = (self.step(told.heard), self.first_step(told.heard));
        let at = self
            .others
            .binary_search_by(|row| row.name.cmp(&told.name))
            .unwrap_or_else(|at| {
                let other = Other {
                    name: told.name.clone(),
                    zone: told.zone,
                    incarnation: told.incarnation,
                    // Nothing was heard of it yet: its whole window is news.
                    heard: told.started,
                    silent,
                    started: told.started,
                    teams: Vec::new(),
                };
                self.others.insert(at, other);
                at
            });
        let first = self.step(self.others[at].heard).max(far);
        self.others[at].hear(told, first, last);
        self.others[at].silent = silent;
    }

    /// Takes in what a watcher of another zone tells of it as a whole; without a further
    /// word for `silent` the zone counts as silent.
    pub fn hear_zone(
        &mut self,
        zone: ZoneHash,
        summary: ZoneSummary,
        silent: Duration,
        now: Instant,
    ) {
        let row = Zone {
            id: zone,
            heard: now,
            silent,
            summary,
        };
        match self.zones.binary_search_by_key(&zone, |row| row.id) {
            Ok(at) => self.zones[at] = row,
            Err(at) => self.zones.insert(at, row),
        }
    }

    /// What this daemon and those of its zone do together, sorted by team.
    pub fn tell_zone(&self, zone: ZoneHash, now: Instant) -> ZoneSummary {
        let mut summary = ZoneSummary::default();
        let mut add = |team: u32, rate: f64, asked: f64| {
            let at = summary.uses.binary_search_by_key(&team, |row| row.team);
            let at = at.unwrap_or_else(|at| {
                let (rate, asked) = (0.0, 0.0);
                summary.uses.insert(at, ZoneUse { team, rate, asked });
                at
            });
            summary.uses[at].rate += rate;
            summary.uses[at].asked += asked;
        };
        for row in self.tell(now) {
            add(row.team, row.rate, row.asked);
        }
        let mates = self.others.iter().filter(|other| other.zone == zone);
        let mut silent = 0;
        for other in mates {
            if other.is_silent(now) {
                silent += 1;
                continue;
            }
            for known in &other.teams {
                add(known.team, known.rate, known.asked);
            }
        }
        summary.silent = silent;
        summary
    }

    /// What this daemon tells, sorted by team.
    pub fn tell(&self, now: Instant) -> Vec<Use> {
        let (first, recent) = (self.first_step(now), self.recent_step(now));
        let span = now.saturating_duration_since(self.began(recent));
        let row = |used: &Used| Use {
            team: name_hash(&used.team),
            units: used.steps.sum_since(first),
            total: used.total as u32,
            rate: used.steps.sum_since(recent) / span.max(RECENT).as_secs_f64(),
            asked: self.asked(&used.asked, now),
        };
        let mut rows: Vec<Use> = self.used.iter().map(row).collect();
        rows.retain(|row| row.units > 0.0 || row.asked > 0.0);
        rows.sort_by_key(|row| row.team);
        rows
    }

    /// Forgets what is out of the window, and daemons silent for two windows.
    pub fn expire(&mut self, now: Instant) {
        let (window, first) = (self.window, self.first_step(now));
        for used in &mut self.used {
            used.steps.forget_before(first);
            used.asked.forget_before(first);
        }
        self.others
            .retain(|other| now.duration_since(other.heard) <= window * 2);
        self.zones
            .retain(|zone| now.duration_since(zone.heard) <= window * 2);
        for known in self.others.iter_mut().flat_map(|other| &mut other.teams) {
            known.steps.forget_before(first);
        }
        if first >= 0 {
            self.before = None;
        }
    }

    /// Number of the step that a moment lies in.
    fn step(&self, at: Instant) -> StepId {
        let length = (self.window / STEPS).as_nanos().max(1);
        match at.checked_duration_since(self.started) {
            Some(since) => (since.as_nanos() / length) as StepId,
            None => -1 - (self.started.duration_since(at).as_nanos() / length) as StepId,
        }
    }

    /// Oldest step that reaches into the window which ends now.
    fn first_step(&self, now: Instant) -> StepId {
        self.step(now) - StepId::from(STEPS)
    }

    fn recent_step(&self, now: Instant) -> StepId {
        now.checked_sub(RECENT).map_or(0, |at| self.step(at)).max(0)
    }

    /// When a step after the start began.
    fn began(&self, step: StepId) -> Instant {
        self.started + self.window.mul_f64(step.max(0) as f64 / f64::from(STEPS))
    }

    /// What of an allowance is left to this daemon and those that it hears.
    fn part(&self, rate: f64, burst: f64, now: Instant) -> Part {
        let silent = self.silent(now);
        let alone = silent * 2 > self.others.len();
        let each = if alone { 1.0 } else { SILENT_SHARE };
        let daemons = (self.others.len() + 1) as f64;
        let left = self.given_out(now) * (1.0 - silent as f64 * each / daemons);
        let whole = rate * self.window.as_secs_f64() + burst;
        let tolerated = whole * self.tolerance.share + self.tolerance.units;
        let tolerated = tolerated * TOLERATED;
        Part {
            rate: rate * left,
            depth: (burst + rate * DEEPER + tolerated) * left,
            whole: (whole + tolerated) * left,
            alone,
        }
    }

    /// Units that may be let in elsewhere before this daemon hears of it.
    fn unheard(&self, rate: f64, now: Instant) -> f64 {
        rate * self.horizon(now).as_secs_f64() / PERIODS
    }

    /// A zone as a whole, if its watchers told of it.
    fn zone(&self, zone: ZoneHash) -> Option<&Zone> {
        let at = self.zones.binary_search_by_key(&zone, |row| row.id);
        at.ok().map(|at| &self.zones[at])
    }

    /// The same, if that was lately.
    fn fresh_zone(&self, zone: ZoneHash, now: Instant) -> Option<&Zone> {
        self.zone(zone).filter(|zone| !zone.is_silent(now))
    }

    fn is_silent(&self, other: &Other, now: Instant) -> bool {
        other.is_silent(now) || self.zone(other.zone).is_some_and(|row| row.is_silent(now))
    }

    /// Daemons that are silent. Of zones that are told of as a whole, watchers know
    /// sooner than this daemon.
    fn silent(&self, now: Instant) -> usize {
        let rows = self.others.iter();
        let silent = rows.filter(|other| self.is_silent(other, now)).count();
        let fresh = self.zones.iter().filter(|zone| !zone.is_silent(now));
        let more = fresh.map(|row| {
            let mates = self.others.iter().filter(|other| other.zone == row.id);
            let known = mates.filter(|other| other.is_silent(now)).count();
            (row.summary.silent as usize).saturating_sub(known)
        });
        (silent + more.sum::<usize>()).min(self.others.len())
    }

    /// Longest time without a word after which some daemon counts as silent, those left
    /// aside that are.
    fn horizon(&self, now: Instant) -> Duration {
        let told = |other: &Other| match self.fresh_zone(other.zone, now) {
            Some(zone) => zone.silent.min(other.silent),
            None => other.silent,
        };
        self.others.iter().map(told).max().unwrap_or_default()
    }

    /// Whether nobody knows what was let in before this daemon started: it runs for
    /// less than a window, and so did most others then.
    fn is_fresh(&self, now: Instant) -> bool {
        let older = |other: &&Other| other.started + self.window <= self.started;
        let older = self.others.iter().filter(older).count();
        self.first_step(now) < 0 && older * 2 <= self.others.len()
    }

    /// Share of the allowance that is given out.
    fn given_out(&self, now: Instant) -> f64 {
        1.0 - (self.horizon(now).as_secs_f64() * HELD_BACK).min(MOST_HELD)
    }

    /// Units in the fleet's bucket, after all that was let in within the window.
    fn room(&self, team: &str, part: &Part, now: Instant) -> f64 {
        let (first, last) = (self.first_step(now), self.step(now));
        let mut spent = [0.0; STEPS as usize + 1];
        let before = self.before(name_hash(team), now);
        let before = before.since(first).iter().copied();
        for (step, units) in self.spent(name_hash(team), first, now).chain(before) {
            spent[(step - first) as usize] += units;
        }
        let length = self.window.as_secs_f64() / f64::from(STEPS);
        let begun = now.saturating_duration_since(self.began(last));
        // The bucket of a daemon that has just started begins empty, with its start.
        let fresh = self.is_fresh(now) && self.before.is_none();
        let mut level = if fresh { 0.0 } else { part.depth };
        let steps = (first..=last).zip(spent);
        for (step, units) in steps.filter(|row| !fresh || row.0 >= 0) {
            let time = match step {
                // The oldest step lies partly outside of the window.
                step if step == first => 0.0,
                step if step == last => begun.as_secs_f64(),
                _ => length,
            };
            level = (level + part.rate * time).min(part.depth) - units;
        }
        level.min(part.whole - spent.iter().sum::<f64>())
    }

    /// Units that daemons which hear too few others may still let in: an even part of
    /// what a window allows, whoever else uses the rest.
    fn room_alone(&self, team: &str, part: &Part, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started);
        let grown = part.rate * age.as_secs_f64();
        let spent = self.spent(name_hash(team), self.first_step(now), now);
        part.whole.min(grown) - spent.map(|row| row.1).sum::<f64>()
    }

    /// What all that are not silent let in, by step; what they have probably let in
    /// since their last word counts as let in now.
    fn spent(&self, team: u32, first: StepId, now: Instant) -> impl Iterator<Item = (StepId, f64)> {
        let mine = self
            .used
            .iter()
            .filter(move |used| name_hash(&used.team) == team);
        let mine = mine.flat_map(move |used| used.steps.since(first));
        let last = self.step(now);
        let heard = move |other: &&Other| !self.is_silent(other, now);
        let others = self.others.iter().filter(heard);
        let theirs = others.flat_map(move |other| {
            let known = other.team(team);
            let steps = known.map_or(&[][..], |known| known.steps.since(first));
            let whole = self.fresh_zone(other.zone, now).is_some();
            let rate = known.filter(|_| !whole).map_or(0.0, |known| known.rate);
            let age = now.saturating_duration_since(other.heard);
            steps
                .iter()
                .copied()
                .chain([(last, rate * age.as_secs_f64())])
        });
        let zones = self.zones.iter().filter(move |row| !row.is_silent(now));
        let zones = zones.map(move |row| {
            let rate = row.summary.of(team).map_or(0.0, |told| told.rate);
            (last, rate * self.mean_age(row.id, now))
        });
        mine.copied().chain(theirs).chain(zones)
    }

    /// Mean time since the last words of a zone's daemons, in seconds.
    fn mean_age(&self, zone: ZoneHash, now: Instant) -> f64 {
        let heard = |other: &&Other| other.zone == zone && !self.is_silent(other, now);
        let ages = self.others.iter().filter(heard);
        let ages = ages.map(|other| now.saturating_duration_since(other.heard).as_secs_f64());
        let (sum, count) = ages.fold((0.0, 0.0), |all, age| (all.0 + age, all.1 + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Units a second that are asked of all for a team.
    fn asked_of_all(&self, team: &str, now: Instant) -> f64 {
        let mine = self.asked_here(team, now);
        mine + self.of_others(name_hash(team), |known| known.asked, |told| told.asked, now)
    }

    /// Units a second that all let a team use lately.
    fn rate_of_all(&self, team: u32, now: Instant) -> f64 {
        let mine = self.tell(now).into_iter().filter(|row| row.team == team);
        let mine: f64 = mine.map(|row| row.rate).sum();
        mine + self.of_others(team, |known| known.rate, |told| told.rate, now)
    }

    /// A rate of a team at all other daemons: by the summary of their zone where there is a
    /// fresh one, by their own digests else.
    fn of_others(
        &self,
        team: u32,
        known: impl Fn(&Known) -> f64,
        told: impl Fn(&ZoneUse) -> f64,
        now: Instant,
    ) -> f64 {
        let single = |other: &&Other| {
            !self.is_silent(other, now) && self.fresh_zone(other.zone, now).is_none()
        };
        let others = self.others.iter().filter(single);
        let others = others.filter_map(|other| other.team(team)).map(known);
        let zones = self.zones.iter().filter(|row| !row.is_silent(now));
        let zones = zones.filter_map(|row| row.summary.of(team)).map(told);
        others.sum::<f64>() + zones.sum::<f64>()
    }

    fn asked_here(&self, team: &str, now: Instant) -> f64 {
        let at = self.find(team);
        at.map_or(0.0, |at| self.asked(&self.used[at].asked, now))
    }

    /// This daemon's share of what is asked of all for a team.
    fn share(&self, team: &str, all: f64, now: Instant) -> f64 {
        if all > 0.0 {
            self.asked_here(team, now) / all
        } else {
            1.0
        }
    }

    /// Units a second over the last steps.
    fn asked(&self, steps: &Steps, now: Instant) -> f64 {
        let first = (self.step(now) - SHARE_STEPS).max(0);
        let span = now.saturating_duration_since(self.began(first));
        steps.sum_since(first) / span.max(RECENT).as_secs_f64()
    }

    /// Level of this daemon's own bucket with `rate` units a second.
    fn share_level(&self, team: &str, rate: f64, now: Instant) -> f64 {
        let Ok(at) = self.find(team) else {
            return 0.0;
        };
        let depth = rate * SHARE_BURST;
        let mut level = depth;
        let mut last = self.first_step(now);
        let length = self.window.as_secs_f64() / f64::from(STEPS);
        for (step, units) in self.used[at].steps.since(last) {
            let gained = (step - last) as f64 * length * rate;
            level = (level + gained).min(depth) - units;
            last = *step;
        }
        let since = now.saturating_duration_since(self.began(last));
        (level + since.as_secs_f64() * rate).min(depth)
    }

    /// Counts units that are asked for.
    fn ask(&mut self, team: &CustomerId, units: f64, now: Instant) {
        let step = self.step(now);
        let at = self.find(team).unwrap_or_else(|at| {
            let used = Used {
                team: team.clone(),
                total: 0,
                steps: Steps::default(),
                asked: Steps::default(),
                gathered: self.phase,
            };
            self.used.insert(at, used);
            at
        });
        self.used[at].asked.add(step, units);
    }

    /// Counts units that are let in, after [`Self::ask`].
    fn add(&mut self, team: &CustomerId, units: f64, now: Instant) {
        let step = self.step(now);
        if let Ok(at) = self.find(team) {
            let used = &mut self.used[at];
            used.total = used.total.wrapping_add(units as u64);
            used.steps.add(step, units);
        }
    }

    fn find(&self, team: &str) -> Result<usize, usize> {
        self.used
            .binary_search_by(|used| used.team.as_str().cmp(team))
    }
}

/// When there will be room for `missing` units that come in at `rate` a second.
fn wait(missing: f64, rate: f64) -> Duration {
    Duration::from_secs_f64((missing / rate).clamp(SOONEST, LATEST))
}
