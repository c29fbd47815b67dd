//! A limit on the requests in progress.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use crate::{admission::Slot, intake::Charge};

/// Counts the requests in progress and rejects those beyond a limit.
///
/// # Examples
///
/// ```
/// use goldcrestvale_entry::gate::Gate;
///
/// let gate = Gate::new(1);
/// let guard = gate.try_enter().expect("the limit allows one request");
/// assert!(gate.try_enter().is_none());
/// drop(guard);
/// assert!(gate.try_enter().is_some());
/// ```
#[derive(Debug, Clone)]
pub struct Gate {
    in_progress: Arc<AtomicUsize>,
    max_requests: usize,
}

/// One request in progress; dropping it ends the request.
#[derive(Debug)]
pub struct RequestGuard {
    in_progress: Arc<AtomicUsize>,
    slot: Option<Slot>,
    charge: Option<Charge>,
}

impl Gate {
    /// Creates a gate that allows `max_requests` at once.
    pub fn new(max_requests: usize) -> Self {
        Self { in_progress: Arc::default(), max_requests }
    }

    /// Admits a request if the limit is not reached.
    pub fn try_enter(&self) -> Option<RequestGuard> {
        let increment = |count: usize| (count < self.max_requests).then_some(count + 1);
        self.in_progress.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment).ok()?;
        Some(RequestGuard { in_progress: self.in_progress.clone(), slot: None, charge: None })
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }
}

impl RequestGuard {
    /// Holds an admission slot until the request ends.
    pub fn attach_slot(&mut self, slot: Slot) {
        self.slot = Some(slot);
    }

    /// Holds the memory of the request until it ends.
    pub fn attach_charge(&mut self, charge: Charge) {
        self.charge = Some(charge);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
