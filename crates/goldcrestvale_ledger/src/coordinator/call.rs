use goldcrestvale_base::{
    domain,
    id::{Customer, Digest, Instance, Key, RecordId, Service},
    time::Instant,
};
use smallvec::SmallVec;

use crate::claim::{Claim, Fingerprint, Intent, Pending};

domain! {
    copy
    /// The identifier that the program assigns to a call; actions refer to it.
    #[serde(transparent)]
    pub struct Ticket(pub u64);
}

/// A keyed call on arrival.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier of the call.
    pub ticket: Ticket,
    /// The idempotency key.
    pub key: Key,
    /// The customer.
    pub customer: Customer,
    /// The service.
    pub service: Service,
    /// Digest of the request.
    pub digest: Digest,
    /// Time by which the call must be dispatched.
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

/// A key with a call in progress at this instance.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) ticket: Ticket,
    pub(super) deadline: Instant,
    pub(super) intent: Intent,
    pub(super) fingerprint: Fingerprint,
    pub(super) state: State,
    pub(super) followers: Followers,
}

/// The progress of the call that holds a slot.
#[derive(Debug)]
pub(super) enum State {
    /// The claim was written and has not been read back from the log.
    Claiming {
        /// Identity of the claim's record.
        id: RecordId,
        /// The claim.
        claim: Claim<Pending>,
    },
    /// An older claim by this process was given up and must first be abandoned in the log.
    Blocked(Claim<Pending>),
    /// The claim was passed to the program to be dispatched.
    Dispatching,
}

/// The other calls of a key with a call in progress.
pub(super) type Followers = SmallVec<[Follower; 1]>;

/// Another call of a key with a call in progress.
#[derive(Debug)]
pub(super) struct Follower {
    pub(super) ticket: Ticket,
    pub(super) deadline: Instant,
    pub(super) claim: Claim<Pending>,
}

impl Slot {
    /// Removes the followers and partitions them into those that match `is_leaving` and the rest.
    pub(super) fn split_followers(
        &mut self,
        is_leaving: impl FnMut(&Follower) -> bool,
    ) -> (Followers, Followers) {
        std::mem::take(&mut self.followers).into_iter().partition(is_leaving)
    }

    /// Returns the deadlines of the calls of this key that are not dispatched.
    pub(super) fn deadlines(&self) -> impl Iterator<Item = Instant> {
        let dispatching = matches!(self.state, State::Dispatching);
        let own = (!dispatching).then_some(self.deadline);
        own.into_iter().chain(self.followers.iter().map(|follower| follower.deadline))
    }
}
