//! Receiving the bodies of requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::refusal::{Cause, Refusal, Result};

/// Reads a whole request body within a size and a time.
///
/// # Errors
///
/// Refuses the request with [`Cause::Oversized`], [`Cause::SlowBody`] or [`Cause::Malformed`].
pub async fn whole(body: Incoming, most: usize, limit: Duration) -> Result<Bytes> {
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
