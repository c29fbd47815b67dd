//! Reading and writing of ledger records in the platform log, shared by claims and leases.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use goldcrestvale_base::id::Offset;
use goldcrestvale_ledger::{prefix::Prefix, record};
use goldcrestvale_platform::{
    Error, Result,
    message::{Entry, Page, Record},
};
use serde_json::value::RawValue;

use crate::node::Node;

/// Delay after a failed read or append; short enough for several retries before a lease expires.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of records requested in one page.
const MAX_PAGE_RECORDS: usize = 2_000;

/// Number of reads between two checks that the last record read is still at its offset.
const READS_PER_CHECK: u32 = 64;

/// A pending read of a page.
pub(crate) type PageRead = Pin<Box<dyn Future<Output = Result<Page>> + Send>>;

/// The read position of a stream.
#[derive(Debug)]
pub(crate) struct Cursor {
    stream: String,
    reads: u32,
}

impl Cursor {
    pub(crate) fn new(stream: impl Into<String>) -> Self {
        Self { stream: stream.into(), reads: 0 }
    }

    /// Starts to read the next page after `delay`; every `READS_PER_CHECK` reads, and if the stream
    /// is `suspect`, starts at the last record again to check it.
    pub(crate) fn read(
        &mut self,
        node: &Arc<Node>,
        prefix: &Prefix,
        suspect: bool,
        delay: Duration,
    ) -> PageRead {
        self.reads = if suspect { 0 } else { (self.reads + 1) % READS_PER_CHECK };
        let (from, wait) = match self.reads {
            0 => (prefix.read_from(), Duration::ZERO),
            _ => (prefix.next(), node.settings.platform.poll),
        };
        let (node, stream) = (node.clone(), self.stream.clone());
        Box::pin(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            read(&node, &stream, from, wait).await
        })
    }
}

/// Reads a page; returns an empty page if the records at `from` were trimmed.
async fn read(node: &Node, stream: &str, from: Offset, wait: Duration) -> Result<Page> {
    match node.log.read(stream, from, MAX_PAGE_RECORDS, wait).await {
        Err(Error::Trimmed { oldest, end, .. }) => Ok(Page { oldest, end, records: Vec::new() }),
        other => other,
    }
}

/// Converts a record of the ledger to an entry of the platform log.
pub(crate) fn entry(draft: record::Draft) -> Option<Entry> {
    let data = RawValue::from_string(draft.data).ok()?;
    Some(Entry { id: draft.id, data })
}

/// Converts the records of a page to views for the ledger.
pub(crate) fn views(records: &[Record]) -> Vec<record::View<'_>> {
    records.iter().map(view).collect()
}

fn view(record: &Record) -> record::View<'_> {
    let Record { offset, id, written, data } = record;
    record::View { offset: *offset, id: *id, written: *written, data: data.get() }
}
