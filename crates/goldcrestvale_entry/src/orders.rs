//! Orders to the engines of this failure domain, sent by the instance that holds the domain's
//! lease.
//!
//! Every instance requests the lease of its domain. The holder sends each engine orders, one at a
//! time, until it holds what its placement in the configuration specifies.

mod desired;
mod engines;
mod lease;

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{engine::Desired, id::Upstream};
use goldcrestvale_ledger::lease::{Action, Lease, Queue};
use log::info;
use serde_json::{Value, json};
use tokio::{sync::watch, task::JoinSet};
use tokio_util::sync::CancellationToken;

use self::{
    desired::DesiredStates,
    engines::Outcome,
    lease::{LeaseChange, LeaseHolder},
};
use crate::{
    daemon::{Builder, Part},
    node::Node,
};

/// Time between checks of placements, engines and the lease.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends orders while this instance holds the lease of its domain.
#[derive(Debug, Clone, Copy)]
pub struct Dispatcher;

impl Part for Dispatcher {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let (state, dump_state) = watch::channel(Value::Null);
        builder.insert_dump("orders", move || dump_state.borrow().clone());
        let release = CancellationToken::new();
        let (released, mut done) = watch::channel(false);
        let task = Task::new(node.clone(), state);
        builder.insert_task(task.run(release.clone(), released, builder.stop()));
        let timeout = node.settings.orders.delay + node.settings.platform.timeout * 2;
        builder.insert_shutdown_hook(move || async move {
            release.cancel();
            // A lease that cannot be released in time expires by itself.
            let _ = tokio::time::timeout(timeout, done.wait_for(|&done| done)).await;
        });
    }
}

struct Task {
    node: Arc<Node>,
    queue: Queue<Desired>,
    desired: DesiredStates,
    running: JoinSet<Outcome>,
    state: watch::Sender<Value>,
}

impl Task {
    fn new(node: Arc<Node>, state: watch::Sender<Value>) -> Self {
        Self {
            queue: Queue::new(node.settings.orders.delay),
            desired: DesiredStates::default(),
            running: JoinSet::new(),
            state,
            node,
        }
    }

    async fn run(
        mut self,
        release: CancellationToken,
        released: watch::Sender<bool>,
        stop: CancellationToken,
    ) {
        let mut lease = LeaseHolder::start(self.node.clone());
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                change = lease.next() => self.handle_change(change),
                Some(Ok(result)) = self.running.join_next() => self.handle_result(&result),
                _ = ticks.tick() => {
                    lease.tick();
                    let leaving = release.is_cancelled();
                    if leaving && self.queue.is_idle(self.node.clock.now()) {
                        lease.release();
                        released.send_replace(lease.is_released());
                    }
                    if !leaving {
                        self.start_actions(&lease);
                    }
                    self.publish(&lease);
                }
            }
        }
    }

    /// Resets the state when the lease is acquired or lost: a new holder reads every engine before
    /// it sends orders.
    fn handle_change(&mut self, change: LeaseChange) {
        if change == LeaseChange::Unchanged {
            return;
        }
        info!(held = change == LeaseChange::Acquired; "order lease changed");
        self.queue = Queue::new(self.node.settings.orders.delay);
        self.desired = DesiredStates::default();
    }

    fn start_actions(&mut self, holder: &LeaseHolder) {
        let now = self.node.clock.now();
        let Some(lease) = holder.held() else { return };
        let deadline = lease.deadline();
        self.desired.update(&self.node, &mut self.queue, now);
        for action in self.queue.poll(lease, now) {
            let engine = match &action {
                Action::Read(engine) | Action::Send { engine, .. } => engine,
            };
            match self.desired.address(engine) {
                Some(address) => {
                    let desired = self.desired.get(engine).cloned();
                    let task = engines::act(self.node.clone(), address, desired, action, deadline);
                    self.running.spawn(task);
                }
                None => self.queue.read_failed(engine, now),
            }
        }
    }

    fn handle_result(&mut self, result: &Outcome) {
        let now = self.node.clock.now();
        match result {
            Outcome::Read { engine, desired, met } => self.queue.observe(engine, desired, *met),
            Outcome::ReadFailed(engine) => self.queue.read_failed(engine, now),
            Outcome::Answered(engine) => self.queue.answered(engine),
            Outcome::OrderLost(engine) => self.queue.order_lost(engine, now),
        }
    }

    fn publish(&self, lease: &LeaseHolder) {
        let waiting: Vec<&Upstream> = self.desired.iter_waiting().collect();
        let state = json!({
            "held": lease.held().is_some(),
            "fence": lease.held().map(Lease::fence),
            "holder": lease.holder(),
            "open": self.queue.unmet_count(),
            "waiting": waiting,
        });
        self.state.send_if_modified(|old| {
            let changed = *old != state;
            *old = state;
            changed
        });
    }
}
