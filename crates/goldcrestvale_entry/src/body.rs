//! Bodies of responses.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// The body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Maximum number of frames that a streamed body buffers before its reader takes them.
const STREAM_FRAMES: usize = 64;

/// Creates a body that is sent at once, with its length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// Creates a body that is streamed frame by frame; sending fails once the reader is dropped.
pub fn stream() -> (mpsc::Sender<Bytes>, Body) {
    let (sender, receiver) = mpsc::channel(STREAM_FRAMES);
    let frames = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(bytes)), receiver))
    });
    (sender, BodyExt::boxed(StreamBody::new(frames)))
}
