//! This instance's share of the retry budget of all instances, and the retries that it lends to others
//! or borrows from them.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use goldcrestvale_base::{
    customer_load::ServiceHash,
    id::{Instance, Service},
    retry_loan::{Ask, Grant, Return},
    time::Instant,
};
use goldcrestvale_member::{event::Event, retry_loan::RetryLoans};
use goldcrestvale_route::retry::{Loans, Round, Share, Window};
use log::debug;

use crate::{
    gateway::Gateway,
    settings::{Retry, Settings},
};

/// The retries of the services.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    retry: Retry,
    share: Share,
    accounts: HashMap<Service, Account>,
    /// First sequence number of the requests for retries.
    first_sequence: u64,
}

/// The retries of one service.
#[derive(Debug)]
struct Account {
    hash: ServiceHash,
    window: Window,
    loans: Loans,
}

impl RetryBudgets {
    /// Creates the budgets of an instance with the settings. The sequence number is a random one.
    pub(crate) fn new(settings: &Settings, now: Instant, first_sequence: u64) -> Self {
        let span = settings.retry.span;
        let share = match (&settings.peer, settings.first_start) {
            (None, _) => Share::alone(span),
            (Some(_), true) => Share::first_start(span, now),
            (Some(_), false) => Share::new(span, now),
        };
        let (retry, accounts) = (settings.retry, HashMap::new());
        Self { state: Mutex::new(State { retry, share, accounts, first_sequence }) }
    }

    /// Replaces the limits. The counts are kept unless the length of the window changes; loans are kept
    /// in any case.
    pub(crate) fn set_limits(&self, retry: Retry, now: Instant) {
        let mut state = self.lock();
        if state.retry.span != retry.span {
            state.share = Share::new(retry.span, now);
            for account in state.accounts.values_mut() {
                account.window.set_span(retry.span);
                account.loans.set_span(retry.span);
            }
        }
        state.retry = retry;
        state.accounts.values_mut().for_each(|account| account.window.set_ratio(retry.ratio));
    }

    /// Counts the first attempt of a request at a service.
    pub(crate) fn count_first(&self, service: &Service, now: Instant, instances: Option<u32>) {
        self.with_account(service, now, instances, |account| account.window.count_first(now));
    }

    /// Takes a retry from the budget of a service, or a borrowed one; returns whether one was left.
    pub(crate) fn try_take(&self, service: &Service, now: Instant, instances: Option<u32>) -> bool {
        self.with_account(service, now, instances, |account| {
            let allowed = account.window.try_retry(now) || account.loans.try_take(now);
            account.loans.record(now, allowed);
            allowed
        })
    }

    /// Returns the request for retries of a service that is to be sent to some of the connected peers,
    /// if one is due.
    fn next_round(
        &self,
        service: &Service,
        now: Instant,
        instances: Option<u32>,
        peers: u32,
    ) -> Option<Round> {
        self.with_account(service, now, instances, |account| {
            let left = account.window.left(now);
            account.loans.next_round(now, left, peers)
        })
    }

    /// Lends retries of a service to a peer. An instance without a share lends nothing.
    fn answer(
        &self,
        service: &Service,
        now: Instant,
        instances: Option<u32>,
        from: &Instance,
        ask: Ask,
    ) -> Option<Grant> {
        let mut state = self.lock();
        let (account, is_withheld) = state.account(service, now, instances);
        if is_withheld {
            return None;
        }
        account.loans.answer(now, &mut account.window, from, ask)
    }

    /// Adds retries that a peer lends; returns the thousandths that may be used.
    fn receive(&self, now: Instant, from: &Instance, grant: Grant) -> u32 {
        let mut state = self.lock();
        let account = state.accounts.values_mut().find(|account| account.hash == grant.service);
        account.map_or(0, |account| account.loans.receive(now, from, grant))
    }

    /// Removes the borrowed retries that expired, and returns those that were not used to their lenders.
    fn take_returns(&self, now: Instant) -> HashMap<Instance, RetryLoans> {
        let mut messages: HashMap<Instance, RetryLoans> = HashMap::new();
        for account in self.lock().accounts.values_mut() {
            for (lender, unused) in account.loans.take_returns(now) {
                messages.entry(lender).or_default().returns.push(unused);
            }
        }
        messages
    }

    /// Takes back retries that a peer did not use.
    fn take_back(&self, from: &Instance, unused: Return) {
        let mut state = self.lock();
        let account = state.accounts.values_mut().find(|account| account.hash == unused.service);
        if let Some(Account { window, loans, .. }) = account {
            loans.take_back(window, from, unused);
        }
    }

    fn with_account<T>(
        &self,
        service: &Service,
        now: Instant,
        instances: Option<u32>,
        f: impl FnOnce(&mut Account) -> T,
    ) -> T {
        f(self.lock().account(service, now, instances).0)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the account of a service with the current floor, and whether this instance has no
    /// share of the budget.
    fn account(
        &mut self,
        service: &Service,
        now: Instant,
        instances: Option<u32>,
    ) -> (&mut Account, bool) {
        let Retry { ratio, floor, span } = self.retry;
        let floor = self.share.of(floor, now, instances);
        let new_account = || {
            let hash = ServiceHash::of(service);
            let loans = Loans::new(hash, span, self.first_sequence);
            Account { hash, window: Window::new(span, ratio, floor), loans }
        };
        let account = self.accounts.entry(service.clone()).or_insert_with(new_account);
        account.window.set_floor(floor);
        (account, self.share.is_withheld(now))
    }
}

impl<P> Gateway<P> {
    /// Requests retries of a service from peers, if this instance needs more than it has left.
    pub(crate) fn request_retries(&self, service: &Service) {
        let is_known = || self.find_service(ServiceHash::of(service)).as_ref() == Some(service);
        if !self.settings.retry_loans.is_auto() || !is_known() {
            return;
        }
        let linked = self.peers.snapshot().linked;
        let instances = self.retrying_instances();
        let round = self.retry_budgets.next_round(service, self.now(), instances, linked);
        let Some(Round { ask, peers }) = round else { return };
        debug!(service:% = service, peers, milli_retries = ask.milli_retries; "retries requested");
        self.peers.send(Event::RetryAsk { ask, peers });
    }

    /// Returns borrowed retries that expired to their lenders.
    pub(crate) fn return_retries(&self) {
        for (to, loans) in self.retry_budgets.take_returns(self.now()) {
            debug!(instance:% = to, loans = loans.returns.len(); "retries returned");
            self.peers.send(Event::RetryLoans { to, loans });
        }
    }

    /// Takes back retries that a peer did not use, lends those that it requests, and adds those that
    /// it lends.
    pub(crate) fn apply_retry_loans(&self, from: &Instance, loans: &RetryLoans) {
        let now = self.now();
        loans.returns.iter().for_each(|unused| self.retry_budgets.take_back(from, *unused));
        let grants: Vec<Grant> =
            loans.asks.iter().filter_map(|ask| self.lend_retries(now, from, *ask)).collect();
        if !grants.is_empty() {
            let loans = RetryLoans { grants, ..RetryLoans::default() };
            self.peers.send(Event::RetryLoans { to: from.clone(), loans });
        }
        for grant in &loans.grants {
            let usable = self.retry_budgets.receive(now, from, *grant);
            debug!(instance:% = from, lent = grant.milli_retries, usable; "retries borrowed");
        }
    }

    /// Returns the service with a hash, unless several services have it.
    fn find_service(&self, hash: ServiceHash) -> Option<Service> {
        let table = self.table.load();
        let services = table.source()?.pools.iter().map(|pool| &pool.service);
        let mut services = services.filter(|service| ServiceHash::of(service) == hash);
        let service = services.next()?;
        services.all(|other| other == service).then(|| service.clone())
    }

    fn lend_retries(&self, now: Instant, from: &Instance, ask: Ask) -> Option<Grant> {
        if !self.settings.retry_loans.is_auto() {
            return None;
        }
        let service = self.find_service(ask.service)?;
        let instances = self.retrying_instances();
        let grant = self.retry_budgets.answer(&service, now, instances, from, ask)?;
        debug!(instance:% = from, service:% = service, milli_retries = grant.milli_retries; "retries lent");
        Some(grant)
    }
}
