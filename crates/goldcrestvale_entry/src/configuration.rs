//! The configuration of an instance, which comes from the log, from checkpoints, from other
//! instances and from the changes of operators.
//!
//! [`goldcrestvale_config`] makes all decisions; the tasks here pass inputs to it and perform the
//! actions that it returns. Requests read the snapshot in the [`Node`], not the state behind the
//! lock.

mod changes;
mod checkpoint;
mod exchange;
mod tail;

use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{
    id::{Incarnation, Offset, RecordId},
    time::Instant,
};
use goldcrestvale_config::{
    fold::Fold,
    submission::{Answer, Queue},
    sync::{Offer, Sync},
    writer::{Schedule, Writer},
};
use rand::{SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::sync::{oneshot, watch};

pub(crate) use self::checkpoint::min_schema;
use self::exchange::Exchange;
use crate::{
    daemon::{Builder, Part},
    node::Node,
};

/// Time that an instance has to complete a checkpoint before others write one.
const CHECKPOINT_CLAIM_TIMEOUT: Duration = Duration::from_secs(60);

/// The status of an instance's configuration, published to its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Version and digest of the state.
    pub offer: Offer,
    /// Whether the last read of the log succeeded.
    pub log_up: bool,
    /// Whether the stream of checkpoints was read to its end at least once.
    pub checkpoints_read: bool,
}

/// Manages the configuration of an instance.
pub struct Manager {
    state: Mutex<State>,
    status: watch::Sender<Status>,
}

/// The state behind the lock.
struct State {
    fold: Fold,
    sync: Sync,
    /// Highest version that another instance has offered.
    highest_offered: Offset,
    submissions: Queue,
    writer: Writer,
    rng: StdRng,
    waiters: HashMap<RecordId, Vec<oneshot::Sender<Answer>>>,
    /// Number of log pages that ended before a page read earlier.
    regressions: u64,
    /// Why the log and the checkpoints do not contain everything that the state needs; `None` if
    /// they do.
    unproven: Option<String>,
}

impl fmt::Debug for Manager {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Manager").field("status", &self.status()).finish_non_exhaustive()
    }
}

impl Manager {
    /// Creates a manager with an empty configuration.
    pub fn new(own: Incarnation, now: Instant, interval: Duration, instances: u32) -> Self {
        let mut rng = StdRng::from_os_rng();
        let spread = interval / 6;
        let schedule =
            Schedule { interval, spread, claim_timeout: CHECKPOINT_CLAIM_TIMEOUT.min(interval) };
        let fold = Fold::new();
        let offer = fold.offer();
        let state = State {
            fold,
            sync: Sync::default(),
            highest_offered: Offset(0),
            submissions: Queue::default(),
            writer: Writer::new(own, schedule, now, instances, &mut rng),
            rng,
            waiters: HashMap::new(),
            regressions: 0,
            unproven: None,
        };
        let (status, _) = watch::channel(Status { offer, log_up: false, checkpoints_read: false });
        Self { state: Mutex::new(state), status }
    }

    /// Returns the current status.
    pub fn status(&self) -> Status {
        *self.status.borrow()
    }

    /// Returns a receiver that follows the status.
    pub fn subscribe(&self) -> watch::Receiver<Status> {
        self.status.subscribe()
    }

    /// Calls `read` with the fold, under the lock.
    pub fn read<T>(&self, read: impl FnOnce(&Fold) -> T) -> T {
        read(&self.state().fold)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_status(&self, change: impl FnOnce(&mut Status)) {
        self.status.send_if_modified(|status| {
            let before = *status;
            change(status);
            *status != before
        });
    }

    /// Changes the state, publishes the snapshot if its version is newer, and answers the operators
    /// whose changes are resolved.
    fn update<T>(&self, node: &Arc<Node>, update: impl FnOnce(&mut State) -> T) -> T {
        let (result, offer, actions) = {
            let mut state = self.state();
            let before = state.fold.version();
            let result = update(&mut state);
            if state.fold.version() > before {
                node.config.store(state.fold.snapshot());
            }
            let State { fold, submissions, .. } = &mut *state;
            (result, fold.offer(), submissions.resolve(fold))
        };
        self.update_status(|status| status.offer = offer);
        changes::perform(node, actions);
        result
    }

    fn dump(&self) -> Value {
        let status = self.status();
        let state = self.state();
        let pending: Vec<_> = state.fold.pending().map(ToString::to_string).collect();
        json!({
            "version": status.offer.version,
            "digest": status.offer.digest,
            "log_up": status.log_up,
            "alarms": state.fold.alarms(),
            "log_regressions": state.regressions,
            "stop": state.fold.stop().map(|stop| format!("{stop:?}")),
            "unproven": state.unproven,
            "waiting_for_schema": pending,
            "changes_waiting": state.waiters.len(),
            "checkpoint": state.writer.latest().map(|latest| latest.version),
        })
    }
}

/// The part that registers the tasks, dump section and metrics of the configuration.
#[derive(Debug)]
pub struct Configuration;

impl Part for Configuration {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let dump_node = node.clone();
        builder.insert_dump("config", move || dump_node.configuration.dump());
        insert_gauges(&node);
        node.peers.set_config_handler(Arc::new(Exchange::new(&node)));
        builder.insert_task(tail::follow(node.clone(), builder.stop()));
        builder.insert_task(checkpoint::maintain(node.clone(), builder.stop()));
        builder.insert_task(changes::tick(node, builder.stop()));
    }
}

fn insert_gauges(node: &Arc<Node>) {
    macro_rules! gauges {
        ($($name:literal: |$manager:ident| $read:expr,)+) => {$(
            let gauge_node = node.clone();
            node.metrics.insert_gauge($name, move || {
                let $manager = &gauge_node.configuration;
                $read
            });
        )+};
    }
    gauges! {
        "goldcrestvale_config_version": |manager| manager.status().offer.version.0,
        "goldcrestvale_config_log_up": |manager| manager.status().log_up.into(),
        "goldcrestvale_config_regressions": |manager| {
            let state = manager.state();
            state.fold.alarms().regressions + state.regressions
        },
        "goldcrestvale_config_divergences": |manager| manager.state().fold.alarms().divergences,
        "goldcrestvale_config_corruptions": |manager| manager.state().fold.alarms().corruptions,
        "goldcrestvale_config_checkpoint": |manager| {
            manager.state().writer.latest().map_or(0, |latest| latest.version.0)
        },
    }
}
