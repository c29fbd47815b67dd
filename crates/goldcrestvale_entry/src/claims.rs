//! Claims of idempotency keys: passes calls to the coordinator of their claim stream.
//!
//! One task for each claim stream owns its
//! [`Coordinator`](goldcrestvale_ledger::coordinator::Coordinator), and appends to and reads the
//! stream. Requests are sent to it through an unbounded channel; the gate for callers limits their
//! number.

mod answer_cache;
mod owner;
mod permit;
mod shard;

use std::{
    collections::BTreeMap,
    num::NonZeroU16,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use goldcrestvale_base::id::Key;
use goldcrestvale_ledger::{
    claim::{Claim, Lost, Owner, OwnerAnswer, Settled, Standing, Unanswered, Won},
    coordinator::{Call, Refused, Ticket},
    shard::{Layout, Shard},
};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

pub use self::{
    answer_cache::AnswerCache,
    permit::{Completion, DispatchPermit},
};
use crate::{
    daemon::{Builder, Part},
    node::Node,
    settings,
};

/// Number of claim streams. Not a setting: instances with different values would look for the
/// claims of a key in different streams, and its call could run twice.
const STREAMS: NonZeroU16 = NonZeroU16::MIN;

/// The decision of the coordinator about a call.
#[derive(Debug)]
pub enum Reply {
    /// The call may be sent once.
    Dispatch(DispatchPermit),
    /// The call is answered without being sent to its service.
    Reject(Refused),
    /// The owner of the key knows the outcome.
    QueryOwner {
        /// The claim, which lost to the owner's.
        claim: Claim<Lost>,
        /// The owner.
        owner: Owner,
        /// The state of the key in the log, for the case that the owner does not answer.
        standing: Standing,
    },
    /// Another call of the key at this instance had this outcome.
    Replay {
        /// The claim, which lost to the other call's.
        claim: Claim<Lost>,
        /// The outcome.
        outcome: OwnerAnswer,
    },
}

/// A command for the task of a claim stream.
#[derive(Debug)]
pub(crate) enum Command {
    /// Decides a call.
    Call(Call, oneshot::Sender<Reply>),
    /// The caller has disconnected.
    CallerGone(Ticket, Key),
    /// Nothing was sent for a claim.
    Returned(Claim<Won>),
    /// The service answered completely.
    Settled(Claim<Settled>),
    /// The service did not answer completely.
    Unanswered(Claim<Unanswered>),
    /// Another instance queries the outcome of a key.
    QueryOutcome(Key, oneshot::Sender<OwnerAnswer>),
    /// Accepts no more calls; replies once no call is in progress.
    Drain(oneshot::Sender<()>),
    /// Replies once no record waits to be appended to the log.
    Flush(oneshot::Sender<()>),
}

/// Handle that passes calls to the tasks of the claim streams.
#[derive(Debug)]
pub struct Claims {
    layout: Layout,
    coordinators: OnceLock<Vec<mpsc::UnboundedSender<Command>>>,
    answers: AnswerCache,
    published: Mutex<BTreeMap<String, Value>>,
    tickets: AtomicU64,
}

impl Claims {
    /// Creates a handle to tasks that are not started yet.
    pub fn new(settings: &settings::Claims) -> Self {
        Self {
            layout: Layout::new(STREAMS),
            coordinators: OnceLock::new(),
            answers: AnswerCache::new(settings.answer_bytes, settings.window),
            published: Mutex::default(),
            tickets: AtomicU64::new(0),
        }
    }

    /// Returns the cache of answers for retried calls.
    pub fn answers(&self) -> &AnswerCache {
        &self.answers
    }

    /// Returns an identifier for a call, unique within this process.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::AcqRel))
    }

    /// Submits a call to the coordinator of its key's stream and waits for the decision.
    ///
    /// Dropping the future gives the call up. Returns `None` if the tasks are not running.
    pub async fn decide(&self, call: Call) -> Option<Reply> {
        let (ticket, key) = (call.ticket, call.key);
        let coordinator = self.coordinator(&key)?;
        let (sender, reply) = oneshot::channel();
        coordinator.send(Command::Call(call, sender)).ok()?;
        let waiting = Waiting { coordinator, ticket, key, done: false };
        let reply = reply.await.ok();
        waiting.disarm();
        reply
    }

    pub(crate) fn coordinator(&self, key: &Key) -> Option<mpsc::UnboundedSender<Command>> {
        self.coordinator_of(self.layout.shard_of(key))
    }

    fn coordinator_of(&self, shard: Shard) -> Option<mpsc::UnboundedSender<Command>> {
        self.coordinators.get()?.get(usize::from(shard.0)).cloned()
    }
}

/// A call that waits for its coordinator; dropping it gives the call up.
struct Waiting {
    coordinator: mpsc::UnboundedSender<Command>,
    ticket: Ticket,
    key: Key,
    done: bool,
}

impl Waiting {
    fn disarm(mut self) {
        self.done = true;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.done {
            // A coordinator that has stopped holds no call.
            let _ = self.coordinator.send(Command::CallerGone(self.ticket, self.key));
        }
    }
}

/// Gauges, each with the field of the published stream states that it sums up.
const GAUGES: [(&str, &str); 3] = [
    ("goldcrestvale_claims_live", "live_claims"),
    ("goldcrestvale_claims_in_progress", "calls_in_progress"),
    ("goldcrestvale_claims_alarms", "alarms"),
];

/// Runs the tasks of the claim streams.
#[derive(Debug, Clone, Copy)]
pub struct Runner;

impl Part for Runner {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let mut coordinators = Vec::new();
        for shard in node.claims.layout.shards() {
            let (sender, commands) = mpsc::unbounded_channel();
            builder.insert_task(shard::run(node.clone(), shard, commands, builder.stop()));
            coordinators.push(sender);
        }
        // If a runner was registered before, its tasks stay in use.
        let _ = node.claims.coordinators.set(coordinators.clone());
        node.peers.set_owner(Arc::new(owner::QueryHandler::new(&node)));
        for (name, field) in GAUGES {
            let gauge_node = node.clone();
            node.metrics.insert_gauge(name, move || gauge_node.claims.sum(field));
        }
        let dump_node = node.clone();
        builder.insert_dump("claims", move || dump_node.claims.dump());
        builder.insert_shutdown_hook(move || drain(node, coordinators));
    }
}

impl Claims {
    fn dump(&self) -> Value {
        let (answers, bytes) = self.answers.size();
        json!({ "streams": *self.published(), "answers": answers, "answer_bytes": bytes })
    }

    /// Sums up one field of the published states of all claim streams.
    fn sum(&self, field: &str) -> u64 {
        self.published().values().filter_map(|state| state[field].as_u64()).sum()
    }

    /// Replaces the published state of a claim stream.
    fn publish(&self, stream: &str, state: Value) {
        self.published().insert(stream.to_owned(), state);
    }

    fn published(&self) -> MutexGuard<'_, BTreeMap<String, Value>> {
        self.published.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until every claim has ended and its record is in the log, each with a timeout.
async fn drain(node: Arc<Node>, coordinators: Vec<mpsc::UnboundedSender<Command>>) {
    wait(&coordinators, Command::Drain, node.settings.stop.timeout).await;
    wait(&coordinators, Command::Flush, node.settings.platform.timeout * 3).await;
}

async fn wait(
    coordinators: &[mpsc::UnboundedSender<Command>],
    command: impl Fn(oneshot::Sender<()>) -> Command,
    timeout: Duration,
) {
    let replies = coordinators.iter().filter_map(|coordinator| {
        let (sender, done) = oneshot::channel();
        coordinator.send(command(sender)).is_ok().then_some(done)
    });
    let all = futures_util::future::join_all(replies);
    if tokio::time::timeout(timeout, all).await.is_err() {
        ::log::warn!("claims were left without their last record");
    }
}
