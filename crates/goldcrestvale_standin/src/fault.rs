//! Fault handling common to all stand-ins.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::watch;

/// Faults of a stand-in that are applied by the server.
pub trait Faults:
    Clone + fmt::Debug + Default + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// Returns whether connections are refused and open ones closed.
    fn refuse(&self) -> bool;

    /// Returns whether the stand-in ends immediately.
    fn die(&self) -> bool {
        false
    }
}

/// The current faults of a stand-in, which can be changed while it runs.
#[derive(Debug, Default)]
pub struct Switch<F>(watch::Sender<F>);

impl<F: Faults> Switch<F> {
    /// Returns the current faults.
    pub fn get(&self) -> F {
        self.0.borrow().clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: F) {
        self.0.send_replace(faults);
    }

    /// Changes individual faults.
    pub fn change(&self, change: impl FnOnce(&mut F)) {
        self.0.send_modify(change);
    }

    /// Decrements the count of a fault and returns whether it was above zero.
    pub(crate) fn take(&self, count: impl Fn(&mut F) -> &mut u32) -> bool {
        let mut taken = false;
        self.0.send_if_modified(|faults| {
            let count = count(faults);
            taken = *count > 0;
            *count = count.saturating_sub(1);
            taken
        });
        taken
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<F> {
        self.0.subscribe()
    }
}
