//! A reader that follows one stream of the platform log from an offset on.

use std::time::Duration;

use goldcrestvale_base::id::Offset;

use crate::{
    error::{MalformedSnafu, Result},
    log::Log,
    message::{Page, Record},
};

/// Maximum number of records requested in one page.
const PAGE_RECORDS: usize = 1_000;

/// A reader of one stream, which keeps its position after failures.
///
/// Records below the position are dropped, so an old page that is delivered again has no effect. A
/// page that skips an offset is truncated before the gap.
#[derive(Clone, Debug)]
pub struct Reader {
    log: Log,
    stream: String,
    next: Offset,
    end: Offset,
    regressions: u64,
}

impl Reader {
    /// Creates a reader that starts at an offset.
    pub fn new(log: Log, stream: &str, from: Offset) -> Self {
        Self { log, stream: stream.to_owned(), next: from, end: Offset(0), regressions: 0 }
    }

    /// Returns the offset that the next record must have.
    pub fn position(&self) -> Offset {
        self.next
    }

    /// Returns the highest end of the stream that the platform has reported.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Returns the number of pages that reported a lower end than one already seen.
    pub fn regressions(&self) -> u64 {
        self.regressions
    }

    /// Moves the reader, for example to the oldest retained record after a trim.
    pub fn seek(&mut self, offset: Offset) {
        self.next = offset;
    }

    /// Reads the next records, waiting up to `wait` for the first; the result may be empty.
    ///
    /// # Errors
    ///
    /// Fails as [`Log::read`] does, and with [`Error::Malformed`](crate::Error::Malformed) if an old
    /// page lacks records that the platform has announced; the reader keeps its position, so the call
    /// can be retried.
    pub async fn read(&mut self, wait: Duration) -> Result<Vec<Record>> {
        let page = self.log.read(&self.stream, self.next, PAGE_RECORDS, wait).await?;
        let end = page.end;
        let records = self.accept(page);
        if records.is_empty() && self.next < self.end {
            let call = format!("a read of stream {} from {}", self.stream, self.next);
            let detail = format!("it ends at {end}, the stream at {} or later", self.end);
            return MalformedSnafu { call, detail }.fail();
        }
        Ok(records)
    }

    /// Returns the records of a page that follow the position without a gap, and advances it.
    fn accept(&mut self, page: Page) -> Vec<Record> {
        if page.end < self.end {
            self.regressions += 1;
        }
        self.end = self.end.max(page.end);
        let mut accepted = Vec::with_capacity(page.records.len());
        for record in page.records {
            if record.offset == self.next {
                self.next = self.next.next();
                accepted.push(record);
            }
        }
        accepted
    }
}
