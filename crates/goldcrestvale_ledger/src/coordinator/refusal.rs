use std::time::Duration;

use goldcrestvale_base::{domain, verdict::Verdict};

use crate::claim::Refusal;

domain! {
    copy
    /// Why a keyed call is refused.
    #[serde(rename_all = "kebab-case")]
    pub enum Cause {
        /// The key cannot be claimed.
        Key(Refusal),
        /// The log is out.
        LogOut,
        /// The log went back to an older state; nothing is dispatched until an operator looks.
        LogReset,
        /// The call's deadline passed before the log decided.
        Deadline,
        /// Too many calls wait.
        Busy,
        /// The instance is shutting down.
        Draining,
        /// The call was given up before it was dispatched.
        GivenUp,
        /// Another call holds the key, and its outcome is not known here.
        HeldElsewhere,
    }

    /// What the verdict of a refused call is about.
    #[serde(rename_all = "kebab-case")]
    pub enum Scope {
        /// This call; an earlier call of the key may have run.
        Call,
        /// Every call of the key that stands in the log before this one.
        Key,
    }
}

/// A keyed call that is answered without its service's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// What the verdict is about.
    pub scope: Scope,
    /// Why it is refused.
    pub cause: Cause,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl Cause {
    /// Returns whether the same call may be taken later.
    pub fn is_temporary(self) -> bool {
        match self {
            Self::Key(Refusal::Unproven) => true,
            Self::Key(_) => false,
            _ => true,
        }
    }
}
