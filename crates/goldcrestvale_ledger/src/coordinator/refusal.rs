use std::time::Duration;

use goldcrestvale_base::{domain, verdict::Verdict};

use crate::claim::Refusal;

domain! {
    copy
    /// The cause of the refusal of a keyed call.
    #[serde(rename_all = "kebab-case")]
    pub enum Cause {
        /// The key cannot be claimed.
        Key(Refusal),
        /// The log is unreachable.
        LogOut,
        /// The log was reset to an older state; nothing is dispatched until an operator intervenes.
        LogReset,
        /// The deadline of the call passed before its claim was decided.
        Deadline,
        /// Too many calls are in progress.
        Busy,
        /// The instance is shutting down.
        Draining,
        /// The call was given up before it was dispatched.
        GivenUp,
        /// Another call holds the key, and this instance does not know its outcome.
        HeldElsewhere,
    }

    /// The calls that the verdict of a refused call covers.
    #[serde(rename_all = "kebab-case")]
    pub enum Scope {
        /// This call only; an earlier call of the key may have run.
        Call,
        /// Every call of the key whose claim precedes this one in the log.
        Key,
    }
}

/// The refusal of a keyed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// The calls that the verdict covers.
    pub scope: Scope,
    /// The cause of the refusal.
    pub cause: Cause,
    /// Time after which to retry, if a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Cause {
    /// Returns whether the same call may be accepted later.
    pub fn is_temporary(self) -> bool {
        match self {
            Self::Key(Refusal::Unproven) => true,
            Self::Key(_) => false,
            _ => true,
        }
    }
}
