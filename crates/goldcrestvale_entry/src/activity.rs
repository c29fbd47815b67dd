//! Tracks what a connection does: whether requests are in progress, or how long a head is arriving.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::{sync::watch, time::Instant};

use crate::server::Reader;

/// Maximum size of a piece of a response that is handed to its connection, in bytes.
const MAX_PIECE: usize = 64 << 10;

/// The state of one connection.
#[derive(Debug, Clone)]
pub(crate) struct Activity {
    state: Arc<watch::Sender<State>>,
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// No request is in progress, since this time.
    Idle(Instant),
    /// The head of the next request is arriving, since this time.
    Head(Instant),
    /// This number of requests is in progress.
    Busy(usize),
}

/// The time of a state that has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Expiry {
    /// The connection was idle.
    Idle,
    /// A head did not arrive completely.
    Head,
}

/// One request in progress, from its head to the end of its response.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    state: Arc<watch::Sender<State>>,
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self { state: Arc::new(watch::Sender::new(State::Idle(Instant::now()))) }
    }

    pub(crate) fn start_request(&self) -> ActiveRequest {
        self.state.send_modify(|state| {
            *state = match *state {
                State::Busy(requests) => State::Busy(requests + 1),
                State::Idle(_) | State::Head(_) => State::Busy(1),
            };
        });
        ActiveRequest { state: self.state.clone() }
    }

    /// Records that bytes of a head have arrived.
    pub(crate) fn start_head(&self) {
        self.state.send_if_modified(|state| {
            let is_first = matches!(state, State::Idle(_));
            if is_first {
                *state = State::Head(Instant::now());
            }
            is_first
        });
    }

    /// Returns whether requests are in progress.
    pub(crate) fn is_busy(&self) -> bool {
        matches!(*self.state.borrow(), State::Busy(_))
    }

    /// Returns a receiver of the states.
    pub(crate) fn subscribe(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    /// Waits until the connection was idle, or a head has been arriving, for a time that `times`
    /// returns for the two.
    pub(crate) async fn expired(&self, times: impl Fn() -> (Duration, Duration)) -> Expiry {
        let mut states = self.state.subscribe();
        loop {
            let state = *states.borrow_and_update();
            let (idle, head) = times();
            let (since, time, expiry) = match state {
                State::Idle(since) => (since, idle, Expiry::Idle),
                State::Head(since) => (since, head, Expiry::Head),
                State::Busy(_) => {
                    // The sender lives as long as this value.
                    let _ = states.changed().await;
                    continue;
                }
            };
            if tokio::time::timeout_at(since + time, states.changed()).await.is_err() {
                return expiry;
            }
        }
    }
}

impl ActiveRequest {
    /// Attaches the request to the body of its response; it ends when the body is dropped.
    pub(crate) fn attach_to<B>(self, body: B, reader: Reader) -> TrackedBody<B> {
        TrackedBody { body, rest: Bytes::new(), reader, _request: self }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.state.send_modify(|state| {
            *state = match *state {
                State::Busy(requests) if requests > 1 => State::Busy(requests - 1),
                _ => State::Idle(Instant::now()),
            };
        });
    }
}

/// The body of a response, which keeps its request in progress. Its data goes to the connection in
/// pieces, so that what is taken shows whether the caller reads.
pub(crate) struct TrackedBody<B> {
    body: B,
    /// The rest of a frame of which a piece was taken.
    rest: Bytes,
    reader: Reader,
    _request: ActiveRequest,
}

impl<B> TrackedBody<B> {
    fn take_piece(&mut self) -> Frame<Bytes> {
        self.reader.record();
        let length = self.rest.len().min(MAX_PIECE);
        Frame::data(self.rest.split_to(length))
    }
}

impl<B: hyper::body::Body<Data = Bytes> + Unpin> hyper::body::Body for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(self.take_piece())));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx)?);
        Poll::Ready(frame.map(|frame| {
            Ok(match frame.into_data() {
                Ok(data) => {
                    self.rest = data;
                    self.take_piece()
                }
                Err(frame) => frame,
            })
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = self.body.size_hint();
        let rest = self.rest.len() as u64;
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + rest);
        }
        hint.set_lower(hint.lower() + rest);
        hint
    }
}
