//! Metrics of a gateway instance.

use std::time::Duration;

use goldcrestvale_entry::metrics::Recorder;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, UpDownCounter},
};

/// The instruments of a gateway instance.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    recorder: Recorder,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    first_event: Histogram<f64>,
    retries: Counter<u64>,
    failovers: Counter<u64>,
    over_share: Counter<u64>,
    recovery: Histogram<f64>,
    directory_reads: Counter<u64>,
    directory_failures: Counter<u64>,
    unreadable_records: Counter<u64>,
    orders: Counter<u64>,
    estimate_ratio: Histogram<f64>,
    waiting: UpDownCounter<i64>,
    wait: Histogram<f64>,
    refused: Counter<u64>,
    chain_limits: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new(recorder: Recorder) -> Self {
        let meter = recorder.meter();
        Self {
            requests: meter.u64_counter("goldcrestvale_forwarded").build(),
            duration: meter.f64_histogram("goldcrestvale_forward_seconds").build(),
            first_event: meter.f64_histogram("goldcrestvale_first_event_seconds").build(),
            retries: meter.u64_counter("goldcrestvale_repeats").build(),
            failovers: meter.u64_counter("goldcrestvale_rescues").build(),
            over_share: meter.u64_counter("goldcrestvale_over_share").build(),
            recovery: meter.f64_histogram("goldcrestvale_stream_recovery_seconds").build(),
            directory_reads: meter.u64_counter("goldcrestvale_directory_reads").build(),
            directory_failures: meter.u64_counter("goldcrestvale_directory_failures").build(),
            unreadable_records: meter.u64_counter("goldcrestvale_unreadable_records").build(),
            orders: meter.u64_counter("goldcrestvale_engine_orders").build(),
            estimate_ratio: meter.f64_histogram("goldcrestvale_estimate_ratio").build(),
            waiting: meter.i64_up_down_counter("goldcrestvale_waiting").build(),
            wait: meter.f64_histogram("goldcrestvale_wait_seconds").build(),
            refused: meter.u64_counter("goldcrestvale_refused").build(),
            chain_limits: meter.u64_counter("goldcrestvale_chain_limits").build(),
            recorder,
        }
    }

    pub(crate) fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    pub(crate) fn count_request(&self, outcome: &'static str, elapsed: Duration) {
        let outcome = [KeyValue::new("outcome", outcome)];
        self.requests.add(1, &outcome);
        self.duration.record(elapsed.as_secs_f64(), &outcome);
    }

    pub(crate) fn record_first_event(&self, elapsed: Duration) {
        self.first_event.record(elapsed.as_secs_f64(), &[]);
    }

    pub(crate) fn count_retry(&self, allowed: bool) {
        self.retries.add(1, &[KeyValue::new("allowed", allowed)]);
    }

    pub(crate) fn count_failover(&self, how: &'static str) {
        self.failovers.add(1, &[KeyValue::new("how", how)]);
    }

    pub(crate) fn count_over_share(&self) {
        self.over_share.add(1, &[]);
    }

    pub(crate) fn record_recovery(&self, elapsed: Duration) {
        self.recovery.record(elapsed.as_secs_f64(), &[]);
    }

    pub(crate) fn count_directory_read(&self, call: &'static str) {
        self.directory_reads.add(1, &[KeyValue::new("call", call)]);
    }

    pub(crate) fn count_directory_failure(&self, call: &'static str) {
        self.directory_failures.add(1, &[KeyValue::new("call", call)]);
    }

    /// Counts a record of the directory that cannot be decoded.
    pub(crate) fn count_unreadable(&self) {
        self.unreadable_records.add(1, &[]);
    }

    /// Records how an answer compares to its estimate.
    pub(crate) fn record_estimate_ratio(&self, ratio: f64) {
        self.estimate_ratio.record(ratio, &[]);
    }

    pub(crate) fn count_chain_limit(&self, how: &'static str) {
        self.chain_limits.add(1, &[KeyValue::new("how", how)]);
    }

    pub(crate) fn count_order(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts streams that began or ended to wait for a place.
    pub(crate) fn add_waiting(&self, priority: u8, streams: i64) {
        self.waiting.add(streams, &[KeyValue::new("priority", i64::from(priority))]);
    }

    pub(crate) fn record_wait(&self, priority: u8, elapsed: Duration) {
        self.wait.record(elapsed.as_secs_f64(), &[KeyValue::new("priority", i64::from(priority))]);
    }

    pub(crate) fn count_refused(&self, priority: u8, cause: &'static str) {
        let priority = KeyValue::new("priority", i64::from(priority));
        self.refused.add(1, &[priority, KeyValue::new("cause", cause)]);
    }
}
