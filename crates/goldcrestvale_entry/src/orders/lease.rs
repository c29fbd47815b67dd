use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::Instance;
use goldcrestvale_ledger::{
    lease::{Event, Held, Lease, Manager, Settings},
    prefix::Prefix,
    record::{self, Draft, Sequence},
};
use goldcrestvale_platform::{Result, message::Page};
use log::debug;
use tokio::task::JoinSet;

use crate::{
    node::Node,
    records::{Cursor, PageRead, RETRY_DELAY, entry, views},
};

/// Name of the log stream of leases.
pub(super) const STREAM: &str = "leases";

/// Number of the lease stream, from which the identifiers of its records are derived.
const STREAM_NUMBER: u16 = u16::MAX;

/// The effect of an event on the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaseChange {
    /// No change.
    Unchanged,
    /// The lease was acquired.
    Acquired,
    /// The lease is no longer held.
    Lost,
}

/// Acquires and renews the lease for the orders of one failure domain.
pub(super) struct LeaseHolder {
    node: Arc<Node>,
    manager: Manager,
    name: String,
    read: PageRead,
    appends: JoinSet<bool>,
    cursor: Cursor,
    was_held: bool,
}

impl LeaseHolder {
    pub(super) fn start(node: Arc<Node>) -> Self {
        let settings = &node.settings;
        let name = format!("orders-{}", settings.instance.domain);
        let lease_settings = Settings {
            name: name.clone(),
            instance: settings.instance.name.clone(),
            length: settings.orders.lease,
            order_delay: settings.orders.delay,
        };
        let sequence = Sequence::new(node.incarnation, STREAM_NUMBER);
        let manager = Manager::new(lease_settings, Prefix::from_start(), sequence);
        let mut cursor = Cursor::new(STREAM);
        let read = cursor.read(&node, manager.fold().prefix(), true, Duration::ZERO);
        let appends = JoinSet::new();
        Self { node, manager, name, read, appends, cursor, was_held: false }
    }

    /// Waits for the next page or append and handles it.
    pub(super) async fn next(&mut self) -> LeaseChange {
        tokio::select! {
            page = &mut self.read => self.handle_page(page),
            Some(appended) = self.appends.join_next() => {
                let appended = appended.unwrap_or(false);
                self.handle(if appended { Event::Appended } else { Event::AppendLost });
            }
        }
        self.take_change()
    }

    /// Advances the manager to the current time.
    pub(super) fn tick(&mut self) {
        self.handle(Event::Tick);
    }

    /// Releases the lease.
    pub(super) fn release(&mut self) {
        self.handle(Event::Release);
    }

    pub(super) fn is_released(&self) -> bool {
        self.manager.is_released()
    }

    /// Returns the lease if it is held and has not expired.
    pub(super) fn held(&self) -> Option<&Lease<Held>> {
        let now = self.node.clock.now();
        self.manager.held().filter(|lease| lease.is_valid_for(now, Duration::ZERO))
    }

    /// Returns the instance that holds the lease according to the records read so far.
    pub(super) fn holder(&self) -> Option<&Instance> {
        self.manager.fold().get(&self.name).map(|current| &current.instance)
    }

    fn take_change(&mut self) -> LeaseChange {
        let held = self.manager.held().is_some();
        match (std::mem::replace(&mut self.was_held, held), held) {
            (false, true) => LeaseChange::Acquired,
            (true, false) => LeaseChange::Lost,
            _ => LeaseChange::Unchanged,
        }
    }

    fn handle_page(&mut self, page: Result<Page>) {
        let failed = page.is_err();
        match page {
            Ok(page) => {
                let records = views(&page.records);
                let page = record::Page { oldest: page.oldest, end: page.end, records: &records };
                self.handle(Event::Read(page));
            }
            Err(e) => debug!(error:% = e; "leases cannot be read"),
        }
        let delay = if failed { RETRY_DELAY } else { Duration::ZERO };
        let prefix = self.manager.fold().prefix();
        self.read = self.cursor.read(&self.node, prefix, failed, delay);
    }

    fn handle(&mut self, event: Event<'_>) {
        let now = self.node.clock.now();
        if let Some(draft) = self.manager.handle(event, now) {
            self.appends.spawn(append(self.node.clone(), draft));
        }
    }
}

/// Appends a record; returns whether the log acknowledged it.
async fn append(node: Arc<Node>, draft: Draft) -> bool {
    let Some(entry) = entry(draft) else {
        return false;
    };
    match node.log.append(STREAM, vec![entry]).await {
        Ok(_) => true,
        Err(e) => {
            debug!(error:% = e; "lease record not appended");
            tokio::time::sleep(RETRY_DELAY).await;
            false
        }
    }
}
