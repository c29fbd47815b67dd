//! The operators' interface: probes, metrics, state dump, drain and configuration.

pub mod config;
mod probe;

use std::{fmt, sync::Arc};

use bytes::Bytes;
use goldcrestvale_base::id::{Digest, Request as RequestId};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use subtle::ConstantTimeEq;
use uuid::Uuid;

use crate::{
    body::{self, Body},
    daemon::Dump,
    node::Node,
    refusal::{Cause, Refusal, Result},
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The HTTP API for operators.
#[derive(Clone)]
pub struct Api {
    node: Arc<Node>,
    dump: Arc<Dump>,
}

impl fmt::Debug for Api {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Api").field("dump", &self.dump).finish_non_exhaustive()
    }
}

impl Api {
    /// Creates the API of an instance.
    pub fn new(node: Arc<Node>, dump: Arc<Dump>) -> Self {
        Self { node, dump }
    }

    /// Serves one request.
    pub async fn serve(self, request: Request<Incoming>) -> Response<Body> {
        let id = RequestId(Uuid::now_v7());
        match self.route(request).await {
            Ok(response) => response,
            Err(refusal) => refusal.respond(id),
        }
    }

    async fn route(self, request: Request<Incoming>) -> Result<Response<Body>> {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["live"]) => return Ok(probe::live()),
            (&Method::GET, ["ready"]) => return Ok(probe::ready(&self.node)),
            _ => self.check_token(&request)?,
        }
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["metrics"]) => probe::metrics(&self.node),
            (&Method::GET, ["dump"]) => Ok(json(StatusCode::OK, &self.dump.collect())),
            (&Method::POST, ["drain"]) => Ok(probe::drain(&self.node)),
            (&Method::POST, ["drain", upstream]) => {
                probe::drain_upstream(&self.node, upstream).await
            }
            (_, ["config", rest @ ..]) => {
                let rest: Vec<String> = rest.iter().map(|&s| s.to_owned()).collect();
                config::serve(&self.node, &rest, request).await
            }
            _ => Err(Refusal::unsent(Cause::Unknown, format!("no such path: {path}"))),
        }
    }

    fn check_token(&self, request: &Request<Incoming>) -> Result<()> {
        let Some(token) = &self.node.settings.operators.token else {
            return Ok(());
        };
        let presented = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        // Digests have the same length, so the comparison does not reveal the token's.
        let digest = Digest::of(presented.as_bytes());
        if bool::from(digest.0.ct_eq(&Digest::of(token.as_bytes()).0)) {
            return Ok(());
        }
        Err(Refusal::unsent(Cause::Credential, "the operator's token is wrong"))
    }
}

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(body::full(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
