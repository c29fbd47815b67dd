//! Helpers that read requests and build answers.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, stream};
use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::server::{Body, Closed, MAX_BODY_BYTES, Result};

/// Number of chunks in which a slow body is sent.
const SLOW_BODY_CHUNKS: usize = 8;

/// Creates an answer with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(body) => complete(status, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates an answer with a line of text.
pub(crate) fn text(status: StatusCode, line: impl Into<String>) -> Response<Body> {
    complete(status, "text/plain", line.into().into())
}

fn complete(status: StatusCode, media_type: &'static str, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}

/// Announces the full length of an answer, but ends its body after `keep` bytes.
pub(crate) async fn cut(response: Response<Body>, keep: usize) -> Result<Response<Body>> {
    let (mut response, body) = with_content_length(response).await?;
    let kept = body.slice(..keep.min(body.len()));
    let chunks = stream::unfold(Some(kept), |kept| async move {
        match kept {
            Some(kept) => Some((Ok(Frame::data(kept)), None)),
            None => {
                // Lets the server send the data before it receives the error.
                tokio::task::yield_now().await;
                Some((Err(Closed), None))
            }
        }
    });
    *response.body_mut() = boxed(chunks);
    Ok(response)
}

/// Sends the body of an answer in chunks, with a delay before each.
pub(crate) async fn slow(response: Response<Body>, delay: Duration) -> Result<Response<Body>> {
    let (mut response, body) = with_content_length(response).await?;
    let size = body.len().div_ceil(SLOW_BODY_CHUNKS).max(1);
    let chunks = stream::unfold(body, move |mut body| async move {
        if body.is_empty() {
            return None;
        }
        tokio::time::sleep(delay).await;
        let chunk = body.split_to(size.min(body.len()));
        Some((Ok(Frame::data(chunk)), body))
    });
    *response.body_mut() = boxed(chunks);
    Ok(response)
}

async fn with_content_length(response: Response<Body>) -> Result<(Response<Body>, Bytes)> {
    let (mut parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    parts.headers.insert(header::CONTENT_LENGTH, body.len().into());
    let empty = complete(StatusCode::OK, "application/json", Bytes::new()).into_body();
    Ok((Response::from_parts(parts, empty), body))
}

fn boxed(chunks: impl Stream<Item = Result<Frame<Bytes>>> + Send + 'static) -> Body {
    StreamBody::new(chunks).boxed_unsync()
}

/// Reads a complete request body.
///
/// # Errors
///
/// Fails when the caller disconnects or sends more than [`MAX_BODY_BYTES`].
pub(crate) async fn read(body: Incoming) -> Result<Bytes> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| Closed)?;
    Ok(body.to_bytes())
}

/// Reads a complete request body as JSON; the inner error describes malformed JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<std::result::Result<T, String>> {
    let body = read(request.into_body()).await?;
    Ok(serde_json::from_slice(&body).map_err(|error| error.to_string()))
}

/// Returns the value of a numeric parameter of a query string.
pub(crate) fn number(query: Option<&str>, name: &str) -> Option<u64> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
