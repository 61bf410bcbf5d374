//! Counters and histograms of a relaying daemon, shown on a Prometheus page.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};

use super::trail;
use crate::metrics::provider;

/// Bounds of the latency histograms, in seconds; the targets of the routes lie
/// between 0.1 and 1.5.
const BOUNDS: [f64; 12] = [
    0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 1.5, 3.0, 6.0, 15.0,
];

/// The instruments.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    sendings: Counter<u64>,
    calls: Counter<u64>,
    quarantined: Counter<u64>,
    first: Histogram<f64>,
    whole: Histogram<f64>,
    /// Ends with the instruments.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Instruments that count from zero; `None`, with a log line, if the exporter
    /// refuses its registry.
    pub(crate) fn new() -> Option<Self> {
        let (registry, provider) = match provider() {
            Ok(both) => both,
            Err(error) => {
                log::warn!("metrics: none are kept, {error}.");
                return None;
            }
        };
        let meter = provider.meter("poplarvale");
        let counter = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        let seconds = |name: &'static str, about: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(about)
                .with_unit("s")
                .with_boundaries(BOUNDS.to_vec())
                .build()
        };
        Some(Self {
            requests: counter(
                "poplarvale_relay_requests",
                "Requests that ended, by route and result code (0: an endpoint's answer)",
            ),
            sendings: counter(
                "poplarvale_relay_sendings",
                "Sendings to endpoints, by how they ended",
            ),
            calls: counter(
                "poplarvale_relay_calls",
                "Calls to the platform's services, by service and outcome",
            ),
            quarantined: counter(
                "poplarvale_relay_quarantined",
                "Requests that were quarantined because endpoints ended under them",
            ),
            first: seconds(
                "poplarvale_relay_first",
                "Time from a request's head to its first event or answer",
            ),
            whole: seconds(
                "poplarvale_relay_whole",
                "Time from a request's head to the end of its answer",
            ),
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn ended(&self, route: &str, code: u32, took: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("code", i64::from(code)),
        ];
        self.requests.add(1, &labels);
        if code == 0 {
            self.whole.record(took.as_secs_f64(), &[]);
        }
    }

    pub(crate) fn sent(&self, outcome: &'static str) {
        self.sendings.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn quarantined(&self) {
        self.quarantined.add(1, &[]);
    }

    pub(crate) fn first(&self, took: Duration) {
        self.first.record(took.as_secs_f64(), &[]);
    }

    pub(crate) fn called(&self, service: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service),
            KeyValue::new("outcome", outcome),
        ];
        self.calls.add(1, &labels);
    }

    /// The page that Prometheus reads.
    pub(crate) fn page(&self) -> String {
        let mut page = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            log::warn!("metrics: the page could not be written, {error}.");
        }
        let page = String::from_utf8_lossy(&page).into_owned();
        let dropped = trail::dropped();
        let name = "poplarvale_relay_log_lines_dropped";
        page + &format!("# TYPE {name} counter\n{name} {dropped}\n")
    }
}
