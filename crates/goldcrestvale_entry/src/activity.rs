//! Whether a connection has requests in progress.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::watch;

/// Counts the requests in progress on one connection.
#[derive(Debug, Clone)]
pub(crate) struct Activity {
    requests: Arc<watch::Sender<usize>>,
}

/// One request in progress, from its head to the end of its answer.
#[derive(Debug)]
pub(crate) struct Request {
    requests: Arc<watch::Sender<usize>>,
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self { requests: Arc::new(watch::Sender::new(0)) }
    }

    pub(crate) fn enter(&self) -> Request {
        self.requests.send_modify(|requests| *requests += 1);
        Request { requests: self.requests.clone() }
    }

    /// Waits until no request was in progress for a whole time.
    pub(crate) async fn idle(&self, time: Duration) {
        let mut requests = self.requests.subscribe();
        loop {
            let quiet = requests.wait_for(|&requests| requests == 0).await.is_ok();
            let busy = requests.wait_for(|&requests| requests > 0);
            if quiet && tokio::time::timeout(time, busy).await.is_err() {
                return;
            }
        }
    }
}

impl Request {
    /// Ties the request to the body of its answer.
    pub(crate) fn guard<B>(self, body: B) -> Guarded<B> {
        Guarded { body, _request: self }
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.requests.send_modify(|requests| *requests -= 1);
    }
}

/// The body of an answer, tied to its request.
pub(crate) struct Guarded<B> {
    body: B,
    _request: Request,
}

impl<B: hyper::body::Body<Data = Bytes> + Unpin> hyper::body::Body for Guarded<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
