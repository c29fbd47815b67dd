use goldcrestvale_base::{
    domain,
    id::{Customer, Digest, Instance, Key, RecordId, Service},
    time::Instant,
};
use smallvec::SmallVec;

use crate::claim::{Claim, Fingerprint, Intent, Pending};

domain! {
    copy
    /// The name that the program gives a call; answers refer to it.
    #[serde(transparent)]
    pub struct Ticket(pub u64);
}

/// A keyed call as it arrives.
#[derive(Debug, Clone)]
pub struct Call {
    /// Name of the call.
    pub ticket: Ticket,
    /// The idempotency key.
    pub key: Key,
    /// The customer.
    pub customer: Customer,
    /// The service.
    pub service: Service,
    /// Digest of the request.
    pub digest: Digest,
    /// Time by which it must be dispatched.
    pub deadline: Instant,
}

impl Call {
    pub(super) fn intent(&self, instance: &Instance) -> Intent {
        Intent {
            key: self.key,
            customer: self.customer.clone(),
            service: self.service.clone(),
            digest: self.digest,
            instance: instance.clone(),
        }
    }
}

/// A key that this instance works on.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) ticket: Ticket,
    pub(super) deadline: Instant,
    pub(super) intent: Intent,
    pub(super) fingerprint: Fingerprint,
    pub(super) stage: Stage,
    pub(super) followers: Followers,
}

/// How far the work on a key has come.
#[derive(Debug)]
pub(super) enum Stage {
    /// The claim is on its way through the log.
    Claiming {
        /// Identity of the claim's record.
        id: RecordId,
        /// The claim.
        claim: Claim<Pending>,
    },
    /// An older claim of this process, given up, must be abandoned in the log first.
    Blocked(Claim<Pending>),
    /// The claim was handed to the program to be dispatched.
    Out,
}

/// The other calls of a key that this instance works on.
pub(super) type Followers = SmallVec<[Follower; 1]>;

/// Another call of a key that this instance works on.
#[derive(Debug)]
pub(super) struct Follower {
    pub(super) ticket: Ticket,
    pub(super) deadline: Instant,
    pub(super) claim: Claim<Pending>,
}

impl Slot {
    /// Takes the followers out and parts them into those that leave and those that stay.
    pub(super) fn split_followers(
        &mut self,
        leaves: impl FnMut(&Follower) -> bool,
    ) -> (Followers, Followers) {
        std::mem::take(&mut self.followers).into_iter().partition(leaves)
    }

    /// Returns the times at which something of this key must be given up.
    pub(super) fn deadlines(&self) -> impl Iterator<Item = Instant> {
        let decided = matches!(self.stage, Stage::Out);
        let own = (!decided).then_some(self.deadline);
        own.into_iter().chain(self.followers.iter().map(|follower| follower.deadline))
    }
}
