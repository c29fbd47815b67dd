//! Following one stream of the platform log from an offset on.

use std::time::Duration;

use goldcrestvale_base::id::Offset;

use crate::{
    error::Result,
    log::Log,
    message::{Page, Record},
};

/// Most records asked for in one page.
const PAGE_RECORDS: usize = 1_000;

/// A reader of one stream, which keeps its place over failures.
///
/// Records below the reader's place are dropped, so an old page that is delivered again changes
/// nothing, and a page that skips an offset is cut before the gap.
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

    /// Returns how many pages claimed an end lower than one already seen.
    pub fn regressions(&self) -> u64 {
        self.regressions
    }

    /// Moves the reader, for example to the oldest kept record after a trim.
    pub fn seek(&mut self, offset: Offset) {
        self.next = offset;
    }

    /// Reads the next records, waiting up to `wait` for the first; may return none.
    ///
    /// # Errors
    ///
    /// Fails as [`Log::read`] does; the reader keeps its place and may be asked again.
    pub async fn read(&mut self, wait: Duration) -> Result<Vec<Record>> {
        let page = self.log.read(&self.stream, self.next, PAGE_RECORDS, wait).await?;
        Ok(self.take(page))
    }

    /// Takes the records of a page that follow the reader's place without a gap.
    fn take(&mut self, page: Page) -> Vec<Record> {
        if page.end < self.end {
            self.regressions += 1;
        }
        self.end = self.end.max(page.end);
        let mut taken = Vec::with_capacity(page.records.len());
        for record in page.records {
            if record.offset == self.next {
                self.next = self.next.next();
                taken.push(record);
            }
        }
        taken
    }
}
