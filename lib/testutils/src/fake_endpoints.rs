//! Simulates endpoints on virtual time for the tests and benchmarks of the deciding core.
//!
//! Like a batching engine, each endpoint shares its rate equally among its jobs and runs
//! no single job faster than its speed: up to rate / speed concurrent jobs, another job
//! slows down none; beyond that, all slow down. The module contains no daemons, networks
//! or real clocks.

use std::time::{Duration, Instant};

/// How an endpoint behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Units of work per second over all jobs.
    pub rate: f64,
    /// Units of work per second of one job at most.
    pub speed: f64,
    /// Fraction of the jobs that fail when they are half done.
    pub failure_rate: f64,
    /// Number of concurrent jobs from which on new ones fail, as when memory runs out.
    pub max_jobs: Option<usize>,
    /// Fraction of the connections that are refused.
    pub refusal_rate: f64,
    /// Period in which it runs slower or faster.
    pub slow: Option<Slow>,
}

/// Period in which the rate and speed of an endpoint are multiplied by a factor.
#[derive(Clone, Debug)]
pub struct Slow {
    /// Start of the period.
    pub from: Instant,
    /// End of the period.
    pub until: Instant,
    /// Factor for rate and speed.
    pub factor: f64,
}

impl Behaviour {
    /// An endpoint without faults.
    pub fn healthy(rate: f64, speed: f64) -> Self {
        Self {
            rate,
            speed,
            failure_rate: 0.0,
            max_jobs: None,
            refusal_rate: 0.0,
            slow: None,
        }
    }
}

/// Result of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobResult {
    /// Completed.
    Complete,
    /// Failed after a part of it ran.
    Failed,
    /// Connection refused; nothing ran.
    Refused,
}

/// A job that ended.
#[derive(Clone, Debug)]
pub struct Done {
    /// Id that it was sent with.
    pub id: u128,
    /// Its result.
    pub result: JobResult,
}

#[derive(Debug)]
struct Job {
    id: u128,
    /// Value of the endpoint's `attained` at which the job ends.
    end_mark: f64,
    result: JobResult,
}

#[derive(Debug)]
struct Endpoint {
    name: String,
    behaviour: Behaviour,
    /// Work that a job would have received if it had run since the start, in units.
    attained: f64,
    /// Time up to which `attained` is computed.
    updated: Instant,
    jobs: Vec<Job>,
}

impl Endpoint {
    fn factor(&self, at: Instant) -> f64 {
        match &self.behaviour.slow {
            Some(slow) if slow.from <= at && at < slow.until => slow.factor,
            _ => 1.0,
        }
    }

    fn job_rate(&self, at: Instant) -> f64 {
        let count = self.jobs.len().max(1) as f64;
        let shared = self.behaviour.rate / count;
        shared.min(self.behaviour.speed) * self.factor(at)
    }

    /// Next time at which a slow period starts or ends.
    fn next_change(&self) -> Option<Instant> {
        let slow = self.behaviour.slow.as_ref()?;
        [slow.from, slow.until]
            .into_iter()
            .find(|at| *at > self.updated)
    }

    fn next(&self) -> Option<Instant> {
        let first = self.jobs.first()?;
        let left = (first.end_mark - self.attained).max(0.0);
        let wait = Duration::from_secs_f64(left / self.job_rate(self.updated));
        let end = self.updated + wait + Duration::from_nanos(1);
        Some(self.next_change().map_or(end, |change| end.min(change)))
    }

    fn advance(&mut self, now: Instant) {
        while let Some(change) = self.next_change().filter(|change| *change < now) {
            self.advance_within(change);
        }
        self.advance_within(now);
    }

    fn advance_within(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        if !self.jobs.is_empty() {
            self.attained += passed * self.job_rate(self.updated);
        }
        self.updated = self.updated.max(now);
    }

    fn insert_job(&mut self, job: Job) {
        let at = self.jobs.partition_point(|p| p.end_mark <= job.end_mark);
        self.jobs.insert(at, job);
    }
}

/// All endpoints with their jobs.
#[derive(Debug)]
pub struct FakeEndpoints {
    endpoints: Vec<Endpoint>,
    done: Vec<Done>,
    rng: fastrand::Rng,
}

impl FakeEndpoints {
    /// Creates endpoints from names and behaviours.
    pub fn new(behaviours: Vec<(String, Behaviour)>, now: Instant, seed: u64) -> Self {
        let endpoint = |(name, behaviour)| Endpoint {
            name,
            behaviour,
            attained: 0.0,
            updated: now,
            jobs: Vec::new(),
        };
        Self {
            endpoints: behaviours.into_iter().map(endpoint).collect(),
            done: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sends a job to an endpoint.
    pub fn send(&mut self, now: Instant, name: &str, id: u128, work: f64) {
        let breaks = self.rng.f64();
        let refuses = self.rng.f64();
        let Some(endpoint) = self.endpoints.iter_mut().find(|e| e.name == name) else {
            let result = JobResult::Refused;
            self.done.push(Done { id, result });
            return;
        };
        endpoint.advance(now);
        if refuses < endpoint.behaviour.refusal_rate {
            let result = JobResult::Refused;
            self.done.push(Done { id, result });
            return;
        }
        let max_jobs = endpoint.behaviour.max_jobs;
        let overloaded = max_jobs.is_some_and(|max_jobs| endpoint.jobs.len() >= max_jobs);
        let broken = overloaded || breaks < endpoint.behaviour.failure_rate;
        let (part, result) = if broken {
            (0.5, JobResult::Failed)
        } else {
            (1.0, JobResult::Complete)
        };
        let end_mark = endpoint.attained + work * part;
        endpoint.insert_job(Job {
            id,
            end_mark,
            result,
        });
    }

    /// Cancels a job.
    pub fn cancel(&mut self, now: Instant, id: u128) {
        for endpoint in &mut self.endpoints {
            if endpoint.jobs.iter().any(|p| p.id == id) {
                endpoint.advance(now);
                endpoint.jobs.retain(|p| p.id != id);
            }
        }
    }

    /// Time of the next event: a job ends or a rate changes.
    pub fn next(&self) -> Option<Instant> {
        if let (false, Some(first)) = (self.done.is_empty(), self.endpoints.first()) {
            return Some(first.updated);
        }
        self.endpoints.iter().filter_map(Endpoint::next).min()
    }

    /// Removes and returns the jobs that ended by `now`.
    pub fn take(&mut self, now: Instant) -> Vec<Done> {
        for endpoint in &mut self.endpoints {
            endpoint.advance(now);
            let ended = endpoint
                .jobs
                .partition_point(|p| p.end_mark <= endpoint.attained + 1e-6);
            let done = endpoint.jobs.drain(..ended).map(|p| Done {
                id: p.id,
                result: p.result,
            });
            self.done.extend(done);
        }
        std::mem::take(&mut self.done)
    }
}
