//! What the faults of all stand-ins share.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::watch;

/// Faults of a stand-in as far as the server carries them out.
pub trait Faults:
    Clone + fmt::Debug + Default + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// Returns whether connections are refused and open ones closed.
    fn refuse(&self) -> bool;

    /// Returns whether the stand-in ends at once.
    fn die(&self) -> bool {
        false
    }
}

/// The faults of a stand-in, which change while it runs.
#[derive(Debug, Default)]
pub struct Switch<F>(watch::Sender<F>);

impl<F: Faults> Switch<F> {
    /// Returns the faults of this moment.
    pub fn get(&self) -> F {
        self.0.borrow().clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: F) {
        self.0.send_replace(faults);
    }

    /// Changes some faults.
    pub fn change(&self, change: impl FnOnce(&mut F)) {
        self.0.send_modify(change);
    }

    /// Takes one from a counted fault, and returns whether there was one to take.
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
