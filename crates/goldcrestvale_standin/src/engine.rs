//! A model engine: steps over a range of layers, KV cache, load report, cache events, orders.

mod api;
mod cache;
pub mod counts;
pub mod fault;
pub mod settings;
mod state;

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard},
};

use tokio::sync::watch;

pub use counts::Counts;
pub use fault::Faults;
pub use settings::Settings;

use crate::server::{self, Handle};

/// An engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    incarnation: String,
    faults: watch::Sender<Faults>,
    state: Mutex<state::State>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Handle<Self>> {
        let address = settings.address;
        let engine = Self {
            state: Mutex::new(state::State::new(&settings)),
            incarnation: server::incarnation(),
            faults: watch::Sender::default(),
            settings,
        };
        Handle::start(address, Arc::new(engine)).await
    }

    fn state(&self) -> MutexGuard<'_, state::State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
