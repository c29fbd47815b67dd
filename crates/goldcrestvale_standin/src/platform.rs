//! The platform, in memory only: an append-only log with offsets and the list of instances.

mod api;
pub mod fault;
mod list;
pub mod settings;
mod stream;

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use goldcrestvale_base::{id::Offset, time::Wall};
use goldcrestvale_platform::message::{Listed, Listing};
use tokio::{sync::watch, time::Instant};

pub use fault::Faults;
pub use settings::Settings;

use crate::{fault::Switch, server::Handle};

/// Counts of a platform.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Appends that took effect.
    pub appends: u64,
    /// Records in these appends.
    pub records: u64,
    /// Total size of the bodies of these appends, in bytes.
    pub append_bytes: u64,
    /// Appends refused because of the rate limit.
    pub limited: u64,
    /// Appends that took effect without an answer.
    pub lost: u64,
    /// Reads that started to wait.
    pub waits: u64,
    /// Reads answered.
    pub reads: u64,
}

/// A platform.
#[derive(Debug)]
pub struct Platform {
    settings: Settings,
    faults: Switch<Faults>,
    state: Mutex<State>,
    leaving: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct State {
    streams: HashMap<String, stream::Stream>,
    list: list::List,
    counts: Counts,
    rate_window: Option<(Instant, u32)>,
}

impl Platform {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Handle<Self>> {
        let address = settings.address;
        let platform = Self {
            settings,
            faults: Switch::default(),
            state: Mutex::default(),
            leaving: watch::Sender::new(false),
        };
        Handle::start(address, Arc::new(platform)).await
    }

    /// Replaces the list of instances.
    pub fn set_list(&self, instances: Vec<Listed>) {
        self.state().list.replace(instances, self.list_lag());
    }

    /// Adds an instance to the list, or replaces the one with the same name and role.
    pub fn upsert(&self, listed: Listed) {
        self.state().list.upsert(listed, self.list_lag());
    }

    /// Returns the list of instances as readers see it, with its lag.
    pub fn listing(&self) -> Listing {
        self.state().list.read(self.list_lag())
    }

    /// Drops the records of a stream below an offset, as retention would.
    pub fn trim(&self, stream: &str, below: Offset) {
        if let Some(stream) = self.state().streams.get_mut(stream) {
            stream.trim(below);
        }
    }

    /// Returns the offset that the next record of a stream will have.
    pub fn end(&self, stream: &str) -> Offset {
        self.state().streams.get(stream).map_or(Offset(0), stream::Stream::end)
    }

    fn list_lag(&self) -> Duration {
        Duration::from_millis(self.settings.list_lag_ms)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn wall_now() -> Wall {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    Wall(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
