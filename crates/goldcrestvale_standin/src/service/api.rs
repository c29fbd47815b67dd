//! The HTTP interface of an instance of a plain service.

use std::time::Duration;

use goldcrestvale_base::id::Digest;
use goldcrestvale_upstream::message::ServiceLoad;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, body::Incoming};
use tokio::sync::watch;

use super::{Answer, Counts, Faults, Service};
use crate::{
    reply,
    server::{Body, Closed, Result, Site},
};

impl Site for Service {
    type Faults = Faults;
    type Counts = Counts;

    fn faults(&self) -> &watch::Sender<Faults> {
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
        if self.take(|faults| &mut faults.close_before) {
            return Err(Closed);
        }
        self.state().running += 1;
        let answer = self.act(request).await;
        self.state().running -= 1;
        answer
    }
}

impl Service {
    async fn act(&self, request: Request<Incoming>) -> Result<Response<Body>> {
        let (parts, body) = request.into_parts();
        let body = reply::read(body).await?;
        let faults = self.faults.borrow().clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.state().leaving {
            self.state().counts.refusals += 1;
            return Ok(reply::text(StatusCode::SERVICE_UNAVAILABLE, "leaving"));
        }
        if self.take(|faults| &mut faults.fail) {
            self.state().counts.refusals += 1;
            return Ok(reply::text(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
        }
        let effect = self.effect(&parts.headers);
        if self.take(|faults| &mut faults.close_after) {
            return Err(Closed);
        }
        let answer = Answer {
            service: self.settings.service.clone(),
            path: parts.uri.path_and_query().map_or_else(String::new, ToString::to_string),
            key: header(&parts.headers, "idempotency-key"),
            effect,
            digest: Digest::of(&body),
        };
        let mut response = reply::json(StatusCode::OK, &answer);
        if self.take(|faults| &mut faults.close_half) {
            let length = serde_json::to_vec(&answer).map_or(0, |bytes| bytes.len());
            response.headers_mut().insert(http::header::CONTENT_LENGTH, length.into());
            let whole = serde_json::to_vec(&answer).unwrap_or_default();
            let half = bytes::Bytes::copy_from_slice(&whole[..whole.len() / 2]);
            let frames = [Ok(hyper::body::Frame::data(half)), Err(Closed)];
            *response.body_mut() =
                StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync();
        }
        Ok(response)
    }

    fn effect(&self, headers: &HeaderMap) -> u64 {
        let mut state = self.state();
        state.counts.effects += 1;
        if let Some(key) = header(headers, "idempotency-key") {
            *state.counts.by_key.entry(key).or_default() += 1;
        }
        if let Some(request) = header(headers, "goldcrestvale-request") {
            *state.counts.by_request.entry(request).or_default() += 1;
        }
        state.counts.effects
    }

    fn load(&self) -> ServiceLoad {
        let state = self.state();
        ServiceLoad {
            upstream: self.settings.name.clone(),
            incarnation: self.incarnation.clone(),
            running: state.running,
            waiting: 0,
            age_ms: 0,
            leaving: state.leaving,
        }
    }

    /// Takes one from a counted fault, and returns whether there was one to take.
    fn take(&self, count: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut taken = false;
        self.faults.send_if_modified(|faults| {
            let count = count(faults);
            taken = *count > 0;
            *count = count.saturating_sub(1);
            taken
        });
        taken
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
