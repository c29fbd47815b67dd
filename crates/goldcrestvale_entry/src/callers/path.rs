//! Paths of the HTTP API for callers.

use goldcrestvale_base::id::Service;
use http::{Method, Uri};

use crate::refusal::{Cause, Refusal, Result};

/// A path of the API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Path {
    /// `POST /v1/completions`.
    Completions,
    /// `/services/{service}/{rest}` with any method.
    Service {
        /// The service.
        service: Service,
        /// The path and query for the service, starting with `/`.
        rest: String,
    },
}

impl Path {
    pub(super) fn parse(method: &Method, uri: &Uri) -> Result<Self> {
        let path = uri.path();
        if path == "/v1/completions" {
            if method != Method::POST {
                return Err(Refusal::unsent(Cause::Method, "drafts are asked for with POST"));
            }
            return Ok(Self::Completions);
        }
        let unknown = || Refusal::unsent(Cause::Unknown, format!("no such path: {path}"));
        let (service, rest) = path
            .strip_prefix("/services/")
            .map(|path| path.split_once('/').unwrap_or((path, "")))
            .ok_or_else(unknown)?;
        let service =
            service.parse().map_err(|e| Refusal::unsent(Cause::Unknown, format!("{e}")))?;
        let mut rest = format!("/{rest}");
        if let Some(query) = uri.query() {
            rest.push('?');
            rest.push_str(query);
        }
        Ok(Self::Service { service, rest })
    }
}
