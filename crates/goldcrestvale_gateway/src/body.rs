//! Bodies of answers. A body that fails closes its connection, so that a truncated answer never
//! looks complete.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use snafu::Snafu;

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
