//! An instance of a plain service, which counts its effects.

mod api;
pub mod fault;
pub mod settings;

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard},
};

use goldcrestvale_base::id::Digest;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

pub use fault::Faults;
pub use settings::Settings;

use crate::server::{self, Handle};

/// Counts of an instance of a service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Effects: requests that were read in full and acted on.
    pub effects: u64,
    /// Effects by `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
    /// Effects by `goldcrestvale-request`.
    pub by_request: BTreeMap<String, u64>,
    /// Requests refused because the instance is leaving or faulty.
    pub refusals: u64,
}

/// The answer of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Name of the service.
    pub service: String,
    /// Path and query that were asked for.
    pub path: String,
    /// The idempotency key, if there was one.
    pub key: Option<String>,
    /// Number of the effect within this instance, from 1.
    pub effect: u64,
    /// Digest of the body that was received.
    pub digest: Digest,
}

/// An instance of a plain service.
#[derive(Debug)]
pub struct Service {
    settings: Settings,
    incarnation: String,
    faults: watch::Sender<Faults>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    counts: Counts,
    running: u32,
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
            settings,
            incarnation: server::incarnation(),
            faults: watch::Sender::default(),
            state: Mutex::default(),
        };
        Handle::start(address, Arc::new(service)).await
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
