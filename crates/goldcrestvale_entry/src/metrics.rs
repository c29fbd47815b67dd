//! Metrics of an instance, recorded with OpenTelemetry and exported as text.

use goldcrestvale_base::id::Upstream;
use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Counter, Histogram, Meter, MeterProvider as _, UpDownCounter},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::Snafu;

use crate::refusal::Cause;

/// The result of setting up or scraping metrics.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure to set up or scrape metrics.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The exporter cannot be built.
    #[snafu(display("cannot set up the metrics exporter: {detail}"))]
    Setup {
        /// Description of the failure.
        detail: String,
    },
    /// The metrics cannot be encoded.
    #[snafu(display("cannot encode the metrics: {source}"))]
    Encode {
        /// The error of the encoder.
        source: prometheus::Error,
    },
}

/// Records instruments and exports them as text.
#[derive(Debug, Clone)]
pub struct Recorder {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Recorder {
    /// Creates a recorder without instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be built.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error::Setup { detail: e.to_string() })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that builds instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("goldcrestvale")
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be encoded.
    pub fn scrape(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|source| Error::Encode { source })?;
        Ok(text)
    }
}

/// The instruments of an instance.
#[derive(Debug, Clone)]
pub struct Metrics {
    recorder: Recorder,
    /// Completed requests, by kind and verdict.
    pub requests: Counter<u64>,
    /// Refused requests, by cause.
    pub refusals: Counter<u64>,
    /// Duration of a request from its head to its end, in seconds, by kind.
    pub duration: Histogram<f64>,
    /// Time to the first token of a draft, in seconds.
    pub first_token: Histogram<f64>,
    /// Time that an admitted request waited for a slot, in seconds.
    pub wait: Histogram<f64>,
    /// Requests in progress, by kind.
    pub in_progress: UpDownCounter<i64>,
    /// Attempts after the first, by kind.
    pub retries: Counter<u64>,
    /// Time from the loss of a stage to the next token, in seconds.
    pub recovery: Histogram<f64>,
    /// Claims per append to the platform log.
    pub claim_batch: Histogram<u64>,
    /// Committed tokens.
    pub tokens: Counter<u64>,
    /// Failed calls to the platform, by call.
    pub platform_failures: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be built.
    pub fn new() -> Result<Self> {
        let recorder = Recorder::new()?;
        let meter = recorder.meter();
        Ok(Self {
            requests: meter.u64_counter("goldcrestvale_requests").build(),
            refusals: meter.u64_counter("goldcrestvale_refusals").build(),
            duration: meter.f64_histogram("goldcrestvale_request_seconds").build(),
            first_token: meter.f64_histogram("goldcrestvale_first_token_seconds").build(),
            wait: meter.f64_histogram("goldcrestvale_wait_seconds").build(),
            in_progress: meter.i64_up_down_counter("goldcrestvale_requests_in_progress").build(),
            retries: meter.u64_counter("goldcrestvale_retries").build(),
            recovery: meter.f64_histogram("goldcrestvale_recovery_seconds").build(),
            claim_batch: meter.u64_histogram("goldcrestvale_claims_per_append").build(),
            tokens: meter.u64_counter("goldcrestvale_tokens").build(),
            platform_failures: meter.u64_counter("goldcrestvale_platform_failures").build(),
            recorder,
        })
    }

    /// Returns the meter that builds further instruments.
    pub fn meter(&self) -> Meter {
        self.recorder.meter()
    }

    /// Registers a gauge that is read when the metrics are scraped.
    pub fn insert_gauge(&self, name: &'static str, read: impl Fn() -> u64 + Send + Sync + 'static) {
        let meter = self.recorder.meter();
        meter.u64_observable_gauge(name).with_callback(move |o| o.observe(read(), &[])).build();
    }

    /// Registers a gauge with one value per upstream, read when the metrics are scraped.
    pub fn insert_upstream_gauge(
        &self,
        name: &'static str,
        read: impl Fn() -> Vec<(Upstream, u64)> + Send + Sync + 'static,
    ) {
        let observe = move |observer: &dyn AsyncInstrument<u64>| {
            for (upstream, value) in read() {
                observer.observe(value, &[KeyValue::new("upstream", upstream.to_string())]);
            }
        };
        let meter = self.recorder.meter();
        meter.u64_observable_gauge(name).with_callback(observe).build();
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, cause: Cause) {
        self.refusals.add(1, &[KeyValue::new("cause", cause.as_str())]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be encoded.
    pub fn scrape(&self) -> Result<Vec<u8>> {
        self.recorder.scrape()
    }
}
