//! The HTTP interface of the platform.

use std::time::Duration;

use goldcrestvale_base::id::Offset;
use goldcrestvale_platform::message::{Append, Appended, Listed};
use http::{HeaderValue, Method, StatusCode, header};
use hyper::{Request, Response, body::Incoming};
use tokio::time::Instant;

use super::{Counts, Faults, Platform, State, wall_now};
use crate::{
    fault::Switch,
    reply,
    server::{Body, Closed, Result, Server},
};

/// Maximum number of records on one page.
const MAX_PAGE_RECORDS: u64 = 10_000;
/// Maximum time that a read waits for new records.
const MAX_WAIT: Duration = Duration::from_secs(60);

impl Server for Platform {
    type Faults = Faults;
    type Counts = Counts;

    fn faults(&self) -> &Switch<Faults> {
        &self.faults
    }

    fn counts(&self) -> Counts {
        self.state().counts.clone()
    }

    /// Ends the waits of reads, which would otherwise delay a stop.
    fn leave(&self) {
        self.leaving.send_replace(true);
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>> {
        let faults = self.faults.get();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let append = request.method() == Method::POST;
        if faults.down || (append && faults.down_appends) {
            return Ok(reply::text(StatusCode::SERVICE_UNAVAILABLE, "the platform is down"));
        }
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => self.append(stream, request).await,
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, request).await,
            (&Method::POST, ["streams", stream, "trim"]) => {
                let below = reply::number(request.uri().query(), "below").unwrap_or(u64::MAX);
                self.trim(stream, Offset(below));
                Ok(reply::text(StatusCode::OK, "trimmed"))
            }
            (&Method::GET, ["instances"]) => Ok(reply::json(StatusCode::OK, &self.listing())),
            (&Method::PUT, ["instances"]) => match reply::read_json(request).await? {
                Ok(instances) => {
                    self.set_list(instances);
                    Ok(reply::text(StatusCode::OK, "set"))
                }
                Err(error) => Ok(reply::text(StatusCode::BAD_REQUEST, error)),
            },
            (&Method::POST, ["instances"]) => match reply::read_json::<Listed>(request).await? {
                Ok(listed) => {
                    self.upsert(listed);
                    Ok(reply::text(StatusCode::OK, "set"))
                }
                Err(error) => Ok(reply::text(StatusCode::BAD_REQUEST, error)),
            },
            _ => Ok(reply::text(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl Platform {
    async fn append(&self, stream: &str, request: Request<Incoming>) -> Result<Response<Body>> {
        let body = reply::read(request.into_body()).await?;
        let append: Append = match serde_json::from_slice(&body) {
            Ok(append) => append,
            Err(error) => return Ok(reply::text(StatusCode::BAD_REQUEST, error.to_string())),
        };
        if self.faults.take(|faults| &mut faults.lose_appends) {
            return Err(Closed);
        }
        let Some(appended) = self.write(stream, append, body.len()) else {
            let mut refusal = reply::text(StatusCode::TOO_MANY_REQUESTS, "append rate exceeded");
            refusal.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
            return Ok(refusal);
        };
        if self.faults.take(|faults| &mut faults.lose_answers) {
            self.state().counts.lost += 1;
            return Err(Closed);
        }
        let late_ms = self.faults.get().late_ms;
        if late_ms > 0 {
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
        }
        Ok(reply::json(StatusCode::OK, &appended))
    }

    /// Appends records to a stream, or returns `None` when the rate limit is reached.
    fn write(&self, stream: &str, append: Append, bytes: usize) -> Option<Appended> {
        let mut state = self.state();
        let now = Instant::now();
        if !state.admit(now, self.settings.appends_per_second) {
            state.counts.limited += 1;
            return None;
        }
        state.counts.appends += 1;
        state.counts.records += append.records.len() as u64;
        state.counts.append_bytes += bytes as u64;
        let max_age = Duration::from_millis(self.settings.retention_ms);
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let appended = stream.append(now, wall_now(), append);
        stream.expire(now, max_age, self.settings.retention_records);
        Some(appended)
    }

    async fn read(&self, stream: &str, request: Request<Incoming>) -> Result<Response<Body>> {
        let query = request.uri().query();
        let from = Offset(reply::number(query, "from").unwrap_or(0));
        let max = reply::number(query, "max").unwrap_or(1_000).min(MAX_PAGE_RECORDS);
        let wait = Duration::from_millis(reply::number(query, "wait_ms").unwrap_or(0));
        if self.faults.take(|faults| &mut faults.repeat_pages) {
            let last = self.state().streams.get(stream).and_then(|stream| stream.last.clone());
            if let Some(page) = last {
                return Ok(reply::json(StatusCode::OK, &page));
            }
        }
        let mut end = {
            let mut state = self.state();
            state.counts.waits += u64::from(!wait.is_zero());
            state.streams.entry(stream.to_owned()).or_default().watch()
        };
        let mut leaving = self.leaving.subscribe();
        tokio::select! {
            _ = end.wait_for(|end| *end > from.0) => {}
            _ = leaving.wait_for(|leaving| *leaving) => {}
            () = tokio::time::sleep(wait.min(MAX_WAIT)) => {}
        }
        let mut state = self.state();
        state.counts.reads += 1;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let max_age = Duration::from_millis(self.settings.retention_ms);
        stream.expire(Instant::now(), max_age, self.settings.retention_records);
        match stream.page(from, usize::try_from(max).unwrap_or(usize::MAX)) {
            Some(page) => {
                if !page.records.is_empty() {
                    stream.last = Some(page.clone());
                }
                Ok(reply::json(StatusCode::OK, &page))
            }
            None => Ok(reply::json(StatusCode::GONE, &stream.empty_page())),
        }
    }
}

impl State {
    /// Counts an append against the rate limit and returns whether it is accepted.
    fn admit(&mut self, now: Instant, limit: u32) -> bool {
        let is_current = |(start, _): &(Instant, u32)| {
            now.saturating_duration_since(*start) < Duration::from_secs(1)
        };
        let (start, count) = self.rate_window.filter(is_current).unwrap_or((now, 0));
        if count >= limit {
            return false;
        }
        self.rate_window = Some((start, count + 1));
        true
    }
}
