//! A bound on the requests in progress.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use crate::admission::Slot;

/// Counts the requests in progress and refuses those beyond a bound.
///
/// # Examples
///
/// ```
/// use goldcrestvale_entry::gate::Gate;
///
/// let gate = Gate::new(1);
/// let pass = gate.try_enter().expect("room for one");
/// assert!(gate.try_enter().is_none());
/// drop(pass);
/// assert!(gate.try_enter().is_some());
/// ```
#[derive(Debug, Clone)]
pub struct Gate {
    inside: Arc<AtomicUsize>,
    most: usize,
}

/// One request in progress; dropping it ends the request.
#[derive(Debug)]
pub struct RequestGuard {
    inside: Arc<AtomicUsize>,
    slot: Option<Slot>,
}

impl Gate {
    /// Creates a gate with room for `most` requests.
    pub fn new(most: usize) -> Self {
        Self { inside: Arc::default(), most }
    }

    /// Lets a request in if there is room.
    pub fn try_enter(&self) -> Option<RequestGuard> {
        let room = |inside: usize| (inside < self.most).then_some(inside + 1);
        self.inside.fetch_update(Ordering::AcqRel, Ordering::Acquire, room).ok()?;
        Some(RequestGuard { inside: self.inside.clone(), slot: None })
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.inside.load(Ordering::Acquire)
    }
}

impl RequestGuard {
    /// Keeps an admission slot as long as the request is in progress.
    pub fn attach_slot(&mut self, slot: Slot) {
        self.slot = Some(slot);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.inside.fetch_sub(1, Ordering::AcqRel);
    }
}
