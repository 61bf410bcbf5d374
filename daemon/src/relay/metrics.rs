//! Counters and histograms of a relaying daemon, served as a Prometheus page.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use poplarvale_lib::{CustomerId, ServiceId};
use prometheus::{Encoder as _, Registry, TextEncoder};

use super::logging;
use crate::metrics::provider;

/// Bucket boundaries of the latency histograms, in seconds; the latency targets of the routes are
/// between 0.1 and 1.5.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 1.5, 3.0, 6.0, 15.0,
];

/// Metric instruments of a relaying daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    connects: Counter<u64>,
    calls: Counter<u64>,
    catalog: Counter<u64>,
    quarantined: Counter<u64>,
    cut_off: Counter<u64>,
    forwarded: Counter<u64>,
    incomplete: Counter<u64>,
    retries: Counter<u64>,
    over_share: Counter<u64>,
    units: Counter<u64>,
    ignored_paces: Counter<u64>,
    omitted_windows: Counter<u64>,
    silences: Counter<u64>,
    strays: Counter<u64>,
    endpoints: Gauge<f64>,
    first_event: Histogram<f64>,
    duration: Histogram<f64>,
    start: Histogram<f64>,
    /// Kept until the instruments are dropped.
    _provider: SdkMeterProvider,
}

fn endpoint_gauge(meter: &Meter) -> Gauge<f64> {
    let gauge = meter.f64_gauge("poplarvale_relay_endpoints");
    let text = "Endpoints of a service as the duty holder sees them, by kind of count";
    gauge.with_description(text).build()
}

fn stray_counter(meter: &Meter) -> Counter<u64> {
    let counter = meter.u64_counter("poplarvale_relay_strays");
    let text = "Responses and parts of responses that belong to no request in progress, by kind";
    counter.with_description(text).build()
}

impl Metrics {
    /// Creates instruments that count from zero; `None`, with a log line, if the exporter rejects
    /// its registry.
    pub(crate) fn new() -> Option<Self> {
        let (registry, provider) = match provider() {
            Ok(both) => both,
            Err(error) => {
                log::warn!("metrics: not collected, the exporter did not start, {error}.");
                return None;
            }
        };
        let meter = provider.meter("poplarvale");
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let histogram = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("s")
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build()
        };
        Some(Self {
            requests: counter(
                "poplarvale_relay_requests",
                "Requests that ended, by route and result code (0: an endpoint's answer)",
            ),
            attempts: counter(
                "poplarvale_relay_sendings",
                "Sendings to endpoints, by how they ended",
            ),
            connects: counter(
                "poplarvale_relay_connects",
                "New connections to endpoints, by whether they were made or why not",
            ),
            calls: counter(
                "poplarvale_relay_calls",
                "Calls to the platform's services, by service and outcome",
            ),
            catalog: counter(
                "poplarvale_relay_catalog",
                "Steps towards a newer configuration, by step and source",
            ),
            quarantined: counter(
                "poplarvale_relay_quarantined",
                "Requests that were quarantined because endpoints ended under them",
            ),
            cut_off: counter(
                "poplarvale_relay_cut_off",
                "Times at which no endpoint of a service accepted a connection any more",
            ),
            forwarded: counter(
                "poplarvale_relay_forwarded",
                "Requests forwarded to other daemons, by how that ended",
            ),
            incomplete: counter(
                "poplarvale_relay_incomplete",
                "Answers that remained incomplete, by reason",
            ),
            retries: counter(
                "poplarvale_relay_retries",
                "Retries that were asked of the budget, by service and outcome",
            ),
            over_share: counter(
                "poplarvale_relay_over_share",
                "Requests of teams over their share of short engines that were rejected, by service",
            ),
            units: counter(
                "poplarvale_relay_units",
                "Units of teams with a rate, by team, kind of request and whether they were admitted",
            ),
            ignored_paces: counter(
                "poplarvale_relay_ignored_paces",
                "Paces that endpoints announced and that cannot be true",
            ),
            omitted_windows: counter(
                "poplarvale_relay_omitted_windows",
                "Usage windows not reported, as they may have been before the store was restored",
            ),
            silences: counter(
                "poplarvale_relay_silences",
                "Silences of endpoints that got no request meanwhile, begun and ended",
            ),
            strays: stray_counter(&meter),
            endpoints: endpoint_gauge(&meter),
            first_event: histogram(
                "poplarvale_relay_first",
                "Time from a request's head to its first event or answer",
            ),
            duration: histogram(
                "poplarvale_relay_whole",
                "Time from a request's head to the end of its answer",
            ),
            start: histogram(
                "poplarvale_relay_start",
                "Time from the daemon's start until it was ready and until its first answer",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Records a finished request; a code of 0 means that an endpoint answered it.
    pub(crate) fn record_request(&self, route: &str, code: u32, elapsed: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("code", i64::from(code)),
        ];
        self.requests.add(1, &labels);
        if code == 0 {
            self.duration.record(elapsed.as_secs_f64(), &[]);
        }
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records whether a new connection to an endpoint was made.
    pub(crate) fn record_connect(&self, outcome: &'static str) {
        self.connects.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records that a request was quarantined.
    pub(crate) fn record_quarantine(&self) {
        self.quarantined.add(1, &[]);
    }

    /// Records that a service is not reached any more.
    pub(crate) fn record_cut_off(&self, service: &ServiceId) {
        self.cut_off
            .add(1, &[KeyValue::new("service", service.to_string())]);
    }

    /// Records whether the budget of a service granted a retry.
    pub(crate) fn record_retry(&self, service: &ServiceId, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("outcome", outcome),
        ];
        self.retries.add(1, &labels);
    }

    /// Records that a request of a team over its share of a service's engines was rejected.
    pub(crate) fn record_over_share(&self, service: &ServiceId) {
        self.over_share
            .add(1, &[KeyValue::new("service", service.to_string())]);
    }

    /// Records whether units of a team were admitted; `kind` is one of the few kinds of requests.
    pub(crate) fn record_units(
        &self,
        team: &CustomerId,
        kind: &'static str,
        outcome: &'static str,
        units: f64,
    ) {
        let labels = [
            KeyValue::new("team", team.to_string()),
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.units.add(units as u64, &labels);
    }

    /// Records that an endpoint announced a pace that cannot be true.
    pub(crate) fn record_ignored_pace(&self) {
        self.ignored_paces.add(1, &[]);
    }

    /// Records that usage windows are not reported.
    pub(crate) fn record_omitted_windows(&self, count: u64) {
        self.omitted_windows.add(count, &[]);
    }

    /// Records that an endpoint is silent, or is heard again.
    pub(crate) fn record_silence(&self, step: &'static str) {
        self.silences.add(1, &[KeyValue::new("step", step)]);
    }

    /// Records that a response was skipped that belongs to no request in progress.
    pub(crate) fn record_stray(&self, kind: &'static str) {
        self.strays.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records a number of endpoints of a service that orders follow.
    pub(crate) fn record_endpoints(&self, service: &ServiceId, count: &'static str, number: f64) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("count", count),
        ];
        self.endpoints.record(number, &labels);
    }

    /// Records how forwarding a request to another daemon ended.
    pub(crate) fn record_forwarded(&self, outcome: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records that an answer remained incomplete.
    pub(crate) fn record_incomplete(&self, reason: &'static str) {
        self.incomplete.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the time until the first event of a streamed response.
    pub(crate) fn record_first_event(&self, elapsed: Duration) {
        self.first_event.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records how long after its start the daemon reached a step.
    pub(crate) fn record_start(&self, step: &'static str, elapsed: Duration) {
        let labels = [KeyValue::new("step", step)];
        self.start.record(elapsed.as_secs_f64(), &labels);
    }

    /// Records a call to a service of the platform.
    pub(crate) fn record_call(&self, service: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service),
            KeyValue::new("outcome", outcome),
        ];
        self.calls.add(1, &labels);
    }

    /// Records a step towards a newer configuration.
    pub(crate) fn record_catalog(&self, step: &'static str, source: &'static str) {
        let labels = [KeyValue::new("step", step), KeyValue::new("source", source)];
        self.catalog.add(1, &labels);
    }

    /// Renders the page that Prometheus scrapes.
    pub(crate) fn page(&self) -> String {
        let mut page = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            log::warn!("metrics: the page could not be encoded and is incomplete, {error}.");
        }
        let page = String::from_utf8_lossy(&page).into_owned();
        let dropped = logging::dropped_lines();
        let name = "poplarvale_relay_log_lines_dropped";
        page + &format!("# TYPE {name} counter\n{name} {dropped}\n")
    }
}
