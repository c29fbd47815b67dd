//! Reads the directory and applies its changes to the shared state.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::Offset;
use log::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::{
    catalog::CatalogChange,
    gateway::Gateway,
    port::{Change, Error, Page, Port, Resource, Result},
};

/// Number of instances up to which each one reads at the base rate.
const INSTANCES_AT_BASE_RATE: u32 = 4;

/// Delay after a failed read: the directory may reject calls beyond its rate limit.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Reads a resource of the directory and keeps the offset of the next read and whether the
/// directory is reachable.
struct Reader<P> {
    gateway: Arc<Gateway<P>>,
    resource: Resource,
    next: Option<Offset>,
    is_reachable: bool,
}

impl<P: Port> Reader<P> {
    fn new(gateway: Arc<Gateway<P>>, resource: Resource) -> Self {
        Self { gateway, resource, next: None, is_reachable: true }
    }

    /// Reads the next page and returns whether it is a complete list: the first one is, and the one
    /// after records were dropped.
    async fn read(&mut self, wait: Duration) -> Option<(Page, bool)> {
        let call = match self.next {
            Some(_) => "tail",
            None => "list",
        };
        let read: Result<(Page, bool)> = match self.next {
            Some(from) => {
                let tail = self.gateway.port.tail(self.resource, from, wait).await;
                tail.map(|page| (page, false))
            }
            None => self.gateway.port.list(self.resource).await.map(|page| (page, true)),
        };
        match read {
            Ok((page, is_list)) => {
                if !self.is_reachable {
                    info!(subject:? = self.resource; "directory is reached again");
                }
                self.is_reachable = true;
                self.next = Some(page.next);
                Some((page, is_list))
            }
            Err(e) => {
                self.gateway.metrics.count_directory_failure(call);
                if self.is_reachable {
                    warn!(subject:? = self.resource, call, error:% = e; "directory is out of reach");
                }
                self.is_reachable = false;
                if matches!(e, Error::Trimmed { .. }) {
                    self.next = None;
                }
                None
            }
        }
    }
}

/// Follows the configuration until the token is cancelled.
pub(crate) async fn sync_configuration<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let mut reader = Reader::new(gateway.clone(), Resource::Configuration);
    let wait = gateway.settings.directory.configuration_wait;
    let mut is_unreadable = false;
    let max_wait = gateway.settings.directory.max_configuration_wait;
    while let Some(read) =
        stop.run_until_cancelled(reader.read(scale_by_instances(&gateway, wait, max_wait))).await
    {
        let Some((page, _)) = read else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let is_empty = page.changes.is_empty();
        for change in page.changes {
            match change {
                Change::Configuration(configuration) => {
                    is_unreadable = false;
                    gateway.configure(*configuration);
                }
                Change::Unreadable { key, detail } if !is_unreadable => {
                    is_unreadable = true;
                    warn!(key = key.as_str(), detail = detail.as_str(); "configuration cannot be read");
                }
                _ => {}
            }
        }
        if is_empty && !gateway.is_configured() {
            // The first configuration is not written yet: list again instead of reading changes.
            reader.next = None;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Follows the upstreams until the token is cancelled.
pub(crate) async fn sync_upstreams<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let mut reader = Reader::new(gateway.clone(), Resource::Upstreams);
    let times = gateway.settings.directory;
    let mut grace_until = None;
    loop {
        let was_reachable = reader.is_reachable;
        let Some(read) = stop.run_until_cancelled(reader.read(Duration::ZERO)).await else {
            return;
        };
        let delay = match read {
            Some((page, is_list)) => {
                let now = gateway.now();
                if !was_reachable {
                    grace_until = Some(now + times.return_grace);
                }
                // Upstreams that vanished while the directory was unreachable may register again.
                let grace = grace_until.filter(|until| *until > now).map(|until| until.since(now));
                apply_page(&gateway, &page, is_list, grace);
                gateway.set_listed();
                let interval = match gateway.is_degraded() {
                    true => times.degraded_interval,
                    false => times.upstream_interval,
                };
                scale_by_instances(&gateway, interval, times.max_upstream_interval)
            }
            None => {
                gateway.peers.request_list().await;
                RETRY_DELAY
            }
        };
        gateway.set_directory_reached(reader.is_reachable);
        if stop.run_until_cancelled(tokio::time::sleep(delay)).await.is_none() {
            return;
        }
    }
}

/// Scales an interval between reads with the number of instances. The instances read at different
/// times and notify each other of leaving upstreams, so together they notice a change as soon as a
/// few of them would.
fn scale_by_instances<P>(gateway: &Gateway<P>, interval: Duration, max: Duration) -> Duration {
    let instances = gateway.peers.instance_count().unwrap_or(1).max(1);
    (interval * instances / INSTANCES_AT_BASE_RATE).clamp(interval, max.max(interval))
}

fn apply_page<P>(gateway: &Gateway<P>, page: &Page, is_list: bool, grace: Option<Duration>) {
    let now = gateway.now();
    gateway.update(|state| {
        let changes = match is_list {
            true => state.catalog.replace(&page.changes, now, grace),
            false => {
                let page_changes = page.changes.iter();
                page_changes.filter_map(|change| state.catalog.apply(change, now, grace)).collect()
            }
        };
        for change in &changes {
            match change {
                CatalogChange::Joined(upstream) => {
                    state.reset(upstream);
                    info!(upstream:% = upstream; "upstream joined");
                }
                CatalogChange::Leaving(upstream) => {
                    info!(upstream:% = upstream; "upstream is leaving");
                    if let Some(registration) = state.catalog.get(upstream) {
                        gateway.peers.send_leaving(registration, gateway.clock.wall());
                    }
                }
                CatalogChange::Gone(upstream) => info!(upstream:% = upstream; "upstream is gone"),
                CatalogChange::Changed(_) => {}
            }
        }
        !changes.is_empty()
    });
}
