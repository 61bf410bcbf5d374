//! What a daemon stores for its decisions under load.

use std::time::{Duration, Instant};

use crate::endpoint::Endpoint;
use crate::ids::{AttemptId, CustomerId, EndpointId, ServiceId};
use crate::load::ejection::State;
use crate::load::endpoint_stats::EndpointStats;
use crate::load::fair_queue::{Dequeued, Entry, FairQueue};
use crate::load::forecast::Capacity;
use crate::load::in_flight::InFlight;
use crate::load::meter::Sample;
use crate::load::policy::{Choice, Policy};
use crate::load::pool::Pool;
use crate::load::retry_after::RetryBacklog;
use crate::load::retry_budget::RetryBudget;
use crate::load::service_stats::ServiceStats;
use crate::load::share_table::ShareTable;
use crate::request::{Request, Waiting};
use crate::routing::View;
use crate::table::Table;

/// State of all decisions under load.
#[derive(Debug, Default)]
pub struct Load {
    /// Method for each kind of decision.
    pub policy: Policy,
    /// Shares of customers' limits.
    pub shares: ShareTable,
    pub(crate) queues: Table<FairQueue>,
    pub(crate) endpoint_stats: Table<EndpointStats>,
    pub(crate) service_stats: Table<ServiceStats>,
    pub(crate) pools: Table<Pool>,
    pub(crate) in_flight: Table<InFlight>,
    pub(crate) dequeued: Vec<Dequeued>,
    pub(crate) reviewed: Option<Instant>,
    retry_budgets: Table<RetryBudget>,
    retry_backlogs: Table<RetryBacklog>,
}

/// Units of work that remain of a waiting request.
pub(crate) fn remaining_work(waiting: &Waiting) -> f64 {
    let work = waiting.order.work().saturating_sub(waiting.delivered);
    f64::from(work.max(1))
}

/// Entry of a waiting request in its service's queue.
pub(crate) fn queue_entry(waiting: &Waiting) -> Entry {
    Entry {
        id: waiting.order.id,
        deadline: waiting.order.deadline,
        work: remaining_work(waiting),
    }
}

impl Load {
    /// Queue of a service.
    pub(crate) fn queue(&mut self, service: &ServiceId) -> &mut FairQueue {
        if !self.queues.contains(service) {
            self.queues.insert(FairQueue::new(service.clone()));
        }
        self.queues.get_mut(service).expect("inserted above")
    }

    /// Makes the queues hold exactly the requests that wait.
    pub(crate) fn rebuild_queues(
        &mut self,
        requests: &Table<Request>,
        priorities: &[(CustomerId, u8)],
    ) {
        for queue in &mut self.queues {
            queue.retain_entries(|entry| {
                matches!(requests.get(&entry.id), Some(Request::Waiting(_)))
            });
        }
        for request in requests {
            let Request::Waiting(waiting) = request else {
                continue;
            };
            let customer = &waiting.order.customer;
            let entry = queue_entry(waiting);
            if !self
                .queue(&waiting.order.service)
                .contains(customer, &entry)
            {
                let place = priorities.binary_search_by(|(other, _)| other.cmp(customer));
                self.enqueue(place.map_or(0, |at| priorities[at].1), waiting);
            }
        }
    }

    /// Removes attempts that are no longer in flight.
    pub(crate) fn prune_attempts(&mut self, requests: &Table<Request>) {
        let mut attempts: Vec<AttemptId> = requests.iter().filter_map(Request::attempt).collect();
        attempts.sort_unstable();
        self.in_flight
            .retain(|attempt| attempts.binary_search(&attempt.id).is_ok());
    }

    /// Retry budget of a service.
    pub(crate) fn retry_budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        if !self.retry_budgets.contains(service) {
            self.retry_budgets.insert(RetryBudget::new(service.clone()));
        }
        self.retry_budgets.get_mut(service).expect("inserted above")
    }

    /// When to retry a request that would have been late by `excess`.
    pub(crate) fn retry_at(
        &mut self,
        now: Instant,
        service: &ServiceId,
        excess: Duration,
        work: f64,
        jitter: f64,
    ) -> Instant {
        let rate = self.capacity(service).rate;
        if !self.retry_backlogs.contains(service) {
            self.retry_backlogs
                .insert(RetryBacklog::new(service.clone(), now));
        }
        let backlog = self
            .retry_backlogs
            .get_mut(service)
            .expect("inserted above");
        backlog.schedule(now, excess, work, rate, jitter)
    }

    /// Number of waiting requests of all services.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(|queue| queue.len() as usize).sum()
    }

    /// Adds a waiting request to the queue of its service.
    pub(crate) fn enqueue(&mut self, priority: u8, waiting: &Waiting) {
        let customer = &waiting.order.customer;
        self.queue(&waiting.order.service)
            .push(priority, customer, queue_entry(waiting));
    }

    /// Removes a request that ended, whether it was waiting or running.
    pub(crate) fn remove_request(&mut self, request: &Request) {
        if let Some(attempt) = request.attempt() {
            self.in_flight.remove(&attempt);
        }
        if let Request::Waiting(waiting) = request {
            self.dequeue(
                &waiting.order.service,
                &waiting.order.customer,
                &queue_entry(waiting),
            );
        }
    }

    /// Removes a request from the queue of its service.
    pub(crate) fn dequeue(&mut self, service: &ServiceId, customer: &CustomerId, entry: &Entry) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(customer, entry);
        }
    }

    /// What a service's endpoints can do for this daemon.
    pub(crate) fn capacity(&self, service: &ServiceId) -> Capacity {
        self.pools
            .get(service)
            .map_or_else(Capacity::default, |pool| pool.capacity)
    }

    /// Keeps measurements for each endpoint and no other, so that both tables can
    /// be iterated side by side. Another version under the same id starts without
    /// measurements: those of the old version would misjudge it.
    pub(crate) fn sync_endpoints(
        &mut self,
        now: Instant,
        endpoints: &Table<Endpoint>,
        ceiling: u32,
    ) {
        let pairs = endpoints.iter().zip(&self.endpoint_stats);
        let mut same = pairs.map(|(e, s)| e.id == s.id && e.version == s.version);
        if endpoints.len() == self.endpoint_stats.len() && same.all(|same| same) {
            return;
        }
        self.endpoint_stats
            .retain(|stats| endpoints.contains(&stats.id));
        for endpoint in endpoints {
            let known = self.endpoint_stats.get(&endpoint.id);
            if known.is_none_or(|stats| stats.version != endpoint.version) {
                self.endpoint_stats
                    .insert(EndpointStats::new(endpoint, now, ceiling));
            }
        }
    }

    /// Sets how many requests each endpoint gets at the same time, at most
    /// `ceiling`.
    pub(crate) fn apply_limits(&self, endpoints: &mut Table<Endpoint>, ceiling: u32) {
        for (endpoint, stats) in endpoints.iter_mut().zip(&self.endpoint_stats) {
            endpoint.limit = match self.policy.concurrency {
                Choice::Adaptive => stats.limiter.limit(),
                Choice::Plain => ceiling,
            };
            if stats.ejection.state() == State::Probing {
                endpoint.limit = 1;
            }
        }
    }

    /// Seconds per unit of work that are typical of a service's endpoints: the
    /// lower median, so that of two endpoints the better one sets the norm.
    pub(crate) fn typical_unit_time(&self, service: &ServiceId) -> Option<f64> {
        let here = self.endpoint_stats.iter().filter(|s| s.service == *service);
        let mut unit_times: Vec<f64> = here.filter_map(|s| s.meter.unit_time()).collect();
        unit_times.sort_by(f64::total_cmp);
        let middle = unit_times.len().checked_sub(1)? / 2;
        unit_times.get(middle).copied()
    }

    /// Share of failures that is typical of the other endpoints of a service: the
    /// lower median; 0 if there are none.
    pub(crate) fn typical_failures(&self, service: &ServiceId, except: &EndpointId) -> f64 {
        let endpoint_stats = self.endpoint_stats.iter();
        let others = endpoint_stats.filter(|s| s.service == *service && s.id != *except);
        let mut ratios: Vec<f64> = others.map(|s| s.ejection.failure_ratio()).collect();
        ratios.sort_by(f64::total_cmp);
        let middle = ratios.len().saturating_sub(1) / 2;
        ratios.get(middle).copied().unwrap_or(0.0)
    }

    /// Updates the meters with the number of requests that run at each endpoint.
    pub(crate) fn update_running(&mut self, now: Instant, endpoints: &Table<Endpoint>) {
        for (endpoint, stats) in endpoints.iter().zip(&mut self.endpoint_stats) {
            stats.meter.set_running(now, endpoint.running);
        }
        for service_stats in &mut self.service_stats {
            let here = endpoints
                .iter()
                .filter(|e| e.service == service_stats.service);
            service_stats
                .meter
                .set_running(now, here.map(|e| e.running).sum());
        }
    }

    /// Adds up the capacity of the available endpoints of each service.
    pub(crate) fn rebuild_pools(&mut self, now: Instant, endpoints: &Table<Endpoint>, view: &View) {
        self.pools = Table::new();
        let pairs = endpoints.iter().zip(&self.endpoint_stats).enumerate();
        for (at, (endpoint, stats)) in pairs.filter(|(_, (e, _))| e.is_available(now)) {
            if !self.pools.contains(&endpoint.service) {
                self.pools.insert(Pool::new(endpoint.service.clone()));
            }
            if let Some(pool) = self.pools.get_mut(&endpoint.service) {
                let info = view.get_at(at, &endpoint.id);
                let room = info.map_or(0, |info| info.load.headroom(now, endpoint.running));
                pool.add(endpoint, stats, room);
            }
        }
        for pool in &mut self.pools {
            pool.finalize();
        }
        self.apply_service_stats(now);
    }

    /// Corrects each pool by what was measured over its whole service.
    fn apply_service_stats(&mut self, now: Instant) {
        for pool in &mut self.pools {
            if !self.service_stats.contains(&pool.service) {
                self.service_stats
                    .insert(ServiceStats::new(pool.service.clone(), now));
            }
            let Some(service_stats) = self.service_stats.get(&pool.service) else {
                continue;
            };
            pool.apply_rate(service_stats);
            if self.policy.concurrency == Choice::Adaptive {
                pool.apply_limit(service_stats);
            }
            let capacity = &mut pool.capacity;
            let running = self.in_flight.iter().filter(|s| s.service == pool.service);
            let running = running.map(|s| (s.mark.age(now), s.work));
            let unit_time = service_stats.unit_time.estimate(
                now,
                service_stats.limiter.normal_unit_time(),
                running,
            );
            capacity.unit_time = unit_time.unwrap_or(capacity.unit_time);
        }
    }

    /// Records an attempt that was in flight until now.
    pub(crate) fn record_completion(&mut self, now: Instant, attempt: &InFlight) -> Option<Sample> {
        if let Some(service_stats) = self.service_stats.get_mut(&attempt.service) {
            service_stats.record(now, attempt);
        }
        let stats = self.endpoint_stats.get_mut(&attempt.endpoint)?;
        let limit = stats.limiter.limit();
        let sample = stats.meter.record(now, attempt.mark, attempt.work, limit)?;
        let limiter = &mut stats.limiter;
        limiter.record(sample.elapsed, attempt.work, sample.concurrency);
        Some(sample)
    }

    /// Records an attempt that is sent now, with the state of the meters.
    pub(crate) fn record_attempt(
        &mut self,
        now: Instant,
        id: AttemptId,
        endpoint: &EndpointId,
        work: f64,
    ) {
        if let Some(stats) = self.endpoint_stats.get(endpoint) {
            let mark = stats.meter.mark(now);
            let service = stats.service.clone();
            let service_stats = self.service_stats.get(&service);
            let service_mark = service_stats.map_or(mark, |s| s.meter.mark(now));
            let endpoint = endpoint.clone();
            self.in_flight.insert(InFlight {
                id,
                endpoint,
                mark,
                service_mark,
                service,
                work,
            });
        }
    }
}
