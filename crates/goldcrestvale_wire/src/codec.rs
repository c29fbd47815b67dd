//! Encoding and decoding of the frames of an authenticated connection.

use std::io;

use bytes::{Bytes, BytesMut};
use snafu::{OptionExt, Snafu, ensure};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{
    frame::{Frame, HEADER_BYTES, TAG_BYTES, VERSION},
    message::{self, Message},
};

/// The result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// An error after which the connection must be closed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A frame is longer than the limit.
    #[snafu(display("a frame exceeds the limit of {max_frame_bytes} bytes"))]
    Oversized {
        /// The limit in the settings, in bytes.
        max_frame_bytes: usize,
    },
    /// A frame is too short, forged, replayed or out of order.
    #[snafu(display("frame {counter} of the connection is not authentic"))]
    Tag {
        /// Number of the frame in the connection, from 0.
        counter: u64,
    },
    /// The body of an authentic frame cannot be decoded.
    #[snafu(display("frame {counter} of the connection cannot be decoded: {source}"))]
    Body {
        /// Number of the frame in the connection, from 0.
        counter: u64,
        /// The cause.
        source: message::Error,
    },
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"), context(false))]
    Io {
        /// The cause.
        source: io::Error,
    },
}

/// An authenticated frame.
#[derive(Debug, Clone, PartialEq)]
pub enum Opened {
    /// A message of a known kind.
    Known(Message),
    /// A frame of a newer version or an unknown kind, which is skipped and counted.
    Unknown {
        /// Version of the frame.
        version: u8,
        /// Kind of the frame.
        kind: u16,
    },
}

/// Encodes and signs the messages of one direction.
#[derive(Debug)]
pub struct Sealer {
    key: [u8; 32],
    counter: u64,
    max_frame_bytes: usize,
    framing: LengthDelimitedCodec,
}

/// Authenticates and decodes the messages of one direction.
#[derive(Debug)]
pub struct Opener {
    key: [u8; 32],
    counter: u64,
    max_frame_bytes: usize,
    framing: LengthDelimitedCodec,
}

fn length_codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec()
}

impl Sealer {
    pub(crate) fn new(key: [u8; 32], max_frame_bytes: usize) -> Self {
        Self { key, counter: 0, max_frame_bytes, framing: length_codec(max_frame_bytes) }
    }

    /// Returns whether a message fits in a frame.
    pub fn fits(&self, message: &Message) -> bool {
        HEADER_BYTES + message.body_len() + TAG_BYTES <= self.max_frame_bytes
    }

    /// Encodes a frame of any version and kind, including those of newer instances.
    ///
    /// # Errors
    ///
    /// Fails if the frame is longer than the limit; the connection stays usable.
    pub fn encode_frame(&mut self, frame: &Frame, out: &mut BytesMut) -> Result<()> {
        let length = HEADER_BYTES + frame.body.len() + TAG_BYTES;
        ensure!(
            length <= self.max_frame_bytes,
            OversizedSnafu { max_frame_bytes: self.max_frame_bytes }
        );
        let mut sealed = BytesMut::with_capacity(length);
        frame.seal(&self.key, self.counter, &mut sealed);
        self.counter += 1;
        Ok(self.framing.encode(sealed.freeze(), out)?)
    }
}

impl Encoder<Message> for Sealer {
    type Error = Error;

    fn encode(&mut self, message: Message, out: &mut BytesMut) -> Result<()> {
        ensure!(self.fits(&message), OversizedSnafu { max_frame_bytes: self.max_frame_bytes });
        self.encode_frame(&Frame::new(message.kind(), message.encode_body()), out)
    }
}

impl Opener {
    pub(crate) fn new(key: [u8; 32], max_frame_bytes: usize) -> Self {
        Self { key, counter: 0, max_frame_bytes, framing: length_codec(max_frame_bytes) }
    }

    fn open(&mut self, sealed: Bytes) -> Result<Opened> {
        let counter = self.counter;
        let frame = Frame::open(&self.key, counter, sealed).context(TagSnafu { counter })?;
        self.counter += 1;
        let unknown = Opened::Unknown { version: frame.version, kind: frame.kind };
        if frame.version > VERSION {
            return Ok(unknown);
        }
        match Message::decode(frame.kind, frame.body) {
            Ok(message) => Ok(message.map_or(unknown, Opened::Known)),
            Err(source) => Err(Error::Body { counter, source }),
        }
    }
}

impl Decoder for Opener {
    type Item = Opened;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Opened>> {
        let next = self.framing.decode(buffer).map_err(|source| match source.kind() {
            io::ErrorKind::InvalidData => {
                Error::Oversized { max_frame_bytes: self.max_frame_bytes }
            }
            _ => Error::Io { source },
        })?;
        next.map(|sealed| self.open(sealed.freeze())).transpose()
    }
}
