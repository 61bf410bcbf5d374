//! Metrics of the daemon, recorded with opentelemetry and exported as a Prometheus page.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use poplarvale_lib::Ending;
use prometheus::{Encoder as _, Registry, TextEncoder};

/// Bucket bounds of the duration histograms, in seconds.
const BOUNDS_S: [f64; 14] = [
    0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.7, 1.5, 3.0, 10.0, 30.0, 100.0,
];

/// Metric instruments of a daemon.
#[derive(Debug)]
pub struct Metrics {
    /// Requests that ended, by outcome and result code.
    requests: Counter<u64>,
    /// Attempts; their excess over the requests is the number of retries.
    pub(crate) attempts: Counter<u64>,
    /// Requests that wait to be sent.
    pub(crate) waiting: Gauge<u64>,
    /// Duration of a tick in seconds.
    pub(crate) tick: Histogram<f64>,
    /// Seconds to the first piece of an answer.
    pub(crate) first_piece: Histogram<f64>,
    /// Seconds to the end of an answer.
    pub(crate) full_answer: Histogram<f64>,
    registry: Registry,
    _provider: SdkMeterProvider,
}

/// The exporter could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("the metrics could not be set up: {0}")]
pub struct MetricsError(String);

/// Creates the registry of the page and the provider of its instruments.
pub(crate) fn provider() -> Result<(Registry, SdkMeterProvider), MetricsError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_scope_info()
        .without_target_info()
        .build()
        .map_err(|error| MetricsError(error.to_string()))?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    Ok((registry, provider))
}

impl Metrics {
    /// Creates the instruments, all at zero.
    ///
    /// # Errors
    /// If the exporter cannot use its registry.
    pub fn new() -> Result<Self, MetricsError> {
        let (registry, provider) = provider()?;
        let meter = provider.meter("poplarvale");
        let seconds = |name: &'static str, about: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(about)
                .with_unit("s")
                .with_boundaries(BOUNDS_S.to_vec())
                .build()
        };
        Ok(Self {
            requests: meter
                .u64_counter("poplarvale_requests")
                .with_description("Requests that ended, by outcome and result code")
                .build(),
            attempts: meter
                .u64_counter("poplarvale_sendings")
                .with_description("Requests sent to endpoints, retries included")
                .build(),
            waiting: meter
                .u64_gauge("poplarvale_waiting")
                .with_description("Requests that wait to be sent")
                .build(),
            tick: seconds("poplarvale_tick", "Time that a tick took"),
            first_piece: seconds(
                "poplarvale_first_piece",
                "Time to the first piece of an answer",
            ),
            full_answer: seconds("poplarvale_whole_answer", "Time to the end of an answer"),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that ended.
    pub(crate) fn record_request(&self, ending: &Ending) {
        let (outcome, code) = match ending {
            Ending::Complete { .. } => ("whole", 0),
            Ending::Failed { code, .. } => ("failed", code.number()),
            Ending::CallerLeft => ("left", 0),
        };
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("code", i64::from(code)),
        ];
        self.requests.add(1, &labels);
    }

    /// Page in the Prometheus text format.
    pub fn page(&self) -> String {
        let mut page = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            log::error!("metrics: the page could not be encoded, it may be incomplete: {error}");
        }
        String::from_utf8(page).unwrap_or_default()
    }
}
