use std::{collections::HashMap, sync::Arc, time::Duration};

use goldcrestvale_base::time::Instant;
use goldcrestvale_ledger::{
    batch::{Adaptive, Batch, Control},
    claim::Window,
    coordinator::{Action, Coordinator, Event, Settings, Ticket},
    prefix::Prefix,
    record::{self, Sequence},
    shard::Shard,
};
use goldcrestvale_platform::{Result, message::Page};
use log::{info, warn};
use rand::{SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use super::{Command, DispatchPermit, Reply};
use crate::{
    node::Node,
    records::{Cursor, PageRead, RETRY_DELAY, entry, views},
};

/// Number of consecutive failed appends after which the log counts as unavailable.
const MAX_APPEND_FAILURES: u32 = 2;
/// Time after which an append to an unavailable log is tried again.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum time between two ticks.
const MAX_TICK: Duration = Duration::from_secs(1);

/// Runs the coordinator of one claim stream until the instance stops.
pub(super) async fn run(
    node: Arc<Node>,
    shard: Shard,
    mut commands: mpsc::UnboundedReceiver<Command>,
    stop: CancellationToken,
) {
    let mut task = Task::new(node, shard);
    let mut read = task.start_read();
    loop {
        let tick = task.next_tick();
        tokio::select! {
            () = stop.cancelled() => return,
            Some(command) = commands.recv() => task.handle_command(command),
            page = &mut read => {
                task.handle_page(page);
                read = task.start_read();
            }
            Some(result) = task.appends.join_next() => {
                if let Ok(result) = result {
                    task.handle_append(result);
                }
            }
            () = tokio::time::sleep(tick) => {
                task.update_log();
                task.handle(Event::Tick);
            }
        }
    }
}

struct Task {
    node: Arc<Node>,
    stream: String,
    coordinator: Coordinator<Adaptive>,
    shard: Shard,
    replies: HashMap<Ticket, oneshot::Sender<Reply>>,
    appends: JoinSet<AppendResult>,
    drain_waiters: Vec<oneshot::Sender<()>>,
    flush_waiters: Vec<oneshot::Sender<()>>,
    cursor: Cursor,
    read_failed: bool,
    append_failures: u32,
    /// Time at which appends are tried again.
    appends_resume_at: Option<Instant>,
    log_unavailable: bool,
}

impl Task {
    fn new(node: Arc<Node>, shard: Shard) -> Self {
        let claims = &node.settings.claims;
        let window = Window { length: claims.window };
        let settings = Settings::new(node.settings.instance.name.clone(), window)
            .max_calls(claims.calls)
            .min_retry_after(node.settings.platform.timeout);
        let budget = f64::from(claims.appends_per_second);
        let policy = Adaptive::new(Control { budget, ..Control::default() });
        // Stream number 0 is used for the records of other streams.
        let sequence = Sequence::new(node.incarnation, shard.0.saturating_add(1));
        let seed = node.incarnation.0 as u64 ^ u64::from(shard.0);
        let rng = StdRng::seed_from_u64(seed);
        Self {
            coordinator: Coordinator::new(settings, policy, Prefix::from_start(), sequence, rng),
            stream: shard.stream(),
            shard,
            replies: HashMap::new(),
            appends: JoinSet::new(),
            drain_waiters: Vec::new(),
            flush_waiters: Vec::new(),
            cursor: Cursor::new(shard.stream()),
            read_failed: false,
            append_failures: 0,
            appends_resume_at: None,
            log_unavailable: false,
            node,
        }
    }

    /// Returns the time until the next tick is due.
    fn next_tick(&self) -> Duration {
        let next =
            [self.coordinator.next_tick(), self.appends_resume_at].into_iter().flatten().min();
        next.map_or(MAX_TICK, |next| next.since(self.node.clock.now()))
    }

    /// Publishes the state for the dump.
    fn publish(&self) {
        let fold = self.coordinator.fold();
        let state = json!({
            "next": fold.next(),
            "clock": fold.clock(),
            "live_claims": fold.len(),
            "proves_window": fold.proves_all(),
            "calls_in_progress": self.coordinator.len(),
            "records_on_their_way": self.coordinator.queue().len(),
            "append_interval_us": self.coordinator.queue().policy().interval().as_micros() as u64,
            "alarms": self.coordinator.alarms(),
            "log_reset": self.coordinator.is_log_reset(),
            "log_out": self.log_unavailable,
        });
        self.node.claims.publish(&self.stream, state);
    }

    fn start_read(&mut self) -> PageRead {
        let prefix = self.coordinator.fold().prefix();
        let suspect = self.read_failed || self.coordinator.is_log_suspect();
        let delay = if suspect { RETRY_DELAY } else { Duration::ZERO };
        self.cursor.read(&self.node, prefix, suspect, delay)
    }

    fn handle_page(&mut self, page: Result<Page>) {
        match page {
            Ok(page) => {
                self.read_failed = false;
                self.update_log();
                let records = views(&page.records);
                let page = record::Page { oldest: page.oldest, end: page.end, records: &records };
                self.handle(Event::Read(page));
                self.publish();
            }
            Err(e) => {
                if !self.read_failed {
                    warn!(stream = self.stream.as_str(), error:% = e; "claims cannot be read");
                }
                self.read_failed = true;
                self.update_log();
            }
        }
    }

    fn handle_append(&mut self, append: AppendResult) {
        let event = match append.result {
            Ok(()) => {
                self.append_failures = 0;
                Event::Appended(append.number)
            }
            Err(e) => {
                warn!(stream = self.stream.as_str(), error:% = e; "claims not appended");
                self.append_failures += 1;
                Event::AppendLost(append.number)
            }
        };
        if self.append_failures >= MAX_APPEND_FAILURES {
            self.append_failures = 0;
            self.appends_resume_at = Some(self.node.clock.now() + APPEND_RETRY_DELAY);
        }
        self.update_log();
        self.handle(event);
    }

    /// Notifies the coordinator when the log becomes unavailable or available again.
    fn update_log(&mut self) {
        let now = self.node.clock.now();
        if self.appends_resume_at.is_some_and(|at| at <= now) {
            self.appends_resume_at = None;
        }
        let out = self.read_failed || self.appends_resume_at.is_some();
        if out != self.log_unavailable {
            self.log_unavailable = out;
            info!(stream = self.stream.as_str(), out; "availability of the claims log changed");
            self.handle(if out { Event::LogUnavailable } else { Event::LogAvailable });
            self.publish();
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Call(call, reply) => {
                self.replies.insert(call.ticket, reply);
                self.handle(Event::Call(call));
            }
            Command::CallerGone(ticket, key) => self.handle(Event::CallerGone(ticket, key)),
            Command::Returned(claim) => self.handle(Event::Returned(claim)),
            Command::Settled(claim) => self.handle(Event::Settled(claim)),
            Command::Unanswered(claim) => self.handle(Event::Unanswered(claim)),
            Command::QueryOutcome(key, reply) => {
                // A requester that has disconnected needs no answer.
                let _ = reply.send(self.coordinator.owner_answer(&key));
            }
            Command::Drain(done) => {
                self.drain_waiters.push(done);
                self.handle(Event::Drain);
            }
            Command::Flush(done) => {
                self.flush_waiters.push(done);
                self.handle(Event::Tick);
            }
        }
    }

    fn handle(&mut self, event: Event<'_>) {
        let now = self.node.clock.now();
        let mut actions = Vec::new();
        self.coordinator.handle(event, now, &mut actions);
        for action in actions {
            self.execute(action);
        }
        if self.coordinator.is_empty() {
            notify_all(&mut self.drain_waiters);
        }
        if self.coordinator.is_idle() {
            notify_all(&mut self.flush_waiters);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Append(batch) => {
                self.node.metrics.claim_batch.record(batch.records.len() as u64, &[]);
                let append = append(self.node.clone(), self.stream.clone(), batch);
                self.appends.spawn(append);
            }
            Action::Dispatch { ticket, claim } => {
                if let Some(coordinator) = self.node.claims.coordinator_of(self.shard) {
                    self.reply(ticket, Reply::Dispatch(DispatchPermit::new(claim, coordinator)));
                }
            }
            Action::Refuse { ticket, refused } => self.reply(ticket, Reply::Reject(refused)),
            Action::QueryOwner { ticket, claim, owner, standing } => {
                self.reply(ticket, Reply::QueryOwner { claim, owner, standing });
            }
            Action::Replay { ticket, claim, outcome } => {
                self.reply(ticket, Reply::Replay { claim, outcome });
            }
        }
    }

    /// Replies to a call; if the caller has disconnected, dropping the permit to dispatch sends the
    /// claim back as a command.
    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        if let Some(sender) = self.replies.remove(&ticket) {
            let _ = sender.send(reply);
        }
    }
}

/// The result of an append.
struct AppendResult {
    number: u64,
    result: Result<()>,
}

/// Appends a batch of records.
async fn append(node: Arc<Node>, stream: String, batch: Batch) -> AppendResult {
    let records = batch.records.into_iter().filter_map(entry).collect();
    let result = node.log.append(&stream, records).await.map(|_| ());
    AppendResult { number: batch.number, result }
}

fn notify_all(waiters: &mut Vec<oneshot::Sender<()>>) {
    for waiter in waiters.drain(..) {
        // The receiver may have stopped waiting.
        let _ = waiter.send(());
    }
}
