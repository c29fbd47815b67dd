//! Reads bodies completely.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;

use crate::{
    intake::{Charge, Full},
    refusal::{Cause, Refusal, Result},
    server::Reader,
};

/// Memory that a body without a length takes first, in bytes.
const MIN_BUFFER: usize = 1 << 10;

/// The reason why a body was not read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It is larger than allowed.
    #[snafu(display("the body is larger than {max_bytes} bytes"))]
    Oversized {
        /// Maximum length in bytes.
        max_bytes: usize,
    },
    /// It ended early, or is malformed.
    #[snafu(display("the body cannot be read: {detail}"))]
    Malformed {
        /// The cause.
        detail: String,
    },
    /// It did not arrive in time.
    #[snafu(display("the body did not arrive within {} ms", timeout.as_millis()))]
    Late {
        /// The time.
        timeout: Duration,
    },
    /// There is no memory for it.
    #[snafu(display("{full}"))]
    Full {
        /// When there may be room.
        full: Full,
    },
}

/// A received answer, whose memory counts as long as it exists.
struct Received {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for Received {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the complete body of a request of at most `max_bytes` within `timeout`. Until it has arrived,
/// the request gives way to others.
///
/// # Errors
///
/// Fails if the body is larger, late or malformed, or if there is no memory for it.
pub async fn request_body(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
    charge: &mut Charge,
) -> std::result::Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    charge.set_yields(true).map_err(no_room)?;
    let bytes = receive(body, max_bytes, timeout, charge, Growth::Arrived).await?;
    // A body that is complete may have been told to give way at the same moment.
    charge.set_yields(false).map_err(no_room)?;
    Ok(bytes.into())
}

/// Reads a complete answer of at most `max_bytes` within `timeout`. From then on its memory counts
/// until it is dropped, and gives way by closing the caller's connection unless the caller reads.
///
/// # Errors
///
/// Fails if the answer is larger, late or malformed, or if there is no memory for it.
pub async fn answer(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
    mut charge: Charge,
    reader: Reader,
) -> std::result::Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    charge.set_patient();
    let bytes = receive(body, max_bytes, timeout, &mut charge, Growth::Announced).await?;
    charge.hand_over(reader);
    Ok(Bytes::from_owner(Received { bytes, _charge: charge }))
}

/// When a body of an announced length takes its memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Growth {
    /// At once, so that of several bodies that wait for memory none holds what another one lacks.
    Announced,
    /// As its bytes arrive.
    Arrived,
}

/// Reads a complete body. Its bytes are copied, since each received frame keeps the whole buffer that
/// it was read into.
async fn receive(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
    charge: &mut Charge,
    growth: Growth,
) -> std::result::Result<Vec<u8>, BodyError> {
    let receiving = tokio::time::timeout(timeout, receive_frames(body, max_bytes, charge, growth));
    let mut bytes = receiving.await.unwrap_or(Err(BodyError::Late { timeout }))?;
    let capacity = bytes.capacity();
    bytes.shrink_to_fit();
    charge.shrink(capacity - bytes.capacity());
    Ok(bytes)
}

async fn receive_frames(
    mut body: Incoming,
    max_bytes: usize,
    charge: &mut Charge,
    growth: Growth,
) -> std::result::Result<Vec<u8>, BodyError> {
    let oversized = BodyError::Oversized { max_bytes };
    let announced = body.size_hint().exact();
    let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(oversized);
    }
    let longest = announced.unwrap_or(max_bytes);
    let mut bytes = Vec::new();
    if let Some(length) = announced.filter(|_| growth == Growth::Announced) {
        charge.grow(length).await.map_err(no_room)?;
        bytes.reserve_exact(length);
    }
    loop {
        let frame = tokio::select! {
            biased;
            () = charge.yielded() => return Err(BodyError::Full { full: charge.give_way() }),
            frame = body.frame() => frame,
        };
        let data = match frame {
            None => return Ok(bytes),
            Some(Err(e)) => return Err(BodyError::Malformed { detail: e.to_string() }),
            // Trailers are not forwarded.
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(oversized);
        }
        if length > bytes.capacity() {
            let doubled = (2 * bytes.capacity()).max(MIN_BUFFER).min(longest);
            let capacity = doubled.max(length);
            charge.grow(capacity - bytes.capacity()).await.map_err(no_room)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
}

fn no_room(full: Full) -> BodyError {
    BodyError::Full { full }
}

/// Reads a complete request body of at most `max_bytes` within `timeout`.
///
/// # Errors
///
/// Rejects the request with [`Cause::Oversized`], [`Cause::SlowBody`], [`Cause::Malformed`] or
/// [`Cause::Memory`].
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
    charge: &mut Charge,
) -> Result<Bytes> {
    request_body(body, max_bytes, timeout, charge).await.map_err(|error| match error {
        BodyError::Full { full } => Refusal::from(full),
        BodyError::Oversized { .. } => Refusal::unsent(Cause::Oversized, error.to_string()),
        BodyError::Malformed { .. } => Refusal::unsent(Cause::Malformed, error.to_string()),
        BodyError::Late { .. } => Refusal::unsent(Cause::SlowBody, error.to_string()),
    })
}

impl From<Full> for Refusal {
    fn from(full: Full) -> Self {
        Self::unsent(Cause::Memory, full.to_string()).retry_after(full.retry_after)
    }
}
