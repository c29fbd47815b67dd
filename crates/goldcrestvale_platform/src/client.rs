//! The HTTP client for all calls to the platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{ConnectSnafu, Error, LostSnafu, MalformedSnafu, RefusedSnafu, Result};

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Maximum time of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    timeout: Duration,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// An answer with a status that the caller handles: success or 410 Gone.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
    pub(crate) call: String,
}

impl Client {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new()).build(connector);
        Self { address, timeout, pool }
    }

    pub(crate) async fn get(&self, path: &str, extra_wait: Duration) -> Result<Answer> {
        self.call(Method::GET, path, Bytes::new(), extra_wait).await
    }

    pub(crate) async fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer> {
        let body = serde_json::to_vec(body).map_err(|e| Error::Malformed {
            call: format!("POST {path}"),
            detail: e.to_string(),
        })?;
        self.call(Method::POST, path, body.into(), Duration::ZERO).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        extra_wait: Duration,
    ) -> Result<Answer> {
        let call = format!("{method} {path}");
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| Error::Malformed { call: call.clone(), detail: e.to_string() })?;
        let exchange = self.exchange(request, &call);
        match tokio::time::timeout(self.timeout + extra_wait, exchange).await {
            Ok(answer) => answer,
            Err(_) => LostSnafu { address: self.address, call, detail: "timed out" }.fail(),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, call: &str) -> Result<Answer> {
        let address = self.address;
        let response = match self.pool.request(request).await {
            Ok(response) => response,
            Err(e) if e.is_connect() => {
                return ConnectSnafu { address, detail: error_chain(&e) }.fail();
            }
            Err(e) => return LostSnafu { address, call, detail: error_chain(&e) }.fail(),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|e| Error::Lost { address, call: call.into(), detail: e.to_string() })?
            .to_bytes();
        if status.is_success() || status == StatusCode::GONE {
            return Ok(Answer { status, body, call: call.into() });
        }
        RefusedSnafu { address, call, status: status.as_u16() }.fail()
    }
}

impl Answer {
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .or_else(|e| MalformedSnafu { call: self.call.clone(), detail: e.to_string() }.fail())
    }
}

/// Joins the text of an error and of its sources, which the transport's errors omit.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
