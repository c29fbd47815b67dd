//! Orders that set what the engine holds: their checks, their delay and the time of loads.

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
/// Nothing runs in the background: [`Holdings::apply_due`] applies orders and loads that are due
/// when the holdings are next used.
#[derive(Debug)]
pub(super) struct Holdings {
    pub(super) held: Vec<Held>,
    /// Orders that took effect although a higher fencing number was seen before.
    pub(super) stale: u64,
    fence: Option<Offset>,
    role: EngineRole,
    received: Vec<(Instant, Order)>,
    loading: Vec<(Instant, Held)>,
    settings: OrderSettings,
    store: Arc<Store>,
}

#[derive(Debug)]
struct OrderSettings {
    token: Option<String>,
    fenced: bool,
    delay: Duration,
    layer_bytes: u64,
}

impl Holdings {
    pub(super) fn new(settings: &Settings, store: Arc<Store>) -> Self {
        Self {
            held: settings.initial_holdings(),
            stale: 0,
            fence: None,
            role: EngineRole::Mixed,
            received: Vec::new(),
            loading: Vec::new(),
            settings: OrderSettings {
                token: settings.order_token.clone(),
                fenced: settings.fenced,
                delay: Duration::from_millis(settings.order_delay_ms),
                layer_bytes: settings.layer_bytes,
            },
            store,
        }
    }

    /// Accepts an order, which takes effect after the delay of the settings.
    pub(super) fn receive(&mut self, now: Instant, order: Order) -> Result<()> {
        if self.settings.token.as_ref().is_some_and(|token| *token != order.token) {
            return refuse(Refusal::Sender, "the order token is wrong");
        }
        if self.settings.fenced && self.fence.is_some_and(|fence| order.fence < fence) {
            return refuse(Refusal::Fenced, "an order with a higher fencing number was seen");
        }
        if self.settings.fenced {
            self.fence = self.fence.max(Some(order.fence));
        }
        self.received.push((now + self.settings.delay, order));
        self.apply_due(now);
        Ok(())
    }

    /// Returns the state set by the orders in effect, without lag.
    pub(super) fn orders(&self) -> Orders {
        Orders {
            fence: self.fence,
            holds: self.held.clone(),
            loading: self.loading.iter().map(|(_, held)| held.clone()).collect(),
            role: self.role.clone(),
        }
    }

    /// Applies the orders and completes the loads that are due.
    pub(super) fn apply_due(&mut self, now: Instant) {
        while self.received.first().is_some_and(|(due, _)| *due <= now) {
            let (due, order) = self.received.remove(0);
            self.apply(due, order);
        }
        while let Some(index) = self.loading.iter().position(|(ready, _)| *ready <= now) {
            let (_, held) = self.loading.remove(index);
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

    /// Starts a load, which replaces a load in progress of the same model.
    fn load(&mut self, now: Instant, desired: Held) {
        self.loading.retain(|(_, held)| held.model != desired.model);
        let same = |held: &&Held| held.model == desired.model && held.version == desired.version;
        let held = self.held.iter().find(same);
        let missing_layers = (desired.layers.from..desired.layers.to)
            .filter(|layer| {
                held.is_none_or(|held| !(held.layers.from..held.layers.to).contains(layer))
            })
            .count();
        let bytes = self.settings.layer_bytes * missing_layers as u64;
        let ready = if bytes == 0 { now } else { self.store.read(now, bytes) };
        self.loading.push((ready, desired));
    }

    fn drop_model(&mut self, model: &Model) {
        self.held.retain(|held| held.model != *model);
    }
}
