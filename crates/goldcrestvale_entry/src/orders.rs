//! Orders to the engines of this failure domain, by the instance that holds their lease.
//!
//! Every instance asks for the lease of its domain; the holder brings each engine to what its
//! placement in the configuration asks for, one order at a time an engine.

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
    desired::Wanted,
    engines::Done,
    lease::{Change, Tenure},
};
use crate::{
    daemon::{Builder, Part},
    node::Node,
};

/// How often placements, engines and the lease are looked at.
const INTERVAL: Duration = Duration::from_millis(100);

/// Gives orders while this instance holds the lease of its domain.
#[derive(Debug, Clone, Copy)]
pub struct Dispatcher;

impl Part for Dispatcher {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let (state, shown) = watch::channel(Value::Null);
        builder.insert_dump("orders", move || shown.borrow().clone());
        let release = CancellationToken::new();
        let (released, mut done) = watch::channel(false);
        let task = Giver::new(node.clone(), state);
        builder.insert_task(task.run(release.clone(), released, builder.stop()));
        let limit = node.settings.orders.delay + node.settings.platform.timeout * 2;
        builder.insert_shutdown_hook(move || async move {
            release.cancel();
            // A lease that cannot be given back in time lapses by itself.
            let _ = tokio::time::timeout(limit, done.wait_for(|&done| done)).await;
        });
    }
}

struct Giver {
    node: Arc<Node>,
    queue: Queue<Desired>,
    wanted: Wanted,
    running: JoinSet<Done>,
    state: watch::Sender<Value>,
}

impl Giver {
    fn new(node: Arc<Node>, state: watch::Sender<Value>) -> Self {
        Self {
            queue: Queue::new(node.settings.orders.delay),
            wanted: Wanted::default(),
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
        let mut tenure = Tenure::start(self.node.clone());
        let mut ticks = tokio::time::interval(INTERVAL);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                change = tenure.next() => self.change(change),
                Some(Ok(done)) = self.running.join_next() => self.finish(&done),
                _ = ticks.tick() => {
                    tenure.tick();
                    let leaving = release.is_cancelled();
                    if leaving && self.queue.is_idle(self.node.clock.now()) {
                        tenure.release();
                        released.send_replace(tenure.is_released());
                    }
                    if !leaving {
                        self.give(&tenure);
                    }
                    self.publish(&tenure);
                }
            }
        }
    }

    /// Starts anew when the lease is taken up or lost: a new holder reads every engine first.
    fn change(&mut self, change: Change) {
        if change == Change::Same {
            return;
        }
        info!(held = change == Change::Held; "lease of the orders changed");
        self.queue = Queue::new(self.node.settings.orders.delay);
        self.wanted = Wanted::default();
    }

    fn give(&mut self, tenure: &Tenure) {
        let now = self.node.clock.now();
        let Some(lease) = tenure.held() else { return };
        let until = lease.deadline();
        self.wanted.update(&self.node, &mut self.queue, now);
        for action in self.queue.poll(lease, now) {
            let engine = match &action {
                Action::Read(engine) | Action::Send { engine, .. } => engine,
            };
            match self.wanted.address(engine) {
                Some(address) => {
                    let desired = self.wanted.desired(engine).cloned();
                    let task = engines::act(self.node.clone(), address, desired, action, until);
                    self.running.spawn(task);
                }
                None => self.queue.read_failed(engine, now),
            }
        }
    }

    fn finish(&mut self, done: &Done) {
        let now = self.node.clock.now();
        match done {
            Done::Read { engine, desired, met } => self.queue.observe(engine, desired, *met),
            Done::Unread(engine) => self.queue.read_failed(engine, now),
            Done::Answered(engine) => self.queue.answered(engine),
            Done::Lost(engine) => self.queue.order_lost(engine, now),
        }
    }

    fn publish(&self, tenure: &Tenure) {
        let waiting: Vec<&Upstream> = self.wanted.iter_waiting().collect();
        let state = json!({
            "held": tenure.held().is_some(),
            "fence": tenure.held().map(Lease::fence),
            "holder": tenure.holder(),
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
