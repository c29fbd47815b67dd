//! Receiving the bodies of requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use snafu::Snafu;

use crate::refusal::{Cause, Refusal, Result};

/// Why a body was not read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Fault {
    /// It is larger than allowed.
    #[snafu(display("the body is larger than {most} bytes"))]
    Oversized {
        /// Most bytes that are allowed.
        most: usize,
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
pub async fn collect(body: Incoming, most: usize) -> std::result::Result<Bytes, Fault> {
    match Limited::new(body, most).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Fault::Oversized { most }),
        Err(e) => Err(Fault::Malformed { detail: e.to_string() }),
    }
}

/// Reads a whole request body within a size and a time.
///
/// # Errors
///
/// Refuses the request with [`Cause::Oversized`], [`Cause::SlowBody`] or [`Cause::Malformed`].
pub async fn whole(body: Incoming, most: usize, limit: Duration) -> Result<Bytes> {
    match tokio::time::timeout(limit, collect(body, most)).await {
        Ok(Ok(whole)) => Ok(whole),
        Ok(Err(fault)) => {
            let cause = match fault {
                Fault::Oversized { .. } => Cause::Oversized,
                Fault::Malformed { .. } => Cause::Malformed,
            };
            Err(Refusal::early(cause, fault.to_string()))
        }
        Err(_) => Err(Refusal::early(
            Cause::SlowBody,
            format!("the body did not arrive within {} ms", limit.as_millis()),
        )),
    }
}
