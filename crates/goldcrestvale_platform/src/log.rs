//! The client for the streams of the platform log.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::id::Offset;
use http::StatusCode;

use crate::{
    client::Client,
    error::{MalformedSnafu, Result, TrimmedSnafu},
    message::{Append, Appended, Entry, Page},
};

/// A client for the platform log.
///
/// # Examples
///
/// ```no_run
/// use std::time::Duration;
///
/// use goldcrestvale_base::id::Offset;
/// use goldcrestvale_platform::log::Log;
///
/// # async fn run() -> goldcrestvale_platform::Result<()> {
/// let log = Log::new("127.0.0.1:7000".parse().expect("an address"), Duration::from_secs(1));
/// let page = log.read("config", Offset(0), 100, Duration::ZERO).await?;
/// assert!(page.records.len() <= 100);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Log {
    client: Client,
}

impl Log {
    /// Creates a client. `timeout` limits each call, in addition to the wait time of a read.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address, timeout) }
    }

    /// Appends records together, in order.
    ///
    /// # Errors
    ///
    /// [`Error::may_have_appended`](crate::Error::may_have_appended) returns whether the records may
    /// be in the log despite the error; the append must then be retried with the same record ids.
    pub async fn append(&self, stream: &str, records: Vec<Entry>) -> Result<Appended> {
        let path = format!("/streams/{stream}/records");
        self.client.post(&path, &Append { records }).await?.decode()
    }

    /// Reads records from an offset on, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Trimmed`](crate::Error::Trimmed) if the stream no longer retains the
    /// offset, with [`Error::Malformed`](crate::Error::Malformed) if the page lacks the record at the
    /// offset although the stream holds it, and otherwise if the transport fails.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Page> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let answer = self.client.get(&path, wait).await?;
        let page: Page = answer.decode()?;
        if answer.status == StatusCode::GONE && page.oldest <= from {
            let detail = format!("record {from} is gone, but {} is the oldest", page.oldest);
            return MalformedSnafu { call: answer.call, detail }.fail();
        }
        if answer.status == StatusCode::GONE {
            return TrimmedSnafu { stream, requested: from, oldest: page.oldest, end: page.end }
                .fail();
        }
        let has_record = page.records.iter().any(|record| record.offset == from);
        if !has_record && from < page.end && page.oldest <= from {
            let detail = format!("it ends at {} and holds no record {from}", page.end);
            return MalformedSnafu { call: answer.call, detail }.fail();
        }
        Ok(page)
    }
}
