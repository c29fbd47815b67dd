//! Reads the directory and feeds what it says to the shared state.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::Offset;
use log::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::{
    catalog::CatalogChange,
    gateway::Gateway,
    port::{Change, Error, Page, Port, Resource, Result},
};

/// Instances that each read as often as one alone would.
const FEW_INSTANCES: u32 = 4;

/// Pause after a read that failed: the directory may refuse calls beyond its rate.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Reads the directory's state of a subject: where to read on, and whether it can be reached.
struct Reader<P> {
    gateway: Arc<Gateway<P>>,
    resource: Resource,
    next: Option<Offset>,
    reachable: bool,
}

impl<P: Port> Reader<P> {
    fn new(gateway: Arc<Gateway<P>>, resource: Resource) -> Self {
        Self { gateway, resource, next: None, reachable: true }
    }

    /// Reads the next page; a whole list first, and again after records were dropped.
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
            Ok((page, whole)) => {
                if !self.reachable {
                    info!(subject:? = self.resource; "directory is reached again");
                }
                self.reachable = true;
                self.next = Some(page.next);
                Some((page, whole))
            }
            Err(e) => {
                self.gateway.metrics.count_store_failure(call);
                if self.reachable {
                    warn!(subject:? = self.resource, call, error:% = e; "directory is out of reach");
                }
                self.reachable = false;
                if matches!(e, Error::Trimmed { .. }) {
                    self.next = None;
                }
                None
            }
        }
    }
}

/// Follows the configuration until the token is cancelled.
pub(crate) async fn configuration<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let mut reader = Reader::new(gateway.clone(), Resource::Configuration);
    let wait = gateway.settings.directory.configuration_wait;
    let mut newest_unreadable = false;
    let longest = gateway.settings.directory.max_configuration_wait;
    while let Some(read) =
        stop.run_until_cancelled(reader.read(shared(&gateway, wait, longest))).await
    {
        let Some((page, _)) = read else {
            tokio::time::sleep(FAILURE_PAUSE).await;
            continue;
        };
        let is_empty = page.changes.is_empty();
        for change in page.changes {
            match change {
                Change::Configuration(configuration) => {
                    newest_unreadable = false;
                    gateway.configure(*configuration);
                }
                Change::Unreadable { key, detail } if !newest_unreadable => {
                    newest_unreadable = true;
                    warn!(key = key.as_str(), detail = detail.as_str(); "configuration cannot be read");
                }
                _ => {}
            }
        }
        if is_empty && !gateway.is_configured() {
            // The first configuration is not written yet: list again rather than tail.
            reader.next = None;
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

/// Follows the upstreams until the token is cancelled.
pub(crate) async fn upstreams<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let mut reader = Reader::new(gateway.clone(), Resource::Upstreams);
    let times = gateway.settings.directory;
    let mut away_until = None;
    loop {
        let was_reachable = reader.reachable;
        let Some(read) = stop.run_until_cancelled(reader.read(Duration::ZERO)).await else {
            return;
        };
        let pause = match read {
            Some((page, whole)) => {
                let now = gateway.now();
                if !was_reachable {
                    away_until = Some(now + times.return_grace);
                }
                // What vanished while the directory was away may come back.
                let grace = away_until.filter(|until| *until > now).map(|until| until.since(now));
                apply(&gateway, &page, whole, grace);
                gateway.set_listed();
                let pause = match gateway.is_degraded() {
                    true => times.degraded_interval,
                    false => times.upstream_interval,
                };
                shared(&gateway, pause, times.max_upstream_interval)
            }
            None => {
                gateway.peers.ask_list().await;
                FAILURE_PAUSE
            }
        };
        gateway.set_directory_reached(reader.reachable);
        if stop.run_until_cancelled(tokio::time::sleep(pause)).await.is_none() {
            return;
        }
    }
}

/// Stretches a pause between reads by the number of instances. They read at different times and tell
/// each other which upstreams leave, so together they see a change as soon as a few would.
fn shared<P>(gateway: &Gateway<P>, pause: Duration, longest: Duration) -> Duration {
    let instances = gateway.peers.instances().unwrap_or(1).max(1);
    (pause * instances / FEW_INSTANCES).clamp(pause, longest.max(pause))
}

fn apply<P>(gateway: &Gateway<P>, page: &Page, whole: bool, grace: Option<Duration>) {
    let now = gateway.now();
    gateway.learn(|known| {
        let news = match whole {
            true => known.catalog.replace(&page.changes, now, grace),
            false => {
                let changes = page.changes.iter();
                changes.filter_map(|change| known.catalog.apply(change, now, grace)).collect()
            }
        };
        for item in &news {
            match item {
                CatalogChange::Joined(upstream) => {
                    known.forgive(upstream);
                    info!(upstream:% = upstream; "upstream joined");
                }
                CatalogChange::Leaving(upstream) => {
                    info!(upstream:% = upstream; "upstream is leaving");
                    if let Some(registration) = known.catalog.get(upstream) {
                        gateway.peers.tell_leaving(registration, gateway.clock.wall());
                    }
                }
                CatalogChange::Gone(upstream) => info!(upstream:% = upstream; "upstream is gone"),
                CatalogChange::Changed(_) => {}
            }
        }
        !news.is_empty()
    });
}
