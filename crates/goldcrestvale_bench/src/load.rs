//! Closed-loop load: a fixed number of callers, each sending its next request after an answer.

mod call;
mod chain;

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

pub use call::{Call, Form};
pub use chain::Chain;

/// Longest time that is told apart, in nanoseconds.
const LONGEST_NANOS: u64 = 60_000_000_000;

/// Sends requests one after the other.
pub trait Worker {
    /// Sends one request and returns whether it was answered as it should.
    fn send(&mut self) -> impl Future<Output = bool> + Send;
}

/// How much to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Amount {
    /// Requests at most.
    pub requests: u32,
    /// Time after which no request is begun.
    pub time: Duration,
}

/// What the callers saw.
#[derive(Debug)]
pub struct Seen {
    latency: Histogram<u64>,
    /// Requests answered as they should.
    pub answered: u32,
    /// Requests not answered, or otherwise.
    pub failed: u32,
    /// From the first request to the last answer.
    pub time: Duration,
}

impl Seen {
    fn new() -> Self {
        let latency = Histogram::new_with_max(LONGEST_NANOS, 3).expect("fixed bounds");
        Self { latency, answered: 0, failed: 0, time: Duration::ZERO }
    }

    /// Returns a percentile of the latency.
    pub fn latency(&self, percentile: f64) -> Duration {
        Duration::from_nanos(self.latency.value_at_percentile(percentile))
    }

    fn add(&mut self, other: &Self) {
        self.latency.add(&other.latency).expect("histograms of the same bounds");
        self.answered += other.answered;
        self.failed += other.failed;
    }
}

/// Drives workers until the amount is used up.
pub async fn drive<W: Worker + Send + 'static>(workers: Vec<W>, amount: Amount) -> Seen {
    let left = std::sync::Arc::new(AtomicU32::new(amount.requests));
    let start = Instant::now();
    let end = start + amount.time;
    let mut tasks = Vec::new();
    for worker in workers {
        tasks.push(tokio::spawn(work(worker, left.clone(), end)));
    }
    let mut all = Seen::new();
    for task in tasks {
        if let Ok(seen) = task.await {
            all.add(&seen);
        }
    }
    all.time = start.elapsed();
    all
}

async fn work<W: Worker>(mut worker: W, left: std::sync::Arc<AtomicU32>, end: Instant) -> Seen {
    let mut seen = Seen::new();
    let take = |left: u32| left.checked_sub(1);
    while Instant::now() < end
        && left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    {
        let start = Instant::now();
        let answered = worker.send().await;
        let latency = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        seen.latency.saturating_record(latency);
        seen.answered += u32::from(answered);
        seen.failed += u32::from(!answered);
    }
    seen
}
