//! Tail latency of each route: how long its slow requests take.
//!
//! A non-idempotent request has an unknown outcome if its endpoint goes away
//! before it answers. It may therefore only be sent to an endpoint that stays
//! longer than the slow requests of the route take. A tail that is too short
//! shows as requests that end as "unknown" in a reclaim; one that is too long
//! makes them wait for no reason.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::ids::ServiceId;
use crate::table::{Row, Table};

/// Minimum tail latency: the network and the reclaim notices are not more
/// accurate than this.
pub const MIN_TAIL: Duration = Duration::from_secs(2);
/// Number of samples from which the measured tail is used. With fewer, the 99th
/// percentile is the slowest of a handful, and the time to the request's deadline
/// is used instead.
pub const MIN_SAMPLES: u32 = 200;
/// Ratio of the tail to the 99th percentile: endpoints slow down just when a wave
/// of reclaims moves work to the remaining ones.
const TAIL_FACTOR: f64 = 2.0;
/// Number of samples at which all counts are halved, so that the histogram
/// follows changes of the route.
const MAX_SAMPLES: u32 = 10_000;
/// Buckets per doubling of the latency; the tail is accurate to a fifth.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Covers 1 ms to more than an hour.
const BUCKETS: usize = 92;

/// Latency histogram of one route.
#[proc_macros::row]
pub struct RouteLatency {
    id: (ServiceId, CompactString),
    counts: Vec<u32>,
    samples: u32,
}

impl Row for RouteLatency {
    type Id = (ServiceId, CompactString);
    fn id(&self) -> &Self::Id {
        &self.id
    }
}

impl RouteLatency {
    /// Histogram without samples.
    pub fn new(service: ServiceId, route: CompactString) -> Self {
        Self {
            id: (service, route),
            counts: vec![0; BUCKETS],
            samples: 0,
        }
    }

    /// Records the duration of a request.
    pub fn record(&mut self, elapsed: Duration) {
        self.counts[bucket(elapsed)] += 1;
        self.samples += 1;
        if self.samples > MAX_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.samples = self.counts.iter().sum();
        }
    }

    /// Tail latency; none without enough samples.
    pub fn tail(&self) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let beyond = self.samples / 100;
        let mut seen = 0;
        for (at, count) in self.counts.iter().enumerate().rev() {
            seen += count;
            if seen > beyond {
                return Some(upper_edge(at).mul_f64(TAIL_FACTOR).max(MIN_TAIL));
            }
        }
        Some(MIN_TAIL)
    }
}

fn bucket(elapsed: Duration) -> usize {
    let steps = (elapsed.as_secs_f64() * 1_000.0).max(1.0).log2() * BUCKETS_PER_DOUBLING;
    (steps as usize).min(BUCKETS - 1)
}

/// Upper edge of a bucket.
fn upper_edge(at: usize) -> Duration {
    Duration::from_secs_f64(((at + 1) as f64 / BUCKETS_PER_DOUBLING).exp2() / 1_000.0)
}

/// Latency histograms of all routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteLatencies {
    routes: Table<RouteLatency>,
}

impl RouteLatencies {
    /// Records the duration of a request of a route.
    pub fn record(&mut self, service: &ServiceId, route: &CompactString, elapsed: Duration) {
        let id = (service.clone(), route.clone());
        if let Some(latency) = self.routes.get_mut(&id) {
            latency.record(elapsed);
            return;
        }
        let mut latency = RouteLatency::new(id.0, id.1);
        latency.record(elapsed);
        self.routes.insert(latency);
    }

    /// Time until which an endpoint must stay to be sent a non-idempotent request
    /// now that must end by `deadline`.
    pub fn needed_until(
        &self,
        now: Instant,
        service: &ServiceId,
        route: &CompactString,
        deadline: Instant,
    ) -> Instant {
        let id = (service.clone(), route.clone());
        match self.routes.get(&id).and_then(RouteLatency::tail) {
            Some(tail) => now + tail,
            None => deadline.max(now + MIN_TAIL),
        }
    }
}
