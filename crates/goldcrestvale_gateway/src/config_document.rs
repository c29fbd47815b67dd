//! The form in which instances send the configuration to each other.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use goldcrestvale_base::id::Digest;
use goldcrestvale_route::forward::{ChangeSet, Configuration};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The result of reading a document.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Maximum size of a document, in bytes.
const MAX_BYTES: u64 = 32 << 20;

/// First byte of a configuration that is not compressed.
const PLAIN_START: u8 = b'{';

/// An error: a document cannot be read.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The compressed bytes are damaged.
    #[snafu(display("it cannot be decompressed: {source}"), context(false))]
    Compressed {
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not a document.
    #[snafu(display("it is malformed: {source}"), context(false))]
    Malformed {
        /// The cause.
        source: serde_json::Error,
    },
}

/// A version of the configuration as it is sent to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Document {
    /// Digest of the complete version.
    pub(crate) digest: Digest,
    pub(crate) content: Content,
}

/// The content of a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Content {
    Complete(Configuration),
    Changes(ChangeSet),
}

impl Document {
    /// Returns the compressed form.
    pub(crate) fn encode(&self) -> Result<Bytes> {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&serde_json::to_vec(self)?)?;
        Ok(encoder.finish()?.into())
    }

    /// Reads a document, or a configuration in the form of builds that send it whole and plain.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.first() == Some(&PLAIN_START) {
            let content = Content::Complete(serde_json::from_slice(bytes)?);
            return Ok(Self { digest: Digest::of(bytes), content });
        }
        let mut text = Vec::new();
        ZlibDecoder::new(bytes).take(MAX_BYTES).read_to_end(&mut text)?;
        Ok(serde_json::from_slice(&text)?)
    }
}
