//! An instance of a plain service that counts the effects of requests.

mod api;
pub mod fault;
pub mod settings;

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard},
};

use goldcrestvale_base::{domain, id::Digest};
use goldcrestvale_upstream::message::ServiceLoad;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

pub use fault::Faults;
pub use settings::Settings;

use crate::{
    fault::Switch,
    lag::Lagged,
    server::{self, Handle},
};

/// Counts of an instance of a service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Effects, which are requests that were read in full and executed.
    pub effects: u64,
    /// Effects by `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
    /// Effects by `goldcrestvale-request`.
    pub by_request: BTreeMap<String, u64>,
    /// Requests refused without an effect because the instance is leaving or a fault is set.
    pub refusals: u64,
}

impl Counts {
    /// Returns the keys that had more than one effect on this instance.
    pub fn duplicate_keys(&self) -> impl Iterator<Item = &str> {
        let duplicates = self.by_key.iter().filter(|(_, effects)| **effects > 1);
        duplicates.map(|(key, _)| key.as_str())
    }
}

domain! {
    value
    /// The answer of a service.
    pub struct Answer {
        /// Name of the service.
        pub service: goldcrestvale_base::id::Service,
        /// Path and query of the request.
        pub path: String,
        /// The idempotency key of the request, if any.
        pub key: Option<String>,
        /// Number of the effect within this instance, from 1.
        pub effect: u64,
        /// Digest of the received body.
        pub digest: Digest,
    }
}

/// An instance of a plain service.
#[derive(Debug)]
pub struct Service {
    settings: Settings,
    incarnation: String,
    faults: Switch<Faults>,
    slots: Semaphore,
    load: Lagged<ServiceLoad>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    counts: Counts,
    running: u32,
    waiting: u32,
    leaving: bool,
}

impl Service {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Handle<Self>> {
        let address = settings.address;
        let service = Self {
            incarnation: server::incarnation(),
            faults: Switch::default(),
            slots: Semaphore::new(settings.slots),
            load: Lagged::new(settings.load_lag_ms),
            state: Mutex::default(),
            settings,
        };
        Handle::start(address, Arc::new(service)).await
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
