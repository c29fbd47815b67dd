//! The numbers of the messages with one peer.

use goldcrestvale_base::time::Instant;
use serde::Serialize;
use smallvec::SmallVec;

/// Messages of which the time of sending is kept.
const KEPT: usize = 8;

#[derive(Debug, Clone, Copy, Serialize)]
struct Sent {
    sequence: u64,
    at: Instant,
}

/// The messages to and from one peer.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Exchange {
    last: u64,
    sent: SmallVec<[Sent; KEPT]>,
    /// Newest number heard from the peer, or 0.
    pub(super) heard: u64,
    /// Whether the last message named a customer.
    pub(super) told: bool,
}

impl Exchange {
    /// Numbers a message that is sent now.
    pub(super) fn send(&mut self, now: Instant) -> u64 {
        self.last += 1;
        if self.sent.len() == KEPT {
            self.sent.remove(0);
        }
        self.sent.push(Sent { sequence: self.last, at: now });
        self.last
    }

    /// Returns when a message was sent, if it is one of the last.
    pub(super) fn sent_at(&self, sequence: u64) -> Option<Instant> {
        self.sent.iter().find(|sent| sent.sequence == sequence).map(|sent| sent.at)
    }
}
