use goldcrestvale_ledger::claim::{Claim, Settled, Unanswered, Won};
use tokio::sync::mpsc;

use super::Command;

/// The right to send the call of a key once; dropping it unused gives the call up.
#[derive(Debug)]
#[must_use = "a right that is dropped gives the call up"]
pub struct DispatchPermit {
    claim: Option<Claim<Won>>,
    desk: mpsc::UnboundedSender<Command>,
}

/// The way to tell the desk how a call ended.
#[derive(Debug)]
pub struct Completion {
    desk: mpsc::UnboundedSender<Command>,
}

impl DispatchPermit {
    pub(super) fn new(claim: Claim<Won>, desk: mpsc::UnboundedSender<Command>) -> Self {
        Self { claim: Some(claim), desk }
    }

    /// Takes the claim out, to be sent.
    pub fn take(mut self) -> Option<(Claim<Won>, Completion)> {
        let claim = self.claim.take()?;
        Some((claim, Completion { desk: self.desk.clone() }))
    }
}

impl Drop for DispatchPermit {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            // A desk that has ended answers nobody.
            let _ = self.desk.send(Command::Returned(claim));
        }
    }
}

impl Completion {
    /// Tells that nothing was sent.
    pub fn give_back(self, claim: Claim<Won>) {
        self.tell(Command::Returned(claim));
    }

    /// Tells that the service answered in full.
    pub fn settle(self, claim: Claim<Settled>) {
        self.tell(Command::Settled(claim));
    }

    /// Tells that the call may have run.
    pub fn lose(self, claim: Claim<Unanswered>) {
        self.tell(Command::Unanswered(claim));
    }

    fn tell(self, command: Command) {
        if self.desk.send(command).is_err() {
            log::warn!("a call ended after its claim stream; other instances will not learn how");
        }
    }
}
