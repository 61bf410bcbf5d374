//! What a daemon stores for its decisions under load.

use std::time::{Duration, Instant};

use crate::endpoint::Endpoint;
use crate::ids::{AttemptId, CustomerId, EndpointId, ServiceId};
use crate::load::board::Board;
use crate::load::budget::Budget;
use crate::load::comeback::Comeback;
use crate::load::ejection::State;
use crate::load::fair::{Entry, Lane, Taken};
use crate::load::forecast::Capacity;
use crate::load::gauge::Gauge;
use crate::load::meter::Sample;
use crate::load::policy::{Choice, Policy};
use crate::load::pool::Pool;
use crate::load::sent::Sent;
use crate::load::whole::Whole;
use crate::request::{Request, Waiting};
use crate::routing::View;
use crate::table::Table;

/// State of all decisions under load.
#[derive(Debug, Default)]
pub struct Load {
    /// Method for each kind of decision.
    pub policy: Policy,
    /// Shares of customers' limits.
    pub board: Board,
    pub(crate) lanes: Table<Lane>,
    pub(crate) gauges: Table<Gauge>,
    pub(crate) wholes: Table<Whole>,
    pub(crate) pools: Table<Pool>,
    pub(crate) sent: Table<Sent>,
    pub(crate) offered: Vec<Taken>,
    pub(crate) reviewed: Option<Instant>,
    budgets: Table<Budget>,
    comebacks: Table<Comeback>,
}

/// Units of work that remain of a waiting request.
pub(crate) fn left(waiting: &Waiting) -> f64 {
    let left = waiting.order.work().saturating_sub(waiting.delivered);
    f64::from(left.max(1))
}

/// Entry of a waiting request in its service's queue.
pub(crate) fn entry(waiting: &Waiting) -> Entry {
    Entry {
        id: waiting.order.id,
        deadline: waiting.order.deadline,
        work: left(waiting),
    }
}

impl Load {
    /// Queue of a service.
    pub(crate) fn lane(&mut self, service: &ServiceId) -> &mut Lane {
        if !self.lanes.contains(service) {
            self.lanes.insert(Lane::new(service.clone()));
        }
        self.lanes.get_mut(service).expect("was just put in")
    }

    /// Makes the queues hold exactly the requests that wait.
    pub(crate) fn requeue(&mut self, requests: &Table<Request>, priorities: &[(CustomerId, u8)]) {
        for lane in &mut self.lanes {
            lane.keep(|entry| matches!(requests.get(&entry.id), Some(Request::Waiting(_))));
        }
        for request in requests {
            let Request::Waiting(waiting) = request else {
                continue;
            };
            let customer = &waiting.order.customer;
            let entry = entry(waiting);
            if !self.lane(&waiting.order.service).contains(customer, &entry) {
                let place = priorities.binary_search_by(|(other, _)| other.cmp(customer));
                self.wait(place.map_or(0, |at| priorities[at].1), waiting);
            }
        }
    }

    /// Removes attempts that are no longer in flight.
    pub(crate) fn prune(&mut self, requests: &Table<Request>) {
        let mut attempts: Vec<AttemptId> = requests.iter().filter_map(Request::attempt).collect();
        attempts.sort_unstable();
        self.sent
            .retain(|sent| attempts.binary_search(&sent.id).is_ok());
    }

    /// Retry budget of a service.
    pub(crate) fn budget(&mut self, service: &ServiceId) -> &mut Budget {
        if !self.budgets.contains(service) {
            self.budgets.insert(Budget::new(service.clone()));
        }
        self.budgets.get_mut(service).expect("was just put in")
    }

    /// When to retry a request that would have been late by `excess`.
    pub(crate) fn come_back(
        &mut self,
        now: Instant,
        service: &ServiceId,
        excess: Duration,
        work: f64,
        draw: f64,
    ) -> Instant {
        let rate = self.capacity(service).rate;
        if !self.comebacks.contains(service) {
            self.comebacks.insert(Comeback::new(service.clone(), now));
        }
        let comeback = self.comebacks.get_mut(service).expect("was just put in");
        comeback.tell(now, excess, work, rate, draw)
    }

    /// Number of waiting requests of all services.
    pub fn waiting(&self) -> usize {
        self.lanes.iter().map(|lane| lane.len() as usize).sum()
    }

    /// Adds a waiting request to the queue of its service.
    pub(crate) fn wait(&mut self, priority: u8, waiting: &Waiting) {
        let customer = &waiting.order.customer;
        self.lane(&waiting.order.service)
            .push(priority, customer, entry(waiting));
    }

    /// Removes a request that ended, whether it was waiting or running.
    pub(crate) fn forget(&mut self, request: &Request) {
        if let Some(attempt) = request.attempt() {
            self.sent.remove(&attempt);
        }
        if let Request::Waiting(waiting) = request {
            self.unqueue(
                &waiting.order.service,
                &waiting.order.customer,
                &entry(waiting),
            );
        }
    }

    /// Removes a request from the queue of its service.
    pub(crate) fn unqueue(&mut self, service: &ServiceId, customer: &CustomerId, entry: &Entry) {
        if let Some(lane) = self.lanes.get_mut(service) {
            lane.remove(customer, entry);
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
    pub(crate) fn attend(&mut self, now: Instant, endpoints: &Table<Endpoint>, ceiling: u32) {
        let pairs = endpoints.iter().zip(&self.gauges);
        let mut same = pairs.map(|(e, g)| e.id == g.id && e.version == g.version);
        if endpoints.len() == self.gauges.len() && same.all(|same| same) {
            return;
        }
        self.gauges.retain(|gauge| endpoints.contains(&gauge.id));
        for endpoint in endpoints {
            let known = self.gauges.get(&endpoint.id);
            if known.is_none_or(|gauge| gauge.version != endpoint.version) {
                self.gauges.insert(Gauge::new(endpoint, now, ceiling));
            }
        }
    }

    /// Sets how many requests each endpoint gets at the same time, at most
    /// `ceiling`.
    pub(crate) fn limit(&self, endpoints: &mut Table<Endpoint>, ceiling: u32) {
        for (endpoint, gauge) in endpoints.iter_mut().zip(&self.gauges) {
            endpoint.limit = match self.policy.concurrency {
                Choice::Adaptive => gauge.limiter.limit(),
                Choice::Plain => ceiling,
            };
            if gauge.ejection.state() == State::Probing {
                endpoint.limit = 1;
            }
        }
    }

    /// Seconds per unit of work that are typical of a service's endpoints: the
    /// lower median, so that of two endpoints the better one sets the norm.
    pub(crate) fn normal(&self, service: &ServiceId) -> Option<f64> {
        let here = self.gauges.iter().filter(|g| g.service == *service);
        let mut paces: Vec<f64> = here.filter_map(|g| g.meter.pace()).collect();
        paces.sort_by(f64::total_cmp);
        let middle = paces.len().checked_sub(1)? / 2;
        paces.get(middle).copied()
    }

    /// Share of failures that is typical of the other endpoints of a service: the
    /// lower median; 0 if there are none.
    pub(crate) fn usual(&self, service: &ServiceId, but: &EndpointId) -> f64 {
        let gauges = self.gauges.iter();
        let others = gauges.filter(|g| g.service == *service && g.id != *but);
        let mut shares: Vec<f64> = others.map(|g| g.ejection.failed()).collect();
        shares.sort_by(f64::total_cmp);
        let middle = shares.len().saturating_sub(1) / 2;
        shares.get(middle).copied().unwrap_or(0.0)
    }

    /// Updates the meters with the number of requests that run at each endpoint.
    pub(crate) fn gauge(&mut self, now: Instant, endpoints: &Table<Endpoint>) {
        for (endpoint, gauge) in endpoints.iter().zip(&mut self.gauges) {
            gauge.meter.turn(now, endpoint.running);
        }
        for whole in &mut self.wholes {
            let here = endpoints.iter().filter(|e| e.service == whole.service);
            whole.meter.turn(now, here.map(|e| e.running).sum());
        }
    }

    /// Adds up the capacity of the available endpoints of each service.
    pub(crate) fn pool(&mut self, now: Instant, endpoints: &Table<Endpoint>, view: &View) {
        self.pools = Table::new();
        let pairs = endpoints.iter().zip(&self.gauges).enumerate();
        for (at, (endpoint, gauge)) in pairs.filter(|(_, (e, _))| e.serves(now)) {
            if !self.pools.contains(&endpoint.service) {
                self.pools.insert(Pool::new(endpoint.service.clone()));
            }
            if let Some(pool) = self.pools.get_mut(&endpoint.service) {
                let seat = view.near(at, &endpoint.id);
                let room = seat.map_or(0, |seat| seat.load.room(now, endpoint.running));
                pool.add(endpoint, gauge, room);
            }
        }
        for pool in &mut self.pools {
            pool.close();
        }
        self.join(now);
    }

    /// Corrects each pool by what was measured over its whole service.
    fn join(&mut self, now: Instant) {
        for pool in &mut self.pools {
            if !self.wholes.contains(&pool.service) {
                self.wholes.insert(Whole::new(pool.service.clone(), now));
            }
            let Some(whole) = self.wholes.get(&pool.service) else {
                continue;
            };
            pool.join(whole);
            if self.policy.concurrency == Choice::Adaptive {
                pool.limit(whole);
            }
            let capacity = &mut pool.capacity;
            let running = self.sent.iter().filter(|s| s.service == pool.service);
            let running = running.map(|s| (s.mark.age(now), s.work));
            let pace = whole.pace.now(now, whole.limiter.normal(), running);
            capacity.pace = pace.unwrap_or(capacity.pace);
        }
    }

    /// Records an attempt that was in flight until now.
    pub(crate) fn learn(&mut self, now: Instant, sent: &Sent) -> Option<Sample> {
        if let Some(whole) = self.wholes.get_mut(&sent.service) {
            whole.learn(now, sent);
        }
        let gauge = self.gauges.get_mut(&sent.endpoint)?;
        let limit = gauge.limiter.limit();
        let sample = gauge.meter.complete(now, sent.mark, sent.work, limit)?;
        let limiter = &mut gauge.limiter;
        limiter.complete(sample.took, sent.work, sample.beside);
        Some(sample)
    }

    /// Records an attempt that is sent now, with the state of the meters.
    pub(crate) fn mark(&mut self, now: Instant, id: AttemptId, endpoint: &EndpointId, work: f64) {
        if let Some(gauge) = self.gauges.get(endpoint) {
            let mark = gauge.meter.mark(now);
            let service = gauge.service.clone();
            let whole = self.wholes.get(&service);
            let whole = whole.map_or(mark, |whole| whole.meter.mark(now));
            let endpoint = endpoint.clone();
            self.sent.insert(Sent {
                id,
                endpoint,
                mark,
                whole,
                service,
                work,
            });
        }
    }
}
