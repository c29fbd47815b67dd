//! Decides to which peers a configuration is sent at the same time.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::{id::Instance, time::Instant};
use smallvec::SmallVec;

/// Maximum number of peers that a configuration is sent to at the same time. The first ones to have
/// it serve others before the last ones would have it if all of them shared the link.
pub const MAX_PARALLEL: usize = 4;

/// Time without a sent part after which a transfer no longer keeps others waiting: the peer may have
/// lost its power.
pub const STALL: Duration = Duration::from_millis(250);

/// The peers that requested a configuration, in the order of their requests.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_member::upload::Uploads;
///
/// let mut uploads = Uploads::default();
/// uploads.request("bole-2".parse()?);
/// assert_eq!(uploads.start(Instant(0)).to_vec(), ["bole-2".parse()?]);
/// assert!(uploads.start(Instant(0)).is_empty());
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Uploads {
    waiting: VecDeque<Instance>,
    /// The peers that receive one, and when the last part was sent to each.
    active: SmallVec<[(Instance, Instant); MAX_PARALLEL]>,
}

impl Uploads {
    /// Records the request of a peer. A peer that waits already keeps its place.
    pub fn request(&mut self, peer: Instance) {
        if !self.waiting.contains(&peer) {
            self.waiting.push_back(peer);
        }
    }

    /// Records that a part was sent to a peer.
    pub fn record_part(&mut self, peer: &Instance, is_last: bool, now: Instant) {
        if is_last {
            self.active.retain(|(active, _)| active != peer);
        } else if let Some((_, progress)) = self.active.iter_mut().find(|(it, _)| it == peer) {
            *progress = now;
        }
    }

    /// Forgets a peer whose connection ended or that needs no configuration any more.
    pub fn remove(&mut self, peer: &Instance) {
        self.waiting.retain(|waiting| waiting != peer);
        self.active.retain(|(active, _)| active != peer);
    }

    /// Returns the peers that a configuration is sent to now.
    pub fn start(&mut self, now: Instant) -> SmallVec<[Instance; MAX_PARALLEL]> {
        self.active.retain(|(_, progress)| now.since(*progress) < STALL);
        let mut started = SmallVec::new();
        while self.active.len() < MAX_PARALLEL
            && let Some(index) = self.waiting.iter().position(|peer| !self.is_active(peer))
            && let Some(peer) = self.waiting.remove(index)
        {
            self.active.push((peer.clone(), now));
            started.push(peer);
        }
        started
    }

    fn is_active(&self, peer: &Instance) -> bool {
        self.active.iter().any(|(active, _)| active == peer)
    }
}
