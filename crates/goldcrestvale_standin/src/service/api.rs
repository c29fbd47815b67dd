//! The HTTP interface of an instance of a plain service.

use std::{future::pending, time::Duration};

use bytes::Bytes;
use goldcrestvale_base::id::Digest;
use goldcrestvale_upstream::message::ServiceLoad;
use http::{HeaderMap, Method, StatusCode, request::Parts};
use hyper::{Request, Response, body::Incoming};

use super::{Answer, Counts, Faults, Service};
use crate::{
    fault::Switch,
    reply,
    server::{Body, Closed, Result, Server},
};

impl Server for Service {
    type Faults = Faults;
    type Counts = Counts;

    fn faults(&self) -> &Switch<Faults> {
        &self.faults
    }

    fn counts(&self) -> Counts {
        self.state().counts.clone()
    }

    fn leave(&self) {
        self.state().leaving = true;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>> {
        if request.method() == Method::GET && request.uri().path() == "/load" {
            return Ok(reply::json(StatusCode::OK, &self.load()));
        }
        if self.state().leaving {
            return Ok(self.refuse(StatusCode::SERVICE_UNAVAILABLE, "leaving"));
        }
        if self.faults.take(|faults| &mut faults.close_before) {
            return Err(Closed);
        }
        let _waiting = CountGuard::new(self, |state| &mut state.waiting);
        let slot = self.slots.acquire().await;
        drop(_waiting);
        let _running = CountGuard::new(self, |state| &mut state.running);
        let answer = self.process(request).await;
        drop(slot);
        answer
    }
}

impl Service {
    async fn process(&self, request: Request<Incoming>) -> Result<Response<Body>> {
        let (parts, body) = request.into_parts();
        let body = reply::read(body).await?;
        let text = self.faults.get().die_on;
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        if !text.is_empty()
            && (path.contains(&text) || String::from_utf8_lossy(&body).contains(&text))
        {
            self.faults.change(|faults| faults.die = true);
        }
        let faults = self.faults.get();
        if faults.hang || faults.die {
            pending::<()>().await;
        }
        let delay_ms = faults.delay_ms.max(number(&parts, "delay_ms"));
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if self.faults.take(|faults| &mut faults.fail) {
            return Ok(self.refuse(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
        }
        let answer = self.execute(&parts, &body);
        if faults.hang_after {
            pending::<()>().await;
        }
        if self.faults.take(|faults| &mut faults.close_after) {
            return Err(Closed);
        }
        if self.faults.take(|faults| &mut faults.fail_after) {
            return Ok(reply::text(StatusCode::INTERNAL_SERVER_ERROR, "failed after the effect"));
        }
        let large = number(&parts, "answer_bytes");
        if large > 0 {
            return Ok(reply::text(StatusCode::OK, "a".repeat(large as usize)));
        }
        let response = reply::json(StatusCode::OK, &answer);
        if self.faults.take(|faults| &mut faults.close_half) {
            let half = serde_json::to_vec(&answer).map_or(0, |body| body.len() / 2);
            return reply::cut(response, half).await;
        }
        if faults.slow_body_ms > 0 {
            return reply::slow(response, Duration::from_millis(faults.slow_body_ms)).await;
        }
        Ok(response)
    }

    /// Counts the effect of a request and returns the answer, which contains its number.
    fn execute(&self, parts: &Parts, body: &Bytes) -> Answer {
        let key = header(&parts.headers, "idempotency-key");
        let mut state = self.state();
        state.counts.effects += 1;
        if let Some(key) = &key {
            *state.counts.by_key.entry(key.clone()).or_default() += 1;
        }
        if let Some(request) = header(&parts.headers, "goldcrestvale-request") {
            *state.counts.by_request.entry(request).or_default() += 1;
        }
        Answer {
            service: self.settings.service.clone(),
            path: parts.uri.path_and_query().map_or_else(String::new, ToString::to_string),
            key,
            effect: state.counts.effects,
            digest: Digest::of(body),
        }
    }

    fn refuse(&self, status: StatusCode, line: &str) -> Response<Body> {
        self.state().counts.refusals += 1;
        reply::text(status, line)
    }

    fn load(&self) -> ServiceLoad {
        let (load, age_ms) = self.load.read(|| {
            let state = self.state();
            ServiceLoad {
                upstream: self.settings.name.clone(),
                incarnation: self.incarnation.clone(),
                running: state.running,
                waiting: state.waiting,
                age_ms: 0,
                leaving: state.leaving,
            }
        });
        ServiceLoad { age_ms, ..load }
    }
}

/// Counts a request until the guard is dropped, also when the caller disconnects.
struct CountGuard<'a> {
    service: &'a Service,
    field: fn(&mut super::State) -> &mut u32,
}

impl<'a> CountGuard<'a> {
    fn new(service: &'a Service, field: fn(&mut super::State) -> &mut u32) -> Self {
        *field(&mut service.state()) += 1;
        Self { service, field }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        *(self.field)(&mut self.service.state()) -= 1;
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Returns the value of a number in the query of a request, 0 without one.
fn number(parts: &Parts, name: &str) -> u64 {
    let query = parts.uri.query().unwrap_or_default();
    let value = |pair: &str| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
    query.split('&').find_map(value).unwrap_or(0)
}
