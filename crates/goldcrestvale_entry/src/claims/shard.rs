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

/// Failed appends in a row after which the log counts as out.
const APPEND_FAILURES: u32 = 2;
/// Time after which a log that takes no appends is tried again.
const APPEND_PAUSE: Duration = Duration::from_millis(500);
/// Longest time without a look at the clock.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// Runs the desk of one claim stream until the instance stops.
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
            Some(command) = commands.recv() => task.command(command),
            page = &mut read => {
                task.take_page(page);
                read = task.start_read();
            }
            Some(done) = task.appends.join_next() => {
                if let Ok(done) = done {
                    task.take_append(done);
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
    desk: Coordinator<Adaptive>,
    shard: Shard,
    waiting: HashMap<Ticket, oneshot::Sender<Reply>>,
    appends: JoinSet<Appended>,
    drained: Vec<oneshot::Sender<()>>,
    flushed: Vec<oneshot::Sender<()>>,
    cursor: Cursor,
    read_failed: bool,
    append_failures: u32,
    /// Time at which appends are tried again.
    appends_from: Option<Instant>,
    log_out: bool,
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
        // Number 0 is the range of the records of other streams.
        let sequence = Sequence::new(node.incarnation, shard.0.saturating_add(1));
        let seed = node.incarnation.0 as u64 ^ u64::from(shard.0);
        let rng = StdRng::seed_from_u64(seed);
        Self {
            desk: Coordinator::new(settings, policy, Prefix::from_start(), sequence, rng),
            stream: shard.stream(),
            shard,
            waiting: HashMap::new(),
            appends: JoinSet::new(),
            drained: Vec::new(),
            flushed: Vec::new(),
            cursor: Cursor::new(shard.stream()),
            read_failed: false,
            append_failures: 0,
            appends_from: None,
            log_out: false,
            node,
        }
    }

    /// Returns the time until the task has something to do by itself.
    fn next_tick(&self) -> Duration {
        let next = [self.desk.next_tick(), self.appends_from].into_iter().flatten().min();
        next.map_or(IDLE_TICK, |next| next.since(self.node.clock.now()))
    }

    /// Publishes the state for the dump.
    fn publish(&self) {
        let fold = self.desk.fold();
        let state = json!({
            "next": fold.next(),
            "clock": fold.clock(),
            "live_claims": fold.len(),
            "proves_window": fold.proves_all(),
            "calls_in_progress": self.desk.len(),
            "records_on_their_way": self.desk.queue().len(),
            "append_interval_us": self.desk.queue().policy().interval().as_micros() as u64,
            "alarms": self.desk.alarms(),
            "log_reset": self.desk.is_log_reset(),
            "log_out": self.log_out,
        });
        self.node.claims.publish(&self.stream, state);
    }

    fn start_read(&mut self) -> PageRead {
        let prefix = self.desk.fold().prefix();
        let check = self.read_failed || self.desk.is_log_suspect();
        let pause = if check { RETRY_DELAY } else { Duration::ZERO };
        self.cursor.read(&self.node, prefix, check, pause)
    }

    fn take_page(&mut self, page: Result<Page>) {
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

    fn take_append(&mut self, done: Appended) {
        let event = match done.result {
            Ok(()) => {
                self.append_failures = 0;
                Event::Appended(done.number)
            }
            Err(e) => {
                warn!(stream = self.stream.as_str(), error:% = e; "claims not appended");
                self.append_failures += 1;
                Event::AppendLost(done.number)
            }
        };
        if self.append_failures >= APPEND_FAILURES {
            self.append_failures = 0;
            self.appends_from = Some(self.node.clock.now() + APPEND_PAUSE);
        }
        self.update_log();
        self.handle(event);
    }

    /// Tells the desk when the log goes out or comes back.
    fn update_log(&mut self) {
        let now = self.node.clock.now();
        if self.appends_from.is_some_and(|from| from <= now) {
            self.appends_from = None;
        }
        let out = self.read_failed || self.appends_from.is_some();
        if out != self.log_out {
            self.log_out = out;
            info!(stream = self.stream.as_str(), out; "log of claims changed");
            self.handle(if out { Event::LogUnavailable } else { Event::LogAvailable });
            self.publish();
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Call(call, reply) => {
                self.waiting.insert(call.ticket, reply);
                self.handle(Event::Call(call));
            }
            Command::Gone(ticket, key) => self.handle(Event::CallerGone(ticket, key)),
            Command::Returned(claim) => self.handle(Event::Returned(claim)),
            Command::Settled(claim) => self.handle(Event::Settled(claim)),
            Command::Unanswered(claim) => self.handle(Event::Unanswered(claim)),
            Command::Ask(key, reply) => {
                // An asker that is gone needs no answer.
                let _ = reply.send(self.desk.owner_answer(&key));
            }
            Command::Drain(done) => {
                self.drained.push(done);
                self.handle(Event::Drain);
            }
            Command::Flush(done) => {
                self.flushed.push(done);
                self.handle(Event::Tick);
            }
        }
    }

    fn handle(&mut self, event: Event<'_>) {
        let now = self.node.clock.now();
        let mut actions = Vec::new();
        self.desk.handle(event, now, &mut actions);
        for action in actions {
            self.act(action);
        }
        if self.desk.is_empty() {
            answer_all(&mut self.drained);
        }
        if self.desk.is_idle() {
            answer_all(&mut self.flushed);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Append(batch) => {
                self.node.metrics.claim_batch.record(batch.records.len() as u64, &[]);
                let append = append(self.node.clone(), self.stream.clone(), batch);
                self.appends.spawn(append);
            }
            Action::Dispatch { ticket, claim } => {
                if let Some(desk) = self.node.claims.desk_of(self.shard) {
                    self.reply(ticket, Reply::Dispatch(DispatchPermit::new(claim, desk)));
                }
            }
            Action::Refuse { ticket, refused } => self.reply(ticket, Reply::Refuse(refused)),
            Action::QueryOwner { ticket, claim, owner, standing } => {
                self.reply(ticket, Reply::QueryOwner { claim, owner, standing });
            }
            Action::Replay { ticket, claim, outcome } => {
                self.reply(ticket, Reply::Replay { claim, outcome });
            }
        }
    }

    /// Answers a call; a right to dispatch that nobody takes comes back as a command.
    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            let _ = waiting.send(reply);
        }
    }
}

/// What became of an append.
struct Appended {
    number: u64,
    result: Result<()>,
}

/// Appends records together.
async fn append(node: Arc<Node>, stream: String, batch: Batch) -> Appended {
    let records = batch.records.into_iter().filter_map(entry).collect();
    let result = node.log.append(&stream, records).await.map(|_| ());
    Appended { number: batch.number, result }
}

fn answer_all(waiting: &mut Vec<oneshot::Sender<()>>) {
    for done in waiting.drain(..) {
        // One that no longer waits needs no answer.
        let _ = done.send(());
    }
}
