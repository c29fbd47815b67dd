//! This instance's share of the retry budget of all instances.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use goldcrestvale_base::{id::Service, time::Instant};
use goldcrestvale_route::retry::Window;

use crate::settings::Retry;

/// Number of instances that share the retry budget, as long as the actual number is unknown.
const ASSUMED_INSTANCES: f64 = 7.0;

/// Fraction of its share of the retry budget that an instance uses, since the instances may
/// disagree on their number for a while.
const OWN_SHARE: f64 = 0.9;

/// The retry windows of the services.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    retry: Retry,
    windows: HashMap<Service, Window>,
}

impl RetryBudgets {
    pub(crate) fn new(retry: Retry) -> Self {
        Self { state: Mutex::new(State { retry, windows: HashMap::new() }) }
    }

    /// Replaces the limits and starts new windows.
    pub(crate) fn set_limits(&self, retry: Retry) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) =
            State { retry, windows: HashMap::new() };
    }

    /// Counts the first attempt of a request at a service.
    pub(crate) fn count_first(&self, service: &Service, now: Instant, instances: Option<u32>) {
        self.with_window(service, instances, |window| window.count_first(now));
    }

    /// Takes a retry from the budget of a service; returns whether one was left.
    pub(crate) fn try_take(&self, service: &Service, now: Instant, instances: Option<u32>) -> bool {
        self.with_window(service, instances, |window| window.try_retry(now))
    }

    fn with_window<T>(
        &self,
        service: &Service,
        instances: Option<u32>,
        f: impl FnOnce(&mut Window) -> T,
    ) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let retry = state.retry;
        let floor = retry.floor * OWN_SHARE / instances.map_or(ASSUMED_INSTANCES, f64::from);
        let new_window = || Window::new(retry.span, retry.ratio, floor);
        let window = state.windows.entry(service.clone()).or_insert_with(new_window);
        window.set_floor(floor);
        f(window)
    }
}
