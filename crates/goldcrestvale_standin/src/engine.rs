//! A model engine with steps over a range of layers, KV cache, load report, cache events and
//! orders.

mod api;
mod batch;
mod cache;
pub mod cost;
pub mod counts;
pub mod fault;
mod order;
mod prefix;
mod runs;
pub mod settings;
mod state;
mod transfer;
pub mod weights;

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use goldcrestvale_upstream::message::Load;
use tokio::{sync::watch, time::Instant};

pub use counts::Counts;
pub use fault::Faults;
pub use settings::Settings;

use crate::{
    fault::Switch,
    lag::Lagged,
    server::{self, Handle},
};

/// An engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    incarnation: String,
    faults: Switch<Faults>,
    cost: cost::Cost,
    queue: batch::Queue,
    load: Lagged<Load>,
    state: Mutex<state::State>,
    /// Number of KV caches, watched while the engine drains.
    caches: watch::Sender<usize>,
}

impl Engine {
    /// Starts an engine with its own weight store.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Handle<Self>> {
        let store = Arc::new(weights::Store::new(settings.weights_rate));
        Self::start_with_store(settings, store).await
    }

    /// Starts an engine that shares a weight store with other engines.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start_with_store(
        settings: Settings,
        store: Arc<weights::Store>,
    ) -> io::Result<Handle<Self>> {
        let address = settings.address;
        let engine = Arc::new(Self {
            incarnation: server::incarnation(),
            faults: Switch::default(),
            cost: cost::Cost::of(&settings.accelerator),
            queue: batch::Queue::default(),
            load: Lagged::new(settings.load_lag_ms),
            state: Mutex::new(state::State::new(&settings, store)),
            caches: watch::Sender::new(0),
            settings,
        });
        let mut handle = Handle::start(address, engine.clone()).await?;
        handle.attach(batch::run(engine));
        Ok(handle)
    }

    fn state(&self) -> MutexGuard<'_, state::State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.holdings.apply_due(Instant::now());
        state
    }
}
