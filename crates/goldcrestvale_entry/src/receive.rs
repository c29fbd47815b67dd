//! Reads the bodies of requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use snafu::Snafu;

use crate::refusal::{Cause, Refusal, Result};

/// The reason why a body was not read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It is larger than allowed.
    #[snafu(display("the body is larger than {max_bytes} bytes"))]
    Oversized {
        /// Maximum length in bytes.
        max_bytes: usize,
    },
    /// It ended early, or is malformed.
    #[snafu(display("the body cannot be read: {detail}"))]
    Malformed {
        /// The cause.
        detail: String,
    },
}

/// Reads a complete request body of at most `max_bytes`.
///
/// # Errors
///
/// Fails if the body is larger or cannot be read.
pub async fn collect(body: Incoming, max_bytes: usize) -> std::result::Result<Bytes, BodyError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::Oversized { max_bytes }),
        Err(e) => Err(BodyError::Malformed { detail: e.to_string() }),
    }
}

/// Reads a complete request body of at most `max_bytes` within `timeout`.
///
/// # Errors
///
/// Rejects the request with [`Cause::Oversized`], [`Cause::SlowBody`] or [`Cause::Malformed`].
pub async fn read_body(body: Incoming, max_bytes: usize, timeout: Duration) -> Result<Bytes> {
    match tokio::time::timeout(timeout, collect(body, max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => {
            let cause = match error {
                BodyError::Oversized { .. } => Cause::Oversized,
                BodyError::Malformed { .. } => Cause::Malformed,
            };
            Err(Refusal::unsent(cause, error.to_string()))
        }
        Err(_) => Err(Refusal::unsent(
            Cause::SlowBody,
            format!("the body did not arrive within {} ms", timeout.as_millis()),
        )),
    }
}
