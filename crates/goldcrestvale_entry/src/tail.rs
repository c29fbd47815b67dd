//! Following the configuration in the platform log.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::Offset;
use goldcrestvale_config::{fold::Fold, outcome::Outcome};
use goldcrestvale_platform::{Error, message::Record, reader::Reader};
use log::{info, warn};
use opentelemetry::KeyValue;
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    daemon::{Builder, Part},
    node::Node,
    phase::Known,
};

/// Name of the stream that holds the configuration.
pub const STREAM: &str = "config";

/// Pause after a failed read of the log.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The state of the tail, for the operators' interface.
#[derive(Debug, Clone)]
pub struct State {
    /// The fold of all records read so far.
    pub fold: Arc<Fold>,
    /// The offset that is read next.
    pub next: Offset,
    /// Whether the last read of the log succeeded.
    pub log_up: bool,
}

impl State {
    /// Returns what became of a change, once it was read.
    pub fn outcome(&self, id: &goldcrestvale_base::id::RecordId) -> Option<&Outcome> {
        self.fold.outcome(id)
    }
}

/// Reads the configuration stream, folds it and publishes snapshots.
#[derive(Debug)]
pub struct Tail {
    sender: watch::Sender<State>,
}

impl Tail {
    /// Creates the part and a receiver of its state.
    pub fn new() -> (Self, watch::Receiver<State>) {
        let state = State { fold: Arc::default(), next: Offset(0), log_up: false };
        let (sender, receiver) = watch::channel(state);
        (Self { sender }, receiver)
    }
}

impl Part for Tail {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let state = self.sender.subscribe();
        builder.insert_dump("config", move || {
            let state = state.borrow();
            json!({
                "version": state.fold.version(),
                "digest": state.fold.digest(),
                "next": state.next,
                "log_up": state.log_up,
            })
        });
        let version = self.sender.subscribe();
        node.metrics.insert_gauge("goldcrestvale_config_version", move || {
            version.borrow().fold.version().0
        });
        let stop = builder.stop();
        builder.insert_task(follow(node, self.sender, stop));
    }
}

async fn follow(node: Arc<Node>, sender: watch::Sender<State>, stop: CancellationToken) {
    let mut fold = Fold::new();
    let mut reader = Reader::new(node.log.clone(), STREAM, Offset(0));
    let mut wait = Duration::ZERO;
    loop {
        let read = tokio::select! {
            () = stop.cancelled() => return,
            read = reader.read(wait) => read,
        };
        match read {
            Ok(records) => {
                fold_records(&mut fold, &records);
                let caught_up = reader.position() >= reader.end();
                publish(&node, &sender, &fold, reader.position(), caught_up);
                wait = if caught_up { node.settings.platform.poll } else { Duration::ZERO };
            }
            Err(e) => {
                report(&node, &sender, &e);
                wait = Duration::ZERO;
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = tokio::time::sleep(RETRY_PAUSE) => {}
                }
            }
        }
    }
}

fn fold_records(fold: &mut Fold, records: &[Record]) {
    for record in records {
        let outcome = fold.apply(record.offset, record.id, record.data.get());
        info!(
            offset = record.offset.0,
            id:% = record.id,
            outcome:? = outcome;
            "configuration record read"
        );
    }
}

fn publish(node: &Node, sender: &watch::Sender<State>, fold: &Fold, next: Offset, caught_up: bool) {
    let changed = sender.borrow().next != next;
    let was_up = sender.borrow().log_up;
    if changed {
        node.config.store(fold.snapshot());
    }
    if changed || !was_up {
        sender.send_replace(State { fold: Arc::new(fold.clone()), next, log_up: true });
    }
    if caught_up {
        node.life.learn(Known::Config);
    }
}

fn report(node: &Node, sender: &watch::Sender<State>, error: &Error) {
    node.metrics.platform_failures.add(1, &[KeyValue::new("call", "read-config")]);
    if sender.borrow().log_up {
        warn!(error:% = error; "the platform log cannot be read");
        sender.send_modify(|state| state.log_up = false);
    }
}
