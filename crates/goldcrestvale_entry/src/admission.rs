//! Admission of requests: a request waits for a slot or is rejected at once.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use goldcrestvale_route::admission::{
    Cause as RejectionCause, Decision, Queue, Rejection, Released, Request, Settings, Ticket,
};
use log::debug;
use rand::{SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::Clock,
    daemon::{Builder, Part},
    refusal::{Cause, Refusal, Result},
};

type Admitted = std::result::Result<(), Rejection>;

/// Queue that admits the requests of one kind.
///
/// The lock is held only for the time of a decision, never while a request waits.
#[derive(Debug, Clone)]
pub struct Admission {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
    /// Wakes the timer task when a request starts to wait.
    enqueued: Notify,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    waiting: HashMap<Ticket, oneshot::Sender<Admitted>>,
    rng: StdRng,
}

/// The slot of a request; dropping it ends the request.
#[derive(Debug)]
pub struct Slot {
    admission: Admission,
    ticket: Ticket,
}

impl Admission {
    /// Creates an empty queue; `seed` randomizes the retry times of rejected requests.
    pub fn new(settings: Settings, clock: Clock, seed: u64) -> Self {
        let state = State {
            queue: Queue::new(settings),
            waiting: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        let shared = Shared { clock, state: Mutex::new(state), enqueued: Notify::new() };
        Self { shared: Arc::new(shared) }
    }

    /// Waits until the request may run.
    ///
    /// Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Rejects the request, at once if it cannot meet its deadline.
    pub async fn enter(&self, request: Request) -> Result<Slot> {
        let (ticket, admitted) = match self.offer(request) {
            Offered::Run(ticket) => return Ok(self.slot(ticket)),
            Offered::Reject(rejection) => return Err(refusal(rejection)),
            Offered::Wait(ticket, admitted) => (ticket, admitted),
        };
        // From here on, dropping the slot removes the request from the queue.
        let slot = self.slot(ticket);
        match admitted.await {
            Ok(Ok(())) => Ok(slot),
            Ok(Err(rejection)) => Err(refusal(rejection)),
            Err(_) => Err(Refusal::unsent(Cause::Internal, "the admission queue ended")),
        }
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (usize, usize) {
        let state = self.state();
        (state.queue.running(), state.queue.waiting())
    }

    fn offer(&self, request: Request) -> Offered {
        let now = self.shared.clock.now();
        let mut state = self.state();
        let State { queue, waiting, rng } = &mut *state;
        match queue.offer(now, request, rng) {
            Decision::Run(ticket) => Offered::Run(ticket),
            Decision::Reject(rejection) => Offered::Reject(rejection),
            Decision::Wait(ticket) => {
                let (sender, admitted) = oneshot::channel();
                waiting.insert(ticket, sender);
                self.shared.enqueued.notify_one();
                Offered::Wait(ticket, admitted)
            }
        }
    }

    fn slot(&self, ticket: Ticket) -> Slot {
        Slot { admission: self.clone(), ticket }
    }

    fn finish(&self, ticket: Ticket) {
        let now = self.shared.clock.now();
        let mut state = self.state();
        state.waiting.remove(&ticket);
        let State { queue, rng, .. } = &mut *state;
        let released = queue.finish(now, ticket, rng);
        state.notify(released);
    }

    /// Rejects waiting requests that can no longer meet their deadline.
    async fn run_timer(self, stop: CancellationToken) {
        loop {
            let wake = self.state().queue.wake();
            let now = self.shared.clock.now();
            let due = async {
                match wake {
                    Some(at) => tokio::time::sleep(at.since(now)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.shared.enqueued.notified() => {}
                () = due => {}
            }
            let now = self.shared.clock.now();
            let mut state = self.state();
            let State { queue, rng, .. } = &mut *state;
            let released = queue.tick(now, rng);
            state.notify(released);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Offered {
    Run(Ticket),
    Wait(Ticket, oneshot::Receiver<Admitted>),
    Reject(Rejection),
}

impl State {
    fn notify(&mut self, released: Vec<Released>) {
        for request in released {
            let (ticket, admitted) = match request {
                Released::Run(ticket) => (ticket, Ok(())),
                Released::Reject(ticket, rejection) => (ticket, Err(rejection)),
            };
            let sender = self.waiting.remove(&ticket);
            if sender.is_none_or(|sender| sender.send(admitted).is_err()) {
                // The slot of a disconnected caller is freed when its `Slot` is dropped.
                debug!(ticket = ticket.0; "caller of a released request has disconnected");
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.finish(self.ticket);
    }
}

fn refusal(rejection: Rejection) -> Refusal {
    let (cause, detail) = match rejection.cause {
        RejectionCause::Full => (Cause::Busy, "the queue is full"),
        RejectionCause::Deadline => (Cause::Deadline, "the request cannot meet its deadline"),
    };
    Refusal::unsent(cause, detail).retry_after(rejection.retry_after)
}

/// Registers the timer task and the dump section of an admission queue.
#[derive(Debug)]
pub struct QueueRegistration {
    /// Name of the dump section.
    pub name: &'static str,
    /// The queue.
    pub admission: Admission,
}

impl Part for QueueRegistration {
    fn register(self, builder: &mut Builder) {
        let admission = self.admission.clone();
        builder.insert_dump(self.name, move || {
            let (running, waiting) = admission.load();
            json!({ "running": running, "waiting": waiting })
        });
        let stop = builder.stop();
        builder.insert_task(self.admission.run_timer(stop));
    }
}
