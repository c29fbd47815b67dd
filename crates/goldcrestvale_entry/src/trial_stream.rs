//! The log of trials as a stream of the platform log.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::Offset;
use goldcrestvale_platform::message::Entry;
use goldcrestvale_route::trials::Record;
use opentelemetry::KeyValue;

use crate::{
    clock::Clock,
    crash_watch::CrashWatch,
    daemon::{Builder, Part},
    node::Node,
    phase::Prerequisite,
    trial_log::{self, Error, Host, List, Page, Position, Result},
};

/// The name of the stream.
const STREAM: &str = "trials";

/// Maximum number of records requested in one page.
const PAGE_RECORDS: usize = 1_000;

/// The tasks that follow the stream and append to it.
#[derive(Debug, Clone, Copy)]
pub struct TrialStream;

impl Part for TrialStream {
    fn register(self, builder: &mut Builder) {
        let (node, stop) = (builder.node().clone(), builder.stop());
        builder.insert_task(trial_log::follow(node.clone(), stop.clone()));
        builder.insert_task(trial_log::write(node, stop));
    }
}

impl Host for Node {
    fn watch(&self) -> &Arc<CrashWatch> {
        &self.crash_watch
    }

    fn position(&self) -> &Position {
        &self.trial_log
    }

    fn clock(&self) -> Clock {
        self.clock
    }

    /// The platform removes old records of the stream.
    fn cleans(&self) -> bool {
        false
    }

    fn count_failure(&self) {
        self.metrics.platform_failures.add(1, &[KeyValue::new("call", "read-trials")]);
    }

    fn set_tried(&self) {
        self.lifecycle.satisfy(Prerequisite::Trials);
    }

    async fn list(&self) -> Result<List> {
        let (mut records, mut next) = (Vec::new(), Offset(0));
        loop {
            match read(self, next, Duration::ZERO).await {
                Ok((page, end)) => {
                    records.extend(page.records);
                    next = page.next;
                    if next >= end {
                        return Ok(List { page: Page { records, next }, is_partial: false });
                    }
                }
                Err(goldcrestvale_platform::Error::Trimmed { oldest, .. }) => next = oldest,
                Err(e) => return Err(error(&e)),
            }
        }
    }

    async fn tail(&self, from: Offset, wait: Duration) -> Result<Page> {
        read(self, from, wait).await.map(|(page, _)| page).map_err(|e| error(&e))
    }

    async fn append(&self, records: &[Record]) -> Result<()> {
        let entry = |record| {
            let data = serde_json::value::to_raw_value(record)?;
            Ok(Entry { id: self.next_record_id(), data })
        };
        let entries: serde_json::Result<Vec<Entry>> = records.iter().map(entry).collect();
        let entries = entries.map_err(|e| Error::Failed(e.to_string()))?;
        self.log.append(STREAM, entries).await.map(drop).map_err(|e| error(&e))
    }
}

/// Reads a page, and the end of the stream.
async fn read(
    node: &Node,
    from: Offset,
    wait: Duration,
) -> goldcrestvale_platform::Result<(Page, Offset)> {
    let page = node.log.read(STREAM, from, PAGE_RECORDS, wait).await?;
    // An old page may be delivered again.
    let next = page.records.last().map_or(from, |record| record.offset.next()).max(from);
    let decode = |record: &goldcrestvale_platform::message::Record| {
        let decoded = serde_json::from_str(record.data.get());
        decoded
            .inspect_err(
                |e| log::warn!(offset = record.offset.0, error:% = e; "trial is not valid"),
            )
            .ok()
    };
    let records = page.records.iter().filter_map(decode).collect();
    Ok((Page { records, next }, page.end))
}

fn error(error: &goldcrestvale_platform::Error) -> Error {
    match error {
        goldcrestvale_platform::Error::Trimmed { .. } => Error::Trimmed,
        error => Error::Failed(error.to_string()),
    }
}
