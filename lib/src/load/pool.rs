//! Capacity of the available endpoints of a service.

use crate::endpoint::Endpoint;
use crate::ids::ServiceId;
use crate::load::endpoint_stats::EndpointStats;
use crate::load::forecast::Capacity;
use crate::load::service_stats::ServiceStats;
use crate::table::Row;

/// Concurrent requests for each endpoint until latency has risen for the first
/// time.
const SLOW_START_EACH: u32 = 2;

/// Capacity of the available endpoints of a service.
#[proc_macros::row]
pub(crate) struct Pool {
    /// Id of the service.
    pub(crate) service: ServiceId,
    /// Their capacity together.
    pub(crate) capacity: Capacity,
    measured: u32,
    available: u32,
    room: u32,
}

impl Pool {
    /// Creates a pool without endpoints.
    pub(crate) fn new(service: ServiceId) -> Self {
        Self {
            service,
            capacity: Capacity::default(),
            measured: 0,
            available: 0,
            room: 0,
        }
    }

    /// Adds an endpoint that reports room for `room` more requests.
    pub(crate) fn add(&mut self, endpoint: &Endpoint, stats: &EndpointStats, room: u32) {
        let rate = stats.rate();
        self.available += 1;
        self.room = self.room.saturating_add(room);
        self.measured += u32::from(rate.is_some());
        let capacity = &mut self.capacity;
        capacity.limit += endpoint.limit;
        capacity.running += endpoint.running.min(endpoint.limit);
        capacity.rate += rate.unwrap_or(0.0);
        capacity.unit_time += rate.unwrap_or(0.0) * stats.unit_time();
    }

    /// Turns the sums into means. An endpoint without measurements counts as the
    /// mean of those with.
    pub(crate) fn finalize(&mut self) {
        let share = f64::from(self.available) / f64::from(self.measured.max(1));
        let capacity = &mut self.capacity;
        capacity.unit_time /= capacity.rate.max(f64::MIN_POSITIVE);
        capacity.rate *= share;
    }

    /// Limits the concurrency of the service. Until latency has risen for the
    /// first time, each endpoint gets some requests: the first ones may be long,
    /// and those behind them would wait for the first to end while most endpoints
    /// are idle.
    ///
    /// The room that endpoints report is used whatever the latency is. A prompt
    /// token takes a small part of the time of an answer token, so the latency
    /// per unit of work varies with the mix, and its lowest value is that of the
    /// most favourable mix: the limit shrank, and callers waited for their first
    /// token while endpoints were idle. Latency decides where no load report
    /// shows room.
    pub(crate) fn apply_limit(&mut self, service_stats: &ServiceStats) {
        let mut limit = service_stats.limiter.limit();
        if service_stats.limiter.in_slow_start() {
            limit = limit.max(self.available.saturating_mul(SLOW_START_EACH));
        }
        let reported = self.capacity.running.saturating_add(self.room);
        self.capacity.limit = self.capacity.limit.min(limit.max(reported));
    }

    /// Corrects the sum of the endpoints' rates by the rate that was measured
    /// over the whole service.
    pub(crate) fn apply_rate(&mut self, service_stats: &ServiceStats) {
        let capacity = &mut self.capacity;
        let unknown = capacity.rate <= 0.0;
        let Some(rate) = service_stats
            .meter
            .rate(service_stats.limiter.expected_rate())
        else {
            return;
        };
        if unknown {
            capacity.rate = rate;
        } else if !service_stats.limiter.in_slow_start() {
            capacity.rate = capacity.rate.min(rate);
        }
    }
}

impl Row for Pool {
    type Id = ServiceId;
    fn id(&self) -> &ServiceId {
        &self.service
    }
}
