//! Replays a trace against a few deciding cores and fake engines.
//!
//! Stands for the borders only: it carries commands to the engines and their
//! answers, late load reports and cache events with gaps back, and passes tokens
//! on to the caller by their offsets.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use poplarvale_lib::routing::{CacheEvent, Event, LoadReport, Policy};
use poplarvale_lib::{
    Accepted, Code, Command, Customer, Ending, Input, ListedEndpoint, Lists, Order, Outcome, Plan,
    Send, Service, ServiceKind, Setup, World, issuer,
};

use crate::fake_engines::{Engine, Job, Speed};

/// Length of a step.
const STEP: f64 = 0.010;
/// Time after the last arrival in which everything should have ended.
const REST: f64 = 40.0;

/// What the trace is replayed against.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Availability zones.
    pub zones: usize,
    /// Endpoints in each.
    pub endpoints: usize,
    /// Daemons in each.
    pub daemons: usize,
    /// What the engines can do.
    pub speed: Speed,
    /// Seconds between load reports.
    pub every: f64,
    /// Seconds by which load reports and cache events are late.
    pub lag: f64,
    /// Share of the cache events that never comes.
    pub lost: f64,
}

/// A request of the trace.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, in seconds.
    pub at: f64,
    /// Daemon it comes to.
    pub daemon: usize,
    /// Hash chain over the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Tokens of the answer.
    pub answer: u32,
}

/// A zone that is reclaimed.
#[derive(Clone, Copy, Debug)]
pub struct Reclaim {
    /// When its notice comes, in seconds.
    pub at: f64,
    /// Seconds of notice.
    pub notice: f64,
    /// Zone.
    pub zone: usize,
}

/// What callers got, and what it took.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Seconds to the first token, sorted.
    pub firsts: Vec<f64>,
    /// Answers in full.
    pub whole: usize,
    /// Requests that ended otherwise.
    pub failed: usize,
    /// Sendings that broke as their endpoint went away.
    pub broken: usize,
    /// Sendings made after the endpoint's notice.
    pub late: usize,
    /// Streams carried with their KV cache.
    pub carried: usize,
    /// Answers whose text was not each token once.
    pub torn: usize,
    /// Prompt tokens computed.
    pub computed: f64,
    /// Prompt tokens computed beyond each distinct block once.
    pub recomputed: f64,
    /// Most over mean of the endpoints' streams, averaged over time.
    pub imbalance: f64,
    /// Most streams at one endpoint.
    pub most: usize,
}

impl Outcomes {
    /// Seconds within which a share of the first tokens came.
    pub fn first(&self, share: f64) -> f64 {
        let at = (self.firsts.len() as f64 * share) as usize;
        self.firsts
            .get(at.min(self.firsts.len().saturating_sub(1)))
            .copied()
            .unwrap_or(f64::NAN)
    }
}

/// A trace of conversations: each goes on with its whole history, comes to any
/// daemon, and shares the beginning of its prompt with others of its kind.
///
/// `rate` requests a second for `seconds`; `hot` is the share of the requests
/// that belong to one kind.
pub fn conversations(seed: u64, rate: f64, seconds: f64, daemons: usize, hot: f64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut talks: Vec<(Vec<u64>, u32)> = Vec::new();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < seconds {
        at += -(1.0 - rng.f64()).ln() / rate;
        let old = !talks.is_empty() && rng.f64() < 0.75;
        let talk = if old {
            rng.usize(..talks.len())
        } else {
            let kind = if rng.f64() < hot { 0 } else { rng.u64(1..40) };
            talks.push((chain(&mut rng, kind, 12), 0));
            talks.len() - 1
        };
        let (blocks, turns) = &mut talks[talk];
        let fresh = rng.usize(4..20);
        extend(blocks, &mut rng, fresh);
        *turns += 1;
        arrivals.push(Arrival {
            at,
            daemon: rng.usize(..daemons),
            blocks: blocks.clone(),
            answer: rng.u32(30..270),
        });
        if *turns >= 8 {
            talks.swap_remove(talk);
        }
    }
    arrivals
}

fn chain(rng: &mut fastrand::Rng, kind: u64, shared: usize) -> Vec<u64> {
    let mut common = fastrand::Rng::with_seed(kind);
    let mut blocks = Vec::new();
    extend(&mut blocks, &mut common, shared);
    extend(&mut blocks, rng, 4);
    blocks
}

fn extend(blocks: &mut Vec<u64>, rng: &mut fastrand::Rng, count: usize) {
    blocks.extend(std::iter::repeat_with(|| rng.u64(..)).take(count));
}

struct Post {
    due: f64,
    event: Event,
}

struct Caller {
    passed: u32,
    torn: bool,
    arrival: usize,
}

struct Stand {
    id: CompactString,
    zone: usize,
    engine: Engine,
    notice: Option<f64>,
    gone: Option<f64>,
    epoch: u64,
}

struct Replay<'a> {
    scene: &'a Scene,
    arrivals: &'a [Arrival],
    start: Instant,
    now: f64,
    worlds: Vec<World>,
    inputs: Vec<Vec<Input>>,
    stands: Vec<Stand>,
    callers: Vec<(u128, Caller)>,
    posts: Vec<Post>,
    rng: fastrand::Rng,
    out: Outcomes,
    samples: u32,
}

/// Replays a trace.
pub fn replay(scene: &Scene, arrivals: &[Arrival], reclaims: &[Reclaim]) -> Outcomes {
    let mut replay = Replay::new(scene, arrivals);
    let end = arrivals.last().map_or(0.0, |arrival| arrival.at) + REST;
    let mut next = 0;
    let mut count = 0_u64;
    while replay.now < end {
        count += 1;
        replay.now = count as f64 * STEP;
        while next < arrivals.len() && arrivals[next].at <= replay.now {
            replay.arrive(next);
            next += 1;
        }
        replay.reclaim(reclaims);
        replay.work();
        if count.is_multiple_of((scene.every / STEP).max(1.0) as u64) {
            replay.report();
        }
        replay.deliver();
        replay.tick(count.is_multiple_of(5));
        if count.is_multiple_of(100) {
            replay.sample();
        }
    }
    replay.finish()
}

impl<'a> Replay<'a> {
    fn new(scene: &'a Scene, arrivals: &'a [Arrival]) -> Self {
        let start = Instant::now();
        let mut worlds = Vec::new();
        for daemon in 0..scene.zones * scene.daemons {
            let mut world = world(daemon, daemon % scene.zones);
            world.routing.policy = scene.policy;
            worlds.push(world);
        }
        let mut stands = Vec::new();
        for at in 0..scene.zones * scene.endpoints {
            stands.push(Stand {
                id: format_compact!("e{at:04}"),
                zone: at % scene.zones,
                engine: Engine::new(scene.speed),
                notice: None,
                gone: None,
                epoch: 1,
            });
        }
        let mut first = vec![Input::Lists(lists())];
        first.extend(stands.iter().map(|stand| Input::Endpoint(known(stand))));
        for world in &mut worlds {
            world.tick(start, first.clone());
        }
        Self {
            scene,
            arrivals,
            start,
            now: 0.0,
            inputs: vec![Vec::new(); worlds.len()],
            worlds,
            stands,
            callers: Vec::new(),
            posts: Vec::new(),
            rng: fastrand::Rng::with_seed(crate::SEED),
            out: Outcomes::default(),
            samples: 0,
        }
    }

    fn time(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at)
    }

    fn arrive(&mut self, at: usize) {
        let arrival = &self.arrivals[at];
        let id = at as u128;
        let now = self.time(self.now);
        let order = Order {
            id,
            customer: "guests".into(),
            service: "pool".into(),
            route: "small".into(),
            model: Some("small".into()),
            idempotent: true,
            blocks: arrival.blocks.clone(),
            prompt: arrival.blocks.len() as u32 * 64,
            answer: arrival.answer,
            arrived: now,
            deadline: now + Duration::from_secs_f64(REST - 1.0),
        };
        self.inputs[arrival.daemon].push(Input::Arrived(order));
        self.callers.push((
            id,
            Caller {
                passed: 0,
                torn: false,
                arrival: at,
            },
        ));
    }

    fn reclaim(&mut self, reclaims: &[Reclaim]) {
        for reclaim in reclaims {
            let until = self.time(reclaim.at + reclaim.notice);
            for at in 0..self.stands.len() {
                if self.stands[at].zone != reclaim.zone {
                    continue;
                }
                if self.stands[at].notice.is_none() && reclaim.at <= self.now {
                    self.stands[at].notice = Some(self.now);
                    let endpoint = self.stands[at].id.clone();
                    self.tell(&Input::Leaving { endpoint, until });
                }
                let end = reclaim.at + reclaim.notice;
                if self.stands[at].gone.is_none() && end <= self.now {
                    self.stands[at].gone = Some(self.now);
                    self.vanish(at);
                }
            }
        }
    }

    fn vanish(&mut self, at: usize) {
        for attempt in self.stands[at].engine.attempts() {
            self.stands[at].engine.cancel(attempt);
            self.out.broken += 1;
            self.end(attempt, Outcome::Failed { code: Code::Broken });
        }
        self.tell(&Input::Gone(self.stands[at].id.clone()));
    }

    fn tell(&mut self, input: &Input) {
        for inputs in &mut self.inputs {
            inputs.push(input.clone());
        }
    }

    /// Lets the engines work and passes their tokens on.
    fn work(&mut self) {
        for at in 0..self.stands.len() {
            if self.stands[at].gone.is_some() {
                continue;
            }
            for step in self.stands[at].engine.step(STEP) {
                self.pass(step.attempt, step.delivered);
                if step.done {
                    self.end(step.attempt, Outcome::Complete { status: 200 });
                }
            }
            let epoch = self.stands[at].epoch;
            for change in self.stands[at].engine.changes() {
                if self.rng.f64() < self.scene.lost {
                    continue;
                }
                let event = CacheEvent {
                    endpoint: self.stands[at].id.clone(),
                    epoch,
                    sequence: change.sequence,
                    added: change.added,
                    removed: change.removed,
                };
                // Some are later than others, so that they pass each other.
                let due = self.now + self.scene.lag * (0.5 + self.rng.f64());
                let event = Event::Cache(event);
                self.posts.push(Post { due, event });
            }
        }
    }

    /// Passes tokens of the current attempt on, each offset once.
    fn pass(&mut self, attempt: u128, delivered: u32) {
        let Some(daemon) = self.daemon(attempt) else {
            return;
        };
        let Some(id) = self.request(daemon, attempt) else {
            return;
        };
        let now = self.now;
        let Some(caller) = find(&mut self.callers, id) else {
            return;
        };
        if caller.passed == 0 && delivered > 0 {
            let waited = now - self.arrivals[caller.arrival].at;
            self.out.firsts.push(waited);
        }
        caller.passed = caller.passed.max(delivered);
        self.inputs[daemon].push(Input::Progress {
            attempt,
            request: id,
            delivered,
        });
    }

    fn end(&mut self, attempt: u128, outcome: Outcome) {
        let Some(daemon) = self.daemon(attempt) else {
            return;
        };
        if let Some(request) = self.request(daemon, attempt) {
            self.inputs[daemon].push(Input::Ended {
                attempt,
                request,
                outcome,
            });
        }
    }

    fn daemon(&self, attempt: u128) -> Option<usize> {
        let incarnation = issuer(attempt);
        self.worlds
            .iter()
            .position(|world| world.setup.incarnation == incarnation)
    }

    fn request(&self, daemon: usize, attempt: u128) -> Option<u128> {
        let requests = &self.worlds[daemon].requests;
        let request = requests.iter().find(|r| r.attempt() == Some(attempt))?;
        Some(request.order().id)
    }

    fn report(&mut self) {
        let at = self.time(self.now);
        for stand in self.stands.iter().filter(|stand| stand.gone.is_none()) {
            let speed = self.scene.speed;
            let report = LoadReport {
                endpoint: stand.id.clone(),
                at,
                running: stand.engine.attempts().len() as u32,
                pending: stand.engine.pending(),
                slots: speed.slots as u32,
                prefill: speed.prefill,
                decode: speed.decode,
                export: speed.export,
            };
            self.posts.push(Post {
                due: self.now + self.scene.lag,
                event: Event::Load(report),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let posts = std::mem::take(&mut self.posts);
        let (due, later): (Vec<Post>, Vec<Post>) =
            posts.into_iter().partition(|post| post.due <= now);
        self.posts = later;
        for post in due {
            self.tell(&Input::Routing(post.event));
        }
    }

    fn tick(&mut self, all: bool) {
        let now = self.time(self.now);
        for daemon in 0..self.worlds.len() {
            let inputs = std::mem::take(&mut self.inputs[daemon]);
            if inputs.is_empty() && !all {
                continue;
            }
            for command in self.worlds[daemon].tick(now, inputs) {
                self.carry_out(command);
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Send(send) => self.send(&send),
            Command::Cancel(attempt) => self.stop(attempt),
            Command::Move { .. } => {}
            Command::Finish { request, ending } => self.close(request, &ending),
        }
    }

    fn stop(&mut self, attempt: u128) {
        for stand in &mut self.stands {
            stand.engine.cancel(attempt);
        }
    }

    fn send(&mut self, send: &Send) {
        if let Some(from) = send.cache_from {
            self.out.carried += 1;
            self.stop(from);
        }
        let Some(caller) = find(&mut self.callers, send.request) else {
            return;
        };
        // An answer that goes on beyond what the caller has would lose tokens.
        caller.torn |= send.delivered > caller.passed;
        let arrival = &self.arrivals[caller.arrival];
        let job = Job {
            attempt: send.attempt,
            blocks: arrival.blocks.clone(),
            prompt: arrival.blocks.len() as u32 * 64,
            delivered: send.delivered,
            answer: arrival.answer,
            carried: send.cache_from.is_some(),
        };
        let at = self
            .stands
            .binary_search_by(|stand| stand.id.cmp(&send.endpoint));
        if let Ok(at) = at {
            let stand = &mut self.stands[at];
            self.out.late += usize::from(stand.notice.is_some_and(|notice| notice < self.now));
            if stand.gone.is_none() {
                stand.engine.send(job);
            }
        }
    }

    fn close(&mut self, request: u128, ending: &Ending) {
        let Some(caller) = find(&mut self.callers, request) else {
            return;
        };
        let answer = self.arrivals[caller.arrival].answer;
        if matches!(ending, Ending::Complete { .. }) {
            self.out.whole += 1;
            self.out.torn += usize::from(caller.torn || caller.passed != answer);
        } else {
            self.out.failed += 1;
        }
    }

    fn sample(&mut self) {
        let live = self.stands.iter().filter(|stand| stand.notice.is_none());
        let loads: Vec<usize> = live.map(|s| s.engine.attempts().len()).collect();
        let most = loads.iter().copied().max().unwrap_or(0);
        let mean = loads.iter().sum::<usize>() as f64 / loads.len().max(1) as f64;
        self.out.most = self.out.most.max(most);
        if mean >= 1.0 {
            self.out.imbalance += most as f64 / mean;
            self.samples += 1;
        }
    }

    fn finish(mut self) -> Outcomes {
        let mut blocks: Vec<u64> = self
            .arrivals
            .iter()
            .flat_map(|arrival| arrival.blocks.iter().copied())
            .collect();
        blocks.sort_unstable();
        blocks.dedup();
        let least = blocks.len() as f64 * 64.0;
        self.out.computed = self.stands.iter().map(|s| s.engine.computed).sum();
        self.out.recomputed = (self.out.computed - least).max(0.0);
        self.out.imbalance /= f64::from(self.samples.max(1));
        self.out.firsts.sort_by(f64::total_cmp);
        self.out
    }
}

fn find(callers: &mut [(u128, Caller)], id: u128) -> Option<&mut Caller> {
    let at = callers.binary_search_by_key(&id, |(id, _)| *id).ok()?;
    Some(&mut callers[at].1)
}

fn known(stand: &Stand) -> ListedEndpoint {
    ListedEndpoint {
        id: stand.id.clone(),
        service: "pool".into(),
        zone: format_compact!("z{}", stand.zone),
        address: ([127, 0, 0, 1], 9000).into(),
        version: "v1".into(),
    }
}

fn world(daemon: usize, zone: usize) -> World {
    let setup = Setup {
        incarnation: daemon as u64 + 1,
        zone: format_compact!("z{zone}"),
        region: "r".into(),
        waiting: 100_000,
        running: 10_000,
    };
    let service = Service {
        id: "pool".into(),
        kind: ServiceKind::Model,
        models: vec!["small".into()],
        routes: Vec::new(),
        deadline_ms: 60_000,
        version: None,
        endpoints: Vec::new(),
    };
    World::new(setup, vec![service], crate::SEED + daemon as u64)
}

fn lists() -> Accepted {
    let customer = Customer {
        id: "guests".into(),
        plan: "all".into(),
        digests: Vec::new(),
    };
    let plan = Plan {
        id: "all".into(),
        priority: 1,
        requests: 1e9,
        tokens: 1e9,
        running: u32::MAX,
        services: Vec::new(),
        models: vec!["small".into()],
    };
    Accepted {
        revision: 1,
        lists: Lists {
            customers: vec![customer],
            plans: vec![plan],
        },
    }
}
