//! Orders: what the engine should hold, from whom it takes them, how long they take.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::{Model, Offset};
use goldcrestvale_upstream::message::{Desired, EngineRole, Held, Order, Orders, Refusal};
use tokio::time::Instant;

use super::{
    Settings,
    state::{Result, refuse},
    weights::Store,
};

/// What an engine holds, and the orders that change it.
///
/// Time passes when the holdings are next used: [`Holdings::settle`] applies what is due.
#[derive(Debug)]
pub(super) struct Holdings {
    pub(super) held: Vec<Held>,
    /// Orders that took effect although their fencing number was older than one seen.
    pub(super) stale: u64,
    fence: Option<Offset>,
    role: EngineRole,
    received: Vec<(Instant, Order)>,
    loading: Vec<(Instant, Held)>,
    rules: Rules,
    store: Arc<Store>,
}

#[derive(Debug)]
struct Rules {
    token: Option<String>,
    fenced: bool,
    delay: Duration,
    layer_bytes: u64,
}

impl Holdings {
    pub(super) fn new(settings: &Settings, store: Arc<Store>) -> Self {
        Self {
            held: settings.holds(),
            stale: 0,
            fence: None,
            role: EngineRole::Mixed,
            received: Vec::new(),
            loading: Vec::new(),
            rules: Rules {
                token: settings.order_token.clone(),
                fenced: settings.fenced,
                delay: Duration::from_millis(settings.order_delay_ms),
                layer_bytes: settings.layer_bytes,
            },
            store,
        }
    }

    /// Takes an order; it takes effect after the delay of the settings.
    pub(super) fn order(&mut self, now: Instant, order: Order) -> Result<()> {
        if self.rules.token.as_ref().is_some_and(|token| *token != order.token) {
            return refuse(Refusal::Sender, "the order token is wrong");
        }
        if self.rules.fenced && self.fence.is_some_and(|fence| order.fence < fence) {
            return refuse(Refusal::Fenced, "an order with a higher fencing number was seen");
        }
        if self.rules.fenced {
            self.fence = self.fence.max(Some(order.fence));
        }
        self.received.push((now + self.rules.delay, order));
        self.settle(now);
        Ok(())
    }

    /// Returns the desired states in force, with no lag.
    pub(super) fn orders(&self) -> Orders {
        Orders {
            fence: self.fence,
            holds: self.held.clone(),
            loading: self.loading.iter().map(|(_, held)| held.clone()).collect(),
            role: self.role.clone(),
        }
    }

    /// Applies the orders and ends the loads that are due.
    pub(super) fn settle(&mut self, now: Instant) {
        while self.received.first().is_some_and(|(due, _)| *due <= now) {
            let (due, order) = self.received.remove(0);
            self.apply(due, order);
        }
        while let Some(place) = self.loading.iter().position(|(ready, _)| *ready <= now) {
            let (_, held) = self.loading.remove(place);
            self.drop_model(&held.model);
            self.held.push(held);
        }
    }

    fn apply(&mut self, now: Instant, order: Order) {
        if self.fence.is_some_and(|fence| order.fence < fence) {
            log::warn!("an order with fencing number {} took effect late", order.fence);
            self.stale += 1;
        }
        self.fence = self.fence.max(Some(order.fence));
        match order.desired {
            Desired::Load(held) => self.load(now, held),
            Desired::Unload(model) => {
                self.loading.retain(|(_, held)| held.model != model);
                self.drop_model(&model);
            }
            Desired::Role(role) => self.role = role,
        }
    }

    /// Starts a load; it replaces what is being loaded of the same model.
    fn load(&mut self, now: Instant, wanted: Held) {
        self.loading.retain(|(_, held)| held.model != wanted.model);
        let same = |held: &&Held| held.model == wanted.model && held.version == wanted.version;
        let held = self.held.iter().find(same);
        let missing = (wanted.layers.from..wanted.layers.to)
            .filter(|layer| {
                held.is_none_or(|held| !(held.layers.from..held.layers.to).contains(layer))
            })
            .count();
        let bytes = self.rules.layer_bytes * missing as u64;
        let ready = if bytes == 0 { now } else { self.store.read(now, bytes) };
        self.loading.push((ready, wanted));
    }

    fn drop_model(&mut self, model: &Model) {
        self.held.retain(|held| held.model != *model);
    }
}
