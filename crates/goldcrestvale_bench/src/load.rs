//! Closed-loop load: a fixed number of callers, each of which sends its next request after the
//! response to the last.

mod call;
mod chain;

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

pub use call::{Call, RequestTemplate};
pub use chain::Chain;

/// Maximum latency that the histogram distinguishes, in nanoseconds.
const MAX_LATENCY_NANOS: u64 = 60_000_000_000;

/// Sends requests in sequence.
pub trait Worker {
    /// Sends one request and returns whether it succeeded.
    fn send(&mut self) -> impl Future<Output = bool> + Send;
}

/// The limits of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of requests.
    pub requests: u32,
    /// Time after which no request is started.
    pub time: Duration,
}

/// The results and latencies that the callers observed.
#[derive(Debug)]
pub struct Stats {
    latency: Histogram<u64>,
    /// Number of successful requests.
    pub answered: u32,
    /// Number of failed requests.
    pub failed: u32,
    /// Time from the first request to the last response.
    pub time: Duration,
}

impl Stats {
    fn new() -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY_NANOS, 3).expect("fixed bounds");
        Self { latency, answered: 0, failed: 0, time: Duration::ZERO }
    }

    /// Returns a percentile of the latency.
    pub fn latency(&self, percentile: f64) -> Duration {
        Duration::from_nanos(self.latency.value_at_percentile(percentile))
    }

    fn merge(&mut self, other: &Self) {
        self.latency.add(&other.latency).expect("histograms of the same bounds");
        self.answered += other.answered;
        self.failed += other.failed;
    }
}

/// Drives workers until a limit is reached.
pub async fn drive<W: Worker + Send + 'static>(workers: Vec<W>, limits: Limits) -> Stats {
    let remaining = std::sync::Arc::new(AtomicU32::new(limits.requests));
    let start = Instant::now();
    let end = start + limits.time;
    let mut tasks = Vec::new();
    for worker in workers {
        tasks.push(tokio::spawn(work(worker, remaining.clone(), end)));
    }
    let mut all = Stats::new();
    for task in tasks {
        if let Ok(stats) = task.await {
            all.merge(&stats);
        }
    }
    all.time = start.elapsed();
    all
}

async fn work<W: Worker>(
    mut worker: W,
    remaining: std::sync::Arc<AtomicU32>,
    end: Instant,
) -> Stats {
    let mut stats = Stats::new();
    let take = |remaining: u32| remaining.checked_sub(1);
    while Instant::now() < end
        && remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    {
        let start = Instant::now();
        let answered = worker.send().await;
        let latency = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        stats.latency.saturating_record(latency);
        stats.answered += u32::from(answered);
        stats.failed += u32::from(!answered);
    }
    stats
}
