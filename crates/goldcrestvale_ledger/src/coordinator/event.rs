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

/// An input of the coordinator.
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
    /// The log became unreachable.
    LogUnavailable,
    /// The log is reachable again.
    LogAvailable,
    /// A claim was returned before anything was sent.
    Returned(Claim<Won>),
    /// The service answered completely.
    Settled(Claim<Settled>),
    /// The service did not answer completely.
    Unanswered(Claim<Unanswered>),
    /// The caller disconnected; the call is given up unless it was dispatched.
    CallerGone(Ticket, Key),
    /// Time passed.
    Tick,
    /// The instance is shutting down.
    Drain,
}

/// An action that the program has to take.
#[derive(Debug)]
pub enum Action {
    /// Append the records in one request.
    Append(Batch),
    /// Send the call to its service, once, unless its claim is returned.
    Dispatch {
        /// The call.
        ticket: Ticket,
        /// The right to send it.
        claim: Claim<Won>,
    },
    /// Refuse the call.
    Refuse {
        /// The call.
        ticket: Ticket,
        /// The refusal.
        refused: Refused,
    },
    /// Query the owner of the key for the outcome and end the claim with its answer.
    QueryOwner {
        /// The call.
        ticket: Ticket,
        /// The claim, which lost to the claim of the owner.
        claim: Claim<Lost>,
        /// The owner.
        owner: Owner,
        /// The standing in the log, used if the owner does not answer.
        standing: Standing,
    },
    /// Answer the call with the outcome of another call of the same key at this instance.
    Replay {
        /// The call.
        ticket: Ticket,
        /// The claim, which lost to the claim of the other call.
        claim: Claim<Lost>,
        /// The outcome.
        outcome: OwnerAnswer,
    },
}
