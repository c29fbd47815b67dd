//! Calls with an idempotency key: from the request to the desk of its claim stream and back.
//!
//! One task for each claim stream owns its
//! [`Coordinator`](goldcrestvale_ledger::coordinator::Coordinator), appends and reads. Requests
//! reach it by a channel; their number is bounded by the callers' gate.

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

/// Number of claim streams; no setting, since instances that differed in it would look for the
/// claims of a key in different streams and run it twice.
const STREAMS: NonZeroU16 = NonZeroU16::MIN;

/// What the desk says about a call.
#[derive(Debug)]
pub enum Reply {
    /// The call may be sent, once.
    Dispatch(DispatchPermit),
    /// The call is answered without its service.
    Refuse(Refused),
    /// The owner of the key knows the outcome.
    QueryOwner {
        /// The claim, which stands behind the owner's.
        claim: Claim<Lost>,
        /// The owner.
        owner: Owner,
        /// What the log says, for the case that the owner is silent.
        standing: Standing,
    },
    /// Another call of the key at this instance had this outcome.
    Replay {
        /// The claim, which stands behind the other call's.
        claim: Claim<Lost>,
        /// The outcome.
        outcome: OwnerAnswer,
    },
}

/// Something for the task of a claim stream to do.
#[derive(Debug)]
pub(crate) enum Command {
    /// Decides a call.
    Call(Call, oneshot::Sender<Reply>),
    /// The caller is gone.
    Gone(Ticket, Key),
    /// Nothing was sent for a claim.
    Returned(Claim<Won>),
    /// The service answered in full.
    Settled(Claim<Settled>),
    /// The service did not answer in full.
    Unanswered(Claim<Unanswered>),
    /// Another instance asks for the outcome of a key.
    Ask(Key, oneshot::Sender<OwnerAnswer>),
    /// Takes no more calls; answers once no call is in progress.
    Drain(oneshot::Sender<()>),
    /// Answers once no record is on its way to the log.
    Flush(oneshot::Sender<()>),
}

/// The way from requests to the tasks of the claim streams.
#[derive(Debug)]
pub struct Claims {
    layout: Layout,
    desks: OnceLock<Vec<mpsc::UnboundedSender<Command>>>,
    answers: AnswerCache,
    published: Mutex<BTreeMap<String, Value>>,
    tickets: AtomicU64,
}

impl Claims {
    /// Makes the way to tasks that are not started yet.
    pub fn new(settings: &settings::Claims) -> Self {
        Self {
            layout: Layout::new(STREAMS),
            desks: OnceLock::new(),
            answers: AnswerCache::new(settings.answer_bytes, settings.window),
            published: Mutex::default(),
            tickets: AtomicU64::new(0),
        }
    }

    /// Returns the answers kept for repeated calls.
    pub fn answers(&self) -> &AnswerCache {
        &self.answers
    }

    /// Returns a name for a call, unique in this life of the process.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::AcqRel))
    }

    /// Asks the desk of the key's stream what becomes of a call.
    ///
    /// A caller that goes away while the call waits gives it up. Returns `None` if the tasks do
    /// not run.
    pub async fn decide(&self, call: Call) -> Option<Reply> {
        let (ticket, key) = (call.ticket, call.key);
        let desk = self.desk(&key)?;
        let (sender, reply) = oneshot::channel();
        desk.send(Command::Call(call, sender)).ok()?;
        let waiting = Waiting { desk, ticket, key, done: false };
        let reply = reply.await.ok();
        waiting.finish();
        reply
    }

    pub(crate) fn desk(&self, key: &Key) -> Option<mpsc::UnboundedSender<Command>> {
        self.desk_of(self.layout.shard_of(key))
    }

    fn desk_of(&self, shard: Shard) -> Option<mpsc::UnboundedSender<Command>> {
        self.desks.get()?.get(usize::from(shard.0)).cloned()
    }
}

/// A call that waits for its desk; dropping it gives the call up.
struct Waiting {
    desk: mpsc::UnboundedSender<Command>,
    ticket: Ticket,
    key: Key,
    done: bool,
}

impl Waiting {
    fn finish(mut self) {
        self.done = true;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.done {
            // A desk that has ended holds no call.
            let _ = self.desk.send(Command::Gone(self.ticket, self.key));
        }
    }
}

/// Gauges, each with the field of the streams' descriptions that it adds up.
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
        let mut desks = Vec::new();
        for shard in node.claims.layout.shards() {
            let (sender, commands) = mpsc::unbounded_channel();
            builder.insert_task(shard::run(node.clone(), shard, commands, builder.stop()));
            desks.push(sender);
        }
        // A second start keeps the first tasks.
        let _ = node.claims.desks.set(desks.clone());
        node.peers.set_owner(Arc::new(owner::Stored::new(&node)));
        for (name, field) in GAUGES {
            let gauged = node.clone();
            node.metrics.insert_gauge(name, move || gauged.claims.sum(field));
        }
        let dumped = node.clone();
        builder.insert_dump("claims", move || dumped.claims.dump());
        builder.insert_shutdown_hook(move || drain(node, desks));
    }
}

impl Claims {
    fn dump(&self) -> Value {
        let (answers, bytes) = self.answers.size();
        json!({ "streams": *self.published(), "answers": answers, "answer_bytes": bytes })
    }

    /// Adds up one field of the descriptions of all claim streams.
    fn sum(&self, field: &str) -> u64 {
        self.published().values().filter_map(|state| state[field].as_u64()).sum()
    }

    /// Replaces the description of a claim stream.
    fn publish(&self, stream: &str, state: Value) {
        self.published().insert(stream.to_owned(), state);
    }

    fn published(&self) -> MutexGuard<'_, BTreeMap<String, Value>> {
        self.published.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until every claim has ended and its record is in the log, within bounds.
async fn drain(node: Arc<Node>, desks: Vec<mpsc::UnboundedSender<Command>>) {
    wait(&desks, Command::Drain, node.settings.stop.timeout).await;
    wait(&desks, Command::Flush, node.settings.platform.timeout * 3).await;
}

async fn wait(
    desks: &[mpsc::UnboundedSender<Command>],
    command: impl Fn(oneshot::Sender<()>) -> Command,
    limit: Duration,
) {
    let asked = desks.iter().filter_map(|desk| {
        let (sender, done) = oneshot::channel();
        desk.send(command(sender)).is_ok().then_some(done)
    });
    let all = futures_util::future::join_all(asked);
    if tokio::time::timeout(limit, all).await.is_err() {
        ::log::warn!("claims were left without their last record");
    }
}
