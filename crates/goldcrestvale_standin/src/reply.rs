//! Building blocks of answers.

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

/// Number of pieces that a slow body is sent in.
const SLOW_PIECES: usize = 8;

/// Answers with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(body) => whole(status, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Answers with a line of text.
pub(crate) fn text(status: StatusCode, line: impl Into<String>) -> Response<Body> {
    whole(status, "text/plain", line.into().into())
}

fn whole(status: StatusCode, media: &'static str, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(media));
    response
}

/// Cuts an answer off: its length is announced, its body ends after some bytes.
pub(crate) async fn cut(response: Response<Body>, keep: usize) -> Result<Response<Body>> {
    let (mut response, body) = announce(response).await?;
    let kept = body.slice(..keep.min(body.len()));
    let pieces = stream::unfold(Some(kept), |kept| async move {
        match kept {
            Some(kept) => Some((Ok(Frame::data(kept)), None)),
            None => {
                // The server has to send what it got before it learns of the end.
                tokio::task::yield_now().await;
                Some((Err(Closed), None))
            }
        }
    });
    *response.body_mut() = boxed(pieces);
    Ok(response)
}

/// Sends the body of an answer in pieces, with a pause before each.
pub(crate) async fn slow(response: Response<Body>, pause: Duration) -> Result<Response<Body>> {
    let (mut response, body) = announce(response).await?;
    let size = body.len().div_ceil(SLOW_PIECES).max(1);
    let pieces = stream::unfold(body, move |mut body| async move {
        if body.is_empty() {
            return None;
        }
        tokio::time::sleep(pause).await;
        let piece = body.split_to(size.min(body.len()));
        Some((Ok(Frame::data(piece)), body))
    });
    *response.body_mut() = boxed(pieces);
    Ok(response)
}

async fn announce(response: Response<Body>) -> Result<(Response<Body>, Bytes)> {
    let (mut parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    parts.headers.insert(header::CONTENT_LENGTH, body.len().into());
    let empty = whole(StatusCode::OK, "application/json", Bytes::new()).into_body();
    Ok((Response::from_parts(parts, empty), body))
}

fn boxed(pieces: impl Stream<Item = Result<Frame<Bytes>>> + Send + 'static) -> Body {
    StreamBody::new(pieces).boxed_unsync()
}

/// Reads a whole request body.
///
/// # Errors
///
/// Fails when the caller goes away or sends more than [`MAX_BODY_BYTES`].
pub(crate) async fn read(body: Incoming) -> Result<Bytes> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| Closed)?;
    Ok(body.to_bytes())
}

/// Reads a whole request body as JSON; the inner error says what is malformed.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<std::result::Result<T, String>> {
    let body = read(request.into_body()).await?;
    Ok(serde_json::from_slice(&body).map_err(|error| error.to_string()))
}

/// Reads one number of a query string.
pub(crate) fn number(query: Option<&str>, name: &str) -> Option<u64> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
