//! Admission of requests: waiting for a slot, or a refusal at once.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use goldcrestvale_route::admission::{
    Cause as Why, Decision, Queue, Rejection, Released, Request, Settings, Ticket,
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

type Answer = std::result::Result<(), Rejection>;

/// Admits the requests of one kind.
///
/// Decisions are made under a short lock; no lock is held while a request waits.
#[derive(Debug, Clone)]
pub struct Admission {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
    /// Wakes the ticker when a request begins to wait.
    waits: Notify,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    waiting: HashMap<Ticket, oneshot::Sender<Answer>>,
    rng: StdRng,
}

/// A slot; dropping it ends the request.
#[derive(Debug)]
pub struct Slot {
    admission: Admission,
    ticket: Ticket,
}

impl Admission {
    /// Creates an empty queue; the seed spreads the times to come back.
    pub fn new(settings: Settings, clock: Clock, seed: u64) -> Self {
        let state = State {
            queue: Queue::new(settings),
            waiting: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        let shared = Shared { clock, state: Mutex::new(state), waits: Notify::new() };
        Self { shared: Arc::new(shared) }
    }

    /// Waits until the request may run.
    ///
    /// A caller that goes away while it waits leaves the queue.
    ///
    /// # Errors
    ///
    /// Refuses the request, at once where it is known that it cannot meet its deadline.
    pub async fn enter(&self, ask: Request) -> Result<Slot> {
        let (ticket, answer) = match self.offer(ask) {
            Decided::Run(ticket) => return Ok(self.slot(ticket)),
            Decided::Refuse(refused) => return Err(refusal(refused)),
            Decided::Wait(ticket, answer) => (ticket, answer),
        };
        // From here on, dropping the slot takes the request out of the queue.
        let slot = self.slot(ticket);
        match answer.await {
            Ok(Ok(())) => Ok(slot),
            Ok(Err(refused)) => Err(refusal(refused)),
            Err(_) => Err(Refusal::unsent(Cause::Internal, "the admission queue ended")),
        }
    }

    /// Returns the running and the waiting requests.
    pub fn load(&self) -> (usize, usize) {
        let state = self.state();
        (state.queue.running(), state.queue.waiting())
    }

    fn offer(&self, ask: Request) -> Decided {
        let now = self.shared.clock.now();
        let mut state = self.state();
        let State { queue, waiting, rng } = &mut *state;
        match queue.offer(now, ask, rng) {
            Decision::Run(ticket) => Decided::Run(ticket),
            Decision::Reject(refused) => Decided::Refuse(refused),
            Decision::Wait(ticket) => {
                let (sender, answer) = oneshot::channel();
                waiting.insert(ticket, sender);
                self.shared.waits.notify_one();
                Decided::Wait(ticket, answer)
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
        state.answer(released);
    }

    /// Refuses waiting requests whose deadline cannot be met any more.
    async fn tick(self, stop: CancellationToken) {
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
                () = self.shared.waits.notified() => {}
                () = due => {}
            }
            let now = self.shared.clock.now();
            let mut state = self.state();
            let State { queue, rng, .. } = &mut *state;
            let released = queue.tick(now, rng);
            state.answer(released);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Decided {
    Run(Ticket),
    Wait(Ticket, oneshot::Receiver<Answer>),
    Refuse(Rejection),
}

impl State {
    fn answer(&mut self, released: Vec<Released>) {
        for one in released {
            let (ticket, answer) = match one {
                Released::Run(ticket) => (ticket, Ok(())),
                Released::Reject(ticket, refused) => (ticket, Err(refused)),
            };
            let sender = self.waiting.remove(&ticket);
            if sender.is_none_or(|sender| sender.send(answer).is_err()) {
                // The slot of a caller that has gone is given back when its guard is dropped.
                debug!(ticket = ticket.0; "released request has gone");
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.finish(self.ticket);
    }
}

fn refusal(refused: Rejection) -> Refusal {
    let (cause, detail) = match refused.cause {
        Why::Full => (Cause::Busy, "the queue is full"),
        Why::Deadline => (Cause::Deadline, "the request cannot meet its deadline"),
    };
    Refusal::unsent(cause, detail).retry_after(refused.retry_after)
}

/// Registers an admission queue under a name.
#[derive(Debug)]
pub struct QueueRegistration {
    /// Name of the dump section.
    pub name: &'static str,
    /// The queue.
    pub admission: Admission,
}

impl Part for QueueRegistration {
    fn register(self, builder: &mut Builder) {
        let dumped = self.admission.clone();
        builder.insert_dump(self.name, move || {
            let (running, waiting) = dumped.load();
            json!({ "running": running, "waiting": waiting })
        });
        let stop = builder.stop();
        builder.insert_task(self.admission.tick(stop));
    }
}
