use goldcrestvale_base::id::Key;

use super::{
    call::{Call, Ticket},
    refusal::Refused,
};
use crate::{
    batch::Batch,
    claim::{Claim, Lost, Owner, OwnerAnswer, Settled, Standing, Unanswered, Won},
    record::Page,
};

/// Something that happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// A keyed call arrived.
    Call(Call),
    /// An append was acknowledged.
    Appended(u64),
    /// The answer to an append was lost, or the append failed.
    AppendLost(u64),
    /// The stream was read.
    Read(Page<'a>),
    /// The log cannot be reached.
    LogUnavailable,
    /// The log can be reached again.
    LogAvailable,
    /// A claim comes back of which nothing was sent.
    Returned(Claim<Won>),
    /// The service answered in full.
    Settled(Claim<Settled>),
    /// The service did not answer in full.
    Unanswered(Claim<Unanswered>),
    /// The caller of a call is gone; the call is given up unless it was dispatched.
    CallerGone(Ticket, Key),
    /// Time passed.
    Tick,
    /// The instance is shutting down.
    Drain,
}

/// Something to do.
#[derive(Debug)]
pub enum Action {
    /// Append records together.
    Append(Batch),
    /// Send the call to its service, once, unless its claim is returned.
    Dispatch {
        /// The call.
        ticket: Ticket,
        /// The right to send it.
        claim: Claim<Won>,
    },
    /// Answer the call without its service.
    Refuse {
        /// The call.
        ticket: Ticket,
        /// The answer.
        refused: Refused,
    },
    /// Ask the owner of the key for the outcome, and end the claim with what it says.
    QueryOwner {
        /// The call.
        ticket: Ticket,
        /// The claim, which stands behind the owner's.
        claim: Claim<Lost>,
        /// The owner.
        owner: Owner,
        /// What the log says, for the case that the owner is silent.
        standing: Standing,
    },
    /// Answer the call with the outcome of another call of the key at this instance.
    Replay {
        /// The call.
        ticket: Ticket,
        /// The claim, which stands behind the other call's.
        claim: Claim<Lost>,
        /// The outcome.
        outcome: OwnerAnswer,
    },
}
