use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::Offset;
use goldcrestvale_ledger::{batch::Batch, record};
use goldcrestvale_platform::{
    Error, Result,
    message::{Entry, Page, Record},
};
use serde_json::value::RawValue;

use crate::node::Node;

/// Most records asked for in one page.
const PAGE_RECORDS: usize = 2_000;

/// What became of an append.
#[derive(Debug)]
pub(super) struct Appended {
    pub(super) number: u64,
    pub(super) result: Result<()>,
}

/// Appends records together.
pub(super) async fn append(node: Arc<Node>, stream: String, batch: Batch) -> Appended {
    let records = batch.records.into_iter().filter_map(entry).collect();
    let result = node.log.append(&stream, records).await.map(|_| ());
    Appended { number: batch.number, result }
}

/// Returns a record of the ledger as the platform takes it.
pub(crate) fn entry(draft: record::Draft) -> Option<Entry> {
    let data = RawValue::from_string(draft.data).ok()?;
    Some(Entry { id: draft.id, data })
}

/// Reads a page; a trimmed start is a page without records.
pub(crate) async fn read(
    node: Arc<Node>,
    stream: String,
    from: Offset,
    wait: Duration,
) -> Result<Page> {
    match node.log.read(&stream, from, PAGE_RECORDS, wait).await {
        Err(Error::Trimmed { oldest, end, .. }) => Ok(Page { oldest, end, records: Vec::new() }),
        other => other,
    }
}

/// Returns the records of a page as the ledger sees them.
pub(crate) fn views(records: &[Record]) -> Vec<record::View<'_>> {
    records.iter().map(view).collect()
}

fn view(record: &Record) -> record::View<'_> {
    let Record { offset, id, written, data } = record;
    record::View { offset: *offset, id: *id, written: *written, data: data.get() }
}
