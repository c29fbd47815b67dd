//! Bodies of answers. A body that fails closes its connection, so that a truncated answer never
//! looks complete.

use std::time::Duration;

use bytes::Bytes;
use goldcrestvale_entry::{
    intake::Charge,
    receive::{self, BodyError},
    server::Reader,
};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use snafu::Snafu;

/// Maximum size of an answer that is buffered completely, in bytes.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// The body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Broken>;

/// An answer that cannot be completed.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("the answer cannot be completed: {detail}"))]
pub(crate) struct Broken {
    /// Description of the failure.
    pub(crate) detail: String,
}

/// Creates a body that is sent at once, with its length.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// The reason why an answer was not received completely.
#[derive(Debug, Clone)]
pub(crate) enum Loss {
    /// The upstream broke off or sent too much.
    Broken(String),
    /// There is no memory for it.
    Full(String),
}

/// Receives the body of an upstream's answer completely. Its memory gives way from then on, by
/// closing the caller's connection, unless the caller reads.
///
/// # Errors
///
/// Fails if the upstream breaks off or sends more than [`MAX_BUFFERED_BYTES`], or if there is no
/// memory for it.
pub(crate) async fn collect(
    body: Incoming,
    timeout: Duration,
    (charge, reader): (Charge, Reader),
) -> Result<Bytes, Loss> {
    let received = receive::answer(body, MAX_BUFFERED_BYTES, timeout, charge, reader).await;
    received.map_err(|error| match error {
        BodyError::Full { .. } => Loss::Full(error.to_string()),
        _ => Loss::Broken(error.to_string()),
    })
}
