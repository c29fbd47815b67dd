//! Splits a byte stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of an event stream and returns complete events only.
///
/// An upstream may fail in the middle of an event. The bytes returned so far always end at an event
/// boundary, so another upstream can continue after it.
///
/// # Examples
///
/// ```
/// use goldcrestvale_gateway::Splitter;
///
/// let mut splitter = Splitter::new(None);
/// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").as_ref(), b"id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some(1));
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    partial: BytesMut,
    /// Number of bytes of the incomplete event that hold no end of an event.
    searched: usize,
    last_id: Option<u64>,
    has_gap: bool,
}

impl Splitter {
    /// Creates a splitter for a caller that has the events up to `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Returns the id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether an event is missing; no event after the gap is returned.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Returns whether the incomplete event is longer than an event may be.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event, before another upstream continues the stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.searched = 0;
        self.has_gap = false;
    }

    /// Adds bytes and returns the events that are now complete, without those returned before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = find_end(&self.partial[self.searched..]) {
            let event = self.partial.split_to(self.searched + end);
            self.searched = 0;
            match (event_id(&event), self.last_id) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => {
                    self.has_gap = true;
                    self.partial.clear();
                    break;
                }
                (Some(id), _) => self.last_id = Some(id),
                (None, _) => {}
            }
            match complete.is_empty() {
                true => complete = event,
                false => complete.extend_from_slice(&event),
            }
        }
        // The last byte may be the first one of an end.
        self.searched = self.partial.len().saturating_sub(1);
        complete.freeze()
    }
}

/// Returns the length of the first complete event, including its blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|index| index + 2)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&byte| byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
