//! The life cycle of one request towards an upstream, as types.

use std::marker::PhantomData;

use crate::verdict::{NotRun, Verdict};

/// No byte was handed to an upstream.
#[derive(Debug)]
pub enum Unsent {}

/// Bytes may have reached an upstream.
#[derive(Debug)]
pub enum Sent {}

/// One request towards an upstream, in state [`Unsent`] or [`Sent`].
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
    /// Starts an exchange of which nothing was sent yet.
    pub fn new() -> Self {
        Self { state: PhantomData }
    }

    /// Marks the exchange as sent; call it before the first byte is handed over.
    pub fn send(self) -> Exchange<Sent> {
        Exchange { state: PhantomData }
    }

    /// Gives the exchange up before anything was sent.
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
    /// Ends an exchange whose outcome is not known.
    pub fn lose(self) -> Verdict {
        Verdict::MayHaveRun
    }

    /// Ends an exchange that was answered in full.
    pub fn complete(self) -> Verdict {
        Verdict::Ran
    }
}
