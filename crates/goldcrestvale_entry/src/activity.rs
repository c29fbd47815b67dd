//! Tracks whether a connection has requests in progress.

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

/// One request in progress, from its head to the end of its response.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    requests: Arc<watch::Sender<usize>>,
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self { requests: Arc::new(watch::Sender::new(0)) }
    }

    pub(crate) fn start_request(&self) -> ActiveRequest {
        self.requests.send_modify(|requests| *requests += 1);
        ActiveRequest { requests: self.requests.clone() }
    }

    /// Waits until no request has been in progress for the given time.
    pub(crate) async fn idle(&self, time: Duration) {
        let mut requests = self.requests.subscribe();
        loop {
            let is_idle = requests.wait_for(|&requests| requests == 0).await.is_ok();
            let next_request = requests.wait_for(|&requests| requests > 0);
            if is_idle && tokio::time::timeout(time, next_request).await.is_err() {
                return;
            }
        }
    }
}

impl ActiveRequest {
    /// Attaches the request to the body of its response; it ends when the body is dropped.
    pub(crate) fn attach_to<B>(self, body: B) -> TrackedBody<B> {
        TrackedBody { body, _request: self }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.requests.send_modify(|requests| *requests -= 1);
    }
}

/// The body of a response, which keeps its request in progress.
pub(crate) struct TrackedBody<B> {
    body: B,
    _request: ActiveRequest,
}

impl<B: hyper::body::Body<Data = Bytes> + Unpin> hyper::body::Body for TrackedBody<B> {
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
