//! The verdict of every error: whether the request may have run.

use std::fmt;

use serde::Serialize;

/// Proof that no byte of a request was sent to an upstream.
///
/// It is only obtained by refusing an [`Exchange`](crate::exchange::Exchange) that was never sent,
/// so code that may have sent bytes cannot create one:
///
/// ```compile_fail
/// use goldcrestvale_base::verdict::{NotRun, Verdict};
///
/// let verdict = Verdict::NotRun(NotRun { _private: () });
/// ```
///
/// A sent exchange cannot be refused:
///
/// ```compile_fail
/// use goldcrestvale_base::exchange::Exchange;
///
/// let sent = Exchange::new().send();
/// let verdict = sent.refuse();
/// ```
///
/// One exchange cannot be both sent and refused:
///
/// ```compile_fail
/// use goldcrestvale_base::exchange::Exchange;
///
/// let exchange = Exchange::new();
/// let sent = exchange.send();
/// let verdict = exchange.refuse();
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub struct NotRun {
    #[serde(skip)]
    _private: (),
}

impl NotRun {
    pub(crate) fn new() -> Self {
        Self { _private: () }
    }
}

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The request did not run, and no part of it will run later.
    NotRun(NotRun),
    /// The request may have run, or may still run.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// Returns the text used in headers, bodies and logs.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::{exchange::Exchange, verdict::Verdict};
    ///
    /// assert_eq!(Exchange::new().refuse().as_str(), "not-run");
    /// assert_eq!(Verdict::MayHaveRun.as_str(), "may-have-run");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns whether the request certainly did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotRun(_))
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Serialize for Verdict {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}
