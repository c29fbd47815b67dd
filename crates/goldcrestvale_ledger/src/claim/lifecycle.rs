use goldcrestvale_base::{
    domain,
    exchange::{Exchange, Sent, Unsent},
    id::{Key, Offset},
    verdict::{NotRun, Verdict},
};

use super::record::{Abandonment, Kind, Settlement};

/// The offset of the claim in the log is not known yet.
#[derive(Debug)]
pub struct Pending {
    exchange: Exchange<Unsent>,
}

/// Another claim holds the key; this claim is never dispatched.
#[derive(Debug)]
pub struct Lost {
    exchange: Exchange<Unsent>,
}

/// The claim was read back from the log and is the first for its key.
#[derive(Debug)]
pub struct Won {
    offset: Offset,
    exchange: Exchange<Unsent>,
}

/// The right to send was delegated to a client, which reports whether it used it.
#[derive(Debug)]
pub struct Delegated {
    offset: Offset,
}

/// The call may have reached the service.
#[derive(Debug)]
pub struct Dispatched {
    offset: Offset,
    exchange: Exchange<Sent>,
}

/// The service answered the call.
#[derive(Debug)]
pub struct Settled {
    offset: Offset,
    status: u16,
    verdict: Verdict,
}

/// The service did not answer; the call may have run.
#[derive(Debug)]
pub struct Unanswered {
    verdict: Verdict,
}

/// The claim was given up before it was dispatched.
#[derive(Debug)]
pub struct Abandoned {
    offset: Offset,
    verdict: Verdict,
}

/// The claim of an idempotency key by one call, at its owner.
///
/// A claim is either dispatched or abandoned; both methods consume it:
///
/// ```compile_fail,E0382
/// use goldcrestvale_ledger::claim::{Claim, Won};
///
/// fn both(claim: Claim<Won>) {
///     let dispatched = claim.dispatch();
///     let abandoned = claim.abandon();
/// }
/// ```
///
/// A claim that was not won cannot be dispatched:
///
/// ```compile_fail,E0599
/// use goldcrestvale_ledger::claim::Claim;
///
/// let key = "0190a000-0000-7000-8000-000000000000".parse().unwrap();
/// let dispatched = Claim::new(key).dispatch();
/// ```
///
/// A dispatched claim cannot be reported as not run:
///
/// ```compile_fail,E0599
/// use goldcrestvale_ledger::claim::{Claim, Won};
///
/// fn refuse(claim: Claim<Won>) {
///     let verdict = claim.dispatch().give_up();
/// }
/// ```
#[derive(Debug)]
#[must_use = "a claim ends in a verdict"]
pub struct Claim<S> {
    key: Key,
    state: S,
}

domain! {
    value
    /// The outcome of a call, as reported by the owner of its key.
    #[serde(rename_all = "kebab-case")]
    pub enum OwnerAnswer {
        /// The call ran; the owner provides the answer.
        Ran,
        /// The call is in progress or its outcome is not known.
        MayHaveRun,
        /// The owner gave up its claim and will never dispatch it.
        GivenUp,
        /// The owner did not answer, or does not know the key.
        Silent,
    }
}

impl<S> Claim<S> {
    /// Returns the idempotency key.
    pub fn key(&self) -> Key {
        self.key
    }
}

impl Claim<Pending> {
    /// Creates the claim of a call.
    pub fn new(key: Key) -> Self {
        Self { key, state: Pending { exchange: Exchange::new() } }
    }

    /// Gives up the claim while its offset in the log is not known.
    ///
    /// The call did not run and will not run, because only this claim could have been dispatched
    /// for it. If a record of the claim appears in the log later, it must be abandoned there.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_ledger::claim::Claim;
    ///
    /// let claim = Claim::new("0190a000-0000-7000-8000-000000000000".parse()?);
    /// assert!(claim.give_up().is_not_run());
    /// # Ok::<(), goldcrestvale_base::id::Error>(())
    /// ```
    pub fn give_up(self) -> Verdict {
        self.state.exchange.refuse()
    }

    /// Marks the claim as lost to an earlier claim of the key.
    pub fn lose(self) -> Claim<Lost> {
        Claim { key: self.key, state: Lost { exchange: self.state.exchange } }
    }

    /// Marks the claim as the first for its key, once the stream has been read up to it.
    pub(crate) fn win(self, offset: Offset) -> Claim<Won> {
        Claim { key: self.key, state: Won { offset, exchange: self.state.exchange } }
    }
}

impl Claim<Lost> {
    /// Ends the call with the outcome reported by the owner of the key.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::verdict::Verdict;
    /// use goldcrestvale_ledger::claim::{Claim, OwnerAnswer};
    ///
    /// let claim = Claim::new("0190a000-0000-7000-8000-000000000000".parse()?).lose();
    /// assert_eq!(claim.end(&OwnerAnswer::Silent), Verdict::MayHaveRun);
    /// # Ok::<(), goldcrestvale_base::id::Error>(())
    /// ```
    pub fn end(self, answer: &OwnerAnswer) -> Verdict {
        match answer {
            OwnerAnswer::Ran => Verdict::Ran,
            OwnerAnswer::GivenUp => self.state.exchange.refuse(),
            OwnerAnswer::MayHaveRun | OwnerAnswer::Silent => Verdict::MayHaveRun,
        }
    }

    /// Refuses a call whose request differs from the one of the call that holds its key.
    pub fn refuse(self) -> Verdict {
        self.state.exchange.refuse()
    }
}

impl Claim<Won> {
    /// Returns the offset of the claim.
    pub fn offset(&self) -> Offset {
        self.state.offset
    }

    /// Marks the call as dispatched; must be called before the first byte is sent.
    pub fn dispatch(self) -> Claim<Dispatched> {
        let Won { offset, exchange } = self.state;
        Claim { key: self.key, state: Dispatched { offset, exchange: exchange.send() } }
    }

    /// Delegates the unsent exchange to a client of the service.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::verdict::Verdict;
    /// use goldcrestvale_ledger::claim::{Claim, Won};
    ///
    /// fn refused_connection(claim: Claim<Won>) -> Claim<Won> {
    ///     let (claim, exchange) = claim.delegate();
    ///     match exchange.refuse() {
    ///         Verdict::NotRun(proof) => claim.recover(proof),
    ///         _ => unreachable!("an unsent exchange is refused as not run"),
    ///     }
    /// }
    /// ```
    pub fn delegate(self) -> (Claim<Delegated>, Exchange<Unsent>) {
        let Won { offset, exchange } = self.state;
        (Claim { key: self.key, state: Delegated { offset } }, exchange)
    }

    /// Gives up the claim before anything was sent.
    pub fn abandon(self) -> Claim<Abandoned> {
        let Won { offset, exchange } = self.state;
        Claim { key: self.key, state: Abandoned { offset, verdict: exchange.refuse() } }
    }
}

impl Claim<Delegated> {
    /// Recovers the claim with the client's proof that the delegated exchange was not sent.
    pub fn recover(self, _unsent: NotRun) -> Claim<Won> {
        let Delegated { offset } = self.state;
        Claim { key: self.key, state: Won { offset, exchange: Exchange::new() } }
    }

    /// Marks the call as dispatched after the client sent the exchange or may have sent it.
    pub fn dispatched(self) -> Claim<Dispatched> {
        let Delegated { offset } = self.state;
        Claim { key: self.key, state: Dispatched { offset, exchange: Exchange::new().send() } }
    }
}

impl Claim<Dispatched> {
    /// Ends the claim with the status of the service's complete answer.
    pub fn settle(self, status: u16) -> Claim<Settled> {
        let Dispatched { offset, exchange } = self.state;
        let verdict = exchange.complete();
        Claim { key: self.key, state: Settled { offset, status, verdict } }
    }

    /// Ends the claim without an answer from the service.
    pub fn lose(self) -> Claim<Unanswered> {
        let verdict = self.state.exchange.lose();
        Claim { key: self.key, state: Unanswered { verdict } }
    }
}

impl Claim<Settled> {
    /// Returns the verdict that the call ran.
    pub fn verdict(&self) -> Verdict {
        self.state.verdict
    }

    /// Returns the record that reports the outcome to the other instances.
    pub fn record(&self) -> Kind {
        let Settled { offset, status, .. } = self.state;
        Kind::Settle(Settlement { key: self.key, claim: offset, status })
    }
}

impl Claim<Unanswered> {
    /// Returns the verdict that the call may have run.
    pub fn verdict(&self) -> Verdict {
        self.state.verdict
    }
}

impl Claim<Abandoned> {
    /// Returns the verdict that the call did not run.
    pub fn verdict(&self) -> Verdict {
        self.state.verdict
    }

    /// Returns the record that releases the key for the next claim.
    pub fn record(&self) -> Kind {
        Kind::Abandon(Abandonment { key: self.key, claim: self.state.offset })
    }
}
