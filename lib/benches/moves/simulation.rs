//! Simulates one move: requests, endpoints whose latencies grow with their load, and answers.

use std::time::{Duration, Instant};

use poplarvale_lib::moves::evidence::{Sample, VersionSide};
use poplarvale_lib::moves::{FULL_SHARE, Pick, Time};

use crate::cases::{Case, Disturbance, Fault, Onset};
use crate::policy::{End, Policy, Score};
use crate::{DAEMONS, ENDPOINTS, STEP, TERM_MS, WALL_START_MS};

/// An answer that is recorded at a later step.
pub(crate) struct Answer {
    pub(crate) daemon: usize,
    pub(crate) sample: Sample,
}

/// Length of the ring of answers in steps: ten seconds. Slower answers arrive at its end.
pub(crate) const RING_STEPS: usize = 200;

pub(crate) struct Simulation<'a, P> {
    pub(crate) case: &'a Case,
    pub(crate) policy: P,
    pub(crate) rng: fastrand::Rng,
    pub(crate) ring: Vec<Vec<Answer>>,
    pub(crate) step: u64,
    /// Recent requests per second at each endpoint of the old and the new version.
    pub(crate) rates: [[f64; ENDPOINTS as usize]; 2],
    /// Requests to each endpoint in this step.
    pub(crate) arrivals: [[f64; ENDPOINTS as usize]; 2],
    pub(crate) score: Score,
}

impl<P: Policy> Simulation<'_, P> {
    pub(crate) fn run(mut self, start: Instant) -> Score {
        let steps = 2 * TERM_MS / STEP.as_millis() as u64;
        self.score.planned = self.case.rate * TERM_MS as f64 / 1000.0;
        while self.step < steps && self.score.end == End::Open {
            self.step += 1;
            let ms = self.step * STEP.as_millis() as u64;
            let time = Time {
                now: start + Duration::from_millis(ms),
                wall: WALL_START_MS + ms,
            };
            self.advance(time, ms);
        }
        self.score
    }

    pub(crate) fn advance(&mut self, time: Time, ms: u64) {
        let slot = (self.step as usize) % RING_STEPS;
        for answer in std::mem::take(&mut self.ring[slot]) {
            self.policy.record(answer.daemon, &answer.sample);
        }
        let part = ms as f64 / TERM_MS as f64;
        let rise = if self.case.disturbance == Disturbance::Rise && part > self.case.from {
            1.4
        } else {
            1.0
        };
        let rate = self.case.rate * rise;
        for daemon in 0..DAEMONS {
            for _ in 0..self.poisson(rate * STEP.as_secs_f64() / DAEMONS as f64) {
                self.request(time, part, daemon);
            }
        }
        self.count_rates();
        self.score.elapsed_ms = ms;
        self.score.end = self.policy.tick(time, &mut self.score);
    }

    /// Updates the rates, which are averages that decay over about five seconds.
    pub(crate) fn count_rates(&mut self) {
        let fade = STEP.as_secs_f64() / 5.0;
        let rates = self.rates.as_flattened_mut();
        for (rate, arrivals) in rates.iter_mut().zip(self.arrivals.as_flattened_mut()) {
            *rate += fade * (std::mem::take(arrivals) / STEP.as_secs_f64() - *rate);
        }
    }

    pub(crate) fn request(&mut self, time: Time, part: f64, daemon: usize) {
        let at = self.route();
        let route = &self.case.routes()[at];
        let sample_point = self.rng.u32(..FULL_SHARE);
        let is_new = self
            .policy
            .pick(daemon, time.now, route.idempotent, sample_point)
            == Pick::New;
        let side = usize::from(is_new);
        let endpoints = self.policy.endpoint_counts(daemon, time.now)[side];
        let endpoint = self.rng.u32(..endpoints) as usize;
        self.arrivals[side][endpoint] += 1.0;
        let per_endpoint = self.rates[side][endpoint];
        // Load of the endpoint relative to the load of each endpoint before the move.
        let relative = per_endpoint * f64::from(ENDPOINTS) / self.case.rate;
        let fault = if is_new {
            self.active_fault(part, at, relative)
        } else {
            Fault::None
        };
        let busy = (self.case.load * relative).min(0.95);
        let mut ms = route.median * (0.5 * self.normal()).exp() / (1.0 - busy);
        let incident = self.case.disturbance == Disturbance::Incident && {
            let from = self.case.from;
            (from..from + 10_000.0 / TERM_MS as f64).contains(&part)
        };
        let mut failed = self.rng.f64() < if incident { 0.2 } else { 0.002 };
        let hit = match fault {
            Fault::None => false,
            Fault::Fail(share) => self.rng.f64() < share,
            Fault::Slow(times) => {
                ms *= times;
                true
            }
        };
        failed |= hit && matches!(fault, Fault::Fail(_));
        self.count(hit);
        let sample = Sample {
            route: route.name.into(),
            idempotent: route.idempotent,
            which: if is_new {
                VersionSide::New
            } else {
                VersionSide::Old
            },
            time: (!failed).then(|| Duration::from_secs_f64(ms / 1000.0)),
            compared: endpoint < self.policy.compared(daemon)[side] as usize,
        };
        let steps = (ms / STEP.as_millis() as f64).ceil() as usize;
        let slot = (self.step as usize + steps.clamp(1, RING_STEPS - 1)) % RING_STEPS;
        self.ring[slot].push(Answer { daemon, sample });
    }

    pub(crate) fn count(&mut self, hit: bool) {
        let score = &mut self.score;
        score.requests += 1;
        score.spoilt += u64::from(hit);
        if hit {
            score.first_fault.get_or_insert(score.elapsed_ms);
        }
        score.after_fault += u64::from(score.first_fault.is_some());
    }

    pub(crate) fn active_fault(&mut self, part: f64, route: usize, relative: f64) -> Fault {
        let on = match self.case.onset {
            Onset::Once => true,
            Onset::Late => part >= self.case.from,
            Onset::Loaded(min) => relative >= min,
            Onset::Route(one) => route == one,
        };
        if on { self.case.fault } else { Fault::None }
    }

    pub(crate) fn route(&mut self) -> usize {
        let mut left = self.rng.f64();
        let routes = self.case.routes();
        for (at, route) in routes.iter().enumerate() {
            left -= route.part;
            if left < 0.0 {
                return at;
            }
        }
        routes.len() - 1
    }

    pub(crate) fn poisson(&mut self, mean: f64) -> u32 {
        let floor = (-mean).exp();
        let mut product = self.rng.f64();
        let mut count = 0;
        while product > floor {
            product *= self.rng.f64();
            count += 1;
        }
        count
    }

    pub(crate) fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.f64()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.rng.f64()).cos()
    }
}

pub(crate) fn simulate<P: Policy>(case: &Case, policy: P, start: Instant) -> Score {
    let simulation = Simulation {
        case,
        policy,
        rng: fastrand::Rng::with_seed(case.seed),
        ring: (0..RING_STEPS).map(|_| Vec::new()).collect(),
        step: 0,
        rates: [
            [case.rate / f64::from(ENDPOINTS); ENDPOINTS as usize],
            [0.0; ENDPOINTS as usize],
        ],
        arrivals: [[0.0; ENDPOINTS as usize]; 2],
        score: Score::default(),
    };
    simulation.run(start)
}
