//! Continuous batching of steps, which take the time given by the cost model.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_upstream::message::{Cancel, Step, StepAnswer};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use super::{Engine, state, state::Result};

/// Steps that are waiting for a batch.
#[derive(Debug, Default)]
pub(super) struct Queue {
    jobs: Mutex<Vec<Job>>,
    arrived: Notify,
}

#[derive(Debug)]
struct Job {
    step: Step,
    done: oneshot::Sender<Result<StepAnswer>>,
}

impl Queue {
    /// Queues a step; the receiver is closed without a value if the step is cancelled.
    pub(super) fn push(&self, step: Step) -> oneshot::Receiver<Result<StepAnswer>> {
        let (done, receiver) = oneshot::channel();
        self.jobs().push(Job { step, done });
        self.arrived.notify_one();
        receiver
    }

    /// Returns the number of waiting steps.
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.jobs().len()).unwrap_or(u32::MAX)
    }

    /// Drops the waiting steps of one attempt, or of all attempts of a request.
    pub(super) fn cancel(&self, cancel: &Cancel) {
        self.jobs()
            .retain(|job| !state::cancels(cancel, job.step.name.request, job.step.name.attempt));
    }

    /// Takes the next batch, ordered by priority, then by arrival.
    fn take(&self, max_tokens: u32) -> Vec<Job> {
        let mut jobs = self.jobs();
        jobs.retain(|job| !job.done.is_closed());
        jobs.sort_by_key(|job| std::cmp::Reverse(job.step.priority));
        let mut tokens = 0;
        let fits = |job: &Job| {
            tokens += state::position_count(&job.step.input);
            tokens <= max_tokens
        };
        let count = jobs.iter().take_while({
            let mut fits = fits;
            move |job| fits(job)
        });
        // A step with more than `max_tokens` runs alone.
        let count = count.count().max(1).min(jobs.len());
        jobs.drain(..count).collect()
    }

    fn jobs(&self) -> MutexGuard<'_, Vec<Job>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs batches until the engine ends.
pub(super) async fn run(engine: Arc<Engine>) {
    let mut faults = engine.faults.subscribe();
    let mut end = Instant::now();
    loop {
        let closed = faults.wait_for(|faults| !faults.hold).await.is_err();
        if closed {
            return;
        }
        let batch = engine.queue.take(engine.cost.cap);
        if batch.is_empty() {
            engine.queue.arrived.notified().await;
            end = Instant::now();
            continue;
        }
        engine.state().running = u32::try_from(batch.len()).unwrap_or(u32::MAX);
        // Counted from the end of the previous batch, not from the later wake-up of its timer.
        end += engine.batch_time(&batch);
        tokio::time::sleep_until(end).await;
        for job in batch {
            if !job.done.is_closed() {
                let outcome = engine.run(&job.step);
                let _ = job.done.send(outcome);
            }
        }
        engine.state().running = 0;
    }
}

impl Engine {
    fn batch_time(&self, batch: &[Job]) -> Duration {
        let state = self.state();
        let steps = batch.iter().map(|job| {
            let cached = if job.step.name.position == 0 {
                state.prefixes.cached_positions(&job.step.input)
            } else {
                0
            };
            let tokens = state::position_count(&job.step.input).saturating_sub(cached).max(1);
            (job.step.layers.len(), tokens)
        });
        let slow = self.faults.get().slow;
        let factor = if slow > 0.0 { slow } else { 1.0 };
        self.cost.batch(steps).mul_f64(self.settings.time_scale * factor)
    }
}
