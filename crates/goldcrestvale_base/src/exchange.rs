//! The life cycle of one request to an upstream, encoded in types.

use std::marker::PhantomData;

use crate::verdict::{NotRun, Verdict};

/// State of an exchange of which no byte was sent to an upstream.
#[derive(Debug)]
pub enum Unsent {}

/// State of an exchange of which bytes may have reached an upstream.
#[derive(Debug)]
pub enum Sent {}

/// One request to an upstream, in state [`Unsent`] or [`Sent`].
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{exchange::Exchange, verdict::Verdict};
///
/// let exchange = Exchange::new();
/// let sent = exchange.send();
/// assert_eq!(sent.lose(), Verdict::MayHaveRun);
/// ```
#[derive(Debug)]
#[must_use = "an exchange ends in a verdict"]
pub struct Exchange<S> {
    state: PhantomData<S>,
}

impl Exchange<Unsent> {
    /// Creates an unsent exchange.
    pub fn new() -> Self {
        Self { state: PhantomData }
    }

    /// Marks the exchange as sent; call it before the first byte is sent.
    pub fn send(self) -> Exchange<Sent> {
        Exchange { state: PhantomData }
    }

    /// Abandons the exchange before anything was sent.
    pub fn refuse(self) -> Verdict {
        Verdict::NotRun(NotRun::new())
    }
}

impl Default for Exchange<Unsent> {
    fn default() -> Self {
        Self::new()
    }
}

impl Exchange<Sent> {
    /// Ends an exchange with an unknown outcome.
    pub fn lose(self) -> Verdict {
        Verdict::MayHaveRun
    }

    /// Ends an exchange that was answered completely.
    pub fn complete(self) -> Verdict {
        Verdict::Ran
    }
}
