//! This instance's part of the retry budget, which all instances share.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use goldcrestvale_base::{id::Service, time::Instant};
use goldcrestvale_route::retry::Window;

use crate::settings::Retry;

/// Instances that the retry budget is shared between, as long as their number is not known.
const ASSUMED_INSTANCES: f64 = 7.0;

/// Part of its share of the retry budget that an instance uses, since the others may see fewer or
/// more instances for a while.
const OWN_SHARE: f64 = 0.9;

/// The windows of the services.
#[derive(Debug)]
pub(crate) struct Repeats {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    retry: Retry,
    windows: HashMap<Service, Window>,
}

impl Repeats {
    pub(crate) fn new(retry: Retry) -> Self {
        Self { state: Mutex::new(State { retry, windows: HashMap::new() }) }
    }

    /// Takes over changed bounds.
    pub(crate) fn set(&self, retry: Retry) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) =
            State { retry, windows: HashMap::new() };
    }

    /// Counts the first arrival of a request at a service.
    pub(crate) fn count_first(&self, service: &Service, now: Instant, instances: Option<u32>) {
        self.with(service, instances, |window| window.count_first(now));
    }

    /// Takes a repeated arrival from the budget of a service, if it holds one.
    pub(crate) fn try_take(&self, service: &Service, now: Instant, instances: Option<u32>) -> bool {
        self.with(service, instances, |window| window.try_retry(now))
    }

    fn with<T>(
        &self,
        service: &Service,
        instances: Option<u32>,
        with: impl FnOnce(&mut Window) -> T,
    ) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let retry = state.retry;
        let floor = retry.floor * OWN_SHARE / instances.map_or(ASSUMED_INSTANCES, f64::from);
        let fresh = || Window::new(retry.span, retry.ratio, floor);
        let window = state.windows.entry(service.clone()).or_insert_with(fresh);
        window.set_floor(floor);
        with(window)
    }
}
