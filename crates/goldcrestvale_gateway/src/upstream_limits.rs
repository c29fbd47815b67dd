//! The request rates that overloaded upstreams take from all instances together.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{id::Upstream, time::Instant};
use goldcrestvale_route::rate_share::RateShare;
use log::info;

/// The upstreams that name a limit.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimits {
    shares: Mutex<HashMap<Upstream, RateShare>>,
}

impl UpstreamLimits {
    /// Records the rate that an upstream named in an answer, or that it named none.
    pub(crate) fn record(&self, upstream: &Upstream, rate: Option<f64>, now: Instant) {
        let mut shares = self.lock();
        match (rate, shares.get_mut(upstream)) {
            (Some(rate), Some(share)) => share.set_rate(rate),
            (Some(rate), None) => {
                info!(upstream:% = upstream, rate; "upstream limits its requests");
                shares.insert(upstream.clone(), RateShare::new(rate, now));
            }
            (None, Some(_)) => {
                info!(upstream:% = upstream; "upstream limits its requests no more");
                shares.remove(upstream);
            }
            (None, None) => {}
        }
    }

    /// Takes a request from the share of an upstream; returns whether it may be sent. `part` returns
    /// the part of the rate that this instance uses.
    pub(crate) fn try_take(
        &self,
        upstream: &Upstream,
        now: Instant,
        part: impl FnOnce() -> f64,
        draw: f64,
    ) -> bool {
        let mut shares = self.lock();
        shares.get_mut(upstream).is_none_or(|share| share.try_take(now, part(), draw))
    }

    /// Returns a request to the share of an upstream that it was not sent to.
    pub(crate) fn put_back(&self, upstream: &Upstream) {
        if let Some(share) = self.lock().get_mut(upstream) {
            share.put_back();
        }
    }

    /// Returns the time after which an upstream that names a limit takes another request.
    pub(crate) fn interval(&self, upstream: &Upstream) -> Option<Duration> {
        self.lock().get(upstream).map(RateShare::interval)
    }

    /// Removes the limits of upstreams that no longer exist.
    pub(crate) fn retain(&self, exists: impl Fn(&Upstream) -> bool) {
        self.lock().retain(|upstream, _| exists(upstream));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Upstream, RateShare>> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
