//! A request body that carries the proof that the request was not sent.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use goldcrestvale_base::exchange::{Exchange, Unsent};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

/// A complete request body together with the unsent exchange that it belongs to.
///
/// The transport takes the body by value and returns it only if it wrote no byte of the request.
/// Therefore only the owner of this body can refuse the exchange.
#[derive(Debug)]
pub struct ExchangeBody {
    body: Full<Bytes>,
    bytes: Bytes,
    exchange: Exchange<Unsent>,
}

impl ExchangeBody {
    /// Creates a body from its bytes and an unsent exchange.
    pub fn new(bytes: Bytes, exchange: Exchange<Unsent>) -> Self {
        Self { body: Full::new(bytes.clone()), bytes, exchange }
    }

    /// Returns the bytes and the exchange, which is still unsent.
    pub fn into_parts(self) -> (Bytes, Exchange<Unsent>) {
        (self.bytes, self.exchange)
    }
}

impl Body for ExchangeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
