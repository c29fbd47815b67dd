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

/// Why a connection must be closed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A frame is longer than the bound.
    #[snafu(display("a frame exceeds the bound of {bound} bytes"))]
    Oversized {
        /// The bound in the settings.
        bound: usize,
    },
    /// A frame is short, forged, replayed or out of order.
    #[snafu(display("frame {counter} of the connection is not authentic"))]
    Tag {
        /// Number of the frame in the connection, from 0.
        counter: u64,
    },
    /// An authentic frame holds a body that does not decode.
    #[snafu(display("frame {counter} of the connection does not decode: {source}"))]
    Body {
        /// Number of the frame in the connection, from 0.
        counter: u64,
        /// The fault.
        source: message::Error,
    },
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"), context(false))]
    Io {
        /// The fault.
        source: io::Error,
    },
}

/// A frame that was authenticated.
#[derive(Debug, Clone, PartialEq)]
pub enum Opened {
    /// A message that this version knows.
    Known(Message),
    /// A frame of a newer version or an unknown kind, to be skipped and counted.
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
    bound: usize,
    lengths: LengthDelimitedCodec,
}

/// Authenticates and decodes the messages of one direction.
#[derive(Debug)]
pub struct Opener {
    key: [u8; 32],
    counter: u64,
    bound: usize,
    lengths: LengthDelimitedCodec,
}

fn lengths(bound: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(bound).new_codec()
}

impl Sealer {
    pub(crate) fn new(key: [u8; 32], bound: usize) -> Self {
        Self { key, counter: 0, bound, lengths: lengths(bound) }
    }

    /// Returns whether a message fits into a frame.
    pub fn fits(&self, message: &Message) -> bool {
        HEADER_BYTES + message.body_len() + TAG_BYTES <= self.bound
    }

    /// Encodes a frame of any version and kind, as a newer instance might send.
    ///
    /// # Errors
    ///
    /// Fails if the frame is longer than the bound; the connection stays usable.
    pub fn encode_frame(&mut self, frame: &Frame, out: &mut BytesMut) -> Result<()> {
        let length = HEADER_BYTES + frame.body.len() + TAG_BYTES;
        ensure!(length <= self.bound, OversizedSnafu { bound: self.bound });
        let mut sealed = BytesMut::with_capacity(length);
        frame.seal(&self.key, self.counter, &mut sealed);
        self.counter += 1;
        Ok(self.lengths.encode(sealed.freeze(), out)?)
    }
}

impl Encoder<Message> for Sealer {
    type Error = Error;

    fn encode(&mut self, message: Message, out: &mut BytesMut) -> Result<()> {
        ensure!(self.fits(&message), OversizedSnafu { bound: self.bound });
        self.encode_frame(&Frame::new(message.kind(), message.encode_body()), out)
    }
}

impl Opener {
    pub(crate) fn new(key: [u8; 32], bound: usize) -> Self {
        Self { key, counter: 0, bound, lengths: lengths(bound) }
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
        let next = self.lengths.decode(buffer).map_err(|source| match source.kind() {
            io::ErrorKind::InvalidData => Error::Oversized { bound: self.bound },
            _ => Error::Io { source },
        })?;
        next.map(|sealed| self.open(sealed.freeze())).transpose()
    }
}
