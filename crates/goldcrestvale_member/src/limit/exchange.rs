//! Sequence numbers of the messages exchanged with one peer.

use goldcrestvale_base::time::Instant;
use serde::Serialize;
use smallvec::SmallVec;

/// Maximum number of sent messages whose time of sending is kept.
const MAX_SENT: usize = 8;

#[derive(Debug, Clone, Copy, Serialize)]
struct SentMessage {
    sequence: u64,
    at: Instant,
}

/// The sequence numbers of the messages to and from one peer.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Exchange {
    #[serde(rename = "last")]
    last_sent: u64,
    sent: SmallVec<[SentMessage; MAX_SENT]>,
    /// Newest sequence number received from the peer, or 0.
    #[serde(rename = "heard")]
    pub(super) last_received: u64,
    /// Whether the last message to the peer contained a customer.
    #[serde(rename = "told")]
    pub(super) sent_customers: bool,
}

impl Exchange {
    /// Returns the sequence number of a message that is sent now, and records the time.
    pub(super) fn next_sequence(&mut self, now: Instant) -> u64 {
        self.last_sent += 1;
        if self.sent.len() == MAX_SENT {
            self.sent.remove(0);
        }
        self.sent.push(SentMessage { sequence: self.last_sent, at: now });
        self.last_sent
    }

    /// Returns when a message was sent, if it is among the last.
    pub(super) fn sent_at(&self, sequence: u64) -> Option<Instant> {
        self.sent.iter().find(|sent| sent.sequence == sequence).map(|sent| sent.at)
    }
}
