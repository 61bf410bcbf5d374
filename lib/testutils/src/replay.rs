//! Replays a trace against a few deciding cores and fake engines on virtual time.
//!
//! It replaces only the input and output of the daemons: it delivers commands to the
//! engines, returns their answers, delayed load reports and cache events with gaps, and
//! forwards tokens to the callers by offset.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use poplarvale_lib::routing::{CacheEvent, Event, LoadReport, Policy};
use poplarvale_lib::{
    Accepted, Code, Command, Customer, Ending, Input, ListedEndpoint, Lists, Order, Outcome, Plan,
    Send, Service, ServiceKind, Setup, World, issuer,
};

use crate::fake_engines::{Engine, Job, Speed};

/// Step of the virtual time in seconds.
const STEP_S: f64 = 0.010;
/// Time after the last arrival until which all requests should have ended, in seconds.
const DRAIN_S: f64 = 40.0;

/// Fleet that a trace is replayed against.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// Policy for the choice of endpoints.
    pub policy: Policy,
    /// Number of availability zones.
    pub zones: usize,
    /// Endpoints in each zone.
    pub endpoints: usize,
    /// Daemons in each zone.
    pub daemons: usize,
    /// Speed and capacity of the engines.
    pub speed: Speed,
    /// Interval between load reports in seconds.
    pub report_interval: f64,
    /// Delay of load reports, and mean delay of cache events, in seconds.
    pub lag: f64,
    /// Fraction of the cache events that is lost.
    pub lost: f64,
}

/// A request of the trace.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of arrival in seconds.
    pub at: f64,
    /// Index of the daemon that receives it.
    pub daemon: usize,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Length of the answer in tokens.
    pub answer: u32,
}

/// Reclaim of a zone's endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Reclaim {
    /// Time of the reclaim notice in seconds.
    pub at: f64,
    /// Time between notice and reclaim in seconds.
    pub notice: f64,
    /// Index of the zone.
    pub zone: usize,
}

/// Results for the callers, and the work they took.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Times to the first token in seconds, sorted.
    pub ttft_s: Vec<f64>,
    /// Complete answers.
    pub whole: usize,
    /// Requests that ended without a complete answer.
    pub failed: usize,
    /// Attempts that failed because their endpoint was reclaimed.
    pub broken: usize,
    /// Attempts sent after their endpoint's reclaim notice.
    pub after_notice: usize,
    /// Streams migrated with their KV cache.
    pub migrated: usize,
    /// Complete answers that had missing tokens.
    pub corrupted: usize,
    /// Prompt tokens prefilled.
    pub computed: f64,
    /// Prompt tokens prefilled beyond one prefill of each distinct block.
    pub recomputed: f64,
    /// Ratio of the most to the mean streams per endpoint, averaged over time.
    pub imbalance: f64,
    /// Most streams at one endpoint at any time.
    pub most: usize,
}

impl Outcomes {
    /// Quantile `share` of the time to the first token, in seconds.
    pub fn first(&self, share: f64) -> f64 {
        let at = (self.ttft_s.len() as f64 * share) as usize;
        self.ttft_s
            .get(at.min(self.ttft_s.len().saturating_sub(1)))
            .copied()
            .unwrap_or(f64::NAN)
    }
}

/// Generates a trace of conversations. Each request repeats the whole history of its
/// conversation and arrives at a random daemon; conversations of the same kind share a
/// prompt prefix.
///
/// `rate` is in requests per second, over `seconds`; `hot` is the fraction of the new
/// conversations that belong to one kind.
pub fn conversations(seed: u64, rate: f64, seconds: f64, daemons: usize, hot: f64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sessions: Vec<(Vec<u64>, u32)> = Vec::new();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < seconds {
        at += -(1.0 - rng.f64()).ln() / rate;
        let old = !sessions.is_empty() && rng.f64() < 0.75;
        let session = if old {
            rng.usize(..sessions.len())
        } else {
            let kind = if rng.f64() < hot { 0 } else { rng.u64(1..40) };
            sessions.push((chain(&mut rng, kind, 12), 0));
            sessions.len() - 1
        };
        let (blocks, turns) = &mut sessions[session];
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
            sessions.swap_remove(session);
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

struct Delivery {
    due: f64,
    event: Event,
}

struct Caller {
    received: u32,
    corrupted: bool,
    arrival: usize,
}

struct Endpoint {
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
    endpoints: Vec<Endpoint>,
    callers: Vec<(u128, Caller)>,
    deliveries: Vec<Delivery>,
    rng: fastrand::Rng,
    out: Outcomes,
    samples: u32,
}

/// Replays a trace.
pub fn replay(scene: &Scene, arrivals: &[Arrival], reclaims: &[Reclaim]) -> Outcomes {
    let mut replay = Replay::new(scene, arrivals);
    let end = arrivals.last().map_or(0.0, |arrival| arrival.at) + DRAIN_S;
    let mut next = 0;
    let mut count = 0_u64;
    while replay.now < end {
        count += 1;
        replay.now = count as f64 * STEP_S;
        while next < arrivals.len() && arrivals[next].at <= replay.now {
            replay.arrive(next);
            next += 1;
        }
        replay.reclaim(reclaims);
        replay.work();
        if count.is_multiple_of((scene.report_interval / STEP_S).max(1.0) as u64) {
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
        let mut endpoints = Vec::new();
        for at in 0..scene.zones * scene.endpoints {
            endpoints.push(Endpoint {
                id: format_compact!("e{at:04}"),
                zone: at % scene.zones,
                engine: Engine::new(scene.speed),
                notice: None,
                gone: None,
                epoch: 1,
            });
        }
        let mut first = vec![Input::Lists(lists())];
        first.extend(
            endpoints
                .iter()
                .map(|endpoint| Input::Endpoint(listed_endpoint(endpoint))),
        );
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
            endpoints,
            callers: Vec::new(),
            deliveries: Vec::new(),
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
            deadline: now + Duration::from_secs_f64(DRAIN_S - 1.0),
        };
        self.inputs[arrival.daemon].push(Input::Arrived(order));
        self.callers.push((
            id,
            Caller {
                received: 0,
                corrupted: false,
                arrival: at,
            },
        ));
    }

    fn reclaim(&mut self, reclaims: &[Reclaim]) {
        for reclaim in reclaims {
            let until = self.time(reclaim.at + reclaim.notice);
            for at in 0..self.endpoints.len() {
                if self.endpoints[at].zone != reclaim.zone {
                    continue;
                }
                if self.endpoints[at].notice.is_none() && reclaim.at <= self.now {
                    self.endpoints[at].notice = Some(self.now);
                    let endpoint = self.endpoints[at].id.clone();
                    self.broadcast(&Input::Leaving { endpoint, until });
                }
                let end = reclaim.at + reclaim.notice;
                if self.endpoints[at].gone.is_none() && end <= self.now {
                    self.endpoints[at].gone = Some(self.now);
                    self.remove_endpoint(at);
                }
            }
        }
    }

    fn remove_endpoint(&mut self, at: usize) {
        for attempt in self.endpoints[at].engine.attempts() {
            self.endpoints[at].engine.cancel(attempt);
            self.out.broken += 1;
            self.end_attempt(attempt, Outcome::Failed { code: Code::Broken });
        }
        self.broadcast(&Input::Gone(self.endpoints[at].id.clone()));
    }

    fn broadcast(&mut self, input: &Input) {
        for inputs in &mut self.inputs {
            inputs.push(input.clone());
        }
    }

    /// Advances the engines by one step and forwards their tokens.
    fn work(&mut self) {
        for at in 0..self.endpoints.len() {
            if self.endpoints[at].gone.is_some() {
                continue;
            }
            for step in self.endpoints[at].engine.step(STEP_S) {
                self.forward_tokens(step.attempt, step.delivered);
                if step.done {
                    self.end_attempt(step.attempt, Outcome::Complete { status: 200 });
                }
            }
            let epoch = self.endpoints[at].epoch;
            for change in self.endpoints[at].engine.changes() {
                if self.rng.f64() < self.scene.lost {
                    continue;
                }
                let event = CacheEvent {
                    endpoint: self.endpoints[at].id.clone(),
                    epoch,
                    sequence: change.sequence,
                    added: change.added,
                    removed: change.removed,
                };
                // Random delays reorder the events.
                let due = self.now + self.scene.lag * (0.5 + self.rng.f64());
                let event = Event::Cache(event);
                self.deliveries.push(Delivery { due, event });
            }
        }
    }

    /// Forwards the tokens of the current attempt, each offset once.
    fn forward_tokens(&mut self, attempt: u128, delivered: u32) {
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
        if caller.received == 0 && delivered > 0 {
            let waited = now - self.arrivals[caller.arrival].at;
            self.out.ttft_s.push(waited);
        }
        caller.received = caller.received.max(delivered);
        self.inputs[daemon].push(Input::Progress {
            attempt,
            request: id,
            delivered,
        });
    }

    fn end_attempt(&mut self, attempt: u128, outcome: Outcome) {
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
        for endpoint in self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.gone.is_none())
        {
            let speed = self.scene.speed;
            let report = LoadReport {
                endpoint: endpoint.id.clone(),
                at,
                running: endpoint.engine.attempts().len() as u32,
                pending: endpoint.engine.pending(),
                slots: speed.slots as u32,
                prefill: speed.prefill,
                decode: speed.decode,
                export: speed.export,
            };
            self.deliveries.push(Delivery {
                due: self.now + self.scene.lag,
                event: Event::Load(report),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let deliveries = std::mem::take(&mut self.deliveries);
        let (due, later): (Vec<Delivery>, Vec<Delivery>) = deliveries
            .into_iter()
            .partition(|delivery| delivery.due <= now);
        self.deliveries = later;
        for delivery in due {
            self.broadcast(&Input::Routing(delivery.event));
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
                self.execute(command);
            }
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Send(send) => self.send(&send),
            Command::Cancel(attempt) => self.cancel(attempt),
            Command::Move { .. } => {}
            Command::Finish { request, ending } => self.finish_request(request, &ending),
        }
    }

    fn cancel(&mut self, attempt: u128) {
        for endpoint in &mut self.endpoints {
            endpoint.engine.cancel(attempt);
        }
    }

    fn send(&mut self, send: &Send) {
        if let Some(from) = send.cache_from {
            self.out.migrated += 1;
            self.cancel(from);
        }
        let Some(caller) = find(&mut self.callers, send.request) else {
            return;
        };
        // Resuming at an offset beyond the received tokens would lose tokens.
        caller.corrupted |= send.delivered > caller.received;
        let arrival = &self.arrivals[caller.arrival];
        let job = Job {
            attempt: send.attempt,
            blocks: arrival.blocks.clone(),
            prompt: arrival.blocks.len() as u32 * 64,
            delivered: send.delivered,
            answer: arrival.answer,
            migrated: send.cache_from.is_some(),
        };
        let at = self
            .endpoints
            .binary_search_by(|endpoint| endpoint.id.cmp(&send.endpoint));
        if let Ok(at) = at {
            let endpoint = &mut self.endpoints[at];
            self.out.after_notice +=
                usize::from(endpoint.notice.is_some_and(|notice| notice < self.now));
            if endpoint.gone.is_none() {
                endpoint.engine.send(job);
            }
        }
    }

    fn finish_request(&mut self, request: u128, ending: &Ending) {
        let Some(caller) = find(&mut self.callers, request) else {
            return;
        };
        let answer = self.arrivals[caller.arrival].answer;
        if matches!(ending, Ending::Complete { .. }) {
            self.out.whole += 1;
            self.out.corrupted += usize::from(caller.corrupted || caller.received != answer);
        } else {
            self.out.failed += 1;
        }
    }

    fn sample(&mut self) {
        let live = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.notice.is_none());
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
        let min_tokens = blocks.len() as f64 * 64.0;
        self.out.computed = self.endpoints.iter().map(|s| s.engine.computed).sum();
        self.out.recomputed = (self.out.computed - min_tokens).max(0.0);
        self.out.imbalance /= f64::from(self.samples.max(1));
        self.out.ttft_s.sort_by(f64::total_cmp);
        self.out
    }
}

fn find(callers: &mut [(u128, Caller)], id: u128) -> Option<&mut Caller> {
    let at = callers.binary_search_by_key(&id, |(id, _)| *id).ok()?;
    Some(&mut callers[at].1)
}

fn listed_endpoint(endpoint: &Endpoint) -> ListedEndpoint {
    ListedEndpoint {
        id: endpoint.id.clone(),
        service: "pool".into(),
        zone: format_compact!("z{}", endpoint.zone),
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
