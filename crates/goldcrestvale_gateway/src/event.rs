//! Splits a byte stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of an event stream and returns complete events only.
///
/// An upstream may fail in the middle of an event. The bytes returned so far always end at an event
/// boundary, so another upstream can continue after it.
///
/// The ids of the events of a stream begin with 0 or 1 and rise by 1. An event that breaks this order, or
/// has no id although the stream has ids, holds wrong bytes: it and what follows are a gap, after
/// which another upstream has to continue. Streams without ids pass unchanged.
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
    /// Id of the last event of the current upstream, returned or skipped.
    upstream_id: Option<u64>,
    has_gap: bool,
    /// Whether an upstream has shown that there is an event after the last one.
    is_owed: bool,
}

/// What an event is in its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// The next event.
    Next(u64),
    /// An event that was returned before.
    Repeated(u64),
    /// A comment, or an event of a stream without ids.
    Unnumbered,
    /// An event after a missing one.
    AfterGap,
    /// An event with wrong bytes.
    Damaged,
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

    /// Returns whether an event is missing or damaged; no event after the gap is returned.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Returns whether the stream is known to have a further event, so that it may not end here.
    pub fn is_owed(&self) -> bool {
        self.is_owed
    }

    /// Returns whether the incomplete event is longer than an event may be.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event, before another upstream continues the stream.
    pub fn discard_partial(&mut self) {
        self.is_owed |= matches!(self.place(&self.partial), Place::Next(_));
        self.partial.clear();
        self.searched = 0;
        self.upstream_id = None;
        self.has_gap = false;
    }

    /// Adds bytes and returns the events that are now complete, without those returned before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = find_end(&self.partial[self.searched..]) {
            let event = self.partial.split_to(self.searched + end);
            self.searched = 0;
            match self.place(&event) {
                Place::Next(id) => {
                    (self.last_id, self.upstream_id) = (Some(id), Some(id));
                    self.is_owed = false;
                }
                Place::Repeated(id) => {
                    self.upstream_id = Some(id);
                    continue;
                }
                Place::Unnumbered => {}
                place @ (Place::AfterGap | Place::Damaged) => {
                    self.is_owed |= place == Place::AfterGap;
                    self.has_gap = true;
                    self.partial.clear();
                    break;
                }
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

    fn place(&self, event: &[u8]) -> Place {
        let next = self.last_id.map_or(1, |last| last + 1);
        match event_id(event) {
            // A repeating upstream begins anywhere before the next event.
            Some(id) if id <= self.upstream_id.map_or(next, |last| last + 1) => {
                let is_in_order = self.upstream_id.is_none_or(|last| id == last + 1);
                match id {
                    _ if !is_in_order => Place::Damaged,
                    id if self.last_id.is_some_and(|last| id <= last) => Place::Repeated(id),
                    id => Place::Next(id),
                }
            }
            Some(_) => Place::AfterGap,
            None if event.split(|&byte| byte == b'\n').all(is_comment) => Place::Unnumbered,
            None if self.last_id.is_some() || !event.split(|&byte| byte == b'\n').all(is_field) => {
                Place::Damaged
            }
            None => Place::Unnumbered,
        }
    }
}

/// Returns the length of the first complete event, including its blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|index| index + 2)
}

/// Returns the id of an event, if it has just one and this is a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()?;
    ids.next().is_none().then_some(id)
}

fn is_comment(line: &[u8]) -> bool {
    line.is_empty() || line.starts_with(b":")
}

/// Returns whether a line is a comment or has a name that the format of event streams defines.
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|&byte| byte == b':').next().unwrap_or_default();
    matches!(name, b"" | b"event" | b"data" | b"id" | b"retry")
}
