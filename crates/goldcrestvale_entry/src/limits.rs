//! Rate limits of customers; each instance enforces its share of a limit.

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

/// Time between reports of the demand to the other instances.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// The rate limiters of the customers that have a limit.
#[derive(Debug, Default)]
pub struct Limits {
    limiters: Mutex<HashMap<Customer, Limiter>>,
}

#[derive(Debug)]
struct Limiter {
    bucket: Bucket,
    /// Limit in requests per second over all instances.
    rate: u32,
    /// Requests since the last report of the demand, rejected ones included.
    requested: u32,
}

impl Limits {
    /// Takes one request of a customer from this instance's share of its limit.
    ///
    /// # Errors
    ///
    /// Rejects the request, with the time after which the share allows the next one.
    pub fn take(&self, now: Instant, customer: &Customer, rate: u32, share: Parts) -> Result<()> {
        let share_rate = f64::from(rate) * f64::from(share.0) / f64::from(FULL_LIMIT);
        let mut limiters = self.limiters();
        let limiter = limiters.entry(customer.clone()).or_insert_with(|| Limiter {
            bucket: Bucket::new(share_rate, now),
            rate,
            requested: 0,
        });
        limiter.rate = rate;
        limiter.requested += 1;
        limiter.bucket.set_rate(now, share_rate);
        limiter.bucket.try_take(now, 1.0).map_err(|retry_after| {
            let detail = format!("{customer} is over its limit of {rate} requests a second");
            Refusal::unsent(Cause::Limit, detail).retry_after(retry_after.min(MAX_RETRY_AFTER))
        })
    }

    /// Returns the demand of every customer with a limit in the last `interval`, and resets the
    /// counts.
    ///
    /// A customer without requests is returned once more, with no demand, and then removed.
    pub fn take_demand(&self, interval: Duration) -> Vec<(Customer, Parts)> {
        let mut limiters = self.limiters();
        let demand =
            limiters.iter().map(|(name, limiter)| (name.clone(), limiter.demand(interval)));
        let demand: Vec<_> = demand.collect();
        limiters.retain(|_, limiter| limiter.requested > 0);
        limiters.values_mut().for_each(|limiter| limiter.requested = 0);
        demand
    }

    fn limiters(&self) -> MutexGuard<'_, HashMap<Customer, Limiter>> {
        self.limiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Limiter {
    /// Returns the demand as a fraction of the full limit.
    fn demand(&self, interval: Duration) -> Parts {
        let allowed = f64::from(self.rate) * interval.as_secs_f64();
        let parts =
            f64::from(self.requested) / allowed.max(f64::MIN_POSITIVE) * f64::from(FULL_LIMIT);
        Parts(parts.min(f64::from(FULL_LIMIT)) as u32)
    }
}

/// Maximum `Retry-After` of a customer over its limit.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Reports the demand of customers at this instance to the other instances.
#[derive(Debug, Clone, Copy)]
pub struct DemandReporter;

impl Part for DemandReporter {
    fn register(self, builder: &mut Builder) {
        let task = report_demand(builder.node().clone(), builder.stop());
        builder.insert_task(task);
    }
}

async fn report_demand(node: Arc<Node>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(DEMAND_INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        for (customer, parts) in node.limits.take_demand(DEMAND_INTERVAL) {
            let Some(handle) = node.peers.handle() else { continue };
            if let Err(e) = handle.try_send_event(Event::Demand { customer, parts }) {
                debug!(error:% = e; "demand not reported");
            }
        }
    }
}
