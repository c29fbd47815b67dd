//! The customers' rate limits, of which this instance has a share.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{id::Customer, time::Instant};
use goldcrestvale_member::{
    event::Event,
    limit::{FULL_LIMIT, Parts},
};
use goldcrestvale_route::limit::Bucket;
use log::debug;
use tokio_util::sync::CancellationToken;

use crate::{
    daemon::{Builder, Part},
    node::Node,
    refusal::{Cause, Refusal, Result},
};

/// How often the demand is told to the other instances.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// Counts the requests of customers with a rate limit.
#[derive(Debug, Default)]
pub struct Limits {
    accounts: Mutex<HashMap<Customer, Account>>,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    /// Requests a second over all instances.
    rate: u32,
    /// Requests asked for since the demand was told, refused ones included.
    asked: u32,
}

impl Limits {
    /// Takes one request of a customer from this instance's share of its limit.
    ///
    /// # Errors
    ///
    /// Refuses the request, with the time after which the share allows one more.
    pub fn take(&self, now: Instant, customer: &Customer, rate: u32, share: Parts) -> Result<()> {
        let own = f64::from(rate) * f64::from(share.0) / f64::from(FULL_LIMIT);
        let mut accounts = self.accounts();
        let account = accounts.entry(customer.clone()).or_insert_with(|| Account {
            bucket: Bucket::new(own, now),
            rate,
            asked: 0,
        });
        account.rate = rate;
        account.asked += 1;
        account.bucket.set_rate(now, own);
        account.bucket.try_take(now, 1.0).map_err(|after| {
            let detail = format!("{customer} is over its limit of {rate} requests a second");
            Refusal::unsent(Cause::Limit, detail).retry_after(after.min(MOST_RETRY))
        })
    }

    /// Returns the demand of every customer with a limit, and starts to count anew.
    ///
    /// A customer that asked for nothing is named once more, with no demand, and forgotten.
    pub fn take_demand(&self, span: Duration) -> Vec<(Customer, Parts)> {
        let mut accounts = self.accounts();
        let demand = accounts.iter().map(|(name, account)| (name.clone(), account.demand(span)));
        let demand: Vec<_> = demand.collect();
        accounts.retain(|_, account| account.asked > 0);
        accounts.values_mut().for_each(|account| account.asked = 0);
        demand
    }

    fn accounts(&self) -> MutexGuard<'_, HashMap<Customer, Account>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Account {
    /// Returns what was asked for, in parts of the whole limit.
    fn demand(&self, span: Duration) -> Parts {
        let whole = f64::from(self.rate) * span.as_secs_f64();
        let parts = f64::from(self.asked) / whole.max(f64::MIN_POSITIVE) * f64::from(FULL_LIMIT);
        Parts(parts.min(f64::from(FULL_LIMIT)) as u32)
    }
}

/// Longest time after which a customer over its limit is told to come back.
const MOST_RETRY: Duration = Duration::from_secs(60);

/// Tells the other instances what the customers ask for here.
#[derive(Debug, Clone, Copy)]
pub struct DemandReporter;

impl Part for DemandReporter {
    fn register(self, builder: &mut Builder) {
        let task = tell(builder.node().clone(), builder.stop());
        builder.insert_task(task);
    }
}

async fn tell(node: Arc<Node>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(DEMAND_INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        for (customer, parts) in node.limits.take_demand(DEMAND_INTERVAL) {
            let Some(handle) = node.peers.handle() else { continue };
            if let Err(e) = handle.try_send_event(Event::Demand { customer, parts }) {
                debug!(error:% = e; "demand not told");
            }
        }
    }
}
