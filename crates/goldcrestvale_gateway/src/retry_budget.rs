//! This instance's share of the retry budget of all instances.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use goldcrestvale_base::{id::Service, time::Instant};
use goldcrestvale_route::retry::{Share, Window};

use crate::settings::{Retry, Settings};

/// The retry windows of the services.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    retry: Retry,
    share: Share,
    windows: HashMap<Service, Window>,
}

impl RetryBudgets {
    /// Creates the budgets of an instance with the settings.
    pub(crate) fn new(settings: &Settings, now: Instant) -> Self {
        let span = settings.retry.span;
        let share = match (&settings.peer, settings.first_start) {
            (None, _) => Share::alone(span),
            (Some(_), true) => Share::first_start(span, now),
            (Some(_), false) => Share::new(span, now),
        };
        Self { state: Mutex::new(State { retry: settings.retry, share, windows: HashMap::new() }) }
    }

    /// Replaces the limits. The counts are kept unless the length of the window changes.
    pub(crate) fn set_limits(&self, retry: Retry, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.retry.span != retry.span {
            state.share = Share::new(retry.span, now);
            state.windows.clear();
        }
        state.retry = retry;
        state.windows.values_mut().for_each(|window| window.set_ratio(retry.ratio));
    }

    /// Counts the first attempt of a request at a service.
    pub(crate) fn count_first(&self, service: &Service, now: Instant, instances: Option<u32>) {
        self.with_window(service, now, instances, |window| window.count_first(now));
    }

    /// Takes a retry from the budget of a service; returns whether one was left.
    pub(crate) fn try_take(&self, service: &Service, now: Instant, instances: Option<u32>) -> bool {
        self.with_window(service, now, instances, |window| window.try_retry(now))
    }

    fn with_window<T>(
        &self,
        service: &Service,
        now: Instant,
        instances: Option<u32>,
        f: impl FnOnce(&mut Window) -> T,
    ) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let retry = state.retry;
        let floor = state.share.of(retry.floor, now, instances);
        let new_window = || Window::new(retry.span, retry.ratio, floor);
        let window = state.windows.entry(service.clone()).or_insert_with(new_window);
        window.set_floor(floor);
        f(window)
    }
}
