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

/// Name of the stream of leases.
pub(super) const STREAM: &str = "leases";

/// Number of the range of record identities of the stream of leases.
const SEQUENCE: u16 = u16::MAX;

/// What an event changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing.
    Same,
    /// The lease is held from now on.
    Held,
    /// The lease is not held any more.
    Lost,
}

/// Keeps the lease of the orders of one failure domain.
pub(super) struct Tenure {
    node: Arc<Node>,
    keeper: Manager,
    name: String,
    read: PageRead,
    appends: JoinSet<bool>,
    cursor: Cursor,
    was_held: bool,
}

impl Tenure {
    pub(super) fn start(node: Arc<Node>) -> Self {
        let settings = &node.settings;
        let name = format!("orders-{}", settings.instance.domain);
        let duty = Settings {
            name: name.clone(),
            instance: settings.instance.name.clone(),
            length: settings.orders.lease,
            order_delay: settings.orders.delay,
        };
        let sequence = Sequence::new(node.incarnation, SEQUENCE);
        let keeper = Manager::new(duty, Prefix::from_start(), sequence);
        let mut cursor = Cursor::new(STREAM);
        let read = cursor.read(&node, keeper.fold().prefix(), true, Duration::ZERO);
        let appends = JoinSet::new();
        Self { node, keeper, name, read, appends, cursor, was_held: false }
    }

    /// Waits for the next page or append and takes it.
    pub(super) async fn next(&mut self) -> Change {
        tokio::select! {
            page = &mut self.read => self.take_page(page),
            Some(appended) = self.appends.join_next() => {
                let appended = appended.unwrap_or(false);
                self.handle(if appended { Event::Appended } else { Event::AppendLost });
            }
        }
        self.take_change()
    }

    /// Lets time pass.
    pub(super) fn tick(&mut self) {
        self.handle(Event::Tick);
    }

    /// Gives the lease back.
    pub(super) fn release(&mut self) {
        self.handle(Event::Release);
    }

    pub(super) fn is_released(&self) -> bool {
        self.keeper.is_released()
    }

    /// Returns the lease while it is held and has not lapsed.
    pub(super) fn held(&self) -> Option<&Lease<Held>> {
        let now = self.node.clock.now();
        self.keeper.held().filter(|lease| lease.is_valid_for(now, Duration::ZERO))
    }

    /// Returns the instance that holds the lease, as far as the log was read.
    pub(super) fn holder(&self) -> Option<&Instance> {
        self.keeper.fold().get(&self.name).map(|current| &current.instance)
    }

    fn take_change(&mut self) -> Change {
        let held = self.keeper.held().is_some();
        match (std::mem::replace(&mut self.was_held, held), held) {
            (false, true) => Change::Held,
            (true, false) => Change::Lost,
            _ => Change::Same,
        }
    }

    fn take_page(&mut self, page: Result<Page>) {
        let failed = page.is_err();
        match page {
            Ok(page) => {
                let records = views(&page.records);
                let page = record::Page { oldest: page.oldest, end: page.end, records: &records };
                self.handle(Event::Read(page));
            }
            Err(e) => debug!(error:% = e; "leases cannot be read"),
        }
        let pause = if failed { RETRY_DELAY } else { Duration::ZERO };
        let prefix = self.keeper.fold().prefix();
        self.read = self.cursor.read(&self.node, prefix, failed, pause);
    }

    fn handle(&mut self, event: Event<'_>) {
        let now = self.node.clock.now();
        if let Some(draft) = self.keeper.handle(event, now) {
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
