//! Receiving the bodies of requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use snafu::Snafu;

use crate::refusal::{Cause, Refusal, Result};

/// Why a body was not read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It is larger than allowed.
    #[snafu(display("the body is larger than {max_bytes} bytes"))]
    Oversized {
        /// Most bytes that are allowed.
        max_bytes: usize,
    },
    /// It broke off, or is malformed.
    #[snafu(display("the body cannot be read: {detail}"))]
    Malformed {
        /// What was seen.
        detail: String,
    },
}

/// Reads a whole request body within a size.
///
/// # Errors
///
/// Fails with what is wrong with the body.
pub async fn collect(body: Incoming, max_bytes: usize) -> std::result::Result<Bytes, BodyError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::Oversized { max_bytes }),
        Err(e) => Err(BodyError::Malformed { detail: e.to_string() }),
    }
}

/// Reads a whole request body within a size and a time.
///
/// # Errors
///
/// Refuses the request with [`Cause::Oversized`], [`Cause::SlowBody`] or [`Cause::Malformed`].
pub async fn read_body(body: Incoming, max_bytes: usize, limit: Duration) -> Result<Bytes> {
    match tokio::time::timeout(limit, collect(body, max_bytes)).await {
        Ok(Ok(whole)) => Ok(whole),
        Ok(Err(fault)) => {
            let cause = match fault {
                BodyError::Oversized { .. } => Cause::Oversized,
                BodyError::Malformed { .. } => Cause::Malformed,
            };
            Err(Refusal::unsent(cause, fault.to_string()))
        }
        Err(_) => Err(Refusal::unsent(
            Cause::SlowBody,
            format!("the body did not arrive within {} ms", limit.as_millis()),
        )),
    }
}
