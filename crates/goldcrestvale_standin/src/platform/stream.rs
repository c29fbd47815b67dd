//! One stream of the log.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::{id::Offset, time::Wall};
use goldcrestvale_platform::message::{Append, Appended, Page, Record};
use tokio::{sync::watch, time::Instant};

/// One stream of the log.
#[derive(Debug)]
pub(super) struct Stream {
    oldest: u64,
    records: VecDeque<(Instant, Record)>,
    end: watch::Sender<u64>,
    /// The last page returned, kept for the fault that returns it again.
    pub(super) last: Option<Page>,
}

impl Default for Stream {
    fn default() -> Self {
        Self { oldest: 0, records: VecDeque::new(), end: watch::Sender::new(0), last: None }
    }
}

impl Stream {
    /// Returns the offset that the next record will have.
    pub(super) fn end(&self) -> Offset {
        Offset(self.oldest + self.records.len() as u64)
    }

    /// Returns a watch of the offset of the next record.
    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.end.subscribe()
    }

    /// Appends records in order.
    pub(super) fn append(&mut self, now: Instant, written: Wall, append: Append) -> Appended {
        let first = self.end();
        for entry in append.records {
            let record = Record { offset: self.end(), id: entry.id, written, data: entry.data };
            self.records.push_back((now, record));
        }
        let next = self.end();
        self.end.send_replace(next.0);
        Appended { first, next }
    }

    /// Drops the records below an offset.
    pub(super) fn trim(&mut self, below: Offset) {
        while self.oldest < below.0 && self.records.pop_front().is_some() {
            self.oldest += 1;
        }
    }

    /// Drops records older than the maximum age, and the oldest ones above the maximum count.
    pub(super) fn expire(&mut self, now: Instant, max_age: Duration, max_count: usize) {
        let expired =
            |(appended, _): &(Instant, Record)| now.saturating_duration_since(*appended) > max_age;
        while self.records.len() > max_count || self.records.front().is_some_and(expired) {
            self.records.pop_front();
            self.oldest += 1;
        }
    }

    /// Returns the page that starts at an offset, or `None` if that offset was dropped.
    pub(super) fn page(&self, from: Offset, max: usize) -> Option<Page> {
        let skip = usize::try_from(from.0.checked_sub(self.oldest)?).ok()?;
        let records = self.records.iter().skip(skip).take(max);
        let records = records.map(|(_, record)| record.clone()).collect();
        Some(Page { oldest: Offset(self.oldest), end: self.end(), records })
    }

    /// Returns a page without records.
    pub(super) fn empty_page(&self) -> Page {
        Page { oldest: Offset(self.oldest), end: self.end(), records: Vec::new() }
    }
}
