//! Bodies of answers. A body that fails closes its connection, so that a truncated answer never
//! looks complete.

use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full, Limited, combinators::UnsyncBoxBody};
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

/// Receives the body of an upstream's answer completely.
///
/// # Errors
///
/// Fails if the upstream breaks off or sends more than [`MAX_BUFFERED_BYTES`].
pub(crate) async fn collect(body: Incoming) -> Result<Bytes, Broken> {
    let collected = Limited::new(body, MAX_BUFFERED_BYTES).collect().await;
    collected.map(Collected::to_bytes).map_err(|e| Broken { detail: e.to_string() })
}
