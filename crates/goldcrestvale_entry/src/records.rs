//! Records of the ledger in the platform log, as claims and leases read and write them.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use goldcrestvale_base::id::Offset;
use goldcrestvale_ledger::{prefix::Prefix, record};
use goldcrestvale_platform::{
    Error, Result,
    message::{Entry, Page, Record},
};
use serde_json::value::RawValue;

use crate::node::Node;

/// Pause after a failed read or append: a few of them fit in the time in which a lease lapses.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Most records asked for in one page.
const PAGE_RECORDS: usize = 2_000;

/// Reads between two checks that the last record is still in its place.
const CHECK_EVERY: u32 = 64;

/// A page that is being read.
pub(crate) type Read = Pin<Box<dyn Future<Output = Result<Page>> + Send>>;

/// Where a stream is read next.
#[derive(Debug)]
pub(crate) struct Cursor {
    stream: String,
    reads: u32,
}

impl Cursor {
    pub(crate) fn new(stream: impl Into<String>) -> Self {
        Self { stream: stream.into(), reads: 0 }
    }

    /// Starts to read on after a pause; at every so many reads, and if the stream is `doubted`, the
    /// last record again.
    pub(crate) fn read(
        &mut self,
        node: &Arc<Node>,
        prefix: &Prefix,
        doubted: bool,
        pause: Duration,
    ) -> Read {
        self.reads = if doubted { 0 } else { (self.reads + 1) % CHECK_EVERY };
        let (from, wait) = match self.reads {
            0 => (prefix.read_from(), Duration::ZERO),
            _ => (prefix.next(), node.settings.platform.poll),
        };
        let (node, stream) = (node.clone(), self.stream.clone());
        Box::pin(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            read(&node, &stream, from, wait).await
        })
    }
}

/// Reads a page; a trimmed start is a page without records.
async fn read(node: &Node, stream: &str, from: Offset, wait: Duration) -> Result<Page> {
    match node.log.read(stream, from, PAGE_RECORDS, wait).await {
        Err(Error::Trimmed { oldest, end, .. }) => Ok(Page { oldest, end, records: Vec::new() }),
        other => other,
    }
}

/// Returns a record of the ledger as the platform takes it.
pub(crate) fn entry(draft: record::Draft) -> Option<Entry> {
    let data = RawValue::from_string(draft.data).ok()?;
    Some(Entry { id: draft.id, data })
}

/// Returns the records of a page as the ledger sees them.
pub(crate) fn views(records: &[Record]) -> Vec<record::View<'_>> {
    records.iter().map(view).collect()
}

fn view(record: &Record) -> record::View<'_> {
    let Record { offset, id, written, data } = record;
    record::View { offset: *offset, id: *id, written: *written, data: data.get() }
}
