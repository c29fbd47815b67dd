//! Bodies of answers. A body that fails ends its connection, so that a broken answer never looks
//! whole.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use snafu::Snafu;

/// The body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Broken>;

/// The answer cannot be completed.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("the answer cannot be completed: {detail}"))]
pub(crate) struct Broken {
    /// What was seen.
    pub(crate) detail: String,
}

/// Builds a body that is sent whole, with its length.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}
