//! Daemons that move a service to a new version on virtual time, with faults that have nothing to do
//! with the version. They exchange digests every quarter of a second.

use std::time::Duration;

use poplarvale_lib::relay::endpoint_table::VersionEndpoints;
use poplarvale_lib::relay::rollout::evidence::Sample;
use poplarvale_lib::relay::rollout::{Order, Outcome, Rollouts, Versions};
use poplarvale_lib::{EndpointId, VersionId};

pub(crate) const BEGIN_MS: u64 = 1_000_000;
pub(crate) const DAEMONS: usize = 9;
/// Endpoints of each version.
pub(crate) const ENDPOINTS: usize = 9;
const SERVICE: &str = "pool";
/// Time in which a daemon must have stopped sending requests to a bad version, after the version's
/// fiftieth bad answer.
pub(crate) const ROLL_BACK_MS: u64 = 5000;
/// Time without faults of its own after which the rules hold for a daemon again.
const CONTACT_MS: u64 = 3000;
const DIGEST_MS: u64 = 250;
const TICK_MS: u64 = 10;
const ROUTES: [&str; 8] = [
    "booking", "lookup", "chat", "tags", "plans", "drafts", "notes", "search",
];

pub(crate) fn order() -> Order {
    Order {
        service: SERVICE.into(),
        target: "v2".into(),
        revision: 7,
    }
}

/// Behaviour of a version on a route, a number of milliseconds after the order: the share of answers
/// that are failures, the share that are slow, and how many times longer these take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Behaviour {
    pub(crate) fails: f64,
    pub(crate) slow: f64,
    pub(crate) factor: f64,
    /// When it begins to behave so, as a share of the move's time.
    pub(crate) from: f64,
    /// Whether it behaves so on the first route only.
    pub(crate) one_route: bool,
}

pub(crate) const GOOD: Behaviour = Behaviour {
    fails: 0.0,
    slow: 0.0,
    factor: 1.0,
    from: 0.0,
    one_route: false,
};

/// What happens beside the move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Trouble {
    /// Nothing.
    None,
    /// Both versions fail this share of their requests.
    Outage(f64),
    /// All answers take this many times longer.
    Slowdown(f64),
    /// Three endpoints of all fail two in five of their requests.
    Grey,
    /// Three endpoints of all are five times slower.
    SlowEndpoints,
    /// Every half second an endpoint crashes, with all requests in progress.
    Crashes,
    /// A third of the daemons lose their links to all endpoints.
    CutOff,
    /// A third of the daemons receive nothing from the others.
    Partition,
    /// A daemon is restarted every second.
    Restarts,
    /// All connections of a third of the daemons are reset every half second.
    Resets,
}

/// A move, what the new version is like, and the trouble beside it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) length_ms: u64,
    pub(crate) routes: usize,
    /// Time between two requests of a daemon.
    pub(crate) gap_ms: u64,
    pub(crate) new: Behaviour,
    pub(crate) trouble: Trouble,
    /// Begin and end of the trouble, in milliseconds after the order.
    pub(crate) span: (u64, u64),
}

/// What a move came to.
#[derive(Debug, Default)]
pub(crate) struct MoveResult {
    pub(crate) requests: u32,
    /// Requests that the new version got until the move was due.
    pub(crate) moved: u32,
    /// Requests that daemons in touch sent to it too long after its fiftieth bad answer.
    pub(crate) late: u32,
    /// When the first daemon knew that it is bad.
    pub(crate) found: Option<u64>,
    pub(crate) outcomes: Vec<Outcome>,
}

impl MoveResult {
    /// Requests that a bad version may get.
    pub(crate) fn allowed(&self) -> u32 {
        self.requests / 10 + 50
    }
}

/// A request at an endpoint.
#[derive(Clone, Copy, Debug)]
struct Running {
    ends: u64,
    began: u64,
    daemon: usize,
    route: usize,
    /// Endpoints of the old version come first.
    endpoint: usize,
    good: bool,
    is_bad_answer: bool,
}

/// State of a simulated move.
#[derive(Debug)]
struct Simulation {
    setting: Setting,
    random: fastrand::Rng,
    daemons: Vec<Rollouts>,
    running: Vec<Running>,
    /// Until when each endpoint is down.
    down: Vec<u64>,
    /// Endpoints that fail or are slow by themselves during the trouble.
    weak: Vec<usize>,
    /// When each daemon last had trouble of its own.
    disturbed: Vec<Option<u64>>,
    bad_answers: u32,
    fiftieth: Option<u64>,
    result: MoveResult,
}

/// Simulates a move.
pub(crate) fn simulate(setting: Setting, seed: u64) -> MoveResult {
    let mut random = fastrand::Rng::with_seed(seed);
    let weak = random.choose_multiple(0..2 * ENDPOINTS, 3);
    let mut simulation = Simulation {
        setting,
        random,
        daemons: (0..DAEMONS)
            .map(|_| started(BEGIN_MS, setting.length_ms))
            .collect(),
        running: Vec::new(),
        down: vec![0; 2 * ENDPOINTS],
        weak,
        disturbed: vec![None; DAEMONS],
        bad_answers: 0,
        fiftieth: None,
        result: MoveResult::default(),
    };
    for at in (0..setting.length_ms).step_by(TICK_MS as usize) {
        simulation.tick(at);
    }
    simulation.exchange_digests(setting.length_ms);
    for daemon in &simulation.daemons {
        let report = daemon.reports(0).next().expect("a move was ordered");
        simulation.result.outcomes.push(report.outcome);
    }
    simulation.result
}

/// Endpoints of both versions.
pub(crate) fn endpoints() -> VersionEndpoints {
    VersionEndpoints {
        new: ENDPOINTS as u32,
        old: ENDPOINTS as u32,
        old_requests: 0,
    }
}

fn endpoint_id(number: usize) -> EndpointId {
    format!("i-{number}").into()
}

fn started(now: u64, length_ms: u64) -> Rollouts {
    let mut rollouts = Rollouts::new(0.1);
    rollouts.add_order(order(), now, now + length_ms);
    rollouts
}

impl Simulation {
    fn tick(&mut self, at: u64) {
        self.disturb(at);
        self.end_requests(at);
        let step = self.setting.gap_ms / TICK_MS;
        for daemon in 0..DAEMONS {
            if (at / TICK_MS + daemon as u64).is_multiple_of(step) {
                self.send(daemon, at);
            }
        }
        if at.is_multiple_of(DIGEST_MS) {
            self.exchange_digests(at);
        }
        let busy = self.running.iter().filter(|row| row.endpoint < ENDPOINTS);
        let busy = busy.count() as u32;
        let both = VersionEndpoints {
            old_requests: busy,
            ..endpoints()
        };
        self.daemons[0].due_statuses(BEGIN_MS + at, |_, _| both);
        if self.result.found.is_none() && self.daemons.iter().any(is_rolled_back) {
            self.result.found = Some(at);
        }
    }

    /// Whether the trouble is on, and of this kind.
    fn has(&self, trouble: Trouble, at: u64) -> bool {
        let (from, until) = self.setting.span;
        self.setting.trouble == trouble && (from..until).contains(&at)
    }

    /// Whether a daemon is one of those that a partition or reset affects.
    fn is_affected(daemon: usize) -> bool {
        daemon.is_multiple_of(3)
    }

    fn disturb(&mut self, at: u64) {
        let own = [Trouble::CutOff, Trouble::Partition, Trouble::Resets];
        if own.iter().any(|trouble| self.has(*trouble, at)) {
            for daemon in (0..DAEMONS).filter(|daemon| Self::is_affected(*daemon)) {
                self.disturbed[daemon] = Some(at);
            }
        }
        let is_reset = self.has(Trouble::Resets, at) && at.is_multiple_of(500);
        let is_cut = self.has(Trouble::CutOff, at);
        if is_reset || is_cut {
            self.break_off(at, |row| Self::is_affected(row.daemon));
        }
        if self.has(Trouble::Crashes, at) && at.is_multiple_of(500) {
            let endpoint = self.random.usize(..2 * ENDPOINTS);
            self.down[endpoint] = at + 3000;
            self.break_off(at, |row| row.endpoint == endpoint);
        }
        if self.has(Trouble::Restarts, at) && at.is_multiple_of(1000) {
            let daemon = self.random.usize(..DAEMONS);
            self.disturbed[daemon] = Some(at);
            self.running.retain(|row| row.daemon != daemon);
            self.daemons[daemon] = started(BEGIN_MS + at, self.setting.length_ms);
        }
    }

    /// Breaks the connections of some requests.
    fn break_off(&mut self, at: u64, mut is_hit: impl FnMut(&Running) -> bool) {
        let running = std::mem::take(&mut self.running);
        let (broken, rest) = running.into_iter().partition(|row| is_hit(row));
        self.running = rest;
        let broken: Vec<Running> = broken;
        for mut row in broken {
            (row.good, row.is_bad_answer) = (false, false);
            self.record(row, at);
        }
    }

    fn end_requests(&mut self, at: u64) {
        let running = std::mem::take(&mut self.running);
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|row| row.ends <= at);
        self.running = rest;
        for row in ended {
            if row.is_bad_answer {
                self.bad_answers += 1;
                if self.bad_answers == 50 {
                    self.fiftieth = Some(at);
                }
            }
            self.record(row, at);
        }
    }

    fn record(&mut self, row: Running, at: u64) {
        let version = if row.endpoint < ENDPOINTS { "v1" } else { "v2" };
        let sample = Sample {
            good: row.good,
            took: Duration::from_millis(at - row.began),
            sent: BEGIN_MS + row.began,
        };
        let route = ROUTES[row.route];
        let endpoint = endpoint_id(row.endpoint);
        let place = (&endpoint, &VersionId::from(version));
        self.daemons[row.daemon].record(SERVICE, route, place, sample, BEGIN_MS + at);
    }

    fn send(&mut self, daemon: usize, at: u64) {
        let versions =
            self.daemons[daemon].choose_versions(SERVICE, |_| endpoints(), BEGIN_MS + at);
        let is_cut = self.has(Trouble::CutOff, at) && Self::is_affected(daemon);
        let Some(endpoint) = self.choose(&versions, at).filter(|_| !is_cut) else {
            return;
        };
        self.result.requests += 1;
        let is_new = endpoint >= ENDPOINTS;
        if is_new {
            self.result.moved += 1;
            let limit = self.fiftieth.map(|fiftieth| fiftieth + ROLL_BACK_MS);
            let in_touch =
                self.disturbed[daemon].is_none_or(|disturbed| disturbed + CONTACT_MS < at);
            self.result.late += u32::from(in_touch && limit.is_some_and(|limit| at > limit));
        }
        let route = self.random.usize(..self.setting.routes);
        let new = self.setting.new;
        let begins = new.from * self.setting.length_ms as f64;
        let is_on = is_new && at as f64 >= begins && (!new.one_route || route == 0);
        let fails = is_on && self.random.f64() < new.fails;
        let is_slow = is_on && self.random.f64() < new.slow;
        let (fails_anyway, slower) = self.trouble_at(endpoint, at);
        // One in seven lookups always fails.
        let fails_always = route == 1 && self.random.f64() < 0.14;
        let factor = slower * if is_slow { new.factor } else { 1.0 };
        let millis = 100.0 * factor * (0.7 + 0.6 * self.random.f64());
        self.running.push(Running {
            ends: at + millis as u64,
            began: at,
            daemon,
            route,
            endpoint,
            good: !fails && !fails_anyway && !fails_always,
            is_bad_answer: fails || is_slow,
        });
    }

    /// Whether a request fails because of the trouble, and how many times longer it takes.
    fn trouble_at(&mut self, endpoint: usize, at: u64) -> (bool, f64) {
        let is_weak = self.weak.contains(&endpoint);
        let share = match self.setting.trouble {
            Trouble::Outage(share) => share,
            Trouble::Grey if is_weak => 0.4,
            _ => 0.0,
        };
        let slower = match self.setting.trouble {
            Trouble::Slowdown(factor) => factor,
            Trouble::SlowEndpoints if is_weak => 5.0,
            _ => 1.0,
        };
        if !self.has(self.setting.trouble, at) {
            return (false, 1.0);
        }
        (self.random.f64() < share, slower)
    }

    /// Chooses an endpoint at random, as the versions allow it.
    fn choose(&mut self, versions: &Versions, at: u64) -> Option<usize> {
        let running = (0..2 * ENDPOINTS).filter(|endpoint| self.down[*endpoint] <= at);
        let name = |endpoint: usize| if endpoint < ENDPOINTS { "v1" } else { "v2" };
        let allowed = running.filter(|endpoint| versions.allow(name(*endpoint)));
        let allowed: Vec<usize> = allowed.collect();
        let (count, first) = match versions {
            Versions::Only(_, Some(trial)) => (trial.count as usize, trial.first as usize),
            _ => (usize::MAX, 0),
        };
        let count = count.min(allowed.len());
        let first = first % allowed.len().max(1);
        let allowed = allowed.into_iter().cycle().skip(first).take(count);
        let allowed: Vec<usize> = allowed.collect();
        self.random.choice(allowed)
    }

    fn exchange_digests(&mut self, at: u64) {
        let is_partitioned = self.has(Trouble::Partition, at);
        let silent = |daemon| is_partitioned && Self::is_affected(daemon);
        let rows = self.daemons.iter();
        let reports: Vec<Vec<_>> = rows
            .map(|row| row.reports(BEGIN_MS + at).collect())
            .collect();
        for (from, reports) in reports.iter().enumerate() {
            for (to, daemon) in self.daemons.iter_mut().enumerate() {
                if to == from || silent(from) || silent(to) {
                    continue;
                }
                for report in reports {
                    daemon.merge(&format!("d{from}"), report, BEGIN_MS + at);
                }
            }
        }
    }
}

fn is_rolled_back(daemon: &Rollouts) -> bool {
    daemon
        .reports(0)
        .next()
        .is_some_and(|report| report.outcome == Outcome::RolledBack)
}
