//! Splitting of a stream of bytes into whole events.

use bytes::{Bytes, BytesMut};

/// Collects the bytes of an event stream and hands out whole events only.
///
/// An upstream may stop in the middle of an event. What was handed out up to then ends at an event,
/// so another upstream can go on after it.
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
    last: Option<u64>,
    out_of_order: bool,
}

impl Splitter {
    /// Creates a splitter for a caller that has the events up to `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Returns the id of the last event that was handed out.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether part of an event is held back.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether an event was missing; nothing is handed out from there on.
    pub fn has_gap(&self) -> bool {
        self.out_of_order
    }

    /// Drops a partial event, before another upstream goes on.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.out_of_order = false;
    }

    /// Adds bytes and returns the events that are now whole, without those handed out before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = find_end(&self.partial) {
            let event = self.partial.split_to(end);
            match (id(&event), self.last) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => {
                    self.out_of_order = true;
                    self.partial.clear();
                    break;
                }
                (Some(id), _) => self.last = Some(id),
                (None, _) => {}
            }
            match whole.is_empty() {
                true => whole = event,
                false => whole.extend_from_slice(&event),
            }
        }
        whole.freeze()
    }
}

/// Returns the length of the first whole event: up to and with its blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|place| place + 2)
}

fn id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&byte| byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
