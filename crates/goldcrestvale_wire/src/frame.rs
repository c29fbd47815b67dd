//! The layout of a frame: version, kind, body and tag.

use bytes::{BufMut, Bytes, BytesMut};

/// Version of the protocol that this package implements.
pub const VERSION: u8 = 1;

/// Length of the header before the body, in bytes: version and kind.
pub const HEADER_BYTES: usize = 3;

/// Length of the tag after the body, in bytes.
pub const TAG_BYTES: usize = 16;

/// Length of a frame on the wire without its body, including the length prefix, in bytes.
pub const OVERHEAD_BYTES: usize = 4 + HEADER_BYTES + TAG_BYTES;

/// A frame without its tag.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Version of the protocol that the sender used.
    pub version: u8,
    /// Kind of the message.
    pub kind: u16,
    /// The encoded message.
    pub body: Bytes,
}

impl Frame {
    /// Creates a frame of the current version.
    pub fn new(kind: u16, body: Bytes) -> Self {
        Self { version: VERSION, kind, body }
    }

    /// Appends the frame and its tag, computed with a key and a counter.
    pub(crate) fn seal(&self, key: &[u8; 32], counter: u64, out: &mut BytesMut) {
        let start = out.len();
        out.reserve(HEADER_BYTES + self.body.len() + TAG_BYTES);
        out.put_u8(self.version);
        out.put_u16(self.kind);
        out.put_slice(&self.body);
        let tag = tag(key, counter, &out[start..]);
        out.put_slice(&tag);
    }

    /// Verifies and parses a frame, or returns `None` if it is too short or its tag is wrong.
    pub(crate) fn open(key: &[u8; 32], counter: u64, mut sealed: Bytes) -> Option<Self> {
        let length = sealed.len().checked_sub(TAG_BYTES).filter(|&l| l >= HEADER_BYTES)?;
        let received = sealed.split_off(length);
        if !tags_match(&tag(key, counter, &sealed), &received) {
            return None;
        }
        let body = sealed.split_off(HEADER_BYTES);
        Some(Self { version: sealed[0], kind: u16::from_be_bytes([sealed[1], sealed[2]]), body })
    }
}

fn tag(key: &[u8; 32], counter: u64, content: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&counter.to_be_bytes());
    hasher.update(content);
    let mut tag = [0; TAG_BYTES];
    hasher.finalize_xof().fill(&mut tag);
    tag
}

/// Compares tags in constant time, so that timing reveals nothing about them.
fn tags_match(expected: &[u8; TAG_BYTES], received: &[u8]) -> bool {
    let difference = expected.iter().zip(received).fold(0, |bits, (a, b)| bits | (a ^ b));
    received.len() == TAG_BYTES && std::hint::black_box(difference) == 0
}
