//! Bodies of requests and responses.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc;

use crate::refusal::{Cause, Refusal, Result};

/// The body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Frames that a streamed body may hold before its reader takes them.
const STREAM_FRAMES: usize = 64;

/// Builds a body that is sent whole, with its length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// Builds a body that is fed piece by piece; sending fails once the reader has gone.
pub fn stream() -> (mpsc::Sender<Bytes>, Body) {
    let (sender, receiver) = mpsc::channel(STREAM_FRAMES);
    let frames = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(bytes)), receiver))
    });
    (sender, BodyExt::boxed(StreamBody::new(frames)))
}

/// Reads a whole request body within a size and a time.
///
/// # Errors
///
/// Refuses the request with [`Cause::Oversized`], [`Cause::SlowBody`] or [`Cause::Malformed`].
pub async fn read(body: Incoming, most: usize, limit: Duration) -> Result<Bytes> {
    let collect = Limited::new(body, most).collect();
    match tokio::time::timeout(limit, collect).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(Refusal::early(Cause::Oversized, format!("the body is larger than {most} bytes")))
        }
        Ok(Err(e)) => {
            Err(Refusal::early(Cause::Malformed, format!("the body cannot be read: {e}")))
        }
        Err(_) => Err(Refusal::early(
            Cause::SlowBody,
            format!("the body did not arrive within {} ms", limit.as_millis()),
        )),
    }
}
