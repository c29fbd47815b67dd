//! Building blocks of answers.

use bytes::Bytes;
use http::{StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};

use crate::server::{Body, Closed, MAX_BODY_BYTES};

/// Answers with bytes of a given media type.
pub(crate) fn bytes(status: StatusCode, media: &'static str, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, http::HeaderValue::from_static(media));
    response
}

/// Answers with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(body) => bytes(status, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Answers with a line of text.
pub(crate) fn text(status: StatusCode, line: impl Into<String>) -> Response<Body> {
    bytes(status, "text/plain", line.into().into())
}

/// Reads a whole request body.
///
/// # Errors
///
/// Fails when the caller goes away or sends more than [`MAX_BODY_BYTES`].
pub(crate) async fn read(body: Incoming) -> Result<Bytes, Closed> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| Closed)?;
    Ok(body.to_bytes())
}

/// Reads a whole request body as JSON; the inner error says what is malformed.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Result<T, String>, Closed> {
    let body = read(request.into_body()).await?;
    Ok(serde_json::from_slice(&body).map_err(|error| error.to_string()))
}

/// Reads one number of a query string.
pub(crate) fn number(query: Option<&str>, name: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}
