//! Metrics of a gateway instance.

use std::time::Duration;

use goldcrestvale_entry::metrics::Recorder;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};

/// The instruments of a gateway instance.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    recorder: Recorder,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    first_event: Histogram<f64>,
    repeats: Counter<u64>,
    rescues: Counter<u64>,
    recovery: Histogram<f64>,
    store_failures: Counter<u64>,
    orders: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new(recorder: Recorder) -> Self {
        let meter = recorder.meter();
        Self {
            requests: meter.u64_counter("goldcrestvale_forwarded").build(),
            duration: meter.f64_histogram("goldcrestvale_forward_seconds").build(),
            first_event: meter.f64_histogram("goldcrestvale_first_event_seconds").build(),
            repeats: meter.u64_counter("goldcrestvale_repeats").build(),
            rescues: meter.u64_counter("goldcrestvale_rescues").build(),
            recovery: meter.f64_histogram("goldcrestvale_stream_recovery_seconds").build(),
            store_failures: meter.u64_counter("goldcrestvale_directory_failures").build(),
            orders: meter.u64_counter("goldcrestvale_engine_orders").build(),
            recorder,
        }
    }

    pub(crate) fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    pub(crate) fn count_request(&self, outcome: &'static str, taken: Duration) {
        let outcome = [KeyValue::new("outcome", outcome)];
        self.requests.add(1, &outcome);
        self.duration.record(taken.as_secs_f64(), &outcome);
    }

    pub(crate) fn record_first_event(&self, taken: Duration) {
        self.first_event.record(taken.as_secs_f64(), &[]);
    }

    pub(crate) fn count_repeat(&self, allowed: bool) {
        self.repeats.add(1, &[KeyValue::new("allowed", allowed)]);
    }

    pub(crate) fn count_rescue(&self, how: &'static str) {
        self.rescues.add(1, &[KeyValue::new("how", how)]);
    }

    pub(crate) fn record_recovery(&self, taken: Duration) {
        self.recovery.record(taken.as_secs_f64(), &[]);
    }

    pub(crate) fn count_store_failure(&self, call: &'static str) {
        self.store_failures.add(1, &[KeyValue::new("call", call)]);
    }

    pub(crate) fn count_order(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}
